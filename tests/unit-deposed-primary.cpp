/// @file
/// @brief Tests that commits which only a primary that has stepped down and an unlisted replica
/// have are not lost when the attempt that knows of them ends.

#include "directed-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(deposed_primary){};

// Guards against an open order for a primary that has stepped down being taken for one that changes
// nothing: the next attempt orders a replica that lacks the commits which only that primary and a
// replica in no list have.
TEST(deposed_primary, openOrderForItIsCompleted)
{
    constexpr std::uint64_t seeds = 16;
    std::size_t played = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        cluster.join(directedDuration);
        cluster.advance(milliseconds(100 + cluster.below(300)));
        cluster.ordersAreLateUntil = cluster.now + directedDuration;
        for (const char *replica : { "m2", "m3" })
            cluster.cut("m1", replica, directedDuration);
        cluster.hide("m1", { "n1", "n2" }, directedDuration);
        if (cluster.awaitOrder(std::chrono::seconds(5)) != "m1")
            continue; // no peer has told of the primary's log
        ++played;
        cluster.advance(directedDuration);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
    }
    CHECK(played > 0);
}
