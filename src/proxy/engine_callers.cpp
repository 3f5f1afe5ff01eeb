/// @file
/// @brief Sessions of callers: access control, values, prepared statements, transactions.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr std::size_t maxWaitingStatements = 64; // pipelined by one caller
/// A session with less state is never refused more of it: ordinary sessions are served while others
/// use the memory up.
constexpr std::size_t smallStateBytes = 4'096;
/// The daemon has then read the store, or another one has answered.
constexpr core::duration manifestRetryDelay = std::chrono::milliseconds(500);
constexpr std::string_view proxyDigest = "-"; // digest of answers from the proxy itself

reply proxySuccess(transaction_state state)
{
    reply answer;
    answer.digest = proxyDigest;
    answer.state = state;
    return answer;
}

/// @return when another try may find the manifest proven; 0: unknown
core::duration retryDelayOf(refusal_reason reason)
{
    const bool isTemporary = reason == refusal_reason::ManifestUnproven;
    return isTemporary ? manifestRetryDelay : core::duration::zero();
}

/// A caller takes an unknown database or key as final, so this must not rest on a manifest that a
/// newer one may have replaced.
/// @return the reason, or ManifestUnproven if another daemon may have a manifest that allows it
refusal_reason provenRefusal(const engine &state, refusal_reason reason, core::time_point now)
{
    const core::duration limit = state.settings.configurationLimit;
    const bool isOld = limit != core::duration::zero() && now - state.manifestProvenAt > limit;
    return state.isManifestMissing || isOld ? refusal_reason::ManifestUnproven : reason;
}

/// @brief Checks the session's access and sets its workspace.
/// @return why the session may not start an operation now, if it may not
std::optional<refusal_reason> checkAccess(const engine &state, session &caller,
                                          core::time_point now)
{
    if (!state.config)
        return refusal_reason::NotConfigured;
    const auto found = state.config->routes.find(caller.database);
    if (found == state.config->routes.end())
        return provenRefusal(state, refusal_reason::UnknownDatabase, now);
    const auto key = state.config->workspaceByKey.find(caller.key);
    if (key != state.config->workspaceByKey.end()) {
        caller.workspace = state.config->workspaces[key->second].name;
        return std::nullopt;
    }
    if (!found->second.anonymousAllowed || !caller.key.empty())
        return provenRefusal(state, refusal_reason::KeyNotAccepted, now);
    caller.workspace.clear();
    return std::nullopt;
}

const route &currentRoute(const engine &state, const session &caller)
{
    return state.config->routes.find(caller.database)->second;
}

void begin(engine &state, session &caller, bool readOnly, core::time_point now)
{
    if (caller.state != transaction_state::Idle) {
        refuseRequest(state, caller, refusal_reason::OutOfPlace, now);
        return;
    }
    if (!admitOperation(state, caller, now))
        return;
    open_transaction transaction;
    transaction.readOnly = readOnly;
    transaction.effectiveRoute = currentRoute(state, caller);
    caller.transaction = transaction;
    caller.state = transaction_state::Open;
    finishRequest(state, caller, proxySuccess(caller.state), now);
}

/// @brief Ends a transaction that has failed or that its caller rolls back.
void abortTransaction(engine &state, session &caller, core::time_point now)
{
    if (caller.transaction && caller.transaction->link != 0) {
        if (upstream_link *link = findLink(state, caller.transaction->link))
            rollBack(state, *link, now);
    }
    caller.transaction.reset();
    caller.state = transaction_state::Idle;
}

/// @brief Reports a lost transaction in the answer to the first statement after the loss.
/// @return whether the current request was answered
bool reportTransactionLoss(engine &state, session &caller, core::time_point now)
{
    if (!caller.transaction || !caller.transaction->lost)
        return false;
    const refusal_reason reason = caller.transaction->lostReason;
    const bool ends = caller.current->statement.kind == statement_kind::Commit;
    caller.state = ends ? transaction_state::Idle : transaction_state::Failed;
    if (ends)
        caller.transaction.reset();
    else
        caller.transaction->lost = false;
    refuseRequest(state, caller, reason, now);
    return true;
}

