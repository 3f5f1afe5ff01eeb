/// @file
/// @brief An HTTP/1.1 server whose requests may be answered asynchronously and from any thread.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/endpoint.hpp>
#include <fuchsiagw/net/http_message.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace fuchsiagw::net {

using connection_number = std::uint64_t;

/// @brief Answers one request, at most once, from any thread.
///
/// If it is destroyed without an answer, the server's handler timeout closes the connection.
class http_responder
{
public:
    /// Sends the response; with @p close the connection is closed afterwards.
    using sender = std::function<void(const http_response &, bool close)>;

    http_responder() = default;
    explicit http_responder(sender send)
        : send_(std::move(send))
    { }

    /// @brief Answers the request; further calls have no effect.
    void send(const http_response &response, bool close = false)
    {
        const sender once = std::exchange(send_, nullptr);
        if (once)
            once(response, close);
    }

private:
    sender send_;
};

struct http_server_options
{
    endpoint listenAddress; ///< port 0: the kernel chooses
    std::size_t maxBodyBytes = 0; ///< bytes; a larger body closes the connection
    std::chrono::seconds idleTimeout{ 60 }; ///< for reading a request and for writing a response
    std::chrono::seconds handlerTimeout{ 75 }; ///< for the handler of a request
    std::size_t maxConnections = 0;
};

/// Runs on the given context; handlers are called on that context's thread.
class http_server
{
public:
    using request_handler = std::function<void(http_request &&request, connection_number connection,
                                               http_responder &&reply)>;
    using closed_handler = std::function<void(connection_number connection)>;

    http_server(boost::asio::io_context &context, http_server_options options,
                request_handler onRequest, closed_handler onClosed = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @brief Binds and starts to accept connections. Call it before the context runs or on its
    /// thread.
    /// @return the system's error if the address can't be bound
    [[nodiscard]] std::error_code start();

    /// @return the bound port; 0 before start()
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Stops accepting; open connections stay open. Call it on the context's thread.
    /// @param notice the only response on connections that have not been accepted yet
    void stopAccepting(const http_response &notice);

    /// @brief Stops accepting, and closes each connection as soon as it waits for a request. Call
    /// it on the context's thread.
    /// @param notice the last response on each connection; requests on their way take it as theirs
    /// @param done called when the peers have closed all connections, at the latest at @p deadline
    void close(const http_response &notice, core::time_point deadline, std::function<void()> done);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace fuchsiagw::net
