/// @file
/// @brief Group owner: connections, answers of members and confirmations.

#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

using namespace detail;

namespace {

member_failure connectionFailure(bool wasSilent)
{
    return wasSilent ? member_failure::Silence : member_failure::Closed;
}

void recordMemberFailure(owner_context &context, const member_id &member, member_failure failure)
{
    observeFailure(context.owner.view, member, failure, context.now, context.random);
    context.actions.emplace_back(owner_notice{ owner_event::MemberFailed, member, 0, failure, 0 });
}

answer_verdict checkStatementAnswer(owner_context &context, const owned_statement &statement,
                                    const execute_answer &answer)
{
    if (answer.id != statement.progress.attempt)
        return answer_verdict::Drop;
    if (answer.status != execute_status::Ok || statement.request.kind != statement_kind::Read)
        return answer_verdict::Accept;
    const routing_request request =
            makeRoutingRequest(statement.request, statement.maxAge, context.owner.zone);
    return checkAnswer(context.owner.view, request, statement.progress.attempt, answer,
                       statement.route.fromReplica, context.now);
}

/// @return the statement that was sent on a connection; nothing if the statement has ended
std::optional<std::uint64_t> findSentStatement(const group_owner &owner, connection_id id)
{
    const auto connection = owner.pool.connections.find(id);
    if (connection == owner.pool.connections.end() || connection->second.statement == 0)
        return std::nullopt;
    const auto statement = owner.statements.find(connection->second.statement);
    if (statement == owner.statements.end() || statement->second.connection != id)
        return std::nullopt;
    return statement->first;
}

/// Interval between status requests that check whether a majority is still under a read's term.
constexpr duration majorityCheckInterval = std::chrono::milliseconds(100);

/// Without a usable session there is no position with which an answer's position can be compared.
/// The answer is fresh enough if a majority was still under the read's term after the read was
/// sent: no other primary can then have acknowledged a write before that time.
bool needsMajorityCheck(const statement_request &request, const execute_answer &answer)
{
    return request.isSessionUnusable && request.kind == statement_kind::Read
           && answer.status == execute_status::Ok;
}

bool isMajorityConfirmed(const group_view &view, const owned_statement &read)
{
    const auto count =
            std::count_if(view.members.begin(), view.members.end(), [&read](const auto &each) {
                return each.second.acceptedTerm == read.progress.term
                       && each.second.termQueriedAt >= read.sentAt;
            });
    return static_cast<std::size_t>(count) >= majorityOf(view.members.size());
}

void requestMajorityCheck(owner_context &context, const member_id &except)
{
    for (const auto &[id, member] : context.owner.view.members) {
        if (id == except)
            continue;
        control_call request;
        request.kind = control_kind::Status;
        request.member = id;
        request.deadline = context.now + probeTimeout;
        sendControlRequest(context, std::move(request));
    }
}

/// Fails a statement whose primary was replaced. Its transaction can no longer be committed.
void failLostTransaction(owner_context &context, std::uint64_t handle, std::uint64_t number)
{
    const auto transaction = context.owner.transactions.find(number);
    if (transaction != context.owner.transactions.end() && !transaction->second.isBusy)
        discardConnection(context, transaction->second.connection);
    failStatement(context, handle, error_kind::TransactionLost);
}

/// Finishes the reads whose term is confirmed or superseded, and repeats the majority check for the
/// others.
void resolveReads(owner_context &context)
{
    group_owner &owner = context.owner;
    std::vector<std::uint64_t> decided;
    for (auto &[handle, nextCheckAt] : owner.readsAwaitingMajority) {
        const owned_statement &read = owner.statements.at(handle);
        const bool isReplaced =
                owner.view.highestTerm > read.progress.term && owner.view.primary.has_value();
        if (isReplaced || isMajorityConfirmed(owner.view, read)) {
            decided.push_back(handle);
        } else if (context.now >= nextCheckAt) {
            nextCheckAt = context.now + majorityCheckInterval;
            requestMajorityCheck(context, read.progress.member);
        }
    }
    for (const std::uint64_t handle : decided) {
        owned_statement &read = owner.statements.at(handle);
        owner.readsAwaitingMajority.erase(handle);
        if (isMajorityConfirmed(owner.view, read))
            applyExchangeAction(context, handle, onConfirmed(read.progress));
        else if (read.request.transaction)
            failLostTransaction(context, handle, read.request.transaction->number);
        else
            applyExchangeAction(context, handle, onSuperseded(read.progress, context.now));
    }
}

void processAnswer(owner_context &context, std::uint64_t handle, connection_id id,
                   const execute_answer &answer)
{
    group_owner &owner = context.owner;
    owned_statement &statement = owner.statements.at(handle);
    const answer_verdict verdict = checkStatementAnswer(context, statement, answer);
    if (verdict == answer_verdict::Drop) {
        context.actions.emplace_back(
                owner_notice{ owner_event::ForeignAnswer, statement.progress.member, 0, {}, 0 });
    } else {
        observeAnswer(owner.view, statement.progress.member, answer, statement.progress.term,
                      statement.sentAt, context.now);
        reportPrimary(context);
        recordServiceTime(owner.serviceTimes, context.now - statement.sentAt);
    }
    if (verdict == answer_verdict::AskPrimaryAge)
        recordMemberFailure(context, statement.progress.member, member_failure::FarBehind);
    const exchange_action action = onAnswer(statement.progress, answer, verdict, context.now);
    const bool isMatching = verdict != answer_verdict::Drop;
    if (isMatching)
        statement.result = answer;

    const bool succeeded = isMatching && answer.status == execute_status::Ok;
    const bool ended = action.step == exchange_step::Answer
                       || action.step == exchange_step::WaitForConfirmation;
    std::optional<std::uint64_t> begun;
    if (ended || action.closeConnection)
        begun = finishTransactionStatement(context, statement, id, succeeded && !action.error);
    if (action.closeConnection)
        discardConnection(context, id);
    else if (!begun && owner.pool.connections.count(id) != 0)
        releaseConnection(context, id);
    if (begun && statement.request.kind == statement_kind::Begin) {
        statement_answer done;
        done.member = statement.progress.member;
        done.applied = answer.applied;
        done.transaction = transaction_id{ owner.incarnation, *begun };
        finishStatement(context, handle, std::move(done));
        return;
    }
    if (verdict == answer_verdict::Accept && needsMajorityCheck(statement.request, answer)) {
        statement.progress.state = exchange_state::Waiting;
        statement.stage = statement_stage::Confirming;
        owner.readsAwaitingMajority.emplace(handle, context.now);
        return; // the caller runs resolvePending()
    }
    applyExchangeAction(context, handle, action);
}

void handleConnectionLoss(owner_context &context, std::uint64_t handle, connection_id id,
                          bool wasSent)
{
    owned_statement &statement = context.owner.statements.at(handle);
    finishTransactionStatement(context, statement, id, false);
    discardConnection(context, id);
    exchange_action action;
    if (wasSent) {
        action = onConnectionLost(statement.progress, context.now);
    } else {
        // onSent() was called before the request was passed to the connection, and no byte of it
        // was sent.
        statement.progress.state = exchange_state::Queued;
        --statement.progress.unresolved;
        action = onNotSent(statement.progress, context.now);
    }
    applyExchangeAction(context, handle, action);
}

} // namespace

