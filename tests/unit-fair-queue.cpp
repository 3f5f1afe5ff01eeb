/// @file
/// @brief Tests of fair queueing and of early refusal.

#include <fuchsiagw/core/early_refusal.hpp>
#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/return_schedule.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
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

TEST_GROUP(priority_queue)
{
    fair_queue queue;
    std::uint64_t nextHandle = 1;
    const time_point now{ std::chrono::hours(1) };

    std::uint64_t push(const char *workspace, int priority,
                       std::chrono::milliseconds objective = std::chrono::milliseconds(200))
    {
        queued_statement statement;
        statement.handle = nextHandle++;
        statement.workspace = workspace_id{ workspace };
        statement.session = statement.handle;
        statement.objective = now + objective;
        statement.priority = priority;
        CHECK_TRUE(enqueue(queue, statement, 1).accepted);
        return statement.handle;
    }
    std::uint64_t pop(const statement_filter &isEligible = {})
    {
        return dequeue(queue, isEligible).value_or(queued_statement{}).handle;
    }
};

// Load: lookups arrive before an order, and there is room for one statement at a time. Guards
// against orders that wait behind everything that arrived earlier.
TEST(priority_queue, ordersOvertakeLookupsThatArrivedBefore)
{
    const auto first = push("a", 2);
    push("b", 2);
    const auto order = push("c", 0);
    const auto urgent = push("d", 1);
    LONGS_EQUAL(order, pop());
    LONGS_EQUAL(urgent, pop());
    LONGS_EQUAL(first, pop());
}

// Load: statements of equal priority with different objectives. Guards against serving the patient
// ones first and refusing the others.
TEST(priority_queue, earliestObjectiveGoesFirstAmongEquals)
{
    push("a", 1, std::chrono::milliseconds(800));
    const auto urgent = push("b", 1, std::chrono::milliseconds(100));
    LONGS_EQUAL(urgent, pop());
}

// Load: one workspace sends 7.5 times its rate at the highest priority, 20 others stay inside
// theirs. Guards against the smallest workspace paying for it: each of its statements has to be
// served within one round.
TEST(priority_queue, smallWorkspaceIsServedBesideOneThatFloods)
{
    queue.capacity = 256;
    random_engine random(3);
    std::map<std::string, int> offered;
    std::map<std::string, int> served;
    // Ten statements are served in a step; the others offer four together, the large one 12.
    for (int step = 0; step < 5'000; ++step) {
        const auto offer = [&](const std::string &name, int priority) {
            queued_statement statement{ nextHandle++, workspace_id{ name }, drawBelow(random, 9) };
            statement.objective = now + std::chrono::milliseconds(step);
            statement.priority = priority;
            ++offered[name];
            static_cast<void>(enqueue(queue, statement, 1));
        };
        for (int i = 0; i < 12; ++i)
            offer("large", 0);
        for (int i = 0; i < 20; ++i) {
            if (drawBelow(random, 5) == 0)
                offer("w" + std::to_string(i), 2);
        }
        for (int i = 0; i < 10; ++i) {
            if (const auto next = dequeue(queue))
                ++served[next->workspace.value];
        }
    }
    for (const auto &[name, count] : offered) {
        if (name != "large")
            CHECK_TEXT(served[name] >= count * 0.995, name.c_str());
    }
    // What the others leave is used.
    CHECK(served["large"] > 5'000 * 5);
}

// Load: orders alone fill the members for a long time. Guards against lookups that never run.
TEST(priority_queue, lowerPrioritiesAreServedInTheStatedBound)
{
    for (int i = 0; i < 5; ++i) {
        push("b", 1);
        push("c", 2);
    }
    std::map<int, int> waited;
    std::map<int, int> longest;
    for (int grant = 0; grant < 150; ++grant) {
        push("a", 0);
        push("a", 0);
        const int granted = dequeue(queue).value_or(queued_statement{}).priority;
        for (const int priority : { 1, 2 }) {
            waited[priority] = priority == granted ? 0 : waited[priority] + 1;
            longest[priority] = std::max(longest[priority], waited[priority]);
        }
        if (queue.flows.size() < 3)
            break;
    }
    CHECK(longest[1] < static_cast<int>(grantsPerPriority));
    CHECK(longest[2] < static_cast<int>(grantsPerPriority));
}

// Load: the connections of one workspace are all in use. Guards against its statements blocking
// those of others, and against losing their places.
TEST(priority_queue, statementsThatCannotRunNowKeepTheirPlaces)
{
    const auto blocked = push("a", 0);
    const auto other = push("b", 2);
    const auto notOfA = [](const queued_statement &each) { return each.workspace.value != "a"; };
    LONGS_EQUAL(other, pop(notOfA));
    LONGS_EQUAL(0, pop(notOfA));
    LONGS_EQUAL(blocked, pop());
}

// Load: a long queue of lookups. Guards against refusing an order because of lookups that it
// overtakes.
TEST(priority_queue, expectedWaitCountsOnlyWhatGoesBefore)
{
    service_time_average meter;
    recordServiceTime(meter, std::chrono::milliseconds(10));
    for (int i = 0; i < 40; ++i)
        push(("w" + std::to_string(i)).c_str(), 2);
    const workspace_id mine{ "mine" };
    CHECK(expectedWait(meter, queue, mine, 1, 1, 0, 0) <= std::chrono::milliseconds(10));
    CHECK(expectedWait(meter, queue, mine, 1, 1, 0, 2) > std::chrono::milliseconds(390));
}

TEST_GROUP(return_schedule){};

// Load: many callers are refused in the same moment. Guards against all of them coming back in the
// same moment, and against a wait that is longer than callers can use.
TEST(return_schedule, refusedCallersComeBackAtTheRateOfTheQueue)
{
    return_schedule schedule;
    const time_point now{ std::chrono::hours(1) };
    const auto interval = std::chrono::milliseconds(5);
    const time_point earliest = now + std::chrono::milliseconds(50);
    std::map<std::int64_t, int> returns; // per 100 ms
    for (int i = 0; i < 300; ++i) {
        const duration wait = scheduleReturn(schedule, interval, earliest, now);
        CHECK(wait >= std::chrono::milliseconds(50));
        CHECK(wait <= std::chrono::seconds(2));
        ++returns[wait / std::chrono::milliseconds(100)];
    }
    for (const auto &[at, count] : returns)
        CHECK(count <= 21);
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
