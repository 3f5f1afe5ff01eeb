/// @file
/// @brief Time points and durations on a clock that only the caller can read.

#pragma once

#include <chrono>
#include <cstdint>

namespace fuchsiagw::core {

/// Clock of all code in core. It has no `now()`: the current time is always passed as an argument,
/// so that the same events lead to the same decisions in the daemon and in a simulation with
/// virtual time.
struct decision_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using duration = decision_clock::duration;
using time_point = decision_clock::time_point;

/// A deadline that is never reached.
inline constexpr time_point noDeadline = time_point::max();

} // namespace fuchsiagw::core
