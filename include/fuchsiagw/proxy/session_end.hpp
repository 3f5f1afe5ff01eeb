/// @file
/// @brief Why the session of a caller has ended.

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace fuchsiagw::proxy {

enum class session_end : std::uint8_t {
    ConnectionLost, ///< the caller or the network ended the connection
    Terminated, ///< the caller said so
    Unreadable, ///< a line of the caller is no message
    Refused, ///< the refusal of a statement ends the session
    TooManyWaiting, ///< the caller sent too many statements ahead
    NotReading, ///< the caller leaves too many bytes of answers unread
    Failed, ///< an unexpected error in the handling of a statement
    Stopping, ///< idle while the process stops
};

inline constexpr std::array<std::string_view, 8> sessionEndNames{
    "connection_lost",  "terminated",  "unreadable", "refused",
    "too_many_waiting", "not_reading", "failed",     "stopping",
};

[[nodiscard]] constexpr std::string_view toString(session_end reason)
{
    return sessionEndNames.at(static_cast<std::size_t>(reason));
}

} // namespace fuchsiagw::proxy
