/// @file
/// @brief Decides whether a caller's key is accepted, and for which workspace.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/freshness.hpp>

#include <optional>
#include <unordered_map>

namespace fuchsiagw::core {

struct key_entry
{
    workspace_id workspace;
    key_state state = key_state::Valid;
};

/// Every key hash of one configuration, retired ones included.
using key_index = std::unordered_map<key_hash, key_entry>;

/// Invariant: `workspace` is set exactly if `error` is empty.
struct key_decision
{
    std::optional<error_kind> error; ///< KeyUnknown, KeyWithdrawn or KeyUnproven
    workspace_id workspace;
};

/// @brief Builds the index of a configuration; call it again when the configuration changes.
/// @complexity linear in the number of keys
[[nodiscard]] key_index indexKeys(const configuration &config);

/// @brief Decides on a key. The workspace is found from the key alone (M4).
///
/// A withdrawal is final, so a withdrawn key is refused without a freshness proof. Any other key
/// needs the proof (M6): without it a valid key may have been withdrawn and an unknown one issued.
/// @complexity constant on average
[[nodiscard]] key_decision checkKey(const key_index &index, const key_hash &hash,
                                    const freshness &proof, time_point now);

} // namespace fuchsiagw::core
