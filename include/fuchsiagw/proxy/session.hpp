/// @file
/// @brief One caller's connection: its values, prepared statements, transaction, open request.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/caller_statement.hpp>
#include <fuchsiagw/proxy/manifest.hpp>
#include <fuchsiagw/proxy/refusal.hpp>
#include <fuchsiagw/proxy/reply.hpp>

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

/// Where a statement must run and what it must see.
struct placement
{
    bool needsPrimary = false; ///< a write, a plain transaction, or a read that must be current
    bool wrapsRead = false; ///< a single read inside a transaction of the proxy's own
    std::optional<core::log_position> minPosition; ///< for a replica
};

/// The statement that the session waits for.
struct request
{
    std::uint64_t serial = 0; ///< tells an answer to an earlier request from one to this
    caller_statement statement;
    route via; ///< as it stood when the operation started
    bool admitted = false; ///< its operation has its token of the workspace's rate
    bool awaitsToken = false;
    bool writes = false;
    bool starts = false; ///< first statement of its operation that goes to a member
    placement where;
    core::time_point arrived{};
    core::time_point deadline{}; ///< the route's timeout
    core::time_point waitUntil{}; ///< refused then, unless it was sent before
    core::time_point hedgeAt = core::noDeadline; ///< a second member is asked then
    core::time_point notBefore{}; ///< pause before the next try
    bool queued = false; ///< waits for a connection or for a primary
    refusal_reason waitsFor = refusal_reason::NoConnection; ///< while queued
    link_id opening = 0; ///< connection that was opened for it
    std::vector<link_id> sentOn; ///< connections that still owe an answer to it
    bool everSent = false;
    int tries = 0;
    std::vector<std::string> refusedBy; ///< members that refused it in this round
};

/// Invariant: link != 0 exactly while the transaction runs at a member.
struct open_transaction
{
    bool readOnly = false;
    route via;
    link_id link = 0;
    bool wrote = false;
    bool lost = false; ///< its connection ended; nothing of it is kept
    refusal_reason lostReason = refusal_reason::TransactionLost;
    core::time_point idleUntil = core::noDeadline; ///< ended then if no statement comes
};

struct session
{
    session_id id = 0;
    std::string database;
    std::string key; ///< never leaves the process
    std::string workspace;
    session_values values;
    std::map<std::string, prepared_shape> prepared; ///< by the caller's name
    transaction_state state = transaction_state::Idle;
    std::optional<open_transaction> transaction; ///< while state is not Idle
    std::string positionService; ///< service to which ownPosition belongs
    std::optional<core::log_position> ownPosition; ///< newest acknowledged commit
    std::optional<request> current;
    std::deque<caller_statement> waiting; ///< sent before the answer to the current one
    bool closing = false; ///< closed after the answer to the current request
};

} // namespace fuchsiagw::proxy
