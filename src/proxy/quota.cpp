/// @file
/// @brief Token buckets of the workspaces, and the parts and tokens that move between daemons.

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

/// The expected need over this time is kept back from loans and asked for.
constexpr double reserveSeconds = 0.25;
constexpr milliseconds requestSpacing{ 40 };
constexpr milliseconds demandInterval{ 250 };
constexpr double demandSmoothing = 0.4; // weight of the newest interval
/// Parts of a token are lent between zones: with a small limit each zone holds little more than
/// one.
constexpr token_amount leastLoan = oneToken / 10;
constexpr std::size_t keptHomes = 3; // of one zone
/// Tokens that a daemon holds beside its bucket, beyond its expected need.
constexpr double handedOperations = 3;
/// Two of these intervals times the rate is what daemons together may hold beyond the burst; it has
/// to stay below a tenth of what the shortest window in which limits are counted (5 s) allows.
constexpr milliseconds returnInterval{ 200 };

token_amount amountOf(double operations)
{
    return static_cast<token_amount>(std::llround(operations * oneToken));
}

token_amount reserveOf(const workspace_quota &quota)
{
    return amountOf(quota.demandPerSecond * reserveSeconds);
}

/// The daemons of a zone in the order in which they are the workspace's home.
std::vector<std::string> rank(const std::string &workspace, const std::vector<quota_node> &nodes,
                              const std::string &zone)
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    for (const quota_node &each : nodes) {
        if (each.zone == zone)
            scored.emplace_back(core::stableHash(each.node + "/" + workspace), each.node);
    }
    const std::size_t kept = std::min(keptHomes, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), std::greater<>());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < kept; ++i)
        result.push_back(scored[i].second);
    return result;
}

/// The parts that this daemon may use at a moment.
limit_part heldAt(const workspace_quota &quota, core::time_point when)
{
    const bool ownCounts = quota.ownPartUsableFrom <= when && quota.lentUntil <= when;
    limit_part sum = ownCounts ? quota.ownPart : 0;
    for (const auto &[lender, each] : quota.borrowed)
        sum += each.until > when ? each.part : 0;
    return std::min(sum, wholeLimit);
}

core::time_point nextChangeAfter(const workspace_quota &quota, core::time_point when)
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

/// Gives the bucket the rate and the burst of the parts that are held at a moment.
void shapeBucket(workspace_quota &quota, core::time_point when)
{
    quota.held = heldAt(quota, when);
    quota.nextChange = nextChangeAfter(quota, when);
    std::erase_if(quota.borrowed, [&](const auto &each) { return each.second.until <= when; });
    const double share = static_cast<double>(quota.held) / wholeLimit;
    token_amount capacity = amountOf(quota.burst * share);
    // With a small burst the home of a zone still has room for one operation.
    if (quota.isFirstHome && quota.held > 0)
        capacity = std::max(oneToken, capacity);
    core::reshape(quota.bucket, amountOf(quota.ratePerSecond * share), capacity, when);
}

token_amount handedCapacity(const workspace_quota &quota)
{
    return amountOf(handedOperations + quota.demandPerSecond);
}

token_amount levelOf(const workspace_quota &quota)
{
    return quota.bucket.level + quota.handed;
}

/// Takes tokens that expire before those that stay.
token_amount takeTokens(workspace_quota &quota, token_amount amount, core::time_point now)
{
    const token_amount soon = std::clamp<token_amount>(amount, 0, quota.handed);
    quota.handed -= soon;
    quota.leastHanded = std::min(quota.leastHanded, quota.handed);
    return soon + takeUpTo(quota.bucket, amount - soon, now);
}

} // namespace

void reshape(quota_table &table, const manifest &from, const std::vector<quota_node> &nodes,
             const quota_node &self, limit_part ownPart, core::time_point ownPartUsableFrom,
             core::time_point now)
{
    std::set<std::string> zones;
    for (const quota_node &each : nodes)
        zones.insert(each.zone);
    std::map<std::string, workspace_quota, std::less<>> next;
    for (const workspace_entry &each : from.workspaces) {
        workspace_quota quota;
        quota.ownPartUsableFrom = ownPartUsableFrom;
        const auto known = table.workspaces.find(each.name);
        if (known != table.workspaces.end())
            quota = known->second;
        settle(quota, now);
        quota.limited = each.ratePerSecond.has_value();
        quota.ratePerSecond = each.ratePerSecond.value_or(0);
        quota.burst = each.burst;
        quota.ownPart = ownPart;
        quota.homes = rank(each.name, nodes, self.zone);
        quota.isFirstHome = quota.homes.front() == self.node;
        quota.otherHomes.clear();
        for (const std::string &zone : zones) {
            if (zone != self.zone)
                quota.otherHomes.push_back(rank(each.name, nodes, zone).front());
        }
        shapeBucket(quota, now);
        next.emplace(each.name, std::move(quota));
    }
    table.workspaces = std::move(next);
}

workspace_quota *limitedQuota(quota_table &table, const std::string &workspace)
{
    const auto found = table.workspaces.find(workspace);
    if (found == table.workspaces.end() || !found->second.limited)
        return nullptr;
    return &found->second;
}

void settle(workspace_quota &quota, core::time_point now)
{
    while (quota.nextChange <= now)
        shapeBucket(quota, quota.nextChange);
    refill(quota.bucket, now);
    if (quota.handedUntil <= now) {
        quota.handed = 0;
        quota.leastHanded = 0;
    }
}

