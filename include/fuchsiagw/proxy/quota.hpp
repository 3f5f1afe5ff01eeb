/// @file
/// @brief A workspace's rate and burst, shared by all daemons as parts and tokens.
///
/// Each daemon owns a part of every limit: its claim in the store, and no two claims together
/// exceed the limit. Only the holder of a part fills a bucket from it, so the daemons together
/// never exceed the limit, whoever hears whom. In each zone the home of a workspace borrows the
/// parts of the others, for a short time that it measures from its question and they from their
/// answer; a daemon that lent its part fills nothing until that time is over. So the zone has one
/// bucket in calm times, and a daemon that is cut off has its own part again soon.
///
/// Tokens move as well: the others ask the home as they need them, and homes ask the homes of other
/// zones. A lender takes tokens out of its bucket before it sends them, so a lost datagram only
/// loses tokens. What a daemon holds beyond its own bucket goes back to the home within a part of a
/// second or expires: kept, it would add up over the daemons to a second burst.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>
#include <fuchsiagw/proxy/limit_part.hpp>
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
    std::int64_t askedAtUs = 0; ///< asker's clock
    core::time_point until{}; ///< it is told then that there is none
};

/// Invariants: limited is false for a workspace without a rate, and the rest is then unused; the
/// bucket has the rate and the burst of the parts that this daemon holds at bucket.lastRefill, and
/// is refilled by settle() only; ownPart counts unless it is lent or its lease from an earlier
/// process may still run.
struct workspace_quota
{
    bool limited = false;
    double ratePerSecond = 0; ///< of the whole workspace
    double burst = 0; ///< of the whole workspace
    std::vector<std::string> homes; ///< daemons of this zone, the home first
    std::vector<std::string> otherHomes; ///< the home in each other zone
    bool isFirstHome = false; ///< this daemon is the first of homes
    limit_part ownPart = 0;
    core::time_point ownPartUsableFrom{}; ///< ownPart is not used before: it may be lent by an
                                          ///< earlier process
    std::string lentTo; ///< home that borrowed ownPart last
    core::time_point lentUntil{};
    std::map<std::string, borrowed_part> borrowed; ///< by the daemon that lent it
    limit_part held = 0; ///< the part that the bucket has now
    limit_part noted = 0; ///< the part of the newest log line
    core::time_point nextChange = core::noDeadline; ///< of held, by time alone
    core::token_bucket bucket;
    core::token_amount handed = 0; ///< tokens beyond the bucket, from the home
    core::token_amount leastHanded = 0; ///< since the last return; not needed
    core::time_point handedUntil{}; ///< handed expires then
    core::time_point nextReturn{};
    core::time_point homeUntil{}; ///< it acts as the home while others take it for it
    core::time_point usedUntil{}; ///< operations asked for tokens a moment ago
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

/// @brief Applies a manifest's limits, the daemons and this daemon's part of each limit.
/// A new bucket starts empty: the predecessor of this process may just have used its tokens.
/// @param self must be one of @p nodes
/// @param ownPartUsableFrom when the own part of a workspace that was unknown may be used
/// @complexity workspaces times nodes
void reshape(quota_table &table, const manifest &from, const std::vector<quota_node> &nodes,
             const quota_node &self, limit_part ownPart, core::time_point ownPartUsableFrom,
             core::time_point now);

/// @return the quota of a workspace that has a limit, else nullptr
[[nodiscard]] workspace_quota *limitedQuota(quota_table &table, const std::string &workspace);

/// @brief Refills the bucket, ends what has ended by time, each at its own time.
void settle(workspace_quota &quota, core::time_point now);

/// @brief Lends the own part to the home that asks, or extends the loan.
/// @return the part and the tokens that go with it; none if another home has it or this daemon acts
/// as the home itself
[[nodiscard]] std::optional<part_grant> lendPart(workspace_quota &quota, const std::string &home,
                                                 core::time_point now);
/// @brief Takes a part that another daemon of the zone has lent.
/// @param askedAt when this daemon asked for it, by its own clock
void takePart(workspace_quota &quota, const std::string &lender, const part_grant &grant,
              core::time_point askedAt, core::time_point now);

/// @brief Ends a loan at the borrower.
void dropPart(workspace_quota &quota, const std::string &lender, core::time_point now);
/// @brief The own part may be used from now on: no other daemon has it.
void releaseOwnPart(workspace_quota &quota, core::time_point now);

/// @brief Counts demand, and takes the token of one operation.
/// @return whether it may run
[[nodiscard]] bool admit(workspace_quota &quota, core::time_point now);

/// @brief Counts operations that were asked for here.
void countDemand(workspace_quota &quota, double operations, core::time_point now);

/// @brief Gives back the token of an operation that did not run.
void giveBack(quota_table &table, const std::string &workspace, core::time_point now);

/// @return when the next token is due here; noDeadline if none is by time alone
[[nodiscard]] core::time_point nextTokenAt(const workspace_quota &quota);

/// @brief Tells how many tokens to ask for.
/// @return none if there are enough or some were asked for a moment ago
[[nodiscard]] std::optional<core::token_amount> wanted(workspace_quota &quota,
                                                       core::time_point now);

/// @brief Takes out what the home gives to a daemon of its zone.
[[nodiscard]] core::token_amount hand(workspace_quota &quota, core::token_amount amount,
                                      core::time_point now);
/// @brief Takes out what can be spared for the home of another zone, also a part of a token.
[[nodiscard]] core::token_amount lend(workspace_quota &quota, core::token_amount amount,
                                      core::time_point now);
/// @brief Takes out what was handed to this daemon and not needed since the last call that was due.
/// A token stays with a daemon for two intervals between these calls at most.
/// @return what is to be given back to the home
[[nodiscard]] core::token_amount takeUnused(workspace_quota &quota, core::time_point now);

/// @brief Adds tokens to the bucket.
/// @return what did not fit
core::token_amount receive(workspace_quota &quota, core::token_amount amount, core::time_point now);

/// @brief Adds tokens that the home handed out; what does not fit into the bucket is kept beside it
/// for a short time.
/// @return what did not fit
core::token_amount receiveHanded(workspace_quota &quota, core::token_amount amount,
                                 core::time_point now);

} // namespace fuchsiagw::proxy
