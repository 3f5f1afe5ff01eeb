/// @file
/// @brief What this daemon knows of one database group.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/commit_receipts.hpp>
#include <fuchsiagw/proxy/deposed_primary.hpp>
#include <fuchsiagw/proxy/leadership_evidence.hpp>
#include <fuchsiagw/proxy/position_history.hpp>
#include <fuchsiagw/proxy/promotion.hpp>
#include <fuchsiagw/proxy/promotion_order.hpp>
#include <fuchsiagw/proxy/receiver_watch.hpp>
#include <fuchsiagw/proxy/session.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace fuchsiagw::proxy {

struct service_state
{
    std::string name;
    std::set<std::string> members; ///< ids; a removed member stays for removedMemberRetention
    std::string leader; ///< member that is assumed to be the primary; empty: unknown
    core::term_number term = 0; ///< highest term seen
    core::time_point leaderProvenAt{}; ///< latest time at which the leader was proven to lead
    core::time_point leaderlessSince = core::noDeadline;
    std::string lastLeader; ///< member that led before the leader became unknown
    core::term_number lastLeaderTerm = 0; ///< newest term known when `lastLeader` was lost
    /// Members that denied being the leader, with member_state::roleVersion at that time.
    std::map<std::string, std::uint64_t> leadershipDenials;
    position_history positions;
    leadership_evidence evidence;
    commit_receipts receipts;
    std::set<session_id> awaitingEvidence; ///< may contain sessions that no longer wait
    core::time_point nextChallengeAt{}; ///< earliest order to a deposed leader to step down
    std::deque<session_id> queue; ///< sessions whose request is queued, oldest first
    promotion_state promotion;
    open_orders openOrders; ///< as recorded in the store when last known
    core::time_point openOrdersKnownAt{}; ///< when `openOrders` was last changed
    /// The store has answered which orders are open. A process that has just started knows of none,
    /// and peers that have started as well tell it of none.
    bool areOrdersKnown = false;
    core::time_point nextOrderReadAt{}; ///< next question to the store; valid until it has answered
    std::optional<deposed_primary> deposed; ///< valid while no newer term is known
    /// From then on, a primary that an open order would replace is fenced: it is ordered to step
    /// down, and gets no writes. Valid while an order is open.
    core::time_point fenceFrom = core::noDeadline;
    core::time_point nextStepDownAt{}; ///< next order to a fenced primary to step down
    std::string stepDownAskedBy; ///< daemon that awaits the answer of `leader` to step down
    std::int64_t stepDownAskedAtUs = 0; ///< clock of that daemon; copied unchanged to the answer
    std::string fenceReported; ///< primary whose fencing was logged
    receiver_watch receiver; ///< of the member that the newest open order would promote
    std::set<std::string> guardPaused; ///< replicas that this guard has logged as paused
    /// Pauses of the open orders are renewed under this term between two attempts; 0: by another
    /// daemon, or by none.
    core::term_number guardTerm = 0;
    std::uint64_t guardToken = 0; ///< token of the attempt after which the pauses are renewed
    core::time_point nextGuardAt = core::noDeadline;
    core::time_point guardLeaseUntil{}; ///< no other daemon gets a token before then
    core::time_point guardUntil{}; ///< the pauses are not renewed later
    int unansweredLeases = 0; ///< leases in a row without an answer of the platform to an order
    core::time_point nextOrderNoticeAt{}; ///< next notice of an open order to other daemons
    std::string noticedOrder; ///< member of an open order of which another daemon has told
    std::uint64_t noticedToken = 0; ///< newest token of which another daemon has told
    std::uint64_t noticedFence = 0; ///< newest token for whose order the primary is fenced
    core::time_point noticeValidUntil = core::noDeadline; ///< the other daemon guards it until then
    core::time_point nextReplicaCheckAt{}; ///< next check whether the replicas receive
    std::size_t rank = 0; ///< instanceRank() of this daemon for the service
    std::uint64_t rankVersion = 0; ///< engine::peersVersion for which `rank` was computed
    std::map<std::string, core::time_point> pausedSince; ///< replicas not receiving
};

} // namespace fuchsiagw::proxy
