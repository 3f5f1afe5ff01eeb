/// @file
/// @brief Requests, execution slots and faults of one member of the stand-in.

#include <utility>

#include <fuchsiagw/testing/standin_member.hpp>

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <algorithm>

namespace fuchsiagw::testing {

namespace {

using core::error_kind;

bool needsValue(member_fault kind)
{
    return kind == member_fault::Slow || kind == member_fault::Lag || kind == member_fault::Late;
}

} // namespace

standin_member::standin_member(boost::asio::io_context &context,
                               const group_standin_settings &settings, std::uint32_t index,
                               member_hooks hooks)
    : context_(context)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , server_(
              context,
              static_cast<std::uint16_t>(index < settings.ports.size() ? settings.ports[index] : 0),
              [this](net::http_request &&request, connection_number connection) {
                  onRequest(std::move(request), connection);
              },
              [this](connection_number connection) { onClosed(connection); })
{
    model.member = { settings.group.value + "-" + std::to_string(index + 1) };
    model.group = settings.group;
}

std::error_code standin_member::setFault(member_fault kind, bool on,
                                         std::optional<std::uint64_t> value)
{
    if (on && needsValue(kind) && !value.has_value())
        return error_kind::InvalidValue;
    fault(kind) = { on, value };
    switch (kind) {
    case member_fault::Stop:
        if (!on)
            return server_.start();
        stop();
        break;
    case member_fault::IsolateCallers:
        if (!on) {
            for (const auto &deliver : std::exchange(delayedDeliveries_, {}))
                deliver();
        }
        break;
    case member_fault::Silent:
        // Connections that are open when the fault starts remain without answers after it ends.
        for (auto &[connection, state] : connections_)
            state.isSilent = state.isSilent || on;
        break;
    case member_fault::Cross:
        if (!on && swappedResponse_.has_value()) {
            const auto [connection, response] = *std::exchange(swappedResponse_, std::nullopt);
            answer(connection, response);
        }
        break;
    case member_fault::Leaving:
        model.leaving = on;
        break;
    default:
        break;
    }
    return {};
}

bool standin_member::isReachableByMembers() const
{
    return !fault(member_fault::Stop).on && !fault(member_fault::Isolate).on;
}

std::optional<core::duration> standin_member::lagOverride() const
{
    if (!fault(member_fault::Lag).on)
        return std::nullopt;
    return delayOf(fault(member_fault::Lag));
}

void standin_member::answerWaits()
{
    while (!waits_.empty()) {
        const core::log_position &until = waits_.begin()->first.first;
        if (until.term >= model.term && !holds(model, until))
            return;
        const connection_number connection = waits_.begin()->second.connection;
        waits_.erase(waits_.begin());
        answerStatus(connection);
    }
}

void standin_member::onRequest(net::http_request &&request, connection_number connection)
{
    connections_.try_emplace(connection);
    if (fault(member_fault::IsolateCallers).on) {
        delayedDeliveries_.emplace_back([this, request = std::move(request), connection]() mutable {
            onRequest(std::move(request), connection);
        });
        return;
    }
    if (!connections_.at(connection).isSilent)
        route(request, connection);
}

void standin_member::onClosed(connection_number connection)
{
    // During a partition the close arrives after the delayed requests of the same connection.
    if (fault(member_fault::IsolateCallers).on)
        delayedDeliveries_.emplace_back([this, connection] { dropConnection(connection); });
    else
        dropConnection(connection);
}

void standin_member::dropConnection(connection_number connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    if (found->second.isDataConnection)
        hooks_.releaseConnection();
    connections_.erase(found);
    std::erase_if(queue_, [connection](const job &each) { return each.connection == connection; });
    closeConnection(model, connection);
}

void standin_member::route(const net::http_request &request, connection_number connection)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const bool isGet = path == "/status" || path == "/wait";
    const bool isPost =
            path == "/execute" || path == "/accept_term" || path == "/lead" || path == "/follow";
    if (!isGet && !isPost)
        answer(connection, errorResponse(error_kind::UnknownRoute));
    else if (request.method != (isGet ? "GET" : "POST"))
        answer(connection, errorResponse(error_kind::MethodNotAllowed));
    else if (path == "/status")
        answerStatus(connection);
    else if (path == "/wait")
        wait(request, connection);
    else if (path == "/execute")
        admit(request, connection);
    else if (path == "/accept_term")
        acceptTerm(request, connection);
    else if (path == "/lead")
        lead(request, connection);
    else
        follow(request, connection);
}

void standin_member::wait(const net::http_request &request, connection_number connection)
{
    wire::wait_request parsed;
    if (const auto error = wire::fromTarget(request.target, parsed)) {
        answer(connection, errorResponse(error));
        return;
    }
    const std::pair key(parsed.until, ++newestWait_);
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, parsed.wait);
    waits_[key] = { connection, timer };
    timer->async_wait(
            [this, key, generation = generation_](const boost::system::error_code &error) {
                const auto found = waits_.find(key);
                if (error || generation != generation_ || found == waits_.end())
                    return;
                const connection_number waiting = found->second.connection;
                waits_.erase(found);
                answerStatus(waiting);
            });
    answerWaits();
}

void standin_member::acceptTerm(const net::http_request &request, connection_number connection)
{
    wire::term_request parsed;
    if (const auto error = wire::fromJson(request.body, parsed)) {
        answer(connection, errorResponse(error));
        return;
    }
    const core::accept_term_answer result = testing::acceptTerm(model, parsed.term);
    hooks_.logChanged();
    answer(connection, jsonResponse(200, wire::toJson(result)));
}

