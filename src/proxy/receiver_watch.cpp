/// @file
/// @brief Follows whether the member of an open promotion order receives what the primary has.

#include <fuchsiagw/proxy/receiver_watch.hpp>

#include <algorithm>
#include <chrono>

namespace fuchsiagw::proxy {

namespace {

/// Longer than a commit takes to a replica that receives.
constexpr std::chrono::milliseconds replicationTimeout{ 200 };

} // namespace

void recordReceived(receiver_watch &watch, core::log_position received, core::time_point askedAt,
                    core::log_position primary, core::time_point primaryAt)
{
    watch.received = received;
    if (received >= primary)
        watch.behindSince = core::noDeadline;
    else if (askedAt >= primaryAt)
        watch.behindSince = std::min(watch.behindSince, askedAt);
}

bool staysBehind(const receiver_watch &watch, core::time_point now)
{
    return watch.behindSince != core::noDeadline && now - watch.behindSince >= replicationTimeout;
}

} // namespace fuchsiagw::proxy
