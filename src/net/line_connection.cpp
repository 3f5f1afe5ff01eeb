/// @file
/// @brief Reading, writing and closing of line connections.

#include <fuchsiagw/net/line_connection.hpp>

#include <fuchsiagw/net/byte_budget.hpp>
#include <fuchsiagw/net/clock.hpp>

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

constexpr std::size_t initialInputBytes = 2048;
constexpr std::string_view lineEnd = "\r\n";
/// Pause before another attempt to get room for a long line.
constexpr std::chrono::milliseconds roomRetryInterval{ 20 };
/// A connection whose line gets no room for this long is closed.
constexpr std::chrono::milliseconds maxWaitForRoom{ 2'000 };
/// Wait for the peer to close its side in a graceful close.
constexpr std::chrono::milliseconds gracefulCloseTimeout{ 1'000 };

/// TCP keep-alive options and the timeout of unacknowledged data.
struct keepalive_times
{
    int idleSeconds;
    int intervalSeconds;
    int probeCount;
    int unacknowledgedMs;
};

constexpr keepalive_times shortKeepalive{ 1, 1, 2, 2'500 };
constexpr keepalive_times longKeepalive{ 15, 5, 3, 20'000 };

void setOption(tcp::socket &socket, int name, int value)
{
    // The connection works without the option; the loss of the peer is only detected later.
    static_cast<void>(setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
}

} // namespace

void configureKeepalive(tcp::socket &socket, keepalive_profile profile)
{
    const keepalive_times &times =
            profile == keepalive_profile::Short ? shortKeepalive : longKeepalive;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    setOption(socket, TCP_KEEPIDLE, times.idleSeconds);
    setOption(socket, TCP_KEEPINTVL, times.intervalSeconds);
    setOption(socket, TCP_KEEPCNT, times.probeCount);
    setOption(socket, TCP_USER_TIMEOUT, times.unacknowledgedMs);
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

line_connection::~line_connection()
{
    closed_ = true;
    account();
}

void line_connection::setHandlers(line_handler onLine, closed_handler onClosed)
{
    onLine_ = std::move(onLine);
    onClosed_ = std::move(onClosed);
}

void line_connection::connect(const tcp::endpoint &peer, keepalive_profile profile)
{
    socket_.async_connect(
            peer, [keep = shared_from_this(), profile](const boost::system::error_code &error) {
                if (keep->closed_)
                    return;
                if (error)
                    keep->fail();
                else
                    keep->start(profile);
            });
}

void line_connection::start(keepalive_profile profile)
{
    open_ = true;
    configureKeepalive(socket_, profile);
    input_.resize(initialInputBytes);
    account();
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
    account();
    write();
}

void line_connection::setBudget(std::shared_ptr<byte_budget> budget)
{
    budget_ = std::move(budget);
}

void line_connection::account()
{
    if (!budget_)
        return;
    const std::size_t held = closed_ ? 0 : input_.size() + queue_.size() + writing_.size();
    budget_->used += held - countedBytes_;
    countedBytes_ = held;
    if (held <= largeHolding) {
        budget_->holders.erase(this);
        return;
    }
    if (budget_->holders.contains(this))
        return;
    const auto close = [weak = weak_from_this()] {
        if (const auto keep = weak.lock())
            keep->fail();
    };
    budget_->holders.emplace(this, large_holder{ currentBootTime(), close });
}

bool line_connection::growInput()
{
    const std::size_t longest = maxLine_ + lineEnd.size();
    const std::size_t next = std::min(input_.size() * 2, longest + initialInputBytes);
    const core::time_point now = currentBootTime();
    const bool hasRoom =
            !budget_ || next <= largeHolding || makeRoom(*budget_, next - input_.size(), this, now);
    if (hasRoom) {
        waitsForRoomSince_ = core::noDeadline;
        input_.reserve(next); // a larger capacity would not be counted
        input_.resize(next);
        account();
        return true;
    }
    waitsForRoomSince_ = std::min(waitsForRoomSince_, now);
    if (now - waitsForRoomSince_ >= maxWaitForRoom) {
        ++budget_->closedHolders;
        fail();
        return false;
    }
    const auto timer =
            std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), roomRetryInterval);
    timer->async_wait([timer, weak = weak_from_this()](const boost::system::error_code &) {
        const auto keep = weak.lock();
        if (keep && !keep->closed_)
            keep->read();
    });
    return false;
}

/// Gives the memory of a long line back once it has been handled.
void line_connection::releaseInput()
{
    if (input_.size() <= largeHolding || receivedBytes_ > initialInputBytes)
        return;
    std::string smaller(initialInputBytes, '\0');
    std::memcpy(smaller.data(), input_.data(), receivedBytes_);
    input_ = std::move(smaller);
    account();
}

void line_connection::resumeInput()
{
    if (!std::exchange(isHeldBack_, false) || closed_ || closing_)
        return;
    handleInput(0);
}

void line_connection::read()
{
    if (receivedBytes_ == input_.size() && !growInput())
        return;
    socket_.async_read_some(
            boost::asio::buffer(input_.data() + receivedBytes_, input_.size() - receivedBytes_),
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

void line_connection::dropInput(std::size_t length)
{
    receivedBytes_ = 0;
    if (length > 0 && onDropped_)
        onDropped_(length);
}

void line_connection::handleInput(std::size_t length)
{
    if (closing_)
        dropInput(length);
    // The peer sent this input before it received the FIN, which may have been lost and await
    // retransmission. A reset informs the peer without that delay that the request will not be
    // answered.
    if (closing_ && wasIdleAtClose_) {
        reset();
        return;
    }
    if (!closing_)
        handleLines(length);
    if (closed_)
        return;
    if (isHeldBack_) {
        scannedBytes_ = 0;
        return;
    }
    releaseInput();
    // The line end may be divided between two reads.
    scannedBytes_ = receivedBytes_ - (receivedBytes_ > 0 ? 1 : 0);
    if (receivedBytes_ > maxLine_ + 1) {
        fail();
        return;
    }
    read();
}

void line_connection::handleLines(std::size_t length)
{
    receivedBytes_ += length;
    isHandlingLines_ = true;
    const std::size_t handled = passOnLines();
    isHandlingLines_ = false;
    const std::size_t left = receivedBytes_ - handled;
    if (closing_) {
        dropInput(left);
        return;
    }
    receivedBytes_ = left;
    std::memmove(input_.data(), input_.data() + handled, left);
}

std::size_t line_connection::passOnLines()
{
    std::size_t begin = 0;
    while (!closed_ && !closing_) {
        const std::string_view input(input_.data(), receivedBytes_);
        const std::size_t end = input.find(lineEnd, std::max(begin, scannedBytes_));
        if (end == std::string_view::npos)
            break;
        if (end - begin > maxLine_) {
            fail();
            break;
        }
        if (gate_ && end - begin > largeHolding && !gate_(end - begin)) {
            isHeldBack_ = true;
            break;
        }
        const std::string_view line = input.substr(begin, end - begin);
        begin = end + lineEnd.size();
        scannedBytes_ = begin;
        onLine_(line);
    }
    return begin;
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
                keep->account();
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
    // A reset discards unsent data, so that data delayed by a partition does not arrive later.
    if (open_ && !closing_) {
        reset();
        return;
    }
    closed_ = true;
    account();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void line_connection::reset()
{
    closed_ = true;
    account();
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
    wasIdleAtClose_ = queue_.empty() && writing_.empty();
    if (!isHandlingLines_)
        dropInput(receivedBytes_);
    write();
    // Nothing is being read while a line is held back, but the end of the peer's side must be.
    if (std::exchange(isHeldBack_, false))
        read();
    const auto timer = std::make_shared<boost::asio::steady_timer>(socket_.get_executor(),
                                                                   gracefulCloseTimeout);
    timer->async_wait([timer, weak = weak_from_this()](const boost::system::error_code &) {
        if (const auto keep = weak.lock())
            keep->close();
    });
}

} // namespace fuchsiagw::net
