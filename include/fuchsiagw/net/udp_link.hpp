/// @file
/// @brief UDP socket for messages between daemons.

#pragma once

#include <fuchsiagw/net/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace fuchsiagw::net {

/// IPv4 and UDP headers of a datagram, included in the traffic counters.
inline constexpr std::uint64_t datagramOverheadBytes = 28;

struct udp_counters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytesSent = 0; ///< with headers
    std::uint64_t bytesReceived = 0; ///< with headers
    std::uint64_t sendsDropped = 0; ///< too large, or rejected by the kernel
    std::uint64_t receivesDropped = 0; ///< larger than wire::maxDatagramBytes
};

/// Sends and receives datagrams of at most wire::maxDatagramBytes. Datagrams are never queued: one
/// that the kernel does not accept immediately is dropped, as the network may drop it too.
/// Not thread-safe: used only on the thread of its context.
class udp_link
{
public:
    using receiver = std::function<void(std::string_view message, const endpoint &from)>;

    /// @param receive called for each datagram; the message is valid during the call
    udp_link(boost::asio::io_context &context, receiver receive);
    ~udp_link();
    udp_link(const udp_link &) = delete;
    udp_link &operator=(const udp_link &) = delete;

    /// @brief Opens the socket and starts receiving.
    /// @param local port 0: the kernel chooses
    [[nodiscard]] std::error_code open(const endpoint &local);

    /// @return the endpoint that the socket is bound to
    [[nodiscard]] endpoint local() const;

    /// @brief Sends a datagram.
    /// @return whether the kernel accepted it; it may still be lost
    /// @complexity linear in the size of the message
    bool send(const endpoint &to, std::string_view message);

    /// @brief Closes the socket. It may be called from the receiver.
    void close();

    [[nodiscard]] const udp_counters &counters() const;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace fuchsiagw::net