void standin_member::lead(const net::http_request &request, connection_number connection)
{
    wire::term_request parsed;
    if (const auto error = wire::fromJson(request.body, parsed)) {
        answer(connection, errorResponse(error));
        return;
    }
    testing::lead(model, parsed.term, net::currentTime());
    hooks_.logChanged();
    answerStatus(connection);
}

void standin_member::follow(const net::http_request &request, connection_number connection)
{
    wire::follow_request parsed;
    if (const auto error = wire::fromJson(request.body, parsed)) {
        answer(connection, errorResponse(error));
        return;
    }
    testing::follow(model, parsed.term, parsed.primary);
    hooks_.logChanged();
    answerStatus(connection);
}

void standin_member::admit(const net::http_request &request, connection_number connection)
{
    job next;
    next.connection = connection;
    if (const auto error = wire::fromJson(request.body, next.request)) {
        answer(connection, errorResponse(error));
        return;
    }
    next.headers = request.headers;
    hooks_.statementReceived();
    connection_state &state = connections_.at(connection);
    if (state.isDataConnection) {
        enqueue(std::move(next));
        return;
    }
    if (!hooks_.acquireConnection()) {
        execution refused;
        refused.answer.id = next.request.id;
        refused.answer.status = core::execute_status::Refused;
        refused.answer.problem = "the group's connection limit is reached";
        refused.answer.applied = statusOf(model).applied;
        refused.answer.term = model.term;
        record(next, refused);
        answer(connection, jsonResponse(503, wire::toJson(refused.answer)));
        return;
    }
    state.isDataConnection = true;
    runAfter(settings_.connect,
             [this, next = std::move(next)]() mutable { enqueue(std::move(next)); });
}

void standin_member::enqueue(job &&next)
{
    if (!connections_.contains(next.connection))
        return;
    queue_.push_back(std::move(next));
    startNext();
}

void standin_member::startNext()
{
    while (running_ < settings_.slots && !queue_.empty()) {
        job next = std::move(queue_.front());
        queue_.pop_front();
        next.wasInTransaction = model.transactions.contains(next.connection);
        ++running_;
        runAfter(settings_.execute + delayOf(fault(member_fault::Slow)),
                 [this, next = std::move(next)] { finish(next); });
    }
}

void standin_member::finish(const job &done)
{
    --running_;
    // A single write may run even though its connection was closed. A statement of a transaction
    // must not: the close rolled the transaction back, and the statement would commit by itself.
    const bool isOpen = connections_.contains(done.connection);
    const bool isAutocommit =
            done.request.kind == core::statement_kind::Write && !done.wasInTransaction;
    if (isOpen || isAutocommit) {
        const core::log_position before = statusOf(model).last;
        const execution result = execute(model, done.connection, done.request, net::currentTime());
        record(done, result);
        if (statusOf(model).last != before)
            hooks_.logChanged();
        answerExecution(done.connection, jsonResponse(200, wire::toJson(result.answer)));
    }
    startNext();
}

void standin_member::record(const job &done, const execution &result)
{
    executed_statement entry;
    entry.member = model.member;
    entry.connection = done.connection;
    entry.id = done.request.id;
    entry.workspace = done.request.workspace;
    entry.term = done.request.term;
    entry.kind = done.request.kind;
    entry.statement = done.request.statement;
    entry.parameters = done.request.parameters;
    entry.idempotencyKey = done.request.idempotencyKey;
    entry.status = result.answer.status;
    entry.hasRun = result.hasRun;
    entry.position = result.answer.position;
    entry.applied = result.answer.applied;
    for (const auto &[name, value] : done.headers)
        entry.headers.push_back({ name, value });
    hooks_.record(std::move(entry));
}

void standin_member::stop()
{
    ++generation_;
    server_.stop();
    delayedDeliveries_.clear();
    while (!connections_.empty())
        dropConnection(connections_.begin()->first);
    waits_.clear();
    swappedResponse_.reset();
    running_ = 0;
}

void standin_member::answer(connection_number connection, const net::http_response &response)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.isSilent)
        return;
    if (fault(member_fault::IsolateCallers).on)
        delayedDeliveries_.emplace_back(
                [this, connection, response] { answer(connection, response); });
    else
        server_.answer(connection, response);
}

void standin_member::answerStatus(connection_number connection)
{
    answer(connection, jsonResponse(200, wire::toJson(statusOf(model))));
}

void standin_member::answerExecution(connection_number connection,
                                     const net::http_response &response)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    if (consume(fault(member_fault::LoseAnswer))) {
        found->second.isSilent = true;
    } else if (fault(member_fault::Late).on) {
        runAfter(delayOf(fault(member_fault::Late)),
                 [this, connection, response] { answer(connection, response); });
    } else if (!fault(member_fault::Cross).on) {
        answer(connection, response);
    } else if (!swappedResponse_.has_value() || !connections_.contains(swappedResponse_->first)) {
        swappedResponse_.emplace(connection, response);
    } else {
        const auto [other, otherResponse] = *std::exchange(swappedResponse_, std::nullopt);
        answer(other, response);
        answer(connection, otherResponse);
        static_cast<void>(consume(fault(member_fault::Cross)));
        static_cast<void>(consume(fault(member_fault::Cross)));
    }
}

void standin_member::runAfter(core::duration delay, std::function<void()> action)
{
    if (delay <= core::duration::zero()) {
        action();
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, generation = generation_,
                       action = std::move(action)](const boost::system::error_code &error) {
        if (!error && generation == generation_)
            action();
    });
}

} // namespace fuchsiagw::testing
