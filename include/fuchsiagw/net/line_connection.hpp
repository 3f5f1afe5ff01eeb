/// @file
/// @brief A TCP connection that carries lines of text.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsiagw::net {

/// How soon a connection whose far end is gone is noticed while nothing is sent.
enum class keepalive_profile {
    Short, ///< about three seconds
    Long, ///< about half a minute
};

/// @brief Sets keep-alive probes and the limit of unacknowledged data.
void configureKeepalive(boost::asio::ip::tcp::socket &socket, keepalive_profile check);

/// Lives on one context's thread. Lines end with LF; a CR before it is removed.
/// Invariant: no handler is called after close(), nor after the closed handler. The handlers live
/// as long as the connection, so they must not own it.
class line_connection : public std::enable_shared_from_this<line_connection>
{
public:
    using line_handler = std::function<void(std::string_view line)>;
    using closed_handler = std::function<void()>;

    /// @param maxLine bytes; a longer line closes the connection
    [[nodiscard]] static std::shared_ptr<line_connection> create(boost::asio::io_context &context,
                                                                 std::size_t maxLine);
    [[nodiscard]] static std::shared_ptr<line_connection>
    create(boost::asio::ip::tcp::socket &&socket, std::size_t maxLine);

    void setHandlers(line_handler onLine, closed_handler onClosed);

    /// @brief Connects and then reads; what is sent before is kept until then.
    void connect(const boost::asio::ip::tcp::endpoint &peer, keepalive_profile check);
    /// @brief Reads from a connection that was accepted.
    void start(keepalive_profile check);

    void send(std::string &&text);

    /// @brief Closes at once. The handlers are not called any more.
    void close();
    /// @brief Sends what is queued, ends the sending side and closes once the peer has too.
    /// If nothing was queued, input that still comes is answered with a reset.
    void closeGracefully();

    [[nodiscard]] std::size_t queuedBytes() const { return queue_.size() + writing_.size(); }

private:
    line_connection(boost::asio::ip::tcp::socket &&socket, std::size_t maxLine);

    void read();
    void handleInput(std::size_t length);
    void write();
    void fail();
    void reset();

    boost::asio::ip::tcp::socket socket_;
    std::size_t maxLine_;
    std::string input_;
    std::size_t filled_ = 0; ///< bytes of input_ that were received and not handled
    std::size_t searched_ = 0; ///< of these, bytes without a line end
    std::string queue_;
    std::string writing_;
    bool open_ = false;
    bool closed_ = false;
    bool closing_ = false; ///< input is dropped; closed when the peer closes
    bool closedAtRest_ = false; ///< nothing was queued when closing_ was set
    line_handler onLine_;
    closed_handler onClosed_;
};

} // namespace fuchsiagw::net
