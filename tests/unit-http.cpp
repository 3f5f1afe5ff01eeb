/// @file
/// @brief Tests of the HTTP server and client over loopback, the channel and endpoint parsing.

#include <utility>

#include <fuchsiagw/net/channel.hpp>
#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/net/http_server.hpp>
#include <fuchsiagw/testing/fault_server.hpp>

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;

namespace {

net::endpoint loopback(std::uint16_t port)
{
    return { boost::asio::ip::make_address("127.0.0.1"), port };
}

} // namespace

TEST_GROUP(http)
{
    boost::asio::io_context context;
    std::vector<net::connection_number> closed;
    std::vector<net::http_responder> unanswered;

    void serve(net::http_server & server)
    {
        CHECK_FALSE(server.start());
    }

    net::http_server_options options() const
    {
        net::http_server_options result;
        result.listenAddress = loopback(0);
        result.maxBodyBytes = 1024;
        result.maxConnections = 10;
        return result;
    }

    net::http_exchange call(net::http_client & client, std::uint16_t port,
                            net::http_request request, std::chrono::milliseconds limit)
    {
        net::http_exchange outcome;
        bool finished = false;
        client.call(loopback(port), request, net::currentTime() + limit,
                    [&](net::http_exchange &&result) {
                        outcome = std::move(result);
                        finished = true;
                    });
        while (!finished)
            context.run_one();
        return outcome;
    }
};

// Guards against a client or server that drops or alters the method, target, headers, body or
// status of an exchange.
TEST(http, carriesHeadersBodyAndStatusBothWays)
{
    net::http_server server(
            context, options(), [](net::http_request &&request, auto, net::http_responder &&reply) {
                const std::string header(net::findHeader(request.headers, "x-test"));
                reply.send({ 201,
                             { { "X-Back", header } },
                             request.method + request.target + request.body });
            });
    serve(server);
    net::http_client client(context);
    const auto result =
            call(client, server.port(), { "POST", "/a?b=c", { { "X-Test", "1" } }, "body" }, 5s);
    CHECK_FALSE(result.error);
    CHECK_TRUE(result.wasSent);
    CHECK_EQUAL(201, result.response.status);
    CHECK_EQUAL(std::string("POST/a?b=cbody"), result.response.body);
    CHECK_EQUAL(std::string("1"), std::string(net::findHeader(result.response.headers, "x-back")));
}

// Guards against reporting a request as sent although the connect failed: its outcome would be
// treated as unknown, which prevents a safe retry.
TEST(http, refusedConnectionCountsAsNotSent)
{
    net::http_client client(context);
    const auto result = call(client, 1, { "GET", "/", {}, {} }, 5s);
    CHECK_TRUE(static_cast<bool>(result.error));
    CHECK_FALSE(result.wasSent);
}

// Guards against waiting forever for a server that accepts a request and never responds.
TEST(http, silentServerEndsAtTheDeadlineAsSent)
{
    net::http_server server(context, options(), [this](auto &&, auto, net::http_responder &&reply) {
        unanswered.push_back(std::move(reply));
    });
    serve(server);
    net::http_client client(context);
    const auto result = call(client, server.port(), { "GET", "/", {}, {} }, 100ms);
    CHECK_TRUE(result.error == std::errc::timed_out);
    CHECK_TRUE(result.wasSent);
}

// Guards against reusing a pooled connection that the server has closed after its response.
TEST(http, closedIdleConnectionIsNotUsedAgain)
{
    int served = 0;
    net::http_server server(
            context, options(),
            [&](auto &&, auto, net::http_responder &&reply) {
                ++served;
                reply.send({ 200, {}, "x" }, true);
            },
            [this](net::connection_number number) { closed.push_back(number); });
    serve(server);
    net::http_client client(context);
    for (int i = 0; i < 3; ++i)
        CHECK_EQUAL(200, call(client, server.port(), { "GET", "/", {}, {} }, 5s).response.status);
    CHECK_EQUAL(3, served);
    while (closed.size() < 3)
        context.run_one();
}

// Guards against two servers bound to the same port, which would split the connections between
// them.
TEST(http, reportsAnAddressInUse)
{
    net::http_server first(context, options(), [](auto &&, auto, auto &&) {});
    serve(first);
    auto taken = options();
    taken.listenAddress = loopback(first.port());
    net::http_server second(context, taken, [](auto &&, auto, auto &&) {});
    CHECK_TRUE(static_cast<bool>(second.start()));
}

TEST_GROUP(channel){};

