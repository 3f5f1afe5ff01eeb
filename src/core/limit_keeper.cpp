/// @file
/// @brief Events of the limit keeper: admission, demand, messages of other keepers and the tick.

#include <fuchsiagw/core/limit_keeper.hpp>
#include <fuchsiagw/detail/keeper_steps.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::core {

namespace {

/// Shares of connections must hold this long to be announced. It includes the time until the tick
/// after the next one.
constexpr duration announceHorizon = connectionWindDown + std::chrono::milliseconds(200);

/// Between two calls of tickKeeper() that nothing but a past deadline asks for.
constexpr duration shortestTick = std::chrono::milliseconds(2);

/// New witnesses that have not promised after this time are replaced by others.
constexpr duration witnessPatience = std::chrono::seconds(3);

constexpr std::size_t fullWitnessCount = 3;

/// Idle connections that a peer needs stay closed until its next requests have come.
constexpr duration yieldTime = std::chrono::milliseconds(500);

/// Borrowed connections are returned once they were not needed for this time.
constexpr duration surplusTime = std::chrono::milliseconds(500);

/// A burst of exchanges is expected to repeat within this time.
constexpr duration busyPeakTime = std::chrono::seconds(2);

template <typename body_type>
void send(keeper_actions &actions, incarnation_id to, body_type body)
{
    actions.emplace_back(keeper_send{ to, std::move(body) });
}

void sendLoans(std::vector<loan_message> messages, keeper_actions &actions)
{
    for (loan_message &message : messages)
        std::visit([&](auto &body) { send(actions, message.to, std::move(body)); }, message.body);
}

/// Shares of connections that are usable now but not announced, because they end soon.
share_count endingShares(limit_entry &entry, time_point now)
{
    advance(entry.book, now);
    return std::max<share_count>(entry.book.usable - sharesUntil(entry.book, now + announceHorizon),
                                 0);
}

/// Returns borrowed connections that are neither open nor expected to be.
/// @param isAsked a peer asks for them, so they are not kept for surplusTime
void returnSpare(limit_keeper &keeper, const resource_id &resource, bool isAsked, time_point now,
                 keeper_actions &actions)
{
    keeper_limit &limit = keeper.limits.at(resource);
    limit_entry &entry = keeper.connections.limits.at(resource);
    advance(entry.book, now);
    std::vector<std::pair<share_count, loan_id>> loans;
    for (const auto &[id, loan] : entry.book.in)
        if (loan.shares > 0)
            loans.emplace_back(loan.shares, id);
    std::sort(loans.begin(), loans.end());
    const share_count expected = (limit.busyPeak * share_count{ 3 } + 1) / 2;
    const share_count needed = std::max<share_count>(entry.inUse, expected) + entry.waiting;
    share_count held = sharesUntil(entry.book, now + announceHorizon);
    if (loans.empty() || held - loans.front().first < needed) {
        limit.surplusSince = noDeadline;
        return;
    }
    limit.surplusSince = std::min(limit.surplusSince, now);
    if (!isAsked && now < limit.surplusSince + surplusTime)
        return;
    for (const auto &[shares, id] : loans) {
        if (held - shares < needed)
            break;
        if (auto back = returnLoan(entry.book, resource, id,
                                   keeper.connections.settings.times.length, now))
            send(actions, id.lender, loan_returns{ { std::move(*back) } });
        held -= shares;
    }
}

void pollDesks(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    sendLoans(poll(keeper.rates, now), actions);
    // The desk may return a loan that is needed by less than a half; open connections need all.
    for (auto &[resource, entry] : keeper.connections.limits) {
        entry.surplusSince = noDeadline;
        returnSpare(keeper, resource, false, now, actions);
    }
    sendLoans(poll(keeper.connections, now), actions);
}

/// Lets idle connections be closed, so that half of the spare ones can be lent at the next request.
void yieldIdle(limit_keeper &keeper, const loan_ask &ask, time_point now)
{
    const auto limit = keeper.limits.find(ask.resource);
    if (limit == keeper.limits.end() || ask.shares == 0 || !keeper.connections.areLoansOn)
        return;
    const limit_entry &entry = keeper.connections.limits.at(ask.resource);
    const share_count held = sharesUntil(entry.book, now + announceHorizon);
    const share_count unlent = now < entry.book.homeUntil ? entry.book.home - entry.book.lent : 0;
    const share_count busy = entry.inUse - limit->second.idle;
    const share_count spare = std::min(held - busy - entry.waiting, unlent);
    const share_count lent = std::min(ask.shares, (spare + 1) / 2);
    const share_count unopened = std::max<share_count>(held - entry.inUse, 0);
    if (lent <= unopened / 2)
        return;
    // The desk lends half of what is not open.
    limit->second.yield = std::min<share_count>(2 * lent, unopened + limit->second.idle);
    limit->second.yieldUntil = now + yieldTime;
}

void onRequest(limit_keeper &keeper, const loan_request &request, time_point now,
               keeper_actions &actions)
{
    if (keeper.isLeaving || request.asks.empty())
        return;
    loan_desk &desk = deskOf(keeper, request.asks.front().resource);
    if (&desk == &keeper.rates) {
        sendLoans(onLoanRequest(desk, request, now), actions);
        return;
    }
    for (const loan_ask &ask : request.asks)
        if (desk.limits.contains(ask.resource))
            returnSpare(keeper, ask.resource, true, now, actions);
    // Shares that end soon are no spare: open connections would be left without. Loans are hidden
    // from the desk, which returns those that are needed by less than a half.
    struct hidden_part
    {
        limit_entry *entry = nullptr;
        std::uint32_t inUse = 0;
        std::map<loan_id, received_loan> loans;
    };
    std::vector<hidden_part> hidden;
    for (auto &[resource, entry] : desk.limits) {
        const auto ending = static_cast<std::uint32_t>(endingShares(entry, now));
        hidden.push_back({ &entry, entry.inUse, std::exchange(entry.book.in, {}) });
        entry.inUse += ending;
    }
    const std::size_t before = actions.size();
    sendLoans(onLoanRequest(desk, request, now), actions);
    for (hidden_part &each : hidden) {
        each.entry->inUse = each.inUse;
        each.entry->book.in = std::move(each.loans);
        setHomeUntil(each.entry->book, each.entry->book.homeUntil, now);
    }
    // What was lent may be enough; otherwise the next request asks for the rest.
    const bool isLent = std::any_of(actions.begin() + static_cast<std::ptrdiff_t>(before),
                                    actions.end(), [](const keeper_action &each) {
                                        const auto *sent = std::get_if<keeper_send>(&each);
                                        return sent != nullptr
                                               && std::holds_alternative<loan_grant>(sent->body);
                                    });
    for (const loan_ask &ask : request.asks)
        if (!isLent)
            yieldIdle(keeper, ask, now);
        else if (const auto limit = keeper.limits.find(ask.resource); limit != keeper.limits.end())
            limit->second.yield = 0;
}

void onGrant(limit_keeper &keeper, incarnation_id from, loan_grant grant, time_point now,
             keeper_actions &actions)
{
    std::erase_if(grant.loans, [from](const loan_terms &terms) { return terms.id.lender != from; });
    for (loan_desk *desk : { &keeper.rates, &keeper.connections })
        for (const resource_id &each : onLoanGrant(*desk, grant, now))
            serveWaiting(keeper, each, now, actions);
}

void onReturns(limit_keeper &keeper, loan_returns returns, time_point now, keeper_actions &actions)
{
    std::erase_if(returns.loans, [&keeper](const loan_return &each) {
        return each.id.lender != keeper.self.incarnation;
    });
    for (loan_desk *desk : { &keeper.rates, &keeper.connections })
        for (const resource_id &each : onLoanReturns(*desk, returns, now))
            serveWaiting(keeper, each, now, actions);
}

void askWitnesses(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    const lease_times &times = keeper.settings.leases;
    for (const incarnation_id each : dueWitnesses(keeper.lease, times, now))
        send(actions, each, requestOf(keeper.lease, now));
    for (const vote_poll &question : dueVotePolls(keeper.witness, times, now))
        for (const incarnation_id each : question.witnesses)
            send(actions, each, vote_request{ question.holder });
}

/// Chooses the witnesses of an incarnation that has no row yet.
void chooseFirstWitnesses(limit_keeper &keeper, time_point now, random_engine &random)
{
    std::set<incarnation_id> excluded = lostWitnesses(keeper.lease, keeper.settings.leases, now);
    excluded.insert(0);
    const bool hasPeers =
            std::any_of(keeper.live.begin(), keeper.live.end(), [&](const auto &peer) {
                return peer.incarnation != 0 && peer.instance != keeper.self.instance;
            });
    const bool isLacking = keeper.lease.current.empty() && hasPeers;
    if (isLacking || excluded.size() > 1)
        setWitnesses(keeper.lease, chooseWitnesses(keeper.self, keeper.live, excluded, random));
}

/// Prepares the replacement of witnesses that are lost or too few.
void renewWitnesses(limit_keeper &keeper, time_point now, random_engine &random)
{
    lease_holder &lease = keeper.lease;
    if (keeper.work.goal == keeper_goal::Witnesses || lease.isSubmitted
        || (!lease.next.empty() && now < keeper.witnessesDue))
        return;
    std::set<incarnation_id> excluded = lostWitnesses(lease, keeper.settings.leases, now);
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
    const auto next = chooseWitnesses(keeper.self, keeper.live, excluded, random);
    const bool isBetter = hasLost ? !next.empty() : next.size() > lease.current.size();
    prepareWitnessChange(lease, isBetter ? next : std::vector<incarnation_id>{});
    keeper.witnessesDue = now + witnessPatience;
}

/// Gives loans back that a planned stop leaves unused.
void returnLoans(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    std::map<incarnation_id, loan_returns> returns;
    for (const auto &[resource, limit] : keeper.limits) {
        loan_desk &desk = deskOf(keeper, resource);
        limit_entry &entry = desk.limits.at(resource);
        std::vector<loan_id> loans;
        for (const auto &[id, loan] : entry.book.in)
            if (loan.shares > 0)
                loans.push_back(id);
        if (entry.waiting > 0 || entry.inUse > 0)
            continue;
        for (const loan_id &id : loans)
            if (auto back = returnLoan(entry.book, resource, id, desk.settings.times.length, now))
                returns[id.lender].loans.push_back(std::move(*back));
    }
    for (auto &[lender, body] : returns)
        send(actions, lender, std::move(body));
}

std::uint32_t connectionLimit(limit_keeper &keeper, const resource_id &resource, time_point now)
{
    if (keeper.isExpired)
        return 0;
    keeper_limit &limit = keeper.limits.at(resource);
    const limit_entry &entry = keeper.connections.limits.at(resource);
    if (now >= limit.busyPeakUntil)
        limit.busyPeak = entry.inUse - std::min(entry.inUse, limit.idle);
    advance(bookOf(keeper, resource), now);
    share_count held = std::min(sharesUntil(entry.book, now + announceHorizon), entry.book.total);
    // An instance that shall not have the connections keeps some for the statements in its queue.
    if (!limit.isUsed || keeper.isLeaving)
        held = std::min<share_count>(held, entry.waiting > 0 ? entry.inUse + entry.waiting : 0);
    else
        held = std::max<share_count>(held - limit.reserve, 0);
    if (now < limit.yieldUntil)
        held = std::max<share_count>(held - limit.yield, 0);
    // Borrowed connections that stay idle are closed and then given back.
    const share_count unlent = now < entry.book.homeUntil ? entry.book.home - entry.book.lent : 0;
    if (entry.book.usable > unlent && limit.idle > 0 && entry.waiting == 0)
        held = std::min(held, std::max(unlent, (limit.busyPeak * share_count{ 3 } + 1) / 2));
    return static_cast<std::uint32_t>(held);
}

} // namespace

