/// @file
/// @brief Fixed-point arithmetic of the token bucket.

#include <fuchsiagw/core/token_bucket.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

constexpr std::int64_t microsecondsPerSecond = 1'000'000;

void checkInvariant([[maybe_unused]] const token_bucket &bucket)
{
    assert(bucket.level >= 0 && bucket.level <= bucket.capacity);
    assert(bucket.rate >= 0 && bucket.rate <= maxTokenRate);
    assert(bucket.fraction >= 0 && bucket.fraction < microsecondsPerSecond);
}

} // namespace

void refill(token_bucket &bucket, time_point now)
{
    if (now <= bucket.lastRefill)
        return;
    const std::int64_t elapsed = (now - bucket.lastRefill).count();
    bucket.lastRefill = now;
    if (bucket.rate == 0)
        return;
    const std::int64_t seconds = elapsed / microsecondsPerSecond;
    const std::int64_t rest = elapsed % microsecondsPerSecond;
    const token_amount missing = bucket.capacity - bucket.level;
    if (seconds > missing / bucket.rate) {
        bucket.level = bucket.capacity;
        bucket.fraction = 0;
        return;
    }
    const std::int64_t scaled = rest * bucket.rate + bucket.fraction;
    const token_amount earned = seconds * bucket.rate + scaled / microsecondsPerSecond;
    if (earned >= missing) {
        bucket.level = bucket.capacity;
        bucket.fraction = 0;
    } else {
        bucket.level += earned;
        bucket.fraction = scaled % microsecondsPerSecond;
    }
    checkInvariant(bucket);
}

void reconfigure(token_bucket &bucket, std::int64_t rate, token_amount capacity, time_point now)
{
    assert(rate >= 0 && rate <= maxTokenRate && capacity >= 0);
    refill(bucket, now);
    bucket.rate = rate;
    bucket.capacity = capacity;
    if (bucket.level >= capacity) {
        bucket.level = capacity;
        bucket.fraction = 0;
    }
    checkInvariant(bucket);
}

bool take(token_bucket &bucket, token_amount amount, time_point now)
{
    assert(amount >= 0);
    refill(bucket, now);
    if (bucket.level < amount)
        return false;
    bucket.level -= amount;
    return true;
}

token_amount takeUpTo(token_bucket &bucket, token_amount amount, time_point now)
{
    refill(bucket, now);
    const token_amount taken = std::clamp<token_amount>(amount, 0, bucket.level);
    bucket.level -= taken;
    return taken;
}

void deposit(token_bucket &bucket, token_amount amount, time_point now)
{
    assert(amount >= 0);
    refill(bucket, now);
    bucket.level += std::min(amount, bucket.capacity - bucket.level);
    checkInvariant(bucket);
}

time_point availableAt(const token_bucket &bucket, token_amount amount)
{
    if (bucket.level >= amount)
        return bucket.lastRefill;
    if (amount > bucket.capacity || bucket.rate == 0)
        return noDeadline;
    const token_amount missing = amount - bucket.level;
    const std::int64_t seconds = missing / bucket.rate;
    const std::int64_t scaled = (missing % bucket.rate) * microsecondsPerSecond;
    const std::int64_t rest = (scaled - bucket.fraction + bucket.rate - 1) / bucket.rate;
    return bucket.lastRefill + std::chrono::seconds(seconds)
           + duration(std::max<std::int64_t>(rest, 0));
}

} // namespace fuchsiagw::core
