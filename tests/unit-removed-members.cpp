/// @file
/// @brief Test of a replica whose entry is gone from the store while it goes on receiving.

#include "directed-schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

TEST_GROUP(removed_members){};

// Guards against losing commits that only a removed replica has received beside the primary: it
// counts as covered once another replica has a position that the primary reached after the removal,
// though it has acknowledged later commits since.
TEST(removed_members, receivingMemberWithoutAnEntryIsAWitness)
{
    constexpr std::uint64_t seeds = 8;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        cluster.advance(milliseconds(100 + cluster.below(300)));
        for (const char *daemon : { "n1", "n2", "n3" }) {
            cluster.unlisted[daemon].insert("m3");
            cluster.publishTo(daemon);
        }
        cluster.advance(milliseconds(1'500));
        cluster.cut("m1", "m2", directedDuration);
        cluster.advance(milliseconds(600));
        for (const char *member : { "m1", "m3" })
            cluster.hide(member, { "n1", "n2", "n3" }, std::chrono::seconds(6));
        cluster.advance(directedDuration);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
    }
}
