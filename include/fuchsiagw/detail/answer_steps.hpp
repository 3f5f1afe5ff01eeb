/// @file
/// @brief Steps that the handling of members' answers and that of closed links share.

#pragma once

#include <fuchsiagw/detail/engine_steps.hpp>

#include <string>
#include <string_view>

namespace fuchsiagw::proxy {

/// Backoff after a member's refusal because it is busy; doubled with each one in a row.
inline constexpr milliseconds busyBackoff{ 15 };

/// @return a duration from half of @p base to one and a half times as long
[[nodiscard]] core::duration withJitter(engine &state, core::duration base);
/// @brief Gives a member no work for a time that doubles with each failure in a row.
/// @param reason for the log
void avoidMember(engine &state, member_state &member, std::string_view reason,
                 core::time_point now);
/// @param caller set to the session that an answer belongs to
/// @return its request, or nullptr if it no longer waits for this answer
[[nodiscard]] request *findPendingRequest(engine &state, const expected_answer &expected,
                                          session *&caller);
void removeOutstanding(request &pending, link_id link);
/// @brief Detaches a transaction from a link on which it has not run its first statement.
void unpinTransaction(session &caller, upstream_link *link);
/// @brief Sends a request that was not run to a member again, unless another one works on it.
void retryRequest(engine &state, session &caller, const std::string &member, reply_code code,
                  core::time_point now);

} // namespace fuchsiagw::proxy
