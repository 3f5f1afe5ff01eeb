/// @file
/// @brief Compares replies with the commands that they should belong to.

#include <fuchsiagw/proxy/reply_pairing.hpp>

#include <algorithm>
#include <functional>
#include <string>

namespace fuchsiagw::proxy {

namespace {

/// Number of digests and of errors that are remembered for a connection.
constexpr std::size_t maxRemembered = 256;
constexpr std::string_view noDigest = "-";

bool contains(const std::deque<std::size_t> &hashes, std::size_t hash)
{
    return std::find(hashes.rbegin(), hashes.rend(), hash) != hashes.rend();
}

void remember(std::deque<std::size_t> &hashes, std::size_t hash)
{
    if (hashes.size() == maxRemembered)
        hashes.pop_front();
    hashes.push_back(hash);
}

bool hasDigest(const reply &received)
{
    return !received.digest.empty() && received.digest != noDigest;
}

bool hasShape(reply_shape expected, const reply &received)
{
    const bool isEmpty = !hasDigest(received) && received.rows.empty();
    switch (expected) {
    case reply_shape::Startup:
    case reply_shape::Setting:
        return isEmpty;
    case reply_shape::Run:
        return hasDigest(received);
    case reply_shape::Begin:
        return isEmpty && received.state == transaction_state::Open;
    case reply_shape::Rollback:
        return isEmpty && received.state == transaction_state::Idle;
    case reply_shape::Status:
        break;
    }
    return !hasDigest(received);
}

/// Only errors to runs and begins are decided upon at once. For the other commands the reply to
/// the next run shows whether replies are missing or surplus.
reply_fault checkError(reply_pairing &pairing, reply_shape expected, const reply &received)
{
    const std::size_t hash = std::hash<std::string>{}(
            std::string(toString(received.code)).append(" ").append(received.message));
    const bool isDecisive = expected == reply_shape::Run || expected == reply_shape::Begin;
    if (isDecisive && contains(pairing.errors, hash))
        return reply_fault::RepeatedError;
    remember(pairing.errors, hash);
    return reply_fault::None;
}

/// Compares a reply with the command to which it should belong, and remembers it if it does.
reply_fault checkReply(reply_pairing &pairing, reply_shape expected, const reply &received)
{
    if (received.code != reply_code::Success)
        return checkError(pairing, expected, received);
    const std::size_t hash = std::hash<std::string>{}(received.digest);
    if (hasDigest(received) && contains(pairing.digests, hash))
        return reply_fault::RepeatedDigest;
    if (!hasShape(expected, received))
        return reply_fault::OtherShape;
    if (hasDigest(received))
        remember(pairing.digests, hash);
    return reply_fault::None;
}

paired_reply rejectReply(reply_pairing &pairing, reply_fault fault)
{
    // Without a later command, a reply that has not the shape of this one's belongs to an earlier
    // command. Otherwise this command's reply may be missing.
    const bool isSurplus = fault == reply_fault::RepeatedDigest
                           || (fault == reply_fault::OtherShape && pairing.expected.size() == 1);
    if (!isSurplus)
        return { reply_action::Close, fault };
    pairing.hasSurplus = true;
    return { reply_action::Drop, fault };
}

} // namespace

reply_shape replyShapeOf(command_kind kind)
{
    switch (kind) {
    case command_kind::Startup:
        return reply_shape::Startup;
    case command_kind::Forward:
        return reply_shape::Run;
    case command_kind::Begin:
    case command_kind::BeginReadOnly:
        return reply_shape::Begin;
    case command_kind::Rollback:
        return reply_shape::Rollback;
    case command_kind::SetValue:
    case command_kind::Prepare:
    case command_kind::Discard:
        return reply_shape::Setting;
    case command_kind::Status:
    case command_kind::PauseReceiving:
    case command_kind::ResumeReceiving:
    case command_kind::StepDown:
        break;
    }
    return reply_shape::Status;
}

paired_reply pairReply(reply_pairing &pairing, const reply &received)
{
    if (pairing.expected.empty())
        return { reply_action::Close, reply_fault::Unsolicited };
    const reply_shape shape = pairing.expected.front();
    const reply_fault fault = checkReply(pairing, shape, received);
    if (fault != reply_fault::None)
        return rejectReply(pairing, fault);
    // Only the digest of a run shows that the reply is not a surplus one.
    if (pairing.hasSurplus && shape != reply_shape::Run)
        return { reply_action::Close, reply_fault::None };
    pairing.expected.pop_front();
    const bool ends = pairing.hasSurplus && pairing.expected.empty();
    return { ends ? reply_action::DeliverAndClose : reply_action::Deliver, reply_fault::None };
}

} // namespace fuchsiagw::proxy
