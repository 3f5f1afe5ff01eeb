/// @file
/// @brief The thread behind the ring of log lines.

#include <fuchsiagw/daemon/log_sink.hpp>

#include <boost/lockfree/queue.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/rolling/rollingfileappender.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <system_error>
#include <thread>
#include <utility>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t maxRingLines =
        60'000; ///< Boost.Lockfree indexes a bounded queue with 16 bits

struct log_record
{
    std::chrono::system_clock::time_point time;
    log_level level;
    std::string line;
};

std::string timeText(std::chrono::system_clock::time_point time)
{
    using std::chrono::microseconds;
    const auto whole = std::chrono::floor<std::chrono::seconds>(time);
    const std::time_t seconds = std::chrono::system_clock::to_time_t(whole);
    const auto fraction = std::chrono::duration_cast<microseconds>(time - whole).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    const std::size_t size = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> rest{};
    std::snprintf(rest.data(), rest.size(), ".%06dZ", static_cast<int>(fraction));
    return std::string(date.data(), size) + rest.data();
}

/// A logger of its own for each sink, so that sinks of one process do not mix.
log4cxx::LoggerPtr makeLogger(const log_settings &settings)
{
    static std::atomic<int> sinks{ 0 };
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    log4cxx::AppenderPtr appender;
    if (settings.path.empty()) {
        appender = std::make_shared<log4cxx::ConsoleAppender>(
                layout, log4cxx::ConsoleAppender::getSystemErr());
    } else {
        // log4cxx reports a file that can't be opened only on standard error.
        if (!std::ofstream(settings.path, std::ios::app))
            throw std::system_error(core::error_kind::SettingsInvalid, settings.path);
        const auto file = std::make_shared<log4cxx::rolling::RollingFileAppender>();
        file->setLayout(layout);
        file->setFile(settings.path);
        file->setMaximumFileSize(settings.maxFileBytes);
        file->setMaxBackupIndex(settings.oldFiles);
        log4cxx::helpers::Pool pool;
        file->activateOptions(pool);
        appender = file;
    }
    auto logger = log4cxx::Logger::getLogger("fuchsiagw." + std::to_string(++sinks));
    logger->setAdditivity(false);
    logger->setLevel(log4cxx::Level::getAll());
    logger->addAppender(appender);
    return logger;
}

log4cxx::LevelPtr toLog4cxx(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Info:
        return log4cxx::Level::getInfo();
    case log_level::Warning:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

struct log_sink::worker
{
    boost::lockfree::queue<log_record *, boost::lockfree::fixed_sized<true>> ring;
    std::atomic<std::uint32_t> written{ 0 }; ///< changes with every line, so that the thread wakes
    std::atomic<bool> stopping{ false };
    std::atomic<std::uint64_t> &lost;
    std::uint64_t lostReported = 0;
    log4cxx::LoggerPtr logger;
    std::thread thread;

    worker(const log_settings &settings, std::atomic<std::uint64_t> &lostCount)
        : ring(std::clamp<std::size_t>(settings.ringLines, 1, maxRingLines))
        , lost(lostCount)
        , logger(makeLogger(settings))
        , thread([this] { run(); })
    { }

    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    ~worker()
    {
        stopping = true;
        wake();
        thread.join();
        logger->removeAllAppenders();
    }

    void wake()
    {
        written.fetch_add(1);
        written.notify_one();
    }

    void run()
    {
        for (;;) {
            const std::uint32_t before = written.load();
            const bool isLast = stopping;
            log_record *next = nullptr;
            while (ring.pop(next))
                append(*std::unique_ptr<log_record>(next));
            reportLost();
            if (isLast)
                return;
            written.wait(before);
        }
    }

    void append(const log_record &record) noexcept
    {
        try {
            std::string line = timeText(record.time) + " level=";
            line += toString(record.level);
            logger->forcedLog(toLog4cxx(record.level), line + " " + record.line);
        } catch (const std::exception &) {
            // A log that can't be written must not stop the instance.
            lost.fetch_add(1);
        }
    }

    void reportLost()
    {
        const std::uint64_t now = lost.load();
        if (now == lostReported)
            return;
        const auto count = field::number(log_key::Lost, now - lostReported);
        lostReported = now;
        append({ std::chrono::system_clock::now(), rowOf(log_event::LogLinesLost).level,
                 formatEvent(log_event::LogLinesLost, { count }) });
    }
};

log_sink::log_sink(const log_settings &settings)
    : level_(settings.level)
    , worker_(std::make_unique<worker>(settings, lost_))
{ }

log_sink::~log_sink() = default;

bool log_sink::write(log_level level, std::string line)
{
    auto record = std::make_unique<log_record>(
            log_record{ std::chrono::system_clock::now(), level, std::move(line) });
    const bool isTaken = worker_->ring.bounded_push(record.get());
    if (isTaken)
        record.release(); // NOLINT(bugprone-unused-return-value) the ring owns it now
    else
        lost_.fetch_add(1);
    worker_->wake();
    return isTaken;
}

} // namespace fuchsiagw::daemon
