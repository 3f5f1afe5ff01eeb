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
