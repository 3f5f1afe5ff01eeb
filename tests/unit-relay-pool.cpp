/// @file
/// @brief Tests of the pool in which a relay keeps a member's connections for all daemons.

#include <fuchsiagw/proxy/relay_pool.hpp>

#include <CppUTest/TestHarness.h>

#include <set>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;
using std::chrono::milliseconds;

TEST_GROUP(relay_pool)
{
    relay_pool pool;
    core::time_point now{ std::chrono::hours(1) };
    pooled_id lastConnection = 0;
    borrower_id lastBorrower = 0;

    void setup() override
    {
        pool.limit = 4;
    }

    borrower_id wait(const std::string &workspace)
    {
        CHECK_FALSE(addBorrower(pool, { ++lastBorrower, workspace, now + milliseconds(100) }, now)
                            .has_value());
        return lastBorrower;
    }

    pooled_id add(const std::string &workspace, pooled_state state)
    {
        pool.connections[++lastConnection] = { workspace, state, now };
        now += milliseconds(1);
        return lastConnection;
    }
};

// Guards against lending a connection to a borrower of another workspace than it was opened for.
TEST(relay_pool, connectionIsLentOnlyToItsWorkspace)
{
    const pooled_id mine = add("house", pooled_state::Idle);
    add("other", pooled_state::Idle);
    wait("house");
    wait("house");
    const relay_step step = advance(pool, now);
    CHECK_EQUAL(1U, step.lend.size());
    CHECK_EQUAL(mine, step.lend[0].connection);
    CHECK_EQUAL(1U, step.open.size());
}

// Guards against too many concurrent handshakes at a member when many borrowers arrive at the same
// time. Each handshake occupies one of the member's few slots.
TEST(relay_pool, concurrentHandshakesAreLimited)
{
    for (int i = 0; i < 50; ++i)
        wait("w" + std::to_string(i));
    CHECK_EQUAL(2U, advance(pool, now).open.size());
    add("w0", pooled_state::Opening);
    add("w1", pooled_state::Opening);
    CHECK_TRUE(advance(pool, now).open.empty());
}

// Guards against opening another connection for a borrower that a connection already being opened
// for its workspace will serve.
TEST(relay_pool, openingConnectionCountsForItsWorkspace)
{
    add("house", pooled_state::Opening);
    wait("house");
    CHECK_TRUE(advance(pool, now).open.empty());
}

// Guards against idle connections of some workspaces that block other workspaces when the pool is
// full. The connection that has been idle longest must be closed.
TEST(relay_pool, longestIdleConnectionIsEvicted)
{
    const pooled_id oldest = add("a", pooled_state::Idle);
    add("b", pooled_state::Idle);
    add("c", pooled_state::Lent);
    add("d", pooled_state::Lent);
    wait("house");
    const relay_step step = advance(pool, now);
    CHECK_EQUAL(1U, step.close.size());
    CHECK_EQUAL(oldest, step.close[0]);
    CHECK_EQUAL(1U, step.open.size());
}

// Guards against exceeding the member's connection limit when all connections are lent.
TEST(relay_pool, limitHoldsWhenAllConnectionsAreLent)
{
    for (int i = 0; i < 4; ++i)
        add("a", pooled_state::Lent);
    wait("house");
    const relay_step step = advance(pool, now);
    CHECK_TRUE(step.open.empty());
    CHECK_TRUE(step.refuse.empty());
}

// Guards against a borrower that waits forever while the member refuses new connections.
TEST(relay_pool, borrowerIsRefusedAtDeadline)
{
    const borrower_id id = wait("house");
    pool.refusedUntil = now + std::chrono::seconds(1);
    CHECK_TRUE(advance(pool, now).refuse.empty());
    now += milliseconds(100);
    const relay_step step = advance(pool, now);
    CHECK_EQUAL(1U, step.refuse.size());
    CHECK_EQUAL(id, step.refuse[0].borrower);
    CHECK_TRUE(pool.waiting.empty());
}

// Guards against lending a connection that may still hold session state or a transaction of its
// last borrower, because the member has not confirmed the reset.
TEST(relay_pool, connectionInResetIsNotLent)
{
    add("house", pooled_state::Cleaning);
    wait("house");
    CHECK_TRUE(advance(pool, now).lend.empty());
}

