/// @file
/// @brief The waiting side of an owner: admission, routing, parking and deadlines.

#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/detail/owner_steps.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

using namespace detail;

namespace {

/// Pause before a statement for which no member was found is routed again. Views change with every
/// answer, and advance() runs on each change, so this only bounds the wait without any news.
constexpr duration parkPause = std::chrono::milliseconds(10);
/// Steps come every few milliseconds while there is work. After a longer gap a member may have
/// begun to leave without the knowledge of this process.
constexpr duration longestStepGap = std::chrono::seconds(1);

queued_statement toQueued(std::uint64_t handle, const owned_statement &statement)
{
    return { handle, statement.request.workspace, statement.session, false,
             statement.request.deadline };
}

void park(owner_turn &turn, std::uint64_t handle, time_point until)
{
    owned_statement &statement = turn.owner.statements.at(handle);
    statement.place = statement_place::Parked;
    statement.progress.deadline = statement.request.deadline;
    turn.owner.parked.emplace(until, handle);
}

/// One connection stays free of transactions, so that they can't hold up every other statement.
bool mayBegin(const group_owner &owner)
{
    const std::uint32_t most =
            std::max<std::uint32_t>(1, owner.pool.limit > 1 ? owner.pool.limit - 1 : 1);
    return owner.transactions.size() < most;
}

void wakeParked(owner_turn &turn)
{
    auto &parked = turn.owner.parked;
    std::vector<std::uint64_t> due;
    while (!parked.empty() && parked.begin()->first <= turn.now) {
        due.push_back(parked.begin()->second);
        parked.erase(parked.begin());
    }
    for (const std::uint64_t handle : due) {
        if (turn.owner.statements.count(handle) != 0)
            route(turn, handle);
    }
}

void endOverdue(owner_turn &turn)
{
    auto &deadlines = turn.owner.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= turn.now) {
        const std::uint64_t handle = deadlines.begin()->second;
        owned_statement &statement = turn.owner.statements.at(handle);
        const connection_id id = statement.connection;
        const bool isSent = statement.place == statement_place::Sent;
        const exchange_action action = onDeadline(statement.progress, statement.unsentReason);
        // The exchange is in flight; its connection can't be told from one whose answer comes late.
        if (isSent && action.closeConnection)
            drop(turn, id);
        follow(turn, handle, action);
    }
}

void insertStatement(owner_turn &turn, std::uint64_t handle, owned_statement statement)
{
    assert(turn.owner.statements.count(handle) == 0);
    turn.owner.deadlines.emplace(statement.request.deadline, handle);
    statement.progress = makeExchange(statement.request);
    turn.owner.statements.emplace(handle, std::move(statement));
}

void admit(owner_turn &turn, std::uint64_t handle)
{
    group_owner &owner = turn.owner;
    const owned_statement &statement = owner.statements.at(handle);
    const queued_statement waiting = toQueued(handle, statement);
    if (isDeadlineUnreachable(owner.meter, owner.queue, waiting, statement.weight, owner.pool.limit,
                              countFree(owner.pool), turn.now)) {
        fail(turn, handle, error_kind::DeadlineUnreachable);
        return;
    }
    const enqueue_result result = enqueue(owner.queue, waiting, statement.weight);
    if (!result.accepted)
        fail(turn, handle, error_kind::Overloaded);
    else if (result.evicted)
        fail(turn, result.evicted->handle, error_kind::Overloaded);
}

} // namespace

void submit(group_owner &owner, std::uint64_t handle, owned_statement statement, time_point now,
            random_engine &random, owner_actions &actions)
{
    owner_turn turn{ owner, now, random, actions };
    const bool inTransaction = statement.request.transaction.has_value();
    if (statement.maxAge)
        noteRead(owner.interest, *statement.maxAge, now);
    insertStatement(turn, handle, std::move(statement));
    if (inTransaction)
        startInTransaction(turn, handle);
    else
        admit(turn, handle);
    pump(turn);
}

