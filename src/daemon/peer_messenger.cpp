/// @file
/// @brief Handling of datagrams and link frames between daemons.

#include <utility>

#include <fuchsiagw/daemon/peer_messenger.hpp>

#include <fuchsiagw/net/clock.hpp>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

using wire::peer_kind;
using wire::peer_transport;

wire::peer_keys makePeerKeys(const settings &values)
{
    wire::peer_keys result;
    result.keys[1] = wire::derivePeerKey(
            { reinterpret_cast<const char *>(values.clusterKey.data()), values.clusterKey.size() });
    result.current = 1;
    return result;
}

} // namespace

peer_messenger::peer_messenger(boost::asio::io_context &context, const settings &values,
                               core::incarnation_id self, event_sink sink)
    : keys_(makePeerKeys(values))
    , codec_(self, keys_)
    , sender_{ values.instance, values.zone, net::toString(values.peerAddress),
               core::sender_state::Live }
    , listenAddress_(values.peerAddress)
    , eventSink_(std::move(sink))
    , datagrams_(context,
                 [this](std::string_view message, const net::endpoint &) { onDatagram(message); })
    , links_(context, {},
             net::tcp_handlers{
                     [this](net::link_id link, const net::endpoint &, bool isIncoming) {
                         linkStates_[link].isOutgoing = !isIncoming;
                     },
                     [this](net::link_id link, std::string_view frame) { onFrame(link, frame); },
                     [this](net::link_id link, const net::link_closure &end) {
                         onClose(link, end);
                     } })
{ }

std::error_code peer_messenger::start()
{
    if (const std::error_code error = datagrams_.open(listenAddress_))
        return error;
    return links_.listen(listenAddress_);
}

void peer_messenger::setIncarnation(core::incarnation_id self)
{
    codec_ = wire::peer_codec(self, keys_);
}

peer_traffic peer_messenger::traffic() const
{
    const net::udp_counters &counters = datagrams_.counters();
    return { counters.bytesSent, counters.bytesReceived, droppedMessages_ };
}

void peer_messenger::perform(peer_command &command)
{
    if (const auto *sender = std::get_if<set_sender_info>(&command)) {
        sender_ = sender->sender;
        return;
    }
    std::visit(
            [this](const auto &each) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(each)>, set_sender_info>)
                    perform(each);
            },
            command);
}

void peer_messenger::perform(const send_datagram &command)
{
    net::endpoint address;
    std::string message;
    const auto seal = [&](const auto &body) {
        return codec_.seal(kindOf(command.body), command.receiver, body, message);
    };
    if (net::parseEndpoint(command.address, address) || std::visit(seal, command.body))
        return;
    datagrams_.send(address, message);
}

void peer_messenger::onDatagram(std::string_view message)
{
    const core::time_point now = net::currentTime();
    wire::opened_message opened;
    if (codec_.open(message, peer_transport::Datagram, now, opened)) {
        ++droppedMessages_;
        return;
    }
    auto body = readPeerBody(opened.header.kind, opened.body);
    if (!body) {
        ++droppedMessages_;
        return;
    }
    const core::incarnation_id from = opened.header.sender;
    if (const auto *each = std::get_if<digest>(&*body))
        eventSink_(sender_info_received{ from, each->sender });
    if (const auto *each = std::get_if<wire::probe_message>(&*body))
        eventSink_(sender_info_received{ from, each->sender });
    eventSink_(datagram_received{ from, std::move(*body), now });
}

net::link_id peer_messenger::findOrOpenLink(const std::string &address)
{
    net::endpoint peer;
    bool isNew = false;
    if (net::parseEndpoint(address, peer))
        return 0;
    const net::link_id link = links_.findOrOpenLink(peer, isNew);
    if (link != 0 && isNew) {
        linkStates_[link].isOutgoing = true;
        sendHello(link);
    }
    return link;
}

template <typename type>
bool peer_messenger::sendFrame(net::link_id link, net::frame_tag tag, wire::peer_kind kind,
                               core::incarnation_id receiver, const type &body)
{
    std::string frame;
    return !codec_.seal(kind, receiver, body, frame) && links_.send(link, tag, frame);
}

void peer_messenger::sendHello(net::link_id link)
{
    static_cast<void>(sendFrame(link, 0, peer_kind::Hello, 0, sender_));
}

void peer_messenger::perform(const send_forward &command)
{
    const net::link_id link = findOrOpenLink(command.address);
    const auto message = wire::makeForwardRequest(command.request, net::currentTime());
    if (link == 0
        || !sendFrame(link, command.handle, peer_kind::ForwardRequest, command.receiver, message)) {
        eventSink_(forward_failed{ command.handle, false });
        return;
    }
    linkStates_[link].forwards.insert(command.handle);
    pendingForwards_[command.handle] = { link, command.request.id };
    handlesByRequest_[command.request.id] = command.handle;
}

void peer_messenger::perform(const send_forward_answer &command)
{
    const auto state = linkStates_.find(command.link);
    if (state == linkStates_.end())
        return;
    std::vector<wire::forward_answer> parts;
    core::statement_answer answer = command.answer;
    answer.id = command.request;
    if (wire::splitAnswer(answer, parts)) {
        // The statement ran, but its rows exceed the size limit of a message.
        core::statement_answer refused;
        refused.id = command.request;
        refused.error = core::error_kind::OutcomeUnknown;
        static_cast<void>(wire::splitAnswer(refused, parts));
    }
    for (const wire::forward_answer &each : parts) {
        if (!sendFrame(command.link, 0, peer_kind::ForwardAnswer, state->second.incarnation,
                       each)) {
            links_.close(command.link);
            return;
        }
    }
}

