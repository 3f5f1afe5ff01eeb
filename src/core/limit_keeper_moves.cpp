/// @file
/// @brief The transactions of the limit keeper and what their outcome does to the books.

#include <fuchsiagw/core/limit_keeper.hpp>
#include <fuchsiagw/core/share_table.hpp>
#include <fuchsiagw/detail/keeper_steps.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

/// Pools that one transaction creates at most.
constexpr std::size_t createdAtOnce = 50;

/// An incarnation takes at most one in so many more than its fair part.
constexpr share_count absorbedPart = 10;

/// A pool without free shares is read again after this time, then after twice as long.
constexpr duration firstLookPause = std::chrono::seconds(1);
constexpr duration longestLookPause = std::chrono::seconds(60);

/// Open connections that must end before their shares can be returned are looked at this often.
constexpr duration reserveRetry = std::chrono::milliseconds(500);

/// A dead incarnation's shares whose pools can't be read are looked at this often.
constexpr duration reclaimRetry = std::chrono::seconds(10);

/// Earlier incarnations of this instance are searched for this often while a pool is short.
constexpr duration predecessorRetry = std::chrono::minutes(10);

/// Keeps the searches of instances that were started together apart, per instance.
constexpr duration searchSpread = std::chrono::milliseconds(20);

std::string nextId(limit_keeper &keeper)
{
    return std::to_string(keeper.self.incarnation) + '-' + std::to_string(keeper.nextTransaction++);
}

/// Creates the pools of @p resources that do not exist, in one transaction.
bool createPools(limit_keeper &keeper, const std::set<resource_id> &resources)
{
    table_transaction all;
    for (const resource_id &resource : resources) {
        const keeper_limit &limit = keeper.limits.at(resource);
        const std::string key = poolKey(resource);
        if (!limit.isUsed || keeper.work.view.contains(key) || keeper.work.damaged.contains(key)
            || all.puts.size() == createdAtOnce)
            continue;
        if (all.id.empty())
            all.id = nextId(keeper);
        table_transaction one = createPool(all.id, resource, limit.total, limit.burst);
        all.checks.push_back(std::move(one.checks.front()));
        all.puts.push_back(std::move(one.puts.front()));
    }
    keeper.work.isResize = !all.puts.empty();
    if (keeper.work.isResize)
        keeper.work.move.transaction = std::move(all);
    return keeper.work.isResize;
}

bool prepareJoin(limit_keeper &keeper, time_point now)
{
    if (keeper.isLeaving || homeUntil(keeper.lease) <= now || !keeper.stale.empty())
        return false;
    std::set<resource_id> resources;
    std::map<resource_id, share_count> wanted;
    for (const auto &[resource, limit] : keeper.limits) {
        resources.insert(resource);
        wanted[resource] = limit.fair;
    }
    if (createPools(keeper, resources))
        return true;
    keeper.work.move = joinPool(nextId(keeper), keeper.work.view,
                                { keeper.self.incarnation,
                                  keeper.self.instance,
                                  keeper.self.zone,
                                  keeper.lease.current,
                                  {},
                                  {} },
                                wanted);
    return true;
}

/// Changes the total of the first pool that differs from the configuration.
bool resizePools(limit_keeper &keeper)
{
    for (const resource_id &resource : keeper.work.resources) {
        keeper_limit &limit = keeper.limits.at(resource);
        if (!limit.isUsed || !limit.isTotalUnchecked
            || findPool(keeper.work.view, resource) == nullptr)
            continue;
        if (auto resize = resizePool(nextId(keeper), keeper.work.view, resource, limit.total)) {
            keeper.work.isResize = true;
            keeper.work.move.transaction = std::move(*resize);
            return true;
        }
        limit.isTotalUnchecked = false;
    }
    return false;
}

/// Shares to take (positive) or to return (negative), and when to look again.
share_count chooseMove(limit_keeper &keeper, const resource_id &resource, const pool_row &pool,
                       time_point now, random_engine &random)
{
    keeper_limit &limit = keeper.limits.at(resource);
    const share_count home = bookOf(keeper, resource).home;
    share_count move = rebalanceDelta(home, limit.fair, pool);
    if (move == 0 && limit.isAbsorbing && pool.free > 0)
        move = std::clamp<share_count>(limit.fair + (limit.fair - 1) / absorbedPart - home, 0,
                                       pool.free);
    if (move < 0 && limit.isUsed && !keeper.isRebalancingOn && pool.free >= 0)
        move = 0;
    limit.isAbsorbing = false;
    limit.lookAt = noDeadline;
    const share_count missing = limit.fair - home - std::max<share_count>(move, 0);
    if (missing > 0 && (limit.fair - home) * absorbedPart >= limit.fair) {
        limit.lookPause = std::clamp(limit.lookPause * 2, firstLookPause, longestLookPause);
        limit.lookAt = now + drawPause(random, limit.lookPause);
    }
    if (move < 0) {
        const share_count removable = std::min(-move, removableShares(keeper, resource, now));
        if (removable < -move) {
            limit.lookAt = now + reserveRetry;
            if (resource.kind == resource_kind::Connections && limit.isUsed)
                limit.reserve = -move - removable;
        }
        move = -removable;
    }
    return move;
}

