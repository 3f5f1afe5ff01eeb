/// @file
/// @brief Exponentially decaying averages of arrivals.

#include <fuchsiagw/core/demand_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::core {

namespace {

constexpr double fastWindowSeconds = 0.2;
constexpr double slowWindowSeconds = 2;

double secondsSince(time_point then, time_point now)
{
    return std::max(0.0, std::chrono::duration<double>(now - then).count());
}

} // namespace

demand_estimate decayed(const demand_estimate &demand, time_point now)
{
    const double elapsed = secondsSince(demand.updatedAt, now);
    return { demand.shortWindowRate * std::exp(-elapsed / fastWindowSeconds),
             demand.longWindowRate * std::exp(-elapsed / slowWindowSeconds),
             std::max(demand.updatedAt, now) };
}

void recordArrival(demand_estimate &demand, time_point now)
{
    demand = decayed(demand, now);
    demand.shortWindowRate += 1 / fastWindowSeconds;
    demand.longWindowRate += 1 / slowWindowSeconds;
}

double rateLowerBound(const demand_estimate &demand, time_point now)
{
    const double arrivals = decayed(demand, now).shortWindowRate * fastWindowSeconds;
    return std::max(0.0, arrivals - 2 * std::sqrt(arrivals)) / fastWindowSeconds;
}

double rateUpperBound(const demand_estimate &demand, time_point now)
{
    const double arrivals = decayed(demand, now).shortWindowRate * fastWindowSeconds;
    const double byCount = (arrivals + 2 * std::sqrt(arrivals) + 2) / fastWindowSeconds;
    // At a higher rate, the probability of no arrival for this long would be below 5 %.
    const double bySilence = 3 / std::max(secondsSince(demand.updatedAt, now), 1e-6);
    return std::min(byCount, bySilence);
}

double steadyRateLowerBound(const demand_estimate &demand, time_point now)
{
    const double arrivals = decayed(demand, now).longWindowRate * slowWindowSeconds;
    return std::max(0.0, arrivals - std::sqrt(arrivals)) / slowWindowSeconds;
}

} // namespace fuchsiagw::core
