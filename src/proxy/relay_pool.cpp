/// @file
/// @brief Assigns pooled connections to borrowers and decides when to open new ones.

#include <fuchsiagw/proxy/relay_pool.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// Limit of concurrent handshakes, because each of them occupies a slot of the member.
constexpr std::size_t maxOpening = 2;
constexpr std::chrono::seconds idleTimeout{ 8 };

/// @return the most recently used idle connection of a workspace, or 0
pooled_id findIdle(const relay_pool &pool, const std::string &workspace)
{
    pooled_id newest = 0;
    for (const auto &[id, each] : pool.connections) {
        const bool isUsable = each.state == pooled_state::Idle && each.workspace == workspace;
        if (isUsable && (newest == 0 || each.since > pool.connections.at(newest).since))
            newest = id;
    }
    return newest;
}

/// @return the connection that has been idle longest, or 0; borrowers served before have already
/// taken the idle connections of their workspaces
pooled_id findEvictable(const relay_pool &pool)
{
    pooled_id oldest = 0;
    for (const auto &[id, each] : pool.connections) {
        if (each.state != pooled_state::Idle)
            continue;
        if (oldest == 0 || each.since < pool.connections.at(oldest).since)
            oldest = id;
    }
    return oldest;
}

std::size_t countOpening(const relay_pool &pool, const std::string *workspace)
{
    return static_cast<std::size_t>(
            std::count_if(pool.connections.begin(), pool.connections.end(), [&](const auto &each) {
                return each.second.state == pooled_state::Opening
                       && (workspace == nullptr || each.second.workspace == *workspace);
            }));
}

/// Requests a connection for a workspace if the member may be asked for one now.
void tryOpen(relay_pool &pool, const std::string &workspace, std::size_t opened, relay_step &step,
             core::time_point now)
{
    if (now < pool.refusedUntil || countOpening(pool, nullptr) + opened >= maxOpening)
        return;
    if (pool.connections.size() + opened >= pool.limit) {
        const pooled_id victim = findEvictable(pool);
        if (victim == 0)
            return;
        pool.connections.erase(victim);
        step.close.push_back(victim);
    }
    step.open.push_back(workspace);
}

} // namespace

relay_step advance(relay_pool &pool, core::time_point now)
{
    relay_step step;
    std::map<std::string, std::size_t> queuedAhead; // waiting borrowers by workspace
    std::deque<waiting_borrower> stillWaiting;
    for (waiting_borrower &each : pool.waiting) {
        if (const pooled_id idle = findIdle(pool, each.workspace)) {
            pool.connections.at(idle).state = pooled_state::Lent;
            pool.connections.at(idle).since = now;
            step.lend.push_back({ each.id, idle });
            continue;
        }
        if (each.waitUntil <= now) {
            step.refuse.push_back(each.id);
            continue;
        }
        const auto planned = static_cast<std::size_t>(
                std::count(step.open.begin(), step.open.end(), each.workspace));
        const std::size_t expectedConnections = countOpening(pool, &each.workspace) + planned;
        if (queuedAhead[each.workspace]++ >= expectedConnections)
            tryOpen(pool, each.workspace, step.open.size(), step, now);
        stillWaiting.push_back(std::move(each));
    }
    pool.waiting = std::move(stillWaiting);
    return step;
}

std::vector<pooled_id> findExpired(const relay_pool &pool, core::time_point now)
{
    std::vector<pooled_id> result;
    for (const auto &[id, each] : pool.connections) {
        if (each.state == pooled_state::Idle && now - each.since > idleTimeout)
            result.push_back(id);
    }
    return result;
}

} // namespace fuchsiagw::proxy
