/// @file
/// @brief Tests that a primary acknowledges nothing while an open promotion order would replace it.

#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(primary_fence)
{
    proxy_fixture fixture;

    service_state &service()
    {
        return fixture.state.services.at(proxy_fixture::service);
    }

    promotion_state &attempt()
    {
        return service().promotion;
    }

    /// Draws a token for an attempt to replace m1, and learns of the open orders with it.
    void drawToken(promotion_cause cause, const open_orders &orders)
    {
        attempt() = {};
        attempt().cause = cause;
        attempt().phase = promotion_phase::DrawingToken;
        attempt().oldPrimary = "m1";
        attempt().startedAt = fixture.now;
        attempt().leaseUntil = fixture.now + milliseconds(2'700);
        onTokenAcquired(fixture.state, proxy_fixture::service, 9, fixture.now, orders);
    }

    /// Reports the status of a member, as the answer to a command that was sent just now.
    void report(const std::string &member, const member_status &status)
    {
        reply answer = proxy_fixture::success(status.received);
        answer.status = status;
        onControlAnswer(fixture.state, member, answer, fixture.now, fixture.now);
    }

    /// Another daemon tells of an open order.
    /// @param term newest one that the other daemon knows
    void tell(peer_message_kind kind, const std::string &member,
              fuchsiagw::core::term_number term = 1)
    {
        peer_message notice;
        notice.kind = kind;
        notice.from = "node-2";
        notice.subject = proxy_fixture::service;
        notice.member = member;
        notice.amount = 7;
        leader_report known;
        known.service = proxy_fixture::service;
        known.term = term;
        notice.leaders.push_back(known);
        onPeerMessage(fixture.state, notice, fixture.now);
    }

    /// A peer that reaches m1 answers that it has stepped down at a position.
    void awaitStepDown(fuchsiagw::core::log_position position)
    {
        attempt() = {};
        attempt().phase = promotion_phase::DrawingToken;
        attempt().oldPrimary = "m1";
        attempt().oldTerm = 1;
        attempt().startedAt = fixture.now;
        attempt().leaseUntil = fixture.now + milliseconds(2'700);
        attempt().peersReaching = { "node-2" };
        onTokenAcquired(fixture.state, proxy_fixture::service, 9, fixture.now);
        CHECK_EQUAL(0U, countCommands("m2", command_kind::PauseReceiving));
        peer_message answer;
        answer.kind = peer_message_kind::StepDownAnswer;
        answer.from = "node-2";
        answer.subject = proxy_fixture::service;
        answer.member = "m1";
        answer.askedAtUs = fixture.now.time_since_epoch().count();
        leader_report log;
        log.service = proxy_fixture::service;
        log.member = "m1";
        log.term = 1;
        log.position = position;
        answer.leaders.push_back(log);
        onPeerMessage(fixture.state, answer, fixture.now);
    }

    /// Orders a planned replacement of m1 by m2, which receives.
    void orderPlannedReplacement()
    {
        drawToken(promotion_cause::PrimaryDraining, {});
        const std::string chosen = attempt().chosen;
        report(chosen, { false, 1, { 1, 7 }, 0 });
        for (const char *each : { "m2", "m3" }) {
            if (each != chosen)
                report(each, { false, 1, { 1, 7 }, 2 });
        }
        CHECK_EQUAL(1U, fixture.takeOrders().size());
    }

    std::size_t countCommands(const std::string &member, command_kind kind)
    {
        std::size_t result = 0;
        for (const auto &each : proxy_fixture::actionsOf<send_to_member>(fixture.takeActions())) {
            if (fixture.memberOf(each.link) != member)
                continue;
            result += static_cast<std::size_t>(
                    std::count_if(each.commands.begin(), each.commands.end(),
                                  [&](const auto &command) { return command.kind == kind; }));
        }
        return result;
    }

    /// Sends a write that the primary has not answered.
    /// @return its session, and the link on which it was sent
    std::pair<session_id, link_id> startWrite()
    {
        const session_id id = fixture.openSession("current");
        fixture.sendWrite(id);
        fixture.acceptLinks();
        return { id, fixture.busyLink() };
    }
};

// Guards against a primary that goes on beside an open order: a replica that no daemon knows, and
// that nobody can pause, acknowledges its commits, and the ordered member lacks them.
TEST(primary_fence, primaryIsOrderedToStepDownBesideAnOpenOrder)
{
    fixture.provePrimary({ 1, 7 });
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    fixture.advanceTime(milliseconds(200));
    CHECK(countCommands("m1", command_kind::StepDown) > 0);
}

// Guards against writes that are given to a primary while an open order would replace it.
TEST(primary_fence, primaryGetsNoWriteBesideAnOpenOrder)
{
    fixture.provePrimary({ 1, 7 });
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    fixture.takeActions();
    const session_id id = fixture.openSession("current");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    fixture.advanceTime(milliseconds(150));
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().code == reply_code::Busy);
}

// Guards against a commit that waits for its second copy when the order is learnt, and is passed on
// as acknowledged though only a replica that no daemon knows has it.
TEST(primary_fence, commitOfAReplaceablePrimaryIsNotAcknowledged)
{
    fixture.provePrimary({ 1, 7 });
    const auto [id, link] = startWrite();
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    fixture.takeActions();
    fixture.answer(link, proxy_fixture::success({ 1, 8 }));
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().code == reply_code::OutcomeUnknown);
}

