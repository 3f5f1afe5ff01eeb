/// @file
/// @brief Group owner: control requests for probes, promotion and confirmations.

#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

namespace fuchsiagw::core {

using namespace detail;

namespace {

control_kind controlKindFor(failover_step step)
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

void callMember(owner_context &context, const failover_action &action)
{
    const auto member = context.owner.view.members.find(action.member);
    if (member == context.owner.view.members.end())
        return;
    control_call request;
    request.kind = controlKindFor(action.step);
    request.member = action.member;
    request.position.term = action.term;
    request.deadline = context.now + action.timeout;
    if (action.step == failover_step::Follow) {
        const auto primary = context.owner.view.members.find(action.primary);
        request.primary = action.primary;
        if (primary != context.owner.view.members.end())
            request.primaryAddress = primary->second.address;
    }
    if (action.step == failover_step::Lead)
        context.actions.emplace_back(
                owner_notice{ owner_event::PromotionStarted, action.member, action.term, {}, 0 });
    sendControlRequest(context, std::move(request));
}

void performActions(owner_context &context, const failover_actions &actions)
{
    for (const failover_action &each : actions) {
        if (each.step == failover_step::PublishView)
            context.actions.emplace_back(publish_to_owners{
                    publishView(context.owner.view, each.suspects, context.now) });
        else if (each.step == failover_step::Claim)
            context.actions.emplace_back(claim_promotion{ each.term });
        else
            callMember(context, each);
    }
}

bool isLeading(const member_status &status, term_number term)
{
    return status.role == member_role::Primary && status.term == term;
}

void processStatus(owner_context &context, const control_call &request,
                   const control_answer &answer)
{
    group_owner &owner = context.owner;
    const term_number term = request.position.term;
    failover_state &failover = owner.failover;
    switch (request.kind) {
    case control_kind::AcceptTerm:
        performActions(context,
                       onAcceptTerm(failover, owner.view, { answer.accepted, *answer.status }, term,
                                    request.sentAt, context.now, context.random));
        return;
    case control_kind::Lead:
        performActions(context, onStatus(failover, owner.view, *answer.status, request.sentAt,
                                         context.now, context.random));
        performActions(context,
                       onLead(failover, owner.view, request.member, term,
                              isLeading(*answer.status, term), context.now, context.random));
        return;
    case control_kind::Follow:
        performActions(context, onStatus(failover, owner.view, *answer.status, request.sentAt,
                                         context.now, context.random));
        onFollow(failover, request.member, term, answer.status->term == term);
        return;
    case control_kind::Status:
    case control_kind::Wait:
        performActions(context, onStatus(failover, owner.view, *answer.status, request.sentAt,
                                         context.now, context.random));
        return;
    }
}

void processFailure(owner_context &context, const control_call &request)
{
    group_owner &owner = context.owner;
    const bool wasSilent = context.now >= request.deadline;
    const member_failure failure = wasSilent ? member_failure::Silence : member_failure::Refused;
    if (request.kind == control_kind::Status)
        onProbeFailed(owner.failover, owner.view, request.member, failure, context.now,
                      context.random);
    else if (request.kind == control_kind::Lead)
        performActions(context, onLead(owner.failover, owner.view, request.member,
                                       request.position.term, false, context.now, context.random));
    else if (request.kind == control_kind::Follow)
        onFollow(owner.failover, request.member, request.position.term, false);
}

} // namespace

void onControlAnswer(group_owner &owner, const control_answer &answer, time_point now,
                     random_engine &random, owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    const auto entry = owner.calls.find(answer.number);
    if (entry == owner.calls.end())
        return;
    const control_call request = entry->second;
    owner.calls.erase(entry);
    if (request.kind == control_kind::Wait)
        onWaitEnded(owner.pending, request.member, request.deadline);
    if (answer.status)
        processStatus(context, request, answer);
    else
        processFailure(context, request);
    reportPrimary(context);
    resolvePending(context);
    dispatchQueued(context);
}

void onPeerView(group_owner &owner, const published_view &peer, time_point now,
                random_engine &random, owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    performActions(context, onPeerView(owner.failover, owner.view, peer, now, random));
    reportPrimary(context);
    resolvePending(context);
    dispatchQueued(context);
}

void onClaim(group_owner &owner, bool granted, time_point now)
{
    onClaim(owner.failover, granted, now);
}

void promote(group_owner &owner, time_point now, random_engine &random, owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    performActions(context, promoteManually(owner.failover, owner.view, now, random));
}

} // namespace fuchsiagw::core

namespace fuchsiagw::detail {

using namespace core;

void monitorMembers(owner_context &context)
{
    group_owner &owner = context.owner;
    if (!owner.isMonitoringMembers
        || context.now < owner.failover.lastTickAt + failoverTickInterval)
        return;
    failover_load load = makeFailoverLoad(owner.pending, owner.view, !owner.statements.empty());
    load.wantedAge = wantedAge(owner.interest, context.now);
    core::performActions(
            context, core::onTick(owner.failover, owner.view, load, context.now, context.random));
    reportPrimary(context);
}

void sendControlRequest(owner_context &context, control_call request)
{
    request.number = context.owner.nextCall++;
    request.address = context.owner.view.members.at(request.member).address;
    request.sentAt = context.now;
    context.owner.calls.emplace(request.number, request);
    context.actions.emplace_back(std::move(request));
}

void reportPrimary(owner_context &context)
{
    group_owner &owner = context.owner;
    if (owner.reportedPrimary == owner.view.primary)
        return;
    owner.reportedPrimary = owner.view.primary;
    const member_id primary = owner.view.primary.value_or(member_id{});
    context.actions.emplace_back(
            owner_notice{ owner_event::PrimaryChanged, primary, owner.view.highestTerm, {}, 0 });
}

} // namespace fuchsiagw::detail
