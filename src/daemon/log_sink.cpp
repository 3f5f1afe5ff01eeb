/// @file
/// @brief Writer thread of the log and the ring buffers that feed it.

#include <fuchsiagw/daemon/log_sink.hpp>

#include <boost/lockfree/spsc_queue.hpp>
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
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t maxRingLines = 60'000;
constexpr std::size_t maxProducers = 64; ///< per sink, including threads that have ended

struct log_record
{
    std::chrono::system_clock::time_point time;
    log_level level;
    std::string line;
};

/// A multi-producer queue would be simpler, but the one of Boost.Lockfree reads nodes that another
/// thread may be writing, which is a data race by the C++ memory model.
using line_ring = boost::lockfree::spsc_queue<log_record *>;

/// Rings of this thread, by sink number. Sink numbers are never reused.
thread_local std::vector<std::pair<std::uint64_t, line_ring *>> threadRings;

std::string timeText(std::chrono::system_clock::time_point time)
{
    using std::chrono::microseconds;
    const auto wholeSeconds = std::chrono::floor<std::chrono::seconds>(time);
    const std::time_t seconds = std::chrono::system_clock::to_time_t(wholeSeconds);
    const auto fraction = std::chrono::duration_cast<microseconds>(time - wholeSeconds).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    const std::size_t size = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> rest{};
    std::snprintf(rest.data(), rest.size(), ".%06dZ", static_cast<int>(fraction));
    return std::string(date.data(), size) + rest.data();
}

/// Creates a separate logger per sink, so that several sinks of one process don't share appenders.
log4cxx::LoggerPtr makeLogger(const log_settings &settings)
{
    static std::atomic<int> sinks{ 0 };
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    log4cxx::AppenderPtr appender;
    if (settings.path.empty()) {
        appender = std::make_shared<log4cxx::ConsoleAppender>(
                layout, settings.standardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                                                : log4cxx::ConsoleAppender::getSystemErr());
    } else {
        // log4cxx reports a file that can't be opened only on standard error, so it is opened here.
        if (!std::ofstream(settings.path, std::ios::app))
            throw std::system_error(core::error_kind::SettingsInvalid, settings.path);
        const auto file = std::make_shared<log4cxx::rolling::RollingFileAppender>();
        file->setLayout(layout);
        file->setFile(settings.path);
        file->setMaximumFileSize(settings.maxFileBytes);
        file->setMaxBackupIndex(settings.maxRolledFiles);
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
    const std::uint64_t sinkNumber = nextSinkNumber();
    const std::size_t capacity;
    std::mutex registrationMutex; ///< locked once by each thread
    std::array<std::unique_ptr<line_ring>, maxProducers> rings; ///< the first producerCount are set
    std::atomic<std::size_t> producerCount{ 0 };
    /// Incremented for each line, to wake the writer thread.
    std::atomic<std::uint32_t> wakeCount{ 0 };
    std::atomic<bool> stopping{ false };
    std::atomic<std::uint64_t> &lost;
    std::uint64_t reportedLost = 0;
    log4cxx::LoggerPtr logger;
    std::thread thread;

    worker(const log_settings &settings, std::atomic<std::uint64_t> &lostCount)
        : capacity(std::clamp<std::size_t>(settings.ringLines, 1, maxRingLines))
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
        wakeCount.fetch_add(1);
        wakeCount.notify_one();
    }

    static std::uint64_t nextSinkNumber()
    {
        static std::atomic<std::uint64_t> last{ 0 };
        return ++last;
    }

    /// @return the ring of the calling thread; nullptr if maxProducers threads have rings already
    line_ring *threadRing()
    {
        for (const auto &[sink, ring] : threadRings) {
            if (sink == sinkNumber)
                return ring;
        }
        const std::lock_guard lock(registrationMutex);
        const std::size_t index = producerCount.load();
        if (index >= maxProducers)
            return nullptr;
        rings.at(index) = std::make_unique<line_ring>(capacity);
        producerCount.store(index + 1);
        threadRings.emplace_back(sinkNumber, rings.at(index).get());
        return threadRings.back().second;
    }

    void run()
    {
        for (;;) {
            const std::uint32_t previousWakeCount = wakeCount.load();
            const bool isStopRequested = stopping;
            const bool isEmpty = writeAll();
            reportLost();
            if (isStopRequested && isEmpty)
                return;
            if (isEmpty)
                wakeCount.wait(previousWakeCount);
        }
    }

    /// Writes the queued lines in order of time.
    /// @return whether all rings were empty
    bool writeAll()
    {
        std::vector<std::unique_ptr<log_record>> records;
        const auto take = [&records](log_record *each) { records.emplace_back(each); };
        for (std::size_t i = 0; i < producerCount.load(); ++i) {
            // Bounded, because a busy producer may push as fast as this loop pops.
            for (std::size_t takenCount = 0;
                 takenCount < capacity && rings.at(i)->consume_one(take);)
                ++takenCount;
        }
        std::stable_sort(records.begin(), records.end(), [](const auto &left, const auto &right) {
            return left->time < right->time;
        });
        for (const auto &record : records)
            append(*record);
        return records.empty();
    }

    void append(const log_record &record) noexcept
    {
        try {
            std::string line = timeText(record.time) + " level=";
            line += toString(record.level);
            logger->forcedLog(toLog4cxx(record.level), line + " " + record.line);
        } catch (const std::exception &) {
            // A failure to write the log must not stop the instance.
            lost.fetch_add(1);
        }
    }

    void reportLost()
    {
        const std::uint64_t now = lost.load();
        if (now == reportedLost)
            return;
        const auto count = field::number(log_key::Lost, now - reportedLost);
        reportedLost = now;
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
    line_ring *ring = worker_->threadRing();
    const bool isQueued = ring != nullptr && ring->push(record.get());
    if (isQueued)
        record.release(); // NOLINT(bugprone-unused-return-value) the ring owns the record now
    else
        lost_.fetch_add(1);
    worker_->wake();
    return isQueued;
}

} // namespace fuchsiagw::daemon
