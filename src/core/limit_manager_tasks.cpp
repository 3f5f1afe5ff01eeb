/// @file
/// @brief Runs the limit manager's tasks at the platform: reading rows, submitting transactions and
/// reading back their outcome.

#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/share_table.hpp>
#include <fuchsiagw/detail/limit_manager_steps.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

constexpr duration minCallBackoff = std::chrono::milliseconds(50);
constexpr duration maxCallBackoff = std::chrono::seconds(5);

/// All lease rows are searched for earlier incarnations once the backoff for reading a pool reaches
/// this value. A reclaim by votes takes less time than the backoff intervals up to this value.
constexpr duration predecessorSearchBackoff = std::chrono::seconds(16);

/// For more pool rows than this, one scan of all pool rows is cheaper than one scan per row.
constexpr std::size_t maxSinglePoolScans = 4;

duration growCallBackoff(limit_manager &manager, random_engine &random)
{
    manager.callBackoff = std::clamp(manager.callBackoff * 2, minCallBackoff, maxCallBackoff);
    return drawJitteredDelay(random, manager.callBackoff);
}

/// Rows that can't be parsed are read again with exponential backoff.
duration delayAfterReading(limit_manager &manager, random_engine &random)
{
    return manager.task.unreadableKeys.empty() ? minCallBackoff : growCallBackoff(manager, random);
}

duration maxLoanDuration(const limit_manager &manager)
{
    const loan_times &rates = manager.rates.settings.times;
    const loan_times &connections = manager.connections.settings.times;
    return std::max(rates.rateLoanDuration + rates.driftMargin,
                    connections.rateLoanDuration + connections.driftMargin);
}

/// @return the prefixes to scan to read @p keys, from back to front. Lease rows are read last:
/// if a transaction was committed and others have changed its pool rows since, the incarnation's
/// own lease row still shows the commit.
std::vector<std::string> scanPrefixesOf(const std::set<std::string> &keys)
{
    std::vector<std::string> leases;
    std::vector<std::string> pools;
    for (const std::string &key : keys)
        (key.starts_with(leasePrefix) ? leases : pools).push_back(key);
    if (pools.size() > maxSinglePoolScans)
        pools = { std::string(poolPrefix) };
    leases.insert(leases.end(), pools.begin(), pools.end());
    return leases;
}

std::set<std::string> keysOf(const table_transaction &transaction)
{
    std::set<std::string> keys(transaction.deletes.begin(), transaction.deletes.end());
    for (const share_check &each : transaction.checks)
        keys.insert(each.key);
    for (const share_put &each : transaction.puts)
        keys.insert(each.key);
    return keys;
}

void startCall(limit_manager &manager, std::variant<std::string, transact_request> operation,
               time_point now, limit_manager_actions &actions)
{
    manager.task.pendingCall = manager.nextCall++;
    manager.task.dueAt = now + platformCallTimeout;
    actions.emplace_back(limit_platform_call{ manager.task.pendingCall, std::move(operation) });
}

void scanNext(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    ++manager.sentScans;
    startCall(manager, manager.task.pendingPrefixes.back(), now, actions);
}

void startReading(limit_manager &manager, limit_task_phase phase, const std::set<std::string> &keys,
                  time_point now, limit_manager_actions &actions)
{
    manager.task.phase = phase;
    manager.task.view.clear();
    manager.task.unreadableKeys.clear();
    manager.task.pendingPrefixes = scanPrefixesOf(keys);
    scanNext(manager, now, actions);
}

void endTask(limit_manager &manager, time_point next)
{
    manager.task = {};
    manager.nextTaskAt = next;
}

void finishAndEndTask(limit_manager &manager, bool isCommitted, time_point now,
                      random_engine &random, limit_manager_actions &actions)
{
    finishTask(manager, isCommitted, now, random, actions);
    if (isCommitted)
        manager.callBackoff = duration::zero();
    endTask(manager, isCommitted ? now : now + growCallBackoff(manager, random));
}

void submitTransaction(limit_manager &manager, time_point now, random_engine &random,
                       limit_manager_actions &actions)
{
    auto request = toRequest(manager.task.move.transaction);
    if (!request) {
        finishAndEndTask(manager, false, now, random, actions);
        return;
    }
    ++manager.sentTransactions;
    manager.task.phase = limit_task_phase::Submitting;
    startCall(manager, std::move(*request), now, actions);
}

