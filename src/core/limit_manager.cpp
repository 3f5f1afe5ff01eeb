/// @file
/// @brief Events of the limit manager: admission, demand, messages of other instances and ticks.

#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/detail/limit_manager_steps.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::core {

namespace {

/// Connection shares count towards the announced limit only if they stay usable this long. The
/// interval includes the time until the second next tick.
constexpr duration announcementHorizon = connectionDrainInterval + std::chrono::milliseconds(200);

/// Minimum time between calls of tickLimitManager() when a deadline has already passed.
constexpr duration minTickInterval = std::chrono::milliseconds(2);

/// Proposed witnesses that have not promised within this time are replaced by others.
constexpr duration witnessPromiseTimeout = std::chrono::seconds(3);

constexpr std::size_t fullWitnessCount = 3;

/// The limit stays lowered for a peer this long, so that the peer's next requests can be granted.
constexpr duration idleReleaseInterval = std::chrono::milliseconds(500);

/// Borrowed connections are returned once they have not been needed for this time.
constexpr duration surplusReturnDelay = std::chrono::milliseconds(500);

/// A burst of exchanges is expected to recur within this time.
constexpr duration busyPeakWindow = std::chrono::seconds(2);

template <typename body_type>
void send(limit_manager_actions &actions, incarnation_id to, body_type body)
{
    actions.emplace_back(limit_message{ to, std::move(body) });
}

void sendLoanMessages(std::vector<loan_message> messages, limit_manager_actions &actions)
{
    for (loan_message &message : messages)
        std::visit([&](auto &body) { send(actions, message.to, std::move(body)); }, message.body);
}

/// @return connection shares that are usable now but not announced, because they expire soon
share_count endingShares(limit_entry &entry, time_point now)
{
    advance(entry.ledger, now);
    return std::max<share_count>(
            entry.ledger.usable - sharesUntil(entry.ledger, now + announcementHorizon), 0);
}

/// Returns borrowed connections that are neither open nor expected to be needed.
/// @param isRequested a peer requests them, so that they are returned without surplusReturnDelay
void returnSpareConnections(limit_manager &manager, const resource_id &resource, bool isRequested,
                            time_point now, limit_manager_actions &actions)
{
    limit_state &limit = manager.limits.at(resource);
    limit_entry &entry = manager.connections.limits.at(resource);
    advance(entry.ledger, now);
    std::vector<std::pair<share_count, loan_id>> loans;
    for (const auto &[id, loan] : entry.ledger.in)
        if (loan.shares > 0)
            loans.emplace_back(loan.shares, id);
    std::sort(loans.begin(), loans.end());
    const share_count expected = (limit.busyPeak * share_count{ 3 } + 1) / 2;
    const share_count needed = std::max<share_count>(entry.inUse, expected) + entry.waiting;
    share_count held = sharesUntil(entry.ledger, now + announcementHorizon);
    if (loans.empty() || held - loans.front().first < needed) {
        limit.surplusSince = noDeadline;
        return;
    }
    limit.surplusSince = std::min(limit.surplusSince, now);
    if (!isRequested && now < limit.surplusSince + surplusReturnDelay)
        return;
    for (const auto &[shares, id] : loans) {
        if (held - shares < needed)
            break;
        if (auto back = returnLoan(entry.ledger, resource, id,
                                   manager.connections.settings.times.rateLoanDuration, now))
            send(actions, id.lender, loan_returns{ { std::move(*back) } });
        held -= shares;
    }
}

void pollLoanManagers(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    sendLoanMessages(poll(manager.rates, now), actions);
    // The loan manager returns a loan if less than half of it is needed. The loans of open
    // connections must be kept, so the loan manager's own return of surplus loans is disabled here.
    for (auto &[resource, entry] : manager.connections.limits) {
        entry.surplusSince = noDeadline;
        returnSpareConnections(manager, resource, false, now, actions);
    }
    sendLoanMessages(poll(manager.connections, now), actions);
}

/// Lowers the connection limit so that idle connections are closed and half of the spare
/// connections can be lent at the next request.
void releaseIdleConnections(limit_manager &manager, const loan_request_item &item, time_point now)
{
    const auto limit = manager.limits.find(item.resource);
    if (limit == manager.limits.end() || item.shares == 0 || !manager.connections.areLoansOn)
        return;
    const limit_entry &entry = manager.connections.limits.at(item.resource);
    const share_count held = sharesUntil(entry.ledger, now + announcementHorizon);
    const share_count unlent =
            now < entry.ledger.homeUntil ? entry.ledger.home - entry.ledger.lent : 0;
    const share_count busy = entry.inUse - limit->second.idleConnections;
    const share_count spare = std::min(held - busy - entry.waiting, unlent);
    const share_count lent = std::min(item.shares, (spare + 1) / 2);
    const share_count unopened = std::max<share_count>(held - entry.inUse, 0);
    if (lent <= unopened / 2)
        return;
    // The loan manager lends half of the shares without an open connection.
    limit->second.releasedIdle =
            std::min<share_count>(2 * lent, unopened + limit->second.idleConnections);
    limit->second.releasedIdleUntil = now + idleReleaseInterval;
}

void onRequest(limit_manager &manager, const loan_request &request, time_point now,
               limit_manager_actions &actions)
{
    if (manager.isLeaving || request.items.empty())
        return;
    loan_manager &loanManager = loanManagerOf(manager, request.items.front().resource);
    if (&loanManager == &manager.rates) {
        sendLoanMessages(onLoanRequest(loanManager, request, now), actions);
        return;
    }
    for (const loan_request_item &item : request.items)
        if (loanManager.limits.contains(item.resource))
            returnSpareConnections(manager, item.resource, true, now, actions);
    // Shares that expire soon must not count as spare, or open connections would lose their shares.
    // Borrowed shares are hidden from the loan manager, because it returns a loan if less than half
    // of it is needed.
    struct hidden_loans
    {
        limit_entry *entry = nullptr;
        std::uint32_t inUse = 0;
        std::map<loan_id, received_loan> loans;
    };
    std::vector<hidden_loans> hidden;
    for (auto &[resource, entry] : loanManager.limits) {
        const auto ending = static_cast<std::uint32_t>(endingShares(entry, now));
        hidden.push_back({ &entry, entry.inUse, std::exchange(entry.ledger.in, {}) });
        entry.inUse += ending;
    }
    const std::size_t before = actions.size();
    sendLoanMessages(onLoanRequest(loanManager, request, now), actions);
    for (hidden_loans &each : hidden) {
        each.entry->inUse = each.inUse;
        each.entry->ledger.in = std::move(each.loans);
        setHomeUntil(each.entry->ledger, each.entry->ledger.homeUntil, now);
    }
    // The granted loans may be sufficient; otherwise the peer's next request asks for the
    // missing shares.
    const bool isLent = std::any_of(actions.begin() + static_cast<std::ptrdiff_t>(before),
                                    actions.end(), [](const limit_manager_action &each) {
                                        const auto *sent = std::get_if<limit_message>(&each);
                                        return sent != nullptr
                                               && std::holds_alternative<loan_grant>(sent->body);
                                    });
    for (const loan_request_item &item : request.items)
        if (!isLent)
            releaseIdleConnections(manager, item, now);
        else if (const auto limit = manager.limits.find(item.resource);
                 limit != manager.limits.end())
            limit->second.releasedIdle = 0;
}

void onGrant(limit_manager &manager, incarnation_id from, loan_grant grant, time_point now,
             limit_manager_actions &actions)
{
    std::erase_if(grant.loans, [from](const loan_terms &terms) { return terms.id.lender != from; });
    for (loan_manager *loanManager : { &manager.rates, &manager.connections })
        for (const resource_id &each : onLoanGrant(*loanManager, grant, now))
            serveWaitingStatements(manager, each, now, actions);
}

void onReturns(limit_manager &manager, loan_returns returns, time_point now,
               limit_manager_actions &actions)
{
    std::erase_if(returns.loans, [&manager](const loan_return &each) {
        return each.id.lender != manager.self.incarnation;
    });
    for (loan_manager *loanManager : { &manager.rates, &manager.connections })
        for (const resource_id &each : onLoanReturns(*loanManager, returns, now))
            serveWaitingStatements(manager, each, now, actions);
}

void sendWitnessRequests(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    const lease_times &times = manager.settings.leases;
    for (const incarnation_id each : dueWitnesses(manager.lease, times, now))
        send(actions, each, requestOf(manager.lease, now));
    for (const vote_poll &question : dueVotePolls(manager.witness, times, now))
        for (const incarnation_id each : question.witnesses)
            send(actions, each, vote_request{ question.holder });
}

/// Chooses the witnesses of an incarnation that has no row in the table yet.
void chooseFirstWitnesses(limit_manager &manager, time_point now, random_engine &random)
{
    std::set<incarnation_id> excluded = lostWitnesses(manager.lease, manager.settings.leases, now);
    excluded.insert(0);
    const bool hasPeers =
            std::any_of(manager.live.begin(), manager.live.end(), [&](const auto &peer) {
                return peer.incarnation != 0 && peer.instance != manager.self.instance;
            });
    const bool isLacking = manager.lease.current.empty() && hasPeers;
    if (isLacking || excluded.size() > 1)
        setWitnesses(manager.lease, chooseWitnesses(manager.self, manager.live, excluded, random));
}

/// Proposes new witnesses if some are lost or there are too few.
void replaceWitnesses(limit_manager &manager, time_point now, random_engine &random)
{
    lease_holder &lease = manager.lease;
    if (manager.task.kind == limit_task_kind::Witnesses || lease.isSubmitted
        || (!lease.next.empty() && now < manager.nextWitnessChangeAt))
        return;
    std::set<incarnation_id> excluded = lostWitnesses(lease, manager.settings.leases, now);
    if (excluded.empty() && lease.current.size() >= fullWitnessCount) {
        if (!lease.next.empty())
            prepareWitnessChange(lease, {});
        return;
    }
    const bool hasLost = !excluded.empty();
    for (const incarnation_id each : lease.next)
        if (lease.witnesses.at(each).promisedUntil <= now)
            excluded.insert(each);
    excluded.insert(0);
    const auto next = chooseWitnesses(manager.self, manager.live, excluded, random);
    const bool isBetter = hasLost ? !next.empty() : next.size() > lease.current.size();
    prepareWitnessChange(lease, isBetter ? next : std::vector<incarnation_id>{});
    manager.nextWitnessChangeAt = now + witnessPromiseTimeout;
}

/// Returns the loans that are no longer needed during a planned stop.
void returnUnneededLoans(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    std::map<incarnation_id, loan_returns> returns;
    for (const auto &[resource, limit] : manager.limits) {
        loan_manager &loanManager = loanManagerOf(manager, resource);
        limit_entry &entry = loanManager.limits.at(resource);
        std::vector<loan_id> loans;
        for (const auto &[id, loan] : entry.ledger.in)
            if (loan.shares > 0)
                loans.push_back(id);
        if (entry.waiting > 0 || entry.inUse > 0)
            continue;
        for (const loan_id &id : loans)
            if (auto back = returnLoan(entry.ledger, resource, id,
                                       loanManager.settings.times.rateLoanDuration, now))
                returns[id.lender].loans.push_back(std::move(*back));
    }
    for (auto &[lender, body] : returns)
        send(actions, lender, std::move(body));
}

std::uint32_t connectionLimit(limit_manager &manager, const resource_id &resource, time_point now)
{
    if (manager.isExpired)
        return 0;
    limit_state &limit = manager.limits.at(resource);
    const limit_entry &entry = manager.connections.limits.at(resource);
    if (now >= limit.busyPeakUntil)
        limit.busyPeak = entry.inUse - std::min(entry.inUse, limit.idleConnections);
    advance(ledgerOf(manager, resource), now);
    share_count held =
            std::min(sharesUntil(entry.ledger, now + announcementHorizon), entry.ledger.total);
    // An instance that is leaving or no longer owns the group keeps only the connections that its
    // queued statements need.
    if (!limit.isUsed || manager.isLeaving)
        held = std::min<share_count>(held, entry.waiting > 0 ? entry.inUse + entry.waiting : 0);
    else
        held = std::max<share_count>(held - limit.pendingReturn, 0);
    if (now < limit.releasedIdleUntil)
        held = std::max<share_count>(held - limit.releasedIdle, 0);
    // Idle borrowed connections are closed, so that their loans can be returned.
    const share_count unlent =
            now < entry.ledger.homeUntil ? entry.ledger.home - entry.ledger.lent : 0;
    if (entry.ledger.usable > unlent && limit.idleConnections > 0 && entry.waiting == 0)
        held = std::min(held, std::max(unlent, (limit.busyPeak * share_count{ 3 } + 1) / 2));
    return static_cast<std::uint32_t>(held);
}

} // namespace

