/// @file
/// @brief Random sequences of faults, in virtual time, around promotions without fencing.

#include "leader-cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using std::chrono::seconds;

namespace {

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
            cluster.isolate(member, { daemon }, duration);
            break;
        case 1:
            cluster.isolate(member, { "n1", "n2" }, duration);
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

TEST_GROUP(leader_random){};

// Random sequences of faults; a failing seed is named.
TEST(leader_random, randomFaultsKeepGuarantees)
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
