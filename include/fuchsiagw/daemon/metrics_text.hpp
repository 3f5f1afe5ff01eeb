/// @file
/// @brief Prometheus text exposition format of the `GET /metrics` response.

#pragma once

#include <string>
#include <string_view>

namespace fuchsiagw::daemon {

struct metrics;

inline constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// @return a label's value with its quotes, backslashes and line ends escaped
[[nodiscard]] std::string escapeLabel(std::string_view value);

/// @brief Formats all metrics; series of workspaces and errors that never occurred are omitted.
/// @complexity linear in the number of series
[[nodiscard]] std::string metricsText(const metrics &all);

} // namespace fuchsiagw::daemon
