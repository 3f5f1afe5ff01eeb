/// @file
/// @brief Functions shared by the source files of failover; internal to core.

#pragma once

#include <fuchsiagw/core/failover.hpp>

namespace fuchsiagw::detail {

/// @return whether the member has answered within @p window before @p now
[[nodiscard]] bool isHeardWithin(const core::member_view &member, core::duration window,
                                 core::time_point now);

/// @return @p first doubled @p times, at most @p longest
[[nodiscard]] core::duration exponentialDelay(core::duration first, std::uint32_t times,
                                              core::duration longest);

/// @return whether a probe of the primary is unanswered for at least one probe interval. A shorter
/// wait is no evidence, because the probe may still be on its way.
[[nodiscard]] bool isProbeOverdue(const core::failover_state &state, core::time_point now);

void clearSilence(core::failover_state &state);

[[nodiscard]] core::failover_action makeAction(core::failover_step step,
                                               const core::member_id &member,
                                               core::term_number term,
                                               core::duration timeout = core::probeTimeout);

/// @brief Probes silent members and members whose known position is older than reads allow.
/// @complexity logarithmic in the number of scheduled members, for each member
void probeMembers(core::failover_state &state, core::group_view &view,
                  const core::failover_load &load, core::time_point now,
                  core::random_engine &random, core::failover_actions &actions);

} // namespace fuchsiagw::detail
