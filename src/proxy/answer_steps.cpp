/// @file
/// @brief Steps that the handling of members' answers and that of closed links share.

#include <fuchsiagw/detail/answer_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr int maxBusyBackoffFactor = 6;
constexpr milliseconds failureBackoff{ 100 }; // doubled with each consecutive failure
constexpr int maxFailureDoublings = 4;

} // namespace

core::duration withJitter(engine &state, core::duration base)
{
    const auto whole = static_cast<std::uint64_t>(base.count());
    return core::duration(
            static_cast<std::int64_t>(whole / 2 + core::drawBelow(state.random, whole)));
}

void avoidMember(engine &state, member_state &member, std::string_view reason, core::time_point now)
{
    const int doublings = std::min(member.consecutiveFailures, maxFailureDoublings);
    ++member.consecutiveFailures;
    member.avoidUntil = now + withJitter(state, failureBackoff * (1 << doublings));
    if (member.unresponsiveSince == core::noDeadline)
        member.unresponsiveSince = now;
    decision_note note;
    note.kind = note_kind::MemberAvoided;
    note.service = member.entry.service;
    note.member = member.entry.id;
    note.reason = reason;
    note.number = member.consecutiveFailures;
    state.out.emplace_back(std::move(note));
}

request *findPendingRequest(engine &state, const expected_answer &expected, session *&caller)
{
    caller = findSession(state, expected.session);
    if (caller == nullptr || !caller->current || caller->current->serial != expected.serial)
        return nullptr;
    return &*caller->current;
}

void removeOutstanding(request &pending, link_id link)
{
    std::erase(pending.outstandingLinks, link);
}

void unpinTransaction(session &caller, upstream_link *link)
{
    if (caller.transaction)
        caller.transaction->link = 0;
    if (link != nullptr)
        link->pinnedTo = 0;
}

void retryRequest(engine &state, session &caller, const std::string &member, reply_code code,
                  core::time_point now)
{
    request &pending = *caller.current;
    if (!pending.outstandingLinks.empty())
        return; // another member is still working on it
    noteRequest(state, note_kind::StatementRetried, caller, member, toString(code),
                now - pending.arrived, pending.tries);
    ++state.counters.retried;
    if (code == reply_code::Lagging || code == reply_code::Failed)
        pending.excludedMembers.push_back(member);
    if (code == reply_code::Busy) {
        pending.excludedMembers.push_back(member);
        pending.retryAt =
                now
                + withJitter(state, busyBackoff * std::min(pending.tries, maxBusyBackoffFactor));
    }
    placeRequest(state, caller, now);
}

} // namespace fuchsiagw::proxy
