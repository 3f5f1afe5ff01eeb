/// @file
/// @brief Determines the limits of the limit manager and this instance's fair part of each.

#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/rendezvous.hpp>
#include <fuchsiagw/detail/limit_manager_steps.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::core {

namespace {

/// Instances that one tick examines to recompute holders; later ticks process the rest.
constexpr std::size_t maxInstancesPerTick = 20'000;

/// Differences from the fair part below the fair part divided by this are ignored, as in
/// rebalanceDelta().
constexpr share_count smallDifferenceDivisor = 10;

/// Holders take shares or resize pools one after another, delayed by their rank among the holders,
/// instead of all at the same time.
constexpr duration takeDelayPerRank = std::chrono::milliseconds(20);
constexpr duration resizeDelayPerRank = std::chrono::milliseconds(300);
constexpr std::size_t maxDelayedRank = 1'000;

constexpr duration maxReturnDelay = std::chrono::milliseconds(500);

/// With many instances, the shares that a dead instance leaves change each fair part by less than
/// the small difference that is ignored. Therefore the first holders read the pool after a delay
/// and take somewhat more than their fair part.
constexpr std::size_t maxAbsorbingHolders = 8;
constexpr duration absorptionDelay = std::chrono::seconds(15);

std::int64_t toTokenAmount(double value, std::int64_t bound)
{
    const double scaled =
            std::clamp(value * static_cast<double>(oneToken), 0.0, static_cast<double>(bound));
    return static_cast<std::int64_t>(std::llround(scaled));
}

std::vector<incarnation_id> zoneOwners(const limit_manager &manager, const group_id &group)
{
    std::map<zone_name, std::map<instance_id, incarnation_id>> zones;
    for (const peer_ref &each : manager.live)
        zones[each.zone].emplace(each.instance, each.incarnation);
    std::vector<incarnation_id> owners;
    for (const auto &[zone, instances] : zones) {
        if (zone == manager.self.zone) {
            owners.push_back(manager.self.incarnation);
            continue;
        }
        std::vector<instance_id> names;
        names.reserve(instances.size());
        for (const auto &[instance, incarnation] : instances)
            names.push_back(instance);
        owners.push_back(instances.at(rankInstances(ownerKey(group, zone), names).front()));
    }
    return owners;
}

void setLoanCandidates(limit_manager &manager, const resource_id &resource,
                       std::vector<incarnation_id> holders, random_engine &random)
{
    loan_manager &loanManager = loanManagerOf(manager, resource);
    // A former owner still holds the connection shares that it could not return yet.
    if (resource.kind == resource_kind::Connections)
        for (const incarnation_id former : loanManager.limits.at(resource).candidates)
            if (std::find(holders.begin(), holders.end(), former) == holders.end()
                && std::any_of(manager.live.begin(), manager.live.end(),
                               [former](const auto &peer) { return peer.incarnation == former; }))
                holders.push_back(former);
    std::erase(holders, incarnation_id{ 0 });
    setCandidates(loanManager, resource, holders, manager.live, random);
}

/// Marks the limits of owned and configured groups as used and all other group limits as unused.
void reconcileOwnedGroups(limit_manager &manager)
{
    for (auto &[resource, limit] : manager.limits) {
        const group_id group{ resource.name };
        const bool isGroup = resource.kind == resource_kind::Connections;
        if (isGroup && limit.isUsed
            && !(manager.ownedGroups.contains(group)
                 && manager.configuredConnections.contains(group))) {
            limit.isUsed = false;
            manager.staleHolders.insert(resource);
        }
    }
    for (const group_id &group : manager.ownedGroups) {
        const auto settings = manager.configuredConnections.find(group);
        if (settings == manager.configuredConnections.end())
            continue;
        const resource_id resource = resourceOf(group);
        limit_state &limit = manager.limits[resource];
        const auto total = static_cast<share_count>(settings->second);
        if (limit.isUsed && limit.total == total)
            continue;
        limit.isUsed = true;
        limit.isPoolTotalUnverified = true;
        limit.total = total;
        manager.staleHolders.insert(resource);
    }
}

bool isSmall(share_count difference, share_count fair)
{
    return std::abs(difference) * smallDifferenceDivisor < fair;
}

} // namespace

void schedulePoolRead(limit_manager &manager, const resource_id &resource, time_point now,
                      random_engine &random)
{
    limit_state &limit = manager.limits.at(resource);
    const share_ledger &ledger = ledgerOf(manager, resource);
    const share_count difference = limit.fairShares - ledger.home;
    const bool isNear = isSmall(difference, limit.fairShares);
    limit.pendingReturn = 0;
    limit.mayExceedFairPart = false;
    const auto place =
            std::find(limit.holders.begin(), limit.holders.end(), manager.self.incarnation);
    const auto rank = static_cast<std::size_t>(place - limit.holders.begin());
    const auto delay = static_cast<std::int64_t>(std::min(rank, maxDelayedRank));
    const auto readPoolBy = [&limit](time_point at) {
        limit.nextPoolReadAt = std::min(limit.nextPoolReadAt, at);
    };
    limit.nextPoolReadAt = noDeadline;
    if (limit.isUsed && limit.isPoolTotalUnverified)
        readPoolBy(now + delay * resizeDelayPerRank);
    if (difference < 0 && !isNear) {
        if (limit.isUsed && manager.isRebalancingOn && resource.kind == resource_kind::Connections)
            limit.pendingReturn = -difference;
        readPoolBy(now + drawJitteredDelay(random, maxReturnDelay));
    } else if (difference > 0 && !isNear) {
        limit.poolReadBackoff = duration::zero();
        readPoolBy(now + delay * takeDelayPerRank);
    } else if (limit.isUsed && resource.kind == resource_kind::Workspace
               && rank < maxAbsorbingHolders) {
        limit.mayExceedFairPart = true;
        readPoolBy(now + absorptionDelay + drawJitteredDelay(random, absorptionDelay));
    }
}

