/// @file
/// @brief Parts of a limit: what a daemon owns, lends and borrows.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace fuchsiagw::proxy {

/// Millionths of a workspace's rate and burst.
using limit_part = std::int64_t;

inline constexpr limit_part wholeLimit = 1'000'000;

/// A home may use a borrowed part this long after its question.
inline constexpr std::chrono::milliseconds partLeaseDuration{ 800 };
/// The lender waits this much longer, counted from its answer, so that clocks may drift apart.
inline constexpr std::chrono::milliseconds partLeaseMargin{ 50 };

struct borrowed_part
{
    limit_part part = 0;
    core::time_point until{};
};

/// What a daemon lends of one workspace's limit.
struct part_grant
{
    std::string workspace;
    limit_part part = 0;
    core::token_amount tokens = 0; ///< that the part has earned so far

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(workspace, part, tokens);
    }
};

} // namespace fuchsiagw::proxy
