/// @file
/// @brief Timers, timeouts and graceful shutdown.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds maintenanceInterval{ 50 };
constexpr milliseconds idleMaintenanceInterval{ 200 }; // without links and active sessions
constexpr milliseconds queueRetryInterval{ 10 };
constexpr milliseconds sessionCloseInterval{ 20 };
/// Period over which idle sessions are closed at shutdown.
constexpr milliseconds sessionClosePeriod{ 1'000 };
/// A write takes tens of milliseconds; one that takes longer waits for a second copy.
constexpr milliseconds commitDelayLimit{ 400 };

/// Refuses a request that was not sent. The transaction of a commit ends with it.
void refuseQueued(engine &state, session &caller, core::duration retryAfter, core::time_point now)
{
    const refusal_reason reason = caller.current->queuedReason;
    if (caller.transaction && caller.current->statement.kind == statement_kind::Commit) {
        if (upstream_link *link = findLink(state, caller.transaction->link))
            rollBack(state, *link, now);
        caller.transaction.reset();
        caller.state = transaction_state::Idle;
    }
    refuseRequest(state, caller, reason, now, retryAfter);
}

/// Ends the current request after the route's timeout.
void timeOut(engine &state, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    if (pending.heldCommit) {
        refuseRequest(state, caller, refusal_reason::CommitUnproven, now);
        return;
    }
    if (!pending.wasSent) {
        refuseQueued(state, caller, milliseconds(200), now);
        return;
    }
    if (pending.outstandingLinks.empty()) {
        // Every member that received the statement answered that it did not run it.
        refuseRequest(state, caller, refusal_reason::MembersBusy, now, milliseconds(200));
        return;
    }
    const bool mayAwaitReplicas =
            pending.writes || pending.statement.kind == statement_kind::Commit;
    if (service_state *service = findService(state, pending.effectiveRoute.service);
        service && mayAwaitReplicas)
        scheduleReplicaCheck(*service, now);
    if (caller.transaction) {
        const link_id pinnedLink = caller.transaction->link;
        const bool commits = pending.statement.kind == statement_kind::Commit;
        caller.state = commits ? transaction_state::Idle : transaction_state::Failed;
        if (commits)
            caller.transaction.reset();
        else
            caller.transaction->link = 0;
        refuseRequest(state, caller, refusal_reason::NoAnswerInTime, now);
        if (pinnedLink != 0 && findLink(state, pinnedLink) != nullptr)
            closeLink(state, pinnedLink, false, now);
        return;
    }
    refuseRequest(state, caller, refusal_reason::NoAnswerInTime, now);
}

/// Sends a read whose answer is overdue to a second member as well.
void hedge(engine &state, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    pending.hedgeAt = core::noDeadline;
    for (const link_id id : pending.outstandingLinks) {
        if (const upstream_link *link = findLink(state, id))
            pending.excludedMembers.push_back(link->member);
    }
    ++state.counters.hedged;
    noteRequest(state, note_kind::StatementHedged, caller, {}, "answer_overdue",
                now - pending.arrived);
    placeRequest(state, caller, now);
}

/// Logs a write that waits for its answer, as one does that no replica receives.
void reportDelayedCommit(engine &state, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    const bool writes = pending.writes || pending.statement.kind == statement_kind::Commit;
    const bool waits = !pending.outstandingLinks.empty() || pending.heldCommit;
    if (!writes || pending.isDelayReported || !waits || now - pending.arrived < commitDelayLimit)
        return;
    pending.isDelayReported = true;
    ++state.counters.commitsDelayed;
    if (pending.heldCommit) {
        noteRequest(state, note_kind::CommitDelayed, caller, pending.heldCommit->member,
                    "awaits_receipt", now - pending.arrived);
        return;
    }
    const upstream_link *link = findLink(state, pending.outstandingLinks.front());
    noteRequest(state, note_kind::CommitDelayed, caller,
                link == nullptr ? std::string() : link->member, "waits", now - pending.arrived);
}

void checkSession(engine &state, session_id id, core::time_point now)
{
    session *caller = findSession(state, id);
    if (caller == nullptr)
        return;
    if (!caller->current) {
        if (caller->transaction && !caller->transaction->lost) {
            if (isPastTransactionDrain(state, now))
                endTransaction(state, *caller, refusal_reason::Stopping, now);
            else if (isTransactionEvacuated(state, *caller, now))
                endTransaction(state, *caller, refusal_reason::ZoneEvacuated, now);
            else if (caller->transaction->idleDeadline <= now)
                endTransaction(state, *caller, refusal_reason::TransactionIdle, now);
        }
        return;
    }
    request &pending = *caller->current;
    if (pending.awaitsToken) {
        if (pending.waitUntil <= now)
            refuseForRate(state, *caller, now);
        return;
    }
    if (pending.deadline <= now) {
        timeOut(state, *caller, now);
        return;
    }
    if (pending.queued && pending.waitUntil <= now && pending.outstandingLinks.empty()) {
        refuseQueued(state, *caller, milliseconds(100), now);
        return;
    }
    reportDelayedCommit(state, *caller, now);
    if (!pending.queued && pending.hedgeAt <= now)
        hedge(state, *caller, now);
}

void checkLinks(engine &state, core::time_point now)
{
    std::vector<link_id> overdue;
    for (const auto &[id, link] : state.links) {
        const bool awaitsAnswer = !link.expected.empty() || link.state == link_state::Connecting;
        if (awaitsAnswer && link.answerDeadline <= now)
            overdue.push_back(id);
    }
    for (const link_id id : overdue)
        closeLink(state, id, false, now);
}

/// @return how many sessions are closed now, so that all are closed by the deadline, regardless of
/// their number. Sessions that were opened after the shutdown began count too.
std::size_t closesPerInterval(const engine &state, std::size_t idleSessions, core::time_point now)
{
    if (now >= state.sessionCloseDeadline)
        return idleSessions;
    const core::duration left = state.sessionCloseDeadline - now;
    const auto intervalsLeft = static_cast<std::size_t>(left / sessionCloseInterval) + 1;
    return idleSessions / intervalsLeft + (idleSessions % intervalsLeft == 0 ? 0 : 1);
}

/// Closes idle sessions in batches. A request that arrives while its connection is being closed is
/// refused by the notice of the close, so each close must leave the process immediately, even on a
/// slow instance.
void closeIdleSessions(engine &state, core::time_point now)
{
    if (now < state.nextSessionCloseAt)
        return;
    state.nextSessionCloseAt = now + sessionCloseInterval;
    std::vector<session_id> idleSessions;
    for (const auto &[id, caller] : state.sessions) {
        if (!caller.current && caller.waiting.empty()
            && (caller.state == transaction_state::Idle
                || now >= state.stopDeadline - lastAnswerMargin))
            idleSessions.push_back(id);
    }
    idleSessions.resize(closesPerInterval(state, idleSessions.size(), now));
    for (const session_id id : idleSessions) {
        session &caller = state.sessions.at(id);
        caller.ending = session_close{ session_end::Stopping, refusal_reason::Stopping };
        closeSession(state, caller, now);
    }
}

} // namespace

