/// @file
/// @brief What becomes due by time alone, and the stop of the process.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds maintenanceInterval{ 50 };
constexpr milliseconds idleMaintenanceInterval{ 200 }; // without links and requests
constexpr milliseconds pumpInterval{ 10 };
constexpr milliseconds closingInterval{ 20 };
constexpr milliseconds closingTime{ 1'000 };
constexpr std::size_t leastClosed = 2; // sessions in one interval
/// The last answers leave before the process is killed.
constexpr milliseconds reserveBeforeKill{ 700 };

void endTransaction(engine &state, session &who, refusal_reason reason, core::time_point now)
{
    const link_id held = who.transaction->link;
    who.transaction->link = 0;
    who.transaction->lost = true;
    who.transaction->lostReason = reason;
    who.transaction->idleUntil = core::noDeadline;
    noteRequest(state, note_kind::TransactionEnded, who, {}, toString(reason));
    if (upstream_link *link = findLink(state, held))
        rollBack(state, *link, now);
}

/// The route's timeout has passed for the current request.
void timeOut(engine &state, session &who, core::time_point now)
{
    request &what = *who.current;
    if (!what.everSent) {
        refuseRequest(state, who, what.waitsFor, now, milliseconds(200));
        return;
    }
    if (what.sentOn.empty()) {
        // Every member that got it said that it did not run it.
        refuseRequest(state, who, refusal_reason::MembersBusy, now, milliseconds(200));
        return;
    }
    const bool mayWait = what.writes || what.statement.kind == statement_kind::Commit;
    if (service_state *service = findService(state, what.via.service); service && mayWait)
        scheduleReplicaCheck(*service, now);
    if (who.transaction) {
        const link_id held = who.transaction->link;
        const bool commits = what.statement.kind == statement_kind::Commit;
        who.state = commits ? transaction_state::Idle : transaction_state::Failed;
        if (commits)
            who.transaction.reset();
        else
            who.transaction->link = 0;
        refuseRequest(state, who, refusal_reason::NoAnswerInTime, now);
        if (held != 0 && findLink(state, held) != nullptr)
            closeLink(state, held, false, now);
        return;
    }
    refuseRequest(state, who, refusal_reason::NoAnswerInTime, now);
}

/// Asks a second member for a read whose answer is overdue.
void hedge(engine &state, session &who, core::time_point now)
{
    request &what = *who.current;
    what.hedgeAt = core::noDeadline;
    for (const link_id id : what.sentOn) {
        if (const upstream_link *link = findLink(state, id))
            what.refusedBy.push_back(link->member);
    }
    ++state.counters.hedged;
    noteRequest(state, note_kind::StatementHedged, who, {}, "answer_overdue", now - what.arrived);
    place(state, who, now);
}

void checkSession(engine &state, session_id id, core::time_point now)
{
    session *who = findSession(state, id);
    if (who == nullptr)
        return;
    if (!who->current) {
        if (who->transaction && !who->transaction->lost) {
            const bool overStop = state.stopping && now >= state.transactionDrainDeadline;
            if (overStop)
                endTransaction(state, *who, refusal_reason::Stopping, now);
            else if (who->transaction->idleUntil <= now)
                endTransaction(state, *who, refusal_reason::TransactionIdle, now);
        }
        return;
    }
    request &what = *who->current;
    if (what.awaitsToken) {
        if (what.waitUntil <= now)
            refuseRequest(state, *who, refusal_reason::RateExceeded, now, milliseconds(100));
        return;
    }
    if (what.deadline <= now) {
        timeOut(state, *who, now);
        return;
    }
    if (what.queued && what.waitUntil <= now && what.sentOn.empty()) {
        refuseRequest(state, *who, what.waitsFor, now, milliseconds(100));
        return;
    }
    if (!what.queued && what.hedgeAt <= now)
        hedge(state, *who, now);
}

void checkLinks(engine &state, core::time_point now)
{
    std::vector<link_id> overdue;
    for (const auto &[id, link] : state.links) {
        const bool owes = !link.expected.empty() || link.state == link_state::Connecting;
        if (owes && link.abandonAt <= now)
            overdue.push_back(id);
    }
    for (const link_id id : overdue)
        closeLink(state, id, false, now);
}

/// Closes sessions that rest, a part of them at a time: a request that crosses the close is lost
/// without an answer, so that each close has to leave the process at once, also on a slow instance.
void closeRestingSessions(engine &state, core::time_point now)
{
    if (now < state.nextClosing)
        return;
    state.nextClosing = now + closingInterval;
    std::vector<session_id> resting;
    for (const auto &[id, who] : state.sessions) {
        if (!who.current && who.waiting.empty()
            && (who.state == transaction_state::Idle
                || now >= state.stopDeadline - reserveBeforeKill))
            resting.push_back(id);
    }
    // All are closed in closingTime, however many they are.
    const std::size_t intervals = closingTime / closingInterval;
    const std::size_t share = state.sessionsAtStop / intervals + leastClosed;
    resting.resize(std::min(resting.size(), share));
    for (const session_id id : resting) {
        state.out.emplace_back(close_caller{ id });
        onCallerDisconnected(state, id, now);
    }
}

} // namespace

