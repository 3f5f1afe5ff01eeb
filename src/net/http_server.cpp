/// @file
/// @brief HTTP server based on RESTinio, whose headers are included only in this file.

#include <utility>

#include <restinio/all.hpp>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_server.hpp>
#include <fuchsiagw/net/lingering_socket.hpp>

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace fuchsiagw::net {

namespace {

/// Forwards the end of a connection to the closed handler.
class connection_listener
{
public:
    explicit connection_listener(http_server::closed_handler onClosed)
        : onClosed_(std::move(onClosed))
    { }

    void state_changed(const restinio::connection_state::notice_t &notice) // NOLINT
    {
        if (onClosed_
            && restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            onClosed_(notice.connection_id());
    }

private:
    http_server::closed_handler onClosed_;
};

struct server_traits : public restinio::default_single_thread_traits_t
{
    using request_handler_t =
            std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = connection_listener;
    using stream_socket_t = lingering_socket;
    static constexpr bool use_connection_count_limiter = true; // NOLINT
};

using server_type = restinio::http_server_t<server_traits>;

http_headers copyHeaders(const restinio::http_request_header_t &from)
{
    http_headers headers;
    from.for_each_field(
            [&headers](const auto &field) { headers.emplace_back(field.name(), field.value()); });
    return headers;
}

/// @return the bytes of a response behind which the connection is closed
std::string closingResponse(const http_response &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " \r\nConnection: close\r\n";
    for (const auto &[name, value] : response.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n"
           + response.body;
}

void writeResponse(const restinio::request_handle_t &request, const http_response &response,
                   bool close)
{
    const auto status = restinio::http_status_code_t{ static_cast<std::uint16_t>(response.status) };
    auto builder = request->create_response(restinio::http_status_line_t{ status, {} });
    for (const auto &[name, value] : response.headers)
        builder.append_header(name, value);
    if (close)
        builder.connection_close();
    builder.set_body(response.body);
    builder.done();
}

} // namespace

struct http_server::implementation
{
    boost::asio::io_context &context;
    http_server_options options;
    request_handler onRequest;
    std::shared_ptr<connection_listener> listener;
    std::uint16_t boundPort = 0;
    boost::asio::ip::tcp::acceptor *acceptor = nullptr; ///< of the server, while it accepts
    boost::asio::steady_timer closeTimer;
    std::optional<server_type> server;

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request) const
    {
        http_request copy;
        const auto &header = request->header();
        copy.method = header.method().c_str();
        copy.target = header.request_target();
        copy.headers = copyHeaders(header);
        copy.body = request->body();
        http_responder reply([request](const http_response &response, bool close) {
            writeResponse(request, response, close);
        });
        onRequest(std::move(copy), request->connection_id(), std::move(reply));
        return restinio::request_accepted();
    }
};

http_server::http_server(boost::asio::io_context &context, http_server_options options,
                         request_handler onRequest, closed_handler onClosed)
    : implementation_(
            new implementation{ context, std::move(options), std::move(onRequest),
                                std::make_shared<connection_listener>(std::move(onClosed)), 0,
                                nullptr, boost::asio::steady_timer(context), std::nullopt })
{ }

http_server::~http_server() = default;

std::error_code http_server::start()
{
    implementation &self = *implementation_;
    constexpr std::size_t bufferSize = 8192; // bytes
    constexpr std::size_t maxHeaderValue = 16384; // bytes
    constexpr std::size_t maxHeaderCount = 100;
    try {
        self.server.emplace(
                restinio::external_io_context(self.context),
                restinio::server_settings_t<server_traits>{}
                        .address(self.options.listenAddress.address)
                        .port(self.options.listenAddress.port)
                        .buffer_size(bufferSize)
                        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                                          .max_url_size(maxHeaderValue)
                                                          .max_field_name_size(maxHeaderValue)
                                                          .max_field_value_size(maxHeaderValue)
                                                          .max_field_count(maxHeaderCount)
                                                          .max_body_size(self.options.maxBodyBytes))
                        .read_next_http_message_timelimit(self.options.idleTimeout)
                        .write_http_response_timelimit(self.options.idleTimeout)
                        .handle_request_timeout(self.options.handlerTimeout)
                        .max_pipelined_requests(1)
                        .concurrent_accepts_count(8)
                        .max_parallel_connections(self.options.maxConnections)
                        .connection_state_listener(self.listener)
                        .acceptor_options_setter([](auto &options) {
                            options.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
                        })
                        .socket_options_setter([](auto &options) {
                            options.set_option(boost::asio::ip::tcp::no_delay(true));
                        })
                        .acceptor_post_bind_hook([&self](auto &acceptor) {
                            self.boundPort = acceptor.local_endpoint().port();
                            self.acceptor = &acceptor;
                        })
                        .request_handler([&self](const restinio::request_handle_t &request) {
                            return self.handle(request);
                        }));
        self.server->open_sync();
    } catch (const boost::system::system_error &failure) {
        return std::error_code(failure.code().value(), std::system_category());
    } catch (const std::exception &) {
        return std::make_error_code(std::errc::address_not_available);
    }
    return {};
}

std::uint16_t http_server::port() const
{
    return implementation_->boundPort;
}

void http_server::stopAccepting(const http_response &notice)
{
    implementation &self = *implementation_;
    if (!self.server || self.acceptor == nullptr)
        return;
    // A close of the listening socket resets the connections that wait to be accepted.
    const std::string text = closingResponse(notice);
    boost::system::error_code error;
    self.acceptor->non_blocking(true, error);
    while (!error) {
        boost::asio::ip::tcp::socket waiting(self.context);
        self.acceptor->accept(waiting, error);
        if (!error)
            refuseConnection(std::move(waiting), text);
    }
    self.acceptor = nullptr;
    self.server->close_sync();
}

void http_server::close(const http_response &notice, core::time_point deadline,
                        std::function<void()> done)
{
    constexpr std::chrono::milliseconds checkInterval{ 10 };
    implementation &self = *implementation_;
    stopAccepting(notice);
    const std::size_t left =
            closeIdleConnections(self.context, self.boundPort, closingResponse(notice));
    if (left == 0 || currentTime() >= deadline) {
        done();
        return;
    }
    self.closeTimer.expires_after(checkInterval);
    self.closeTimer.async_wait([this, notice, deadline,
                                done = std::move(done)](const boost::system::error_code &error) {
        if (!error)
            close(notice, deadline, done);
    });
}

} // namespace fuchsiagw::net
