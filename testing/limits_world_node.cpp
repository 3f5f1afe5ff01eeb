/// @file
/// @brief Nodes of the limits simulation: platform calls and periodic work.

#include <fuchsiagw/detail/limits_world_parts.hpp>
#include <fuchsiagw/testing/limits_world.hpp>

#include <algorithm>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration platformTimeout = std::chrono::seconds(1);
constexpr duration rebalanceInterval = std::chrono::seconds(1);
constexpr duration frequentPollInterval = std::chrono::milliseconds(200);
constexpr duration joinRetryDelay = std::chrono::milliseconds(50);

bool isPlatformReachable(const limits_world &world, const world_node &node)
{
    return world.now >= world.platformUnavailableUntil && !isPartitioned(world, node.self.zone);
}

/// Sends a platform call. If no answer arrives in time, reads the rows back to find out whether the
/// transaction committed, and sends it again only if this stays undecided.
void submit(limits_world &world, std::size_t index)
{
    const std::shared_ptr<platform_call> call = world.nodes[index].call;
    const incarnation_id self = world.nodes[index].self.incarnation;
    const std::uint64_t attempt = ++call->attempt;
    const auto decided = [&world, call, attempt](bool isCommitted) {
        return [&world, call, attempt, isCommitted](std::size_t to) {
            if (world.nodes[to].call != call || call->attempt != attempt)
                return;
            world.nodes[to].call = nullptr;
            call->onDecided(isCommitted);
        };
    };
    const duration delay = world.settings.toPlatform;
    const duration late =
            drawUnit(world.random) < world.settings.late ? duration(static_cast<std::int64_t>(
                    drawUnit(world.random)
                    * static_cast<double>(world.settings.maxLateDelay.count())))
                                                         : duration::zero();
    if (isPlatformReachable(world, world.nodes[index]))
        after(world, delay + late, [&world, call, self, delay, decided] {
            const table_transaction &transaction = call->transaction;
            auto known = world.transactionResults.find(transaction.id);
            if (known == world.transactionResults.end()) {
                bool isValid = true;
                for (const share_check &check : transaction.checks) {
                    const auto entry = world.table.find(check.key);
                    isValid = isValid
                              && (entry == world.table.end() ? 0 : entry->second.version)
                                         == check.version;
                }
                if (isValid) {
                    for (const share_put &put : transaction.puts)
                        world.table[put.key] = { world.table[put.key].version + 1, put.row };
                    for (const std::string &key : transaction.deletes)
                        world.table.erase(key);
                    checkPlatformTable(world);
                }
                known = world.transactionResults.emplace(transaction.id, isValid).first;
            }
            if (world.now < world.answersLostUntil)
                return;
            const bool isCommitted = known->second;
            after(world, delay, [&world, self, decided, isCommitted] {
                deliver(world, findNode(world, self), self, decided(isCommitted));
            });
        });
    after(world, platformTimeout, [&world, call, self, attempt, decided] {
        const std::size_t node = findNode(world, self);
        if (node == world.nodes.size() || world.nodes[node].call != call
            || call->attempt != attempt)
            return;
        const transaction_state state = isPlatformReachable(world, world.nodes[node])
                                                ? determineOutcome(call->transaction, world.table)
                                                : transaction_state::Undecided;
        if (state == transaction_state::Undecided)
            submit(world, node);
        else
            deliver(world, node, self, decided(state == transaction_state::Committed));
    });
}

void startCall(limits_world &world, std::size_t index, table_transaction transaction,
               std::function<void(bool)> onDecided)
{
    world.nodes[index].call = std::make_shared<platform_call>(
            platform_call{ std::move(transaction), std::move(onDecided) });
    submit(world, index);
}

void startMove(limits_world &world, std::size_t index, share_transaction move)
{
    const incarnation_id self = world.nodes[index].self.incarnation;
    const table_transaction transaction = move.transaction;
    startCall(world, index, transaction, [&world, self, move = std::move(move)](bool isCommitted) {
        const std::size_t to = findNode(world, self);
        if (to == world.nodes.size())
            return;
        world_node &node = world.nodes[to];
        const time_point local = localTime(world, node);
        for (const auto &[resource, part] : isCommitted ? move.gained : move.given)
            addHome(node.loanManager.limits.at(resource).ledger, part.shares, part.tokens, local);
    });
}

std::string nextTransactionId(limits_world &world)
{
    return "t" + std::to_string(world.nextTransaction++);
}

