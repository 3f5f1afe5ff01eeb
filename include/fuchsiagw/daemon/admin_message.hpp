/// @file
/// @brief What the admin duty and the decisions say to each other.

#pragma once

#include <fuchsiagw/wire/admin_json.hpp>

#include <cstdint>
#include <string>

namespace fuchsiagw::daemon {

/// An operator's request whose secret was right.
struct admin_request
{
    std::uint64_t ticket = 0; ///< names the connection and request; unique
    wire::admin_route route = wire::admin_route::Status;
    std::string argument; ///< note or group
    std::string body;
};

/// The one answer to an admin_request.
struct admin_result
{
    std::uint64_t ticket = 0;
    wire::admin_answer answer;
};

} // namespace fuchsiagw::daemon
