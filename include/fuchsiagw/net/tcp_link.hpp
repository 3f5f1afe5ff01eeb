/// @file
/// @brief TCP links between daemons that carry length-prefixed frames in both directions.
///
/// An active link exchanges heartbeats several times a second, so that an unresponsive peer is
/// detected within about a second. An idle link sends a heartbeat of a few bytes every 15 s. When a
/// link closes, it reports to its owner which frames were certainly not sent.

#pragma once

#include <fuchsiagw/net/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagw::net {

/// Unique within a process, never reused. 0: no link.
using link_id = std::uint64_t;

/// Chosen by the sender of a frame to identify it when its link closes. 0: not reported.
using frame_tag = std::uint64_t;

struct tcp_settings
{
    std::chrono::milliseconds connectTimeout{ 1'000 };
    std::chrono::milliseconds heartbeatInterval{ 250 }; ///< of an active link
    std::chrono::milliseconds heartbeatTimeout{ 1'000 }; ///< closes an active link without input
    std::chrono::milliseconds activePeriod{ 5'000 }; ///< how long a frame keeps a link active
    std::chrono::milliseconds idleHeartbeatInterval{ 15'000 };
    std::chrono::milliseconds idleHeartbeatTimeout{ 40'000 };
    /// Unused time after which the side that opened a link closes it. Exceeds every request
    /// deadline.
    std::chrono::milliseconds idleTimeout{ 90'000 };
    std::chrono::milliseconds trustTimeout{ 2'000 }; ///< from the connect to trust()
    std::chrono::milliseconds reconnectDelay{ 100 }; ///< after a failed connect to the same peer
    std::size_t maxLinks = 2'048;
    std::size_t maxQueuedBytes = 8'388'608; ///< of one link
    std::size_t untrustedFrameBytes = 4'096; ///< maximum frame size before trust()
};

/// Why a link closed and which frames were not sent.
struct link_closure
{
    std::error_code cause; ///< timed_out without input, operation_canceled after close()
    std::vector<frame_tag> unsentFrames; ///< no byte of these frames was written
};

struct tcp_handlers
{
    /// A link is established. For an incoming link the endpoint has the peer's ephemeral port.
    std::function<void(link_id, const endpoint &, bool isIncoming)> onOpen;
    /// The frame is valid during the call, which may send frames and close links.
    std::function<void(link_id, std::string_view)> onFrame;
    /// Called once for each link that findOrOpenLink() opened or onOpen reported.
    std::function<void(link_id, const link_closure &)> onClose;
};

struct tcp_counters
{
    std::uint64_t opened = 0;
    std::uint64_t closed = 0;
    std::uint64_t refused = 0; ///< incoming links above maxLinks
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t heartbeatBytes = 0; ///< sent and received, with IP and TCP headers
};

/// All TCP links of a daemon. Not thread-safe: used only on the thread of its context.
class tcp_links
{
public:
    tcp_links(boost::asio::io_context &context, const tcp_settings &settings,
              tcp_handlers handlers);
    /// Closes every link without calling onClose.
    ~tcp_links();
    tcp_links(const tcp_links &) = delete;
    tcp_links &operator=(const tcp_links &) = delete;

    /// @brief Accepts links from peers.
    /// @param local port 0: the kernel chooses
    [[nodiscard]] std::error_code listen(const endpoint &local);

    /// @return the endpoint that accepts links
    [[nodiscard]] endpoint local() const;

    /// @brief Returns the link that this instance has opened to a peer, or opens one.
    /// @param[out] isNew whether a link was opened, on which the caller has to introduce itself
    /// first
    /// @return 0 within reconnectDelay of a failed attempt or if there are too many links
    /// @complexity logarithmic in the number of links
    [[nodiscard]] link_id findOrOpenLink(const endpoint &to, bool &isNew);

    /// @brief Queues a frame; it is sent once the link is established.
    /// @return false if the link is closed, its queue is full, or the frame is empty or too large;
    /// nothing is then sent
    /// @complexity linear in the size of the frame
    [[nodiscard]] bool send(link_id link, frame_tag tag, std::string_view frame);

    /// @brief Lifts the limits of an unauthenticated link after its peer has been authenticated.
    void trust(link_id link);

    /// @brief Closes a link; onClose is called later from the context.
    void close(link_id link);

    /// @brief Stops accepting links; existing ones stay open.
    void stopListening();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const tcp_counters &counters() const;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace fuchsiagw::net
