/// @file
/// @brief Identifiers of workspaces, groups, members, zones, instances and requests.

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

/// Random number that distinguishes an instance from its earlier and later runs. It is drawn at
/// start, and again when the previous one has expired.
using incarnation_id = std::uint64_t;

/// Random number that identifies one request to an upstream.
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

/// @brief Parses the result of toString().
/// @return false if @p text is not 32 hexadecimal digits; @p id is unchanged in this case
[[nodiscard]] bool fromString(const std::string &text, request_id &id);

} // namespace fuchsiagw::core
