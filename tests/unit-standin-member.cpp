/// @file
/// @brief Tests of the model of a group member.

#include <fuchsiagw/testing/member_model.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using core::execute_status;
using core::statement_kind;

namespace {

constexpr core::time_point at(std::int64_t milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

member_model makeMember(const char *name)
{
    member_model model;
    model.member = { name };
    model.group = { "g" };
    return model;
}

} // namespace

/// Primary `a` with replicas `b` and `c` in term 1; only copyLog() replicates.
TEST_GROUP(member_model)
{
    member_model a = makeMember("a");
    member_model b = makeMember("b");
    member_model c = makeMember("c");

    void setup() override
    {
        for (member_model *each : { &a, &b, &c })
            CHECK_TRUE(acceptTerm(*each, 1).accepted);
        CHECK_TRUE(lead(a, 1, at(0)).accepted);
        CHECK_TRUE(follow(b, 1, { "a" }).accepted);
        CHECK_TRUE(follow(c, 1, { "a" }).accepted);
    }

    static core::execute_request request(const member_model &model, statement_kind kind,
                                         const char *statement)
    {
        return { { 7, 9 }, { "cafe" }, model.term, kind, statement, {}, "" };
    }

    static core::execute_answer write(member_model & model, const char *statement,
                                      connection_number connection = 1, const char *key = "",
                                      core::time_point now = at(1))
    {
        auto each = request(model, statement_kind::Write, statement);
        each.idempotencyKey = key;
        return execute(model, connection, each, now).answer;
    }

    static core::execute_status run(member_model & model, statement_kind kind,
                                    connection_number connection)
    {
        return execute(model, connection, request(model, kind, ""), at(1)).answer.status;
    }

    static std::string get(member_model & model, const char *key, connection_number connection = 1)
    {
        const std::string text = std::string("get ") + key;
        const auto answer = execute(model, connection,
                                    request(model, statement_kind::Read, text.c_str()), at(1))
                                    .answer;
        CHECK_TRUE(answer.status == execute_status::Ok);
        return answer.rows.empty() ? "" : answer.rows[0][0];
    }
};

// Guards against commands whose results differ from those that other tests expect, and against
// invalid commands that change data.
TEST(member_model, runsEveryCommand)
{
    STRCMP_EQUAL("2", write(a, "add n 2").rows[0][0].c_str());
    STRCMP_EQUAL("-3", write(a, "add n -5").rows[0][0].c_str());
    CHECK_TRUE(write(a, "append t x y").status == execute_status::Ok);
    CHECK_TRUE(write(a, "append t z").status == execute_status::Ok);
    STRCMP_EQUAL("x yz", get(a, "t").c_str());
    auto bound = request(a, statement_kind::Write, "set $2 $1");
    bound.parameters = { "v w", "k" };
    CHECK_TRUE(execute(a, 1, bound, at(1)).answer.status == execute_status::Ok);
    STRCMP_EQUAL("v w", get(a, "k").c_str());
    const auto end = statusOf(a).last;
    for (const char *wrong : { "fail", "drop k", "set", "set k $1", "set k $0", "add t 1",
                               "add big 9223372036854775808", "" })
        CHECK_TRUE(write(a, wrong).status == execute_status::Failed);
    CHECK_TRUE(execute(a, 1, request(a, statement_kind::Read, "set k 1"), at(1)).answer.status
               == execute_status::Failed);
    CHECK_TRUE(statusOf(a).last == end);
    STRCMP_EQUAL("v w", get(a, "k").c_str());
}

// Guards against a workspace that reads another one's data, or gets its answer because both use the
// same idempotency key.
TEST(member_model, workspacesShareNeitherDataNorIdempotencyKeys)
{
    CHECK_TRUE(write(a, "set k mine", 1, "key").status == execute_status::Ok);
    auto foreign = request(a, statement_kind::Write, "get k");
    foreign.workspace = { "other" };
    foreign.idempotencyKey = "key";
    const execution result = execute(a, 2, foreign, at(1));
    CHECK_TRUE(result.hasRun);
    CHECK_TRUE(result.answer.rows.empty());
}

// Guards against a write that a primary accepts after it has accepted a higher term.
TEST(member_model, refusesOtherTermsAndWritesAtReplicas)
{
    auto old = request(a, statement_kind::Write, "set k 1");
    CHECK_TRUE(acceptTerm(a, 5).accepted);
    CHECK_FALSE(acceptTerm(a, 5).accepted);
    CHECK_FALSE(acceptTerm(a, 4).accepted);
    for (const core::term_number term : { 0, 1, 4, 5, 6 }) {
        old.term = term;
        const execution result = execute(a, 1, old, at(1));
        CHECK_TRUE(result.answer.status == execute_status::Refused);
        CHECK_FALSE(result.hasRun);
        CHECK_EQUAL(5, result.answer.term);
    }
    CHECK_FALSE(lead(a, 4, at(1)).accepted);
    CHECK_FALSE(lead(a, 6, at(1)).accepted);
    CHECK_FALSE(follow(a, 4, { "b" }).accepted);
    CHECK_TRUE(write(b, "set k 1").status == execute_status::Refused);
    CHECK_EQUAL(1, statusOf(a).last.index);
}

// Guards against a replica that copies entries from a primary of a lower term, or from a member
// that it does not follow.
TEST(member_model, copiesOnlyFromThePrimaryOfItsTerm)
{
    CHECK_TRUE(acceptTerm(b, 2).accepted);
    CHECK_TRUE(follow(b, 2, { "a" }).accepted);
    CHECK_FALSE(copyLog(b, a, at(100)));
    CHECK_FALSE(copyLog(c, b, at(100)));
    CHECK_FALSE(copyLog(a, b, at(100)));
    CHECK_TRUE(copyLog(c, a, at(100)));
    CHECK_FALSE(copyLog(c, a, at(100)));
}

// Guards against two primaries in one term.
TEST(member_model, termHasOnePrimary)
{
    CHECK_FALSE(lead(b, 1, at(1)).accepted);
    CHECK_FALSE(follow(a, 1, { "b" }).accepted);
    CHECK_FALSE(follow(b, 1, { "c" }).accepted);
    CHECK_TRUE(follow(b, 1, { "a" }).accepted);
    const auto before = statusOf(a).last;
    CHECK_TRUE(lead(a, 1, at(1)).accepted);
    CHECK_TRUE(statusOf(a).last == before);
}

// Guards against a former primary that keeps entries which the new primary's log does not contain.
TEST(member_model, truncatesDivergingLog)
{
    CHECK_TRUE(write(a, "set k common").status == execute_status::Ok);
    CHECK_TRUE(copyLog(b, a, at(100)));
    CHECK_TRUE(write(a, "set k lost", 1, "key").status == execute_status::Ok);
    CHECK_TRUE(write(a, "set other lost").status == execute_status::Ok);
    const auto lost = statusOf(a).last;

    CHECK_TRUE(acceptTerm(b, 2).accepted);
    CHECK_TRUE(lead(b, 2, at(200)).accepted);
    STRCMP_EQUAL("common", get(b, "k").c_str());
    CHECK_TRUE(acceptTerm(a, 2).accepted);
    CHECK_TRUE(follow(a, 2, { "b" }).accepted);
    // Diverging entries are truncated at once; new ones are copied after the lag.
    CHECK_TRUE(copyLog(a, b, at(199)));
    CHECK_TRUE((statusOf(a).last == core::log_position{ 1, 2 }));
    CHECK_FALSE(holds(a, { 2, 2 }));
    CHECK_TRUE(copyLog(a, b, at(200)));
    CHECK_TRUE(statusOf(a).last == statusOf(b).last);
    CHECK_TRUE(holds(a, statusOf(b).last));
    CHECK_FALSE(holds(a, lost));
    applyLog(a, at(200));
    STRCMP_EQUAL("common", get(a, "k").c_str());
    STRCMP_EQUAL("", get(a, "other").c_str());

    CHECK_TRUE(acceptTerm(a, 3).accepted);
    CHECK_TRUE(lead(a, 3, at(300)).accepted);
    CHECK_TRUE(write(a, "append k +", 1, "key").status == execute_status::Ok);
    STRCMP_EQUAL("common+", get(a, "k").c_str());
}

// Guards against a retried write that is executed twice, also after a promotion.
TEST(member_model, repeatedIdempotencyKeyGetsTheFirstAnswer)
{
    const auto first = write(a, "add n 1", 1, "key");
    CHECK_TRUE(write(a, "add n 1").status == execute_status::Ok);
    auto repeat = request(a, statement_kind::Write, "add n 1");
    repeat.idempotencyKey = "key";
    repeat.id = { 1, 1 };
    const execution result = execute(a, 2, repeat, at(5));
    CHECK_FALSE(result.hasRun);
    CHECK_TRUE(result.answer.id == repeat.id);
    CHECK_TRUE(result.answer.rows == first.rows);
    CHECK_TRUE(result.answer.position == first.position);
    STRCMP_EQUAL("2", get(a, "n").c_str());

    CHECK_TRUE(copyLog(b, a, at(100)));
    CHECK_TRUE(acceptTerm(b, 2).accepted);
    CHECK_TRUE(lead(b, 2, at(200)).accepted);
    const auto promoted = write(b, "add n 1", 1, "key");
    CHECK_TRUE(promoted.rows == first.rows);
    // A majority that holds this position also holds the older entry.
    CHECK_TRUE((promoted.position == core::log_position{ 2, 4 }));
    STRCMP_EQUAL("2", get(b, "n").c_str());
    // A failed write has no entry and may succeed later.
    CHECK_TRUE(write(b, "fail", 1, "again").status == execute_status::Failed);
    CHECK_TRUE(write(b, "add n 1", 1, "again").status == execute_status::Ok);
}

// Guards against a read whose answer does not report how far the replica has applied the log.
TEST(member_model, replicaReadReportsItsAppliedPosition)
{
    CHECK_TRUE(write(a, "set k 1", 1, "", at(10)).status == execute_status::Ok);
    CHECK_TRUE(write(a, "set k 2", 1, "", at(20)).status == execute_status::Ok);
    CHECK_TRUE(copyLog(b, a, at(15)));
    CHECK_TRUE((statusOf(b).last == core::log_position{ 1, 2 }));
    CHECK_TRUE((statusOf(b).applied == core::log_position{}));
    CHECK_TRUE(holds(b, { 1, 2 }));
    CHECK_FALSE(holds(b, { 1, 3 }));
    applyLog(b, at(15));
    const auto answer = execute(b, 1, request(b, statement_kind::Read, "get k"), at(30)).answer;
    STRCMP_EQUAL("1", answer.rows[0][0].c_str());
    CHECK_TRUE((answer.applied == core::log_position{ 1, 2 }));
    CHECK_TRUE((answer.position == core::log_position{}));
}

// Guards against transactions that read or commit each other's writes.
TEST(member_model, transactionsOfTwoConnectionsAreIsolated)
{
    for (const connection_number connection : { 1, 2 })
        CHECK_TRUE(run(a, statement_kind::Begin, connection) == execute_status::Ok);
    CHECK_TRUE(write(a, "set x one", 1).status == execute_status::Ok);
    CHECK_TRUE(write(a, "set y two", 2).status == execute_status::Ok);
    STRCMP_EQUAL("", get(a, "y", 1).c_str());
    STRCMP_EQUAL("", get(a, "x", 3).c_str());
    const auto end = statusOf(a).last.index;
    CHECK_TRUE(run(a, statement_kind::Rollback, 2) == execute_status::Ok);
    CHECK_TRUE(run(a, statement_kind::Commit, 1) == execute_status::Ok);
    CHECK_EQUAL(end + 1, statusOf(a).last.index);
    STRCMP_EQUAL("one", get(a, "x", 3).c_str());
    STRCMP_EQUAL("", get(a, "y", 3).c_str());
    // The connection's transaction has ended.
    CHECK_TRUE(run(a, statement_kind::Commit, 1) == execute_status::Refused);
}

// Guards against a lost update between two concurrent transactions.
TEST(member_model, commitFailsIfAnotherTransactionChangedItsKeys)
{
    for (const connection_number connection : { 1, 2 }) {
        CHECK_TRUE(run(a, statement_kind::Begin, connection) == execute_status::Ok);
        CHECK_TRUE(write(a, "add n 1", connection).status == execute_status::Ok);
    }
    CHECK_TRUE(run(a, statement_kind::Commit, 1) == execute_status::Ok);
    CHECK_TRUE(run(a, statement_kind::Commit, 2) == execute_status::Failed);
    STRCMP_EQUAL("1", get(a, "n").c_str());
}

// Guards against a transaction that remains open after its connection or its term has ended, or
// that accepts statements of another workspace.
TEST(member_model, transactionEndsWithItsConnectionAndItsTerm)
{
    CHECK_TRUE(run(a, statement_kind::Begin, 1) == execute_status::Ok);
    CHECK_TRUE(run(a, statement_kind::Begin, 1) == execute_status::Refused);
    auto foreign = request(a, statement_kind::Write, "set x 1");
    foreign.workspace = { "other" };
    CHECK_TRUE(execute(a, 1, foreign, at(1)).answer.status == execute_status::Refused);
    CHECK_TRUE(write(a, "set x 1", 1).status == execute_status::Ok);
    closeConnection(a, 1);
    CHECK_TRUE(run(a, statement_kind::Commit, 1) == execute_status::Refused);
    CHECK_TRUE(run(a, statement_kind::Begin, 2) == execute_status::Ok);
    CHECK_TRUE(acceptTerm(a, 2).accepted);
    CHECK_TRUE(run(a, statement_kind::Commit, 2) == execute_status::Refused);
    CHECK_TRUE(lead(a, 2, at(2)).accepted);
    STRCMP_EQUAL("", get(a, "x").c_str());
}
