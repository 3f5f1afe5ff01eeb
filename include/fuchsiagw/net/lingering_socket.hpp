/// @file
/// @brief A TCP socket of the HTTP server, whose close destroys no answer on its way.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace fuchsiagw::net {

class socket_registry;

/// Closing it shuts down sending and drops input until the peer closes, since the kernel resets a
/// connection that is closed with unread input, and the reset destroys answers on their way.
/// A connection that is closed while it waits for a request gets a response first, as a request may
/// be on its way to it.
/// Invariant: it isn't moved after the first read or write.
class lingering_socket : public boost::asio::ip::tcp::socket
{
public:
    using base = boost::asio::ip::tcp::socket;

    explicit lingering_socket(boost::asio::io_context &context)
        : base(context)
    { }
    lingering_socket(lingering_socket &&other) noexcept
        : base(std::move(other))
    { }
    ~lingering_socket();
    lingering_socket(const lingering_socket &) = delete;
    lingering_socket &operator=(const lingering_socket &) = delete;
    lingering_socket &operator=(lingering_socket &&) = delete;

    template <typename buffer_sequence, typename handler>
    void async_read_some(const buffer_sequence &buffers, handler &&done) // NOLINT
    {
        enlist();
        isReading_ = true;
        base::async_read_some(
                buffers, [this, done = std::forward<handler>(done)](
                                 const boost::system::error_code &error, std::size_t size) mutable {
                    // What was read before a cancel is dropped with the input behind it: its
                    // connection has been refused, or has its last response.
                    const bool isCanceled = !std::exchange(isReading_, false);
                    done(isCanceled ? boost::asio::error::operation_aborted : error, size);
                });
    }

    template <typename buffer_sequence, typename handler>
    void async_write_some(const buffer_sequence &buffers, handler &&done) // NOLINT
    {
        isWriting_ = true;
        base::async_write_some(
                buffers, [this, done = std::forward<handler>(done)](
                                 const boost::system::error_code &error, std::size_t size) mutable {
                    isWriting_ = false;
                    done(error, size);
                });
    }

    void cancel(boost::system::error_code &error);
    void shutdown(shutdown_type what, boost::system::error_code &error);
    void close();

    /// @brief Closes it, with @p notice as the last response, if it waits for a request.
    void closeIfIdle(const std::string &notice);

private:
    void enlist();
    [[nodiscard]] bool isIdle() const { return isReading_ && !isWriting_; }
    void linger();

    socket_registry *registry_ = nullptr; ///< set from the first read to the close
    bool isReading_ = false; ///< a request; the server reads none while it handles another
    bool isWriting_ = false;
};

/// @brief Sends @p notice as the last response of an accepted connection and closes it like a
/// lingering_socket.
void refuseConnection(boost::asio::ip::tcp::socket &&socket, const std::string &notice);

/// @brief Closes the connections to the local @p port that wait for a request.
/// @return number of connections to this port that are open, or wait for their peer to close
[[nodiscard]] std::size_t closeIdleConnections(boost::asio::io_context &context, std::uint16_t port,
                                               const std::string &notice);

} // namespace fuchsiagw::net
