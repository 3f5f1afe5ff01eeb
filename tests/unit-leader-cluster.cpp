/// @file
/// @brief Tests, in virtual time, that no caller gets a stale read while a replaced primary goes
/// on.

#include "leader-cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using std::chrono::seconds;

namespace {

void checkResults(const leader_cluster &cluster)
{
    CHECK_EQUAL(0U, cluster.staleReads);
    CHECK_EQUAL(0U, cluster.lostCommits);
    CHECK_EQUAL(0U, cluster.outdatedOrders);
}

} // namespace

TEST_GROUP(leader_cluster){};

// Without faults, reads are served, and nothing is promoted.
TEST(leader_cluster, calmGroupServesReads)
{
    leader_cluster cluster(1);
    cluster.advance(seconds(10));
    checkResults(cluster);
    CHECK_EQUAL(0U, cluster.promotions);
    CHECK_EQUAL(0U, cluster.refused);
    CHECK(cluster.reads > 500);
}

// Guards against stale reads at a primary that goes on behind a partition, for each number of
// daemons that are left on its side.
TEST(leader_cluster, partitionedPrimaryServesNoStaleReads)
{
    const std::vector<std::vector<std::string>> cutOff{ { "n1", "n2", "n3" },
                                                        { "n1", "n2" },
                                                        { "n1" } };
    for (const auto &daemons : cutOff) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            leader_cluster cluster(seed);
            cluster.advance(seconds(1));
            cluster.isolate("m1", daemons, milliseconds(5'000));
            cluster.advance(seconds(9));
            checkResults(cluster);
        }
    }
}

// Guards against a restarted replica that reaches both primaries and receives from the replaced
// one: the commits that are acknowledged with it are missing at the new one.
TEST(leader_cluster, restartedReplicaFollowsNewPrimary)
{
    constexpr milliseconds cutDuration{ 1'500 };
    constexpr milliseconds restartAfterHeal{ 200 }; // the replaced primary still goes on
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        leader_cluster cluster(seed);
        cluster.advance(seconds(1));
        const auto healsAt = cluster.now + cutDuration;
        cluster.isolate("m1", { "n1", "n2" }, cutDuration);
        while (cluster.orderedMember.empty() && cluster.now < healsAt)
            cluster.advance(leader_cluster::tick);
        const std::string restarted = cluster.orderedMember == "m2" ? "m3" : "m2";
        cluster.members.at(restarted).running = false;
        cluster.after(healsAt + restartAfterHeal - cluster.now,
                      [&] { cluster.restartMember(restarted); });
        cluster.advance(seconds(4));
        CHECK_EQUAL(1U, cluster.promotions);
        checkResults(cluster);
    }
}

// The check must find stale reads if the engines trust a primary that accepts a transaction, as
// they may only where promotions are fenced.
TEST(leader_cluster, checkFindsStaleReadsOfTrustingEngines)
{
    std::size_t stale = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        leader_cluster cluster(seed, true);
        cluster.advance(seconds(1));
        cluster.isolate("m1", { "n1", "n2" }, milliseconds(5'000));
        cluster.advance(seconds(9));
        stale += cluster.staleReads;
    }
    CHECK(stale > 0);
}

// A partition that leaves two daemons with the new primary must not keep them from being served.
TEST(leader_cluster, majorityGoesOnAfterPromotion)
{
    leader_cluster cluster(7);
    cluster.advance(seconds(1));
    cluster.isolate("m1", { "n1", "n2" }, milliseconds(20'000));
    cluster.advance(seconds(4));
    CHECK_EQUAL(1U, cluster.promotions);
    const std::size_t readsBefore = cluster.reads;
    cluster.advance(seconds(5));
    CHECK(cluster.reads > readsBefore + 200);
    checkResults(cluster);
}
