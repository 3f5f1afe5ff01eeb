/// @file
/// @brief Simulation of instances that share limits, in virtual time.
///
/// Includes a network, a platform table, and checkers for the sum of shares and for requirement M7
/// (no workspace exceeds its rate and burst). The differential test, the fault matrix and the
/// benchmark use it.

#pragma once

#include <fuchsiagw/core/loan_policy.hpp>
#include <fuchsiagw/core/share_pool.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::testing {

struct world_workspace
{
    std::string name;
    double rate = 0; ///< tokens per second
    double burst = 0;
    double offered = 0; ///< arrivals per second
    std::vector<double> weights; ///< load balancer weight of each instance; empty: equal weights
};

/// Injected defects that the checkers must detect.
enum class limits_defect : std::uint8_t {
    None,
    LenderKeepsShares,
    HolderIgnoresLapse,
    WitnessPromisesAfterVote,
    BorrowerIgnoresEnd,
    DuplicateIsCounted,
    ReclaimWithoutWait,
};

inline constexpr std::array<std::string_view, 7> limitsDefectNames{
    "none",
    "lender_keeps_shares",
    "holder_ignores_lapse",
    "witness_promises_after_vote",
    "borrower_ignores_end",
    "duplicate_is_counted",
    "reclaim_without_wait",
};

struct limits_world_settings
{
    std::uint64_t seed = 1;
    std::size_t instances = 9;
    std::size_t zones = 3;
    std::vector<world_workspace> workspaces;
    core::share_count connections = 0; ///< connection limit of the group; 0: no group
    core::loan_settings loans;
    core::lease_times leases;
    bool areLoansOn = true;
    bool isFixedDivision = false; ///< all instances hold equal shares of every limit
    core::duration inZone = std::chrono::microseconds(300);
    core::duration betweenZones = std::chrono::milliseconds(4);
    core::duration toPlatform = std::chrono::milliseconds(10);
    core::duration tickEvery =
            std::chrono::milliseconds(10); ///< interval of the periodic work of a node
    /// Delay until the list of live instances shows a change.
    core::duration listLag = std::chrono::seconds(2);
    double lost = 0; ///< fraction of the messages
    double doubled = 0; ///< fraction of the messages that arrive twice
    double late = 0; ///< fraction of the messages and platform calls with an extra delay
    /// Upper bound of the extra delay.
    core::duration maxLateDelay = std::chrono::seconds(5);
    double clockDrift = 0; ///< maximum relative error of the clock rate of an instance
    bool areSharesChecked = true; ///< checks the sum of shares after each message and tick
    limits_defect fault = limits_defect::None;
};

/// Request counts of one workspace.
struct workspace_result
{
    std::uint64_t arrived = 0;
    std::uint64_t granted = 0;
    std::uint64_t exactGranted = 0; ///< granted by one exact bucket for all instances
    std::uint64_t wrongful = 0; ///< refused although the exact bucket granted the request
};

struct waiting_statement
{
    core::time_point arrivedAt{};
    bool isGrantedByExactBucket = false;
};

/// A table transaction whose outcome has not yet reached the instance.
struct platform_call
{
    core::table_transaction transaction;
    std::function<void(bool isCommitted)> onDecided;
    std::uint64_t attempt = 0;
};

struct world_node
{
    core::peer_ref self;
    bool isAlive = false;
    bool isLeaving = false;
    bool hasJoined = false;
    core::time_point pausedUntil{};
    double clockRate = 1;
    core::duration clockOffset{ 0 };
    core::lease_holder lease;
    core::lease_witness witness;
    core::loan_manager loanManager;
    core::time_point homeUntil{};
    std::vector<core::peer_ref> knownPeers;
    std::shared_ptr<platform_call> call; ///< transaction in progress; at most one
    core::time_point nextPlatformCallAt{};
    core::time_point frequentPollUntil{};
    core::time_point stopDeadline = core::noDeadline; ///< deadline of a graceful stop
    std::map<core::resource_id, std::deque<waiting_statement>> waiting;
    std::vector<std::function<void()>> inbox; ///< events that arrived while the node was paused
    std::uint64_t bytesSent = 0;
};

struct listed_peer
{
    core::peer_ref peer;
    core::time_point from{};
    core::time_point until = core::noDeadline;
};

struct world_event
{
    core::time_point at{};
    std::uint64_t number = 0;
    std::function<void()> run;

    friend bool operator>(const world_event &left, const world_event &right)
    {
        return left.at == right.at ? left.number > right.number : left.at > right.at;
    }
};

/// State of the simulation.
/// Invariant: time never decreases; events at the same time run in the order of their creation.
struct limits_world
{
    limits_world_settings settings;
    core::random_engine random;
    core::time_point now{};
    std::uint64_t nextEvent = 0;
    std::priority_queue<world_event, std::vector<world_event>, std::greater<>> events;
    std::deque<world_node> nodes; ///< deque: references stay valid when a node is added
    std::map<core::incarnation_id, std::size_t> nodeByIncarnation;
    std::vector<listed_peer> list;
    std::vector<core::peer_ref> holdersComputedFor; ///< list from which `holders` was computed
    std::map<core::resource_id, std::vector<core::incarnation_id>> holders;
    core::incarnation_id nextIncarnation = 1;
    std::uint64_t nextTransaction = 1;

    core::table_view table;
    std::map<std::string, bool>
            transactionResults; ///< whether each transaction committed, by transaction id
    core::time_point platformUnavailableUntil{};
    core::time_point answersLostUntil{};
    std::map<core::zone_name, core::time_point> partitionedUntil;

    std::map<core::resource_id, core::token_bucket> exactByArrival;
    std::map<core::resource_id, core::token_bucket> exactByGrant;
    std::map<core::resource_id, workspace_result> results;
    std::map<core::resource_id, std::uint64_t> shareViolations;
    std::uint64_t tableViolations = 0;
    std::uint64_t grantViolations = 0; ///< grants that exceed the exact bucket
    std::uint64_t checks = 0;
    std::uint64_t messages = 0;
    std::uint64_t lapses = 0; ///< number of leases that lapsed at a running instance

    limits_world() = default;
    limits_world(const limits_world &) = delete;
    limits_world &operator=(const limits_world &) = delete;
};

/// @brief Creates the simulation and starts all instances.
[[nodiscard]] std::unique_ptr<limits_world> makeWorld(const limits_world_settings &settings);

/// @brief Advances virtual time by @p length and runs the events that become due.
void runFor(limits_world &world, core::duration length);

/// @brief Schedules an event.
void after(limits_world &world, core::duration delay, std::function<void()> event);

void pauseNode(limits_world &world, std::size_t node, core::duration length);
void killNode(limits_world &world, std::size_t node);
/// @brief Starts a new incarnation of a dead node.
void startNode(limits_world &world, std::size_t node);
/// @brief Stops a node gracefully and immediately starts a replacement with another instance name.
void replaceNode(limits_world &world, std::size_t node);
void cutZone(limits_world &world, std::size_t zone, core::duration length);
void stopPlatform(limits_world &world, core::duration length);
void loseAnswers(limits_world &world, core::duration length);

/// @return the number of violations that the checkers have found
[[nodiscard]] std::uint64_t violations(const limits_world &world);

/// @return the sum of the results of all workspaces
[[nodiscard]] workspace_result total(const limits_world &world);

} // namespace fuchsiagw::testing
