/// @file
/// @brief One TCP link between daemons.

#pragma once

#include <fuchsiagw/net/tcp_link.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagw::detail {

struct connection_events
{
    std::function<void()> onOpen;
    std::function<void(std::string_view)> onFrame;
    std::function<void(const net::link_closure &)> onClosed; ///< called once
};

/// Reads and writes frames: a 4-byte big-endian length and the content. A frame without content is
/// a heartbeat.
/// Invariant: onClosed is called after the last read and write have ended, so that the number of
/// bytes written is final.
class tcp_connection : public std::enable_shared_from_this<tcp_connection>
{
public:
    using clock = std::chrono::steady_clock;
    using tcp = boost::asio::ip::tcp;

    tcp_connection(tcp::socket socket, const net::tcp_settings &settings,
                   std::shared_ptr<net::tcp_counters> counters, connection_events events,
                   bool isIncoming);

    void startConnect(const tcp::endpoint &to);
    void startAccepted();

    [[nodiscard]] bool send(net::frame_tag tag, std::string_view frame);
    void trust() { isTrusted_ = true; }

    /// @brief Closes the socket; the cause of the first call is reported.
    void close(std::error_code cause);

    /// @brief Sends a heartbeat if one is due, or closes the link after a timeout.
    void checkLiveness(clock::time_point now);

    [[nodiscard]] bool isIncoming() const { return isIncoming_; }
    [[nodiscard]] bool isClosing() const { return isClosing_; }
    [[nodiscard]] bool wasOpen() const { return isOpen_; }
    [[nodiscard]] const tcp::endpoint &peer() const { return peer_; }

private:
    struct frame
    {
        net::frame_tag tag = 0;
        std::string bytes; ///< length and content
    };

    tcp::socket socket_;
    net::tcp_settings settings_;
    std::shared_ptr<net::tcp_counters> counters_;
    connection_events events_;
    tcp::endpoint peer_;
    const bool isIncoming_;
    bool isOpen_ = false;
    bool isTrusted_ = false;
    bool isClosing_ = false;
    bool isReported_ = false;
    unsigned pendingOperations_ = 0; ///< asynchronous operations in progress
    std::error_code cause_;

    std::deque<frame> queue_;
    std::vector<frame> writing_; ///< batch that is being written
    std::size_t queuedBytes_ = 0; ///< in queue_ and writing_, with frameOverheadBytes each
    std::vector<net::frame_tag> unwritten_; ///< tags of the frames of a failed write

    std::array<char, 16'384> chunk_{};
    std::string received_; ///< start of an incomplete frame

    clock::time_point startedAt_ = clock::now();
    clock::time_point receivedAt_ = startedAt_;
    clock::time_point sentAt_ = startedAt_;
    clock::time_point activeAt_ = startedAt_; ///< last frame with content in either direction
    clock::time_point activeSince_ = startedAt_; ///< start of the current active period

    void begin();
    void recordActivity();
    void readNext();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parseFrames();
    void writeNext();
    void onWritten(const boost::system::error_code &error, std::size_t size);
    void endOperation();
};

} // namespace fuchsiagw::detail
