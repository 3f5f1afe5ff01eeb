/// @file
/// @brief Tells which process a loopback connection belongs to.

#pragma once

#include <cstdint>

#include <sys/types.h>

namespace fuchsiagw::testing {

/// @return whether the process holds the IPv4 connection from @p localPort to @p remotePort.
/// Daemons connect from 127.0.0.1 like everybody else, so their address does not tell them apart.
[[nodiscard]] bool holdsConnection(pid_t process, std::uint16_t localPort,
                                   std::uint16_t remotePort);

} // namespace fuchsiagw::testing
