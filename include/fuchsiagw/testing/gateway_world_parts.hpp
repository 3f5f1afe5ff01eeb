/// @file
/// @brief Internal functions that the source files of the gateway simulation share.

#pragma once

#include <fuchsiagw/testing/gateway_world.hpp>

#include <functional>
#include <optional>

namespace fuchsiagw::testing {

/// @return the node number of a member
[[nodiscard]] std::size_t memberNode(const gateway_world &world, std::size_t member);

[[nodiscard]] bool isLinkCut(const gateway_world &world, std::size_t from, std::size_t to);

[[nodiscard]] bool isPlatformCut(const gateway_world &world, std::size_t gateway);

/// @return the one-way delay of a link, with jitter
[[nodiscard]] core::duration linkDelay(gateway_world &world, std::size_t from, std::size_t to);

/// @return true with a probability of @p percent
[[nodiscard]] bool drawPercent(gateway_world &world, unsigned percent);

/// @brief Sends over TCP: a message that a partition blocks is delivered after the partition ends.
void sendReliably(gateway_world &world, std::size_t from, std::size_t to,
                  std::function<void()> deliver);

/// @brief Sends the blocked messages again; those whose link is still cut stay blocked.
void resendBlocked(gateway_world &world);

/// @brief Runs @p event at a gateway unless the gateway has stopped since the event was created. If
/// the gateway is frozen, the event runs when the freeze ends.
void runAtGateway(gateway_world &world, std::size_t gateway, std::uint64_t generation,
                  const std::function<void(core::gateway_turn &)> &event);

/// @brief Carries out the pending actions of a gateway and records its grants and its version.
void completeTurn(gateway_world &world, std::size_t gateway);

void startGateway(gateway_world &world, std::size_t gateway);
/// @brief Kills the process without a graceful shutdown; its connections are reset.
void killGateway(gateway_world &world, std::size_t gateway);

/// @brief Carries out an action of a group owner on a connection or a member.
void performUpstream(gateway_world &world, std::size_t gateway, core::group_action &&action);

/// @brief Replicates the logs, answers the `/wait` requests that are due and schedules itself
/// again.
void replicate(gateway_world &world);

/// @brief Stops a member. Its connections close; its log is kept.
void stopMember(gateway_world &world, std::size_t member);

/// @return the primary with the highest term in the group; without a primary, the member with the
/// highest term
[[nodiscard]] std::size_t findPrimary(const gateway_world &world, const core::group_id &group);

/// @brief Triggers the fault that waits for a statement to reach @p step.
void reachStep(gateway_world &world, gateway_step step, std::size_t gateway,
               std::optional<std::size_t> member = std::nullopt);

void startCallers(gateway_world &world);
/// @brief Records the answer of a gateway and delivers it to the caller.
void onCallerReply(gateway_world &world, std::size_t gateway, core::caller_reply &&reply);

/// @return the index of the running gateway with this incarnation, or the number of gateways
[[nodiscard]] std::size_t findGateway(const gateway_world &world, core::incarnation_id incarnation);

} // namespace fuchsiagw::testing
