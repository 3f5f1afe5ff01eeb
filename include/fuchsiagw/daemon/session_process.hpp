/// @file
/// @brief The daemon with the session interface: its start, reloads and stop.

#pragma once

#include <fuchsiagw/daemon/process.hpp>
#include <fuchsiagw/daemon/session_settings.hpp>

#include <string>

namespace fuchsiagw::daemon {

/// @brief Runs the session interface until SIGTERM or SIGINT.
/// @param file of the settings; read again when it changes and on SIGHUP
/// @complexity blocks for the life of the process
[[nodiscard]] exit_code runSessionDaemon(const session_settings &values, const std::string &file,
                                         log_sink &log);

} // namespace fuchsiagw::daemon
