/// @file
/// @brief Tests that each check of the fault soak reports the violation that it looks for.
///
/// Guards against a soak that passes because a check no longer reports anything: each test records
/// one violation and expects exactly one finding of its guarantee.

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

    void send(const std::string &id, std::uint64_t unit, bool writes,
              proxy::consistency kind = proxy::consistency::Primary)
    {
        sent_statement statement;
        statement.text = "text " + id;
        statement.workspace = "house";
        statement.service = "books";
        statement.unit = unit;
        statement.writes = writes;
        statement.kind = kind;
        statement.maxStaleness = seconds(2);
        statement.sentAt = statement.unitSentAt = start + seconds(10);
        onStatementSent(history, id, statement);
    }

    member_execution executionOf(const std::string &id, core::log_index applied = 0)
    {
        member_execution execution;
        execution.id = id;
        execution.text = "text " + id;
        execution.workspace = "house";
        execution.service = "books";
        execution.member = "m1";
        execution.applied = applied;
        execution.answer.digest = "digest " + id;
        execution.executedAt = start + seconds(10);
        return execution;
    }

    void acknowledge(core::log_index index, core::time_point at)
    {
        history.acknowledged["books"].push_back({ at, { 1, index } });
    }

    void expectOnly(soak_guarantee guarantee)
    {
        CHECK_EQUAL(1U, history.findings.size());
        CHECK(history.findings.front().guarantee == guarantee);
    }
};

} // namespace

TEST_GROUP(soak_history)
{
    history_fixture fixture;
};

// Guards against findings for correct statements.
TEST(soak_history, correctStatementsLeaveNoFinding)
{
    fixture.send("a", 1, true);
    onStatementExecuted(fixture.history, fixture.executionOf("a"));
    onCommitted(fixture.history, { "a" });
    onSuccess(fixture.history, "a", { "digest a", {} }, core::log_position{ 1, 1 },
              start + seconds(11));
    fixture.send("b", 2, false);
    onStatementExecuted(fixture.history, fixture.executionOf("b", 1));
    onSuccess(fixture.history, "b", { "digest b", {} }, std::nullopt, start + seconds(12));
    CHECK(fixture.history.findings.empty());
}

TEST(soak_history, answerThatNoMemberGaveIsReported)
{
    fixture.send("a", 1, false);
    onStatementExecuted(fixture.history, fixture.executionOf("a"));
    onSuccess(fixture.history, "a", { "digest of another", {} }, std::nullopt, start);
    fixture.expectOnly(soak_guarantee::OwnAnswer);
}

// Guards against an answer that holds the digest of one execution and the rows of another one.
TEST(soak_history, rowsOfAnotherExecutionAreReported)
{
    fixture.send("a", 1, false);
    member_execution execution = fixture.executionOf("a");
    execution.answer = { "digest 1", { "old" } };
    onStatementExecuted(fixture.history, execution);
    execution.answer = { "digest 2", { "new" } };
    onStatementExecuted(fixture.history, execution);
    onSuccess(fixture.history, "a", { "digest 2", { "new" } }, std::nullopt, start);
    CHECK(fixture.history.findings.empty());
    onSuccess(fixture.history, "a", { "digest 2", { "old" } }, std::nullopt, start);
    fixture.expectOnly(soak_guarantee::OwnAnswer);
}

// Guards against rows that are lost, added, divided or changed in one byte.
TEST(soak_history, rowsThatDifferInAByteAreReported)
{
    using namespace std::string_literals;
    fixture.send("a", 1, false);
    member_execution execution = fixture.executionOf("a");
    execution.answer.rows = { "x\ny"s, ""s, "z\0z"s };
    onStatementExecuted(fixture.history, execution);
    onSuccess(fixture.history, "a", execution.answer, std::nullopt, start);
    CHECK(fixture.history.findings.empty());
    const std::vector<std::vector<std::string>> changed{
        { "x"s, "y"s, ""s, "z\0z"s }, { "x\ny"s, "z\0z"s },           { "x\ny"s, ""s, "z"s },
        { "x\r\ny"s, ""s, "z\0z"s },  { "x\ny"s, ""s, "z\0z"s, ""s }, {},
    };
    for (const auto &rows : changed) {
        onSuccess(fixture.history, "a", { "digest a", rows }, std::nullopt, start);
        fixture.expectOnly(soak_guarantee::OwnAnswer);
        fixture.history.findings.clear();
    }
}

// Guards against a read, write or commit that the proxy answers by itself.
TEST(soak_history, successWithoutDigestIsReported)
{
    fixture.send("a", 1, true);
    onStatementExecuted(fixture.history, fixture.executionOf("a"));
    onSuccess(fixture.history, "a", { "-", {} }, std::nullopt, start);
    fixture.expectOnly(soak_guarantee::OwnAnswer);
}

