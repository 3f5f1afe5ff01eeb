/// @file
/// @brief The owner of a zone's connections to one group: queue, connections, transactions,
/// confirmation of writes and monitoring of the members.

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

/// Stage of a statement at its owner.
enum class statement_stage : std::uint8_t {
    Queued, ///< in the fair queue
    Parked, ///< no member is available, or a retry delay runs; routed again later
    Ready, ///< routed; waits for a connection to its member
    Connecting, ///< a connection is being opened for it
    Sent,
    Confirming, ///< executed; a write, or a read whose session is unusable, that waits for a
                ///< majority
};

struct owned_statement
{
    statement_request request;
    std::optional<duration> maxAge; ///< maximum age of the data, from the read class
    std::uint64_t session = 0;
    std::uint32_t weight = 1;
    exchange progress;
    statement_stage stage = statement_stage::Queued;
    connection_id connection = 0; ///< set while Connecting or Sent
    route_decision route;
    time_point sentAt{};
    error_kind unsentReason = error_kind::DeadlineExceeded;
    execute_answer result; ///< set while Confirming
};

/// An open transaction. Invariant: its connection exists and carries the transaction's number.
struct owned_transaction
{
    workspace_id workspace;
    connection_id connection = 0;
    member_id member;
    term_number term = 0;
    bool isBusy = false; ///< a statement of the transaction is in progress
    time_point idleUntil{}; ///< rolled back if no statement arrives until then
};

struct owner_limits
{
    duration answerLimit =
            std::chrono::seconds(2); ///< a connection whose answer takes longer is closed
    duration connectLimit = std::chrono::seconds(1); ///< timeout for opening a connection
    duration transactionIdleTimeout = std::chrono::seconds(10);
};

/// Invariants: each handle in queue, parked, ready and connections is in `statements`; a statement
/// is held in exactly the container that its stage implies.
struct group_owner
{
    group_id group;
    zone_name zone;
    incarnation_id incarnation = 0;
    owner_limits limits;
    acknowledgement_policy policy = acknowledgement_policy::Majority;

    group_view view;
    pending_writes pending;
    /// Reads that wait for confirmation that a majority was still under their member's term, by
    /// handle, with the time of the next status requests. Invariant: each is Confirming.
    std::map<std::uint64_t, time_point> readsAwaitingMajority;
    fair_queue queue;
    service_time_average serviceTimes;
    connection_pool pool;
    std::map<std::uint64_t, owned_statement> statements; ///< by handle
    std::set<std::pair<time_point, std::uint64_t>>
            deadlines; ///< statement deadlines, earliest first
    std::set<std::pair<time_point, std::uint64_t>>
            parked; ///< by the time of the next routing attempt
    std::map<member_id, std::deque<std::uint64_t>>
            ready; ///< by the member whose connection they wait for
    std::size_t readyCount = 0;
    std::map<std::uint64_t, owned_transaction> transactions;
    std::uint64_t nextTransaction = 1;
    std::map<std::uint64_t, control_call> calls; ///< control requests in progress, by number
    std::uint64_t nextCall = 1;
    failover_state failover;
    read_interest interest; ///< maximum age that recent reads accept; sets the probe interval
    bool isMonitoringMembers =
            false; ///< this instance is the zone's owner and monitors the members
    std::optional<member_id> reportedPrimary; ///< in the newest PrimaryChanged notice
    time_point lastStepAt = time_point::min(); ///< time of the last step; a long gap means that the
                                               ///< process was paused
    time_point primaryLostAt =
            noDeadline; ///< start of the observed period in which no write is possible
};

/// @brief Submits a statement. The owner ends it with exactly one statement_done.
/// @param handle unique among the owner's statements
/// @param session any number that distinguishes the sessions of a workspace
/// @param weight of the workspace in the fair queue
/// @complexity logarithmic in the statements, plus routing
void submit(group_owner &owner, std::uint64_t handle, owned_statement statement, time_point now,
            random_engine &random, owner_actions &actions);

/// @brief Processes the result of open_connection.
void onConnected(group_owner &owner, connection_id id, bool isOpen, time_point now,
                 random_engine &random, owner_actions &actions);

/// @brief Processes the end of an exchange.
/// @param answer empty if the connection closed or the answer timed out
/// @param wasSent false only if no byte of the request can have been sent
void onExecuted(group_owner &owner, connection_id id, const std::optional<execute_answer> &answer,
                bool wasSent, bool wasSilent, time_point now, random_engine &random,
                owner_actions &actions);

/// @brief Processes the closing of a connection between exchanges.
void onConnectionClosed(group_owner &owner, connection_id id, time_point now, random_engine &random,
                        owner_actions &actions);

/// @brief Ends statements and transactions whose deadline has passed, monitors the members, routes
/// parked statements again and dispatches queued ones to free connections.
/// @complexity linear in the number of due items
void advance(group_owner &owner, time_point now, random_engine &random, owner_actions &actions);

/// @brief Sets the number of connections that this owner may have open.
void setConnectionLimit(group_owner &owner, std::uint32_t limit, time_point now,
                        random_engine &random, owner_actions &actions);

/// The result of a control request. An empty status means that the member did not answer.
struct control_answer
{
    std::uint64_t number = 0;
    std::optional<member_status> status;
    bool accepted = false; ///< AcceptTerm: the member accepted the term
};

/// @brief Processes the answer to a control request, or its failure.
void onControlAnswer(group_owner &owner, const control_answer &answer, time_point now,
                     random_engine &random, owner_actions &actions);

/// @brief Processes the view that the group's owner in another zone has published.
void onPeerView(group_owner &owner, const published_view &peer, time_point now,
                random_engine &random, owner_actions &actions);

/// @brief Processes the answer to the advisory claim. A missing answer counts as granted.
void onClaim(group_owner &owner, bool granted, time_point now);

/// @brief Replaces the primary on an operator's command.
void promote(group_owner &owner, time_point now, random_engine &random, owner_actions &actions);

/// @return the time at which advance() must be called again at the latest
[[nodiscard]] time_point nextWakeup(const group_owner &owner);

/// @return whether no statement is unanswered and no transaction is open
[[nodiscard]] bool isDrained(const group_owner &owner);

} // namespace fuchsiagw::core
