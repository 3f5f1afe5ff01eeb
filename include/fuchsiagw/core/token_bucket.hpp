/// @file
/// @brief Token bucket in fixed-point arithmetic. Rate and capacity may change at any time.

#pragma once

#include <fuchsiagw/core/time.hpp>

#include <cstdint>

namespace fuchsiagw::core {

/// Tokens in millionths. A statement costs one token.
using token_amount = std::int64_t;

inline constexpr token_amount oneToken = 1'000'000;

/// Millionths of a token per second. The bound keeps the refill of one second within 64 bits.
inline constexpr std::int64_t maxTokenRate = 9'000'000'000'000;

/// Invariant: 0 <= level <= capacity; 0 <= rate <= maxTokenRate; 0 <= fraction < 1'000'000.
struct token_bucket
{
    std::int64_t rate = 0; ///< millionths of a token per second
    token_amount capacity = 0;
    token_amount level = 0; ///< at the time lastRefill
    std::int64_t fraction = 0; ///< refilled beyond level, in millionths of the unit of level
    time_point lastRefill{};
};

/// @brief Adds the tokens that accrued since the last refill. A time before the last refill changes
/// nothing.
/// @complexity constant
void refill(token_bucket &bucket, time_point now);

/// @brief Changes rate and capacity. Time before @p now is refilled at the old rate; tokens above
/// the new capacity are discarded.
/// @complexity constant
void reconfigure(token_bucket &bucket, std::int64_t rate, token_amount capacity, time_point now);

/// @brief Takes @p amount if the bucket holds at least that much, else nothing.
/// @return whether the amount was taken
/// @complexity constant
[[nodiscard]] bool take(token_bucket &bucket, token_amount amount, time_point now);

/// @brief Takes @p amount, or the whole level if the bucket holds less.
/// @return the amount taken
/// @complexity constant
token_amount takeUpTo(token_bucket &bucket, token_amount amount, time_point now);

/// @brief Adds tokens transferred from another bucket; tokens above the capacity are discarded.
/// @complexity constant
void deposit(token_bucket &bucket, token_amount amount, time_point now);

/// @brief Computes when the bucket will hold @p amount if no tokens are taken and rate and capacity
/// stay the same.
/// @return noDeadline if the bucket never reaches @p amount
/// @complexity constant
[[nodiscard]] time_point availableAt(const token_bucket &bucket, token_amount amount);

} // namespace fuchsiagw::core
