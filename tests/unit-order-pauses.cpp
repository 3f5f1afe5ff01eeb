/// @file
/// @brief Tests that another daemon's attempt undoes no pause on which an open promotion order
/// rests.

#include "directed-schedule.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

namespace {

constexpr std::uint64_t seeds = 8;

} // namespace

TEST_GROUP(order_pauses){
    /// Plays a schedule in which the sender of an order is cut off and another attempt follows.
    /// @return in how many seeds the other daemon has drawn a token before the order took effect
    template <typename schedule>
    std::size_t play(const schedule &played){ std::size_t secondAttempts = 0;
for (const ordered_member course : { ordered_member::Receives, ordered_member::ReceivesNothing }) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        played(cluster, course);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        CHECK(cluster.promotions > 0);
        secondAttempts += cluster.takenOver ? 1 : 0;
    }
}
return secondAttempts;
}
}
;

// Guards against replicas that an attempt resumes because the primary leads (`primary_leads`),
// while the order of a daemon that is cut off may still take effect.
TEST(order_pauses, returnOfThePrimaryBesideASecondAttempt)
{
    const std::size_t secondAttempts = play([](schedule_cluster &cluster, ordered_member course) {
        playReturnBesideAttempt(cluster, course);
    });
    CHECK(secondAttempts >= seeds);
}

// Guards against replicas that an attempt resumes to tell the old primary to step down, while the
// order of a daemon that is cut off may still take effect.
TEST(order_pauses, stepDownBesideAnOpenOrder)
{
    const std::size_t secondAttempts = play([](schedule_cluster &cluster, ordered_member course) {
        playAttemptWithoutMember(cluster, course, true);
    });
    CHECK(secondAttempts >= seeds);
}

// Guards against replicas that an attempt resumes because a member does not report
// (`members_missing`), while the order of a daemon that is cut off may still take effect.
TEST(order_pauses, missingMemberBesideAnOpenOrder)
{
    const std::size_t secondAttempts = play([](schedule_cluster &cluster, ordered_member course) {
        playAttemptWithoutMember(cluster, course, false);
    });
    CHECK(secondAttempts >= seeds);
}

// Guards against replicas that an attempt resumes because it sees a newer term (`newer_term`): the
// member of the open order may still lack commits of that term.
TEST(order_pauses, newerTermBesideAnOpenOrder)
{
    proxy_fixture fixture;
    promotion_state &attempt = fixture.state.services.at(proxy_fixture::service).promotion;
    attempt.cause = promotion_cause::PrimarySilent;
    attempt.phase = promotion_phase::DrawingToken;
    attempt.oldPrimary = "m1";
    attempt.oldTerm = 1;
    attempt.startedAt = fixture.now;
    attempt.leaseUntil = fixture.now + milliseconds(2'700);
    onTokenAcquired(fixture.state, proxy_fixture::service, 9, fixture.now, { { 7, "m2" } });
    reply answer = proxy_fixture::success({ 2, 6 });
    answer.status = member_status{ false, 2, { 2, 6 }, 0 };
    onControlAnswer(fixture.state, "m3", answer, fixture.now, fixture.now);
    CHECK(attempt.phase == promotion_phase::None);
    CHECK_TRUE(attempt.replicasToResume.empty());
    CHECK(fixture.state.services.at(proxy_fixture::service).guardTerm > 0);
}
