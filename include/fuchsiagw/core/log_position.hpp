/// @file
/// @brief A place in a group's replicated log.

#pragma once

#include <compare>
#include <cstdint>

namespace fuchsiagw::core {

using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// Ordered by term, then by index: a later term's log replaces what an earlier one left
/// unconfirmed.
struct log_position
{
    term_number term = 0;
    log_index index = 0;

    friend auto operator<=>(const log_position &, const log_position &) = default;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(term, index);
    }
};

} // namespace fuchsiagw::core
