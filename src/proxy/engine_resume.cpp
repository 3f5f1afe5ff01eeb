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

void resumeOrPauseAgain(engine &state, const promotion_state &attempt, const std::string &replica,
                        const member_status &status, core::time_point now)
{
    if (status.term >= attempt.resumeTerm)
        sendControlCommand(state, replica, command_kind::ResumeReceiving, 0, now);
    else
        sendControlCommand(state, replica, command_kind::PauseReceiving, attempt.fenceTerm, now);
}

} // namespace fuchsiagw::proxy
