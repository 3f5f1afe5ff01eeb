/// @file
/// @brief Forwards TCP connections on this machine and harms them on demand.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace fuchsiagw::testing {

/// Which bytes a proxy holds back. They are sent on when the cut ends.
struct blocked_directions
{
    bool towardsTarget = false;
    bool towardsClient = false;
};

/// Lives on one context's thread.
/// Invariant: bytes of one direction are passed on in order, or not at all.
class loopback_proxy
{
public:
    loopback_proxy(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

    void setDelay(std::chrono::milliseconds delay) { delay_ = delay; }
    void setBlockedDirections(const blocked_directions &cut);
    /// @brief Resets every connection that is open now.
    void resetAllConnections();
    /// @brief Connections that are open now never pass anything on again; new ones work.
    void silenceOpenConnections();

private:
    struct pair;

    void accept();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    std::uint16_t port_ = 0;
    std::chrono::milliseconds delay_{ 0 };
    blocked_directions cut_;
    std::set<std::shared_ptr<pair>> pairs_;
};

} // namespace fuchsiagw::testing
