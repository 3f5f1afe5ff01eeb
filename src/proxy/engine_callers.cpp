/// @file
/// @brief Callers' sessions: access, values, prepared statements, transactions.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr std::size_t maxWaitingStatements = 64; // sent before the answer to an earlier one
constexpr std::string_view ownDigest = "-"; // of answers that no member gave

reply ownSuccess(transaction_state state)
{
    reply answer;
    answer.digest = ownDigest;
    answer.state = state;
    return answer;
}

/// @return why the session may not start anything now
std::optional<refusal_reason> checkAccess(engine &state, session &who)
{
    if (!state.config)
        return refusal_reason::NotConfigured;
    const auto found = state.config->routes.find(who.database);
    if (found == state.config->routes.end())
        return refusal_reason::UnknownDatabase;
    const auto key = state.config->workspaceByKey.find(who.key);
    if (key != state.config->workspaceByKey.end()) {
        who.workspace = state.config->workspaces[key->second].name;
        return std::nullopt;
    }
    if (!found->second.anonymousAllowed || !who.key.empty())
        return refusal_reason::KeyNotAccepted;
    who.workspace.clear();
    return std::nullopt;
}

const route &currentRoute(const engine &state, const session &who)
{
    return state.config->routes.find(who.database)->second;
}

void begin(engine &state, session &who, bool readOnly, core::time_point now)
{
    if (who.state != transaction_state::Idle) {
        finishRefused(state, who, refusal_reason::OutOfPlace, now);
        return;
    }
    if (!admitOperation(state, who, now))
        return;
    open_transaction transaction;
    transaction.readOnly = readOnly;
    transaction.via = currentRoute(state, who);
    who.transaction = transaction;
    who.state = transaction_state::Open;
    finish(state, who, ownSuccess(who.state), now);
}

/// @brief Ends a transaction that has failed, or that its caller takes back.
void endWithoutCommit(engine &state, session &who, core::time_point now)
{
    if (who.transaction && who.transaction->link != 0) {
        if (upstream_link *link = findLink(state, who.transaction->link))
            rollBack(state, *link, now);
    }
    who.transaction.reset();
    who.state = transaction_state::Idle;
}

/// @brief Answers the first statement after the transaction's connection was lost.
bool answerLost(engine &state, session &who, core::time_point now)
{
    if (!who.transaction || !who.transaction->lost)
        return false;
    const refusal_reason reason = who.transaction->lostReason;
    const bool ends = who.current->statement.kind == statement_kind::Commit;
    who.state = ends ? transaction_state::Idle : transaction_state::Failed;
    if (ends)
        who.transaction.reset();
    else
        who.transaction->lost = false;
    finishRefused(state, who, reason, now);
    return true;
}

void run(engine &state, session &who, core::time_point now)
{
    request &what = *who.current;
    if (what.statement.kind == statement_kind::Execute) {
        const auto prepared = who.prepared.find(what.statement.name);
        if (prepared == who.prepared.end()) {
            finishRefused(state, who, refusal_reason::PreparedUnknown, now);
            return;
        }
        what.statement.prepared = prepared->second;
    }
    what.writes =
            what.statement.kind == statement_kind::Write
            || (what.statement.kind == statement_kind::Execute && what.statement.prepared.writes);
    if (who.state == transaction_state::Idle) {
        if (!admitOperation(state, who, now))
            return;
        what.via = currentRoute(state, who);
        what.starts = true;
    } else {
        what.via = who.transaction->via;
        what.starts = who.transaction->link == 0;
    }
    what.deadline = now + what.via.statementTimeout;
    if (what.starts)
        decidePlacement(state, who, what);
    place(state, who, now);
}

void commit(engine &state, session &who, core::time_point now)
{
    if (who.state == transaction_state::Idle) {
        finishRefused(state, who, refusal_reason::OutOfPlace, now);
        return;
    }
    if (who.state == transaction_state::Failed) {
        endWithoutCommit(state, who, now);
        finishRefused(state, who, refusal_reason::TransactionLost, now);
        return;
    }
    run(state, who, now);
}

void rollback(engine &state, session &who, core::time_point now)
{
    if (who.state == transaction_state::Idle) {
        finishRefused(state, who, refusal_reason::OutOfPlace, now);
        return;
    }
    endWithoutCommit(state, who, now);
    finish(state, who, ownSuccess(who.state), now);
}

void changeSession(engine &state, session &who, core::time_point now)
{
    const caller_statement &statement = who.current->statement;
    if (statement.kind == statement_kind::SetValue)
        who.values[statement.name] = statement.argument;
    else if (statement.kind == statement_kind::Prepare)
        who.prepared[statement.name] = statement.prepared;
    else if (who.prepared.erase(statement.name) == 0) {
        finishRefused(state, who, refusal_reason::PreparedUnknown, now);
        return;
    }
    finish(state, who, ownSuccess(who.state), now);
}

void dispatch(engine &state, session &who, core::time_point now)
{
    const statement_kind kind = who.current->statement.kind;
    if (kind == statement_kind::Rollback) {
        rollback(state, who, now);
        return;
    }
    if (answerLost(state, who, now))
        return;
    const bool ends = kind == statement_kind::Commit;
    if (kind == statement_kind::Malformed || (who.state == transaction_state::Failed && !ends)) {
        finishRefused(state, who, refusal_reason::OutOfPlace, now);
        return;
    }
    switch (kind) {
    case statement_kind::Begin:
    case statement_kind::BeginReadOnly:
        begin(state, who, kind == statement_kind::BeginReadOnly, now);
        break;
    case statement_kind::Commit:
        commit(state, who, now);
        break;
    case statement_kind::SetValue:
    case statement_kind::Prepare:
    case statement_kind::Deallocate:
        changeSession(state, who, now);
        break;
    default:
        run(state, who, now);
    }
}

