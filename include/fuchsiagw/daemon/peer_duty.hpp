/// @file
/// @brief The duty that exchanges messages with other daemons.

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

/// What the decisions ask of the peer duty. Addresses are peer addresses.
struct send_datagram
{
    std::string address;
    core::incarnation_id receiver = 0; ///< 0: whoever has the address
    peer_body body;
};

struct send_forward
{
    std::string address;
    core::incarnation_id receiver = 0;
    std::uint64_t handle = 0;
    core::statement_request request;
};

/// The answer to a forward that came over `link`.
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

/// The sender information that goes out with every hello.
struct set_sender
{
    wire::sender_info sender;
};

using peer_order = std::variant<send_datagram, send_forward, send_forward_answer,
                                fetch_configuration, send_configuration, set_sender>;

/// What the peer duty reports. Every sender's MAC and sequence number were right.
struct peer_heard
{
    core::incarnation_id incarnation = 0;
    wire::sender_info sender;
};

struct peer_message
{
    core::incarnation_id from = 0;
    peer_body body;
    core::time_point arrivedAt;
};

struct peer_forward
{
    net::link_id link = 0;
    core::instance_id from;
    core::statement_request request;
};

struct forward_answered
{
    std::uint64_t handle = 0;
    core::statement_answer answer;
};

struct forward_lost
{
    std::uint64_t handle = 0;
    bool wasWritten = false; ///< false only if no byte of it has left
};

struct configuration_wanted
{
    net::link_id link = 0;
    core::configuration_version version = 0;
};

struct configuration_came
{
    core::instance_id peer;
    core::configuration_version asked = 0;
    std::string text; ///< empty: the peer could not be reached or has none
};

using peer_event = std::variant<peer_heard, peer_message, peer_forward, forward_answered,
                                forward_lost, configuration_wanted, configuration_came>;

/// Bytes and drops since the start.
struct peer_traffic
{
    std::uint64_t datagramBytesSent = 0;
    std::uint64_t datagramBytesReceived = 0;
    std::uint64_t dropped = 0; ///< damaged, replayed or foreign messages
};

/// Lives on the thread of its context.
class peer_duty
{
public:
    using event_sink = std::function<void(peer_event &&)>;

    peer_duty(boost::asio::io_context &context, const settings &values, core::incarnation_id self,
              event_sink sink);

    /// @brief Binds the UDP and TCP address.
    [[nodiscard]] std::error_code start();

    void perform(peer_order &order);

    /// @brief Goes on under another incarnation; links of the old one are closed by the peers.
    void setIncarnation(core::incarnation_id self);

    [[nodiscard]] peer_traffic traffic() const;

private:
    struct link_state
    {
        core::incarnation_id incarnation = 0; ///< 0 until its hello
        core::instance_id instance;
        bool isOpener = false;
        std::set<std::uint64_t> forwards; ///< handles that wait for an answer
        std::map<core::request_id, wire::part_joiner> answers;
        core::instance_id configurationPeer; ///< a configuration was asked for
        core::configuration_version configurationAsked = 0;
        wire::part_joiner configuration;
    };

    struct waiting_forward
    {
        net::link_id link = 0;
        core::request_id request;
    };

    void onDatagram(std::string_view message);
    void onFrame(net::link_id link, std::string_view frame);
    void onHello(net::link_id link, core::incarnation_id incarnation, std::string_view body);
    void onForward(net::link_id link, std::string_view body);
    void onForwardPart(net::link_id link, std::string_view body);
    void onConfigurationRequest(net::link_id link, std::string_view body);
    void onConfigurationPart(net::link_id link, std::string_view body);
    void onClose(net::link_id link, const net::link_closure &end);

    void perform(const send_datagram &order);
    void perform(const send_forward &order);
    void perform(const send_forward_answer &order);
    void perform(const fetch_configuration &order);
    void perform(const send_configuration &order);

    /// @return 0 if no link can be had now
    [[nodiscard]] net::link_id findOrOpenLink(const std::string &address);
    template <typename type>
    [[nodiscard]] bool sendFrame(net::link_id link, net::frame_tag tag, wire::peer_kind kind,
                                 core::incarnation_id receiver, const type &body);
    void sayHello(net::link_id link);

    wire::peer_keys keys_;
    wire::peer_codec codec_;
    wire::sender_info sender_;
    net::endpoint listenAt_;
    event_sink sink_;
    net::udp_link datagrams_;
    net::tcp_links links_;
    std::map<net::link_id, link_state> states_;
    std::map<std::uint64_t, waiting_forward> forwards_; ///< by handle
    std::map<core::request_id, std::uint64_t> handles_; ///< by request
    std::uint64_t dropped_ = 0;
};

} // namespace fuchsiagw::daemon
