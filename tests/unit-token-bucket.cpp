/// @file
/// @brief Tests of the fixed-point token bucket: rounding, overflow and changes of the rate.

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/token_bucket.hpp>

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace fuchsiagw::core;

namespace {

time_point at(std::int64_t micros)
{
    return time_point(duration(micros));
}

} // namespace

TEST_GROUP(token_bucket){};

// Guards against rounding in the refill arithmetic that drops the fractions of a slow rate, or that
// yields a token before it has accrued.
TEST(token_bucket, slowRefillIsExactToTheMicrosecond)
{
    token_bucket bucket;
    reconfigure(bucket, 3, oneToken, at(0)); // one token per 333,333.33 s
    const time_point due = availableAt(bucket, oneToken);
    for (std::int64_t i = 1; i < 1000; ++i)
        refill(bucket, at(i * 333'000'000));
    CHECK_FALSE(take(bucket, oneToken, due - duration(1)));
    CHECK_TRUE(take(bucket, oneToken, due));
}

// Guards against a change of the rate that is applied to the time before the change.
TEST(token_bucket, changedRateDoesNotApplyToEarlierTime)
{
    token_bucket bucket;
    reconfigure(bucket, oneToken, 100 * oneToken, at(0));
    reconfigure(bucket, 50 * oneToken, 100 * oneToken, at(2'000'000));
    LONGS_EQUAL(2 * oneToken, bucket.level);
    reconfigure(bucket, 50 * oneToken, oneToken, at(2'000'000));
    LONGS_EQUAL(oneToken, bucket.level);
}

// Guards against integer overflow when a suspended process resumes after a long time, and against
// a clock that goes back.
TEST(token_bucket, survivesExtremeTimes)
{
    token_bucket bucket;
    reconfigure(bucket, maxTokenRate, maxTokenRate, at(0));
    refill(bucket, at(999'999));
    CHECK_TRUE(bucket.level < maxTokenRate);
    refill(bucket, at(std::numeric_limits<std::int64_t>::max()));
    LONGS_EQUAL(maxTokenRate, bucket.level);
    CHECK_TRUE(take(bucket, maxTokenRate, at(5)));
    LONGS_EQUAL(0, bucket.level);
}

// Guards against a bucket that grants more tokens than accrued while rate and capacity change at
// random.
TEST(token_bucket, neverGrantsMoreThanEarned)
{
    random_engine random(7);
    token_bucket bucket;
    double earned = 0;
    double granted = 0;
    std::int64_t now = 0;
    for (int i = 0; i < 20'000; ++i) {
        const auto step = static_cast<std::int64_t>(drawBelow(random, 5'000));
        earned += static_cast<double>(step) * static_cast<double>(bucket.rate) / 1e6;
        now += step;
        if (drawBelow(random, 4) == 0)
            reconfigure(bucket, static_cast<std::int64_t>(drawBelow(random, 900) * oneToken),
                        static_cast<token_amount>(drawBelow(random, 20) * oneToken), at(now));
        granted += static_cast<double>(takeUpTo(
                bucket, static_cast<token_amount>(drawBelow(random, 3) * oneToken), at(now)));
        CHECK_TRUE(granted <= earned + 1);
    }
    CHECK_TRUE(granted > 0);
}
