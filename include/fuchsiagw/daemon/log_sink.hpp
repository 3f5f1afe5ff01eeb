/// @file
/// @brief Takes log lines from every duty and writes them with log4cxx on a thread of its own.

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
    std::string path; ///< file; empty: standard error
    bool standardOutput = false; ///< without a path: standard output
    log_level level = log_level::Info; ///< lines below it are dropped
    std::size_t maxFileBytes = 16'000'000; ///< the file is then rolled; instances are diskless
    int oldFiles = 2; ///< rolled files that are kept
    std::size_t ringLines = 8192; ///< of each thread; at most 60000
};

/// Duties never wait for the log: each thread has a ring, and when it is full, the line is counted
/// and dropped. At most 64 threads can write to one sink.
class log_sink
{
public:
    /// @throw std::exception if the file can't be opened or the thread can't start
    explicit log_sink(const log_settings &settings);
    /// Writes what the rings hold.
    ~log_sink();
    log_sink(const log_sink &) = delete;
    log_sink &operator=(const log_sink &) = delete;

    [[nodiscard]] bool accepts(log_level level) const { return level >= level_; }

    /// @brief Hands over a line. Any thread may call it; it never blocks.
    /// @return false if the thread's ring was full and the line is lost
    bool write(log_level level, std::string line);

    /// @return lines lost so far
    [[nodiscard]] std::uint64_t lost() const { return lost_.load(std::memory_order_relaxed); }

private:
    struct worker;

    log_level level_;
    std::atomic<std::uint64_t> lost_{ 0 };
    std::unique_ptr<worker> worker_;
};

} // namespace fuchsiagw::daemon
