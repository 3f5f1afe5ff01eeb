/// @file
/// @brief HTTP server for fault injection per connection.
///
/// The proxy's own HTTP server answers each request exactly once, on its connection. A stand-in
/// must also be able to leave a request unanswered, to send an answer on the wrong connection, and
/// to close its port and open it again.

#pragma once

#include <fuchsiagw/net/endpoint.hpp>
#include <fuchsiagw/net/http_message.hpp>
#include <fuchsiagw/testing/connection_number.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace fuchsiagw::testing {

/// Used on the thread of one context only. A connection has at most one request in progress; the
/// next one is read after answer().
class fault_server
{
public:
    using request_handler = std::function<void(net::http_request &&, connection_number)>;
    using closed_handler = std::function<void(connection_number)>;

    /// The server listens on the loopback address only.
    /// @param port 0: chosen by the kernel at the first start() and kept afterwards
    /// @param onClosed called once for each connection, whichever side closed it
    fault_server(boost::asio::io_context &context, std::uint16_t port, request_handler onRequest,
                 closed_handler onClosed);
    ~fault_server();
    fault_server(const fault_server &) = delete;
    fault_server &operator=(const fault_server &) = delete;

    /// @brief Binds the port and accepts connections.
    /// @return the system error if the address can't be bound
    [[nodiscard]] std::error_code start();

    /// @brief Closes all connections and refuses new ones until start().
    void stop();

    /// @return the address that start() bound
    [[nodiscard]] net::endpoint address() const;

    /// @brief Answers the connection's request; does nothing if it has none or is closed.
    void answer(connection_number connection, const net::http_response &response);

    /// @brief Answers like answer(), but over a narrow link: the response is sent in pieces of at
    /// most @p pieceBytes with a pause of @p pause after each.
    void answerInPieces(connection_number connection, const net::http_response &response,
                        std::size_t pieceBytes, std::chrono::milliseconds pause);

    void close(connection_number connection);

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace fuchsiagw::testing
