/// @file
/// @brief The supervisor's restart rule.

#include <utility>

#include <fuchsiagw/daemon/supervisor.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <exception>

namespace fuchsiagw::daemon {

supervisor::supervisor(std::function<void(const std::string &, const std::string &)> onFailure,
                       std::function<void(const std::string &)> onGiveUp)
    : onFailure_(std::move(onFailure))
    , onGiveUp_(std::move(onGiveUp))
{ }

supervisor::~supervisor()
{
    stop();
}

boost::asio::io_context &supervisor::add(const std::string &name)
{
    return duties_.emplace_back(name).context;
}

void supervisor::start()
{
    for (duty &each : duties_)
        each.thread = std::thread([this, &each] { run(each); });
}

void supervisor::run(duty &each)
{
    while (!stopping_) {
        try {
            each.context.run();
            return;
        } catch (const std::exception &failure) {
            onFailure_(each.name, failure.what());
        }
        if (isBeyondRepair(each)) {
            onGiveUp_(each.name);
            return;
        }
    }
}

bool supervisor::isBeyondRepair(duty &each) const
{
    const core::time_point now = net::currentTime();
    each.failures.push_back(now);
    while (each.failures.front() + failureWindow < now)
        each.failures.pop_front();
    return each.failures.size() >= failureLimit;
}

void supervisor::stop()
{
    stopping_ = true;
    for (duty &each : duties_) {
        each.guard.reset();
        each.context.stop();
    }
    for (duty &each : duties_) {
        if (each.thread.joinable())
            each.thread.join();
    }
}

} // namespace fuchsiagw::daemon