// Guards against lost, duplicated or reordered messages between two threads, and against a queue
// that grows beyond its capacity.
TEST(channel, deliversInOrderAndRefusesWhenFull)
{
    boost::asio::io_context consumer;
    std::vector<int> received;
    net::channel<std::unique_ptr<int>> channel(
            consumer, 8, [&](std::unique_ptr<int> &value) { received.push_back(*value); });
    constexpr int count = 10000;
    auto work = boost::asio::make_work_guard(consumer);
    std::thread producer([&] {
        for (int i = 0; i < count; ++i) {
            auto value = std::make_unique<int>(i);
            while (!channel.push(std::move(value)))
                std::this_thread::yield();
        }
        boost::asio::post(consumer, [&work] { work.reset(); });
    });
    consumer.run();
    producer.join();
    CHECK_EQUAL(count, static_cast<int>(received.size()));
    for (int i = 0; i < count; ++i)
        CHECK_EQUAL(i, received[static_cast<std::size_t>(i)]);

    boost::asio::io_context stopped;
    net::channel<int> full(stopped, 2, [](int &) {});
    CHECK_TRUE(full.push(1));
    CHECK_TRUE(full.push(2));
    CHECK_FALSE(full.push(3));
}

// Guards against a lost wakeup: a message stays in the queue if it is pushed while the consumer
// finds the queue empty and no further drain is scheduled. Each round pushes a few messages with
// short delays between them, to hit that moment, and waits until all are handled.
TEST(channel, lastMessageIsAlwaysHandled)
{
    boost::asio::io_context consumer;
    std::atomic<int> handled{ 0 };
    net::channel<int> channel(consumer, 64, [&](int &) { ++handled; });
    auto work = boost::asio::make_work_guard(consumer);
    std::thread worker([&] { consumer.run(); });
    constexpr int rounds = 300000;
    const auto end = std::chrono::steady_clock::now() + 60s;
    int pushed = 0;
    bool isStuck = false;
    for (int round = 0; round < rounds && !isStuck; ++round) {
        for (int each = 0; each < 4; ++each) {
            while (!channel.push(int{ pushed }) && !isStuck)
                isStuck = std::chrono::steady_clock::now() >= end;
            ++pushed;
            for (int pause = 0; pause < (round * 7 + each * 13) % 97; ++pause)
                std::atomic_signal_fence(std::memory_order_seq_cst);
        }
        while (handled < pushed && !isStuck)
            isStuck = std::chrono::steady_clock::now() >= end;
    }
    work.reset();
    consumer.stop();
    worker.join();
    CHECK_FALSE(isStuck);
}

// Guards against a time limit for the whole response, whatever its size and the bandwidth: one that
// arrives slowly is waited for, up to its own limit, and one that stops is not.
TEST(http, responseThatArrivesInPartsOutlivesItsDeadline)
{
    enum class course { WithoutTransfer, Complete, TooLong, Stops };
    for (const course each :
         { course::WithoutTransfer, course::Complete, course::TooLong, course::Stops }) {
        std::optional<testing::fault_server> server;
        server.emplace(
                context, 0,
                [&](net::http_request &&, testing::connection_number connection) {
                    net::http_response response;
                    response.status = 200;
                    response.body.assign(20'000, 'x');
                    // The second part comes after a minute where the response stops.
                    const auto pause = each == course::Stops ? 60s : 100ms;
                    server->answerInPieces(connection, response, 1'000, pause);
                },
                [](testing::connection_number) {});
        CHECK_FALSE(server->start());
        net::http_client client(context);
        net::http_request request;
        request.method = "GET";
        request.target = "/";
        std::optional<net::response_transfer> transfer;
        int parts = 0;
        const core::time_point startedAt = net::currentTime();
        if (each != course::WithoutTransfer)
            transfer.emplace(startedAt + (each == course::TooLong ? 1s : 10s), [&] { ++parts; });
        std::optional<net::http_exchange> outcome;
        client.call(
                server->address(), request, startedAt + 500ms,
                [&](net::http_exchange &&result) { outcome = std::move(result); }, transfer);
        while (!outcome)
            context.run_one();
        const core::duration taken = net::currentTime() - startedAt;
        const bool isComplete = each == course::Complete;
        CHECK_EQUAL(isComplete, !outcome->error);
        CHECK_EQUAL(isComplete ? 20'000U : 0U, outcome->response.body.size());
        CHECK_TRUE(parts > 1 || each == course::WithoutTransfer || each == course::Stops);
        CHECK_TRUE(taken < 4s);
        client.closeIdle();
    }
}

TEST_GROUP(endpoint){};

// Guards against an invalid address in the settings that is only detected at the first connect.
TEST(endpoint, acceptsNumericAddressesOnly)
{
    net::endpoint value;
    CHECK_FALSE(net::parseEndpoint("127.0.0.1:80", value));
    CHECK_EQUAL(std::string("127.0.0.1:80"), net::toString(value));
    CHECK_FALSE(net::parseEndpoint("[::1]:8080", value));
    CHECK_EQUAL(std::string("[::1]:8080"), net::toString(value));
    for (const char *wrong : { "", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                               "::1:80", "1.2.3.4:8x" })
        CHECK_TRUE(static_cast<bool>(net::parseEndpoint(wrong, value)));
}