// Guards against the reply of a read that is passed on as the reply of a COMMIT.
TEST(soak_history, commitWithRowsIsReported)
{
    fixture.send("a", 1, false);
    fixture.history.sentStatements.at("a").text = "COMMIT";
    member_execution execution = fixture.executionOf("a");
    execution.text = "COMMIT";
    onStatementExecuted(fixture.history, execution);
    onSuccess(fixture.history, "a", { "digest a", { "row" } }, std::nullopt, start);
    fixture.expectOnly(soak_guarantee::OwnAnswer);
}

// Guards against a member's reply that is passed on as the reply of a SET, PREPARE or BEGIN.
TEST(soak_history, digestOrRowsWithoutAMembersAnswerAreReported)
{
    fixture.send("a", 1, false);
    fixture.history.sentStatements.at("a").reachesMember = false;
    onSuccess(fixture.history, "a", { "-", {} }, std::nullopt, start);
    CHECK(fixture.history.findings.empty());
    onSuccess(fixture.history, "a", { "-", { "row" } }, std::nullopt, start);
    fixture.expectOnly(soak_guarantee::OwnAnswer);
    fixture.history.findings.clear();
    onSuccess(fixture.history, "a", { "digest b", {} }, std::nullopt, start);
    fixture.expectOnly(soak_guarantee::OwnAnswer);
}

// Guards against a prepared statement that was acknowledged and is unknown later.
TEST(soak_history, acknowledgedNameThatIsUnknownIsReported)
{
    fixture.send("a", 1, false);
    onError(fixture.history, "a", "BUSY");
    CHECK(fixture.history.findings.empty());
    onError(fixture.history, "a", "NOSTMT");
    fixture.expectOnly(soak_guarantee::OneTransaction);
}

// Guards against a statement that ends at a line feed or a NUL, or loses blanks, on its way.
TEST(soak_history, textThatDiffersInAByteIsReported)
{
    using namespace std::string_literals;
    const std::string sent = "WRITE i x\ny\0 z  "s;
    for (const std::string &run : { "WRITE i x"s, "WRITE i x\ny"s, "WRITE i x\ny\0 z"s,
                                    "WRITE i x\r\ny\0 z  "s, "WRITE i x\ny\0 z   "s }) {
        fixture.history = {};
        fixture.send("a", 1, true);
        fixture.history.sentStatements.at("a").text = sent;
        member_execution execution = fixture.executionOf("a");
        execution.text = run;
        onStatementExecuted(fixture.history, execution);
        fixture.expectOnly(soak_guarantee::OnlyAsked);
    }
}

// Guards against a prepared statement that runs another shape than its caller prepared.
TEST(soak_history, shapeThatDiffersInAByteIsReported)
{
    fixture.send("a", 1, false);
    fixture.history.sentStatements.at("a").shape = "READ q  1";
    member_execution execution = fixture.executionOf("a");
    execution.shape = "READ q 1";
    onStatementExecuted(fixture.history, execution);
    fixture.expectOnly(soak_guarantee::OnlyAsked);
}

// Guards against a value that is cut at a byte, although its SET was acknowledged in full.
TEST(soak_history, sessionValueThatDiffersInAByteIsReported)
{
    fixture.send("a", 1, false);
    fixture.history.sentStatements.at("a").values["v1"] = "rr\nQUERY b READ c";
    member_execution execution = fixture.executionOf("a");
    execution.values["v1"] = "rr";
    onStatementExecuted(fixture.history, execution);
    fixture.expectOnly(soak_guarantee::OneTransaction);
}

