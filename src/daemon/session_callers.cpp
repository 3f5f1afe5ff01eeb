/// @file
/// @brief Lines from the callers of the session gateway, its answers to them and ends of sessions.

#include <fuchsiagw/daemon/session_gateway.hpp>

#include <fuchsiagw/detail/session_connections.hpp>
#include <fuchsiagw/net/byte_budget.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <string>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t maxQueuedReplyBytes = 4 * adapter::maxMessageBytes;

} // namespace

void session_gateway::onCallerLine(proxy::session_id id, std::string_view line)
{
    const auto found = callers_.find(id);
    if (found == callers_.end())
        return;
    caller_connection &source = *found->second;
    const core::time_point now = net::currentBootTime();
    adapter::caller_line decoded = adapter::decodeCallerLine(line);
    if (auto *startup = std::get_if<adapter::startup_line>(&decoded); startup && !source.isOpen) {
        source.isOpen = true;
        const bool accepted =
                proxy::onSessionOpened(engine_, id, startup->database, startup->key, now);
        perform();
        if (!accepted)
            perform(proxy::close_caller{ id, {} });
        return;
    }
    auto *statement = std::get_if<adapter::statement_line>(&decoded);
    if (statement == nullptr || !source.isOpen) {
        endByLine(id, std::holds_alternative<adapter::terminate_line>(decoded), now);
        return;
    }
    source.statementReceivedAt = now;
    source.statementKind = statement->statement.kind;
    const bool handled = runGuarded("statement", [&] {
        proxy::onCallerStatement(engine_, id, std::move(statement->statement), now);
    });
    if (!handled) {
        // Nothing is known of the outcome of the session's statements.
        perform(proxy::close_caller{ id, proxy::refuse(proxy::refusal_reason::AnswerLost,
                                                       proxy::transaction_state::Idle) });
        proxy::onCallerDisconnected(engine_, id, now, proxy::session_end::Failed);
    }
    perform();
}

void session_gateway::endByLine(proxy::session_id id, bool isTermination, core::time_point now)
{
    if (!engine_.sessions.contains(id))
        perform(proxy::close_caller{ id, {} });
    else if (isTermination)
        proxy::onCallerTerminated(engine_, id, now);
    else
        proxy::onCallerUnreadable(engine_, id, now);
    perform();
}

void session_gateway::perform(const proxy::send_to_caller &action)
{
    const auto found = callers_.find(action.session);
    if (found == callers_.end())
        return;
    caller_connection &recipient = *found->second;
    if (!action.opens)
        latencies_.record(recipient.statementKind,
                          net::currentBootTime() - recipient.statementReceivedAt);
    const proxy::session_id id = action.session;
    recipient.connection->send(adapter::encodeReply(action.answer, action.opens));
    if (statementMemory_.reserved.contains(id)) {
        release(statementMemory_, id);
        resumeHeldStatements();
    }
    const std::size_t queued = recipient.connection->queuedBytes();
    const bool isOverBudget = queued > net::largeHolding && !net::fits(*callerBytes_, 0);
    if (queued > maxQueuedReplyBytes || isOverBudget) {
        log_.write(socketEventNumber, "caller_does_not_read", {});
        recipient.connection->close();
        callers_.erase(found);
        proxy::onCallerDisconnected(engine_, id, net::currentBootTime(),
                                    proxy::session_end::NotReading);
    }
}

void session_gateway::perform(const proxy::close_caller &action)
{
    const auto found = callers_.find(action.session);
    if (found == callers_.end())
        return;
    const auto connection = found->second->connection;
    const core::time_point closedAt = net::currentBootTime();
    connection->setDroppedHandler([this, id = action.session, closedAt](std::size_t bytes) {
        onInputDropped(id, bytes, closedAt);
    });
    if (action.notice)
        connection->send(adapter::encodeReply(*action.notice, true));
    connection->closeGracefully();
    if (engine_.stopping)
        closingCallers_.push_back(connection);
    callers_.erase(found);
    release(statementMemory_, action.session);
    resumeHeldStatements();
}

void session_gateway::onInputDropped(proxy::session_id id, std::size_t bytes,
                                     core::time_point closedAt)
{
    ++inputsDropped_;
    const core::time_point now = net::currentBootTime();
    proxy::decision_note note;
    note.kind = proxy::note_kind::InputDropped;
    note.session = id;
    note.number = static_cast<std::int64_t>(bytes);
    note.age = now - closedAt;
    log_.write(note, now);
}

} // namespace fuchsiagw::daemon
