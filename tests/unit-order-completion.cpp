/// @file
/// @brief Tests of an attempt that finds a promotion order of an earlier one open.

#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(order_completion)
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

    /// Draws a token for an attempt to replace m1.
    void drawToken(promotion_cause cause, const open_orders &orders, std::uint64_t token = 9)
    {
        attempt() = {};
        attempt().cause = cause;
        attempt().phase = promotion_phase::DrawingToken;
        attempt().oldPrimary = "m1";
        attempt().startedAt = fixture.now;
        attempt().leaseUntil = fixture.now + milliseconds(2'700);
        onTokenAcquired(fixture.state, proxy_fixture::service, token, fixture.now, orders);
    }

    /// Answers the attempt's order.
    void answerOrder(promote_outcome outcome)
    {
        const order_promotion order{ proxy_fixture::service, attempt().chosen, attempt().token,
                                     attempt().leaseUntil };
        onPromoteAnswer(fixture.state, order, outcome, fixture.now);
    }

    /// Reports the status of a member, as the answer to a command that was sent just now.
    void report(const std::string &member, const member_status &status)
    {
        reply answer = proxy_fixture::success(status.received);
        answer.status = status;
        onControlAnswer(fixture.state, member, answer, fixture.now, fixture.now);
    }

    /// Advances the clock until an order is sent; no member answers.
    std::vector<order_promotion> awaitOrders(milliseconds limit)
    {
        const auto end = fixture.now + limit;
        while (fixture.now < end) {
            fixture.advanceTime(milliseconds(10));
            const auto orders = fixture.takeOrders();
            if (!orders.empty())
                return orders;
        }
        return {};
    }

    /// Another daemon tells of an open order.
    void tellOfOrder(const std::string &member, std::int64_t token)
    {
        peer_message notice;
        notice.kind = peer_message_kind::OpenOrder;
        notice.from = "node-2";
        notice.subject = proxy_fixture::service;
        notice.member = member;
        notice.amount = token;
        onPeerMessage(fixture.state, notice, fixture.now);
    }

    std::size_t count(const std::vector<action> &actions, command_kind kind)
    {
        const auto commands = proxy_fixture::commandsOf(actions);
        return static_cast<std::size_t>(
                std::count_if(commands.begin(), commands.end(),
                              [&](const auto &each) { return each.kind == kind; }));
    }
};

// Guards against an order for a second member beside an open one: whichever takes effect second
// loses what was acknowledged after the first.
TEST(order_completion, memberOfTheOpenOrderIsOrderedAgain)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    report("m3", { false, 1, { 1, 5 }, 2 });
    report("m2", { false, 1, { 1, 5 }, 0 });
    const auto orders = fixture.takeOrders();
    CHECK_EQUAL(1U, orders.size());
    STRCMP_EQUAL("m2", orders.front().member.c_str());
    CHECK_EQUAL(9U, orders.front().token);
}

// Guards against the course of the incident: the repair of a returned primary beside an open order.
TEST(order_completion, returnedPrimaryIsNotOrdered)
{
    drawToken(promotion_cause::ReplicaPaused, { { 7, "m2" } });
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK(fixture.takeOrders().empty());
    report("m3", { false, 1, { 1, 5 }, 2 });
    report("m2", { false, 1, { 1, 6 }, 0 });
    const auto orders = fixture.takeOrders();
    CHECK_EQUAL(1U, orders.size());
    STRCMP_EQUAL("m2", orders.front().member.c_str());
}

// Guards against replicas that resume at the end of an attempt while another daemon's order still
// rests on their pauses.
TEST(order_completion, endOfAnAttemptResumesNoReplicaBesideAnOpenOrder)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    report("m3", { false, 1, { 1, 5 }, 2 });
    attempt().phaseDeadline = fixture.now;
    attempt().startedAt = fixture.now;
    fixture.advanceTime(milliseconds(10));
    CHECK(attempt().phase == promotion_phase::None);
    CHECK_TRUE(attempt().replicasToResume.empty());
}

// Guards against an order that no later attempt would know of: it must not leave the process before
// the store has recorded it, and the pauses must hold if the record's outcome is unknown.
TEST(order_completion, unrecordedOrderIsNotSent)
{
    drawToken(promotion_cause::PrimarySilent, {});
    report("m3", { false, 1, { 1, 5 }, 2 });
    report("m2", { false, 1, { 1, 6 }, 2 });
    const auto actions = fixture.takeActions();
    CHECK(proxy_fixture::actionsOf<order_promotion>(actions).empty());
    const auto records = proxy_fixture::actionsOf<record_open_orders>(actions);
    CHECK_EQUAL(1U, records.size());
    STRCMP_EQUAL("m2", records.front().orders.front().member.c_str());
    onOrdersRecorded(fixture.state, proxy_fixture::service, 9, false, fixture.now);
    CHECK(attempt().phase == promotion_phase::None);
    CHECK_TRUE(attempt().replicasToResume.empty());
    CHECK(proxy_fixture::actionsOf<order_promotion>(fixture.takeActions()).empty());
}

