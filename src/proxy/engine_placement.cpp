/// @file
/// @brief Which member a statement goes to, and the queue of those that wait.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::proxy {

namespace {

/// Sent before the answer to it can be late for the route's bound: covers the caller's own link.
constexpr milliseconds stalenessMargin{ 100 };
/// Expected time to an answer of a member that has not answered yet.
constexpr double unknownAnswerUs = 10'000;
constexpr double unknownConnectUs = 30'000;
/// A member whose log lacked the position a moment ago is taken only if no other is left.
constexpr double laggingPenaltyUs = 50'000;
constexpr double busyPenaltyUs = 20'000;
/// A read that any replica can serve keeps off the primary, which alone can serve writes.
constexpr double primaryPenaltyUs = 8'000;
/// Price of a statement that crosses zones, beyond its delay.
constexpr double otherZonePenaltyUs = 2'000;
/// A read is sent to a second member once this many usual answer times have passed.
constexpr double hedgeAnswerTimes = 4;
constexpr milliseconds leastHedgeDelay{ 80 };
/// Price of a statement that fails: it is tried again, or its caller has to.
constexpr double failurePenaltyUs = 400'000;
/// After this time without a failure a member's share counts half, so that it is tried again.
constexpr double failureHalfLifeSeconds = 1.5;
constexpr int maxTries = 12; // of one statement at members

bool refusedIt(const request &what, const std::string &member)
{
    const auto &list = what.refusedBy;
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
    if (member.failedShare <= 0)
        return 0;
    const std::chrono::duration<double> since = now - member.failedAt;
    return failurePenaltyUs * member.failedShare
           * std::exp2(-since.count() / failureHalfLifeSeconds);
}

double costOf(const engine &state, const member_state &member, const service_state &service,
              const session &who, core::time_point now)
{
    const double answer = member.answerUs > 0 ? member.answerUs : unknownAnswerUs;
    const double connect = member.connectUs > 0 ? member.connectUs : unknownConnectUs;
    const double slots = std::max<std::uint32_t>(1, member.entry.slots);
    double cost = answer * (1 + member.outstanding / slots);
    if (!hasIdleLink(state, member, who.workspace))
        cost += connect;
    if (member.limitUntil > now)
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

member_state *cheapestMember(engine &state, const service_state &service, const session &who,
                             core::time_point now)
{
    member_state *best = nullptr;
    double bestCost = 0;
    for (const std::string &id : service.members) {
        member_state &member = state.members.at(id);
        // A full primary is left to the statements that only it can serve.
        const bool spared = id == service.leader && member.busyUntil > now;
        if (!takesNewWork(member, now) || refusedIt(*who.current, id) || spared)
            continue;
        const double cost = costOf(state, member, service, who, now);
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
    if (member == nullptr || !takesNewWork(*member, now))
        return nullptr;
    return member;
}

/// A member in reach that has an idle link for the session's workspace and values comes cheapest.
member_state *chooseMember(engine &state, const service_state &service, session &who,
                           core::time_point now)
{
    request &what = *who.current;
    if (what.where.needsPrimary)
        return leaderOf(state, service, now);
    member_state *best = cheapestMember(state, service, who, now);
    if (best == nullptr && !what.refusedBy.empty()) {
        what.refusedBy.clear();
        best = cheapestMember(state, service, who, now);
    }
    return best;
}

core::duration waitFor(const request &what, refusal_reason reason)
{
    const core::duration objective = what.via.latencyObjective;
    // Nothing that happens here brings a primary back sooner than the caller's own next try.
    if (reason == refusal_reason::NoPrimary)
        return objective / refusalWaitDivisor;
    return objective;
}

void placeOnLink(engine &state, session &who, member_state &member, upstream_link &link,
                 core::time_point now)
{
    request &what = *who.current;
    what.queued = false;
    what.opening = 0;
    const bool toLeader = what.where.needsPrimary;
    ++(toLeader ? state.counters.placedOnPrimary : state.counters.placedOnReplica);
    const service_state &service = state.services.at(what.via.service);
    core::duration age{};
    if (const auto newest = newestOf(service.positions))
        age = now - newest->since;
    noteRequest(state, note_kind::StatementPlaced, who, member.entry.id,
                toLeader ? "needs_primary" : "least_cost", age, what.tries);
    sendRequest(state, link, who, now);
}

} // namespace

bool takesNewWork(const member_state &member, core::time_point now)
{
    return member.listed && !member.entry.draining && member.avoidUntil <= now;
}

void decidePlacement(engine &state, const session &who, request &what)
{
    const bool inTransaction = who.state != transaction_state::Idle;
    const bool mayReadOnly = inTransaction ? who.transaction->readOnly : !what.writes;
    what.where = {};
    what.where.needsPrimary = true;
    what.where.wrapsRead = !inTransaction && !what.writes;
    if (!mayReadOnly || what.writes || what.via.kind == consistency::Primary)
        return;
    const service_state *service = findService(state, what.via.service);
    if (service == nullptr)
        return;
    const core::time_point oldest = what.arrived - what.via.maxStaleness + stalenessMargin;
    auto position = positionSince(service->positions, oldest);
    if (!position)
        return;
    if (what.via.kind == consistency::ReadYourWrites && who.ownPosition
        && who.positionService == what.via.service)
        position = std::max(*position, *who.ownPosition);
    what.where.needsPrimary = false;
    what.where.wrapsRead = false;
    what.where.minPosition = position;
}

void enqueue(engine &state, session &who, refusal_reason waitsFor)
{
    request &what = *who.current;
    const bool wasQueued = what.queued;
    if (!wasQueued || what.waitsFor != waitsFor)
        what.waitUntil = std::min(what.deadline, what.arrived + waitFor(what, waitsFor));
    what.waitsFor = waitsFor;
    what.queued = true;
    if (wasQueued)
        return;
    if (service_state *service = findService(state, what.via.service))
        service->queue.push_back(who.id);
}

void place(engine &state, session &who, core::time_point now)
{
    request &what = *who.current;
    if (!what.starts) {
        if (what.notBefore > now) {
            enqueue(state, who, refusal_reason::MembersBusy);
            return;
        }
        upstream_link *link = findLink(state, who.transaction->link);
        if (link != nullptr)
            sendRequest(state, *link, who, now);
        return;
    }
    service_state *service = findService(state, what.via.service);
    if (service == nullptr) {
        finishRefused(state, who, refusal_reason::NoMember, now);
        return;
    }
    if (what.tries >= maxTries) {
        finishRefused(state, who, refusal_reason::MembersBusy, now, milliseconds(100));
        return;
    }
    if (what.notBefore > now) {
        enqueue(state, who, refusal_reason::MembersBusy);
        return;
    }
    member_state *member = chooseMember(state, *service, who, now);
    if (member == nullptr) {
        enqueue(state, who,
                what.where.needsPrimary ? refusal_reason::NoPrimary : refusal_reason::NoMember);
        return;
    }
    upstream_link *link = acquireLink(state, *member, who, what.opening, now);
    if (link == nullptr) {
        enqueue(state, who, refusal_reason::NoConnection);
        return;
    }
    what.hedgeAt = core::noDeadline;
    if (who.state == transaction_state::Idle && !what.writes) {
        const core::duration usual(static_cast<std::int64_t>(member->answerUs * hedgeAnswerTimes));
        what.hedgeAt = now + std::max<core::duration>(leastHedgeDelay, usual);
    }
    placeOnLink(state, who, *member, *link, now);
}

void pump(engine &state, service_state &service, core::time_point now)
{
    // The list is taken out first: place() appends those that still have to wait.
    std::deque<session_id> waiting;
    waiting.swap(service.queue);
    for (const session_id id : waiting) {
        session *who = findSession(state, id);
        if (who == nullptr || !who->current || !who->current->queued)
            continue;
        if (who->current->notBefore > now) {
            service.queue.push_back(id);
            continue;
        }
        who->current->queued = false;
        const core::time_point waitUntil = who->current->waitUntil;
        const refusal_reason waitsFor = who->current->waitsFor;
        place(state, *who, now);
        who = findSession(state, id);
        if (who != nullptr && who->current && who->current->queued
            && who->current->waitsFor == waitsFor)
            who->current->waitUntil = waitUntil;
    }
}

} // namespace fuchsiagw::proxy
