/// @file
/// @brief Tests of the TCP links between daemons over loopback, and of pending requests.

#include <fuchsiagw/net/pending_requests.hpp>
#include <fuchsiagw/net/tcp_link.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using net::endpoint;
using net::link_id;
using net::tcp_links;

namespace {

/// One daemon's end of the links; records the events that its handlers receive.
struct link_peer
{
    std::vector<link_id> opened;
    std::vector<std::string> frames;
    std::map<link_id, net::link_closure> closures;
    bool trustsPeers = true;
    bool echoesFrames = false;
    tcp_links links;

    explicit link_peer(boost::asio::io_context &context, const net::tcp_settings &settings = {})
        : links(context, settings,
                { [this](link_id link, const endpoint &, bool) {
                     opened.push_back(link);
                     if (trustsPeers)
                         links.trust(link);
                 },
                  [this](link_id link, std::string_view frame) {
                      frames.emplace_back(frame);
                      if (echoesFrames && !links.send(link, 0, frame))
                          echoesFrames = false;
                  },
                  [this](link_id link, const net::link_closure &end) {
                      CHECK_TRUE(closures.emplace(link, end).second);
                  } })
    { }
};

} // namespace

TEST_GROUP(tcp_link)
{
    boost::asio::io_context context;
    const endpoint loopback{ boost::asio::ip::make_address("127.0.0.1"), 0 };
    net::tcp_settings shortTimeouts;
    bool isNew = false;

    void setup() override
    {
        shortTimeouts.heartbeatInterval = 50ms;
        shortTimeouts.heartbeatTimeout = 300ms;
    }

    /// Runs the context until the condition holds, for at most 20 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(100ms);
        }
        return condition();
    }
};

