/// @file
/// @brief Signal handling, settings reload and the readiness and metrics servers of the session
/// gateway.

#include <fuchsiagw/daemon/session_process.hpp>

#include <fuchsiagw/daemon/session_gateway.hpp>
#include <fuchsiagw/daemon/session_log.hpp>
#include <fuchsiagw/net/http_server.hpp>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <filesystem>

#include <malloc.h>

namespace fuchsiagw::daemon {

namespace {

constexpr int startEvent = 940;
constexpr int stopEvent = 941;
constexpr int reloadEvent = 942;
constexpr int summaryEvent = 943;
constexpr std::chrono::seconds fileCheckInterval{ 2 };
constexpr int checksPerSummary = 5;
constexpr std::size_t maxStatusConnections = 32;
constexpr std::size_t maxStatusBodyBytes = 1024;

net::http_server_options serverOptions(const net::endpoint &address)
{
    net::http_server_options options;
    options.listenAddress = address;
    options.maxBodyBytes = maxStatusBodyBytes;
    options.maxConnections = maxStatusConnections;
    return options;
}

/// The memory of long messages goes back to the system when they are freed. Otherwise the C library
/// would raise its threshold after the first one and keep what a crowd has used.
void keepLongBuffersOutOfTheHeap()
{
    constexpr int threshold = 128 * 1024; // bytes
    static_cast<void>(mallopt(M_MMAP_THRESHOLD, threshold));
}

/// Runs all components of the process on one thread.
class session_daemon
{
public:
    session_daemon(const session_settings &values, std::string file, log_sink &sink)
        : values_(values)
        , settingsFile_(std::move(file))
        , log_(sink)
        , gateway_(context_, values, log_)
        , readinessServer_(context_, serverOptions(values.readyAddress),
                           [this](net::http_request &&, net::connection_number,
                                  net::http_responder &&reply) {
                               net::http_response response;
                               constexpr int ok = 200;
                               constexpr int unavailable = 503;
                               response.status = gateway_.isReady() ? ok : unavailable;
                               reply.send(response);
                           })
        , metricsServer_(
                  context_, serverOptions({ values.readyAddress.address, values.metricsPort }),
                  [this](net::http_request &&, net::connection_number,
                         net::http_responder &&reply) {
                      net::http_response response;
                      response.status = 200;
                      response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
                      response.body = gateway_.metricsText();
                      reply.send(response);
                  })
        , signals_(context_, SIGTERM, SIGINT, SIGHUP)
        , fileTimer_(context_)
    { }

    exit_code run()
    {
        keepLongBuffersOutOfTheHeap();
        log_.writeStart(startEvent, "session_daemon_started", values_.instance, values_.zone);
        for (const std::error_code error :
             { gateway_.start(), readinessServer_.start(), metricsServer_.start() }) {
            if (!error)
                continue;
            log_.write(stopEvent, "session_daemon_failed", error.message());
            return exit_code::Failed;
        }
        settingsModifiedAt_ = settingsModificationTime();
        awaitSignal();
        scheduleFileCheck();
        context_.run();
        log_.write(stopEvent, "session_daemon_stopped", values_.instance);
        return exit_code::Stopped;
    }

private:
    void awaitSignal()
    {
        signals_.async_wait([this](const boost::system::error_code &error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                reload();
            else
                gateway_.stop([this] { context_.stop(); });
            awaitSignal();
        });
    }

    std::filesystem::file_time_type settingsModificationTime() const
    {
        std::error_code ignored;
        return std::filesystem::last_write_time(settingsFile_, ignored);
    }

    void scheduleFileCheck()
    {
        fileTimer_.expires_after(fileCheckInterval);
        fileTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            if (settingsModificationTime() != settingsModifiedAt_)
                reload();
            if (++fileCheckCount_ % checksPerSummary == 0)
                log_.writeCounters(summaryEvent, "summary", gateway_.summary());
            scheduleFileCheck();
        });
    }

    /// Keeps the current settings if the file has problems.
    void reload()
    {
        settingsModifiedAt_ = settingsModificationTime();
        session_settings reloaded;
        const auto problems = readSessionSettings(settingsFile_, reloaded);
        if (!problems.empty()) {
            log_.write(reloadEvent, "settings_kept", toString(problems.front()));
            return;
        }
        values_ = reloaded;
        gateway_.applySettings(reloaded);
        log_.write(reloadEvent, "settings_reloaded", {});
    }

    session_settings values_;
    std::string settingsFile_;
    session_log log_;
    boost::asio::io_context context_{ 1 };
    session_gateway gateway_;
    net::http_server readinessServer_;
    net::http_server metricsServer_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer fileTimer_;
    int fileCheckCount_ = 0;
    std::filesystem::file_time_type settingsModifiedAt_;
};

} // namespace

exit_code runSessionDaemon(const session_settings &values, const std::string &file, log_sink &log)
{
    session_daemon daemon(values, file, log);
    return daemon.run();
}

} // namespace fuchsiagw::daemon
