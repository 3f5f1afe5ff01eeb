/// @file
/// @brief Tests of the limits over whole daemons that are cut off, frozen, slow, restarted or new.

#include "quota-cluster.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;

namespace {

constexpr milliseconds settling{ 14'000 }; // until all daemons know each other and fill
constexpr std::uint64_t seeds = 5;

void checkLimit(const quota_cluster &world, std::uint64_t seed)
{
    const std::size_t most = world.mostInWindow();
    const std::size_t allowed =
            quota_cluster::allowed(quota_cluster::ratePerSecond, quota_cluster::burst);
    if (most > allowed)
        UT_PRINT(StringFromFormat("seed %d: %d operations of %d allowed", static_cast<int>(seed),
                                  static_cast<int>(most), static_cast<int>(allowed)));
    CHECK_TRUE(most <= allowed);
}

/// Lets each seed's daemons settle, harms them, and checks every window.
void checkWith(const std::function<void(quota_cluster &)> &harm)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        quota_cluster world(seed);
        world.pass(settling);
        harm(world);
        checkLimit(world, seed);
    }
}

/// One fault of any kind that ends by itself within a few seconds.
void disturb(quota_cluster &world, std::vector<std::string> &cut)
{
    const std::vector<std::string> some = world.draw(1 + world.below(4));
    switch (world.below(7)) {
    case 0:
    case 1:
        world.setCutOff(some, true);
        cut = some;
        break;
    case 2:
        for (const std::string &name : some)
            world.daemons.at(name).frozenUntil = world.now + milliseconds(500 + world.below(3'500));
        break;
    case 3:
        for (const std::string &name : some)
            world.daemons.at(name).slowUntil = world.now + milliseconds(4'000);
        break;
    case 4:
        for (const std::string &name : some)
            world.kill(name, milliseconds(300 + world.below(1'500)));
        break;
    case 5:
        world.cutZones = { "z" + std::to_string(world.below(3)) };
        break;
    default:
        for (const std::string &name : some)
            world.daemons.at(name).storeCut = true;
        world.addDaemon("new-" + std::to_string(world.daemons.size()),
                        "z" + std::to_string(world.below(3)));
        break;
    }
}

void calm(quota_cluster &world, std::vector<std::string> &cut)
{
    world.setCutOff(cut, false);
    cut.clear();
    world.cutZones.clear();
    for (auto &[name, daemon] : world.daemons)
        daemon.storeCut = false;
}

} // namespace

TEST_GROUP(quota_cluster){};

// Guards against daemons that fill the same part of a limit because they do not hear each other: a
// third of them is cut off from all others and from the store (QUOTA on mesa-compartida, issue 16).
TEST(quota_cluster, daemonsThatAreCutOffStayInsideTheLimit)
{
    checkWith([](quota_cluster &world) {
        const std::vector<std::string> cut = world.draw(3);
        world.setCutOff(cut, true);
        world.pass(milliseconds(9'000));
        world.setCutOff(cut, false);
        world.pass(milliseconds(7'000));
    });
}

// Guards against a daemon that fills a part because its home is slow to answer, while the home
// fills it as well.
TEST(quota_cluster, slowDaemonsStayInsideTheLimit)
{
    checkWith([](quota_cluster &world) {
        for (const std::string &name : world.draw(4))
            world.daemons.at(name).slowUntil = world.now + milliseconds(8'000);
        world.pass(milliseconds(14'000));
    });
}

// Guards against tokens and parts that a frozen daemon uses after others have taken them over.
TEST(quota_cluster, frozenDaemonsStayInsideTheLimit)
{
    checkWith([](quota_cluster &world) {
        for (int i = 0; i < 3; ++i) {
            for (const std::string &name : world.draw(4))
                world.daemons.at(name).frozenUntil = world.now + milliseconds(2'500);
            world.pass(milliseconds(4'000));
        }
        world.pass(milliseconds(6'000));
    });
}

// Guards against daemons that divide a limit by different lists: some can't read the store while
// others join.
TEST(quota_cluster, daemonsWithDifferentListsStayInsideTheLimit)
{
    checkWith([](quota_cluster &world) {
        for (const std::string &name : world.draw(4))
            world.daemons.at(name).storeCut = true;
        for (int i = 0; i < 9; ++i)
            world.addDaemon("new" + std::to_string(i), "z" + std::to_string(i / 3));
        world.pass(milliseconds(16'000));
    });
}

// Guards against processes that start with what the process before them has just used.
TEST(quota_cluster, restartedDaemonsStayInsideTheLimit)
{
    checkWith([](quota_cluster &world) {
        for (int i = 0; i < 4; ++i) {
            for (const std::string &name : world.draw(5))
                world.kill(name, milliseconds(300));
            world.pass(milliseconds(2'500));
        }
        world.pass(milliseconds(6'000));
    });
}

// Guards against the tokens of a higher limit that are used after it was lowered, or by a daemon
// that was cut off meanwhile.
TEST(quota_cluster, loweredLimitHoldsWhileDaemonsAreCutOff)
{
    constexpr double lowered = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        quota_cluster world(seed);
        world.pass(settling);
        world.setLimit(lowered, lowered);
        world.pass(milliseconds(3'500));
        const core::time_point inForce = world.now;
        const std::vector<std::string> cut = world.draw(3);
        world.setCutOff(cut, true);
        world.pass(milliseconds(12'000));
        world.setCutOff(cut, false);
        world.pass(milliseconds(6'000));
        CHECK_TRUE(world.mostInWindow(inForce) <= quota_cluster::allowed(lowered, lowered));
    }
}

// Guards against a combination of faults that no single test above has.
TEST(quota_cluster, overlappingFaultsStayInsideTheLimit)
{
    for (std::uint64_t seed = 101; seed < 101 + 2 * seeds; ++seed) {
        quota_cluster world(seed);
        world.pass(settling);
        std::vector<std::string> cut;
        for (int i = 0; i < 6; ++i) {
            disturb(world, cut);
            world.pass(milliseconds(500 + world.below(2'500)));
            disturb(world, cut);
            world.pass(milliseconds(1'000 + world.below(5'000)));
            if (world.chance(0.6))
                calm(world, cut);
        }
        checkLimit(world, seed);
    }
}

// Guards against a limit that holds only because too little is admitted: in calm times a workspace
// that asks for three times its rate gets nearly all of it.
TEST(quota_cluster, calmDaemonsAdmitTheWholeRate)
{
    quota_cluster world(1);
    world.pass(settling);
    const core::time_point from = world.now;
    world.pass(milliseconds(10'000));
    const auto admitted = static_cast<double>(world.admittedBetween(from, world.now));
    CHECK_TRUE(admitted >= 0.97 * 10 * quota_cluster::ratePerSecond);
}
