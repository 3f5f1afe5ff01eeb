/// @file
/// @brief What the sources of the limit keeper share.

#pragma once

#include <fuchsiagw/core/limit_keeper.hpp>

namespace fuchsiagw::core {

[[nodiscard]] resource_id resourceOf(const workspace_id &workspace);
[[nodiscard]] resource_id resourceOf(const group_id &group);

/// @return the desk that has the loans of @p resource
[[nodiscard]] loan_desk &deskOf(limit_keeper &keeper, const resource_id &resource);

/// @return the book of a limit that the keeper has
[[nodiscard]] share_ledger &bookOf(limit_keeper &keeper, const resource_id &resource);

/// @brief Shares that stay usable until @p at if nothing is extended, lent shares not counted.
/// @complexity linear in the loans
[[nodiscard]] share_count sharesUntil(const share_ledger &book, time_point at);

/// @brief Home shares that may be given away now: not lent, and not needed by open connections
/// until connectionWindDown has passed.
/// @complexity linear in the loans
[[nodiscard]] share_count removableShares(limit_keeper &keeper, const resource_id &resource,
                                          time_point now);

/// @brief Applies the deadline of the lease to the books.
void applyLease(limit_keeper &keeper, time_point now);

/// @brief Grants and refuses statements that wait for a token.
void serveWaiting(limit_keeper &keeper, const resource_id &resource, time_point now,
                  keeper_actions &actions);

/// @brief Announces the limits of connections that have changed.
void announceLimits(limit_keeper &keeper, time_point now, keeper_actions &actions);

/// @brief Stops all use of shares for good.
void expireKeeper(limit_keeper &keeper, time_point now, keeper_actions &actions);

/// @brief Sets the limits that this instance uses, after news of configuration or ownership.
void reconcileLimits(limit_keeper &keeper, time_point now, keeper_actions &actions);

/// @brief Computes holders and fair parts of stale limits, a bounded number at once.
void refreshHolders(limit_keeper &keeper, time_point now, random_engine &random);

/// @brief Decides when the pool row of a limit is to be read, after news of the fair part or the
/// home shares.
void scheduleLook(limit_keeper &keeper, const resource_id &resource, time_point now,
                  random_engine &random);

/// @brief Starts or continues the work at the platform that is due.
void stepWork(limit_keeper &keeper, time_point now, random_engine &random, keeper_actions &actions);

/// @return when stepWork() has something to do at the latest, noDeadline if nothing is due
[[nodiscard]] time_point nextWorkAt(const limit_keeper &keeper);

/// @brief Builds the transaction of the work from the rows that were read.
/// @return false if there is nothing to submit
[[nodiscard]] bool prepareWork(limit_keeper &keeper, time_point now, random_engine &random,
                               keeper_actions &actions);

/// @brief Applies the outcome of the work's transaction to the books.
void finishWork(limit_keeper &keeper, bool isCommitted, time_point now, random_engine &random,
                keeper_actions &actions);

/// @brief Draws a pause between half of @p longest and all of it, which keeps instances apart.
[[nodiscard]] duration drawPause(random_engine &random, duration longest);

} // namespace fuchsiagw::core
