/// @file
/// @brief Framing, heartbeats and closing of one TCP link.

#include <fuchsiagw/detail/tcp_connection.hpp>

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::detail {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxBatchBytes = 262'144; ///< of one write
constexpr std::size_t maxBatchFrames = 64; ///< Asio passes at most 64 buffers to one writev() call
/// Memory of a queued frame in addition to its bytes.
constexpr std::size_t frameOverheadBytes = 64;
/// A heartbeat with its IP and TCP headers and the TCP acknowledgement of the peer.
constexpr std::uint64_t heartbeatTrafficBytes = lengthBytes + 40 + 40;

std::string withLength(std::string_view content)
{
    std::string bytes;
    bytes.reserve(lengthBytes + content.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((content.size() >> shift) & 0xffU));
    bytes += content;
    return bytes;
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
    return length;
}

} // namespace

tcp_connection::tcp_connection(tcp::socket socket, const net::tcp_settings &settings,
                               std::shared_ptr<net::tcp_counters> counters,
                               connection_events events, bool isIncoming)
    : socket_(std::move(socket))
    , settings_(settings)
    , counters_(std::move(counters))
    , events_(std::move(events))
    , isIncoming_(isIncoming)
{ }

void tcp_connection::startConnect(const tcp::endpoint &to)
{
    peer_ = to;
    ++pendingOperations_;
    socket_.async_connect(to, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error)
            self->close(error);
        else if (!self->isClosing_)
            self->begin();
        self->endOperation();
    });
}

void tcp_connection::startAccepted()
{
    boost::system::error_code error;
    peer_ = socket_.remote_endpoint(error);
    ++pendingOperations_;
    boost::asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
        if (error)
            self->close(error);
        else if (!self->isClosing_)
            self->begin();
        self->endOperation();
    });
}

void tcp_connection::begin()
{
    boost::system::error_code ignored; // The option only reduces the latency of small frames.
    socket_.set_option(tcp::no_delay(true), ignored);
    isOpen_ = true;
    receivedAt_ = sentAt_ = activeAt_ = activeSince_ = clock::now();
    events_.onOpen();
    readNext();
    writeNext();
}

bool tcp_connection::send(net::frame_tag tag, std::string_view content)
{
    const std::size_t size = frameOverheadBytes + lengthBytes + content.size();
    if (isClosing_ || content.empty() || content.size() > wire::maxFrameBytes
        || queuedBytes_ + size > settings_.maxQueuedBytes)
        return false;
    queue_.push_back({ tag, withLength(content) });
    queuedBytes_ += size;
    ++counters_->framesSent;
    recordActivity();
    writeNext();
    return true;
}

void tcp_connection::close(std::error_code cause)
{
    if (isClosing_)
        return;
    isClosing_ = true;
    cause_ = cause;
    boost::system::error_code ignored;
    socket_.close(ignored);
    // onClosed is called from the context, so that every handler may call close().
    ++pendingOperations_;
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->endOperation(); });
}

void tcp_connection::recordActivity()
{
    const clock::time_point now = clock::now();
    if (now - activeAt_ > settings_.activePeriod)
        activeSince_ = now;
    activeAt_ = now;
}

void tcp_connection::checkLiveness(clock::time_point now)
{
    if (isClosing_)
        return;
    const auto timedOut = std::make_error_code(std::errc::timed_out);
    if (!isOpen_) {
        if (now - startedAt_ > settings_.connectTimeout)
            close(timedOut);
        return;
    }
    if (!isTrusted_ && now - startedAt_ > settings_.connectTimeout + settings_.trustTimeout) {
        close(core::error_kind::MessageForeign);
        return;
    }
    const bool isActive = now - activeAt_ <= settings_.activePeriod;
    const auto heartbeatTimeout =
            isActive ? settings_.heartbeatTimeout : settings_.idleHeartbeatTimeout;
    const clock::time_point since = isActive ? std::max(receivedAt_, activeSince_) : receivedAt_;
    if (now - since > heartbeatTimeout) {
        close(timedOut);
        return;
    }
    if (!isIncoming_ && now - activeAt_ > settings_.idleTimeout) {
        close(std::make_error_code(std::errc::operation_canceled));
        return;
    }
    const auto heartbeatInterval =
            isActive ? settings_.heartbeatInterval : settings_.idleHeartbeatInterval;
    if (now - sentAt_ >= heartbeatInterval && writing_.empty() && queue_.empty()) {
        queue_.push_back({ 0, withLength({}) });
        queuedBytes_ += frameOverheadBytes + lengthBytes;
        counters_->heartbeatBytes += heartbeatTrafficBytes;
        writeNext();
    }
}

