/// @file
/// @brief Resumes the replicas that a promotion attempt has paused.

#include <fuchsiagw/detail/engine_steps.hpp>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds resumeInterval{ 150 };

} // namespace

void scheduleResume(const engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.resumeTerm = state.settings.promotionsAreFenced ? 0 : service.term;
    attempt.replicasToResume = attempt.fenced;
    attempt.replicasToResume.erase(attempt.chosen);
    attempt.nextResumeAt = attempt.replicasToResume.empty() ? core::noDeadline : now;
}

void stepResume(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    if (now < attempt.nextResumeAt)
        return;
    attempt.nextResumeAt = now + resumeInterval;
    if (attempt.replicasToResume.empty() || now >= attempt.leaseUntil) {
        attempt.replicasToResume.clear();
        attempt.nextResumeAt = core::noDeadline;
        return;
    }
    const command_kind order =
            attempt.resumeTerm == 0 ? command_kind::ResumeReceiving : command_kind::Status;
    for (const std::string &each : attempt.replicasToResume)
        sendControlCommand(state, each, order, 0, now);
}

void trackPause(engine &state, service_state &service, const std::string &replica,
                const member_status &status, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    const bool isToResume = attempt.replicasToResume.contains(replica);
    const bool waitsForTerm = isToResume && attempt.resumeTerm != 0 && !status.leads;
    const bool follows = status.term >= attempt.resumeTerm;
    const bool isPaused = status.pausedTerm != 0;
    if (waitsForTerm && isPaused && follows) {
        sendControlCommand(state, replica, command_kind::ResumeReceiving, 0, now);
    } else if (waitsForTerm && !isPaused && !follows) {
        sendControlCommand(state, replica, command_kind::PauseReceiving, attempt.fenceTerm, now);
    } else if (!isPaused) {
        attempt.replicasToResume.erase(replica);
        service.pausedSince.erase(replica);
    } else if (attempt.phase == promotion_phase::None && !isToResume) {
        service.pausedSince.try_emplace(replica, now);
        scheduleReplicaCheck(service, now);
    }
}

} // namespace fuchsiagw::proxy
