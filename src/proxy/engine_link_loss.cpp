/// @file
/// @brief Handles closed links and the answers that are lost with them.

#include <fuchsiagw/detail/answer_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// A relay that can't be reached is replaced by the next daemon for this long.
constexpr milliseconds unreachableRelayBackoff{ 1'000 };

/// Handles a relay that can't lend a connection in time: a read goes to another member, if there is
/// one; everything else is refused at once, with the time that the relay has named.
void retryElsewhere(engine &state, session &caller, const upstream_link &link, core::time_point now)
{
    request &pending = *caller.current;
    pending.excludedMembers.push_back(link.member);
    const bool hasOther = !pending.where.needsPrimary && hasUntriedMember(state, caller, now);
    if (hasOther) {
        retryRequest(state, caller, link.member, reply_code::ConnectionLimit, now);
        return;
    }
    const core::time_point useful = pending.arrived + 2 * pending.effectiveRoute.latencyObjective;
    if (now + link.retryAfter < std::min(useful, pending.deadline)) {
        pending.retryAt = now + link.retryAfter;
        retryRequest(state, caller, link.member, reply_code::ConnectionLimit, now);
        return;
    }
    refuseRequest(state, caller, refusal_reason::Overloaded, now, link.retryAfter);
}

/// @return whether the statement may be sent to another member although it may already have run
bool isSafeToResend(const session &caller, const request &pending)
{
    if (caller.state == transaction_state::Idle)
        return !pending.writes;
    // A member discards an open transaction when its connection ends.
    return pending.startsOperation && pending.statement.kind != statement_kind::Commit;
}

/// Handles an answer that is lost because its link was closed.
void onAnswerLost(engine &state, const upstream_link &link, const expected_answer &expected,
                  core::time_point now)
{
    session *caller = nullptr;
    request *pending = findPendingRequest(state, expected, caller);
    if (pending == nullptr)
        return;
    removeOutstanding(*pending, link.id);
    if (!pending->outstandingLinks.empty())
        return;
    if (link.refused) {
        unpinTransaction(*caller, nullptr);
        pending->wasSent = pending->tries > 1;
        if (link.retryAfter > core::duration::zero())
            retryElsewhere(state, *caller, link, now);
        else
            retryRequest(state, *caller, link.member, reply_code::ConnectionLimit, now);
        return;
    }
    const bool isFirst = caller->state == transaction_state::Idle || pending->startsOperation;
    if (link.recalled && isFirst) {
        unpinTransaction(*caller, nullptr);
        pending->wasSent = pending->tries > 1;
        retryRequest(state, *caller, link.member, reply_code::ConnectionLimit, now);
        return;
    }
    if (isSafeToResend(*caller, *pending)) {
        unpinTransaction(*caller, nullptr);
        pending->excludedMembers.push_back(link.member);
        noteRequest(state, note_kind::StatementRetried, *caller, link.member, "connection_lost",
                    now - pending->arrived, pending->tries);
        ++state.counters.retried;
        placeRequest(state, *caller, now);
        return;
    }
    if (caller->state == transaction_state::Idle) {
        refuseRequest(state, *caller, refusal_reason::AnswerLost, now);
        return;
    }
    const bool commits = pending->statement.kind == statement_kind::Commit;
    caller->state = commits ? transaction_state::Idle : transaction_state::Failed;
    if (commits)
        caller->transaction.reset();
    else
        caller->transaction->link = 0;
    // A member that has received no COMMIT rolls back when its connection ends.
    const bool isUnknown = commits && !link.recalled;
    refuseRequest(state, *caller,
                  isUnknown ? refusal_reason::AnswerLost : refusal_reason::TransactionLost, now);
}

} // namespace

void onLinkRecalled(engine &state, link_id id, core::time_point now)
{
    if (upstream_link *link = findLink(state, id))
        link->recalled = true;
    onLinkClosed(state, id, now);
}

void onLinkClosed(engine &state, link_id id, core::time_point now)
{
    const auto found = state.links.find(id);
    if (found == state.links.end())
        return;
    const upstream_link link = std::move(found->second);
    state.links.erase(found);
    if (!link.recalled)
        noteUnansweredStatements(state, link);
    member_state *member = findMember(state, link.member);
    if (member != nullptr) {
        member->links.erase(id);
        forgetEvidenceQuestion(*member, link);
        const bool unfinished = !link.expected.empty();
        if (link.control && unfinished)
            forgetReport(state, link.member);
        const bool opening = unfinished && link.expected.front().role == answer_role::Startup;
        const auto statements = static_cast<std::uint32_t>(
                std::count_if(link.expected.begin(), link.expected.end(), [](const auto &each) {
                    return each.role == answer_role::Statement;
                }));
        member->outstanding -=
                std::min(member->outstanding, statements + (link.awaitsBegin ? 1 : 0));
        if (opening && !link.tainted && link.relay.empty())
            avoidMember(state, *member, "no_connection", now);
        const auto relay = state.peers.find(link.relay);
        if (opening && !link.tainted && relay != state.peers.end())
            relay->second.relayAvoidedUntil = now + unreachableRelayBackoff;
    }
    if (link.pinnedTo != 0) {
        session *caller = findSession(state, link.pinnedTo);
        if (caller != nullptr && caller->transaction && caller->transaction->link == id
            && !caller->current) {
            caller->transaction->link = 0;
            caller->transaction->lost = true;
        }
    }
    for (const expected_answer &each : link.expected) {
        const bool beginsTransaction = each.role == answer_role::Confirmation && link.pinnedTo != 0;
        if (each.role == answer_role::Statement || beginsTransaction)
            onAnswerLost(state, link, each, now);
    }
}

} // namespace fuchsiagw::proxy
