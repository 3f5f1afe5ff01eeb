/// @file
/// @brief Random schedules that lose acknowledged commits. A replica that is not paused is the
/// second copy of a commit which the ordered member has not received when it is promoted.

#include "random-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(schedule_losses){
    void play(std::uint64_t seed, const schedule_kinds &kinds){ schedule_cluster cluster(seed);
playSchedule(cluster, kinds);
CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
}
}
;

// Guards against a member that joins beside an open order: no daemon pauses it before it is listed.
TEST(schedule_losses, memberThatJoinsBesideASeparatedOrderedMember)
{
    play(96, { .changesMembers = true });
}

// As above, and the ordered member receives: the last commit reaches it a few milliseconds late.
TEST(schedule_losses, memberThatJoinsIsFasterThanTheOrderedMember)
{
    play(207, { .changesMembers = true });
}

// Guards against a replica that restarts and is not paused again for hundreds of milliseconds,
// because the control connection to it waits for an answer from before the restart.
TEST(schedule_losses, replicaRestartsBehindAStuckConnection)
{
    play(3, { .delaysControl = true });
}

// Guards against a replica that restarts while it is hidden from the daemon that renews the pauses:
// the daemons that reach it don't know of the open order.
TEST(schedule_losses, replicaRestartsHiddenFromTheSenderOfTheOrder)
{
    play(949, {});
}
