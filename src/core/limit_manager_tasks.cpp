/// @file
/// @brief The calls of the limit keeper to the platform: reading, submitting and reading back.

#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/share_table.hpp>
#include <fuchsiagw/detail/limit_manager_steps.hpp>

#include <algorithm>

namespace fuchsiagw::core {

namespace {

constexpr duration firstPause = std::chrono::milliseconds(50);
constexpr duration longestPause = std::chrono::seconds(5);

/// Pause between looks at a pool that is short, from which on all lease rows are searched. A
/// reclaim by votes takes less than the pauses until then.
constexpr duration predecessorPause = std::chrono::seconds(16);

/// With more pool rows than these one scan of all is cheaper.
constexpr std::size_t singlePools = 4;

duration growPause(limit_manager &keeper, random_engine &random)
{
    keeper.workPause = std::clamp(keeper.workPause * 2, firstPause, longestPause);
    return drawPause(random, keeper.workPause);
}

/// Rows that can't be read are not read again at once.
duration pauseAfterReading(limit_manager &keeper, random_engine &random)
{
    return keeper.work.damaged.empty() ? firstPause : growPause(keeper, random);
}

duration longestLoan(const limit_manager &keeper)
{
    const loan_times &rates = keeper.rates.settings.times;
    const loan_times &connections = keeper.connections.settings.times;
    return std::max(rates.length + rates.driftMargin, connections.length + connections.driftMargin);
}

/// Lists the prefixes to scan for some keys. Lease rows are read last: a transaction that was
/// committed and whose pool rows have changed since is still seen in the own row.
std::vector<std::string> prefixesOf(const std::set<std::string> &keys)
{
    std::vector<std::string> leases;
    std::vector<std::string> pools;
    for (const std::string &key : keys)
        (key.starts_with(leasePrefix) ? leases : pools).push_back(key);
    if (pools.size() > singlePools)
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

void startCall(limit_manager &keeper, std::variant<std::string, transact_request> order,
               time_point now, limit_manager_actions &actions)
{
    keeper.work.call = keeper.nextCall++;
    keeper.work.due = now + callLimit;
    actions.emplace_back(limit_platform_call{ keeper.work.call, std::move(order) });
}

void scanNext(limit_manager &keeper, time_point now, limit_manager_actions &actions)
{
    ++keeper.scans;
    startCall(keeper, keeper.work.prefixes.back(), now, actions);
}

void startReading(limit_manager &keeper, keeper_phase phase, const std::set<std::string> &keys,
                  time_point now, limit_manager_actions &actions)
{
    keeper.work.phase = phase;
    keeper.work.view.clear();
    keeper.work.damaged.clear();
    keeper.work.prefixes = prefixesOf(keys);
    scanNext(keeper, now, actions);
}

void endWork(limit_manager &keeper, time_point next)
{
    keeper.work = {};
    keeper.nextWork = next;
}

void endAndContinue(limit_manager &keeper, bool isCommitted, time_point now, random_engine &random,
                    limit_manager_actions &actions)
{
    finishWork(keeper, isCommitted, now, random, actions);
    if (isCommitted)
        keeper.workPause = duration::zero();
    endWork(keeper, isCommitted ? now : now + growPause(keeper, random));
}

void submitWork(limit_manager &keeper, time_point now, random_engine &random,
                limit_manager_actions &actions)
{
    auto request = toRequest(keeper.work.move.transaction);
    if (!request) {
        endAndContinue(keeper, false, now, random, actions);
        return;
    }
    ++keeper.transactions;
    keeper.work.phase = keeper_phase::Submitting;
    startCall(keeper, std::move(*request), now, actions);
}

/// The last scan of the work was answered.
void onRowsRead(limit_manager &keeper, time_point now, random_engine &random,
                limit_manager_actions &actions)
{
    keeper_work &work = keeper.work;
    if (work.phase == keeper_phase::Reading) {
        if (prepareWork(keeper, now, random, actions))
            submitWork(keeper, now, random, actions);
        else
            endWork(keeper, std::max(keeper.nextWork, now + pauseAfterReading(keeper, random)));
        return;
    }
    const std::set<std::string> keys = keysOf(work.move.transaction);
    const bool isReadable = std::none_of(keys.begin(), keys.end(), [&](const std::string &key) {
        return work.damaged.contains(key);
    });
    const transaction_state state =
            isReadable ? judge(work.move.transaction, work.view) : transaction_state::Undecided;
    if (state == transaction_state::Undecided)
        submitWork(keeper, now, random, actions);
    else
        endAndContinue(keeper, state == transaction_state::Committed, now, random, actions);
}

/// A call was not answered.
void onLost(limit_manager &keeper, time_point now, random_engine &random)
{
    keeper_work &work = keeper.work;
    work.call = 0;
    work.due = now + growPause(keeper, random);
    if (work.phase == keeper_phase::Reading)
        endWork(keeper, work.due);
    else
        work.phase = keeper_phase::ReadingBack;
}

bool isLookDue(limit_manager &keeper, const resource_id &resource, keeper_limit &limit,
               time_point now)
{
    if (now < limit.lookAt)
        return false;
    if (limit.isUsed && limit.isTotalUnchecked)
        return true;
    const share_count difference = limit.fair - bookOf(keeper, resource).home;
    if (difference >= 0)
        return difference > 0 || limit.isAbsorbing;
    if (limit.isUsed && !keeper.isRebalancingOn && limit.reserve == 0)
        return false;
    return removableShares(keeper, resource, now) > 0;
}

/// A leaving instance returns what it can at once and the rest together.
bool isReturnDue(limit_manager &keeper, time_point now)
{
    bool hasMore = false;
    bool hasSome = false;
    for (const auto &[resource, limit] : keeper.limits) {
        const share_count home = bookOf(keeper, resource).home;
        const share_count removable = removableShares(keeper, resource, now);
        hasSome = hasSome || removable > 0;
        hasMore = hasMore || removable < home;
    }
    return !hasMore || (hasSome && !keeper.hasReturned);
}

/// Another incarnation may hold what is missing: the pools were short at the join, or have been for
/// so long that nobody can be about to reclaim it by votes.
bool isPredecessorDue(const limit_manager &keeper, time_point now)
{
    // Before that loans of the earlier incarnation may still be in use.
    const time_point earliest = keeper.witness.startedAt + longestLoan(keeper);
    if (now < std::max(keeper.nextPredecessor, earliest))
        return false;
    return keeper.wasShort
           || std::any_of(keeper.limits.begin(), keeper.limits.end(), [](const auto &entry) {
                  return entry.second.isUsed && entry.second.lookPause >= predecessorPause;
              });
}

bool isJoinDue(const limit_manager &keeper, time_point now)
{
    return keeper.hasConfiguration && !keeper.live.empty() && keeper.stale.empty()
           && homeUntil(keeper.lease) > now;
}

/// Chooses the next work and the rows that it needs.
std::set<std::string> chooseWork(limit_manager &keeper, time_point now)
{
    keeper_work &work = keeper.work;
    const std::string own = leaseKey(keeper.self.incarnation);
    const std::string pools(poolPrefix);
    if (keeper.isLeaving) {
        if (!keeper.hasJoined || !isReturnDue(keeper, now))
            return {};
        work.goal = keeper_goal::Leave;
        return { own, pools };
    }
    if (!keeper.hasJoined) {
        if (!isJoinDue(keeper, now))
            return {};
        work.goal = keeper_goal::Join;
        return { own, pools };
    }
    const auto dead = reclaimable(keeper.witness, longestLoan(keeper), now);
    if (!dead.empty() && now >= keeper.nextReclaim) {
        work.goal = keeper_goal::Reclaim;
        // Not always the first: the rows of one dead incarnation may be unreadable.
        work.dead = dead.at(keeper.nextCall % dead.size());
        return { leaseKey(work.dead) };
    }
    if (isChangeReady(keeper.lease, now)) {
        work.goal = keeper_goal::Witnesses;
        return { own };
    }
    std::set<std::string> keys;
    for (auto &[resource, limit] : keeper.limits)
        if (isLookDue(keeper, resource, limit, now)) {
            work.resources.insert(resource);
            keys.insert(poolKey(resource));
        }
    if (keys.empty() && isPredecessorDue(keeper, now)) {
        work.goal = keeper_goal::Predecessor;
        return { std::string(leasePrefix), pools };
    }
    if (keys.empty())
        return {};
    work.goal = keeper_goal::Rebalance;
    keys.insert(own);
    return keys;
}

} // namespace

duration drawPause(random_engine &random, duration longest)
{
    const auto half = std::max<std::int64_t>(longest.count() / 2, 1);
    return duration(
            half + static_cast<std::int64_t>(drawBelow(random, static_cast<std::uint64_t>(half))));
}

void stepWork(limit_manager &keeper, time_point now, random_engine &random,
              limit_manager_actions &actions)
{
    if (keeper.isExpired)
        return;
    keeper_work &work = keeper.work;
    if (work.goal == keeper_goal::None) {
        if (now < keeper.nextWork)
            return;
        const std::set<std::string> keys = chooseWork(keeper, now);
        if (!keys.empty())
            startReading(keeper, keeper_phase::Reading, keys, now, actions);
        return;
    }
    if (now < work.due)
        return;
    if (work.call != 0)
        onLost(keeper, now, random);
    else
        startReading(keeper, keeper_phase::ReadingBack, keysOf(work.move.transaction), now,
                     actions);
}

time_point nextWorkAt(const limit_manager &keeper)
{
    return keeper.work.goal == keeper_goal::None ? noDeadline : keeper.work.due;
}

void onScan(limit_manager &keeper, std::uint64_t number, const std::optional<scan_answer> &answer,
            time_point now, random_engine &random, limit_manager_actions &actions)
{
    keeper_work &work = keeper.work;
    if (keeper.isExpired || number == 0 || number != work.call || work.prefixes.empty())
        return;
    if (!answer) {
        onLost(keeper, now, random);
        return;
    }
    work.call = 0;
    work.prefixes.pop_back();
    for (std::string &key : addRows(work.view, *answer)) {
        ++keeper.damagedRows;
        work.damaged.insert(std::move(key));
    }
    // The pools are needed only if the dead incarnation still has a row.
    if (work.goal == keeper_goal::Reclaim && work.phase == keeper_phase::Reading
        && work.prefixes.empty() && !work.hasPools && findLease(work.view, work.dead) != nullptr) {
        work.hasPools = true;
        work.prefixes.emplace_back(poolPrefix);
    }
    if (work.prefixes.empty())
        onRowsRead(keeper, now, random, actions);
    else
        scanNext(keeper, now, actions);
    stepWork(keeper, now, random, actions);
    announceLimits(keeper, now, actions);
}

void onTransact(limit_manager &keeper, std::uint64_t number,
                const std::optional<transact_answer> &answer, time_point now, random_engine &random,
                limit_manager_actions &actions)
{
    if (keeper.isExpired || number == 0 || number != keeper.work.call
        || keeper.work.phase != keeper_phase::Submitting)
        return;
    keeper.work.call = 0;
    if (!answer) {
        onLost(keeper, now, random);
        return;
    }
    endAndContinue(keeper, answer->committed, now, random, actions);
    stepWork(keeper, now, random, actions);
    announceLimits(keeper, now, actions);
}

} // namespace fuchsiagw::core
