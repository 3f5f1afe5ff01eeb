/// @file
/// @brief Callers' keys: creation, and the hash under which the configuration knows them.

#pragma once

#include <fuchsiagw/core/configuration.hpp>

#include <string>
#include <string_view>

namespace fuchsiagw::wire {

/// Prefix of every key, so that scanners of source code recognise a leaked one.
inline constexpr std::string_view keyPrefix = "fgw_";

/// @brief Hashes a key. A key has 256 random bits, so a plain hash can't be searched.
/// @return BLAKE2b-256 in 64 lower-case hexadecimal digits
/// @complexity linear in the size of @p key
[[nodiscard]] core::key_hash hashKey(std::string_view key);

/// @brief Creates a key of 256 random bits from the operating system: `fgw_` and base64url.
/// @complexity constant
[[nodiscard]] std::string createKey();

} // namespace fuchsiagw::wire
