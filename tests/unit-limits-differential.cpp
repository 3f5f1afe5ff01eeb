/// @file
/// @brief Compares random histories of nine instances with one exact token bucket.

#include <fuchsiagw/testing/limits_world.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;

namespace {

constexpr std::uint64_t histories = 60;
constexpr std::int64_t secondsPerHistory = 90;

limits_world_settings settingsOf(std::uint64_t seed)
{
    limits_world_settings settings;
    settings.seed = seed;
    settings.workspaces = {
        { "even", 100, 100, 90, {} },
        { "one", 100, 50, 95, { 1 } },
        { "excess", 50, 20, 250, { 5, 1, 1 } },
        { "tiny", 5, 5, 5, { 1, 0, 0, 3, 0, 0, 0, 1, 1 } },
    };
    settings.connections = 16;
    settings.lost = 0.02;
    settings.doubled = 0.05;
    settings.late = 0.02;
    return settings;
}

/// Injects a random fault. The faults of several calls may overlap in time.
void injectFault(limits_world &world, core::random_engine &random)
{
    const std::size_t node = core::drawBelow(random, world.nodes.size());
    const std::chrono::milliseconds length(100 + core::drawBelow(random, 12'000));
    switch (core::drawBelow(random, 7)) {
    case 0:
    case 1:
        pauseNode(world, node, length);
        break;
    case 2:
        killNode(world, node);
        after(world, length, [&world, node] { startNode(world, node); });
        break;
    case 3:
        if (world.nodes[node].isAlive && !world.nodes[node].isLeaving && world.nodes.size() < 20)
            replaceNode(world, node);
        break;
    case 4:
        cutZone(world, core::drawBelow(random, 3), length);
        break;
    case 5:
        stopPlatform(world, length);
        break;
    default:
        loseAnswers(world, length);
        break;
    }
}

} // namespace

TEST_GROUP(limits_differential){};

// Guards against a grant that a single token bucket for all instances would not have allowed, and
// against times at which the usable shares of all instances exceed the total.
TEST(limits_differential, randomHistoriesNeverExceedTheExactBucket)
{
    workspace_result all;
    std::uint64_t checks = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        const auto world = makeWorld(settingsOf(seed));
        core::random_engine random(seed * 1'000'003);
        for (std::int64_t second = 0; second < secondsPerHistory; second += 2) {
            runFor(*world, std::chrono::seconds(2));
            injectFault(*world, random);
        }
        const workspace_result sum = total(*world);
        if (violations(*world) > 0 || sum.granted == 0)
            std::printf("seed %llu: %llu grants, %llu above the exact bucket, %llu table sums\n",
                        static_cast<unsigned long long>(seed),
                        static_cast<unsigned long long>(sum.granted),
                        static_cast<unsigned long long>(world->grantViolations),
                        static_cast<unsigned long long>(world->tableViolations));
        LONGS_EQUAL(0, violations(*world));
        CHECK_TRUE(sum.granted > 0);
        all.granted += sum.granted;
        all.exactGranted += sum.exactGranted;
        checks += world->checks;
    }
    std::printf("seeds 1 to %llu: %llu grants, exact bucket %llu, %llu share checks\n",
                static_cast<unsigned long long>(histories),
                static_cast<unsigned long long>(all.granted),
                static_cast<unsigned long long>(all.exactGranted),
                static_cast<unsigned long long>(checks));
}

// Guards against a drift margin that is too small for clocks that run at different speeds, so that
// lender and borrower use the same share.
TEST(limits_differential, driftingClocksNeverUseTheSameShare)
{
    for (std::uint64_t seed = 101; seed <= 110; ++seed) {
        limits_world_settings settings = settingsOf(seed);
        settings.clockDrift = 0.0005;
        const auto world = makeWorld(settings);
        core::random_engine random(seed);
        for (std::int64_t second = 0; second < secondsPerHistory; second += 2) {
            runFor(*world, std::chrono::seconds(2));
            injectFault(*world, random);
        }
        for (const auto &[resource, count] : world->shareViolations)
            LONGS_EQUAL(0, count);
    }
}