loan_settings connectionLoanSettings()
{
    loan_settings settings;
    settings.times.length = std::chrono::seconds(6);
    settings.times.driftMargin = std::chrono::milliseconds(30); // 0.5 % of the length
    // Several lost messages do not lower a limit: the extension is asked for in good time.
    settings.renewLead = connectionWindDown + std::chrono::milliseconds(1'800);
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

loan_desk &deskOf(limit_keeper &keeper, const resource_id &resource)
{
    return resource.kind == resource_kind::Workspace ? keeper.rates : keeper.connections;
}

share_ledger &bookOf(limit_keeper &keeper, const resource_id &resource)
{
    return deskOf(keeper, resource).limits.at(resource).book;
}

share_count sharesUntil(const share_ledger &book, time_point at)
{
    share_count shares = book.homeUntil > at ? book.home - book.lent : 0;
    for (const auto &[id, loan] : book.in)
        if (loan.endsAt > at)
            shares += loan.shares;
    return shares;
}

share_count removableShares(limit_keeper &keeper, const resource_id &resource, time_point now)
{
    limit_entry &entry = deskOf(keeper, resource).limits.at(resource);
    advance(entry.book, now);
    const share_count unlent = entry.book.home - entry.book.lent;
    if (resource.kind == resource_kind::Workspace)
        return keeper.isLeaving && entry.waiting > 0 ? 0 : unlent;
    // An instance that shall not have the connections serves the statements in its queue first.
    const bool isQueueServed = keeper.isLeaving || !keeper.limits.at(resource).isUsed;
    const share_count needed = entry.inUse + (isQueueServed ? entry.waiting : 0);
    if (needed == 0)
        return unlent;
    const share_count spare = sharesUntil(entry.book, now + announceHorizon) - needed;
    return std::clamp<share_count>(spare, 0, unlent);
}

void applyLease(limit_keeper &keeper, time_point now)
{
    const bool isUsable = keeper.hasJoined && !keeper.isExpired;
    const time_point until = isUsable ? homeUntil(keeper.lease) : time_point{};
    if (until == keeper.homeUntil)
        return;
    keeper.homeUntil = until;
    setHomeUntil(keeper.rates, until, now);
    setHomeUntil(keeper.connections, until, now);
}

void serveWaiting(limit_keeper &keeper, const resource_id &resource, time_point now,
                  keeper_actions &actions)
{
    auto &waiting = keeper.limits.at(resource).waiting;
    while (!waiting.empty() && admitWaiting(keeper.rates, resource, now)) {
        actions.emplace_back(keeper_admitted{ waiting.front().ticket, true });
        waiting.pop_front();
    }
    while (!waiting.empty() && now >= waiting.front().until) {
        abandonWaiting(keeper.rates, resource);
        actions.emplace_back(keeper_admitted{ waiting.front().ticket, false });
        waiting.pop_front();
    }
}

void announceLimits(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    for (auto &[resource, limit] : keeper.limits) {
        if (resource.kind != resource_kind::Connections)
            continue;
        const std::uint32_t allowed = connectionLimit(keeper, resource, now);
        if (limit.announced == allowed)
            continue;
        limit.announced = allowed;
        actions.emplace_back(keeper_connections{ group_id{ resource.name }, allowed });
    }
}

void expireKeeper(limit_keeper &keeper, time_point now, keeper_actions &actions)
{
    if (keeper.isExpired)
        return;
    keeper.isExpired = true;
    keeper.work = {};
    applyLease(keeper, now);
    for (auto &[resource, limit] : keeper.limits)
        for (; !limit.waiting.empty(); limit.waiting.pop_front()) {
            abandonWaiting(keeper.rates, resource);
            actions.emplace_back(keeper_admitted{ limit.waiting.front().ticket, false });
        }
    announceLimits(keeper, now, actions);
    actions.emplace_back(keeper_expired{});
}

limit_keeper makeKeeper(const peer_ref &self, const keeper_settings &settings, time_point now)
{
    limit_keeper keeper;
    keeper.self = self;
    keeper.settings = settings;
    keeper.lease.self = self.incarnation;
    keeper.witness.self = self.incarnation;
    keeper.witness.startedAt = now;
    keeper.rates = makeDesk(self, settings.rates, now);
    keeper.connections = makeDesk(self, settings.connections, now);
    keeper.nextCall = std::max<std::uint64_t>(self.incarnation, 1);
    keeper.nextWork = now;
    keeper.tickedAt = now;
    return keeper;
}

void setGroupDemand(limit_keeper &keeper, const group_id &group, std::uint32_t inUse,
                    std::uint32_t waiting, time_point now, std::uint32_t idle)
{
    const resource_id resource = resourceOf(group);
    const auto limit = keeper.limits.find(resource);
    if (limit == keeper.limits.end())
        return;
    limit->second.idle = std::min(idle, inUse);
    const std::uint32_t busy = inUse - limit->second.idle;
    if (busy >= limit->second.busyPeak || now >= limit->second.busyPeakUntil) {
        limit->second.busyPeak = busy;
        limit->second.busyPeakUntil = now + busyPeakTime;
    }
    advance(bookOf(keeper, resource), now);
    setConnections(keeper.connections, resource, inUse, waiting);
}

admission admitStatement(limit_keeper &keeper, const workspace_id &workspace, std::uint64_t ticket,
                         time_point now, keeper_actions &actions)
{
    const resource_id resource = resourceOf(workspace);
    const auto limit = keeper.limits.find(resource);
    if (keeper.isExpired || keeper.isLeaving || limit == keeper.limits.end()
        || !limit->second.isUsed)
        return admission::Refused;
    const admission decision = admit(keeper.rates, resource, now);
    if (decision == admission::Granted)
        return decision;
    if (decision == admission::Wait)
        limit->second.waiting.push_back({ ticket, now + keeper.rates.settings.admissionWait });
    sendLoans(poll(keeper.rates, now), actions);
    return decision;
}

void abandonStatement(limit_keeper &keeper, const workspace_id &workspace, std::uint64_t ticket)
{
    const resource_id resource = resourceOf(workspace);
    const auto limit = keeper.limits.find(resource);
    if (limit == keeper.limits.end())
        return;
    auto &waiting = limit->second.waiting;
    const auto place = std::find_if(waiting.begin(), waiting.end(),
                                    [ticket](const auto &each) { return each.ticket == ticket; });
    if (place == waiting.end())
        return;
    waiting.erase(place);
    abandonWaiting(keeper.rates, resource);
}

void onMessage(limit_keeper &keeper, incarnation_id from, const keeper_body &body, time_point now,
               random_engine &random, keeper_actions &actions)
{
    if (keeper.isExpired)
        return;
    const lease_times &times = keeper.settings.leases;
    if (const auto *request = std::get_if<lease_request>(&body)) {
        if (request->holder == from && from != keeper.self.incarnation)
            send(actions, from, onLeaseRequest(keeper.witness, *request, times, now));
    } else if (const auto *promise = std::get_if<lease_promise>(&body)) {
        if (promise->witness == from && onPromise(keeper.lease, *promise, times, now)) {
            applyLease(keeper, now);
            stepWork(keeper, now, random, actions);
        }
    } else if (const auto *question = std::get_if<vote_request>(&body)) {
        if (question->holder != keeper.self.incarnation
            && voteExpired(keeper.witness, question->holder, times, now))
            send(actions, from, expiry_vote{ question->holder, keeper.self.incarnation });
    } else if (const auto *vote = std::get_if<expiry_vote>(&body)) {
        if (vote->witness == from)
            onVote(keeper.witness, *vote, now);
    } else if (const auto *ask = std::get_if<loan_request>(&body)) {
        if (ask->borrower == from)
            onRequest(keeper, *ask, now, actions);
    } else if (const auto *grant = std::get_if<loan_grant>(&body)) {
        onGrant(keeper, from, *grant, now, actions);
    } else if (const auto *returns = std::get_if<loan_returns>(&body)) {
        onReturns(keeper, *returns, now, actions);
    }
    announceLimits(keeper, now, actions);
}

void tickKeeper(limit_keeper &keeper, time_point now, random_engine &random,
                keeper_actions &actions)
{
    keeper.tickedAt = now;
    if (keeper.isExpired)
        return;
    refreshHolders(keeper, now, random);
    const bool mayHaveRow = keeper.hasJoined || keeper.work.goal == keeper_goal::Join;
    if (mayHaveRow && isExpired(keeper.lease)) {
        expireKeeper(keeper, now, actions);
        return;
    }
    if (keeper.hasJoined)
        renewWitnesses(keeper, now, random);
    else if (!mayHaveRow && !keeper.isLeaving)
        chooseFirstWitnesses(keeper, now, random);
    askWitnesses(keeper, now, actions);
    applyLease(keeper, now);
    pollDesks(keeper, now, actions);
    for (auto &[resource, limit] : keeper.limits)
        if (!limit.waiting.empty())
            serveWaiting(keeper, resource, now, actions);
    if (keeper.isLeaving)
        returnLoans(keeper, now, actions);
    stepWork(keeper, now, random, actions);
    announceLimits(keeper, now, actions);
}

time_point nextKeeperTick(const limit_keeper &keeper)
{
    if (keeper.isExpired)
        return noDeadline;
    time_point next = std::min(
            { nextPollAt(keeper.rates), nextPollAt(keeper.connections), nextWorkAt(keeper) });
    for (const auto &[resource, limit] : keeper.limits)
        if (!limit.waiting.empty())
            next = std::min(
                    { next, limit.waiting.front().until, nextTokenAt(keeper.rates, resource) });
    return std::max(next, keeper.tickedAt + shortestTick);
}

void startLeaving(limit_keeper &keeper, time_point now, random_engine &random,
                  keeper_actions &actions)
{
    if (keeper.isLeaving || keeper.isExpired)
        return;
    keeper.isLeaving = true;
    keeper.rates.areLoansOn = false;
    tickKeeper(keeper, now, random, actions);
}

bool hasLeft(const limit_keeper &keeper)
{
    if (keeper.isExpired)
        return true;
    return keeper.isLeaving && !keeper.hasJoined && keeper.work.goal == keeper_goal::None;
}

} // namespace fuchsiagw::core
