/// @file
/// @brief Chooses the member for a statement and manages the queue of waiting statements.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <fuchsiagw/core/fair_queue.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::proxy {

namespace {

/// Safety margin of the route's staleness bound; covers the delay on the caller's connection.
constexpr milliseconds stalenessMargin{ 100 };
/// Assumed time to an answer of a member that has not answered yet.
constexpr double defaultAnswerUs = 10'000;
/// Assumed time to open a link to a member without a sample.
constexpr double defaultConnectUs = 30'000;
/// High enough that a member whose log recently lacked a position is chosen only as last resort.
constexpr double laggingPenaltyUs = 50'000;
constexpr double busyPenaltyUs = 20'000;
/// Keeps reads that any replica can serve off the primary, because only the primary serves writes.
constexpr double primaryPenaltyUs = 8'000;
/// Cost of a statement that crosses zones, in addition to its delay.
constexpr double otherZonePenaltyUs = 2'000;
/// A read is hedged after this multiple of the member's average time to an answer.
constexpr double hedgeAnswerFactor = 4;
constexpr milliseconds minHedgeDelay{ 80 };
/// High enough that a member of a zone that fills up again is chosen only as last resort.
constexpr double returningPenaltyUs = 1'000'000;
/// Cost of a failed statement, which the proxy or the caller has to retry.
constexpr double failurePenaltyUs = 400'000;
/// Half-life of a member's failure rate without new failures, so that the member is tried again.
constexpr double failureHalfLifeSeconds = 1.5;
constexpr int maxTries = 12; // per statement
/// A primary outside of the evacuated zone leads within about this time.
constexpr milliseconds evacuationRetryDelay{ 400 };
/// An order that is late takes effect seconds later, at a time that nobody knows.
constexpr milliseconds latePromotionRetryDelay{ 500 };

bool isAvailable(const member_state &member, core::time_point now)
{
    return member.listed && !member.entry.draining && member.avoidUntil <= now;
}

bool isExcluded(const request &pending, const std::string &member)
{
    const auto &list = pending.excludedMembers;
    return std::find(list.begin(), list.end(), member) != list.end();
}

bool hasIdleLink(const engine &state, const member_state &member, const std::string &workspace)
{
    return std::any_of(member.links.begin(), member.links.end(), [&](link_id id) {
        const upstream_link &link = state.links.at(id);
        return link.state == link_state::Idle && !link.control && link.workspace == workspace;
    });
}

double failurePenalty(const member_state &member, core::time_point now)
{
    if (member.failureRate <= 0)
        return 0;
    const std::chrono::duration<double> since = now - member.lastFailureAt;
    return failurePenaltyUs * member.failureRate
           * std::exp2(-since.count() / failureHalfLifeSeconds);
}

double costOf(const engine &state, const member_state &member, const service_state &service,
              const session &caller, core::time_point now)
{
    const double answer = member.answerUs > 0 ? member.answerUs : defaultAnswerUs;
    const double connect = member.connectUs > 0 ? member.connectUs : defaultConnectUs;
    const double slots = std::max<std::uint32_t>(1, member.entry.slots);
    double cost = answer * (1 + member.outstanding / slots);
    if (member.loadUntil > now)
        cost = std::max(cost, static_cast<double>(member.load.answerUs))
               + static_cast<double>(member.load.waitUs);
    if (!hasIdleLink(state, member, caller.workspace))
        cost += connect;
    if (member.connectionLimitUntil > now)
        cost += connect;
    if (member.laggingUntil > now)
        cost += laggingPenaltyUs;
    if (member.busyUntil > now)
        cost += busyPenaltyUs;
    cost += failurePenalty(member, now);
    if (member.entry.id == service.leader)
        cost += primaryPenaltyUs;
    if (member.entry.zone != state.settings.zone)
        cost += otherZonePenaltyUs;
    return cost;
}

member_state *cheapestMember(engine &state, const service_state &service, const session &caller,
                             core::time_point now)
{
    member_state *best = nullptr;
    double bestCost = 0;
    for (const std::string &id : service.members) {
        member_state &member = state.members.at(id);
        // A primary with a full queue is reserved for statements that only it can serve.
        const bool reservedPrimary = id == service.leader && member.busyUntil > now;
        if (!acceptsNewWork(state, member, now) || isExcluded(*caller.current, id)
            || reservedPrimary)
            continue;
        double cost = costOf(state, member, service, caller, now);
        if (!admitsReturningWork(state.evacuation, member.entry.zone, state.random, now))
            cost += returningPenaltyUs;
        if (best == nullptr || cost < bestCost) {
            best = &member;
            bestCost = cost;
        }
    }
    return best;
}

member_state *leaderOf(engine &state, const service_state &service, core::time_point now)
{
    member_state *member = findMember(state, service.leader);
    if (isFenced(service, service.leader, now))
        return nullptr;
    if (member == nullptr || !acceptsWorkAsLeader(state, *member, now))
        return nullptr;
    return member;
}

/// @return whether the current request writes, or starts a transaction that may
bool writesAtPrimary(const session &caller)
{
    const bool mayWrite = caller.transaction && !caller.transaction->readOnly;
    return caller.current->writes || mayWrite;
}

/// Chooses the leader if the request needs the primary, otherwise the member with the lowest cost.
/// If every member has been tried and excluded, all of them may be chosen again.
member_state *chooseMember(engine &state, const service_state &service, session &caller,
                           core::time_point now)
{
    request &pending = *caller.current;
    if (pending.where.needsPrimary && writesAtPrimary(caller) && needsReceipt(state, service)
        && areWritesHeld(service, service.leader))
        return nullptr;
    if (pending.where.needsPrimary)
        return leaderOf(state, service, now);
    member_state *best = cheapestMember(state, service, caller, now);
    if (best == nullptr && !pending.excludedMembers.empty()) {
        pending.excludedMembers.clear();
        best = cheapestMember(state, service, caller, now);
    }
    return best;
}

/// @return whether members that could run the request get no work only because their zones are
/// evacuated
bool isEvacuationCause(const engine &state, const service_state &service, const request &pending,
                       core::time_point now)
{
    if (state.evacuation.zones.empty())
        return false;
    const auto isHeldBack = [&](const std::string &id) {
        const auto found = state.members.find(id);
        return found != state.members.end() && isAvailable(found->second, now)
               && isEvacuated(state.evacuation, found->second.entry.zone);
    };
    if (pending.where.needsPrimary)
        return isHeldBack(service.leader);
    return std::any_of(service.members.begin(), service.members.end(), isHeldBack);
}

core::duration queueTimeout(const request &pending, refusal_reason reason)
{
    const core::duration objective = pending.effectiveRoute.latencyObjective;
    // Without a primary, a longer wait in the queue has no benefit: if the caller retries after the
    // refusal, its statement succeeds equally early.
    if (reason == refusal_reason::NoPrimary)
        return objective / refusalWaitDivisor;
    return objective;
}

void placeOnLink(engine &state, session &caller, member_state &member, upstream_link &link,
                 core::time_point now)
{
    request &pending = *caller.current;
    pending.queued = false;
    pending.openingLink = 0;
    const bool toLeader = pending.where.needsPrimary;
    ++(toLeader ? state.counters.placedOnPrimary : state.counters.placedOnReplica);
    const service_state &service = state.services.at(pending.effectiveRoute.service);
    core::duration age{};
    if (const auto newest = newestSample(service.positions))
        age = now - newest->since;
    noteRequest(state, note_kind::StatementPlaced, caller, member.entry.id,
                toLeader ? "needs_primary" : "least_cost", age, pending.tries);
    sendRequest(state, link, caller, now);
}

} // namespace

