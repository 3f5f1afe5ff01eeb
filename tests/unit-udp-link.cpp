/// @file
/// @brief Tests of the UDP socket over loopback.

#include <fuchsiagw/net/udp_link.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using net::endpoint;
using net::udp_link;

TEST_GROUP(udp_link)
{
    boost::asio::io_context context;
    const endpoint loopback{ boost::asio::ip::make_address("127.0.0.1"), 0 };

    /// Runs the context until the condition holds, for at most 10 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(100));
        }
        return condition();
    }
};

// Guards against truncated messages and wrong sender addresses.
TEST(udp_link, messagesArriveWithTheirSender)
{
    std::vector<std::string> got;
    endpoint from;
    udp_link receiver(context, [&](std::string_view message, const endpoint &sender) {
        got.emplace_back(message);
        from = sender;
    });
    udp_link sender(context, [](std::string_view, const endpoint &) {});
    CHECK_FALSE(receiver.open(loopback));
    CHECK_FALSE(sender.open(loopback));
    const std::string largest(wire::maxDatagramBytes, 'x');
    CHECK_TRUE(sender.send(receiver.local(), largest));
    CHECK_TRUE(sender.send(receiver.local(), "a"));
    CHECK_TRUE(runUntil([&] { return got.size() == 2; }));
    CHECK_TRUE((got == std::vector<std::string>{ largest, "a" }));
    CHECK_TRUE(from == sender.local());
    LONGS_EQUAL(sender.counters().bytesSent, receiver.counters().bytesReceived);
    LONGS_EQUAL(wire::maxDatagramBytes + 1 + 2 * net::datagramOverheadBytes,
                sender.counters().bytesSent);
}

// Guards against sending or delivering datagrams that exceed the size limit.
TEST(udp_link, largeDatagramsAreDroppedAndCounted)
{
    std::vector<std::string> got;
    udp_link link(context,
                  [&](std::string_view message, const endpoint &) { got.emplace_back(message); });
    CHECK_FALSE(link.open(loopback));
    const std::string tooLarge(wire::maxDatagramBytes + 1, 'x');
    CHECK_FALSE(link.send(link.local(), tooLarge));
    LONGS_EQUAL(1, link.counters().sendsDropped);
    boost::asio::ip::udp::socket raw(context, { loopback.address, 0 });
    const boost::asio::ip::udp::endpoint to(link.local().address, link.local().port);
    raw.send_to(boost::asio::buffer(tooLarge), to);
    raw.send_to(boost::asio::buffer(std::string(9000, 'y')), to);
    raw.send_to(boost::asio::buffer(std::string("ok")), to);
    CHECK_TRUE(runUntil([&] { return !got.empty(); }));
    STRCMP_EQUAL("ok", got.front().c_str());
    LONGS_EQUAL(2, link.counters().receivesDropped);
}

// Guards against a socket that stops receiving after an ICMP error: datagrams to a terminated peer
// make the next receive fail.
TEST(udp_link, unreachablePeersDoNotStopReceiving)
{
    bool arrived = false;
    udp_link link(context, [&](std::string_view, const endpoint &) { arrived = true; });
    CHECK_FALSE(link.open(loopback));
    boost::asio::ip::udp::socket closedSocket(context, { loopback.address, 0 });
    const endpoint closedEndpoint{ loopback.address, closedSocket.local_endpoint().port() };
    closedSocket.close();
    for (int i = 0; i < 20; ++i)
        link.send(closedEndpoint, "lost");
    udp_link other(context, [](std::string_view, const endpoint &) {});
    CHECK_FALSE(other.open(loopback));
    CHECK_TRUE(other.send(link.local(), "hello"));
    CHECK_TRUE(runUntil([&] { return arrived; }));
}

// Guards against calls of the receiver after the link was closed.
TEST(udp_link, closingInTheReceiverIsSafe)
{
    int calls = 0;
    udp_link *self = nullptr;
    udp_link link(context, [&](std::string_view, const endpoint &) {
        ++calls;
        self->close();
    });
    self = &link;
    CHECK_FALSE(link.open(loopback));
    CHECK_TRUE(link.open(loopback).value() != 0);
    CHECK_FALSE(link.send(loopback, "closed"));
    udp_link second(context, [&](std::string_view, const endpoint &) {
        ++calls;
        self->close();
    });
    self = &second;
    CHECK_FALSE(second.open(loopback));
    CHECK_TRUE(second.send(second.local(), "one"));
    CHECK_TRUE(second.send(second.local(), "two"));
    CHECK_TRUE(runUntil([&] { return calls == 1; }));
    context.restart();
    context.poll();
    LONGS_EQUAL(1, calls);
}
