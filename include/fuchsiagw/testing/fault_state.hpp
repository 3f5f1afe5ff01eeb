/// @file
/// @brief One fault of a stand-in: whether it is on, and its value.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace fuchsiagw::testing {

struct fault_state
{
    bool on = false;
    std::optional<std::uint64_t> value; ///< milliseconds or a number of answers, see the kind
};

/// @return the value of a fault that delays; zero if it is off
[[nodiscard]] inline core::duration delayOf(const fault_state &fault)
{
    return fault.on ? std::chrono::milliseconds(fault.value.value_or(0)) : core::duration::zero();
}

/// @brief Counts one answer against the fault's value and switches the fault off after the last.
/// @return whether the fault concerns this answer
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
