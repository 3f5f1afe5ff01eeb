/// @file
/// @brief Sending and receiving datagrams.

#include <fuchsiagw/net/udp_link.hpp>

#include <fuchsiagw/wire/peer_codec.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <utility>

namespace fuchsiagw::net {

namespace {

using boost::asio::ip::udp;

/// Delay after a failed receive, so that a persistent error does not cause a busy loop.
constexpr std::chrono::milliseconds receiveRetryDelay{ 10 };

/// Kernel buffer for datagrams that arrive while the thread is busy.
constexpr int receiveBufferBytes = 1'048'576;

} // namespace

struct udp_link::state : std::enable_shared_from_this<udp_link::state>
{
    udp::socket socket;
    boost::asio::steady_timer retryTimer;
    udp_link::receiver receive;
    udp_counters counters;
    /// The additional byte reveals datagrams that exceed the limit.
    std::array<char, wire::maxDatagramBytes + 1> buffer{};
    udp::endpoint from;

    state(boost::asio::io_context &context, udp_link::receiver handler)
        : socket(context)
        , retryTimer(context)
        , receive(std::move(handler))
    { }

    void receiveNext()
    {
        if (!socket.is_open())
            return;
        socket.async_receive_from(
                boost::asio::buffer(buffer), from,
                [self = shared_from_this()](const boost::system::error_code &error,
                                            std::size_t size) { self->onReceived(error, size); });
    }

    void onReceived(const boost::system::error_code &error, std::size_t size)
    {
        if (!socket.is_open())
            return;
        if (error) {
            // An ICMP error from an unreachable peer is reported by the next receive.
            retryTimer.expires_after(receiveRetryDelay);
            retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &) {
                self->receiveNext();
            });
            return;
        }
        ++counters.received;
        counters.bytesReceived += size + datagramOverheadBytes;
        if (size > wire::maxDatagramBytes)
            ++counters.receivesDropped;
        else
            receive({ buffer.data(), size }, { from.address(), from.port() });
        receiveNext();
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        retryTimer.cancel();
    }
};

udp_link::udp_link(boost::asio::io_context &context, receiver receive)
    : state_(std::make_shared<state>(context, std::move(receive)))
{ }

udp_link::~udp_link()
{
    state_->close();
}

std::error_code udp_link::open(const endpoint &local)
{
    const udp::endpoint address(local.address, local.port);
    boost::system::error_code error;
    state_->socket.open(address.protocol(), error);
    if (!error)
        state_->socket.bind(address, error);
    if (!error)
        state_->socket.non_blocking(true, error);
    if (error) {
        state_->close();
        return error;
    }
    boost::system::error_code ignored; // With a smaller buffer more datagrams are lost.
    state_->socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes),
                              ignored);
    state_->receiveNext();
    return {};
}

endpoint udp_link::local() const
{
    boost::system::error_code ignored;
    const udp::endpoint address = state_->socket.local_endpoint(ignored);
    return { address.address(), address.port() };
}

bool udp_link::send(const endpoint &to, std::string_view message)
{
    udp_counters &counters = state_->counters;
    boost::system::error_code error;
    if (message.size() <= wire::maxDatagramBytes && state_->socket.is_open())
        state_->socket.send_to(boost::asio::buffer(message.data(), message.size()),
                               udp::endpoint(to.address, to.port), 0, error);
    else
        error = boost::asio::error::message_size;
    if (error) {
        ++counters.sendsDropped;
        return false;
    }
    ++counters.sent;
    counters.bytesSent += message.size() + datagramOverheadBytes;
    return true;
}

void udp_link::close()
{
    state_->close();
}

const udp_counters &udp_link::counters() const
{
    return state_->counters;
}

} // namespace fuchsiagw::net