bool prepareRebalance(limit_keeper &keeper, time_point now, random_engine &random,
                      keeper_actions &actions)
{
    keeper_work &work = keeper.work;
    const std::string own = leaseKey(keeper.self.incarnation);
    if (keeper.isLeaving || work.damaged.contains(own))
        return false;
    if (findLease(work.view, keeper.self.incarnation) == nullptr) {
        expireKeeper(keeper, now, actions);
        return false;
    }
    if (createPools(keeper, work.resources) || resizePools(keeper))
        return true;
    std::map<resource_id, share_count> wanted;
    std::map<resource_id, share_transfer> given;
    for (const resource_id &resource : work.resources) {
        const pool_row *pool = findPool(work.view, resource);
        if (pool == nullptr) {
            keeper.limits.at(resource).lookAt = now + longestLookPause;
            continue;
        }
        const share_count move = chooseMove(keeper, resource, *pool, now, random);
        if (move > 0)
            wanted[resource] = move;
        else if (move < 0)
            given[resource] = removeHome(bookOf(keeper, resource), -move, now);
    }
    auto move = moveShares(nextId(keeper), work.view, keeper.self.incarnation, wanted, given);
    if (!move)
        return false;
    work.move = std::move(*move);
    return true;
}

bool prepareWitnessChange(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    if (keeper.work.damaged.contains(leaseKey(keeper.self.incarnation)))
        return false;
    auto change = isChangeReady(keeper.lease, now)
                          ? changeWitnesses(nextId(keeper), keeper.work.view,
                                            keeper.self.incarnation, keeper.lease.next)
                          : std::nullopt;
    if (findLease(keeper.work.view, keeper.self.incarnation) == nullptr)
        expireKeeper(keeper, now, actions);
    if (!change)
        return false;
    submitWitnessChange(keeper.lease);
    applyLease(keeper, now);
    keeper.work.move.transaction = std::move(*change);
    return true;
}

bool prepareReclaim(limit_keeper &keeper, time_point now)
{
    keeper_work &work = keeper.work;
    const lease_row *row = findLease(work.view, work.dead);
    keeper.nextReclaim = now + reclaimRetry;
    if (work.damaged.contains(leaseKey(work.dead)))
        return false;
    if (row == nullptr) {
        onReclaimed(keeper.witness, work.dead);
        keeper.nextReclaim = now;
        return false;
    }
    // Shares whose pool can't be read would be lost.
    const bool isComplete =
            std::all_of(row->homes.begin(), row->homes.end(), [&](const auto &home) {
                return findPool(work.view, home.first) != nullptr;
            });
    const std::set<incarnation_id> votes = keeper.witness.watched[work.dead].votes;
    setRowWitnesses(keeper.witness, work.dead, row->witnesses, now);
    auto reclaim =
            isComplete ? reclaimLease(nextId(keeper), work.view, work.dead, votes) : std::nullopt;
    if (!reclaim)
        return false;
    work.move.transaction = std::move(*reclaim);
    return true;
}

/// Reclaims from an earlier incarnation whose witnesses can't vote any more because too many of
/// them are gone too. It is dead because this process has its name and address; the loans that it
/// granted have ended before the search begins.
bool preparePredecessor(limit_keeper &keeper, time_point now)
{
    keeper_work &work = keeper.work;
    keeper.nextPredecessor = now + predecessorRetry;
    keeper.wasShort = false;
    const auto isLive = [&keeper](incarnation_id witness) {
        return std::any_of(keeper.live.begin(), keeper.live.end(),
                           [witness](const auto &peer) { return peer.incarnation == witness; });
    };
    for (auto &[key, versioned] : work.view) {
        auto *row = std::get_if<lease_row>(&versioned.row);
        if (row == nullptr || row->instance != keeper.self.instance
            || row->incarnation == keeper.self.incarnation)
            continue;
        const auto live = std::count_if(row->witnesses.begin(), row->witnesses.end(), isLive);
        const bool isComplete =
                std::all_of(row->homes.begin(), row->homes.end(), [&work](const auto &home) {
                    return findPool(work.view, home.first) != nullptr;
                });
        if (2 * live > std::ssize(row->witnesses) || !isComplete)
            continue;
        // This instance stands for the witnesses; the row itself is only deleted.
        row->witnesses = { keeper.self.incarnation };
        auto reclaim = reclaimLease(nextId(keeper), work.view, row->incarnation,
                                    { keeper.self.incarnation });
        if (!reclaim)
            continue;
        keeper.nextPredecessor = now;
        keeper.wasShort = true; // there may be more
        work.move.transaction = std::move(*reclaim);
        return true;
    }
    return false;
}