void runStatement(engine &state, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    if (pending.statement.kind == statement_kind::Execute) {
        const auto prepared = caller.prepared.find(pending.statement.name);
        if (prepared == caller.prepared.end()) {
            refuseRequest(state, caller, refusal_reason::PreparedUnknown, now);
            return;
        }
        pending.statement.prepared = prepared->second;
    }
    pending.writes = pending.statement.kind == statement_kind::Write
                     || (pending.statement.kind == statement_kind::Execute
                         && pending.statement.prepared.writes);
    if (caller.state == transaction_state::Idle) {
        if (!admitOperation(state, caller, now))
            return;
        pending.effectiveRoute = currentRoute(state, caller);
        pending.startsOperation = true;
    } else {
        pending.effectiveRoute = caller.transaction->effectiveRoute;
        pending.startsOperation = caller.transaction->link == 0;
    }
    pending.deadline = limitToShutdown(state, now + pending.effectiveRoute.statementTimeout);
    if (pending.startsOperation)
        decidePlacement(state, caller, pending);
    placeRequest(state, caller, now);
}

void commit(engine &state, session &caller, core::time_point now)
{
    if (caller.state == transaction_state::Idle) {
        refuseRequest(state, caller, refusal_reason::OutOfPlace, now);
        return;
    }
    if (caller.state == transaction_state::Failed) {
        abortTransaction(state, caller, now);
        refuseRequest(state, caller, refusal_reason::TransactionLost, now);
        return;
    }
    runStatement(state, caller, now);
}

void rollback(engine &state, session &caller, core::time_point now)
{
    if (caller.state == transaction_state::Idle) {
        refuseRequest(state, caller, refusal_reason::OutOfPlace, now);
        return;
    }
    abortTransaction(state, caller, now);
    finishRequest(state, caller, proxySuccess(caller.state), now);
}

/// @return bytes that an entry of the session's values or prepared statements keeps
std::size_t entryBytes(const std::string &name, std::size_t contentBytes)
{
    constexpr std::size_t entryOverhead = 128; // nodes and strings
    return name.size() + contentBytes + entryOverhead;
}

/// @return bytes of the entry that the statement sets, prepares or drops, as the session has it now
std::size_t presentEntryBytes(const session &caller, const caller_statement &statement)
{
    if (statement.kind == statement_kind::SetValue) {
        const auto value = caller.values.find(statement.name);
        return value == caller.values.end() ? 0 : entryBytes(statement.name, value->second.size());
    }
    const auto prepared = caller.prepared.find(statement.name);
    return prepared == caller.prepared.end()
                   ? 0
                   : entryBytes(statement.name, prepared->second.shape.size());
}

/// Counts the change of the session's state by a statement.
/// @return false if it would need too much memory
bool countStateBytes(engine &state, session &caller, const caller_statement &statement)
{
    std::size_t added = 0;
    if (statement.kind == statement_kind::SetValue)
        added = entryBytes(statement.name, statement.argument.size());
    else if (statement.kind == statement_kind::Prepare)
        added = entryBytes(statement.name, statement.prepared.shape.size());
    const std::size_t removed = presentEntryBytes(caller, statement);
    const std::size_t all = state.stateBytes - removed + added;
    const bool isShort = added <= smallStateBytes && caller.stateBytes + added <= smallStateBytes;
    if (all > state.settings.maxStateBytes && added > removed && !isShort)
        return false;
    state.stateBytes = all;
    caller.stateBytes = caller.stateBytes - removed + added;
    return true;
}

void updateSession(engine &state, session &caller, core::time_point now)
{
    const caller_statement &statement = caller.current->statement;
    if (!countStateBytes(state, caller, statement)) {
        refuseRequest(state, caller, refusal_reason::StateTooLarge, now);
        return;
    }
    if (statement.kind == statement_kind::SetValue)
        caller.values[statement.name] = statement.argument;
    else if (statement.kind == statement_kind::Prepare)
        caller.prepared[statement.name] = statement.prepared;
    else if (caller.prepared.erase(statement.name) == 0) {
        refuseRequest(state, caller, refusal_reason::PreparedUnknown, now);
        return;
    }
    finishRequest(state, caller, proxySuccess(caller.state), now);
}

/// Ends a transaction that is still open in the second half of a shutdown's grace period, unless
/// its caller commits now and in time. A caller without pauses between its statements never leaves
/// it idle.
void endDrainedTransaction(engine &state, session &caller, bool commits, core::time_point now)
{
    if (caller.state != transaction_state::Open || caller.transaction->lost
        || !isPastTransactionDrain(state, now))
        return;
    if (!commits || now >= state.stopDeadline - lastOperationMargin)
        endTransaction(state, caller, refusal_reason::Stopping, now);
}

