/// @file
/// @brief Decides to which outstanding command of a connection a reply belongs.
///
/// A member may send a reply twice, the second time late, and replies name no command. A surplus
/// reply that is taken for the reply to a later command shifts all replies behind it. What tells
/// replies apart is the digest of a run, which no other run has, the absence of a digest from
/// replies to commands that run nothing, and the transaction state.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/proxy/reply.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace fuchsiagw::proxy {

/// What a successful reply to a command looks like.
enum class reply_shape : std::uint8_t {
    Startup, ///< neither rows nor a digest
    Run, ///< digest of the run: reads and writes
    Commit, ///< as Run, outside of a transaction
    Setting, ///< no rows, no digest: values, prepared statements, discard
    Begin, ///< as Setting, in a transaction
    Rollback, ///< as Setting, outside of a transaction
    Status, ///< no digest: status, pause, resume, step down
};

/// Why a reply does not belong to the command, or may not.
enum class reply_fault : std::uint8_t {
    None,
    Unreadable, ///< a line is unknown or out of order
    Unsolicited, ///< no command is outstanding
    OtherShape, ///< the command has no such reply
    RepeatedDigest, ///< certainly a second time the reply to an earlier command
    RepeatedError, ///< an error names no run; this one may be an earlier one a second time
};

inline constexpr std::array<std::string_view, 6> replyFaultNames{
    "none", "unreadable", "unsolicited", "other_shape", "repeated_digest", "repeated_error",
};

[[nodiscard]] constexpr std::string_view toString(reply_fault fault)
{
    return replyFaultNames.at(static_cast<std::size_t>(fault));
}

/// What to do with a complete reply.
enum class reply_action : std::uint8_t {
    Deliver, ///< it belongs to the oldest outstanding command
    DeliverAndClose, ///< as Deliver; the connection can't be used any more
    Drop, ///< it belongs to no outstanding command
    Close, ///< the outcome of the outstanding commands is unknown
};

struct paired_reply
{
    reply_action action = reply_action::Deliver;
    reply_fault fault = reply_fault::None;
};

/// Outstanding commands of one connection, and the replies that could be received a second time.
struct reply_pairing
{
    std::deque<reply_shape> expected; ///< replies to the outstanding commands, oldest first
    std::deque<std::size_t> digests; ///< hashes of received digests, newest last
    std::deque<std::size_t> errors; ///< hashes of received codes and texts, newest last
    transaction_state state = transaction_state::Idle; ///< of the newest reply that was delivered
    std::optional<core::log_position> position; ///< newest one in a reply that was delivered
    bool hasSurplus = false; ///< a reply was dropped: no further command may be sent
};

/// @brief Compares a reply with the oldest outstanding command. A surplus reply is dropped, and the
/// connection ends as soon as no run is outstanding on it. If it can't be told to which command a
/// reply belongs, the connection ends at once.
[[nodiscard]] paired_reply pairReply(reply_pairing &pairing, const reply &received);

} // namespace fuchsiagw::proxy
