/// @file
/// @brief Tests that a request never ends without an answer because the proxy closes its session.

#include "gateway-fixture.hpp"
#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;
using boost::asio::ip::tcp;
using fuchsiagw::testing::gateway_fixture;

namespace {

/// A caller that reads nothing until the gateway has closed its session.
struct slow_caller
{
    gateway_fixture &fixture;
    tcp::socket socket;

    explicit slow_caller(gateway_fixture &gateway)
        : fixture(gateway)
        , socket(gateway.context)
    {
        socket.connect({ fixture.values.callerAddress.address, fixture.values.callerAddress.port });
        send("STARTUP d k\r\n");
        CHECK_TRUE(fixture.runUntil([this] { return fixture.metric("sessions") == 1; }));
    }

    void send(const std::string &text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        fixture.context.run_for(std::chrono::milliseconds(2));
    }

    /// @return what the caller got, up to the end of the connection or its reset
    std::string readAll()
    {
        std::string text;
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::dynamic_buffer(text), ignored);
        return text;
    }
};

} // namespace

TEST_GROUP(session_end_on_sockets)
{
    gateway_fixture fixture;
};

// Guards against a request without an answer (LOST): at a planned stop it arrives just after its
// idle session was closed, because its packet was lost and sent again.
TEST(session_end_on_sockets, requestThatCrossesTheCloseAtAStopIsRefused)
{
    slow_caller caller(fixture);
    fixture.gateway->stop([] {});
    CHECK_TRUE(fixture.runUntil([this] { return fixture.metric("sessions") == 0; },
                                std::chrono::seconds(5)));
    caller.send("QUERY 1 READ a\r\n");
    STRCMP_EQUAL("READY I -\r\nERROR ABORTED stopping\r\n", caller.readAll().c_str());
    DOUBLES_EQUAL(1, fixture.metric("inputs_dropped_total"), 0);
}

