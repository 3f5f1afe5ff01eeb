/// @file
/// @brief Builds the limit manager's transactions and applies their outcome to the share ledgers.

#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/share_table.hpp>
#include <fuchsiagw/detail/limit_manager_steps.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

constexpr std::size_t maxPoolsPerTransaction = 50;

/// An incarnation exceeds its fair part by at most the fair part divided by this. A deficit of at
/// least that fraction makes it read the pool again.
constexpr share_count absorptionDivisor = 10;

/// Bounds of the exponential backoff for reading a pool without free shares.
constexpr duration minPoolReadBackoff = std::chrono::seconds(1);
constexpr duration maxPoolReadBackoff = std::chrono::seconds(60);

/// Interval of attempts to return shares that open connections still use.
constexpr duration pendingReturnRetryInterval = std::chrono::milliseconds(500);

/// Interval of attempts to reclaim shares whose pool rows can't be read.
constexpr duration reclaimRetryInterval = std::chrono::seconds(10);

/// Interval of searches for earlier incarnations of this instance while a pool lacks shares.
constexpr duration predecessorSearchInterval = std::chrono::minutes(10);

/// Range of the random delay of the first search per live instance, so that instances that were
/// started together do not search at the same time.
constexpr duration searchDelayPerInstance = std::chrono::milliseconds(20);

std::string nextTransactionId(limit_manager &manager)
{
    return std::to_string(manager.self.incarnation) + '-'
           + std::to_string(manager.nextTransaction++);
}

/// Prepares one transaction that creates the missing pools of @p resources, at most
/// maxPoolsPerTransaction.
bool createPools(limit_manager &manager, const std::set<resource_id> &resources)
{
    table_transaction all;
    for (const resource_id &resource : resources) {
        const limit_state &limit = manager.limits.at(resource);
        const std::string key = poolKey(resource);
        if (!limit.isUsed || manager.task.view.contains(key)
            || manager.task.unreadableKeys.contains(key)
            || all.puts.size() == maxPoolsPerTransaction)
            continue;
        if (all.id.empty())
            all.id = nextTransactionId(manager);
        table_transaction one = createPool(all.id, resource, limit.total, limit.burst);
        all.checks.push_back(std::move(one.checks.front()));
        all.puts.push_back(std::move(one.puts.front()));
    }
    manager.task.isPoolChange = !all.puts.empty();
    if (manager.task.isPoolChange)
        manager.task.move.transaction = std::move(all);
    return manager.task.isPoolChange;
}

bool prepareJoin(limit_manager &manager, time_point now)
{
    if (manager.isLeaving || homeUntil(manager.lease) <= now || !manager.staleHolders.empty())
        return false;
    std::set<resource_id> resources;
    std::map<resource_id, share_count> wanted;
    for (const auto &[resource, limit] : manager.limits) {
        resources.insert(resource);
        wanted[resource] = limit.fairShares;
    }
    if (createPools(manager, resources))
        return true;
    manager.task.move = joinPool(nextTransactionId(manager), manager.task.view,
                                 { manager.self.incarnation,
                                   manager.self.instance,
                                   manager.self.zone,
                                   manager.lease.current,
                                   {},
                                   {} },
                                 wanted);
    return true;
}

/// Prepares to resize the first pool whose total differs from the configuration.
bool resizePools(limit_manager &manager)
{
    for (const resource_id &resource : manager.task.resources) {
        limit_state &limit = manager.limits.at(resource);
        if (!limit.isUsed || !limit.isPoolTotalUnverified
            || findPool(manager.task.view, resource) == nullptr)
            continue;
        if (auto resize = resizePool(nextTransactionId(manager), manager.task.view, resource,
                                     limit.total)) {
            manager.task.isPoolChange = true;
            manager.task.move.transaction = std::move(*resize);
            return true;
        }
        limit.isPoolTotalUnverified = false;
    }
    return false;
}

/// Schedules the next read of the pool row.
/// @return the shares to take (positive) or to return (negative)
share_count chooseMove(limit_manager &manager, const resource_id &resource, const pool_row &pool,
                       time_point now, random_engine &random)
{
    limit_state &limit = manager.limits.at(resource);
    const share_count home = ledgerOf(manager, resource).home;
    share_count move = rebalanceDelta(home, limit.fairShares, pool);
    if (move == 0 && limit.mayExceedFairPart && pool.free > 0)
        move = std::clamp<share_count>(
                limit.fairShares + (limit.fairShares - 1) / absorptionDivisor - home, 0, pool.free);
    if (move < 0 && limit.isUsed && !manager.isRebalancingOn && pool.free >= 0)
        move = 0;
    limit.mayExceedFairPart = false;
    limit.nextPoolReadAt = noDeadline;
    const share_count missing = limit.fairShares - home - std::max<share_count>(move, 0);
    if (missing > 0 && (limit.fairShares - home) * absorptionDivisor >= limit.fairShares) {
        limit.poolReadBackoff =
                std::clamp(limit.poolReadBackoff * 2, minPoolReadBackoff, maxPoolReadBackoff);
        limit.nextPoolReadAt = now + drawJitteredDelay(random, limit.poolReadBackoff);
    }
    if (move < 0) {
        const share_count removable = std::min(-move, removableShares(manager, resource, now));
        if (removable < -move) {
            limit.nextPoolReadAt = now + pendingReturnRetryInterval;
            if (resource.kind == resource_kind::Connections && limit.isUsed)
                limit.pendingReturn = -move - removable;
        }
        move = -removable;
    }
    return move;
}

