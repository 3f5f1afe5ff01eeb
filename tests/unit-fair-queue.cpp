/// @file
/// @brief Tests of fair queueing and of early refusal.

#include <fuchsiagw/core/early_refusal.hpp>
#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/random.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiagw::core;

TEST_GROUP(fair_queue)
{
    fair_queue queue;
    std::uint64_t nextHandle = 1;

    enqueue_result push(const char *workspace, std::uint64_t session = 0,
                        bool inTransaction = false, std::uint32_t weight = 1)
    {
        return enqueue(
                queue,
                { nextHandle++, workspace_id{ workspace }, session, inTransaction, noDeadline },
                weight);
    }
    std::string drain(std::size_t count)
    {
        std::string served;
        while (count-- > 0)
            served += dequeue(queue).value_or(queued_statement{}).workspace.value;
        return served;
    }
};

// Guards against one workspace that delays all others by queueing many statements.
TEST(fair_queue, manyStatementsOfOneWorkspaceDoNotDelayOthers)
{
    for (int i = 0; i < 50; ++i)
        push("f");
    push("a");
    push("b");
    push("a");
    STRCMP_EQUAL("fabfaff", drain(7).c_str());
}

// Guards against ignoring the weights of workspaces.
TEST(fair_queue, servesByWeight)
{
    for (int i = 0; i < 20; ++i) {
        push("h", 0, false, 3);
        push("l", 0, false, 1);
    }
    STRCMP_EQUAL("hhhlhhhl", drain(8).c_str());
}

// Guards against a session that starves the other sessions of its workspace, and against open
// transactions that hold locks while their statements wait behind others.
TEST(fair_queue, rotatesSessionsAfterOpenTransactions)
{
    for (int i = 0; i < 3; ++i)
        push("a", 1); // handles 1 to 3
    push("a", 2); // 4
    push("a", 3, true); // 5
    std::string handles;
    while (const auto next = dequeue(queue))
        handles += std::to_string(next->handle);
    STRCMP_EQUAL("51423", handles.c_str());
}

// Guards against refusing a workspace with few statements because another one filled the queue.
TEST(fair_queue, fullQueueRefusesTheNewestOfTheLongestFlow)
{
    queue.capacity = 10;
    for (int i = 0; i < 10; ++i)
        CHECK_TRUE(push("f").accepted);
    CHECK_FALSE(push("f").accepted);
    for (int i = 0; i < 5; ++i) {
        const enqueue_result result = push("a");
        CHECK_TRUE(result.accepted);
        CHECK_TRUE(result.evicted.has_value());
        LONGS_EQUAL(10 - i, result.evicted.value_or(queued_statement{}).handle);
    }
    CHECK_FALSE(push("a").accepted);
    LONGS_EQUAL(10, queue.length);
}

// Guards against lost or duplicated statements and wrong counts after random operations.
TEST(fair_queue, lengthMatchesUnderRandomOperations)
{
    queue.capacity = 40;
    random_engine random(11);
    std::size_t in = 0;
    std::size_t out = 0;
    const char *names[] = { "a", "b", "c", "d" };
    for (int i = 0; i < 20'000; ++i) {
        const std::uint64_t kind = drawBelow(random, 10);
        if (kind < 6) {
            const auto name = drawBelow(random, 4);
            const auto result = push(names[name], drawBelow(random, 5), drawBelow(random, 5) == 0,
                                     static_cast<std::uint32_t>(1 + name));
            in += result.accepted ? 1 : 0;
            out += result.evicted ? 1 : 0;
        } else if (kind < 9) {
            out += dequeue(queue) ? 1 : 0;
        } else {
            const std::uint64_t divisor = 2 + drawBelow(random, 9);
            out += removeIf(queue, [divisor](const queued_statement &each) {
                       return each.handle % divisor == 0;
                   }).size();
        }
        LONGS_EQUAL(in - out, queue.length);
    }
}

TEST_GROUP(early_refusal){};

// Guards against refusing a statement because of the queued statements of another workspace, which
// do not delay it in a fair queue.
TEST(early_refusal, dependsOnTheWorkspacesOwnQueueWait)
{
    fair_queue queue;
    service_time_average meter;
    const time_point now{};
    queued_statement statement{ 1, workspace_id{ "a" }, 0, false,
                                now + std::chrono::milliseconds(50) };
    CHECK_FALSE(isDeadlineUnreachable(meter, queue, statement, 1, 1, 0, now));
    for (int i = 0; i < 100; ++i)
        recordServiceTime(meter, std::chrono::milliseconds(10));
    for (std::uint64_t i = 10; i < 110; ++i)
        enqueue(queue, { i, workspace_id{ "f" }, 0, false, noDeadline }, 1);
    CHECK_FALSE(isDeadlineUnreachable(meter, queue, statement, 1, 1, 0, now));
    statement.workspace = workspace_id{ "f" };
    CHECK_TRUE(isDeadlineUnreachable(meter, queue, statement, 1, 1, 0, now));
    CHECK_FALSE(isDeadlineUnreachable(meter, queue, statement, 1, 60, 0, now));
    CHECK_TRUE(isDeadlineUnreachable(meter, queue, statement, 1, 60, 0, statement.deadline));
}
