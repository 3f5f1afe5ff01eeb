/// @file
/// @brief The sending side of an owner: connections, answers and confirmations.

#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

using namespace detail;

namespace {

member_failure failureOf(bool wasSilent)
{
    return wasSilent ? member_failure::Silence : member_failure::Closed;
}

void noteFailure(owner_turn &turn, const member_id &member, member_failure failure)
{
    observeFailure(turn.owner.view, member, failure, turn.now, turn.random);
    turn.actions.emplace_back(owner_notice{ owner_event::MemberFailed, member, 0, failure, 0 });
}

answer_verdict verdictOn(owner_turn &turn, const owned_statement &statement,
                         const execute_answer &answer)
{
    if (answer.id != statement.progress.attempt)
        return answer_verdict::Drop;
    if (answer.status != execute_status::Ok || statement.request.kind != statement_kind::Read)
        return answer_verdict::Accept;
    const routing_request request =
            routingRequestOf(statement.request, statement.maxAge, turn.owner.zone);
    return checkAnswer(turn.owner.view, request, statement.progress.attempt, answer,
                       statement.route.fromReplica, turn.now);
}

/// The statement that was sent on a connection; nothing if it has ended meanwhile.
std::optional<std::uint64_t> sentOn(const group_owner &owner, connection_id id)
{
    const auto connection = owner.pool.connections.find(id);
    if (connection == owner.pool.connections.end() || connection->second.statement == 0)
        return std::nullopt;
    const auto statement = owner.statements.find(connection->second.statement);
    if (statement == owner.statements.end() || statement->second.connection != id)
        return std::nullopt;
    return statement->first;
}

/// Pause before the members are asked again whether a read's term still has a majority.
constexpr duration proofPause = std::chrono::milliseconds(100);

/// Without a usable session no position tells whether the answer is new enough. It is, if a
/// majority had not accepted a later term when the read was sent: then no other primary can have
/// acknowledged a write before.
bool needsProof(const statement_request &request, const execute_answer &answer)
{
    return request.sessionUnusable && request.kind == statement_kind::Read
           && answer.status == execute_status::Ok;
}

bool isProven(const group_view &view, const owned_statement &read)
{
    const auto count =
            std::count_if(view.members.begin(), view.members.end(), [&read](const auto &each) {
                return each.second.acceptedTerm == read.progress.term
                       && each.second.termAskedAt >= read.sentAt;
            });
    return static_cast<std::size_t>(count) >= majorityOf(view.members.size());
}

void askForProof(owner_turn &turn, const member_id &except)
{
    for (const auto &[id, member] : turn.owner.view.members) {
        if (id == except)
            continue;
        control_call order;
        order.kind = control_kind::Status;
        order.member = id;
        order.deadline = turn.now + probeTimeout;
        call(turn, std::move(order));
    }
}

/// The transaction of a member that was replaced can't be committed any more.
void loseTransaction(owner_turn &turn, std::uint64_t handle, std::uint64_t number)
{
    const auto transaction = turn.owner.transactions.find(number);
    if (transaction != turn.owner.transactions.end() && !transaction->second.isBusy)
        drop(turn, transaction->second.connection);
    fail(turn, handle, error_kind::TransactionLost);
}

/// Ends the reads whose proof has come, and asks again for the others.
void settleReads(owner_turn &turn)
{
    group_owner &owner = turn.owner;
    std::vector<std::uint64_t> decided;
    for (auto &[handle, askAt] : owner.unprovenReads) {
        const owned_statement &read = owner.statements.at(handle);
        const bool isReplaced =
                owner.view.highestTerm > read.progress.term && owner.view.primary.has_value();
        if (isReplaced || isProven(owner.view, read)) {
            decided.push_back(handle);
        } else if (turn.now >= askAt) {
            askAt = turn.now + proofPause;
            askForProof(turn, read.progress.member);
        }
    }
    for (const std::uint64_t handle : decided) {
        owned_statement &read = owner.statements.at(handle);
        owner.unprovenReads.erase(handle);
        if (isProven(owner.view, read))
            follow(turn, handle, onConfirmed(read.progress));
        else if (read.request.transaction)
            loseTransaction(turn, handle, read.request.transaction->number);
        else
            follow(turn, handle, onSuperseded(read.progress, turn.now));
    }
}

void takeAnswer(owner_turn &turn, std::uint64_t handle, connection_id id,
                const execute_answer &answer)
{
    group_owner &owner = turn.owner;
    owned_statement &statement = owner.statements.at(handle);
    const answer_verdict verdict = verdictOn(turn, statement, answer);
    if (verdict == answer_verdict::Drop) {
        turn.actions.emplace_back(
                owner_notice{ owner_event::ForeignAnswer, statement.progress.member, 0, {}, 0 });
    } else {
        observeAnswer(owner.view, statement.progress.member, answer, statement.progress.term,
                      statement.sentAt, turn.now);
        reportPrimary(turn);
        recordServiceTime(owner.meter, turn.now - statement.sentAt);
    }
    if (verdict == answer_verdict::AskPrimaryAge)
        noteFailure(turn, statement.progress.member, member_failure::FarBehind);
    const exchange_action action = onAnswer(statement.progress, answer, verdict, turn.now);
    const bool isOwn = verdict != answer_verdict::Drop;
    if (isOwn)
        statement.result = answer;

    const bool succeeded = isOwn && answer.status == execute_status::Ok;
    const bool ended = action.step == exchange_step::Answer
                       || action.step == exchange_step::WaitForConfirmation;
    std::optional<std::uint64_t> begun;
    if (ended || action.closeConnection)
        begun = endInTransaction(turn, statement, id, succeeded && !action.error);
    if (action.closeConnection)
        drop(turn, id);
    else if (!begun && owner.pool.connections.count(id) != 0)
        release(turn, id);
    if (begun && statement.request.kind == statement_kind::Begin) {
        statement_answer done;
        done.member = statement.progress.member;
        done.applied = answer.applied;
        done.transaction = transaction_id{ owner.incarnation, *begun };
        finish(turn, handle, std::move(done));
        return;
    }
    if (verdict == answer_verdict::Accept && needsProof(statement.request, answer)) {
        statement.progress.state = exchange_state::Waiting;
        statement.place = statement_place::Confirming;
        owner.unprovenReads.emplace(handle, turn.now);
        return; // the caller settles
    }
    follow(turn, handle, action);
}

void loseConnection(owner_turn &turn, std::uint64_t handle, connection_id id, bool wasSent)
{
    owned_statement &statement = turn.owner.statements.at(handle);
    endInTransaction(turn, statement, id, false);
    drop(turn, id);
    exchange_action action;
    if (wasSent) {
        action = onConnectionLost(statement.progress, turn.now);
    } else {
        // onSent() was called before the bytes were handed over, and none of them left.
        statement.progress.state = exchange_state::Queued;
        --statement.progress.unresolved;
        action = onNotSent(statement.progress, turn.now);
    }
    follow(turn, handle, action);
}

} // namespace

