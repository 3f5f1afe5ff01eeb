/// @file
/// @brief What this daemon knows of one member of a database group.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/member_load.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_entry.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

/// A daemon that waits for a replica's status.
struct evidence_request
{
    std::string node;
    std::int64_t askedAtUs = 0; ///< clock of that daemon; copied unchanged to the answer
};

/// Invariant: `outstanding` is the number of statements on `links` without an answer.
struct member_state
{
    upstream_entry entry;
    std::uint64_t roleVersion = 0; ///< version of the row in which claimsPrimary last changed
    bool listed = true; ///< false: removed from the store; gets no new work
    core::time_point removedAt{}; ///< when it was removed; valid while not listed
    core::time_point missingSince =
            core::noDeadline; ///< when the member's entry was first missing from the store
    std::set<link_id> links;
    std::vector<std::string> relays; ///< daemons that may be its relay, in order of preference
    std::uint64_t relaysVersion = 0; ///< engine::peersVersion for which `relays` was computed
    std::uint32_t outstanding = 0;
    double answerUs = 0; ///< moving average of the time to an answer; 0: no sample
    double connectUs = 0; ///< moving average of the time to open a link; 0: no sample
    core::time_point avoidUntil{}; ///< gets no new work until then
    core::time_point laggingUntil{}; ///< its log recently lacked a required position
    core::time_point connectionLimitUntil{}; ///< no new links until then: it refused one
    int connectionLimitRefusals = 0; ///< consecutive refusals of connections
    int busyRefusals = 0; ///< consecutive refusals of statements
    core::time_point busyUntil{}; ///< recently refused a statement because its queue was full
    core::time_point unresponsiveSince = core::noDeadline; ///< unresponsive since then
    core::time_point nextProbeAt{}; ///< next probe while it is unresponsive
    core::time_point lastAnswerAt{}; ///< when its latest answer arrived
    int consecutiveFailures = 0; ///< failed attempts to connect since its last answer
    member_load load; ///< as its relay has told
    core::time_point loadUntil{}; ///< `load` counts until then
    double failureRate = 0; ///< moving average of the share of its statements that failed
    core::time_point lastFailureAt{}; ///< latest failure of a statement
    /// @name Questions for other daemons, if this daemon is the member's relay
    /// @{
    std::vector<evidence_request> evidenceWaiting; ///< served by the next question
    std::vector<evidence_request> evidenceAsked; ///< served by the question under way
    std::uint64_t evidenceSerial = 0; ///< identifies the latest question
    core::time_point evidenceAskedAt{}; ///< when the latest question was sent
    /// @}
};

} // namespace fuchsiagw::proxy