void refreshHolders(limit_manager &manager, time_point now, random_engine &random)
{
    std::size_t left = std::max<std::size_t>(
            1, maxInstancesPerTick / std::max<std::size_t>(1, manager.live.size()));
    for (; left > 0 && !manager.staleHolders.empty(); --left) {
        const resource_id resource = *manager.staleHolders.begin();
        manager.staleHolders.erase(manager.staleHolders.begin());
        limit_state &limit = manager.limits.at(resource);
        if (!limit.isUsed)
            limit.holders.clear();
        else if (resource.kind == resource_kind::Workspace)
            limit.holders = shareHolders(resource, limit.burst, manager.live);
        else
            limit.holders = zoneOwners(manager, group_id{ resource.name });
        limit.fairShares = fairShare(limit.total, limit.holders, manager.self.incarnation);
        if (limit.isUsed)
            setLoanCandidates(manager, resource, limit.holders, random);
        if (manager.hasJoined)
            schedulePoolRead(manager, resource, now, random);
    }
}

void reconcileLimits(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    for (auto &[resource, limit] : manager.limits) {
        if (!limit.isUsed && resource.kind == resource_kind::Workspace) {
            limit.rate = 0;
            limit.burst = 0;
            // A withdrawn workspace grants nothing.
            for (; !limit.waitingStatements.empty(); limit.waitingStatements.pop_front()) {
                abandonWaiting(manager.rates, resource);
                actions.emplace_back(
                        admission_outcome{ limit.waitingStatements.front().ticket, false });
            }
        }
        loan_manager &loanManager = loanManagerOf(manager, resource);
        limit_entry &entry =
                addOrUpdateLimit(loanManager, resource, limit.rate, limit.burst, limit.total, now);
        setHomeUntil(entry.ledger, manager.homeUntil, now);
    }
}

void onPeers(limit_manager &manager, std::vector<peer_ref> live, time_point now,
             random_engine &random, limit_manager_actions &actions)
{
    std::erase_if(live,
                  [&](const peer_ref &each) { return each.instance == manager.self.instance; });
    live.push_back(manager.self);
    std::sort(live.begin(), live.end(), [](const peer_ref &left, const peer_ref &right) {
        return left.instance < right.instance;
    });
    if (live == manager.live)
        return;
    manager.live = std::move(live);
    for (const auto &[resource, limit] : manager.limits)
        manager.staleHolders.insert(resource);
    tickLimitManager(manager, now, random, actions);
}

void onConfiguration(limit_manager &manager, const configuration &config, time_point now,
                     random_engine &random, limit_manager_actions &actions)
{
    manager.hasConfiguration = true;
    manager.isRebalancingOn = isAutomatic(config, automatic_action::Rebalancing);
    const bool areLoansOn = isAutomatic(config, automatic_action::Loans);
    manager.rates.areLoansOn = areLoansOn && !manager.isLeaving;
    manager.connections.areLoansOn = areLoansOn;
    for (auto &[resource, limit] : manager.limits)
        if (resource.kind == resource_kind::Workspace)
            limit.isUsed = false;
    for (const auto &[workspace, settings] : config.workspaces) {
        limit_state &limit = manager.limits[resourceOf(workspace)];
        limit.isUsed = true;
        limit.isPoolTotalUnverified = false; // the total of a workspace never changes
        limit.rate = toTokenAmount(settings.rate, maxTokenRate);
        limit.burst = toTokenAmount(settings.burst, maxTokenRate);
    }
    manager.configuredConnections.clear();
    for (const auto &[group, settings] : config.groups)
        manager.configuredConnections.emplace(group, settings.connections);
    for (const auto &[resource, limit] : manager.limits)
        manager.staleHolders.insert(resource);
    reconcileOwnedGroups(manager);
    reconcileLimits(manager, now, actions);
    tickLimitManager(manager, now, random, actions);
}

void onOwnedGroups(limit_manager &manager, const std::set<group_id> &owned, time_point now,
                   random_engine &random, limit_manager_actions &actions)
{
    if (owned == manager.ownedGroups)
        return;
    manager.ownedGroups = owned;
    reconcileOwnedGroups(manager);
    reconcileLimits(manager, now, actions);
    tickLimitManager(manager, now, random, actions);
}

} // namespace fuchsiagw::core
