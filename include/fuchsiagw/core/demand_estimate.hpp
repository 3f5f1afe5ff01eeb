/// @file
/// @brief Estimates of how many statements of a workspace arrive at an instance.

#pragma once

#include <fuchsiagw/core/time.hpp>

namespace fuchsiagw::core {

/// Arrivals per second over a short and a long window.
struct demand_estimate
{
    double fast = 0; ///< over the last 0.2 s
    double slow = 0; ///< over the last 2 s
    time_point at{};
};

/// @brief Counts one arrival.
/// @complexity constant
void recordArrival(demand_estimate &demand, time_point now);

/// @return the estimate at @p now
/// @complexity constant
[[nodiscard]] demand_estimate decayed(const demand_estimate &demand, time_point now);

/// @return a rate that the short window shows to be exceeded: the count of arrivals in it deviates
/// by about its square root from the mean, and two deviations are allowed for
/// @complexity constant
[[nodiscard]] double rateLowerBound(const demand_estimate &demand, time_point now);

/// @return a rate that the short window and the silence since the last arrival show not to be
/// exceeded
/// @complexity constant
[[nodiscard]] double rateUpperBound(const demand_estimate &demand, time_point now);

/// @return a rate that the long window shows to be exceeded, with one deviation allowed for
/// @complexity constant
[[nodiscard]] double steadyRateLowerBound(const demand_estimate &demand, time_point now);

} // namespace fuchsiagw::core
