/// @file
/// @brief Acknowledgement of writes and the `/wait` requests that lead to it.

#include <fuchsiagw/core/acknowledgement.hpp>

#include <algorithm>
#include <optional>

namespace fuchsiagw::core {

namespace {

/// A new value has the weight 1 / confirmDelaySmoothing in the average confirmation delay.
constexpr int confirmDelaySmoothing = 8;

bool isHeldByMajority(const group_view &view, term_number term, log_position position)
{
    const auto holders =
            std::count_if(view.members.begin(), view.members.end(), [&](const auto &each) {
                return holdsWrite(each.second, term, position);
            });
    return static_cast<std::size_t>(holders) >= majorityOf(view.members.size());
}

void updateConfirmDelay(pending_writes &pending, duration delay, time_point now)
{
    pending.confirmDelay =
            pending.isConfirmDelayKnown
                    ? pending.confirmDelay + (delay - pending.confirmDelay) / confirmDelaySmoothing
                    : delay;
    pending.isConfirmDelayKnown = true;
    pending.lastConfirmedAt = now;
}

std::optional<write_outcome> outcomeOf(const pending_write &write, const group_view &view,
                                       acknowledgement_policy policy, time_point now)
{
    if (mayAcknowledge(policy, view, write.term, write.position, now))
        return write_outcome::Acknowledged;
    if (now >= write.deadline)
        return write_outcome::Expired;
    if (view.highestTerm > write.term && view.primary)
        return write_outcome::Superseded;
    return std::nullopt;
}

} // namespace

bool holdsWrite(const member_view &member, term_number term, log_position position)
{
    if (member.acceptedTerm != term)
        return false;
    if (position.term == term)
        return member.last >= position;
    return position.term < term && member.last.term == term;
}

bool mayAcknowledge(acknowledgement_policy policy, const group_view &view, term_number term,
                    log_position position, time_point now)
{
    switch (policy) {
    case acknowledgement_policy::Majority:
        return isHeldByMajority(view, term, position);
    case acknowledgement_policy::Lease:
        return view.highestTerm == term && now < view.leaseExpiresAt;
    case acknowledgement_policy::KnownPosition:
        return view.highestTerm == term;
    }
    return false;
}

void addPendingWrite(pending_writes &pending, const pending_write &write)
{
    pending.writes.push_back(write);
}

std::vector<wait_request> openWaits(pending_writes &pending, const group_view &view, time_point now)
{
    std::vector<wait_request> opened;
    std::erase_if(pending.openWaits, [now](const auto &each) { return now >= each.second; });
    if (!view.primary)
        return opened;
    for (const auto &[id, member] : view.members) {
        // A member under another term can't confirm the write until failover makes it follow.
        if (id == *view.primary || member.acceptedTerm != view.highestTerm
            || pending.openWaits.contains(id))
            continue;
        std::optional<log_position> wanted;
        for (const pending_write &each : pending.writes) {
            if (each.term != view.highestTerm || holdsWrite(member, each.term, each.position))
                continue;
            if (!wanted || each.position < *wanted)
                wanted = each.position;
        }
        if (!wanted)
            continue;
        // An entry of an earlier term is confirmed by any later entry of the current term, so the
        // request asks for the current term.
        const log_position position{ view.highestTerm, wanted->index };
        const time_point deadline = now + waitHoldTimeout + waitAnswerMargin;
        pending.openWaits[id] = deadline;
        opened.push_back({ id, position, waitHoldTimeout, deadline });
    }
    return opened;
}

void onWaitEnded(pending_writes &pending, const member_id &member, time_point deadline)
{
    const auto open = pending.openWaits.find(member);
    if (open != pending.openWaits.end() && (deadline == noDeadline || open->second == deadline))
        pending.openWaits.erase(open);
}

std::vector<resolved_write> resolveWrites(pending_writes &pending, group_view &view,
                                          acknowledgement_policy policy, time_point now)
{
    std::vector<resolved_write> resolved;
    std::erase_if(pending.writes, [&](const pending_write &each) {
        const std::optional<write_outcome> outcome = outcomeOf(each, view, policy, now);
        if (!outcome)
            return false;
        resolved.push_back({ each.number, *outcome, each.position });
        if (*outcome == write_outcome::Acknowledged) {
            updateConfirmDelay(pending, now - each.answeredAt, now);
            view.highestAcknowledgedPosition =
                    std::max(view.highestAcknowledgedPosition, each.position);
        }
        return true;
    });
    return resolved;
}

time_point nextExpiry(const pending_writes &pending)
{
    time_point earliest = noDeadline;
    for (const pending_write &each : pending.writes)
        earliest = std::min(earliest, each.deadline);
    return earliest;
}

time_point oldestUnconfirmed(const pending_writes &pending, term_number term)
{
    time_point oldest = noDeadline;
    for (const pending_write &each : pending.writes) {
        if (each.term == term)
            oldest = std::min(oldest, each.answeredAt);
    }
    return oldest;
}

} // namespace fuchsiagw::core
