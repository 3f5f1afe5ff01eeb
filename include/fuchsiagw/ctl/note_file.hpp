/// @file
/// @brief Release notes in YAML or JSON files.

#pragma once

#include <fuchsiagw/core/release_note.hpp>

#include <string>
#include <string_view>

namespace fuchsiagw::ctl {

/// @brief Parses a release note. JSON is a subset of YAML, so one parser reads both.
/// @param text content of the file
/// @param note set only on success
/// @return an error message with the line or the path of the field; empty on success
/// @complexity linear in the size of @p text
[[nodiscard]] std::string parseNote(const std::string &text, core::release_note &note);

/// @brief Reads a file; '-' is the standard input.
/// @return an error message; empty on success
[[nodiscard]] std::string readFile(const std::string &path, std::string &text);

} // namespace fuchsiagw::ctl
