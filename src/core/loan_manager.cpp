/// @file
/// @brief Configures the loan manager: limits, possible lenders, lease deadline and connections.

#include <fuchsiagw/core/loan_policy.hpp>

#include <algorithm>

namespace fuchsiagw::core {

loan_manager makeLoanManager(const peer_ref &self, const loan_settings &settings, time_point now)
{
    loan_manager manager;
    manager.self = self;
    manager.settings = settings;
    manager.nextScanAt = now;
    reconfigure(manager.byteBudget, settings.bytesPerSecond * oneToken,
                settings.byteBurst * oneToken, now);
    deposit(manager.byteBudget, settings.byteBurst * oneToken, now);
    return manager;
}

limit_entry &addOrUpdateLimit(loan_manager &manager, const resource_id &resource, std::int64_t rate,
                              token_amount burst, share_count total, time_point now)
{
    limit_entry &entry = manager.limits[resource];
    core::setLimit(entry.ledger, rate, burst, total, now);
    return entry;
}

void removeLimit(loan_manager &manager, const resource_id &resource)
{
    manager.active.erase(resource);
    manager.urgent.erase(resource);
    manager.limits.erase(resource);
}

void setCandidates(loan_manager &manager, const resource_id &resource,
                   const std::vector<incarnation_id> &holders, const std::vector<peer_ref> &live,
                   random_engine &random)
{
    const auto entry = manager.limits.find(resource);
    if (entry == manager.limits.end())
        return;
    std::map<incarnation_id, zone_name> zones;
    for (const peer_ref &peer : live)
        zones.emplace(peer.incarnation, peer.zone);
    struct ranked
    {
        bool isInOtherZone = false;
        std::uint64_t order = 0; ///< random, so that the daemons do not all ask the same peer first
        incarnation_id incarnation = 0;
    };
    std::vector<ranked> all;
    for (const incarnation_id each : holders)
        if (each != manager.self.incarnation)
            all.push_back({ zones[each] != manager.self.zone, random(), each });
    std::sort(all.begin(), all.end(), [](const ranked &left, const ranked &right) {
        return left.isInOtherZone == right.isInOtherZone ? left.order < right.order
                                                         : right.isInOtherZone;
    });
    all.resize(std::min(all.size(), manager.settings.maxCandidates));
    auto &candidates = entry->second.candidates;
    candidates.clear();
    for (const ranked &each : all)
        candidates.push_back(each.incarnation);
    entry->second.nextCandidate = 0;
}

void setHomeUntil(loan_manager &manager, time_point until, time_point now)
{
    for (auto &[resource, entry] : manager.limits)
        setHomeUntil(entry.ledger, until, now);
}

void setConnections(loan_manager &manager, const resource_id &group, std::uint32_t inUse,
                    std::uint32_t waiting)
{
    const auto entry = manager.limits.find(group);
    if (entry == manager.limits.end())
        return;
    if (waiting > entry->second.waiting)
        manager.urgent.insert(group);
    entry->second.inUse = inUse;
    entry->second.waiting = waiting;
    manager.active.insert(group);
}

} // namespace fuchsiagw::core
