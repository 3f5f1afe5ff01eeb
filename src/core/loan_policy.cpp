/// @file
/// @brief Asks, grants and early returns.

#include <fuchsiagw/core/loan_policy.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fuchsiagw::core {

namespace {

/// Need above the measured demand, so that a random peak does not empty the bucket.
constexpr double slowHeadroom = 1.1;

/// A loan is returned early only if the need leaves this much room, for surplusTime.
constexpr double surplusFactor = 1.5;
constexpr duration surplusTime = std::chrono::milliseconds(500);

/// Capacity below which random peaks empty a bucket whatever its rate, and burst below which a
/// division costs more than it gives; twice that if the borrower needs less than a half.
constexpr token_amount leastRateCapacity = 4 * oneToken;
constexpr token_amount leastRateBurst = 16 * oneToken;

/// Less is not worth a message. Only homes that hold less than two tokens give parts of one.
constexpr token_amount leastTokens = oneToken / 8;

/// A loan of this part of the total, or more, is large.
constexpr share_count largePart = 8;

/// More waiting statements than this are no random peak.
constexpr std::uint32_t longQueue = 3;

/// A gain of this part of the missing shares is worth the next ask at once.
constexpr share_count substantialPart = 8;

/// The answer to a request must fit into one datagram of 1,200 bytes.
constexpr std::int64_t answerBytesBound = 1'000;

/// Arrivals per second below which a limit counts as unused.
constexpr double idleRate = 0.01;

share_count sharesForRate(const share_ledger &book, double perSecond)
{
    if (book.rate == 0)
        return 0;
    const double part = perSecond * static_cast<double>(oneToken) / static_cast<double>(book.rate);
    return static_cast<share_count>(std::min(part, 1.0) * static_cast<double>(book.total));
}

/// Shares whose burst holds @p tokens.
share_count sharesForTokens(const share_ledger &book, token_amount tokens)
{
    if (book.burst == 0)
        return 0;
    const double part = static_cast<double>(tokens) / static_cast<double>(book.burst);
    return std::min(book.total,
                    static_cast<share_count>(std::ceil(part * static_cast<double>(book.total))));
}

/// Need by the newest arrivals; decides how much may be given away on request.
share_count currentNeed(const limit_entry &entry, time_point now)
{
    if (entry.book.rate == 0)
        return static_cast<share_count>(entry.inUse) + entry.waiting;
    const double steady = slowHeadroom * decayed(entry.demand, now).slow;
    return sharesForRate(entry.book, std::max(rateLowerBound(entry.demand, now),
                                              std::min(steady, rateUpperBound(entry.demand, now))));
}

/// Shares that should be borrowed for seconds. A bucket that is half full shows that there is no
/// lack. A small part of a small burst is borrowed token by token instead.
share_count missingRate(const limit_entry &entry, time_point now)
{
    const share_ledger &book = entry.book;
    const double rate = std::max(slowHeadroom * steadyRateLowerBound(entry.demand, now),
                                 rateLowerBound(entry.demand, now));
    share_count need = book.rate == 0 ? neededShares(entry, now) : sharesForRate(book, rate);
    // Statements that queue up show a lack before the estimates have followed.
    if (book.rate > 0 && entry.waiting > 1)
        need = std::min(book.total, need + need / 2);
    if (book.rate > 0 && entry.waiting > longQueue)
        need = std::min(book.total, std::max(need, book.usable + book.usable / 2));
    const bool isLow = book.rate == 0 || book.bucket.level < book.bucket.capacity / 2
                       || book.bucket.level < oneToken;
    const bool isDivisible =
            book.burst >= (2 * need >= book.total ? leastRateBurst : 2 * leastRateBurst);
    const bool isUsable =
            book.rate == 0
            || (isDivisible && partOf(book.burst, need, book.total) >= leastRateCapacity);
    return isLow && isUsable ? std::max<share_count>(need - book.usable, 0) : 0;
}

/// Tokens that should be borrowed at once: for the waiting statements, and for the next peak as far
/// as the own shares can keep them.
token_amount missingTokens(const limit_entry &entry, time_point now)
{
    const share_ledger &book = entry.book;
    if (book.rate == 0)
        return 0;
    const token_amount waiting = static_cast<token_amount>(entry.waiting) * oneToken;
    const token_amount lowLevel = std::min(2 * oneToken, book.bucket.capacity / 3);
    const bool isLow = book.bucket.level < lowLevel && decayed(entry.demand, now).slow > idleRate;
    const token_amount reserve = isLow ? book.bucket.capacity / 3 : 0;
    return std::max<token_amount>(waiting + reserve - book.bucket.level, 0);
}

bool isActive(const limit_entry &entry, time_point now)
{
    return entry.waiting > 0 || !entry.book.in.empty()
           || decayed(entry.demand, now).slow > idleRate;
}

bool isPaid(loan_desk &desk, std::int64_t bytes, time_point now)
{
    return take(desk.budget, bytes * oneToken, now);
}

/// Loans of rate carry the most, so loans of tokens leave them a half of the budget.
bool canSpareBytes(const loan_desk &desk)
{
    return 2 * desk.budget.level >= desk.budget.capacity;
}

/// Collects the asks of one poll by peer.
using ask_sheet =
        std::map<incarnation_id, std::map<std::pair<resource_id, loan_kind>, share_count>>;

duration longerRetry(duration retry, const loan_settings &settings)
{
    return std::clamp(retry * 2, settings.firstRetry, settings.longestRetry);
}

void askForRate(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                ask_sheet &sheet, time_point now)
{
    if (now < entry.nextAsk || entry.candidates.empty())
        return;
    const share_count missing = missingRate(entry, now);
    if (missing == 0)
        return;
    const std::size_t count = std::min(desk.settings.fanout, entry.candidates.size());
    const auto parts = static_cast<share_count>(count);
    for (std::size_t i = 0; i < count; ++i) {
        entry.nextCandidate %= entry.candidates.size();
        sheet[entry.candidates[entry.nextCandidate++]][{ resource, loan_kind::Rate }] =
                (missing + parts - 1) / parts;
    }
    entry.retry = longerRetry(entry.retry, desk.settings);
    entry.nextAsk = now + entry.retry;
}

/// Asks one peer at a time: tokens that come twice are lost when the loans end.
void askForTokens(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                  ask_sheet &sheet, time_point now)
{
    if (now < entry.nextTokenAsk || entry.candidates.empty() || !canSpareBytes(desk))
        return;
    const token_amount missing = missingTokens(entry, now);
    if (missing == 0)
        return;
    entry.nextTokenCandidate %= entry.candidates.size();
    sheet[entry.candidates[entry.nextTokenCandidate++]][{ resource, loan_kind::Tokens }] =
            sharesForTokens(entry.book, std::max(missing, oneToken));
    entry.tokenRetry = std::clamp(entry.tokenRetry + entry.tokenRetry / 4, desk.settings.tokenRetry,
                                  desk.settings.longestRetry);
    entry.nextTokenAsk = now + entry.tokenRetry;
}

using return_sheet = std::map<incarnation_id, loan_returns>;

void giveBack(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
              const loan_id &id, return_sheet &returns, time_point now)
{
    const loan_times &times = desk.settings.times;
    const duration longest =
            entry.book.in.at(id).kind == loan_kind::Rate ? times.length : times.tokenLoanDuration;
    if (auto back = returnLoan(entry.book, resource, id, longest, now))
        returns[id.lender].loans.push_back(std::move(*back));
}

/// Extends the loans that end soon. Those that are not needed are returned, because the tokens of a
/// loan that simply ends are lost.
void askForRenewals(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                    ask_sheet &sheet, return_sheet &returns, time_point now)
{
    if (now < entry.nextRenewal)
        return;
    const share_count need = neededShares(entry, now);
    std::vector<loan_id> unneeded;
    share_count kept = entry.book.usable;
    for (const auto &[id, loan] : entry.book.in) {
        if (loan.kind == loan_kind::Tokens || loan.shares == 0
            || loan.endsAt - now > desk.settings.renewLead)
            continue;
        if (kept - loan.shares >= need && entry.waiting == 0) {
            kept -= loan.shares;
            unneeded.push_back(id);
            continue;
        }
        sheet[id.lender].try_emplace({ resource, loan_kind::Rate }, 0);
        entry.nextRenewal = now + desk.settings.renewRetry;
    }
    for (const loan_id &id : unneeded)
        giveBack(desk, resource, entry, id, returns, now);
}

/// Returns tokens that came too late or from two peers. A loan that is a large part of a small
/// burst is returned even when its tokens are used, because its refill is lost meanwhile.
void returnUnusedTokens(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                        return_sheet &returns, time_point now)
{
    if (entry.waiting > 0)
        return;
    std::vector<loan_id> unused;
    for (const auto &[id, loan] : entry.book.in)
        if (loan.kind == loan_kind::Tokens && loan.shares > 0)
            unused.push_back(id);
    for (const loan_id &id : unused) {
        const share_ledger &book = entry.book;
        const share_count own = book.usable - book.in.at(id).shares;
        const token_amount room = partOf(book.burst, std::min(own, book.total), book.total);
        const bool isLarge = book.in.at(id).shares * largePart >= book.total;
        if (isLarge || book.bucket.level >= room + leastTokens)
            giveBack(desk, resource, entry, id, returns, now);
    }
}

/// Returns the loans that the need leaves over, the smallest first.
void returnSurplus(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                   double keptNeed, return_sheet &returns, time_point now)
{
    std::vector<std::pair<share_count, loan_id>> loans;
    for (const auto &[id, loan] : entry.book.in)
        if (loan.kind == loan_kind::Rate && loan.shares > 0)
            loans.emplace_back(loan.shares, id);
    std::sort(loans.begin(), loans.end());
    for (const auto &[shares, id] : loans) {
        // A loan is returned as a whole, so one that is needed by less than a half goes too.
        if (static_cast<double>(entry.book.usable) - static_cast<double>(shares) / 2 < keptNeed)
            break;
        giveBack(desk, resource, entry, id, returns, now);
    }
}

void returnUnused(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                  return_sheet &returns, time_point now)
{
    share_count smallest = 0;
    for (const auto &[id, loan] : entry.book.in)
        if (loan.kind == loan_kind::Rate && loan.shares > 0
            && (smallest == 0 || loan.shares < smallest))
            smallest = loan.shares;
    const double kept = surplusFactor * static_cast<double>(neededShares(entry, now));
    const bool hasSurplus = smallest > 0 && entry.waiting == 0
                            && static_cast<double>(entry.book.usable - smallest) >= kept;
    if (!hasSurplus)
        entry.surplusSince = noDeadline;
    else if (entry.surplusSince == noDeadline)
        entry.surplusSince = now;
    else if (now >= entry.surplusSince + surplusTime)
        returnSurplus(desk, resource, entry, kept, returns, now);
}

struct lent_part
{
    bool isAgreed = false;
    share_count shares = 0;
    token_amount tokens = 0;
};

/// Half of the shares that the own need leaves, with their part of the tokens.
lent_part rateToLend(const limit_entry &entry, const loan_ask &ask, share_count need,
                     share_count lendable)
{
    const share_ledger &book = entry.book;
    if (need > book.usable)
        return {};
    const share_count spare = std::min(book.usable - need, lendable);
    // A single connection can't be halved.
    const share_count least = book.rate == 0 ? std::min<share_count>(spare, 1) : 0;
    const share_count shares = std::min(ask.shares, std::max(spare / 2, least));
    return { true, shares, book.usable == 0 ? 0 : partOf(book.bucket.level, shares, book.usable) };
}

/// Half of the tokens, but a whole one if there is one, with the shares that make room for them.
lent_part tokensToLend(const limit_entry &entry, const loan_ask &ask, share_count lendable)
{
    const share_ledger &book = entry.book;
    const token_amount half =
            std::max(book.bucket.level / 2, std::min(book.bucket.level, oneToken));
    const bool isTiny =
            partOf(book.burst, std::min(book.home, book.total), book.total) < 2 * oneToken;
    const token_amount least = isTiny ? leastTokens : oneToken;
    if (book.rate == 0 || half < least)
        return {};
    const share_count shares = std::min({ ask.shares, lendable, sharesForTokens(book, half) });
    const token_amount tokens = partOf(book.burst, shares, book.total);
    return { tokens >= least, shares, std::min(tokens, half) };
}

std::vector<loan_message> sendRequests(loan_desk &desk, const ask_sheet &sheet, time_point now)
{
    std::vector<loan_message> messages;
    for (const auto &entry : sheet) {
        loan_request request{ desk.self.incarnation, 0, now.time_since_epoch().count(), {} };
        std::int64_t answerBytes = 0;
        const auto flush = [&] {
            if (request.asks.empty())
                return;
            request.number = desk.nextRequest++;
            loan_message message{ entry.first, request };
            if (isPaid(desk, sizeOf(message), now))
                messages.push_back(std::move(message));
            request.asks.clear();
            answerBytes = 0;
        };
        for (const auto &[what, shares] : entry.second) {
            request.asks.push_back({ what.first, what.second, shares });
            answerBytes += sizeOfTerms(what.first);
            if (answerBytes > answerBytesBound)
                flush();
        }
        flush();
    }
    return messages;
}

/// Appends returns. They are sent even beyond the budget, which then delays the next requests.
void appendReturns(loan_desk &desk, time_point now, std::vector<loan_message> &messages,
                   return_sheet &&returns)
{
    for (auto &[lender, body] : returns) {
        messages.push_back({ lender, std::move(body) });
        takeUpTo(desk.budget, sizeOf(messages.back()) * oneToken, now);
    }
}

} // namespace