bool prepareRebalance(limit_manager &manager, time_point now, random_engine &random,
                      limit_manager_actions &actions)
{
    limit_task &task = manager.task;
    const std::string own = leaseKey(manager.self.incarnation);
    if (manager.isLeaving || task.unreadableKeys.contains(own))
        return false;
    if (findLease(task.view, manager.self.incarnation) == nullptr) {
        expireLimitManager(manager, now, actions);
        return false;
    }
    if (createPools(manager, task.resources) || resizePools(manager))
        return true;
    std::map<resource_id, share_count> wanted;
    std::map<resource_id, share_transfer> given;
    for (const resource_id &resource : task.resources) {
        const pool_row *pool = findPool(task.view, resource);
        if (pool == nullptr) {
            manager.limits.at(resource).nextPoolReadAt = now + maxPoolReadBackoff;
            continue;
        }
        const share_count move = chooseMove(manager, resource, *pool, now, random);
        if (move > 0)
            wanted[resource] = move;
        else if (move < 0)
            given[resource] = removeHome(ledgerOf(manager, resource), -move, now);
    }
    auto move = moveShares(nextTransactionId(manager), task.view, manager.self.incarnation, wanted,
                           given);
    if (!move)
        return false;
    task.move = std::move(*move);
    return true;
}

bool prepareWitnessChange(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    if (manager.task.unreadableKeys.contains(leaseKey(manager.self.incarnation)))
        return false;
    auto change = isChangeReady(manager.lease, now)
                          ? changeWitnesses(nextTransactionId(manager), manager.task.view,
                                            manager.self.incarnation, manager.lease.next)
                          : std::nullopt;
    if (findLease(manager.task.view, manager.self.incarnation) == nullptr)
        expireLimitManager(manager, now, actions);
    if (!change)
        return false;
    submitWitnessChange(manager.lease);
    applyLease(manager, now);
    manager.task.move.transaction = std::move(*change);
    return true;
}

bool prepareReclaim(limit_manager &manager, time_point now)
{
    limit_task &task = manager.task;
    const lease_row *row = findLease(task.view, task.deadIncarnation);
    manager.nextReclaimAt = now + reclaimRetryInterval;
    if (task.unreadableKeys.contains(leaseKey(task.deadIncarnation)))
        return false;
    if (row == nullptr) {
        onReclaimed(manager.witness, task.deadIncarnation);
        manager.nextReclaimAt = now;
        return false;
    }
    // Shares whose pool row can't be read would be lost by the reclaim.
    const bool isComplete =
            std::all_of(row->homes.begin(), row->homes.end(), [&](const auto &home) {
                return findPool(task.view, home.first) != nullptr;
            });
    const std::set<incarnation_id> votes = manager.witness.watched[task.deadIncarnation].votes;
    setRowWitnesses(manager.witness, task.deadIncarnation, row->witnesses, now);
    auto reclaim = isComplete ? reclaimLease(nextTransactionId(manager), task.view,
                                             task.deadIncarnation, votes)
                              : std::nullopt;
    if (!reclaim)
        return false;
    task.move.transaction = std::move(*reclaim);
    return true;
}

/// Reclaims the shares of an earlier incarnation of this instance that can't be voted expired
/// because too many of its witnesses are gone. The earlier incarnation is known to be dead, because
/// this process uses its name and address. The search starts only after the loans that the earlier
/// incarnation granted have ended.
bool preparePredecessor(limit_manager &manager, time_point now)
{
    limit_task &task = manager.task;
    manager.nextPredecessorSearchAt = now + predecessorSearchInterval;
    manager.isPredecessorSearchWanted = false;
    const auto isLive = [&manager](incarnation_id witness) {
        return std::any_of(manager.live.begin(), manager.live.end(),
                           [witness](const auto &peer) { return peer.incarnation == witness; });
    };
    for (auto &[key, versioned] : task.view) {
        auto *row = std::get_if<lease_row>(&versioned.row);
        if (row == nullptr || row->instance != manager.self.instance
            || row->incarnation == manager.self.incarnation)
            continue;
        const auto live = std::count_if(row->witnesses.begin(), row->witnesses.end(), isLive);
        const bool isComplete =
                std::all_of(row->homes.begin(), row->homes.end(), [&task](const auto &home) {
                    return findPool(task.view, home.first) != nullptr;
                });
        if (2 * live > std::ssize(row->witnesses) || !isComplete)
            continue;
        // Replaces the witnesses by this incarnation, whose vote alone is then a majority. The
        // changed row is never written, because the transaction deletes it.
        row->witnesses = { manager.self.incarnation };
        auto reclaim = reclaimLease(nextTransactionId(manager), task.view, row->incarnation,
                                    { manager.self.incarnation });
        if (!reclaim)
            continue;
        manager.nextPredecessorSearchAt = now;
        manager.isPredecessorSearchWanted = true; // there may be further earlier incarnations
        task.move.transaction = std::move(*reclaim);
        return true;
    }
    return false;
}

