/// @file
/// @brief Tests of the upper bound on the age of a replica's data.

#include <fuchsiagw/core/read_age.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <random>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

TEST_GROUP(read_age){};

// Guards against a computed age below the true age, which would let a replica serve reads that
// are too old. The test knows the true age and compares it with the bound after random events.
TEST(read_age, neverUnderestimates)
{
    std::mt19937_64 random(7);
    read_age ages;
    std::deque<std::pair<time_point, log_index>> writes{ { time_point{}, 1 } };
    time_point now{};
    for (int i = 0; i < 20000; ++i) {
        now += duration(random() % 5000);
        if (random() % 3 == 0)
            writes.emplace_back(now, writes.back().second + 1);
        if (random() % 2 == 0) {
            addSample(ages, now - duration(random() % 3000), { 1, writes.back().second });
            confirmSamples(ages, now);
        }
        CHECK_TRUE(ages.samples.size() <= maxReadAgeSamples);
        const auto &[ignored, applied] = writes[random() % writes.size()];
        const auto age = ageOf(ages, { 1, applied }, now);
        // The data up to `applied` is current until the next write.
        const bool isNewest = applied == writes.back().second;
        const duration trueAge = isNewest ? duration::zero() : now - writes[applied].first;
        CHECK_TRUE(!age || *age >= trueAge);
    }
}

// Guards against using samples from a deposed primary, whose log no longer grows: stale replicas
// would appear current.
TEST(read_age, usesOnlyConfirmedSamples)
{
    read_age ages;
    const time_point start{ 10s };
    addSample(ages, start, { 1, 5 });
    CHECK_FALSE(ageOf(ages, { 1, 5 }, start + 1ms).has_value());
    confirmSamples(ages, start);
    addSample(ages, start + 1s, { 1, 5 });
    CHECK_TRUE(ageOf(ages, { 1, 5 }, start + 1s) == duration(1s));
    dropUnconfirmed(ages);
    confirmSamples(ages, start + 2s);
    CHECK_TRUE(ageOf(ages, { 1, 5 }, start + 2s) == duration(2s));
}

// Guards against an age that does not grow while the primary is unreachable, and against an age for
// data that is older than all samples.
TEST(read_age, growsWithoutContactAndIsUnknownBelowAllSamples)
{
    read_age ages;
    addSample(ages, time_point(1s), { 1, 5 });
    confirmSamples(ages, time_point(1s));
    CHECK_TRUE(ageOf(ages, { 1, 9 }, time_point(61s)) == duration(60s));
    CHECK_FALSE(ageOf(ages, { 1, 4 }, time_point(2s)).has_value());
}
