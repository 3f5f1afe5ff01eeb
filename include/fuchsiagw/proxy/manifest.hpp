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

/// How current the data of a read must be.
enum class consistency : std::uint8_t {
    Primary, ///< every acknowledged commit
    BoundedStaleness, ///< every commit acknowledged before the route's bound
    ReadYourWrites, ///< like BoundedStaleness, and every commit of the same session
};

inline constexpr std::array<std::string_view, 3> consistencyNames{ "primary", "bounded_age",
                                                                   "read_own_writes" };

[[nodiscard]] constexpr std::string_view toString(consistency value)
{
    return consistencyNames.at(static_cast<std::size_t>(value));
}

struct route
{
    std::string database; ///< callers name it when they connect
    std::string service;
    consistency kind = consistency::Primary;
    core::duration statementTimeout{ 0 };
    core::duration latencyObjective{ 0 }; ///< for the whole operation
    core::duration maxStaleness{ 0 };
    int priority = 0; ///< 0 is the highest
    bool anonymousAllowed = false;
};

struct service_entry
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< of one member, over all callers
    std::uint32_t synchronousReplicas = 0;
};

struct workspace_entry
{
    std::string name;
    int priority = 0;
    std::optional<double> ratePerSecond; ///< operations; none: unlimited
    double burst = 0; ///< operations
};

struct manifest
{
    std::uint64_t version = 0;
    std::map<std::string, route, std::less<>> routes; ///< by database
    std::map<std::string, service_entry, std::less<>> services; ///< by name
    std::vector<workspace_entry> workspaces;
    std::map<std::string, std::size_t, std::less<>> workspaceByKey; ///< index into workspaces
    core::duration transactionIdleLimit{ 0 }; ///< 0: none
};

} // namespace fuchsiagw::proxy
