/// @file
/// @brief Pool of the data connections of an owner to the members of one group.

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

/// Identifies a connection of a pool. Ids are not reused.
using connection_id = std::uint64_t;

enum class connection_state : std::uint8_t {
    Opening,
    Idle,
    Busy, ///< a statement is in flight
    Reserved, ///< belongs to a transaction that has no statement in flight
};

inline constexpr std::array<std::string_view, 4> connectionStateNames{ "opening", "idle", "busy",
                                                                       "reserved" };

struct pooled_connection
{
    member_id member;
    connection_state state = connection_state::Opening;
    std::uint64_t statement = 0; ///< in flight on it or waiting until it is open; 0: none
    std::uint64_t transaction = 0; ///< transaction that reserves it; 0: none
    time_point idleSince{};
};

/// Invariant: the number of connections exceeds `limit` only after the limit was lowered, until the
/// statements in flight have ended.
struct connection_pool
{
    std::uint32_t limit = 0; ///< this instance's share of the group's connection limit
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
/// At the limit, the least recently used idle connection is replaced if @p member has no connection
/// at all, or if the idle one was not used for idleReplaceInterval. Without this interval
/// statements to two members would alternately replace each other's connection, and each would wait
/// for a new one.
/// @complexity linear in the connections
[[nodiscard]] connection_choice chooseConnection(const connection_pool &pool,
                                                 const member_id &member, time_point now);

/// Time without use after which an idle connection may be replaced by one to another member.
inline constexpr duration idleReplaceInterval = std::chrono::milliseconds(100);

/// @brief Adds a connection in state Opening.
/// @return its id
/// @complexity logarithmic
connection_id addConnection(connection_pool &pool, const member_id &member,
                            std::uint64_t statement);

/// @brief Counts the idle connections and those that may still be opened within the limit.
/// @complexity linear in the connections
[[nodiscard]] std::uint32_t countAvailable(const connection_pool &pool);

/// @brief Lists the idle connections that must be closed to respect the limit, least recently used
/// first.
/// @complexity O(n log n) in the connections
[[nodiscard]] std::vector<connection_id> surplusConnections(const connection_pool &pool);

/// @return the number of connections to @p member in any state
[[nodiscard]] std::uint32_t countConnections(const connection_pool &pool, const member_id &member);

} // namespace fuchsiagw::core