/// @return the share holders of a resource, cached until the list of live instances changes
const std::vector<incarnation_id> &holdersOf(limits_world &world, const resource_id &resource,
                                             token_amount burst, const std::vector<peer_ref> &live)
{
    if (live != world.holdersComputedFor) {
        world.holdersComputedFor = live;
        world.holders.clear();
    }
    const auto [entry, isInserted] = world.holders.try_emplace(resource);
    const bool isHeldByAll =
            resource.kind == resource_kind::Connections || world.settings.isFixedDivision;
    if (isInserted)
        entry->second = shareHolders(resource, isHeldByAll ? maxTokenRate : burst, live);
    return entry->second;
}

share_count fairShareOf(limits_world &world, const resource_id &resource, const world_node &node,
                        const std::vector<peer_ref> &live)
{
    const share_ledger &ledger = node.loanManager.limits.at(resource).ledger;
    return fairShare(ledger.total, holdersOf(world, resource, ledger.burst, live),
                     node.self.incarnation);
}

/// @return the listed instances and @p self, which the lagging list may not contain yet
std::vector<peer_ref> livePeersIncluding(const limits_world &world, const peer_ref &self)
{
    std::vector<peer_ref> live = livePeers(world);
    if (std::find(live.begin(), live.end(), self) == live.end())
        live.push_back(self);
    return live;
}

void joinTable(limits_world &world, std::size_t index)
{
    world_node &node = world.nodes[index];
    const std::vector<peer_ref> live = livePeersIncluding(world, node.self);
    const time_point promised = homeUntil(node.lease);
    if (!node.lease.current.empty() && promised <= localTime(world, node)) {
        if (!lostWitnesses(node.lease, world.settings.leases, localTime(world, node)).empty())
            setWitnesses(node.lease, {});
        return;
    }
    const std::vector<incarnation_id> witnesses = node.lease.current;
    std::map<resource_id, share_count> wanted;
    for (const auto &[resource, entry] : node.loanManager.limits)
        wanted[resource] = fairShareOf(world, resource, node, live);
    share_transaction move = joinPool(
            nextTransactionId(world), world.table,
            { node.self.incarnation, node.self.instance, node.self.zone, witnesses, {}, {} },
            wanted);
    const incarnation_id self = node.self.incarnation;
    const table_transaction transaction = move.transaction;
    startCall(world, index, transaction, [&world, self, move](bool isCommitted) {
        const std::size_t to = findNode(world, self);
        if (to == world.nodes.size() || !isCommitted)
            return;
        world_node &joined = world.nodes[to];
        joined.hasJoined = true;
        const time_point local = localTime(world, joined);
        joined.homeUntil = homeUntil(joined.lease);
        setHomeUntil(joined.loanManager, joined.homeUntil, local);
        for (const auto &[resource, part] : move.gained)
            addHome(joined.loanManager.limits.at(resource).ledger, part.shares, part.tokens, local);
    });
}

void leaveTable(limits_world &world, std::size_t index)
{
    world_node &node = world.nodes[index];
    const time_point local = localTime(world, node);
    node.loanManager.areLoansOn = false;
    std::map<incarnation_id, loan_returns> returns;
    std::map<resource_id, share_transfer> given;
    bool hasLent = false;
    for (auto &[resource, entry] : node.loanManager.limits) {
        std::vector<loan_id> loans;
        for (const auto &[id, loan] : entry.ledger.in)
            loans.push_back(id);
        for (const loan_id &id : loans)
            if (auto back = returnLoan(entry.ledger, resource, id,
                                       world.settings.loans.times.rateLoanDuration, local))
                returns[id.lender].loans.push_back(*back);
        given[resource] = removeHome(entry.ledger, entry.ledger.home, local);
        hasLent = hasLent || entry.ledger.lent > 0;
    }
    for (const auto &[lender, body] : returns)
        sendLoans(world, index, { { lender, body } });
    auto move = leavePool(nextTransactionId(world), world.table, node.self.incarnation, given);
    if (!move || (move->transaction.deletes.empty() && given.empty())) {
        killNode(world, index);
        return;
    }
    const bool isLast = !move->transaction.deletes.empty();
    const incarnation_id self = node.self.incarnation;
    const share_transaction copy = *move;
    startCall(world, index, move->transaction, [&world, self, copy, isLast](bool isCommitted) {
        const std::size_t to = findNode(world, self);
        if (to == world.nodes.size())
            return;
        if (isCommitted && isLast)
            killNode(world, to);
        else if (!isCommitted)
            for (const auto &[resource, part] : copy.given)
                addHome(world.nodes[to].loanManager.limits.at(resource).ledger, part.shares,
                        part.tokens, localTime(world, world.nodes[to]));
    });
}

