/// @file
/// @brief Test over random schedules in which promotion orders are carried out late beside other
/// faults.

#include "random-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(random_faults){};

// Guards against losing commits by orders that are carried out late beside cuts, crashes, suspended
// daemons and members that receive nothing for a while.
TEST(random_faults, lateOrdersBesideFaults)
{
    constexpr std::uint64_t firstSeed = 101;
    constexpr std::uint64_t seeds = 40;
    std::size_t promotions = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        schedule_cluster cluster(seed);
        playSchedule(cluster, {});
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > seeds / 4);
}
