/// @file
/// @brief Promotion of a new primary when a group has no usable primary.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds peerQueryTimeout{ 100 };
constexpr milliseconds tokenTimeout{ 1'500 };
/// Shorter than the lease, so that no other daemon acts before this one has ended its attempt.
constexpr milliseconds fencingTimeout{ 2'000 };
/// The lease in the store lasts 3 s; the difference allows for the latency of the store's answer.
constexpr milliseconds usableLeaseDuration{ 2'700 };
/// If a witness does not answer, the old primary is ordered to step down after this time.
constexpr milliseconds stepDownDelay{ 400 };
constexpr milliseconds probeInterval{ 40 };
constexpr milliseconds orderTimeout{ 700 };
constexpr milliseconds refusedOrderDelay{ 120 };
constexpr milliseconds retryDelay{ 400 };
/// Retry interval while the operator has switched promotions off.
constexpr milliseconds switchedOffRetryInterval{ 5'000 };
/// Daemons that detect the same failure start one after the other, in an order that differs by
/// service, so that the first one acts before the others request a token from the store.
constexpr milliseconds startJitter{ 60 };
constexpr milliseconds startStagger{ 90 };
/// Daemons of a higher rank start together with the daemon of this rank.
constexpr std::size_t maxStartRank = 12;

core::duration randomBelow(engine &state, core::duration bound)
{
    return core::duration(static_cast<std::int64_t>(
            core::drawBelow(state.random, static_cast<std::uint64_t>(bound.count()))));
}

core::duration startDelay(engine &state, service_state &service)
{
    const std::size_t rank = std::min(serviceRank(state, service), maxStartRank);
    return startStagger * static_cast<int>(rank) + randomBelow(state, startJitter);
}

void logPromotion(engine &state, note_kind kind, const service_state &service,
                  std::string_view reason, core::time_point now)
{
    const promotion_state &attempt = service.promotion;
    decision_note note;
    note.kind = kind;
    note.service = service.name;
    note.member = attempt.chosen.empty() ? attempt.oldPrimary : attempt.chosen;
    note.reason = reason;
    note.number = static_cast<std::int64_t>(attempt.token);
    note.age = now - attempt.startedAt;
    const auto report = attempt.reports.find(attempt.chosen);
    if (report != attempt.reports.end())
        note.position = report->second.received;
    state.out.emplace_back(std::move(note));
}

void enterPhase(promotion_state &attempt, promotion_phase phase, core::time_point until)
{
    attempt.phase = phase;
    attempt.phaseDeadline = until;
}

void drawToken(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    enterPhase(attempt, promotion_phase::DrawingToken, now + tokenTimeout);
    // Counted from the request; the lease in the store starts later, when the store answers.
    attempt.leaseUntil = now + usableLeaseDuration;
    state.out.emplace_back(acquire_fencing_token{ service.name });
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
    attempt.oldTerm = service.term;
    attempt.earliestStartAt = now;
    logPromotion(state, note_kind::PromotionStarted, service, toString(cause), now);
    const bool primaryServes =
            cause == promotion_cause::PrimaryDraining || cause == promotion_cause::ReplicaPaused;
    if (primaryServes || state.peers.empty()) {
        drawToken(state, service, now);
        return;
    }
    enterPhase(attempt, promotion_phase::QueryingPeers, now + peerQueryTimeout);
    peer_message query;
    query.kind = peer_message_kind::ReachabilityRequest;
    query.from = state.settings.node;
    query.incarnation = state.incarnation;
    query.subject = service.name;
    query.member = attempt.oldPrimary;
    std::size_t peersAsked = 0;
    constexpr std::size_t maxPeersAsked = 16;
    for (const auto &[name, peer] : state.peers) {
        if (peersAsked++ < maxPeersAsked)
            state.out.emplace_back(send_to_peer{ name, query });
    }
}

/// @brief Ends an attempt and resumes the replicas that it paused, unless an ordered promotion may
/// still take effect.
void abortAttempt(engine &state, service_state &service, std::string_view reason,
                  core::time_point now)
{
    promotion_state &attempt = service.promotion;
    logPromotion(state, note_kind::PromotionEnded, service, reason, now);
    if (!attempt.orderSent) {
        attempt.chosen.clear();
        scheduleResume(state, service, now);
    }
    attempt.phase = promotion_phase::None;
    attempt.earliestStartAt = now + retryDelay + randomBelow(state, retryDelay);
    attempt.nextProbeAt = core::noDeadline;
    attempt.phaseDeadline = core::noDeadline;
}

/// @brief Orders the old primary to step down. If a witness does not answer, only the old primary
/// knows which commits were acknowledged.
void stepDownOldPrimary(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    const member_state *old = findMember(state, attempt.oldPrimary);
    if (attempt.stepDownSent || old == nullptr || !old->listed)
        return;
    attempt.stepDownSent = true;
    // The replicas resume, so their earlier reports no longer bound the acknowledged commits; only
    // the old primary's answer does.
    attempt.reports.clear();
    scheduleResume(state, service, now);
    sendControlCommand(state, attempt.oldPrimary, command_kind::StepDown, attempt.fenceTerm, now);
}

/// @return whether the attempt has not ordered a promotion yet and assumes that no member leads
bool assumesNoLeader(const promotion_state &attempt)
{
    const bool basedOnSilence = attempt.cause == promotion_cause::PrimarySilent
                                || attempt.cause == promotion_cause::NoPrimary;
    const bool beforeOrder = attempt.phase == promotion_phase::QueryingPeers
                             || attempt.phase == promotion_phase::DrawingToken
                             || attempt.phase == promotion_phase::Fencing;
    return basedOnSilence && beforeOrder;
}

/// @return whether a status shows that another member was promoted since the old primary led. Then
/// neither the old primary's log nor the replicas' bounds the acknowledged commits.
bool isOutdated(const promotion_state &attempt, const member_status &status)
{
    return attempt.phase == promotion_phase::Fencing && attempt.oldTerm != 0
           && status.term > attempt.oldTerm;
}

/// @return whether a status bounds the commits that the members can have acknowledged: the member
/// is paused for this attempt, or its log can only grow from now on
bool countsAsReport(const promotion_state &attempt, const std::string &member,
                    const member_status &status)
{
    if (attempt.phase != promotion_phase::Fencing)
        return false;
    if (attempt.stepDownSent)
        return member != attempt.oldPrimary || !status.leads;
    if (attempt.cause == promotion_cause::PrimaryDraining && member == attempt.chosen)
        return true;
    return attempt.fenced.contains(member) && status.pausedTerm >= attempt.fenceTerm;
}

void orderPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.orderSent = true;
    ++state.counters.promotionsOrdered;
    attempt.replicasToResume.clear();
    attempt.nextResumeAt = core::noDeadline;
    const auto report = attempt.reports.find(attempt.chosen);
    if (report != attempt.reports.end())
        trackReceiver(attempt, attempt.chosen, report->second);
    keepOthersPaused(state, service, now);
    enterPhase(attempt, promotion_phase::Ordering, now + orderTimeout);
    logPromotion(state, note_kind::PromotionStep, service, "ordered", now);
    state.out.emplace_back(
            order_promotion{ service.name, attempt.chosen, attempt.token, attempt.leaseUntil });
}

void tryToOrderPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now >= attempt.leaseUntil
        || (attempt.stepDownSent && !attempt.reports.contains(attempt.oldPrimary)))
        return;
    std::set<std::string> electable = electableMembers(state, service);
    if (attempt.cause == promotion_cause::PrimaryDraining && !attempt.stepDownSent
        && !attempt.chosen.empty()) {
        for (auto each = electable.begin(); each != electable.end();)
            each = *each == attempt.chosen ? std::next(each) : electable.erase(each);
    }
    const promotion_choice choice =
            chooseNewPrimary(attempt, electable, witnessesOf(state, service, now));
    if (choice.member.empty() || choice.waitsForCatchUp)
        return;
    attempt.chosen = choice.member;
    orderPromotion(state, service, now);
}

/// Makes this attempt responsible for the replicas that were found paused.
void takePausedReplicas(service_state &service)
{
    for (const auto &[id, since] : service.pausedSince)
        service.promotion.fenced.insert(id);
    service.pausedSince.clear();
}

void stepRepair(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now >= attempt.phaseDeadline) {
        abortAttempt(state, service, "primary_unproven", now);
        return;
    }
    if (now < attempt.nextProbeAt)
        return;
    attempt.nextProbeAt = now + probeInterval;
    sendControlCommand(state, attempt.chosen, command_kind::Status, 0, now);
}

