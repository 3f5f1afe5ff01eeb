/// @file
/// @brief Reads and writes of line connections.

#include <fuchsiagw/net/line_connection.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

namespace fuchsiagw::net {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t firstInputBytes = 2048;
/// A peer that does not close after the farewell is left.
constexpr std::chrono::milliseconds farewellLimit{ 1'000 };

/// Keep-alive times in seconds and the limit of unacknowledged data in milliseconds.
struct silence_times
{
    int idle;
    int interval;
    int count;
    int unacknowledged;
};

constexpr silence_times shortTimes{ 1, 1, 2, 2'500 };
constexpr silence_times longTimes{ 15, 5, 3, 20'000 };

void setOption(tcp::socket &socket, int name, int value)
{
    // Without the option the connection still works; its end is only noticed later.
    static_cast<void>(setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
}

} // namespace

void configureKeepalive(tcp::socket &socket, keepalive_profile check)
{
    const silence_times &times = check == keepalive_profile::Short ? shortTimes : longTimes;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    setOption(socket, TCP_KEEPIDLE, times.idle);
    setOption(socket, TCP_KEEPINTVL, times.interval);
    setOption(socket, TCP_KEEPCNT, times.count);
    setOption(socket, TCP_USER_TIMEOUT, times.unacknowledged);
}

line_connection::line_connection(tcp::socket &&socket, std::size_t maxLine)
    : socket_(std::move(socket))
    , maxLine_(maxLine)
{ }

std::shared_ptr<line_connection> line_connection::create(boost::asio::io_context &context,
                                                         std::size_t maxLine)
{
    return create(tcp::socket(context), maxLine);
}

std::shared_ptr<line_connection> line_connection::create(tcp::socket &&socket, std::size_t maxLine)
{
    return std::shared_ptr<line_connection>(new line_connection(std::move(socket), maxLine));
}

void line_connection::setHandlers(line_handler onLine, closed_handler onClosed)
{
    onLine_ = std::move(onLine);
    onClosed_ = std::move(onClosed);
}

void line_connection::connect(const tcp::endpoint &peer, keepalive_profile check)
{
    socket_.async_connect(
            peer, [keep = shared_from_this(), check](const boost::system::error_code &error) {
                if (keep->closed_)
                    return;
                if (error)
                    keep->fail();
                else
                    keep->start(check);
            });
}

void line_connection::start(keepalive_profile check)
{
    open_ = true;
    configureKeepalive(socket_, check);
    input_.resize(firstInputBytes);
    read();
    write();
}

void line_connection::send(std::string &&text)
{
    if (closed_ || closing_)
        return;
    if (queue_.empty())
        queue_ = std::move(text);
    else
        queue_ += text;
    write();
}

void line_connection::read()
{
    if (filled_ == input_.size())
        input_.resize(input_.size() * 2);
    socket_.async_read_some(boost::asio::buffer(input_.data() + filled_, input_.size() - filled_),
                            [keep = shared_from_this()](const boost::system::error_code &error,
                                                        std::size_t length) {
                                if (keep->closed_)
                                    return;
                                if (error) {
                                    keep->fail();
                                    return;
                                }
                                keep->handleInput(length);
                            });
}

void line_connection::handleInput(std::size_t length)
{
    // The far end has not seen the close yet, which may be on its way again: it learns now that
    // nothing will be answered.
    if (closing_ && closedAtRest_) {
        reset();
        return;
    }
    filled_ = closing_ ? 0 : filled_ + length;
    std::size_t begin = 0;
    while (!closed_ && !closing_) {
        const auto *const from = input_.data() + std::max(begin, searched_);
        const auto *const found =
                static_cast<const char *>(std::memchr(from, '\n', input_.data() + filled_ - from));
        if (found == nullptr)
            break;
        std::string_view line(input_.data() + begin, found - input_.data() - begin);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        begin = found - input_.data() + 1;
        searched_ = begin;
        onLine_(line);
    }
    if (closed_)
        return;
    if (closing_)
        begin = filled_ = 0;
    std::memmove(input_.data(), input_.data() + begin, filled_ - begin);
    filled_ -= begin;
    searched_ = filled_;
    if (filled_ > maxLine_) {
        fail();
        return;
    }
    read();
}

void line_connection::write()
{
    if (!open_ || closed_ || !writing_.empty())
        return;
    if (queue_.empty()) {
        if (closing_) {
            boost::system::error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    writing_.swap(queue_);
    boost::asio::async_write(
            socket_, boost::asio::buffer(writing_),
            [keep = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (keep->closed_)
                    return;
                keep->writing_.clear();
                if (error)
                    keep->fail();
                else
                    keep->write();
            });
}

void line_connection::fail()
{
    if (closed_)
        return;
    const closed_handler report = closing_ ? nullptr : onClosed_;
    close();
    if (report)
        report();
}

void line_connection::close()
{
    // A reset: what a partition holds up must not arrive later.
    if (open_ && !closing_) {
        reset();
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void line_connection::reset()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void line_connection::closeGracefully()
{
    if (closed_ || closing_)
        return;
    if (!open_) {
        close();
        return;
    }
    closing_ = true;
    closedAtRest_ = queue_.empty() && writing_.empty();
    write();
    const auto limit =
            std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), farewellLimit);
    limit->async_wait([limit, weak = weak_from_this()](const boost::system::error_code &) {
        if (const auto keep = weak.lock())
            keep->close();
    });
}

} // namespace fuchsiagw::net
