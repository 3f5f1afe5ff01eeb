/// @file
/// @brief Each check of the fault soak notices the error that it is there for.

#include <fuchsiagw/testing/soak_history.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace fuchsiagw::testing;
using namespace fuchsiagw;
using std::chrono::seconds;

namespace {

const core::time_point start{ std::chrono::hours(1) };

struct history_fixture
{
    soak_history history;

    void ask(const std::string &id, std::uint64_t unit, bool writes,
             proxy::consistency kind = proxy::consistency::Primary)
    {
        sent_statement from;
        from.text = "text " + id;
        from.workspace = "house";
        from.service = "books";
        from.unit = unit;
        from.writes = writes;
        from.kind = kind;
        from.maxStaleness = seconds(2);
        from.sentAt = from.unitSentAt = start + seconds(10);
        onStatementSent(history, id, from);
    }

    member_execution runOf(const std::string &id, core::log_index applied = 0)
    {
        member_execution run;
        run.id = id;
        run.text = "text " + id;
        run.workspace = "house";
        run.service = "books";
        run.member = "m1";
        run.applied = applied;
        run.digest = "digest " + id;
        run.now = start + seconds(10);
        return run;
    }

    void acknowledge(core::log_index index, core::time_point at)
    {
        history.acknowledged["books"].push_back({ at, { 1, index } });
    }

    void expect(soak_promise promise)
    {
        CHECK_EQUAL(1U, history.findings.size());
        CHECK(history.findings.front().promise == promise);
    }
};

} // namespace

TEST_GROUP(soak_history)
{
    history_fixture world;
};

TEST(soak_history, faultlessStatementsLeaveNoFinding)
{
    world.ask("a", 1, true);
    onStatementExecuted(world.history, world.runOf("a"));
    onCommitted(world.history, { "a" });
    onSuccess(world.history, "a", "digest a", {}, core::log_position{ 1, 1 }, start + seconds(11));
    world.ask("b", 2, false);
    onStatementExecuted(world.history, world.runOf("b", 1));
    onSuccess(world.history, "b", "digest b", {}, std::nullopt, start + seconds(12));
    CHECK(world.history.findings.empty());
}

TEST(soak_history, answerOfNoMemberIsNoticed)
{
    world.ask("a", 1, false);
    onStatementExecuted(world.history, world.runOf("a"));
    onSuccess(world.history, "a", "digest of another", {}, std::nullopt, start);
    world.expect(soak_promise::OwnAnswer);
}

TEST(soak_history, statementThatNobodyAskedIsNoticed)
{
    onStatementExecuted(world.history, world.runOf("a"));
    world.expect(soak_promise::OnlyAsked);
}

TEST(soak_history, otherWorkspaceIsNoticed)
{
    world.ask("a", 1, false);
    member_execution run = world.runOf("a");
    run.workspace = "rival";
    onStatementExecuted(world.history, run);
    world.expect(soak_promise::OnlyAsked);
}

TEST(soak_history, otherSessionsValuesAreNoticed)
{
    world.ask("a", 1, false);
    member_execution run = world.runOf("a");
    run.values["tz"] = "3";
    onStatementExecuted(world.history, run);
    world.expect(soak_promise::OneTransaction);
}

TEST(soak_history, twoCallersInOneTransactionAreNoticed)
{
    for (const auto &[id, unit] : { std::pair("a", 1), std::pair("b", 2) }) {
        world.ask(id, static_cast<std::uint64_t>(unit), true);
        world.history.asked.at(id).inTransaction = true;
        member_execution run = world.runOf(id);
        run.transaction = 7;
        onStatementExecuted(world.history, run);
    }
    world.expect(soak_promise::OneTransaction);
}

TEST(soak_history, statementOutsideItsTransactionIsNoticed)
{
    world.ask("a", 1, true);
    world.history.asked.at("a").inTransaction = true;
    onStatementExecuted(world.history, world.runOf("a"));
    world.expect(soak_promise::OneTransaction);
}

TEST(soak_history, secondEffectIsNoticed)
{
    world.ask("a", 1, true);
    onCommitted(world.history, { "a" });
    onCommitted(world.history, { "a" });
    world.expect(soak_promise::OnceOnly);
}

TEST(soak_history, effectThatWasRolledBackDoesNotCount)
{
    world.ask("a", 1, true);
    onCommitted(world.history, { "a" });
    onRolledBack(world.history, { "a" });
    onReportedNotApplied(world.history, 1);
    CHECK(world.history.findings.empty());
}

TEST(soak_history, untrueRefusalIsNoticedInEitherOrder)
{
    world.ask("a", 1, true);
    onCommitted(world.history, { "a" });
    onReportedNotApplied(world.history, 1);
    world.expect(soak_promise::TrueRefusal);
    world.history.findings.clear();
    world.ask("b", 2, true);
    onReportedNotApplied(world.history, 2);
    onCommitted(world.history, { "b" });
    world.expect(soak_promise::TrueRefusal);
}

TEST(soak_history, staleReadIsNoticedByTheKindOfItsRoute)
{
    world.acknowledge(3, start + seconds(9));
    world.ask("bounded", 1, false, proxy::consistency::BoundedStaleness);
    onStatementExecuted(world.history, world.runOf("bounded", 2));
    CHECK(world.history.findings.empty());
    world.ask("current", 2, false);
    onStatementExecuted(world.history, world.runOf("current", 2));
    world.expect(soak_promise::Fresh);
    world.history.findings.clear();
    world.acknowledge(4, start + seconds(7));
    world.ask("late", 3, false, proxy::consistency::BoundedStaleness);
    onStatementExecuted(world.history, world.runOf("late", 3));
    world.expect(soak_promise::Fresh);
}

TEST(soak_history, ownCommitIsDemanded)
{
    world.ask("own", 1, false, proxy::consistency::ReadYourWrites);
    world.history.asked.at("own").ownCommit = 5;
    onStatementExecuted(world.history, world.runOf("own", 4));
    world.expect(soak_promise::Fresh);
}

TEST(soak_history, lostCommitIsNoticed)
{
    world.acknowledge(3, start);
    onPromoted(world.history, "books", "node", 1,
               [](core::log_position position) { return position.index < 3; });
    world.expect(soak_promise::NothingLost);
}

TEST(soak_history, sharedTokenIsNoticed)
{
    const auto holdsAll = [](core::log_position) { return true; };
    onPromoted(world.history, "books", "node-1", 7, holdsAll);
    onPromoted(world.history, "books", "node-2", 7, holdsAll);
    world.expect(soak_promise::OnePromoter);
}

TEST(soak_history, withdrawnKeyIsNoticed)
{
    world.ask("a", 1, false);
    world.history.asked.at("a").keyEndsAt = start + seconds(9);
    onStatementExecuted(world.history, world.runOf("a"));
    world.expect(soak_promise::KeysEnd);
}

TEST(soak_history, exceededRateIsNoticed)
{
    world.history.rateLimits["house"] = { 2, 5 };
    for (std::uint64_t i = 0; i < 60 && world.history.findings.empty(); ++i) {
        const std::string id = "s" + std::to_string(i);
        world.ask(id, i, false);
        onStatementExecuted(world.history, world.runOf(id));
    }
    // (2 x 5 + 5) x 1.1 + 20 operations are allowed in a window.
    CHECK_EQUAL(37U, world.history.asked.size());
    world.expect(soak_promise::RateLimit);
}