void onConnected(group_owner &owner, connection_id id, bool isOpen, time_point now,
                 random_engine &random, owner_actions &actions)
{
    owner_turn turn{ owner, now, random, actions };
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    const std::uint64_t handle = entry->second.statement;
    const member_id member = entry->second.member;
    const auto statement = owner.statements.find(handle);
    const bool isAwaited = statement != owner.statements.end()
                           && statement->second.place == statement_place::Connecting;
    entry->second.state = connection_state::Idle;
    entry->second.statement = 0;
    noticePause(turn);
    if (!isOpen) {
        noteFailure(turn, member, member_failure::Refused);
        owner.pool.connections.erase(entry);
        if (isAwaited)
            follow(turn, handle, onNotSent(statement->second.progress, now));
    } else if (isAwaited && owner.pool.connections.size() <= owner.pool.limit
               && takesNewWork(owner, member)) {
        send(turn, handle, id);
    } else {
        release(turn, id);
        if (isAwaited)
            follow(turn, handle, onNotSent(statement->second.progress, now));
    }
    pump(turn);
}

void onExecuted(group_owner &owner, connection_id id, const std::optional<execute_answer> &answer,
                bool wasSent, bool wasSilent, time_point now, random_engine &random,
                owner_actions &actions)
{
    owner_turn turn{ owner, now, random, actions };
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    const member_id member = entry->second.member;
    const auto handle = sentOn(owner, id);
    if (!answer && wasSent)
        noteFailure(turn, member, failureOf(wasSilent));
    if (!handle)
        drop(turn, id);
    else if (answer)
        takeAnswer(turn, *handle, id, *answer);
    else
        loseConnection(turn, *handle, id, wasSent);
    detail::settle(turn);
    pump(turn);
}

