/// @file
/// @brief Answer to one statement, from a member or from the proxy itself.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::proxy {

enum class reply_code : std::uint8_t {
    Success,
    Busy,
    Lagging,
    ReadOnly,
    Misrouted,
    ConnectionLimit,
    Failed,
    UnknownPrepared,
    TimedOut,
    Unauthorized,
    NoDatabase,
    TooLarge,
    Malformed,
    Aborted,
    OutcomeUnknown,
    Unrecognized,
};

inline constexpr std::array<std::string_view, 16> replyCodeNames{
    "success",          "busy",      "lagging",          "read_only", "misrouted",
    "connection_limit", "failed",    "unknown_prepared", "timed_out", "unauthorized",
    "no_database",      "too_large", "malformed",        "aborted",   "outcome_unknown",
    "unrecognized",
};

[[nodiscard]] constexpr std::string_view toString(reply_code code)
{
    return replyCodeNames.at(static_cast<std::size_t>(code));
}

/// @return whether a code guarantees that the member did not run the statement
[[nodiscard]] constexpr bool meansNotExecuted(reply_code code)
{
    return code == reply_code::Busy || code == reply_code::Lagging || code == reply_code::ReadOnly
           || code == reply_code::Misrouted || code == reply_code::ConnectionLimit
           || code == reply_code::UnknownPrepared;
}

enum class transaction_state : std::uint8_t {
    Idle,
    Open,
    Failed, ///< accepts only commit and rollback; both roll back
};

/// State that a member reports in answers to commands of the proxy itself.
struct member_status
{
    bool leads = false;
    core::term_number term = 0;
    core::log_position received;
    core::term_number pausedTerm = 0; ///< term for which receiving is paused; 0: it receives
};

struct reply
{
    reply_code code = reply_code::Success;
    std::vector<std::string> rows;
    std::string digest; ///< from the member; "-" if the proxy itself answered
    std::string message; ///< text of an error
    transaction_state state = transaction_state::Idle;
    std::optional<core::log_position> position;
    std::optional<member_status> status; ///< only in answers to commands of the proxy itself
    core::duration retryAfter{
        0
    }; ///< of a relay's refusal: when another try may succeed; 0: unknown
    bool endsConnection = false; ///< no further command can be sent on its connection
};

} // namespace fuchsiagw::proxy