void tcp_connection::readNext()
{
    if (isClosing_)
        return;
    ++pendingOperations_;
    socket_.async_read_some(
            boost::asio::buffer(chunk_),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                self->onRead(error, size);
                self->endOperation();
            });
}

void tcp_connection::onRead(const boost::system::error_code &error, std::size_t size)
{
    if (isClosing_)
        return;
    if (error) {
        close(error);
        return;
    }
    receivedAt_ = clock::now();
    counters_->bytesReceived += size;
    received_.append(chunk_.data(), size);
    parseFrames();
    readNext();
}

void tcp_connection::parseFrames()
{
    std::size_t consumed = 0;
    while (!isClosing_ && received_.size() - consumed >= lengthBytes) {
        const std::string_view rest = std::string_view(received_).substr(consumed);
        const std::size_t length = readLength(rest);
        const std::size_t maxLength =
                isTrusted_ ? wire::maxFrameBytes : settings_.untrustedFrameBytes;
        if (length > maxLength) {
            close(core::error_kind::MessageTooLarge);
            return;
        }
        if (rest.size() - lengthBytes < length)
            break;
        consumed += lengthBytes + length;
        if (length == 0) {
            counters_->heartbeatBytes += heartbeatTrafficBytes;
            continue;
        }
        ++counters_->framesReceived;
        recordActivity();
        events_.onFrame(rest.substr(lengthBytes, length));
    }
    received_.erase(0, consumed);
}

void tcp_connection::writeNext()
{
    if (!isOpen_ || isClosing_ || !writing_.empty() || queue_.empty())
        return;
    std::size_t bytes = 0;
    while (!queue_.empty()
           && (bytes == 0 || bytes + queue_.front().bytes.size() <= maxBatchBytes)) {
        bytes += queue_.front().bytes.size();
        writing_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const frame &each : writing_)
        buffers.emplace_back(each.bytes.data(), each.bytes.size());
    ++pendingOperations_;
    boost::asio::async_write(
            socket_, buffers,
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                self->onWritten(error, size);
                self->endOperation();
            });
}

void tcp_connection::onWritten(const boost::system::error_code &error, std::size_t size)
{
    counters_->bytesSent += size;
    std::size_t begin = 0;
    for (const frame &each : writing_) {
        // Only a frame of which no byte was written is reported as unwritten: of any other frame,
        // the peer may receive the whole.
        if (error && begin >= size && each.tag != 0)
            unwritten_.push_back(each.tag);
        begin += each.bytes.size();
    }
    queuedBytes_ -= begin + writing_.size() * frameOverheadBytes;
    writing_.clear();
    if (error) {
        close(error);
        return;
    }
    sentAt_ = clock::now();
    writeNext();
}

void tcp_connection::endOperation()
{
    --pendingOperations_;
    if (!isClosing_ || pendingOperations_ > 0 || isReported_)
        return;
    isReported_ = true;
    net::link_closure end{ cause_, std::move(unwritten_) };
    for (const frame &each : queue_) {
        if (each.tag != 0)
            end.unsentFrames.push_back(each.tag);
    }
    queue_.clear();
    events_.onClosed(end);
}

} // namespace fuchsiagw::detail
