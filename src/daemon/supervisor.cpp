/// @file
/// @brief Restart of failed threads.

#include <utility>

#include <fuchsiagw/daemon/supervisor.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <exception>

namespace fuchsiagw::daemon {

supervisor::supervisor(std::function<void(const std::string &, const std::string &)> onFailure,
                       std::function<void(const std::string &)> onPermanentFailure)
    : onFailure_(std::move(onFailure))
    , onPermanentFailure_(std::move(onPermanentFailure))
{ }

supervisor::~supervisor()
{
    stop();
}

boost::asio::io_context &supervisor::add(const std::string &name)
{
    return threads_.emplace_back(name).context;
}

void supervisor::start()
{
    for (supervised_thread &each : threads_)
        each.thread = std::thread([this, &each] { run(each); });
}

void supervisor::run(supervised_thread &each)
{
    while (!isStopping_) {
        try {
            each.context.run();
            return;
        } catch (const std::exception &failure) {
            onFailure_(each.name, failure.what());
        }
        if (recordFailure(each)) {
            onPermanentFailure_(each.name);
            return;
        }
    }
}

bool supervisor::recordFailure(supervised_thread &each) const
{
    const core::time_point now = net::currentTime();
    each.failures.push_back(now);
    while (each.failures.front() + failureWindow < now)
        each.failures.pop_front();
    return each.failures.size() >= maxFailures;
}

void supervisor::stop()
{
    isStopping_ = true;
    for (supervised_thread &each : threads_) {
        each.guard.reset();
        each.context.stop();
    }
    for (supervised_thread &each : threads_) {
        if (each.thread.joinable())
            each.thread.join();
    }
}

} // namespace fuchsiagw::daemon
