/// @file
/// @brief Random schedules of faults, of members that join and leave, and of late orders.

#pragma once

#include "schedule-cluster.hpp"

#include <string>

namespace fuchsiagw::proxy {

/// What happens in a schedule besides cuts, crashes and suspended daemons.
struct schedule_kinds
{
    bool changesMembers = false; ///< members join and leave, daemons list them late
    bool delaysControl = false; ///< members carry out pauses, resumes and orders to step down late
};

inline std::string randomMember(schedule_cluster &cluster)
{
    const std::vector<std::string> present = cluster.presentMembers();
    return present.at(cluster.below(present.size()));
}

inline void playMemberChange(schedule_cluster &cluster)
{
    constexpr std::uint64_t maxListAgeMs = 3'000;
    constexpr std::size_t maxMembers = 5;
    if (cluster.presentMembers().size() < maxMembers && cluster.below(2) == 0)
        cluster.join(milliseconds(100 + cluster.below(maxListAgeMs)));
    else
        cluster.leave(randomMember(cluster), milliseconds(500 + cluster.below(2'500)),
                      milliseconds(100 + cluster.below(maxListAgeMs)));
}

inline void playFault(schedule_cluster &cluster)
{
    const std::string member = randomMember(cluster);
    const std::string daemon = "n" + std::to_string(1 + cluster.below(3));
    const milliseconds duration(300 + cluster.below(4'000));
    switch (cluster.below(7)) {
    case 0:
        cluster.hide(member, { "n1", "n2", "n3" }, duration);
        break;
    case 1:
        cluster.hide(member, { "n1", "n2" }, duration);
        break;
    case 2:
        cluster.stop(member, duration / 2);
        break;
    case 3:
        cluster.cut(daemon, "store", duration);
        break;
    case 4:
        cluster.suspend(daemon, duration / 2);
        break;
    case 5:
        cluster.separate(member, duration / 2);
        break;
    default: {
        const std::string other = randomMember(cluster);
        if (other != member)
            cluster.cut(member, other, duration / 2);
    }
    }
}

/// Plays 30 s in which orders are late at first.
inline void playSchedule(schedule_cluster &cluster, const schedule_kinds &kinds)
{
    cluster.ordersAreLateUntil = cluster.now + milliseconds(5'000 + cluster.below(10'000));
    if (kinds.delaysControl) {
        cluster.controlDelay = [&cluster](const std::string &) {
            constexpr std::uint64_t latePercent = 5;
            const bool isLate = cluster.below(100) < latePercent;
            return milliseconds(isLate ? 50 + cluster.below(2'000) : 0);
        };
    }
    for (int i = 0; i < 10; ++i) {
        if (kinds.changesMembers && cluster.below(3) == 0)
            playMemberChange(cluster);
        else
            playFault(cluster);
        cluster.advance(milliseconds(cluster.below(2'000)));
    }
    cluster.advance(std::chrono::seconds(18));
}

} // namespace fuchsiagw::proxy