/// Ends a transaction at a member that gets no statements any more, a commit included.
void endEvacuatedTransaction(engine &state, session &caller, core::time_point now)
{
    if (caller.state == transaction_state::Open && !caller.transaction->lost
        && isTransactionEvacuated(state, caller, now))
        endTransaction(state, caller, refusal_reason::ZoneEvacuated, now);
}

/// Ends a transaction that has written at a primary which an open promotion order would replace:
/// its commit might be lost.
void endFencedTransaction(engine &state, session &caller, core::time_point now)
{
    if (caller.state == transaction_state::Open && !caller.transaction->lost
        && isTransactionFenced(state, caller, now))
        endTransaction(state, caller, refusal_reason::TransactionLost, now);
}

/// @return whether a shutdown leaves no time for the operation that the statement starts
bool startsTooLate(const engine &state, const session &caller, core::time_point now)
{
    if (!state.stopping || caller.state != transaction_state::Idle)
        return false;
    const statement_kind kind = caller.current->statement.kind;
    const bool begins = kind == statement_kind::Begin || kind == statement_kind::BeginReadOnly;
    // A transaction would be ended before its first statement.
    return (begins && isPastTransactionDrain(state, now))
           || now >= state.stopDeadline - lastOperationMargin;
}

/// @return whether the current request was refused
bool refuseIfTooLate(engine &state, session &caller, core::time_point now)
{
    if (!startsTooLate(state, caller, now))
        return false;
    caller.ending = session_close{ session_end::Stopping, refusal_reason::Stopping };
    refuseRequest(state, caller, refusal_reason::Stopping, now);
    return true;
}

void dispatch(engine &state, session &caller, core::time_point now)
{
    const statement_kind kind = caller.current->statement.kind;
    if (kind == statement_kind::Rollback) {
        rollback(state, caller, now);
        return;
    }
    const bool ends = kind == statement_kind::Commit;
    endDrainedTransaction(state, caller, ends, now);
    endEvacuatedTransaction(state, caller, now);
    endFencedTransaction(state, caller, now);
    if (reportTransactionLoss(state, caller, now))
        return;
    if (kind == statement_kind::Malformed || (caller.state == transaction_state::Failed && !ends)) {
        refuseRequest(state, caller, refusal_reason::OutOfPlace, now);
        return;
    }
    switch (kind) {
    case statement_kind::Begin:
    case statement_kind::BeginReadOnly:
        begin(state, caller, kind == statement_kind::BeginReadOnly, now);
        break;
    case statement_kind::Commit:
        commit(state, caller, now);
        break;
    case statement_kind::SetValue:
    case statement_kind::Prepare:
    case statement_kind::Deallocate:
        updateSession(state, caller, now);
        break;
    default:
        runStatement(state, caller, now);
    }
}

void startStatement(engine &state, session &caller, caller_statement statement,
                    core::time_point now)
{
    ++state.counters.statements;
    request pending;
    pending.serial = ++state.lastSerial;
    pending.statement = std::move(statement);
    pending.arrived = now;
    caller.current = std::move(pending);
    state.active.insert(caller.id);
    if (caller.transaction)
        caller.transaction->idleDeadline = core::noDeadline;
    if (refuseIfTooLate(state, caller, now))
        return;
    if (caller.state == transaction_state::Idle) {
        if (const auto refused = checkAccess(state, caller, now)) {
            const core::duration retryAfter = retryDelayOf(*refused);
            if (*refused != refusal_reason::NotConfigured)
                caller.ending = session_close{ session_end::Refused, *refused, retryAfter };
            refuseRequest(state, caller, *refused, now, retryAfter);
            return;
        }
    }
    dispatch(state, caller, now);
}
} // namespace

