/// @file
/// @brief Follows whether the member of an open promotion order receives what the primary has.
///
/// Commits that are acknowledged while an order is open must be in the log of its member. A member
/// that stays behind the primary is the sign that they are not, or that they wait.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

namespace fuchsiagw::proxy {

struct receiver_watch
{
    core::log_position received; ///< newest position that the member has reported
    core::time_point behindSince = core::noDeadline; ///< it has lacked a position since then
    bool isReported = false; ///< it was logged that the member stays behind
};

/// @brief Records a report of the member.
/// @param primary position that the primary had at @p primaryAt
/// @param askedAt the report describes the member at this time or later; an earlier one than
/// @p primaryAt does not show that it stays behind
void recordReceived(receiver_watch &watch, core::log_position received, core::time_point askedAt,
                    core::log_position primary, core::time_point primaryAt);

/// @return whether the member has lacked a position of the primary for longer than replication
/// takes
[[nodiscard]] bool staysBehind(const receiver_watch &watch, core::time_point now);

} // namespace fuchsiagw::proxy
