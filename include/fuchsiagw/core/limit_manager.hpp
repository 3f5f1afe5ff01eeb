/// @file
/// @brief Enforces one instance's part of the rate and connection limits that all instances share.
///
/// The limit manager holds the instance's lease, its home shares (the shares that the platform's
/// table records for it) and its loans. It admits statements and computes the connection limits.
/// It combines the decisions of incarnation_lease, share_pool and loan_policy.
///
/// Each function appends the actions that the caller must carry out. The caller reports the outcome
/// of every platform call exactly once. The limit manager treats a call whose outcome is not
/// reported within platformCallTimeout as lost.

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

/// A connection limit is lowered this long before the underlying shares expire, so that exchanges
/// in progress can finish.
inline constexpr duration connectionDrainInterval = std::chrono::seconds(2);

/// A platform call is treated as lost if it is not answered within this time.
inline constexpr duration platformCallTimeout = std::chrono::seconds(10);

/// @return settings for loans of connections. Such loans are renewed well before the last
/// connectionDrainInterval of their term.
[[nodiscard]] loan_settings connectionLoanSettings();

struct limit_manager_settings
{
    lease_times leases;
    loan_settings rates; ///< for loans of workspace rate shares
    loan_settings connections = connectionLoanSettings();
};

/// Bodies of the messages that limit managers exchange.
using limit_message_body = std::variant<lease_request, lease_promise, vote_request, expiry_vote,
                                        loan_request, loan_grant, loan_returns>;

/// Action: sends a message to the limit manager of another incarnation.
struct limit_message
{
    incarnation_id to = 0;
    limit_message_body body;
};

/// Action: calls the platform. The caller reports the outcome with onScan() or onTransact().
struct limit_platform_call
{
    std::uint64_t number = 0;
    std::variant<std::string, transact_request> operation; ///< key prefix to scan, or a transaction
};

/// Action: delivers the decision on a statement for which admitStatement() returned
/// admission::Wait.
struct admission_outcome
{
    std::uint64_t ticket = 0;
    bool granted = false;
};

/// Action: changes the number of connections that this instance may have open for a group.
struct connection_limit_change
{
    group_id group;
    std::uint32_t limit = 0;
};

/// Action: reports that this incarnation has expired, because its witnesses voted so or its row is
/// gone. The limit manager grants nothing any more; the caller replaces it by one with a new
/// incarnation.
struct limit_manager_expired
{ };

using limit_manager_action = std::variant<limit_message, limit_platform_call, admission_outcome,
                                          connection_limit_change, limit_manager_expired>;
using limit_manager_actions = std::vector<limit_manager_action>;

/// A statement that waits for a token.
struct waiting_admission
{
    std::uint64_t ticket = 0;
    time_point refusedAt{}; ///< the statement is refused at this time if no token came
};

/// State of one limit, except for its share ledger.
struct limit_state
{
    bool isUsed = false; ///< configured and, for a group, owned by this instance
    std::int64_t rate = 0;
    token_amount burst = 0;
    share_count total = workspaceShares; ///< according to the configuration
    std::vector<incarnation_id> holders; ///< incarnations that are entitled to a fair part
    share_count fairShares = 0; ///< fair part of this incarnation
    bool isPoolTotalUnverified = true; ///< the pool row may record another total
    bool mayExceedFairPart = false; ///< may take free shares somewhat beyond the fair part
    time_point nextPoolReadAt = noDeadline;
    duration poolReadBackoff{ 0 }; ///< doubles while the pool has no free shares
    /// Connection shares that are withheld from use until their connections are closed and the
    /// shares can be returned to the pool.
    share_count pendingReturn = 0;
    std::uint32_t idleConnections = 0; ///< open connections without an exchange
    std::uint32_t busyPeak = 0; ///< maximum of busy connections until busyPeakUntil
    time_point busyPeakUntil{};
    share_count releasedIdle = 0; ///< lowers the limit to close idle connections for a peer
    time_point releasedIdleUntil{};
    time_point surplusSince = noDeadline; ///< borrowed connections are in surplus since then
    std::optional<std::uint32_t> announcedLimit; ///< last connection_limit_change, if any
    std::deque<waiting_admission> waitingStatements;
};

