/// @file
/// @brief JSON form of release notes and of differences between configurations.
///
/// A note is `{id, base, added, changed, withdrawn}`; empty lists may be omitted. An element
/// identifies its section by `section` (`group`, `member`, `workspace`, `rate`, `key`,
/// `read_class` or `switch`) and the fields of that kind. docs/release-notes.md has examples.

#pragma once

#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/release_note.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

/// @return the note as a JSON document in one line
/// @complexity linear in the size of the note
[[nodiscard]] std::string writeNote(const core::release_note &note);

/// @return the lists of a difference as a JSON object in one line
/// @complexity linear in the size of the difference
[[nodiscard]] std::string writeChanges(const core::section_changes &changes);

/// @brief Reads a note strictly.
/// @param text the document
/// @param note set only on success
/// @param problem path of the field and what is wrong with it
/// @return MalformedBody, WrongType, UnknownField, MissingField, InvalidValue or BodyTooLarge
/// @complexity linear in the size of @p text, times the logarithm of its sections
[[nodiscard]] std::error_code readNote(std::string_view text, core::release_note &note,
                                       std::string &problem);

/// @brief Reads the form that writeChanges() writes; parameters and errors are as for readNote().
[[nodiscard]] std::error_code readChanges(std::string_view text, core::section_changes &changes,
                                          std::string &problem);

/// @return the serialization functions that core::config_store calls
[[nodiscard]] const core::configuration_codec &configurationCodec();

} // namespace fuchsiagw::wire
