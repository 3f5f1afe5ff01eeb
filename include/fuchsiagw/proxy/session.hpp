/// @file
/// @brief State of one caller's session: values, prepared statements, transaction, request.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/caller_statement.hpp>
#include <fuchsiagw/proxy/manifest.hpp>
#include <fuchsiagw/proxy/refusal.hpp>
#include <fuchsiagw/proxy/reply.hpp>
#include <fuchsiagw/proxy/session_close.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

using session_id = std::uint64_t;
using link_id = std::uint64_t;

using session_values = std::map<std::string, std::string>;

/// Where a statement must run and which log position it must observe.
struct placement
{
    bool needsPrimary = false; ///< write, read-write transaction, or read that must be current
    bool wrapsInTransaction = false; ///< single read in a transaction that the proxy adds
    std::optional<core::log_position>
            minPosition; ///< log position that a replica must have reached
};

/// Result of a member that is not yet proven to be the leader; see leadership_evidence.hpp.
struct held_result
{
    std::string member;
    link_id link = 0;
    std::optional<core::log_position> position; ///< newest position in the member's log
    core::time_point seenAt{}; ///< the member had that position at this time or later
    std::optional<reply> answer; ///< of a read; none: the transaction's first statement waits
    core::time_point until{}; ///< refused then if the evidence is still missing
};

/// Success of a commit whose position no listed replica has reported yet; see commit_receipts.hpp.
struct held_commit
{
    std::string member; ///< primary that has acknowledged it
    reply answer; ///< has a position
};

/// The statement whose answer the session is waiting for.
struct request
{
    std::uint64_t serial =
            0; ///< distinguishes answers to this request from answers to earlier ones
    caller_statement statement;
    route effectiveRoute; ///< route as it was when the operation started
    bool admitted = false; ///< its operation has taken a token of the workspace's rate limit
    bool awaitsToken = false; ///< waits for a token of the workspace's rate limit
    bool writes = false;
    bool startsOperation = false; ///< first statement of its operation that is sent to a member
    placement where;
    bool needsEvidence = false; ///< the member that runs it must be proven to lead
    std::optional<held_result> held;
    std::optional<held_commit> heldCommit;
    core::time_point arrived{};
    core::time_point deadline{}; ///< end of the route's statement timeout
    core::time_point waitUntil{}; ///< refused at this time if no member is working on it
    core::time_point hedgeAt = core::noDeadline; ///< time of a hedged request to a second member
    core::time_point retryAt{}; ///< earliest time of the next try
    bool queued = false; ///< waits in service_state::queue
    refusal_reason queuedReason = refusal_reason::NoConnection; ///< why the request is queued
    link_id openingLink = 0; ///< link that was opened for this request
    std::vector<link_id> outstandingLinks; ///< links on which an answer to it is outstanding
    bool wasSent = false; ///< has been sent to a member
    bool isDelayReported = false; ///< it was logged that the commit waits for its answer
    int tries = 0;
    std::vector<std::string>
            excludedMembers; ///< not chosen again until no other member can be chosen
};

/// Invariant: `link` is not 0 if and only if the transaction is running at a member.
struct open_transaction
{
    bool readOnly = false;
    route effectiveRoute;
    link_id link = 0;
    bool wrote = false;
    bool lost = false; ///< connection ended or proxy aborted it; nothing is kept
    refusal_reason lostReason = refusal_reason::TransactionLost;
    core::time_point idleDeadline = core::noDeadline; ///< aborted then if no statement arrives
};

struct session
{
    session_id id = 0;
    std::string database;
    std::string key; ///< access key; secret, never leaves the process
    std::string workspace;
    session_values values;
    std::map<std::string, prepared_shape> prepared; ///< by the name that the caller uses
    std::size_t stateBytes = 0; ///< of `values` and `prepared`
    transaction_state state = transaction_state::Idle;
    std::optional<open_transaction> transaction; ///< set while state is not Idle
    std::string positionService; ///< service to which ownPosition belongs
    std::optional<core::log_position>
            ownPosition; ///< position of the session's latest acknowledged commit
    std::optional<request> current;
    std::deque<caller_statement> waiting; ///< statements that arrived before the current answer
    /// How the session will end; statements that arrive from then on are not accepted.
    std::optional<session_close> ending;
};

} // namespace fuchsiagw::proxy