bool acceptsNewWork(const engine &state, const member_state &member, core::time_point now)
{
    return isAvailable(member, now) && !isEvacuated(state.evacuation, member.entry.zone);
}

bool acceptsWorkAsLeader(const engine &state, const member_state &member, core::time_point now)
{
    return isAvailable(member, now) && acceptsPrimaryWork(state.evacuation, member.entry.zone, now);
}

bool hasUntriedMember(const engine &state, const session &caller, core::time_point now)
{
    const auto service = state.services.find(caller.current->effectiveRoute.service);
    if (service == state.services.end())
        return false;
    const auto &members = service->second.members;
    return std::any_of(members.begin(), members.end(), [&](const std::string &id) {
        return acceptsNewWork(state, state.members.at(id), now) && !isExcluded(*caller.current, id);
    });
}

void decidePlacement(engine &state, const session &caller, request &pending)
{
    const bool inTransaction = caller.state != transaction_state::Idle;
    const bool mayUseReplica = inTransaction ? caller.transaction->readOnly : !pending.writes;
    pending.where = {};
    pending.where.needsPrimary = true;
    pending.where.wrapsInTransaction = !inTransaction && !pending.writes;
    if (!mayUseReplica || pending.writes || pending.effectiveRoute.kind == consistency::Primary)
        return;
    if (!inTransaction && !pending.statement.leavesRoomForPosition)
        return;
    const service_state *service = findService(state, pending.effectiveRoute.service);
    if (service == nullptr)
        return;
    const core::time_point oldestAllowed =
            pending.arrived - pending.effectiveRoute.maxStaleness + stalenessMargin;
    auto position = positionSince(service->positions, oldestAllowed);
    if (!position)
        return;
    if (pending.effectiveRoute.kind == consistency::ReadYourWrites && caller.ownPosition
        && caller.positionService == pending.effectiveRoute.service)
        position = std::max(*position, *caller.ownPosition);
    pending.where.needsPrimary = false;
    pending.where.wrapsInTransaction = false;
    pending.where.minPosition = position;
}

void enqueueRequest(engine &state, session &caller, refusal_reason queuedReason)
{
    request &pending = *caller.current;
    const bool wasQueued = pending.queued;
    if (!wasQueued || pending.queuedReason != queuedReason)
        pending.waitUntil =
                std::min(pending.deadline, pending.arrived + queueTimeout(pending, queuedReason));
    pending.queuedReason = queuedReason;
    pending.queued = true;
    if (wasQueued)
        return;
    if (service_state *service = findService(state, pending.effectiveRoute.service))
        service->queue.push_back(caller.id);
}

