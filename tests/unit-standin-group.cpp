/// @file
/// @brief Tests of the stand-in for a database group, over loopback connections.

#include <utility>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_connection.hpp>
#include <fuchsiagw/testing/group_standin.hpp>
#include <fuchsiagw/wire/member_json.hpp>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using namespace std::chrono_literals;
using core::execute_status;
using core::statement_kind;

namespace {

using connection = std::shared_ptr<net::http_connection>;

/// An HTTP exchange that may still be in progress.
struct call_state
{
    bool isFinished = false;
    net::http_exchange outcome;
};

using call = std::shared_ptr<call_state>;

core::execute_answer answerOf(const call &each)
{
    core::execute_answer answer;
    CHECK_FALSE(each->outcome.error);
    CHECK_FALSE(wire::fromJson(each->outcome.response.body, answer));
    return answer;
}

} // namespace

TEST_GROUP(group_standin)
{
    boost::asio::io_context context;
    std::unique_ptr<group_standin> group;
    std::uint64_t newestId = 0;

    void startGroup(core::duration lag = 0ms, std::uint32_t slots = 2, core::duration execute = 0ms)
    {
        group_standin_settings settings;
        settings.group = { "g" };
        settings.connections = 3;
        settings.slots = slots;
        settings.execute = execute;
        settings.lag = lag;
        group = std::make_unique<group_standin>(context, settings);
        CHECK_FALSE(group->start());
    }

    void waitFor(const std::function<bool()> &condition)
    {
        const auto deadline = net::currentTime() + 20s;
        while (!condition() && net::currentTime() < deadline)
            context.run_one_for(100ms);
        CHECK_TRUE(condition());
    }

    core::member_status statusOf(std::size_t member) const
    {
        return group->describe().members.at(member).status;
    }

    connection open(std::size_t member, bool expectSuccess = true)
    {
        net::endpoint address;
        CHECK_FALSE(net::parseEndpoint(group->describe().members.at(member).address, address));
        auto result = net::http_connection::create(context, address);
        bool isFinished = false;
        std::error_code error;
        result->connect(net::currentTime() + 5s, [&](std::error_code code) {
            error = code;
            isFinished = true;
        });
        waitFor([&] { return isFinished; });
        CHECK_EQUAL(expectSuccess, !error);
        return result;
    }

    call send(const connection &to, const char *method, const std::string &target,
              const std::string &body, std::chrono::milliseconds timeout = 10s)
    {
        auto result = std::make_shared<call_state>();
        to->exchange({ method, target, { { "X-Probe", "seen" } }, body },
                     net::currentTime() + timeout, [result](net::http_exchange &&outcome) {
                         result->outcome = std::move(outcome);
                         result->isFinished = true;
                     });
        return result;
    }

    call sendStatement(const connection &to, statement_kind kind, const char *statement,
                       const char *key = "", core::term_number term = 1,
                       std::chrono::milliseconds timeout = 10s)
    {
        const core::execute_request request{ { 1, ++newestId }, { "w" }, term, kind,
                                             statement,         {},      key };
        return send(to, "POST", "/execute", wire::toJson(request), timeout);
    }

    call waitForAnswer(const call &each)
    {
        waitFor([&each] { return each->isFinished; });
        return each;
    }

    core::execute_answer run(const connection &to, statement_kind kind, const char *statement,
                             const char *key = "", core::term_number term = 1)
    {
        return answerOf(waitForAnswer(sendStatement(to, kind, statement, key, term)));
    }

    bool acceptTerm(std::size_t member, const char *body)
    {
        core::accept_term_answer answer;
        const auto each = waitForAnswer(send(open(member), "POST", "/accept_term", body));
        CHECK_FALSE(wire::fromJson(each->outcome.response.body, answer));
        return answer.accepted;
    }

    core::member_status sendTermRequest(std::size_t member, const char *target, const char *body)
    {
        core::member_status status;
        const auto each = waitForAnswer(send(open(member), "POST", target, body));
        CHECK_FALSE(wire::fromJson(each->outcome.response.body, status));
        return status;
    }

    void setFault(const char *member, member_fault kind, bool on,
                  std::optional<std::uint64_t> value = {})
    {
        CHECK_FALSE(group->setFault({ { member }, kind, on, value }));
    }
};

