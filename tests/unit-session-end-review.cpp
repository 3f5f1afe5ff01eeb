/// @file
/// @brief Tests of sessions that end without an answer to their caller, beyond idle ones at a stop.

#include "gateway-fixture.hpp"
#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;
using fuchsiagw::testing::gateway_fixture;

namespace {

/// The gateway ends the process this long before the end of the grace period, with all connections.
constexpr milliseconds endOfProcessMargin{ 400 };

} // namespace

TEST_GROUP(session_end_review)
{
    proxy_fixture fixture;

    void applySlowRoutes(std::uint64_t version, bool isLimited)
    {
        manifest next = proxy_fixture::makeManifest(version);
        for (auto &[database, each] : next.routes) {
            each.statementTimeout = std::chrono::seconds(20);
            each.latencyObjective = std::chrono::seconds(60);
        }
        if (isLimited) {
            next.workspaces[0].ratePerSecond = 0.01;
            next.workspaces[0].burst = 0.01;
        }
        fixture.applyManifest(next);
    }

    void stopAndReachEndOfProcess()
    {
        onStop(fixture.state, fixture.now);
        fixture.advanceTime(fixture.state.settings.gracePeriod - endOfProcessMargin);
    }

    /// @return the closes of a session that tell its caller nothing
    std::size_t countSilentCloses(const std::vector<action> &actions)
    {
        std::size_t silent = 0;
        for (const auto &each : proxy_fixture::actionsOf<close_caller>(actions))
            silent += each.notice ? 0 : 1;
        return silent;
    }
};

// Guards against sessions that the end of the process cuts without a word (LOST): their callers
// pause in a transaction, so that they are closed only in the last moment, and all at once.
TEST(session_end_review, sessionsInTransactionsAreClosedBeforeTheEndOfTheProcess)
{
    constexpr std::size_t sessions = 300;
    for (std::size_t i = 0; i < sessions; ++i) {
        const session_id id = fixture.openSession("current");
        fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    }
    stopAndReachEndOfProcess();
    CHECK_EQUAL(0U, fixture.state.sessions.size());
    CHECK_EQUAL(0U, countSilentCloses(fixture.takeActions()));
}

// Guards against the same for sessions that were opened after the order to stop, of which the size
// of a batch knows nothing.
TEST(session_end_review, sessionsOpenedDuringAStopAreClosedBeforeItsEnd)
{
    constexpr std::size_t sessions = 700;
    onStop(fixture.state, fixture.now);
    for (std::size_t i = 0; i < sessions; ++i)
        fixture.openSession("current");
    fixture.advanceTime(fixture.state.settings.gracePeriod - endOfProcessMargin);
    CHECK_EQUAL(0U, fixture.state.sessions.size());
}

// Guards against the same with a short grace period, which leaves less than a second between the
// first close of an idle session and the end of the process.
TEST(session_end_review, shortGracePeriodsCloseEverySession)
{
    constexpr std::size_t sessions = 100;
    for (const int seconds : { 1, 2, 3, 4 }) {
        proxy_fixture each;
        each.state.settings.gracePeriod = std::chrono::seconds(seconds);
        for (std::size_t i = 0; i < sessions; ++i)
            each.openSession("current");
        onStop(each.state, each.now);
        each.advanceTime(each.state.settings.gracePeriod - endOfProcessMargin);
        CHECK_EQUAL(0U, each.state.sessions.size());
    }
}

// Guards against a moment of the stop that moves when a SIGHUP changes the grace period: sessions
// would be opened that are not closed in time, or refused while other instances get them still.
TEST(session_end_review, reloadedGracePeriodDoesNotMoveAStop)
{
    for (const int seconds : { 1, 60 }) {
        proxy_fixture each;
        onStop(each.state, each.now);
        each.state.settings.gracePeriod = std::chrono::seconds(seconds);
        each.advanceTime(milliseconds(100));
        CHECK_EQUAL(1U, each.state.sessions.count(each.openSession("current")));
        each.advanceTime(idleSessionCloseDelay);
        CHECK_EQUAL(0U, each.state.sessions.count(each.openSession("current")));
    }
}

