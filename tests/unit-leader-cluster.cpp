/// @file
/// @brief Tests, in virtual time, that no caller gets a stale read while a replaced primary goes
/// on.

#include "leader-cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using std::chrono::seconds;

namespace {

/// Splits the network: a member, and the daemons that are not named, on one side; the other
/// members, the named daemons and the store on the other side.
void isolate(leader_cluster &cluster, const std::string &member,
             const std::vector<std::string> &daemons, milliseconds duration)
{
    std::vector<std::string> here{ member };
    std::vector<std::string> there{ "store" };
    for (const auto &[name, unused] : cluster.daemons) {
        const bool isNamed = std::find(daemons.begin(), daemons.end(), name) != daemons.end();
        (isNamed ? there : here).push_back(name);
    }
    for (const auto &[name, unused] : cluster.members) {
        if (name != member)
            there.push_back(name);
    }
    for (const std::string &one : here) {
        for (const std::string &other : there)
            cluster.cut(one, other, duration);
    }
}

void checkResults(const leader_cluster &cluster)
{
    CHECK_EQUAL(0U, cluster.staleReads);
    CHECK_EQUAL(0U, cluster.lostCommits);
    CHECK_EQUAL(0U, cluster.outdatedOrders);
}

/// Plays 12 s with a random sequence of cuts, suspended daemons and member restarts.
leader_cluster playRandomFaults(std::uint64_t seed)
{
    leader_cluster cluster(seed);
    cluster.advance(seconds(1));
    for (int i = 0; i < 10; ++i) {
        const std::string member = "m" + std::to_string(1 + cluster.below(3));
        const std::string daemon = "n" + std::to_string(1 + cluster.below(3));
        const milliseconds duration(200 + cluster.below(4'000));
        switch (cluster.below(6)) {
        case 0:
            isolate(cluster, member, { daemon }, duration);
            break;
        case 1:
            isolate(cluster, member, { "n1", "n2" }, duration);
            break;
        case 2:
            cluster.cut(member, daemon, duration);
            cluster.cut(daemon, "store", duration);
            break;
        case 3:
            cluster.cut(daemon, "n" + std::to_string(1 + cluster.below(3)), duration);
            break;
        case 4:
            cluster.suspendedUntil[daemon] = cluster.now + duration / 2;
            break;
        default:
            cluster.members.at(member).running = false;
            cluster.after(duration / 4, [&cluster, member] { cluster.restartMember(member); });
        }
        cluster.advance(milliseconds(cluster.below(2'000)));
    }
    return cluster;
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
            isolate(cluster, "m1", daemons, milliseconds(5'000));
            cluster.advance(seconds(9));
            checkResults(cluster);
        }
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
        isolate(cluster, "m1", { "n1", "n2" }, milliseconds(5'000));
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
    isolate(cluster, "m1", { "n1", "n2" }, milliseconds(20'000));
    cluster.advance(seconds(4));
    CHECK_EQUAL(1U, cluster.promotions);
    const std::size_t readsBefore = cluster.reads;
    cluster.advance(seconds(5));
    CHECK(cluster.reads > readsBefore + 200);
    checkResults(cluster);
}

// Random sequences of faults; a failing seed is named.
TEST(leader_cluster, randomFaultsKeepGuarantees)
{
    constexpr std::uint64_t seeds = 300;
    std::size_t reads = 0;
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const leader_cluster cluster = playRandomFaults(seed);
        const std::string name = "seed " + std::to_string(seed);
        CHECK_EQUAL_TEXT(0U, cluster.staleReads, name.c_str());
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, name.c_str());
        CHECK_EQUAL_TEXT(0U, cluster.outdatedOrders, name.c_str());
        reads += cluster.reads;
        promotions += cluster.promotions;
    }
    CHECK(reads > seeds * 100);
    CHECK(promotions > seeds / 2);
}