// Guards against a group that accepts data connections beyond its limit, or that counts control
// requests towards it.
TEST(group_standin, refusesExcessConnectionsButNotControlRequests)
{
    startGroup();
    std::vector<connection> connections;
    for (std::size_t i = 0; i < 3; ++i) {
        connections.push_back(open(i));
        CHECK_TRUE(run(connections.back(), statement_kind::Read, "get k").status
                   == execute_status::Ok);
    }
    const auto excess = open(0);
    const auto refused = waitForAnswer(sendStatement(excess, statement_kind::Write, "set k 1"));
    CHECK_EQUAL(503, refused->outcome.response.status);
    CHECK_TRUE(answerOf(refused).status == execute_status::Refused);
    CHECK_EQUAL(200, waitForAnswer(send(excess, "GET", "/status", ""))->outcome.response.status);
    CHECK_EQUAL(3, group->counters().executed);
    connections[1]->close();
    waitFor([this] { return group->counters().connections == 2; });
    CHECK_TRUE(run(excess, statement_kind::Write, "set k 1").status == execute_status::Ok);
    CHECK_EQUAL(3, group->counters().peakConnections);
}

// Guards against a history that omits statements or headers that reached a member: tests search the
// history for secrets that must not reach an upstream.
TEST(group_standin, historyShowsStatementsAndHeaders)
{
    startGroup();
    const auto caller = open(0);
    const auto answer = run(caller, statement_kind::Write, "set k 1", "key");
    run(caller, statement_kind::Write, "set k 1", "key");
    const auto history = group->history(0);
    CHECK_EQUAL(2, history.newest);
    const executed_statement &first = history.statements.at(0);
    CHECK_TRUE(first.id == answer.id);
    CHECK_TRUE(first.position == answer.position);
    STRCMP_EQUAL("w", first.workspace.value.c_str());
    CHECK_TRUE(first.hasRun);
    CHECK_FALSE(history.statements.at(1).hasRun);
    bool hasProbe = false;
    for (const auto &header : first.headers)
        hasProbe = hasProbe || header == std::vector<std::string>{ "X-Probe", "seen" };
    CHECK_TRUE(hasProbe);
    CHECK_EQUAL(1, group->history(1).statements.size());
    statement_history parsed;
    CHECK_FALSE(fromJson(toJson(history), parsed));
    CHECK_TRUE(parsed.statements.at(0).headers == first.headers);
}

// Guards against a failover after which the old primary still accepts writes, or keeps a write that
// was not replicated.
TEST(group_standin, promotionFencesTheOldPrimary)
{
    startGroup();
    const auto old = open(0);
    CHECK_TRUE(run(old, statement_kind::Write, "set k 1").status == execute_status::Ok);
    setFault("g-1", member_fault::Isolate, true);
    CHECK_TRUE(run(old, statement_kind::Write, "set k lost").status == execute_status::Ok);
    for (const std::size_t member : { 1, 2 })
        CHECK_TRUE(acceptTerm(member, R"({"term":9})"));
    CHECK_TRUE(sendTermRequest(1, "/lead", R"({"term":8})").role == core::member_role::Replica);
    CHECK_TRUE(sendTermRequest(1, "/lead", R"({"term":9})").role == core::member_role::Primary);
    CHECK_EQUAL(9, sendTermRequest(2, "/follow", R"({"term":9,"primary":"g-2"})").term);
    const auto next = open(1);
    const auto kept = run(next, statement_kind::Write, "append k +", "", 9);
    STRCMP_EQUAL("1+", kept.rows.at(0).at(0).c_str());
    CHECK_TRUE(statusOf(2).last == kept.position);

    CHECK_TRUE(acceptTerm(0, R"({"term":9})"));
    CHECK_TRUE(run(old, statement_kind::Write, "set k 2").status == execute_status::Refused);
    CHECK_EQUAL(9, sendTermRequest(0, "/follow", R"({"term":9,"primary":"g-2"})").term);
    CHECK_TRUE(statusOf(0).last < kept.position);
    setFault("g-1", member_fault::Isolate, false);
    CHECK_TRUE(statusOf(0).last == kept.position);
    STRCMP_EQUAL("1+", run(old, statement_kind::Read, "get k", "", 9).rows.at(0).at(0).c_str());
}

