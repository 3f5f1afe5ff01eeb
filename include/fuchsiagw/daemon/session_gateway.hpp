/// @file
/// @brief Connects the session engine to the sockets of callers, members and other daemons.

#pragma once

#include <fuchsiagw/daemon/latency_histograms.hpp>
#include <fuchsiagw/daemon/relay_server.hpp>
#include <fuchsiagw/daemon/session_log.hpp>
#include <fuchsiagw/daemon/session_settings.hpp>
#include <fuchsiagw/daemon/statement_memory.hpp>
#include <fuchsiagw/daemon/store_client.hpp>
#include <fuchsiagw/net/line_connection.hpp>
#include <fuchsiagw/net/udp_link.hpp>
#include <fuchsiagw/proxy/engine.hpp>
#include <fuchsiagw/wire/replay_window.hpp>

#include <platform/wire_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace fuchsiagw::daemon {

/// Single-threaded driver of the session engine. Passes events from the sockets of callers and
/// members, from the store and from other daemons to the engine, then performs the actions that the
/// engine has queued.
class session_gateway
{
public:
    session_gateway(boost::asio::io_context &context, const session_settings &values,
                    session_log &log);
    ~session_gateway();
    session_gateway(const session_gateway &) = delete;
    session_gateway &operator=(const session_gateway &) = delete;

    [[nodiscard]] std::error_code start();
    /// @brief Starts the graceful shutdown.
    /// @param done is called once, when all sessions and borrowers have ended, or shortly before
    /// the stop deadline
    void stop(std::function<void()> done);
    void applySettings(const session_settings &values);

    [[nodiscard]] bool isReady() const { return proxy::isReady(engine_); }
    [[nodiscard]] std::string metricsText() const;
    /// @return the counters so far, as one log line
    [[nodiscard]] std::string summary() const;

private:
    struct caller_connection;
    struct upstream_connection;

    /// @brief Divides the memory of the settings among callers, relay and session state.
    void applyMemoryLimits();
    /// @brief Closes connections that have not opened a session, so that others find descriptors.
    void limitConnections();
    /// @brief Logs that connections were closed for their memory, at most once a second.
    void logPressure();
    /// @brief Lets long statements through that waited for memory.
    void resumeHeldStatements();
    void startAccepting();
    void accept();
    void onCallerLine(proxy::session_id id, std::string_view line);
    /// @brief Counts and logs input of a caller that arrived behind the close of its session.
    void onInputDropped(proxy::session_id id, std::size_t bytes, core::time_point closedAt);
    void onUpstreamReply(proxy::link_id id, proxy::reply &&received);
    void onReplyFault(const std::string &member, proxy::reply_fault fault);
    /// @brief Ends a session whose caller has sent a line that is no statement.
    void endByLine(proxy::session_id id, bool isTermination, core::time_point now);
    void onDatagram(std::string_view bytes);
    /// @brief Runs the handler of one event. An unexpected error drops this event alone; it is
    /// counted and logged.
    /// @return whether the handler ended without an error
    bool runGuarded(std::string_view source, const std::function<void()> &handler);
    void onInstances(const std::vector<listed_instance> &list);

    /// @brief Performs the engine's queued actions and schedules its next timer event.
    void perform();
    void perform(const proxy::send_to_caller &action);
    void perform(const proxy::close_caller &action);
    void perform(const proxy::open_link &action);
    void perform(const proxy::send_to_member &action);
    void perform(const proxy::close_link &action);
    void perform(const proxy::refresh_directory &action);
    void perform(const proxy::refresh_manifest &action);
    void perform(const proxy::confirm_manifest &action);
    void perform(const proxy::acquire_fencing_token &action);
    void perform(const proxy::read_open_orders &action);
    void perform(const proxy::record_open_orders &action);
    void perform(const proxy::order_promotion &action);
    void perform(const proxy::send_to_peer &action);
    void perform(const proxy::claim_part &action);
    void perform(const proxy::decision_note &action);
    /// @brief Returns a spare connection to the relay of another daemon, or opens one.
    std::shared_ptr<net::line_connection> relayConnectionTo(const std::string &node,
                                                            const net::endpoint &peer);
    void addSpareConnection(const std::string &node, const net::endpoint &peer);
    void scheduleTimer();
    void finishStopIfDrained();

    boost::asio::io_context &context_;
    session_settings values_;
    session_log &log_;
    proxy::engine engine_;
    store_client store_;
    net::udp_link datagrams_;
    relay_server relay_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    core::time_point timerDueAt_ = core::noDeadline; ///< when timer_ expires
    core::time_point earliestTimerAt_{}; ///< timer_ does not expire earlier
    bool isPerforming_ = false;
    bool isAccepting_ = false;
    proxy::session_id lastSession_ = 0;
    std::map<proxy::session_id, std::unique_ptr<caller_connection>> callers_;
    /// Connections that a shutdown closes gracefully.
    std::vector<std::weak_ptr<net::line_connection>> closingCallers_;
    std::map<proxy::link_id, std::unique_ptr<upstream_connection>> upstreams_;
    std::map<std::string, net::endpoint> peerAddresses_;
    /// Unused connections to the relays of other daemons, by node.
    std::map<std::string, std::vector<std::shared_ptr<net::line_connection>>> spareConnections_;
    std::function<void()> onStopped_;
    latency_histograms latencies_;
    std::shared_ptr<net::byte_budget> callerBytes_ = std::make_shared<net::byte_budget>();
    statement_memory statementMemory_{ callerBytes_, {}, {} };
    std::uint64_t closedSilent_ = 0; ///< connections that had not opened a session
    std::uint64_t loggedClosed_ =
            0; ///< connections closed for their memory, as of the last log line
    core::time_point nextPressureLogAt_{};
    std::uint64_t droppedEvents_ = 0;
    std::uint64_t inputsDropped_ = 0; ///< reads of input behind the close of a session
    std::uint64_t unreadableDatagrams_ = 0;
    std::uint64_t repeatedDatagrams_ = 0;
    std::uint64_t lastDatagram_ = 0; ///< sequence number
    wire::replay_window receivedDatagrams_;
    std::array<std::uint64_t, proxy::replyFaultNames.size()> replyFaults_{}; ///< by reply_fault
    core::time_point nextUnreadableLogAt_{};
};

} // namespace fuchsiagw::daemon
