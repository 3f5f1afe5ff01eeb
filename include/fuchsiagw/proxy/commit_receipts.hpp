/// @file
/// @brief What the listed replicas of a group have reported of the commits that they have received.
///
/// A primary acknowledges a commit as soon as any replica has received it, also one that no daemon
/// knows or whose entry in the store is gone. A promotion asks the listed replicas only. So a
/// daemon passes a success on once a listed replica has reported the commit's position: the commit
/// is then in a log that every promotion takes into account, whichever daemon runs it, and whatever
/// that daemon knows of the past.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/session.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace fuchsiagw::proxy {

struct commit_receipts
{
    std::map<std::string, core::log_position> received; ///< newest reported position, by replica
    std::set<session_id> waiting; ///< may contain sessions that no longer wait
    /// Newest position of a commit that a primary has acknowledged to this or another daemon.
    core::log_position newestCommit;
    /// Newest commit that was held and is not proven since; none: all are.
    std::optional<core::log_position> unproven;
    core::log_position oldestUnproven; ///< not proven since `unprovenSince`; valid with `unproven`
    core::time_point unprovenSince{}; ///< no held commit was proven since; valid with `unproven`
    core::time_point contactAt{}; ///< a listed replica has answered what was sent at this time
    /// A statement that was sent to a listed replica then was lost with its connection; counts
    /// while it is later than `contactAt`.
    core::time_point unansweredSince{};
    core::time_point askedAt{}; ///< when a replica was last asked
    core::time_point nextAskAt = core::noDeadline; ///< next question while requests wait
    std::size_t repeatedAsks = 0; ///< since the latest answer; selects other replicas and relays
    std::deque<core::time_point> questions; ///< times of the latest questions, oldest first
};

/// @brief Records a position that a replica has received, or applied, which comes later.
void recordReceipt(commit_receipts &receipts, const std::string &replica,
                   core::log_position position);

/// @brief Forgets what a replica has reported, because it has restarted without its log.
void forgetReceipts(commit_receipts &receipts, const std::string &replica);

/// @return whether one of these replicas has reported the position, or a later one of its term. One
/// of a later term says nothing: the commit may have been rolled back.
/// @complexity linear in the replicas
[[nodiscard]] bool hasReceipt(const commit_receipts &receipts, core::log_position position,
                              const std::set<std::string> &replicas);

} // namespace fuchsiagw::proxy
