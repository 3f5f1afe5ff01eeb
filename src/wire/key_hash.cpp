/// @file
/// @brief Callers' keys and their hashes.

#include <fuchsiagw/wire/key_hash.hpp>

#include <sodium.h>

#include <array>

namespace fuchsiagw::wire {

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t hashBytes = crypto_generichash_BYTES;
static_assert(2 * hashBytes == core::keyHashLength);

} // namespace

core::key_hash hashKey(std::string_view key)
{
    std::array<unsigned char, hashBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::string text(2 * hashBytes + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back(); // sodium_bin2hex writes a terminating zero
    return text;
}

std::string createKey()
{
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::array<unsigned char, keyBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(sodium_base64_ENCODED_LEN(keyBytes, variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), variant);
    sodium_memzero(bytes.data(), bytes.size());
    text.pop_back(); // sodium_bin2base64 writes a terminating zero
    return std::string(keyPrefix) + text;
}

} // namespace fuchsiagw::wire
