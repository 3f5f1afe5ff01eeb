/// @file
/// @brief The sockets of callers and members around the session engine.

#pragma once

#include <fuchsiagw/daemon/latency_histograms.hpp>
#include <fuchsiagw/daemon/relay_server.hpp>
#include <fuchsiagw/daemon/session_log.hpp>
#include <fuchsiagw/daemon/session_settings.hpp>
#include <fuchsiagw/daemon/store_client.hpp>
#include <fuchsiagw/net/line_connection.hpp>
#include <fuchsiagw/net/udp_link.hpp>
#include <fuchsiagw/proxy/engine.hpp>

#include <platform/wire_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace fuchsiagw::daemon {

/// Runs everything that a statement needs on one thread: callers' sockets, decisions, members'
/// sockets and datagrams to other daemons. Each event is handed to the engine, and then the actions
/// that the engine asked for are carried out.
class session_gateway
{
public:
    session_gateway(boost::asio::io_context &context, const session_settings &values,
                    session_log &log);
    ~session_gateway();
    session_gateway(const session_gateway &) = delete;
    session_gateway &operator=(const session_gateway &) = delete;

    [[nodiscard]] std::error_code start();
    /// @brief Starts the planned stop; @p done is called once, when nothing is left or at its end.
    void stop(std::function<void()> done);
    void applySettings(const session_settings &values);

    [[nodiscard]] bool isReady() const { return proxy::isReady(engine_); }
    [[nodiscard]] std::string metricsText() const;
    /// @return what was counted so far, in one line for the log
    [[nodiscard]] std::string summary() const;

private:
    struct caller;
    struct upstream;

    void startAccepting();
    void accept();
    void onCallerLine(proxy::session_id id, std::string_view line);
    void onUpstreamLine(proxy::link_id id, std::string_view line);
    void onDatagram(std::string_view bytes);
    void onInstances(const std::vector<listed_instance> &list);

    /// @brief Carries out what the engine asked for, and plans the next call of onTimer().
    void perform();
    void perform(const proxy::send_to_caller &order);
    void perform(const proxy::close_caller &order);
    void perform(const proxy::open_link &order);
    void perform(const proxy::send_to_member &order);
    void perform(const proxy::close_link &order);
    void perform(const proxy::refresh_directory &order);
    void perform(const proxy::refresh_manifest &order);
    void perform(const proxy::acquire_fencing_token &order);
    void perform(const proxy::order_promotion &order);
    void perform(const proxy::send_to_peer &order);
    void perform(const proxy::claim_part &order);
    void perform(const proxy::decision_note &order);
    /// @brief Takes a connection to a daemon that was opened before, or opens one.
    std::shared_ptr<net::line_connection> connectionTo(const std::string &node,
                                                       const net::endpoint &peer);
    void keepSpare(const std::string &node, const net::endpoint &peer);
    void plan();
    void checkStopped();

    boost::asio::io_context &context_;
    session_settings values_;
    session_log &log_;
    proxy::engine engine_;
    store_client store_;
    net::udp_link datagrams_;
    relay_server relay_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    core::time_point planned_ = core::noDeadline; ///< when timer_ fires
    bool performing_ = false;
    bool accepting_ = false;
    proxy::session_id lastSession_ = 0;
    std::map<proxy::session_id, std::unique_ptr<caller>> callers_;
    std::map<proxy::link_id, std::unique_ptr<upstream>> upstreams_;
    std::map<std::string, net::endpoint> peerAddresses_;
    /// Connections to daemons that keep members' connections, not used yet.
    std::map<std::string, std::vector<std::shared_ptr<net::line_connection>>> spares_;
    std::function<void()> stopped_;
    latency_histograms latencies_;
};

} // namespace fuchsiagw::daemon
