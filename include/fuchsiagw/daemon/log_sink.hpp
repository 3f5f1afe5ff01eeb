/// @file
/// @brief Asynchronous log: accepts lines from all threads and writes them on its own thread with
/// log4cxx.

#pragma once

#include <fuchsiagw/daemon/log_event.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace fuchsiagw::daemon {

struct log_settings
{
    std::string path; ///< log file; empty: standard error
    bool standardOutput = false; ///< if the path is empty: write to standard output
    log_level level = log_level::Info; ///< lines below this level are dropped
    /// At this size the file is rolled; bounded because instances are diskless.
    std::size_t maxFileBytes = 16'000'000;
    int maxRolledFiles = 2; ///< older files that are kept
    std::size_t ringLines = 8192; ///< capacity of each thread's ring; at most 60000
};

/// Writers never wait for the writer thread or I/O: each thread has its own ring buffer, and a line
/// that finds the ring full is dropped and counted. At most 64 threads can write to one sink.
class log_sink
{
public:
    /// @throw std::exception if the file can't be opened or the thread can't start
    explicit log_sink(const log_settings &settings);
    /// Writes all queued lines.
    ~log_sink();
    log_sink(const log_sink &) = delete;
    log_sink &operator=(const log_sink &) = delete;

    [[nodiscard]] bool accepts(log_level level) const { return level >= level_; }

    /// @brief Queues a line. Thread-safe; only a thread's first call locks, to register its ring.
    /// @return false if the line was dropped because the thread's ring is full or there are too
    /// many threads
    bool write(log_level level, std::string line);

    /// @return number of dropped lines so far
    [[nodiscard]] std::uint64_t lost() const { return lost_.load(std::memory_order_relaxed); }

private:
    struct worker;

    log_level level_;
    std::atomic<std::uint64_t> lost_{ 0 };
    std::unique_ptr<worker> worker_;
};

} // namespace fuchsiagw::daemon