/// Purposes of a task at the platform.
enum class limit_task_kind : std::uint8_t {
    None,
    Join,
    Rebalance, ///< take or return shares; also creates and resizes pools
    Witnesses, ///< replace the witnesses in this incarnation's row
    Reclaim, ///< reclaim the shares of an incarnation that was voted expired
    Predecessor, ///< reclaim from an earlier incarnation of this instance, without votes
    Leave,
};

inline constexpr std::array<std::string_view, 7> limitTaskKindNames{
    "none", "join", "rebalance", "witnesses", "reclaim", "predecessor", "leave"
};

[[nodiscard]] constexpr std::string_view toString(limit_task_kind kind)
{
    return limitTaskKindNames.at(static_cast<std::size_t>(kind));
}

enum class limit_task_phase : std::uint8_t {
    Reading,
    Submitting,
    ReadingBack, ///< the transaction's answer was lost; its rows are read to find the outcome
};

/// The task at the platform that is in progress; there is at most one.
/// Invariant: shares that the transaction gives back are in no ledger until its outcome is known.
struct limit_task
{
    limit_task_kind kind = limit_task_kind::None;
    limit_task_phase phase = limit_task_phase::Reading;
    std::uint64_t pendingCall = 0; ///< number of the unanswered call; 0 if there is none
    time_point dueAt{}; ///< deadline of the pending call, or time of the next attempt
    std::vector<std::string> pendingPrefixes; ///< to be scanned from back to front
    table_view view;
    std::set<std::string> unreadableKeys; ///< rows that can't be parsed
    share_transaction move;
    std::set<resource_id> resources; ///< limits of a Rebalance task
    incarnation_id deadIncarnation = 0; ///< holder of the shares of a Reclaim task
    bool includesPools = false; ///< the Reclaim task reads the pool rows too
    bool isPoolChange = false; ///< creates or resizes pools and moves no shares
};

/// Invariants: nothing is granted once isExpired is set; home shares are used only while hasJoined
/// is set; at most one platform call is pending.
struct limit_manager
{
    peer_ref self;
    limit_manager_settings settings;
    std::vector<peer_ref> live; ///< ascending by instance, including this one
    lease_holder lease;
    lease_witness witness;
    loan_manager rates; ///< loans of workspace rate shares
    loan_manager connections; ///< loans of connection shares of groups
    std::map<resource_id, limit_state> limits;
    std::map<group_id, std::uint32_t> configuredConnections;
    std::set<group_id> ownedGroups;
    bool isRebalancingOn = true; ///< operators' switch `rebalancing`
    std::set<resource_id> staleHolders; ///< limits whose holders must be recomputed

    bool hasConfiguration = false;
    bool hasJoined = false; ///< this incarnation has a row in the table
    bool isLeaving = false;
    bool hasReturnedUnlentShares = false; ///< during a planned stop
    bool isExpired = false;
    time_point homeUntil{};
    /// When proposed witnesses that have not promised are replaced by others.
    time_point nextWitnessChangeAt = noDeadline;

    limit_task task;
    time_point nextTaskAt{};
    time_point nextReclaimAt{};
    time_point nextPredecessorSearchAt{};
    /// The pools had too few free shares at the join, or the last search found an earlier
    /// incarnation; other earlier incarnations may still hold shares.
    bool isPredecessorSearchWanted = false;
    duration callBackoff{ 0 }; ///< doubles while the platform does not answer
    /// Starts at the incarnation number, so that answers to calls of an earlier incarnation are
    /// never mistaken for answers to its own.
    std::uint64_t nextCall = 1;
    std::uint64_t nextTransaction = 1;
    std::uint64_t sentTransactions = 0; ///< including repetitions
    std::uint64_t sentScans = 0;
    std::uint64_t unreadableRows = 0;
    time_point lastTickAt{};
};

/// @brief Creates the limit manager of a new incarnation. It has no limits before
/// onConfiguration().
[[nodiscard]] limit_manager
makeLimitManager(const peer_ref &self, const limit_manager_settings &settings, time_point now);

