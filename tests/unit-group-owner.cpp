/// @file
/// @brief Tests of the owner of a group; the test supplies the answers of the members.

#include <fuchsiagw/core/group_owner.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

TEST_GROUP(group_owner)
{
    group_owner owner;
    owner_actions actions;
    random_engine random{ 7 };
    time_point now{ 1s };

    void setup() override
    {
        group_settings settings;
        settings.connections = 2;
        settings.slots = 2;
        for (const char *name : { "a", "b", "c" })
            settings.members[{ name }] = { { name == std::string("a") ? "far" : "near" },
                                           "127.0.0.1:1" };
        owner.group = { "g" };
        owner.zone = { "near" };
        owner.incarnation = 42;
        applySettings(owner.view, owner.group, settings);
        owner.pool.limit = 2;
        observe("a", member_role::Primary, 10);
        observe("b", member_role::Replica, 10);
        observe("c", member_role::Replica, 10);
    }

    void observe(const char *name, member_role role, log_index index)
    {
        observeStatus(owner.view,
                      { { name }, owner.group, role, 1, { 1, index }, { 1, index }, false }, now,
                      now);
    }

    static owned_statement makeStatement(statement_kind kind, const char *workspace = "w")
    {
        owned_statement statement;
        statement.request.id = { 1, 2 };
        statement.request.workspace = { workspace };
        statement.request.group = { "g" };
        statement.request.kind = kind;
        statement.request.deadline = time_point{ 10s };
        return statement;
    }

    template <typename type>
    std::vector<type> takeActions()
    {
        std::vector<type> taken;
        std::erase_if(actions, [&taken](const owner_action &each) {
            const auto *found = std::get_if<type>(&each);
            if (found != nullptr)
                taken.push_back(*found);
            return found != nullptr;
        });
        return taken;
    }

    void submitStatement(std::uint64_t handle, owned_statement statement)
    {
        submit(owner, handle, std::move(statement), now, random, actions);
    }

    /// Completes the requested connections and returns the statements that are then sent.
    std::vector<send_statement> connectAll(bool isOpen = true)
    {
        for (const open_connection &each : takeActions<open_connection>())
            onConnected(owner, each.id, isOpen, now, random, actions);
        return takeActions<send_statement>();
    }

    void reply(const send_statement &sent, log_index position,
               execute_status status = execute_status::Ok)
    {
        execute_answer answer;
        answer.id = sent.request.id;
        answer.status = status;
        answer.term = 1;
        answer.position = position == 0 ? log_position{} : log_position{ 1, position };
        answer.applied = { 1, std::max<log_index>(position, 10) };
        onExecuted(owner, sent.id, answer, true, false, now, random, actions);
    }

    std::uint64_t begin(std::uint64_t handle)
    {
        submitStatement(handle, makeStatement(statement_kind::Begin));
        reply(connectAll().at(0), 0);
        return takeActions<statement_done>().at(0).answer.transaction->number;
    }

    owned_statement inTransaction(statement_kind kind, std::uint64_t number)
    {
        owned_statement statement = makeStatement(kind);
        statement.request.transaction = transaction_id{ 42, number };
        return statement;
    }
};

// Guards against acknowledging a write that only the primary holds and that a failover would lose
// (requirement M2).
TEST(group_owner, writeIsAcknowledgedOnlyAfterAReplicaHoldsIt)
{
    submitStatement(1, makeStatement(statement_kind::Write));
    const auto sent = connectAll();
    CHECK_EQUAL(1, static_cast<int>(sent.size()));
    reply(sent[0], 11);
    CHECK_TRUE(takeActions<statement_done>().empty());
    const auto waits = takeActions<control_call>();
    CHECK_FALSE(waits.empty());
    const member_status status{ waits[0].member, owner.group, member_role::Replica, 1, { 1, 11 },
                                { 1, 11 },       false };
    onControlAnswer(owner, { waits[0].number, status, false }, now, random, actions);
    const auto done = takeActions<statement_done>();
    CHECK_EQUAL(1, static_cast<int>(done.size()));
    CHECK_FALSE(done[0].answer.error.has_value());
    CHECK_TRUE((done[0].answer.position == log_position{ 1, 11 }));
}

// Guards against a write whose connection was lost being sent again (requirement M10) or reported
// as not run (requirement M9), although the member may have executed it.
TEST(group_owner, writeOnALostConnectionIsUnknownAndNotRepeated)
{
    submitStatement(1, makeStatement(statement_kind::Write));
    const auto sent = connectAll();
    onExecuted(owner, sent.at(0).id, std::nullopt, true, true, now, random, actions);
    const auto done = takeActions<statement_done>();
    CHECK_TRUE(done.at(0).answer.error == error_kind::OutcomeUnknown);
    CHECK_TRUE(takeActions<open_connection>().empty());
}

// Guards against a read that waits for a member that does not answer although another member could.
TEST(group_owner, readOnASilentConnectionIsSentAgainElsewhere)
{
    auto read = makeStatement(statement_kind::Read);
    read.maxAge = 60s;
    submitStatement(1, std::move(read));
    const auto sent = connectAll();
    onExecuted(owner, sent.at(0).id, std::nullopt, true, true, now, random, actions);
    CHECK_TRUE(takeActions<statement_done>().empty());
    const auto again = connectAll();
    CHECK_EQUAL(1, static_cast<int>(again.size()));
    reply(again[0], 0);
    CHECK_FALSE(takeActions<statement_done>().at(0).answer.error.has_value());
}

