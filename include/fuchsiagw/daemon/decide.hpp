/// @file
/// @brief The duty that owns the decisions: it feeds events to core and hands its actions on.

#pragma once

#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/daemon/log_event.hpp>
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
    platform::platform_order order;
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
    std::function<void(bool)> setReady;
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

    /// @brief Begins a planned stop; @p done is called once when nothing is left to answer.
    void drain(std::function<void()> done);

private:
    using platform_handler =
            std::function<void(platform::platform_result &&, core::time_point sentAt)>;

    struct pending_request
    {
        platform_handler done;
        core::time_point sentAt;
    };

    void tick();
    void flush();
    void perform(core::gateway_action &&action);
    void log(const core::group_id &group, const core::route_decided &decided);
    void log(const core::group_id &group, const core::owner_notice &notice);
    void log(const core::caller_reply &reply);
    void callPlatform(platform::platform_order order, platform_handler done);
    void watchConfiguration();
    void fetch(const core::fetch_source &source);
    void takeIn(const core::fetch_source &source, std::string_view body);
    [[nodiscard]] core::gateway_turn turn();

    boost::asio::steady_timer timer_;
    const settings &settings_;
    log_sink &log_;
    decide_outputs outputs_;
    core::random_engine random_;
    core::gateway gateway_;
    core::gateway_actions actions_;
    core::config_store store_;
    core::time_point now_;
    core::time_point nextWatch_;
    bool isWatching_ = false;
    std::map<std::uint64_t, pending_request> requests_;
    std::uint64_t nextRequest_ = 1;
    std::function<void()> drained_;
};

} // namespace fuchsiagw::daemon