TEST_GROUP(session_end)
{
    proxy_fixture fixture;

    void setup() override
    {
        manifest slow = proxy_fixture::makeManifest(2);
        for (auto &[database, each] : slow.routes)
            each.statementTimeout = std::chrono::seconds(8);
        fixture.applyManifest(slow);
    }

    /// Answers the oldest command of a transaction.
    void answerInTransaction()
    {
        fixture.answer(fixture.busyLink(),
                       proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    }

    /// Answers a single read, which is sent inside a transaction of the proxy.
    void answerRead()
    {
        const link_id link = fixture.busyLink();
        fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
        fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
        fixture.answer(link, proxy_fixture::success({ 1, 7 }));
    }

    std::size_t countAnswers(session_id id)
    {
        return proxy_fixture::answersTo(id, fixture.takeActions()).size();
    }
};

// Guards against statements without an answer (LOST): they were sent ahead behind one whose refusal
// ends the session at a planned stop.
TEST(session_end, statementsSentAheadOfAStopAreRefused)
{
    const session_id id = fixture.openSession("current");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    fixture.sendRead(id);
    fixture.acceptLinks();
    answerInTransaction();
    answerInTransaction();
    onStop(fixture.state, fixture.now);
    fixture.advanceTime(std::chrono::milliseconds(2'000));
    fixture.sendRead(id);
    fixture.sendStatement(id, statement_kind::Rollback, "ROLLBACK");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    fixture.sendRead(id);
    fixture.sendStatement(id, statement_kind::Commit, "COMMIT");
    fixture.takeActions();
    fixture.advanceTime(std::chrono::milliseconds(2'100));
    answerInTransaction();
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(5U, answers.size());
    for (std::size_t i = 2; i < answers.size(); ++i)
        CHECK(answers.at(i).code == reply_code::Aborted);
    CHECK_EQUAL(0U, fixture.state.sessions.count(id));
    CHECK_EQUAL(0U, fixture.state.counters.statementsUnanswered);
}

// Guards against statements without an answer: they were sent ahead behind one that is refused
// because the caller's key has been withdrawn.
TEST(session_end, statementsSentAheadOfAWithdrawnKeyAreRefused)
{
    const session_id id = fixture.openSession("current");
    fixture.sendRead(id);
    fixture.sendRead(id);
    fixture.sendRead(id);
    fixture.acceptLinks();
    manifest withdrawn = proxy_fixture::makeManifest(3);
    withdrawn.workspaceByKey.clear();
    fixture.applyManifest(withdrawn);
    fixture.takeActions();
    answerRead();
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(3U, answers.size());
    CHECK(answers.at(2).code == reply_code::Unauthorized);
    CHECK_EQUAL(0U, fixture.state.sessions.count(id));
}

// Guards against the loss of every accepted statement of a caller that sends too many ahead.
TEST(session_end, statementsBeforeTooManyAreAnswered)
{
    constexpr std::size_t accepted = 65;
    const session_id id = fixture.openSession("current");
    for (std::size_t i = 0; i < accepted + 10; ++i)
        fixture.sendRead(id);
    std::size_t answers = 0;
    for (std::size_t i = 0; i < accepted; ++i) {
        fixture.acceptLinks();
        answerRead();
        answers += countAnswers(id);
    }
    CHECK_EQUAL(accepted, answers);
    CHECK_EQUAL(0U, fixture.state.sessions.count(id));
}

// Guards against a moment around the close of an idle session in which a request gets no answer.
TEST(session_end, requestsAtEachMomentOfTheCloseAreAnswered)
{
    constexpr std::size_t sessions = 200;
    std::vector<session_id> ids;
    for (std::size_t i = 0; i < sessions; ++i)
        ids.push_back(fixture.openSession("current"));
    onStop(fixture.state, fixture.now);
    fixture.takeActions();
    std::map<session_id, std::size_t> answers;
    std::map<session_id, std::size_t> notices;
    std::map<session_id, std::size_t> accepted;
    for (std::size_t step = 0; step < 5'600; ++step) {
        const session_id id = ids.at(step % sessions);
        if (fixture.state.sessions.contains(id)) {
            fixture.sendStatement(id, statement_kind::SetValue, "SET a b", "a", "b");
            ++accepted[id];
        }
        fixture.advanceTime(std::chrono::milliseconds(1));
        const auto actions = fixture.takeActions();
        for (const auto &each : proxy_fixture::actionsOf<send_to_caller>(actions))
            ++answers[each.session];
        for (const auto &each : proxy_fixture::actionsOf<close_caller>(actions)) {
            CHECK_TRUE(each.notice.has_value());
            CHECK(each.notice->code == reply_code::Aborted);
            ++notices[each.session];
        }
    }
    for (const session_id id : ids) {
        CHECK_EQUAL(accepted[id], answers[id]);
        CHECK_EQUAL(1U, notices[id]);
    }
}

// Guards against the loss of the statements before a line that is no message.
TEST(session_end, statementsBeforeAnUnreadableLineAreAnswered)
{
    const session_id id = fixture.openSession("current");
    fixture.sendRead(id);
    fixture.sendRead(id);
    fixture.acceptLinks();
    fixture.takeActions();
    onCallerUnreadable(fixture.state, id, fixture.now);
    fixture.sendRead(id);
    answerRead();
    fixture.acceptLinks();
    answerRead();
    const auto actions = fixture.takeActions();
    CHECK_EQUAL(2U, proxy_fixture::answersTo(id, actions).size());
    const auto closed = proxy_fixture::actionsOf<close_caller>(actions);
    CHECK_EQUAL(1U, closed.size());
    CHECK(closed.at(0).notice->code == reply_code::Malformed);
}

// Guards against sessions that are cut by the end of the process: the batches of their closing were
// as large as the number of sessions at SIGTERM demands, and most were opened after it.
TEST(session_end, sessionsOpenedDuringAStopAreClosedInTime)
{
    constexpr std::size_t sessions = 600;
    onStop(fixture.state, fixture.now);
    for (std::size_t i = 0; i < sessions; ++i)
        fixture.openSession("current");
    fixture.advanceTime(std::chrono::milliseconds(3'400));
    CHECK_EQUAL(0U, fixture.state.sessions.size());
}

// Guards against an accepted statement without an answer, or with a false promise, in a session
// that is left when the process ends.
TEST(session_end, sessionsLeftAtTheEndOfAStopAreAnswered)
{
    const session_id sent = fixture.openSession("current");
    fixture.sendRead(sent);
    fixture.acceptLinks();
    const session_id unsent = fixture.openSession("current");
    fixture.sendRead(unsent);
    fixture.sendRead(unsent);
    fixture.state.sessions.at(unsent).current->wasSent = false;
    const session_id idle = fixture.openSession("current");
    onStop(fixture.state, fixture.now);
    fixture.takeActions();
    closeRemainingSessions(fixture.state, fixture.now);
    const auto actions = fixture.takeActions();
    CHECK(proxy_fixture::answersTo(sent, actions).at(0).code == reply_code::OutcomeUnknown);
    const auto refused = proxy_fixture::answersTo(unsent, actions);
    CHECK_EQUAL(2U, refused.size());
    CHECK(refused.at(0).code == reply_code::Aborted);
    CHECK_EQUAL(0U, proxy_fixture::answersTo(idle, actions).size());
    CHECK_EQUAL(3U, proxy_fixture::actionsOf<close_caller>(actions).size());
    CHECK_EQUAL(0U, fixture.state.sessions.size());
}
