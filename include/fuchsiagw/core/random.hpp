/// @file
/// @brief The seeded generator that decisions draw from.

#pragma once

#include <cstdint>
#include <random>

namespace fuchsiagw::core {

/// Always passed in, so that a run can be repeated from its seed.
using random_engine = std::mt19937_64;

/// @brief Draws a number below @p bound, the same on every platform for the same seed.
/// @param bound greater than 0
/// @complexity constant
[[nodiscard]] inline std::uint64_t drawBelow(random_engine &random, std::uint64_t bound)
{
    return random() % bound;
}

} // namespace fuchsiagw::core
