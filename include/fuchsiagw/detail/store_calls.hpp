/// @file
/// @brief Constants of calls to the platform's store, shared by the source files of store_client.

#pragma once

#include <chrono>

namespace fuchsiagw::daemon {

inline constexpr std::chrono::milliseconds callTimeout{ 1'500 };

inline constexpr int statusOk = 200;
inline constexpr int statusConflict = 409;
inline constexpr int statusGone = 410;
inline constexpr int statusConditionFailed = 412;
inline constexpr int statusUnavailable = 503; ///< nothing was done
inline constexpr int statusNoResponse = 0;

} // namespace fuchsiagw::daemon
