/// @file
/// @brief Flags of fuchsiagwctl.

#pragma once

#include <absl/flags/declare.h>

#include <cstdint>
#include <string>

ABSL_DECLARE_FLAG(std::string, address);
ABSL_DECLARE_FLAG(std::string, secret_file);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(bool, wait);
ABSL_DECLARE_FLAG(std::int64_t, timeout_ms);
ABSL_DECLARE_FLAG(std::string, note);
ABSL_DECLARE_FLAG(double, rate);
ABSL_DECLARE_FLAG(double, burst);
ABSL_DECLARE_FLAG(std::string, groups);
ABSL_DECLARE_FLAG(std::int64_t, max_age_ms);
ABSL_DECLARE_FLAG(std::uint64_t, version);
ABSL_DECLARE_FLAG(std::string, against);
ABSL_DECLARE_FLAG(std::int64_t, for_s);
ABSL_DECLARE_FLAG(std::string, store);
ABSL_DECLARE_FLAG(double, from_s);
ABSL_DECLARE_FLAG(double, to_s);
