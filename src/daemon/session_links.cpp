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

proxy::upstream_command withoutTerms(proxy::upstream_command command)
{
    command.borrow.reset();
    return command;
}

} // namespace

void session_gateway::onUpstreamReply(proxy::link_id id, proxy::reply &&received)
{
    if (received.rows.size() == 1)
        received.status = adapter::decodeStatus(received.rows.front());
    const core::time_point now = net::currentBootTime();
    const bool handled = runGuarded(
            "answer", [&] { proxy::onMemberAnswer(engine_, id, std::move(received), now); });
    if (!handled) {
        perform(proxy::close_link{ id, false });
        proxy::onLinkClosed(engine_, id, now);
    }
    perform();
}

void session_gateway::onReplyFault(const std::string &member, proxy::reply_fault fault)
{
    ++replyFaults_.at(static_cast<std::size_t>(fault));
    proxy::decision_note note;
    note.kind = proxy::note_kind::ReplyRejected;
    note.member = member;
    note.reason = toString(fault);
    log_.write(note, net::currentBootTime());
}

void session_gateway::perform(const proxy::open_link &action)
{
    net::endpoint peer;
    const auto relay = peerAddresses_.find(action.relay);
    const bool isRelayed = relay != peerAddresses_.end();
    const proxy::link_id id = action.link;
    const auto onClosed = [this, id] {
        upstreams_.erase(id);
        proxy::onLinkClosed(engine_, id, net::currentBootTime());
        perform();
    };
    const auto onRecalled = [this, id] {
        upstreams_.erase(id);
        proxy::onLinkRecalled(engine_, id, net::currentBootTime());
        perform();
    };
    auto entry = std::make_unique<upstream_connection>();
    entry->connection = member_connection::create(
            isRelayed ? relayConnectionTo(action.relay, relay->second)
                      : net::line_connection::create(context_, adapter::maxInternalMessageBytes),
            { [this, id](proxy::reply &&received, std::string_view) {
                 onUpstreamReply(id, std::move(received));
             },
              onClosed,
              [this, id](proxy::reply_fault fault) {
                  const auto link = engine_.links.find(id);
                  onReplyFault(link == engine_.links.end() ? std::string() : link->second.member,
                               fault);
              },
              isRelayed ? std::function<void()>(onRecalled) : nullptr });
    const auto connection = entry->connection;
    entry->isRelayed = isRelayed;
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
        connection = net::line_connection::create(context_, adapter::maxInternalMessageBytes);
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
    const auto spare = net::line_connection::create(context_, adapter::maxInternalMessageBytes);
    const auto removeSpare = [this, node, raw = spare.get()] {
        std::erase_if(spareConnections_[node],
                      [raw](const auto &each) { return each.get() == raw; });
    };
    // The relay sends nothing but the notice of a close.
    const auto onLine = [removeSpare, raw = spare.get()](std::string_view) {
        raw->close();
        removeSpare();
    };
    spare->setHandlers(onLine, removeSpare);
    spare->connect(tcp::endpoint(peer.address, peer.port), net::keepalive_profile::Short);
    spareConnections_[node].push_back(spare);
}

void session_gateway::perform(const proxy::send_to_member &action)
{
    const auto found = upstreams_.find(action.link);
    if (found == upstreams_.end())
        return;
    const auto connection = found->second->connection;
    std::string text;
    std::vector<proxy::reply_shape> shapes;
    for (const proxy::upstream_command &each : action.commands) {
        // A member knows no terms; the relay's address may have been unknown.
        const bool isForRelay = !each.borrow || found->second->isRelayed;
        const std::string message = adapter::encodeCommand(isForRelay ? each : withoutTerms(each));
        const std::string_view line(message.data(), message.size() - adapter::lineEnd().size());
        shapes.push_back(adapter::replyShapeOf(line).value());
        text += message;
    }
    connection->send(std::move(text), shapes);
}

void session_gateway::perform(const proxy::close_link &action)
{
    const auto found = upstreams_.find(action.link);
    if (found == upstreams_.end())
        return;
    const auto connection = found->second->connection;
    if (action.graceful)
        connection->closeGracefully();
    else
        connection->close();
    upstreams_.erase(found);
}

} // namespace fuchsiagw::daemon
