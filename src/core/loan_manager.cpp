/// @file
/// @brief Set-up of the loan desk: limits, candidates for loans, lease and connections.

#include <fuchsiagw/core/loan_policy.hpp>

#include <algorithm>

namespace fuchsiagw::core {

loan_manager makeLoanManager(const peer_ref &self, const loan_settings &settings, time_point now)
{
    loan_manager desk;
    desk.self = self;
    desk.settings = settings;
    desk.nextScan = now;
    reshape(desk.budget, settings.bytesPerSecond * oneToken, settings.byteBurst * oneToken, now);
    put(desk.budget, settings.byteBurst * oneToken, now);
    return desk;
}

limit_entry &openLimit(loan_manager &desk, const resource_id &resource, std::int64_t rate,
                       token_amount burst, share_count total, time_point now)
{
    limit_entry &entry = desk.limits[resource];
    core::setLimit(entry.book, rate, burst, total, now);
    return entry;
}

void closeLimit(loan_manager &desk, const resource_id &resource)
{
    desk.active.erase(resource);
    desk.urgent.erase(resource);
    desk.limits.erase(resource);
}

void setCandidates(loan_manager &desk, const resource_id &resource,
                   const std::vector<incarnation_id> &holders, const std::vector<peer_ref> &live,
                   random_engine &random)
{
    const auto entry = desk.limits.find(resource);
    if (entry == desk.limits.end())
        return;
    std::map<incarnation_id, zone_name> zones;
    for (const peer_ref &peer : live)
        zones.emplace(peer.incarnation, peer.zone);
    struct ranked
    {
        bool isFar = false;
        std::uint64_t order = 0; ///< random, so that the daemons do not all ask the same peer
        incarnation_id incarnation = 0;
    };
    std::vector<ranked> all;
    for (const incarnation_id each : holders)
        if (each != desk.self.incarnation)
            all.push_back({ zones[each] != desk.self.zone, random(), each });
    std::sort(all.begin(), all.end(), [](const ranked &left, const ranked &right) {
        return left.isFar == right.isFar ? left.order < right.order : right.isFar;
    });
    all.resize(std::min(all.size(), desk.settings.candidates));
    auto &candidates = entry->second.candidates;
    candidates.clear();
    for (const ranked &each : all)
        candidates.push_back(each.incarnation);
    entry->second.nextCandidate = 0;
}

void setHomeUntil(loan_manager &desk, time_point until, time_point now)
{
    for (auto &[resource, entry] : desk.limits)
        setHomeUntil(entry.book, until, now);
}

void setConnections(loan_manager &desk, const resource_id &group, std::uint32_t inUse,
                    std::uint32_t waiting)
{
    const auto entry = desk.limits.find(group);
    if (entry == desk.limits.end())
        return;
    if (waiting > entry->second.waiting)
        desk.urgent.insert(group);
    entry->second.inUse = inUse;
    entry->second.waiting = waiting;
    desk.active.insert(group);
}

} // namespace fuchsiagw::core