void onConnected(group_owner &owner, connection_id id, bool isOpen, time_point now,
                 random_engine &random, owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    const std::uint64_t handle = entry->second.statement;
    const member_id member = entry->second.member;
    const auto statement = owner.statements.find(handle);
    const bool isAwaited = statement != owner.statements.end()
                           && statement->second.stage == statement_stage::Connecting;
    entry->second.state = connection_state::Idle;
    entry->second.statement = 0;
    detectPause(context);
    if (!isOpen) {
        recordMemberFailure(context, member, member_failure::Refused);
        owner.pool.connections.erase(entry);
        if (isAwaited)
            applyExchangeAction(context, handle, onNotSent(statement->second.progress, now));
    } else if (isAwaited && owner.pool.connections.size() <= owner.pool.limit
               && acceptsNewStatements(owner, member)) {
        sendOnConnection(context, handle, id);
    } else {
        releaseConnection(context, id);
        if (isAwaited)
            applyExchangeAction(context, handle, onNotSent(statement->second.progress, now));
    }
    dispatchQueued(context);
}

void onExecuted(group_owner &owner, connection_id id, const std::optional<execute_answer> &answer,
                bool wasSent, bool wasSilent, time_point now, random_engine &random,
                owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    const member_id member = entry->second.member;
    const auto handle = findSentStatement(owner, id);
    if (!answer && wasSent)
        recordMemberFailure(context, member, connectionFailure(wasSilent));
    if (!handle)
        discardConnection(context, id);
    else if (answer)
        processAnswer(context, *handle, id, *answer);
    else
        handleConnectionLoss(context, *handle, id, wasSent);
    detail::resolvePending(context);
    dispatchQueued(context);
}