// Guards against pauses that end between two attempts: a replica that has restarted would
// acknowledge commits that the ordered member lacks.
TEST(order_completion, pausesAreRenewedBetweenAttempts)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    abortAttempt(fixture.state, service(), "members_missing", fixture.now);
    CHECK(attempt().phase == promotion_phase::None);
    fixture.takeActions();
    fixture.advanceTime(milliseconds(250));
    const auto actions = fixture.takeActions();
    CHECK(count(actions, command_kind::PauseReceiving) >= 2);
    CHECK(count(actions, command_kind::ResumeReceiving) >= 2);
}

// Guards against a group whose replicas stay paused for good because the ordered member is gone:
// the present primary is ordered, which voids the open order once it is accepted.
TEST(order_completion, lostMemberOfAnOpenOrderIsPassedOver)
{
    drawToken(promotion_cause::ReplicaPaused, { { 7, "m2" } });
    report("m1", { true, 1, { 1, 6 }, 0 });
    fixture.state.members.at("m2").listed = false;
    const auto first = awaitOrders(milliseconds(700));
    CHECK_EQUAL(1U, first.size());
    STRCMP_EQUAL("m2", first.front().member.c_str());
    answerOrder(promote_outcome::FencedOff);
    fixture.advanceTime(milliseconds(10));
    report("m1", { true, 1, { 1, 6 }, 0 });
    const auto second = fixture.takeOrders();
    CHECK_EQUAL(1U, second.size());
    STRCMP_EQUAL("m1", second.front().member.c_str());
    answerOrder(promote_outcome::Ordered);
    // An order that was accepted just before would take effect within a second and a half.
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK_FALSE(service().openOrders.empty());
    CHECK_TRUE(attempt().replicasToResume.empty());
    fixture.now += milliseconds(1'600);
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK_TRUE(service().openOrders.empty());
    CHECK_TRUE(attempt().replicasToResume.contains("m3"));
}

// Guards against taking a member's lead for the end of a pair of open orders: the other one may
// still take effect.
TEST(order_completion, leadClosesNoOrderBesideOneForAnotherMember)
{
    drawToken(promotion_cause::PrimarySilent, { { 6, "m3" }, { 7, "m2" } });
    report("m3", { false, 1, { 1, 5 }, 2 });
    report("m2", { false, 1, { 1, 5 }, 0 });
    CHECK_EQUAL(1U, fixture.takeOrders().size());
    answerOrder(promote_outcome::NoAnswer);
    report("m2", { true, 2, { 2, 6 }, 0 });
    CHECK(attempt().phase == promotion_phase::AwaitingLeader);
    CHECK_FALSE(service().openOrders.empty());
}

// Guards against an old primary that is told to step down beside an open order: that rests on
// replicas that resume, and they would acknowledge its last commits without the ordered member.
TEST(order_completion, oldPrimaryIsNotSteppedDownBesideAnOpenOrder)
{
    drawToken(promotion_cause::PrimaryDraining, { { 7, "m1" } });
    fixture.acceptLinks();
    fixture.takeActions();
    fixture.advanceTime(milliseconds(900));
    CHECK_EQUAL(0U, count(fixture.takeActions(), command_kind::StepDown));
}

// Guards against replicas that stay paused after the order was closed by another daemon.
TEST(order_completion, closedOrderLetsReplicasResume)
{
    drawToken(promotion_cause::OrderOpen, {});
    CHECK(attempt().phase == promotion_phase::None);
    CHECK_TRUE(attempt().replicasToResume.contains("m2"));
    CHECK_TRUE(attempt().replicasToResume.contains("m3"));
}

// Guards against an open order that nobody guards any more because its daemon has stopped: a
// replica that restarts then would acknowledge commits that the ordered member lacks.
TEST(order_completion, orderOfSilentDaemonIsTakenOver)
{
    fixture.provePrimary({ 1, 7 });
    peer_message notice;
    notice.kind = peer_message_kind::OpenOrder;
    notice.from = "node-2";
    notice.subject = proxy_fixture::service;
    notice.member = "m2";
    onPeerMessage(fixture.state, notice, fixture.now);
    CHECK_FALSE(isOrderUnguarded(service(), fixture.now + milliseconds(3'100)));
    const auto end = fixture.now + milliseconds(4'500);
    bool isDrawn = false;
    while (fixture.now < end && !isDrawn) {
        fixture.advanceTime(milliseconds(10));
        isDrawn = !proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty();
    }
    CHECK_TRUE(isDrawn);
    onTokenAcquired(fixture.state, proxy_fixture::service, 9, fixture.now, { { 7, "m2" } });
    CHECK_TRUE(attempt().completesOrder);
    STRCMP_EQUAL("m2", attempt().chosen.c_str());
}

// Guards against two daemons that pause and resume the same replicas in turn: the one that can't
// draw a token any more leaves them to the holder of a later one.
TEST(order_completion, guardEndsWithNoticeOfLaterToken)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    abortAttempt(fixture.state, service(), "lease_expired", fixture.now);
    CHECK(service().guardTerm != 0);
    peer_message notice;
    notice.kind = peer_message_kind::OpenOrder;
    notice.from = "node-2";
    notice.subject = proxy_fixture::service;
    notice.member = "m2";
    notice.amount = 8;
    onPeerMessage(fixture.state, notice, fixture.now);
    CHECK(service().guardTerm != 0);
    notice.amount = 10;
    onPeerMessage(fixture.state, notice, fixture.now);
    CHECK(service().guardTerm == 0);
    // An order for the present primary ends with replicas that resume.
    startGuard(service(), fixture.now);
    notice.member = service().leader;
    notice.amount = 8;
    onPeerMessage(fixture.state, notice, fixture.now);
    CHECK(service().guardTerm == 0);
}

// Guards against a primary that can acknowledge nothing between two attempts: the newest order is
// its own, and the member of the order before it must receive.
TEST(order_completion, memberOfOlderOrderReceivesBesideThePrimarysOwn)
{
    fixture.provePrimary({ 1, 7 });
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" }, { 8, "m1" } });
    abortAttempt(fixture.state, service(), "lease_expired", fixture.now);
    fixture.takeActions();
    fixture.advanceTime(milliseconds(10));
    CHECK_EQUAL(1U, count(fixture.takeActions(), command_kind::ResumeReceiving));
}

// Guards against one token for two members: the first copy of the order got no answer, and the
// platform would not reject it after an order of the same token for another member.
TEST(order_completion, tokenOfUnansweredOrderOrdersNoOtherMember)
{
    drawToken(promotion_cause::ReplicaPaused, { { 7, "m2" } });
    report("m1", { true, 1, { 1, 6 }, 0 });
    fixture.state.members.at("m2").listed = false;
    CHECK_EQUAL(1U, awaitOrders(milliseconds(700)).size());
    answerOrder(promote_outcome::NoAnswer);
    CHECK_EQUAL(1U, awaitOrders(milliseconds(2'200)).size());
    answerOrder(promote_outcome::FencedOff);
    CHECK(attempt().phase == promotion_phase::None);
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK(fixture.takeOrders().empty());
}

// Guards against an order for the primary beside an open one whose member is only down: it may run
// again when the open order is carried out.
TEST(order_completion, listedMemberOfAnOpenOrderIsNotPassedOver)
{
    drawToken(promotion_cause::ReplicaPaused, { { 7, "m2" } });
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK_EQUAL(1U, awaitOrders(milliseconds(700)).size());
    answerOrder(promote_outcome::FencedOff);
    CHECK(attempt().phase == promotion_phase::None);
    CHECK_TRUE(attempt().replicasToResume.empty());
    CHECK_FALSE(service().openOrders.empty());
}

// Guards against an answer to an earlier attempt's order that counts for the present one.
TEST(order_completion, answerToAnotherOrderIsIgnored)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    report("m3", { false, 1, { 1, 5 }, 2 });
    report("m2", { false, 1, { 1, 5 }, 0 });
    CHECK_EQUAL(1U, fixture.takeOrders().size());
    const order_promotion earlier{ proxy_fixture::service, "m2", 7, fixture.now };
    onPromoteAnswer(fixture.state, earlier, promote_outcome::Ordered, fixture.now);
    CHECK_FALSE(attempt().orderAccepted);
    CHECK(attempt().phase == promotion_phase::Ordering);
}

// Guards against a daemon that renews pauses, and lets a replica resume, long after another one may
// have closed the order.
TEST(order_completion, guardEndsAfterTheLease)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    abortAttempt(fixture.state, service(), "lease_expired", fixture.now);
    attempt().earliestStartAt = fixture.now + std::chrono::seconds(60);
    fixture.now += milliseconds(2'800);
    fixture.takeActions();
    fixture.advanceTime(milliseconds(200));
    auto actions = fixture.takeActions();
    CHECK(count(actions, command_kind::PauseReceiving) > 0);
    CHECK_EQUAL(0U, count(actions, command_kind::ResumeReceiving));
    fixture.now += milliseconds(3'000);
    fixture.advanceTime(milliseconds(200));
    CHECK_EQUAL(0U, count(fixture.takeActions(), command_kind::PauseReceiving));
}

// Guards against holders that order in turn while the platform is late, and against a holder that
// reaches the store but not the platform and keeps all others from trying.
TEST(order_completion, leaseIsRenewedTwiceWithoutAnAnswer)
{
    for (int lease = 1; lease <= 3; ++lease) {
        drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } }, 9 + lease);
        attempt().phase = promotion_phase::AwaitingLeader;
        attempt().orderSent = true;
        attempt().leaseUntil = fixture.now;
        fixture.advanceTime(milliseconds(10));
        const bool isRenewed = attempt().earliestStartAt <= fixture.now;
        CHECK_EQUAL(lease < 3, isRenewed);
    }
}

// Guards against a status from before the order was recorded that counts as its effect.
TEST(order_completion, earlierStatusClosesNoOrder)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    closeOrdersOf(fixture.state, service(), "m2", fixture.now - milliseconds(1), fixture.now);
    CHECK_FALSE(service().openOrders.empty());
    closeOrdersOf(fixture.state, service(), "m2", fixture.now, fixture.now);
    CHECK_TRUE(service().openOrders.empty());
}

// Guards against replicas that receive while a repair is under way beside an open order for another
// member: a replica that restarts would acknowledge commits which that member lacks.
TEST(order_completion, repairBesideAnOpenOrderRenewsPauses)
{
    drawToken(promotion_cause::OrderOpen, { { 7, "m2" }, { 8, "m1" } });
    CHECK_TRUE(isRepair(attempt()));
    fixture.acceptLinks();
    fixture.takeActions();
    fixture.advanceTime(milliseconds(100));
    CHECK(count(fixture.takeActions(), command_kind::PauseReceiving) >= 2);
}

// Guards against an order that is sent again while a replica may hold commits which its member
// lacks: the replica has restarted, so its pause is gone, and does not answer this daemon.
TEST(order_completion, orderIsNotRepeatedWithoutTheReportOfAReplica)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    for (int i = 0; i < 190; ++i) {
        report("m2", { false, 1, { 1, 5 }, 0 });
        CHECK(awaitOrders(milliseconds(10)).empty());
    }
    report("m2", { false, 1, { 1, 5 }, 0 });
    report("m3", { false, 1, { 1, 5 }, 2 });
    CHECK_EQUAL(1U, fixture.takeOrders().size());
}

// Guards against a member that joins while an order is open and is never paused, because the feed
// of changes has fallen silent.
TEST(order_completion, membersAreReadAgainWhileAnOrderIsOpen)
{
    drawToken(promotion_cause::PrimarySilent, { { 7, "m2" } });
    report("m3", { false, 1, { 1, 5 }, 2 });
    report("m2", { false, 1, { 1, 5 }, 0 });
    CHECK_EQUAL(1U, fixture.takeOrders().size());
    fixture.advanceTime(milliseconds(1'000));
    CHECK(!proxy_fixture::actionsOf<refresh_directory>(fixture.takeActions()).empty());
}

// Guards against a replica that restarts out of the reach of the daemon whose order is open:
// another daemon that has asked for a token knows of the order, and pauses the replica.
TEST(order_completion, daemonWithoutTheTokenRenewsPauses)
{
    drawToken(promotion_cause::PrimarySilent, {});
    attempt() = {};
    attempt().phase = promotion_phase::DrawingToken;
    attempt().oldPrimary = "m1";
    onTokenHeldElsewhere(fixture.state, proxy_fixture::service, fixture.now + milliseconds(2'000),
                         fixture.now, { { 7, "m2" } }, 8);
    fixture.takeActions();
    fixture.advanceTime(milliseconds(250));
    const auto actions = fixture.takeActions();
    CHECK(count(actions, command_kind::PauseReceiving) >= 2);
    CHECK_EQUAL(0U, count(actions, command_kind::ResumeReceiving));
}

// Guards against needless attempts of all daemons after a later promotion, by the notice of an
// order that was closed long before.
TEST(order_completion, noticeIsForgottenOnceItsMemberLeads)
{
    service().leader = "m2";
    tellOfOrder("m2", 7);
    fixture.advanceTime(milliseconds(300));
    service().leader = "m3";
    CHECK_FALSE(isOrderUnguarded(service(), fixture.now + std::chrono::seconds(10)));
}

// Guards against a lease that each daemon draws in turn after a notice: the row shows to all that
// ask what is open.
TEST(order_completion, rowTellsMoreThanANotice)
{
    tellOfOrder("m2", 7);
    attempt() = {};
    attempt().phase = promotion_phase::DrawingToken;
    onTokenHeldElsewhere(fixture.state, proxy_fixture::service, fixture.now + milliseconds(2'000),
                         fixture.now, {}, 8);
    CHECK_FALSE(isOrderUnguarded(service(), fixture.now + std::chrono::seconds(10)));
}
