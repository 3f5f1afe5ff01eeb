/// @file
/// @brief Token buckets of the workspaces and transfers of parts and tokens between daemons.

#include <fuchsiagw/proxy/quota.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace fuchsiagw::proxy {

namespace {

using core::oneToken;
using core::token_amount;
using std::chrono::milliseconds;

/// The expected demand over this time is requested, and is not lent to other zones.
constexpr double reserveSeconds = 0.25;
constexpr milliseconds minRequestInterval{ 40 };
constexpr milliseconds demandInterval{ 250 };
constexpr double demandSmoothing = 0.4; // weight of the newest interval in the moving average
/// Fractions of a token are lent between zones, because with a small limit each zone holds little
/// more than one token.
constexpr token_amount minLoan = oneToken / 10;
constexpr std::size_t maxHomesPerZone = 3;
/// Bound of the overflow tokens of a daemon, in addition to its expected demand.
constexpr double overflowBaseOperations = 3;
/// All daemons together may hold the rate times two of these intervals in excess of the burst. This
/// must stay below a tenth of what the limit allows in 5 s, the shortest window in which limits are
/// checked.
constexpr milliseconds returnInterval{ 200 };
/// Tokens count as scarce for this long after a request that could not be served.
constexpr milliseconds scarceDuration{ 300 };
constexpr std::size_t maxWaitingOperations = 65'536; // of one workspace

token_amount toTokenAmount(double operations)
{
    return static_cast<token_amount>(std::llround(operations * oneToken));
}

token_amount reserveOf(const workspace_quota &quota)
{
    return toTokenAmount(quota.demandPerSecond * reserveSeconds);
}

/// @return the mean capacity of the nodes that have one, used for the others; 1 if none has
double meanCapacity(const std::vector<quota_node> &nodes)
{
    double sum = 0;
    std::size_t count = 0;
    for (const quota_node &each : nodes) {
        sum += each.capacity;
        count += each.capacity > 0 ? 1 : 0;
    }
    return count == 0 ? 1 : sum / static_cast<double>(count);
}

/// @return the daemons of a zone that are preferred as the workspace's home, best first
std::vector<std::string> rankHomes(const std::string &workspace,
                                   const std::vector<quota_node> &nodes, const std::string &zone)
{
    std::vector<std::pair<double, std::string>> scored;
    const double unknown = meanCapacity(nodes);
    for (const quota_node &each : nodes) {
        if (each.zone != zone)
            continue;
        const double weight = each.capacity > 0 ? each.capacity : unknown;
        scored.emplace_back(
                core::weightedScore(core::stableHash(each.node + "/" + workspace), weight),
                each.node);
    }
    const std::size_t kept = std::min(maxHomesPerZone, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), std::greater<>());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < kept; ++i)
        result.push_back(scored[i].second);
    return result;
}

/// @return the sum of the parts that this daemon may use at @p when
limit_part heldPartAt(const workspace_quota &quota, core::time_point when)
{
    const bool ownCounts = quota.ownPartUsableFrom <= when && quota.lentUntil <= when;
    limit_part sum = ownCounts ? quota.ownPart : 0;
    for (const auto &[lender, each] : quota.borrowed)
        sum += each.until > when ? each.part : 0;
    return std::min(sum, wholeLimit);
}

core::time_point nextPartChangeAfter(const workspace_quota &quota, core::time_point when)
{
    core::time_point next = core::noDeadline;
    const auto consider = [&](core::time_point each) {
        if (each > when)
            next = std::min(next, each);
    };
    consider(quota.ownPartUsableFrom);
    consider(quota.lentUntil);
    for (const auto &[lender, each] : quota.borrowed)
        consider(each.until);
    return next;
}

/// @brief Sets the rate and the capacity of the bucket to the parts held at @p when.
void updateBucket(workspace_quota &quota, core::time_point when)
{
    quota.heldPart = heldPartAt(quota, when);
    quota.heldPartChangesAt = nextPartChangeAfter(quota, when);
    std::erase_if(quota.borrowed, [&](const auto &each) { return each.second.until <= when; });
    const double share = static_cast<double>(quota.heldPart) / wholeLimit;
    token_amount capacity = toTokenAmount(quota.burst * share);
    // With a small burst, the home of a zone still needs room for one operation.
    if (quota.isFirstHome && quota.heldPart > 0)
        capacity = std::max(oneToken, capacity);
    core::reconfigure(quota.bucket, toTokenAmount(quota.ratePerSecond * share), capacity, when);
}

