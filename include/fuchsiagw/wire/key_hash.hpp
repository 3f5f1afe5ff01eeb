/// @file
/// @brief Creation of callers' keys, and the hash by which the configuration identifies a key.

#pragma once

#include <fuchsiagw/core/configuration.hpp>

#include <string>
#include <string_view>

namespace fuchsiagw::wire {

/// Prefix of every key, by which secret scanners recognise a leaked key.
inline constexpr std::string_view keyPrefix = "fgw_";

/// @brief Hashes a key. A fast hash without a salt is sufficient, because a key has 256 random bits
/// and can't be found by a search.
/// @return BLAKE2b-256 in 64 lower-case hexadecimal digits
/// @complexity linear in the size of @p key
[[nodiscard]] core::key_hash hashKey(std::string_view key);

/// @brief Creates a key of 256 random bits from the operating system: `fgw_` and base64url.
/// @complexity constant
[[nodiscard]] std::string createKey();

} // namespace fuchsiagw::wire
