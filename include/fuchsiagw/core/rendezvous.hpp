/// @file
/// @brief Rendezvous hashing: selects the instance that owns a key and its successors.

#pragma once

#include <fuchsiagw/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// @brief Computes a hash that is the same on all machines and in all releases (FNV-1a with a final
/// mix).
/// @complexity linear in the length of @p text
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

/// @brief Computes the rank of a candidate in weighted rendezvous hashing: candidates win keys in
/// proportion to their weights, and equal weights rank as their hashes do.
/// @param hash stableHash() of the candidate and the key
/// @param weight greater than 0
/// @return score; the highest one wins
[[nodiscard]] double weightedScore(std::uint64_t hash, double weight);

/// @brief Ranks instances for a key. If an instance is removed, the order of the others stays.
/// @param key key to assign, see ownerKey()
/// @param instances instances in any order; duplicates count once
/// @return the owner, followed by its successors in order
/// @complexity O(n log n) hashes and comparisons
[[nodiscard]] std::vector<instance_id> rankInstances(std::string_view key,
                                                     const std::vector<instance_id> &instances);

/// @return the key for which rankInstances() selects a zone's owner of a group
[[nodiscard]] std::string ownerKey(const group_id &group, const zone_name &zone);

} // namespace fuchsiagw::core
