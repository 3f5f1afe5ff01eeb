/// @file
/// @brief Tests that no commit is lost while a promotion order is open, its member receives
/// nothing, and a replica that nobody has paused acknowledges commits.

#include "directed-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(unpaused_members){ template <typename schedule>
                              void play(const schedule &played){ constexpr std::uint64_t seeds = 8;
for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    schedule_cluster cluster(seed);
    played(cluster);
    CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
}
}
}
;

// Guards against losing commits that a member has acknowledged between its start and its first
// entry in the list of the daemon that renews the pauses.
TEST(unpaused_members, memberJoinsBesideAnOpenOrder)
{
    play([](schedule_cluster &cluster) { playJoin(cluster, ordered_member::ReceivesNothing); });
}

// Guards against losing commits of a member that was in no list when the replicas were paused.
TEST(unpaused_members, memberIsMissingInTheList)
{
    play([](schedule_cluster &cluster) {
        playMissingEntry(cluster, ordered_member::ReceivesNothing);
    });
}

// Guards against losing commits of a replica whose restart has ended its pause, while the daemon
// that has sent the order is cut off: no other daemon knows of the order until it has a reason
// for an attempt, and the primary and all replicas look healthy.
TEST(unpaused_members, replicaRestartsWithoutTheSenderOfTheOrder)
{
    play([](schedule_cluster &cluster) {
        playRestart(cluster, ordered_member::ReceivesNothing, false);
    });
}

// Guards against the course of issue 47: commits wait because the ordered member has stopped to
// receive, and a replica that has just joined, and that no daemon knows, acknowledges them.
TEST(unpaused_members, memberJoinsWhenTheOrderedOneStopsToReceive)
{
    play([](schedule_cluster &cluster) { playJoinAfterLoss(cluster); });
}

// Guards against an order beside a primary that some daemons reach: between the pauses of the
// replicas and the order, a replica that no daemon knows acknowledges what they write.
TEST(unpaused_members, primaryThatOneDaemonReachesStepsDownBeforeTheOrder)
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        playPartlyHidden(cluster);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        CHECK(cluster.promotions > 0);
    }
}
