/// @file
/// @brief Pauses between reads of the store.

#include <fuchsiagw/daemon/read_pacing.hpp>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

using std::chrono::milliseconds;

/// Rates that all daemons together do not exceed while changes come all the time, in calls per
/// second; the longest pauses keep leaving members and new daemons known in time.
constexpr std::int64_t memberReadsPerSecond = 75;
constexpr std::int64_t instanceReadsPerSecond = 30;
constexpr std::int64_t memberListReadsPerSecond = 200;
constexpr milliseconds minMemberPause{ 800 };
constexpr milliseconds maxMemberPause{ 3'000 };
constexpr milliseconds minInstancePause{ 3'000 };
constexpr milliseconds maxInstancePause{ 10'000 };
constexpr milliseconds minListInterval{ 250 };
constexpr milliseconds maxListInterval{ 1'000 };

milliseconds pauseFor(std::size_t instances, std::int64_t callsPerSecond, milliseconds least,
                      milliseconds most)
{
    constexpr std::size_t maxInstances = 1'000'000; // beyond it the longest pause applies anyway
    const auto count = static_cast<std::int64_t>(std::min(instances, maxInstances));
    return std::clamp(milliseconds(count * 1'000 / callsPerSecond), least, most);
}

} // namespace

read_pacing pacingFor(std::size_t instances)
{
    read_pacing result;
    result.memberPollPause =
            pauseFor(instances, memberReadsPerSecond, minMemberPause, maxMemberPause);
    result.instancePollPause =
            pauseFor(instances, instanceReadsPerSecond, minInstancePause, maxInstancePause);
    result.minMemberReadInterval =
            pauseFor(instances, memberListReadsPerSecond, minListInterval, maxListInterval);
    return result;
}

} // namespace fuchsiagw::daemon
