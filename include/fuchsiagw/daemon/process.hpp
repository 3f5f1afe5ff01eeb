/// @file
/// @brief Start, run and planned stop of the daemon.

#pragma once

#include <fuchsiagw/daemon/settings.hpp>

#include <memory>

namespace fuchsiagw::daemon {

class log_sink;

/// Exit codes of fuchsiagwd.
enum class exit_code : int {
    Stopped = 0, ///< planned stop; every request was answered
    Failed = 1, ///< a thread failed too often, or an address could not be bound
    SettingsInvalid = 2, ///< settings or flags are invalid
    Interrupted = 3, ///< planned stop; requests were unanswered at its deadline
};

/// @brief Runs the daemon until SIGTERM or SIGINT, then drains it. It returns when the daemon has
/// stopped.
[[nodiscard]] exit_code runDaemon(const settings &values, log_sink &log);

} // namespace fuchsiagw::daemon