void start(engine &state, session &who, caller_statement statement, core::time_point now)
{
    ++state.counters.statements;
    request what;
    what.serial = ++state.lastSerial;
    what.statement = std::move(statement);
    what.arrived = now;
    who.current = std::move(what);
    state.active.insert(who.id);
    if (who.transaction)
        who.transaction->idleUntil = core::noDeadline;
    if (who.state == transaction_state::Idle && state.stopping
        && now >= state.stopAt - lastOperation) {
        who.closing = true;
        finishRefused(state, who, refusal_reason::Stopping, now);
        return;
    }
    if (who.state == transaction_state::Idle) {
        if (const auto refused = checkAccess(state, who)) {
            who.closing = *refused != refusal_reason::NotConfigured;
            finishRefused(state, who, *refused, now);
            return;
        }
    }
    dispatch(state, who, now);
}
} // namespace

bool onSessionOpened(engine &state, session_id id, const std::string &database,
                     const std::string &key, core::time_point now)
{
    session who;
    who.id = id;
    who.database = database;
    who.key = key;
    auto refused = checkAccess(state, who);
    if (!refused && state.sessions.size() >= state.settings.maxSessions)
        refused = refusal_reason::TooManySessions;
    if (state.stopping && now >= state.stopAt - state.settings.gracePeriod + idleSessionsUntil)
        refused = refusal_reason::Stopping;
    if (refused) {
        ++state.counters.refused.at(static_cast<std::size_t>(*refused));
        state.out.emplace_back(
                send_to_caller{ id, refuse(*refused, transaction_state::Idle), true });
        decision_note line;
        line.kind = note_kind::StatementRefused;
        line.session = id;
        line.reason = toString(*refused);
        state.out.emplace_back(std::move(line));
        return false;
    }
    state.sessions.emplace(id, std::move(who));
    state.out.emplace_back(send_to_caller{ id, reply{}, true });
    return true;
}

void resume(engine &state, session &who, core::time_point now)
{
    dispatch(state, who, now);
}

void onCallerStatement(engine &state, session_id id, caller_statement statement,
                       core::time_point now)
{
    session *who = findSession(state, id);
    if (who == nullptr || who->closing)
        return;
    if (!who->current) {
        start(state, *who, std::move(statement), now);
        return;
    }
    if (who->waiting.size() < maxWaitingStatements) {
        who->waiting.push_back(std::move(statement));
        return;
    }
    state.out.emplace_back(close_caller{ id });
    onCallerGone(state, id, now);
}

void onCallerGone(engine &state, session_id id, core::time_point now)
{
    session *who = findSession(state, id);
    if (who == nullptr)
        return;
    state.active.erase(id);
    link_id held = who->transaction ? who->transaction->link : 0;
    const bool neverRan = who->current && who->current->admitted && !who->current->everSent;
    if (neverRan && who->state == transaction_state::Idle)
        giveBack(state.quota, who->workspace, now);
    decision_note line;
    line.kind = note_kind::SessionClosed;
    line.session = id;
    line.workspace = who->workspace;
    line.reason = who->closing ? "by_proxy" : "ended";
    state.out.emplace_back(std::move(line));
    state.sessions.erase(id);
    if (upstream_link *link = findLink(state, held))
        rollBack(state, *link, now);
}

void finish(engine &state, session &who, reply answer, core::time_point now)
{
    who.current.reset();
    if (who.transaction && who.state != transaction_state::Idle) {
        const core::duration limit =
                state.config ? state.config->transactionIdleLimit : core::duration::zero();
        if (limit > core::duration::zero())
            who.transaction->idleUntil = now + limit;
    } else {
        state.active.erase(who.id);
    }
    answer.state = who.state;
    state.out.emplace_back(send_to_caller{ who.id, std::move(answer) });
    const session_id id = who.id;
    if (who.closing) {
        state.out.emplace_back(close_caller{ id });
        onCallerGone(state, id, now);
        return;
    }
    if (who.waiting.empty())
        return;
    caller_statement next = std::move(who.waiting.front());
    who.waiting.pop_front();
    start(state, who, std::move(next), now);
}

void finishRefused(engine &state, session &who, refusal_reason reason, core::time_point now,
                   core::duration comeBackAfter)
{
    ++state.counters.refused.at(static_cast<std::size_t>(reason));
    const bool uncertain =
            reason == refusal_reason::AnswerLost || reason == refusal_reason::NoAnswerInTime;
    noteRequest(state, uncertain ? note_kind::StatementUncertain : note_kind::StatementRefused, who,
                {}, toString(reason), now - who.current->arrived, who.current->tries);
    // A single statement that never ran has not used its workspace's rate.
    if (who.state == transaction_state::Idle && who.current->admitted && !who.current->everSent)
        giveBack(state.quota, who.workspace, now);
    finish(state, who, refuse(reason, who.state, comeBackAfter), now);
}

void noteRequest(engine &state, note_kind kind, const session &who, const std::string &member,
                 std::string_view reason, core::duration age, std::int64_t number)
{
    decision_note line;
    line.kind = kind;
    line.session = who.id;
    line.workspace = who.workspace;
    line.member = member;
    line.reason = reason;
    line.age = age;
    line.number = number;
    if (who.current) {
        line.request = who.current->statement.id;
        line.service = who.current->via.service;
        if (who.current->where.minPosition)
            line.position = *who.current->where.minPosition;
    }
    state.out.emplace_back(std::move(line));
}

} // namespace fuchsiagw::proxy
