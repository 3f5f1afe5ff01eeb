/// @file
/// @brief Header, MAC and verification of messages between daemons.

#include <fuchsiagw/wire/peer_codec.hpp>

#include <sodium.h>

#include <cassert>
#include <utility>

namespace fuchsiagw::wire {

namespace {

constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t macBytes = crypto_auth_BYTES;
constexpr std::size_t keyNumberOffset = 1; ///< after the version
constexpr std::size_t minHeaderBytes = 6; ///< one byte for each field
static_assert(peerKeySize == crypto_auth_KEYBYTES);

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

/// Splits the authenticated content of a message into header and body.
bool readHeader(std::string_view content, opened_message &opened)
{
    try {
        detail::compact_input archive(content);
        archive(opened.header);
        opened.body = archive.rest();
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace

peer_key derivePeerKey(std::string_view secret)
{
    constexpr std::string_view context = "fuchsiagw message between instances";
    peer_key key{};
    crypto_generichash_state hash;
    crypto_generichash_init(&hash, nullptr, 0, key.size());
    crypto_generichash_update(&hash, asBytes(context), context.size());
    crypto_generichash_update(&hash, asBytes(secret), secret.size());
    crypto_generichash_final(&hash, key.data(), key.size());
    return key;
}

peer_codec::peer_codec(core::incarnation_id self, peer_keys keys)
    : self_(self)
    , keys_(std::move(keys))
{
    assert(self_ != 0);
    assert(keys_.keys.contains(keys_.current));
}

void peer_codec::setKeys(peer_keys keys)
{
    assert(keys.keys.contains(keys.current));
    keys_ = std::move(keys);
}

std::error_code peer_codec::sealBytes(peer_kind kind, core::incarnation_id receiver,
                                      std::string_view body, std::string &message)
{
    const peer_kind_row *row = findPeerKind(kind);
    assert(row != nullptr);
    std::uint64_t &last = lastSequence_.at(static_cast<std::size_t>(row->transport));
    const peer_header header{ formatVersion, keys_.current, self_, receiver, last + 1, kind };
    std::string sealed = writeBody(header);
    if (sealed.size() + body.size() + macBytes > maxMessageBytes(row->transport))
        return core::error_kind::MessageTooLarge;
    ++last;
    sealed += body;
    std::array<unsigned char, macBytes> mac{};
    crypto_auth(mac.data(), asBytes(sealed), sealed.size(), keys_.keys.at(keys_.current).data());
    sealed.append(reinterpret_cast<const char *>(mac.data()), mac.size());
    message = std::move(sealed);
    return {};
}

std::error_code peer_codec::open(std::string_view message, peer_transport transport,
                                 core::time_point now, opened_message &result)
{
    using core::error_kind;
    if (message.size() > maxMessageBytes(transport))
        return error_kind::MessageTooLarge;
    if (message.size() < minHeaderBytes + macBytes)
        return error_kind::MessageDamaged;
    const std::string_view content = message.substr(0, message.size() - macBytes);
    const std::string_view mac = message.substr(content.size());
    const auto key = keys_.keys.find(static_cast<std::uint8_t>(content[keyNumberOffset]));
    // No other field is read before the MAC is verified.
    if (key == keys_.keys.end()
        || crypto_auth_verify(asBytes(mac), asBytes(content), content.size(), key->second.data())
                   != 0)
        return error_kind::MessageForeign;
    opened_message opened;
    if (!readHeader(content, opened) || opened.header.version != formatVersion)
        return error_kind::MessageDamaged;
    const peer_kind_row *row = findPeerKind(opened.header.kind);
    if (row == nullptr || row->transport != transport)
        return error_kind::MessageDamaged;
    const bool isForOther = opened.header.receiver != 0 && opened.header.receiver != self_;
    if (opened.header.sender == self_ || opened.header.sender == 0 || isForOther)
        return error_kind::MessageForeign;
    if (!windows_.at(static_cast<std::size_t>(transport))
                 .accept(opened.header.sender, opened.header.sequence, now))
        return error_kind::MessageReplayed;
    result = opened;
    return {};
}

} // namespace fuchsiagw::wire
