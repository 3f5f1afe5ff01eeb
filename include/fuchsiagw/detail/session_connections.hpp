/// @file
/// @brief State of the session gateway's connections, shared by its source files.

#pragma once

#include <fuchsiagw/daemon/member_connection.hpp>
#include <fuchsiagw/daemon/session_gateway.hpp>

#include <platform/wire_codec.hpp>

#include <cstddef>
#include <memory>

namespace fuchsiagw::daemon {

/// Memory of the process for everything except sessions and what callers send and get, in bytes.
inline constexpr std::size_t reservedMemory = 48 * 1024 * 1024;

/// Log event of a socket that was given up, or of a datagram that was dropped.
inline constexpr int socketEventNumber = 931;

struct session_gateway::caller_connection
{
    std::shared_ptr<net::line_connection> connection;
    bool isOpen = false; ///< the startup message was read
    core::time_point statementReceivedAt{};
    proxy::statement_kind statementKind = proxy::statement_kind::Malformed;
};

struct session_gateway::upstream_connection
{
    std::shared_ptr<member_connection> connection;
    bool isRelayed = false; ///< its connection leads to the relay of another daemon, or the own one
};

} // namespace fuchsiagw::daemon