// Guards against an operation without an answer: it waits for a token of the rate limit beyond the
// end of the process.
TEST(session_end_review, operationThatAwaitsATokenIsAnsweredBeforeTheEndOfTheProcess)
{
    applySlowRoutes(2, true);
    std::vector<session_id> ids;
    for (int i = 0; i < 3; ++i) {
        ids.push_back(fixture.openSession("current"));
        fixture.sendRead(ids.back());
    }
    fixture.advanceTime(milliseconds(20));
    fixture.takeActions();
    std::size_t waiting = 0;
    for (const session_id id : ids) {
        const auto &current = fixture.state.sessions.at(id).current;
        waiting += current && current->awaitsToken ? 1 : 0;
    }
    CHECK_TRUE(waiting > 0);
    stopAndReachEndOfProcess();
    CHECK_EQUAL(0U, fixture.state.sessions.size());
    CHECK_EQUAL(0U, fixture.state.counters.statementsUnanswered);
    for (const auto &each : proxy_fixture::actionsOf<send_to_caller>(fixture.takeActions()))
        CHECK(each.answer.code != reply_code::Success);
}

// Guards against an operation that is at its member, or in line for it, when the process ends.
TEST(session_end_review, operationAtASilentMemberIsAnsweredBeforeTheEndOfTheProcess)
{
    applySlowRoutes(2, false);
    std::vector<session_id> ids;
    for (int i = 0; i < 60; ++i) {
        ids.push_back(fixture.openSession("current"));
        fixture.sendRead(ids.back());
        fixture.sendWrite(ids.back());
    }
    fixture.acceptLinks();
    stopAndReachEndOfProcess();
    CHECK_EQUAL(0U, fixture.state.sessions.size());
    CHECK_EQUAL(0U, fixture.state.counters.statementsUnanswered);
    CHECK_EQUAL(0U, countSilentCloses(fixture.takeActions()));
}

// Guards against a promise for a commit that is held for its receipt at the end of a stop: it may
// be kept (REFUSED). What was sent behind it has not run.
TEST(session_end_review, heldCommitAtAStopIsNoPromise)
{
    fixture.state.settings.commitsNeedReceipts = true;
    applySlowRoutes(2, false);
    onOpenOrdersRead(fixture.state, proxy_fixture::service, {}, 0, fixture.now);
    fixture.state.services.at(proxy_fixture::service).receipts.contactAt = fixture.now;
    const session_id id = fixture.openSession("current");
    fixture.sendWrite(id);
    fixture.sendWrite(id);
    fixture.acceptLinks();
    fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, 9 }));
    CHECK_TRUE(fixture.state.sessions.at(id).current->heldCommit.has_value());
    stopAndReachEndOfProcess();
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(2U, answers.size());
    CHECK(answers.at(0).code == reply_code::OutcomeUnknown);
    CHECK(answers.at(1).code == reply_code::Aborted);
    CHECK_EQUAL(0U, fixture.state.sessions.count(id));
}

// Guards against statements without an answer: a TERMINATE behind them drops them, though the
// messages of a session are handled in their order. The close itself tells the caller nothing.
TEST(session_end_review, statementsBeforeATerminationAreAnswered)
{
    const session_id id = fixture.openSession("current");
    fixture.sendRead(id);
    fixture.sendStatement(id, statement_kind::SetValue, "SET a b", "a", "b");
    fixture.acceptLinks();
    fixture.takeActions();
    onCallerTerminated(fixture.state, id, fixture.now);
    const link_id link = fixture.busyLink();
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    fixture.answer(link, proxy_fixture::success({ 1, 7 }));
    const auto actions = fixture.takeActions();
    CHECK_EQUAL(2U, proxy_fixture::answersTo(id, actions).size());
    CHECK_EQUAL(1U, countSilentCloses(actions));
    CHECK_EQUAL(0U, fixture.state.sessions.count(id));
}

TEST_GROUP(session_end_review_on_sockets)
{
    gateway_fixture fixture;
};

// Guards against the same over the wire. There is no member, so the read waits for its refusal.
TEST(session_end_review_on_sockets, terminationBehindStatementsDropsNone)
{
    const std::string received = fixture.transcriptOf(
            "STARTUP d k\r\nQUERY 1 READ a\r\nQUERY 2 SET b c\r\nTERMINATE\r\n");
    CHECK_TRUE(received.starts_with("READY I -\r\nERROR BUSY"));
    CHECK_TRUE(received.ends_with("READY I -\r\nCOMPLETE -\r\nREADY I -\r\nclosed"));
}

// Guards against a silent close of a caller that sends its first statement with its STARTUP while
// the process stops.
TEST(session_end_review_on_sockets, statementBehindARefusedStartupReadsTheRefusal)
{
    fixture.gateway->stop([] {});
    CHECK_TRUE(fixture.runUntil([] { return false; }, std::chrono::milliseconds(2'400)) == false);
    STRCMP_EQUAL("ERROR ABORTED stopping\r\nclosed",
                 fixture.transcriptOf("STARTUP d k\r\nQUERY 1 READ a\r\n").c_str());
}
