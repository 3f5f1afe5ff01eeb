/// @file
/// @brief Datagrams and links between daemons.

#include <utility>

#include <fuchsiagw/daemon/peer_duty.hpp>

#include <fuchsiagw/net/clock.hpp>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

using wire::peer_kind;
using wire::peer_transport;

wire::peer_keys makeKeys(const settings &values)
{
    wire::peer_keys result;
    result.keys[1] = wire::derivePeerKey(
            { reinterpret_cast<const char *>(values.clusterKey.data()), values.clusterKey.size() });
    result.current = 1;
    return result;
}

} // namespace

peer_duty::peer_duty(boost::asio::io_context &context, const settings &values,
                     core::incarnation_id self, event_sink sink)
    : keys_(makeKeys(values))
    , codec_(self, keys_)
    , sender_{ values.instance, values.zone, net::toString(values.peerAddress),
               core::sender_state::Live }
    , listenAt_(values.peerAddress)
    , sink_(std::move(sink))
    , datagrams_(context,
                 [this](std::string_view message, const net::endpoint &) { onDatagram(message); })
    , links_(context, {},
             net::tcp_handlers{
                     [this](net::link_id link, const net::endpoint &, bool isIncoming) {
                         states_[link].isOpener = !isIncoming;
                     },
                     [this](net::link_id link, std::string_view frame) { onFrame(link, frame); },
                     [this](net::link_id link, const net::link_closure &end) {
                         onClose(link, end);
                     } })
{ }

std::error_code peer_duty::start()
{
    if (const std::error_code error = datagrams_.open(listenAt_))
        return error;
    return links_.listen(listenAt_);
}

void peer_duty::setIncarnation(core::incarnation_id self)
{
    codec_ = wire::peer_codec(self, keys_);
}

peer_traffic peer_duty::traffic() const
{
    const net::udp_counters &counters = datagrams_.counters();
    return { counters.bytesSent, counters.bytesReceived, dropped_ };
}

void peer_duty::perform(peer_order &order)
{
    if (const auto *sender = std::get_if<set_sender>(&order)) {
        sender_ = sender->sender;
        return;
    }
    std::visit(
            [this](const auto &each) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(each)>, set_sender>)
                    perform(each);
            },
            order);
}

void peer_duty::perform(const send_datagram &order)
{
    net::endpoint address;
    std::string message;
    const auto seal = [&](const auto &body) {
        return codec_.seal(kindOf(order.body), order.receiver, body, message);
    };
    if (net::parseEndpoint(order.address, address) || std::visit(seal, order.body))
        return;
    datagrams_.send(address, message);
}

void peer_duty::onDatagram(std::string_view message)
{
    const core::time_point now = net::currentTime();
    wire::opened_message opened;
    if (codec_.open(message, peer_transport::Datagram, now, opened)) {
        ++dropped_;
        return;
    }
    auto body = readPeerBody(opened.header.kind, opened.body);
    if (!body) {
        ++dropped_;
        return;
    }
    const core::incarnation_id from = opened.header.sender;
    if (const auto *each = std::get_if<digest>(&*body))
        sink_(peer_heard{ from, each->sender });
    if (const auto *each = std::get_if<wire::probe_message>(&*body))
        sink_(peer_heard{ from, each->sender });
    sink_(peer_message{ from, std::move(*body), now });
}

net::link_id peer_duty::findOrOpenLink(const std::string &address)
{
    net::endpoint peer;
    bool isNew = false;
    if (net::parseEndpoint(address, peer))
        return 0;
    const net::link_id link = links_.findOrOpenLink(peer, isNew);
    if (link != 0 && isNew) {
        states_[link].isOpener = true;
        sayHello(link);
    }
    return link;
}

template <typename type>
bool peer_duty::sendFrame(net::link_id link, net::frame_tag tag, wire::peer_kind kind,
                          core::incarnation_id receiver, const type &body)
{
    std::string frame;
    return !codec_.seal(kind, receiver, body, frame) && links_.send(link, tag, frame);
}

void peer_duty::sayHello(net::link_id link)
{
    static_cast<void>(sendFrame(link, 0, peer_kind::Hello, 0, sender_));
}

void peer_duty::perform(const send_forward &order)
{
    const net::link_id link = findOrOpenLink(order.address);
    const auto message = wire::toForward(order.request, net::currentTime());
    if (link == 0
        || !sendFrame(link, order.handle, peer_kind::ForwardRequest, order.receiver, message)) {
        sink_(forward_lost{ order.handle, false });
        return;
    }
    states_[link].forwards.insert(order.handle);
    forwards_[order.handle] = { link, order.request.id };
    handles_[order.request.id] = order.handle;
}

void peer_duty::perform(const send_forward_answer &order)
{
    const auto state = states_.find(order.link);
    if (state == states_.end())
        return;
    std::vector<wire::forward_answer> parts;
    core::statement_answer answer = order.answer;
    answer.id = order.request;
    if (wire::splitAnswer(answer, parts)) {
        // The statement ran, but its rows do not fit into the bound of a message.
        core::statement_answer refused;
        refused.id = order.request;
        refused.error = core::error_kind::OutcomeUnknown;
        static_cast<void>(wire::splitAnswer(refused, parts));
    }
    for (const wire::forward_answer &each : parts) {
        if (!sendFrame(order.link, 0, peer_kind::ForwardAnswer, state->second.incarnation, each)) {
            links_.close(order.link);
            return;
        }
    }
}

