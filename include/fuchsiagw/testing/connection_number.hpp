/// @file
/// @brief Identifier of a connection to a test server.

#pragma once

#include <cstdint>

namespace fuchsiagw::testing {

/// Unique within a server; never reused.
using connection_number = std::uint64_t;

} // namespace fuchsiagw::testing
