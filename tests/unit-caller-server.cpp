/// @file
/// @brief Tests of the end of the callers' HTTP interface over loopback.

#include "run-until.hpp"

#include <fuchsiagw/daemon/caller_server.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <boost/asio/ip/tcp.hpp>
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

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

daemon::settings loopbackSettings()
{
    daemon::settings values;
    values.callerAddress = { boost::asio::ip::address_v4::loopback(), 0 };
    values.defaultDeadline = 5s;
    values.callerConnections = 10;
    return values;
}

wire::token_keys tokenKeys()
{
    wire::token_keys keys;
    keys.keys[1] = wire::deriveTokenKey("secret");
    keys.current = 1;
    return keys;
}

} // namespace

TEST_GROUP(caller_server)
{
    boost::asio::io_context context;
    daemon::settings values = loopbackSettings();
    std::vector<core::caller_request> accepted;
    daemon::caller_server server{ context, values, tokenKeys(), [this](auto &&request) {
                                     accepted.push_back(std::move(request));
                                     return true;
                                 } };
    std::optional<std::size_t> interrupted; ///< set once the server has closed

    void setup() override
    {
        CHECK_FALSE(server.start());
    }

    tcp::socket connect()
    {
        tcp::socket caller(context);
        caller.connect({ boost::asio::ip::address_v4::loopback(), server.port() });
        return caller;
    }

    static void sendBegin(tcp::socket & caller)
    {
        const std::string body = R"({"group":"g1"})";
        const std::string request = "POST /v1/transactions HTTP/1.1\r\nHost: a\r\n"
                                    "Authorization: Bearer 0123456789abcdef\r\nContent-Length: "
                                    + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(caller, boost::asio::buffer(request));
    }

    void closeServer(std::chrono::milliseconds limit)
    {
        server.close(net::currentTime() + limit,
                     [this](std::size_t count) { interrupted = count; });
    }

    /// @return all that comes until the server's end of the connection, which must not be a reset
    std::string receive(tcp::socket & caller)
    {
        std::string received;
        boost::system::error_code end;
        caller.non_blocking(true);
        const bool isEnded = testing::runUntil(context, [&] {
            std::array<char, 4096> buffer{};
            const std::size_t size = caller.read_some(boost::asio::buffer(buffer), end);
            received.append(buffer.data(), size);
            return end && end != boost::asio::error::would_block;
        });
        CHECK_TRUE(isEnded);
        CHECK_TRUE(end == boost::asio::error::eof);
        caller.close();
        return received;
    }
};

// Guards against an end that drops an accepted request, and against a request that is accepted when
// nothing waits for its answer any more.
TEST(caller_server, closeWaitsForAcceptedRequestsAndRefusesFurtherOnes)
{
    tcp::socket first = connect();
    sendBegin(first);
    CHECK_TRUE(testing::runUntil(context, [this] { return accepted.size() == 1; }));
    tcp::socket second = connect();
    context.run_for(20ms);
    server.drain();
    closeServer(3s);
    sendBegin(second);
    const std::string refusal = receive(second);
    CHECK_TRUE_TEXT(contains(refusal, "HTTP/1.1 503 "), refusal.c_str());
    CHECK_TRUE(contains(refusal, "\"draining\""));
    CHECK_TRUE(contains(refusal, "Connection: close"));
    CHECK_TRUE(contains(refusal, "Retry-After: 1"));
    CHECK_FALSE(interrupted.has_value());
    LONGS_EQUAL(1, accepted.size());
    core::caller_reply reply;
    reply.ticket = accepted[0].ticket;
    server.onReply(reply);
    const std::string answer = receive(first);
    CHECK_TRUE_TEXT(contains(answer, "HTTP/1.1 200 "), answer.c_str());
    CHECK_TRUE(contains(answer, "Connection: close"));
    CHECK_TRUE(testing::runUntil(context, [this] { return interrupted.has_value(); }));
    LONGS_EQUAL(0, *interrupted);
}

// Guards against an accepted request that gets no answer at the drain deadline.
TEST(caller_server, unansweredRequestsGetAnAnswerAtTheDeadline)
{
    tcp::socket caller = connect();
    sendBegin(caller);
    CHECK_TRUE(testing::runUntil(context, [this] { return accepted.size() == 1; }));
    server.drain();
    closeServer(50ms);
    const std::string answer = receive(caller);
    CHECK_TRUE_TEXT(contains(answer, "HTTP/1.1 504 "), answer.c_str());
    CHECK_TRUE(contains(answer, "\"outcome_unknown\""));
    CHECK_TRUE(contains(answer, "Connection: close"));
    CHECK_TRUE(testing::runUntil(context, [this] { return interrupted.has_value(); }));
    LONGS_EQUAL(1, *interrupted);
}