/// Starts a repair: promoting the present primary changes nothing, but the new fencing token
/// invalidates all earlier orders, so that the replicas can safely be resumed.
void startRepair(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.chosen = attempt.oldPrimary;
    if (!state.settings.promotionsAreFenced) {
        // Without fencing the order would invalidate nothing, and promote a replaced primary.
        takePausedReplicas(service);
        abortAttempt(state, service, "replicas_resumed", now);
        return;
    }
    attempt.repairAskedAt = now;
    enterPhase(attempt, promotion_phase::Fencing,
               std::min(now + fencingTimeout, attempt.leaseUntil));
    attempt.nextProbeAt = now;
    stepRepair(state, service, now);
}

/// Orders the repair once the primary has shown, under the token, that it leads. The order would
/// bring back a primary that was replaced, without the commits of its successor.
void onRepairAnswer(engine &state, service_state &service, const std::string &memberId,
                    const member_status &status, core::time_point sentAt, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (memberId != attempt.chosen || sentAt < attempt.repairAskedAt)
        return;
    if (!status.leads) {
        abortAttempt(state, service, "primary_replaced", now);
        loseLeader(state, service, memberId, now);
        return;
    }
    takePausedReplicas(service);
    orderPromotion(state, service, now);
}

void stepFencing(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (attempt.cause == promotion_cause::ReplicaPaused) {
        stepRepair(state, service, now);
        return;
    }
    tryToOrderPromotion(state, service, now);
    if (attempt.phase != promotion_phase::Fencing)
        return;
    if (now >= attempt.phaseDeadline) {
        abortAttempt(state, service, "members_missing", now);
        return;
    }
    if (now - attempt.startedAt >= stepDownDelay + peerQueryTimeout)
        stepDownOldPrimary(state, service, now);
    if (now >= attempt.nextProbeAt) {
        if (attempt.stepDownSent) {
            attempt.nextProbeAt = now + probeInterval;
            for (const std::string &each : electableMembers(state, service))
                sendControlCommand(state, each, command_kind::Status, 0, now);
            if (!attempt.reports.contains(attempt.oldPrimary))
                sendControlCommand(state, attempt.oldPrimary, command_kind::StepDown,
                                   attempt.fenceTerm, now);
        } else {
            pauseReplicas(state, service, now);
        }
    }
}

void finishPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    logPromotion(state, note_kind::PromotionDone, service, "leads", now);
    scheduleResume(state, service, now);
    attempt.phase = promotion_phase::None;
    attempt.nextProbeAt = core::noDeadline;
    attempt.phaseDeadline = core::noDeadline;
    attempt.earliestStartAt = now + retryDelay;
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
        if (now < attempt.phaseDeadline)
            return;
        if (attempt.peersReaching.size() > attempt.peersNotReaching.size()) {
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
    case promotion_phase::Ordering:
        if (now >= attempt.phaseDeadline) {
            attempt.orderUnanswered = true;
            enterPhase(attempt, promotion_phase::AwaitingLeader, now + orderTimeout * 2);
        }
        if (now >= attempt.nextProbeAt)
            keepOthersPaused(state, service, now);
        return;
    case promotion_phase::AwaitingLeader:
        if (now >= attempt.phaseDeadline) {
            if (now >= attempt.leaseUntil) {
                // Another daemon may hold the token by now; only a new token may order again.
                abortAttempt(state, service, "lease_expired", now);
                return;
            }
            enterPhase(attempt, promotion_phase::Ordering, now + orderTimeout);
            state.out.emplace_back(order_promotion{ service.name, attempt.chosen, attempt.token,
                                                    attempt.leaseUntil });
            return;
        }
        if (now >= attempt.nextProbeAt)
            keepOthersPaused(state, service, now);
    }
}

} // namespace

void stepPromotions(engine &state, core::time_point now)
{
    for (auto &[name, service] : state.services) {
        stepPromotion(state, service, now);
        stepResume(state, service, now);
    }
}

core::time_point nextPromotionStep(const engine &state)
{
    core::time_point due = core::noDeadline;
    for (const auto &[name, service] : state.services)
        due = std::min({ due, service.promotion.phaseDeadline, service.promotion.nextProbeAt,
                         service.promotion.nextResumeAt });
    return due;
}

void onTokenAcquired(engine &state, const std::string &serviceName, std::uint64_t token,
                     core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    promotion_state &attempt = service->promotion;
    if (token == 0) {
        abortAttempt(state, *service, "no_token", now);
        return;
    }
    attempt.token = token;
    // Reports sent before fencing are discarded: a member that was still receiving may since have
    // received more than it reported.
    attempt.reports.clear();
    if (now >= attempt.leaseUntil) {
        abortAttempt(state, *service, "token_came_late", now);
        return;
    }
    attempt.fenceTerm = service->term + 1;
    if (attempt.cause == promotion_cause::ReplicaPaused) {
        startRepair(state, *service, now);
        return;
    }
    enterPhase(attempt, promotion_phase::Fencing,
               std::min(now + fencingTimeout, attempt.leaseUntil));
    logPromotion(state, note_kind::PromotionStep, *service, "fencing", now);
    pauseReplicas(state, *service, now);
}

