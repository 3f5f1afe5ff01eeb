/// @file
/// @brief Admission control by deadline: decides whether a queued statement can still start before
/// its deadline, based on the average service time.

#pragma once

#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>

namespace fuchsiagw::core {

/// Moving average of the time for which a statement holds a connection.
struct service_time_average
{
    std::int64_t meanNanos = 0;
    std::uint32_t samples = 0; ///< stops at the number of averaged samples
};

/// @brief Records the time for which a statement held a connection.
/// @complexity constant
void recordServiceTime(service_time_average &average, duration serviceTime);

/// @brief Estimates how long one more statement of @p workspace would wait for a connection.
/// @param connections number of connections that serve the queue; if 0, the wait is duration::max()
/// @param idleConnections number of connections that are idle now
/// @return zero while no service time is recorded
/// @complexity linear in the queue's flows
[[nodiscard]] duration expectedWait(const service_time_average &average, const fair_queue &queue,
                                    const workspace_id &workspace, std::uint32_t weight,
                                    std::uint32_t connections, std::uint32_t idleConnections,
                                    int priority = 0);

/// @brief Tells whether the statement must be rejected with error_kind::DeadlineUnreachable,
/// because its deadline has passed or the expected wait exceeds the remaining time.
/// @complexity linear in the queue's flows
[[nodiscard]] bool isDeadlineUnreachable(const service_time_average &average,
                                         const fair_queue &queue, const queued_statement &statement,
                                         std::uint32_t weight, std::uint32_t connections,
                                         std::uint32_t idleConnections, time_point now);

} // namespace fuchsiagw::core
