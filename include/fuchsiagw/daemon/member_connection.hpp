/// @file
/// @brief Connection to a member, or to a relay that lends one, that pairs replies with commands.
///
/// Each complete reply is compared with the oldest outstanding command (`reply_pairing.hpp`). A
/// surplus reply is dropped, and the connection ends as soon as no run is outstanding on it. If it
/// can't be told to which command a reply belongs, the connection ends at once, and the outcome of
/// its outstanding commands is unknown.

#pragma once

#include <fuchsiagw/net/line_connection.hpp>
#include <fuchsiagw/proxy/reply.hpp>
#include <fuchsiagw/proxy/reply_pairing.hpp>

#include <platform/wire_codec.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::daemon {

/// Not thread-safe: used only on the thread of the connection's context.
/// Invariant: no handler is called after close(), closeGracefully(), onClosed or
/// onRecalled.
class member_connection : public std::enable_shared_from_this<member_connection>
{
public:
    struct event_handlers
    {
        /// @param text the whole reply as it was received
        std::function<void(proxy::reply &&received, std::string_view text)> onReply;
        std::function<void()> onClosed;
        /// A reply was dropped, or made the connection unusable.
        std::function<void(proxy::reply_fault)> onFault;
        /// The relay has closed the connection, or accepted none, and forwards no command that has
        /// no reply yet.
        /// Empty for direct connections: a member sends no such notice.
        std::function<void()> onRecalled = nullptr;
    };

    /// @param connection not connected yet, or connected and without input
    [[nodiscard]] static std::shared_ptr<member_connection>
    create(std::shared_ptr<net::line_connection> connection, event_handlers handlers);

    void connect(const boost::asio::ip::tcp::endpoint &peer, net::keepalive_profile profile);

    /// @brief Sends commands in one write; without effect after a surplus reply, because the
    /// connection then ends.
    /// @param expected one for each command
    void send(std::string &&text, const std::vector<proxy::reply_shape> &expected);
    void close();
    void closeGracefully();

    [[nodiscard]] bool hasOutstanding() const { return !pairing_.expected.empty(); }
    /// @return whether a member's error could be received a second time on this connection
    [[nodiscard]] bool hasSeenError() const { return !pairing_.errors.empty(); }

private:
    member_connection(std::shared_ptr<net::line_connection> connection, event_handlers handlers);

    void onLine(std::string_view line);
    void onReply(proxy::reply &&received);
    void onRecall();
    /// @brief Closes the connection and reports it to the owner.
    void fail();

    std::shared_ptr<net::line_connection> connection_;
    event_handlers handlers_;
    adapter::reply_decoder decoder_;
    std::string text_; ///< lines of the reply that is not complete yet
    proxy::reply_pairing pairing_;
    bool closed_ = false;
};

} // namespace fuchsiagw::daemon
