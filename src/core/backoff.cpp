/// @file
/// @brief Exponential backoff with jitter.

#include <fuchsiagw/core/backoff.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

void recordFailure(backoff &state, time_point now, random_engine &random)
{
    // Beyond this exponent every delay is maxBackoff; the bound avoids undefined behaviour of the
    // shift.
    constexpr std::uint32_t maxExponent = 20;
    const std::uint32_t exponent = std::min(state.failures, maxExponent);
    const duration full = std::min(initialBackoff * (std::int64_t{ 1 } << exponent), maxBackoff);
    const duration fixed = full * 3 / 4;
    const auto jitter = static_cast<std::uint64_t>((full - fixed).count());
    state.until = now + fixed + duration(drawBelow(random, jitter + 1));
    state.failures += state.failures < maxExponent ? 1 : 0;
    assert(state.failures > 0);
}

void recordSuccess(backoff &state)
{
    state = backoff{};
}

bool isBackedOff(const backoff &state, time_point now)
{
    return now < state.until;
}

} // namespace fuchsiagw::core
