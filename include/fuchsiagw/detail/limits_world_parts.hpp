/// @file
/// @brief Internal functions that the source files of the limits simulation share.

#pragma once

#include <fuchsiagw/testing/limits_world.hpp>

namespace fuchsiagw::testing {

/// @return a random number in [0, 1)
[[nodiscard]] double drawUnit(core::random_engine &random);
[[nodiscard]] core::resource_id workspaceOf(const world_workspace &workspace);
[[nodiscard]] core::resource_id groupOf();

/// @return the time on the clock of the node, which may drift
[[nodiscard]] core::time_point localTime(const limits_world &world, const world_node &node);
[[nodiscard]] bool isRunning(const limits_world &world, const world_node &node);

/// @return the index of the live node with this incarnation, or the number of nodes
[[nodiscard]] std::size_t findNode(const limits_world &world, core::incarnation_id incarnation);
[[nodiscard]] bool isPartitioned(const limits_world &world, const core::zone_name &zone);

/// @return the instances in the list of the platform, which lags by listLag
[[nodiscard]] std::vector<core::peer_ref> livePeers(const limits_world &world);

void checkShares(limits_world &world);
void checkPlatformTable(limits_world &world);

/// @brief Runs @p handle at a node; if the node is paused, after its pause.
void deliver(limits_world &world, std::size_t to, core::incarnation_id incarnation,
             const std::function<void(std::size_t)> &handle);
void sendMessage(limits_world &world, std::size_t from, core::incarnation_id to, std::int64_t bytes,
                 std::function<void(std::size_t)> handle);
void sendLoans(limits_world &world, std::size_t from,
               const std::vector<core::loan_message> &messages);
void admitWaitingStatements(limits_world &world, std::size_t index,
                            const core::resource_id &resource);

/// @brief Runs the periodic work of a node and schedules the next tick.
void tick(limits_world &world, std::size_t index, core::incarnation_id incarnation);

} // namespace fuchsiagw::testing
