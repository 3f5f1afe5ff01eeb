/// @file
/// @brief Switches of automatic actions that daemons with the session interface read from the
/// platform's store.

#pragma once

#include <fuchsiagw/ctl/exit_code.hpp>
#include <fuchsiagw/net/http_connection.hpp>
#include <fuchsiagw/net/http_message.hpp>

#include <functional>
#include <string>

namespace fuchsiagw::ctl {

struct command_context;

/// Makes one call to the store; tests put a function of their own here.
/// @param address IP:port
using store_transport = std::function<net::http_exchange(const std::string &address,
                                                         const net::http_request &request)>;

[[nodiscard]] net::http_exchange callStore(const std::string &address,
                                           const net::http_request &request);

/// @brief Switches promotions on or off for all daemons.
/// @param name promotion, or all
exit_code setStoreSwitch(const command_context &context, const std::string &name, bool isOn);

/// @brief Prints whether promotions are allowed.
exit_code listStoreSwitches(const command_context &context);

} // namespace fuchsiagw::ctl
