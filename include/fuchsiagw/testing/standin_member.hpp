/// @file
/// @brief One member of the stand-in for a database group: port, execution slots, queue and faults.

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

/// Callbacks from a member to its group. They are called on the context's thread.
struct member_hooks
{
    std::function<void()> statementReceived;
    std::function<bool()> acquireConnection; ///< false: the group's connection limit is reached
    std::function<void()> releaseConnection;
    std::function<void(executed_statement &&)>
            record; ///< adds to the history; the group sets the number
    std::function<void()> logChanged; ///< log, role, term or followed primary changed
};

/// Used on the thread of one context only; must outlive the context's last run.
class standin_member
{
public:
    standin_member(boost::asio::io_context &context, const group_standin_settings &settings,
                   std::uint32_t index, member_hooks hooks);

    [[nodiscard]] std::error_code start() { return server_.start(); }
    [[nodiscard]] net::endpoint address() const { return server_.address(); }

    /// @brief Switches a fault on or off.
    /// @return InvalidValue if the fault needs a value and none is given
    [[nodiscard]] std::error_code setFault(member_fault kind, bool on,
                                           std::optional<std::uint64_t> value);

    /// @return whether replication from and to the other members is possible
    [[nodiscard]] bool isReachableByMembers() const;

    /// @return the replication lag that the fault Lag sets; nothing if it is off
    [[nodiscard]] std::optional<core::duration> lagOverride() const;

    /// @brief Answers the waits whose position the log has reached, or can no longer reach because
    /// the term has changed.
    /// @complexity linear in the number of answered waits
    void answerWaits();

    member_model model;

private:
    struct connection_state
    {
        bool isDataConnection = false; ///< counts towards the group's connection limit
        bool isSilent = false;
    };

    /// A statement that is queued or executing.
    struct job
    {
        connection_number connection = 0;
        core::execute_request request;
        net::http_headers headers;
        bool wasInTransaction = false; ///< at the time when it got its slot
    };

    struct pending_wait
    {
        connection_number connection = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void onRequest(net::http_request &&request, connection_number connection);
    void onClosed(connection_number connection);
    void dropConnection(connection_number connection);
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
    void runAfter(core::duration delay, std::function<void()> action);
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
    std::uint64_t generation_ = 1; ///< incremented by stop(), so that older timers have no effect
    /// Ordered by position, then by number of the wait.
    std::map<std::pair<core::log_position, std::uint64_t>, pending_wait> waits_;
    std::uint64_t newestWait_ = 0;
    std::vector<std::function<void()>> delayedDeliveries_; ///< of the fault IsolateCallers
    std::optional<std::pair<connection_number, net::http_response>> swappedResponse_; ///< of Cross
};

} // namespace fuchsiagw::testing
