/// @file
/// @brief Place of an instance in the tree over which configuration and freshness spread.
///
/// The instances of a zone form one subtree in order of their ids; the first one is the zone's
/// head. The heads form the upper tree in order of their zones. An instance has at most 8
/// children: 8 in its zone, or for a head 4 in its zone and 4 heads. Every instance computes its
/// place from its own copy of the list, so no message is needed to build the tree.

#pragma once

#include <fuchsiagw/core/ids.hpp>

#include <tuple>
#include <vector>

namespace fuchsiagw::core {

inline constexpr std::size_t treeFanOut = 8;

/// Instances of a zone that read the platform's version row: one may fail without a gap.
inline constexpr std::size_t readersPerZone = 2;

/// An entry instance of the platform's list.
struct tree_node
{
    zone_name zone;
    instance_id instance;

    friend bool operator==(const tree_node &, const tree_node &) = default;
    friend bool operator<(const tree_node &left, const tree_node &right)
    {
        return std::tie(left.zone, left.instance) < std::tie(right.zone, right.instance);
    }
};

/// Invariant: `parents` and `children` share no instance and do not contain the instance itself.
struct tree_place
{
    bool isListed = false; ///< an unlisted instance has no children and reports to its zone's head
    bool isReader = false; ///< reads the platform
    std::vector<instance_id> parents; ///< nearest first; the next one replaces a silent one
    std::vector<instance_id> children;
};

/// @brief Computes the place of an instance.
///
/// The first parent is the tree parent. It is followed by the other ancestors in the zone, the
/// zone's second instance, and the head and second instance of each ancestor zone. The root of the
/// whole tree has no parents.
/// @param live the list; its order does not matter
/// @complexity O(n log n) in the size of the list
[[nodiscard]] tree_place placeOf(std::vector<tree_node> live, const tree_node &self);

/// @brief Hash of an instance id for sums over sets of instances; the same on every machine.
/// @complexity linear in the size of the id
[[nodiscard]] std::uint64_t instanceHash(const instance_id &instance);

} // namespace fuchsiagw::core
