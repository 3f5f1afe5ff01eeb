/// @file
/// @brief Threads of the daemon, queues between them, and the order of start and stop.

#include <utility>

#include <fuchsiagw/daemon/process.hpp>

#include <fuchsiagw/daemon/admin_server.hpp>
#include <fuchsiagw/daemon/caller_server.hpp>
#include <fuchsiagw/daemon/gateway_driver.hpp>
#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/peer_messenger.hpp>
#include <fuchsiagw/daemon/supervisor.hpp>
#include <fuchsiagw/daemon/upstream_client.hpp>
#include <fuchsiagw/net/channel.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <optional>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t channelCapacity = 65536;
constexpr core::duration drainPollInterval = std::chrono::milliseconds(50);
/// Time for the caller server's thread to report its end, beside lastAnswerLimit.
constexpr core::duration closeReportLimit = std::chrono::milliseconds(500);

void logThreadFailure(log_sink &log, const std::string &thread)
{
    logEvent(log, log_event::DutyFailed, { field::id(log_key::Duty, core::instance_id{ thread }) });
}

metrics metricsOf(const peer_traffic &traffic)
{
    metrics counts;
    counts.count(counter::ControlBytesSent, traffic.datagramBytesSent);
    counts.count(counter::ControlBytesReceived, traffic.datagramBytesReceived);
    return counts;
}

/// Objects with the lifetime of the process. Members are destroyed in reverse order, so the
/// contexts of `threads` outlive the queues and the objects that use them.
struct daemon_process
{
    const settings &values;
    log_sink &log;
    boost::asio::io_context control{ 1 };
    boost::asio::signal_set signals;
    exit_code exitCode = exit_code::Stopped;
    bool isStopping = false;
    bool isFinishing = false;
    core::time_point drainDeadline = core::noDeadline;
    std::size_t interruptedCount = 0; ///< accepted requests whose answer did not come
    boost::asio::steady_timer exitTimer{ control };

    supervisor threads;
    boost::asio::io_context &frontContext;
    boost::asio::io_context &decideContext;
    boost::asio::io_context &upstreamContext;
    boost::asio::io_context &platformContext;
    boost::asio::io_context &peerContext;
    boost::asio::io_context &adminContext;

    std::optional<caller_server> callerServer;
    std::optional<gateway_driver> gatewayDriver;
    std::optional<upstream_client> upstreamClient;
    std::optional<peer_messenger> peerMessenger;
    snapshot_buffer<metrics> peerMetrics;
    std::optional<admin_server> adminServer;
    net::http_client platformClient;

    net::channel<core::caller_request> frontToDecide;
    net::channel<core::caller_reply> decideToFront;
    net::channel<core::group_action> decideToUpstream;
    net::channel<upstream_event> upstreamToDecide;
    net::channel<platform_request> decideToPlatform;
    net::channel<platform_event> platformToDecide;
    net::channel<peer_command> decideToPeers;
    net::channel<peer_event> peersToDecide;
    net::channel<admin_request> adminToDecide;
    net::channel<admin_result> decideToAdmin;

    daemon_process(const settings &processSettings, log_sink &sink);

    void start();
    void drain();
    void finish(exit_code code);
    void request(platform_request &order);
    [[nodiscard]] gateway_driver_outputs outputs();
    [[nodiscard]] admin_server_inputs adminServerInputs();
};

daemon_process::daemon_process(const settings &processSettings, log_sink &sink)
    : values(processSettings)
    , log(sink)
    , signals(control, SIGTERM, SIGINT)
    , threads([this](const std::string &thread,
                     const std::string &) { logThreadFailure(log, thread); },
              [this](const std::string &) {
                  boost::asio::post(control, [this] { finish(exit_code::Failed); });
              })
    , frontContext(threads.add("front"))
    , decideContext(threads.add("decide"))
    , upstreamContext(threads.add("upstream"))
    , platformContext(threads.add("platform"))
    , peerContext(threads.add("peer"))
    , adminContext(threads.add("admin"))
    , platformClient(platformContext)
    , frontToDecide(decideContext, channelCapacity,
                    [this](auto &message) { gatewayDriver->onCaller(message); })
    , decideToFront(frontContext, channelCapacity,
                    [this](auto &message) { callerServer->onReply(message); })
    , decideToUpstream(upstreamContext, channelCapacity,
                       [this](auto &message) { upstreamClient->perform(message); })
    , upstreamToDecide(decideContext, channelCapacity,
                       [this](auto &message) { gatewayDriver->onUpstream(message); })
    , decideToPlatform(platformContext, channelCapacity,
                       [this](auto &message) { request(message); })
    , platformToDecide(decideContext, channelCapacity,
                       [this](auto &message) { gatewayDriver->onPlatform(message); })
    , decideToPeers(peerContext, channelCapacity,
                    [this](auto &message) { peerMessenger->perform(message); })
    , peersToDecide(decideContext, channelCapacity,
                    [this](auto &message) { gatewayDriver->onPeer(message); })
    , adminToDecide(decideContext, maxAdminRequests,
                    [this](auto &message) { gatewayDriver->onAdmin(message); })
    , decideToAdmin(adminContext, maxAdminRequests,
                    [this](auto &message) { adminServer->onAnswer(message); })
{
    wire::token_keys tokens;
    tokens.keys[1] = wire::deriveTokenKey(
            { reinterpret_cast<const char *>(values.clusterKey.data()), values.clusterKey.size() });
    tokens.current = 1;
    callerServer.emplace(frontContext, values, std::move(tokens),
                         [this](core::caller_request &&message) {
                             return frontToDecide.push(std::move(message));
                         });
    upstreamClient.emplace(upstreamContext, [this](upstream_event &&event) {
        // The push can't fail: the queue holds more events than all connections and control
        // requests can cause at once.
        static_cast<void>(upstreamToDecide.push(std::move(event)));
    });
    gatewayDriver.emplace(decideContext, values, log, outputs());
    peerMessenger.emplace(peerContext, values, gatewayDriver->incarnation(),
                          [this](peer_event &&event) {
                              static_cast<void>(peersToDecide.push(std::move(event)));
                          });
    adminServer.emplace(adminContext, values, log, adminServerInputs());
}

