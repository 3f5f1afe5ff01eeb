/// @file
/// @brief When which member is probed.

#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/detail/failover_steps.hpp>

#include <algorithm>

namespace fuchsiagw::detail {

using namespace core;

namespace {

/// Probes of a primary without an answer after which their interval starts to grow.
constexpr std::uint32_t probesAtFullRate = 8;
constexpr duration silentProbeLongest = std::chrono::seconds(1);

/// @return how long after the last sign or probe the next probe is due
duration probeInterval(const probe_schedule &schedule, bool isUrgent, duration silence)
{
    const std::uint32_t unanswered = schedule.unanswered;
    if (!isUrgent)
        return doubled(silence, unanswered, maxBackoff);
    const std::uint32_t beyond =
            unanswered > probesAtFullRate ? (unanswered - probesAtFullRate) / 2 : 0;
    return doubled(probeEvery, beyond, silentProbeLongest);
}

void probeMember(failover_state &state, const member_id &id, member_view &member, bool isPrimary,
                 bool isUrgent, duration silence, time_point now, random_engine &random,
                 failover_actions &actions)
{
    probe_schedule &schedule = state.schedule[id];
    if (member.lastHeard >= schedule.sent)
        schedule.unanswered = 0;
    const bool isQuiet = !isHeardWithin(member, silence, now) || member.pause.failures > 0
                         || member.doubtedAt != time_point::min();
    const bool isSpaced = schedule.sent == time_point::min()
                          || schedule.sent + probeInterval(schedule, isUrgent, silence) <= now;
    if (!isQuiet || !isSpaced)
        return;
    if (!isPrimary && !isUrgent && member.pause.failures > 0) {
        if (isBackedOff(member.pause, now))
            return;
        // Moves the next probe; an answer clears the backoff.
        recordFailure(member.pause, now, random);
    }
    schedule.sent = now;
    schedule.unanswered += 1;
    if (isPrimary && state.silentSince == noDeadline)
        state.silentSince = now;
    actions.push_back(makeAction(failover_step::Probe, id, 0));
}

} // namespace

bool isHeardWithin(const member_view &member, duration window, time_point now)
{
    return member.lastHeard != time_point::min() && member.lastHeard + window >= now;
}

duration doubled(duration first, std::uint32_t times, duration longest)
{
    constexpr std::uint32_t longestExponent = 16; // keeps the shift defined
    return std::min(first * (std::int64_t{ 1 } << std::min(times, longestExponent)), longest);
}

bool isProbeOverdue(const failover_state &state, time_point now)
{
    return state.silentSince != noDeadline && now >= state.silentSince + probeEvery;
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
        && primary->lastHeard >= state.silentSince)
        clearSilence(state);
    const bool isAlarmed =
            state.suspicion || state.attempt || primary == nullptr || isProbeOverdue(state, now);
    for (auto &[id, member] : view.members) {
        const bool isPrimary = view.primary == id;
        if (!isPrimary && !state.probes && !isAlarmed && member.pause.failures > 0)
            continue;
        duration silence = load.hasWork ? replicaProbeAfterSilence : idleProbeAfterSilence;
        if (isPrimary && load.hasWork)
            silence = probeAfterSilence;
        if (load.wantedAge > duration::zero()) {
            // What a replica holds but does not show yet will be visible very soon.
            const bool isApplying = member.applied < member.last;
            const duration fresh = isApplying ? freshProbeShortest : load.wantedAge / 3;
            silence = std::min(silence, std::max(fresh, freshProbeShortest));
        }
        if (isAlarmed && !isPrimary)
            silence = probeEvery;
        probeMember(state, id, member, isPrimary, isAlarmed || (isPrimary && load.hasWork), silence,
                    now, random, actions);
    }
}

} // namespace fuchsiagw::detail
