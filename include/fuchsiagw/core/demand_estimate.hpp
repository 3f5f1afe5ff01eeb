/// @file
/// @brief Estimates the arrival rate of a workspace's statements at an instance.

#pragma once

#include <fuchsiagw/core/time.hpp>

namespace fuchsiagw::core {

/// Arrivals per second, averaged with exponential decay over a short and a long window.
struct demand_estimate
{
    double shortWindowRate = 0; ///< time constant 0.2 s
    double longWindowRate = 0; ///< time constant 2 s
    time_point updatedAt{};
};

/// @brief Records the arrival of one statement.
/// @complexity constant
void recordArrival(demand_estimate &demand, time_point now);

/// @return the estimate, decayed to @p now
/// @complexity constant
[[nodiscard]] demand_estimate decayed(const demand_estimate &demand, time_point now);

/// @return a lower bound of the rate over the short window. The standard deviation of the number of
/// arrivals is about its square root; two of them are subtracted.
/// @complexity constant
[[nodiscard]] double rateLowerBound(const demand_estimate &demand, time_point now);

/// @return an upper bound of the rate, from the short window and the time since the last arrival
/// @complexity constant
[[nodiscard]] double rateUpperBound(const demand_estimate &demand, time_point now);

/// @return a lower bound of the rate over the long window; one standard deviation is subtracted
/// @complexity constant
[[nodiscard]] double steadyRateLowerBound(const demand_estimate &demand, time_point now);

} // namespace fuchsiagw::core
