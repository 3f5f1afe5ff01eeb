/// @file
/// @brief The part of one instance in the limits over all instances: its lease, its home shares in
/// the platform's table, its loans, the admission of statements and the limits of connections.
///
/// It puts the decisions of incarnation_lease, share_pool and loan_policy together. Each function
/// appends the actions that the caller carries out. The caller reports the outcome of every call to
/// the platform exactly once; a call without a report for callLimit counts as lost.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/loan_policy.hpp>
#include <fuchsiagw/core/platform_protocol.hpp>
#include <fuchsiagw/core/share_pool.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsiagw::core {

/// A limit of connections is lowered this long before the shares end, so that the caller can end
/// the exchanges under way.
inline constexpr duration connectionWindDown = std::chrono::seconds(2);

/// A call to the platform without an answer for this long counts as lost.
inline constexpr duration callLimit = std::chrono::seconds(10);

/// @return settings of loans of connections: they are extended well before connectionWindDown
[[nodiscard]] loan_settings connectionLoanSettings();

struct keeper_settings
{
    lease_times leases;
    loan_settings rates; ///< of loans of workspaces' shares
    loan_settings connections = connectionLoanSettings();
};

/// What keepers say to each other.
using keeper_body = std::variant<lease_request, lease_promise, vote_request, expiry_vote,
                                 loan_request, loan_grant, loan_returns>;

struct keeper_send
{
    incarnation_id to = 0;
    keeper_body body;
};

/// A call to the platform, answered by onScan() or onTransact().
struct keeper_call
{
    std::uint64_t number = 0;
    std::variant<std::string, transact_request> order; ///< the prefix of a scan, or a transaction
};

/// End of an admission that had to wait.
struct keeper_admitted
{
    std::uint64_t ticket = 0;
    bool granted = false;
};

/// Connections that this instance may have open from now on.
struct keeper_connections
{
    group_id group;
    std::uint32_t limit = 0;
};

/// The incarnation was voted expired: nothing is granted any more. The caller starts a new keeper
/// with a new incarnation.
struct keeper_expired
{ };

using keeper_action =
        std::variant<keeper_send, keeper_call, keeper_admitted, keeper_connections, keeper_expired>;
using keeper_actions = std::vector<keeper_action>;

/// A statement that waits for a token.
struct waiting_admission
{
    std::uint64_t ticket = 0;
    time_point until{}; ///< refused from here on
};

/// What the keeper knows of one limit besides its book.
struct keeper_limit
{
    bool isUsed = false; ///< in the configuration, and owned if it is a group's
    std::int64_t rate = 0;
    token_amount burst = 0;
    share_count total = workspaceShares; ///< by the configuration
    std::vector<incarnation_id> holders; ///< instances that have a fair part
    share_count fair = 0;
    bool isTotalUnchecked = true; ///< the pool row may have another total
    bool isAbsorbing = false; ///< may take a little more than the fair part of a pool left idle
    time_point lookAt = noDeadline; ///< when the pool row is to be read
    duration lookPause{ 0 }; ///< doubles while the pool has nothing to take
    share_count reserve = 0; ///< of connections that end before they are returned
    std::uint32_t idle = 0; ///< open connections that carry nothing
    std::uint32_t busyPeak = 0; ///< greatest number of busy connections of late
    time_point busyPeakUntil{};
    share_count yield = 0; ///< of idle connections that are closed because a peer asks for them
    time_point yieldUntil{};
    time_point surplusSince = noDeadline; ///< since when borrowed connections could be returned
    std::optional<std::uint32_t> announced; ///< connections
    std::deque<waiting_admission> waiting;
};

enum class keeper_goal : std::uint8_t {
    None,
    Join,
    Rebalance, ///< and creation and change of pools
    Witnesses, ///< replacement in the own row
    Reclaim, ///< of a dead incarnation's shares
    Predecessor, ///< reclaim from an earlier incarnation of this instance, without votes
    Leave,
};

inline constexpr std::array<std::string_view, 7> keeperGoalNames{
    "none", "join", "rebalance", "witnesses", "reclaim", "predecessor", "leave"
};

[[nodiscard]] constexpr std::string_view toString(keeper_goal goal)
{
    return keeperGoalNames.at(static_cast<std::size_t>(goal));
}

enum class keeper_phase : std::uint8_t {
    Reading,
    Submitting,
    ReadingBack, ///< the answer of the transaction was lost
};

/// The one piece of work at the platform that is under way.
/// Invariant: shares that were given are in no book until the transaction's outcome is known.
struct keeper_work
{
    keeper_goal goal = keeper_goal::None;
    keeper_phase phase = keeper_phase::Reading;
    std::uint64_t call = 0; ///< that is not answered; 0: none
    time_point due{}; ///< of the answer, or of the next try
    std::vector<std::string> prefixes; ///< still to be scanned; the last one is next
    table_view view;
    std::set<std::string> damaged; ///< keys of rows that can't be read
    share_transaction move;
    std::set<resource_id> resources; ///< of a rebalancing
    incarnation_id dead = 0; ///< whose shares are reclaimed
    bool hasPools = false; ///< the pools are read too, of a reclaim
    bool isResize = false; ///< creates or changes pools and moves no shares
};

