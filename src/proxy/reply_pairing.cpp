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

bool isRun(reply_shape shape)
{
    return shape == reply_shape::Run || shape == reply_shape::Commit;
}

bool hasContent(reply_shape expected, const reply &received)
{
    if (isRun(expected))
        return hasDigest(received);
    return !hasDigest(received) && (expected == reply_shape::Status || received.rows.empty());
}

/// @param before state of the connection before the command
bool hasState(reply_shape expected, transaction_state before, const reply &received)
{
    switch (expected) {
    case reply_shape::Begin:
        return received.state == transaction_state::Open;
    case reply_shape::Commit:
    case reply_shape::Rollback:
        return received.state == transaction_state::Idle;
    default:
        return received.state == before;
    }
}

/// A member's log grows, except when a promotion cuts it. So a begin or a confirmation whose reply
/// shows an older position may be an earlier one; it has run nothing and can be sent elsewhere.
bool isBehind(const reply_pairing &pairing, reply_shape expected, const reply &received)
{
    const bool opens =
            expected == reply_shape::Begin
            || (expected == reply_shape::Setting && received.state == transaction_state::Open);
    return opens && received.position && received.position < pairing.position;
}

/// Only errors to runs and begins are decided upon at once. For the other commands the reply to
/// the next run shows whether replies are missing or surplus.
reply_fault checkError(reply_pairing &pairing, reply_shape expected, const reply &received)
{
    const std::size_t hash = std::hash<std::string>{}(
            std::string(toString(received.code)).append(" ").append(received.message));
    const bool isDecisive = isRun(expected) || expected == reply_shape::Begin;
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
    if (!hasContent(expected, received) || !hasState(expected, pairing.state, received)
        || isBehind(pairing, expected, received))
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

paired_reply pairReply(reply_pairing &pairing, const reply &received)
{
    if (pairing.expected.empty())
        return { reply_action::Close, reply_fault::Unsolicited };
    const reply_shape shape = pairing.expected.front();
    const reply_fault fault = checkReply(pairing, shape, received);
    if (fault != reply_fault::None)
        return rejectReply(pairing, fault);
    // Only the digest of a run shows that the reply is not a surplus one.
    if (pairing.hasSurplus && !isRun(shape))
        return { reply_action::Close, reply_fault::None };
    pairing.expected.pop_front();
    pairing.state = received.state;
    pairing.position = std::max(pairing.position, received.position);
    const bool ends = pairing.hasSurplus && pairing.expected.empty();
    return { ends ? reply_action::DeliverAndClose : reply_action::Deliver, reply_fault::None };
}

} // namespace fuchsiagw::proxy
