/// @file
/// @brief The configuration as a JSON document, as the platform's object and the admin API have it.

#pragma once

#include <fuchsiagw/core/configuration.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

/// @brief Writes a configuration canonically: equal configurations give equal bytes.
/// @complexity linear in the size of the configuration
[[nodiscard]] std::string writeConfiguration(const core::configuration &config);

/// @brief Reads what writeConfiguration() wrote, strictly, and checks its invariants.
/// @param text the document
/// @param config set only on success
/// @param problem path of the field and what is wrong with it
/// @return MalformedBody, WrongType, UnknownField, MissingField, InvalidValue or BodyTooLarge
/// @complexity linear in the size of @p text, times the logarithm of its keys
[[nodiscard]] std::error_code readConfiguration(std::string_view text, core::configuration &config,
                                                std::string &problem);

/// @brief Names a document by its content, so that an object never has two contents.
/// @return BLAKE2b-256 of @p text in lower-case hexadecimal
[[nodiscard]] std::string contentHashOf(std::string_view text);

/// @return the first 64 bits of contentHashOf() as a number, for the messages between instances
[[nodiscard]] std::uint64_t contentTagOf(std::string_view text);

} // namespace fuchsiagw::wire
