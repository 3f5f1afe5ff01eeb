/// @file
/// @brief Release notes in files, YAML or JSON.

#pragma once

#include <fuchsiagw/core/release_note.hpp>

#include <string>
#include <string_view>

namespace fuchsiagw::ctl {

/// @brief Reads a note written by an operator. YAML contains JSON, so both are read alike.
/// @param text content of the file
/// @param note set only on success
/// @return a problem with the line or the path of the field; empty on success
/// @complexity linear in the size of @p text
[[nodiscard]] std::string parseNote(const std::string &text, core::release_note &note);

/// @brief Reads a file; '-' is the standard input.
/// @return a problem, or empty on success
[[nodiscard]] std::string readFile(const std::string &path, std::string &text);

} // namespace fuchsiagw::ctl
