/// @file
/// @brief Check of a caller's API key, which determines the workspace.

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

/// All key hashes of a configuration, including those of retired keys.
using key_index = std::unordered_map<key_hash, key_entry>;

/// Invariant: `workspace` is set if and only if `error` is empty.
struct key_decision
{
    std::optional<error_kind> error; ///< KeyUnknown, KeyWithdrawn or KeyUnproven
    workspace_id workspace;
};

/// @brief Builds the key index of a configuration. Must be called again when the configuration
/// changes.
/// @complexity linear in the number of keys
[[nodiscard]] key_index indexKeys(const configuration &config);

/// @brief Checks a key. The workspace is determined by the key alone, so that no request can reach
/// another workspace.
///
/// A withdrawal is final, so a withdrawn key is refused without a proof that the configuration is
/// up to date. Any other decision needs the proof: without it a valid key may have been withdrawn
/// and an unknown key may have been issued in the meantime.
/// @complexity constant on average
[[nodiscard]] key_decision checkKey(const key_index &index, const key_hash &hash,
                                    const freshness &proof, time_point now);

} // namespace fuchsiagw::core
