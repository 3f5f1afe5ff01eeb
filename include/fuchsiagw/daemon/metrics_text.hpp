/// @file
/// @brief The text exposition format in which `GET /metrics` answers.

#pragma once

#include <string>
#include <string_view>

namespace fuchsiagw::daemon {

struct metrics;

inline constexpr std::string_view metricsContentType = "text/plain; version=0.0.4; charset=utf-8";

/// @brief Writes every metric; series of workspaces and errors that never occurred are left out.
/// @complexity linear in the number of series
[[nodiscard]] std::string metricsText(const metrics &all);

} // namespace fuchsiagw::daemon