// Guards against a replica that is listed while an order is open, and receives until the next turn
// of its guard or attempt.
TEST(primary_fence, replicaThatIsListedIsPausedAtOnce)
{
    fixture.provePrimary({ 1, 7 });
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    abortAttempt(fixture.state, service(), "lease_expired", fixture.now);
    onTimer(fixture.state, fixture.now);
    fixture.takeActions();
    fixture.setMembers({ proxy_fixture::member("m1", true), proxy_fixture::member("m2", false),
                         proxy_fixture::member("m3", false), proxy_fixture::member("m4", false) });
    CHECK(nextTimerAt(fixture.state) <= fixture.now);
    onTimer(fixture.state, fixture.now);
    CHECK_EQUAL(1U, countCommands("m4", command_kind::PauseReceiving));
}

// Guards against an order that only some daemons know of: the others would go on giving writes to
// the primary.
TEST(primary_fence, noticeOfAnOrderFencesThePrimary)
{
    fixture.provePrimary({ 1, 7 });
    const auto [id, link] = startWrite();
    tell(peer_message_kind::PrimaryFenced, "m2");
    CHECK_EQUAL(1U, countCommands("m1", command_kind::StepDown));
    fixture.answer(link, proxy_fixture::success({ 1, 8 }));
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().code == reply_code::OutcomeUnknown);
}

// Guards against a fence that outlives its order: the group would get no writes.
TEST(primary_fence, fenceEndsWhenTheOrderedMemberLeads)
{
    fixture.provePrimary({ 1, 7 });
    tell(peer_message_kind::PrimaryFenced, "m2");
    CHECK(isFenced(service(), "m1", fixture.now));
    report("m2", { true, 2, { 1, 7 }, 0 });
    STRCMP_EQUAL("m2", service().leader.c_str());
    CHECK_FALSE(isFenced(service(), "m2", fixture.now));
    // A notice of a later order that does not fence starts anew.
    tell(peer_message_kind::OpenOrder, "m3", 2);
    CHECK_FALSE(isFenced(service(), "m2", fixture.now));
}

// Guards against a planned replacement that costs writes although its order is answered and the
// ordered member receives.
TEST(primary_fence, primaryServesUntilAPlannedReplacement)
{
    fixture.provePrimary({ 1, 7 });
    orderPlannedReplacement();
    fixture.advanceTime(milliseconds(500));
    CHECK_EQUAL(0U, countCommands("m1", command_kind::StepDown));
    CHECK_FALSE(isFenced(service(), "m1", fixture.now));
}

