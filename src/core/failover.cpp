/// @file
/// @brief Failure detection and promotion of a new primary in a database group.

#include <fuchsiagw/core/failover.hpp>
#include <fuchsiagw/detail/failover_steps.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

using namespace detail;

namespace {

/// Minimum interval between views that are published in reply to peers.
constexpr duration minPublishInterval = std::chrono::milliseconds(50);
std::int64_t timeoutFactor(const failover_state &state)
{
    std::int64_t factor = 1;
    for (std::size_t i = 0; i < state.promotions.size() && factor < maxTimeoutFactor; ++i)
        factor *= 2;
    return factor;
}

void clearSuspicion(failover_state &state)
{
    state.suspicion.reset();
    state.attemptStartAt = noDeadline;
    state.isPostponedByClaim = false;
}

failover_action makeFollow(const group_view &view, const member_id &member)
{
    failover_action action = makeAction(failover_step::Follow, member, view.highestTerm);
    action.primary = *view.primary;
    return action;
}

void publish(failover_state &state, bool suspects, time_point now, failover_actions &actions)
{
    failover_action action;
    action.step = failover_step::PublishView;
    action.suspects = suspects;
    actions.push_back(action);
    state.lastPublishedAt = now;
}

/// Counts the members that can grant a term now, without the primary to be replaced.
std::size_t countReachable(const group_view &view, const std::optional<member_id> &except,
                           time_point now)
{
    const auto count =
            std::count_if(view.members.begin(), view.members.end(), [&](const auto &each) {
                return each.first != except && isHeardWithin(each.second, reachabilityWindow, now);
            });
    return static_cast<std::size_t>(count);
}

// ---- causes of a promotion ----

bool isSilent(const failover_state &state, time_point now)
{
    const std::int64_t factor = timeoutFactor(state);
    const duration silenceTimeout = suspectAfter * factor;
    // If a peer has received an answer from the primary recently, only the path between this owner
    // and the primary is cut. A refused connection is an answer of the primary's host, so it is
    // outweighed only by an answer that a peer received later.
    if (state.refusedSince != noDeadline && now >= state.refusedSince + suspectAfterRefused * factor
        && state.lastHeardByPeer < state.refusedSince)
        return true;
    const bool isHeardByPeer =
            state.lastHeardByPeer != time_point::min()
            && state.lastHeardByPeer + silenceTimeout + primaryProbeAfterSilence > now;
    if (isHeardByPeer)
        return false;
    return state.silentSince != noDeadline && now >= state.silentSince + silenceTimeout;
}

bool isUnconfirmed(const failover_state &state, const group_view &view, const failover_load &load,
                   time_point now)
{
    if (load.oldestUnconfirmed == noDeadline)
        return false;
    const duration confirmationTimeout =
            std::max(unconfirmedTimeout, load.confirmDelay * 2) * timeoutFactor(state);
    if (now < load.oldestUnconfirmed + confirmationTimeout
        || now < state.resumedAt + confirmationTimeout)
        return false;
    // With slow replication the logs of the replicas still advance. Replicas that only lag are no
    // reason for a promotion.
    return std::none_of(view.members.begin(), view.members.end(), [&](const auto &each) {
        const member_view &member = each.second;
        return each.first != *view.primary && member.lastAdvancedAt != time_point::min()
               && member.lastAdvancedAt + confirmationTimeout > now;
    });
}

bool canReplaceLeaving(const group_view &view, time_point now)
{
    return std::any_of(view.members.begin(), view.members.end(), [&](const auto &each) {
        return !each.second.leaving && isHeardWithin(each.second, followReachabilityWindow, now);
    });
}

std::optional<failover_cause> findCause(const failover_state &state, const group_view &view,
                                        const failover_load &load, time_point now)
{
    if (now < state.manualPromotionDeadline)
        return failover_cause::Manual;
    const bool isOwnTerm =
            state.highestAttemptedTerm != 0 && state.highestAttemptedTerm == view.highestTerm;
    if (const member_view *primary = findPrimary(view); primary != nullptr) {
        if (!state.isPromotionEnabled)
            return std::nullopt;
        if (primary->leaving && canReplaceLeaving(view, now))
            return failover_cause::Leaving;
        if (isSilent(state, now))
            return failover_cause::Silence;
        if (isUnconfirmed(state, view, load, now))
            return failover_cause::Unconfirmed;
        return std::nullopt;
    }
    // An attempt of this owner has fenced the old primary. It is completed even if automatic
    // promotion has been turned off since, as the group would otherwise stay without a primary.
    if (isOwnTerm)
        return failover_cause::NoPrimary;
    const bool isOverdue = now >= view.primarySince + noPrimaryTimeout
                           && now >= state.resumedAt + startupGracePeriod;
    return state.isPromotionEnabled && isOverdue ? std::optional(failover_cause::NoPrimary)
                                                 : std::nullopt;
}

// ---- follow requests ----

/// Sends accept_term to members under an old term and `follow` to members whose log does not
/// advance. The owner that ran the promotion does so at once, the other owners only after
/// followTakeoverDelay and a delay for their rank.
void followMembers(failover_state &state, const group_view &view, time_point now,
                   failover_actions &actions)
{
    const member_view *primary = findPrimary(view);
    if (primary == nullptr)
        return;
    const duration takeover = followTakeoverDelay + staggerPerRank * state.rank;
    for (const auto &[id, member] : view.members) {
        if (id == *view.primary)
            continue;
        follow_task &task = state.followTasks[id];
        if (task.term != view.highestTerm) {
            task = follow_task{};
            task.term = view.highestTerm;
            task.nextAttemptAt = now + takeover;
        }
        const bool isStale = member.acceptedTerm < view.highestTerm;
        const bool isStalled =
                member.last < primary->last
                && std::max(member.lastAdvancedAt, view.primarySince) + replicationStallTimeout
                           <= now;
        if (!isStale && !isStalled && (task.isConfirmed || !task.isPromoter)) {
            task.attempts = 0;
            task.nextAttemptAt = task.isPromoter ? now : now + takeover;
            continue;
        }
        if (now < task.nextAttemptAt || !isHeardWithin(member, followReachabilityWindow, now))
            continue;
        task.nextAttemptAt =
                now + exponentialDelay(followRetryInterval, task.attempts, maxFollowRetryInterval);
        task.attempts += 1;
        if (isStale)
            actions.push_back(makeAction(failover_step::AcceptTerm, id, view.highestTerm));
        else
            actions.push_back(makeFollow(view, id));
    }
}

// ---- attempts ----

void failAttempt(failover_state &state, time_point now, random_engine &random)
{
    assert(state.attempt);
    state.suspectedPrimary =
            state.attempt->chosen ? state.attempt->chosen : state.attempt->excluded;
    const duration spread =
            exponentialDelay(staggerJitter, state.failedAttempts, maxAttemptTimeout);
    state.earliestAttemptAt =
            now + duration(drawBelow(random, static_cast<std::uint64_t>(spread.count()) + 1));
    state.failedAttempts += 1;
    state.attempt.reset();
    clearSuspicion(state);
}

void requestLead(failover_state &state, const member_id &member, time_point now,
                 failover_actions &actions)
{
    promotion_attempt &attempt = *state.attempt;
    assert(!attempt.chosen || *attempt.chosen == member);
    attempt.chosen = member;
    attempt.leadAttempts += 1;
    attempt.deadline = now + attemptTimeout;
    actions.push_back(makeAction(failover_step::Lead, member, attempt.term, attemptTimeout));
}

void startAttempt(failover_state &state, const group_view &view, failover_cause cause,
                  time_point now, failover_actions &actions)
{
    promotion_attempt attempt;
    attempt.term = nextTerm(std::max(view.highestTerm, state.highestAttemptedTerm), state.rank);
    attempt.cause = cause;
    attempt.excluded = view.primary ? view.primary : state.suspectedPrimary;
    if (cause == failover_cause::Manual)
        attempt.preferred = state.preferred;
    attempt.startedAt = now;
    const duration timeout =
            exponentialDelay(attemptTimeout, state.failedAttempts, maxAttemptTimeout);
    attempt.deadline = now + timeout;
    state.highestAttemptedTerm = attempt.term;
    for (const auto &[id, member] : view.members)
        actions.push_back(makeAction(failover_step::AcceptTerm, id, attempt.term, timeout));
    state.attempt = std::move(attempt);
    clearSuspicion(state);
}

/// Drops the attempt if a higher term was seen, and finishes it if its term has a primary. Resets
/// the failure detection when the primary has changed.
void reconcileAttempt(failover_state &state, group_view &view, time_point now,
                      failover_actions &actions)
{
    if (state.attempt && view.highestTerm > state.attempt->term) {
        state.attempt.reset();
        clearSuspicion(state);
    }
    const bool isFinished =
            state.attempt && view.primary && view.highestTerm == state.attempt->term;
    if (view.primary && view.highestTerm != state.lastPrimaryTerm) {
        if (state.lastPrimaryTerm != 0)
            state.promotions.push_back(now);
        state.lastPrimaryTerm = view.highestTerm;
        state.failedAttempts = 0;
        state.suspectedPrimary.reset();
        state.manualPromotionDeadline = time_point::min();
        state.lastHeardByPeer = time_point::min();
        clearSilence(state);
        clearSuspicion(state);
    }
    if (!isFinished)
        return;
    state.attempt.reset();
    for (const auto &[id, member] : view.members) {
        follow_task task;
        task.term = view.highestTerm;
        task.isPromoter = true;
        task.nextAttemptAt = now;
        state.followTasks[id] = task;
    }
    publish(state, false, now, actions);
    followMembers(state, view, now, actions);
}

void advanceAttempt(failover_state &state, const group_view &view, time_point now,
                    random_engine &random, failover_actions &actions)
{
    promotion_attempt &attempt = *state.attempt;
    const bool isFinal = now >= attempt.deadline;
    if (attempt.chosen) {
        if (!isFinal)
            return;
        if (attempt.leadAttempts < maxLeadAttempts)
            requestLead(state, *attempt.chosen, now, actions);
        else
            failAttempt(state, now, random);
        return;
    }
    if (const auto member = choosePrimary(attempt, view, state.policy, isFinal))
        requestLead(state, *member, now, actions);
    else if (isFinal)
        failAttempt(state, now, random);
}

/// Under the policies that acknowledge without a majority, a promotion also has to wait for the end
/// of the lease, or for a reachable member that holds the highest acknowledged position.
bool isPromotionBlocked(const failover_state &state, const group_view &view,
                        const std::optional<member_id> &except, time_point now)
{
    if (state.policy == acknowledgement_policy::Lease)
        return now < view.leaseExpiresAt;
    if (state.policy == acknowledgement_policy::Majority)
        return false;
    return std::none_of(view.members.begin(), view.members.end(), [&](const auto &each) {
        return each.first != except && isHeardWithin(each.second, reachabilityWindow, now)
               && each.second.last >= view.highestAcknowledgedPosition;
    });
}

void evaluateSuspicion(failover_state &state, const group_view &view, const failover_load &load,
                       time_point now, random_engine &random, failover_actions &actions)
{
    const std::optional<failover_cause> cause = findCause(state, view, load, now);
    if (!cause) {
        clearSuspicion(state);
        return;
    }
    if (!state.suspicion) {
        const auto jitter = static_cast<std::uint64_t>(staggerJitter.count());
        state.attemptStartAt =
                now + staggerPerRank * state.rank + duration(drawBelow(random, jitter));
        const term_number next =
                nextTerm(std::max(view.highestTerm, state.highestAttemptedTerm), state.rank);
        actions.push_back(makeAction(failover_step::Claim, {}, next));
    }
    state.suspicion = cause;
    if (now < state.attemptStartAt || now < state.earliestAttemptAt)
        return;
    const std::optional<member_id> except = view.primary ? view.primary : state.suspectedPrimary;
    const std::size_t needed = majorityOf(view.members.size());
    const bool isReachable =
            countReachable(view, except, now) >= needed
            || (!view.primary && countReachable(view, std::nullopt, now) >= needed);
    // An attempt without a chance of success would only fence the members that it reaches.
    if (cause != failover_cause::Manual
        && (!isReachable || isPromotionBlocked(state, view, view.primary, now)))
        return;
    startAttempt(state, view, *cause, now, actions);
}

} // namespace

