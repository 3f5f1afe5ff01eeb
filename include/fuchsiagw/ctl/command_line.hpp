/// @file
/// @brief Splits a command line into flags and words.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::ctl {

/// Words without flags, in their order.
struct command_line
{
    std::vector<std::string> words;
    bool wantsHelp = false;
    std::string problem; ///< empty if the command line is well formed
};

/// @return the names of the flags, in the order of the help
[[nodiscard]] std::vector<std::string_view> ownFlagNames();

/// @brief Sets the Abseil flags that @p arguments name and returns the rest.
///
/// Abseil's own parser ends the process with 1 on a mistake, where this command promises 2, and it
/// accepts flags of other files.
/// @param arguments without the program's name
/// @complexity linear in the number of arguments
[[nodiscard]] command_line parseCommandLine(const std::vector<std::string> &arguments);

} // namespace fuchsiagw::ctl
