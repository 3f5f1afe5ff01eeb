/// @file
/// @brief The UDP socket of a daemon for messages to other daemons.

#pragma once

#include <fuchsiagw/net/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace fuchsiagw::net {

/// Bytes of the IP and UDP headers of a datagram; they count as traffic.
inline constexpr std::uint64_t datagramOverheadBytes = 28;

struct udp_counters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytesSent = 0; ///< with headers
    std::uint64_t bytesReceived = 0; ///< with headers
    std::uint64_t sendsDropped = 0; ///< too large, or the system did not take them
    std::uint64_t receivesDropped = 0; ///< larger than the bound
};

/// Sends and receives datagrams of at most wire::maxDatagramBytes. Datagrams are never queued: one
/// that the system does not take at once is dropped, as the network may drop it too.
/// Used on the thread of its context.
class udp_link
{
public:
    using receiver = std::function<void(std::string_view message, const endpoint &from)>;

    /// @param receive called for each datagram; the message is valid during the call
    udp_link(boost::asio::io_context &context, receiver receive);
    ~udp_link();
    udp_link(const udp_link &) = delete;
    udp_link &operator=(const udp_link &) = delete;

    /// @brief Opens the socket and starts to receive.
    /// @param local port 0 lets the system choose
    [[nodiscard]] std::error_code open(const endpoint &local);

    /// @return the address that it is open on
    [[nodiscard]] endpoint local() const;

    /// @brief Sends a datagram.
    /// @return whether the system took it; it may still be lost
    /// @complexity linear in the size of the message
    bool send(const endpoint &to, std::string_view message);

    /// @brief Stops to receive. It is safe in the receiver.
    void close();

    [[nodiscard]] const udp_counters &counters() const;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace fuchsiagw::net
