/// @file
/// @brief Token buckets of the workspaces and the tokens that move between instances.

#include <fuchsiagw/proxy/quota.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::proxy {

namespace {

using core::oneToken;
using core::token_amount;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The expected need over this time is kept back from loans and asked for.
constexpr double reserveSeconds = 0.3;
constexpr double leastReserve = 2; // operations
constexpr milliseconds requestSpacing{ 60 };
constexpr milliseconds demandInterval{ 200 };
constexpr double demandSmoothing = 0.4; // weight of the newest interval

void follow(workspace_quota &quota, core::time_point now)
{
    const core::duration lapse = now - quota.demandSince;
    if (lapse < demandInterval)
        return;
    const double rate = quota.demandCount / std::chrono::duration<double>(lapse).count();
    quota.demandPerSecond += demandSmoothing * (rate - quota.demandPerSecond);
    quota.demandCount = 0;
    quota.demandSince = now;
}

token_amount reserveOf(const workspace_quota &quota)
{
    const double need = std::max(leastReserve, quota.demandPerSecond * reserveSeconds);
    return static_cast<token_amount>(need * oneToken);
}

workspace_quota *limitedQuota(quota_table &table, const std::string &workspace)
{
    const auto found = table.workspaces.find(workspace);
    if (found == table.workspaces.end() || !found->second.limited)
        return nullptr;
    return &found->second;
}

} // namespace

void reshape(quota_table &table, const manifest &from, std::uint32_t instances,
             core::time_point now)
{
    table.instances = std::max<std::uint32_t>(1, instances);
    std::map<std::string, workspace_quota, std::less<>> next;
    for (const workspace_entry &each : from.workspaces) {
        workspace_quota quota;
        const auto known = table.workspaces.find(each.name);
        if (known != table.workspaces.end())
            quota = known->second;
        quota.limited = each.ratePerSecond.has_value();
        quota.ratePerSecond = each.ratePerSecond.value_or(0);
        quota.burst = each.burst;
        const double rate = quota.ratePerSecond * oneToken / table.instances;
        // A workspace without a burst still needs room for one operation.
        const double capacity = std::max(1.0, quota.burst / table.instances) * oneToken;
        core::reshape(quota.bucket, static_cast<std::int64_t>(std::llround(rate)),
                      static_cast<token_amount>(std::llround(capacity)), now);
        next.emplace(each.name, quota);
    }
    table.workspaces = std::move(next);
}

bool admit(quota_table &table, const std::string &workspace, core::time_point now)
{
    workspace_quota *quota = limitedQuota(table, workspace);
    if (quota == nullptr)
        return true;
    ++quota->demandCount;
    follow(*quota, now);
    return take(quota->bucket, oneToken, now);
}

void giveBack(quota_table &table, const std::string &workspace, core::time_point now)
{
    if (workspace_quota *quota = limitedQuota(table, workspace))
        put(quota->bucket, oneToken, now);
}

core::time_point nextTokenAt(const quota_table &table, const std::string &workspace)
{
    const auto found = table.workspaces.find(workspace);
    if (found == table.workspaces.end() || !found->second.limited)
        return {};
    return availableAt(found->second.bucket, oneToken);
}

std::optional<token_amount> wanted(quota_table &table, const std::string &workspace,
                                   core::time_point now)
{
    workspace_quota *quota = limitedQuota(table, workspace);
    if (quota == nullptr || now < quota->nextRequest || table.instances < 2)
        return std::nullopt;
    refill(quota->bucket, now);
    const token_amount reserve = reserveOf(*quota);
    if (quota->bucket.level >= reserve)
        return std::nullopt;
    quota->nextRequest = now + requestSpacing;
    const token_amount missing = std::min(2 * reserve, quota->bucket.capacity) - quota->bucket.level;
    if (missing < oneToken)
        return std::nullopt;
    return missing;
}

token_amount lend(quota_table &table, const std::string &workspace, token_amount amount,
                  core::time_point now)
{
    workspace_quota *quota = limitedQuota(table, workspace);
    if (quota == nullptr)
        return 0;
    follow(*quota, now);
    refill(quota->bucket, now);
    const token_amount spare = quota->bucket.level - reserveOf(*quota);
    // Half of what is spare, so that the next one who asks finds something too.
    const token_amount given = std::min(amount, spare / 2);
    if (given < oneToken)
        return 0;
    return takeUpTo(quota->bucket, given, now);
}

void receive(quota_table &table, const std::string &workspace, token_amount amount,
             core::time_point now)
{
    if (workspace_quota *quota = limitedQuota(table, workspace))
        put(quota->bucket, std::max<token_amount>(0, amount), now);
}

} // namespace fuchsiagw::proxy
