/// @file
/// @brief Tests of the owner of a group, with members that the test answers for.

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

    static owned_statement make(statement_kind kind, const char *workspace = "w")
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
    std::vector<type> take()
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

    void start(std::uint64_t handle, owned_statement statement)
    {
        submit(owner, handle, std::move(statement), now, random, actions);
    }

    /// Opens what was asked for and returns what is then sent.
    std::vector<send_statement> connectAll(bool isOpen = true)
    {
        for (const open_connection &each : take<open_connection>())
            onConnected(owner, each.id, isOpen, now, random, actions);
        return take<send_statement>();
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
        start(handle, make(statement_kind::Begin));
        reply(connectAll().at(0), 0);
        return take<statement_done>().at(0).answer.transaction->number;
    }

    owned_statement inTransaction(statement_kind kind, std::uint64_t number)
    {
        owned_statement statement = make(kind);
        statement.request.transaction = transaction_id{ 42, number };
        return statement;
    }
};

// Guards against acknowledging a write that only the primary holds (M2).
TEST(group_owner, writeIsAcknowledgedOnlyAfterAReplicaHoldsIt)
{
    start(1, make(statement_kind::Write));
    const auto sent = connectAll();
    CHECK_EQUAL(1, static_cast<int>(sent.size()));
    reply(sent[0], 11);
    CHECK_TRUE(take<statement_done>().empty());
    const auto waits = take<control_call>();
    CHECK_FALSE(waits.empty());
    const member_status status{ waits[0].member, owner.group, member_role::Replica, 1, { 1, 11 },
                                { 1, 11 },       false };
    onControlAnswer(owner, { waits[0].number, status, false }, now, random, actions);
    const auto done = take<statement_done>();
    CHECK_EQUAL(1, static_cast<int>(done.size()));
    CHECK_FALSE(done[0].answer.error.has_value());
    CHECK_TRUE((done[0].answer.position == log_position{ 1, 11 }));
}

// Guards against sending a write twice after its connection was lost (M10) and calling it not run
// (M9).
TEST(group_owner, writeOnALostConnectionIsUnknownAndNotRepeated)
{
    start(1, make(statement_kind::Write));
    const auto sent = connectAll();
    onExecuted(owner, sent.at(0).id, std::nullopt, true, true, now, random, actions);
    const auto done = take<statement_done>();
    CHECK_TRUE(done.at(0).answer.error == error_kind::OutcomeUnknown);
    CHECK_TRUE(take<open_connection>().empty());
}

// Guards against a caller that waits for a dead member although another could answer.
TEST(group_owner, readOnASilentConnectionIsSentAgainElsewhere)
{
    auto read = make(statement_kind::Read);
    read.maxAge = 60s;
    start(1, std::move(read));
    const auto sent = connectAll();
    onExecuted(owner, sent.at(0).id, std::nullopt, true, true, now, random, actions);
    CHECK_TRUE(take<statement_done>().empty());
    const auto again = connectAll();
    CHECK_EQUAL(1, static_cast<int>(again.size()));
    reply(again[0], 0);
    CHECK_FALSE(take<statement_done>().at(0).answer.error.has_value());
}

// Guards against handing out the answer to another request (M8).
TEST(group_owner, foreignAnswerIsDroppedWithItsConnection)
{
    start(1, make(statement_kind::Write));
    auto sent = connectAll();
    sent.at(0).request.id = { 9, 9 };
    reply(sent[0], 11);
    CHECK_EQUAL(1, static_cast<int>(take<close_connection>().size()));
    CHECK_TRUE(take<statement_done>().at(0).answer.error == error_kind::OutcomeUnknown);
    CHECK_TRUE(owner.pool.connections.empty());
}

// Guards against exceeding the connections that this instance may open.
TEST(group_owner, opensNoMoreConnectionsThanItsShares)
{
    for (std::uint64_t handle = 1; handle <= 20; ++handle)
        start(handle, make(statement_kind::Write));
    CHECK_EQUAL(2, static_cast<int>(take<open_connection>().size()));
    CHECK_EQUAL(2, static_cast<int>(owner.pool.connections.size()));
    setConnectionLimit(owner, 0, now, random, actions);
    advance(owner, time_point{ 11s }, random, actions);
    const auto done = take<statement_done>();
    CHECK_EQUAL(20, static_cast<int>(done.size()));
    for (const auto &each : done)
        CHECK_TRUE(answerOf(*each.answer.error).outcome == request_outcome::NotRun);
}

