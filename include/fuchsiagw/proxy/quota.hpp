/// @file
/// @brief A workspace's rate and burst, shared by all daemons as tokens.
///
/// The limit is divided among the zones by their daemons. In each zone one daemon, the home of the
/// workspace, fills the zone's part; the others ask it for tokens as they need them, and homes ask
/// the homes of other zones. A lender takes tokens out of its bucket before it sends them, so a
/// lost datagram only loses tokens and all daemons together never exceed the limit. A zone that is
/// cut off keeps its own part. Tokens that a daemon does not need go back to the home within a part
/// of a second: kept, they would add up over the daemons to a second burst.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>
#include <fuchsiagw/proxy/manifest.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

/// Another daemon of the zone that found no token at its home.
struct waiting_loan
{
    std::string node;
    core::token_amount amount = 0;
    core::time_point until{}; ///< it is told then that there is none
};

/// Invariants: limited is false for a workspace without a rate, and the rest is then unused; the
/// bucket fills only while this daemon acts as the home, and holds what was lent to it otherwise.
struct workspace_quota
{
    bool limited = false;
    double ratePerSecond = 0; ///< of the whole workspace
    double burst = 0; ///< of the whole workspace
    std::vector<std::string> homes; ///< daemons of this zone, the home first
    std::vector<std::string> otherHomes; ///< the home in each other zone
    double zoneShare = 1; ///< of rate and burst, that the home of this zone fills
    bool fills = false; ///< this daemon acts as the home
    core::time_point homeUntil{}; ///< it acts as the home while others take it for it
    core::token_bucket bucket;
    core::token_amount leastLevel = 0; ///< of the bucket since the last return; lent and not needed
    core::time_point nextReturn{}; ///< while it does not fill
    double demandPerSecond = 0; ///< smoothed operations asked for here
    core::time_point demandSince{}; ///< start of the interval that is being counted
    double demandCount = 0; ///< operations in it
    core::time_point askedAt = core::noDeadline; ///< the home owes an answer since then
    core::time_point nextRequest{}; ///< no loan is asked for before it
    core::time_point dryUntil{}; ///< the home had nothing a moment ago
    std::deque<std::uint64_t> waiters; ///< sessions whose operation waits for a token
    std::deque<waiting_loan> loans; ///< that wait for tokens of other zones
};

struct quota_table
{
    std::map<std::string, workspace_quota, std::less<>> workspaces;
};

/// One daemon, as far as limits need to know it.
struct quota_node
{
    std::string node;
    std::string zone;
};

/// @brief Applies a manifest's limits and the daemons among which they are divided.
/// A new bucket starts empty: the predecessor of this process may just have used its tokens.
/// @param self must be one of @p nodes
/// @param mayFill false while others may not know yet that this daemon takes part
/// @complexity workspaces times nodes
void reshape(quota_table &table, const manifest &from, const std::vector<quota_node> &nodes,
             const quota_node &self, bool mayFill, core::time_point now);

/// @return the quota of a workspace that has a limit, else nullptr
[[nodiscard]] workspace_quota *limitedQuota(quota_table &table, const std::string &workspace);

/// @brief Starts or stops to fill the bucket.
void actAsHome(workspace_quota &quota, bool fills, core::time_point now);

/// @brief Counts demand, and takes the token of one operation.
/// @return whether it may run
[[nodiscard]] bool admit(workspace_quota &quota, core::time_point now);

/// @brief Counts operations that were asked for here.
void countDemand(workspace_quota &quota, double operations, core::time_point now);

/// @brief Gives back the token of an operation that did not run.
void giveBack(quota_table &table, const std::string &workspace, core::time_point now);

/// @return when the next token is due here; noDeadline if it does not fill
[[nodiscard]] core::time_point nextTokenAt(const workspace_quota &quota);

/// @brief Tells how many tokens to ask for.
/// @return none if the bucket holds enough or some were asked for a moment ago
[[nodiscard]] std::optional<core::token_amount> wanted(workspace_quota &quota,
                                                       core::time_point now);

/// @brief Takes out what the home gives to a daemon of its zone.
[[nodiscard]] core::token_amount hand(workspace_quota &quota, core::token_amount amount,
                                      core::time_point now);
/// @brief Takes out what can be spared for the home of another zone, also a part of a token.
[[nodiscard]] core::token_amount lend(workspace_quota &quota, core::token_amount amount,
                                      core::time_point now);
/// @brief Takes out what was lent to this daemon and not needed since the last call that was due.
/// A token stays with a daemon for two intervals between these calls at most.
/// @return what is to be given back to the home
[[nodiscard]] core::token_amount takeUnused(workspace_quota &quota, core::time_point now);

/// @brief Adds tokens that another daemon gave.
/// @return what did not fit
core::token_amount receive(workspace_quota &quota, core::token_amount amount, core::time_point now);

} // namespace fuchsiagw::proxy
