/// @file
/// @brief Functions shared by the source files of group_owner; internal to core.

#pragma once

#include <fuchsiagw/core/group_owner.hpp>

namespace fuchsiagw::detail {

/// The owner, the current time and the outputs that every step of an owner uses.
struct owner_context
{
    core::group_owner &owner;
    core::time_point now;
    core::random_engine &random;
    core::owner_actions &actions;
};

/// @brief Marks the members as unverified if this process was paused before the current step.
void detectPause(owner_context &context);

/// @return whether a statement that was routed earlier may still be sent to @p member
[[nodiscard]] bool acceptsNewStatements(const core::group_owner &owner,
                                        const core::member_id &member);

/// @brief Routes a statement that is in no container and moves it to its next stage.
void routeToMember(owner_context &context, std::uint64_t handle);

/// @brief Sends a statement on an open connection.
void sendOnConnection(owner_context &context, std::uint64_t handle, core::connection_id id);

/// @brief Performs the action that an exchange has returned for an event.
void applyExchangeAction(owner_context &context, std::uint64_t handle,
                         const core::exchange_action &action);

/// @brief Emits the final answer of a statement and removes the statement.
void finishStatement(owner_context &context, std::uint64_t handle, core::statement_answer answer);

/// @brief Finishes a statement with an error.
void failStatement(owner_context &context, std::uint64_t handle, core::error_kind error,
                   std::string problem = {});

/// @brief Removes a statement from the container of its current stage.
void detachStatement(owner_context &context, std::uint64_t handle);

/// @brief Marks a connection as idle and assigns it to the next waiting statement.
void releaseConnection(owner_context &context, core::connection_id id);

/// @brief Decrements the member's in-flight count if the connection is busy. The member may no
/// longer be in the configuration.
void endMemberExchange(core::group_owner &owner, const core::pooled_connection &connection);

/// @brief Closes a connection and removes it from the pool.
void discardConnection(owner_context &context, core::connection_id id);

/// @brief Dispatches queued statements while connections are available.
void dispatchQueued(owner_context &context);

/// @brief Finishes pending reads and writes whose outcome is decided, and opens the waits that the
/// remaining writes need.
void resolvePending(owner_context &context);

/// @brief Runs failover for the group if this instance is the zone's owner.
void monitorMembers(owner_context &context);

/// @brief Sends a control request to a member.
void sendControlRequest(owner_context &context, core::control_call request);

/// @brief Emits one PrimaryChanged notice per change of the primary.
void reportPrimary(owner_context &context);

/// @brief Sends a statement of an open transaction on the transaction's connection.
void startTransactionStatement(owner_context &context, std::uint64_t handle);

/// @brief Updates the transaction after a statement of it, or a begin, has ended.
/// @return the transaction's number if the transaction remains open
std::optional<std::uint64_t> finishTransactionStatement(owner_context &context,
                                                        const core::owned_statement &statement,
                                                        core::connection_id id, bool succeeded);

/// @brief Rolls back transactions that have been idle for longer than transactionIdleTimeout.
void rollBackIdleTransactions(owner_context &context);

} // namespace fuchsiagw::detail
