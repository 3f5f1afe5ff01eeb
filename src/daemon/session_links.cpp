/// @file
/// @brief Connections of the session gateway to members, directly or through other daemons' relays.

#include <fuchsiagw/daemon/session_gateway.hpp>

#include <fuchsiagw/detail/session_connections.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <boost/asio/post.hpp>

namespace fuchsiagw::daemon {

namespace {

using boost::asio::ip::tcp;

/// Spare connections are opened in advance, which saves a round trip when a session needs one.
constexpr std::size_t maxSparesPerRelay = 2;

} // namespace

void session_gateway::onUpstreamLine(proxy::link_id id, std::string_view line)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    upstream_connection &link = *found->second;
    auto answer = link.decoder.feed(line, !link.isOpen);
    if (link.decoder.failed()) {
        link.connection->close();
        upstreams_.erase(found);
        proxy::onLinkClosed(engine_, id, net::currentBootTime());
        perform();
        return;
    }
    if (!answer)
        return;
    link.isOpen = true;
    if (answer->rows.size() == 1)
        answer->status = adapter::decodeStatus(answer->rows.front());
    const core::time_point now = net::currentBootTime();
    const bool handled = runGuarded(
            "answer", [&] { proxy::onMemberAnswer(engine_, id, std::move(*answer), now); });
    if (!handled) {
        perform(proxy::close_link{ id, false });
        proxy::onLinkClosed(engine_, id, now);
    }
    perform();
}

void session_gateway::perform(const proxy::open_link &action)
{
    net::endpoint peer;
    auto entry = std::make_unique<upstream_connection>();
    const auto relay = peerAddresses_.find(action.relay);
    const bool isRelayed = relay != peerAddresses_.end();
    entry->connection = isRelayed
                                ? relayConnectionTo(action.relay, relay->second)
                                : net::line_connection::create(context_, adapter::maxMessageBytes);
    const auto connection = entry->connection;
    const proxy::link_id id = action.link;
    const auto onClosed = [this, id] {
        upstreams_.erase(id);
        proxy::onLinkClosed(engine_, id, net::currentBootTime());
        perform();
    };
    connection->setHandlers([this, id](std::string_view line) { onUpstreamLine(id, line); },
                            onClosed);
    upstreams_.emplace(id, std::move(entry));
    if (isRelayed)
        return;
    if (net::parseEndpoint(action.address, peer)) {
        boost::asio::post(context_, onClosed);
        return;
    }
    connection->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
}

std::shared_ptr<net::line_connection> session_gateway::relayConnectionTo(const std::string &node,
                                                                         const net::endpoint &peer)
{
    auto &available = spareConnections_[node];
    std::shared_ptr<net::line_connection> connection;
    if (available.empty()) {
        connection = net::line_connection::create(context_, adapter::maxMessageBytes);
        connection->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
    } else {
        connection = std::move(available.back());
        available.pop_back();
    }
    if (available.size() < maxSparesPerRelay)
        addSpareConnection(node, peer);
    return connection;
}

void session_gateway::addSpareConnection(const std::string &node, const net::endpoint &peer)
{
    const auto spare = net::line_connection::create(context_, adapter::maxMessageBytes);
    const auto removeSpare = [this, node, raw = spare.get()] {
        std::erase_if(spareConnections_[node],
                      [raw](const auto &each) { return each.get() == raw; });
    };
    spare->setHandlers([](std::string_view) {}, removeSpare);
    spare->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
    spareConnections_[node].push_back(spare);
}

void session_gateway::perform(const proxy::send_to_member &action)
{
    const auto found = upstreams_.find(action.link);
    if (found == upstreams_.end())
        return;
    std::string text;
    for (const proxy::upstream_command &each : action.commands)
        text += adapter::encodeCommand(each);
    found->second->connection->send(std::move(text));
}

void session_gateway::perform(const proxy::close_link &action)
{
    const auto found = upstreams_.find(action.link);
    if (found == upstreams_.end())
        return;
    const auto connection = found->second->connection;
    if (action.graceful) {
        connection->send(std::string(adapter::terminateMessage()));
        connection->closeGracefully();
    } else {
        connection->close();
    }
    upstreams_.erase(found);
}

} // namespace fuchsiagw::daemon
