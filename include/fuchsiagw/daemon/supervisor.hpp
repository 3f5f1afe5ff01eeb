/// @file
/// @brief Starts the daemon's duties, restarts one that fails, and stops them all.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <thread>

namespace fuchsiagw::daemon {

/// One thread with one Asio context. Only this thread touches what the duty owns.
struct worker
{
    explicit worker(std::string workerName)
        : name(std::move(workerName))
        , guard(boost::asio::make_work_guard(context))
    { }

    std::string name;
    boost::asio::io_context context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread thread;
    std::deque<core::time_point>
            failures; ///< newest last; only those within failureWindow are kept
};

/// Root of the supervisor tree; its children are the duties.
/// A handler that throws ends its turn only: the duty's context goes on with the next handler. A
/// duty that fails failureLimit times within failureWindow is beyond repair and ends the process.
class supervisor
{
public:
    static constexpr std::size_t maxFailures = 5;
    static constexpr core::duration failureWindow = std::chrono::seconds(10);

    /// @param onFailure is told the duty and what it threw, on the duty's thread
    /// @param onGiveUp is called on the duty's thread when it is beyond repair
    supervisor(std::function<void(const std::string &, const std::string &)> onFailure,
               std::function<void(const std::string &)> onPermanentFailure);
    ~supervisor();
    supervisor(const supervisor &) = delete;
    supervisor &operator=(const supervisor &) = delete;

    /// @brief Adds a duty; its thread starts with start().
    [[nodiscard]] boost::asio::io_context &add(const std::string &name);

    void start();

    /// @brief Ends every duty's context and joins the threads.
    void stop();

private:
    void run(worker &each);
    [[nodiscard]] bool recordFailure(worker &each) const;

    std::function<void(const std::string &, const std::string &)> onFailure_;
    std::function<void(const std::string &)> onPermanentFailure_;
    std::list<worker> workers_;
    std::atomic<bool> isStopping_{ false };
};

} // namespace fuchsiagw::daemon
