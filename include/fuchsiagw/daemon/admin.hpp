/// @file
/// @brief The duty that speaks HTTP with operators and answers with the metrics.

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

/// Operators' requests that may wait for an answer at once; the rings hold as many.
inline constexpr std::size_t maxAdminRequests = 64;

/// @brief Checks the secret and the route of an operators' request.
/// @param into its route, argument and body are set on success
/// @return the refusal; nullopt if the request goes to the decisions
/// @complexity linear in the size of the request
[[nodiscard]] std::optional<wire::admin_answer>
refuseAdmin(const net::http_request &request, std::string_view secretHash, admin_request &into);

/// Where the admin duty gets what it doesn't own.
struct admin_inputs
{
    /// Hands a request to the decisions; false if their ring is full.
    std::function<bool(admin_request &&)> request;
    std::function<bool()> isReady; ///< any thread may ask
    /// Makes the duties publish what they count only on demand; called each second.
    std::function<void()> sample;
    std::vector<snapshot_buffer<metrics> *> sources; ///< read by this duty alone
};

/// Lives on the thread of its context.
class admin
{
public:
    admin(boost::asio::io_context &context, const settings &values, const log_sink &log,
          admin_inputs inputs);

    /// @brief Binds the admin address.
    [[nodiscard]] std::error_code start();

    /// @brief Answers a request of an operator. A ticket that is not known is ignored.
    void onAnswer(admin_result &result);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /// @return the sum over all duties
    [[nodiscard]] metrics collect();

private:
    void onRequest(net::http_request &&request, net::http_responder &&reply);
    [[nodiscard]] bool answerOpenRoute(const net::http_request &request,
                                       net::http_responder &reply);
    void tick();

    const settings &settings_;
    const log_sink &log_;
    admin_inputs inputs_;
    net::http_server server_;
    boost::asio::steady_timer timer_;
    rate_meter controlRate_;
    double controlBytesPerSecond_ = 0;
    std::unordered_map<std::uint64_t, net::http_responder> open_; ///< by ticket
    std::uint64_t nextTicket_ = 1;
};

} // namespace fuchsiagw::daemon
