/// @file
/// @brief One member of the stand-in for a database group: its port, slots, queue and faults.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/testing/fault_server.hpp>
#include <fuchsiagw/testing/fault_state.hpp>
#include <fuchsiagw/testing/group_settings.hpp>
#include <fuchsiagw/testing/member_model.hpp>
#include <fuchsiagw/testing/standin_json.hpp>
#include <fuchsiagw/wire/member_json.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <system_error>
#include <vector>

namespace fuchsiagw::testing {

/// What a member needs from its group. The calls come on the context's thread.
struct member_hooks
{
    std::function<void()> statementReceived;
    std::function<bool()> takeConnection; ///< false: the group has no connection left
    std::function<void()> releaseConnection;
    std::function<void(executed_statement &&)> record; ///< its number is not set yet
    std::function<void()> logChanged; ///< or role, or term, or what it follows
};

/// Lives on one context's thread and must outlive the context's last run.
class standin_member
{
public:
    standin_member(boost::asio::io_context &context, const group_standin_settings &settings,
                   std::uint32_t index, member_hooks hooks);

    [[nodiscard]] std::error_code start() { return server_.start(); }
    [[nodiscard]] net::endpoint address() const { return server_.address(); }

    /// @brief Switches a fault on or off.
    /// @return InvalidValue if the kind needs a value and has none
    [[nodiscard]] std::error_code setFault(member_fault kind, bool on,
                                           std::optional<std::uint64_t> value);

    /// @return whether the other members reach it
    [[nodiscard]] bool isReachableByMembers() const;

    /// @return the replication lag that a fault sets, if any
    [[nodiscard]] std::optional<core::duration> lagFault() const;

    /// @brief Answers the waits whose position the log has reached or can't reach any more.
    /// @complexity linear in the number of waits that it answers
    void answerWaits();

    member_model model;

private:
    struct connection_state
    {
        bool isData = false; ///< counts against the group's connections
        bool isSilent = false;
    };

    /// A statement in the queue or in a slot.
    struct job
    {
        connection_number connection = 0;
        core::execute_request request;
        net::http_headers headers;
        bool hadTransaction = false; ///< when it got its slot
    };

    struct pending_wait
    {
        connection_number connection = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void onRequest(net::http_request &&request, connection_number connection);
    void onClosed(connection_number connection);
    void forget(connection_number connection);
    void route(const net::http_request &request, connection_number connection);
    void wait(const net::http_request &request, connection_number connection);
    void acceptTerm(const net::http_request &request, connection_number connection);
    void lead(const net::http_request &request, connection_number connection);
    void follow(const net::http_request &request, connection_number connection);
    void admit(const net::http_request &request, connection_number connection);
    void enqueue(job &&next);
    void startNext();
    void finish(const job &done);
    void record(const job &done, const execution &result);
    void stop();

    void answer(connection_number connection, const net::http_response &response);
    void answerStatus(connection_number connection);
    void answerExecution(connection_number connection, const net::http_response &response);
    void after(core::duration delay, std::function<void()> action);
    [[nodiscard]] fault_state &fault(member_fault kind)
    {
        return faults_.at(static_cast<std::size_t>(kind));
    }
    [[nodiscard]] const fault_state &fault(member_fault kind) const
    {
        return faults_.at(static_cast<std::size_t>(kind));
    }

    boost::asio::io_context &context_;
    const group_standin_settings &settings_;
    member_hooks hooks_;
    fault_server server_;
    std::array<fault_state, memberFaultNames.size()> faults_;
    std::map<connection_number, connection_state> connections_;
    std::deque<job> queue_;
    std::uint32_t running_ = 0; ///< at most settings_.slots
    std::uint64_t runs_ = 1; ///< increases at each stop, so that older timers have no effect
    /// By position and then by number of the wait.
    std::map<std::pair<core::log_position, std::uint64_t>, pending_wait> waits_;
    std::uint64_t newestWait_ = 0;
    std::vector<std::function<void()>> held_; ///< deliveries while callers can't reach it
    std::optional<std::pair<connection_number, net::http_response>> crossed_; ///< waits for another
};

} // namespace fuchsiagw::testing
