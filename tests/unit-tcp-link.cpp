/// @file
/// @brief Tests of the links between daemons over loopback.

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

/// One daemon's side; it remembers what happened.
struct side
{
    std::vector<link_id> opened;
    std::vector<std::string> frames;
    std::map<link_id, net::link_closure> ended;
    bool shallTrust = true;
    bool shallEcho = false;
    tcp_links links;

    explicit side(boost::asio::io_context &context, const net::tcp_settings &settings = {})
        : links(context, settings,
                { [this](link_id link, const endpoint &, bool) {
                     opened.push_back(link);
                     if (shallTrust)
                         links.trust(link);
                 },
                  [this](link_id link, std::string_view frame) {
                      frames.emplace_back(frame);
                      if (shallEcho && !links.send(link, 0, frame))
                          shallEcho = false;
                  },
                  [this](link_id link, const net::link_closure &end) {
                      CHECK_TRUE(ended.emplace(link, end).second);
                  } })
    { }
};

} // namespace

TEST_GROUP(tcp_link)
{
    boost::asio::io_context context;
    const endpoint loopback{ boost::asio::ip::make_address("127.0.0.1"), 0 };
    net::tcp_settings quick;
    bool isNew = false;

    void setup() override
    {
        quick.heartbeat = 50ms;
        quick.silence = 300ms;
    }

    /// Runs the context until the condition holds, at most 20 s.
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

// Guards against frames that are cut, joined or reordered, and against a second connection for the
// same peer.
TEST(tcp_link, framesArriveWholeAndInOrder)
{
    side server(context);
    side client(context);
    server.shallEcho = true;
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

// Guards against a sender that waits for ever for a peer which accepts and then says nothing.
TEST(tcp_link, silentPeerIsClosedInTime)
{
    tcp::acceptor silent(context, tcp::endpoint(loopback.address, 0));
    side client(context, quick);
    const link_id link = client.links.findOrOpenLink(
            { loopback.address, silent.local_endpoint().port() }, isNew);
    CHECK_TRUE(client.links.send(link, 5, "request"));
    CHECK_TRUE(runUntil([&] { return !client.opened.empty(); }));
    const auto openedAt = std::chrono::steady_clock::now();
    CHECK_TRUE(runUntil([&] { return client.ended.contains(link); }));
    CHECK_TRUE(std::chrono::steady_clock::now() - openedAt >= 250ms);
    CHECK_TRUE(client.ended[link].cause == std::errc::timed_out);
    // The frame was taken by the system, so it may have arrived.
    LONGS_EQUAL(0, client.ended[link].unsentFrames.size());
}

// Guards against links that close although both ends are alive but have nothing to say.
TEST(tcp_link, heartbeatsKeepALinkInUse)
{
    quick.heartbeat = 15ms; // The check comes every 50 ms.
    quick.silence = 1s;
    side server(context, quick);
    side client(context, quick);
    CHECK_FALSE(server.links.listen(loopback));
    const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
    CHECK_TRUE(client.links.send(link, 0, "one"));
    // At one heartbeat every 50 ms this takes longer than the allowed silence.
    CHECK_TRUE(runUntil([&] {
        return client.links.counters().bytesSent > 30 * 4
               && server.links.counters().bytesSent > 30 * 4;
    }));
    CHECK_TRUE(client.ended.empty() && server.ended.empty());
    CHECK_TRUE(client.links.counters().heartbeatBytes > 0);
    LONGS_EQUAL(1, server.frames.size());
}

// Guards against heartbeats that cost traffic on links which nobody uses.
TEST(tcp_link, idleLinkIsClosedByItsOpener)
{
    quick.useLasts = 1ms;
    quick.idleLimit = 200ms;
    side server(context, quick);
    side client(context, quick);
    CHECK_FALSE(server.links.listen(loopback));
    const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
    CHECK_TRUE(runUntil([&] { return client.ended.contains(link) && !server.ended.empty(); }));
    CHECK_TRUE(client.ended[link].cause == std::errc::operation_canceled);
    LONGS_EQUAL(0, client.links.size() + server.links.size());
}

// Guards against a false claim that a request was not sent, and against one that is lost without a
// word: a frame counts as unsentFrames only if no byte of it was handed to the system.
TEST(tcp_link, unwrittenFramesAreReported)
{
    tcp::acceptor acceptor(context, tcp::endpoint(loopback.address, 0));
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    side client(context, quick);
    const link_id link = client.links.findOrOpenLink(
            { loopback.address, acceptor.local_endpoint().port() }, isNew);
    tcp::socket peer(context);
    acceptor.async_accept(peer, [](const boost::system::error_code &) {});
    // The peer never reads, so the system's buffers fill up.
    net::frame_tag accepted = 0;
    while (client.links.send(link, accepted + 1, std::string(wire::maxFrameBytes / 2, 'x')))
        ++accepted;
    CHECK_TRUE(accepted >= 8);
    CHECK_TRUE(runUntil([&] { return client.ended.contains(link); }));
    const std::vector<net::frame_tag> &unsentFrames = client.ended[link].unsentFrames;
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

// Guards against requests to a dead instance that each start a connection of their own.
TEST(tcp_link, failedConnectReportsAndPauses)
{
    tcp::acceptor gone(context, tcp::endpoint(loopback.address, 0));
    const endpoint nobody{ loopback.address, gone.local_endpoint().port() };
    gone.close();
    side client(context);
    const link_id link = client.links.findOrOpenLink(nobody, isNew);
    CHECK_TRUE(client.links.send(link, 7, "request"));
    CHECK_TRUE(runUntil([&] { return client.ended.contains(link); }));
    CHECK_TRUE((client.ended[link].unsentFrames == std::vector<net::frame_tag>{ 7 }));
    CHECK_TRUE(client.opened.empty());
    LONGS_EQUAL(0, client.links.findOrOpenLink(nobody, isNew));
    CHECK_FALSE(client.links.send(link, 8, "late"));
    link_id second = 0;
    CHECK_TRUE(runUntil([&] {
        if (second == 0)
            second = client.links.findOrOpenLink(nobody, isNew);
        return second != 0;
    }));
    CHECK_TRUE(isNew && second != link);
}

// Guards against strangers that claim a large frame, send garbage or just stay connected.
TEST(tcp_link, strangersAreClosed)
{
    quick.trustLimit = 100ms;
    quick.connectLimit = 100ms;
    quick.silence = 10s;
    side server(context, quick);
    server.shallTrust = false;
    CHECK_FALSE(server.links.listen(loopback));
    const tcp::endpoint to(loopback.address, server.links.local().port);
    tcp::socket claims(context);
    tcp::socket waits(context);
    claims.connect(to);
    waits.connect(to);
    boost::asio::write(claims, boost::asio::buffer(std::string("\x00\x00\x10\x01", 4)));
    CHECK_TRUE(runUntil([&] { return server.ended.size() == 2; }));
    CHECK_TRUE(server.ended[server.opened[0]].cause == core::error_kind::MessageTooLarge);
    CHECK_TRUE(server.ended[server.opened[1]].cause == core::error_kind::MessageForeign);
    CHECK_TRUE(server.frames.empty());
}

// Guards against memory that grows with connections and with a peer that reads slowly.
TEST(tcp_link, linksAndQueuesAreBounded)
{
    quick.maxLinks = 1;
    quick.maxQueuedBytes = 1000;
    side server(context, quick);
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

// Guards against handlers that run after a link was closed or everything is gone.
TEST(tcp_link, closingIsReportedOnceAndDestructionIsSilent)
{
    side server(context);
    CHECK_FALSE(server.links.listen(loopback));
    {
        side client(context);
        const link_id link = client.links.findOrOpenLink(server.links.local(), isNew);
        CHECK_TRUE(runUntil([&] { return !client.opened.empty(); }));
        client.links.close(link);
        client.links.close(link);
        CHECK_FALSE(client.links.send(link, 1, "late"));
        CHECK_TRUE(client.links.findOrOpenLink(server.links.local(), isNew) != link);
        CHECK_TRUE(isNew);
        CHECK_TRUE(runUntil([&] { return client.ended.contains(link); }));
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

// Guards against an answer that reaches another request, comes twice or on another link (M8).
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

// Guards against requests that are never answered to their callers.
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