void renewWitnesses(limits_world &world, std::size_t index)
{
    world_node &node = world.nodes[index];
    const time_point local = localTime(world, node);
    const std::set<incarnation_id> lost = lostWitnesses(node.lease, world.settings.leases, local);
    if (node.lease.next.empty()) {
        const auto live = livePeers(world);
        const bool isShort = node.lease.current.size() < 3 && live.size() > 3;
        if (lost.empty() && !isShort)
            return;
        std::vector<incarnation_id> next = chooseWitnesses(node.self, live, lost, world.random);
        prepareWitnessChange(node.lease, next);
        return;
    }
    if (!isChangeReady(node.lease, local))
        return;
    auto change = changeWitnesses(nextTransactionId(world), world.table, node.self.incarnation,
                                  node.lease.next);
    if (!change)
        return;
    submitWitnessChange(node.lease);
    const incarnation_id self = node.self.incarnation;
    startCall(world, index, *change, [&world, self](bool isCommitted) {
        const std::size_t to = findNode(world, self);
        if (to != world.nodes.size())
            finishWitnessChange(world.nodes[to].lease, isCommitted);
    });
}

void rebalance(limits_world &world, std::size_t index)
{
    world_node &node = world.nodes[index];
    const lease_row *own = findLease(world.table, node.self.incarnation);
    if (own == nullptr)
        return;
    const std::vector<peer_ref> live = livePeersIncluding(world, node.self);
    const time_point local = localTime(world, node);
    const bool hasListChanged = node.knownPeers != live;
    node.knownPeers = live;
    std::map<resource_id, share_count> wanted;
    std::map<resource_id, share_transfer> given;
    for (auto &[resource, entry] : node.loanManager.limits) {
        const pool_row *pool = findPool(world.table, resource);
        if (pool == nullptr)
            continue;
        const auto home = own->homes.find(resource);
        const share_count difference =
                rebalanceDelta(home == own->homes.end() ? 0 : home->second,
                               fairShareOf(world, resource, node, live), *pool);
        if (difference > 0)
            wanted[resource] = difference;
        else if (difference < 0)
            given[resource] = removeHome(entry.ledger, -difference, local);
        if (hasListChanged)
            setCandidates(node.loanManager, resource,
                          holdersOf(world, resource, entry.ledger.burst, live), live, world.random);
    }
    if (auto move = moveShares(nextTransactionId(world), world.table, node.self.incarnation, wanted,
                               given))
        startMove(world, index, std::move(*move));
}

void reclaimDead(limits_world &world, std::size_t index)
{
    world_node &node = world.nodes[index];
    const time_point local = localTime(world, node);
    const core::loan_times &times = world.settings.loans.times;
    const duration wait = world.settings.fault == limits_defect::ReclaimWithoutWait
                                  ? duration::zero()
                                  : times.rateLoanDuration + times.driftMargin;
    for (const incarnation_id dead : reclaimable(node.witness, wait, local)) {
        const lease_row *row = findLease(world.table, dead);
        if (row == nullptr) {
            onReclaimed(node.witness, dead);
            continue;
        }
        const auto votes = node.witness.watched[dead].votes;
        setRowWitnesses(node.witness, dead, row->witnesses, local);
        auto reclaim = reclaimLease(nextTransactionId(world), world.table, dead, votes);
        if (!reclaim || node.call)
            continue;
        startCall(world, index, *reclaim, [](bool) {});
        return;
    }
}