bool isReady(const engine &state)
{
    return state.config && state.memberListLoaded && !state.stopping;
}

void onStop(engine &state, core::time_point now)
{
    if (state.stopping)
        return;
    state.stopping = true;
    state.stopDeadline = now + state.settings.gracePeriod;
    state.transactionDrainDeadline = now + state.settings.gracePeriod / 2;
    state.nextClosing = now + idleSessionsUntil;
    state.sessionsAtStop = state.sessions.size();
    decision_note line;
    line.kind = note_kind::StopStarted;
    line.number = static_cast<std::int64_t>(state.sessions.size());
    state.out.emplace_back(std::move(line));
}

void onTimer(engine &state, core::time_point now)
{
    state.lastTime = now;
    const std::vector<session_id> active(state.active.begin(), state.active.end());
    for (const session_id id : active)
        checkSession(state, id, now);
    for (auto &[name, service] : state.services) {
        if (!service.queue.empty())
            pump(state, service, now);
    }
    stepQuotas(state, now);
    requestParts(state, now);
    stepRecall(state, now);
    stepPromotions(state, now);
    if (now >= state.nextMaintenance) {
        const bool idle = state.links.empty() && state.active.empty();
        state.nextMaintenance = now + (idle ? idleMaintenanceInterval : maintenanceInterval);
        checkLinks(state, now);
        trimLinks(state, now);
        forgetMissing(state, now);
        followSilence(state, now);
        checkReplicas(state, now);
        returnUnusedTokens(state, now);
        stepClaim(state, now);
    }
    if (state.stopping)
        closeRestingSessions(state, now);
    exchangeWithPeers(state, now);
}

core::time_point nextTimerAt(const engine &state)
{
    core::time_point due = std::min(state.nextMaintenance, state.nextExchange);
    due = std::min({ due, state.nextPartRequest, state.recall.next });
    due = std::min(due, nextPromotionStep(state));
    if (state.stopping)
        due = std::min(due, state.nextClosing);
    if (state.waitingLoans > 0)
        due = std::min(due, state.lastTime + pumpInterval);
    for (const session_id id : state.active) {
        const session &who = state.sessions.at(id);
        if (!who.current) {
            if (who.transaction)
                due = std::min(due, who.transaction->idleUntil);
            continue;
        }
        const request &what = *who.current;
        if (!what.awaitsToken)
            due = std::min(due, what.deadline);
        if (what.queued || what.awaitsToken)
            due = std::min({ due, what.waitUntil, state.lastTime + pumpInterval });
        else
            due = std::min(due, what.hedgeAt);
    }
    return due;
}

} // namespace fuchsiagw::proxy
