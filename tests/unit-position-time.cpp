/// @file
/// @brief Tests that a position counts from the sending of the command whose answer proved it.

#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using fuchsiagw::core::time_point;

TEST_GROUP(position_time)
{
    proxy_fixture fixture;

    /// @return the time from which the newest known position counts; the start of time: none known
    time_point provenSince() const
    {
        const auto newest =
                newestSample(fixture.state.services.at(proxy_fixture::service).positions);
        return newest ? newest->since : time_point{};
    }

    /// Opens a transaction whose begin is sent now.
    session_id beginTransaction()
    {
        const session_id id = fixture.openSession("current");
        fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
        fixture.sendRead(id);
        fixture.acceptLinks();
        fixture.takeActions();
        return id;
    }
};

// Guards against stale reads after a caller left while the answer to its begin was delayed: the
// rollback that the proxy sends then must not make the position in that answer look newer.
TEST(position_time, rollbackDoesNotRenewDelayedBegin)
{
    const session_id id = beginTransaction();
    const link_id link = fixture.busyLink();
    fixture.now += milliseconds(400);
    onCallerDisconnected(fixture.state, id, fixture.now);
    fixture.now += milliseconds(100);
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    CHECK(provenSince() == time_point{});
}

// Guards against the reply to a begin that proves a position although it is the reply to an earlier
// begin, received a second time (STALE): replicas that lag then look fresh. Only the run that
// follows shows whose reply it was, and the position counts from the sending of the begin.
TEST(position_time, beginProvesItsPositionWithTheFirstRun)
{
    const time_point sentAt = fixture.now;
    beginTransaction();
    const link_id link = fixture.busyLink();
    fixture.now += milliseconds(400);
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    CHECK(provenSince() == time_point{});
    fixture.now += milliseconds(100);
    fixture.answer(link, proxy_fixture::success({ 1, 9 }, transaction_state::Open));
    CHECK(provenSince() == sentAt);
}

// Guards against a position from a late answer to a commit that counts from its arrival.
TEST(position_time, lateCommitCountsFromItsSending)
{
    const session_id id = beginTransaction();
    const link_id link = fixture.busyLink();
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    fixture.sendWrite(id);
    fixture.answer(link, proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    fixture.now += milliseconds(50);
    const time_point sentAt = fixture.now;
    fixture.sendStatement(id, statement_kind::Commit, "COMMIT");
    fixture.now += milliseconds(500);
    fixture.answer(link, proxy_fixture::success({ 1, 8 }));
    CHECK(provenSince() == sentAt);
}

// Guards against a write whose position counts from a later command on the same connection.
TEST(position_time, lateWriteCountsFromItsSending)
{
    const session_id id = fixture.openSession("own");
    fixture.sendWrite(id);
    const time_point sentAt = fixture.now;
    fixture.acceptLinks();
    fixture.now += milliseconds(500);
    fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, 8 }));
    CHECK(provenSince() == sentAt);
}

// Guards against answers to the proxy's own commands that count from an earlier or later one: with
// two of them outstanding, each answer belongs to its own.
TEST(position_time, statusCountsFromItsOwnSending)
{
    sendControlCommand(fixture.state, "m1", command_kind::Status, 0, fixture.now);
    fixture.acceptLinks();
    fixture.now += milliseconds(200);
    const time_point sentAt = fixture.now;
    sendControlCommand(fixture.state, "m1", command_kind::Status, 0, fixture.now);
    fixture.now += milliseconds(100);
    const auto leads = [&](fuchsiagw::core::log_index index) {
        reply answer = proxy_fixture::success({ 1, index });
        answer.status = member_status{ true, 1, { 1, index }, 0 };
        for (const auto &[id, link] : fixture.state.links) {
            if (!link.control)
                continue;
            fixture.answer(id, answer);
            return;
        }
    };
    leads(7);
    CHECK(provenSince() == sentAt - milliseconds(200));
    leads(8);
    CHECK(provenSince() == sentAt);
}

// Guards against a report of another daemon that was delayed, or held up while this daemon was
// suspended: the age counts from the question.
TEST(position_time, delayedReportCountsFromItsQuestion)
{
    peer_message answer;
    answer.kind = peer_message_kind::ExchangeAnswer;
    answer.from = "node-2";
    answer.askedAtUs = fixture.now.time_since_epoch().count();
    leader_report report;
    report.service = proxy_fixture::service;
    report.member = "m1";
    report.term = 1;
    report.position = { 1, 7 };
    report.ageUs = 300'000;
    answer.leaders.push_back(report);
    const time_point askedAt = fixture.now;
    fixture.now += milliseconds(2'000);
    onPeerMessage(fixture.state, answer, fixture.now);
    CHECK(provenSince() == askedAt - milliseconds(300));
}