bool prepareLeave(limit_manager &manager, time_point now)
{
    limit_task &task = manager.task;
    if (task.unreadableKeys.contains(leaseKey(manager.self.incarnation)))
        return false;
    if (findLease(task.view, manager.self.incarnation) == nullptr) {
        manager.hasJoined = false;
        applyLease(manager, now);
        return false;
    }
    std::map<resource_id, share_transfer> given;
    for (const auto &[resource, limit] : manager.limits) {
        const share_count removable = removableShares(manager, resource, now);
        if (removable > 0 && findPool(task.view, resource) != nullptr)
            given[resource] = removeHome(ledgerOf(manager, resource), removable, now);
    }
    auto move = leavePool(nextTransactionId(manager), task.view, manager.self.incarnation, given);
    if (!move || (given.empty() && move->transaction.deletes.empty())) {
        manager.nextTaskAt = now + minPoolReadBackoff;
        return false;
    }
    task.move = std::move(*move);
    return true;
}

void addShares(limit_manager &manager, const std::map<resource_id, share_transfer> &shares,
               time_point now, random_engine &random, limit_manager_actions &actions)
{
    for (const auto &[resource, part] : shares) {
        addHome(ledgerOf(manager, resource), part.shares, part.tokens, now);
        serveWaitingStatements(manager, resource, now, actions);
        const limit_state &limit = manager.limits.at(resource);
        const time_point known = limit.nextPoolReadAt;
        schedulePoolRead(manager, resource, now, random);
        // A pool with too few free shares is not read again before its backoff has passed.
        if (known != noDeadline && limit.fairShares > ledgerOf(manager, resource).home)
            manager.limits.at(resource).nextPoolReadAt = known;
    }
}

} // namespace

bool prepareTask(limit_manager &manager, time_point now, random_engine &random,
                 limit_manager_actions &actions)
{
    switch (manager.task.kind) {
    case limit_task_kind::Join:
        return prepareJoin(manager, now);
    case limit_task_kind::Rebalance:
        return prepareRebalance(manager, now, random, actions);
    case limit_task_kind::Witnesses:
        return prepareWitnessChange(manager, now, actions);
    case limit_task_kind::Reclaim:
        return prepareReclaim(manager, now);
    case limit_task_kind::Predecessor:
        return preparePredecessor(manager, now);
    case limit_task_kind::Leave:
        return prepareLeave(manager, now);
    case limit_task_kind::None:
        break;
    }
    return false;
}

void finishTask(limit_manager &manager, bool isCommitted, time_point now, random_engine &random,
                limit_manager_actions &actions)
{
    const limit_task task = manager.task;
    if (task.isPoolChange)
        return;
    switch (task.kind) {
    case limit_task_kind::Join:
        if (!isCommitted)
            return;
        manager.hasJoined = true;
        applyLease(manager, now);
        addShares(manager, task.move.gained, now, random, actions);
        for (const auto &[resource, limit] : manager.limits) {
            schedulePoolRead(manager, resource, now, random);
            manager.isPredecessorSearchWanted =
                    manager.isPredecessorSearchWanted
                    || 2 * ledgerOf(manager, resource).home < limit.fairShares;
        }
        manager.nextPredecessorSearchAt =
                now + drawJitteredDelay(random, searchDelayPerInstance * std::ssize(manager.live));
        break;
    case limit_task_kind::Rebalance:
    case limit_task_kind::Leave:
        addShares(manager, isCommitted ? task.move.gained : task.move.given, now, random, actions);
        if (!isCommitted && task.kind == limit_task_kind::Rebalance)
            for (const resource_id &resource : task.resources)
                schedulePoolRead(manager, resource, now, random);
        if (isCommitted && task.kind == limit_task_kind::Leave) {
            manager.hasReturnedUnlentShares = true;
            manager.hasJoined = task.move.transaction.deletes.empty();
            applyLease(manager, now);
        }
        break;
    case limit_task_kind::Witnesses:
        finishWitnessChange(manager.lease, isCommitted);
        applyLease(manager, now);
        break;
    case limit_task_kind::Reclaim:
        if (isCommitted)
            onReclaimed(manager.witness, task.deadIncarnation);
        manager.nextReclaimAt = now;
        break;
    case limit_task_kind::Predecessor:
    case limit_task_kind::None:
        break;
    }
}

} // namespace fuchsiagw::core
