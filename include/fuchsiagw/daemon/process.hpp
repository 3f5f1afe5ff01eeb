/// @file
/// @brief The whole daemon: its duties, the rings between them, and its start and stop.

#pragma once

#include <fuchsiagw/daemon/settings.hpp>

#include <memory>

namespace fuchsiagw::daemon {

class log_sink;

/// Exit codes of fuchsiagwd.
enum class exit_code : int {
    Stopped = 0, ///< a planned stop that interrupted no request
    Failed = 1, ///< a duty was beyond repair, or an address could not be bound
    SettingsInvalid = 2, ///< settings or flags are wrong
    Interrupted = 3, ///< a planned stop whose deadline ended requests
};

/// @brief Runs the daemon until SIGTERM or SIGINT, then drains it.
/// @complexity blocks for the life of the process
[[nodiscard]] exit_code runDaemon(const settings &values, log_sink &log);

} // namespace fuchsiagw::daemon
