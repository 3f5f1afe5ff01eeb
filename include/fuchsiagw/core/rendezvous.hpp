/// @file
/// @brief Rendezvous hashing: which instance owns a key, and which ones come next.

#pragma once

#include <fuchsiagw/core/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// @brief Hash that is the same on all machines and in all releases (FNV-1a with a final mix).
/// @complexity linear in the length of @p text
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

/// @brief Orders instances for a key. When an instance leaves, the order of the others stays.
/// @param key what is owned, see ownerKey()
/// @param instances in any order; duplicates count once
/// @return the owner first, then the next in order
/// @complexity O(n log n) hashes and comparisons
[[nodiscard]] std::vector<instance_id> rankInstances(std::string_view key,
                                                     const std::vector<instance_id> &instances);

/// @return the key under which a zone's owner of a group is chosen
[[nodiscard]] std::string ownerKey(const group_id &group, const zone_name &zone);

} // namespace fuchsiagw::core
