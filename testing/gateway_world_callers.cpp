/// @file
/// @brief Callers of the gateway simulation and their sessions.

#include <fuchsiagw/testing/gateway_world_parts.hpp>

#include <algorithm>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration callerLinkDelay = std::chrono::milliseconds(1); ///< one way
constexpr duration statementTimeout = std::chrono::milliseconds(1500);
constexpr duration callerTimeout = std::chrono::milliseconds(2500);
constexpr duration thinkTime = std::chrono::milliseconds(20);
constexpr unsigned maxRetries = 3;
constexpr unsigned lostAnswerPercent = 1;
constexpr unsigned gatewayChangePercent = 20;

void sendNextRequest(gateway_world &world, std::size_t session);

void scheduleNextRequest(gateway_world &world, std::size_t session)
{
    const auto pause = drawBelow(world.random, 2 * static_cast<std::uint64_t>(thinkTime.count()));
    after(world, duration(static_cast<std::int64_t>(pause)) + callerLinkDelay,
          [&world, session] { sendNextRequest(world, session); });
}

/// Chooses a running gateway that does not drain. Callers cannot detect that a gateway is frozen.
bool chooseGateway(gateway_world &world, world_session &session)
{
    const auto isUsable = [&](std::size_t each) {
        return world.gateways[each].isUp && !world.gateways[each].isStopping;
    };
    if (isUsable(session.gateway) && !drawPercent(world, gatewayChangePercent))
        return true;
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < world.gateways.size(); ++i) {
        if (isUsable(i))
            usable.push_back(i);
    }
    if (usable.empty())
        return false;
    session.gateway = usable[drawBelow(world.random, usable.size())];
    return true;
}

std::string dataKeyOf(std::size_t session)
{
    return "s" + std::to_string(session);
}

void setText(caller_operation &operation, statement_kind kind, const std::string &dataKey)
{
    operation.request.kind = kind;
    operation.request.parameters = { dataKey, std::to_string(operation.item) + "," };
    if (kind == statement_kind::Read)
        operation.request.text = "get $1";
    else if (kind == statement_kind::Write)
        operation.request.text = "append $1 $2";
}

/// @return the kind of the next statement in the transaction of a session
statement_kind nextTransactionStatement(gateway_world &world, world_session &session)
{
    ++session.transactionStep;
    if (session.transactionStep < 4)
        return session.transactionStep == 2 ? statement_kind::Read : statement_kind::Write;
    return drawPercent(world, 10) ? statement_kind::Rollback : statement_kind::Commit;
}

void chooseOperation(gateway_world &world, world_session &session, caller_operation &operation)
{
    if (session.retry != 0) {
        const caller_operation &first = world.history.operations[session.retry - 1];
        operation.item = first.item;
        operation.request = first.request;
        return;
    }
    const std::string own = dataKeyOf(session.number);
    if (session.transaction) {
        setText(operation, nextTransactionStatement(world, session), own);
        operation.request.transaction = session.transaction;
        operation.transactionNumber = session.transactionNumber;
        return;
    }
    const std::uint64_t drawn = drawBelow(world.random, 100);
    if (drawn < 8) {
        setText(operation, statement_kind::Begin, own);
        operation.transactionNumber = session.transactionNumber = world.nextTransactionNumber++;
        session.transactionStep = 0;
        session.transactionItems.clear();
    } else if (drawn < 35) {
        setText(operation, statement_kind::Write, own);
        if (drawPercent(world, 50))
            operation.request.idempotencyKey = "write-" + std::to_string(operation.item);
    } else {
        operation.isOwnData = drawn < 90;
        const std::size_t other = drawBelow(world.random, world.sessions.size());
        const bool isOther = !operation.isOwnData
                             && world.sessions[other].workspace == session.workspace
                             && world.sessions[other].group == session.group;
        operation.isOwnData = !isOther;
        setText(operation, statement_kind::Read, isOther ? dataKeyOf(other) : own);
        if (drawPercent(world, 70))
            operation.request.readClass = "recent";
    }
}

void forgetTransaction(world_session &session)
{
    session.transactionNumber = 0;
    session.transaction.reset();
    session.transactionItems.clear();
}

void acknowledge(gateway_world &world, world_session &session, std::uint64_t item)
{
    world.history.acknowledged[{ session.number, session.group }].push_back(item);
}

void applySuccess(gateway_world &world, world_session &session, const caller_operation &operation,
                  const std::optional<core::session> &known)
{
    if (known)
        session.known = known;
    switch (operation.request.kind) {
    case statement_kind::Begin:
        session.transaction = operation.answer->transaction;
        break;
    case statement_kind::Write:
        if (session.transaction)
            session.transactionItems.push_back(operation.item);
        else
            acknowledge(world, session, operation.item);
        break;
    case statement_kind::Commit:
        for (const std::uint64_t item : session.transactionItems)
            acknowledge(world, session, item);
        forgetTransaction(session);
        break;
    case statement_kind::Rollback:
        forgetTransaction(session);
        break;
    case statement_kind::Read:
        break;
    }
}

