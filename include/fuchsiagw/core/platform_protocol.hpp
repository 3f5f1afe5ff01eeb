/// @file
/// @brief What the proxy and the platform (table service, object store, instance list) say to each
/// other.
///
/// This is the whole interface to the platform. The JSON form is in wire/platform_json.hpp, the
/// transport in net/; another transport or a test bench can stand behind these structs.

#pragma once

#include <fuchsiagw/core/ids.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// Starts at 1 and increases by 1 with each put; 0 means that the row does not exist.
using row_version = std::uint64_t;

/// Answer to `GET /table/{key}`.
struct table_row
{
    std::string key; ///< plain text without spaces
    row_version version = 0;
    std::string value;

    friend bool operator==(const table_row &, const table_row &) = default;
};

/// Answer to `GET /scan?prefix=P`, ordered by key.
struct scan_answer
{
    std::vector<table_row> rows;

    friend bool operator==(const scan_answer &, const scan_answer &) = default;
};

/// Condition of a transaction: the row has exactly this version.
struct row_check
{
    std::string key;
    row_version version = 0; ///< 0: the row must not exist

    friend bool operator==(const row_check &, const row_check &) = default;
};

struct row_put
{
    std::string key;
    std::string value;

    friend bool operator==(const row_put &, const row_put &) = default;
};

/// Body of `POST /transact`. Everything happens together or not at all.
struct transact_request
{
    std::string id; ///< a repeated request with the same id gets the first result
    std::vector<row_check> checks;
    std::vector<row_put> puts;
    std::vector<std::string> deletes; ///< keys

    friend bool operator==(const transact_request &, const transact_request &) = default;
};

/// Invariant: `conflicts` is empty if `committed`.
struct transact_answer
{
    bool committed = false;
    std::vector<std::string> conflicts; ///< keys whose check did not hold

    friend bool operator==(const transact_answer &, const transact_answer &) = default;
};

enum class instance_kind : std::uint8_t {
    Entry,
    Upstream,
};

inline constexpr std::array<std::string_view, 2> instanceKindNames{ "entry", "upstream" };

[[nodiscard]] constexpr std::string_view toString(instance_kind kind)
{
    return instanceKindNames.at(static_cast<std::size_t>(kind));
}

enum class instance_state : std::uint8_t {
    Live,
    Leaving, ///< gets no new work
};

inline constexpr std::array<std::string_view, 2> instanceStateNames{ "live", "leaving" };

[[nodiscard]] constexpr std::string_view toString(instance_state state)
{
    return instanceStateNames.at(static_cast<std::size_t>(state));
}

/// An instance as the platform's list, which lags, shows it.
struct instance_entry
{
    instance_id instance; ///< the member id if the instance is an upstream
    instance_kind kind = instance_kind::Entry;
    zone_name zone;
    std::string address; ///< IP number and port; the peer address if the instance is an entry
    instance_state state = instance_state::Live;

    friend bool operator==(const instance_entry &, const instance_entry &) = default;
};

/// Answer to `GET /instances`.
struct instance_list
{
    std::vector<instance_entry> instances;

    friend bool operator==(const instance_list &, const instance_list &) = default;
};

} // namespace fuchsiagw::core