void askWitnesses(limits_world &world, std::size_t index)
{
    world_node &node = world.nodes[index];
    const time_point local = localTime(world, node);
    const lease_times &times = world.settings.leases;
    for (const incarnation_id each : dueWitnesses(node.lease, times, local)) {
        const lease_request request = requestOf(node.lease, local);
        const incarnation_id self = node.self.incarnation;
        sendMessage(world, index, each, 112, [&world, request, self](std::size_t to) {
            world_node &witness = world.nodes[to];
            if (world.settings.fault == limits_defect::WitnessPromisesAfterVote)
                witness.witness.watched[request.holder].hasVoted = false;
            const lease_promise promise = onLeaseRequest(
                    witness.witness, request, world.settings.leases, localTime(world, witness));
            sendMessage(world, to, self, 96, [&world, promise](std::size_t back) {
                world_node &holder = world.nodes[back];
                onPromise(holder.lease, promise, world.settings.leases, localTime(world, holder));
            });
        });
    }
    for (const vote_poll &question : dueVotePolls(node.witness, times, local))
        for (const incarnation_id each : question.witnesses) {
            const incarnation_id self = node.self.incarnation;
            const incarnation_id holder = question.holder;
            sendMessage(world, index, each, 72, [&world, holder, self](std::size_t to) {
                world_node &other = world.nodes[to];
                if (!voteExpired(other.witness, holder, world.settings.leases,
                                 localTime(world, other)))
                    return;
                const expiry_vote vote{ holder, other.self.incarnation };
                sendMessage(world, to, self, 80, [&world, vote](std::size_t back) {
                    onVote(world.nodes[back].witness, vote, localTime(world, world.nodes[back]));
                });
            });
        }
}

void useConnections(limits_world &world, world_node &node, time_point local)
{
    if (world.settings.connections == 0)
        return;
    const resource_id group = groupOf();
    const share_count usable = usableShares(node.loanManager.limits.at(group).ledger, local);
    const auto demand = static_cast<share_count>(drawBelow(world.random, 5));
    const share_count inUse = std::min(demand, usable);
    setConnections(node.loanManager, group, static_cast<std::uint32_t>(inUse),
                   static_cast<std::uint32_t>(demand - inUse));
}

} // namespace

void tick(limits_world &world, std::size_t index, incarnation_id incarnation)
{
    {
        world_node &node = world.nodes[index];
        if (!node.isAlive || node.self.incarnation != incarnation)
            return;
        if (!isRunning(world, node)) {
            after(world, node.pausedUntil - world.now,
                  [&world, index, incarnation] { tick(world, index, incarnation); });
            return;
        }
        after(world, world.settings.tickEvery,
              [&world, index, incarnation] { tick(world, index, incarnation); });
        std::vector<std::function<void()>> inbox;
        inbox.swap(node.inbox);
        for (const auto &each : inbox)
            each();
    }
    world_node &node = world.nodes[index];
    if (!node.isAlive || node.self.incarnation != incarnation)
        return;
    const time_point local = localTime(world, node);
    if (node.hasJoined) {
        time_point until = homeUntil(node.lease);
        if (isExpired(node.lease)) {
            killNode(world, index);
            startNode(world, index);
            return;
        }
        if (world.settings.fault == limits_defect::HolderIgnoresLapse)
            until = noDeadline;
        world.lapses +=
                node.homeUntil > time_point{} && local >= node.homeUntil && until != node.homeUntil
                        ? 1
                        : 0;
        if (until != node.homeUntil) {
            node.homeUntil = until;
            setHomeUntil(node.loanManager, until, local);
        }
    }
    askWitnesses(world, index);
    if (!node.call && world.now >= node.nextPlatformCallAt && isPlatformReachable(world, node)) {
        // A new instance calls the platform more often, to obtain the shares that its predecessor
        // returns.
        node.nextPlatformCallAt =
                world.now
                + (world.now < node.frequentPollUntil ? frequentPollInterval : rebalanceInterval);
        if (node.isLeaving)
            leaveTable(world, index);
        else if (!node.hasJoined) {
            // The witnesses must promise before the join. Otherwise the shares that the join
            // obtains are not usable yet when their tokens are added.
            node.nextPlatformCallAt = world.now + joinRetryDelay;
            if (node.lease.current.empty())
                setWitnesses(node.lease,
                             chooseWitnesses(node.self, livePeers(world), {}, world.random));
            else
                joinTable(world, index);
        } else {
            reclaimDead(world, index);
            if (!node.call)
                renewWitnesses(world, index);
            if (!node.call)
                rebalance(world, index);
        }
        if (!world.nodes[index].isAlive)
            return;
    }
    if (world.now >= node.stopDeadline) {
        killNode(world, index);
        return;
    }
    useConnections(world, node, local);
    sendLoans(world, index, poll(node.loanManager, local));
    for (auto &[resource, waiting] : node.waiting)
        admitWaitingStatements(world, index, resource);
    checkShares(world);
}

} // namespace fuchsiagw::testing