void endTransaction(engine &state, session &caller, refusal_reason reason, core::time_point now)
{
    const link_id pinnedLink = caller.transaction->link;
    caller.transaction->link = 0;
    caller.transaction->lost = true;
    // Only these reasons promise that nothing of the transaction is kept.
    const bool isPromise = rowOf(reason).code == reply_code::Aborted;
    caller.transaction->lostReason = isPromise ? reason : refusal_reason::TransactionLost;
    caller.transaction->idleDeadline = core::noDeadline;
    noteRequest(state, note_kind::TransactionEnded, caller, {}, toString(reason));
    if (upstream_link *link = findLink(state, pinnedLink))
        rollBack(state, *link, now);
}

bool isPastTransactionDrain(const engine &state, core::time_point now)
{
    return state.stopping && now >= state.transactionDrainDeadline;
}

core::time_point limitToShutdown(const engine &state, core::time_point deadline)
{
    return state.stopping ? std::min(deadline, state.stopDeadline - lastAnswerMargin) : deadline;
}

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
    const core::time_point lastAnswerAt = state.stopDeadline - lastAnswerMargin;
    state.sessionCloseFrom = std::min(now + idleSessionCloseDelay, lastAnswerAt);
    state.sessionCloseDeadline =
            std::min(state.sessionCloseFrom + sessionClosePeriod, lastAnswerAt);
    state.nextSessionCloseAt = state.sessionCloseFrom;
    for (const session_id id : state.active) {
        auto &current = state.sessions.at(id).current;
        if (!current)
            continue;
        current->deadline = limitToShutdown(state, current->deadline);
        if (current->awaitsToken)
            current->waitUntil = limitToShutdown(state, current->waitUntil);
    }
    decision_note note;
    note.kind = note_kind::StopStarted;
    note.number = static_cast<std::int64_t>(state.sessions.size());
    state.out.emplace_back(std::move(note));
}

