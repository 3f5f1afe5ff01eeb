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
constexpr milliseconds peersStepDownTimeout{ 300 };
/// A datagram may be lost.
constexpr milliseconds requestInterval{ 50 };
/// Longer than the pause between two attempts.
constexpr std::chrono::seconds deposedValidity{ 5 };

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

bool areWritesHeld(const service_state &service, const std::string &member)
{
    return mayBeReplaced(service, member);
}

bool isPromotionLate(const service_state &service, core::time_point now)
{
    return isFenced(service, service.leader, now)
           && now - service.fenceFrom >= promotionEffectTimeout;
}

void adoptTerm(service_state &service, core::term_number term)
{
    if (term <= service.term)
        return;
    service.term = term;
    if (service.promotion.phase == promotion_phase::None)
        service.fenceFrom = core::noDeadline;
}

leader_report termReport(const service_state &service)
{
    leader_report report;
    report.service = service.name;
    report.member = service.leader;
    report.term = service.term;
    return report;
}

bool isOfEarlierTerm(const service_state &service, const peer_message &message)
{
    return !message.leaders.empty() && message.leaders.front().term < service.term;
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

void recordDeposed(service_state &service, const std::string &member, core::term_number term,
                   core::log_position received, core::time_point now)
{
    if (term == service.term)
        service.deposed = deposed_primary{ member, term, received, now + deposedValidity };
}

void learnDeposed(engine &state, service_state &service, const leader_report &log,
                  core::time_point now)
{
    recordDeposed(service, log.member, log.term, log.position, now);
    if (service.leader == log.member && findDeposed(service, log.member, now) != nullptr)
        loseLeader(state, service, log.member, now);
}

leader_report deposedReport(const service_state &service)
{
    leader_report log;
    log.service = service.name;
    log.member = service.deposed->member;
    log.term = service.deposed->term;
    log.position = service.deposed->received;
    return log;
}

const deposed_primary *findDeposed(const service_state &service, const std::string &member,
                                   core::time_point now)
{
    const bool isKnown = service.deposed && service.deposed->member == member
                         && service.deposed->term == service.term
                         && now < service.deposed->validUntil;
    return isKnown ? &*service.deposed : nullptr;
}

bool applyDeposed(service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    const deposed_primary *deposed = findDeposed(service, attempt.oldPrimary, now);
    if (deposed == nullptr || attempt.completesOrder || isPlanned(attempt.cause))
        return false;
    attempt.stepDownSent = true;
    attempt.reports[attempt.oldPrimary] = { false, deposed->term, deposed->received, 0 };
    attempt.peersStepDownUntil = now;
    attempt.nextProbeAt = now;
    return true;
}

bool askPeersForStepDown(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (attempt.peersReaching.empty() || attempt.completesOrder || isPlanned(attempt.cause))
        return false;
    attempt.peersStepDownUntil = now + peersStepDownTimeout;
    attempt.nextProbeAt = now;
    repeatStepDownRequest(state, service, now);
    return true;
}

void repeatStepDownRequest(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now < attempt.nextProbeAt)
        return;
    attempt.nextProbeAt = std::min(now + requestInterval, attempt.peersStepDownUntil);
    peer_message request = makeMessage(state, peer_message_kind::StepDownRequest);
    request.askedAtUs = attempt.startedAt.time_since_epoch().count();
    request.subject = service.name;
    request.member = attempt.oldPrimary;
    request.leaders.push_back(termReport(service));
    for (const std::string &peer : attempt.peersReaching)
        state.out.emplace_back(send_to_peer{ peer, request });
}

void onStepDownRequest(engine &state, const peer_message &message, core::time_point now)
{
    service_state *service = findService(state, message.subject);
    if (service == nullptr || isOfEarlierTerm(*service, message)
        || findMember(state, message.member) == nullptr)
        return;
    if (service->leader != message.member && deposedPrimary(*service) != message.member)
        return;
    service->stepDownAskedBy = message.from;
    service->stepDownAskedAtUs = message.askedAtUs;
    sendControlCommand(state, message.member, command_kind::StepDown, service->term + 1, now);
}

void answerStepDownRequest(engine &state, service_state &service, const std::string &member,
                           const member_status &status, core::time_point now)
{
    const bool isAsked = member == service.leader || member == deposedPrimary(service);
    if (service.stepDownAskedBy.empty() || !isAsked || status.leads)
        return;
    peer_message answer = makeMessage(state, peer_message_kind::StepDownAnswer);
    answer.askedAtUs = service.stepDownAskedAtUs;
    answer.subject = service.name;
    answer.member = member;
    recordDeposed(service, member, status.term, status.received, now);
    if (findDeposed(service, member, now) == nullptr)
        return; // another member leads a newer term
    answer.leaders.push_back(deposedReport(service));
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
    // If another member was promoted meanwhile, this log does not bound the commits.
    learnDeposed(state, *service, log, now);
    applyDeposed(*service, now);
}

bool isTransactionFenced(const engine &state, const session &caller, core::time_point now)
{
    if (!caller.transaction || !caller.transaction->wrote || caller.transaction->link == 0)
        return false;
    const auto link = state.links.find(caller.transaction->link);
    const auto service = state.services.find(caller.transaction->effectiveRoute.service);
    if (link == state.links.end() || service == state.services.end())
        return false;
    const std::string &member = link->second.member;
    const bool commits = caller.current && caller.current->statement.kind == statement_kind::Commit;
    return isFenced(service->second, member, now)
           || (commits && needsReceipt(state, service->second)
               && areWritesHeld(service->second, member));
}

void pauseNewReplica(service_state &service, core::time_point now)
{
    if (service.guardTerm != 0)
        service.nextGuardAt = now;
    if (service.promotion.phase >= promotion_phase::Fencing)
        service.promotion.nextProbeAt = now;
}

} // namespace fuchsiagw::proxy
