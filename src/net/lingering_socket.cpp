/// @file
/// @brief Close of the HTTP server's connections.

#include <utility>

#include <fuchsiagw/net/lingering_socket.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace fuchsiagw::net {

namespace {

using tcp = boost::asio::ip::tcp;

/// Time for the peer to close: several retransmissions of a lost packet, the first after 200 ms.
constexpr std::chrono::seconds lingerTimeout{ 2 };
/// Further connections are closed at once, which bounds the file descriptors in use.
constexpr std::size_t maxLingering = 1024;

/// RFC 9110, 15.5.9: the server has decided to close the connection rather than wait for a request.
const std::string timeoutNotice =
        "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

std::uint16_t portOf(const tcp::socket &socket)
{
    boost::system::error_code failed;
    const tcp::endpoint local = socket.local_endpoint(failed);
    return failed ? 0 : local.port();
}

/// The notice fits the send buffer of an idle connection; a part of one is no valid response.
void writeNotice(tcp::socket &socket, const std::string &notice)
{
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(boost::asio::buffer(notice), ignored);
}

} // namespace

/// Connections of the servers of one context.
class socket_registry : public boost::asio::execution_context::service
{
public:
    using key_type = socket_registry;
    inline static boost::asio::execution_context::id id; // NOLINT: name set by Asio

    explicit socket_registry(boost::asio::execution_context &context)
        : boost::asio::execution_context::service(context)
    { }

    void shutdown() override { } // NOLINT: name set by Asio

    std::unordered_map<lingering_socket *, std::uint16_t> open; ///< with their local ports
    std::unordered_map<std::uint16_t, std::size_t> lingering; ///< number by local port
    std::size_t lingeringCount = 0;
};

namespace {

socket_registry &registryOf(tcp::socket &socket)
{
    return boost::asio::use_service<socket_registry>(socket.get_executor().context());
}

/// Drops the input of a connection until the peer closes or the time is over.
class lingering_close : public std::enable_shared_from_this<lingering_close>
{
public:
    explicit lingering_close(tcp::socket &&socket)
        : registry_(registryOf(socket))
        , port_(portOf(socket))
        , socket_(std::move(socket))
        , timer_(socket_.get_executor())
    {
        ++registry_.lingering[port_];
        ++registry_.lingeringCount;
    }

    ~lingering_close()
    {
        --registry_.lingering[port_];
        --registry_.lingeringCount;
    }

    lingering_close(const lingering_close &) = delete;
    lingering_close &operator=(const lingering_close &) = delete;

    void start()
    {
        timer_.expires_after(lingerTimeout);
        timer_.async_wait([keep = shared_from_this()](const boost::system::error_code &) {
            boost::system::error_code ignored;
            keep->socket_.close(ignored);
        });
        dropInput();
    }

private:
    void dropInput()
    {
        socket_.async_read_some(
                boost::asio::buffer(input_),
                [keep = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                    if (error)
                        keep->timer_.cancel();
                    else
                        keep->dropInput();
                });
    }

    socket_registry &registry_;
    std::uint16_t port_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::array<char, 4096> input_{};
};

void closeLingering(tcp::socket &&socket)
{
    boost::system::error_code failed;
    socket.shutdown(tcp::socket::shutdown_send, failed);
    if (failed || registryOf(socket).lingeringCount >= maxLingering)
        socket.close(failed);
    else
        std::make_shared<lingering_close>(std::move(socket))->start();
}

} // namespace

lingering_socket::~lingering_socket()
{
    if (registry_ != nullptr)
        registry_->open.erase(this);
}

void lingering_socket::enlist()
{
    if (registry_ != nullptr || !is_open())
        return;
    registry_ = &registryOf(*this);
    registry_->open.emplace(this, portOf(*this));
}

void lingering_socket::cancel(boost::system::error_code &error)
{
    isReading_ = false;
    base::cancel(error);
}

// The close that always follows shuts down sending; shutting down both directions would make the
// kernel answer further input with a reset.
void lingering_socket::shutdown(shutdown_type, boost::system::error_code &error)
{
    error.clear();
}

void lingering_socket::close()
{
    if (!is_open())
        return;
    if (isIdle())
        writeNotice(*this, timeoutNotice);
    linger();
}

void lingering_socket::closeIfIdle(const std::string &notice)
{
    if (!is_open() || !isIdle())
        return;
    writeNotice(*this, notice);
    linger();
}

void lingering_socket::linger()
{
    boost::system::error_code ignored;
    cancel(ignored);
    if (registry_ != nullptr)
        registry_->open.erase(this);
    registry_ = nullptr;
    closeLingering(std::move(static_cast<base &>(*this)));
}

void refuseConnection(tcp::socket &&socket, const std::string &notice)
{
    writeNotice(socket, notice);
    closeLingering(std::move(socket));
}

std::size_t closeIdleConnections(boost::asio::io_context &context, std::uint16_t port,
                                 const std::string &notice)
{
    auto &registry = boost::asio::use_service<socket_registry>(context);
    std::vector<lingering_socket *> candidates;
    for (const auto &[socket, localPort] : registry.open) {
        if (localPort == port)
            candidates.push_back(socket);
    }
    std::size_t left = 0;
    for (lingering_socket *each : candidates) {
        each->closeIfIdle(notice);
        left += each->is_open() ? 1 : 0;
    }
    return left + registry.lingering[port];
}

} // namespace fuchsiagw::net