std::optional<part_grant> lendPart(workspace_quota &quota, const std::string &home,
                                   core::time_point now)
{
    settle(quota, now);
    const bool lentToOther = quota.lentUntil > now && quota.lentTo != home;
    if (lentToOther || !quota.borrowed.empty() || quota.ownPartUsableFrom > now
        || quota.ownPart == 0)
        return std::nullopt;
    part_grant grant;
    grant.part = quota.ownPart;
    grant.tokens = takeUpTo(quota.bucket, quota.bucket.level, now);
    quota.lentTo = home;
    quota.lentUntil = now + partLeaseDuration + partLeaseMargin;
    shapeBucket(quota, now);
    return grant;
}

void takePart(workspace_quota &quota, const std::string &lender, const part_grant &grant,
              core::time_point askedAt, core::time_point now)
{
    settle(quota, now);
    const core::time_point until = askedAt + partLeaseDuration;
    if (until <= now || askedAt > now)
        return;
    borrowed_part &part = quota.borrowed[lender];
    if (until <= part.until)
        return;
    part = { std::clamp<limit_part>(grant.part, 0, wholeLimit), until };
    shapeBucket(quota, now);
    receive(quota, grant.tokens, now);
}

void dropPart(workspace_quota &quota, const std::string &lender, core::time_point now)
{
    settle(quota, now);
    if (quota.borrowed.erase(lender) > 0)
        shapeBucket(quota, now);
}

void releaseOwnPart(workspace_quota &quota, core::time_point now)
{
    settle(quota, now);
    quota.ownPartUsableFrom = std::min(quota.ownPartUsableFrom, now);
    shapeBucket(quota, now);
}

void countDemand(workspace_quota &quota, double operations, core::time_point now)
{
    quota.demandCount += operations;
    const core::duration lapse = now - quota.demandSince;
    if (lapse < demandInterval)
        return;
    const double rate = quota.demandCount / std::chrono::duration<double>(lapse).count();
    quota.demandPerSecond += demandSmoothing * (rate - quota.demandPerSecond);
    quota.demandCount = 0;
    quota.demandSince = now;
}

bool admit(workspace_quota &quota, core::time_point now)
{
    settle(quota, now);
    if (levelOf(quota) < oneToken)
        return false;
    takeTokens(quota, oneToken, now);
    return true;
}

void giveBack(quota_table &table, const std::string &workspace, core::time_point now)
{
    if (workspace_quota *quota = limitedQuota(table, workspace))
        receiveHanded(*quota, oneToken, now);
}

core::time_point nextTokenAt(const workspace_quota &quota)
{
    return availableAt(quota.bucket, std::max<token_amount>(0, oneToken - quota.handed));
}

std::optional<token_amount> wanted(workspace_quota &quota, core::time_point now)
{
    if (now < quota.nextRequest)
        return std::nullopt;
    settle(quota, now);
    const token_amount reserve = reserveOf(quota);
    const token_amount level = levelOf(quota);
    if (level >= std::max(reserve, oneToken))
        return std::nullopt;
    quota.nextRequest = now + requestSpacing;
    const auto waiting = static_cast<token_amount>(quota.waiters.size() + quota.loans.size());
    const token_amount room = std::max(quota.bucket.capacity, handedCapacity(quota));
    const token_amount asked = std::min(std::max(2 * reserve, oneToken), room);
    return std::max(leastLoan, std::max({ asked, oneToken, waiting * oneToken }) - level);
}

token_amount hand(workspace_quota &quota, token_amount amount, core::time_point now)
{
    settle(quota, now);
    const token_amount level = levelOf(quota);
    // Half of what is there, so that the next one who asks finds something too; but a whole token.
    const token_amount half = std::max(level / 2, oneToken);
    const token_amount given = std::min({ amount, half, level });
    if (given < std::min(amount, oneToken))
        return 0;
    return takeTokens(quota, given, now);
}

token_amount lend(workspace_quota &quota, token_amount amount, core::time_point now)
{
    settle(quota, now);
    if (!quota.waiters.empty() || !quota.loans.empty())
        return 0;
    const token_amount reserve = reserveOf(quota) / oneToken * oneToken;
    const token_amount spare = quota.bucket.level - reserve;
    const token_amount given = std::min(amount, spare > 2 * oneToken ? spare / 2 : spare);
    if (given < leastLoan)
        return 0;
    return takeUpTo(quota.bucket, given, now);
}

token_amount takeUnused(workspace_quota &quota, core::time_point now)
{
    if (now < quota.nextReturn)
        return 0;
    settle(quota, now);
    quota.nextReturn = now + returnInterval;
    quota.handedUntil = now + 2 * returnInterval;
    const token_amount unused = std::min(quota.leastHanded, quota.handed);
    quota.handed -= unused;
    quota.leastHanded = quota.handed;
    return unused;
}

token_amount receive(workspace_quota &quota, token_amount amount, core::time_point now)
{
    settle(quota, now);
    const token_amount given = std::max<token_amount>(0, amount);
    const token_amount room = quota.bucket.capacity - quota.bucket.level;
    put(quota.bucket, std::min(given, room), now);
    return std::max<token_amount>(0, given - room);
}

token_amount receiveHanded(workspace_quota &quota, token_amount amount, core::time_point now)
{
    const token_amount left = receive(quota, amount, now);
    const token_amount room = std::max<token_amount>(0, handedCapacity(quota) - quota.handed);
    if (quota.handed == 0) {
        quota.leastHanded = 0;
        quota.handedUntil = now + 2 * returnInterval;
    }
    quota.handed += std::min(left, room);
    return std::max<token_amount>(0, left - room);
}

} // namespace fuchsiagw::proxy
