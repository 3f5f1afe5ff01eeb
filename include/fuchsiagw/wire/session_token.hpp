/// @file
/// @brief Text form of a session, authenticated by a MAC under a key of the cluster.
///
/// Layout before base64url without padding: format version (1 byte), key number (1), flags (1),
/// workspace (length byte and text), number of groups (1), for each group its name (length byte
/// and text), term and index (8 bytes each, big endian), and the MAC (32).

#pragma once

#include <fuchsiagw/core/session.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

/// Bound on the text, enough for 16 groups with names of 63 characters.
inline constexpr std::size_t maxTokenLength = 1840;

inline constexpr std::size_t tokenKeySize = 32; ///< bytes

using token_key = std::array<unsigned char, tokenKeySize>;

/// Keys of the cluster. A rotation first adds the new key at every instance, then makes it current,
/// and removes the old key when the tokens under it have expired.
struct token_keys
{
    std::map<std::uint8_t, token_key> keys; ///< by key number
    std::uint8_t current = 0; ///< key of new tokens; must be in `keys`
};

/// @brief Derives the key of tokens from a shared secret. The context of the derivation keeps the
/// key independent of other keys that are derived from the secret.
/// @complexity linear in the size of @p secret
[[nodiscard]] token_key deriveTokenKey(std::string_view secret);

/// @brief Writes the token of a session.
/// @return the token, at most maxTokenLength characters
/// @complexity linear in the size of the session
[[nodiscard]] std::string seal(const core::session &state, const token_keys &keys);

/// @brief Reads a token.
/// @param token text from a header or cookie
/// @param keys accepted keys
/// @param state set only on success
/// @return MessageTooLarge, MessageDamaged (not a token) or MessageForeign (key not in use or wrong
/// MAC)
/// @complexity linear in the size of the token
[[nodiscard]] std::error_code open(std::string_view token, const token_keys &keys,
                                   core::session &state);

} // namespace fuchsiagw::wire
