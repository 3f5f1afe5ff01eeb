/// @file
/// @brief Settings of the session interface, read from its YAML file.

#pragma once

#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/net/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagw::daemon {

/// Invariant: after readSessionSettings() without problems every field is within its bounds.
struct session_settings
{
    std::string instance;
    std::string zone;
    std::string address; ///< IP address of this instance, for other instances
    net::endpoint callerAddress;
    net::endpoint readyAddress;
    std::uint16_t peerPort = 0; ///< UDP and TCP (relay); the same on all instances
    std::uint16_t metricsPort = 0;
    net::endpoint storeAddress;
    net::endpoint promotionAddress;
    std::uint32_t openFiles = 0;
    std::uint32_t memoryMegabytes = 0;
    std::chrono::seconds gracePeriod{ 0 };
    std::chrono::milliseconds drainLimit{ 0 };
    std::chrono::milliseconds configurationLimit{ 0 };
    bool promotionsAreFenced = false; ///< see proxy::engine_settings
    /// @name Optional entries
    /// @{
    std::chrono::milliseconds evacuationLimit{ 5'000 }; ///< see proxy::engine_settings
    std::uint32_t coldTolerance = 5; ///< operations beyond the rate of a cold member, per second
    double coldOverage = 1.5; ///< factor by which a cold member's rate may be exceeded
    double cpuShare = 0; ///< processor cores of this instance; 0: unknown
    double bandwidthMbps = 0; ///< of this instance's network link; 0: unknown
    bool priorityAdmission = false; ///< see proxy::engine_settings
    bool memberLimits = false; ///< see proxy::engine_settings
    /// @}
};

/// @brief Reads and validates a settings file. Unknown entries are ignored. A placeholder of the
/// template that is not filled in is a problem of a mandatory entry, and leaves an optional entry
/// its default.
/// @param result is complete only if there are no problems
/// @return all problems found
/// @complexity linear in the size of the file
[[nodiscard]] std::vector<settings_problem> readSessionSettings(const std::string &file,
                                                                session_settings &result);

} // namespace fuchsiagw::daemon
