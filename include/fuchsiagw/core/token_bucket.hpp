/// @file
/// @brief A token bucket in fixed-point numbers whose rate and capacity may change at any time.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <cstdint>

namespace fuchsiagw::core {

/// Millionths of a token. A statement costs one token.
using token_amount = std::int64_t;

inline constexpr token_amount oneToken = 1'000'000;

/// Millionths of a token per second. The bound keeps one second's refill inside 64 bits.
inline constexpr std::int64_t maxTokenRate = 9'000'000'000'000;

/// Invariant: 0 <= level <= capacity; 0 <= rate <= maxTokenRate; 0 <= fraction < 1'000'000.
struct token_bucket
{
    std::int64_t rate = 0; ///< millionths of a token per second
    token_amount capacity = 0;
    token_amount level = 0; ///< at lastRefill
    std::int64_t fraction = 0; ///< millionths of a millionth of a token earned beyond level
    time_point lastRefill{};
};

/// @brief Adds what was earned since the last refill. Time that goes back is ignored.
/// @complexity constant
void refill(token_bucket &bucket, time_point now);

/// @brief Changes rate and capacity. What was earned before counts at the old rate; what exceeds
/// the new capacity is lost.
/// @complexity constant
void reshape(token_bucket &bucket, std::int64_t rate, token_amount capacity, time_point now);

/// @brief Takes @p amount if the bucket has all of it.
/// @return whether it was taken
/// @complexity constant
[[nodiscard]] bool take(token_bucket &bucket, token_amount amount, time_point now);

/// @brief Takes as much of @p amount as there is.
/// @return what was taken
/// @complexity constant
token_amount takeUpTo(token_bucket &bucket, token_amount amount, time_point now);

/// @brief Adds tokens that came from another bucket; what exceeds the capacity is lost.
/// @complexity constant
void put(token_bucket &bucket, token_amount amount, time_point now);

/// @brief Tells when the bucket will hold @p amount if nothing is taken and nothing changes.
/// @return noDeadline if that never happens
/// @complexity constant
[[nodiscard]] time_point availableAt(const token_bucket &bucket, token_amount amount);

} // namespace fuchsiagw::core
