/// @file
/// @brief One instance as a whole: what it does with a caller's statement, from the key to the
/// answer.

#pragma once

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/freshness.hpp>
#include <fuchsiagw/core/gateway_action.hpp>
#include <fuchsiagw/core/group_owner.hpp>
#include <fuchsiagw/core/key_check.hpp>
#include <fuchsiagw/core/limit_keeper.hpp>
#include <fuchsiagw/core/session.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagw::core {

/// A caller's request after parsing and before any check.
struct caller_request
{
    std::uint64_t ticket = 0; ///< names the caller's connection and request; unique
    key_hash key;
    std::optional<session> known; ///< the session of a token whose MAC was right
    bool hasSessionToken = false; ///< the request named a session, with or without usable token
    statement_request statement; ///< its workspace is not set yet
};

/// Another instance as far as this one knows.
struct peer_instance
{
    incarnation_id incarnation = 0;
    zone_name zone;
    std::string address;
    bool isLive = false; ///< neither leaving nor gone
    time_point avoidUntil{}; ///< after a forward to it failed
};

/// A statement that entered at this instance or was forwarded to it.
struct entry_statement
{
    std::uint64_t ticket = 0;
    std::optional<instance_id> from; ///< forwarded by this instance; empty: from a caller
    statement_request request;
    session known; ///< what the answer's token is made from
    std::optional<instance_id> forwardedTo;
    bool isWaiting = false; ///< for a token of its workspace
    bool mayHaveRun = false; ///< a forward was written whose answer never came
};

/// Invariants: every entry has a deadline in `deadlines`; `keys` belongs to `config`.
struct gateway
{
    instance_id instance;
    incarnation_id incarnation = 0;
    zone_name zone;
    owner_limits limits;
    std::size_t queueCapacity = 4096; ///< statements that may wait for one group
    acknowledgement_policy policy = acknowledgement_policy::Majority;

    configuration config;
    key_index keys;
    freshness proof;
    bool isDraining = false;

    std::map<instance_id, peer_instance> peers; ///< without this instance
    std::map<group_id, group_owner> owners;
    limit_keeper keeper; ///< rates, bursts and connections over all instances
    std::set<incarnation_id> ownIncarnations; ///< all that this process has had
    std::map<std::uint64_t, entry_statement> entries; ///< by handle
    std::set<std::pair<time_point, std::uint64_t>> deadlines;
    std::set<std::pair<time_point, std::uint64_t>> retries; ///< of the dispatch, by time
    std::uint64_t nextHandle = 1;
    time_point nextOwnerCheckAt{};
};

/// What each step of a gateway needs.
struct gateway_turn
{
    gateway &state;
    time_point now;
    random_engine &random;
    gateway_actions &actions;
};

/// @brief Prepares a gateway without configuration.
/// @param self its zone and instance; the incarnation is a fresh random number
[[nodiscard]] gateway makeGateway(const peer_ref &self, const keeper_settings &settings,
                                  time_point now);

/// @brief Takes in which entry instances are live.
void onLivePeers(gateway_turn &turn, std::vector<peer_ref> live);

/// @brief Hands an event to the keeper of the limits and passes its actions on.
/// @param step calls one of the functions of limit_keeper.hpp
template <typename function>
void withKeeper(gateway_turn &turn, function &&step);

/// @brief Turns the keeper's actions into the gateway's.
void applyActions(gateway_turn &turn, keeper_actions &&actions);

/// @brief Puts a configuration in force. Versions only go forward.
/// @return false if @p config is not newer than the one in force
/// @complexity linear in the configuration
bool applyConfiguration(gateway_turn &turn, const configuration &config);

/// @brief Takes in a caller's request. It ends with exactly one caller_reply.
void onCallerRequest(gateway_turn &turn, caller_request request);

/// @brief Takes in a statement that another instance forwarded. It ends with one forward_result.
/// @param ticket the forwarding instance's name for it
void onForwarded(gateway_turn &turn, const instance_id &from, std::uint64_t ticket,
                 statement_request request);

/// @brief Takes in the answer to a forwarded statement; one that comes late or twice is dropped.
void onForwardResult(gateway_turn &turn, const instance_id &from, std::uint64_t handle,
                     statement_answer answer);

/// @brief A forward could not be delivered, or its link closed before the answer.
/// @param wasWritten false only if no byte of it can have left
void onForwardFailed(gateway_turn &turn, std::uint64_t handle, bool wasWritten);

/// @brief Hands an event of the surroundings to the owner of @p group and passes its actions on.
/// @param step calls one of the functions of group_owner.hpp
template <typename function>
void withOwner(gateway_turn &turn, const group_id &group, function &&step);

/// @brief Does what is due.
void advance(gateway_turn &turn);

/// @return the time at which advance() must be called again at the latest
[[nodiscard]] time_point nextWakeup(const gateway &state);

/// @brief Begins a planned stop: owns nothing more, returns its shares when nothing is left to
/// answer.
void startDraining(gateway_turn &turn);

/// @return the instance that owns the zone's connections to a group; next ones in order after it
[[nodiscard]] std::vector<instance_id> rankOwners(const gateway &state, const group_id &group,
                                                  time_point now);

/// @return the owners of a group in the other zones, as far as this instance knows
[[nodiscard]] std::vector<instance_id> findOtherZoneOwners(const gateway &state,
                                                           const group_id &group);

/// @return whether every accepted request is answered and no transaction is open
[[nodiscard]] bool isDrained(const gateway &state);

/// @brief Turns an owner's actions into the gateway's; answers go to whoever sent the statement.
void applyActions(gateway_turn &turn, const group_id &group, owner_actions &&actions);

template <typename function>
void withKeeper(gateway_turn &turn, function &&step)
{
    keeper_actions actions;
    step(turn.state.keeper, actions);
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
