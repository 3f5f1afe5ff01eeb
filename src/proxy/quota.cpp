/// @file
/// @brief Token buckets of the workspaces and the tokens that move between daemons.

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
/// Tokens that a daemon holds which is not the home, beyond its expected need.
constexpr double stashOperations = 3;
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

void shapeBucket(workspace_quota &quota, core::time_point now)
{
    const double rate = quota.fills ? quota.ratePerSecond * quota.zoneShare : 0;
    double capacity = quota.burst * quota.zoneShare;
    if (!quota.fills)
        capacity = stashOperations + quota.demandPerSecond;
    // Without a burst there is still room for one operation.
    core::reshape(quota.bucket, amountOf(rate), std::max(oneToken, amountOf(capacity)), now);
}

void noteLevel(workspace_quota &quota)
{
    quota.leastLevel = std::min(quota.leastLevel, quota.bucket.level);
}

} // namespace

void reshape(quota_table &table, const manifest &from, const std::vector<quota_node> &nodes,
             const quota_node &self, bool mayFill, core::time_point now)
{
    std::set<std::string> zones;
    std::size_t near = 0;
    for (const quota_node &each : nodes) {
        zones.insert(each.zone);
        near += each.zone == self.zone ? 1 : 0;
    }
    const double share = nodes.empty() ? 1 : static_cast<double>(near) / nodes.size();
    std::map<std::string, workspace_quota, std::less<>> next;
    for (const workspace_entry &each : from.workspaces) {
        workspace_quota quota;
        const auto known = table.workspaces.find(each.name);
        if (known != table.workspaces.end())
            quota = known->second;
        quota.limited = each.ratePerSecond.has_value();
        quota.ratePerSecond = each.ratePerSecond.value_or(0);
        quota.burst = each.burst;
        quota.zoneShare = share;
        quota.homes = rank(each.name, nodes, self.zone);
        quota.otherHomes.clear();
        for (const std::string &zone : zones) {
            if (zone != self.zone)
                quota.otherHomes.push_back(rank(each.name, nodes, zone).front());
        }
        quota.fills = mayFill && (quota.homes.front() == self.node || now < quota.homeUntil);
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

void actAsHome(workspace_quota &quota, bool fills, core::time_point now)
{
    if (quota.fills == fills)
        return;
    quota.fills = fills;
    shapeBucket(quota, now);
    quota.leastLevel = quota.bucket.level;
    quota.nextReturn = now + returnInterval;
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
    if (!quota.fills)
        shapeBucket(quota, now);
}

bool admit(workspace_quota &quota, core::time_point now)
{
    const bool taken = take(quota.bucket, oneToken, now);
    noteLevel(quota);
    return taken;
}

void giveBack(quota_table &table, const std::string &workspace, core::time_point now)
{
    if (workspace_quota *quota = limitedQuota(table, workspace))
        put(quota->bucket, oneToken, now);
}

core::time_point nextTokenAt(const workspace_quota &quota)
{
    return availableAt(quota.bucket, oneToken);
}

std::optional<token_amount> wanted(workspace_quota &quota, core::time_point now)
{
    if (now < quota.nextRequest)
        return std::nullopt;
    refill(quota.bucket, now);
    const token_amount reserve = reserveOf(quota);
    if (quota.bucket.level >= std::max(reserve, oneToken))
        return std::nullopt;
    quota.nextRequest = now + requestSpacing;
    const auto waiting = static_cast<token_amount>(quota.waiters.size() + quota.loans.size());
    const token_amount asked = std::min(std::max(2 * reserve, oneToken), quota.bucket.capacity);
    return std::max(leastLoan,
                    std::max({ asked, oneToken, waiting * oneToken }) - quota.bucket.level);
}

token_amount hand(workspace_quota &quota, token_amount amount, core::time_point now)
{
    refill(quota.bucket, now);
    // Half of what is there, so that the next one who asks finds something too; but a whole token.
    const token_amount half = std::max(quota.bucket.level / 2, oneToken);
    const token_amount given = std::min({ amount, half, quota.bucket.level });
    if (given < std::min(amount, oneToken))
        return 0;
    const token_amount taken = takeUpTo(quota.bucket, given, now);
    noteLevel(quota);
    return taken;
}

token_amount lend(workspace_quota &quota, token_amount amount, core::time_point now)
{
    refill(quota.bucket, now);
    if (!quota.waiters.empty() || !quota.loans.empty())
        return 0;
    const token_amount reserve = reserveOf(quota) / oneToken * oneToken;
    const token_amount spare = quota.bucket.level - reserve;
    const token_amount given = std::min(amount, spare > 2 * oneToken ? spare / 2 : spare);
    if (given < leastLoan)
        return 0;
    const token_amount taken = takeUpTo(quota.bucket, given, now);
    noteLevel(quota);
    return taken;
}

token_amount takeUnused(workspace_quota &quota, core::time_point now)
{
    if (quota.fills || now < quota.nextReturn)
        return 0;
    quota.nextReturn = now + returnInterval;
    const token_amount unused = takeUpTo(quota.bucket, quota.leastLevel, now);
    quota.leastLevel = quota.bucket.level;
    return unused;
}

token_amount receive(workspace_quota &quota, token_amount amount, core::time_point now)
{
    const token_amount given = std::max<token_amount>(0, amount);
    refill(quota.bucket, now);
    const token_amount room = quota.bucket.capacity - quota.bucket.level;
    put(quota.bucket, std::min(given, room), now);
    return std::max<token_amount>(0, given - room);
}

} // namespace fuchsiagw::proxy
