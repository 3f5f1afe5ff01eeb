/// @file
/// @brief Decides about loan requests, grants and early returns.

#include <fuchsiagw/core/loan_policy.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fuchsiagw::core {

namespace {

/// Factor between the needed and the measured rate, so that a random peak does not empty the
/// bucket.
constexpr double demandHeadroom = 1.1;

/// Loans are returned early only if the remaining shares are at least this multiple of the need for
/// surplusReturnDelay.
constexpr double surplusFactor = 1.5;
constexpr duration surplusReturnDelay = std::chrono::milliseconds(500);

/// Random peaks empty a bucket below this capacity whatever its rate is.
constexpr token_amount minRateLoanCapacity = 4 * oneToken;

/// Dividing a smaller burst costs more than it gains. The bound is doubled if the borrower needs
/// less than half of the total.
constexpr token_amount minRateLoanBurst = 16 * oneToken;

/// A smaller loan does not justify the cost of a message. Only lenders whose home shares hold less
/// than two tokens lend fractions of a token.
constexpr token_amount minLoanTokens = oneToken / 8;

/// A loan is large if it is at least the total divided by this.
constexpr share_count largeLoanDivisor = 8;

/// A longer queue of waiting statements indicates a lack of rate rather than a random peak.
constexpr std::uint32_t maxRandomQueueLength = 3;

/// The rate request backoff is reset if a loan gains at least the missing shares divided by this.
constexpr share_count substantialGainDivisor = 8;

/// Ensures that the answer to a request fits into one datagram of 1,200 bytes.
constexpr std::int64_t maxAnswerBytes = 1'000;

/// Arrivals per second up to which a limit is treated as unused.
constexpr double idleArrivalRate = 0.01;

share_count sharesForRate(const share_ledger &ledger, double perSecond)
{
    if (ledger.rate == 0)
        return 0;
    const double part =
            perSecond * static_cast<double>(oneToken) / static_cast<double>(ledger.rate);
    return static_cast<share_count>(std::min(part, 1.0) * static_cast<double>(ledger.total));
}

/// @return the shares whose part of the burst holds @p tokens
share_count sharesForTokens(const share_ledger &ledger, token_amount tokens)
{
    if (ledger.burst == 0)
        return 0;
    const double part = static_cast<double>(tokens) / static_cast<double>(ledger.burst);
    return std::min(ledger.total,
                    static_cast<share_count>(std::ceil(part * static_cast<double>(ledger.total))));
}

/// @return the shares needed according to the latest arrivals; they bound what may be lent
share_count currentNeed(const limit_entry &entry, time_point now)
{
    if (entry.ledger.rate == 0)
        return static_cast<share_count>(entry.inUse) + entry.waiting;
    const double steady = demandHeadroom * decayed(entry.demand, now).longWindowRate;
    return sharesForRate(entry.ledger,
                         std::max(rateLowerBound(entry.demand, now),
                                  std::min(steady, rateUpperBound(entry.demand, now))));
}

/// @return the shares to be borrowed as a rate loan, which lasts for seconds; none if the bucket is
/// at least half full, because then the rate is sufficient. A small part of a small burst is
/// borrowed with token loans instead.
share_count missingRate(const limit_entry &entry, time_point now)
{
    const share_ledger &ledger = entry.ledger;
    const double rate = std::max(demandHeadroom * steadyRateLowerBound(entry.demand, now),
                                 rateLowerBound(entry.demand, now));
    share_count need = ledger.rate == 0 ? neededShares(entry, now) : sharesForRate(ledger, rate);
    // A growing queue shows a lack of rate before the demand estimate does.
    if (ledger.rate > 0 && entry.waiting > 1)
        need = std::min(ledger.total, need + need / 2);
    if (ledger.rate > 0 && entry.waiting > maxRandomQueueLength)
        need = std::min(ledger.total, std::max(need, ledger.usable + ledger.usable / 2));
    const bool isLow = ledger.rate == 0 || ledger.bucket.level < ledger.bucket.capacity / 2
                       || ledger.bucket.level < oneToken;
    const bool isDivisible =
            ledger.burst >= (2 * need >= ledger.total ? minRateLoanBurst : 2 * minRateLoanBurst);
    const bool isUsable =
            ledger.rate == 0
            || (isDivisible && partOf(ledger.burst, need, ledger.total) >= minRateLoanCapacity);
    return isLow && isUsable ? std::max<share_count>(need - ledger.usable, 0) : 0;
}

/// @return the tokens to be borrowed at once: those for the waiting statements, and if the bucket
/// is low, a reserve for the next peak within the capacity of the usable shares
token_amount missingTokens(const limit_entry &entry, time_point now)
{
    const share_ledger &ledger = entry.ledger;
    if (ledger.rate == 0)
        return 0;
    const token_amount waiting = static_cast<token_amount>(entry.waiting) * oneToken;
    const token_amount lowLevel = std::min(2 * oneToken, ledger.bucket.capacity / 3);
    const bool isLow = ledger.bucket.level < lowLevel
                       && decayed(entry.demand, now).longWindowRate > idleArrivalRate;
    const token_amount reserve = isLow ? ledger.bucket.capacity / 3 : 0;
    return std::max<token_amount>(waiting + reserve - ledger.bucket.level, 0);
}

bool isActive(const limit_entry &entry, time_point now)
{
    return entry.waiting > 0 || !entry.ledger.in.empty()
           || decayed(entry.demand, now).longWindowRate > idleArrivalRate;
}

bool tryTakeBudget(loan_manager &manager, std::int64_t bytes, time_point now)
{
    return take(manager.byteBudget, bytes * oneToken, now);
}

/// Rate loans transfer the most, so token loans leave half of the byte budget to them.
bool canAffordTokenLoans(const loan_manager &manager)
{
    return 2 * manager.byteBudget.level >= manager.byteBudget.capacity;
}

/// The requested shares of one poll, by peer.
using requests_by_peer =
        std::map<incarnation_id, std::map<std::pair<resource_id, loan_kind>, share_count>>;

duration nextBackoff(duration backoff, const loan_settings &settings)
{
    return std::clamp(backoff * 2, settings.minRetryInterval, settings.maxRetryInterval);
}

void requestRate(const loan_manager &manager, const resource_id &resource, limit_entry &entry,
                 requests_by_peer &requests, time_point now)
{
    if (now < entry.nextRateRequestAt || entry.candidates.empty())
        return;
    const share_count missing = missingRate(entry, now);
    if (missing == 0)
        return;
    const std::size_t count = std::min(manager.settings.fanout, entry.candidates.size());
    const auto parts = static_cast<share_count>(count);
    for (std::size_t i = 0; i < count; ++i) {
        entry.nextCandidate %= entry.candidates.size();
        requests[entry.candidates[entry.nextCandidate++]][{ resource, loan_kind::Rate }] =
                (missing + parts - 1) / parts;
    }
    entry.rateRetryBackoff = nextBackoff(entry.rateRetryBackoff, manager.settings);
    entry.nextRateRequestAt = now + entry.rateRetryBackoff;
}

/// Requests tokens from one peer at a time, because surplus tokens from a second peer are lost when
/// the loans end.
void requestTokens(const loan_manager &manager, const resource_id &resource, limit_entry &entry,
                   requests_by_peer &requests, time_point now)
{
    if (now < entry.nextTokenRequestAt || entry.candidates.empty() || !canAffordTokenLoans(manager))
        return;
    const token_amount missing = missingTokens(entry, now);
    if (missing == 0)
        return;
    entry.nextTokenCandidate %= entry.candidates.size();
    requests[entry.candidates[entry.nextTokenCandidate++]][{ resource, loan_kind::Tokens }] =
            sharesForTokens(entry.ledger, std::max(missing, oneToken));
    entry.tokenRetryBackoff =
            std::clamp(entry.tokenRetryBackoff + entry.tokenRetryBackoff / 4,
                       manager.settings.tokenRetryInterval, manager.settings.maxRetryInterval);
    entry.nextTokenRequestAt = now + entry.tokenRetryBackoff;
}

using returns_by_lender = std::map<incarnation_id, loan_returns>;

void returnLoanEarly(const loan_manager &manager, const resource_id &resource, limit_entry &entry,
                     const loan_id &id, returns_by_lender &returns, time_point now)
{
    const loan_times &times = manager.settings.times;
    const duration longest = entry.ledger.in.at(id).kind == loan_kind::Rate
                                     ? times.rateLoanDuration
                                     : times.tokenLoanDuration;
    if (auto back = returnLoan(entry.ledger, resource, id, longest, now))
        returns[id.lender].loans.push_back(std::move(*back));
}

/// Renews the loans that end soon. Loans that are not needed are returned instead, because the
/// tokens of a loan that expires are lost.
void requestRenewals(const loan_manager &manager, const resource_id &resource, limit_entry &entry,
                     requests_by_peer &requests, returns_by_lender &returns, time_point now)
{
    if (now < entry.nextRenewalAt)
        return;
    const share_count need = neededShares(entry, now);
    std::vector<loan_id> unneeded;
    share_count kept = entry.ledger.usable;
    for (const auto &[id, loan] : entry.ledger.in) {
        if (loan.kind == loan_kind::Tokens || loan.shares == 0
            || loan.endsAt - now > manager.settings.renewalLeadTime)
            continue;
        if (kept - loan.shares >= need && entry.waiting == 0) {
            kept -= loan.shares;
            unneeded.push_back(id);
            continue;
        }
        requests[id.lender].try_emplace({ resource, loan_kind::Rate }, 0);
        entry.nextRenewalAt = now + manager.settings.renewalRetryInterval;
    }
    for (const loan_id &id : unneeded)
        returnLoanEarly(manager, resource, entry, id, returns, now);
}

/// Returns tokens that arrived too late or from two peers. A loan of a large part of a small burst
/// is returned even if its tokens have been used, because the loan's shares are not refilled until
/// it ends.
void returnUnusedTokens(const loan_manager &manager, const resource_id &resource,
                        limit_entry &entry, returns_by_lender &returns, time_point now)
{
    if (entry.waiting > 0)
        return;
    std::vector<loan_id> unused;
    for (const auto &[id, loan] : entry.ledger.in)
        if (loan.kind == loan_kind::Tokens && loan.shares > 0)
            unused.push_back(id);
    for (const loan_id &id : unused) {
        const share_ledger &ledger = entry.ledger;
        const share_count own = ledger.usable - ledger.in.at(id).shares;
        const token_amount room = partOf(ledger.burst, std::min(own, ledger.total), ledger.total);
        const bool isLarge = ledger.in.at(id).shares * largeLoanDivisor >= ledger.total;
        if (isLarge || ledger.bucket.level >= room + minLoanTokens)
            returnLoanEarly(manager, resource, entry, id, returns, now);
    }
}

/// Returns the loans that are not needed, smallest first.
void returnSurplus(const loan_manager &manager, const resource_id &resource, limit_entry &entry,
                   double minKeptShares, returns_by_lender &returns, time_point now)
{
    std::vector<std::pair<share_count, loan_id>> loans;
    for (const auto &[id, loan] : entry.ledger.in)
        if (loan.kind == loan_kind::Rate && loan.shares > 0)
            loans.emplace_back(loan.shares, id);
    std::sort(loans.begin(), loans.end());
    for (const auto &[shares, id] : loans) {
        // Loans can't be split: one of which less than half is needed is returned as well.
        if (static_cast<double>(entry.ledger.usable) - static_cast<double>(shares) / 2
            < minKeptShares)
            break;
        returnLoanEarly(manager, resource, entry, id, returns, now);
    }
}

void returnLastingSurplus(const loan_manager &manager, const resource_id &resource,
                          limit_entry &entry, returns_by_lender &returns, time_point now)
{
    share_count smallest = 0;
    for (const auto &[id, loan] : entry.ledger.in)
        if (loan.kind == loan_kind::Rate && loan.shares > 0
            && (smallest == 0 || loan.shares < smallest))
            smallest = loan.shares;
    const double kept = surplusFactor * static_cast<double>(neededShares(entry, now));
    const bool hasSurplus = smallest > 0 && entry.waiting == 0
                            && static_cast<double>(entry.ledger.usable - smallest) >= kept;
    if (!hasSurplus)
        entry.surplusSince = noDeadline;
    else if (entry.surplusSince == noDeadline)
        entry.surplusSince = now;
    else if (now >= entry.surplusSince + surplusReturnDelay)
        returnSurplus(manager, resource, entry, kept, returns, now);
}

struct loan_offer
{
    bool isGranted = false;
    share_count shares = 0;
    token_amount tokens = 0;
};

/// Offers at most half of the shares that this instance does not need, with their part of the
/// tokens.
loan_offer offerRate(const limit_entry &entry, const loan_request_item &item, share_count need,
                     share_count lendable)
{
    const share_ledger &ledger = entry.ledger;
    if (need > ledger.usable)
        return {};
    const share_count spare = std::min(ledger.usable - need, lendable);
    // A single spare connection is lent as a whole.
    const share_count least = ledger.rate == 0 ? std::min<share_count>(spare, 1) : 0;
    const share_count shares = std::min(item.shares, std::max(spare / 2, least));
    return { true, shares,
             ledger.usable == 0 ? 0 : partOf(ledger.bucket.level, shares, ledger.usable) };
}

/// Offers at most half of the tokens, but a whole token if there is one, with the shares whose
/// burst can hold them.
loan_offer offerTokens(const limit_entry &entry, const loan_request_item &item,
                       share_count lendable)
{
    const share_ledger &ledger = entry.ledger;
    const token_amount half =
            std::max(ledger.bucket.level / 2, std::min(ledger.bucket.level, oneToken));
    const bool isTiny =
            partOf(ledger.burst, std::min(ledger.home, ledger.total), ledger.total) < 2 * oneToken;
    const token_amount least = isTiny ? minLoanTokens : oneToken;
    if (ledger.rate == 0 || half < least)
        return {};
    const share_count shares = std::min({ item.shares, lendable, sharesForTokens(ledger, half) });
    const token_amount tokens = partOf(ledger.burst, shares, ledger.total);
    return { tokens >= least, shares, std::min(tokens, half) };
}

std::vector<loan_message> sendRequests(loan_manager &manager, const requests_by_peer &requests,
                                       time_point now)
{
    std::vector<loan_message> messages;
    for (const auto &entry : requests) {
        loan_request request{ manager.self.incarnation, 0, now.time_since_epoch().count(), {} };
        std::int64_t answerBytes = 0;
        const auto flush = [&] {
            if (request.items.empty())
                return;
            request.number = manager.nextRequestNumber++;
            loan_message message{ entry.first, request };
            if (tryTakeBudget(manager, sizeOf(message), now))
                messages.push_back(std::move(message));
            request.items.clear();
            answerBytes = 0;
        };
        for (const auto &[key, shares] : entry.second) {
            request.items.push_back({ key.first, key.second, shares });
            answerBytes += sizeOfTerms(key.first);
            if (answerBytes > maxAnswerBytes)
                flush();
        }
        flush();
    }
    return messages;
}

/// Appends the messages that return loans. They may exceed the byte budget, which then delays the
/// next requests.
void appendReturns(loan_manager &manager, time_point now, std::vector<loan_message> &messages,
                   returns_by_lender &&returns)
{
    for (auto &[lender, body] : returns) {
        messages.push_back({ lender, std::move(body) });
        takeUpTo(manager.byteBudget, sizeOf(messages.back()) * oneToken, now);
    }
}

} // namespace

