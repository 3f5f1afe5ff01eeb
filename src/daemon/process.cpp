/// @file
/// @brief Wiring of the duties and the order of start and stop.

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

#include <csignal>
#include <optional>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t ringMessages = 65536;
constexpr core::duration watchDrainEvery = std::chrono::milliseconds(50);
/// An answer that was handed to the front duty still has to be written to its socket.
constexpr core::duration lastAnswers = std::chrono::milliseconds(200);

void logFailure(log_sink &log, const std::string &duty)
{
    logEvent(log, log_event::DutyFailed, { field::id(log_key::Duty, core::instance_id{ duty }) });
}

metrics metricsOf(const peer_traffic &traffic)
{
    metrics counts;
    counts.count(counter::ControlBytesSent, traffic.datagramBytesSent);
    counts.count(counter::ControlBytesReceived, traffic.datagramBytesReceived);
    return counts;
}

/// Everything that lives as long as the process. Members are ended in reverse order: the contexts
/// of `root` outlive the rings and the duties that use them.
struct daemon_process
{
    const settings &values;
    log_sink &log;
    boost::asio::io_context control{ 1 };
    boost::asio::signal_set signals;
    exit_code exitCode = exit_code::Stopped;
    bool isStopping = false;

    supervisor root;
    boost::asio::io_context &frontContext;
    boost::asio::io_context &decideContext;
    boost::asio::io_context &upstreamContext;
    boost::asio::io_context &platformContext;
    boost::asio::io_context &peerContext;
    boost::asio::io_context &adminContext;

    std::optional<front> callers;
    std::optional<decide> decisions;
    std::optional<upstream> members;
    std::optional<peer_duty> peers;
    snapshot_buffer<metrics> peerMetrics;
    std::optional<admin> operators;
    net::http_client platformClient;

    net::channel<core::caller_request> frontToDecide;
    net::channel<core::caller_reply> decideToFront;
    net::channel<core::group_action> decideToUpstream;
    net::channel<upstream_event> upstreamToDecide;
    net::channel<platform_request> decideToPlatform;
    net::channel<platform_event> platformToDecide;
    net::channel<peer_order> decideToPeers;
    net::channel<peer_event> peersToDecide;
    net::channel<admin_request> adminToDecide;
    net::channel<admin_result> decideToAdmin;

    daemon_process(const settings &settingsOfProcess, log_sink &sink);

    void start();
    void drain();
    void finish(exit_code code);
    void request(platform_request &order);
    [[nodiscard]] decide_outputs outputs();
    [[nodiscard]] admin_inputs adminInputs();
};

daemon_process::daemon_process(const settings &settingsOfProcess, log_sink &sink)
    : values(settingsOfProcess)
    , log(sink)
    , signals(control, SIGTERM, SIGINT)
    , root([this](const std::string &duty, const std::string &) { logFailure(log, duty); },
           [this](const std::string &) {
               boost::asio::post(control, [this] { finish(exit_code::Failed); });
           })
    , frontContext(root.add("front"))
    , decideContext(root.add("decide"))
    , upstreamContext(root.add("upstream"))
    , platformContext(root.add("platform"))
    , peerContext(root.add("peer"))
    , adminContext(root.add("admin"))
    , platformClient(platformContext)
    , frontToDecide(decideContext, ringMessages,
                    [this](auto &message) { decisions->onCaller(message); })
    , decideToFront(frontContext, ringMessages,
                    [this](auto &message) { callers->onReply(message); })
    , decideToUpstream(upstreamContext, ringMessages,
                       [this](auto &message) { members->perform(message); })
    , upstreamToDecide(decideContext, ringMessages,
                       [this](auto &message) { decisions->onUpstream(message); })
    , decideToPlatform(platformContext, ringMessages, [this](auto &message) { request(message); })
    , platformToDecide(decideContext, ringMessages,
                       [this](auto &message) { decisions->onPlatform(message); })
    , decideToPeers(peerContext, ringMessages, [this](auto &message) { peers->perform(message); })
    , peersToDecide(decideContext, ringMessages,
                    [this](auto &message) { decisions->onPeer(message); })
    , adminToDecide(decideContext, maxAdminRequests,
                    [this](auto &message) { decisions->onAdmin(message); })
    , decideToAdmin(adminContext, maxAdminRequests,
                    [this](auto &message) { operators->onAnswer(message); })
{
    wire::token_keys tokens;
    tokens.keys[1] = wire::deriveTokenKey(
            { reinterpret_cast<const char *>(values.clusterKey.data()), values.clusterKey.size() });
    tokens.current = 1;
    callers.emplace(frontContext, values, std::move(tokens),
                    [this](core::caller_request &&message) {
                        return frontToDecide.push(std::move(message));
                    });
    members.emplace(upstreamContext, [this](upstream_event &&event) {
        // The ring holds more than all connections and control requests can have under way.
        static_cast<void>(upstreamToDecide.push(std::move(event)));
    });
    decisions.emplace(decideContext, values, log, outputs());
    peers.emplace(peerContext, values, decisions->incarnation(), [this](peer_event &&event) {
        static_cast<void>(peersToDecide.push(std::move(event)));
    });
    operators.emplace(adminContext, values, log, adminInputs());
}