token_amount overflowCapacity(const workspace_quota &quota)
{
    return toTokenAmount(overflowBaseOperations + quota.demandPerSecond);
}

token_amount availableTokens(const workspace_quota &quota)
{
    return quota.bucket.level + quota.overflowTokens;
}

/// @brief Takes overflow tokens first, because they expire.
token_amount takeTokens(workspace_quota &quota, token_amount amount, core::time_point now)
{
    const token_amount expiring = std::clamp<token_amount>(amount, 0, quota.overflowTokens);
    quota.overflowTokens -= expiring;
    quota.minOverflowTokens = std::min(quota.minOverflowTokens, quota.overflowTokens);
    return expiring + takeUpTo(quota.bucket, amount - expiring, now);
}

} // namespace

void applyLimits(quota_table &table, const manifest &from, const std::vector<quota_node> &nodes,
                 const quota_node &self, limit_part ownPart, core::time_point ownPartUsableFrom,
                 core::time_point now)
{
    std::set<std::string> zones;
    for (const quota_node &each : nodes)
        zones.insert(each.zone);
    int lowestPriority = 0;
    for (const auto &[database, each] : from.routes)
        lowestPriority = std::max(lowestPriority, each.priority);
    std::map<std::string, workspace_quota, std::less<>> next;
    for (const workspace_entry &each : from.workspaces) {
        workspace_quota quota;
        quota.waitingOperations.capacity = maxWaitingOperations;
        quota.ownPartUsableFrom = ownPartUsableFrom;
        const auto known = table.workspaces.find(each.name);
        if (known != table.workspaces.end())
            quota = known->second;
        advanceQuota(quota, now);
        quota.limited = each.ratePerSecond.has_value();
        quota.lowestPriority = lowestPriority;
        quota.ratePerSecond = each.ratePerSecond.value_or(0);
        quota.burst = each.burst;
        quota.ownPart = ownPart;
        quota.homes = rankHomes(each.name, nodes, self.zone);
        quota.isFirstHome = quota.homes.front() == self.node;
        quota.otherHomes.clear();
        for (const std::string &zone : zones) {
            if (zone != self.zone)
                quota.otherHomes.push_back(rankHomes(each.name, nodes, zone).front());
        }
        updateBucket(quota, now);
        next.emplace(each.name, std::move(quota));
    }
    table.workspaces = std::move(next);
}

workspace_quota *findLimitedQuota(quota_table &table, const std::string &workspace)
{
    const auto found = table.workspaces.find(workspace);
    if (found == table.workspaces.end() || !found->second.limited)
        return nullptr;
    return &found->second;
}

void advanceQuota(workspace_quota &quota, core::time_point now)
{
    while (quota.heldPartChangesAt <= now)
        updateBucket(quota, quota.heldPartChangesAt);
    refill(quota.bucket, now);
    if (quota.overflowExpiresAt <= now) {
        quota.overflowTokens = 0;
        quota.minOverflowTokens = 0;
    }
}

std::optional<part_grant> lendPart(workspace_quota &quota, const std::string &home,
                                   core::time_point now)
{
    advanceQuota(quota, now);
    const bool lentToOther = quota.lentUntil > now && quota.lentTo != home;
    if (lentToOther || !quota.borrowed.empty() || quota.ownPartUsableFrom > now
        || quota.ownPart == 0)
        return std::nullopt;
    part_grant grant;
    grant.part = quota.ownPart;
    grant.tokens = takeUpTo(quota.bucket, quota.bucket.level, now);
    quota.lentTo = home;
    quota.lentUntil = now + partLeaseDuration + partLeaseMargin;
    updateBucket(quota, now);
    return grant;
}

