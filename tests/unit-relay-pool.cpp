/// @file
/// @brief Tests of the pool in which a relay keeps a member's connections for all daemons.

#include <fuchsiagw/proxy/relay_pool.hpp>

#include <CppUTest/TestHarness.h>

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
        pool.waiting.push_back({ ++lastBorrower, workspace, now + milliseconds(100) });
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
    CHECK_EQUAL(id, step.refuse[0]);
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