void onConnectionClosed(group_owner &owner, connection_id id, time_point now, random_engine &random,
                        owner_actions &actions)
{
    owner_turn turn{ owner, now, random, actions };
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    noteFailure(turn, entry->second.member, member_failure::Closed);
    owner.transactions.erase(entry->second.transaction);
    drop(turn, id);
    pump(turn);
}

} // namespace fuchsiagw::core

namespace fuchsiagw::detail {

using namespace core;

void send(owner_turn &turn, std::uint64_t handle, connection_id id)
{
    group_owner &owner = turn.owner;
    owned_statement &statement = owner.statements.at(handle);
    pooled_connection &connection = owner.pool.connections.at(id);
    assert(connection.state != connection_state::Busy
           && connection.state != connection_state::Opening);
    const request_id attempt{ turn.random(), turn.random() };
    onSent(statement.progress, attempt, connection.member, statement.route.term);
    statement.place = statement_place::Sent;
    statement.connection = id;
    statement.sentAt = turn.now;
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
            std::min(statement.request.deadline, turn.now + owner.limits.answerLimit);
    turn.actions.emplace_back(send_statement{ id, std::move(request), limit });
}

void leaveMember(group_owner &owner, const pooled_connection &connection)
{
    const auto member = owner.view.members.find(connection.member);
    if (connection.state == connection_state::Busy && member != owner.view.members.end())
        --member->second.inFlight;
}

void release(owner_turn &turn, connection_id id)
{
    group_owner &owner = turn.owner;
    pooled_connection &connection = owner.pool.connections.at(id);
    leaveMember(owner, connection);
    connection.state = connection_state::Idle;
    connection.statement = 0;
    connection.idleSince = turn.now;
    if (owner.pool.connections.size() > owner.pool.limit) {
        drop(turn, id);
        return;
    }
    auto &line = owner.ready[connection.member];
    if (!line.empty()) {
        const std::uint64_t next = line.front();
        line.pop_front();
        --owner.readyCount;
        noticePause(turn);
        if (takesNewWork(owner, connection.member))
            send(turn, next, id);
        else
            route(turn, next);
        return;
    }
    // Statements for a member without any connection may wait for this one to be given up.
    for (auto &[member, waiting] : owner.ready) {
        if (waiting.empty() || countConnections(owner.pool, member) != 0)
            continue;
        const std::uint64_t next = waiting.front();
        waiting.pop_front();
        --owner.readyCount;
        route(turn, next);
        return;
    }
}

void drop(owner_turn &turn, connection_id id)
{
    group_owner &owner = turn.owner;
    const auto entry = owner.pool.connections.find(id);
    if (entry == owner.pool.connections.end())
        return;
    leaveMember(owner, entry->second);
    owner.transactions.erase(entry->second.transaction);
    owner.pool.connections.erase(entry);
    turn.actions.emplace_back(close_connection{ id });
}

void settle(owner_turn &turn)
{
    group_owner &owner = turn.owner;
    settleReads(turn);
    for (const settled_write &each :
         settleWrites(owner.pending, owner.view, owner.policy, turn.now)) {
        const auto entry = owner.statements.find(each.number);
        if (entry == owner.statements.end())
            continue;
        exchange &progress = entry->second.progress;
        if (each.fate == write_fate::Acknowledged)
            follow(turn, each.number, onConfirmed(progress));
        else if (each.fate == write_fate::Superseded)
            follow(turn, each.number, onSuperseded(progress, turn.now));
        else
            follow(turn, each.number, onNotConfirmed(progress));
    }
    for (const wait_request &each : openWaits(owner.pending, owner.view, turn.now)) {
        control_call order;
        order.kind = control_kind::Wait;
        order.member = each.member;
        order.position = each.position;
        order.held = each.held;
        order.deadline = each.deadline;
        call(turn, std::move(order));
    }
}

} // namespace fuchsiagw::detail
