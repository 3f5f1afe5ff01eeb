/// @file
/// @brief Connections and control requests to the members of groups.

#pragma once

#include <fuchsiagw/core/gateway_action.hpp>
#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/net/http_connection.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace fuchsiagw::daemon {

struct connect_finished
{
    core::connection_id id = 0;
    bool isOpen = false;
};

struct execute_finished
{
    core::connection_id id = 0;
    std::optional<core::execute_answer> answer;
    bool wasSent = false;
    bool wasSilent = false;
};

struct connection_closed
{
    core::connection_id id = 0;
};

struct control_finished
{
    core::control_answer answer;
};

struct upstream_event
{
    core::group_id group;
    std::variant<connect_finished, execute_finished, connection_closed, control_finished> result;
};

/// Every function must be called on the thread of the context.
class upstream_client
{
public:
    using event_sink = std::function<void(upstream_event &&)>;

    upstream_client(boost::asio::io_context &context, event_sink sink)
        : context_(context)
        , controlClient_(context)
        , eventSink_(std::move(sink))
    { }

    /// @brief Performs open_connection, send_statement, close_connection or control_call; any other
    /// action is ignored.
    void perform(const core::group_action &action);

private:
    using connection_key = std::pair<core::group_id, core::connection_id>;

    void open(const core::group_id &group, const core::open_connection &command);
    void send(const core::group_id &group, const core::send_statement &command);
    void close(const core::group_id &group, core::connection_id id);
    void control(const core::group_id &group, const core::control_call &command);

    boost::asio::io_context &context_;
    net::http_client controlClient_;
    event_sink eventSink_;
    std::map<connection_key, std::shared_ptr<net::http_connection>> connections_;
};

} // namespace fuchsiagw::daemon
