/// @file
/// @brief Tests of rendezvous hashing: stability, independence of order and balance.

#include <fuchsiagw/core/rendezvous.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>

using namespace fuchsiagw::core;

namespace {

std::vector<instance_id> makeInstances(int count)
{
    std::vector<instance_id> instances;
    for (int i = 0; i < count; ++i)
        instances.push_back({ "entry-" + std::to_string(i) });
    return instances;
}

} // namespace

TEST_GROUP(rendezvous){};

// Guards against a hash that changes between releases, so that instances of different releases
// select different owners.
TEST(rendezvous, hashIsStable)
{
    CHECK_TRUE(stableHash("") == 0xf52a15e9a9b5e89bULL);
    CHECK_TRUE(stableHash("fuchsiagw") == stableHash(std::string("fuchsiagw")));
}

// Guards against owners that depend on the order of the list of instances, which differs between
// instances.
TEST(rendezvous, ignoresOrderAndDuplicates)
{
    std::vector<instance_id> instances = makeInstances(9);
    const std::string key = ownerKey({ "group" }, { "zone" });
    const std::vector<instance_id> ranked = rankInstances(key, instances);
    UNSIGNED_LONGS_EQUAL(9, ranked.size());
    std::reverse(instances.begin(), instances.end());
    instances.push_back(instances.front());
    CHECK_TRUE(rankInstances(key, instances) == ranked);
}

// Guards against changes of the owners of other keys when an instance leaves, and against an uneven
// distribution of keys.
TEST(rendezvous, movesOnlyTheKeysOfTheLeavingInstance)
{
    const std::vector<instance_id> instances = makeInstances(9);
    std::vector<instance_id> fewer = instances;
    fewer.pop_back();
    std::map<instance_id, int> owned;
    constexpr int keys = 9000;
    for (int i = 0; i < keys; ++i) {
        const std::string key = ownerKey({ "g" + std::to_string(i) }, { "zone" });
        const auto ranked = rankInstances(key, instances);
        const auto without = rankInstances(key, fewer);
        owned[ranked.front()] += 1;
        const bool hasLeft = ranked.front() == instances.back();
        CHECK_TRUE(without.front() == (hasLeft ? ranked[1] : ranked[0]));
    }
    for (const auto &[instance, count] : owned)
        CHECK_TRUE(count > 850 && count < 1150); // mean 1000, bounds five standard deviations away
}

// Guards against instances of an eighth of a core that get as many keys as larger ones, and against
// another order where all instances are equal.
TEST(rendezvous, keysFollowTheWeights)
{
    int won = 0;
    constexpr int keys = 4'000;
    for (int i = 0; i < keys; ++i) {
        const std::string key = "/" + std::to_string(i);
        const double large = weightedScore(stableHash("large" + key), 0.5);
        double best = 0;
        for (const char *small : { "a", "b", "c", "d" })
            best = std::max(best, weightedScore(stableHash(small + key), 0.125));
        won += large > best ? 1 : 0;
        const std::uint64_t left = stableHash("left" + key);
        const std::uint64_t right = stableHash("right" + key);
        CHECK_EQUAL(left > right, weightedScore(left, 0.25) > weightedScore(right, 0.25));
    }
    CHECK(won > keys * 0.45 && won < keys * 0.55);
}