// Guards against returning the answer to a different request, for example a late one on a reused
// connection (requirement M8).
TEST(group_owner, foreignAnswerIsDroppedWithItsConnection)
{
    submitStatement(1, makeStatement(statement_kind::Write));
    auto sent = connectAll();
    sent.at(0).request.id = { 9, 9 };
    reply(sent[0], 11);
    CHECK_EQUAL(1, static_cast<int>(takeActions<close_connection>().size()));
    CHECK_TRUE(takeActions<statement_done>().at(0).answer.error == error_kind::OutcomeUnknown);
    CHECK_TRUE(owner.pool.connections.empty());
}

// Guards against opening more connections than this instance's limit allows when many statements
// arrive at once.
TEST(group_owner, opensNoMoreConnectionsThanItsLimit)
{
    for (std::uint64_t handle = 1; handle <= 20; ++handle)
        submitStatement(handle, makeStatement(statement_kind::Write));
    CHECK_EQUAL(2, static_cast<int>(takeActions<open_connection>().size()));
    CHECK_EQUAL(2, static_cast<int>(owner.pool.connections.size()));
    setConnectionLimit(owner, 0, now, random, actions);
    advance(owner, time_point{ 11s }, random, actions);
    const auto done = takeActions<statement_done>();
    CHECK_EQUAL(20, static_cast<int>(done.size()));
    for (const auto &each : done)
        CHECK_TRUE(answerOf(*each.answer.error).outcome == request_outcome::NotRun);
}

// Guards against other statements on the connection of an open transaction (requirement M3).
TEST(group_owner, transactionReservesItsConnection)
{
    const std::uint64_t number = begin(1);
    const connection_id own = owner.transactions.at(number).connection;
    submitStatement(2, makeStatement(statement_kind::Write));
    for (const auto &sent : connectAll())
        CHECK_TRUE(sent.id != own);
    submitStatement(3, inTransaction(statement_kind::Write, number));
    const auto sent = takeActions<send_statement>();
    CHECK_EQUAL(1, static_cast<int>(sent.size()));
    CHECK_EQUAL(own, sent[0].id);
    submitStatement(4, inTransaction(statement_kind::Read, number));
    CHECK_TRUE(takeActions<statement_done>().at(0).answer.error == error_kind::TransactionBusy);
    reply(sent[0], 0);
    CHECK_FALSE(takeActions<statement_done>().at(0).answer.error.has_value());
    submitStatement(5, inTransaction(statement_kind::Rollback, number));
    reply(takeActions<send_statement>().at(0), 0);
    CHECK_TRUE(owner.transactions.empty());
    CHECK_TRUE(owner.pool.connections.at(own).state == connection_state::Idle);
}

// Guards against a workspace that uses the transaction of another workspace (requirement M4).
TEST(group_owner, foreignAndUnknownTransactionsAreRefused)
{
    const std::uint64_t number = begin(1);
    auto foreign = inTransaction(statement_kind::Commit, number);
    foreign.request.workspace = { "other" };
    submitStatement(2, std::move(foreign));
    CHECK_TRUE(takeActions<statement_done>().at(0).answer.error == error_kind::TransactionForeign);
    submitStatement(3, inTransaction(statement_kind::Commit, number + 1));
    CHECK_TRUE(takeActions<statement_done>().at(0).answer.error == error_kind::TransactionUnknown);
    CHECK_EQUAL(1, static_cast<int>(owner.transactions.size()));
}

// Guards against a commit being reported as rolled back when its answer was lost with the
// connection.
TEST(group_owner, lostCommitIsUnknownAndLostStatementIsRolledBack)
{
    const std::uint64_t first = begin(1);
    submitStatement(2, inTransaction(statement_kind::Commit, first));
    onExecuted(owner, takeActions<send_statement>().at(0).id, std::nullopt, true, false, now,
               random, actions);
    CHECK_TRUE(takeActions<statement_done>().at(0).answer.error == error_kind::OutcomeUnknown);
    CHECK_TRUE(owner.transactions.empty());
    now += 1s;
    observe("a", member_role::Primary, 11);
    const std::uint64_t second = begin(3);
    submitStatement(4, inTransaction(statement_kind::Write, second));
    onExecuted(owner, takeActions<send_statement>().at(0).id, std::nullopt, true, false, now,
               random, actions);
    CHECK_TRUE(takeActions<statement_done>().at(0).answer.error == error_kind::TransactionLost);
}

// Guards against a caller that disappears during a transaction and so occupies a connection without
// limit.
TEST(group_owner, idleTransactionIsRolledBack)
{
    begin(1);
    now += owner.limits.transactionIdleTimeout;
    advance(owner, now, random, actions);
    CHECK_TRUE(owner.transactions.empty());
    CHECK_EQUAL(1, static_cast<int>(takeActions<close_connection>().size()));
    CHECK_TRUE(isDrained(owner));
}

// Guards against writes without a primary that wait beyond their deadline, or that are reported
// with an unknown outcome although they were never sent.
TEST(group_owner, writeWithoutPrimaryEndsAtItsDeadlineAsNotRun)
{
    observeFailure(owner.view, { "a" }, member_failure::Refused, now, random);
    submitStatement(1, makeStatement(statement_kind::Write));
    CHECK_TRUE(takeActions<open_connection>().empty());
    advance(owner, time_point{ 9s }, random, actions);
    for (const auto &each : takeActions<open_connection>())
        onConnected(owner, each.id, false, now, random, actions);
    advance(owner, time_point{ 10s }, random, actions);
    const auto done = takeActions<statement_done>();
    CHECK_EQUAL(1, static_cast<int>(done.size()));
    CHECK_TRUE(answerOf(*done[0].answer.error).outcome == request_outcome::NotRun);
    CHECK_TRUE(owner.statements.empty());
    CHECK_TRUE(owner.parked.empty());
}
