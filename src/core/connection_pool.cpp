/// @file
/// @brief Selection of connections from an owner's pool.

#include <fuchsiagw/core/connection_pool.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

/// Lists the idle connections, least recently used first.
std::vector<connection_id> idleConnections(const connection_pool &pool)
{
    std::vector<connection_id> idle;
    for (const auto &[id, connection] : pool.connections) {
        if (connection.state == connection_state::Idle)
            idle.push_back(id);
    }
    std::sort(idle.begin(), idle.end(), [&pool](connection_id left, connection_id right) {
        return pool.connections.at(left).idleSince < pool.connections.at(right).idleSince;
    });
    return idle;
}

} // namespace

connection_choice chooseConnection(const connection_pool &pool, const member_id &member,
                                   time_point now)
{
    const std::vector<connection_id> idle = idleConnections(pool);
    // The most recently used one, so that the others become old enough to be replaced.
    const auto own = std::find_if(idle.rbegin(), idle.rend(), [&](connection_id id) {
        return pool.connections.at(id).member == member;
    });
    if (own != idle.rend())
        return { connection_step::Use, *own };
    if (pool.connections.size() < pool.limit)
        return { connection_step::Open, 0 };
    if (pool.connections.size() > pool.limit || idle.empty())
        return {};
    const bool hasNone = countConnections(pool, member) == 0;
    const bool isLongIdle =
            pool.connections.at(idle.front()).idleSince + idleReplaceInterval <= now;
    if (hasNone || isLongIdle)
        return { connection_step::Replace, idle.front() };
    return {};
}

connection_id addConnection(connection_pool &pool, const member_id &member, std::uint64_t statement)
{
    const connection_id id = pool.nextId++;
    pool.connections[id] = { member, connection_state::Opening, statement, 0, {} };
    return id;
}

std::uint32_t countAvailable(const connection_pool &pool)
{
    const auto idle =
            std::count_if(pool.connections.begin(), pool.connections.end(), [](const auto &each) {
                return each.second.state == connection_state::Idle;
            });
    const std::size_t open = pool.connections.size();
    const std::size_t unopened = open < pool.limit ? pool.limit - open : 0;
    return static_cast<std::uint32_t>(static_cast<std::size_t>(idle) + unopened);
}

std::vector<connection_id> surplusConnections(const connection_pool &pool)
{
    if (pool.connections.size() <= pool.limit)
        return {};
    std::vector<connection_id> surplus = idleConnections(pool);
    surplus.resize(std::min(surplus.size(), pool.connections.size() - pool.limit));
    return surplus;
}

std::uint32_t countConnections(const connection_pool &pool, const member_id &member)
{
    return static_cast<std::uint32_t>(
            std::count_if(pool.connections.begin(), pool.connections.end(),
                          [&member](const auto &each) { return each.second.member == member; }));
}

} // namespace fuchsiagw::core
