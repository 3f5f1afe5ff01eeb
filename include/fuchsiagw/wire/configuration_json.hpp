/// @file
/// @brief JSON form of the configuration, in the platform's object store and in the admin API.

#pragma once

#include <fuchsiagw/core/configuration.hpp>

#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

/// @brief Writes a configuration in canonical form: equal configurations have equal bytes.
/// @complexity linear in the size of the configuration
[[nodiscard]] std::string writeConfiguration(const core::configuration &config);

/// @brief Reads the form that writeConfiguration() writes, strictly, and checks the invariants of
/// the configuration.
/// @param text the document
/// @param config set only on success
/// @param problem path of the field and what is wrong with it
/// @return MalformedBody, WrongType, UnknownField, MissingField, InvalidValue or BodyTooLarge
/// @complexity linear in the size of @p text, times the logarithm of its keys
[[nodiscard]] std::error_code readConfiguration(std::string_view text, core::configuration &config,
                                                std::string &problem);

/// @brief Hashes a document. The hash is part of the object's name, so that an object never has two
/// contents.
/// @return BLAKE2b-256 of @p text in lower-case hexadecimal
[[nodiscard]] std::string contentHashOf(std::string_view text);

/// @return the first 64 bits of contentHashOf() as a number, for the messages between instances
[[nodiscard]] std::uint64_t contentTagOf(std::string_view text);

} // namespace fuchsiagw::wire
