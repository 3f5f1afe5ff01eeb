/// @file
/// @brief Group owner: admission, routing, delayed retries and deadlines of statements.

#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

using namespace detail;

namespace {

/// Delay before a statement without an available member is routed again. Bounds the wait when no
/// answer changes the view of the group in the meantime.
constexpr duration parkedRetryInterval = std::chrono::milliseconds(10);
/// A longer gap between two steps means that this process was paused: with work to do, steps run
/// every few milliseconds. A member may have started to leave during the pause unnoticed.
constexpr duration maxStepGap = std::chrono::seconds(1);

queued_statement makeQueuedStatement(std::uint64_t handle, const owned_statement &statement)
{
    return { handle, statement.request.workspace, statement.session, false,
             statement.request.deadline };
}

void park(owner_context &context, std::uint64_t handle, time_point until)
{
    owned_statement &statement = context.owner.statements.at(handle);
    statement.stage = statement_stage::Parked;
    statement.progress.deadline = statement.request.deadline;
    context.owner.parked.emplace(until, handle);
}

/// One connection is kept free of transactions, if the limit allows more than one, so that
/// transactions cannot block all other statements.
bool canBeginTransaction(const group_owner &owner)
{
    const std::uint32_t maxTransactions =
            std::max<std::uint32_t>(1, owner.pool.limit > 1 ? owner.pool.limit - 1 : 1);
    return owner.transactions.size() < maxTransactions;
}

void rerouteParked(owner_context &context)
{
    auto &parked = context.owner.parked;
    std::vector<std::uint64_t> due;
    while (!parked.empty() && parked.begin()->first <= context.now) {
        due.push_back(parked.begin()->second);
        parked.erase(parked.begin());
    }
    for (const std::uint64_t handle : due) {
        if (context.owner.statements.count(handle) != 0)
            routeToMember(context, handle);
    }
}

void expireStatements(owner_context &context)
{
    auto &deadlines = context.owner.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= context.now) {
        const std::uint64_t handle = deadlines.begin()->second;
        owned_statement &statement = context.owner.statements.at(handle);
        const connection_id id = statement.connection;
        const bool isSent = statement.stage == statement_stage::Sent;
        const exchange_action action = onDeadline(statement.progress, statement.unsentReason);
        // The answer to the exchange may still arrive late, so its connection must not be reused.
        if (isSent && action.closeConnection)
            discardConnection(context, id);
        applyExchangeAction(context, handle, action);
    }
}

void insertStatement(owner_context &context, std::uint64_t handle, owned_statement statement)
{
    assert(context.owner.statements.count(handle) == 0);
    context.owner.deadlines.emplace(statement.request.deadline, handle);
    statement.progress = makeExchange(statement.request);
    context.owner.statements.emplace(handle, std::move(statement));
}

void admit(owner_context &context, std::uint64_t handle)
{
    group_owner &owner = context.owner;
    const owned_statement &statement = owner.statements.at(handle);
    const queued_statement waiting = makeQueuedStatement(handle, statement);
    if (isDeadlineUnreachable(owner.serviceTimes, owner.queue, waiting, statement.weight,
                              owner.pool.limit, countAvailable(owner.pool), context.now)) {
        failStatement(context, handle, error_kind::DeadlineUnreachable);
        return;
    }
    const enqueue_result result = enqueue(owner.queue, waiting, statement.weight);
    if (!result.accepted)
        failStatement(context, handle, error_kind::Overloaded);
    else if (result.evicted)
        failStatement(context, result.evicted->handle, error_kind::Overloaded);
}

} // namespace

void submit(group_owner &owner, std::uint64_t handle, owned_statement statement, time_point now,
            random_engine &random, owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    const bool inTransaction = statement.request.transaction.has_value();
    if (statement.maxAge)
        recordRead(owner.interest, *statement.maxAge, now);
    insertStatement(context, handle, std::move(statement));
    if (inTransaction)
        startTransactionStatement(context, handle);
    else
        admit(context, handle);
    dispatchQueued(context);
}

