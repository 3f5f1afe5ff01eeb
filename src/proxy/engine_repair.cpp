/// @file
/// @brief Repair of replicas that an earlier promotion attempt has left paused.

#include <fuchsiagw/detail/promotion_steps.hpp>

namespace fuchsiagw::proxy {

namespace {

/// Makes this attempt responsible for the replicas that were found paused.
void takePausedReplicas(service_state &service)
{
    for (const auto &[id, since] : service.pausedSince)
        service.promotion.fenced.insert(id);
    service.pausedSince.clear();
}

} // namespace

void stepRepair(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now >= attempt.phaseDeadline) {
        abortAttempt(state, service, "primary_unproven", now);
        return;
    }
    if (now < attempt.nextProbeAt)
        return;
    if (mayReplace(service.openOrders, attempt.chosen))
        pauseReplicas(state, service, now);
    attempt.nextProbeAt = now + probeInterval;
    sendControlCommand(state, attempt.chosen, command_kind::Status, 0, now);
}

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

} // namespace fuchsiagw::proxy
