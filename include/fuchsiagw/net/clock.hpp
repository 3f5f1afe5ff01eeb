/// @file
/// @brief Current time on the monotonic clock and the boot clock.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <chrono>
#include <ctime>

namespace fuchsiagw::net {

/// @return the current time; it never goes backwards
[[nodiscard]] inline core::time_point currentTime()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return core::time_point(std::chrono::duration_cast<core::duration>(sinceStart));
}

/// @return the time since boot, including the time that the machine was suspended
[[nodiscard]] inline core::time_point currentBootTime()
{
    timespec time{};
    static_cast<void>(clock_gettime(CLOCK_BOOTTIME, &time));
    constexpr std::int64_t microsPerSecond = 1'000'000;
    constexpr std::int64_t nanosPerMicro = 1'000;
    return core::time_point(
            core::duration(time.tv_sec * microsPerSecond + time.tv_nsec / nanosPerMicro));
}

/// @return the same instant on the clock that Asio's timers use
[[nodiscard]] inline std::chrono::steady_clock::time_point toSteady(core::time_point time)
{
    if (time == core::noDeadline)
        return std::chrono::steady_clock::time_point::max();
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

} // namespace fuchsiagw::net
