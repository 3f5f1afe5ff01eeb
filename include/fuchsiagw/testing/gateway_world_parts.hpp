/// @file
/// @brief Steps shared by the source files of the gateway world.

#pragma once

#include <fuchsiagw/testing/gateway_world.hpp>

#include <functional>
#include <optional>

namespace fuchsiagw::testing {

/// @return the number of a member's node
[[nodiscard]] std::size_t memberNode(const gateway_world &world, std::size_t member);

[[nodiscard]] bool isLinkCut(const gateway_world &world, std::size_t from, std::size_t to);

[[nodiscard]] bool isPlatformCut(const gateway_world &world, std::size_t gateway);

/// @return one way, with jitter
[[nodiscard]] core::duration linkDelay(gateway_world &world, std::size_t from, std::size_t to);

/// @return whether an event of the given percentage happens
[[nodiscard]] bool draw(gateway_world &world, unsigned percent);

/// @brief Delivers over TCP: what a cut holds back arrives after its end.
void sendReliably(gateway_world &world, std::size_t from, std::size_t to,
                  std::function<void()> deliver);

/// @brief Delivers what no cut holds back any more.
void releaseHeld(gateway_world &world);

/// @brief Runs @p event at a gateway unless it has stopped since; a frozen one gets it later.
void atGateway(gateway_world &world, std::size_t gateway, std::uint64_t life,
               const std::function<void(core::gateway_turn &)> &event);

/// @brief Carries out a gateway's actions and records what has become of its statements.
void settleTurn(gateway_world &world, std::size_t gateway);

void startGateway(gateway_world &world, std::size_t gateway);
/// @brief Ends the process without any notice; its connections are reset.
void killGateway(gateway_world &world, std::size_t gateway);

/// @brief Carries out an action of an owner that concerns members.
void performUpstream(gateway_world &world, std::size_t gateway, core::group_action &&action);

/// @brief Copies the logs and answers the waits, over and over.
void replicate(gateway_world &world);

/// @brief Stops a member: its connections close, its log survives.
void stopMember(gateway_world &world, std::size_t member);

/// @return the member that leads the greatest term of its group
[[nodiscard]] std::size_t findPrimary(const gateway_world &world, const core::group_id &group);

/// @brief Tells a waiting fault that a statement has reached a step.
void reachStep(gateway_world &world, gateway_step step, std::size_t gateway,
               std::optional<std::size_t> member = std::nullopt);

/// @brief Starts the callers.
void startCallers(gateway_world &world);
/// @brief Takes a gateway's answer to the caller.
void takeReply(gateway_world &world, std::size_t gateway, core::caller_reply &&reply);

/// @return the place of the gateway with an incarnation; the number of gateways if there is none
[[nodiscard]] std::size_t findGateway(const gateway_world &world, core::incarnation_id incarnation);

} // namespace fuchsiagw::testing
