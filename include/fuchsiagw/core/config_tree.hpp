/// @file
/// @brief Place of an instance in the distribution tree of configuration versions and freshness
/// proofs.
///
/// The instances of a zone form one subtree in order of their ids, and the first of them is the
/// zone's head. The heads form the upper tree in order of their zones. An instance has at most 8
/// children: 8 in its zone, or for a head 4 in its zone and the heads of 4 other zones. Every
/// instance computes its place from its own copy of the platform's instance list, so no message is
/// needed to build the tree.

#pragma once

#include <fuchsiagw/core/ids.hpp>

#include <tuple>
#include <vector>

namespace fuchsiagw::core {

inline constexpr std::size_t treeFanOut = 8;

/// Instances per zone that read the platform's version row. If one of them fails, the other still
/// supplies proofs.
inline constexpr std::size_t readersPerZone = 2;

/// An entry instance in the platform's list.
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
    bool isListed = false; ///< false: no children, and the parent is the zone's head
    bool isReader = false; ///< reads the platform's version row
    std::vector<instance_id>
            parents; ///< in order of preference; the next one replaces an unresponsive one
    std::vector<instance_id> children;
};

/// @brief Computes the place of @p self.
///
/// The first parent is the parent in the tree. The substitutes follow: the other ancestors in the
/// zone, the zone's second instance, and the head and second instance of each ancestor zone. The
/// root of the whole tree has no parents.
/// @param live the platform's list, in any order
/// @complexity O(n log n) in the size of the list
[[nodiscard]] tree_place placeOf(std::vector<tree_node> live, const tree_node &self);

/// @brief Hashes an instance id. The sum of the hashes identifies a set of instances, so the hash
/// is the same on every machine.
/// @complexity linear in the size of the id
[[nodiscard]] std::uint64_t instanceHash(const instance_id &instance);

} // namespace fuchsiagw::core