// Guards against frames that are truncated, merged or reordered, and against a second connection to
// the same peer.
TEST(tcp_link, framesArriveWholeAndInOrder)
{
    link_peer server(context);
    link_peer client(context);
    server.echoesFrames = true;
    CHECK_FALSE(server.links.listen(loopback));
    const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
    CHECK_TRUE(isNew);
    std::vector<std::string> sent;
    for (const std::size_t size : { 1UL, 3UL, 70'000UL, wire::maxFrameBytes, 2UL }) {
        sent.emplace_back(size, static_cast<char>('a' + sent.size()));
        LONGS_EQUAL(link, client.links.findOrOpenLink(server.links.local(), isNew));
        CHECK_FALSE(isNew);
        CHECK_TRUE(client.links.send(link, 0, sent.back()));
    }
    CHECK_FALSE(client.links.send(link, 0, std::string(wire::maxFrameBytes + 1, 'x')));
    CHECK_TRUE(runUntil([&] { return client.frames.size() == sent.size(); }));
    CHECK_TRUE(client.frames == sent);
    CHECK_TRUE(server.frames == sent);
    LONGS_EQUAL(1, server.opened.size());
}

// Guards against a sender that waits forever for a peer which accepts the connection and then sends
// nothing.
TEST(tcp_link, silentPeerIsClosedInTime)
{
    tcp::acceptor silent(context, tcp::endpoint(loopback.address, 0));
    link_peer client(context, shortTimeouts);
    const link_id link = client.links.findOrOpenLink(
            { loopback.address, silent.local_endpoint().port() }, isNew);
    CHECK_TRUE(client.links.send(link, 5, "request"));
    CHECK_TRUE(runUntil([&] { return !client.opened.empty(); }));
    const auto openedAt = std::chrono::steady_clock::now();
    CHECK_TRUE(runUntil([&] { return client.closures.contains(link); }));
    CHECK_TRUE(std::chrono::steady_clock::now() - openedAt >= 250ms);
    CHECK_TRUE(client.closures[link].cause == std::errc::timed_out);
    // The kernel accepted the frame, so it may have arrived.
    LONGS_EQUAL(0, client.closures[link].unsentFrames.size());
}

// Guards against closing a link whose ends are both alive but have no frames to send.
TEST(tcp_link, heartbeatsKeepAnActiveLinkOpen)
{
    shortTimeouts.heartbeatInterval = 15ms; // Heartbeats are checked only every 50 ms.
    shortTimeouts.heartbeatTimeout = 1s;
    link_peer server(context, shortTimeouts);
    link_peer client(context, shortTimeouts);
    CHECK_FALSE(server.links.listen(loopback));
    const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
    CHECK_TRUE(client.links.send(link, 0, "one"));
    // At one heartbeat every 50 ms, 30 heartbeats take longer than the heartbeat timeout.
    CHECK_TRUE(runUntil([&] {
        return client.links.counters().bytesSent > 30 * 4
               && server.links.counters().bytesSent > 30 * 4;
    }));
    CHECK_TRUE(client.closures.empty() && server.closures.empty());
    CHECK_TRUE(client.links.counters().heartbeatBytes > 0);
    LONGS_EQUAL(1, server.frames.size());
}

// Guards against heartbeat traffic on unused links that are never closed.
TEST(tcp_link, idleLinkIsClosedByItsOpener)
{
    shortTimeouts.activePeriod = 1ms;
    shortTimeouts.idleTimeout = 200ms;
    link_peer server(context, shortTimeouts);
    link_peer client(context, shortTimeouts);
    CHECK_FALSE(server.links.listen(loopback));
    const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
    CHECK_TRUE(
            runUntil([&] { return client.closures.contains(link) && !server.closures.empty(); }));
    CHECK_TRUE(client.closures[link].cause == std::errc::operation_canceled);
    LONGS_EQUAL(0, client.links.size() + server.links.size());
}

// Guards against reporting a request as unsent that may have arrived, and against losing one
// without a report: a frame counts as unsent exactly if no byte of it was passed to the kernel.
TEST(tcp_link, unsentFramesAreReported)
{
    tcp::acceptor acceptor(context, tcp::endpoint(loopback.address, 0));
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    link_peer client(context, shortTimeouts);
    const link_id link = client.links.findOrOpenLink(
            { loopback.address, acceptor.local_endpoint().port() }, isNew);
    tcp::socket peer(context);
    acceptor.async_accept(peer, [](const boost::system::error_code &) {});
    // The peer never reads, so the kernel's socket buffers fill up.
    net::frame_tag accepted = 0;
    while (client.links.send(link, accepted + 1, std::string(wire::maxFrameBytes / 2, 'x')))
        ++accepted;
    CHECK_TRUE(accepted >= 8);
    CHECK_TRUE(runUntil([&] { return client.closures.contains(link); }));
    const std::vector<net::frame_tag> &unsentFrames = client.closures[link].unsentFrames;
    std::size_t readable = 0;
    std::string buffer(1'048'576, '\0');
    boost::system::error_code error;
    while (!error)
        readable += peer.read_some(boost::asio::buffer(buffer), error);
    const std::size_t frameSize = 4 + wire::maxFrameBytes / 2;
    const std::size_t arrived = (readable + frameSize - 1) / frameSize;
    CHECK_FALSE(unsentFrames.empty());
    CHECK_TRUE(accepted - unsentFrames.size() >= arrived);
    for (std::size_t i = 0; i < unsentFrames.size(); ++i)
        LONGS_EQUAL(accepted - unsentFrames.size() + 1 + i, unsentFrames[i]);
}

// Guards against a new connection attempt for every request to an instance that is down.
TEST(tcp_link, failedConnectIsReportedAndDelaysReconnect)
{
    tcp::acceptor closedAcceptor(context, tcp::endpoint(loopback.address, 0));
    const endpoint closedEndpoint{ loopback.address, closedAcceptor.local_endpoint().port() };
    closedAcceptor.close();
    link_peer client(context);
    const link_id link = client.links.findOrOpenLink(closedEndpoint, isNew);
    CHECK_TRUE(client.links.send(link, 7, "request"));
    CHECK_TRUE(runUntil([&] { return client.closures.contains(link); }));
    CHECK_TRUE((client.closures[link].unsentFrames == std::vector<net::frame_tag>{ 7 }));
    CHECK_TRUE(client.opened.empty());
    LONGS_EQUAL(0, client.links.findOrOpenLink(closedEndpoint, isNew));
    CHECK_FALSE(client.links.send(link, 8, "late"));
    link_id second = 0;
    CHECK_TRUE(runUntil([&] {
        if (second == 0)
            second = client.links.findOrOpenLink(closedEndpoint, isNew);
        return second != 0;
    }));
    CHECK_TRUE(isNew && second != link);
}

// Guards against unauthenticated peers that announce a large frame or stay connected without
// authenticating.
TEST(tcp_link, unauthenticatedLinksAreClosed)
{
    shortTimeouts.trustTimeout = 100ms;
    shortTimeouts.connectTimeout = 100ms;
    shortTimeouts.heartbeatTimeout = 10s;
    link_peer server(context, shortTimeouts);
    server.trustsPeers = false;
    CHECK_FALSE(server.links.listen(loopback));
    const tcp::endpoint to(loopback.address, server.links.local().port);
    tcp::socket oversizedSender(context);
    tcp::socket silentClient(context);
    oversizedSender.connect(to);
    silentClient.connect(to);
    boost::asio::write(oversizedSender, boost::asio::buffer(std::string("\x00\x00\x10\x01", 4)));
    CHECK_TRUE(runUntil([&] { return server.closures.size() == 2; }));
    CHECK_TRUE(server.closures[server.opened[0]].cause == core::error_kind::MessageTooLarge);
    CHECK_TRUE(server.closures[server.opened[1]].cause == core::error_kind::MessageForeign);
    CHECK_TRUE(server.frames.empty());
}

// Guards against unbounded memory for many connections or for a peer that reads slowly.
TEST(tcp_link, linksAndQueuesAreBounded)
{
    shortTimeouts.maxLinks = 1;
    shortTimeouts.maxQueuedBytes = 1000;
    link_peer server(context, shortTimeouts);
    CHECK_FALSE(server.links.listen(loopback));
    const tcp::endpoint to(loopback.address, server.links.local().port);
    tcp::socket first(context);
    tcp::socket second(context);
    first.connect(to);
    second.connect(to);
    CHECK_TRUE(runUntil([&] { return server.links.counters().refused == 1; }));
    LONGS_EQUAL(1, server.links.size());
    LONGS_EQUAL(0, server.links.findOrOpenLink(server.links.local(), isNew));
    CHECK_TRUE(server.links.send(server.opened[0], 0, std::string(900, 'x')));
    CHECK_FALSE(server.links.send(server.opened[0], 0, std::string(100, 'x')));
    CHECK_FALSE(server.links.send(server.opened[0], 0, ""));
}

// Guards against duplicate close reports and against handlers called after the destruction of the
// links.
TEST(tcp_link, closingIsReportedOnceAndDestructionCallsNoHandler)
{
    link_peer server(context);
    CHECK_FALSE(server.links.listen(loopback));
    {
        link_peer client(context);
        const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
        CHECK_TRUE(runUntil([&] { return !client.opened.empty(); }));
        client.links.close(link);
        client.links.close(link);
        CHECK_FALSE(client.links.send(link, 1, "late"));
        CHECK_TRUE(client.links.findOrOpenLink(server.links.local(), isNew) != link);
        CHECK_TRUE(isNew);
        CHECK_TRUE(runUntil([&] { return client.closures.contains(link); }));
    }
    CHECK_TRUE(runUntil([&] { return server.links.size() == 0; }));
    context.restart();
    context.poll();
}

TEST_GROUP(pending_requests)
{
    net::pending_requests<int> pending{ 3 };
    const core::time_point now{ 10s };
};

// Guards against matching an answer to another request, accepting a duplicate answer, or accepting
// one that arrives on another link.
TEST(pending_requests, answersAreMatchedByIdAndLink)
{
    CHECK_TRUE(pending.add({ 1, 1 }, 7, now + 1s, 11));
    CHECK_TRUE(pending.add({ 1, 2 }, 7, now + 2s, 12));
    CHECK_FALSE(pending.add({ 1, 2 }, 8, now, 13));
    CHECK_FALSE(pending.take({ 1, 1 }, 8).has_value());
    CHECK_FALSE(pending.take({ 1, 3 }, 7).has_value());
    LONGS_EQUAL(11, pending.take({ 1, 1 }, 7)->value);
    CHECK_FALSE(pending.take({ 1, 1 }, 7).has_value());
    CHECK_TRUE(pending.nextDeadline() == now + 2s);
}

// Guards against requests that stay pending forever after their link closed or their deadline
// passed, so that their callers get no answer.
TEST(pending_requests, closedLinksAndDeadlinesReleaseRequests)
{
    CHECK_TRUE(pending.add({ 1, 1 }, 7, now + 1s, 11));
    CHECK_TRUE(pending.add({ 1, 2 }, 8, now + 1s, 12));
    CHECK_TRUE(pending.add({ 1, 3 }, 7, now + 3s, 13));
    CHECK_FALSE(pending.add({ 1, 4 }, 7, now, 14));
    LONGS_EQUAL(0, pending.takeExpired(now).size());
    LONGS_EQUAL(2, pending.takeByLink(7).size());
    const auto expired = pending.takeExpired(now + 1s);
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(12, expired[0].value);
    LONGS_EQUAL(0, pending.size());
    CHECK_TRUE(pending.nextDeadline() == core::noDeadline);
}
