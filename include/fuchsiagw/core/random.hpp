/// @file
/// @brief Seeded random number generator.

#pragma once

#include <cstdint>
#include <random>

namespace fuchsiagw::core {

/// Generator of all random decisions. It is always passed as an argument, so that a run can be
/// reproduced from its seed.
using random_engine = std::mt19937_64;

/// @brief Draws a number below @p bound. The result for a seed is the same on all platforms.
/// @param bound greater than 0
/// @complexity constant
[[nodiscard]] inline std::uint64_t drawBelow(random_engine &random, std::uint64_t bound)
{
    return random() % bound;
}

} // namespace fuchsiagw::core
