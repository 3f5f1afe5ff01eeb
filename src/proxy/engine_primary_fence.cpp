/// @file
/// @brief Fences the primary that an open promotion order would replace.
///
/// The member of an open order must have every acknowledged commit. Pauses of the other replicas
/// keep that only for replicas that a daemon knows: one that has just joined or restarted receives
/// before it can be paused. So the present primary has to acknowledge nothing: it is ordered to
/// step down as soon as it is reached, gets no writes, and what it still acknowledges is not passed
/// on.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds stepDownInterval{ 100 };
/// Time for the answer of a peer that orders the old primary to step down.
constexpr milliseconds peersStepDownTimeout{ 150 };

/// @return whether an open order, of this daemon or of another one, would replace a member
bool mayBeReplaced(const service_state &service, const std::string &member)
{
    return mayReplace(service.openOrders, member)
           || (!service.noticedOrder.empty() && service.noticedOrder != member);
}

/// @return the member of the newest order that this daemon knows
const std::string &orderedMember(const service_state &service)
{
    const bool isOwn = !service.openOrders.empty();
    return isOwn ? service.openOrders.back().member : service.noticedOrder;
}

void reportFence(engine &state, service_state &service, core::time_point now)
{
    if (service.fenceReported == service.leader)
        return;
    service.fenceReported = service.leader;
    decision_note note;
    note.kind = note_kind::PrimaryFenced;
    note.service = service.name;
    note.member = service.leader;
    note.reason = service.openOrders.empty() ? "notice" : "order_open";
    note.position.term = service.term;
    note.age = now - service.fenceFrom;
    if (!service.openOrders.empty())
        note.number = static_cast<std::int64_t>(service.openOrders.back().token);
    state.out.emplace_back(std::move(note));
}

} // namespace

void fencePrimary(service_state &service, core::time_point from)
{
    const bool isOpen = mayBeReplaced(service, service.leader);
    service.fenceFrom = isOpen ? std::min(service.fenceFrom, from) : from;
}

bool isFenced(const service_state &service, const std::string &member, core::time_point now)
{
    return now >= service.fenceFrom && mayBeReplaced(service, member);
}

std::string deposedPrimary(const service_state &service)
{
    const bool isDeposed = service.leader.empty() && service.lastLeaderTerm == service.term;
    return isDeposed ? service.lastLeader : std::string();
}

void stepFence(engine &state, service_state &service, core::time_point now)
{
    if (service.fenceFrom == core::noDeadline)
        return;
    if (!isFenced(service, service.leader, now)) {
        service.fenceReported.clear();
        return;
    }
    const member_state *leader = findMember(state, service.leader);
    // A primary whose own order is the newest leads on; the older ones are void once it is
    // accepted.
    if (leader == nullptr || now < service.nextStepDownAt
        || orderedMember(service) == service.leader)
        return;
    reportFence(state, service, now);
    const bool guards = service.promotion.phase != promotion_phase::None || service.guardTerm != 0;
    if (leader->unresponsiveSince != core::noDeadline && !guards)
        return;
    service.nextStepDownAt = now + stepDownInterval;
    sendControlCommand(state, service.leader, command_kind::StepDown, service.term + 1, now);
}

bool askPeersForStepDown(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (attempt.peersReaching.empty() || attempt.completesOrder || isPlanned(attempt.cause))
        return false;
    attempt.peersStepDownUntil = now + peersStepDownTimeout;
    peer_message request = makeMessage(state, peer_message_kind::StepDownRequest);
    request.askedAtUs = attempt.startedAt.time_since_epoch().count();
    request.subject = service.name;
    request.member = attempt.oldPrimary;
    for (const std::string &peer : attempt.peersReaching)
        state.out.emplace_back(send_to_peer{ peer, request });
    return true;
}

void onStepDownRequest(engine &state, const peer_message &message, core::time_point now)
{
    service_state *service = findService(state, message.subject);
    if (service == nullptr || service->leader != message.member
        || findMember(state, message.member) == nullptr)
        return;
    service->stepDownAskedBy = message.from;
    service->stepDownAskedAtUs = message.askedAtUs;
    sendControlCommand(state, service->leader, command_kind::StepDown, service->term + 1, now);
}

void answerStepDownRequest(engine &state, service_state &service, const std::string &member,
                           const member_status &status, core::time_point now)
{
    if (service.stepDownAskedBy.empty() || member != service.leader || status.leads)
        return;
    peer_message answer = makeMessage(state, peer_message_kind::StepDownAnswer);
    answer.askedAtUs = service.stepDownAskedAtUs;
    answer.subject = service.name;
    answer.member = member;
    leader_report log;
    log.service = service.name;
    log.member = member;
    log.term = status.term;
    log.position = status.received;
    answer.leaders.push_back(std::move(log));
    state.out.emplace_back(send_to_peer{ service.stepDownAskedBy, std::move(answer) });
    service.stepDownAskedBy.clear();
    loseLeader(state, service, member, now);
}

void onStepDownAnswer(engine &state, const peer_message &message, core::time_point now)
{
    service_state *service = findService(state, message.subject);
    if (service == nullptr || message.leaders.empty())
        return;
    promotion_state &attempt = service->promotion;
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (attempt.phase != promotion_phase::Fencing || attempt.startedAt != asked
        || attempt.oldPrimary != message.member || attempt.completesOrder)
        return;
    const leader_report &log = message.leaders.front();
    if (log.term > attempt.oldTerm)
        return; // another member was promoted meanwhile, so its log does not bound the commits
    attempt.stepDownSent = true;
    attempt.peerReportedStepDown = true;
    attempt.reports[attempt.oldPrimary] = { false, log.term, log.position, 0 };
    attempt.peersStepDownUntil = now;
    attempt.nextProbeAt = now;
}

bool isTransactionFenced(const engine &state, const session &caller, core::time_point now)
{
    if (!caller.transaction || !caller.transaction->wrote || caller.transaction->link == 0)
        return false;
    const auto link = state.links.find(caller.transaction->link);
    const auto service = state.services.find(caller.transaction->effectiveRoute.service);
    return link != state.links.end() && service != state.services.end()
           && isFenced(service->second, link->second.member, now);
}

void pauseNewReplica(service_state &service, core::time_point now)
{
    if (service.guardTerm != 0)
        service.nextGuardAt = now;
    if (service.promotion.phase >= promotion_phase::Fencing)
        service.promotion.nextProbeAt = now;
}

} // namespace fuchsiagw::proxy