std::string_view toString(failover_step step)
{
    return failoverStepNames.at(static_cast<std::size_t>(step));
}

std::string_view toString(failover_cause cause)
{
    return failoverCauseNames.at(static_cast<std::size_t>(cause));
}

failover_load makeFailoverLoad(const pending_writes &pending, const group_view &view,
                               bool hasStatements)
{
    failover_load load;
    load.hasWork = hasStatements || !pending.writes.empty();
    load.oldestUnconfirmed = oldestUnconfirmed(pending, view.highestTerm);
    load.confirmDelay = pending.confirmDelay;
    return load;
}

term_number nextTerm(term_number highest, std::uint8_t rank)
{
    return (((highest >> rankBits) + 1) << rankBits) | rank;
}

std::optional<member_id> choosePrimary(const promotion_attempt &attempt, const group_view &view,
                                       acknowledgement_policy policy, bool isFinal)
{
    const std::size_t needed = majorityOf(view.members.size());
    const bool holdsExcluded = attempt.excluded && attempt.grants.contains(*attempt.excluded)
                               && view.members.contains(*attempt.excluded);
    // Grants of members that were removed during the attempt do not count.
    const auto granted = static_cast<std::size_t>(
            std::count_if(attempt.grants.begin(), attempt.grants.end(),
                          [&](const auto &each) { return view.members.contains(each.first); }));
    const bool isEnough = granted - (holdsExcluded ? 1 : 0) >= needed;
    if (!isEnough && (!isFinal || granted < needed))
        return std::nullopt;
    const member_status *best = nullptr;
    for (const auto &[id, status] : attempt.grants) {
        if (isEnough && id == attempt.excluded)
            continue;
        const bool isEqual = best != nullptr && status.last == best->last;
        const bool isBetter =
                best == nullptr || status.last > best->last
                || (isEqual && best->leaving && !status.leaving)
                || (isEqual && id == attempt.preferred && status.leaving == best->leaving);
        if (isBetter)
            best = &status;
    }
    if (best == nullptr)
        return std::nullopt;
    if (policy == acknowledgement_policy::KnownPosition
        && best->last < view.highestAcknowledgedPosition)
        return std::nullopt;
    return best->member;
}

