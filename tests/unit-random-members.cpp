/// @file
/// @brief Test over random schedules in which promotion orders are carried out late, and members
/// join and leave.

#include "random-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(random_members){};

// Guards against losing commits that only a member has which joins, leaves, or is in the list of
// some daemons only.
TEST(random_members, membersThatJoinAndLeave)
{
    constexpr std::uint64_t firstSeed = 101;
    constexpr std::uint64_t seeds = 40;
    std::size_t promotions = 0;
    std::size_t joins = 0;
    std::size_t leaves = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        schedule_cluster cluster(seed);
        playSchedule(cluster, { .changesMembers = true });
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
        joins += cluster.joins;
        leaves += cluster.leaves;
    }
    CHECK(promotions > seeds / 4);
    CHECK(joins > 0);
    CHECK(leaves > 0);
}
