/// @file
/// @brief An HTTP client connection that carries one exchange at a time.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/endpoint.hpp>
#include <fuchsiagw/net/http_message.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <system_error>

namespace fuchsiagw::net {

/// Result of one exchange.
struct http_exchange
{
    std::error_code error; ///< empty if a complete response was received
    bool wasSent = false; ///< false only if no byte of the request can have left this process
    http_response response;
};

/// Keeps an exchange alive after its deadline as long as its response arrives, so that the time for
/// a response is not the same whatever its size and the bandwidth of the link.
struct response_transfer
{
    core::time_point latestEnd{}; ///< the response must be complete by then
    std::function<void()> onPart; ///< called when a part has arrived; may be empty
};

/// Not thread-safe: calls and callbacks happen on the thread of its context.
/// Invariant: at most one exchange at a time. Any error closes the connection, and so do bytes that
/// no request asked for, so a late or second response that arrives before a request is sent is not
/// matched to that request.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using connect_handler = std::function<void(std::error_code)>;
    using exchange_handler = std::function<void(http_exchange &&)>;
    using closed_handler = std::function<void()>;

    [[nodiscard]] static std::shared_ptr<http_connection> create(boost::asio::io_context &context,
                                                                 endpoint peer);
    ~http_connection();

    /// @brief Connects; reports `timed_out` if that takes until the deadline.
    void connect(core::time_point deadline, connect_handler done);

    /// @brief Sends a request and waits for the complete response until the deadline.
    /// Nothing is sent if the peer has closed the connection or sent bytes since the last exchange,
    /// or if the request is not writable.
    /// @param request sent with a Host header that names the peer
    /// @param transfer if set, the deadline is that of the response's first part, and moves with
    /// each part that arrives
    void exchange(const http_request &request, core::time_point deadline, exchange_handler done,
                  const std::optional<response_transfer> &transfer = std::nullopt);

    /// @brief Reports once when the peer closes the connection between exchanges.
    void onClosedWhileIdle(closed_handler closed);

    void close();
    [[nodiscard]] bool isOpen() const;
    /// @brief Closes the connection if the peer has closed it, or sent bytes, since the last
    /// exchange. The idle watch reports that only when the context runs.
    /// @return whether the connection is open
    [[nodiscard]] bool isReusable();

private:
    struct implementation;
    explicit http_connection(std::unique_ptr<implementation> state);
    void watchIdle();
    void readResponse();
    void readNextPart();
    void finishWithResponse();
    void finish(http_exchange &&result);

    std::unique_ptr<implementation> implementation_;
};

} // namespace fuchsiagw::net
