/// @file
/// @brief Commands for the switches in the platform's store, with which operators enable and
/// disable automatic actions of daemons with the session interface.

#pragma once

#include <fuchsiagw/ctl/exit_code.hpp>

#include <string>

namespace fuchsiagw::ctl {

struct command_context;

/// @brief Enables or disables automatic promotions of all daemons.
/// @param name promotion, or all
exit_code setStoreSwitch(const command_context &context, const std::string &name, bool isOn);

/// @brief Prints whether automatic promotions are enabled.
exit_code listStoreSwitches(const command_context &context);

} // namespace fuchsiagw::ctl
