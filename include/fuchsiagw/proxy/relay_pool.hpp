/// @file
/// @brief Connections to one member that a daemon keeps for all daemons of the deployment.
///
/// A member takes few connections, and a new one occupies one of its slots. So one daemon in the
/// member's zone keeps them, by workspace, and lends each to one daemon at a time. A connection
/// that comes back is cleaned before it is lent again.

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
    Cleaning, ///< came back; its member has not confirmed yet that nothing is left
};

struct pooled_connection
{
    std::string workspace;
    pooled_state state = pooled_state::Opening;
    core::time_point since{}; ///< of this state
};

struct waiting_borrower
{
    borrower_id id = 0;
    std::string workspace;
    core::time_point waitUntil{};
};

/// Invariant: connections.size() never exceeds limit, and at most maxOpening of them are Opening.
struct relay_pool
{
    std::size_t limit = 0;
    std::map<pooled_id, pooled_connection> connections;
    std::deque<waiting_borrower> waiting;
    core::time_point refusedUntil{}; ///< the member refused a connection for their number
};

/// What is to be done for one pool now.
struct relay_step
{
    struct loan
    {
        borrower_id borrower = 0;
        pooled_id connection = 0;
    };

    std::vector<loan> lend;
    std::vector<pooled_id> close;
    std::vector<std::string> open; ///< workspaces
    std::vector<borrower_id> refuse;
};

/// @brief Serves the borrowers that wait, in order of arrival.
/// @complexity waiting borrowers times connections
[[nodiscard]] relay_step advance(relay_pool &pool, core::time_point now);

/// @brief Closes what was not used for a while.
[[nodiscard]] std::vector<pooled_id> surplus(const relay_pool &pool, core::time_point now);

} // namespace fuchsiagw::proxy
