/// @file
/// @brief Estimate of the wait in the queue.

#include <fuchsiagw/core/early_refusal.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

/// The average follows the last 32 statements; until then it is the plain mean.
constexpr std::uint32_t averagedSamples = 32;

} // namespace

void recordServiceTime(service_time_average &meter, duration took)
{
    meter.samples = std::min(meter.samples + 1, averagedSamples);
    const std::int64_t nanos = std::max<std::int64_t>(took.count(), 0) * 1000;
    meter.meanNanos += (nanos - meter.meanNanos) / static_cast<std::int64_t>(meter.samples);
}

duration expectedWait(const service_time_average &meter, const fair_queue &queue,
                      const workspace_id &workspace, std::uint32_t weight,
                      std::uint32_t connections, std::uint32_t free)
{
    if (meter.samples == 0 || (free > 0 && queue.length == 0))
        return duration::zero();
    if (connections == 0)
        return duration::max();
    const auto ahead = static_cast<std::int64_t>(statementsAhead(queue, workspace, weight));
    return duration((ahead + 1) * meter.meanNanos / connections / 1000);
}

bool isDeadlineUnreachable(const service_time_average &meter, const fair_queue &queue,
                           const queued_statement &statement, std::uint32_t weight,
                           std::uint32_t connections, std::uint32_t free, time_point now)
{
    if (statement.deadline == noDeadline)
        return false;
    if (now >= statement.deadline)
        return true;
    return expectedWait(meter, queue, statement.workspace, weight, connections, free)
           >= statement.deadline - now;
}

} // namespace fuchsiagw::core
