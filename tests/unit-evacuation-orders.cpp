/// @file
/// @brief Test of a planned replacement whose ordered member stops to receive while its order is
/// under way.

#include "directed-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(evacuation_orders){};

// Guards against losing commits that a replica in no list acknowledges: the primary of an evacuated
// zone serves until it is replaced, because the ordered member was receiving when it was ordered.
TEST(evacuation_orders, orderedMemberStopsToReceiveBesideAnUnlistedOne)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        cluster.join(directedDuration);
        cluster.advance(milliseconds(200));
        for (const char *daemon : { "n1", "n2", "n3" }) {
            cluster.handle(daemon, [&](engine &state) {
                onEvacuations(state, { "z1" }, 1, "test", cluster.now);
            });
        }
        const std::string ordered = cluster.awaitOrder(std::chrono::seconds(5));
        CHECK_FALSE(ordered.empty());
        cluster.advance(milliseconds(100));
        cluster.cut("m1", ordered, directedDuration);
        cluster.advance(directedDuration);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
    }
}
