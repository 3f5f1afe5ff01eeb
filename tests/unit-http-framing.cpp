/// @file
/// @brief Tests of where HTTP messages end, and of responses that come twice, late or unasked, on
/// raw connections over loopback.

#include "run-until.hpp"

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/net/http_server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

std::string responseWith(const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

/// A client before a server that sends any bytes.
TEST_GROUP(http_client_framing)
{
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()
    }; // lets the context run again after a pause
    tcp::acceptor acceptor{ context, { boost::asio::ip::address_v4::loopback(), 0 } };
    net::http_client client{ context };
    std::optional<net::http_exchange> outcome;
    std::vector<tcp::socket> connections; ///< in the order in which they were accepted

    void startCall(const net::http_request &request, std::chrono::milliseconds limit = 3s)
    {
        outcome.reset();
        client.call({ boost::asio::ip::address_v4::loopback(), acceptor.local_endpoint().port() },
                    request, net::currentTime() + limit,
                    [this](net::http_exchange &&result) { outcome = std::move(result); });
    }

    void startCall(const std::string &target, std::chrono::milliseconds limit = 3s)
    {
        startCall({ "GET", target, {}, {} }, limit);
    }

    /// Accepts the next connection as soon as it is there.
    void acceptNext()
    {
        acceptor.async_accept([this](const auto &error, tcp::socket socket) {
            if (!error)
                connections.push_back(std::move(socket));
        });
    }

    /// Runs the client until a whole request has arrived, and answers it with any bytes.
    void answer(std::size_t connection, const std::string &bytes)
    {
        CHECK_TRUE(testing::runUntil(context, [&] { return connections.size() > connection; }));
        tcp::socket &socket = connections[connection];
        CHECK_TRUE(testing::runUntil(context, [&] { return socket.available() > 0; }));
        boost::asio::streambuf request;
        boost::asio::read_until(socket, request, "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    std::string awaitBody()
    {
        CHECK_TRUE(testing::runUntil(context, [&] { return outcome.has_value(); }));
        return outcome->error ? "error" : outcome->response.body;
    }
};

// Guards against a response that no request asked for, and that is taken as the one to the next
// request: it has arrived, but the client has not yet noticed it.
TEST(http_client_framing, unaskedResponseAnswersNoRequest)
{
    acceptNext();
    startCall("/1");
    answer(0, responseWith("first"));
    STRCMP_EQUAL("first", awaitBody().c_str());
    boost::asio::write(connections[0], boost::asio::buffer(responseWith("unasked")));
    acceptNext();
    startCall("/2");
    answer(1, responseWith("second"));
    STRCMP_EQUAL("second", awaitBody().c_str());
}

// Guards against a response that a server sends before it has read a request.
TEST(http_client_framing, responseBeforeTheFirstRequestAnswersNone)
{
    const auto connection = net::http_connection::create(
            context, { boost::asio::ip::address_v4::loopback(), acceptor.local_endpoint().port() });
    bool isConnected = false;
    acceptNext();
    connection->connect(net::currentTime() + 3s, [&](std::error_code) { isConnected = true; });
    CHECK_TRUE(testing::runUntil(context, [&] { return isConnected && connections.size() == 1; }));
    boost::asio::write(connections[0], boost::asio::buffer(responseWith("unasked")));
    connection->exchange({ "GET", "/1", {}, {} }, net::currentTime() + 3s,
                         [this](net::http_exchange &&result) { outcome = std::move(result); });
    STRCMP_EQUAL("error", awaitBody().c_str());
    CHECK_FALSE(outcome->wasSent);
}

// Guards against a connection that is used again with the second one of two responses in it.
TEST(http_client_framing, doubledResponseEndsTheConnection)
{
    acceptNext();
    startCall("/1");
    answer(0, responseWith("first") + responseWith("first"));
    STRCMP_EQUAL("first", awaitBody().c_str());
    acceptNext();
    startCall("/2");
    answer(1, responseWith("second"));
    STRCMP_EQUAL("second", awaitBody().c_str());
}

// Guards against a late response that is taken as the one to the request after it.
TEST(http_client_framing, responseAfterTheDeadlineAnswersNoRequest)
{
    acceptNext();
    startCall("/1", 50ms);
    STRCMP_EQUAL("error", awaitBody().c_str());
    acceptNext();
    startCall("/2");
    boost::system::error_code ignored;
    boost::asio::write(connections[0], boost::asio::buffer(responseWith("late")), ignored);
    answer(1, responseWith("second"));
    STRCMP_EQUAL("second", awaitBody().c_str());
}

// Guards against a second request on a connection whose server ends it with the response, in any
// spelling: the request would be lost with an unknown outcome.
TEST(http_client_framing, announcedCloseEndsTheConnection)
{
    std::size_t served = 0;
    for (const char *last : { "Connection: close\r\n", "Connection: Close\r\n",
                              "Connection: foo, close\r\n", "connection: CLOSE\r\n" }) {
        acceptNext();
        startCall("/1");
        answer(served, responseWith("last", last));
        STRCMP_EQUAL("last", awaitBody().c_str());
        ++served;
    }
}

// Guards against an interim response that frees the connection, so that the final one answers the
// next request.
TEST(http_client_framing, interimResponseEndsTheConnection)
{
    acceptNext();
    startCall("/1");
    answer(0, "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK_TRUE(testing::runUntil(context, [&] { return outcome.has_value(); }));
    acceptNext();
    startCall("/2");
    boost::system::error_code ignored;
    context.run_for(5ms);
    boost::asio::write(connections[0], boost::asio::buffer(responseWith("first")), ignored);
    answer(1, responseWith("second"));
    STRCMP_EQUAL("second", awaitBody().c_str());
}

// Guards against a response whose end is doubtful: two lengths, a length beside chunks, a body that
// ends before its length.
TEST(http_client_framing, responseWithoutClearEndIsAnError)
{
    const std::vector<std::string> doubtful{
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nZ\r\n",
    };
    for (std::size_t i = 0; i < doubtful.size(); ++i) {
        acceptNext();
        startCall("/1");
        answer(i, doubtful[i]);
        connections[i].shutdown(tcp::socket::shutdown_send);
        STRCMP_EQUAL_TEXT("error", awaitBody().c_str(), doubtful[i].c_str());
    }
}

// Guards against a response that is read otherwise when its bytes arrive one by one.
TEST(http_client_framing, responseMayArriveByteByByte)
{
    acceptNext();
    startCall("/1");
    answer(0, {});
    for (const char each : responseWith("a\r\nb\r\n\r\nc")) {
        boost::asio::write(connections[0], boost::asio::buffer(&each, 1));
        context.run_for(1ms);
    }
    STRCMP_EQUAL("a\r\nb\r\n\r\nc", awaitBody().c_str());
}

// Guards against a name of the settings or of an operator that adds a header or a request: such a
// request is not sent.
TEST(http_client_framing, requestThatCanNotBeWrittenIsNotSent)
{
    const std::vector<net::http_request> forged{
        { "GET", "/1", { { "X-Holder", "n1\r\nX-Token: 9" } }, {} },
        { "GET", "/1", { { "X-Holder", "n1\nX-Token: 9" } }, {} },
        { "GET", "/1", { { "X-Holder", std::string("n1\0x", 4) } }, {} },
        { "GET", "/1", { { "X-Holder: n1\r\nX-Token", "9" } }, {} },
        { "GET", "/1", { { "", "9" } }, {} },
        { "GET", "/1 HTTP/1.1\r\nX-Token: 9\r\nX-Rest:", {}, {} },
        { "GET", "/1 2", {}, {} },
        { "GET", "", {}, {} },
        { "GET /2 HTTP/1.1\r\n", "/1", {}, {} },
    };
    for (const net::http_request &request : forged) {
        acceptNext();
        startCall(request, 200ms);
        STRCMP_EQUAL("error", awaitBody().c_str());
        CHECK_FALSE(outcome->wasSent);
    }
}

/// A server before a client that sends any bytes.
TEST_GROUP(http_server_framing)
{
    boost::asio::io_context context;
    std::vector<std::string> handled; ///< target and body of each request

    net::http_server_options options() const
    {
        net::http_server_options result;
        result.listenAddress = { boost::asio::ip::address_v4::loopback(), 0 };
        result.maxBodyBytes = 1024;
        result.maxConnections = 10;
        return result;
    }

    net::http_server server{ context, options(),
                             [this](net::http_request &&request, net::connection_number,
                                    net::http_responder &&reply) {
                                 handled.push_back(request.target + ":" + request.body);
                                 reply.send({ 200, {}, request.target });
                             } };

    void setup() override
    {
        CHECK_FALSE(server.start());
    }

    /// @return all that the server sends for these bytes until it closes or is silent
    std::string responseTo(const std::string &bytes, bool endsHere = false)
    {
        handled.clear();
        tcp::socket socket(context);
        socket.connect({ boost::asio::ip::address_v4::loopback(), server.port() });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        if (endsHere)
            socket.shutdown(tcp::socket::shutdown_send);
        context.run_for(30ms);
        std::string received(socket.available(), '\0');
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::buffer(received), ignored);
        return received;
    }
};

// Guards against a body of doubtful length, whose rest would be handled as another request.
TEST(http_server_framing, requestWithoutClearEndIsNotHandled)
{
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string start = "POST /outer HTTP/1.1\r\nHost: a\r\n";
    for (const std::string &headers :
         { std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
           std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
           std::string("Content-Length: 0\r\nContent-Length: 4\r\n"),
           std::string("Content-Length: 4 4\r\n"), std::string("Content-Length: +4\r\n"),
           std::string("Content-Length: -4\r\n") }) {
        responseTo(start + headers + "\r\n0\r\n\r\n" + inner);
        CHECK_TRUE_TEXT(handled.empty(), headers.c_str());
    }
}

// Guards against a request that is handled before its body is there, or although it never comes.
TEST(http_server_framing, shortBodyIsNotHandled)
{
    responseTo("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc", true);
    CHECK_TRUE(handled.empty());
    responseTo("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
               true);
    CHECK_TRUE(handled.empty());
}

// Guards against bytes behind a body that become part of it, or that change the next request.
TEST(http_server_framing, pipelinedRequestsAreAnsweredInOrder)
{
    const std::string received =
            responseTo("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na\r\n"
                       "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n2\r\nbc\r\n0\r\n\r\n");
    LONGS_EQUAL(2, handled.size());
    STRCMP_EQUAL("/1:a\r\n", handled[0].c_str());
    STRCMP_EQUAL("/2:bc", handled[1].c_str());
    CHECK(received.find("/1") < received.find("/2"));
}

// Guards against limits that only hold for a body of announced length, and against unbounded
// headers.
TEST(http_server_framing, messagesBeyondTheLimitsAreNotHandled)
{
    const std::string start = "POST /1 HTTP/1.1\r\nHost: a\r\n";
    const auto bodyOf = [&](std::size_t size) {
        return start + "Content-Length: " + std::to_string(size) + "\r\n\r\n"
               + std::string(size, 'x');
    };
    responseTo(bodyOf(1024));
    LONGS_EQUAL(1, handled.size());
    responseTo(bodyOf(1025));
    CHECK_TRUE(handled.empty());
    responseTo(start + "Transfer-Encoding: chunked\r\n\r\n401\r\n" + std::string(1025, 'x')
               + "\r\n0\r\n\r\n");
    CHECK_TRUE(handled.empty());
    responseTo(start + "X: " + std::string(20'000, 'x') + "\r\n\r\n");
    CHECK_TRUE(handled.empty());
    std::string many = start;
    for (int i = 0; i < 200; ++i)
        many += "X" + std::to_string(i) + ": 1\r\n";
    responseTo(many + "\r\n");
    CHECK_TRUE(handled.empty());
}
