/// @file
/// @brief The thread behind the ring of log lines.

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
constexpr std::size_t maxProducers = 64; ///< threads that write to one sink, dead ones included

struct log_record
{
    std::chrono::system_clock::time_point time;
    log_level level;
    std::string line;
};

/// A queue with many producers would be simpler, but Boost.Lockfree's reads nodes that another
/// thread may be writing, which is a data race by the rules of the language.
using line_ring = boost::lockfree::spsc_queue<log_record *>;

/// The rings of this thread, by number of the sink. Numbers are never used again.
thread_local std::vector<std::pair<std::uint64_t, line_ring *>> ownRings;

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
                layout, settings.standardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                                                : log4cxx::ConsoleAppender::getSystemErr());
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
    const std::uint64_t number = nextNumber();
    const std::size_t capacity;
    std::mutex registration; ///< taken once by each thread
    std::array<std::unique_ptr<line_ring>, maxProducers> rings; ///< the first `producers` are set
    std::atomic<std::size_t> producers{ 0 };
    std::atomic<std::uint32_t> written{ 0 }; ///< changes with every line, so that the thread wakes
    std::atomic<bool> stopping{ false };
    std::atomic<std::uint64_t> &lost;
    std::uint64_t lostReported = 0;
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
        written.fetch_add(1);
        written.notify_one();
    }

    static std::uint64_t nextNumber()
    {
        static std::atomic<std::uint64_t> last{ 0 };
        return ++last;
    }

    /// @return the ring of the calling thread, nullptr if there are too many threads
    line_ring *ownRing()
    {
        for (const auto &[sink, ring] : ownRings) {
            if (sink == number)
                return ring;
        }
        const std::lock_guard lock(registration);
        const std::size_t index = producers.load();
        if (index >= maxProducers)
            return nullptr;
        rings.at(index) = std::make_unique<line_ring>(capacity);
        producers.store(index + 1);
        ownRings.emplace_back(number, rings.at(index).get());
        return ownRings.back().second;
    }

    void run()
    {
        for (;;) {
            const std::uint32_t before = written.load();
            const bool isLast = stopping;
            const bool isEmpty = writeAll();
            reportLost();
            if (isLast && isEmpty)
                return;
            if (isEmpty)
                written.wait(before);
        }
    }

    /// Writes what the rings hold, in the order of time.
    /// @return whether they were empty
    bool writeAll()
    {
        std::vector<std::unique_ptr<log_record>> records;
        const auto take = [&records](log_record *each) { records.emplace_back(each); };
        for (std::size_t i = 0; i < producers.load(); ++i) {
            // Bounded, since a busy thread may push as fast as this one takes.
            for (std::size_t taken = 0; taken < capacity && rings.at(i)->consume_one(take);)
                ++taken;
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
    line_ring *ring = worker_->ownRing();
    const bool isTaken = ring != nullptr && ring->push(record.get());
    if (isTaken)
        record.release(); // NOLINT(bugprone-unused-return-value) the ring owns it now
    else
        lost_.fetch_add(1);
    worker_->wake();
    return isTaken;
}

} // namespace fuchsiagw::daemon
