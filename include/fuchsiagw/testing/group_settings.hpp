/// @file
/// @brief Settings of the stand-in for a database group.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>
#include <vector>

namespace fuchsiagw::testing {

/// Invariants: at least one member; `ports` and `zones` are empty or have one entry per member;
/// slots >= 1.
struct group_standin_settings
{
    core::group_id group;
    std::uint32_t members = 3; ///< named `<group>-1`, `<group>-2`...; the first is primary
    std::vector<std::uint16_t> ports; ///< 0 or missing: chosen by the kernel
    std::uint16_t faultPort = 0;
    std::vector<core::zone_name> zones;
    std::uint32_t slots = 2; ///< statements that a member executes concurrently
    std::uint32_t connections = 16; ///< limit on the data connections to all members together
    core::duration execute{ 0 }; ///< execution time of a statement
    core::duration lag{ 0 }; ///< mean replication lag; each copy takes 0.5 to 1.5 times as long
    core::duration applyLag{ 0 }; ///< additional time until reads return copied entries
    core::duration connect{ 0 }; ///< delay of the first statement of a connection
    std::uint64_t seed = 1;
    std::size_t historyLimit = 100'000; ///< statements; the oldest are evicted first
};

} // namespace fuchsiagw::testing
