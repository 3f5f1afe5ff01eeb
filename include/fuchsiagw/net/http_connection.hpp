/// @file
/// @brief One client connection that carries one HTTP exchange at a time.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/endpoint.hpp>
#include <fuchsiagw/net/http_message.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <system_error>

namespace fuchsiagw::net {

/// What came of one exchange.
struct http_exchange
{
    std::error_code error; ///< empty if a whole response came
    bool sent = false; ///< false only if no byte of the request can have left this process
    http_response response;
};

/// Lives on one context's thread; every call and callback happens there.
/// Invariant: at most one exchange at a time. Any error closes the connection, so a late response
/// can never be taken for the answer to another request.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    using connect_handler = std::function<void(std::error_code)>;
    using exchange_handler = std::function<void(http_exchange &&)>;
    using closed_handler = std::function<void()>;

    [[nodiscard]] static std::shared_ptr<http_connection> create(boost::asio::io_context &context,
                                                                 endpoint peer);
    ~http_connection();

    /// @brief Connects, or reports `timed_out` at the deadline.
    void connect(core::time_point deadline, connect_handler done);

    /// @brief Sends a request and waits for the whole response until the deadline.
    /// @param request its Host header is set here
    void exchange(const http_request &request, core::time_point deadline, exchange_handler done);

    /// @brief Reports once when the peer closes the connection between exchanges.
    void onClosedWhileIdle(closed_handler closed);

    void close();
    [[nodiscard]] bool isOpen() const;

private:
    struct implementation;
    explicit http_connection(std::unique_ptr<implementation> state);
    void watchIdle();
    void finish(http_exchange &&result);

    std::unique_ptr<implementation> implementation_;
};

} // namespace fuchsiagw::net