/// Handles the answer to the last scan of the task's current phase.
void onRowsRead(limit_manager &manager, time_point now, random_engine &random,
                limit_manager_actions &actions)
{
    limit_task &task = manager.task;
    if (task.phase == limit_task_phase::Reading) {
        if (prepareTask(manager, now, random, actions))
            submitTransaction(manager, now, random, actions);
        else
            endTask(manager,
                    std::max(manager.nextTaskAt, now + delayAfterReading(manager, random)));
        return;
    }
    const std::set<std::string> keys = keysOf(task.move.transaction);
    const bool isReadable = std::none_of(keys.begin(), keys.end(), [&](const std::string &key) {
        return task.unreadableKeys.contains(key);
    });
    const transaction_state state = isReadable ? determineOutcome(task.move.transaction, task.view)
                                               : transaction_state::Undecided;
    if (state == transaction_state::Undecided)
        submitTransaction(manager, now, random, actions);
    else
        finishAndEndTask(manager, state == transaction_state::Committed, now, random, actions);
}

/// Handles a call that failed or was not answered in time.
void onCallLost(limit_manager &manager, time_point now, random_engine &random)
{
    limit_task &task = manager.task;
    task.pendingCall = 0;
    task.dueAt = now + growCallBackoff(manager, random);
    if (task.phase == limit_task_phase::Reading)
        endTask(manager, task.dueAt);
    else
        task.phase = limit_task_phase::ReadingBack;
}

bool isPoolReadDue(limit_manager &manager, const resource_id &resource, limit_state &limit,
                   time_point now)
{
    if (now < limit.nextPoolReadAt)
        return false;
    if (limit.isUsed && limit.isPoolTotalUnverified)
        return true;
    const share_count difference = limit.fairShares - ledgerOf(manager, resource).home;
    if (difference >= 0)
        return difference > 0 || limit.mayExceedFairPart;
    if (limit.isUsed && !manager.isRebalancingOn && limit.pendingReturn == 0)
        return false;
    return removableShares(manager, resource, now) > 0;
}

/// A leaving instance returns the removable shares in a first transaction, and all other shares
/// in a second one as soon as all of them are removable.
bool isReturnDue(limit_manager &manager, time_point now)
{
    bool hasMore = false;
    bool hasSome = false;
    for (const auto &[resource, limit] : manager.limits) {
        const share_count home = ledgerOf(manager, resource).home;
        const share_count removable = removableShares(manager, resource, now);
        hasSome = hasSome || removable > 0;
        hasMore = hasMore || removable < home;
    }
    return !hasMore || (hasSome && !manager.hasReturnedUnlentShares);
}

/// An earlier incarnation may hold the missing shares if the pools lacked shares at the join, or
/// have lacked them for longer than a reclaim by votes takes.
bool isPredecessorDue(const limit_manager &manager, time_point now)
{
    // Until then, loans that the earlier incarnation granted may still be in use.
    const time_point earliest = manager.witness.startedAt + maxLoanDuration(manager);
    if (now < std::max(manager.nextPredecessorSearchAt, earliest))
        return false;
    return manager.isPredecessorSearchWanted
           || std::any_of(manager.limits.begin(), manager.limits.end(), [](const auto &entry) {
                  return entry.second.isUsed
                         && entry.second.poolReadBackoff >= predecessorSearchBackoff;
              });
}

bool isJoinDue(const limit_manager &manager, time_point now)
{
    return manager.hasConfiguration && !manager.live.empty() && manager.staleHolders.empty()
           && homeUntil(manager.lease) > now;
}