/// Invariants: nothing is granted once isExpired; home shares are used only if hasJoined; one call
/// to the platform is under way at most.
struct limit_keeper
{
    peer_ref self;
    keeper_settings settings;
    std::vector<peer_ref> live; ///< ascending by instance, this one included
    lease_holder lease;
    lease_witness witness;
    loan_desk rates; ///< workspaces
    loan_desk connections; ///< groups
    std::map<resource_id, keeper_limit> limits;
    std::map<group_id, std::uint32_t> groups; ///< connections by the configuration
    std::set<group_id> owned;
    bool isRebalancingOn = true; ///< the switch `rebalancing`
    std::set<resource_id> stale; ///< holders to be computed anew

    bool hasConfiguration = false;
    bool hasJoined = false; ///< the own row is in the table
    bool isLeaving = false;
    bool hasReturned = false; ///< the shares that were not lent, of a planned stop
    bool isExpired = false;
    time_point homeUntil{};
    time_point witnessesDue = noDeadline; ///< when witnesses that do not promise are exchanged

    keeper_work work;
    time_point nextWork{};
    time_point nextReclaim{};
    time_point nextPredecessor{}; ///< when the rows are searched for earlier incarnations
    bool wasShort = false; ///< the pools had less than the fair parts when it joined
    duration workPause{ 0 }; ///< doubles while the platform does not answer
    std::uint64_t nextCall = 1; ///< starts at the incarnation: answers to a predecessor's calls are
                                ///< never taken for its own
    std::uint64_t nextTransaction = 1;
    std::uint64_t transactions = 0; ///< that were sent, repetitions included
    std::uint64_t scans = 0;
    std::uint64_t damagedRows = 0;
    time_point tickedAt{};
};

/// @brief Prepares the keeper of a new incarnation. It has no limits before onConfiguration().
[[nodiscard]] limit_keeper makeKeeper(const peer_ref &self, const keeper_settings &settings,
                                      time_point now);

/// @brief Takes in which entry instances are live. An instance whose incarnation is not known (0)
/// counts for the fair parts only. This instance need not be listed.
/// @complexity linear in the peers; the fair parts follow during the next ticks
void onPeers(limit_keeper &keeper, std::vector<peer_ref> live, time_point now,
             random_engine &random, keeper_actions &actions);

/// @brief Takes in a new configuration: rates, bursts, connections and switches.
/// @complexity linear in the workspaces and groups, times logarithm
void onConfiguration(limit_keeper &keeper, const configuration &config, time_point now,
                     random_engine &random, keeper_actions &actions);

/// @brief Takes in which groups this instance owns for its zone. The connections of a group that
/// it owns no longer are returned once they are closed.
/// @complexity linear in the limits, times logarithm
void onOwnedGroups(limit_keeper &keeper, const std::set<group_id> &owned, time_point now,
                   random_engine &random, keeper_actions &actions);

/// @brief Sets the demand for a group's connections. Call it before any other function whenever a
/// connection was opened or closed: shares of open connections are not given away.
/// @param inUse open connections, the idle ones included
/// @param idle open connections that can be closed at once; the limit is lowered for a peer that
/// asks for them, and if they are borrowed
/// @complexity logarithmic in the limits
void setGroupDemand(limit_keeper &keeper, const group_id &group, std::uint32_t inUse,
                    std::uint32_t waiting, time_point now, std::uint32_t idle = 0);

/// @brief Decides on a statement. After admission::Wait a keeper_admitted action with its ticket
/// follows, at the latest after the admission wait.
/// @complexity logarithmic in the limits
[[nodiscard]] admission admitStatement(limit_keeper &keeper, const workspace_id &workspace,
                                       std::uint64_t ticket, time_point now,
                                       keeper_actions &actions);

/// @brief Forgets a statement that waits, because its caller has gone.
/// @complexity linear in the workspace's waiting statements
void abandonStatement(limit_keeper &keeper, const workspace_id &workspace, std::uint64_t ticket);

/// @brief Takes in a message of another keeper. One that names another sender is ignored.
/// @complexity linear in the message
void onMessage(limit_keeper &keeper, incarnation_id from, const keeper_body &body, time_point now,
               random_engine &random, keeper_actions &actions);

/// @brief A scan was answered, or not.
/// @complexity linear in the rows
void onScan(limit_keeper &keeper, std::uint64_t number, const std::optional<scan_answer> &answer,
            time_point now, random_engine &random, keeper_actions &actions);

/// @brief A transaction was answered, or not; without an answer it may have been committed.
/// @complexity linear in the transaction
void onTransact(limit_keeper &keeper, std::uint64_t number,
                const std::optional<transact_answer> &answer, time_point now, random_engine &random,
                keeper_actions &actions);

/// @brief Does what is due. Call it at nextKeeperTick().
/// @complexity linear in the active limits and the watched leases
void tickKeeper(limit_keeper &keeper, time_point now, random_engine &random,
                keeper_actions &actions);

/// @return when tickKeeper() must be called again at the latest
/// @complexity linear in the workspaces
[[nodiscard]] time_point nextKeeperTick(const limit_keeper &keeper);

/// @brief Begins a planned stop: lends nothing more, admits nothing new and returns the shares,
/// those of connections once they are closed. Call it when no statement comes any more; those that
/// wait are still decided. The caller bounds the time and continues to call tickKeeper().
/// @complexity linear in the limits
void startLeaving(limit_keeper &keeper, time_point now, random_engine &random,
                  keeper_actions &actions);

/// @return whether the stop is complete: no share is recorded for this incarnation
[[nodiscard]] bool hasLeft(const limit_keeper &keeper);

} // namespace fuchsiagw::core
