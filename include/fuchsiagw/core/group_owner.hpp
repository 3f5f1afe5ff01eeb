/// @file
/// @brief The owner of a zone's connections to one group: queue, connections, transactions,
/// confirmation of writes and the watch over the members.

#pragma once

#include <fuchsiagw/core/acknowledgement.hpp>
#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/connection_pool.hpp>
#include <fuchsiagw/core/early_refusal.hpp>
#include <fuchsiagw/core/exchange.hpp>
#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/group_view.hpp>
#include <fuchsiagw/core/owner_action.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/statement.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace fuchsiagw::core {

/// Where a statement stands at its owner.
enum class statement_place : std::uint8_t {
    Queued, ///< in the fair queue
    Parked, ///< no member can take it now; it is routed again later
    Ready, ///< routed, waits for a connection to its member
    Connecting, ///< a connection is opened for it
    Sent,
    Confirming, ///< ran, waits for a majority: a write, or a read whose session is unusable
};

struct owned_statement
{
    statement_request request;
    std::optional<duration> maxAge; ///< of its read class
    std::uint64_t session = 0;
    std::uint32_t weight = 1;
    exchange progress;
    statement_place place = statement_place::Queued;
    connection_id connection = 0; ///< while Connecting or Sent
    route_decision route;
    time_point sentAt{};
    error_kind unsentReason = error_kind::DeadlineExceeded;
    execute_answer result; ///< while Confirming
};

/// A transaction on its connection. Invariant: the connection exists and carries its number.
struct owned_transaction
{
    workspace_id workspace;
    connection_id connection = 0;
    member_id member;
    term_number term = 0;
    bool isBusy = false; ///< a statement of it is under way
    time_point idleUntil{}; ///< rolled back if no statement comes until then
};

struct owner_limits
{
    duration answerLimit = std::chrono::seconds(2); ///< silence after which a connection is closed
    duration connectLimit = std::chrono::seconds(1); ///< for opening a connection
    duration transactionIdle = std::chrono::seconds(10);
};

/// Invariants: each handle in queue, parked, ready and connections is in `statements`; a statement
/// is in exactly the place that it names.
struct group_owner
{
    group_id group;
    zone_name zone;
    incarnation_id incarnation = 0;
    owner_limits limits;
    acknowledgement_policy policy = acknowledgement_policy::Majority;

    group_view view;
    pending_writes pending;
    /// Reads that wait for proof that their member still led a majority, by handle, with the time
    /// of the next questions. Invariant: each is Confirming.
    std::map<std::uint64_t, time_point> unprovenReads;
    fair_queue queue;
    service_time_average meter;
    connection_pool pool;
    std::map<std::uint64_t, owned_statement> statements; ///< by handle
    std::set<std::pair<time_point, std::uint64_t>> deadlines; ///< of statements, earliest first
    std::set<std::pair<time_point, std::uint64_t>> parked; ///< by the time of the next try
    std::map<member_id, std::deque<std::uint64_t>> ready; ///< by the member they wait for
    std::size_t readyCount = 0;
    std::map<std::uint64_t, owned_transaction> transactions;
    std::uint64_t nextTransaction = 1;
    std::map<std::uint64_t, control_call> calls; ///< control requests under way, by number
    std::uint64_t nextCall = 1;
    failover_state failover;
    read_interest interest; ///< how fresh recent reads want the replicas to be known
    bool isWatching = false; ///< this instance is the zone's owner and watches the members
    std::optional<member_id> reportedPrimary; ///< in the newest PrimaryChanged notice
    time_point lastStep = time_point::min(); ///< newest decision; a gap shows a paused process
    time_point primaryLostAt =
            noDeadline; ///< since when no write has been possible, as far as seen
};

/// @brief Hands a statement to the owner. It ends with exactly one statement_done.
/// @param handle unique among the owner's statements
/// @param session any number that tells the sessions of a workspace apart
/// @param weight of the workspace in the fair queue
/// @complexity logarithmic in the statements, plus routing
void submit(group_owner &owner, std::uint64_t handle, owned_statement statement, time_point now,
            random_engine &random, owner_actions &actions);

/// @brief A connection that was asked for is open, or could not be opened.
void onConnected(group_owner &owner, connection_id id, bool isOpen, time_point now,
                 random_engine &random, owner_actions &actions);

/// @brief An exchange ended.
/// @param answer empty if the connection closed or stayed silent
/// @param wasSent false only if no byte can have left
void onExecuted(group_owner &owner, connection_id id, const std::optional<execute_answer> &answer,
                bool wasSent, bool wasSilent, time_point now, random_engine &random,
                owner_actions &actions);

/// @brief A connection closed between exchanges.
void onConnectionClosed(group_owner &owner, connection_id id, time_point now, random_engine &random,
                        owner_actions &actions);

/// @brief Ends what has reached its deadline, tries parked statements again and fills connections.
/// @complexity linear in what is due
void advance(group_owner &owner, time_point now, random_engine &random, owner_actions &actions);

/// @brief Changes the number of connections that this owner may have open.
void setConnectionLimit(group_owner &owner, std::uint32_t limit, time_point now,
                        random_engine &random, owner_actions &actions);

/// The answer to a control request. Without a status the member did not answer.
struct control_answer
{
    std::uint64_t number = 0;
    std::optional<member_status> status;
    bool accepted = false; ///< AcceptTerm: the member took the term
};

/// @brief A control request was answered, or its deadline passed.
void onControlAnswer(group_owner &owner, const control_answer &answer, time_point now,
                     random_engine &random, owner_actions &actions);

/// @brief The owner of the group in another zone has published its view.
void onPeerView(group_owner &owner, const published_view &peer, time_point now,
                random_engine &random, owner_actions &actions);

/// @brief The advisory claim was answered; no answer means granted.
void onClaim(group_owner &owner, bool granted, time_point now);

/// @brief Replaces the primary on an operator's command.
void promote(group_owner &owner, time_point now, random_engine &random, owner_actions &actions);

/// @return the time at which advance() must be called again at the latest
[[nodiscard]] time_point nextWakeup(const group_owner &owner);

/// @return whether nothing is left to answer; open transactions count
[[nodiscard]] bool isDrained(const group_owner &owner);

} // namespace fuchsiagw::core
