/// @file
/// @brief Pauses the replicas of a group for a promotion, and resumes them afterwards.

#include <fuchsiagw/detail/engine_steps.hpp>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds pauseInterval{ 40 };
constexpr milliseconds resumeInterval{ 150 };
/// Interval at which the pauses are renewed until an ordered promotion has taken effect.
constexpr milliseconds renewInterval{ 60 };
/// A member without an entry in the store may be gone for good: it is asked less often, and the
/// promotion waits for it no longer than this.
constexpr milliseconds unlistedPauseInterval{ 200 };
constexpr milliseconds unlistedAnswerTimeout{ 300 };

/// At a planned replacement one replica goes on receiving: pausing all others makes every further
/// commit depend on it.
/// @return the electable replica that answered last; empty if none is responsive
std::string chooseReceiver(const engine &state, const service_state &service)
{
    std::string result;
    core::time_point newest{};
    for (const std::string &id : electableMembers(state, service)) {
        const member_state &member = state.members.at(id);
        const bool better = result.empty() || member.lastAnswerAt > newest;
        if (member.unresponsiveSince != core::noDeadline || !better)
            continue;
        result = id;
        newest = member.lastAnswerAt;
    }
    return result;
}

/// @return whether a member without an entry is due to be asked; then schedules the next time
bool takeUnlistedTurn(promotion_state &attempt, member_state &member, core::time_point now)
{
    const bool isFirst =
            attempt.unlistedDeadlines.try_emplace(member.entry.id, now + unlistedAnswerTimeout)
                    .second;
    // Only what the member does from now on shows whether it runs.
    if (isFirst)
        member.unresponsiveSince = core::noDeadline;
    if (!isFirst && now < member.nextProbeAt)
        return false;
    member.nextProbeAt = now + unlistedPauseInterval;
    return true;
}

/// Orders every replica to pause, except the one that goes on receiving.
void pauseOthers(engine &state, service_state &service, const std::string &receiver,
                 core::time_point now)
{
    promotion_state &attempt = service.promotion;
    for (const std::string &id : service.members) {
        member_state &member = state.members.at(id);
        if (id == attempt.oldPrimary || id == receiver)
            continue;
        if (!member.listed && !takeUnlistedTurn(attempt, member, now))
            continue;
        if (attempt.fenced.insert(id).second)
            noteReplica(state, note_kind::ReplicaPaused, service, id, toString(attempt.cause), now);
        sendControlCommand(state, id, command_kind::PauseReceiving, attempt.fenceTerm, now);
    }
}

} // namespace

void noteReplica(engine &state, note_kind kind, const service_state &service,
                 const std::string &replica, std::string_view reason, core::time_point now)
{
    decision_note note;
    note.kind = kind;
    note.service = service.name;
    note.member = replica;
    note.reason = reason;
    note.age = now - service.promotion.startedAt;
    note.number = static_cast<std::int64_t>(service.promotion.token);
    state.out.emplace_back(std::move(note));
}

void pauseReplicas(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.nextProbeAt = now + pauseInterval;
    if (isPlanned(attempt.cause) && attempt.chosen.empty())
        attempt.chosen = chooseReceiver(state, service);
    const std::string receiver = hasReceiver(attempt) ? attempt.chosen : std::string();
    if (!receiver.empty())
        sendControlCommand(state, receiver,
                           attempt.completesOrder ? command_kind::ResumeReceiving
                                                  : command_kind::Status,
                           0, now);
    pauseOthers(state, service, receiver, now);
}

void keepOthersPaused(engine &state, service_state &service, core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.nextProbeAt = now + renewInterval;
    const bool isPaused = attempt.fenced.contains(attempt.chosen);
    sendControlCommand(state, attempt.chosen,
                       isPaused ? command_kind::ResumeReceiving : command_kind::Status, 0, now);
    if (!isRepair(attempt) || attempt.hasRivalOrders)
        pauseOthers(state, service, attempt.chosen, now);
}

void trackReceiver(promotion_state &attempt, const std::string &replica,
                   const member_status &status)
{
    if (!attempt.orderSent || replica != attempt.chosen)
        return;
    if (status.pausedTerm == 0)
        attempt.fenced.erase(replica);
    else
        attempt.fenced.insert(replica);
}

void forgetReport(engine &state, const std::string &memberId)
{
    const member_state *member = findMember(state, memberId);
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    if (service == nullptr || service->promotion.phase != promotion_phase::Fencing)
        return;
    promotion_state &attempt = service->promotion;
    // The report of a peer does not rest on the connections of this daemon.
    if (!attempt.peerReportedStepDown || memberId != attempt.oldPrimary)
        attempt.reports.erase(memberId);
}

void scheduleResume(engine &state, service_state &service, std::string_view reason,
                    core::time_point now)
{
    promotion_state &attempt = service.promotion;
    attempt.resumeTerm = state.settings.promotionsAreFenced ? 0 : service.term;
    attempt.replicasToResume = attempt.fenced;
    attempt.replicasToResume.erase(attempt.chosen);
    attempt.nextResumeAt = attempt.replicasToResume.empty() ? core::noDeadline : now;
    for (const std::string &each : attempt.replicasToResume)
        noteReplica(state, note_kind::ReplicaResumed, service, each, reason, now);
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
