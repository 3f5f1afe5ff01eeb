/// @file
/// @brief Whole instances, database groups, a platform and callers in virtual time, with faults.
///
/// The instances run core::gateway as the daemon does; the world carries out its actions. Members
/// are member_model, the platform is platform_model. Membership is simplified: an instance learns
/// with a lag which others are live and reachable.

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
    ZoneCut, ///< from the other zones
    ZoneCutFromPlatform,
    GatewayKilled,
    GatewayFrozen,
    KeyWithdrawn,
    PlatformDown,
    PlatformSlow,
    PlatformAnswerLost,
    LeaseLapsed, ///< frozen until the incarnation lease has lapsed
    ConnectionSilent, ///< connections open now are silent for good; new ones work
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

/// Where a statement stands when the fault begins.
enum class gateway_step : std::uint8_t {
    Admission,
    WaitingForToken,
    ForwardWritten,
    Queued, ///< in the queue, or routed without a connection
    ConnectionOpening,
    StatementSent,
    Confirming,
    AnswerOnItsWay,
    TransactionOpen,
    CommitSent,
};

inline constexpr std::array<std::string_view, 10> gatewayStepNames{
    "admission",      "waiting_for_token", "forward_written",   "queued",           "connecting",
    "statement_sent", "confirming",        "answer_on_its_way", "transaction_open", "commit_sent"
};

/// Deliberate errors, by which the checkers are checked: the one of the same place in requirement.
enum class gateway_defect : std::uint8_t {
    SessionForgotten, ///< the gateway is told nothing of the session's writes
    AcknowledgeAtOnce, ///< while promotions count on a majority
    ConnectionReused, ///< a statement goes out on the connection of an open transaction
    OtherWorkspace, ///< a request names another workspace
    KeyInField, ///< a request carries the key
    ProofWithoutQuestion, ///< a gateway proves its version to itself
    TokensRefilled, ///< a gateway's buckets are always full
    AnswersSwapped, ///< two members' answers change places, with the ids corrected
    ReportNotRun, ///< an unknown outcome is reported as `not_run`
    SentWriteRepeated, ///< a lost write is reported as never sent, so that it is sent again
    LeavingIgnored, ///< a leaving member still counts as live
    StopsAtOnce, ///< a draining gateway drops what it has accepted
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
    std::uint32_t connections = 16; ///< per group; section 1.4 of the design
    std::uint32_t slots = 2;
    core::duration betweenZones = std::chrono::milliseconds(4);
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
    std::uint64_t life = 0; ///< increases at each start; deliveries to an earlier one are dropped
    bool isUp = false;
    unsigned frozen = 0; ///< number of faults that hold it
    bool isStopping = false; ///< drains
    core::time_point stopsAt = core::noDeadline; ///< bound of the return of shares
    std::vector<std::function<void()>> inbox; ///< arrived while frozen
    std::map<std::size_t, core::time_point> heard; ///< other gateways
    std::vector<core::peer_ref> known; ///< as told to the gateway last
    /// Forwards that came in: the sender's place and life, and its handle.
    struct origin
    {
        std::size_t gateway = 0;
        std::uint64_t life = 0;
        std::uint64_t handle = 0;
    };
    std::map<std::uint64_t, origin> origins;
    std::uint64_t nextOrigin = 1;
    std::map<std::uint64_t, std::uint64_t> undecided; ///< handles that wait for a token, by ticket
    core::configuration_version recorded = 0;
};

/// A held `/wait`.
struct world_wait
{
    std::size_t gateway = 0;
    std::uint64_t life = 0;
    core::control_call call;
    core::time_point until;
};

struct world_member
{
    member_model model;
    std::size_t zoneNumber = 0;
    unsigned stopped = 0; ///< number of faults
    unsigned cutFromGroup = 0;
    unsigned cutFromGateways = 0;
    unsigned behind = 0;
    core::time_point leavingSince = core::noDeadline;
    std::uint64_t life = 0; ///< increases at each stop
    std::vector<core::time_point> slots; ///< when each is free
    std::vector<world_wait> waits;
};

