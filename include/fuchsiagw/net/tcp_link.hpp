/// @file
/// @brief TCP links between daemons: frames with a length in front, in both directions.
///
/// A link in use exchanges heartbeats several times a second, so that a silent one is found within
/// about a second; an idle link costs a few bytes every 15 s. When a link closes, its owner learns
/// which frames were certainly not sent.

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

/// Never used again within a process. 0: no link.
using link_id = std::uint64_t;

/// Chosen by the sender of a frame to recognise it when its link closes. 0: not of interest.
using frame_tag = std::uint64_t;

struct tcp_settings
{
    std::chrono::milliseconds connectLimit{ 1'000 };
    std::chrono::milliseconds heartbeat{ 250 }; ///< of a link in use
    std::chrono::milliseconds silence{ 1'000 }; ///< of a link in use; it is then closed
    std::chrono::milliseconds useLasts{ 5'000 }; ///< after the last frame
    std::chrono::milliseconds idleHeartbeat{ 15'000 };
    std::chrono::milliseconds idleSilence{ 40'000 };
    /// The side that opened a link closes it; longer than any deadline of a request.
    std::chrono::milliseconds idleLimit{ 90'000 };
    std::chrono::milliseconds trustLimit{ 2'000 }; ///< a link without trust() is then closed
    std::chrono::milliseconds retryAfter{ 100 }; ///< pause after a failed connect
    std::size_t maxLinks = 2'048;
    std::size_t maxQueuedBytes = 8'388'608; ///< of one link
    std::size_t untrustedFrameBytes = 4'096; ///< greatest frame before trust()
};

/// How a link ended.
struct link_closure
{
    std::error_code cause; ///< timed_out after silence, operation_canceled after close()
    std::vector<frame_tag> unsentFrames; ///< no byte of these frames has left the process
};

struct tcp_handlers
{
    /// A link is established; for an incoming one the address has the peer's temporary port.
    std::function<void(link_id, const endpoint &, bool isIncoming)> onOpen;
    /// The frame is valid during the call. It is safe to send and to close in it.
    std::function<void(link_id, std::string_view)> onFrame;
    /// Called once for each link that was opened by findOrOpenLink() or reported by onOpen.
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
    std::uint64_t heartbeatBytes = 0; ///< in both directions, with IP and TCP headers
};

/// All TCP links of a daemon. Used on the thread of its context.
class tcp_links
{
public:
    tcp_links(boost::asio::io_context &context, const tcp_settings &settings,
              tcp_handlers handlers);
    /// Closes every link without a report.
    ~tcp_links();
    tcp_links(const tcp_links &) = delete;
    tcp_links &operator=(const tcp_links &) = delete;

    /// @brief Accepts links from peers.
    /// @param local port 0 lets the system choose
    [[nodiscard]] std::error_code listen(const endpoint &local);

    /// @return the address that it listens on
    [[nodiscard]] endpoint local() const;

    /// @brief Finds the link that this instance opened to a peer, or opens one.
    /// @param[out] isNew the caller should send its first message before anything else
    /// @return 0 within retryAfter of a failed attempt, or if there are too many links
    /// @complexity logarithmic in the number of links
    [[nodiscard]] link_id findOrOpenLink(const endpoint &to, bool &isNew);

    /// @brief Queues a frame; frames wait while the link is being opened.
    /// @return false if the link is gone or its queue is full; nothing is then sent
    /// @complexity linear in the size of the frame
    [[nodiscard]] bool send(link_id link, frame_tag tag, std::string_view frame);

    /// @brief Allows large frames and keeps the link, after its peer has proved who it is.
    void trust(link_id link);

    /// @brief Closes a link; onClose follows from the context.
    void close(link_id link);

    /// @brief Stops to accept links; existing ones stay.
    void stopListening();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const tcp_counters &counters() const;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace fuchsiagw::net
