/// @file
/// @brief The identifiers that all packages share.

#pragma once

#include <fuchsiagw/core/named_id.hpp>

#include <array>
#include <cstdint>

namespace fuchsiagw::core {

using workspace_id = named_id<struct workspace_tag>;
using group_id = named_id<struct group_tag>;
using member_id = named_id<struct member_tag>;
using zone_name = named_id<struct zone_tag>;
using instance_id = named_id<struct instance_tag>;

/// Random number that an instance draws at start; a restarted instance has another one.
using incarnation_id = std::uint64_t;

/// Random number of one exchange with an upstream.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const request_id &, const request_id &) = default;
    friend auto operator<=>(const request_id &, const request_id &) = default;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(high, low);
    }
};

/// @return the id as 32 lower-case hexadecimal digits
[[nodiscard]] std::string toString(const request_id &id);

/// @brief Parses what toString() wrote.
/// @return false if @p text is not 32 hexadecimal digits; @p id is then unchanged
[[nodiscard]] bool fromString(const std::string &text, request_id &id);

} // namespace fuchsiagw::core