// Guards against a wait that is answered before the replica's log reaches the position, and against
// one that is not answered at its timeout or when the term changes.
TEST(group_standin, waitEndsAtThePositionOrTheTimeoutOrANewTerm)
{
    startGroup(20ms);
    setFault("g-3", member_fault::Isolate, true);
    const auto until = run(open(0), statement_kind::Write, "set k 1").position;
    const auto target = [&until](const char *milliseconds) {
        return "/wait?term=1&index=" + std::to_string(until.index) + "&wait_ms=" + milliseconds;
    };
    const auto reached = send(open(1), "GET", target("15000"), "");
    const auto missed = send(open(2), "GET", target("30"), "");
    const auto fenced = send(open(2), "GET", target("15000"), "");
    core::member_status status;
    CHECK_FALSE(wire::fromJson(waitForAnswer(reached)->outcome.response.body, status));
    CHECK_TRUE(status.last == until);
    CHECK_FALSE(wire::fromJson(waitForAnswer(missed)->outcome.response.body, status));
    CHECK_TRUE(status.last < until);
    CHECK_FALSE(fenced->isFinished);
    CHECK_TRUE(acceptTerm(2, R"({"term":5})"));
    CHECK_FALSE(wire::fromJson(waitForAnswer(fenced)->outcome.response.body, status));
    CHECK_EQUAL(5, status.term);
}

// Guards against a lag fault without effect on reads.
TEST(group_standin, lagFaultDelaysReadsOfAReplica)
{
    startGroup();
    setFault("g-2", member_fault::Lag, true, 3'600'000);
    const auto written = run(open(0), statement_kind::Write, "set k 1");
    const auto replica = open(1);
    CHECK_TRUE(run(replica, statement_kind::Read, "get k").applied < written.position);
    setFault("g-2", member_fault::Lag, false);
    CHECK_TRUE(run(replica, statement_kind::Read, "get k").applied == written.position);
}

// Guards against a member that executes more statements concurrently than it has slots.
TEST(group_standin, statementsWaitForASlot)
{
    startGroup(0ms, 1, 20ms);
    const auto start = net::currentTime();
    const auto first = sendStatement(open(0), statement_kind::Write, "add n 1");
    const auto second = sendStatement(open(0), statement_kind::Write, "add n 1");
    waitForAnswer(first);
    waitForAnswer(second);
    CHECK_TRUE(net::currentTime() - start >= 40ms);
}

// Guards against a statement of a transaction that executes outside of it, and so commits, because
// its connection was closed and the transaction rolled back while the statement was in a slot.
TEST(group_standin, closingAConnectionRollsBackItsTransaction)
{
    startGroup(0ms, 2, 20ms);
    const auto caller = open(0);
    CHECK_TRUE(run(caller, statement_kind::Begin, "").status == execute_status::Ok);
    sendStatement(caller, statement_kind::Write, "set k 1");
    waitFor([this] { return group->counters().received == 2; });
    caller->close();
    waitFor([this] { return group->counters().connections == 0; });
    const auto other = open(0);
    CHECK_TRUE(run(other, statement_kind::Write, "add n 1").status == execute_status::Ok);
    CHECK_TRUE(run(other, statement_kind::Read, "get k").rows.empty());
}

// Guards against a stop that loses the member's log or leaves its connections open.
TEST(group_standin, restartedMemberKeepsItsLog)
{
    startGroup();
    const auto caller = open(0);
    run(caller, statement_kind::Write, "set k 1");
    setFault("g-1", member_fault::Stop, true);
    CHECK_EQUAL(0, group->counters().connections);
    open(0, false);
    setFault("g-1", member_fault::Stop, false);
    STRCMP_EQUAL("1", run(open(0), statement_kind::Read, "get k").rows.at(0).at(0).c_str());
}

