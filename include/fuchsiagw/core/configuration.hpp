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

/// Greatest length of a name in the configuration. The format of session tokens depends on it.
inline constexpr std::size_t maxNameLength = 63;

/// Hexadecimal digits of a key hash.
inline constexpr std::size_t keyHashLength = 64;

/// BLAKE2b-256 of a caller's key in lower-case hexadecimal. The key itself is never stored.
using key_hash = std::string;

enum class key_state : std::uint8_t {
    Valid,
    Withdrawn,
};

inline constexpr std::array<std::string_view, 2> keyStateNames{ "valid", "withdrawn" };

/// A class of reads that replicas may serve.
struct read_class
{
    std::chrono::milliseconds maxAge{ 0 }; ///< greatest age of the data that a read accepts

    friend bool operator==(const read_class &, const read_class &) = default;
};

/// Limits, groups and keys of a workspace, which is one customer of the proxy. Invariant:
/// rate > 0 and burst > 0.
struct workspace_settings
{
    double rate = 0; ///< statements per second, summed over all instances
    double burst = 0; ///< capacity of the rate's token bucket in statements
    std::vector<group_id>
            groups; ///< groups that the workspace may use; ascending, without duplicates
    std::map<std::string, read_class> readClasses;
    std::map<key_hash, key_state> keys; ///< a withdrawn key never becomes valid again

    friend bool operator==(const workspace_settings &, const workspace_settings &) = default;
};

struct member_settings
{
    zone_name zone;
    std::string address; ///< IP address and port

    friend bool operator==(const member_settings &, const member_settings &) = default;
};

/// A database group. Invariant: at least one member; connections >= 1; slots >= 1.
struct group_settings
{
    std::map<member_id, member_settings> members;
    std::uint32_t slots = 1; ///< greatest number of concurrent statements per member
    std::uint32_t connections = 1; ///< greatest number of connections, summed over all instances

    friend bool operator==(const group_settings &, const group_settings &) = default;
};

/// Automatic actions that an operator can switch off.
enum class automatic_action : std::uint8_t {
    All, ///< switches off every automatic action
    Promotion,
    Rebalancing,
    Loans,
    Probing,
};

inline constexpr std::array<std::string_view, 5> automaticActionNames{ "all", "promotion",
                                                                       "rebalancing", "loans",
                                                                       "probing" };

/// Invariant: a version number never refers to two different contents.
struct configuration
{
    configuration_version version = 0; ///< 0: no configuration has been accepted yet
    std::map<workspace_id, workspace_settings> workspaces;
    std::map<group_id, group_settings> groups;
    std::map<automatic_action, bool> switches; ///< an action without an entry is on
    std::map<key_hash, workspace_id> retiredKeys; ///< keys of deleted workspaces; they never
                                                  ///< become valid again

    friend bool operator==(const configuration &, const configuration &) = default;
};

/// @brief Tells whether an automatic action is allowed: its own switch and the switch of All are
/// on.
/// @complexity logarithmic in the number of switches
[[nodiscard]] bool isAutomatic(const configuration &config, automatic_action action);

/// @brief Tells whether @p text is a valid name of a workspace, group, member, zone or read class:
/// 1 to maxNameLength letters, digits, '-', '_' or '.'.
/// @complexity linear in the size of @p text
[[nodiscard]] bool isName(std::string_view text);

/// @return whether @p text has the form of a key hash
/// @complexity linear in the size of @p text
[[nodiscard]] bool isKeyHash(std::string_view text);

/// @brief Checks the invariants of a configuration.
/// @return the first violation, with the path of its field; empty if the configuration is valid
/// @complexity linear in the size of the configuration, times the logarithm of its keys
[[nodiscard]] std::string findProblem(const configuration &config);

} // namespace fuchsiagw::core
