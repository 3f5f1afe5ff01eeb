/// @file
/// @brief Authenticates messages between daemons and rejects replays.
///
/// A message is the compact form (see detail/compact_archive.hpp) of header and body, followed by a
/// MAC over both. The header holds format version, key number, sender and receiver incarnation,
/// sequence number and kind. The receiver's incarnation prevents an instance that was assigned the
/// address of another one from accepting messages that are meant for the other one.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/detail/compact_archive.hpp>
#include <fuchsiagw/wire/peer_message.hpp>
#include <fuchsiagw/wire/replay_window.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::wire {

inline constexpr std::size_t peerKeySize = 32; ///< bytes
using peer_key = std::array<unsigned char, peerKeySize>;

/// Keys of the deployment. A rotation first adds the new key at every instance, then makes it
/// current, and then removes the old key.
struct peer_keys
{
    std::map<std::uint8_t, peer_key> keys; ///< by key number
    std::uint8_t current = 0; ///< key of sent messages; must be in `keys`
};

/// @brief Derives the key of messages from a shared secret. The context of the derivation keeps the
/// key independent of other keys that are derived from the secret.
/// @complexity linear in the size of @p secret
[[nodiscard]] peer_key derivePeerKey(std::string_view secret);

inline constexpr std::size_t maxDatagramBytes = 1'200;
inline constexpr std::size_t maxFrameBytes = 1'048'576;

[[nodiscard]] constexpr std::size_t maxMessageBytes(peer_transport transport)
{
    return transport == peer_transport::Datagram ? maxDatagramBytes : maxFrameBytes;
}

struct peer_header
{
    std::uint8_t version = 0;
    std::uint8_t keyNumber = 0;
    core::incarnation_id sender = 0;
    core::incarnation_id receiver = 0; ///< 0: any instance at the address
    std::uint64_t sequence = 0; ///< from 1, counted per transport
    peer_kind kind = peer_kind::Hello;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(version, keyNumber, sender, receiver, sequence, kind);
    }
};

/// A message whose MAC, size and sequence number were checked. It refers to the bytes of the
/// received message.
struct opened_message
{
    peer_header header;
    std::string_view body;
};

/// @brief Serializes a body; readBody() reads it.
template <typename type>
[[nodiscard]] std::string writeBody(const type &body)
{
    detail::compact_output archive;
    archive(body);
    return archive.take();
}

/// @brief Deserializes a body.
/// @param result unspecified on an error
/// @return MessageDamaged unless @p bytes are exactly one valid @p type
/// @complexity linear in the size of @p bytes, in time and memory
template <typename type>
[[nodiscard]] std::error_code readBody(std::string_view bytes, type &result)
{
    try {
        detail::compact_input archive(bytes);
        archive(result);
        if (archive.rest().empty() && isValid(result))
            return {};
    } catch (const std::exception &) {
        // compact_input throws on malformed input.
    }
    return core::error_kind::MessageDamaged;
}

/// Seals and opens the messages of one instance. Not thread-safe.
class peer_codec
{
public:
    /// @param self this instance's incarnation, not 0
    peer_codec(core::incarnation_id self, peer_keys keys);

    /// @brief Serializes a message and adds its header and MAC.
    /// @param receiver incarnation of the receiver; 0 if it is not known yet
    /// @param[out] message set only on success
    /// @return MessageTooLarge if it exceeds the bound of its transport
    /// @complexity linear in the size of the message
    template <typename type>
    [[nodiscard]] std::error_code seal(peer_kind kind, core::incarnation_id receiver,
                                       const type &body, std::string &message)
    {
        return sealBytes(kind, receiver, writeBody(body), message);
    }

    /// @brief Verifies a message and records its sequence number.
    /// @param message must outlive @p result
    /// @return MessageTooLarge, MessageDamaged (unknown format or kind), MessageForeign
    /// (wrong MAC, unknown key, own message, or for another receiver) or MessageReplayed
    /// @complexity linear in the size of the message
    [[nodiscard]] std::error_code open(std::string_view message, peer_transport transport,
                                       core::time_point now, opened_message &result);

    /// @brief Replaces the keys during a rotation.
    void setKeys(peer_keys keys);

    [[nodiscard]] core::incarnation_id self() const { return self_; }

private:
    core::incarnation_id self_;
    peer_keys keys_;
    std::array<std::uint64_t, 2> lastSequence_{}; ///< by transport
    /// By transport, since frames may arrive later than datagrams.
    std::array<replay_window, 2> windows_;

    [[nodiscard]] std::error_code sealBytes(peer_kind kind, core::incarnation_id receiver,
                                            std::string_view body, std::string &message);
};

} // namespace fuchsiagw::wire
