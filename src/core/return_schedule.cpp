/// @file
/// @brief Places of refused callers in the schedule of their retries.

#include <fuchsiagw/core/return_schedule.hpp>

#include <algorithm>
#include <chrono>

namespace fuchsiagw::core {

namespace {

constexpr duration minRetryAfter = std::chrono::milliseconds(20);
/// Callers have seconds for an operation; a longer wait amounts to turning them away for good.
constexpr duration maxRetryAfter = std::chrono::seconds(2);

} // namespace

duration scheduleReturn(return_schedule &schedule, duration interval, time_point earliest,
                        time_point now)
{
    const time_point next = std::max({ schedule.lastReturnAt + interval, earliest, now });
    // Beyond the longest wait, retries are spread over it again from its start.
    schedule.lastReturnAt = next - now > maxRetryAfter ? std::max(earliest, now) : next;
    return std::clamp(schedule.lastReturnAt - now, minRetryAfter, maxRetryAfter);
}

} // namespace fuchsiagw::core
