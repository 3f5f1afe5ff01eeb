/// @file
/// @brief Which limits the keeper has and which part of each is its fair one.

#include <fuchsiagw/core/limit_keeper.hpp>
#include <fuchsiagw/core/rendezvous.hpp>
#include <fuchsiagw/detail/keeper_steps.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::core {

namespace {

/// Instances that are looked at by one tick while it computes holders; the rest follows later.
constexpr std::size_t visitsPerTick = 20'000;

/// Differences below one in so many of the fair part are left alone, as rebalanceDelta() does.
constexpr share_count smallPart = 10;

/// Holders in this order take shares or change pools one after another, not all at once.
constexpr duration rankDelay = std::chrono::milliseconds(20);
constexpr duration resizeRankDelay = std::chrono::milliseconds(300);
constexpr std::size_t rankBound = 1'000;

constexpr duration returnSpread = std::chrono::milliseconds(500);

/// Shares that a dead instance leaves are below one in smallPart of a fair part if there are many
/// instances. The first holders look for them after a while and take a little more than their part.
constexpr std::size_t absorbers = 8;
constexpr duration absorbAfter = std::chrono::seconds(15);

std::int64_t toMillionths(double value, std::int64_t bound)
{
    const double scaled =
            std::clamp(value * static_cast<double>(oneToken), 0.0, static_cast<double>(bound));
    return static_cast<std::int64_t>(std::llround(scaled));
}

std::vector<incarnation_id> zoneOwners(const limit_keeper &keeper, const group_id &group)
{
    std::map<zone_name, std::map<instance_id, incarnation_id>> zones;
    for (const peer_ref &each : keeper.live)
        zones[each.zone].emplace(each.instance, each.incarnation);
    std::vector<incarnation_id> owners;
    for (const auto &[zone, instances] : zones) {
        if (zone == keeper.self.zone) {
            owners.push_back(keeper.self.incarnation);
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

void setLoanCandidates(limit_keeper &keeper, const resource_id &resource,
                       std::vector<incarnation_id> holders, random_engine &random)
{
    loan_desk &desk = deskOf(keeper, resource);
    // A former owner still has the connections that it could not return yet.
    if (resource.kind == resource_kind::Connections)
        for (const incarnation_id former : desk.limits.at(resource).candidates)
            if (std::find(holders.begin(), holders.end(), former) == holders.end()
                && std::any_of(keeper.live.begin(), keeper.live.end(),
                               [former](const auto &peer) { return peer.incarnation == former; }))
                holders.push_back(former);
    std::erase(holders, incarnation_id{ 0 });
    setCandidates(desk, resource, holders, keeper.live, random);
}

/// Opens the limits of owned groups and marks those of others as unused.
void useOwnedGroups(limit_keeper &keeper)
{
    for (auto &[resource, limit] : keeper.limits) {
        const group_id group{ resource.name };
        const bool isGroup = resource.kind == resource_kind::Connections;
        if (isGroup && limit.isUsed
            && !(keeper.owned.contains(group) && keeper.groups.contains(group))) {
            limit.isUsed = false;
            keeper.stale.insert(resource);
        }
    }
    for (const group_id &group : keeper.owned) {
        const auto settings = keeper.groups.find(group);
        if (settings == keeper.groups.end())
            continue;
        const resource_id resource = resourceOf(group);
        keeper_limit &limit = keeper.limits[resource];
        const auto total = static_cast<share_count>(settings->second);
        if (limit.isUsed && limit.total == total)
            continue;
        limit.isUsed = true;
        limit.isTotalUnchecked = true;
        limit.total = total;
        keeper.stale.insert(resource);
    }
}

bool isSmall(share_count difference, share_count fair)
{
    return std::abs(difference) * smallPart < fair;
}

} // namespace

void scheduleLook(limit_keeper &keeper, const resource_id &resource, time_point now,
                  random_engine &random)
{
    keeper_limit &limit = keeper.limits.at(resource);
    const share_ledger &book = bookOf(keeper, resource);
    const share_count difference = limit.fair - book.home;
    const bool isNear = isSmall(difference, limit.fair);
    limit.reserve = 0;
    limit.isAbsorbing = false;
    const auto place =
            std::find(limit.holders.begin(), limit.holders.end(), keeper.self.incarnation);
    const auto rank = static_cast<std::size_t>(place - limit.holders.begin());
    const auto delay = static_cast<std::int64_t>(std::min(rank, rankBound));
    const auto lookBy = [&limit](time_point at) { limit.lookAt = std::min(limit.lookAt, at); };
    limit.lookAt = noDeadline;
    if (limit.isUsed && limit.isTotalUnchecked)
        lookBy(now + delay * resizeRankDelay);
    if (difference < 0 && !isNear) {
        if (limit.isUsed && keeper.isRebalancingOn && resource.kind == resource_kind::Connections)
            limit.reserve = -difference;
        lookBy(now + drawPause(random, returnSpread));
    } else if (difference > 0 && !isNear) {
        limit.lookPause = duration::zero();
        lookBy(now + delay * rankDelay);
    } else if (limit.isUsed && resource.kind == resource_kind::Workspace && rank < absorbers) {
        limit.isAbsorbing = true;
        lookBy(now + absorbAfter + drawPause(random, absorbAfter));
    }
}

void refreshHolders(limit_keeper &keeper, time_point now, random_engine &random)
{
    std::size_t left =
            std::max<std::size_t>(1, visitsPerTick / std::max<std::size_t>(1, keeper.live.size()));
    for (; left > 0 && !keeper.stale.empty(); --left) {
        const resource_id resource = *keeper.stale.begin();
        keeper.stale.erase(keeper.stale.begin());
        keeper_limit &limit = keeper.limits.at(resource);
        if (!limit.isUsed)
            limit.holders.clear();
        else if (resource.kind == resource_kind::Workspace)
            limit.holders = shareHolders(resource, limit.burst, keeper.live);
        else
            limit.holders = zoneOwners(keeper, group_id{ resource.name });
        limit.fair = fairShare(limit.total, limit.holders, keeper.self.incarnation);
        if (limit.isUsed)
            setLoanCandidates(keeper, resource, limit.holders, random);
        if (keeper.hasJoined)
            scheduleLook(keeper, resource, now, random);
    }
}

void reconcileLimits(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    for (auto &[resource, limit] : keeper.limits) {
        if (!limit.isUsed && resource.kind == resource_kind::Workspace) {
            limit.rate = 0;
            limit.burst = 0;
            // A workspace that was withdrawn grants nothing more.
            for (; !limit.waiting.empty(); limit.waiting.pop_front()) {
                abandonWaiting(keeper.rates, resource);
                actions.emplace_back(keeper_admitted{ limit.waiting.front().ticket, false });
            }
        }
        loan_desk &desk = deskOf(keeper, resource);
        limit_entry &entry = openLimit(desk, resource, limit.rate, limit.burst, limit.total, now);
        setHomeUntil(entry.book, keeper.homeUntil, now);
    }
}

void onPeers(limit_keeper &keeper, std::vector<peer_ref> live, time_point now,
             random_engine &random, keeper_actions &actions)
{
    std::erase_if(live,
                  [&](const peer_ref &each) { return each.instance == keeper.self.instance; });
    live.push_back(keeper.self);
    std::sort(live.begin(), live.end(), [](const peer_ref &left, const peer_ref &right) {
        return left.instance < right.instance;
    });
    if (live == keeper.live)
        return;
    keeper.live = std::move(live);
    for (const auto &[resource, limit] : keeper.limits)
        keeper.stale.insert(resource);
    tickKeeper(keeper, now, random, actions);
}

void onConfiguration(limit_keeper &keeper, const configuration &config, time_point now,
                     random_engine &random, keeper_actions &actions)
{
    keeper.hasConfiguration = true;
    keeper.isRebalancingOn = isAutomatic(config, automatic_action::Rebalancing);
    const bool areLoansOn = isAutomatic(config, automatic_action::Loans);
    keeper.rates.areLoansOn = areLoansOn && !keeper.isLeaving;
    keeper.connections.areLoansOn = areLoansOn;
    for (auto &[resource, limit] : keeper.limits)
        if (resource.kind == resource_kind::Workspace)
            limit.isUsed = false;
    for (const auto &[workspace, settings] : config.workspaces) {
        keeper_limit &limit = keeper.limits[resourceOf(workspace)];
        limit.isUsed = true;
        limit.isTotalUnchecked = false; // the total of a workspace never changes
        limit.rate = toMillionths(settings.rate, maxTokenRate);
        limit.burst = toMillionths(settings.burst, maxTokenRate);
    }
    keeper.groups.clear();
    for (const auto &[group, settings] : config.groups)
        keeper.groups.emplace(group, settings.connections);
    for (const auto &[resource, limit] : keeper.limits)
        keeper.stale.insert(resource);
    useOwnedGroups(keeper);
    reconcileLimits(keeper, now, actions);
    tickKeeper(keeper, now, random, actions);
}

void onOwnedGroups(limit_keeper &keeper, const std::set<group_id> &owned, time_point now,
                   random_engine &random, keeper_actions &actions)
{
    if (owned == keeper.owned)
        return;
    keeper.owned = owned;
    useOwnedGroups(keeper);
    reconcileLimits(keeper, now, actions);
    tickKeeper(keeper, now, random, actions);
}

} // namespace fuchsiagw::core