/// Ends an operation without an answer or with an error: schedules a retry if the operation has an
/// idempotency key, else the next request.
void giveUp(gateway_world &world, world_session &session, const caller_operation &operation)
{
    const bool mayRepeat = !operation.request.idempotencyKey.empty();
    if (mayRepeat && session.retries < maxRetries) {
        session.retry = operation.number;
        ++session.retries;
    } else {
        session.retry = 0;
        session.retries = 0;
    }
    forgetTransaction(session);
    scheduleNextRequest(world, session.number);
}

void send(gateway_world &world, std::uint64_t number, const std::optional<core::session> &known,
          bool hasSessionToken)
{
    caller_operation &operation = world.history.operations[number - 1];
    world_gateway &node = world.gateways[operation.gateway];
    if (!node.isUp)
        return;
    operation.arrivedAt = world.now;
    operation.request.deadline = world.now + statementTimeout;
    caller_request request;
    request.ticket = number;
    request.key = operation.key;
    request.sessionState = known;
    request.hasSessionToken = hasSessionToken;
    request.statement = operation.request;
    const std::size_t gateway = operation.gateway;
    if (operation.request.kind == statement_kind::Write)
        reachStep(world, gateway_step::Admission, gateway);
    runAtGateway(world, gateway, node.generation, [&world, gateway, request](gateway_turn &turn) {
        // A frozen gateway reads the request only when the freeze ends.
        caller_operation &arrived = world.history.operations[request.ticket - 1];
        arrived.arrivedAt = turn.now;
        const std::uint64_t handle = turn.state.nextHandle;
        const bool isLimited = request.statement.kind != statement_kind::Commit
                               && request.statement.kind != statement_kind::Rollback;
        onCallerRequest(turn, request);
        if (turn.state.nextHandle != handle && isLimited)
            world.gateways[gateway].awaitingToken[request.ticket] = handle;
    });
}

void sendNextRequest(gateway_world &world, std::size_t index)
{
    world_session &session = world.sessions[index];
    if (world.areCallersStopped)
        return;
    if (!chooseGateway(world, session)) {
        scheduleNextRequest(world, index);
        return;
    }
    caller_operation operation;
    operation.number = world.history.operations.size() + 1;
    operation.item = operation.number;
    operation.session = index;
    operation.key = session.key;
    operation.workspace = session.workspace;
    operation.gateway = session.gateway;
    chooseOperation(world, session, operation);
    operation.request.id = { operation.number, world.settings.seed };
    operation.request.group = session.group;
    operation.request.workspace = {};
    operation.requiredItemCount = world.history.acknowledged[{ index, session.group }].size();
    session.pending = operation.number;
    std::optional<core::session> known = session.known;
    bool hasSessionToken = known.has_value();
    if (world.settings.defect == gateway_defect::SessionForgotten) {
        known.reset();
        hasSessionToken = false;
    } else if (drawPercent(world, 2) && hasSessionToken) {
        known.reset(); // simulates a damaged session token
    }
    const std::uint64_t number = operation.number;
    world.history.operations.push_back(std::move(operation));
    after(world, callerLinkDelay, [&world, number, known, hasSessionToken] {
        send(world, number, known, hasSessionToken);
    });
    after(world, callerTimeout, [&world, index, number] {
        if (world.sessions[index].pending != number)
            return;
        world.sessions[index].pending = 0;
        giveUp(world, world.sessions[index], world.history.operations[number - 1]);
    });
}

} // namespace

void startCallers(gateway_world &world)
{
    const auto &groups = world.versions.front().groups;
    for (std::size_t i = 0; i < world.settings.sessions; ++i) {
        world_session session;
        session.number = i;
        // A quarter of the sessions belong to the workspace with the low rate limit.
        session.workspace = { i % 4 == 3 ? "south" : "north" };
        session.key = world.history.keys[(i % 4 == 3 ? 2 : 0) + (i / 4) % 2].first;
        session.group =
                std::next(groups.begin(), static_cast<std::ptrdiff_t>(i % groups.size()))->first;
        session.gateway = drawBelow(world.random, world.gateways.size());
        world.sessions.push_back(std::move(session));
    }
    for (std::size_t i = 0; i < world.sessions.size(); ++i)
        scheduleNextRequest(world, i);
}

void onCallerReply(gateway_world &world, std::size_t gateway, caller_reply &&reply)
{
    caller_operation &operation = world.history.operations[reply.ticket - 1];
    ++operation.replies;
    if (operation.replies > 1)
        return;
    if (world.settings.defect == gateway_defect::ReportNotRun
        && reply.answer.error == error_kind::OutcomeUnknown)
        reply.answer.error = error_kind::DeadlineExceeded;
    operation.answer = reply.answer;
    operation.answeredAt = world.now;
    if (operation.request.kind == statement_kind::Begin && !reply.answer.error)
        reachStep(world, gateway_step::TransactionOpen, gateway);
    if (drawPercent(world, lostAnswerPercent))
        return;
    after(world, callerLinkDelay,
          [&world, number = operation.number, known = std::move(reply.sessionState)] {
              caller_operation &answered = world.history.operations[number - 1];
              world_session &session = world.sessions[answered.session];
              if (session.pending != number)
                  return;
              session.pending = 0;
              answered.wasReceived = true;
              if (answered.answer->error) {
                  giveUp(world, session, answered);
                  return;
              }
              session.retry = 0;
              session.retries = 0;
              applySuccess(world, session, answered, known);
              scheduleNextRequest(world, session.number);
          });
}

} // namespace fuchsiagw::testing
