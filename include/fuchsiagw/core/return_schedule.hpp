/// @file
/// @brief Spreads the retries of refused callers over time.
///
/// Callers that are refused at the same moment with the same retry-after time come back together
/// and are refused again. Each refusal therefore takes the next place of a schedule that has the
/// rate at which the queue is served.

#pragma once

#include <fuchsiagw/core/time.hpp>

namespace fuchsiagw::core {

struct return_schedule
{
    time_point lastReturnAt{}; ///< place given to the latest refusal
};

/// @brief Takes the next place of the schedule.
/// @param interval time between two statements that are served
/// @param earliest time before which no retry can be served
/// @return retry-after time, at least 20 ms and at most 2 s
/// @complexity constant
[[nodiscard]] duration scheduleReturn(return_schedule &schedule, duration interval,
                                      time_point earliest, time_point now);

} // namespace fuchsiagw::core
