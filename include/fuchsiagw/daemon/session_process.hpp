/// @file
/// @brief Daemon process with the session interface: startup, settings reload and shutdown.

#pragma once

#include <fuchsiagw/daemon/process.hpp>
#include <fuchsiagw/daemon/session_settings.hpp>

#include <string>

namespace fuchsiagw::daemon {

/// @brief Runs the session interface until SIGTERM or SIGINT.
/// @param file settings file; read again on modification and on SIGHUP
/// @complexity blocks until the process stops
[[nodiscard]] exit_code runSessionDaemon(const session_settings &values, const std::string &file,
                                         log_sink &log);

} // namespace fuchsiagw::daemon