admission admit(loan_manager &manager, const resource_id &resource, time_point now)
{
    const auto found = manager.limits.find(resource);
    if (found == manager.limits.end())
        return admission::Refused;
    limit_entry &entry = found->second;
    if (entry.demand.longWindowRate == 0 || !isActive(entry, now))
        manager.active.insert(resource);
    recordArrival(entry.demand, now);
    // Statements that are already waiting take precedence.
    if (entry.waiting == 0 && takeToken(entry.ledger, now))
        return admission::Granted;
    manager.urgent.insert(resource);
    const double waitSeconds =
            std::chrono::duration<double>(manager.settings.maxAdmissionWait).count();
    const double bound =
            1
            + waitSeconds * static_cast<double>(entry.ledger.rate) / static_cast<double>(oneToken);
    if (entry.waiting + 1 > bound)
        return admission::Refused;
    if (entry.waiting++ == 0) {
        // The backoff of an earlier shortage must not delay the first request of this one.
        entry.tokenRetryBackoff = duration::zero();
        entry.nextTokenRequestAt = now;
    }
    return admission::Wait;
}

bool admitWaiting(loan_manager &manager, const resource_id &resource, time_point now)
{
    const auto entry = manager.limits.find(resource);
    if (entry == manager.limits.end() || entry->second.waiting == 0
        || !takeToken(entry->second.ledger, now))
        return false;
    --entry->second.waiting;
    return true;
}

