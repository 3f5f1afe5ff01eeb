/// @file
/// @brief Pool of connections to one member that its relay keeps for all daemons of the deployment.
///
/// A member accepts few connections, and each handshake occupies one of its slots. Therefore one
/// daemon in the member's zone, the relay, pools the connections by workspace and lends each of
/// them to one daemon at a time. A returned connection is reset before it is lent again.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
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
};

struct waiting_borrower
{
    borrower_id id = 0;
    std::string workspace;
    core::time_point waitUntil{};
};

/// Invariant: there are at most `limit` connections, and at most maxOpening of them are Opening.
struct relay_pool
{
    std::size_t limit = 0;
    std::map<pooled_id, pooled_connection> connections;
    std::deque<waiting_borrower> waiting;
    core::time_point refusedUntil{}; ///< no opening until then: the member's limit was reached
};

/// Actions that advance() requests for a pool.
struct relay_step
{
    struct loan
    {
        borrower_id borrower = 0;
        pooled_id connection = 0;
    };

    std::vector<loan> lend;
    std::vector<pooled_id> close;
    std::vector<std::string> open; ///< workspaces to open connections for
    std::vector<borrower_id> refuse;
};

/// @brief Serves the waiting borrowers in order of arrival.
/// @complexity O(waiting borrowers * connections)
[[nodiscard]] relay_step advance(relay_pool &pool, core::time_point now);

/// @return idle connections whose idle timeout has passed
[[nodiscard]] std::vector<pooled_id> findExpired(const relay_pool &pool, core::time_point now);

} // namespace fuchsiagw::proxy
