/// @file
/// @brief Tests, in virtual time, that no acknowledged commit is lost if members that receive
/// change between the reports of the replicas and the moment in which a promotion takes effect.

#include "leader-cluster.hpp"
#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seeds = 20;

/// A group on a platform that fences promotions and takes a second to carry one out.
struct fenced_cluster : leader_cluster
{
    explicit fenced_cluster(std::uint64_t seed)
        : leader_cluster(seed, true)
    {
        oldPrimaryGoesOn = false;
        promotionDelay = milliseconds(1'000);
        advance(seconds(1));
    }
};

/// Stops the primary and advances until a promotion is ordered.
/// @return the replica that was not chosen
std::string advanceToOrder(leader_cluster &cluster)
{
    cluster.members.at("m1").running = false;
    const auto end = cluster.now + seconds(3);
    while (cluster.orderedMember.empty() && cluster.now < end)
        cluster.advance(milliseconds(10));
    return cluster.orderedMember == "m2" ? "m3" : "m2";
}

void stopMember(leader_cluster &cluster, const std::string &id, milliseconds duration)
{
    cluster.members.at(id).running = false;
    cluster.after(duration, [&cluster, id] { cluster.restartMember(id); });
}

} // namespace

TEST_GROUP(promotion_guard){};

// Guards against losing acknowledged commits beside a replica whose entry in the store has expired:
// it receives, so the old primary can acknowledge commits with it until a promotion takes effect.
TEST(promotion_guard, replicaWithoutEntryIsPaused)
{
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        fenced_cluster cluster(seed);
        cluster.publishMembers("m2");
        cluster.advance(milliseconds(3'500));
        stopMember(cluster, "m1", milliseconds(1'400));
        cluster.advance(seconds(3));
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, ("seed " + std::to_string(seed)).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > 0);
}

// Guards against a promotion that never comes because a replica is gone for good: it has no entry
// and does not answer, and what it held is stored elsewhere.
TEST(promotion_guard, lostReplicaDelaysNoPromotion)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        fenced_cluster cluster(seed);
        cluster.members.at("m2").running = false;
        cluster.publishMembers("m2");
        cluster.advance(milliseconds(3'500));
        cluster.members.at("m1").running = false;
        cluster.advance(seconds(4));
        CHECK_EQUAL_TEXT(1U, cluster.promotions, ("seed " + std::to_string(seed)).c_str());
        CHECK_EQUAL(0U, cluster.lostCommits);
    }
}

// Guards against losing acknowledged commits with a replica that restarts after the promotion was
// ordered: its pause ends with the restart, so the old primary can acknowledge commits with it.
TEST(promotion_guard, chosenReplicaHasCommitsBesideRestartedOne)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        fenced_cluster cluster(seed);
        const std::string other = advanceToOrder(cluster);
        stopMember(cluster, other, milliseconds(300));
        cluster.advance(milliseconds(200));
        cluster.restartMember("m1");
        const std::size_t before = cluster.acknowledged.size();
        cluster.advance(seconds(3));
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, ("seed " + std::to_string(seed)).c_str());
        CHECK_EQUAL(1U, cluster.promotions);
        CHECK(cluster.acknowledged.size() > before);
    }
}

