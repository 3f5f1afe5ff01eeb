/// @file
/// @brief Tests, in virtual time, that no acknowledged commit is lost if members that receive
/// change between the reports of the replicas and the moment in which a promotion takes effect.

#include "leader-cluster.hpp"

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
