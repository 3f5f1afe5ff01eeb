/// @file
/// @brief Position in the replicated log of a group.

#pragma once

#include <compare>
#include <cstdint>

namespace fuchsiagw::core {

using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// Ordered by term, then by index, because the log of a later term replaces the unconfirmed entries
/// of earlier terms.
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