admin_server_inputs daemon_process::adminServerInputs()
{
    admin_server_inputs result;
    result.request = [this](admin_request &&message) {
        return adminToDecide.push(std::move(message));
    };
    result.isReady = [this] { return callerServer->isReady(); };
    result.sample = [this] {
        boost::asio::post(peerContext,
                          [this] { peerMetrics.publish(metricsOf(peerMessenger->traffic())); });
    };
    result.sources = { &callerServer->published(), &gatewayDriver->published(), &peerMetrics };
    return result;
}

gateway_driver_outputs daemon_process::outputs()
{
    gateway_driver_outputs result;
    result.reply = [this](core::caller_reply &&message) {
        static_cast<void>(decideToFront.push(std::move(message)));
    };
    result.toUpstream = [this](core::group_action &&message) {
        static_cast<void>(decideToUpstream.push(std::move(message)));
    };
    result.toPlatform = [this](platform_request &&message) {
        static_cast<void>(decideToPlatform.push(std::move(message)));
    };
    result.toPeers = [this](peer_command &&message) {
        static_cast<void>(decideToPeers.push(std::move(message)));
    };
    result.setIncarnation = [this](core::incarnation_id incarnation) {
        boost::asio::post(peerContext,
                          [this, incarnation] { peerMessenger->setIncarnation(incarnation); });
    };
    result.toAdmin = [this](admin_result &&message) {
        // The admin server limits its open requests to the capacity of the queue.
        static_cast<void>(decideToAdmin.push(std::move(message)));
    };
    result.setReady = [this](bool ready) { callerServer->setReady(ready); };
    return result;
}

void daemon_process::request(platform_request &order)
{
    platform::request(platformClient, values.platformAddress, order.order, order.deadline,
                      [this, number = order.number](platform::platform_result &&result) {
                          static_cast<void>(platformToDecide.push({ number, std::move(result) }));
                      });
}

void daemon_process::start()
{
    boost::asio::post(decideContext, [this] { gatewayDriver->start(); });
    signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error)
            drain();
    });
}

void daemon_process::drain()
{
    // Further signals are ignored and do not shorten the drain.
    signals.async_wait([](const boost::system::error_code &, int) {});
    isStopping = true;
    drainDeadline = net::currentTime() + values.drainLimit;
    logEvent(log, log_event::DrainStarted,
             { field::number(log_key::Queued, callerServer->openRequestCount()),
               field::duration(log_key::Remaining, values.drainLimit) });
    boost::asio::post(frontContext, [this] { callerServer->drain(); });
    boost::asio::post(decideContext, [this] {
        gatewayDriver->drain(
                [this] { boost::asio::post(control, [this] { finish(exit_code::Stopped); }); });
    });
    const auto drainTimer = std::make_shared<boost::asio::steady_timer>(control, values.drainLimit);
    drainTimer->async_wait([this, drainTimer](const boost::system::error_code &error) {
        if (!error)
            finish(exit_code::Stopped);
    });
}

// The other threads run until the caller server has closed, since a request that was accepted just
// before still needs its answer.
void daemon_process::finish(exit_code code)
{
    if (isFinishing)
        return;
    isFinishing = true;
    exitCode = code;
    const core::time_point now = net::currentTime();
    const bool waitsForAnswers = code == exit_code::Stopped && drainDeadline != core::noDeadline;
    const core::time_point answersDue = waitsForAnswers ? std::max(now, drainDeadline) : now;
    boost::asio::post(frontContext, [this, answersDue] {
        callerServer->close(answersDue, [this](std::size_t interrupted) {
            boost::asio::post(control, [this, interrupted] {
                interruptedCount = interrupted;
                if (interrupted > 0 && exitCode == exit_code::Stopped)
                    exitCode = exit_code::Interrupted;
                control.stop();
            });
        });
    });
    // Ends the process also if the thread of the caller server has failed.
    exitTimer.expires_at(
            net::toSteady(answersDue + caller_server::lastAnswerLimit + closeReportLimit));
    exitTimer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        interruptedCount = callerServer->openRequestCount();
        if (interruptedCount > 0 && exitCode == exit_code::Stopped)
            exitCode = exit_code::Interrupted;
        control.stop();
    });
}

} // namespace

exit_code runDaemon(const settings &values, log_sink &log)
{
    const core::time_point startedAt = net::currentTime();
    daemon_process process(values, log);
    if (process.callerServer->start() || process.peerMessenger->start()
        || process.adminServer->start())
        return exit_code::Failed;
    process.start();
    process.threads.start();
    process.control.run();
    process.threads.stop();
    logEvent(log, log_event::ProcessStopped,
             { field::duration(log_key::Elapsed, net::currentTime() - startedAt),
               field::number(log_key::Count, process.interruptedCount) });
    return process.exitCode;
}

} // namespace fuchsiagw::daemon
