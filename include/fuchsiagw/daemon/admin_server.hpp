/// @file
/// @brief HTTP server for operators and for the collection of metrics.

#pragma once

#include <fuchsiagw/daemon/admin_message.hpp>
#include <fuchsiagw/daemon/metrics.hpp>
#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/daemon/snapshot_buffer.hpp>
#include <fuchsiagw/net/http_server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fuchsiagw::daemon {

class log_sink;

/// Limit of operators' requests that wait for an answer; it is also the capacity of their queues.
inline constexpr std::size_t maxAdminRequests = 64;

/// @brief Checks the secret and the route of an operator's request.
/// @param into receives route, argument and body on success
/// @return the error answer; nullopt if the request is accepted
/// @complexity linear in the size of the request
[[nodiscard]] std::optional<wire::admin_answer> checkAdminRequest(const net::http_request &request,
                                                                  std::string_view secretHash,
                                                                  admin_request &into);

/// Functions by which the admin server reaches other threads, and the metrics of those threads.
struct admin_server_inputs
{
    /// Passes a request to the gateway's thread; returns false if its queue is full.
    std::function<bool(admin_request &&)> request;
    std::function<bool()> isReady; ///< may be called on any thread
    /// Requests the threads that publish metrics only on demand to publish; called every second.
    std::function<void()> sample;
    std::vector<snapshot_buffer<metrics> *> sources; ///< this server is their only reader
};

/// Every function must be called on the thread of the context.
class admin_server
{
public:
    admin_server(boost::asio::io_context &context, const settings &values, const log_sink &log,
                 admin_server_inputs inputs);

    /// @brief Binds the admin address and starts to accept connections.
    [[nodiscard]] std::error_code start();

    /// @brief Answers the request that has the ticket of @p result. An unknown ticket is ignored.
    void onAnswer(admin_result &result);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /// @return the sum of the metrics of all threads
    [[nodiscard]] metrics collect();

private:
    void onRequest(net::http_request &&request, net::http_responder &&reply);
    [[nodiscard]] bool answerOpenRoute(const net::http_request &request,
                                       net::http_responder &reply);
    void tick();

    const settings &settings_;
    const log_sink &log_;
    admin_server_inputs inputs_;
    net::http_server server_;
    boost::asio::steady_timer timer_;
    rate_meter controlRate_;
    double controlBytesPerSecond_ = 0;
    std::unordered_map<std::uint64_t, net::http_responder> openRequests_; ///< by ticket
    std::uint64_t nextTicket_ = 1;
};

} // namespace fuchsiagw::daemon
