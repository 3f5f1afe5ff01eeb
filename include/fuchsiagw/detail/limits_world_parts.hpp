/// @file
/// @brief What the sources of the virtual world share.

#pragma once

#include <fuchsiagw/testing/limits_world.hpp>

namespace fuchsiagw::testing {

[[nodiscard]] double drawUnit(core::random_engine &random);
[[nodiscard]] core::resource_id workspaceOf(const world_workspace &workspace);
[[nodiscard]] core::resource_id groupOf();

/// @return the time on the node's own clock
[[nodiscard]] core::time_point localTime(const limits_world &world, const world_node &node);
[[nodiscard]] bool isRunning(const limits_world &world, const world_node &node);

/// @return the index of the living node, or the number of nodes
[[nodiscard]] std::size_t nodeOf(const limits_world &world, core::incarnation_id incarnation);
[[nodiscard]] bool isCut(const limits_world &world, const core::zone_name &zone);

/// @return the instances that the lagging list shows
[[nodiscard]] std::vector<core::peer_ref> livePeers(const limits_world &world);

void checkShares(limits_world &world);
void checkTable(limits_world &world);

/// @brief Delivers to a node, after its pause if it is paused.
void deliver(limits_world &world, std::size_t to, core::incarnation_id incarnation,
             const std::function<void(std::size_t)> &handle);
void sendTo(limits_world &world, std::size_t from, core::incarnation_id to, std::int64_t bytes,
            std::function<void(std::size_t)> handle);
void sendLoans(limits_world &world, std::size_t from,
               const std::vector<core::loan_message> &messages);
void serveWaiting(limits_world &world, std::size_t index, const core::resource_id &resource);

/// @brief Runs the periodic work of a node and schedules the next.
void tick(limits_world &world, std::size_t index, core::incarnation_id incarnation);

} // namespace fuchsiagw::testing
