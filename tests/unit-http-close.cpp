/// @file
/// @brief Tests that a close of the HTTP server loses neither an answer nor a request that crosses
/// it, on raw connections over loopback.

#include "run-until.hpp"

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_close)
{
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()
    }; // lets the context run again after a pause
    std::optional<net::http_server> server;
    tcp::socket caller{ context };
    std::string received; ///< by the caller
    boost::system::error_code end; ///< of the caller's connection; empty while it is open
    int served = 0;
    std::vector<net::connection_number> closed;

    void serve(const std::string &body, bool close)
    {
        net::http_server_options options;
        options.listenAddress = { boost::asio::ip::address_v4::loopback(), 0 };
        options.maxBodyBytes = 1024;
        options.maxConnections = 10;
        options.idleTimeout = 1s;
        server.emplace(
                context, options,
                [this, body, close](auto &&, auto, net::http_responder &&reply) {
                    ++served;
                    reply.send({ 200, {}, body }, close);
                },
                [this](net::connection_number number) { closed.push_back(number); });
        CHECK_FALSE(server->start());
    }

    void connect()
    {
        caller.open(tcp::v4());
        // A small window leaves most of a large answer in the server's send buffer.
        caller.set_option(tcp::socket::receive_buffer_size(4096));
        caller.connect({ boost::asio::ip::address_v4::loopback(), server->port() });
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
    }

    /// Reads what has arrived, without running the server.
    void receive()
    {
        caller.non_blocking(true);
        std::vector<char> buffer(4096);
        while (!end) {
            const std::size_t size = caller.read_some(boost::asio::buffer(buffer), end);
            received.append(buffer.data(), size);
        }
        if (end == boost::asio::error::would_block)
            end.clear();
    }

    void receiveUntilEnd()
    {
        CHECK_TRUE(testing::runUntil(context, [this] {
            receive();
            return static_cast<bool>(end);
        }));
    }

    /// Serves one request, after which the connection is idle.
    void exchangeOnce()
    {
        send(request);
        CHECK_TRUE(testing::runUntil(context, [this] {
            receive();
            return contains(received, "first");
        }));
        received.clear();
    }
};

// Guards against a reset that destroys an answer on its way, because the connection is closed with
// a pipelined request unread.
TEST(http_close, unreadRequestDoesNotDestroyTheLastAnswer)
{
    constexpr std::size_t bodySize = 16'000'000; // more than the buffers of both sockets hold
    serve(std::string(bodySize, 'x'), true);
    connect();
    send(request);
    CHECK_TRUE(testing::runUntil(context, [this] { return served == 1; }));
    send(request);
    receiveUntilEnd();
    LONGS_EQUAL(1, served);
    CHECK_TRUE(contains(received, "Connection: close"));
    CHECK_TRUE(received.size() > bodySize);
    CHECK_TRUE(end == boost::asio::error::eof);
}

// Guards against a request that crosses the close of its idle connection and gets neither an answer
// nor a refusal.
TEST(http_close, requestThatCrossesTheIdleTimeoutIsRefused)
{
    serve("first", false);
    connect();
    exchangeOnce();
    CHECK_TRUE(testing::runUntil(
            context, [this] { return !closed.empty(); }, 5s));
    send(request);
    receiveUntilEnd();
    LONGS_EQUAL(1, served);
    CHECK_TRUE(contains(received, "HTTP/1.1 408 "));
    CHECK_TRUE(contains(received, "Connection: close"));
    CHECK_TRUE(end == boost::asio::error::eof);
}

// Guards against a stop that closes an idle connection, and one that waits to be accepted, without
// a word on requests that are on their way to it, and that ends before the peers have the answers.
TEST(http_close, requestsThatCrossTheStopAreRefused)
{
    serve("first", false);
    connect();
    exchangeOnce();
    tcp::socket waiting(context);
    waiting.connect({ boost::asio::ip::address_v4::loopback(), server->port() });
    boost::asio::write(waiting, boost::asio::buffer(request));
    bool isClosed = false;
    server->close({ 503, { { "Retry-After", "1" } }, "stopping" }, net::currentTime() + 5s,
                  [&isClosed] { isClosed = true; });
    send(request);
    receiveUntilEnd();
    CHECK_FALSE(isClosed);
    for (tcp::socket *each : { &caller, &waiting }) {
        LONGS_EQUAL(1, served);
        if (each == &waiting) {
            received.clear();
            end.clear();
            std::swap(caller, waiting);
            receiveUntilEnd();
        }
        CHECK_TRUE(contains(received, "HTTP/1.1 503 "));
        CHECK_TRUE(contains(received, "Connection: close"));
        CHECK_TRUE(contains(received, "Retry-After: 1"));
        CHECK_TRUE(end == boost::asio::error::eof);
    }
    caller.close();
    waiting.close();
    CHECK_TRUE(testing::runUntil(
            context, [&isClosed] { return isClosed; }, 1s));
}

// Guards against a request that is handled although its connection was refused at a stop: its bytes
// had been read, but not yet passed on.
TEST(http_close, stopAtAnyStepEitherServesOrRefuses)
{
    constexpr int maxSteps = 30; // the request is served in fewer
    int servedCount = 0;
    int refusedCount = 0;
    for (int steps = 0; steps < maxSteps; ++steps) {
        served = 0;
        received.clear();
        end.clear();
        serve("first", false);
        connect();
        send(request);
        for (int each = 0; each < steps; ++each)
            context.run_one_for(10ms);
        bool isClosed = false;
        server->close({ 503, {}, {} }, net::currentTime() + 5s, [&isClosed] { isClosed = true; });
        receiveUntilEnd();
        caller.close();
        CHECK_TRUE(testing::runUntil(context, [&isClosed] { return isClosed; }));
        const bool isServed = contains(received, "HTTP/1.1 200 ");
        LONGS_EQUAL(isServed ? 1 : 0, served);
        CHECK_TRUE(isServed || contains(received, "HTTP/1.1 503 "));
        (isServed ? servedCount : refusedCount) += 1;
    }
    CHECK_TRUE(servedCount > 0);
    CHECK_TRUE(refusedCount > 0);
}