bool onSessionOpened(engine &state, session_id id, const std::string &database,
                     const std::string &key, core::time_point now)
{
    session caller;
    caller.id = id;
    caller.database = database;
    caller.key = key;
    auto refused = checkAccess(state, caller, now);
    if (!refused && state.sessions.size() >= state.settings.maxSessions)
        refused = refusal_reason::TooManySessions;
    if (state.stopping && now >= state.sessionCloseFrom)
        refused = refusal_reason::Stopping;
    if (refused) {
        ++state.counters.refused.at(static_cast<std::size_t>(*refused));
        state.out.emplace_back(send_to_caller{
                id, refuse(*refused, transaction_state::Idle, retryDelayOf(*refused)), true });
        decision_note note;
        note.kind = note_kind::StatementRefused;
        note.session = id;
        note.reason = toString(*refused);
        note.manifestVersion = manifestVersionOf(state);
        state.out.emplace_back(std::move(note));
        return false;
    }
    state.sessions.emplace(id, std::move(caller));
    state.out.emplace_back(send_to_caller{ id, reply{}, true });
    return true;
}

void resume(engine &state, session &caller, core::time_point now)
{
    if (!refuseIfTooLate(state, caller, now))
        dispatch(state, caller, now);
}

void onCallerStatement(engine &state, session_id id, caller_statement statement,
                       core::time_point now)
{
    session *caller = findSession(state, id);
    if (caller == nullptr || caller->ending)
        return;
    if (!caller->current) {
        startStatement(state, *caller, std::move(statement), now);
        return;
    }
    if (caller->waiting.size() < maxWaitingStatements) {
        caller->waiting.push_back(std::move(statement));
        return;
    }
    caller->ending = session_close{ session_end::TooManyWaiting,
                                    refusal_reason::TooManyStatements,
                                    {},
                                    accepted_statements::AreRun };
}

void finishRequest(engine &state, session &caller, reply answer, core::time_point now)
{
    caller.current.reset();
    if (caller.transaction && caller.state != transaction_state::Idle) {
        const core::duration limit =
                state.config ? state.config->transactionIdleLimit : core::duration::zero();
        if (limit > core::duration::zero())
            caller.transaction->idleDeadline = now + limit;
    } else {
        state.active.erase(caller.id);
    }
    answer.state = caller.state;
    state.out.emplace_back(send_to_caller{ caller.id, std::move(answer) });
    const bool runsAccepted =
            caller.ending && caller.ending->accepted == accepted_statements::AreRun;
    if (caller.ending && (!runsAccepted || caller.waiting.empty())) {
        closeSession(state, caller, now);
        return;
    }
    if (caller.waiting.empty())
        return;
    caller_statement next = std::move(caller.waiting.front());
    caller.waiting.pop_front();
    startStatement(state, caller, std::move(next), now);
}

void refuseRequest(engine &state, session &caller, refusal_reason reason, core::time_point now,
                   core::duration retryAfter)
{
    ++state.counters.refused.at(static_cast<std::size_t>(reason));
    const bool outcomeUnknown = rowOf(reason).code == reply_code::OutcomeUnknown
                                || reason == refusal_reason::NoAnswerInTime;
    noteRequest(state, outcomeUnknown ? note_kind::StatementUncertain : note_kind::StatementRefused,
                caller, {}, toString(reason), now - caller.current->arrived, caller.current->tries);
    // A single statement that was never sent returns its token to the workspace's rate limit.
    if (caller.state == transaction_state::Idle && caller.current->admitted
        && !caller.current->wasSent)
        refundToken(state.quota, caller.workspace, now);
    finishRequest(state, caller, refuse(reason, caller.state, retryAfter), now);
}

namespace {

/// @return the kind of the route of a session; empty if it is unknown
std::string_view routeKindOf(const engine &state, const session &caller)
{
    if (!state.config)
        return {};
    const auto found = state.config->routes.find(caller.database);
    return found == state.config->routes.end() ? std::string_view{} : toString(found->second.kind);
}

} // namespace

void noteRequest(engine &state, note_kind kind, const session &caller, const std::string &member,
                 std::string_view reason, core::duration age, std::int64_t number)
{
    decision_note note;
    note.kind = kind;
    note.session = caller.id;
    note.workspace = caller.workspace;
    note.member = member;
    note.reason = reason;
    note.age = age;
    note.number = number;
    if (kind == note_kind::StatementRefused)
        note.manifestVersion = manifestVersionOf(state);
    if (caller.current) {
        note.request = caller.current->statement.id;
        note.service = caller.current->effectiveRoute.service;
        note.route = routeKindOf(state, caller);
        if (caller.current->where.minPosition)
            note.position = *caller.current->where.minPosition;
    }
    state.out.emplace_back(std::move(note));
}

} // namespace fuchsiagw::proxy
