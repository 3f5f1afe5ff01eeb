/// @file
/// @brief The configuration that operators change by release notes.

#pragma once

#include <fuchsiagw/core/ids.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

using configuration_version = std::uint64_t;

/// Bound on the length of every name in the configuration; a session token relies on it.
inline constexpr std::size_t maxNameLength = 63;

/// Characters of a key hash.
inline constexpr std::size_t keyHashLength = 64;

/// BLAKE2b-256 of a caller's key in lower-case hexadecimal; the key itself is never kept.
using key_hash = std::string;

enum class key_state : std::uint8_t {
    Valid,
    Withdrawn,
};

inline constexpr std::array<std::string_view, 2> keyStateNames{ "valid", "withdrawn" };

/// A kind of read that may be served by a replica.
struct read_class
{
    std::chrono::milliseconds maxAge{ 0 }; ///< greatest accepted age of the data

    friend bool operator==(const read_class &, const read_class &) = default;
};

/// A customer. Invariant: rate > 0 and burst > 0.
struct workspace_settings
{
    double rate = 0; ///< statements per second over all instances together
    double burst = 0; ///< statements
    std::vector<group_id> groups; ///< groups that it may use; ascending, each once
    std::map<std::string, read_class> readClasses;
    std::map<key_hash, key_state> keys; ///< a withdrawn key never becomes valid again

    friend bool operator==(const workspace_settings &, const workspace_settings &) = default;
};

struct member_settings
{
    zone_name zone;
    std::string address; ///< IP number and port

    friend bool operator==(const member_settings &, const member_settings &) = default;
};

/// A database group. Invariant: at least one member; connections >= 1; slots >= 1.
struct group_settings
{
    std::map<member_id, member_settings> members;
    std::uint32_t slots = 1; ///< statements that a member executes at once
    std::uint32_t connections = 1; ///< over all instances together

    friend bool operator==(const group_settings &, const group_settings &) = default;
};

/// Automatic actions that operators can switch off.
enum class automatic_action : std::uint8_t {
    All, ///< master switch
    Promotion,
    Rebalancing,
    Loans,
    Probing,
};

inline constexpr std::array<std::string_view, 5> automaticActionNames{ "all", "promotion",
                                                                       "rebalancing", "loans",
                                                                       "probing" };

/// Invariant: a version names one content for ever.
struct configuration
{
    configuration_version version = 0; ///< 0: none yet
    std::map<workspace_id, workspace_settings> workspaces;
    std::map<group_id, group_settings> groups;
    std::map<automatic_action, bool> switches; ///< missing: on
    std::map<key_hash, workspace_id> retiredKeys; ///< keys of workspaces that no longer exist;
                                                  ///< never valid again

    friend bool operator==(const configuration &, const configuration &) = default;
};

/// @brief Tells whether an automatic action may happen: both its own switch and the master are on.
/// @complexity logarithmic in the number of switches
[[nodiscard]] bool isAutomatic(const configuration &config, automatic_action action);

/// @brief Tells whether @p text may name a workspace, group, member, zone or read class: 1 to
/// maxNameLength letters, digits, '-', '_' or '.'.
/// @complexity linear in the size of @p text
[[nodiscard]] bool isName(std::string_view text);

/// @return whether @p text has the form of a key hash
/// @complexity linear in the size of @p text
[[nodiscard]] bool isKeyHash(std::string_view text);

/// @brief Checks every invariant that a configuration states.
/// @return the first problem with the path of its field; empty if there is none
/// @complexity linear in the size of the configuration, times the logarithm of its keys
[[nodiscard]] std::string findProblem(const configuration &config);

} // namespace fuchsiagw::core
