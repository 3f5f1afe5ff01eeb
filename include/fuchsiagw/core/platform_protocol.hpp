/// @file
/// @brief Requests and answers between the proxy and the platform (table service, object store,
/// instance list).
///
/// This is the whole interface to the platform. The JSON encoding is in wire/platform_json.hpp and
/// the transport in net/. Another transport or a test double can implement the same structs.

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

/// Precondition of a transaction: the row has exactly this version.
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

/// Body of `POST /transact`. All puts and deletes take effect atomically, or none does.
struct transact_request
{
    std::string id; ///< idempotency key: a repeated request gets the result of the first
    std::vector<row_check> checks;
    std::vector<row_put> puts;
    std::vector<std::string> deletes; ///< keys of rows to delete

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
    Leaving, ///< shutting down; receives no new work
};

inline constexpr std::array<std::string_view, 2> instanceStateNames{ "live", "leaving" };

[[nodiscard]] constexpr std::string_view toString(instance_state state)
{
    return instanceStateNames.at(static_cast<std::size_t>(state));
}

/// Entry of the platform's instance list, which lags behind the actual state.
struct instance_entry
{
    instance_id instance; ///< the member id if the instance is an upstream
    instance_kind kind = instance_kind::Entry;
    zone_name zone;
    std::string address; ///< IP address and port; for an entry instance its peer address
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