admission admit(loan_desk &desk, const resource_id &resource, time_point now)
{
    const auto found = desk.limits.find(resource);
    if (found == desk.limits.end())
        return admission::Refused;
    limit_entry &entry = found->second;
    if (entry.demand.slow == 0 || !isActive(entry, now))
        desk.active.insert(resource);
    recordArrival(entry.demand, now);
    // Statements that wait already are served first.
    if (entry.waiting == 0 && takeToken(entry.book, now))
        return admission::Granted;
    desk.urgent.insert(resource);
    const double waitSeconds = std::chrono::duration<double>(desk.settings.admissionWait).count();
    const double bound =
            1 + waitSeconds * static_cast<double>(entry.book.rate) / static_cast<double>(oneToken);
    if (entry.waiting + 1 > bound)
        return admission::Refused;
    if (entry.waiting++ == 0) {
        // The retries of an earlier lack must not delay the first ask of this one.
        entry.tokenRetry = duration::zero();
        entry.nextTokenAsk = now;
    }
    return admission::Wait;
}

bool admitWaiting(loan_desk &desk, const resource_id &resource, time_point now)
{
    const auto entry = desk.limits.find(resource);
    if (entry == desk.limits.end() || entry->second.waiting == 0
        || !takeToken(entry->second.book, now))
        return false;
    --entry->second.waiting;
    return true;
}

