/// @file
/// @brief Test over random schedules in which members carry out pauses late beside late promotion
/// orders. Seeds that lost commits are in unit-schedule-losses.cpp.

#include "random-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(random_schedules){};

// Guards against losing commits by pauses, resumes and orders to step down that members carry out
// late, also after their connection was closed.
TEST(random_schedules, lateControlCommands)
{
    constexpr std::uint64_t firstSeed = 101;
    constexpr std::uint64_t seeds = 40;
    std::size_t promotions = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        schedule_cluster cluster(seed);
        playSchedule(cluster, { .delaysControl = true });
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > seeds / 4);
}
