/// @file
/// @brief Encoding and verification of session tokens.

#include <fuchsiagw/wire/session_token.hpp>

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/error_kind.hpp>

#include <sodium.h>

#include <cassert>

namespace fuchsiagw::wire {

namespace {

constexpr unsigned char formatVersion = 1;
constexpr unsigned char partialFlag = 1;
constexpr std::size_t macSize = crypto_auth_BYTES;
constexpr std::size_t numberSize = 8; ///< bytes of a term or index
constexpr std::size_t maxTokenBytes =
        3 + 1 + core::maxNameLength + 1
        + core::maxSessionGroups * (1 + core::maxNameLength + 2 * numberSize) + macSize;
static_assert(tokenKeySize == crypto_auth_KEYBYTES);
static_assert((maxTokenBytes * 4 + 2) / 3 == maxTokenLength);

void putText(std::string &bytes, const std::string &text)
{
    assert(text.size() <= core::maxNameLength);
    bytes.push_back(static_cast<char>(text.size()));
    bytes += text;
}

void putNumber(std::string &bytes, std::uint64_t number)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((number >> shift) & 0xffU));
}

std::string computeMac(std::string_view bytes, const token_key &key)
{
    std::string mac(macSize, '\0');
    crypto_auth(reinterpret_cast<unsigned char *>(mac.data()),
                reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), key.data());
    return mac;
}

/// Reads fields from the front; `isValid` becomes false at the first malformed field.
struct byte_reader
{
    std::string_view rest;
    bool isValid = true;

    unsigned char byte()
    {
        if (rest.empty()) {
            isValid = false;
            return 0;
        }
        const auto value = static_cast<unsigned char>(rest.front());
        rest.remove_prefix(1);
        return value;
    }

    std::string text()
    {
        const std::size_t size = byte();
        if (size > core::maxNameLength || size > rest.size()) {
            isValid = false;
            return {};
        }
        std::string value(rest.substr(0, size));
        rest.remove_prefix(size);
        return value;
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < numberSize; ++i)
            value = value << 8 | byte();
        return value;
    }
};

bool readBody(std::string_view body, core::session &state)
{
    byte_reader reader{ body };
    const unsigned char flags = reader.byte();
    state.isPartial = (flags & partialFlag) != 0;
    state.workspace.value = reader.text();
    const std::size_t count = reader.byte();
    if (flags > partialFlag || count > core::maxSessionGroups)
        return false;
    for (std::size_t i = 0; i < count && reader.isValid; ++i) {
        core::session_entry entry;
        entry.group.value = reader.text();
        entry.position.term = reader.number();
        entry.position.index = reader.number();
        for (const core::session_entry &each : state.entries)
            reader.isValid = reader.isValid && each.group != entry.group;
        state.entries.push_back(std::move(entry));
    }
    return reader.isValid && reader.rest.empty();
}

} // namespace

token_key deriveTokenKey(std::string_view secret)
{
    constexpr std::string_view context = "fuchsiagw session token";
    token_key key{};
    crypto_generichash_state hash;
    crypto_generichash_init(&hash, nullptr, 0, key.size());
    crypto_generichash_update(&hash, reinterpret_cast<const unsigned char *>(context.data()),
                              context.size());
    crypto_generichash_update(&hash, reinterpret_cast<const unsigned char *>(secret.data()),
                              secret.size());
    crypto_generichash_final(&hash, key.data(), key.size());
    return key;
}

std::string seal(const core::session &state, const token_keys &keys)
{
    assert(keys.keys.contains(keys.current));
    assert(state.entries.size() <= core::maxSessionGroups);
    std::string bytes;
    bytes.push_back(static_cast<char>(formatVersion));
    bytes.push_back(static_cast<char>(keys.current));
    bytes.push_back(static_cast<char>(state.isPartial ? partialFlag : 0));
    putText(bytes, state.workspace.value);
    bytes.push_back(static_cast<char>(state.entries.size()));
    for (const core::session_entry &each : state.entries) {
        putText(bytes, each.group.value);
        putNumber(bytes, each.position.term);
        putNumber(bytes, each.position.index);
    }
    bytes += computeMac(bytes, keys.keys.at(keys.current));

    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), variant);
    text.pop_back(); // sodium_bin2base64 writes a terminating zero
    return text;
}

std::error_code open(std::string_view token, const token_keys &keys, core::session &state)
{
    if (token.size() > maxTokenLength)
        return core::error_kind::MessageTooLarge;
    std::string bytes(maxTokenBytes, '\0');
    std::size_t size = 0;
    const char *end = nullptr;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(),
                          token.data(), token.size(), nullptr, &size, &end,
                          sodium_base64_VARIANT_URLSAFE_NO_PADDING)
                != 0
        || end != token.data() + token.size())
        return core::error_kind::MessageDamaged;
    if (size < 2 + macSize || static_cast<unsigned char>(bytes[0]) != formatVersion)
        return core::error_kind::MessageDamaged;
    const std::string_view body = std::string_view(bytes).substr(0, size - macSize);
    const auto key = keys.keys.find(static_cast<std::uint8_t>(bytes[1]));
    if (key == keys.keys.end())
        return core::error_kind::MessageForeign;
    const auto *mac = reinterpret_cast<const unsigned char *>(bytes.data()) + body.size();
    if (crypto_auth_verify(mac, reinterpret_cast<const unsigned char *>(body.data()), body.size(),
                           key->second.data())
        != 0)
        return core::error_kind::MessageForeign;
    core::session read;
    if (!readBody(body.substr(2), read))
        return core::error_kind::MessageDamaged;
    state = std::move(read);
    return {};
}

} // namespace fuchsiagw::wire
