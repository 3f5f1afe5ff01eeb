/// @file
/// @brief Steps shared by the source files of failover. For the core package only.

#pragma once

#include <fuchsiagw/core/failover.hpp>

namespace fuchsiagw::detail {

/// @return whether any answer of the member came within the window
[[nodiscard]] bool isHeardWithin(const core::member_view &member, core::duration window,
                                 core::time_point now);

/// @return @p first doubled @p times, at most @p longest
[[nodiscard]] core::duration exponentialDelay(core::duration first, std::uint32_t times,
                                              core::duration longest);

/// @return whether a probe of the primary went unanswered; the first one after a quiet time says
/// nothing yet
[[nodiscard]] bool isProbeOverdue(const core::failover_state &state, core::time_point now);

void clearSilence(core::failover_state &state);

[[nodiscard]] core::failover_action makeAction(core::failover_step step,
                                               const core::member_id &member,
                                               core::term_number term,
                                               core::duration timeout = core::probeTimeout);

/// @brief Probes the members that are due: silent ones, and those whose position must be known
/// better.
/// @complexity logarithmic in the probes for each member
void probeMembers(core::failover_state &state, core::group_view &view,
                  const core::failover_load &load, core::time_point now,
                  core::random_engine &random, core::failover_actions &actions);

} // namespace fuchsiagw::detail
