/// @file
/// @brief Budget of the bytes that a group of connections keeps in memory.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace fuchsiagw::net {

/// A connection that keeps more than largeHolding.
struct large_holder
{
    core::time_point since{}; ///< when it began to
    std::function<void()> close;
};

/// Connections add what they keep and take it back. A connection that needs much more asks first;
/// the others are always served, so that small messages get through when large ones use the budget
/// up. Not thread-safe.
struct byte_budget
{
    std::size_t limit = 0;
    std::size_t used = 0;
    std::uint64_t closedHolders = 0; ///< connections that were closed to make room
    std::map<const void *, large_holder> holders; ///< by connection
};

/// Buffers up to this size need no room in the budget.
inline constexpr std::size_t largeHolding = 64 * 1024;

[[nodiscard]] bool fits(const byte_budget &budget, std::size_t bytes);

/// @brief Makes room for more bytes: closes connections that have kept much without progress, those
/// first that have done so for longest.
/// @param requester is not closed
/// @return whether there is room now
[[nodiscard]] bool makeRoom(byte_budget &budget, std::size_t bytes, const void *requester,
                            core::time_point now);

} // namespace fuchsiagw::net
