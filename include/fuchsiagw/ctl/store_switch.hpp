/// @file
/// @brief Switches of automatic actions that daemons with the session interface read from the
/// platform's store.

#pragma once

#include <fuchsiagw/ctl/exit_code.hpp>

#include <string>

namespace fuchsiagw::ctl {

struct command_context;

/// @brief Switches promotions on or off for all daemons.
/// @param name promotion, or all
exit_code setStoreSwitch(const command_context &context, const std::string &name, bool isOn);

/// @brief Prints whether promotions are allowed.
exit_code listStoreSwitches(const command_context &context);

} // namespace fuchsiagw::ctl