/// @brief Updates the set of live instances. An instance whose incarnation is unknown (0) counts
/// only towards the fair parts. This instance need not be listed.
/// @complexity linear in the peers; the next ticks recompute the fair parts
void onPeers(limit_manager &manager, std::vector<peer_ref> live, time_point now,
             random_engine &random, limit_manager_actions &actions);

/// @brief Applies a new configuration: rates, bursts, connections and switches.
/// @complexity linear in the workspaces and groups, times logarithm
void onConfiguration(limit_manager &manager, const configuration &config, time_point now,
                     random_engine &random, limit_manager_actions &actions);

/// @brief Updates the set of groups that this instance owns for its zone. The connection shares
/// of a group that it no longer owns are returned once the connections are closed.
/// @complexity linear in the limits, times logarithm
void onOwnedGroups(limit_manager &manager, const std::set<group_id> &owned, time_point now,
                   random_engine &random, limit_manager_actions &actions);

/// @brief Sets the demand for a group's connections. Call it before any other function whenever a
/// connection has been opened or closed, because shares of open connections must not be given away.
/// @param inUse open connections, including idle ones
/// @param idle open connections that can be closed at once; the limit is lowered to close them if
/// a peer requests them or if they are borrowed
/// @complexity logarithmic in the limits
void setGroupDemand(limit_manager &manager, const group_id &group, std::uint32_t inUse,
                    std::uint32_t waiting, time_point now, std::uint32_t idle = 0);

/// @brief Decides whether to admit a statement. After admission::Wait, an admission_outcome action
/// with the same ticket follows within maxAdmissionWait.
/// @complexity logarithmic in the limits
[[nodiscard]] admission admitStatement(limit_manager &manager, const workspace_id &workspace,
                                       std::uint64_t ticket, time_point now,
                                       limit_manager_actions &actions);

/// @brief Removes a waiting statement whose caller has disconnected.
/// @complexity linear in the workspace's waiting statements
void abandonStatement(limit_manager &manager, const workspace_id &workspace, std::uint64_t ticket);

/// @brief Handles a message of another limit manager. A message whose body names a sender other
/// than @p from is ignored.
/// @complexity linear in the message
void onMessage(limit_manager &manager, incarnation_id from, const limit_message_body &body,
               time_point now, random_engine &random, limit_manager_actions &actions);

/// @brief Handles the answer to a scan.
/// @param answer empty if the call failed
/// @complexity linear in the rows
void onScan(limit_manager &manager, std::uint64_t number, const std::optional<scan_answer> &answer,
            time_point now, random_engine &random, limit_manager_actions &actions);

/// @brief Handles the answer to a transaction.
/// @param answer empty if the call failed; the transaction may have been committed nevertheless
/// @complexity linear in the transaction
void onTransact(limit_manager &manager, std::uint64_t number,
                const std::optional<transact_answer> &answer, time_point now, random_engine &random,
                limit_manager_actions &actions);

/// @brief Performs all due actions. Call it at nextLimitManagerTick().
/// @complexity linear in the active limits and the watched leases
void tickLimitManager(limit_manager &manager, time_point now, random_engine &random,
                      limit_manager_actions &actions);

/// @return the latest time at which tickLimitManager() must be called again
/// @complexity linear in the workspaces
[[nodiscard]] time_point nextLimitManagerTick(const limit_manager &manager);

/// @brief Begins a planned stop: lends nothing more, admits no new statements and returns
/// all shares; connection shares are returned once their connections are closed. Call it when no
/// new statements arrive; waiting statements are still decided. The caller must limit the duration
/// of the stop and keep calling tickLimitManager().
/// @complexity linear in the limits
void startLeaving(limit_manager &manager, time_point now, random_engine &random,
                  limit_manager_actions &actions);

/// @return whether the planned stop is complete, so that the table records no share for this
/// incarnation, or the incarnation has expired
[[nodiscard]] bool hasLeft(const limit_manager &manager);

} // namespace fuchsiagw::core