void abandonWaiting(loan_desk &desk, const resource_id &resource)
{
    const auto entry = desk.limits.find(resource);
    assert(entry != desk.limits.end() && entry->second.waiting > 0);
    --entry->second.waiting;
}

time_point nextTokenAt(const loan_desk &desk, const resource_id &resource)
{
    const auto entry = desk.limits.find(resource);
    return entry == desk.limits.end() ? noDeadline
                                      : availableAt(entry->second.book.bucket, oneToken);
}

share_count neededShares(const limit_entry &entry, time_point now)
{
    if (entry.book.rate == 0)
        return std::min<share_count>(static_cast<share_count>(entry.inUse) + entry.waiting,
                                     entry.book.total);
    return sharesForRate(entry.book, std::max(slowHeadroom * decayed(entry.demand, now).slow,
                                              rateLowerBound(entry.demand, now)));
}

std::vector<loan_message> poll(loan_desk &desk, time_point now)
{
    refill(desk.budget, now);
    ask_sheet sheet;
    return_sheet returns;
    const auto visit = [&](const resource_id &resource, limit_entry &entry) {
        advance(entry.book, now);
        returnUnusedTokens(desk, resource, entry, returns, now);
        if (!desk.areLoansOn)
            return;
        askForRate(desk, resource, entry, sheet, now);
        askForTokens(desk, resource, entry, sheet, now);
        askForRenewals(desk, resource, entry, sheet, returns, now);
    };
    if (now >= desk.nextScan) {
        desk.nextScan = now + desk.settings.scanEvery;
        for (auto each = desk.active.begin(); each != desk.active.end();) {
            limit_entry &entry = desk.limits.at(*each);
            visit(*each, entry);
            returnUnused(desk, *each, entry, returns, now);
            each = isActive(entry, now) ? std::next(each) : desk.active.erase(each);
        }
    } else {
        for (const resource_id &each : desk.urgent)
            visit(each, desk.limits.at(each));
    }
    // A limit whose statements still wait is asked for again at its next retry.
    std::erase_if(desk.urgent,
                  [&desk](const resource_id &each) { return desk.limits.at(each).waiting == 0; });
    std::vector<loan_message> messages = sendRequests(desk, sheet, now);
    appendReturns(desk, now, messages, std::move(returns));
    return messages;
}

