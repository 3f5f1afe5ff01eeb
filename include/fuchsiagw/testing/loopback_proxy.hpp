/// @file
/// @brief TCP proxy on loopback that injects delays, partitions and resets.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace fuchsiagw::testing {

/// Directions in which the proxy holds bytes back. It forwards them when the direction is
/// unblocked.
struct blocked_directions
{
    bool towardsTarget = false;
    bool towardsClient = false;
};

/// Used on the thread of one context only.
/// Invariant: the bytes of a direction are forwarded in order and without gaps.
class loopback_proxy
{
public:
    loopback_proxy(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// @brief Sets the delay of each chunk of bytes, in both directions.
    void setDelay(std::chrono::milliseconds delay) { delay_ = delay; }
    void setBlockedDirections(const blocked_directions &blocked);
    /// @brief Holds back all bytes of the connections of some clients, and forwards them once
    /// another or no function is set.
    /// @param isCut is called once for each connection, with the client's port
    void cutClients(std::function<bool(std::uint16_t)> isCut);
    /// @brief Resets every open connection.
    void resetAllConnections();
    /// @brief Permanently stops forwarding on the open connections; new connections work.
    void silenceOpenConnections();

private:
    struct connection_pair;

    void accept();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    std::uint16_t port_ = 0;
    std::chrono::milliseconds delay_{ 0 };
    blocked_directions blocked_;
    std::function<bool(std::uint16_t)> isCut_; ///< empty: no client is cut off
    std::set<std::shared_ptr<connection_pair>> connectionPairs_;
};

} // namespace fuchsiagw::testing