loan_settings connectionLoanSettings()
{
    loan_settings settings;
    settings.times.rateLoanDuration = std::chrono::seconds(6);
    settings.times.driftMargin = std::chrono::milliseconds(30); // 0.5 % of the length
    // Requests a renewal early enough that several lost messages do not lower a limit.
    settings.renewalLeadTime = connectionDrainInterval + std::chrono::milliseconds(1'800);
    settings.bytesPerSecond = 500;
    settings.byteBurst = 10'000;
    return settings;
}

resource_id resourceOf(const workspace_id &workspace)
{
    return { resource_kind::Workspace, workspace.value };
}

resource_id resourceOf(const group_id &group)
{
    return { resource_kind::Connections, group.value };
}

loan_manager &loanManagerOf(limit_manager &manager, const resource_id &resource)
{
    return resource.kind == resource_kind::Workspace ? manager.rates : manager.connections;
}

share_ledger &ledgerOf(limit_manager &manager, const resource_id &resource)
{
    return loanManagerOf(manager, resource).limits.at(resource).ledger;
}

share_count sharesUntil(const share_ledger &ledger, time_point at)
{
    share_count shares = ledger.homeUntil > at ? ledger.home - ledger.lent : 0;
    for (const auto &[id, loan] : ledger.in)
        if (loan.endsAt > at)
            shares += loan.shares;
    return shares;
}

share_count removableShares(limit_manager &manager, const resource_id &resource, time_point now)
{
    limit_entry &entry = loanManagerOf(manager, resource).limits.at(resource);
    advance(entry.ledger, now);
    const share_count unlent = entry.ledger.home - entry.ledger.lent;
    if (resource.kind == resource_kind::Workspace)
        return manager.isLeaving && entry.waiting > 0 ? 0 : unlent;
    // An instance that is leaving or no longer owns the group serves its queued statements first.
    const bool isQueueServed = manager.isLeaving || !manager.limits.at(resource).isUsed;
    const share_count needed = entry.inUse + (isQueueServed ? entry.waiting : 0);
    if (needed == 0)
        return unlent;
    const share_count spare = sharesUntil(entry.ledger, now + announcementHorizon) - needed;
    return std::clamp<share_count>(spare, 0, unlent);
}

void applyLease(limit_manager &manager, time_point now)
{
    const bool isUsable = manager.hasJoined && !manager.isExpired;
    const time_point until = isUsable ? homeUntil(manager.lease) : time_point{};
    if (until == manager.homeUntil)
        return;
    manager.homeUntil = until;
    setHomeUntil(manager.rates, until, now);
    setHomeUntil(manager.connections, until, now);
}

void serveWaitingStatements(limit_manager &manager, const resource_id &resource, time_point now,
                            limit_manager_actions &actions)
{
    auto &waiting = manager.limits.at(resource).waitingStatements;
    while (!waiting.empty() && admitWaiting(manager.rates, resource, now)) {
        actions.emplace_back(admission_outcome{ waiting.front().ticket, true });
        waiting.pop_front();
    }
    while (!waiting.empty() && now >= waiting.front().refusedAt) {
        abandonWaiting(manager.rates, resource);
        actions.emplace_back(admission_outcome{ waiting.front().ticket, false });
        waiting.pop_front();
    }
}

void announceConnectionLimits(limit_manager &manager, time_point now,
                              limit_manager_actions &actions)
{
    for (auto &[resource, limit] : manager.limits) {
        if (resource.kind != resource_kind::Connections)
            continue;
        const std::uint32_t allowed = connectionLimit(manager, resource, now);
        if (limit.announcedLimit == allowed)
            continue;
        limit.announcedLimit = allowed;
        actions.emplace_back(connection_limit_change{ group_id{ resource.name }, allowed });
    }
}

void expireLimitManager(limit_manager &manager, time_point now, limit_manager_actions &actions)
{
    if (manager.isExpired)
        return;
    manager.isExpired = true;
    manager.task = {};
    applyLease(manager, now);
    for (auto &[resource, limit] : manager.limits)
        for (; !limit.waitingStatements.empty(); limit.waitingStatements.pop_front()) {
            abandonWaiting(manager.rates, resource);
            actions.emplace_back(
                    admission_outcome{ limit.waitingStatements.front().ticket, false });
        }
    announceConnectionLimits(manager, now, actions);
    actions.emplace_back(limit_manager_expired{});
}

limit_manager makeLimitManager(const peer_ref &self, const limit_manager_settings &settings,
                               time_point now)
{
    limit_manager manager;
    manager.self = self;
    manager.settings = settings;
    manager.lease.self = self.incarnation;
    manager.witness.self = self.incarnation;
    manager.witness.startedAt = now;
    manager.rates = makeLoanManager(self, settings.rates, now);
    manager.connections = makeLoanManager(self, settings.connections, now);
    manager.nextCall = std::max<std::uint64_t>(self.incarnation, 1);
    manager.nextTaskAt = now;
    manager.lastTickAt = now;
    return manager;
}

void setGroupDemand(limit_manager &manager, const group_id &group, std::uint32_t inUse,
                    std::uint32_t waiting, time_point now, std::uint32_t idle)
{
    const resource_id resource = resourceOf(group);
    const auto limit = manager.limits.find(resource);
    if (limit == manager.limits.end())
        return;
    limit->second.idleConnections = std::min(idle, inUse);
    const std::uint32_t busy = inUse - limit->second.idleConnections;
    if (busy >= limit->second.busyPeak || now >= limit->second.busyPeakUntil) {
        limit->second.busyPeak = busy;
        limit->second.busyPeakUntil = now + busyPeakWindow;
    }
    advance(ledgerOf(manager, resource), now);
    setConnections(manager.connections, resource, inUse, waiting);
}

admission admitStatement(limit_manager &manager, const workspace_id &workspace,
                         std::uint64_t ticket, time_point now, limit_manager_actions &actions)
{
    const resource_id resource = resourceOf(workspace);
    const auto limit = manager.limits.find(resource);
    if (manager.isExpired || manager.isLeaving || limit == manager.limits.end()
        || !limit->second.isUsed)
        return admission::Refused;
    const admission decision = admit(manager.rates, resource, now);
    if (decision == admission::Granted)
        return decision;
    if (decision == admission::Wait)
        limit->second.waitingStatements.push_back(
                { ticket, now + manager.rates.settings.maxAdmissionWait });
    sendLoanMessages(poll(manager.rates, now), actions);
    return decision;
}

void abandonStatement(limit_manager &manager, const workspace_id &workspace, std::uint64_t ticket)
{
    const resource_id resource = resourceOf(workspace);
    const auto limit = manager.limits.find(resource);
    if (limit == manager.limits.end())
        return;
    auto &waiting = limit->second.waitingStatements;
    const auto place = std::find_if(waiting.begin(), waiting.end(),
                                    [ticket](const auto &each) { return each.ticket == ticket; });
    if (place == waiting.end())
        return;
    waiting.erase(place);
    abandonWaiting(manager.rates, resource);
}

void onMessage(limit_manager &manager, incarnation_id from, const limit_message_body &body,
               time_point now, random_engine &random, limit_manager_actions &actions)
{
    if (manager.isExpired)
        return;
    const lease_times &times = manager.settings.leases;
    if (const auto *leaseRequest = std::get_if<lease_request>(&body)) {
        if (leaseRequest->holder == from && from != manager.self.incarnation)
            send(actions, from, onLeaseRequest(manager.witness, *leaseRequest, times, now));
    } else if (const auto *promise = std::get_if<lease_promise>(&body)) {
        if (promise->witness == from && onPromise(manager.lease, *promise, times, now)) {
            applyLease(manager, now);
            advanceTask(manager, now, random, actions);
        }
    } else if (const auto *voteRequest = std::get_if<vote_request>(&body)) {
        if (voteRequest->holder != manager.self.incarnation
            && voteExpired(manager.witness, voteRequest->holder, times, now))
            send(actions, from, expiry_vote{ voteRequest->holder, manager.self.incarnation });
    } else if (const auto *vote = std::get_if<expiry_vote>(&body)) {
        if (vote->witness == from)
            onVote(manager.witness, *vote, now);
    } else if (const auto *loanRequest = std::get_if<loan_request>(&body)) {
        if (loanRequest->borrower == from)
            onRequest(manager, *loanRequest, now, actions);
    } else if (const auto *grant = std::get_if<loan_grant>(&body)) {
        onGrant(manager, from, *grant, now, actions);
    } else if (const auto *returns = std::get_if<loan_returns>(&body)) {
        onReturns(manager, *returns, now, actions);
    }
    announceConnectionLimits(manager, now, actions);
}

void tickLimitManager(limit_manager &manager, time_point now, random_engine &random,
                      limit_manager_actions &actions)
{
    manager.lastTickAt = now;
    if (manager.isExpired)
        return;
    refreshHolders(manager, now, random);
    const bool mayHaveRow = manager.hasJoined || manager.task.kind == limit_task_kind::Join;
    if (mayHaveRow && isExpired(manager.lease)) {
        expireLimitManager(manager, now, actions);
        return;
    }
    if (manager.hasJoined)
        replaceWitnesses(manager, now, random);
    else if (!mayHaveRow && !manager.isLeaving)
        chooseFirstWitnesses(manager, now, random);
    sendWitnessRequests(manager, now, actions);
    applyLease(manager, now);
    pollLoanManagers(manager, now, actions);
    for (auto &[resource, limit] : manager.limits)
        if (!limit.waitingStatements.empty())
            serveWaitingStatements(manager, resource, now, actions);
    if (manager.isLeaving)
        returnUnneededLoans(manager, now, actions);
    advanceTask(manager, now, random, actions);
    announceConnectionLimits(manager, now, actions);
}

time_point nextLimitManagerTick(const limit_manager &manager)
{
    if (manager.isExpired)
        return noDeadline;
    time_point next = std::min({ nextPollAt(manager.rates), nextPollAt(manager.connections),
                                 nextTaskStepAt(manager) });
    for (const auto &[resource, limit] : manager.limits)
        if (!limit.waitingStatements.empty())
            next = std::min({ next, limit.waitingStatements.front().refusedAt,
                              nextTokenAt(manager.rates, resource) });
    return std::max(next, manager.lastTickAt + minTickInterval);
}

void startLeaving(limit_manager &manager, time_point now, random_engine &random,
                  limit_manager_actions &actions)
{
    if (manager.isLeaving || manager.isExpired)
        return;
    manager.isLeaving = true;
    manager.rates.areLoansOn = false;
    tickLimitManager(manager, now, random, actions);
}

bool hasLeft(const limit_manager &manager)
{
    if (manager.isExpired)
        return true;
    return manager.isLeaving && !manager.hasJoined && manager.task.kind == limit_task_kind::None;
}

} // namespace fuchsiagw::core
