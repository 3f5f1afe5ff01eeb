/// @file
/// @brief The duty that owns the decisions: it feeds events to core and hands its actions on.

#pragma once

#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/cluster.hpp>
#include <fuchsiagw/daemon/decision_meter.hpp>
#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/operator_desk.hpp>
#include <fuchsiagw/daemon/peer_duty.hpp>
#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/daemon/upstream.hpp>
#include <fuchsiagw/platform/platform_client.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>

namespace fuchsiagw::daemon {

class log_sink;

/// A request to the platform with the number under which its result comes back.
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

/// Where the decisions' actions go; each function only pushes into a ring.
struct decide_outputs
{
    std::function<void(core::caller_reply &&)> reply;
    std::function<void(core::group_action &&)> toUpstream;
    std::function<void(platform_request &&)> toPlatform;
    std::function<void(peer_order &&)> toPeers;
    std::function<void(core::incarnation_id)> setIncarnation;
    std::function<void(bool)> setReady;
    std::function<void(admin_result &&)> toAdmin;
};

/// Lives on the thread of its context.
class decide
{
public:
    decide(boost::asio::io_context &context, const settings &values, log_sink &log,
           decide_outputs outputs);

    void start();
    void onCaller(core::caller_request &request);
    void onUpstream(upstream_event &event);
    void onPlatform(platform_event &event);
    void onPeer(peer_event &event);
    void onAdmin(admin_request &request);

    /// @return what the decisions count; one thread may read it
    [[nodiscard]] snapshot_buffer<metrics> &published() { return meter_.published(); }

    [[nodiscard]] core::incarnation_id incarnation() const { return gateway_.incarnation; }

    /// @brief Begins a planned stop; @p done is called once when nothing is left to answer.
    void drain(std::function<void()> done);

private:
    struct pending_request
    {
        platform_handler done;
        core::time_point sentAt;
    };

    /// Where the answer to a forward that was taken in goes.
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
    void callPlatform(platform::platform_operation order, platform_handler done);
    void callKeeperOrder(core::limit_platform_call &&call);
    void onMembers();
    void claim(const core::group_id &group, core::term_number term);
    void send(core::limit_message &&message);
    void send(core::forward_statement &&forward);
    void send(core::forward_result &&result);
    void send(const core::group_id &group, const core::publish_to_owners &view);
    void take(peer_heard &event);
    void take(peer_message &event);
    void take(peer_forward &event);
    void take(forward_answered &event);
    void take(forward_lost &event);
    void take(configuration_wanted &event);
    void take(configuration_came &event);
    [[nodiscard]] core::gateway_turn turn();

    boost::asio::steady_timer timer_;
    const settings &settings_;
    log_sink &log_;
    decide_outputs outputs_;
    core::random_engine random_;
    core::gateway gateway_;
    core::gateway_actions actions_;
    cluster cluster_;
    operator_desk desk_;
    decision_meter meter_;
    core::time_point now_;
    core::time_point startedAt_;
    bool isReady_ = false;
    std::map<std::uint64_t, forward_origin> origins_; ///< of forwards taken in, by ticket
    std::uint64_t nextOrigin_ = 1;
    std::map<std::uint64_t, pending_request> requests_;
    std::uint64_t nextRequest_ = 1;
    std::function<void()> drained_;
    core::time_point shareReturnDeadline_ =
            core::noDeadline; ///< set once nothing is left to answer
};

} // namespace fuchsiagw::daemon
