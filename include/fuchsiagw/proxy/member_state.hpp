/// @file
/// @brief What this daemon knows of one member of a database group.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_entry.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

/// Invariant: outstanding counts the statements on `links` that have no answer yet.
struct member_state
{
    upstream_entry entry;
    std::uint64_t roleVersion = 0; ///< version of the store's row in which its role last changed
    bool listed = true; ///< false: its entry is gone; it gets no new work
    core::time_point removedAt{}; ///< while not listed
    core::time_point missingSince = core::noDeadline; ///< its entry is missing, but may come back
    std::set<link_id> links;
    std::vector<std::string> relays; ///< daemons that lend its connections, in order
    std::uint64_t relaysVersion = 0; ///< engine::peersVersion for which they were ordered
    std::uint32_t outstanding = 0;
    double answerUs = 0; ///< smoothed time to an answer
    double connectUs = 0; ///< smoothed time to a usable connection
    core::time_point avoidUntil{}; ///< after failed connections
    core::time_point laggingUntil{}; ///< its log lacked a position a moment ago
    core::time_point connectionLimitUntil{}; ///< it refused a connection for their number
    int connectionLimitRefusals = 0; ///< in a row, with limitUntil
    int busyRefusals = 0; ///< in a row, with busyUntil
    core::time_point busyUntil{}; ///< it refused a statement for its queue
    core::time_point silentSince = core::noDeadline; ///< first sign that it does not answer
    core::time_point nextProbeAt{}; ///< while it is silent
    core::time_point lastAnswerAt{}; ///< newest sign of life
    int consecutiveFailures = 0; ///< in a row
    double failureRate = 0; ///< smoothed part of its statements that failed
    core::time_point lastFailureAt{}; ///< newest one
};

} // namespace fuchsiagw::proxy
