/// @file
/// @brief Scheduling of the probes.

#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/detail/failover_steps.hpp>

#include <algorithm>

namespace fuchsiagw::detail {

using namespace core;

namespace {

/// Number of unanswered urgent probes after which the interval between them grows.
constexpr std::uint32_t probesAtFullRate = 8;
constexpr duration maxSilentProbeInterval = std::chrono::seconds(1);

/// @return the minimum time between two probes of a member
duration probeInterval(const probe_schedule &schedule, bool isUrgent, duration silence)
{
    const std::uint32_t unanswered = schedule.unanswered;
    if (!isUrgent)
        return exponentialDelay(silence, unanswered, maxBackoff);
    const std::uint32_t excessProbes =
            unanswered > probesAtFullRate ? (unanswered - probesAtFullRate) / 2 : 0;
    return exponentialDelay(suspectProbeInterval, excessProbes, maxSilentProbeInterval);
}

void probeMember(failover_state &state, const member_id &id, member_view &member, bool isPrimary,
                 bool isUrgent, duration silence, time_point now, random_engine &random,
                 failover_actions &actions)
{
    probe_schedule &schedule = state.probeSchedules[id];
    if (member.lastHeardAt >= schedule.lastSentAt)
        schedule.unanswered = 0;
    const bool needsProbe = !isHeardWithin(member, silence, now) || member.backoffState.failures > 0
                            || member.unverifiedSince != time_point::min();
    const bool isIntervalElapsed =
            schedule.lastSentAt == time_point::min()
            || schedule.lastSentAt + probeInterval(schedule, isUrgent, silence) <= now;
    if (!needsProbe || !isIntervalElapsed)
        return;
    if (!isPrimary && !isUrgent && member.backoffState.failures > 0) {
        if (isBackedOff(member.backoffState, now))
            return;
        // Postpones the next probe. An answer of the member clears the backoff.
        recordFailure(member.backoffState, now, random);
    }
    schedule.lastSentAt = now;
    schedule.unanswered += 1;
    if (isPrimary && state.silentSince == noDeadline)
        state.silentSince = now;
    actions.push_back(makeAction(failover_step::Probe, id, 0));
}

} // namespace

bool isHeardWithin(const member_view &member, duration window, time_point now)
{
    return member.lastHeardAt != time_point::min() && member.lastHeardAt + window >= now;
}

duration exponentialDelay(duration first, std::uint32_t times, duration longest)
{
    constexpr std::uint32_t longestExponent = 16; // keeps the shift within the width of the type
    return std::min(first * (std::int64_t{ 1 } << std::min(times, longestExponent)), longest);
}

bool isProbeOverdue(const failover_state &state, time_point now)
{
    return state.silentSince != noDeadline && now >= state.silentSince + suspectProbeInterval;
}

void clearSilence(failover_state &state)
{
    state.silentSince = noDeadline;
    state.refusedSince = noDeadline;
}
failover_action makeAction(failover_step step, const member_id &member, term_number term,
                           duration timeout)
{
    failover_action action;
    action.step = step;
    action.member = member;
    action.term = term;
    action.timeout = timeout;
    return action;
}

void probeMembers(failover_state &state, group_view &view, const failover_load &load,
                  time_point now, random_engine &random, failover_actions &actions)
{
    const member_view *primary = findPrimary(view);
    if (primary != nullptr && state.silentSince != noDeadline
        && primary->lastHeardAt >= state.silentSince)
        clearSilence(state);
    const bool isPrimaryUncertain =
            state.suspicion || state.attempt || primary == nullptr || isProbeOverdue(state, now);
    for (auto &[id, member] : view.members) {
        const bool isPrimary = view.primary == id;
        if (!isPrimary && !state.isReplicaProbingEnabled && !isPrimaryUncertain
            && member.backoffState.failures > 0)
            continue;
        duration silence = load.hasWork ? replicaProbeAfterSilence : idleProbeAfterSilence;
        if (isPrimary && load.hasWork)
            silence = primaryProbeAfterSilence;
        if (load.wantedAge > duration::zero()) {
            // Entries that a replica holds but has not applied will be visible to reads soon.
            const bool isApplying = member.applied < member.last;
            const duration fresh = isApplying ? minFreshProbeInterval : load.wantedAge / 3;
            silence = std::min(silence, std::max(fresh, minFreshProbeInterval));
        }
        if (isPrimaryUncertain && !isPrimary)
            silence = suspectProbeInterval;
        probeMember(state, id, member, isPrimary, isPrimaryUncertain || (isPrimary && load.hasWork),
                    silence, now, random, actions);
    }
}

} // namespace fuchsiagw::detail