void abandonWaiting(loan_manager &manager, const resource_id &resource)
{
    const auto entry = manager.limits.find(resource);
    assert(entry != manager.limits.end() && entry->second.waiting > 0);
    --entry->second.waiting;
}

time_point nextTokenAt(const loan_manager &manager, const resource_id &resource)
{
    const auto entry = manager.limits.find(resource);
    return entry == manager.limits.end() ? noDeadline
                                         : availableAt(entry->second.ledger.bucket, oneToken);
}

share_count neededShares(const limit_entry &entry, time_point now)
{
    if (entry.ledger.rate == 0)
        return std::min<share_count>(static_cast<share_count>(entry.inUse) + entry.waiting,
                                     entry.ledger.total);
    return sharesForRate(entry.ledger,
                         std::max(demandHeadroom * decayed(entry.demand, now).longWindowRate,
                                  rateLowerBound(entry.demand, now)));
}

std::vector<loan_message> poll(loan_manager &manager, time_point now)
{
    refill(manager.byteBudget, now);
    requests_by_peer requests;
    returns_by_lender returns;
    const auto visit = [&](const resource_id &resource, limit_entry &entry) {
        advance(entry.ledger, now);
        returnUnusedTokens(manager, resource, entry, returns, now);
        if (!manager.areLoansOn)
            return;
        requestRate(manager, resource, entry, requests, now);
        requestTokens(manager, resource, entry, requests, now);
        requestRenewals(manager, resource, entry, requests, returns, now);
    };
    if (now >= manager.nextScanAt) {
        manager.nextScanAt = now + manager.settings.scanInterval;
        for (auto each = manager.active.begin(); each != manager.active.end();) {
            limit_entry &entry = manager.limits.at(*each);
            visit(*each, entry);
            returnLastingSurplus(manager, *each, entry, returns, now);
            each = isActive(entry, now) ? std::next(each) : manager.active.erase(each);
        }
    } else {
        for (const resource_id &each : manager.urgent)
            visit(each, manager.limits.at(each));
    }
    // Limits with waiting statements stay urgent, so that the next retry requests tokens again.
    std::erase_if(manager.urgent, [&manager](const resource_id &each) {
        return manager.limits.at(each).waiting == 0;
    });
    std::vector<loan_message> messages = sendRequests(manager, requests, now);
    appendReturns(manager, now, messages, std::move(returns));
    return messages;
}