// Guards against a planned replacement whose order is late: its primary would go on for as long.
TEST(primary_fence, latePlannedReplacementFencesThePrimary)
{
    fixture.provePrimary({ 1, 7 });
    orderPlannedReplacement();
    fixture.advanceTime(milliseconds(1'600));
    CHECK(isFenced(service(), "m1", fixture.now));
}

// Guards against a planned replacement whose ordered member stops to receive: another replica
// would acknowledge what it lacks.
TEST(primary_fence, plannedReplacementWhoseMemberStaysBehindFencesThePrimary)
{
    fixture.provePrimary({ 1, 7 });
    orderPlannedReplacement();
    const std::string chosen = attempt().chosen;
    fixture.advanceTime(milliseconds(50));
    fixture.provePrimary({ 1, 9 });
    report(chosen, { false, 1, { 1, 7 }, 0 });
    fixture.advanceTime(milliseconds(250));
    CHECK_FALSE(isFenced(service(), "m1", fixture.now));
    report(chosen, { false, 1, { 1, 7 }, 0 });
    CHECK(isFenced(service(), "m1", fixture.now));
}

// Guards against an order that is given up because the old primary has run commits that nobody has
// acknowledged: a second order for another member would be open beside it.
TEST(primary_fence, unacknowledgedCommitsOfAFencedPrimaryDoNotEndTheOrder)
{
    fixture.provePrimary({ 1, 7 });
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    fixture.advanceTime(milliseconds(50));
    report("m1", { false, 1, { 1, 9 }, 0 });
    STRCMP_EQUAL("", service().leader.c_str());
    abortAttempt(fixture.state, service(), "lease_expired", fixture.now);
    drawToken(promotion_cause::OrderOpen, { { 7, "m2" } });
    attempt().oldPrimary.clear();
    report("m1", { false, 1, { 1, 9 }, 2 });
    report("m3", { false, 1, { 1, 7 }, 2 });
    fixture.advanceTime(milliseconds(600));
    report("m2", { false, 1, { 1, 7 }, 0 });
    const auto orders = fixture.takeOrders();
    CHECK_EQUAL(1U, orders.size());
    STRCMP_EQUAL("m2", orders.front().member.c_str());
}

// Guards against an order beside a primary that only some daemons reach: they would go on giving it
// writes.
TEST(primary_fence, peerThatReachesThePrimaryOrdersItToStepDown)
{
    fixture.provePrimary({ 1, 7 });
    peer_message request;
    request.kind = peer_message_kind::StepDownRequest;
    request.from = "node-2";
    request.subject = proxy_fixture::service;
    request.member = "m1";
    request.askedAtUs = 5;
    onPeerMessage(fixture.state, request, fixture.now);
    CHECK_EQUAL(1U, countCommands("m1", command_kind::StepDown));
    report("m1", { false, 1, { 1, 9 }, 0 });
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK(sent.front().message.kind == peer_message_kind::StepDownAnswer);
    CHECK(sent.front().message.leaders.front().position == fuchsiagw::core::log_position({ 1, 9 }));
    STRCMP_EQUAL("", service().leader.c_str());
}

// Guards against a successor without the last commits of a primary that a peer has stepped down.
TEST(primary_fence, successorHasTheLastPositionOfTheSteppedDownPrimary)
{
    fixture.provePrimary({ 1, 7 });
    awaitStepDown({ 1, 9 });
    report("m2", { false, 1, { 1, 8 }, 0 });
    CHECK(fixture.takeOrders().empty());
    report("m3", { false, 1, { 1, 9 }, 0 });
    const auto orders = fixture.takeOrders();
    CHECK_EQUAL(1U, orders.size());
    STRCMP_EQUAL("m3", orders.front().member.c_str());
}

// Guards against the loss of commits that only the stepped-down primary and an unknown replica
// have.
TEST(primary_fence, primaryLeadsAgainIfNoReplicaHasItsLastPosition)
{
    fixture.provePrimary({ 1, 7 });
    awaitStepDown({ 1, 9 });
    report("m2", { false, 1, { 1, 8 }, 0 });
    report("m3", { false, 1, { 1, 8 }, 0 });
    fixture.advanceTime(milliseconds(250));
    report("m2", { false, 1, { 1, 8 }, 0 });
    const auto orders = fixture.takeOrders();
    CHECK_EQUAL(1U, orders.size());
    STRCMP_EQUAL("m1", orders.front().member.c_str());
}

// Guards against requests that are held although the order is late: nothing can serve them for
// seconds.
TEST(primary_fence, requestsAreRefusedAtOnceWhileTheOrderIsLate)
{
    fixture.provePrimary({ 1, 7 });
    tell(peer_message_kind::PrimaryFenced, "m2");
    fixture.advanceTime(milliseconds(1'600));
    fixture.takeActions();
    const session_id id = fixture.openSession("current");
    fixture.sendWrite(id);
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().code == reply_code::Busy);
    STRCMP_CONTAINS("retry-after-ms=500", answers.front().message.c_str());
}

// Guards against a later primary that is fenced because of an order of an earlier term: a daemon
// that has missed the end of the order, or hears of it late, would step it down.
TEST(primary_fence, orderOfAnEarlierTermDoesNotFenceALaterPrimary)
{
    fixture.provePrimary({ 1, 7 });
    tell(peer_message_kind::PrimaryFenced, "m2");
    CHECK(isFenced(service(), "m1", fixture.now));
    report("m3", { true, 2, { 1, 7 }, 0 });
    STRCMP_EQUAL("m3", service().leader.c_str());
    CHECK_FALSE(isFenced(service(), "m3", fixture.now));
    tell(peer_message_kind::PrimaryFenced, "m2", 1);
    CHECK_FALSE(isFenced(service(), "m3", fixture.now));
    fixture.advanceTime(milliseconds(300));
    CHECK_EQUAL(0U, countCommands("m3", command_kind::StepDown));
    tell(peer_message_kind::PrimaryFenced, "m2", 2);
    CHECK(isFenced(service(), "m3", fixture.now));
}

// Guards against forgetting what a peer has told of the stepped-down primary when a connection of
// this daemon to it closes: the attempt ends, and the next one orders a replica that lacks commits.
TEST(primary_fence, reportOfAPeerSurvivesALostConnection)
{
    fixture.provePrimary({ 1, 7 });
    awaitStepDown({ 1, 9 });
    forgetReport(fixture.state, "m1");
    report("m2", { false, 1, { 1, 8 }, 0 });
    CHECK(fixture.takeOrders().empty());
    report("m3", { false, 1, { 1, 9 }, 0 });
    const auto orders = fixture.takeOrders();
    CHECK_EQUAL(1U, orders.size());
    STRCMP_EQUAL("m3", orders.front().member.c_str());
}