// Guards against findings that can't be read because the bytes of their texts are printed raw.
TEST(soak_history, findingsPrintBytesEscaped)
{
    using namespace std::string_literals;
    STRCMP_EQUAL("a\\n\\r\\x00\\x80 \\x5c", printable("a\n\r\0\x80 \\"s).c_str());
    const std::string text = printable(std::string(70'000, 'x'));
    CHECK(text.size() < 200);
    CHECK(text.ends_with("(70000 bytes)"));
}

TEST(soak_history, statementThatNoCallerSentIsReported)
{
    onStatementExecuted(fixture.history, fixture.executionOf("a"));
    fixture.expectOnly(soak_guarantee::OnlyAsked);
}

TEST(soak_history, executionInAnotherWorkspaceIsReported)
{
    fixture.send("a", 1, false);
    member_execution execution = fixture.executionOf("a");
    execution.workspace = "rival";
    onStatementExecuted(fixture.history, execution);
    fixture.expectOnly(soak_guarantee::OnlyAsked);
}

TEST(soak_history, sessionValuesOfAnotherSessionAreReported)
{
    fixture.send("a", 1, false);
    member_execution execution = fixture.executionOf("a");
    execution.values["tz"] = "3";
    onStatementExecuted(fixture.history, execution);
    fixture.expectOnly(soak_guarantee::OneTransaction);
}

TEST(soak_history, twoCallersInOneTransactionAreReported)
{
    for (const auto &[id, unit] : { std::pair("a", 1), std::pair("b", 2) }) {
        fixture.send(id, static_cast<std::uint64_t>(unit), true);
        fixture.history.sentStatements.at(id).inTransaction = true;
        member_execution execution = fixture.executionOf(id);
        execution.transaction = 7;
        onStatementExecuted(fixture.history, execution);
    }
    fixture.expectOnly(soak_guarantee::OneTransaction);
}

TEST(soak_history, statementOutsideItsTransactionIsReported)
{
    fixture.send("a", 1, true);
    fixture.history.sentStatements.at("a").inTransaction = true;
    onStatementExecuted(fixture.history, fixture.executionOf("a"));
    fixture.expectOnly(soak_guarantee::OneTransaction);
}

TEST(soak_history, duplicateCommitIsReported)
{
    fixture.send("a", 1, true);
    onCommitted(fixture.history, { "a" });
    onCommitted(fixture.history, { "a" });
    fixture.expectOnly(soak_guarantee::OnceOnly);
}

// Guards against findings for a write that a promotion truncated before its caller received the
// report that it is not applied.
TEST(soak_history, rolledBackCommitDoesNotCount)
{
    fixture.send("a", 1, true);
    onCommitted(fixture.history, { "a" });
    onRolledBack(fixture.history, { "a" });
    onReportedNotApplied(fixture.history, 1);
    CHECK(fixture.history.findings.empty());
}

TEST(soak_history, committedWriteReportedAsNotAppliedIsReportedInEitherOrder)
{
    fixture.send("a", 1, true);
    onCommitted(fixture.history, { "a" });
    onReportedNotApplied(fixture.history, 1);
    fixture.expectOnly(soak_guarantee::TrueRefusal);
    fixture.history.findings.clear();
    fixture.send("b", 2, true);
    onReportedNotApplied(fixture.history, 2);
    onCommitted(fixture.history, { "b" });
    fixture.expectOnly(soak_guarantee::TrueRefusal);
}

TEST(soak_history, staleReadIsReportedPerConsistencyLevel)
{
    fixture.acknowledge(3, start + seconds(9));
    fixture.send("bounded", 1, false, proxy::consistency::BoundedStaleness);
    onStatementExecuted(fixture.history, fixture.executionOf("bounded", 2));
    CHECK(fixture.history.findings.empty());
    fixture.send("current", 2, false);
    onStatementExecuted(fixture.history, fixture.executionOf("current", 2));
    fixture.expectOnly(soak_guarantee::Fresh);
    fixture.history.findings.clear();
    fixture.acknowledge(4, start + seconds(7));
    fixture.send("late", 3, false, proxy::consistency::BoundedStaleness);
    onStatementExecuted(fixture.history, fixture.executionOf("late", 3));
    fixture.expectOnly(soak_guarantee::Fresh);
}

TEST(soak_history, readThatMissesTheSessionsOwnCommitIsReported)
{
    fixture.send("own", 1, false, proxy::consistency::ReadYourWrites);
    fixture.history.sentStatements.at("own").ownCommit = 5;
    onStatementExecuted(fixture.history, fixture.executionOf("own", 4));
    fixture.expectOnly(soak_guarantee::Fresh);
}

TEST(soak_history, acknowledgedCommitMissingAfterPromotionIsReported)
{
    fixture.acknowledge(3, start);
    onPromoted(fixture.history, "books", "node", 1,
               [](core::log_position position) { return position.index < 3; });
    fixture.expectOnly(soak_guarantee::NothingLost);
}

TEST(soak_history, fencingTokenUsedByTwoDaemonsIsReported)
{
    const auto containsAll = [](core::log_position) { return true; };
    onPromoted(fixture.history, "books", "node-1", 7, containsAll);
    onPromoted(fixture.history, "books", "node-2", 7, containsAll);
    fixture.expectOnly(soak_guarantee::OnePromoter);
}

TEST(soak_history, statementWithAWithdrawnKeyIsReported)
{
    fixture.send("a", 1, false);
    fixture.history.sentStatements.at("a").keyEndsAt = start + seconds(9);
    onStatementExecuted(fixture.history, fixture.executionOf("a"));
    fixture.expectOnly(soak_guarantee::KeysEnd);
}

TEST(soak_history, exceededRateLimitIsReported)
{
    fixture.history.rateLimits["house"] = { 2, 5 };
    for (std::uint64_t i = 0; i < 60 && fixture.history.findings.empty(); ++i) {
        const std::string id = "s" + std::to_string(i);
        fixture.send(id, i, false);
        onStatementExecuted(fixture.history, fixture.executionOf(id));
    }
    // The limit of a 5 s window is (2 x 5 + 5) x 1.1 + 20 operations.
    CHECK_EQUAL(37U, fixture.history.sentStatements.size());
    fixture.expectOnly(soak_guarantee::RateLimit);
}
