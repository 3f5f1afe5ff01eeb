/// @file
/// @brief Steps shared by the source files of group_owner. For the core package only.

#pragma once

#include <fuchsiagw/core/group_owner.hpp>

namespace fuchsiagw::detail {

/// What every step of an owner needs.
struct owner_context
{
    core::group_owner &owner;
    core::time_point now;
    core::random_engine &random;
    core::owner_actions &actions;
};

/// @brief Doubts what is believed of the members if this process was paused before this step.
void detectPause(owner_context &context);

/// @return whether a statement may be sent to a member that was chosen earlier
[[nodiscard]] bool acceptsNewStatements(const core::group_owner &owner,
                                        const core::member_id &member);

/// @brief Routes a statement that has no place and gives it one.
void routeToMember(owner_context &context, std::uint64_t handle);

/// @brief Sends a statement on an open connection.
void sendOnConnection(owner_context &context, std::uint64_t handle, core::connection_id id);

/// @brief Does what an exchange asks for after an event.
void applyExchangeAction(owner_context &context, std::uint64_t handle,
                         const core::exchange_action &action);

/// @brief Gives the final answer and forgets the statement.
void finishStatement(owner_context &context, std::uint64_t handle, core::statement_answer answer);

/// @brief Ends a statement with an error.
void failStatement(owner_context &context, std::uint64_t handle, core::error_kind error,
                   std::string problem = {});

/// @brief Takes a statement out of the place where it waits.
void detachStatement(owner_context &context, std::uint64_t handle);

/// @brief Gives a connection that has become free to the next statement.
void releaseConnection(owner_context &context, core::connection_id id);

/// @brief Counts the exchange on a connection as ended; the member may have left the configuration.
void endMemberExchange(core::group_owner &owner, const core::pooled_connection &connection);

/// @brief Closes a connection and forgets it.
void closeConnection(owner_context &context, core::connection_id id);

/// @brief Starts waiting statements as long as there are connections for them.
void dispatchQueued(owner_context &context);

/// @brief Opens the waits that the pending writes need and ends those that are settled.
void resolvePending(owner_context &context);

/// @brief Watches the members if this instance is the zone's owner.
void monitorMembers(owner_context &context);

/// @brief Sends a control request to a member.
void sendControlRequest(owner_context &context, core::control_call request);

/// @brief Reports a change of the primary, once.
void reportPrimary(owner_context &context);

/// @brief Starts a statement of an open transaction on the transaction's connection.
void startTransactionStatement(owner_context &context, std::uint64_t handle);

/// @brief Takes in the end of a statement of a transaction, or of a begin.
/// @return the transaction's number if it goes on
std::optional<std::uint64_t> finishTransactionStatement(owner_context &context,
                                                        const core::owned_statement &statement,
                                                        core::connection_id id, bool succeeded);

/// @brief Rolls back transactions whose caller has been silent for too long.
void rollBackIdleTransactions(owner_context &context);

} // namespace fuchsiagw::detail