admin_inputs daemon_process::adminInputs()
{
    admin_inputs from;
    from.request = [this](admin_request &&message) {
        return adminToDecide.push(std::move(message));
    };
    from.isReady = [this] { return callers->isReady(); };
    from.sample = [this] {
        boost::asio::post(peerContext,
                          [this] { peerMetrics.publish(metricsOf(peers->traffic())); });
    };
    from.sources = { &callers->published(), &decisions->published(), &peerMetrics };
    return from;
}

decide_outputs daemon_process::outputs()
{
    decide_outputs to;
    to.reply = [this](core::caller_reply &&message) {
        static_cast<void>(decideToFront.push(std::move(message)));
    };
    to.toUpstream = [this](core::group_action &&message) {
        static_cast<void>(decideToUpstream.push(std::move(message)));
    };
    to.toPlatform = [this](platform_request &&message) {
        static_cast<void>(decideToPlatform.push(std::move(message)));
    };
    to.toPeers = [this](peer_order &&message) {
        static_cast<void>(decideToPeers.push(std::move(message)));
    };
    to.setIncarnation = [this](core::incarnation_id incarnation) {
        boost::asio::post(peerContext, [this, incarnation] { peers->setIncarnation(incarnation); });
    };
    to.toAdmin = [this](admin_result &&message) {
        // The admin duty has no more requests open than the ring holds.
        static_cast<void>(decideToAdmin.push(std::move(message)));
    };
    to.setReady = [this](bool ready) { callers->setReady(ready); };
    return to;
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
    boost::asio::post(decideContext, [this] { decisions->start(); });
    signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error)
            drain();
    });
}

void daemon_process::drain()
{
    // Further signals do not shorten the stop.
    signals.async_wait([](const boost::system::error_code &, int) {});
    isStopping = true;
    logEvent(log, log_event::DrainStarted,
             { field::number(log_key::Queued, callers->waiting()),
               field::lapse(log_key::Remaining, values.drainLimit) });
    boost::asio::post(frontContext, [this] { callers->drain(); });
    boost::asio::post(decideContext, [this] {
        decisions->drain(
                [this] { boost::asio::post(control, [this] { finish(exit_code::Stopped); }); });
    });
    const auto limit = std::make_shared<boost::asio::steady_timer>(control, values.drainLimit);
    limit->async_wait([this, limit](const boost::system::error_code &error) {
        if (!error)
            finish(callers->waiting() == 0 ? exit_code::Stopped : exit_code::Interrupted);
    });
}

void daemon_process::finish(exit_code code)
{
    exitCode = code;
    const auto pause = std::make_shared<boost::asio::steady_timer>(control, lastAnswers);
    pause->async_wait([this, pause](const boost::system::error_code &) { control.stop(); });
}

} // namespace

exit_code runDaemon(const settings &values, log_sink &log)
{
    const core::time_point startedAt = net::currentTime();
    daemon_process process(values, log);
    if (process.callers->start() || process.peers->start() || process.operators->start())
        return exit_code::Failed;
    process.start();
    process.root.start();
    process.control.run();
    process.root.stop();
    logEvent(log, log_event::ProcessStopped,
             { field::lapse(log_key::Elapsed, net::currentTime() - startedAt),
               field::number(log_key::Count, process.callers->waiting()) });
    return process.exitCode;
}

} // namespace fuchsiagw::daemon
