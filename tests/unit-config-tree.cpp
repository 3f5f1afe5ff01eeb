/// @file
/// @brief Tests of the distribution tree.

#include <fuchsiagw/core/config_tree.hpp>

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;

namespace {

std::vector<tree_node> listOf(std::size_t count, std::size_t zones)
{
    std::vector<tree_node> live;
    for (std::size_t i = 0; i < count; ++i)
        live.push_back({ { "zone-" + std::to_string(i % zones) }, { "i" + std::to_string(i) } });
    return live;
}

} // namespace

TEST_GROUP(config_tree){};

// Guards against an instance without a parent or with two parents: it would receive no digest, or
// every digest twice.
TEST(config_tree, everyInstanceIsReachedOnce)
{
    const std::vector<std::pair<std::size_t, std::size_t>> sizes{
        { 1, 1 }, { 9, 3 }, { 50, 4 }, { 400, 1 }, { 1600, 17 }
    };
    for (const auto &[count, zones] : sizes) {
        const std::vector<tree_node> live = listOf(count, zones);
        std::map<instance_id, tree_place> places;
        std::map<instance_id, instance_id> parentOf;
        for (const tree_node &each : live)
            places[each.instance] = placeOf(live, each);
        for (const auto &[instance, place] : places) {
            CHECK_TRUE(place.children.size() <= treeFanOut);
            for (const instance_id &child : place.children)
                CHECK_TRUE(parentOf.emplace(child, instance).second);
        }
        std::size_t roots = 0;
        for (const auto &[instance, place] : places) {
            roots += place.parents.empty() ? 1 : 0;
            if (!place.parents.empty())
                CHECK_TRUE(parentOf.at(instance) == place.parents.front());
        }
        LONGS_EQUAL(1, roots);
        LONGS_EQUAL(count - 1, parentOf.size());
    }
}

// Guards against more than one tree link into a zone, as traffic between zones is costly, and
// against too many instances that read the platform.
TEST(config_tree, onlyHeadsCrossZones)
{
    const std::vector<tree_node> live = listOf(1600, 17);
    std::map<instance_id, zone_name> zoneOf;
    for (const tree_node &each : live)
        zoneOf[each.instance] = each.zone;
    std::size_t crossing = 0;
    std::size_t readers = 0;
    for (const tree_node &each : live) {
        const tree_place place = placeOf(live, each);
        readers += place.isReader ? 1 : 0;
        for (const instance_id &child : place.children)
            crossing += zoneOf[child] != each.zone ? 1 : 0;
    }
    LONGS_EQUAL(16, crossing);
    LONGS_EQUAL(17 * readersPerZone, readers);
}

// Guards against an instance without a substitute for an unresponsive parent, and against a new
// instance without a parent while the platform's list doesn't contain it yet.
TEST(config_tree, silentParentHasASubstitute)
{
    const std::vector<tree_node> live = listOf(60, 3);
    for (const tree_node &each : live) {
        const tree_place place = placeOf(live, each);
        if (place.parents.empty())
            continue;
        // Only the second instance of the first zone has no substitute: it becomes the root itself.
        const bool replacesRoot = each.instance.value == "i12";
        LONGS_EQUAL(replacesRoot ? 1 : 2, std::min<std::size_t>(place.parents.size(), 2));
        std::set<instance_id> distinct(place.parents.begin(), place.parents.end());
        LONGS_EQUAL(place.parents.size(), distinct.size());
        CHECK_FALSE(distinct.contains(each.instance));
        for (const instance_id &child : place.children)
            CHECK_FALSE(distinct.contains(child));
    }
    const tree_place fresh = placeOf(live, { { "zone-1" }, { "new" } });
    CHECK_FALSE(fresh.isListed);
    CHECK_TRUE(fresh.children.empty());
    STRCMP_EQUAL("i1", fresh.parents.front().value.c_str());
    CHECK_TRUE(placeOf({}, live.front()).parents.empty());
}
