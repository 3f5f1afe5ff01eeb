/// @file
/// @brief State of a fault of a stand-in.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace fuchsiagw::testing {

struct fault_state
{
    bool on = false;
    std::optional<std::uint64_t>
            value; ///< milliseconds or number of answers, depending on the fault
};

/// @return the delay that the fault adds; zero if it is off
[[nodiscard]] inline core::duration delayOf(const fault_state &fault)
{
    return fault.on ? std::chrono::milliseconds(fault.value.value_or(0)) : core::duration::zero();
}

/// @brief Counts down the affected answers and switches the fault off after the last one.
/// @return whether the fault affects this answer
[[nodiscard]] inline bool consume(fault_state &fault)
{
    if (!fault.on || !fault.value.has_value())
        return fault.on;
    if (*fault.value == 0) {
        fault.on = false;
        return false;
    }
    --*fault.value;
    fault.on = *fault.value > 0;
    return true;
}

} // namespace fuchsiagw::testing
