/// @file
/// @brief Row of the platform's store by which a daemon with the session interface registers.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagw::wire {

inline constexpr const char *instanceTable = "instances";
/// The whole of every limit, in millionths.
inline constexpr std::int64_t maxInstancePart = 1'000'000;

struct instance_row
{
    std::string address; ///< IP number
    std::string zone;
    std::uint64_t incarnation = 0; ///< of the process that wrote the row
    std::int64_t part = 0; ///< the instance's fraction of every limit, in millionths
    double capacity = 0; ///< processor cores of the instance; 0: unknown
};

[[nodiscard]] std::string toJson(const instance_row &row);
/// @return nullopt unless @p text is a JSON object whose part is at most maxInstancePart; a field
/// that is missing or does not fit its type is left empty
[[nodiscard]] std::optional<instance_row> readInstanceRow(const std::string &text);

} // namespace fuchsiagw::wire
