/// @file
/// @brief Estimates the wait in the queue.

#include <fuchsiagw/core/early_refusal.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

/// Up to this number of samples the average is the arithmetic mean; beyond it, each new sample has
/// the weight of one in this number.
constexpr std::uint32_t maxAveragedSamples = 32;

} // namespace

void recordServiceTime(service_time_average &average, duration serviceTime)
{
    average.samples = std::min(average.samples + 1, maxAveragedSamples);
    const std::int64_t nanos = std::max<std::int64_t>(serviceTime.count(), 0) * 1000;
    average.meanNanos += (nanos - average.meanNanos) / static_cast<std::int64_t>(average.samples);
}

duration expectedWait(const service_time_average &average, const fair_queue &queue,
                      const workspace_id &workspace, std::uint32_t weight,
                      std::uint32_t connections, std::uint32_t idleConnections, int priority)
{
    if (average.samples == 0 || (idleConnections > 0 && queue.length == 0))
        return duration::zero();
    if (connections == 0)
        return duration::max();
    const auto ahead =
            static_cast<std::int64_t>(statementsAhead(queue, workspace, weight, priority));
    return duration((ahead + 1) * average.meanNanos / connections / 1000);
}

bool isDeadlineUnreachable(const service_time_average &average, const fair_queue &queue,
                           const queued_statement &statement, std::uint32_t weight,
                           std::uint32_t connections, std::uint32_t idleConnections, time_point now)
{
    if (statement.deadline == noDeadline)
        return false;
    if (now >= statement.deadline)
        return true;
    return expectedWait(average, queue, statement.workspace, weight, connections, idleConnections,
                        statement.priority)
           >= statement.deadline - now;
}

} // namespace fuchsiagw::core
