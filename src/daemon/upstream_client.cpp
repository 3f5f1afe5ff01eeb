/// @file
/// @brief HTTP requests to members and their answers.

#include <utility>

#include <fuchsiagw/daemon/upstream_client.hpp>

#include <fuchsiagw/wire/member_json.hpp>

namespace fuchsiagw::daemon {

namespace {

constexpr int statusOk = 200;

net::http_request postRequest(std::string target, std::string body)
{
    return {
        "POST", std::move(target), { { "Content-Type", "application/json" } }, std::move(body)
    };
}

net::http_request controlRequest(const core::control_call &command)
{
    switch (command.kind) {
    case core::control_kind::Status:
        return { "GET", "/status", {}, {} };
    case core::control_kind::Wait: {
        const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(command.held);
        return { "GET", wire::toTarget(wire::wait_request{ command.position, held }), {}, {} };
    }
    case core::control_kind::AcceptTerm:
        return postRequest("/accept_term",
                           wire::toJson(wire::term_request{ command.position.term }));
    case core::control_kind::Lead:
        return postRequest("/lead", wire::toJson(wire::term_request{ command.position.term }));
    case core::control_kind::Follow:
        break;
    }
    return postRequest("/follow", wire::toJson(wire::follow_request{ command.position.term,
                                                                     command.primary }));
}

/// Reads the answer to a control request; an unreadable answer counts as none.
core::control_answer readControlAnswer(const core::control_call &command,
                                       const net::http_exchange &exchange)
{
    core::control_answer result;
    result.number = command.number;
    if (exchange.error || exchange.response.status != statusOk)
        return result;
    if (command.kind == core::control_kind::AcceptTerm) {
        core::accept_term_answer answer;
        if (wire::fromJson(exchange.response.body, answer))
            return result;
        result.accepted = answer.accepted;
        result.status = answer.status;
        return result;
    }
    core::member_status status;
    if (!wire::fromJson(exchange.response.body, status))
        result.status = status;
    return result;
}

execute_finished readExecuteAnswer(core::connection_id id, const net::http_exchange &exchange)
{
    execute_finished result;
    result.id = id;
    result.wasSent = exchange.wasSent;
    result.wasSilent = exchange.error == std::errc::timed_out;
    core::execute_answer answer;
    // An unreadable answer leaves the outcome of the statement unknown.
    if (!exchange.error && !wire::fromJson(exchange.response.body, answer))
        result.answer = std::move(answer);
    return result;
}

} // namespace

void upstream_client::perform(const core::group_action &action)
{
    const core::group_id &group = action.group;
    if (const auto *opening = std::get_if<core::open_connection>(&action.action))
        open(group, *opening);
    else if (const auto *sending = std::get_if<core::send_statement>(&action.action))
        send(group, *sending);
    else if (const auto *closing = std::get_if<core::close_connection>(&action.action))
        close(group, closing->id);
    else if (const auto *call = std::get_if<core::control_call>(&action.action))
        control(group, *call);
}

void upstream_client::open(const core::group_id &group, const core::open_connection &command)
{
    net::endpoint address;
    if (net::parseEndpoint(command.address, address)) {
        eventSink_({ group, connect_finished{ command.id, false } });
        return;
    }
    const auto connection = net::http_connection::create(context_, address);
    connections_[{ group, command.id }] = connection;
    connection->connect(command.deadline,
                        [this, group, id = command.id, connection](std::error_code error) {
                            const auto entry = connections_.find({ group, id });
                            // The connection was closed before it was established.
                            if (entry == connections_.end() || entry->second != connection) {
                                connection->close();
                                return;
                            }
                            if (error)
                                connections_.erase(entry);
                            eventSink_({ group, connect_finished{ id, !error } });
                        });
    connection->onClosedWhileIdle([this, group, id = command.id] {
        if (connections_.erase({ group, id }) != 0)
            eventSink_({ group, connection_closed{ id } });
    });
}

void upstream_client::send(const core::group_id &group, const core::send_statement &command)
{
    const auto entry = connections_.find({ group, command.id });
    if (entry == connections_.end()) {
        eventSink_({ group, execute_finished{ command.id, std::nullopt, false, false } });
        return;
    }
    const auto connection = entry->second;
    connection->exchange(postRequest("/execute", wire::toJson(command.request)), command.deadline,
                         [this, group, id = command.id](net::http_exchange &&exchange) {
                             const auto current = connections_.find({ group, id });
                             if (current == connections_.end())
                                 return;
                             if (!current->second->isOpen())
                                 connections_.erase(current);
                             eventSink_({ group, readExecuteAnswer(id, exchange) });
                         });
}

void upstream_client::close(const core::group_id &group, core::connection_id id)
{
    const auto entry = connections_.find({ group, id });
    if (entry == connections_.end())
        return;
    const auto connection = entry->second;
    connections_.erase(entry);
    connection->close();
}

void upstream_client::control(const core::group_id &group, const core::control_call &command)
{
    net::endpoint address;
    if (net::parseEndpoint(command.address, address)) {
        eventSink_({ group, control_finished{ { command.number, std::nullopt, false } } });
        return;
    }
    controlClient_.call(
            address, controlRequest(command), command.deadline,
            [this, group, command](net::http_exchange &&exchange) {
                eventSink_({ group, control_finished{ readControlAnswer(command, exchange) } });
            });
}

} // namespace fuchsiagw::daemon
