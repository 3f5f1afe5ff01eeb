/// @file
/// @brief The data connections that an owner has to the members of one group.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// Names a connection of this instance, never used again.
using connection_id = std::uint64_t;

enum class connection_state : std::uint8_t {
    Opening,
    Idle,
    Busy, ///< carries an exchange
    Reserved, ///< belongs to a transaction that runs no statement at the moment
};

inline constexpr std::array<std::string_view, 4> connectionStateNames{ "opening", "idle", "busy",
                                                                       "reserved" };

struct pooled_connection
{
    member_id member;
    connection_state state = connection_state::Opening;
    std::uint64_t statement = 0; ///< the one that it carries or is opened for; 0: none
    std::uint64_t transaction = 0; ///< its transaction; 0: none
    time_point idleSince{};
};

/// Invariant: the number of connections exceeds limit only after the limit was lowered, until the
/// exchanges under way have ended.
struct connection_pool
{
    std::uint32_t limit = 0; ///< the instance's shares of the group's connections
    connection_id nextId = 1;
    std::map<connection_id, pooled_connection> connections;
};

/// How a statement gets a connection.
enum class connection_step : std::uint8_t {
    Use, ///< the idle connection `id`
    Open, ///< a new connection
    Replace, ///< close the idle connection `id` of another member, then open a new one
    Wait, ///< until a connection is free
};

struct connection_choice
{
    connection_step step = connection_step::Wait;
    connection_id id = 0;
};

/// @brief Chooses the connection for a statement to @p member.
///
/// An idle connection of another member is given up if this member has none at all, or if the idle
/// one was not used for idleReplaceInterval; otherwise two members would take it from each other in
/// turns and each statement would pay for a new connection.
/// @complexity linear in the connections
[[nodiscard]] connection_choice chooseConnection(const connection_pool &pool,
                                                 const member_id &member, time_point now);

inline constexpr duration idleReplaceInterval = std::chrono::milliseconds(100);

/// @brief Adds a connection in state Opening.
/// @return its id
/// @complexity logarithmic
connection_id addConnection(connection_pool &pool, const member_id &member,
                            std::uint64_t statement);

/// @brief Counts the connections that carry or may take a statement without being opened first.
/// @complexity linear in the connections
[[nodiscard]] std::uint32_t countAvailable(const connection_pool &pool);

/// @brief Lists the idle connections to close so that the limit holds, least recently used first.
/// @complexity O(n log n) in the connections
[[nodiscard]] std::vector<connection_id> surplusConnections(const connection_pool &pool);

/// @return the number of connections to @p member in any state
[[nodiscard]] std::uint32_t countConnections(const connection_pool &pool, const member_id &member);

} // namespace fuchsiagw::core
