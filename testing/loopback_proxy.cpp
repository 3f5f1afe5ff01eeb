/// @file
/// @brief Connection pairs of the fault-injecting proxy.

#include <utility>

#include <fuchsiagw/testing/loopback_proxy.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cerrno>

#include <sys/socket.h>

namespace fuchsiagw::testing {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t bufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds blockedPollInterval{ 5 };

} // namespace

/// A client's connection and the matching connection to the target.
struct loopback_proxy::connection_pair
    : std::enable_shared_from_this<loopback_proxy::connection_pair>
{
    struct direction
    {
        tcp::socket *from = nullptr;
        tcp::socket *to = nullptr;
        bool towardsTarget = false;
        std::array<char, bufferBytes> buffer{};
    };

    connection_pair(loopback_proxy &proxy, tcp::socket &&accepted)
        : owner(proxy)
        , client(std::move(accepted))
        , target(proxy.context_)
        , towardsTargetTimer(proxy.context_)
        , towardsClientTimer(proxy.context_)
    {
        forward.from = backward.to = &client;
        forward.to = backward.from = &target;
        forward.towardsTarget = true;
    }

    /// Asks whether this connection's client is cut off.
    void updateCut()
    {
        error_code error;
        const auto from = client.remote_endpoint(error);
        isCut = !error && owner.isCut_ && owner.isCut_(from.port());
    }

    void start()
    {
        updateCut();
        target.async_connect(owner.target_, [self = shared_from_this()](error_code error) {
            if (error) {
                self->closeBoth(true);
                return;
            }
            error_code ignored;
            self->client.set_option(tcp::no_delay(true), ignored);
            self->target.set_option(tcp::no_delay(true), ignored);
            self->read(self->forward);
            self->read(self->backward);
        });
    }

    void read(direction &flow)
    {
        flow.from->async_read_some(
                boost::asio::buffer(flow.buffer),
                [self = shared_from_this(), &flow](error_code error, std::size_t length) {
                    if (self->isClosed)
                        return;
                    if (error == boost::asio::error::eof) {
                        self->relay(flow, 0);
                        return;
                    }
                    if (error) {
                        self->closeBoth(true);
                        return;
                    }
                    self->relay(flow, length);
                });
    }

    /// @return whether the sender has reset its connection; bytes that are still held back must
    /// then not be forwarded
    static bool isReset(tcp::socket &from)
    {
        char next = 0;
        const auto length = ::recv(from.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return length < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    }

    /// Forwards bytes after the delay and once the direction is unblocked.
    /// @param length number of bytes; 0: the end of the stream
    void relay(direction &flow, std::size_t length, bool delayed = false)
    {
        if (delayed && isReset(*flow.from)) {
            closeBoth(true);
            return;
        }
        const bool isBlocked =
                flow.towardsTarget ? owner.blocked_.towardsTarget : owner.blocked_.towardsClient;
        const auto remainingDelay = delayed ? std::chrono::milliseconds(0) : owner.delay_;
        if (isBlocked || isCut || isSilent || remainingDelay.count() > 0) {
            auto &relayTimer = flow.towardsTarget ? towardsTargetTimer : towardsClientTimer;
            relayTimer.expires_after(remainingDelay.count() > 0 ? remainingDelay
                                                                : blockedPollInterval);
            relayTimer.async_wait([self = shared_from_this(), &flow, length](error_code error) {
                if (!error && !self->isClosed)
                    self->relay(flow, length, true);
            });
            return;
        }
        if (length == 0) {
            error_code ignored;
            flow.to->shutdown(tcp::socket::shutdown_send, ignored);
            if (std::exchange(isHalfClosed, true))
                closeBoth(false);
            return;
        }
        boost::asio::async_write(*flow.to, boost::asio::buffer(flow.buffer.data(), length),
                                 [self = shared_from_this(), &flow](error_code error, std::size_t) {
                                     if (self->isClosed)
                                         return;
                                     if (error)
                                         self->closeBoth(true);
                                     else
                                         self->read(flow);
                                 });
    }

    void closeBoth(bool reset)
    {
        if (std::exchange(isClosed, true))
            return;
        error_code ignored;
        if (reset) {
            client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            target.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        client.close(ignored);
        target.close(ignored);
        towardsTargetTimer.cancel();
        towardsClientTimer.cancel();
        owner.connectionPairs_.erase(shared_from_this());
    }

    loopback_proxy &owner;
    tcp::socket client;
    tcp::socket target;
    boost::asio::steady_timer towardsTargetTimer;
    boost::asio::steady_timer towardsClientTimer;
    direction forward;
    direction backward;
    bool isSilent = false;
    bool isCut = false;
    bool isHalfClosed = false;
    bool isClosed = false;
};

loopback_proxy::loopback_proxy(boost::asio::io_context &context, tcp::endpoint target)
    : context_(context)
    , acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , target_(std::move(target))
    , port_(acceptor_.local_endpoint().port())
{
    accept();
}

loopback_proxy::~loopback_proxy()
{
    resetAllConnections();
}

void loopback_proxy::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            const auto next = std::make_shared<connection_pair>(*this, std::move(socket));
            connectionPairs_.insert(next);
            next->start();
        }
        accept();
    });
}

void loopback_proxy::setBlockedDirections(const blocked_directions &blocked)
{
    blocked_ = blocked;
}

void loopback_proxy::cutClients(std::function<bool(std::uint16_t)> isCut)
{
    isCut_ = std::move(isCut);
    for (const auto &each : connectionPairs_)
        each->updateCut();
}

void loopback_proxy::resetAllConnections()
{
    const auto all = connectionPairs_;
    for (const auto &each : all)
        each->closeBoth(true);
}

void loopback_proxy::silenceOpenConnections()
{
    for (const auto &each : connectionPairs_)
        each->isSilent = true;
}

} // namespace fuchsiagw::testing
