/// @file
/// @brief Exponential backoff with jitter.

#pragma once

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>

namespace fuchsiagw::core {

/// Delay after the first failure. It exceeds a round trip between zones (8 ms) several times.
inline constexpr duration initialBackoff = std::chrono::milliseconds(50);
/// Longest delay. A member that returns is noticed at the latest after this time.
inline constexpr duration maxBackoff = std::chrono::seconds(5);

/// Invariant: `failures` is 0 exactly if `until` is time_point::min().
struct backoff
{
    std::uint32_t failures = 0; ///< in a row
    time_point until = time_point::min(); ///< no use before this time
};

/// @brief Counts a failure and moves the deadline: the delay doubles up to maxBackoff, and a
/// quarter of it is random so that several owners don't return at the same time.
/// @complexity constant
void recordFailure(backoff &state, time_point now, random_engine &random);

/// @brief Forgets all failures.
/// @complexity constant
void recordSuccess(backoff &state);

/// @return whether the deadline has not passed yet
/// @complexity constant
[[nodiscard]] bool isBackedOff(const backoff &state, time_point now);

} // namespace fuchsiagw::core