TEST_GROUP(promotion_attempt)
{
    proxy_fixture fixture;

    promotion_state &attempt()
    {
        return fixture.state.services.at(proxy_fixture::service).promotion;
    }

    /// Puts the service into an attempt that replaces m1, with both replicas paused.
    void startAttempt(promotion_phase phase)
    {
        attempt() = {};
        attempt().phase = phase;
        attempt().oldPrimary = "m1";
        attempt().fenceTerm = 2;
        attempt().fenced = { "m2", "m3" };
        attempt().leaseUntil = fixture.now + milliseconds(2'700);
        attempt().phaseDeadline = fixture.now + milliseconds(700);
    }

    /// Starts a repair of m3, which was found paused beside the primary m1; it gets its token.
    void startRepair()
    {
        startAttempt(promotion_phase::DrawingToken);
        attempt().cause = promotion_cause::ReplicaPaused;
        attempt().fenced.clear();
        fixture.state.services.at(proxy_fixture::service).pausedSince["m3"] = fixture.now;
        onTokenAcquired(fixture.state, proxy_fixture::service, 9, fixture.now);
    }

    std::size_t takeOrders()
    {
        return fixture.takeOrders().size();
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
};

// Guards against a choice by the report of a replica that has restarted since: it receives again,
// so more commits may have been acknowledged with it than it reported.
TEST(promotion_attempt, reportOfRestartedReplicaIsDropped)
{
    startAttempt(promotion_phase::Fencing);
    report("m3", { false, 1, { 1, 5 }, 2 });
    CHECK_EQUAL(1U, attempt().reports.count("m3"));
    report("m3", { false, 1, { 1, 5 }, 0 });
    CHECK_EQUAL(0U, attempt().reports.count("m3"));
    report("m2", { false, 1, { 1, 5 }, 2 });
    CHECK(attempt().phase == promotion_phase::Fencing);
}

// Guards against losing commits by an order that the platform carries out late: its answer was
// lost, and the repeated order was rejected, so replicas that are resumed could acknowledge commits
// that the chosen one lacks.
TEST(promotion_attempt, rejectedOrderAfterLostAnswerKeepsReplicasPaused)
{
    startAttempt(promotion_phase::Ordering);
    attempt().chosen = "m2";
    attempt().orderSent = true;
    answerOrder(promote_outcome::NoAnswer);
    attempt().phase = promotion_phase::Ordering;
    answerOrder(promote_outcome::FencedOff);
    CHECK(attempt().phase == promotion_phase::None);
    CHECK_TRUE(attempt().replicasToResume.empty());
}

// Guards against a late pause of a replica that already follows the new primary: a promotion that
// has taken effect must not raise the term of the pauses.
TEST(promotion_attempt, pauseDoesNotOutliveThePromotion)
{
    startAttempt(promotion_phase::AwaitingLeader);
    attempt().chosen = "m2";
    attempt().orderSent = true;
    report("m3", { false, 2, { 2, 6 }, 0 });
    CHECK_EQUAL(2U, attempt().fenceTerm);
}

// Guards against losing the commits of a new primary: a daemon that has missed the promotion must
// not promote the old primary again when it repairs a paused replica.
TEST(promotion_attempt, repairPromotesNoReplacedPrimary)
{
    startRepair();
    CHECK_EQUAL(0U, takeOrders());
    report("m1", { false, 2, { 2, 6 }, 0 });
    CHECK_EQUAL(0U, takeOrders());
    CHECK(attempt().phase == promotion_phase::None);
    CHECK_TRUE(attempt().replicasToResume.empty());
}

// Guards against resuming replicas while an earlier order may still be carried out: only the
// platform's answer shows that the newer token has invalidated it.
TEST(promotion_attempt, repairResumesOnlyAfterItsOrderIsAccepted)
{
    startRepair();
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK_EQUAL(1U, takeOrders());
    answerOrder(promote_outcome::NoAnswer);
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK_TRUE(attempt().replicasToResume.empty());
    fixture.advanceTime(milliseconds(200));
    CHECK_EQUAL(1U, takeOrders());
    answerOrder(promote_outcome::Ordered);
    report("m1", { true, 1, { 1, 6 }, 0 });
    CHECK_EQUAL(1U, attempt().replicasToResume.count("m3"));
}

// Guards against needless promotions after each promotion: the new primary was found paused before
// it was promoted, and needs no repair.
TEST(promotion_attempt, promotedMemberNeedsNoRepair)
{
    fixture.provePrimary({ 1, 7 });
    service_state &service = fixture.state.services.at(proxy_fixture::service);
    service.pausedSince[service.leader] = fixture.now - seconds(10);
    CHECK_FALSE(findPromotionCause(fixture.state, service, fixture.now).has_value());
}
