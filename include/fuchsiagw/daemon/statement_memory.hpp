/// @file
/// @brief Memory for the copies of long statements on their way to a member.
///
/// A statement is copied several times between the connections of its caller and of its member.
/// Long ones are therefore let through only as far as the budget has room for their copies; the
/// others wait unread, in order of arrival.

#pragma once

#include <fuchsiagw/net/byte_budget.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace fuchsiagw::daemon {

/// Invariants: the sum of `reserved` is counted in `budget`; `waiting` holds each connection once.
struct statement_memory
{
    std::shared_ptr<net::byte_budget> budget;
    std::map<std::uint64_t, std::size_t> reserved; ///< bytes, by connection
    std::deque<std::uint64_t> waiting; ///< connections with a statement that waits
};

/// @brief Reserves memory for a long statement.
/// @return false if there is none now; the connection then waits
[[nodiscard]] bool reserve(statement_memory &memory, std::uint64_t connection, std::size_t bytes);

/// @brief Releases the memory of a connection's statements, and its place among those that wait.
void release(statement_memory &memory, std::uint64_t connection);

/// @return the connection whose statement should be tried again; 0: none, or none now
[[nodiscard]] std::uint64_t takeNextWaiting(statement_memory &memory);

} // namespace fuchsiagw::daemon