void borrowPart(workspace_quota &quota, const std::string &lender, const part_grant &grant,
                core::time_point requestedAt, core::time_point now)
{
    advanceQuota(quota, now);
    const core::time_point until = requestedAt + partLeaseDuration;
    if (until <= now || requestedAt > now)
        return;
    borrowed_part &part = quota.borrowed[lender];
    if (until <= part.until)
        return;
    part = { std::clamp<limit_part>(grant.part, 0, wholeLimit), until };
    updateBucket(quota, now);
    addTokens(quota, grant.tokens, now);
}

void endBorrowedPart(workspace_quota &quota, const std::string &lender, core::time_point now)
{
    advanceQuota(quota, now);
    if (quota.borrowed.erase(lender) > 0)
        updateBucket(quota, now);
}

void enableOwnPart(workspace_quota &quota, core::time_point now)
{
    advanceQuota(quota, now);
    quota.ownPartUsableFrom = std::min(quota.ownPartUsableFrom, now);
    updateBucket(quota, now);
}

void countDemand(workspace_quota &quota, double operations, core::time_point now)
{
    quota.operationsInInterval += operations;
    const core::duration elapsed = now - quota.demandIntervalStart;
    if (elapsed < demandInterval)
        return;
    const double rate = quota.operationsInInterval / std::chrono::duration<double>(elapsed).count();
    quota.demandPerSecond += demandSmoothing * (rate - quota.demandPerSecond);
    quota.operationsInInterval = 0;
    quota.demandIntervalStart = now;
}

bool admit(workspace_quota &quota, core::time_point now)
{
    advanceQuota(quota, now);
    if (availableTokens(quota) < oneToken)
        return false;
    takeTokens(quota, oneToken, now);
    return true;
}

void refundToken(quota_table &table, const std::string &workspace, core::time_point now)
{
    if (workspace_quota *quota = findLimitedQuota(table, workspace))
        addTokensWithOverflow(*quota, oneToken, now);
}

core::time_point nextTokenAt(const workspace_quota &quota)
{
    return availableAt(quota.bucket, std::max<token_amount>(0, oneToken - quota.overflowTokens));
}

int bestWaitingPriority(const workspace_quota &quota)
{
    int best = noPriority;
    for (const auto &[workspace, flow] : quota.waitingOperations.flows) {
        if (!flow.lengthByPriority.empty())
            best = std::min(best, flow.lengthByPriority.begin()->first);
    }
    if (!quota.waitingLoanRequests.empty())
        best = std::min(best, quota.waitingLoanRequests.front().priority);
    return best;
}

bool isScarce(const workspace_quota &quota, core::time_point now)
{
    return now < quota.scarceUntil;
}

void recordGrant(workspace_quota &quota, int priority, core::time_point now)
{
    if (priority < quota.lowestGranted && now < quota.lowestGrantedAt + scarceDuration)
        return;
    quota.lowestGranted = priority;
    quota.lowestGrantedAt = now;
}

int refusedPriority(const workspace_quota &quota, int priority, core::time_point now)
{
    const bool reachesLower =
            quota.lowestGranted > priority && now < quota.lowestGrantedAt + scarceDuration;
    return reachesLower ? priority + 1 : priority;
}

void recordScarcity(workspace_quota &quota, core::time_point now)
{
    quota.scarceUntil = now + scarceDuration;
}

void addLoanRequest(workspace_quota &quota, waiting_loan_request request)
{
    auto &waiting = quota.waitingLoanRequests;
    const auto place = std::find_if(waiting.begin(), waiting.end(), [&](const auto &each) {
        return each.priority > request.priority;
    });
    waiting.insert(place, std::move(request));
}

std::deque<waiting_loan_request>::iterator nextLoanRequest(workspace_quota &quota)
{
    auto &waiting = quota.waitingLoanRequests;
    const auto oldest = std::min_element(
            waiting.begin(), waiting.end(),
            [](const auto &left, const auto &right) { return left.deadline < right.deadline; });
    const bool isOldestDue = quota.loansPassedOver + 1 >= core::grantsPerPriority;
    return isOldestDue ? oldest : waiting.begin();
}

