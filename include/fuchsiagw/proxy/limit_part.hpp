/// @file
/// @brief Parts of a rate limit that daemons own, lend and borrow under leases.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace fuchsiagw::proxy {

/// Part of a workspace's rate and burst, in millionths.
using limit_part = std::int64_t;

inline constexpr limit_part wholeLimit = 1'000'000;

/// Duration of the lease on a borrowed part, counted by the home from its request.
inline constexpr std::chrono::milliseconds partLeaseDuration{ 800 };
/// The lender adds this margin, and counts from its answer, to allow for clock drift.
inline constexpr std::chrono::milliseconds partLeaseMargin{ 50 };

struct borrowed_part
{
    limit_part part = 0;
    core::time_point until{};
};

/// Grant of a lease on a part of one workspace's limit.
struct part_grant
{
    std::string workspace;
    limit_part part = 0;
    core::token_amount tokens = 0; ///< content of the lender's bucket

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(workspace, part, tokens);
    }
};

} // namespace fuchsiagw::proxy
