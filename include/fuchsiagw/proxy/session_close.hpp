/// @file
/// @brief How the proxy ends a session, so that every statement of its caller gets an answer.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/refusal.hpp>
#include <fuchsiagw/proxy/session_end.hpp>

#include <cstdint>

namespace fuchsiagw::proxy {

/// What happens to the statements that were accepted behind the current one.
enum class accepted_statements : std::uint8_t {
    AreRefused,
    AreRun,
};

struct session_close
{
    session_end why = session_end::Refused;
    /// Answers the accepted statements that are not run, and those that the proxy has not read when
    /// it closes the connection. Not run at all, so that its code may be a promise.
    refusal_reason refusal = refusal_reason::Stopping;
    core::duration retryAfter{ 0 }; ///< 0: unknown
    accepted_statements accepted = accepted_statements::AreRefused;
};

} // namespace fuchsiagw::proxy
