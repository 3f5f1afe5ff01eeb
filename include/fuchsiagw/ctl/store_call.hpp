/// @file
/// @brief Calls from commands to the platform's store.

#pragma once

#include <fuchsiagw/ctl/exit_code.hpp>
#include <fuchsiagw/net/http_connection.hpp>
#include <fuchsiagw/net/http_message.hpp>

#include <functional>
#include <string>

namespace fuchsiagw::ctl {

struct command_context;

/// Makes one call to the store; replaced in tests.
/// @param address IP:port
using store_transport = std::function<net::http_exchange(const std::string &address,
                                                         const net::http_request &request)>;

inline constexpr int storeStatusOk = 200;

/// @brief Calls the store at the address given by --store.
[[nodiscard]] net::http_exchange callStore(const command_context &context,
                                           const net::http_request &request);

/// @brief Prints an error message.
/// @return @p code
exit_code reportError(const command_context &context, exit_code code, const std::string &text);

} // namespace fuchsiagw::ctl