void advance(group_owner &owner, time_point now, random_engine &random, owner_actions &actions)
{
    owner_turn turn{ owner, now, random, actions };
    noticePause(turn);
    endOverdue(turn);
    endIdleTransactions(turn);
    watch(turn);
    detail::settle(turn);
    wakeParked(turn);
    pump(turn);
}

void setConnectionLimit(group_owner &owner, std::uint32_t limit, time_point now,
                        random_engine &random, owner_actions &actions)
{
    if (owner.pool.limit == limit)
        return;
    owner_turn turn{ owner, now, random, actions };
    owner.pool.limit = limit;
    actions.emplace_back(owner_notice{ owner_event::ConnectionLimit, {}, 0, {}, limit });
    for (const connection_id id : surplusConnections(owner.pool))
        drop(turn, id);
    pump(turn);
}

time_point nextWakeup(const group_owner &owner)
{
    time_point next = nextExpiry(owner.pending);
    if (!owner.deadlines.empty())
        next = std::min(next, owner.deadlines.begin()->first);
    if (!owner.parked.empty())
        next = std::min(next, owner.parked.begin()->first);
    if (owner.isWatching)
        next = std::min(next, owner.failover.lastTick + failoverTick);
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

void noticePause(owner_turn &turn)
{
    group_owner &owner = turn.owner;
    const bool wasPaused =
            owner.lastStep != time_point::min() && turn.now - owner.lastStep > longestStepGap;
    owner.lastStep = turn.now;
    // Only an owner that watches the members gets the answers that end the doubt.
    if (wasPaused && owner.isWatching)
        doubtMembers(owner.view, turn.now);
}

bool takesNewWork(const group_owner &owner, const member_id &member)
{
    const auto known = owner.view.members.find(member);
    return known != owner.view.members.end() && !known->second.leaving
           && known->second.doubtedAt == time_point::min();
}

void route(owner_turn &turn, std::uint64_t handle)
{
    group_owner &owner = turn.owner;
    noticePause(turn);
    owned_statement &statement = owner.statements.at(handle);
    routing_request request = routingRequestOf(statement.request, statement.maxAge, owner.zone);
    request.primaryOnly = statement.progress.primaryOnly;
    if (request.kind == statement_kind::Begin && !mayBegin(owner)) {
        statement.unsentReason = error_kind::Overloaded;
        park(turn, handle, turn.now + parkPause);
        return;
    }
    route_decision decision = routeStatement(owner.view, request, turn.now, turn.random);
    const bool isRepeated = !decision.member
                            && statement.route.candidates.size() == decision.candidates.size()
                            && !statement.route.member && statement.route.reason == decision.reason;
    statement.route = std::move(decision);
    // A parked statement is routed again every few milliseconds; only a change is worth a line.
    if (!isRepeated)
        turn.actions.emplace_back(route_decided{ handle, statement.request.id,
                                                 statement.request.workspace,
                                                 statement.request.kind, statement.route });
    if (!statement.route.member) {
        statement.unsentReason = statement.route.reason == route_reason::NoPrimary
                                         ? error_kind::NoPrimary
                                         : error_kind::NoMember;
        park(turn, handle, turn.now + parkPause);
        return;
    }
    const member_id member = *statement.route.member;
    const connection_choice choice = chooseConnection(owner.pool, member, turn.now);
    if (choice.step == connection_step::Use) {
        send(turn, handle, choice.id);
        return;
    }
    if (choice.step == connection_step::Wait) {
        statement.place = statement_place::Ready;
        owner.ready[member].push_back(handle);
        ++owner.readyCount;
        return;
    }
    if (choice.step == connection_step::Replace)
        drop(turn, choice.id);
    statement.place = statement_place::Connecting;
    statement.connection = addConnection(owner.pool, member, handle);
    const time_point limit = turn.now + owner.limits.connectLimit;
    turn.actions.emplace_back(open_connection{ statement.connection, member,
                                               owner.view.members.at(member).address, limit });
}

void leavePlace(owner_turn &turn, std::uint64_t handle)
{
    group_owner &owner = turn.owner;
    const owned_statement &statement = owner.statements.at(handle);
    switch (statement.place) {
    case statement_place::Queued:
        removeIf(owner.queue,
                 [handle](const queued_statement &each) { return each.handle == handle; });
        break;
    case statement_place::Parked:
        std::erase_if(owner.parked, [handle](const auto &each) { return each.second == handle; });
        break;
    case statement_place::Ready: {
        auto &line = owner.ready[*statement.route.member];
        owner.readyCount -= std::erase(line, handle);
        break;
    }
    case statement_place::Connecting: {
        const auto connection = owner.pool.connections.find(statement.connection);
        if (connection != owner.pool.connections.end() && connection->second.statement == handle)
            connection->second.statement = 0;
        break;
    }
    case statement_place::Sent:
        break;
    case statement_place::Confirming:
        owner.unprovenReads.erase(handle);
        std::erase_if(owner.pending.writes,
                      [handle](const pending_write &each) { return each.number == handle; });
        break;
    }
}

void follow(owner_turn &turn, std::uint64_t handle, const exchange_action &action)
{
    switch (action.step) {
    case exchange_step::None:
        return;
    case exchange_step::SendToMember:
    case exchange_step::AskPrimary:
    case exchange_step::RetryOnNewConnection:
        if (action.notBefore > turn.now)
            park(turn, handle, action.notBefore);
        else
            route(turn, handle);
        return;
    case exchange_step::WaitForConfirmation: {
        owned_statement &statement = turn.owner.statements.at(handle);
        statement.place = statement_place::Confirming;
        addPendingWrite(turn.owner.pending,
                        { handle, statement.progress.term, statement.result.position, turn.now,
                          statement.request.deadline });
        settle(turn);
        return;
    }
    case exchange_step::Answer:
        if (action.error) {
            fail(turn, handle, *action.error, turn.owner.statements.at(handle).result.problem);
            return;
        }
        owned_statement &statement = turn.owner.statements.at(handle);
        statement_answer answer;
        answer.rows = std::move(statement.result.rows);
        answer.position = statement.result.position;
        answer.applied = statement.result.applied;
        answer.member = statement.progress.member;
        answer.fromReplica = statement.route.fromReplica;
        finish(turn, handle, std::move(answer));
        return;
    }
}

void finish(owner_turn &turn, std::uint64_t handle, statement_answer answer)
{
    const auto entry = turn.owner.statements.find(handle);
    assert(entry != turn.owner.statements.end());
    leavePlace(turn, handle);
    const statement_request &request = entry->second.request;
    answer.id = request.id;
    if (!answer.error && request.kind != statement_kind::Commit
        && request.kind != statement_kind::Rollback && !answer.transaction)
        answer.transaction = request.transaction;
    turn.owner.deadlines.erase({ request.deadline, handle });
    turn.owner.statements.erase(entry);
    turn.actions.emplace_back(statement_done{ handle, std::move(answer) });
}

void fail(owner_turn &turn, std::uint64_t handle, error_kind error, std::string problem)
{
    statement_answer answer;
    answer.error = error;
    answer.problem = std::move(problem);
    finish(turn, handle, std::move(answer));
}

void pump(owner_turn &turn)
{
    group_owner &owner = turn.owner;
    // Statements that wait for a connection to one member must not keep the others in the queue,
    // but taking more of them out than there are connections would defeat the queue's order.
    while (owner.readyCount < owner.pool.limit && countFree(owner.pool) > 0
           && owner.parked.size() < owner.queue.bound) {
        const auto next = dequeue(owner.queue);
        if (!next)
            return;
        route(turn, next->handle);
    }
}

} // namespace fuchsiagw::detail