// Guards against two transactions that share a connection (M3).
TEST(group_owner, transactionKeepsItsConnectionToItself)
{
    const std::uint64_t number = begin(1);
    const connection_id own = owner.transactions.at(number).connection;
    start(2, make(statement_kind::Write));
    for (const auto &sent : connectAll())
        CHECK_TRUE(sent.id != own);
    start(3, inTransaction(statement_kind::Write, number));
    const auto sent = take<send_statement>();
    CHECK_EQUAL(1, static_cast<int>(sent.size()));
    CHECK_EQUAL(own, sent[0].id);
    start(4, inTransaction(statement_kind::Read, number));
    CHECK_TRUE(take<statement_done>().at(0).answer.error == error_kind::TransactionBusy);
    reply(sent[0], 0);
    CHECK_FALSE(take<statement_done>().at(0).answer.error.has_value());
    start(5, inTransaction(statement_kind::Rollback, number));
    reply(take<send_statement>().at(0), 0);
    CHECK_TRUE(owner.transactions.empty());
    CHECK_TRUE(owner.pool.connections.at(own).state == connection_state::Idle);
}

// Guards against a workspace that uses another one's transaction (M4).
TEST(group_owner, foreignAndUnknownTransactionsAreRefused)
{
    const std::uint64_t number = begin(1);
    auto foreign = inTransaction(statement_kind::Commit, number);
    foreign.request.workspace = { "other" };
    start(2, std::move(foreign));
    CHECK_TRUE(take<statement_done>().at(0).answer.error == error_kind::TransactionForeign);
    start(3, inTransaction(statement_kind::Commit, number + 1));
    CHECK_TRUE(take<statement_done>().at(0).answer.error == error_kind::TransactionUnknown);
    CHECK_EQUAL(1, static_cast<int>(owner.transactions.size()));
}

// Guards against a commit whose answer was lost being reported as rolled back.
TEST(group_owner, lostCommitIsUnknownAndLostStatementIsRolledBack)
{
    const std::uint64_t first = begin(1);
    start(2, inTransaction(statement_kind::Commit, first));
    onExecuted(owner, take<send_statement>().at(0).id, std::nullopt, true, false, now, random,
               actions);
    CHECK_TRUE(take<statement_done>().at(0).answer.error == error_kind::OutcomeUnknown);
    CHECK_TRUE(owner.transactions.empty());
    now += 1s;
    observe("a", member_role::Primary, 11);
    const std::uint64_t second = begin(3);
    start(4, inTransaction(statement_kind::Write, second));
    onExecuted(owner, take<send_statement>().at(0).id, std::nullopt, true, false, now, random,
               actions);
    CHECK_TRUE(take<statement_done>().at(0).answer.error == error_kind::TransactionLost);
}

// Guards against a caller that vanishes and keeps a scarce connection for ever.
TEST(group_owner, idleTransactionIsRolledBack)
{
    begin(1);
    now += owner.limits.transactionIdleTimeout;
    advance(owner, now, random, actions);
    CHECK_TRUE(owner.transactions.empty());
    CHECK_EQUAL(1, static_cast<int>(take<close_connection>().size()));
    CHECK_TRUE(isDrained(owner));
}

// Guards against writes that wait without a bound, or are called unknown, while there is no
// primary.
TEST(group_owner, writeWithoutPrimaryEndsAtItsDeadlineAsNotRun)
{
    observeFailure(owner.view, { "a" }, member_failure::Refused, now, random);
    start(1, make(statement_kind::Write));
    CHECK_TRUE(take<open_connection>().empty());
    advance(owner, time_point{ 9s }, random, actions);
    for (const auto &each : take<open_connection>())
        onConnected(owner, each.id, false, now, random, actions);
    advance(owner, time_point{ 10s }, random, actions);
    const auto done = take<statement_done>();
    CHECK_EQUAL(1, static_cast<int>(done.size()));
    CHECK_TRUE(answerOf(*done[0].answer.error).outcome == request_outcome::NotRun);
    CHECK_TRUE(owner.statements.empty());
    CHECK_TRUE(owner.parked.empty());
}
