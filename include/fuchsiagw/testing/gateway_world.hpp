/// @file
/// @brief Simulation of instances, database groups, a platform and callers, with fault injection.
///
/// Runs in virtual time. The instances run core::gateway as the daemon does, and the simulation
/// carries out the actions that they request. Database members are member_model, the platform is
/// platform_model. Membership is simplified: an instance learns after a delay which other instances
/// are live and reachable.

#pragma once

#include <fuchsiagw/core/gateway.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/testing/gateway_world_history.hpp>
#include <fuchsiagw/testing/member_model.hpp>
#include <fuchsiagw/testing/platform_model.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiagw::testing {

enum class gateway_fault : std::uint8_t {
    PrimaryStopped,
    PrimaryCutFromGroup,
    PrimaryCutFromGateways,
    ReplicaFarBehind,
    ZoneCut, ///< a zone is partitioned from the other zones
    ZoneCutFromPlatform,
    GatewayKilled,
    GatewayFrozen,
    KeyWithdrawn,
    PlatformDown,
    PlatformSlow,
    PlatformAnswerLost,
    LeaseLapsed, ///< a gateway is frozen until its incarnation lease has lapsed
    ConnectionSilent, ///< open connections never answer again; new ones work
    AnswersLate,
    AnswersCrossed,
    PeerMessagesLost,
    PeerMessagesDoubled,
    MemberLeaving,
    GatewayDraining,
};

inline constexpr std::array<std::string_view, 20> gatewayFaultNames{
    "primary_stopped",
    "primary_cut_from_group",
    "primary_cut_from_gateways",
    "replica_far_behind",
    "zone_cut",
    "zone_cut_from_platform",
    "gateway_killed",
    "gateway_frozen",
    "key_withdrawn",
    "platform_down",
    "platform_slow",
    "platform_answer_lost",
    "lease_lapsed",
    "connection_silent",
    "answers_late",
    "answers_crossed",
    "peer_messages_lost",
    "peer_messages_doubled",
    "member_leaving",
    "gateway_draining",
};

/// Progress of a statement at which a fault starts.
enum class gateway_step : std::uint8_t {
    Admission,
    WaitingForToken,
    ForwardWritten,
    Queued, ///< in the queue, or routed but without a connection
    ConnectionOpening,
    StatementSent,
    Confirming,
    AnswerInTransit,
    TransactionOpen,
    CommitSent,
};

inline constexpr std::array<std::string_view, 10> gatewayStepNames{
    "admission",      "waiting_for_token", "forward_written",   "queued",           "connecting",
    "statement_sent", "confirming",        "answer_on_its_way", "transaction_open", "commit_sent"
};

/// Injected defects that test the checkers. Each violates the requirement at the same position in
/// the enum requirement.
enum class gateway_defect : std::uint8_t {
    SessionForgotten, ///< requests carry no session token, so the session's writes are not tracked
    AcknowledgeAtOnce, ///< writes are acknowledged without a majority, which promotions rely on
    ConnectionReused, ///< a statement goes out on the connection of an open transaction
    OtherWorkspace, ///< a request names another workspace
    KeyInField, ///< a request carries the key
    ProofWithoutQuery, ///< a gateway counts its own configuration version as proven by the platform
    TokensRefilled, ///< the token buckets of a gateway are always full
    AnswersSwapped, ///< two answers are delivered to each other's requests, with matching ids
    ReportNotRun, ///< an unknown outcome is reported as `not_run`
    SentWriteRepeated, ///< a lost write is reported as never sent, which makes the gateway retry it
    LeavingIgnored, ///< a leaving member still counts as live
    StopsAtOnce, ///< a draining gateway drops the requests that it has accepted
    VersionReverts,
    None,
};

struct gateway_world_settings
{
    std::uint64_t seed = 1;
    std::size_t gateways = 6;
    std::size_t zones = 3;
    std::size_t groups = 1;
    std::size_t sessions = 20;
    /// Limit on the data connections to each group; see section 1.4 of the design.
    std::uint32_t connections = 16;
    std::uint32_t slots = 2;
    core::duration crossZoneDelay = std::chrono::milliseconds(4);
    core::duration connectionCost = std::chrono::milliseconds(12);
    core::duration replicaLag = std::chrono::milliseconds(5);
    bool isRateAmple = false; ///< no workspace exceeds its rate
    gateway_defect defect = gateway_defect::None;
};

struct world_gateway
{
    core::instance_id instance;
    core::zone_name zone;
    std::size_t zoneNumber = 0;
    core::gateway state;
    core::random_engine random;
    core::gateway_actions actions;
    std::uint64_t generation =
            0; ///< increases at each start; events for an earlier one are dropped
    bool isUp = false;
    unsigned freezeCount = 0; ///< number of active faults that freeze the gateway
    bool isStopping = false; ///< is draining
    core::time_point stopsAt = core::noDeadline; ///< deadline for returning its shares
    std::vector<std::function<void()>> inbox; ///< events that arrived while the gateway was frozen
    std::map<std::size_t, core::time_point> lastHeardAt; ///< by index of the other gateway
    std::vector<core::peer_ref> reportedPeers; ///< live peers last passed to the gateway
    /// Sender of a forwarded request: index, generation and handle of the request there.
    struct origin
    {
        std::size_t gateway = 0;
        std::uint64_t generation = 0;
        std::uint64_t handle = 0;
    };
    std::map<std::uint64_t, origin> origins;
    std::uint64_t nextOrigin = 1;
    std::map<std::uint64_t, std::uint64_t>
            awaitingToken; ///< by ticket: handle of each request that waits for a rate limit token
    core::configuration_version recordedVersion = 0;
};