/// Chooses the next task.
/// @return the keys or key prefixes of the rows that the task needs; empty if there is no task
std::set<std::string> chooseTask(limit_manager &manager, time_point now)
{
    limit_task &task = manager.task;
    const std::string own = leaseKey(manager.self.incarnation);
    const std::string pools(poolPrefix);
    if (manager.isLeaving) {
        if (!manager.hasJoined || !isReturnDue(manager, now))
            return {};
        task.kind = limit_task_kind::Leave;
        return { own, pools };
    }
    if (!manager.hasJoined) {
        if (!isJoinDue(manager, now))
            return {};
        task.kind = limit_task_kind::Join;
        return { own, pools };
    }
    const auto dead = reclaimable(manager.witness, maxLoanDuration(manager), now);
    if (!dead.empty() && now >= manager.nextReclaimAt) {
        task.kind = limit_task_kind::Reclaim;
        // Varies the choice, because unreadable rows may block the reclaim from one incarnation.
        task.deadIncarnation = dead.at(manager.nextCall % dead.size());
        return { leaseKey(task.deadIncarnation) };
    }
    if (isChangeReady(manager.lease, now)) {
        task.kind = limit_task_kind::Witnesses;
        return { own };
    }
    std::set<std::string> keys;
    for (auto &[resource, limit] : manager.limits)
        if (isPoolReadDue(manager, resource, limit, now)) {
            task.resources.insert(resource);
            keys.insert(poolKey(resource));
        }
    if (keys.empty() && isPredecessorDue(manager, now)) {
        task.kind = limit_task_kind::Predecessor;
        return { std::string(leasePrefix), pools };
    }
    if (keys.empty())
        return {};
    task.kind = limit_task_kind::Rebalance;
    keys.insert(own);
    return keys;
}

} // namespace

duration drawJitteredDelay(random_engine &random, duration longest)
{
    const auto half = std::max<std::int64_t>(longest.count() / 2, 1);
    return duration(
            half + static_cast<std::int64_t>(drawBelow(random, static_cast<std::uint64_t>(half))));
}

void advanceTask(limit_manager &manager, time_point now, random_engine &random,
                 limit_manager_actions &actions)
{
    if (manager.isExpired)
        return;
    limit_task &task = manager.task;
    if (task.kind == limit_task_kind::None) {
        if (now < manager.nextTaskAt)
            return;
        const std::set<std::string> keys = chooseTask(manager, now);
        if (!keys.empty())
            startReading(manager, limit_task_phase::Reading, keys, now, actions);
        return;
    }
    if (now < task.dueAt)
        return;
    if (task.pendingCall != 0)
        onCallLost(manager, now, random);
    else
        startReading(manager, limit_task_phase::ReadingBack, keysOf(task.move.transaction), now,
                     actions);
}

time_point nextTaskStepAt(const limit_manager &manager)
{
    return manager.task.kind == limit_task_kind::None ? noDeadline : manager.task.dueAt;
}

void onScan(limit_manager &manager, std::uint64_t number, const std::optional<scan_answer> &answer,
            time_point now, random_engine &random, limit_manager_actions &actions)
{
    limit_task &task = manager.task;
    if (manager.isExpired || number == 0 || number != task.pendingCall
        || task.pendingPrefixes.empty())
        return;
    if (!answer) {
        onCallLost(manager, now, random);
        return;
    }
    task.pendingCall = 0;
    task.pendingPrefixes.pop_back();
    for (std::string &key : addRows(task.view, *answer)) {
        ++manager.unreadableRows;
        task.unreadableKeys.insert(std::move(key));
    }
    // The pool rows are needed only if the dead incarnation still has a row.
    if (task.kind == limit_task_kind::Reclaim && task.phase == limit_task_phase::Reading
        && task.pendingPrefixes.empty() && !task.includesPools
        && findLease(task.view, task.deadIncarnation) != nullptr) {
        task.includesPools = true;
        task.pendingPrefixes.emplace_back(poolPrefix);
    }
    if (task.pendingPrefixes.empty())
        onRowsRead(manager, now, random, actions);
    else
        scanNext(manager, now, actions);
    advanceTask(manager, now, random, actions);
    announceConnectionLimits(manager, now, actions);
}

void onTransact(limit_manager &manager, std::uint64_t number,
                const std::optional<transact_answer> &answer, time_point now, random_engine &random,
                limit_manager_actions &actions)
{
    if (manager.isExpired || number == 0 || number != manager.task.pendingCall
        || manager.task.phase != limit_task_phase::Submitting)
        return;
    manager.task.pendingCall = 0;
    if (!answer) {
        onCallLost(manager, now, random);
        return;
    }
    finishAndEndTask(manager, answer->committed, now, random, actions);
    advanceTask(manager, now, random, actions);
    announceConnectionLimits(manager, now, actions);
}

} // namespace fuchsiagw::core