void placeRequest(engine &state, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    if (!pending.startsOperation) {
        const bool commitsWrites =
                pending.statement.kind == statement_kind::Commit && caller.transaction->wrote;
        service_state *group = findService(state, pending.effectiveRoute.service);
        if (commitsWrites && group != nullptr && !mayStartWrite(state, *group, now)) {
            enqueueRequest(state, caller, refusal_reason::NoReceiver);
            return;
        }
        if (pending.retryAt > now) {
            enqueueRequest(state, caller, refusal_reason::MembersBusy);
            return;
        }
        upstream_link *link = findLink(state, caller.transaction->link);
        if (link != nullptr)
            sendRequest(state, *link, caller, now);
        return;
    }
    service_state *service = findService(state, pending.effectiveRoute.service);
    if (service == nullptr) {
        refuseRequest(state, caller, refusal_reason::NoMember, now);
        return;
    }
    if (pending.tries >= maxTries) {
        refuseRequest(state, caller, refusal_reason::MembersBusy, now, milliseconds(100));
        return;
    }
    if (pending.retryAt > now) {
        enqueueRequest(state, caller, refusal_reason::MembersBusy);
        return;
    }
    member_state *member = chooseMember(state, *service, caller, now);
    if (member == nullptr && isEvacuationCause(state, *service, pending, now)) {
        refuseRequest(state, caller, refusal_reason::ZoneEvacuated, now, evacuationRetryDelay);
        return;
    }
    if (member == nullptr && pending.where.needsPrimary && isPromotionLate(*service, now)) {
        refuseRequest(state, caller, refusal_reason::NoPrimary, now, latePromotionRetryDelay);
        return;
    }
    if (member == nullptr) {
        enqueueRequest(state, caller,
                       pending.where.needsPrimary ? refusal_reason::NoPrimary
                                                  : refusal_reason::NoMember);
        return;
    }
    if (writesAtPrimary(caller) && !mayStartWrite(state, *service, now)) {
        enqueueRequest(state, caller, refusal_reason::NoReceiver);
        return;
    }
    upstream_link *link = acquireLink(state, *member, caller, pending.openingLink, now);
    if (link == nullptr) {
        enqueueRequest(state, caller, refusal_reason::NoConnection);
        return;
    }
    pending.hedgeAt = core::noDeadline;
    if (caller.state == transaction_state::Idle && !pending.writes) {
        const core::duration typicalAnswerTime(
                static_cast<std::int64_t>(member->answerUs * hedgeAnswerFactor));
        pending.hedgeAt = now + std::max<core::duration>(minHedgeDelay, typicalAnswerTime);
    }
    placeOnLink(state, caller, *member, *link, now);
}

namespace {

/// Empties the queue of a service.
/// @return its sessions in the order in which they are to be served
std::deque<session_id> takeInOrder(const engine &state, service_state &service)
{
    std::deque<session_id> waiting;
    waiting.swap(service.queue);
    if (!state.settings.priorityAdmission || waiting.size() < 2)
        return waiting;
    core::fair_queue queue;
    queue.capacity = waiting.size();
    for (const session_id id : waiting) {
        const auto caller = state.sessions.find(id);
        if (caller == state.sessions.end() || !caller->second.current)
            continue;
        const request &pending = *caller->second.current;
        core::queued_statement entry;
        entry.handle = id;
        entry.session = id;
        entry.workspace = core::workspace_id{ caller->second.workspace };
        entry.inTransaction = !pending.startsOperation;
        entry.priority = pending.effectiveRoute.priority;
        entry.objective = pending.arrived + pending.effectiveRoute.latencyObjective;
        static_cast<void>(core::enqueue(queue, std::move(entry), 1));
    }
    std::deque<session_id> ordered;
    while (const auto next = core::dequeue(queue))
        ordered.push_back(next->session);
    return ordered;
}

} // namespace

void serveQueue(engine &state, service_state &service, core::time_point now)
{
    // placeRequest() appends requests that still have to wait, so the loop runs on a copy.
    const std::deque<session_id> waiting = takeInOrder(state, service);
    for (const session_id id : waiting) {
        session *caller = findSession(state, id);
        if (caller == nullptr || !caller->current || !caller->current->queued)
            continue;
        if (caller->current->retryAt > now) {
            service.queue.push_back(id);
            continue;
        }
        caller->current->queued = false;
        const core::time_point waitUntil = caller->current->waitUntil;
        const refusal_reason queuedReason = caller->current->queuedReason;
        placeRequest(state, *caller, now);
        caller = findSession(state, id);
        if (caller != nullptr && caller->current && caller->current->queued
            && caller->current->queuedReason == queuedReason)
            caller->current->waitUntil = waitUntil;
    }
}

} // namespace fuchsiagw::proxy