/// A `/wait` request that a member has not answered yet.
struct world_wait
{
    std::size_t gateway = 0;
    std::uint64_t generation = 0;
    core::control_call call;
    core::time_point expiresAt;
};

struct world_member
{
    member_model model;
    std::size_t zoneNumber = 0;
    unsigned stopCount = 0; ///< number of active faults that stop the member
    unsigned groupCutCount = 0;
    unsigned gatewayCutCount = 0;
    unsigned lagFaultCount = 0;
    core::time_point leavingSince = core::noDeadline;
    std::uint64_t generation = 0; ///< increases at each stop
    std::vector<core::time_point> slotsFreeAt; ///< when each execution slot becomes free
    std::vector<world_wait> waits;
};

/// Connection of a gateway to a member for statements.
struct world_connection
{
    std::size_t gateway = 0;
    std::uint64_t generation = 0;
    core::group_id group;
    core::connection_id id = 0;
    std::size_t member = 0;
    connection_number number = 0;
    std::uint64_t memberGeneration = 0;
    bool isSilent = false;
    std::uint64_t exchange = 0; ///< number of the statement in progress; 0: none
};

/// Active network and platform faults. They are counted because faults of one kind can overlap.
struct world_conditions
{
    std::map<std::size_t, unsigned> cutZones;
    std::map<std::size_t, unsigned> zonesWithoutPlatform;
    unsigned platformDown = 0;
    unsigned platformSlow = 0;
    unsigned answersLost = 0; ///< answers of the platform
    unsigned answersLate = 0;
    unsigned answersCrossed = 0;
    unsigned peersLost = 0;
    unsigned peersDoubled = 0;
};

/// A caller and its session. At most one request is in progress.
struct world_session
{
    std::size_t number = 0;
    core::workspace_id workspace;
    core::key_hash key;
    core::group_id group;
    std::optional<core::session> known;
    std::uint64_t pending = 0; ///< number of the operation in progress; 0: none
    std::uint64_t retry = 0; ///< operation to retry with its idempotency key; 0: none
    unsigned retries = 0;
    std::uint64_t transactionNumber = 0; ///< transaction in progress; 0: none
    unsigned transactionStep = 0;
    std::optional<core::transaction_id> transaction;
    std::vector<std::uint64_t> transactionItems; ///< acknowledged writes of the transaction
    std::size_t gateway = 0;
};

struct world_callback
{
    core::time_point at;
    std::uint64_t number = 0;
    std::function<void()> run;

    friend bool operator>(const world_callback &left, const world_callback &right)
    {
        return left.at == right.at ? left.number > right.number : left.at > right.at;
    }
};

/// Instance or member that a fault affects.
struct fault_target
{
    std::size_t gateway = 0;
    std::optional<std::size_t> member; ///< empty: the primary of the first group
};

/// A message blocked by a network partition. TCP delivers it once the partition ends.
struct blocked_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    std::function<void()> deliver;
};

/// An answer that waits to be swapped with the next answer.
struct crossed_answer
{
    core::execute_answer answer;
    std::function<void(const core::execute_answer &)> deliver;
};

/// State of the simulation. Nodes are numbered: gateways first, then members.
/// Invariant: callbacks that are due at the same time run in the order of their creation.
struct gateway_world
{
    gateway_world_settings settings;
    core::random_engine random;
    core::time_point now{ std::chrono::seconds(100) };
    std::uint64_t nextCallback = 0;
    std::priority_queue<world_callback, std::vector<world_callback>, std::greater<>> callbacks;
    std::deque<world_gateway> gateways;
    std::deque<world_member> members;
    std::vector<world_session> sessions;
    platform_model platform;
    std::vector<core::configuration> versions;
    world_conditions conditions;
    std::vector<blocked_message> blockedMessages;
    std::map<std::pair<std::size_t, core::connection_id>, world_connection> connections;
    connection_number nextConnection = 1;
    std::uint64_t nextExchange = 1;
    std::uint64_t nextTransactionNumber = 1;
    std::set<connection_number> closed; ///< connections that their members have closed
    std::optional<crossed_answer> crossed;
    std::optional<gateway_step> awaitedStep; ///< step at which onStep is called once
    std::function<void(const fault_target &)> onStep;
    bool areCallersStopped = false;
    gateway_history history;

    gateway_world() = default;
    gateway_world(const gateway_world &) = delete;
    gateway_world &operator=(const gateway_world &) = delete;
};

/// @brief Creates a simulation. No callback has run yet.
[[nodiscard]] std::unique_ptr<gateway_world> makeGatewayWorld(const gateway_world_settings &);

/// @brief Advances virtual time by @p length and runs the callbacks that become due.
void runFor(gateway_world &world, core::duration length);

/// @brief Schedules a callback.
void after(gateway_world &world, core::duration delay, std::function<void()> run);

/// @brief Starts a fault. It ends after a fixed time, except a withdrawn key and a leaving member,
/// which are permanent.
void startFault(gateway_world &world, gateway_fault fault, const fault_target &target);

/// @brief Starts a fault when a statement reaches a step, or after @p limit if none does.
/// @param reached set to true if a statement reached the step
void startFaultAt(gateway_world &world, gateway_fault fault, gateway_step step,
                  core::duration limit, bool *reached);

/// @brief Stops new requests, runs until the system is stable and runs the checkers.
[[nodiscard]] std::vector<world_finding> finishWorld(gateway_world &world);

} // namespace fuchsiagw::testing
