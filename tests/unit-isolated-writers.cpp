/// @file
/// @brief Test of a daemon that reaches the old primary, but neither the store nor a daemon that
/// knows of its replacement.

#include "directed-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(isolated_writers){};

// Guards against losing commits that a replica which no daemon lists acknowledges on the minority's
// side of a split network, while the majority's side promotes another member.
TEST(isolated_writers, minorityWithThePrimaryLosesNoCommit)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        playSplit(cluster);
        CHECK(cluster.promotions > 0);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
    }
}
