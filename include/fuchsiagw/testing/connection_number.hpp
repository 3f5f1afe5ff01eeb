/// @file
/// @brief Number of a connection to a stand-in.

#pragma once

#include <cstdint>

namespace fuchsiagw::testing {

/// Never reused within a server.
using connection_number = std::uint64_t;

} // namespace fuchsiagw::testing
