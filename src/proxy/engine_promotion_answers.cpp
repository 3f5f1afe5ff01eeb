/// @file
/// @brief Promotion attempts: answers of the store, the platform and the members.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// Retry interval while the operator has switched promotions off.
constexpr milliseconds switchedOffRetryInterval{ 5'000 };

/// @return whether the attempt has not ordered a promotion yet and assumes that no member leads
bool assumesNoLeader(const promotion_state &attempt)
{
    const bool basedOnSilence = !attempt.completesOrder
                                && (attempt.cause == promotion_cause::PrimarySilent
                                    || attempt.cause == promotion_cause::NoPrimary);
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
    if (hasReceiver(attempt) && member == attempt.chosen)
        return true;
    return attempt.fenced.contains(member) && status.pausedTerm >= attempt.fenceTerm;
}

/// Records what the status shows of the member's role, whatever the state of a promotion.
void learnRole(engine &state, service_state &service, const std::string &memberId,
               const member_status &status, core::time_point sentAt, core::time_point now)
{
    const bool isFenced = state.settings.promotionsAreFenced;
    if (status.leads) {
        const auto proven = isFenced ? std::optional(status.received) : std::nullopt;
        learnLeader(state, service, memberId, status.term, proven, sentAt, now);
        if (service.leader == memberId)
            closeOrdersOf(state, service, memberId, sentAt, now);
        return;
    }
    recordReplicaReport(state, service, memberId, { sentAt, status.received }, now);
    onReplicaPosition(state, service, memberId, status.received, sentAt, now);
    if (memberId == deposedPrimary(service))
        recordDeposed(service, memberId, status.term, status.received, now);
    if (service.leader != memberId || sentAt <= service.leaderProvenAt)
        return;
    if (proxy::isFenced(service, memberId, now)) {
        recordDeposed(service, memberId, status.term, status.received, now);
        logPromotion(state, note_kind::PrimarySteppedDown, service, "order_open", now);
        loseLeader(state, service, memberId, now);
    } else if (!isFenced && service.promotion.phase == promotion_phase::None) {
        // A replaced primary has stepped down, by an order or since it has reached its successor.
        loseLeader(state, service, memberId, now);
    }
}

/// Ends an attempt whose reason a status contradicts.
/// @return whether the attempt has ended
bool abortIfContradicted(engine &state, service_state &service, const member_status &status,
                         core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (status.leads && assumesNoLeader(attempt)) {
        abortAttempt(state, service, "primary_leads", now);
        return true;
    }
    if (!isOutdated(attempt, status))
        return false;
    abortAttempt(state, service, "newer_term", now);
    adoptTerm(service, status.term);
    loseLeader(state, service, attempt.oldPrimary, now);
    return true;
}

void recordReport(promotion_state &attempt, const std::string &memberId,
                  const member_status &status)
{
    if (countsAsReport(attempt, memberId, status))
        attempt.reports[memberId] = status;
    else if (attempt.phase == promotion_phase::Fencing)
        attempt.reports.erase(memberId); // it was paused, and has restarted since
}

/// @return whether the status shows that the ordered promotion has taken effect, and that no
/// earlier order can
bool showsPromotion(const promotion_state &attempt, const std::string &memberId,
                    const member_status &status, core::time_point askedAt)
{
    if (attempt.phase != promotion_phase::AwaitingLeader || !status.leads
        || memberId != attempt.chosen)
        return false;
    // The primary of a repair leads already.
    if (!isRepair(attempt))
        return attempt.orderAccepted || !attempt.hasRivalOrders;
    const core::duration margin =
            attempt.hasRivalOrders ? core::duration(promotionEffectTimeout) : core::duration(0);
    return attempt.orderAccepted && askedAt >= attempt.acceptedAt + margin;
}

/// Orders a replaced primary to step down where it would go on until it learns of its successor.
void stepDownReplaced(engine &state, const promotion_state &attempt, core::term_number term,
                      core::time_point now)
{
    const member_state *old = findMember(state, attempt.oldPrimary);
    const bool goesOn = !state.settings.promotionsAreFenced && attempt.oldPrimary != attempt.chosen;
    if (goesOn && old != nullptr && old->listed)
        sendControlCommand(state, attempt.oldPrimary, command_kind::StepDown, term, now);
}

void continueAttempt(engine &state, service_state &service, const std::string &memberId,
                     const member_status &status, core::time_point sentAt, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    // A member rejects a pause under a term that is not higher than its own; the order is repeated
    // with a higher term, unless that is the term of an ordered promotion that has taken effect.
    if (!attempt.orderSent)
        attempt.fenceTerm = std::max(attempt.fenceTerm, status.term + 1);
    trackReceiver(attempt, memberId, status);
    if (abortIfContradicted(state, service, status, now))
        return;
    if (memberId == attempt.oldPrimary)
        attempt.oldPrimaryLeads = status.leads;
    const bool isFencing = attempt.phase == promotion_phase::Fencing;
    if (isFencing && isRepair(attempt)) {
        onRepairAnswer(state, service, memberId, status, sentAt, now);
        return;
    }
    recordReport(attempt, memberId, status);
    if (showsPromotion(attempt, memberId, status, sentAt)) {
        stepDownReplaced(state, attempt, status.term, now);
        finishPromotion(state, service, now);
    } else if (isFencing) {
        tryToOrderPromotion(state, service, now);
    }
}

void onOrderAccepted(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.orderAccepted = true;
    attempt.acceptedAt = now;
    // A repair voids the earlier orders, but one that was accepted shortly before may still take
    // effect.
    const bool mayTakeEffect = isRepair(attempt) && attempt.hasRivalOrders;
    if (state.settings.promotionsAreFenced && !mayTakeEffect)
        service.openOrders = { { attempt.token, attempt.chosen } };
    enterPhase(attempt, promotion_phase::AwaitingLeader, now + orderTimeout * 3);
}

/// This order was rejected, but an earlier copy without an answer may take effect later. The token
/// then orders no other member, since the platform would not reject that copy.
void onOrderRejected(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    const member_state *member = findMember(state, attempt.chosen);
    // A member that is listed may run again when an earlier order is carried out.
    const bool isGone = member == nullptr || !member->listed;
    if (!attempt.orderUnanswered) {
        if (state.settings.promotionsAreFenced)
            dropRejectedOrder(service.openOrders, { attempt.token, attempt.chosen });
        else
            service.openOrders.clear(); // no later token would void the order
    }
    if (attempt.completesOrder && isGone && !attempt.orderUnanswered && now < attempt.leaseUntil) {
        leaveCompletion(state, service, "member_not_running", now);
        return;
    }
    attempt.orderSent = attempt.orderUnanswered;
    if (!attempt.orderSent)
        state.out.emplace_back(
                record_open_orders{ service.name, attempt.token, service.openOrders });
    abortAttempt(state, service, "fenced_off", now);
}

} // namespace

