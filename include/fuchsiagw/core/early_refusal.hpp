/// @file
/// @brief Refuses a statement that can't start before its deadline, judged by the measured service
/// rate of the queue.

#pragma once

#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>

namespace fuchsiagw::core {

/// Moving average of how long a statement holds a connection.
struct service_time_average
{
    std::int64_t meanNanos = 0;
    std::uint32_t samples = 0; ///< counted up to a bound only
};

/// @brief Records that a statement held a connection for @p took.
/// @complexity constant
void recordServiceTime(service_time_average &meter, duration took);

/// @brief Estimates how long one more statement of @p workspace would wait for a connection.
/// @param connections that serve the queue; with none the wait is duration::max()
/// @param free connections that are idle now
/// @return zero as long as nothing was measured
/// @complexity linear in the queue's lanes
[[nodiscard]] duration expectedWait(const service_time_average &meter, const fair_queue &queue,
                                    const workspace_id &workspace, std::uint32_t weight,
                                    std::uint32_t connections, std::uint32_t free);

/// @brief Tells whether the statement must be refused with error_kind::DeadlineUnreachable.
/// @complexity linear in the queue's lanes
[[nodiscard]] bool isDeadlineUnreachable(const service_time_average &meter, const fair_queue &queue,
                                         const queued_statement &statement, std::uint32_t weight,
                                         std::uint32_t connections, std::uint32_t free,
                                         time_point now);

} // namespace fuchsiagw::core
