/// @file
/// @brief Runs the gateway of core: passes events to it and carries out the actions it returns.

#pragma once

#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/cluster.hpp>
#include <fuchsiagw/daemon/decision_meter.hpp>
#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/operator_service.hpp>
#include <fuchsiagw/daemon/peer_messenger.hpp>
#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/daemon/upstream_client.hpp>
#include <fuchsiagw/platform/platform_client.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace fuchsiagw::daemon {

class log_sink;

/// A request to the platform; its result carries the same number.
struct platform_request
{
    std::uint64_t number = 0;
    platform::platform_operation order;
    core::time_point deadline;
};

struct platform_event
{
    std::uint64_t number = 0;
    platform::platform_result result;
};

/// Receivers of the gateway's actions; each function only enqueues a message for another thread.
struct gateway_driver_outputs
{
    std::function<void(core::caller_reply &&)> reply;
    std::function<void(core::group_action &&)> toUpstream;
    std::function<void(platform_request &&)> toPlatform;
    std::function<void(peer_command &&)> toPeers;
    std::function<void(core::incarnation_id)> setIncarnation;
    std::function<void(bool)> setReady;
    std::function<void(admin_result &&)> toAdmin;
};

/// Every function must be called on the thread of the context, unless its comment says otherwise.
class gateway_driver
{
public:
    gateway_driver(boost::asio::io_context &context, const settings &values, log_sink &log,
                   gateway_driver_outputs outputs);

    void start();
    void onCaller(core::caller_request &request);
    void onUpstream(upstream_event &event);
    void onPlatform(platform_event &event);
    void onPeer(peer_event &event);
    void onAdmin(admin_request &request);

    /// @return metrics of the gateway; one other thread may read them
    [[nodiscard]] snapshot_buffer<metrics> &published() { return meter_.published(); }

    [[nodiscard]] core::incarnation_id incarnation() const { return gateway_.incarnation; }

    /// @brief Starts a planned stop.
    /// @param done is called once: when every request is answered, and the rate limit shares are
    /// returned or the timeout of their return has passed
    void drain(std::function<void()> done);

private:
    struct pending_platform_request
    {
        platform_handler done;
        core::time_point sentAt;
    };

    /// Link and request to which the answer to a forwarded statement is sent.
    struct forward_origin
    {
        net::link_id link = 0;
        core::request_id request;
    };

    void tick();
    void finishDrain();
    void updateReady();
    void flush();
    void perform(core::gateway_action &&action);
    void log(const core::group_id &group, const core::route_decided &decided);
    void log(const core::group_id &group, const core::owner_notice &notice);
    void log(const core::caller_reply &reply);
    void sendPlatformRequest(platform::platform_operation order, platform_handler done);
    void callLimitPlatform(core::limit_platform_call &&call);
    void onMembersChanged();
    void recordPromotionClaim(const core::group_id &group, core::term_number term);
    void send(core::limit_message &&message);
    void send(core::forward_statement &&forward);
    void send(core::forward_result &&result);
    void send(const core::group_id &group, const core::publish_to_owners &view);
    void onEvent(sender_info_received &event);
    void onEvent(datagram_received &event);
    void onEvent(forward_received &event);
    void onEvent(forward_answer_received &event);
    void onEvent(forward_failed &event);
    void onEvent(configuration_requested &event);
    void onEvent(configuration_received &event);
    void onEvent(configuration_progress &event);
    [[nodiscard]] core::gateway_turn turn();

    boost::asio::steady_timer timer_;
    const settings &settings_;
    log_sink &log_;
    gateway_driver_outputs outputs_;
    core::random_engine random_;
    core::gateway gateway_;
    core::gateway_actions actions_;
    cluster cluster_;
    operator_service operatorService_;
    decision_meter meter_;
    core::time_point now_;
    core::time_point startedAt_;
    bool isReady_ = false;
    std::map<std::uint64_t, forward_origin> forwardOrigins_; ///< of received forwards, by ticket
    std::uint64_t nextForwardTicket_ = 1;
    std::map<std::uint64_t, pending_platform_request> platformRequests_;
    std::uint64_t nextPlatformRequest_ = 1;
    std::function<void()> onDrained_;
    core::time_point shareReturnDeadline_ =
            core::noDeadline; ///< set when the last request is answered
};

} // namespace fuchsiagw::daemon
