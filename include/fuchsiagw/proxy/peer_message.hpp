/// @file
/// @brief Datagrams between the daemons of one deployment.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/limit_part.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

enum class peer_message_kind : std::uint8_t {
    Exchange, ///< asks for what the peer knows of the primaries
    ExchangeAnswer,
    LoanRequest,
    LoanGrant,
    LeaderAnnouncement, ///< a primary was promoted or proven a moment ago
    ReachabilityRequest, ///< does the peer reach this primary?
    ReachabilityAnswer,
    LoanReturn, ///< tokens that were lent and not needed
    PartRequest, ///< a home asks for the parts of its zone's daemons
    PartGrant,
    PartRecall, ///< a process that has just started wants the parts back that were lent before it
    PartRecallAnswer,
};

/// What one daemon knows of a service's primary.
struct leader_report
{
    std::string service;
    std::string member;
    core::term_number term = 0; ///< in which the primary leads
    core::log_position position; ///< may be of an earlier term, until the primary's first commit
    std::int64_t ageUs = 0; ///< since the position was at least reached, at the time of sending

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(service, member, term, position.term, position.index, ageUs);
    }
};

/// Fields that a kind does not use stay empty.
struct peer_message
{
    peer_message_kind kind = peer_message_kind::Exchange;
    std::string from; ///< node name
    std::uint64_t incarnation = 0; ///< of the sender's process
    std::int64_t askedAtUs = 0; ///< asker's clock; comes back unchanged in the answer
    std::uint64_t manifestVersion = 0;
    std::vector<leader_report> leaders;
    std::string subject; ///< workspace of a loan, service of a reach question
    std::string member; ///< of a reach question
    bool betweenHomes = false; ///< a loan between the homes of two zones
    std::int64_t amount = 0; ///< of a loan; reach answer: 1 reached, 0 not reached, -1 unknown
    std::vector<std::string> workspaces; ///< of a part request
    std::vector<part_grant> parts; ///< of a part grant
    std::uint64_t recall = 0; ///< incarnation that recalls its parts; unchanged in the answer

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(kind, from, incarnation, askedAtUs, manifestVersion, leaders, subject, member,
           betweenHomes, amount, workspaces, parts, recall);
    }
};

} // namespace fuchsiagw::proxy
