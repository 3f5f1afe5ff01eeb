/// @file
/// @brief State and event handlers of one instance: authentication, admission, forwarding and
/// answering of callers' statements.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/freshness.hpp>
#include <fuchsiagw/core/gateway_action.hpp>
#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/core/key_check.hpp>
#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/session.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagw::core {

/// A caller's parsed request before authentication and validation.
struct caller_request
{
    std::uint64_t ticket = 0; ///< unique number of the caller's connection and request
    key_hash key;
    std::optional<session> sessionState; ///< decoded from a session token whose MAC is valid
    bool hasSessionToken = false; ///< the request carried a session token, valid or not
    statement_request statement; ///< its workspace is set after authentication
};

/// What this instance knows of another instance.
struct peer_instance
{
    incarnation_id incarnation = 0;
    zone_name zone;
    std::string address;
    bool isLive = false; ///< neither leaving nor gone
    time_point avoidUntil{}; ///< not selected as owner before this time, after a failed forward
};

/// An unanswered statement, received from a caller or forwarded by another instance.
struct entry_statement
{
    std::uint64_t ticket = 0; ///< request number of the sender, a caller or instance `from`
    std::optional<instance_id> from; ///< the forwarding instance; empty: received from a caller
    statement_request request;
    session sessionState; ///< encoded in the session token of the answer
    std::optional<instance_id> forwardedTo;
    bool isWaiting = false; ///< waits for a rate limit token of its workspace
    bool mayHaveRun = false; ///< a forward was written but not answered
};

/// State of one instance. Invariants: every entry has a deadline in `deadlines`; `keys` is the
/// index of `config`.
struct gateway
{
    instance_id instance;
    incarnation_id incarnation = 0;
    zone_name zone;
    owner_limits limits;
    std::size_t queueCapacity = 4096; ///< maximum of queued statements for one group
    acknowledgement_policy policy = acknowledgement_policy::Majority;

    configuration config;
    key_index keys;
    freshness proof;
    bool isDraining = false;

    std::map<instance_id, peer_instance> peers; ///< all instances except this one
    std::map<group_id, group_owner> owners;
    limit_manager limitManager; ///< enforces rates, bursts and connection limits across instances
    std::set<incarnation_id> ownIncarnations; ///< the current and all earlier ones of this process
    std::map<std::uint64_t, entry_statement> entries; ///< by handle
    std::set<std::pair<time_point, std::uint64_t>> deadlines;
    std::set<std::pair<time_point, std::uint64_t>>
            retries; ///< statements to dispatch again (time, handle)
    std::uint64_t nextHandle = 1;
    time_point nextOwnerCheckAt{};
};

/// Arguments that all event handlers of a gateway share.
struct gateway_turn
{
    gateway &state;
    time_point now;
    random_engine &random;
    gateway_actions &actions;
};

/// @brief Creates a gateway without configuration.
/// @param self identifies the instance and its zone; the incarnation must be a new random number
[[nodiscard]] gateway makeGateway(const peer_ref &self, const limit_manager_settings &settings,
                                  time_point now);

/// @brief Handles a change of the set of live instances.
void onLivePeers(gateway_turn &turn, std::vector<peer_ref> live);

/// @brief Calls @p step with the limit manager and applies the actions that it returns.
/// @param step calls one of the functions of limit_manager.hpp
template <typename function>
void withLimitManager(gateway_turn &turn, function &&step);

/// @brief Applies the limit manager's actions to the gateway or adds them to the gateway's actions.
void applyActions(gateway_turn &turn, limit_manager_actions &&actions);

/// @brief Applies a configuration. An equal or older version is ignored.
/// @return false if @p config is not newer than the one in force
/// @complexity linear in the configuration
bool applyConfiguration(gateway_turn &turn, const configuration &config);

/// @brief Handles a caller's request. Each request results in exactly one caller_reply.
void onCallerRequest(gateway_turn &turn, caller_request request);

/// @brief Handles a statement that another instance forwarded. Each one results in exactly one
/// forward_result.
/// @param ticket number that the forwarding instance gave to the statement
void onForwarded(gateway_turn &turn, const instance_id &from, std::uint64_t ticket,
                 statement_request request);

/// @brief Handles the answer to a forwarded statement. Late and duplicate answers are dropped.
void onForwardResult(gateway_turn &turn, const instance_id &from, std::uint64_t handle,
                     statement_answer answer);

/// @brief Handles a forward that could not be delivered or whose link closed before the answer.
/// @param wasWritten false only if no byte of the forward can have been sent
void onForwardFailed(gateway_turn &turn, std::uint64_t handle, bool wasWritten);

/// @brief Calls @p step with the owner of @p group and applies the actions that it returns. Does
/// nothing if this instance has no owner of @p group.
/// @param step calls one of the functions of group_owner.hpp
template <typename function>
void withOwner(gateway_turn &turn, const group_id &group, function &&step);

/// @brief Runs the timers that are due: ownership checks, owners, retries, limits and deadlines.
void advance(gateway_turn &turn);

/// @return the latest time at which advance() must be called again
[[nodiscard]] time_point nextWakeup(const gateway &state);

/// @brief Starts a planned stop. The instance gives up ownership of all groups and returns its
/// shares of the limits once every statement is answered.
void startDraining(gateway_turn &turn);

/// @return the instances of this zone in order of preference as owner of the zone's connections to
/// @p group; the first one is the owner
[[nodiscard]] std::vector<instance_id> rankOwners(const gateway &state, const group_id &group,
                                                  time_point now);

/// @return the owners of @p group in the other zones according to the peers that this instance
/// knows
[[nodiscard]] std::vector<instance_id> findOtherZoneOwners(const gateway &state,
                                                           const group_id &group);

/// @return whether every accepted request is answered and no transaction is open
[[nodiscard]] bool isDrained(const gateway &state);

/// @brief Adds the actions of an owner to the gateway's actions. A finished statement is answered
/// to the caller or the instance that sent it.
void applyActions(gateway_turn &turn, const group_id &group, owner_actions &&actions);

template <typename function>
void withLimitManager(gateway_turn &turn, function &&step)
{
    limit_manager_actions actions;
    step(turn.state.limitManager, actions);
    applyActions(turn, std::move(actions));
}

template <typename function>
void withOwner(gateway_turn &turn, const group_id &group, function &&step)
{
    const auto owner = turn.state.owners.find(group);
    if (owner == turn.state.owners.end())
        return;
    owner_actions actions;
    step(owner->second, actions);
    applyActions(turn, group, std::move(actions));
}

} // namespace fuchsiagw::core
