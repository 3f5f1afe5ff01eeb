/// @file
/// @brief Starts the daemon's threads, restarts one that fails, and stops them all.

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

/// A thread that runs one Asio context. Log lines name it in the field `duty`. The objects on the
/// context are used by this thread only.
struct supervised_thread
{
    explicit supervised_thread(std::string threadName)
        : name(std::move(threadName))
        , guard(boost::asio::make_work_guard(context))
    { }

    std::string name;
    boost::asio::io_context context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread thread;
    std::deque<core::time_point> failures; ///< times in ascending order, within failureWindow
};

/// Runs threads and restarts them after exceptions.
/// A handler that throws does not end its thread: the context continues with the next handler. A
/// thread that fails maxFailures times within failureWindow is not restarted again, and the
/// daemon stops the process.
class supervisor
{
public:
    static constexpr std::size_t maxFailures = 5;
    static constexpr core::duration failureWindow = std::chrono::seconds(10);

    /// @param onFailure is called on the failed thread, with its name and the text of the exception
    /// @param onPermanentFailure is called on a thread that is not restarted, with its name
    supervisor(std::function<void(const std::string &, const std::string &)> onFailure,
               std::function<void(const std::string &)> onPermanentFailure);
    ~supervisor();
    supervisor(const supervisor &) = delete;
    supervisor &operator=(const supervisor &) = delete;

    /// @brief Adds a thread, which start() starts.
    /// @return the context that the thread runs
    [[nodiscard]] boost::asio::io_context &add(const std::string &name);

    void start();

    /// @brief Stops all contexts and joins the threads.
    void stop();

private:
    void run(supervised_thread &each);
    /// @return whether the thread has reached maxFailures within failureWindow
    [[nodiscard]] bool recordFailure(supervised_thread &each) const;

    std::function<void(const std::string &, const std::string &)> onFailure_;
    std::function<void(const std::string &)> onPermanentFailure_;
    std::list<supervised_thread> threads_;
    std::atomic<bool> isStopping_{ false };
};

} // namespace fuchsiagw::daemon
