/// @file
/// @brief Messages between admin_server and gateway_driver.

#pragma once

#include <fuchsiagw/wire/admin_json.hpp>

#include <cstdint>
#include <string>

namespace fuchsiagw::daemon {

/// An authenticated request of an operator.
struct admin_request
{
    std::uint64_t ticket = 0; ///< unique; identifies the HTTP request to answer
    wire::admin_route route = wire::admin_route::Status;
    std::string argument; ///< id of a note or name of a group; empty for other routes
    std::string body;
};

/// The answer to an admin_request; each request gets exactly one.
struct admin_result
{
    std::uint64_t ticket = 0;
    wire::admin_answer answer;
};

} // namespace fuchsiagw::daemon
