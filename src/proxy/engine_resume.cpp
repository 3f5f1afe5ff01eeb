/// @file
/// @brief Resumes the replicas that a promotion attempt has paused.

#include <fuchsiagw/detail/engine_steps.hpp>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds resumeInterval{ 150 };

} // namespace

void scheduleResume(service_state &service, core::term_number term, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.resumeTerm = term;
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

} // namespace fuchsiagw::proxy