void closeRemainingSessions(engine &state, core::time_point now)
{
    std::vector<session_id> remaining;
    for (const auto &[id, caller] : state.sessions)
        remaining.push_back(id);
    for (const session_id id : remaining) {
        session &caller = state.sessions.at(id);
        caller.ending = session_close{ session_end::Stopping, refusal_reason::Stopping };
        if (!caller.current) {
            closeSession(state, caller, now);
            continue;
        }
        const bool mayHaveRun = caller.current->wasSent || caller.current->heldCommit;
        refuseRequest(state, caller,
                      mayHaveRun ? refusal_reason::AnswerLost : refusal_reason::Stopping, now);
    }
}

void onTimer(engine &state, core::time_point now)
{
    state.lastTimerAt = now;
    const std::vector<session_id> active(state.active.begin(), state.active.end());
    for (const session_id id : active)
        checkSession(state, id, now);
    for (auto &[name, service] : state.services) {
        if (!service.queue.empty())
            serveQueue(state, service, now);
    }
    stepQuotas(state, now);
    requestParts(state, now);
    stepRecall(state, now);
    stepPromotions(state, now);
    stepEvidence(state, now);
    stepReceipts(state, now);
    if (now >= state.nextMaintenanceAt) {
        const bool idle = state.links.empty() && state.active.empty();
        state.nextMaintenanceAt = now + (idle ? idleMaintenanceInterval : maintenanceInterval);
        checkLinks(state, now);
        trimLinks(state, now);
        expireMissingMembers(state, now);
        detectSilentMembers(state, now);
        checkReplicas(state, now);
        returnUnusedTokens(state, now);
        writeDueClaim(state, now);
    }
    if (state.stopping)
        closeIdleSessions(state, now);
    exchangeWithPeers(state, now);
}

core::time_point nextTimerAt(const engine &state)
{
    core::time_point due = std::min(state.nextMaintenanceAt, state.nextExchangeAt);
    due = std::min({ due, state.nextPartRequest, state.recall.nextRequestAt });
    due = std::min(
            { due, nextPromotionStep(state), nextEvidenceStep(state), nextReceiptStep(state) });
    if (state.stopping)
        due = std::min(due, state.nextSessionCloseAt);
    if (state.waitingLoans > 0)
        due = std::min(due, state.lastTimerAt + queueRetryInterval);
    for (const session_id id : state.active) {
        const session &caller = state.sessions.at(id);
        if (!caller.current) {
            if (caller.transaction)
                due = std::min(due, caller.transaction->idleDeadline);
            continue;
        }
        const request &pending = *caller.current;
        if (!pending.awaitsToken)
            due = std::min(due, pending.deadline);
        if (pending.queued || pending.awaitsToken)
            due = std::min({ due, pending.waitUntil, state.lastTimerAt + queueRetryInterval });
        else
            due = std::min(due, pending.hedgeAt);
    }
    return due;
}

} // namespace fuchsiagw::proxy
