/// @file
/// @brief Promotion of a new primary when a group has no usable primary: its phases over time.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds peerQueryTimeout{ 100 };
constexpr milliseconds peerQueryInterval{ 40 }; // a datagram may be lost
constexpr milliseconds tokenTimeout{ 1'500 };
/// The lease in the store lasts 3 s; the difference allows for the latency of the store's answer.
constexpr milliseconds usableLeaseDuration{ 2'700 };
constexpr int maxUnansweredRenewals = 2;
/// Others can draw a token in this time.
constexpr milliseconds handOverTime{ 3'200 };
/// If a witness does not answer, the old primary is ordered to step down after this time.
constexpr milliseconds stepDownDelay{ 400 };

void drawToken(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    enterPhase(attempt, promotion_phase::DrawingToken, now + tokenTimeout);
    // Counted from the request; the lease in the store starts later, when the store answers.
    attempt.leaseUntil = now + usableLeaseDuration;
    state.out.emplace_back(acquire_fencing_token{ service.name });
}

/// Asks the peers that have not answered whether they reach the old primary.
void queryPeers(engine &state, service_state &service, core::time_point now)
{
    constexpr std::size_t maxPeersAsked = 16;
    promotion_state &attempt = service.promotion;
    attempt.nextProbeAt = now + peerQueryInterval;
    peer_message query = makeMessage(state, peer_message_kind::ReachabilityRequest);
    query.askedAtUs = attempt.startedAt.time_since_epoch().count();
    query.subject = service.name;
    query.member = attempt.oldPrimary;
    std::size_t peersAsked = 0;
    for (const auto &[name, peer] : state.peers) {
        if (peersAsked++ >= maxPeersAsked)
            return;
        if (!attempt.peersReaching.contains(name) && !attempt.peersNotReaching.contains(name))
            state.out.emplace_back(send_to_peer{ name, query });
    }
}

void beginAttempt(engine &state, service_state &service, promotion_cause cause,
                  core::time_point now)
{
    promotion_state &attempt = service.promotion;
    const core::time_point earliestStartAt = attempt.earliestStartAt;
    if (earliestStartAt == core::time_point{} || now - earliestStartAt > std::chrono::seconds(2)) {
        // On the first detection, the attempt is delayed by rank and jitter, so that one daemon
        // acts before the others start.
        attempt.earliestStartAt = now + startDelay(state, service);
        return;
    }
    attempt = {};
    attempt.cause = cause;
    attempt.startedAt = now;
    attempt.oldPrimary = service.leader;
    if (service.leader.empty() && findDeposed(service, service.lastLeader, now) != nullptr)
        attempt.oldPrimary = service.lastLeader;
    attempt.oldTerm = service.term;
    attempt.earliestStartAt = now;
    logPromotion(state, note_kind::PromotionStarted, service, toString(cause), now);
    askPeersForCommits(state, service, now);
    const bool primaryServes = isPlanned(cause) || cause == promotion_cause::ReplicaPaused
                               || cause == promotion_cause::OrderOpen;
    if (primaryServes || state.peers.empty()) {
        drawToken(state, service, now);
        return;
    }
    enterPhase(attempt, promotion_phase::QueryingPeers, now + peerQueryTimeout);
    queryPeers(state, service, now);
}

/// @brief Orders the old primary to step down. If a witness does not answer, only the old primary
/// knows which commits were acknowledged.
void stepDownOldPrimary(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    const member_state *old = findMember(state, attempt.oldPrimary);
    // Beside an open order the replicas must stay paused.
    if (attempt.stepDownSent || old == nullptr || !old->listed || !service.openOrders.empty())
        return;
    attempt.stepDownSent = true;
    // The replicas resume, so their earlier reports no longer bound the acknowledged commits; only
    // the old primary's answer does.
    attempt.reports.clear();
    scheduleResume(state, service, "old_primary_steps_down", now);
    sendControlCommand(state, attempt.oldPrimary, command_kind::StepDown, attempt.fenceTerm, now);
}

void stepFencing(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (isRepair(attempt)) {
        stepRepair(state, service, now);
        return;
    }
    askPeersForCommits(state, service, now);
    tryToOrderPromotion(state, service, now);
    if (attempt.phase != promotion_phase::Fencing)
        return;
    if (attempt.completesOrder) {
        stepCompletion(state, service, now);
        return;
    }
    if (now >= attempt.phaseDeadline) {
        abortAttempt(state, service, "members_missing", now);
        return;
    }
    if (now < attempt.peersStepDownUntil) {
        repeatStepDownRequest(state, service, now);
        return;
    }
    if (now - attempt.startedAt >= stepDownDelay + peerQueryTimeout)
        stepDownOldPrimary(state, service, now);
    if (now >= attempt.nextProbeAt) {
        if (attempt.stepDownSent) {
            attempt.nextProbeAt = now + probeInterval;
            for (const std::string &each : electableMembers(state, service))
                sendControlCommand(state, each, command_kind::Status, 0, now);
            // An old primary that a peer has stepped down may follow another one since.
            if (!attempt.reports.contains(attempt.oldPrimary)
                || attempt.peersStepDownUntil != core::time_point{})
                sendControlCommand(state, attempt.oldPrimary, command_kind::StepDown,
                                   attempt.fenceTerm, now);
        } else {
            pauseReplicas(state, service, now);
        }
    }
}

/// Renews the pauses on which the attempt's order rests, and the notice of it.
void renewOrder(engine &state, service_state &service, core::time_point now)
{
    keepOthersPaused(state, service, now);
    stepOrderNotice(state, service, now);
}

/// Ends an attempt before another daemon can draw a token. The next one of this daemon starts at
/// once and renews the lease, so that the daemons do not order in turn. After several leases
/// without an answer it lets others try, which may reach the platform.
bool endsWithLease(engine &state, service_state &service, core::time_point now)
{
    if (now < service.promotion.leaseUntil)
        return false;
    const bool isAnswered = service.promotion.isAnswered;
    abortAttempt(state, service, "lease_expired", now);
    service.unansweredLeases = isAnswered ? 0 : service.unansweredLeases + 1;
    const bool renews = service.unansweredLeases <= maxUnansweredRenewals;
    service.promotion.earliestStartAt = renews ? now : now + handOverTime;
    if (!renews)
        service.unansweredLeases = 0;
    return true;
}

void stepPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    switch (attempt.phase) {
    case promotion_phase::None: {
        if (now < attempt.earliestStartAt)
            return;
        if (const auto cause = findPromotionCause(state, service, now))
            beginAttempt(state, service, *cause, now);
        return;
    }
    case promotion_phase::QueryingPeers:
        if (now < attempt.phaseDeadline) {
            if (now >= attempt.nextProbeAt)
                queryPeers(state, service, now);
            return;
        }
        attempt.nextProbeAt = core::noDeadline;
        if (attempt.peersReaching.size() > attempt.peersNotReaching.size()
            && !service.leader.empty()) {
            abortAttempt(state, service, "peers_reach_it", now);
            return;
        }
        drawToken(state, service, now);
        return;
    case promotion_phase::DrawingToken:
        if (now >= attempt.phaseDeadline)
            abortAttempt(state, service, "no_token", now);
        return;
    case promotion_phase::Fencing:
        stepFencing(state, service, now);
        return;
    case promotion_phase::RecordingOrder:
        if (now >= attempt.phaseDeadline)
            abortAttempt(state, service, "order_not_recorded", now);
        else if (now >= attempt.nextProbeAt)
            renewOrder(state, service, now);
        return;
    case promotion_phase::Ordering:
        if (endsWithLease(state, service, now))
            return;
        if (now >= attempt.phaseDeadline) {
            noteUnanswered(state, service, now);
            enterPhase(attempt, promotion_phase::AwaitingLeader, now + orderTimeout * 2);
        }
        if (now >= attempt.nextProbeAt)
            renewOrder(state, service, now);
        return;
    case promotion_phase::AwaitingLeader:
        if (endsWithLease(state, service, now))
            return;
        if (now >= attempt.phaseDeadline) {
            enterPhase(attempt, promotion_phase::Ordering, now + orderTimeout);
            state.out.emplace_back(order_promotion{ service.name, attempt.chosen, attempt.token,
                                                    attempt.leaseUntil });
            return;
        }
        if (now >= attempt.nextProbeAt)
            renewOrder(state, service, now);
    }
}

} // namespace

void stepPromotions(engine &state, core::time_point now)
{
    for (auto &[name, service] : state.services) {
        stepPromotion(state, service, now);
        stepResume(state, service, now);
        stepGuard(state, service, now);
        stepFence(state, service, now);
    }
}

core::time_point nextPromotionStep(const engine &state)
{
    core::time_point due = core::noDeadline;
    for (const auto &[name, service] : state.services) {
        if (service.fenceFrom > state.lastTimerAt)
            due = std::min(due, service.fenceFrom);
        due = std::min({ due, service.promotion.phaseDeadline, service.promotion.nextProbeAt,
                         service.promotion.nextResumeAt, service.nextGuardAt });
    }
    return due;
}

} // namespace fuchsiagw::proxy
