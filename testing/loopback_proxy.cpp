/// @file
/// @brief Connection pairs of the harmful proxy.

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
constexpr std::chrono::milliseconds cutCheck{ 5 };

} // namespace

/// One client's connection and the one to the target.
struct loopback_proxy::pair : std::enable_shared_from_this<loopback_proxy::pair>
{
    struct direction
    {
        tcp::socket *from = nullptr;
        tcp::socket *to = nullptr;
        bool towardsTarget = false;
        std::array<char, bufferBytes> buffer{};
    };

    pair(loopback_proxy &proxy, tcp::socket &&accepted)
        : owner(proxy)
        , client(std::move(accepted))
        , target(proxy.context_)
        , timer(proxy.context_)
        , backTimer(proxy.context_)
    {
        forward.from = backward.to = &client;
        forward.to = backward.from = &target;
        forward.towardsTarget = true;
    }

    void start()
    {
        target.async_connect(owner.target_, [keep = shared_from_this()](error_code error) {
            if (error) {
                keep->end(true);
                return;
            }
            error_code ignored;
            keep->client.set_option(tcp::no_delay(true), ignored);
            keep->target.set_option(tcp::no_delay(true), ignored);
            keep->read(keep->forward);
            keep->read(keep->backward);
        });
    }

    void read(direction &way)
    {
        way.from->async_read_some(
                boost::asio::buffer(way.buffer),
                [keep = shared_from_this(), &way](error_code error, std::size_t length) {
                    if (keep->ended)
                        return;
                    if (error == boost::asio::error::eof) {
                        keep->pass(way, 0);
                        return;
                    }
                    if (error) {
                        keep->end(true);
                        return;
                    }
                    keep->pass(way, length);
                });
    }

    /// Whether a sender has reset its connection: what is held back from it must not arrive later.
    static bool isReset(tcp::socket &from)
    {
        char next = 0;
        const auto length = ::recv(from.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return length < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    }

    /// Waits for the delay and for the end of a cut, then sends on; 0 bytes: the end of the stream.
    void pass(direction &way, std::size_t length, bool delayed = false)
    {
        if (delayed && isReset(*way.from)) {
            end(true);
            return;
        }
        const bool isCut = way.towardsTarget ? owner.cut_.towardsTarget : owner.cut_.towardsClient;
        const auto wait = delayed ? std::chrono::milliseconds(0) : owner.delay_;
        if (isCut || silent || wait.count() > 0) {
            auto &pause = way.towardsTarget ? timer : backTimer;
            pause.expires_after(wait.count() > 0 ? wait : cutCheck);
            pause.async_wait([keep = shared_from_this(), &way, length](error_code error) {
                if (!error && !keep->ended)
                    keep->pass(way, length, true);
            });
            return;
        }
        if (length == 0) {
            error_code ignored;
            way.to->shutdown(tcp::socket::shutdown_send, ignored);
            if (std::exchange(halfClosed, true))
                end(false);
            return;
        }
        boost::asio::async_write(*way.to, boost::asio::buffer(way.buffer.data(), length),
                                 [keep = shared_from_this(), &way](error_code error, std::size_t) {
                                     if (keep->ended)
                                         return;
                                     if (error)
                                         keep->end(true);
                                     else
                                         keep->read(way);
                                 });
    }

    void end(bool reset)
    {
        if (std::exchange(ended, true))
            return;
        error_code ignored;
        if (reset) {
            client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            target.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        client.close(ignored);
        target.close(ignored);
        timer.cancel();
        backTimer.cancel();
        owner.pairs_.erase(shared_from_this());
    }

    loopback_proxy &owner;
    tcp::socket client;
    tcp::socket target;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer backTimer;
    direction forward;
    direction backward;
    bool silent = false;
    bool halfClosed = false;
    bool ended = false;
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
            const auto next = std::make_shared<pair>(*this, std::move(socket));
            pairs_.insert(next);
            next->start();
        }
        accept();
    });
}

void loopback_proxy::setBlockedDirections(const blocked_directions &cut)
{
    cut_ = cut;
}

void loopback_proxy::resetAllConnections()
{
    const auto all = pairs_;
    for (const auto &each : all)
        each->end(true);
}

void loopback_proxy::silenceOpenConnections()
{
    for (const auto &each : pairs_)
        each->silent = true;
}

} // namespace fuchsiagw::testing