time_point nextPollAt(const loan_desk &desk)
{
    time_point next = desk.nextScan;
    for (const resource_id &each : desk.urgent)
        next = std::min({ next, desk.limits.at(each).nextAsk, desk.limits.at(each).nextTokenAsk });
    return next;
}

std::vector<loan_message> onLoanRequest(loan_desk &desk, const loan_request &request,
                                        time_point now)
{
    std::uint64_t &last = desk.lastRequests[request.borrower];
    if (request.number <= last || request.borrower == desk.self.incarnation)
        return {};
    last = request.number;
    refill(desk.budget, now);
    loan_grant grant{ request.borrower, request.sentAt, {} };
    return_sheet returns;
    // A lender without budget lends nothing; the returns that it owes are still sent.
    const bool canLend = desk.areLoansOn && desk.budget.level >= answerBytesBound * oneToken;
    for (const loan_ask &ask : request.asks) {
        const auto found = desk.limits.find(ask.resource);
        if (found == desk.limits.end())
            continue;
        limit_entry &entry = found->second;
        const share_count lendable = lendableShares(entry.book, now);
        const share_count need = currentNeed(entry, now);
        if (entry.waiting == 0)
            returnSurplus(desk, ask.resource, entry, static_cast<double>(need), returns, now);
        const bool isAffordable = ask.kind == loan_kind::Rate || canSpareBytes(desk);
        if (!canLend || !isAffordable || (entry.book.rate > 0 && entry.waiting > 0))
            continue;
        const lent_part part = ask.kind == loan_kind::Rate ? rateToLend(entry, ask, need, lendable)
                                                           : tokensToLend(entry, ask, lendable);
        if (!part.isAgreed)
            continue;
        if (auto terms =
                    grantLoan(entry.book, ask.resource, desk.self.incarnation, request.borrower,
                              ask.kind, part.shares, part.tokens, desk.settings.times, now))
            grant.loans.push_back(std::move(*terms));
    }
    std::vector<loan_message> messages;
    appendReturns(desk, now, messages, std::move(returns));
    if (!grant.loans.empty()) {
        messages.push_back({ request.borrower, std::move(grant) });
        takeUpTo(desk.budget, sizeOf(messages.back()) * oneToken, now);
    }
    return messages;
}

