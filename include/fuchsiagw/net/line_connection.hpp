/// @file
/// @brief A TCP connection that carries lines of text.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fuchsiagw::net {

struct byte_budget;

/// How soon the loss of the peer is detected on a connection without traffic.
enum class keepalive_profile {
    Short, ///< about three seconds
    Long, ///< about half a minute
};

/// @brief Sets TCP keep-alive probes and the timeout of unacknowledged data.
void configureKeepalive(boost::asio::ip::tcp::socket &socket, keepalive_profile profile);

/// Not thread-safe: used only on the thread of its context. Lines end with CR LF; a CR or LF alone
/// belongs to the line.
/// Invariant: no handler is called after close() or after the closed handler. The connection owns
/// its handlers, so they must not own the connection.
class line_connection : public std::enable_shared_from_this<line_connection>
{
public:
    using line_handler = std::function<void(std::string_view line)>;
    using closed_handler = std::function<void()>;
    /// @param bytes of input that are dropped because a graceful close has begun
    using dropped_handler = std::function<void(std::size_t bytes)>;
    /// @param bytes of a line
    /// @return whether the line may be handled now; if not, resumeInput() must follow
    using line_gate = std::function<bool(std::size_t bytes)>;

    /// @param maxLine bytes without CR LF; a longer line closes the connection
    [[nodiscard]] static std::shared_ptr<line_connection> create(boost::asio::io_context &context,
                                                                 std::size_t maxLine);
    [[nodiscard]] static std::shared_ptr<line_connection>
    create(boost::asio::ip::tcp::socket &&socket, std::size_t maxLine);

    ~line_connection();
    line_connection(const line_connection &) = delete;
    line_connection &operator=(const line_connection &) = delete;

    void setHandlers(line_handler onLine, closed_handler onClosed);
    /// @brief Reports input that a graceful close drops: what was read before it without being
    /// handled, and what arrives after it. Unlike the other handlers, it is called after
    /// closeGracefully().
    void setDroppedHandler(dropped_handler onDropped) { onDropped_ = std::move(onDropped); }

    /// @brief Counts the bytes that this connection keeps in a budget. While there is no room, a
    /// long line is not read on; after a time the connection is closed. Must precede start() and
    /// connect().
    void setBudget(std::shared_ptr<byte_budget> budget);
    /// @brief Asks the gate before each line that is longer than net::largeHolding.
    void setLineGate(line_gate gate) { gate_ = std::move(gate); }
    /// @brief Handles a line that the gate has held back, if there is one.
    void resumeInput();

    /// @brief Connects and starts reading; text sent before that is queued.
    void connect(const boost::asio::ip::tcp::endpoint &peer, keepalive_profile profile);
    /// @brief Starts reading from an accepted connection.
    void start(keepalive_profile profile);

    void send(std::string &&text);

    /// @brief Closes immediately. No handler is called afterwards.
    void close();
    /// @brief Sends the queued text, shuts down the sending side and closes after the peer has
    /// closed its side. If nothing is queued at the call, later input is answered with a reset.
    void closeGracefully();
    /// @return whether the connection was ever open; before that, nothing is sent
    [[nodiscard]] bool wasOpened() const { return open_; }

    [[nodiscard]] std::size_t queuedBytes() const { return queue_.size() + writing_.size(); }

private:
    line_connection(boost::asio::ip::tcp::socket &&socket, std::size_t maxLine);

    void read();
    /// @brief Enlarges the input buffer for the rest of a line.
    /// @return whether there is room; if not, a later attempt is scheduled, or the connection
    /// closed
    bool growInput();
    void releaseInput();
    /// @brief Updates the budget after a change of a buffer.
    void account();
    void handleInput(std::size_t length);
    void dropInput(std::size_t length);
    /// @brief Passes on the complete lines of the input and keeps the rest.
    /// @param length bytes of the input that are new
    void handleLines(std::size_t length);
    /// @return bytes of the input that were handled
    std::size_t passOnLines();
    void write();
    void fail();
    void reset();

    boost::asio::ip::tcp::socket socket_;
    std::size_t maxLine_;
    std::shared_ptr<byte_budget> budget_; ///< null: not counted
    std::size_t countedBytes_ = 0; ///< in budget_
    core::time_point waitsForRoomSince_ = core::noDeadline;
    line_gate gate_;
    bool isHeldBack_ = false; ///< the gate has refused the next line
    std::string input_;
    std::size_t receivedBytes_ = 0; ///< bytes of input_ that are not handled yet
    std::size_t scannedBytes_ = 0; ///< prefix of these bytes in which no line end begins
    std::string queue_;
    std::string writing_;
    bool open_ = false;
    bool closed_ = false;
    bool closing_ = false; ///< graceful close in progress: input is discarded
    bool isHandlingLines_ = false;
    bool wasIdleAtClose_ = false; ///< nothing was queued when the graceful close began
    line_handler onLine_;
    closed_handler onClosed_;
    dropped_handler onDropped_;
};

} // namespace fuchsiagw::net