void onTokenAcquired(engine &state, const std::string &serviceName, std::uint64_t token,
                     core::time_point now, const open_orders &orders)
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
        service->openOrders = orders;
        abortAttempt(state, *service, "token_came_late", now);
        return;
    }
    attempt.fenceTerm = service->term + 1;
    if (!applyOpenOrders(state, *service, orders, now))
        return;
    if (isRepair(attempt)) {
        startRepair(state, *service, now);
        return;
    }
    enterPhase(attempt, promotion_phase::Fencing,
               std::min(now + fencingTimeout, attempt.leaseUntil));
    logPromotion(state, note_kind::PromotionStep, *service, "fencing", now);
    if (!applyDeposed(*service, now) && !askPeersForStepDown(state, *service, now))
        pauseReplicas(state, *service, now);
}

void onTokenHeldElsewhere(engine &state, const std::string &serviceName, core::time_point until,
                          core::time_point now, const open_orders &orders, std::uint64_t version)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    stopGuard(*service);
    abortAttempt(state, *service, "held_by_other", now);
    service->promotion.earliestStartAt = until + startDelay(state, *service);
    helpGuard(state, *service, orders, version, until, now);
}

void onPromotionsDisabled(engine &state, const std::string &serviceName, core::time_point now)
{
    service_state *service = findService(state, serviceName);
    if (service == nullptr || service->promotion.phase != promotion_phase::DrawingToken)
        return;
    abortAttempt(state, *service, "switched_off", now);
    service->promotion.earliestStartAt = now + switchedOffRetryInterval;
}

void onPromoteAnswer(engine &state, const order_promotion &order, promote_outcome outcome,
                     core::time_point now)
{
    service_state *service = findService(state, order.service);
    if (service == nullptr)
        return;
    promotion_state &attempt = service->promotion;
    const bool isCurrent = attempt.token == order.token && attempt.chosen == order.member;
    // A second copy may be under way when the first one is accepted.
    const bool isAwaited = attempt.phase == promotion_phase::Ordering
                           || (attempt.phase == promotion_phase::AwaitingLeader
                               && outcome == promote_outcome::Ordered);
    if (!isCurrent || !isAwaited)
        return;
    attempt.isAnswered = attempt.isAnswered || outcome != promote_outcome::NoAnswer;
    switch (outcome) {
    case promote_outcome::Ordered:
        onOrderAccepted(state, *service, now);
        break;
    case promote_outcome::NoAnswer:
        noteUnanswered(state, *service, now);
        // The primary leads already, so only an answer shows that a repair has taken effect.
        enterPhase(attempt, promotion_phase::AwaitingLeader,
                   now + (isRepair(attempt) ? refusedOrderDelay : orderTimeout * 3));
        break;
    case promote_outcome::FencedOff:
        onOrderRejected(state, *service, now);
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
    const member_status &status = *answer.status;
    answerStepDownRequest(state, *service, memberId, status, now);
    learnRole(state, *service, memberId, status, sentAt, now);
    trackPause(state, *service, memberId, status, now);
    watchReceiver(state, *service, memberId, status, sentAt, now);
    if (service->promotion.phase != promotion_phase::None)
        continueAttempt(state, *service, memberId, status, sentAt, now);
}

} // namespace fuchsiagw::proxy