failover_actions onTick(failover_state &state, group_view &view, const failover_load &load,
                        time_point now, random_engine &random)
{
    failover_actions actions;
    if (state.lastTickAt == time_point::min() || now > state.lastTickAt + ownerPauseThreshold) {
        state.resumedAt = now;
        clearSilence(state);
        clearSuspicion(state);
    }
    state.lastTickAt = now;
    std::erase_if(state.promotions,
                  [now](time_point each) { return each + promotionHistoryWindow < now; });
    reconcileAttempt(state, view, now, actions);
    probeMembers(state, view, load, now, random, actions);
    if (state.attempt)
        advanceAttempt(state, view, now, random, actions);
    else
        evaluateSuspicion(state, view, load, now, random, actions);
    followMembers(state, view, now, actions);
    const bool asksPeers = !view.primary || isProbeOverdue(state, now);
    if (asksPeers && state.lastPublishedAt + suspectProbeInterval <= now)
        publish(state, true, now, actions);
    return actions;
}

failover_actions onStatus(failover_state &state, group_view &view, const member_status &status,
                          time_point askedAt, time_point now, random_engine &random)
{
    failover_actions actions;
    observeStatus(view, status, askedAt, now);
    reconcileAttempt(state, view, now, actions);
    if (state.attempt)
        advanceAttempt(state, view, now, random, actions);
    return actions;
}