void onConnectionClosed(group_owner &owner, connection_id id, time_point now, random_engine &random,
                        owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    recordMemberFailure(context, entry->second.member, member_failure::Closed);
    owner.transactions.erase(entry->second.transaction);
    discardConnection(context, id);
    dispatchQueued(context);
}

} // namespace fuchsiagw::core

namespace fuchsiagw::detail {

using namespace core;

void sendOnConnection(owner_context &context, std::uint64_t handle, connection_id id)
{
    group_owner &owner = context.owner;
    owned_statement &statement = owner.statements.at(handle);
    pooled_connection &connection = owner.pool.connections.at(id);
    assert(connection.state != connection_state::Busy
           && connection.state != connection_state::Opening);
    const request_id attempt{ context.random(), context.random() };
    onSent(statement.progress, attempt, connection.member, statement.route.term);
    statement.stage = statement_stage::Sent;
    statement.connection = id;
    statement.sentAt = context.now;
    connection.state = connection_state::Busy;
    connection.statement = handle;
    ++owner.view.members.at(connection.member).inFlight;

    execute_request request;
    request.id = attempt;
    request.workspace = statement.request.workspace;
    request.term = statement.route.term;
    request.kind = statement.request.kind;
    request.statement = statement.request.text;
    request.parameters = statement.request.parameters;
    request.idempotencyKey = statement.request.idempotencyKey;
    const time_point limit =
            std::min(statement.request.deadline, context.now + owner.limits.answerLimit);
    context.actions.emplace_back(send_statement{ id, std::move(request), limit });
}

void endMemberExchange(group_owner &owner, const pooled_connection &connection)
{
    const auto member = owner.view.members.find(connection.member);
    if (connection.state == connection_state::Busy && member != owner.view.members.end())
        --member->second.inFlight;
}

void releaseConnection(owner_context &context, connection_id id)
{
    group_owner &owner = context.owner;
    pooled_connection &connection = owner.pool.connections.at(id);
    endMemberExchange(owner, connection);
    connection.state = connection_state::Idle;
    connection.statement = 0;
    connection.idleSince = context.now;
    if (owner.pool.connections.size() > owner.pool.limit) {
        discardConnection(context, id);
        return;
    }
    auto &readyQueue = owner.ready[connection.member];
    if (!readyQueue.empty()) {
        const std::uint64_t next = readyQueue.front();
        readyQueue.pop_front();
        --owner.readyCount;
        detectPause(context);
        if (acceptsNewStatements(owner, connection.member))
            sendOnConnection(context, next, id);
        else
            routeToMember(context, next);
        return;
    }
    // Statements for a member without any connection may be waiting to replace this one.
    for (auto &[member, waiting] : owner.ready) {
        if (waiting.empty() || countConnections(owner.pool, member) != 0)
            continue;
        const std::uint64_t next = waiting.front();
        waiting.pop_front();
        --owner.readyCount;
        routeToMember(context, next);
        return;
    }
}

void discardConnection(owner_context &context, connection_id id)
{
    group_owner &owner = context.owner;
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    endMemberExchange(owner, entry->second);
    owner.transactions.erase(entry->second.transaction);
    owner.pool.connections.erase(entry);
    context.actions.emplace_back(close_connection{ id });
}

void resolvePending(owner_context &context)
{
    group_owner &owner = context.owner;
    resolveReads(context);
    for (const resolved_write &each :
         resolveWrites(owner.pending, owner.view, owner.policy, context.now)) {
        const auto entry = owner.statements.find(each.number);
        if (entry == owner.statements.end())
            continue;
        exchange &progress = entry->second.progress;
        if (each.outcome == write_outcome::Acknowledged)
            applyExchangeAction(context, each.number, onConfirmed(progress));
        else if (each.outcome == write_outcome::Superseded)
            applyExchangeAction(context, each.number, onSuperseded(progress, context.now));
        else
            applyExchangeAction(context, each.number, onNotConfirmed(progress));
    }
    for (const wait_request &each : openWaits(owner.pending, owner.view, context.now)) {
        control_call request;
        request.kind = control_kind::Wait;
        request.member = each.member;
        request.position = each.position;
        request.held = each.holdTimeout;
        request.deadline = each.deadline;
        sendControlRequest(context, std::move(request));
    }
}

} // namespace fuchsiagw::detail
