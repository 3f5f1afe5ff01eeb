/// @file
/// @brief Rate limits of the workspaces, enforced jointly by all daemons.
///
/// A limit (rate and burst) is divided into parts. Each daemon owns the part that it has claimed in
/// the store; all claims together never exceed the limit. Only the daemon that holds a part refills
/// its token bucket from it, so all daemons together never exceed the limit, even if they can't
/// reach each other.
///
/// In each zone, one daemon is the home of a workspace. The home borrows the parts of the other
/// daemons of its zone under short leases. The home counts a lease from the time of its request,
/// the lender from the time of its answer, so the lease ends at the home first; a lender does not
/// refill its bucket from a lent part. Without faults the zone therefore has one shared bucket, and
/// a daemon that is cut off gets its own part back when the lease ends.
///
/// Daemons also transfer tokens: the other daemons of a zone request them from the home, and homes
/// request them from the homes of other zones. A sender takes tokens out of its bucket before it
/// sends them, so a lost datagram can only lose tokens. Tokens that a daemon holds in excess of its
/// bucket are returned to the home within a fraction of a second or expire; otherwise they would
/// accumulate over the daemons to a second burst.

#pragma once

#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/core/return_schedule.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>
#include <fuchsiagw/proxy/limit_part.hpp>
#include <fuchsiagw/proxy/manifest.hpp>

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

/// A token request from another daemon of the zone that this home could not serve at once.
struct waiting_loan_request
{
    std::string node;
    core::token_amount amount = 0;
    std::int64_t askedAtUs = 0; ///< by the clock of the requesting daemon
    core::time_point deadline{}; ///< the request is then answered without tokens
    int priority = 0; ///< best one of the operations that wait at that daemon; 0 is the highest
};

/// @brief Rate limit of one workspace, as seen by this daemon.
///
/// Invariants: limited is false for a workspace without a rate, and all other members are then
/// unused; the bucket has the rate and the burst of the parts that this daemon holds at
/// bucket.lastRefill, and only advanceQuota() refills it; ownPart is used unless it is lent, or may
/// still be lent by an earlier process of this daemon.
struct workspace_quota
{
    bool limited = false;
    double ratePerSecond = 0; ///< rate of the whole workspace
    double burst = 0; ///< burst of the whole workspace
    std::vector<std::string> homes; ///< daemons of this zone by preference as home
    std::vector<std::string> otherHomes; ///< preferred home in each other zone
    bool isFirstHome = false; ///< this daemon is homes.front()
    limit_part ownPart = 0;
    core::time_point ownPartUsableFrom{}; ///< until then, an earlier process may have lent it
    std::string lentTo; ///< home that last borrowed ownPart
    core::time_point lentUntil{};
    std::map<std::string, borrowed_part> borrowed; ///< by lender
    limit_part heldPart = 0; ///< part that the bucket is refilled from
    limit_part lastLoggedPart = 0; ///< value of heldPart in the newest log line
    core::time_point heldPartChangesAt = core::noDeadline; ///< when a lease starts or ends next
    core::token_bucket bucket;
    core::token_amount overflowTokens = 0; ///< received from the home in excess of the bucket
    core::token_amount minOverflowTokens = 0; ///< minimum since the last return: unused
    core::time_point overflowExpiresAt{}; ///< overflowTokens are discarded then
    core::time_point nextReturnAt{};
    core::time_point actsAsHomeUntil{}; ///< requests from other daemons extend it
    core::time_point inUseUntil{}; ///< operations have requested tokens recently
    double demandPerSecond = 0; ///< smoothed rate of operations requested here
    core::time_point demandIntervalStart{}; ///< start of the current interval
    double operationsInInterval = 0; ///< requested in the current interval
    core::time_point loanRequestedAt = core::noDeadline; ///< oldest unanswered request to the home
    core::time_point nextRequestAt{}; ///< earliest time of the next loan request
    core::time_point homeEmptyUntil{}; ///< the home reported that it has no tokens
    int homeEmptyPriority = 0; ///< for requests of this priority and lower ones
    /// While tokens are scarce, a request asks only for the operations that wait at its priority,
    /// so that tokens do not go to lower priorities at one daemon while higher ones wait at
    /// another.
    core::time_point scarceUntil{};
    int requestedPriority = 0; ///< of the latest request to the home
    core::token_amount requestedFor = 0; ///< tokens that the latest request was to cover
    int lowestPriority = 0; ///< of all routes
    core::fair_queue waitingOperations; ///< handle and session: the session whose operation waits
    std::deque<waiting_loan_request> waitingLoanRequests; ///< best priority first
    int lowestGranted = 0; ///< lowest priority that got a token lately
    core::time_point lowestGrantedAt{};
    std::uint32_t loansPassedOver = 0; ///< grants since the oldest waiting request was served
    core::return_schedule returns; ///< retries of refused operations
};

struct quota_table
{
    std::map<std::string, workspace_quota, std::less<>> workspaces;
};

/// Name and zone of a daemon.
struct quota_node
{
    std::string node;
    std::string zone;
    double capacity = 0; ///< processor cores of its instance; 0: unknown
};

