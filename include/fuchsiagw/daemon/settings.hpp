/// @file
/// @brief Settings of the daemon, read from a YAML file at its start.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/net/endpoint.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagw::daemon {

/// Secret key that all daemons of a deployment share.
using shared_key = std::array<unsigned char, 32>;

/// Invariant: after readSettings() without problems every field is within the bounds in
/// docs/settings.md.
struct settings
{
    core::instance_id instance;
    core::zone_name zone;
    net::endpoint callerAddress;
    net::endpoint adminAddress;
    net::endpoint peerAddress;
    net::endpoint platformAddress;
    std::vector<std::string>
            seeds; ///< peer addresses that are probed until the platform's instance list is read
    shared_key clusterKey{};
    std::string operatorSecretHash;
    std::string logLevel;
    std::string logFile; ///< `-`: standard error

    std::chrono::milliseconds proofLifetime{ 0 };
    std::chrono::milliseconds drainLimit{ 0 };
    std::chrono::milliseconds defaultDeadline{ 0 };
    std::chrono::milliseconds answerLimit{ 0 };
    std::chrono::milliseconds connectLimit{ 0 };
    std::uint32_t queueCapacity = 0;
    std::uint32_t callerConnections = 0;
};

/// Description of one entry of the file.
struct setting_description
{
    std::string_view path;
    std::string_view unit;
    std::string_view defaultText; ///< empty: the entry is required
    std::string_view bounds;
    std::string_view meaning;
};

/// @return every entry, in the order of docs/settings.md
[[nodiscard]] std::vector<setting_description> describeSettings();

/// An error in a settings file.
struct settings_problem
{
    std::string file;
    int line = 0; ///< starts at 1; 0 if the error belongs to no line
    std::string reason; ///< the entry and what to change in it
};

/// @return `file:line: reason`
[[nodiscard]] std::string toString(const settings_problem &problem);

/// @brief Reads and checks a settings file.
/// @param result is complete only if no error is returned
/// @return all errors; empty if the settings are valid
/// @complexity linear in the size of the file
[[nodiscard]] std::vector<settings_problem> readSettings(const std::string &file, settings &result);

} // namespace fuchsiagw::daemon