/// A gateway's data connection.
struct world_connection
{
    std::size_t gateway = 0;
    std::uint64_t life = 0;
    core::group_id group;
    core::connection_id id = 0;
    std::size_t member = 0;
    connection_number number = 0;
    std::uint64_t memberLife = 0;
    bool isSilent = false;
    std::uint64_t exchange = 0; ///< number of the exchange under way; 0: none
};

/// What the faults do to messages now. Counters, because faults of one kind may overlap.
struct world_conditions
{
    std::map<std::size_t, unsigned> cutZones;
    std::map<std::size_t, unsigned> zonesWithoutPlatform;
    unsigned platformDown = 0;
    unsigned platformSlow = 0;
    unsigned answersLost = 0; ///< of the platform
    unsigned answersLate = 0;
    unsigned answersCrossed = 0;
    unsigned peersLost = 0;
    unsigned peersDoubled = 0;
};

/// A caller with its session; one request is under way at most.
struct world_session
{
    std::size_t number = 0;
    core::workspace_id workspace;
    core::key_hash key;
    core::group_id group;
    std::optional<core::session> known;
    std::uint64_t pending = 0; ///< operation under way
    std::uint64_t retry = 0; ///< operation to be repeated with its idempotency key
    unsigned retries = 0;
    std::uint64_t unit = 0; ///< transaction under way; 0: none
    unsigned unitStep = 0;
    std::optional<core::transaction_id> transaction;
    std::vector<std::uint64_t> unitItems; ///< acknowledged writes of the transaction
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

/// What a fault hits.
struct fault_target
{
    std::size_t gateway = 0;
    std::optional<std::size_t> member; ///< empty: the primary of the first group
};

/// A message that a cut holds back: a TCP connection repeats it.
struct held_message
{
    std::size_t from = 0;
    std::size_t to = 0;
    std::function<void()> deliver;
};

/// An answer that waits for another with which it changes places.
struct crossed_answer
{
    core::execute_answer answer;
    std::function<void(const core::execute_answer &)> deliver;
};

/// Nodes are numbered: gateways, then members.
/// Invariant: events at the same time run in the order of their creation.
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
    std::vector<held_message> held;
    std::map<std::pair<std::size_t, core::connection_id>, world_connection> connections;
    connection_number nextConnection = 1;
    std::uint64_t nextExchange = 1;
    std::uint64_t nextUnit = 1;
    std::set<connection_number> closed; ///< at their members
    std::optional<crossed_answer> crossed;
    std::optional<gateway_step> awaited; ///< step at which onStep is called, once
    std::function<void(const fault_target &)> onStep;
    bool areCallersStopped = false;
    gateway_history history;

    gateway_world() = default;
    gateway_world(const gateway_world &) = delete;
    gateway_world &operator=(const gateway_world &) = delete;
};

/// @brief Creates a world. Nothing has happened yet.
[[nodiscard]] std::unique_ptr<gateway_world> makeGatewayWorld(const gateway_world_settings &);

/// @brief Runs everything that is due in the next @p length.
void runFor(gateway_world &world, core::duration length);

/// @brief Schedules something.
void after(gateway_world &world, core::duration delay, std::function<void()> run);

/// @brief Starts a fault; it ends by itself, save for a withdrawn key and a leaving member.
void startFault(gateway_world &world, gateway_fault fault, const fault_target &target);

/// @brief Starts a fault once a statement reaches a step, at the latest after @p limit.
/// @param reached is set if the step was reached
void startFaultAt(gateway_world &world, gateway_fault fault, gateway_step step,
                  core::duration limit, bool *reached);

/// @brief Ends the callers' requests, lets everything settle and runs the checkers.
[[nodiscard]] std::vector<world_finding> finishWorld(gateway_world &world);

} // namespace fuchsiagw::testing
