/// @file
/// @brief Steps of a promotion attempt that several of its events share.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds retryDelay{ 400 };
/// Daemons that detect the same failure start one after the other, in an order that differs by
/// service, so that the first one acts before the others request a token from the store.
constexpr milliseconds startJitter{ 60 };
constexpr milliseconds startStagger{ 90 };
/// Daemons of a higher rank start together with the daemon of this rank.
constexpr std::size_t maxStartRank = 12;

/// Time in which replicas receive the last commits of a primary that has stepped down.
constexpr milliseconds catchUpTimeout{ 200 };

/// @return whether no replica has received the last commits of an old primary that a peer has
/// ordered to step down
bool lacksStepDownCommits(engine &state, const promotion_state &attempt, core::time_point now)
{
    const member_state *old = findMember(state, attempt.oldPrimary);
    return attempt.peersStepDownUntil != core::time_point{} && old != nullptr && old->listed
           && !old->entry.draining && now - attempt.peersStepDownUntil >= catchUpTimeout;
}

core::duration randomBelow(engine &state, core::duration bound)
{
    return core::duration(static_cast<std::int64_t>(
            core::drawBelow(state.random, static_cast<std::uint64_t>(bound.count()))));
}

} // namespace

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

void abortAttempt(engine &state, service_state &service, std::string_view reason,
                  core::time_point now)
{
    promotion_state &attempt = service.promotion;
    logPromotion(state, note_kind::PromotionEnded, service, reason, now);
    if (attempt.orderSent)
        logPromotion(state, note_kind::PromotionOrderOpen, service, reason, now);
    if (attempt.orderSent || mayReplace(service.openOrders, service.leader)) {
        // The pauses hold on, because commits must not be acknowledged without the member of an
        // order that may still take effect.
        if (attempt.token != 0)
            startGuard(service, now);
    } else {
        attempt.chosen.clear();
        scheduleResume(state, service, reason, now);
    }
    attempt.phase = promotion_phase::None;
    attempt.earliestStartAt = now + retryDelay + randomBelow(state, retryDelay);
    attempt.nextProbeAt = core::noDeadline;
    attempt.phaseDeadline = core::noDeadline;
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
    // A primary that is replaced as planned serves until then, as the chosen member receives.
    const bool serves = isPlanned(attempt.cause) && !attempt.completesOrder;
    fencePrimary(service, serves ? now + promotionEffectTimeout : now);
    addOrder(service.openOrders, { attempt.token, attempt.chosen });
    service.openOrdersKnownAt = now;
    attempt.hasRivalOrders = !promoteOnly(service.openOrders, attempt.chosen);
    service.nextOrderNoticeAt = now;
    stepOrderNotice(state, service, now);
    enterPhase(attempt, promotion_phase::RecordingOrder, attempt.leaseUntil);
    state.out.emplace_back(record_open_orders{ service.name, attempt.token, service.openOrders });
}

void sendOrder(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    enterPhase(attempt, promotion_phase::Ordering, now + orderTimeout);
    logPromotion(state, note_kind::PromotionStep, service, "ordered", now);
    state.out.emplace_back(
            order_promotion{ service.name, attempt.chosen, attempt.token, attempt.leaseUntil });
}

void noteUnanswered(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    fencePrimary(service, now);
    if (!std::exchange(attempt.orderUnanswered, true))
        logPromotion(state, note_kind::PromotionOrderOpen, service, "no_answer", now);
}

void tryToOrderPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now >= attempt.leaseUntil
        || (attempt.stepDownSent && !attempt.reports.contains(attempt.oldPrimary)))
        return;
    std::set<std::string> electable = electableMembers(state, service);
    if (attempt.completesOrder)
        electable = { attempt.chosen };
    else if (hasReceiver(attempt) && !attempt.stepDownSent && !attempt.chosen.empty())
        std::erase_if(electable, [&](const auto &each) { return each != attempt.chosen; });
    std::set<std::string> witnesses = witnessesOf(state, service, now);
    if (attempt.completesOrder)
        witnesses.erase(deposedPrimary(service));
    promotion_choice choice = chooseNewPrimary(attempt, electable, witnesses);
    const bool isFinal = !hasReceiver(attempt) && !attempt.stepDownSent;
    if (choice.waitsForCatchUp && isFinal && !state.evacuation.zones.empty()) {
        // The replicas are paused and the primary is lost, so none of them will catch up.
        attempt.mayElectEvacuated = true;
        choice = chooseNewPrimary(attempt, electableMembers(state, service), witnesses);
    }
    if (choice.waitsForCatchUp && lacksStepDownCommits(state, attempt, now)) {
        // Only the old primary has all commits that were acknowledged, so it leads again.
        attempt.cause = promotion_cause::ReplicaPaused;
        choice = { attempt.oldPrimary, false };
    }
    if (choice.member.empty() || choice.waitsForCatchUp)
        return;
    attempt.chosen = choice.member;
    orderPromotion(state, service, now);
}

void finishPromotion(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    logPromotion(state, note_kind::PromotionDone, service, "leads", now);
    logPromotion(state, note_kind::PromotionOrderClosed, service, "leads", now);
    service.openOrders.clear();
    stopGuard(service);
    // An order without an answer stays recorded: it may be carried out once more, which changes
    // nothing while its member leads.
    if (!attempt.orderUnanswered)
        state.out.emplace_back(record_open_orders{ service.name, attempt.token, {} });
    else if (attempt.orderAccepted && attempt.hasRivalOrders)
        state.out.emplace_back(record_open_orders{
                service.name, attempt.token, { { attempt.token, attempt.chosen } } });
    scheduleResume(state, service, "leads", now);
    attempt.phase = promotion_phase::None;
    attempt.nextProbeAt = core::noDeadline;
    attempt.phaseDeadline = core::noDeadline;
    attempt.earliestStartAt = now + retryDelay;
}

} // namespace fuchsiagw::proxy