namespace {

/// @return the number of operations and daemons that wait at a priority or a higher one
token_amount countWaiting(const workspace_quota &quota, int priority)
{
    std::size_t count = 0;
    for (const auto &[workspace, flow] : quota.waitingOperations.flows) {
        for (const auto &[each, length] : flow.lengthByPriority)
            count += each <= priority ? length : 0;
    }
    for (const waiting_loan_request &each : quota.waitingLoanRequests)
        count += each.priority <= priority ? 1 : 0;
    return static_cast<token_amount>(count);
}

} // namespace

std::optional<token_amount> tokensToRequest(workspace_quota &quota, int priority,
                                            core::time_point now)
{
    const token_amount uncovered = countWaiting(quota, priority) * oneToken;
    // Each operation of a higher priority may ask at once while tokens are scarce: it would wait in
    // vain for a request that covered only those before it.
    const bool isUncovered = isScarce(quota, now) && priority < quota.lowestPriority
                             && uncovered > quota.requestedFor;
    if (now < quota.nextRequestAt && priority >= quota.requestedPriority && !isUncovered)
        return std::nullopt;
    advanceQuota(quota, now);
    const token_amount reserve = reserveOf(quota);
    const token_amount level = availableTokens(quota);
    if (level >= std::max(reserve, oneToken))
        return std::nullopt;
    quota.nextRequestAt = now + minRequestInterval;
    quota.requestedPriority = priority;
    quota.requestedFor = uncovered;
    if (isScarce(quota, now) && priority != noPriority)
        return std::max({ minLoan, uncovered - level, oneToken - level });
    const token_amount waiting = countWaiting(quota, noPriority);
    const token_amount room = std::max(quota.bucket.capacity, overflowCapacity(quota));
    const token_amount requested = std::min(std::max(2 * reserve, oneToken), room);
    return std::max(minLoan, std::max({ requested, oneToken, waiting * oneToken }) - level);
}

token_amount takeForZonePeer(workspace_quota &quota, token_amount amount, core::time_point now)
{
    advanceQuota(quota, now);
    const token_amount level = availableTokens(quota);
    // At most half of the tokens, but at least one, so that the next request can be served as well.
    const token_amount half = std::max(level / 2, oneToken);
    const token_amount given = std::min({ amount, half, level });
    if (given < std::min(amount, oneToken))
        return 0;
    return takeTokens(quota, given, now);
}

token_amount takeForOtherZone(workspace_quota &quota, token_amount amount, core::time_point now)
{
    advanceQuota(quota, now);
    if (quota.waitingOperations.length > 0 || !quota.waitingLoanRequests.empty())
        return 0;
    const token_amount reserve = reserveOf(quota) / oneToken * oneToken;
    const token_amount spare = quota.bucket.level - reserve;
    const token_amount given = std::min(amount, spare > 2 * oneToken ? spare / 2 : spare);
    if (given < minLoan)
        return 0;
    return takeUpTo(quota.bucket, given, now);
}

token_amount takeUnusedTokens(workspace_quota &quota, core::time_point now)
{
    if (now < quota.nextReturnAt)
        return 0;
    advanceQuota(quota, now);
    quota.nextReturnAt = now + returnInterval;
    quota.overflowExpiresAt = now + 2 * returnInterval;
    const token_amount unused = std::min(quota.minOverflowTokens, quota.overflowTokens);
    quota.overflowTokens -= unused;
    quota.minOverflowTokens = quota.overflowTokens;
    return unused;
}

token_amount addTokens(workspace_quota &quota, token_amount amount, core::time_point now)
{
    advanceQuota(quota, now);
    const token_amount given = std::max<token_amount>(0, amount);
    const token_amount room = quota.bucket.capacity - quota.bucket.level;
    deposit(quota.bucket, std::min(given, room), now);
    return std::max<token_amount>(0, given - room);
}

token_amount addTokensWithOverflow(workspace_quota &quota, token_amount amount,
                                   core::time_point now)
{
    const token_amount excess = addTokens(quota, amount, now);
    const token_amount room =
            std::max<token_amount>(0, overflowCapacity(quota) - quota.overflowTokens);
    if (quota.overflowTokens == 0) {
        quota.minOverflowTokens = 0;
        quota.overflowExpiresAt = now + 2 * returnInterval;
    }
    quota.overflowTokens += std::min(excess, room);
    return std::max<token_amount>(0, excess - room);
}

} // namespace fuchsiagw::proxy
