/// @file
/// @brief Fault injection server on Boost.Beast.

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fuchsiagw/testing/fault_server.hpp>

#include <map>
#include <optional>
#include <vector>

namespace fuchsiagw::testing {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t maxBodyBytes = 16 * 1024 * 1024;

/// One connection. watchForClose() recognizes by `requestCount` that its request has been answered.
struct client_connection
{
    explicit client_connection(tcp::socket &&from)
        : socket(std::move(from))
    { }

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::optional<http::response_serializer<http::string_body>> serializer; ///< of a slow answer
    std::uint64_t requestCount = 0;
    bool awaitsAnswer = false; ///< a request is in progress
};

} // namespace

struct fault_server::implementation : std::enable_shared_from_this<fault_server::implementation>
{
    implementation(boost::asio::io_context &context, std::uint16_t port)
        : acceptor(context)
        , address{ boost::asio::ip::address_v4::loopback(), port }
    { }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (!error) {
                socket.set_option(tcp::no_delay(true), error);
                socket.non_blocking(true, error);
                const connection_number number = ++self->newestNumber;
                self->connections[number] = std::make_shared<client_connection>(std::move(socket));
                self->read(number);
            }
            self->accept();
        });
    }

    void read(connection_number number)
    {
        const auto each = connections.at(number);
        each->parser.emplace();
        each->parser->body_limit(maxBodyBytes);
        http::async_read(each->socket, each->buffer, *each->parser,
                         [self = shared_from_this(), each, number](error_code error, std::size_t) {
                             if (error)
                                 self->drop(number);
                             else if (self->connections.contains(number))
                                 self->handle(number, *each);
                         });
    }

    void handle(connection_number number, client_connection &each)
    {
        auto message = each.parser->release();
        net::http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.emplace_back(std::string(field.name_string()),
                                         std::string(field.value()));
        request.body = std::move(message.body());
        ++each.requestCount;
        each.awaitsAnswer = true;
        watchForClose(number, each.requestCount);
        onRequest(std::move(request), number);
    }

    /// Detects that the peer closes the connection while its request is in progress, because no
    /// read is pending then.
    void watchForClose(connection_number number, std::uint64_t requestCount)
    {
        const auto each = connections.at(number);
        each->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), each, number,
                                                         requestCount](error_code error) {
            if (error || !each->awaitsAnswer || each->requestCount != requestCount)
                return;
            char byte = 0;
            each->socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            if (error && error != boost::asio::error::would_block)
                self->drop(number);
        });
    }

    /// Takes the connection's request as answered and fills its response.
    /// @return nothing if the connection has no request or is closed
    std::shared_ptr<client_connection> prepareAnswer(connection_number number,
                                                     const net::http_response &response)
    {
        const auto found = connections.find(number);
        if (found == connections.end() || !found->second->awaitsAnswer)
            return nullptr;
        const auto each = found->second;
        each->awaitsAnswer = false;
        each->response = {};
        each->response.result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers)
            each->response.set(name, value);
        each->response.body() = response.body;
        each->response.prepare_payload();
        return each;
    }

    void answer(connection_number number, const net::http_response &response)
    {
        const auto each = prepareAnswer(number, response);
        if (!each)
            return;
        http::async_write(each->socket, each->response,
                          [self = shared_from_this(), each, number](error_code error, std::size_t) {
                              if (error)
                                  self->drop(number);
                              else if (self->connections.contains(number))
                                  self->read(number);
                          });
    }

    void answerInPieces(connection_number number, const net::http_response &response,
                        std::size_t pieceBytes, std::chrono::milliseconds pause)
    {
        const auto each = prepareAnswer(number, response);
        if (!each)
            return;
        each->serializer.emplace(each->response);
        each->serializer->limit(pieceBytes);
        sendPiece(number, pause);
    }

    void sendPiece(connection_number number, std::chrono::milliseconds pause)
    {
        const auto each = connections.at(number);
        http::async_write_some(
                each->socket, *each->serializer,
                [self = shared_from_this(), each, number, pause](error_code error, std::size_t) {
                    if (error)
                        self->drop(number);
                    else if (!self->connections.contains(number))
                        return;
                    else if (each->serializer->is_done())
                        self->read(number);
                    else
                        self->sendPieceAfter(number, pause);
                });
    }

    void sendPieceAfter(connection_number number, std::chrono::milliseconds pause)
    {
        const auto timer =
                std::make_shared<boost::asio::steady_timer>(acceptor.get_executor(), pause);
        timer->async_wait([self = shared_from_this(), timer, number, pause](error_code error) {
            if (!error && self->connections.contains(number))
                self->sendPiece(number, pause);
        });
    }

    void drop(connection_number number)
    {
        const auto found = connections.find(number);
        if (found == connections.end())
            return;
        const auto each = found->second;
        connections.erase(found);
        error_code ignored;
        each->socket.close(ignored);
        if (onClosed)
            onClosed(number);
    }

    void stop()
    {
        error_code ignored;
        acceptor.close(ignored);
        while (!connections.empty())
            drop(connections.begin()->first);
    }

    tcp::acceptor acceptor;
    net::endpoint address;
    request_handler onRequest;
    closed_handler onClosed;
    std::map<connection_number, std::shared_ptr<client_connection>> connections;
    connection_number newestNumber = 0;
};

fault_server::fault_server(boost::asio::io_context &context, std::uint16_t port,
                           request_handler onRequest, closed_handler onClosed)
    : implementation_(std::make_shared<implementation>(context, port))
{
    implementation_->onRequest = std::move(onRequest);
    implementation_->onClosed = std::move(onClosed);
}

fault_server::~fault_server()
{
    implementation_->onRequest = nullptr;
    implementation_->onClosed = nullptr;
    implementation_->stop();
}

std::error_code fault_server::start()
{
    auto &acceptor = implementation_->acceptor;
    auto &address = implementation_->address;
    if (acceptor.is_open())
        return {};
    const tcp::endpoint at(address.address, address.port);
    error_code error;
    acceptor.open(at.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(at, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (!error)
        address.port = acceptor.local_endpoint(error).port();
    if (error) {
        error_code ignored;
        acceptor.close(ignored);
        return { error.value(), std::system_category() };
    }
    implementation_->accept();
    return {};
}

void fault_server::stop()
{
    implementation_->stop();
}

net::endpoint fault_server::address() const
{
    return implementation_->address;
}

void fault_server::answer(connection_number connection, const net::http_response &response)
{
    implementation_->answer(connection, response);
}

void fault_server::answerInPieces(connection_number connection, const net::http_response &response,
                                  std::size_t pieceBytes, std::chrono::milliseconds pause)
{
    implementation_->answerInPieces(connection, response, pieceBytes, pause);
}

void fault_server::close(connection_number connection)
{
    implementation_->drop(connection);
}

} // namespace fuchsiagw::testing
