/// @file
/// @brief What this daemon knows of one database group.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/position_book.hpp>
#include <fuchsiagw/proxy/promotion.hpp>
#include <fuchsiagw/proxy/session.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace fuchsiagw::proxy {

struct service_state
{
    std::string name;
    std::set<std::string> members; ///< ids, those that are gone included while links last
    std::string leader; ///< believed primary; empty: not known
    core::term_number term = 0; ///< highest term seen
    core::time_point leaderProvenAt{}; ///< the leader provably led then
    core::time_point leaderlessSince = core::noDeadline;
    /// Members that said that they do not lead, with the version of their role at that time.
    std::map<std::string, std::uint64_t> leadershipDenials;
    position_book positions;
    std::deque<session_id> queue; ///< sessions whose request waits, in order of arrival
    promotion_state promotion;
    core::time_point nextReplicaCheckAt{}; ///< replicas are asked whether they receive
    std::size_t rank = 0; ///< of this daemon among those that look after the service
    std::uint64_t rankVersion = 0; ///< engine::peersVersion for which it was computed
    std::map<std::string, core::time_point> pausedSince; ///< replicas that do not receive
};

} // namespace fuchsiagw::proxy
