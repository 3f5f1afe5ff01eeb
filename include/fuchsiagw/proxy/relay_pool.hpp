/// @file
/// @brief Pool of connections to one member that its relay keeps for all daemons of the deployment.
///
/// A member accepts few connections, and each handshake occupies one of its slots. Therefore one
/// daemon in the member's zone, the relay, pools the connections by workspace and lends each of
/// them to one daemon at a time. A returned connection is reset before it is lent again.
///
/// The relay sees the demand of all daemons, so it decides who goes first, how many operations the
/// member gets at a time, and who is refused because the operation could not start in time.

#pragma once

#include <fuchsiagw/core/early_refusal.hpp>
#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/return_schedule.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

using pooled_id = std::uint64_t;
using borrower_id = std::uint64_t;

enum class pooled_state : std::uint8_t {
    Opening,
    Idle,
    Lent,
    Cleaning, ///< returned; the member has not confirmed the reset yet
};

struct pooled_connection
{
    std::string workspace;
    pooled_state state = pooled_state::Opening;
    core::time_point since{}; ///< when it entered this state
    bool hasOutstanding = false; ///< a command of its borrower has not been answered
};

struct waiting_borrower
{
    borrower_id id = 0;
    std::string workspace;
    core::time_point waitUntil{};
    int priority = 0; ///< of the operation; 0 is the highest
    bool isExclusive = false; ///< only this member can run the operation
};

/// Invariants: there are at most `limit` connections, and at most maxOpening of them are Opening;
/// `queue` has an entry for each borrower in `waiting`, with its id as handle.
struct relay_pool
{
    std::size_t limit = 0; ///< of connections
    /// Limit of operations with an outstanding command, and of connections that are being opened;
    /// 0: none.
    std::size_t maxBusy = 0;
    std::map<pooled_id, pooled_connection> connections;
    std::map<borrower_id, waiting_borrower> waiting;
    core::fair_queue queue;
    core::time_point refusedUntil{}; ///< no opening until then: the member's limit was reached
    core::time_point
            exclusiveUntil{}; ///< some room is reserved for exclusive operations until then
    core::service_time_average grantInterval; ///< between grants while borrowers wait
    core::time_point lastGrantAt{}; ///< the latest grant while borrowers waited
    core::return_schedule returns; ///< retries of refused borrowers
    std::uint64_t earlyRefusals = 0;
};

/// Actions that advance() requests for a pool.
struct relay_step
{
    struct loan
    {
        borrower_id borrower = 0;
        pooled_id connection = 0;
    };
    struct refusal
    {
        borrower_id borrower = 0;
        core::duration retryAfter{ 0 };
    };

    std::vector<loan> lend;
    std::vector<pooled_id> close;
    std::vector<std::string> open; ///< workspaces to open connections for
    std::vector<refusal> refuse;
};

/// @brief Adds a borrower, unless its operation could not start in time.
/// @return retry-after time if the borrower is refused; none if it waits
/// @complexity linear in the waiting borrowers
[[nodiscard]] std::optional<core::duration> addBorrower(relay_pool &pool, waiting_borrower borrower,
                                                        core::time_point now);
/// @brief Removes a borrower that no longer waits, if it does.
void removeBorrower(relay_pool &pool, borrower_id id);

/// @return number of connections whose operation, or handshake, occupies the member
[[nodiscard]] std::size_t countBusy(const relay_pool &pool);
/// @return expected time until an operation of this priority gets a connection
[[nodiscard]] core::duration expectedWait(const relay_pool &pool, const std::string &workspace,
                                          int priority);

/// @brief Serves the waiting borrowers by priority, deadline and fair share of their workspaces.
/// @complexity O(waiting borrowers * connections)
[[nodiscard]] relay_step advance(relay_pool &pool, core::time_point now);

/// @return idle connections whose idle timeout has passed
[[nodiscard]] std::vector<pooled_id> findExpired(const relay_pool &pool, core::time_point now);

} // namespace fuchsiagw::proxy
