/// @file
/// @brief Computation of an instance's place in the tree.

#include <fuchsiagw/core/config_tree.hpp>

#include <algorithm>
#include <map>

namespace fuchsiagw::core {

namespace {

constexpr std::size_t headFanOut =
        treeFanOut / 2; ///< children of a head in its zone, and again among the heads

using zone_members = std::vector<instance_id>;

/// Index of the parent in a zone's subtree. The head has headFanOut children, every other node
/// treeFanOut.
std::size_t parentInZone(std::size_t index)
{
    if (index <= headFanOut)
        return 0;
    return 1 + (index - headFanOut - 1) / treeFanOut;
}

std::pair<std::size_t, std::size_t> childrenInZone(std::size_t index)
{
    if (index == 0)
        return { 1, 1 + headFanOut };
    const std::size_t first = headFanOut + 1 + (index - 1) * treeFanOut;
    return { first, first + treeFanOut };
}

void addUnique(std::vector<instance_id> &list, const instance_id &instance, const instance_id &self)
{
    if (instance != self && std::find(list.begin(), list.end(), instance) == list.end())
        list.push_back(instance);
}

} // namespace

tree_place placeOf(std::vector<tree_node> live, const tree_node &self)
{
    std::sort(live.begin(), live.end());
    live.erase(std::unique(live.begin(), live.end()), live.end());
    std::vector<zone_members> zones;
    std::size_t ownZone = 0;
    std::size_t ownIndex = 0;
    tree_place place;
    for (std::size_t i = 0; i < live.size(); ++i) {
        if (i == 0 || live[i - 1].zone != live[i].zone)
            zones.emplace_back();
        if (live[i] == self) {
            place.isListed = true;
            ownIndex = zones.back().size();
        }
        if (live[i].zone == self.zone)
            ownZone = zones.size() - 1;
        zones.back().push_back(live[i].instance);
    }
    if (zones.empty())
        return place;

    if (place.isListed) {
        place.isReader = ownIndex < readersPerZone;
        const zone_members &own = zones[ownZone];
        const auto [first, end] = childrenInZone(ownIndex);
        for (std::size_t i = first; i < std::min(end, own.size()); ++i)
            place.children.push_back(own[i]);
        for (std::size_t i = 1; ownIndex == 0 && i <= headFanOut; ++i) {
            const std::size_t zone = ownZone * headFanOut + i;
            if (zone < zones.size())
                place.children.push_back(zones[zone].front());
        }
        for (std::size_t i = ownIndex; i > 0; i = parentInZone(i))
            addUnique(place.parents, own[parentInZone(i)], self.instance);
        if (ownIndex > 1)
            addUnique(place.parents, own[1], self.instance);
    } else {
        addUnique(place.parents, zones[ownZone].front(), self.instance);
    }
    for (std::size_t zone = ownZone; zone > 0; zone = (zone - 1) / headFanOut) {
        const zone_members &ancestorZone = zones[(zone - 1) / headFanOut];
        for (std::size_t i = 0; i < std::min(readersPerZone, ancestorZone.size()); ++i)
            addUnique(place.parents, ancestorZone[i], self.instance);
    }
    return place;
}

std::uint64_t instanceHash(const instance_id &instance)
{
    // FNV-1a, followed by the finalizer of splitmix64 so that sums over similar ids differ.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char each : instance.value)
        hash = (hash ^ static_cast<unsigned char>(each)) * 0x100000001b3ULL;
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

} // namespace fuchsiagw::core