// Guards against keeping unused connections open, which count against the member's limit.
TEST(relay_pool, unusedConnectionsAreSurplus)
{
    const pooled_id idle = add("a", pooled_state::Idle);
    add("b", pooled_state::Lent);
    CHECK_TRUE(findExpired(pool, now).empty());
    now += std::chrono::seconds(10);
    const auto found = findExpired(pool, now);
    CHECK_EQUAL(1U, found.size());
    CHECK_EQUAL(idle, found[0]);
}

// Load: lookups and an order wait while all operations that the member takes are running. Guards
// against lending in order of arrival.
TEST(relay_pool, nextConnectionGoesToTheHighestPriority)
{
    pool.maxBusy = 1;
    const pooled_id running = add("house", pooled_state::Lent);
    pool.connections.at(running).hasOutstanding = true;
    const pooled_id idle = add("house", pooled_state::Idle);
    static_cast<void>(addBorrower(pool, { 101, "house", now + milliseconds(100), 2 }, now));
    static_cast<void>(addBorrower(pool, { 102, "house", now + milliseconds(100), 0 }, now));
    CHECK_TRUE(advance(pool, now).lend.empty());
    pool.connections.at(running).hasOutstanding = false;
    const relay_step step = advance(pool, now);
    CHECK_EQUAL(1U, step.lend.size());
    CHECK_EQUAL(102U, step.lend[0].borrower);
    CHECK_EQUAL(idle, step.lend[0].connection);
}

// Load: reads that replicas could run as well fill the primary. Guards against writes that find no
// slot, and against a slot that stays reserved after the last write.
TEST(relay_pool, lastSlotIsKeptForExclusiveOperations)
{
    pool.maxBusy = 2;
    for (int i = 0; i < 3; ++i)
        add("house", pooled_state::Idle);
    static_cast<void>(addBorrower(pool, { 101, "house", now + milliseconds(900), 0, true }, now));
    CHECK_EQUAL(1U, advance(pool, now).lend.size());
    static_cast<void>(addBorrower(pool, { 102, "house", now + milliseconds(2'000), 0 }, now));
    CHECK_TRUE(advance(pool, now).lend.empty());
    static_cast<void>(addBorrower(pool, { 103, "house", now + milliseconds(900), 2, true }, now));
    CHECK_EQUAL(103U, advance(pool, now).lend.at(0).borrower);
    // One of the two operations ends.
    for (auto &[id, each] : pool.connections) {
        if (each.state == pooled_state::Lent) {
            each.hasOutstanding = false;
            break;
        }
    }
    CHECK_TRUE(advance(pool, now).lend.empty());
    now += milliseconds(1'100);
    CHECK_EQUAL(102U, advance(pool, now).lend.at(0).borrower);
}

// Load: more operations arrive than the member serves before their objectives. Guards against
// letting them wait in vain, and against retries that come back together.
TEST(relay_pool, hopelessOperationsAreRefusedAtOnceWithSpreadReturns)
{
    pool.maxBusy = 1;
    pool.limit = 1;
    const pooled_id connection = add("house", pooled_state::Idle);
    borrower_id id = 200;
    const auto borrow = [&](milliseconds patience) {
        return addBorrower(pool, { ++id, "house", now + patience }, now);
    };
    // The member serves one operation in 10 ms.
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(borrow(milliseconds(5'000)));
        static_cast<void>(borrow(milliseconds(5'000)));
        static_cast<void>(advance(pool, now));
        now += milliseconds(10);
        pool.connections.at(connection).state = pooled_state::Idle;
    }
    CHECK(pool.waiting.size() > 20);
    std::set<core::duration> returns;
    for (int i = 0; i < 10; ++i) {
        const auto refused = borrow(milliseconds(100));
        CHECK_TRUE(refused.has_value());
        returns.insert(refused.value_or(core::duration{}));
    }
    CHECK_EQUAL(10U, returns.size());
    CHECK_FALSE(borrow(milliseconds(2'000)).has_value());
}

// Load: borrowers that leave before their turn. Guards against places that they keep.
TEST(relay_pool, borrowerThatLeavesFreesItsPlace)
{
    const borrower_id gone = wait("house");
    const borrower_id next = wait("house");
    removeBorrower(pool, gone);
    add("house", pooled_state::Idle);
    CHECK_EQUAL(next, advance(pool, now).lend.at(0).borrower);
    CHECK_EQUAL(0U, pool.queue.length);
}