time_point nextPollAt(const loan_manager &manager)
{
    time_point next = manager.nextScanAt;
    for (const resource_id &each : manager.urgent)
        next = std::min({ next, manager.limits.at(each).nextRateRequestAt,
                          manager.limits.at(each).nextTokenRequestAt });
    return next;
}

std::vector<loan_message> onLoanRequest(loan_manager &manager, const loan_request &request,
                                        time_point now)
{
    std::uint64_t &last = manager.lastRequestNumbers[request.borrower];
    if (request.number <= last || request.borrower == manager.self.incarnation)
        return {};
    last = request.number;
    refill(manager.byteBudget, now);
    loan_grant grant{ request.borrower, request.sentAt, {} };
    returns_by_lender returns;
    // Without byte budget nothing is lent, but loans that are not needed are still returned.
    const bool canLend =
            manager.areLoansOn && manager.byteBudget.level >= maxAnswerBytes * oneToken;
    for (const loan_request_item &item : request.items) {
        const auto found = manager.limits.find(item.resource);
        if (found == manager.limits.end())
            continue;
        limit_entry &entry = found->second;
        const share_count lendable = lendableShares(entry.ledger, now);
        const share_count need = currentNeed(entry, now);
        if (entry.waiting == 0)
            returnSurplus(manager, item.resource, entry, static_cast<double>(need), returns, now);
        const bool isAffordable = item.kind == loan_kind::Rate || canAffordTokenLoans(manager);
        if (!canLend || !isAffordable || (entry.ledger.rate > 0 && entry.waiting > 0))
            continue;
        const loan_offer offer = item.kind == loan_kind::Rate
                                         ? offerRate(entry, item, need, lendable)
                                         : offerTokens(entry, item, lendable);
        if (!offer.isGranted)
            continue;
        if (auto terms = grantLoan(entry.ledger, item.resource, manager.self.incarnation,
                                   request.borrower, item.kind, offer.shares, offer.tokens,
                                   manager.settings.times, now))
            grant.loans.push_back(std::move(*terms));
    }
    std::vector<loan_message> messages;
    appendReturns(manager, now, messages, std::move(returns));
    if (!grant.loans.empty()) {
        messages.push_back({ request.borrower, std::move(grant) });
        takeUpTo(manager.byteBudget, sizeOf(messages.back()) * oneToken, now);
    }
    return messages;
}

