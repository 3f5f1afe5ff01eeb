/// @file
/// @brief The watching side of an owner: probes, promotion and confirmations.

#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

namespace fuchsiagw::core {

using namespace detail;

namespace {

control_kind kindOf(failover_step step)
{
    switch (step) {
    case failover_step::AcceptTerm:
        return control_kind::AcceptTerm;
    case failover_step::Lead:
        return control_kind::Lead;
    case failover_step::Follow:
        return control_kind::Follow;
    case failover_step::Probe:
    case failover_step::PublishView:
    case failover_step::Claim:
        break;
    }
    return control_kind::Status;
}

void callMember(owner_context &turn, const failover_action &action)
{
    const auto member = turn.owner.view.members.find(action.member);
    if (member == turn.owner.view.members.end())
        return;
    control_call order;
    order.kind = kindOf(action.step);
    order.member = action.member;
    order.position.term = action.term;
    order.deadline = turn.now + action.timeout;
    if (action.step == failover_step::Follow) {
        const auto primary = turn.owner.view.members.find(action.primary);
        order.primary = action.primary;
        if (primary != turn.owner.view.members.end())
            order.primaryAddress = primary->second.address;
    }
    if (action.step == failover_step::Lead)
        turn.actions.emplace_back(
                owner_notice{ owner_event::PromotionStarted, action.member, action.term, {}, 0 });
    call(turn, std::move(order));
}

void perform(owner_context &turn, const failover_actions &actions)
{
    for (const failover_action &each : actions) {
        if (each.step == failover_step::PublishView)
            turn.actions.emplace_back(
                    publish_to_owners{ publishView(turn.owner.view, each.suspects, turn.now) });
        else if (each.step == failover_step::Claim)
            turn.actions.emplace_back(claim_promotion{ each.term });
        else
            callMember(turn, each);
    }
}

bool leads(const member_status &status, term_number term)
{
    return status.role == member_role::Primary && status.term == term;
}

void takeStatus(owner_context &turn, const control_call &asked, const control_answer &answer)
{
    group_owner &owner = turn.owner;
    const term_number term = asked.position.term;
    failover_state &failover = owner.failover;
    switch (asked.kind) {
    case control_kind::AcceptTerm:
        perform(turn, onAcceptTerm(failover, owner.view, { answer.accepted, *answer.status }, term,
                                   asked.sentAt, turn.now, turn.random));
        return;
    case control_kind::Lead:
        perform(turn, onStatus(failover, owner.view, *answer.status, asked.sentAt, turn.now,
                               turn.random));
        perform(turn, onLead(failover, owner.view, asked.member, term, leads(*answer.status, term),
                             turn.now, turn.random));
        return;
    case control_kind::Follow:
        perform(turn, onStatus(failover, owner.view, *answer.status, asked.sentAt, turn.now,
                               turn.random));
        onFollow(failover, asked.member, term, answer.status->term == term);
        return;
    case control_kind::Status:
    case control_kind::Wait:
        perform(turn, onStatus(failover, owner.view, *answer.status, asked.sentAt, turn.now,
                               turn.random));
        return;
    }
}

void takeFailure(owner_context &turn, const control_call &asked)
{
    group_owner &owner = turn.owner;
    const bool wasSilent = turn.now >= asked.deadline;
    const member_failure failure = wasSilent ? member_failure::Silence : member_failure::Refused;
    if (asked.kind == control_kind::Status)
        onProbeFailed(owner.failover, owner.view, asked.member, failure, turn.now, turn.random);
    else if (asked.kind == control_kind::Lead)
        perform(turn, onLead(owner.failover, owner.view, asked.member, asked.position.term, false,
                             turn.now, turn.random));
    else if (asked.kind == control_kind::Follow)
        onFollow(owner.failover, asked.member, asked.position.term, false);
}

} // namespace

void onControlAnswer(group_owner &owner, const control_answer &answer, time_point now,
                     random_engine &random, owner_actions &actions)
{
    owner_context turn{ owner, now, random, actions };
    const auto entry = owner.calls.find(answer.number);
    if (entry == owner.calls.end())
        return;
    const control_call asked = entry->second;
    owner.calls.erase(entry);
    if (asked.kind == control_kind::Wait)
        onWaitEnded(owner.pending, asked.member, asked.deadline);
    if (answer.status)
        takeStatus(turn, asked, answer);
    else
        takeFailure(turn, asked);
    reportPrimary(turn);
    settle(turn);
    pump(turn);
}

void onPeerView(group_owner &owner, const published_view &peer, time_point now,
                random_engine &random, owner_actions &actions)
{
    owner_context turn{ owner, now, random, actions };
    perform(turn, onPeerView(owner.failover, owner.view, peer, now, random));
    reportPrimary(turn);
    settle(turn);
    pump(turn);
}

void onClaim(group_owner &owner, bool granted, time_point now)
{
    onClaim(owner.failover, granted, now);
}

void promote(group_owner &owner, time_point now, random_engine &random, owner_actions &actions)
{
    owner_context turn{ owner, now, random, actions };
    perform(turn, promoteManually(owner.failover, owner.view, now, random));
}

} // namespace fuchsiagw::core

namespace fuchsiagw::detail {

using namespace core;

void watch(owner_context &turn)
{
    group_owner &owner = turn.owner;
    if (!owner.isMonitoringMembers || turn.now < owner.failover.lastTickAt + failoverTickInterval)
        return;
    failover_load load = makeFailoverLoad(owner.pending, owner.view, !owner.statements.empty());
    load.wantedAge = wantedAge(owner.interest, turn.now);
    core::perform(turn, core::onTick(owner.failover, owner.view, load, turn.now, turn.random));
    reportPrimary(turn);
}

void call(owner_context &turn, control_call order)
{
    order.number = turn.owner.nextCall++;
    order.address = turn.owner.view.members.at(order.member).address;
    order.sentAt = turn.now;
    turn.owner.calls.emplace(order.number, order);
    turn.actions.emplace_back(std::move(order));
}

void reportPrimary(owner_context &turn)
{
    group_owner &owner = turn.owner;
    if (owner.reportedPrimary == owner.view.primary)
        return;
    owner.reportedPrimary = owner.view.primary;
    const member_id primary = owner.view.primary.value_or(member_id{});
    turn.actions.emplace_back(
            owner_notice{ owner_event::PrimaryChanged, primary, owner.view.highestTerm, {}, 0 });
}

} // namespace fuchsiagw::detail