void advance(group_owner &owner, time_point now, random_engine &random, owner_actions &actions)
{
    owner_context context{ owner, now, random, actions };
    detectPause(context);
    expireStatements(context);
    rollBackIdleTransactions(context);
    monitorMembers(context);
    detail::resolvePending(context);
    rerouteParked(context);
    dispatchQueued(context);
}

void setConnectionLimit(group_owner &owner, std::uint32_t limit, time_point now,
                        random_engine &random, owner_actions &actions)
{
    if (owner.pool.limit == limit)
        return;
    owner_context context{ owner, now, random, actions };
    owner.pool.limit = limit;
    actions.emplace_back(owner_notice{ owner_event::ConnectionLimit, {}, 0, {}, limit });
    for (const connection_id id : surplusConnections(owner.pool))
        discardConnection(context, id);
    dispatchQueued(context);
}

time_point nextWakeup(const group_owner &owner)
{
    time_point next = nextExpiry(owner.pending);
    if (!owner.deadlines.empty())
        next = std::min(next, owner.deadlines.begin()->first);
    if (!owner.parked.empty())
        next = std::min(next, owner.parked.begin()->first);
    if (owner.isMonitoringMembers)
        next = std::min(next, owner.failover.lastTickAt + failoverTickInterval);
    for (const auto &[number, transaction] : owner.transactions)
        next = std::min(next, transaction.idleUntil);
    return next;
}

bool isDrained(const group_owner &owner)
{
    return owner.statements.empty() && owner.transactions.empty();
}

} // namespace fuchsiagw::core