std::vector<resource_id> onLoanGrant(loan_desk &desk, const loan_grant &grant, time_point now)
{
    std::vector<resource_id> changed;
    if (grant.borrower != desk.self.incarnation)
        return changed;
    for (const loan_terms &terms : grant.loans) {
        const auto entry = desk.limits.find(terms.resource);
        if (entry == desk.limits.end())
            continue;
        const share_count before = usableShares(entry->second.book, now);
        if (!receiveLoan(entry->second.book, terms, time_point(duration(grant.sentAt)), now))
            continue;
        desk.active.insert(terms.resource);
        limit_entry &changedEntry = entry->second;
        if (changedEntry.book.usable <= before)
            continue;
        changed.push_back(terms.resource);
        if (terms.kind == loan_kind::Rate) {
            // Crumbs show that the peers have nothing left; asking on would only cost traffic.
            if ((changedEntry.book.usable - before) * substantialPart
                >= missingRate(changedEntry, now))
                changedEntry.retry = duration::zero();
            continue;
        }
        // The next poll returns what the waiting statements do not use.
        desk.urgent.insert(terms.resource);
        const auto giver = std::find(changedEntry.candidates.begin(), changedEntry.candidates.end(),
                                     terms.id.lender);
        if (giver != changedEntry.candidates.end())
            changedEntry.nextTokenCandidate =
                    static_cast<std::size_t>(giver - changedEntry.candidates.begin());
    }
    return changed;
}

std::vector<resource_id> onLoanReturns(loan_desk &desk, const loan_returns &returns, time_point now)
{
    std::vector<resource_id> changed;
    for (const loan_return &each : returns.loans) {
        const auto entry = desk.limits.find(each.resource);
        if (entry != desk.limits.end() && acceptReturn(entry->second.book, each, now))
            changed.push_back(each.resource);
    }
    return changed;
}

} // namespace fuchsiagw::core
