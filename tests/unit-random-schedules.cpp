/// @file
/// @brief Tests over random schedules in which promotion orders are carried out late, members join
/// and leave, and members carry out pauses late. Seeds that lose commits are in
/// unit-schedule-losses.cpp.

#include "random-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(random_schedules)
{
    std::size_t joins = 0;
    std::size_t leaves = 0;

    void play(const schedule_kinds &kinds)
    {
        constexpr std::uint64_t firstSeed = 101;
        constexpr std::uint64_t seeds = 40;
        std::size_t promotions = 0;
        for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            schedule_cluster cluster(seed);
            playSchedule(cluster, kinds);
            CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
            promotions += cluster.promotions;
            joins += cluster.joins;
            leaves += cluster.leaves;
        }
        // Measured: 27, 26 and, where members join and leave, 13 promotions.
        CHECK(promotions > seeds / 4);
    }
};

// Guards against losing commits by orders that are carried out late beside cuts, crashes, suspended
// daemons and members that receive nothing for a while.
TEST(random_schedules, faults)
{
    play({});
}

// Guards against losing commits that only a member has which joins, leaves, or is in the list of
// some daemons only.
TEST(random_schedules, membersThatJoinAndLeave)
{
    play({ .changesMembers = true });
    CHECK(joins > 0);
    CHECK(leaves > 0);
}

// Guards against losing commits by pauses, resumes and orders to step down that members carry out
// late, also after their connection was closed.
TEST(random_schedules, lateControlCommands)
{
    play({ .delaysControl = true });
}
