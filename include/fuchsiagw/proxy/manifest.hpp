/// @file
/// @brief The configuration that the operator publishes: routes, services, workspaces.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::proxy {

/// Consistency level of the reads on a route.
enum class consistency : std::uint8_t {
    Primary, ///< observes every acknowledged commit
    BoundedStaleness, ///< observes every commit older than route::maxStaleness
    ReadYourWrites, ///< also observes every commit of the same session
};

inline constexpr std::array<std::string_view, 3> consistencyNames{ "primary", "bounded_age",
                                                                   "read_own_writes" };

[[nodiscard]] constexpr std::string_view toString(consistency value)
{
    return consistencyNames.at(static_cast<std::size_t>(value));
}

struct route
{
    std::string database; ///< name with which callers connect
    std::string service;
    consistency kind = consistency::Primary;
    core::duration statementTimeout{ 0 };
    core::duration latencyObjective{ 0 }; ///< target latency of a whole operation
    core::duration maxStaleness{ 0 };
    int priority = 0; ///< 0 is the highest
    bool anonymousAllowed = false;
};

struct service_entry
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< limit per member, over all callers
    std::uint32_t synchronousReplicas = 0;
};

struct workspace_entry
{
    std::string name;
    int priority = 0;
    std::optional<double> ratePerSecond; ///< operations; not set: unlimited
    double burst = 0; ///< size of the token bucket, in operations
};

/// Call of the store that brought a manifest.
enum class manifest_source : std::uint8_t {
    Table, ///< a read of the whole table
    Feed, ///< a read of the change feed that waits for changes
    Check, ///< a read of the change feed that does not wait
};

inline constexpr std::array<std::string_view, 3> manifestSourceNames{ "table", "feed", "check" };

[[nodiscard]] constexpr std::string_view toString(manifest_source source)
{
    return manifestSourceNames.at(static_cast<std::size_t>(source));
}

struct manifest
{
    std::uint64_t version = 0;
    std::map<std::string, route, std::less<>> routes; ///< key: route::database
    std::map<std::string, service_entry, std::less<>> services; ///< key: service_entry::name
    std::vector<workspace_entry> workspaces;
    std::map<std::string, std::size_t, std::less<>>
            workspaceByKey; ///< access key to index in `workspaces`
    core::duration transactionIdleLimit{ 0 }; ///< 0: no limit
    /// Names of services and workspaces that were left out, as no message can carry them.
    std::vector<std::string> unusableNames;
};

} // namespace fuchsiagw::proxy
