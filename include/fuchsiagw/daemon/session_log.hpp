/// @file
/// @brief Log lines of the session interface, bounded in number.

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

/// @return the number of the event in docs/events.md
[[nodiscard]] int eventNumber(proxy::note_kind kind);

/// Decisions about single statements are sampled above a rate; what was left out is counted in the
/// next line of the same kind. Lines that change what the process believes are always written.
class session_log
{
public:
    explicit session_log(log_sink &sink);

    void write(const proxy::decision_note &note, core::time_point now);
    /// @brief A line of the process itself: start, stop, reload, dependencies.
    void write(int number, std::string_view name, std::string_view detail);

private:
    log_sink &sink_;
    struct limiter
    {
        core::token_bucket bucket;
        std::uint64_t skipped = 0;
    };
    std::array<limiter, proxy::noteKindNames.size()> limits_;
};

} // namespace fuchsiagw::daemon
