/// @file
/// @brief Measures a member's load and decides when to announce it.

#include <fuchsiagw/proxy/member_load.hpp>

#include <fuchsiagw/proxy/concurrency_limit.hpp>
#include <fuchsiagw/proxy/relay_pool.hpp>

#include <algorithm>
#include <limits>

namespace fuchsiagw::proxy {

namespace {

using std::chrono::milliseconds;

/// A member is full once operations have waited for it without a pause for this long. Shorter
/// queues are over before the other daemons could act on the news.
constexpr milliseconds fullDelay{ 500 };
/// A state that lasts shorter is not announced: each announcement is a datagram to every daemon.
constexpr milliseconds minStateAge{ 200 };
constexpr milliseconds minAnnouncementInterval{ 1'000 };
constexpr milliseconds repetitionInterval{ 1'000 };

} // namespace

member_load measureLoad(load_announcement &progress, const concurrency_limit &limit,
                        const relay_pool &pool, core::time_point now)
{
    if (pool.waiting.empty())
        progress.waitingSince = core::noDeadline;
    else
        progress.waitingSince = std::min(progress.waitingSince, now);
    member_load load;
    load.limit = currentLimit(limit, now);
    load.answerUs = static_cast<std::int64_t>(limit.recentUs);
    constexpr int lowestPriority = std::numeric_limits<int>::max();
    load.waitUs = expectedWait(pool, {}, lowestPriority).count();
    if (isSlow(limit))
        load.state = load_state::Slow;
    else if (progress.waitingSince != core::noDeadline && now - progress.waitingSince >= fullDelay)
        load.state = load_state::Full;
    return load;
}

bool takeAnnouncement(load_announcement &progress, const member_load &load, core::time_point now)
{
    if (load.state != progress.measured) {
        progress.measured = load.state;
        progress.measuredSince = now;
    }
    const core::duration age = now - progress.announcedAt;
    const bool isChanged =
            load.state != progress.announced.state && now - progress.measuredSince >= minStateAge;
    const bool isDue = isChanged ? age >= minAnnouncementInterval
                                 : load.state != load_state::Normal && age >= repetitionInterval;
    if (!isDue)
        return false;
    progress.announced = load;
    progress.announcedAt = now;
    return true;
}

} // namespace fuchsiagw::proxy