bool prepareLeave(limit_keeper &keeper, time_point now)
{
    keeper_work &work = keeper.work;
    if (work.damaged.contains(leaseKey(keeper.self.incarnation)))
        return false;
    if (findLease(work.view, keeper.self.incarnation) == nullptr) {
        keeper.hasJoined = false;
        applyLease(keeper, now);
        return false;
    }
    std::map<resource_id, share_transfer> given;
    for (const auto &[resource, limit] : keeper.limits) {
        const share_count removable = removableShares(keeper, resource, now);
        if (removable > 0 && findPool(work.view, resource) != nullptr)
            given[resource] = removeHome(bookOf(keeper, resource), removable, now);
    }
    auto move = leavePool(nextId(keeper), work.view, keeper.self.incarnation, given);
    if (!move || (given.empty() && move->transaction.deletes.empty())) {
        keeper.nextWork = now + firstLookPause;
        return false;
    }
    work.move = std::move(*move);
    return true;
}

void addShares(limit_keeper &keeper, const std::map<resource_id, share_transfer> &shares,
               time_point now, random_engine &random, keeper_actions &actions)
{
    for (const auto &[resource, part] : shares) {
        addHome(bookOf(keeper, resource), part.shares, part.tokens, now);
        serveWaiting(keeper, resource, now, actions);
        const keeper_limit &limit = keeper.limits.at(resource);
        const time_point known = limit.lookAt;
        scheduleLook(keeper, resource, now, random);
        // A pool that had not enough is not read again before its pause has passed.
        if (known != noDeadline && limit.fair > bookOf(keeper, resource).home)
            keeper.limits.at(resource).lookAt = known;
    }
}

} // namespace

bool prepareWork(limit_keeper &keeper, time_point now, random_engine &random,
                 keeper_actions &actions)
{
    switch (keeper.work.goal) {
    case keeper_goal::Join:
        return prepareJoin(keeper, now);
    case keeper_goal::Rebalance:
        return prepareRebalance(keeper, now, random, actions);
    case keeper_goal::Witnesses:
        return prepareWitnessChange(keeper, now, actions);
    case keeper_goal::Reclaim:
        return prepareReclaim(keeper, now);
    case keeper_goal::Predecessor:
        return preparePredecessor(keeper, now);
    case keeper_goal::Leave:
        return prepareLeave(keeper, now);
    case keeper_goal::None:
        break;
    }
    return false;
}

void finishWork(limit_keeper &keeper, bool isCommitted, time_point now, random_engine &random,
                keeper_actions &actions)
{
    const keeper_work work = keeper.work;
    if (work.isResize)
        return;
    switch (work.goal) {
    case keeper_goal::Join:
        if (!isCommitted)
            return;
        keeper.hasJoined = true;
        applyLease(keeper, now);
        addShares(keeper, work.move.gained, now, random, actions);
        for (const auto &[resource, limit] : keeper.limits) {
            scheduleLook(keeper, resource, now, random);
            keeper.wasShort = keeper.wasShort || 2 * bookOf(keeper, resource).home < limit.fair;
        }
        keeper.nextPredecessor = now + drawPause(random, searchSpread * std::ssize(keeper.live));
        break;
    case keeper_goal::Rebalance:
    case keeper_goal::Leave:
        addShares(keeper, isCommitted ? work.move.gained : work.move.given, now, random, actions);
        if (!isCommitted && work.goal == keeper_goal::Rebalance)
            for (const resource_id &resource : work.resources)
                scheduleLook(keeper, resource, now, random);
        if (isCommitted && work.goal == keeper_goal::Leave) {
            keeper.hasReturned = true;
            keeper.hasJoined = work.move.transaction.deletes.empty();
            applyLease(keeper, now);
        }
        break;
    case keeper_goal::Witnesses:
        finishWitnessChange(keeper.lease, isCommitted);
        applyLease(keeper, now);
        break;
    case keeper_goal::Reclaim:
        if (isCommitted)
            onReclaimed(keeper.witness, work.dead);
        keeper.nextReclaim = now;
        break;
    case keeper_goal::Predecessor:
    case keeper_goal::None:
        break;
    }
}

} // namespace fuchsiagw::core
