/// @file
/// @brief Exponential backoff with jitter.

#pragma once

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>

namespace fuchsiagw::core {

/// Delay after the first failure. It is several times as long as a round trip between zones (8 ms).
inline constexpr duration initialBackoff = std::chrono::milliseconds(50);
/// Maximum delay. A member that recovers is contacted again after this time at the latest.
inline constexpr duration maxBackoff = std::chrono::seconds(5);

/// Backoff state of one member. Invariant: `failures` is 0 if and only if `until` is
/// time_point::min().
struct backoff
{
    std::uint32_t failures = 0; ///< consecutive failures
    time_point until = time_point::min(); ///< no attempt before this time
};

/// @brief Records a failure and extends the backoff. The delay doubles up to maxBackoff. Up to a
/// quarter of it is random, so that several owners don't retry at the same time.
/// @complexity constant
void recordFailure(backoff &state, time_point now, random_engine &random);

/// @brief Resets the failures and ends the backoff.
/// @complexity constant
void recordSuccess(backoff &state);

/// @return whether `until` has not been reached yet
/// @complexity constant
[[nodiscard]] bool isBackedOff(const backoff &state, time_point now);

} // namespace fuchsiagw::core
