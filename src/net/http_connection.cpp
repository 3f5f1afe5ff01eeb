/// @file
/// @brief HTTP client connection based on Boost.Beast.

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_connection.hpp>

#include <fuchsiagw/net/line_connection.hpp>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <chrono>
#include <optional>

#include <sys/socket.h>

namespace fuchsiagw::net {

namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t maxResponseBody = 16 * 1024 * 1024; // bytes
constexpr std::chrono::milliseconds maxPartPause{ 1'500 }; // between two parts of a response

std::error_code toStd(const boost::system::error_code &code)
{
    if (!code)
        return {};
    if (code == boost::beast::error::timeout)
        return std::make_error_code(std::errc::timed_out);
    if (code.category() == boost::system::system_category())
        return { code.value(), std::system_category() };
    return std::make_error_code(std::errc::connection_reset);
}

/// @return whether the peer has sent nothing that was not read, not even its end
bool isSilent(tcp::socket &socket)
{
    char next = 0;
    const auto received =
            ::recv(socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// @return whether the connection can carry another exchange; behind an interim response the final
/// one follows
bool keepsConnection(const http::response_parser<http::string_body> &parser)
{
    return parser.keep_alive() && parser.get().result() >= http::status::ok;
}

http_response toResponse(http::response<http::string_body> &&from)
{
    http_response response;
    response.status = static_cast<int>(from.result_int());
    for (const auto &field : from) {
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    response.body = std::move(from.body());
    return response;
}

} // namespace

struct http_connection::implementation
{
    endpoint peer;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<response_transfer> transfer; ///< of the exchange in progress
    exchange_handler done; ///< set exactly while an exchange is in progress
    closed_handler closedWhileIdle;
    bool open = false;
    bool isKeptOpen = false; ///< by the last response
    std::uint64_t idleWatchGeneration = 0; ///< a handler of an older generation does nothing
};

std::shared_ptr<http_connection> http_connection::create(boost::asio::io_context &context,
                                                         endpoint peer)
{
    auto state =
            std::unique_ptr<implementation>(new implementation{ std::move(peer),
                                                                boost::beast::tcp_stream(context),
                                                                {},
                                                                {},
                                                                {},
                                                                {},
                                                                {},
                                                                {},
                                                                false,
                                                                false,
                                                                0 });
    return std::shared_ptr<http_connection>(new http_connection(std::move(state)));
}

http_connection::http_connection(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{ }

http_connection::~http_connection() = default;

void http_connection::connect(core::time_point deadline, connect_handler done)
{
    implementation &self = *implementation_;
    self.stream.expires_at(toSteady(deadline));
    const tcp::endpoint target(self.peer.address, self.peer.port);
    self.stream.async_connect(target, [keep = shared_from_this(), done = std::move(done)](
                                              const boost::system::error_code &error) {
        implementation &state = *keep->implementation_;
        if (!error) {
            configureKeepalive(state.stream.socket(), keepalive_profile::Short);
            state.open = true;
            state.stream.expires_never();
            keep->watchIdle();
        }
        done(toStd(error));
    });
}

void http_connection::exchange(const http_request &request, core::time_point deadline,
                               exchange_handler done,
                               const std::optional<response_transfer> &transfer)
{
    implementation &self = *implementation_;
    assert(!self.done);
    self.done = std::move(done);
    self.transfer = transfer;
    self.isKeptOpen = false;
    ++self.idleWatchGeneration;
    if (!isReusable()) {
        finish({ std::make_error_code(std::errc::not_connected), false, {} });
        return;
    }
    if (!isWritable(request)) {
        finish({ std::make_error_code(std::errc::invalid_argument), false, {} });
        return;
    }
    boost::system::error_code ignored;
    self.stream.socket().cancel(ignored);

    self.request = {};
    self.request.version(11);
    self.request.method_string(request.method);
    self.request.target(request.target);
    self.request.set(http::field::host, toString(self.peer));
    for (const auto &[name, value] : request.headers)
        self.request.set(name, value);
    self.request.body() = request.body;
    self.request.prepare_payload();
    self.parser.emplace();
    self.parser->body_limit(maxResponseBody);
    self.stream.expires_at(toSteady(deadline));

    http::async_write(
            self.stream, self.request,
            [keep = shared_from_this()](const boost::system::error_code &writeError, std::size_t) {
                if (writeError)
                    keep->finish({ toStd(writeError), true, {} });
                else
                    keep->readResponse();
            });
}

void http_connection::readResponse()
{
    implementation &self = *implementation_;
    if (self.transfer) {
        self.parser->eager(true);
        readNextPart();
        return;
    }
    http::async_read(
            self.stream, self.buffer, *self.parser,
            [keep = shared_from_this()](const boost::system::error_code &readError, std::size_t) {
                if (readError)
                    keep->finish({ toStd(readError), true, {} });
                else
                    keep->finishWithResponse();
            });
}

void http_connection::readNextPart()
{
    implementation &self = *implementation_;
    http::async_read_some(
            self.stream, self.buffer, *self.parser,
            [keep = shared_from_this()](const boost::system::error_code &readError, std::size_t) {
                implementation &state = *keep->implementation_;
                if (readError) {
                    keep->finish({ toStd(readError), true, {} });
                    return;
                }
                if (state.transfer->onPart)
                    state.transfer->onPart();
                if (state.parser->is_done()) {
                    keep->finishWithResponse();
                    return;
                }
                const core::time_point nextPartDue = currentTime() + maxPartPause;
                state.stream.expires_at(toSteady(std::min(nextPartDue, state.transfer->latestEnd)));
                keep->readNextPart();
            });
}

void http_connection::finishWithResponse()
{
    implementation &self = *implementation_;
    self.isKeptOpen = keepsConnection(*self.parser);
    finish({ {}, true, toResponse(self.parser->release()) });
}

void http_connection::finish(http_exchange &&result)
{
    implementation &self = *implementation_;
    if (!self.done)
        return;
    const exchange_handler done = std::exchange(self.done, nullptr);
    self.transfer.reset();
    if (!result.error && self.isKeptOpen && self.buffer.size() == 0) {
        self.stream.expires_never();
        watchIdle();
    } else {
        close();
    }
    done(std::move(result));
}

void http_connection::onClosedWhileIdle(closed_handler closed)
{
    implementation_->closedWhileIdle = std::move(closed);
}

// A write to a connection that the peer has closed while idle would have an unknown outcome.
// Detecting the close here prevents such a connection from being reused.
void http_connection::watchIdle()
{
    implementation &self = *implementation_;
    const std::uint64_t generation = ++self.idleWatchGeneration;
    self.stream.socket().async_wait(
            tcp::socket::wait_read,
            [weak = weak_from_this(), generation](const boost::system::error_code &error) {
                const auto keep = weak.lock();
                if (!keep || error == boost::asio::error::operation_aborted
                    || keep->implementation_->idleWatchGeneration != generation)
                    return;
                keep->close();
                if (keep->implementation_->closedWhileIdle)
                    keep->implementation_->closedWhileIdle();
            });
}

void http_connection::close()
{
    implementation &self = *implementation_;
    if (!self.open)
        return;
    self.open = false;
    boost::system::error_code ignored;
    self.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    self.stream.close();
}

bool http_connection::isReusable()
{
    implementation &self = *implementation_;
    if (self.open && !isSilent(self.stream.socket()))
        close();
    return self.open;
}

bool http_connection::isOpen() const
{
    return implementation_->open;
}

} // namespace fuchsiagw::net