void onProbeFailed(failover_state &state, group_view &view, const member_id &member,
                   member_failure failure, time_point now, random_engine &random)
{
    observeFailure(view, member, failure, now, random);
    const bool isGone = failure == member_failure::Refused && view.primary == member;
    if (isGone && state.refusedSince == noDeadline)
        state.refusedSince = now;
}

failover_actions onAcceptTerm(failover_state &state, group_view &view,
                              const accept_term_answer &answer, term_number term,
                              time_point askedAt, time_point now, random_engine &random)
{
    failover_actions actions;
    observeStatus(view, answer.status, askedAt, now);
    reconcileAttempt(state, view, now, actions);
    const member_id &member = answer.status.member;
    // Only a grant counts. A refusal that carries the same term may answer a duplicate of this
    // request, but also a request from an earlier run of this instance.
    const bool isGrant =
            answer.accepted && answer.status.term == term && view.members.contains(member);
    if (state.attempt && state.attempt->term == term && !state.attempt->chosen) {
        if (isGrant)
            state.attempt->grants[member] = answer.status;
        advanceAttempt(state, view, now, random, actions);
    } else if (view.primary && term == view.highestTerm && answer.status.term == term
               && member != *view.primary) {
        actions.push_back(makeFollow(view, member));
    }
    return actions;
}

