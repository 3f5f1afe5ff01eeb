/// @file
/// @brief The row of the platform's store in which a daemon with the session interface says that it
/// takes part.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiagw::wire {

inline constexpr const char *instanceTable = "instances";

struct instance_row
{
    std::string address; ///< IP number
    std::string zone;
    std::uint64_t incarnation = 0; ///< of the process that wrote the row
    std::int64_t part = 0; ///< of every limit, in millionths
};

[[nodiscard]] std::string toJson(const instance_row &row);
/// @return nothing if it is no object; fields of another type are taken as empty
[[nodiscard]] std::optional<instance_row> readInstanceRow(const std::string &text);

} // namespace fuchsiagw::wire