void peer_messenger::perform(const fetch_configuration &command)
{
    const net::link_id link = findOrOpenLink(command.address);
    const wire::configuration_request message{ command.version };
    if (link == 0 || !sendFrame(link, 0, peer_kind::ConfigurationRequest, 0, message)) {
        eventSink_(configuration_received{ command.peer, command.version, {} });
        return;
    }
    link_state &state = linkStates_[link];
    state.configurationSource = command.peer;
    state.configurationVersion = command.version;
    state.configurationParts = {};
}

void peer_messenger::perform(const send_configuration &command)
{
    const auto state = linkStates_.find(command.link);
    std::vector<wire::configuration_body> parts;
    if (state == linkStates_.end()
        || wire::splitConfiguration(command.version, 0, command.text, parts))
        return;
    for (const wire::configuration_body &each : parts)
        static_cast<void>(sendFrame(command.link, 0, peer_kind::ConfigurationBody,
                                    state->second.incarnation, each));
}

void peer_messenger::onFrame(net::link_id link, std::string_view frame)
{
    wire::opened_message opened;
    if (codec_.open(frame, peer_transport::Stream, net::currentTime(), opened)) {
        ++droppedMessages_;
        links_.close(link);
        return;
    }
    link_state &state = linkStates_[link];
    const bool isHello = opened.header.kind == peer_kind::Hello;
    // The hello binds a link to the sender's incarnation; frames before it or from another
    // incarnation are refused.
    if (!isHello && state.incarnation != opened.header.sender) {
        ++droppedMessages_;
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
        onForwardAnswerPart(link, opened.body);
        return;
    case peer_kind::ConfigurationRequest:
        onConfigurationRequest(link, opened.body);
        return;
    case peer_kind::ConfigurationBody:
        onConfigurationPart(link, opened.body);
        return;
    default:
        ++droppedMessages_;
    }
}

void peer_messenger::onHello(net::link_id link, core::incarnation_id incarnation,
                             std::string_view body)
{
    wire::sender_info sender;
    link_state &state = linkStates_[link];
    if (state.incarnation != 0 || wire::readBody(body, sender)) {
        ++droppedMessages_;
        links_.close(link);
        return;
    }
    state.incarnation = incarnation;
    state.instance = sender.instance;
    links_.trust(link);
    if (!state.isOutgoing)
        sendHello(link);
    eventSink_(sender_info_received{ incarnation, sender });
}

void peer_messenger::onForward(net::link_id link, std::string_view body)
{
    wire::forward_request message;
    if (wire::readBody(body, message)) {
        ++droppedMessages_;
        links_.close(link);
        return;
    }
    eventSink_(forward_received{ link, linkStates_[link].instance,
                                 wire::toRequest(std::move(message), net::currentTime()) });
}

void peer_messenger::onForwardAnswerPart(net::link_id link, std::string_view body)
{
    wire::forward_answer message;
    const bool isDamaged = static_cast<bool>(wire::readBody(body, message));
    const auto handle = isDamaged ? handlesByRequest_.end() : handlesByRequest_.find(message.id);
    if (isDamaged || handle == handlesByRequest_.end())
        return;
    link_state &state = linkStates_[link];
    wire::part_assembler &assembler = state.answerParts[message.id];
    if (assembler.add(message.part, message.parts, message.content)) {
        links_.close(link);
        return;
    }
    if (!assembler.isComplete())
        return;
    forward_answer_received event;
    event.handle = handle->second;
    const bool isUnreadable =
            static_cast<bool>(wire::readAnswer(message.id, assembler.content, event.answer));
    state.answerParts.erase(message.id);
    state.forwards.erase(event.handle);
    pendingForwards_.erase(event.handle);
    handlesByRequest_.erase(handle);
    if (isUnreadable)
        eventSink_(forward_failed{ event.handle, true });
    else
        eventSink_(std::move(event));
}

void peer_messenger::onConfigurationRequest(net::link_id link, std::string_view body)
{
    wire::configuration_request message;
    if (!wire::readBody(body, message))
        eventSink_(configuration_requested{ link, message.version });
}

void peer_messenger::onConfigurationPart(net::link_id link, std::string_view body)
{
    wire::configuration_body message;
    link_state &state = linkStates_[link];
    if (wire::readBody(body, message) || state.configurationSource.empty()
        || state.configurationParts.add(message.part, message.parts, message.content))
        return;
    if (!state.configurationParts.isComplete()) {
        eventSink_(configuration_progress{ state.configurationSource });
        return;
    }
    eventSink_(configuration_received{ std::exchange(state.configurationSource, {}),
                                       state.configurationVersion,
                                       std::move(state.configurationParts.content) });
    state.configurationParts = {};
}

void peer_messenger::onClose(net::link_id link, const net::link_closure &end)
{
    const auto entry = linkStates_.find(link);
    if (entry == linkStates_.end())
        return;
    const link_state state = std::move(entry->second);
    linkStates_.erase(entry);
    if (!state.configurationSource.empty())
        eventSink_(configuration_received{
                state.configurationSource, state.configurationVersion, {} });
    for (const std::uint64_t handle : state.forwards) {
        const auto forward = pendingForwards_.find(handle);
        if (forward == pendingForwards_.end() || forward->second.link != link)
            continue;
        handlesByRequest_.erase(forward->second.request);
        pendingForwards_.erase(forward);
        const auto &unsentFrames = end.unsentFrames;
        const bool wasWritten =
                std::find(unsentFrames.begin(), unsentFrames.end(), handle) == unsentFrames.end();
        eventSink_(forward_failed{ handle, wasWritten });
    }
}

} // namespace fuchsiagw::daemon