namespace fuchsiagw::detail {

using namespace core;

void detectPause(owner_context &context)
{
    group_owner &owner = context.owner;
    const bool wasPaused =
            owner.lastStepAt != time_point::min() && context.now - owner.lastStepAt > maxStepGap;
    owner.lastStepAt = context.now;
    // Only an owner that monitors the members receives the answers that verify them again.
    if (wasPaused && owner.isMonitoringMembers)
        markMembersUnverified(owner.view, context.now);
}

bool acceptsNewStatements(const group_owner &owner, const member_id &member)
{
    const auto known = owner.view.members.find(member);
    return known != owner.view.members.end() && !known->second.leaving
           && known->second.unverifiedSince == time_point::min();
}

void routeToMember(owner_context &context, std::uint64_t handle)
{
    group_owner &owner = context.owner;
    detectPause(context);
    owned_statement &statement = owner.statements.at(handle);
    routing_request request = makeRoutingRequest(statement.request, statement.maxAge, owner.zone);
    request.primaryOnly = statement.progress.primaryOnly;
    if (request.kind == statement_kind::Begin && !canBeginTransaction(owner)) {
        statement.unsentReason = error_kind::Overloaded;
        park(context, handle, context.now + parkedRetryInterval);
        return;
    }
    route_decision decision = routeStatement(owner.view, request, context.now, context.random);
    const bool isUnchanged =
            !decision.member && statement.route.candidates.size() == decision.candidates.size()
            && !statement.route.member && statement.route.reason == decision.reason;
    statement.route = std::move(decision);
    // A parked statement is routed again every few milliseconds. Only a changed decision is logged.
    if (!isUnchanged)
        context.actions.emplace_back(route_decided{ handle, statement.request.id,
                                                    statement.request.workspace,
                                                    statement.request.kind, statement.route });
    if (!statement.route.member) {
        statement.unsentReason = statement.route.reason == route_reason::NoPrimary
                                         ? error_kind::NoPrimary
                                         : error_kind::NoMember;
        park(context, handle, context.now + parkedRetryInterval);
        return;
    }
    const member_id member = *statement.route.member;
    const connection_choice choice = chooseConnection(owner.pool, member, context.now);
    if (choice.step == connection_step::Use) {
        sendOnConnection(context, handle, choice.id);
        return;
    }
    if (choice.step == connection_step::Wait) {
        statement.stage = statement_stage::Ready;
        owner.ready[member].push_back(handle);
        ++owner.readyCount;
        return;
    }
    if (choice.step == connection_step::Replace)
        discardConnection(context, choice.id);
    statement.stage = statement_stage::Connecting;
    statement.connection = addConnection(owner.pool, member, handle);
    const time_point limit = context.now + owner.limits.connectLimit;
    context.actions.emplace_back(open_connection{ statement.connection, member,
                                                  owner.view.members.at(member).address, limit });
}

void detachStatement(owner_context &context, std::uint64_t handle)
{
    group_owner &owner = context.owner;
    const owned_statement &statement = owner.statements.at(handle);
    switch (statement.stage) {
    case statement_stage::Queued:
        removeIf(owner.queue,
                 [handle](const queued_statement &each) { return each.handle == handle; });
        break;
    case statement_stage::Parked:
        std::erase_if(owner.parked, [handle](const auto &each) { return each.second == handle; });
        break;
    case statement_stage::Ready: {
        auto &readyQueue = owner.ready[*statement.route.member];
        owner.readyCount -= std::erase(readyQueue, handle);
        break;
    }
    case statement_stage::Connecting: {
        const auto connection = owner.pool.connections.find(statement.connection);
        if (connection != owner.pool.connections.end() && connection->second.statement == handle)
            connection->second.statement = 0;
        break;
    }
    case statement_stage::Sent:
        break;
    case statement_stage::Confirming:
        owner.readsAwaitingMajority.erase(handle);
        std::erase_if(owner.pending.writes,
                      [handle](const pending_write &each) { return each.number == handle; });
        break;
    }
}

void applyExchangeAction(owner_context &context, std::uint64_t handle,
                         const exchange_action &action)
{
    switch (action.step) {
    case exchange_step::None:
        return;
    case exchange_step::SendToMember:
    case exchange_step::AskPrimary:
    case exchange_step::RetryOnNewConnection:
        if (action.notBefore > context.now)
            park(context, handle, action.notBefore);
        else
            routeToMember(context, handle);
        return;
    case exchange_step::WaitForConfirmation: {
        owned_statement &statement = context.owner.statements.at(handle);
        statement.stage = statement_stage::Confirming;
        addPendingWrite(context.owner.pending,
                        { handle, statement.progress.term, statement.result.position, context.now,
                          statement.request.deadline });
        resolvePending(context);
        return;
    }
    case exchange_step::Answer:
        if (action.error) {
            failStatement(context, handle, *action.error,
                          context.owner.statements.at(handle).result.problem);
            return;
        }
        owned_statement &statement = context.owner.statements.at(handle);
        statement_answer answer;
        answer.rows = std::move(statement.result.rows);
        answer.position = statement.result.position;
        answer.applied = statement.result.applied;
        answer.member = statement.progress.member;
        answer.fromReplica = statement.route.fromReplica;
        finishStatement(context, handle, std::move(answer));
        return;
    }
}

void finishStatement(owner_context &context, std::uint64_t handle, statement_answer answer)
{
    const auto entry = context.owner.statements.find(handle);
    assert(entry != context.owner.statements.end());
    detachStatement(context, handle);
    const statement_request &request = entry->second.request;
    answer.id = request.id;
    if (!answer.error && request.kind != statement_kind::Commit
        && request.kind != statement_kind::Rollback && !answer.transaction)
        answer.transaction = request.transaction;
    context.owner.deadlines.erase({ request.deadline, handle });
    context.owner.statements.erase(entry);
    context.actions.emplace_back(statement_done{ handle, std::move(answer) });
}

void failStatement(owner_context &context, std::uint64_t handle, error_kind error,
                   std::string problem)
{
    statement_answer answer;
    answer.error = error;
    answer.problem = std::move(problem);
    finishStatement(context, handle, std::move(answer));
}

void dispatchQueued(owner_context &context)
{
    group_owner &owner = context.owner;
    // Statements that wait for a connection to one member must not block the rest of the queue.
    // Dequeueing more of them than there are connections would defeat the fair order of the queue.
    while (owner.readyCount < owner.pool.limit && countAvailable(owner.pool) > 0
           && owner.parked.size() < owner.queue.capacity) {
        const auto next = dequeue(owner.queue);
        if (!next)
            return;
        routeToMember(context, next->handle);
    }
}

} // namespace fuchsiagw::detail
