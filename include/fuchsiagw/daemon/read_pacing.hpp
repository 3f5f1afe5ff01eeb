/// @file
/// @brief How often a daemon reads news of the platform's store, by the size of the deployment.
///
/// Every change wakes the feed of every daemon. With a fixed pause between two reads, the calls of
/// a deployment grow with its size; with a pause that grows with it, they don't. Urgent news, such
/// as a new leader or a newer manifest, also spreads between the daemons.

#pragma once

#include <chrono>
#include <cstddef>

namespace fuchsiagw::daemon {

struct read_pacing
{
    std::chrono::milliseconds memberPollPause{}; ///< between two reads of the members' feed
    std::chrono::milliseconds instancePollPause{}; ///< between two reads of the instances' feed
    /// Between two reads of the whole list of members that answers of members have caused.
    std::chrono::milliseconds minMemberReadInterval{};
};

/// @param instances number of daemons of the deployment
[[nodiscard]] read_pacing pacingFor(std::size_t instances);

} // namespace fuchsiagw::daemon
