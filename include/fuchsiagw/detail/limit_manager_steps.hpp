/// @file
/// @brief Internal functions that the source files of the limit manager share.

#pragma once

#include <fuchsiagw/core/limit_manager.hpp>

namespace fuchsiagw::core {

[[nodiscard]] resource_id resourceOf(const workspace_id &workspace);
[[nodiscard]] resource_id resourceOf(const group_id &group);

/// @return the loan manager that is responsible for @p resource
[[nodiscard]] loan_manager &loanManagerOf(limit_manager &manager, const resource_id &resource);

/// @return the share ledger of an existing limit
[[nodiscard]] share_ledger &ledgerOf(limit_manager &manager, const resource_id &resource);

/// @brief Counts the shares that stay usable beyond @p at even if neither the lease nor a loan is
/// renewed. Lent shares are not counted.
/// @complexity linear in the loans
[[nodiscard]] share_count sharesUntil(const share_ledger &ledger, time_point at);

/// @brief Counts the home shares that may be given away now: those that are neither lent nor needed
/// by open connections during the next connectionDrainInterval.
/// @complexity linear in the loans
[[nodiscard]] share_count removableShares(limit_manager &manager, const resource_id &resource,
                                          time_point now);

/// @brief Applies the deadline of the incarnation lease to all share ledgers.
void applyLease(limit_manager &manager, time_point now);

/// @brief Grants waiting statements while there are tokens and refuses those that waited too long.
void serveWaitingStatements(limit_manager &manager, const resource_id &resource, time_point now,
                            limit_manager_actions &actions);

/// @brief Appends a connection_limit_change for each connection limit that has changed.
void announceConnectionLimits(limit_manager &manager, time_point now,
                              limit_manager_actions &actions);

/// @brief Marks the incarnation as expired: refuses waiting statements and permanently stops the
/// use of shares.
void expireLimitManager(limit_manager &manager, time_point now, limit_manager_actions &actions);

/// @brief Applies the configured limits to the share ledgers after a change of the configuration or
/// of group ownership.
void reconcileLimits(limit_manager &manager, time_point now, limit_manager_actions &actions);

/// @brief Recomputes holders and fair parts of the limits in staleHolders, a bounded number per
/// call.
void refreshHolders(limit_manager &manager, time_point now, random_engine &random);

/// @brief Decides when the pool row of a limit must be read next, after its fair part or its home
/// shares have changed.
void schedulePoolRead(limit_manager &manager, const resource_id &resource, time_point now,
                      random_engine &random);

/// @brief Starts the next task at the platform or continues the current one, if that is due.
void advanceTask(limit_manager &manager, time_point now, random_engine &random,
                 limit_manager_actions &actions);

/// @return when the current task must be continued; noDeadline if there is no task
[[nodiscard]] time_point nextTaskStepAt(const limit_manager &manager);

/// @brief Builds the current task's transaction from the rows that were read.
/// @return false if there is nothing to submit
[[nodiscard]] bool prepareTask(limit_manager &manager, time_point now, random_engine &random,
                               limit_manager_actions &actions);

/// @brief Applies the outcome of the current task's transaction to the share ledgers.
void finishTask(limit_manager &manager, bool isCommitted, time_point now, random_engine &random,
                limit_manager_actions &actions);

/// @brief Draws a delay between half of @p longest and @p longest. The jitter keeps instances from
/// acting at the same time.
[[nodiscard]] duration drawJitteredDelay(random_engine &random, duration longest);

} // namespace fuchsiagw::core
