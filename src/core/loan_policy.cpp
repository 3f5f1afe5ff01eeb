/// @file
/// @brief Demand estimates, asks, grants and early returns.

#include <fuchsiagw/core/loan_policy.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fuchsiagw::core {

namespace {

constexpr double fastWindowSeconds = 0.2;
constexpr double slowWindowSeconds = 2;

/// Need above the measured demand, so that a random peak does not empty the bucket.
constexpr double slowHeadroom = 1.1;
/// The short window is noisy; this part of it still follows a sudden rise within 0.2 s.
constexpr double fastPart = 0.8;

/// A loan is returned early only if the need leaves this much room, for surplusTime.
constexpr double surplusFactor = 1.5;
constexpr duration surplusTime = std::chrono::milliseconds(500);

/// Envelope (version, sender, sequence, kind, MAC) of a datagram, and the bytes of one entry
/// besides the resource's name.
constexpr std::int64_t envelopeBytes = 64;
constexpr std::int64_t askBytes = 17;
constexpr std::int64_t termsBytes = 61;
constexpr std::int64_t returnBytes = 37;
/// The answer to a request must fit into one datagram of 1,200 bytes.
constexpr std::int64_t answerBytesBound = 1'100;

/// Arrivals per second below which a limit counts as unused.
constexpr double idleRate = 0.01;

demand_estimate decayed(const demand_estimate &demand, time_point now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - demand.at).count());
    return { demand.fast * std::exp(-elapsed / fastWindowSeconds),
             demand.slow * std::exp(-elapsed / slowWindowSeconds), std::max(demand.at, now) };
}

void recordArrival(demand_estimate &demand, time_point now)
{
    demand = decayed(demand, now);
    demand.fast += 1 / fastWindowSeconds;
    demand.slow += 1 / slowWindowSeconds;
}

share_count sharesForRate(const share_book &book, double perSecond)
{
    if (book.rate == 0)
        return 0;
    const double part = perSecond * static_cast<double>(oneToken) / static_cast<double>(book.rate);
    return static_cast<share_count>(std::min(part, 1.0) * static_cast<double>(book.total));
}

/// Shares whose burst holds @p tokens.
share_count sharesForTokens(const share_book &book, token_amount tokens)
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
    const demand_estimate demand = decayed(entry.demand, now);
    return sharesForRate(entry.book,
                         std::max(fastPart * demand.fast,
                                  std::min(slowHeadroom * demand.slow, 1.5 * demand.fast)));
}

