/// @file
/// @brief Datagrams that the daemons of one deployment exchange.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/limit_part.hpp>
#include <fuchsiagw/proxy/member_load.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::proxy {

enum class peer_message_kind : std::uint8_t {
    Exchange, ///< asks for the peer's reports of the primaries
    ExchangeAnswer,
    LoanRequest,
    LoanGrant,
    LeaderAnnouncement, ///< a primary was just promoted or proven
    ReachabilityRequest, ///< asks whether the peer reaches a primary
    ReachabilityAnswer,
    LoanReturn, ///< returns borrowed tokens that were not needed
    PartRequest, ///< a home asks for the parts of its zone's daemons
    PartGrant,
    PartRecall, ///< a restarted daemon recalls the parts that its previous process lent
    PartRecallAnswer,
    EvidenceRequest, ///< asks the relay of a replica for the replica's status
    EvidenceAnswer, ///< the replica's position and term, as the only leader report
    MemberLoad, ///< load of a member whose relay the sender is
    OpenOrder, ///< the promotion of `member` of service `subject` may still take effect
    PrimaryFenced, ///< as OpenOrder; the present primary steps down and gets no writes
    StepDownRequest, ///< asks a peer that reaches the primary `member` to order it to step down
    StepDownAnswer, ///< it has stepped down; its term and newest position as the only report
    NewestCommitRequest, ///< asks for the newest commit of service `subject` that the peer knows
    NewestCommitAnswer, ///< its position, as the only report
};

/// What one daemon knows of a service's primary.
struct leader_report
{
    std::string service;
    std::string member;
    core::term_number term = 0; ///< term in which the primary leads
    core::log_position position; ///< may be of an earlier term, until the primary's first commit
    std::int64_t ageUs = 0; ///< age of the proof that the position was reached, when sent

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(service, member, term, position.term, position.index, ageUs);
    }
};

/// Fields that a kind does not use are empty.
struct peer_message
{
    peer_message_kind kind = peer_message_kind::Exchange;
    std::string from; ///< node name
    std::uint64_t incarnation = 0; ///< incarnation of the sender's process
    std::uint64_t sequence = 0; ///< number among the datagrams of that process, from 1
    std::int64_t askedAtUs = 0; ///< clock of the requester; copied unchanged to the answer
    std::uint64_t manifestVersion = 0;
    std::vector<leader_report> leaders;
    std::string subject; ///< workspace of a loan, or service of a question about a member
    std::string member; ///< member whose reachability or status is asked about
    bool betweenHomes = false; ///< the loan is between the homes of two zones
    /// Tokens. ReachabilityAnswer: 1 reached, 0 not reached, -1 unknown. EvidenceAnswer: 1 leads.
    /// OpenOrder and PrimaryFenced: the sender's fencing token.
    std::int64_t amount = 0;
    std::vector<std::string> workspaces; ///< workspaces whose parts a PartRequest asks for
    std::vector<part_grant> parts; ///< parts that a PartGrant lends
    std::uint64_t recall = 0; ///< incarnation that recalls its parts; copied to the answer
    /// Version of the store as of which `evacuatedZones` is complete; 0: the message has no zones.
    std::uint64_t evacuationVersion = 0;
    std::vector<std::string> evacuatedZones;
    member_load load; ///< of `member`
    std::int32_t priority = 0; ///< of the operations that a loan is for; copied to the answer
    /// Age of the proof that `manifestVersion` is the newest one, when sent; -1: none.
    std::int64_t manifestAgeUs = -1;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(kind, from, incarnation, sequence, askedAtUs, manifestVersion, leaders, subject, member,
           betweenHomes, amount, workspaces, parts, recall, evacuationVersion, evacuatedZones, load,
           priority, manifestAgeUs);
    }
};

/// Size of the entries of one message's list, in bytes, at which it still fits into a datagram
/// beside its other fields.
inline constexpr std::size_t maxListBytes = 900;

/// @return the most bytes that a workspace takes in a PartRequest, or its part in a PartGrant
[[nodiscard]] inline std::size_t listedBytes(std::string_view workspace)
{
    constexpr std::size_t numberBytes = 22; // length, part and tokens
    return workspace.size() + numberBytes;
}

/// @return the most bytes that a report takes in a message
[[nodiscard]] inline std::size_t listedBytes(const leader_report &report)
{
    constexpr std::size_t numberBytes = 54; // two lengths, two terms, index and age
    return report.service.size() + report.member.size() + numberBytes;
}

} // namespace fuchsiagw::proxy