/// @brief Updates all quotas to a manifest, the list of daemons and this daemon's part of each
/// limit.
///
/// A new bucket starts empty, because an earlier process of this daemon may just have used its
/// tokens.
/// @param self must be one of @p nodes
/// @param ownPartUsableFrom when the own part of a newly added workspace may be used
/// @complexity workspaces times nodes
void applyLimits(quota_table &table, const manifest &from, const std::vector<quota_node> &nodes,
                 const quota_node &self, limit_part ownPart, core::time_point ownPartUsableFrom,
                 core::time_point now);

/// @return the quota of a workspace that has a limit, else nullptr
[[nodiscard]] workspace_quota *findLimitedQuota(quota_table &table, const std::string &workspace);

/// @brief Refills the bucket up to @p now; applies each start and end of a lease at its own time.
void advanceQuota(workspace_quota &quota, core::time_point now);

/// @brief Lends the own part to the requesting home, or renews its lease.
/// @return the part and the tokens in the bucket; none if the part is lent to another home, can't
/// be used yet or is empty, or if this daemon holds borrowed parts itself
[[nodiscard]] std::optional<part_grant> lendPart(workspace_quota &quota, const std::string &home,
                                                 core::time_point now);
/// @brief Adds a part that another daemon of the zone has lent; ignored if the lease is over.
/// @param requestedAt when this daemon requested the part, by its own clock
void borrowPart(workspace_quota &quota, const std::string &lender, const part_grant &grant,
                core::time_point requestedAt, core::time_point now);

/// @brief Ends the lease of a borrowed part early.
void endBorrowedPart(workspace_quota &quota, const std::string &lender, core::time_point now);
/// @brief Makes the own part usable from now on; no other daemon may hold it.
void enableOwnPart(workspace_quota &quota, core::time_point now);

/// @brief Takes one token for an operation.
/// @return false if no token is available
[[nodiscard]] bool admit(workspace_quota &quota, core::time_point now);

/// @brief Adds requested operations to the estimate of the demand.
void countDemand(workspace_quota &quota, double operations, core::time_point now);

/// @brief Refunds the token of an operation that did not run.
void refundToken(quota_table &table, const std::string &workspace, core::time_point now);

/// @return when refilling alone yields the next whole token; noDeadline if it never does
[[nodiscard]] core::time_point nextTokenAt(const workspace_quota &quota);

/// @return the best priority of the operations and of the daemons of the zone that wait for tokens;
/// noPriority if none waits
[[nodiscard]] int bestWaitingPriority(const workspace_quota &quota);
inline constexpr int noPriority = std::numeric_limits<int>::max();

/// @return whether tokens have lately been too few for all operations
[[nodiscard]] bool isScarce(const workspace_quota &quota, core::time_point now);
/// @brief Records that a token was given to an operation of this priority.
void recordGrant(workspace_quota &quota, int priority, core::time_point now);
/// @return the best of the priorities that a daemon need not ask for now, if a request of this
/// priority found no token: the next lower one if tokens have lately reached a lower one
[[nodiscard]] int refusedPriority(const workspace_quota &quota, int priority, core::time_point now);
/// @brief Records that a request for tokens could not be served.
void recordScarcity(workspace_quota &quota, core::time_point now);

/// @brief Adds a request of another daemon; among equal priorities, the oldest one is served first.
void addLoanRequest(workspace_quota &quota, waiting_loan_request request);
/// @return the request to serve next; of sixteen grants, at least one goes to the oldest request
/// @pre a request waits
[[nodiscard]] std::deque<waiting_loan_request>::iterator nextLoanRequest(workspace_quota &quota);

/// @brief Computes how many tokens to request from the home or from other zones.
/// @param priority best one of the operations that wait for tokens; a request for a higher priority
/// than that of the latest request is not too recent
/// @return none if enough tokens are available or the last request is too recent
[[nodiscard]] std::optional<core::token_amount> tokensToRequest(workspace_quota &quota,
                                                                int priority, core::time_point now);

/// @brief Takes tokens that this home grants to a daemon of its zone.
/// @return the granted amount; 0 if less than one token, or less than @p amount if that is smaller,
/// is available
[[nodiscard]] core::token_amount takeForZonePeer(workspace_quota &quota, core::token_amount amount,
                                                 core::time_point now);
/// @brief Takes tokens that can be spared for the home of another zone; fractions are allowed.
/// @return the lent amount; 0 if operations or daemons of this zone are waiting for tokens
[[nodiscard]] core::token_amount takeForOtherZone(workspace_quota &quota, core::token_amount amount,
                                                  core::time_point now);
/// @brief Takes the overflow tokens that were not used since the last effective call. Calls within
/// the return interval have no effect.
///
/// An overflow token stays at a daemon for at most two return intervals.
/// @return the amount to return to the home
[[nodiscard]] core::token_amount takeUnusedTokens(workspace_quota &quota, core::time_point now);

/// @brief Adds tokens to the bucket.
/// @return the amount that exceeds the capacity
core::token_amount addTokens(workspace_quota &quota, core::token_amount amount,
                             core::time_point now);

/// @brief Adds received tokens. The amount that exceeds the bucket's capacity is kept as
/// overflowTokens, which expire soon.
/// @return the amount that exceeds both capacities
core::token_amount addTokensWithOverflow(workspace_quota &quota, core::token_amount amount,
                                         core::time_point now);

} // namespace fuchsiagw::proxy