failover_actions onLead(failover_state &state, group_view &view, const member_id &member,
                        term_number term, bool leads, time_point now, random_engine &random)
{
    failover_actions actions;
    const bool isCurrentAttempt =
            state.attempt && state.attempt->term == term && state.attempt->chosen == member;
    if (leads)
        observePrimary(view, member, term, now);
    reconcileAttempt(state, view, now, actions);
    if (!leads && isCurrentAttempt && state.attempt) {
        // Repeats the request, or gives the attempt up after maxLeadAttempts.
        state.attempt->deadline = now;
        advanceAttempt(state, view, now, random, actions);
    }
    return actions;
}

void onFollow(failover_state &state, const member_id &member, term_number term, bool follows)
{
    const auto task = state.followTasks.find(member);
    if (task != state.followTasks.end() && task->second.term == term)
        task->second.isConfirmed = task->second.isConfirmed || follows;
}

failover_actions onPeerView(failover_state &state, group_view &view, const published_view &peer,
                            time_point now, random_engine &random)
{
    failover_actions actions;
    if (peer.group != view.group)
        return actions;
    observeTerm(view, peer.term, now);
    if (!peer.primary.empty())
        observePrimary(view, peer.primary, peer.term, now);
    reconcileAttempt(state, view, now, actions);
    if (state.attempt)
        advanceAttempt(state, view, now, random, actions);
    const member_view *primary = findPrimary(view);
    if (primary == nullptr)
        return actions;
    const bool isSame = peer.term == view.highestTerm && peer.primary == *view.primary;
    const duration heardAgo(peer.heardAgoMicros);
    if (isSame && peer.hasHeard && heardAgo >= duration::zero()
        && heardAgo < promotionHistoryWindow)
        state.lastHeardByPeer = std::max(state.lastHeardByPeer, now - heardAgo);
    const bool canHelp = peer.term < view.highestTerm
                         || (peer.suspects && isHeardWithin(*primary, suspectAfter, now));
    if (canHelp && state.lastPublishedAt + minPublishInterval <= now)
        publish(state, false, now, actions);
    return actions;
}

void onClaim(failover_state &state, bool granted, time_point now)
{
    if (granted || !state.suspicion || state.isPostponedByClaim)
        return;
    state.attemptStartAt = std::max(state.attemptStartAt, now + rivalClaimDelay);
    state.isPostponedByClaim = true;
}

failover_actions promoteManually(failover_state &state, group_view &view, time_point now,
                                 random_engine &random)
{
    failover_actions actions;
    state.manualPromotionDeadline = now + manualPromotionTimeout;
    if (!state.attempt) {
        state.earliestAttemptAt = time_point::min();
        startAttempt(state, view, failover_cause::Manual, now, actions);
        actions.push_back(makeAction(failover_step::Claim, {}, state.attempt->term));
    } else {
        advanceAttempt(state, view, now, random, actions);
    }
    return actions;
}

} // namespace fuchsiagw::core