void onTokenHeldElsewhere(engine &state, const std::string &serviceName, core::time_point until,
                          core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    abortAttempt(state, *service, "held_by_other", now);
    service->promotion.earliestStartAt = until + startDelay(state, *service);
}

void onPromotionsDisabled(engine &state, const std::string &serviceName, core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    abortAttempt(state, *service, "switched_off", now);
    service->promotion.earliestStartAt = now + switchedOffRetryInterval;
}

void onPromoteAnswer(engine &state, const std::string &serviceName, promote_outcome outcome,
                     core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::Ordering)
        return;
    promotion_state &attempt = service->promotion;
    switch (outcome) {
    case promote_outcome::Ordered:
        attempt.orderAccepted = true;
        enterPhase(attempt, promotion_phase::AwaitingLeader, now + orderTimeout * 3);
        break;
    case promote_outcome::NoAnswer:
        attempt.orderUnanswered = true;
        // The primary leads already, so only an answer shows that a repair has taken effect.
        if (attempt.cause == promotion_cause::ReplicaPaused)
            enterPhase(attempt, promotion_phase::AwaitingLeader, now + refusedOrderDelay);
        else
            enterPhase(attempt, promotion_phase::AwaitingLeader, now + orderTimeout * 3);
        break;
    case promote_outcome::FencedOff:
        // This order was rejected, but an earlier one without an answer may take effect later.
        attempt.orderSent = attempt.orderUnanswered;
        abortAttempt(state, *service, "fenced_off", now);
        break;
    case promote_outcome::Refused:
        enterPhase(attempt, promotion_phase::AwaitingLeader, now + refusedOrderDelay);
        break;
    }
}

void onControlAnswer(engine &state, const std::string &memberId, const reply &answer,
                     core::time_point sentAt, core::time_point now)
{
    const member_state *member = findMember(state, memberId);
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    if (service == nullptr || !answer.status)
        return;
    promotion_state &attempt = service->promotion;
    const member_status &status = *answer.status;
    if (status.leads) {
        const auto proven =
                state.settings.promotionsAreFenced ? std::optional(status.received) : std::nullopt;
        learnLeader(state, *service, memberId, status.term, proven, sentAt, now);
    } else {
        recordReplicaReport(state, *service, memberId, { sentAt, status.received }, now);
        // A replaced primary has stepped down, by an order or since it has reached its successor.
        if (!state.settings.promotionsAreFenced && service->promotion.phase == promotion_phase::None
            && service->leader == memberId && sentAt > service->leaderProvenAt)
            loseLeader(state, *service, memberId, now);
    }
    trackPause(state, *service, memberId, status, now);
    if (attempt.phase == promotion_phase::None)
        return;
    // A member rejects a pause under a term that is not higher than its own; the order is repeated
    // with a higher term, unless that is the term of an ordered promotion that has taken effect.
    if (!attempt.orderSent)
        attempt.fenceTerm = std::max(attempt.fenceTerm, status.term + 1);
    trackReceiver(attempt, memberId, status);
    if (status.leads && assumesNoLeader(attempt)) {
        abortAttempt(state, *service, "primary_leads", now);
        return;
    }
    if (isOutdated(attempt, status)) {
        service->term = std::max(service->term, status.term);
        abortAttempt(state, *service, "newer_term", now);
        loseLeader(state, *service, attempt.oldPrimary, now);
        return;
    }
    const bool isRepair = attempt.cause == promotion_cause::ReplicaPaused;
    if (attempt.phase == promotion_phase::Fencing && isRepair) {
        onRepairAnswer(state, *service, memberId, status, sentAt, now);
        return;
    }
    if (countsAsReport(attempt, memberId, status))
        attempt.reports[memberId] = status;
    else if (attempt.phase == promotion_phase::Fencing)
        attempt.reports.erase(memberId); // it was paused, and has restarted since
    const bool showsEffect = !isRepair || attempt.orderAccepted;
    if (attempt.phase == promotion_phase::AwaitingLeader && status.leads
        && memberId == attempt.chosen && showsEffect) {
        const member_state *old = findMember(state, attempt.oldPrimary);
        if (!state.settings.promotionsAreFenced && attempt.oldPrimary != attempt.chosen
            && old != nullptr && old->listed)
            sendControlCommand(state, attempt.oldPrimary, command_kind::StepDown, status.term, now);
        finishPromotion(state, *service, now);
        return;
    }
    if (attempt.phase == promotion_phase::Fencing)
        tryToOrderPromotion(state, *service, now);
}

} // namespace fuchsiagw::proxy
