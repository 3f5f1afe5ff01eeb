/// @file
/// @brief Tests that no commit is lost while a promotion order is open if members join, restart or
/// are missing in lists, and the ordered member receives.

#include "directed-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

namespace {

constexpr std::uint64_t seeds = 8;

} // namespace

TEST_GROUP(member_changes){ template <typename schedule>
                            void play(const schedule &played){ std::size_t promotions = 0;
for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    schedule_cluster cluster(seed);
    played(cluster);
    CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
    promotions += cluster.promotions;
}
CHECK(promotions >= seeds);
}
}
;

// Guards against an ordered member that does not receive: a member that joins acknowledges then
// what it lacks.
TEST(member_changes, memberJoinsBesideAnOpenOrder)
{
    play([](schedule_cluster &cluster) { playJoin(cluster, ordered_member::Receives); });
}

// Guards against an ordered member that does not receive while a member that is in no list
// acknowledges commits.
TEST(member_changes, memberIsMissingInTheList)
{
    play([](schedule_cluster &cluster) { playMissingEntry(cluster, ordered_member::Receives); });
}

// Guards against an ordered member that does not receive while a restarted replica acknowledges
// commits until it is paused again.
TEST(member_changes, replicaRestartsBesideAnOpenOrder)
{
    play([](schedule_cluster &cluster) { playRestart(cluster, ordered_member::Receives, true); });
}

// As above, and the daemon that has sent the order is cut off, so that none renews the pause.
TEST(member_changes, replicaRestartsWithoutTheSenderOfTheOrder)
{
    play([](schedule_cluster &cluster) { playRestart(cluster, ordered_member::Receives, false); });
}