std::vector<resource_id> onLoanGrant(loan_manager &manager, const loan_grant &grant, time_point now)
{
    std::vector<resource_id> changed;
    if (grant.borrower != manager.self.incarnation)
        return changed;
    for (const loan_terms &terms : grant.loans) {
        const auto entry = manager.limits.find(terms.resource);
        if (entry == manager.limits.end())
            continue;
        const share_count before = usableShares(entry->second.ledger, now);
        if (!receiveLoan(entry->second.ledger, terms, time_point(duration(grant.sentAt)), now))
            continue;
        manager.active.insert(terms.resource);
        limit_entry &changedEntry = entry->second;
        if (changedEntry.ledger.usable <= before)
            continue;
        changed.push_back(terms.resource);
        if (terms.kind == loan_kind::Rate) {
            // A small gain shows that the peers have little left to lend, so the backoff continues
            // to limit the traffic.
            if ((changedEntry.ledger.usable - before) * substantialGainDivisor
                >= missingRate(changedEntry, now))
                changedEntry.rateRetryBackoff = duration::zero();
            continue;
        }
        // The next poll returns the tokens that the waiting statements do not use.
        manager.urgent.insert(terms.resource);
        const auto lenderPlace = std::find(changedEntry.candidates.begin(),
                                           changedEntry.candidates.end(), terms.id.lender);
        if (lenderPlace != changedEntry.candidates.end())
            changedEntry.nextTokenCandidate =
                    static_cast<std::size_t>(lenderPlace - changedEntry.candidates.begin());
    }
    return changed;
}

std::vector<resource_id> onLoanReturns(loan_manager &manager, const loan_returns &returns,
                                       time_point now)
{
    std::vector<resource_id> changed;
    for (const loan_return &each : returns.loans) {
        const auto entry = manager.limits.find(each.resource);
        if (entry != manager.limits.end() && acceptReturn(entry->second.ledger, each, now))
            changed.push_back(each.resource);
    }
    return changed;
}

} // namespace fuchsiagw::core
