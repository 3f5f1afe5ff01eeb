/// @file
/// @brief Rate-limited log of the session interface.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/proxy/decision_note.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiagw::daemon {

/// @return the number of the event in docs/session-events.md
[[nodiscard]] int eventNumber(proxy::note_kind kind);

/// Events about single statements are limited by a token bucket per kind; the next line of the same
/// kind reports how many were skipped. Events that change the state of the process are always
/// written. Values are escaped by appendLogValue(), as many are chosen by callers, members and
/// other writers of the store.
class session_log
{
public:
    explicit session_log(log_sink &sink);

    void write(const proxy::decision_note &note, core::time_point now);
    /// @brief Writes an event of the process: stop, reload, dependencies. Not rate-limited.
    void write(int number, std::string_view name, std::string_view detail);
    /// @brief Writes the start of the process. Not rate-limited.
    void writeStart(int number, std::string_view name, std::string_view instance,
                    std::string_view zone);
    /// @brief Writes counters of the process. Not rate-limited.
    /// @param counters fields of the program's own names and numbers, separated by blanks
    void writeCounters(int number, std::string_view name, std::string_view counters);

private:
    log_sink &sink_;
    struct limiter
    {
        core::token_bucket bucket;
        std::uint64_t skipped = 0;
    };
    std::array<limiter, proxy::noteKindNames.size()> limiters_;
};

} // namespace fuchsiagw::daemon
