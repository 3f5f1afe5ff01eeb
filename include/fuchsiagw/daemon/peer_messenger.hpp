/// @file
/// @brief Exchange of datagrams and TCP frames with other daemons.

#pragma once

#include <fuchsiagw/core/statement.hpp>
#include <fuchsiagw/daemon/peer_body.hpp>
#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/net/tcp_link.hpp>
#include <fuchsiagw/net/udp_link.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fuchsiagw::daemon {

/// Commands from gateway_driver to peer_messenger. Addresses are peer addresses.
struct send_datagram
{
    std::string address;
    core::incarnation_id receiver = 0; ///< 0: any incarnation at the address
    peer_body body;
};

struct send_forward
{
    std::string address;
    core::incarnation_id receiver = 0;
    std::uint64_t handle = 0;
    core::statement_request request;
};

/// Answers a forwarded statement that was received over `link`.
struct send_forward_answer
{
    net::link_id link = 0;
    core::request_id request;
    core::statement_answer answer;
};

struct fetch_configuration
{
    std::string address;
    core::instance_id peer;
    core::configuration_version version = 0;
};

struct send_configuration
{
    net::link_id link = 0;
    core::configuration_version version = 0;
    std::string text;
};

/// Replaces the sender information that every hello message contains.
struct set_sender_info
{
    wire::sender_info sender;
};

using peer_command = std::variant<send_datagram, send_forward, send_forward_answer,
                                  fetch_configuration, send_configuration, set_sender_info>;

/// Events from peer_messenger to gateway_driver. The MAC and the sequence number of each message
/// have been checked.
struct sender_info_received
{
    core::incarnation_id incarnation = 0;
    wire::sender_info sender;
};

struct datagram_received
{
    core::incarnation_id from = 0;
    peer_body body;
    core::time_point arrivedAt;
};

struct forward_received
{
    net::link_id link = 0;
    core::instance_id from;
    core::statement_request request;
};

struct forward_answer_received
{
    std::uint64_t handle = 0;
    core::statement_answer answer;
};

struct forward_failed
{
    std::uint64_t handle = 0;
    bool wasWritten = false; ///< false only if no byte of the request was written
};

struct configuration_requested
{
    net::link_id link = 0;
    core::configuration_version version = 0;
};

struct configuration_received
{
    core::instance_id peer;
    core::configuration_version requestedVersion = 0;
    std::string text; ///< empty: the peer could not be reached or has no configuration
};

/// A part of a configuration has arrived that is not the last one.
struct configuration_progress
{
    core::instance_id peer;
};

using peer_event = std::variant<sender_info_received, datagram_received, forward_received,
                                forward_answer_received, forward_failed, configuration_requested,
                                configuration_received, configuration_progress>;

/// Traffic counters since the start of the process.
struct peer_traffic
{
    std::uint64_t datagramBytesSent = 0;
    std::uint64_t datagramBytesReceived = 0;
    std::uint64_t droppedMessages =
            0; ///< messages that are damaged, replayed or addressed to another receiver
};

/// Every function must be called on the thread of the context.
class peer_messenger
{
public:
    using event_sink = std::function<void(peer_event &&)>;

    peer_messenger(boost::asio::io_context &context, const settings &values,
                   core::incarnation_id self, event_sink sink);

    /// @brief Binds the UDP and TCP sockets to the peer address.
    [[nodiscard]] std::error_code start();

    void perform(peer_command &command);

    /// @brief Sets the incarnation of all messages sent from now on. Peers close the links that
    /// were opened under the previous incarnation.
    void setIncarnation(core::incarnation_id self);

    [[nodiscard]] peer_traffic traffic() const;

private:
    struct link_state
    {
        core::incarnation_id incarnation = 0; ///< 0 until the hello is received
        core::instance_id instance;
        bool isOutgoing = false;
        std::set<std::uint64_t> forwards; ///< handles of unanswered forwarded requests
        std::map<core::request_id, wire::part_assembler> answerParts;
        core::instance_id configurationSource; ///< peer of the open configuration request; empty if
                                               ///< none is open
        core::configuration_version configurationVersion = 0;
        wire::part_assembler configurationParts;
    };

    struct pending_forward
    {
        net::link_id link = 0;
        core::request_id request;
    };

    void onDatagram(std::string_view message);
    void onFrame(net::link_id link, std::string_view frame);
    void onHello(net::link_id link, core::incarnation_id incarnation, std::string_view body);
    void onForward(net::link_id link, std::string_view body);
    void onForwardAnswerPart(net::link_id link, std::string_view body);
    void onConfigurationRequest(net::link_id link, std::string_view body);
    void onConfigurationPart(net::link_id link, std::string_view body);
    void onClose(net::link_id link, const net::link_closure &end);

    void perform(const send_datagram &command);
    void perform(const send_forward &command);
    void perform(const send_forward_answer &command);
    void perform(const fetch_configuration &command);
    void perform(const send_configuration &command);

    /// @return the open link to an address, or a new one; 0 if none can be opened
    [[nodiscard]] net::link_id findOrOpenLink(const std::string &address);
    template <typename type>
    [[nodiscard]] bool sendFrame(net::link_id link, net::frame_tag tag, wire::peer_kind kind,
                                 core::incarnation_id receiver, const type &body);
    void sendHello(net::link_id link);

    wire::peer_keys keys_;
    wire::peer_codec codec_;
    wire::sender_info sender_;
    net::endpoint listenAddress_;
    event_sink eventSink_;
    net::udp_link datagrams_;
    net::tcp_links links_;
    std::map<net::link_id, link_state> linkStates_;
    std::map<std::uint64_t, pending_forward> pendingForwards_; ///< by handle
    std::map<core::request_id, std::uint64_t> handlesByRequest_; ///< by request
    std::uint64_t droppedMessages_ = 0;
};

} // namespace fuchsiagw::daemon
