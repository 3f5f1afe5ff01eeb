/// @file
/// @brief Switch by which operators allow automatic promotions, a row of the platform's store.

#pragma once

#include <string>
#include <string_view>

namespace fuchsiagw::wire {

inline constexpr const char *automationTable = "automation";
/// Key of the row; a missing row allows promotions.
inline constexpr std::string_view promotionSwitchKey = "promotion";

struct automation_switch
{
    bool allowed = false;
};

[[nodiscard]] std::string toJson(const automation_switch &value);

/// @return the switch; `allowed` is false if @p row is malformed
[[nodiscard]] automation_switch readSwitch(const std::string &row);

} // namespace fuchsiagw::wire