void peer_duty::perform(const fetch_configuration &order)
{
    const net::link_id link = findOrOpenLink(order.address);
    const wire::configuration_request message{ order.version };
    if (link == 0 || !sendFrame(link, 0, peer_kind::ConfigurationRequest, 0, message)) {
        sink_(configuration_came{ order.peer, order.version, {} });
        return;
    }
    link_state &state = states_[link];
    state.configurationPeer = order.peer;
    state.configurationAsked = order.version;
    state.configuration = {};
}

void peer_duty::perform(const send_configuration &order)
{
    const auto state = states_.find(order.link);
    std::vector<wire::configuration_body> parts;
    if (state == states_.end() || wire::splitConfiguration(order.version, 0, order.text, parts))
        return;
    for (const wire::configuration_body &each : parts)
        static_cast<void>(sendFrame(order.link, 0, peer_kind::ConfigurationBody,
                                    state->second.incarnation, each));
}

void peer_duty::onFrame(net::link_id link, std::string_view frame)
{
    wire::opened_message opened;
    if (codec_.open(frame, peer_transport::Stream, net::currentTime(), opened)) {
        ++dropped_;
        links_.close(link);
        return;
    }
    link_state &state = states_[link];
    const bool isHello = opened.header.kind == peer_kind::Hello;
    // Before its hello a peer is nobody, and afterwards the link belongs to one incarnation.
    if (!isHello && state.incarnation != opened.header.sender) {
        ++dropped_;
        links_.close(link);
        return;
    }
    switch (opened.header.kind) {
    case peer_kind::Hello:
        onHello(link, opened.header.sender, opened.body);
        return;
    case peer_kind::ForwardRequest:
        onForward(link, opened.body);
        return;
    case peer_kind::ForwardAnswer:
        onForwardPart(link, opened.body);
        return;
    case peer_kind::ConfigurationRequest:
        onConfigurationRequest(link, opened.body);
        return;
    case peer_kind::ConfigurationBody:
        onConfigurationPart(link, opened.body);
        return;
    default:
        ++dropped_;
    }
}

void peer_duty::onHello(net::link_id link, core::incarnation_id incarnation, std::string_view body)
{
    wire::sender_info sender;
    link_state &state = states_[link];
    if (state.incarnation != 0 || wire::readBody(body, sender)) {
        ++dropped_;
        links_.close(link);
        return;
    }
    state.incarnation = incarnation;
    state.instance = sender.instance;
    links_.trust(link);
    if (!state.isOpener)
        sayHello(link);
    sink_(peer_heard{ incarnation, sender });
}

void peer_duty::onForward(net::link_id link, std::string_view body)
{
    wire::forward_request message;
    if (wire::readBody(body, message)) {
        ++dropped_;
        links_.close(link);
        return;
    }
    sink_(peer_forward{ link, states_[link].instance,
                        wire::toRequest(std::move(message), net::currentTime()) });
}

void peer_duty::onForwardPart(net::link_id link, std::string_view body)
{
    wire::forward_answer message;
    const bool isDamaged = static_cast<bool>(wire::readBody(body, message));
    const auto handle = isDamaged ? handles_.end() : handles_.find(message.id);
    if (isDamaged || handle == handles_.end())
        return;
    link_state &state = states_[link];
    wire::part_joiner &joiner = state.answers[message.id];
    if (joiner.add(message.part, message.parts, message.content)) {
        links_.close(link);
        return;
    }
    if (!joiner.isComplete())
        return;
    forward_answered event;
    event.handle = handle->second;
    const bool isBroken =
            static_cast<bool>(wire::readAnswer(message.id, joiner.content, event.answer));
    state.answers.erase(message.id);
    state.forwards.erase(event.handle);
    forwards_.erase(event.handle);
    handles_.erase(handle);
    if (isBroken)
        sink_(forward_lost{ event.handle, true });
    else
        sink_(std::move(event));
}

void peer_duty::onConfigurationRequest(net::link_id link, std::string_view body)
{
    wire::configuration_request message;
    if (!wire::readBody(body, message))
        sink_(configuration_wanted{ link, message.version });
}

void peer_duty::onConfigurationPart(net::link_id link, std::string_view body)
{
    wire::configuration_body message;
    link_state &state = states_[link];
    if (wire::readBody(body, message) || state.configurationPeer.empty()
        || state.configuration.add(message.part, message.parts, message.content)
        || !state.configuration.isComplete())
        return;
    sink_(configuration_came{ std::exchange(state.configurationPeer, {}), state.configurationAsked,
                              std::move(state.configuration.content) });
    state.configuration = {};
}

void peer_duty::onClose(net::link_id link, const net::link_closure &end)
{
    const auto entry = states_.find(link);
    if (entry == states_.end())
        return;
    const link_state state = std::move(entry->second);
    states_.erase(entry);
    if (!state.configurationPeer.empty())
        sink_(configuration_came{ state.configurationPeer, state.configurationAsked, {} });
    for (const std::uint64_t handle : state.forwards) {
        const auto forward = forwards_.find(handle);
        if (forward == forwards_.end() || forward->second.link != link)
            continue;
        handles_.erase(forward->second.request);
        forwards_.erase(forward);
        const auto &unsentFrames = end.unsentFrames;
        const bool wasWritten =
                std::find(unsentFrames.begin(), unsentFrames.end(), handle) == unsentFrames.end();
        sink_(forward_lost{ handle, wasWritten });
    }
}

} // namespace fuchsiagw::daemon
