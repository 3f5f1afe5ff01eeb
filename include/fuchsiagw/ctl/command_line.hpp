/// @file
/// @brief Parser of the command line.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::ctl {

/// The arguments that are not flags, in order.
struct command_line
{
    std::vector<std::string> words;
    bool wantsHelp = false;
    std::string problem; ///< empty if the command line is well formed
};

/// @return the names of the flags, in the order of the help
[[nodiscard]] std::vector<std::string_view> ownFlagNames();

/// @brief Sets the Abseil flags in @p arguments and returns the remaining arguments.
///
/// Abseil's own parser exits with status 1 on an invalid flag, where fuchsiagwctl documents 2, and
/// it accepts flags that are defined in other files.
/// @param arguments without the program name
/// @complexity linear in the number of arguments
[[nodiscard]] command_line parseCommandLine(const std::vector<std::string> &arguments);

} // namespace fuchsiagw::ctl