/// Shares that should be borrowed now, by rate and by the tokens that are missing.
share_count missingShares(const limit_entry &entry, time_point now)
{
    const share_book &book = entry.book;
    const share_count byRate = neededShares(entry, now) - book.usable;
    if (book.rate == 0)
        return std::max<share_count>(byRate, 0);
    const token_amount lowLevel = std::max(oneToken, book.bucket.capacity / 4);
    token_amount tokens = static_cast<token_amount>(entry.waiting) * oneToken;
    if (book.bucket.level < lowLevel && decayed(entry.demand, now).slow > idleRate)
        tokens += 2 * lowLevel - book.bucket.level;
    return std::max({ byRate, sharesForTokens(book, tokens), share_count{ 0 } });
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

/// Collects the asks of one poll by peer.
using ask_sheet = std::map<incarnation_id, std::map<resource_id, share_count>>;

void askForMore(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                ask_sheet &sheet, time_point now)
{
    const share_count missing = missingShares(entry, now);
    if (missing == 0 || now < entry.nextAsk || entry.candidates.empty())
        return;
    const std::size_t count = std::min(desk.settings.fanout, entry.candidates.size());
    const share_count each = std::max(
            (missing + static_cast<share_count>(count) - 1) / static_cast<share_count>(count),
            entry.book.rate == 0 ? 1 : sharesForTokens(entry.book, oneToken));
    for (std::size_t i = 0; i < count; ++i) {
        entry.nextCandidate %= entry.candidates.size();
        sheet[entry.candidates[entry.nextCandidate++]][resource] = each;
    }
    entry.retry = std::clamp(entry.retry * 2, desk.settings.firstRetry, desk.settings.longestRetry);
    entry.nextAsk = now + entry.retry;
}

void askForRenewals(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                    ask_sheet &sheet, time_point now)
{
    if (now < entry.nextRenewal)
        return;
    const share_count need = neededShares(entry, now);
    share_count kept = entry.book.usable;
    for (const auto &[id, loan] : entry.book.in) {
        if (loan.shares == 0 || loan.endsAt - now > desk.settings.renewLead)
            continue;
        if (kept - loan.shares >= need && entry.waiting == 0) {
            kept -= loan.shares;
            continue;
        }
        sheet[id.lender].try_emplace(resource, 0);
        entry.nextRenewal = now + desk.settings.renewRetry;
    }
}

/// Returns the loans that the need leaves over, the smallest first.
void returnSurplus(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                   double keptNeed, std::map<incarnation_id, loan_returns> &returns, time_point now)
{
    std::vector<std::pair<share_count, loan_id>> loans;
    for (const auto &[id, loan] : entry.book.in)
        if (loan.shares > 0)
            loans.emplace_back(loan.shares, id);
    std::sort(loans.begin(), loans.end());
    for (const auto &[shares, id] : loans) {
        if (static_cast<double>(entry.book.usable - shares) < keptNeed)
            break;
        if (auto back = returnLoan(entry.book, resource, id, desk.settings.times.length, now))
            returns[id.lender].loans.push_back(std::move(*back));
    }
}

void returnUnused(const loan_desk &desk, const resource_id &resource, limit_entry &entry,
                  std::map<incarnation_id, loan_returns> &returns, time_point now)
{
    share_count smallest = 0;
    for (const auto &[id, loan] : entry.book.in)
        if (loan.shares > 0 && (smallest == 0 || loan.shares < smallest))
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

std::vector<loan_message> sendRequests(loan_desk &desk, const ask_sheet &sheet, time_point now)
{
    std::vector<loan_message> messages;
    for (const auto &entry : sheet) {
        loan_request request{ desk.self.incarnation, 0, now.time_since_epoch().count(), {} };
        std::int64_t answerBytes = envelopeBytes;
        const auto flush = [&] {
            if (request.asks.empty())
                return;
            request.number = desk.nextRequest++;
            loan_message message{ entry.first, request };
            if (isPaid(desk, sizeOf(message), now))
                messages.push_back(std::move(message));
            request.asks.clear();
            answerBytes = envelopeBytes;
        };
        for (const auto &[resource, shares] : entry.second) {
            request.asks.push_back({ resource, shares });
            answerBytes += termsBytes + static_cast<std::int64_t>(resource.name.size());
            if (answerBytes > answerBytesBound)
                flush();
        }
        flush();
    }
    return messages;
}

void appendReturns(std::vector<loan_message> &messages,
                   std::map<incarnation_id, loan_returns> &&returns)
{
    for (auto &[lender, body] : returns)
        messages.push_back({ lender, std::move(body) });
}

} // namespace

loan_desk makeDesk(const peer_ref &self, const loan_settings &settings, time_point now)
{
    loan_desk desk;
    desk.self = self;
    desk.settings = settings;
    desk.nextScan = now;
    reshape(desk.budget, settings.bytesPerSecond * oneToken, settings.byteBurst * oneToken, now);
    put(desk.budget, settings.byteBurst * oneToken, now);
    return desk;
}

limit_entry &openLimit(loan_desk &desk, const resource_id &resource, std::int64_t rate,
                       token_amount burst, share_count total, time_point now)
{
    limit_entry &entry = desk.limits[resource];
    core::setLimit(entry.book, rate, burst, total, now);
    return entry;
}

void closeLimit(loan_desk &desk, const resource_id &resource)
{
    desk.active.erase(resource);
    desk.urgent.erase(resource);
    desk.limits.erase(resource);
}

void setCandidates(loan_desk &desk, const resource_id &resource,
                   const std::vector<incarnation_id> &holders, const std::vector<peer_ref> &live,
                   random_engine &random)
{
    const auto entry = desk.limits.find(resource);
    if (entry == desk.limits.end())
        return;
    std::map<incarnation_id, zone_name> zones;
    for (const peer_ref &peer : live)
        zones.emplace(peer.incarnation, peer.zone);
    struct ranked
    {
        bool isFar = false;
        std::uint64_t order = 0; ///< random, so that the daemons do not all ask the same peer
        incarnation_id incarnation = 0;
    };
    std::vector<ranked> all;
    for (const incarnation_id each : holders)
        if (each != desk.self.incarnation)
            all.push_back({ zones[each] != desk.self.zone, random(), each });
    std::sort(all.begin(), all.end(), [](const ranked &left, const ranked &right) {
        return left.isFar == right.isFar ? left.order < right.order : right.isFar;
    });
    all.resize(std::min(all.size(), desk.settings.candidates));
    auto &candidates = entry->second.candidates;
    candidates.clear();
    for (const ranked &each : all)
        candidates.push_back(each.incarnation);
    entry->second.nextCandidate = 0;
}

void setHomeUntil(loan_desk &desk, time_point until, time_point now)
{
    for (auto &[resource, entry] : desk.limits)
        setHomeUntil(entry.book, until, now);
}

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
    ++entry.waiting;
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

void setConnections(loan_desk &desk, const resource_id &group, std::uint32_t inUse,
                    std::uint32_t waiting)
{
    const auto entry = desk.limits.find(group);
    if (entry == desk.limits.end())
        return;
    if (waiting > entry->second.waiting)
        desk.urgent.insert(group);
    entry->second.inUse = inUse;
    entry->second.waiting = waiting;
    desk.active.insert(group);
}

share_count neededShares(const limit_entry &entry, time_point now)
{
    if (entry.book.rate == 0)
        return std::min<share_count>(static_cast<share_count>(entry.inUse) + entry.waiting,
                                     entry.book.total);
    const demand_estimate demand = decayed(entry.demand, now);
    return sharesForRate(entry.book, std::max(slowHeadroom * demand.slow, fastPart * demand.fast));
}

std::vector<loan_message> poll(loan_desk &desk, time_point now)
{
    ask_sheet sheet;
    std::map<incarnation_id, loan_returns> returns;
    const auto visit = [&](const resource_id &resource, limit_entry &entry) {
        advance(entry.book, now);
        if (!desk.areLoansOn)
            return;
        askForMore(desk, resource, entry, sheet, now);
        askForRenewals(desk, resource, entry, sheet, now);
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
    appendReturns(messages, std::move(returns));
    return messages;
}

time_point nextPollAt(const loan_desk &desk)
{
    time_point next = desk.nextScan;
    for (const resource_id &each : desk.urgent)
        next = std::min(next, desk.limits.at(each).nextAsk);
    return next;
}

std::vector<loan_message> onLoanRequest(loan_desk &desk, const loan_request &request,
                                        time_point now)
{
    std::uint64_t &last = desk.lastRequests[request.borrower];
    if (request.number <= last || request.borrower == desk.self.incarnation)
        return {};
    last = request.number;
    loan_grant grant{ request.borrower, request.sentAt, {} };
    std::map<incarnation_id, loan_returns> returns;
    for (const loan_ask &ask : request.asks) {
        const auto found = desk.limits.find(ask.resource);
        if (found == desk.limits.end())
            continue;
        limit_entry &entry = found->second;
        const share_count lendable = lendableShares(entry.book, now);
        const share_count need = currentNeed(entry, now);
        if (entry.waiting == 0)
            returnSurplus(desk, ask.resource, entry, static_cast<double>(need), returns, now);
        const bool isShort = entry.book.rate > 0 && (entry.waiting > 0 || need > entry.book.usable);
        if (!desk.areLoansOn || isShort)
            continue;
        const share_count spare = std::clamp<share_count>(entry.book.usable - need, 0, lendable);
        // A burst too small to be halved again moves as one whole token.
        const share_count least = entry.book.rate == 0 ? 1 : sharesForTokens(entry.book, oneToken);
        const share_count given = std::min(ask.shares, std::max(spare / 2, std::min(spare, least)));
        const token_amount level = entry.book.bucket.level;
        const token_amount tokens =
                entry.book.usable == 0
                        ? 0
                        : std::max(level / 2, partOf(level, given, entry.book.usable));
        if (auto terms = grantLoan(entry.book, ask.resource, desk.self.incarnation,
                                   request.borrower, given, tokens, desk.settings.times, now))
            grant.loans.push_back(std::move(*terms));
    }
    std::vector<loan_message> messages;
    appendReturns(messages, std::move(returns));
    if (!grant.loans.empty())
        messages.push_back({ request.borrower, std::move(grant) });
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
        if (entry->second.book.usable > before) {
            entry->second.retry = duration::zero();
            changed.push_back(terms.resource);
        }
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

std::int64_t sizeOf(const loan_message &message)
{
    std::int64_t bytes = envelopeBytes;
    const auto count = [&bytes](const auto &entries, std::int64_t each) {
        for (const auto &entry : entries)
            bytes += each + static_cast<std::int64_t>(entry.resource.name.size());
    };
    if (const auto *request = std::get_if<loan_request>(&message.body))
        count(request->asks, askBytes);
    else if (const auto *grant = std::get_if<loan_grant>(&message.body))
        count(grant->loans, termsBytes);
    else if (const auto *returns = std::get_if<loan_returns>(&message.body))
        count(returns->loans, returnBytes);
    return bytes;
}

} // namespace fuchsiagw::core