// Guards against the fault Silent ending on affected connections when it is switched off, and
// against it affecting new connections.
TEST(group_standin, silentConnectionStaysSilent)
{
    startGroup();
    const auto silent = open(0);
    run(silent, statement_kind::Write, "set k 1");
    setFault("g-1", member_fault::Silent, true);
    setFault("g-1", member_fault::Silent, false);
    const auto lost = sendStatement(silent, statement_kind::Write, "set k 2", "", 1, 50ms);
    STRCMP_EQUAL("1", run(open(0), statement_kind::Read, "get k").rows.at(0).at(0).c_str());
    CHECK_TRUE(static_cast<bool>(waitForAnswer(lost)->outcome.error));
}

// Guards against a lost answer whose statement was not executed, or is executed again when its
// idempotency key is repeated.
TEST(group_standin, lostAnswerIsRepeatedForItsKey)
{
    startGroup();
    setFault("g-1", member_fault::LoseAnswer, true, 1);
    const auto lost = sendStatement(open(0), statement_kind::Write, "add n 1", "key", 1, 50ms);
    CHECK_TRUE(static_cast<bool>(waitForAnswer(lost)->outcome.error));
    STRCMP_EQUAL("1",
                 run(open(0), statement_kind::Write, "add n 1", "key").rows.at(0).at(0).c_str());
}

// Guards against a fault Cross that does not swap the answers, or that affects more than the given
// number.
TEST(group_standin, crossedAnswersArriveOnEachOthersConnections)
{
    startGroup();
    setFault("g-1", member_fault::Cross, true, 2);
    const auto one = sendStatement(open(0), statement_kind::Write, "add n 1");
    const auto two = sendStatement(open(0), statement_kind::Write, "add n 1");
    CHECK_EQUAL(2, answerOf(waitForAnswer(one)).id.low);
    CHECK_EQUAL(1, answerOf(waitForAnswer(two)).id.low);
    CHECK_EQUAL(3, run(open(0), statement_kind::Read, "get n").id.low);
}

// Guards against a simulated partition that drops requests. TCP would deliver them after the
// partition, even if the caller has stopped waiting for the answer.
TEST(group_standin, delayedRequestsAreServedAfterThePartition)
{
    startGroup();
    setFault("g-1", member_fault::IsolateCallers, true);
    const auto delayed = sendStatement(open(0), statement_kind::Write, "add n 1");
    const auto abandoned = open(0);
    waitForAnswer(sendStatement(abandoned, statement_kind::Write, "add n 1", "", 1, 50ms));
    CHECK_FALSE(delayed->isFinished);
    CHECK_EQUAL(0, group->counters().executed);
    setFault("g-1", member_fault::IsolateCallers, false);
    CHECK_TRUE(answerOf(waitForAnswer(delayed)).status == execute_status::Ok);
    waitFor([this] { return group->counters().executed == 2; });
}

// Guards against delays that are too short, faults that are accepted without their value or for an
// unknown member, and a leaving member whose status does not report it.
TEST(group_standin, slowAndLateDelayAnswers)
{
    startGroup();
    const auto caller = open(0);
    for (const member_fault kind : { member_fault::Slow, member_fault::Late }) {
        setFault("g-1", kind, true, 30);
        const auto start = net::currentTime();
        run(caller, statement_kind::Read, "get k");
        CHECK_TRUE(net::currentTime() - start >= 30ms);
        setFault("g-1", kind, false);
    }
    CHECK_TRUE(static_cast<bool>(group->setFault({ { "g-1" }, member_fault::Late, true, {} })));
    CHECK_TRUE(static_cast<bool>(group->setFault({ { "g-4" }, member_fault::Stop, true, {} })));
    setFault("g-1", member_fault::Leaving, true);
    core::member_status status;
    CHECK_FALSE(wire::fromJson(
            waitForAnswer(send(caller, "GET", "/status", ""))->outcome.response.body, status));
    CHECK_TRUE(status.leaving);
}
