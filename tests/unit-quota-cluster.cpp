/// @file
/// @brief Tests of workspace limits with daemons that are isolated, suspended, slow, restarted or
/// new.

#include "quota-cluster.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;

namespace {

constexpr milliseconds warmUp{ 14'000 }; // until all daemons have discovered each other and refill
constexpr std::uint64_t seeds = 5;

void checkLimit(const quota_cluster &cluster, std::uint64_t seed)
{
    const std::size_t maxAdmitted = cluster.maxAdmittedInWindow();
    const std::size_t allowed =
            quota_cluster::maxAllowedInWindow(quota_cluster::ratePerSecond, quota_cluster::burst);
    if (maxAdmitted > allowed)
        UT_PRINT(StringFromFormat("seed %d: %d operations of %d allowed", static_cast<int>(seed),
                                  static_cast<int>(maxAdmitted), static_cast<int>(allowed)));
    CHECK_TRUE(maxAdmitted <= allowed);
}

/// For each seed: runs the cluster until it is stable, injects a fault, and checks every window.
void checkLimitAfterFault(const std::function<void(quota_cluster &)> &inject)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        quota_cluster cluster(seed);
        cluster.advance(warmUp);
        inject(cluster);
        checkLimit(cluster, seed);
    }
}

/// Injects a random fault. Isolation and loss of the store last until clearFaults(); other faults
/// end within a few seconds.
void injectFault(quota_cluster &cluster, std::vector<std::string> &isolated)
{
    const std::vector<std::string> selected = cluster.selectDaemons(1 + cluster.randomBelow(4));
    switch (cluster.randomBelow(7)) {
    case 0:
    case 1:
        cluster.setIsolated(selected, true);
        isolated = selected;
        break;
    case 2:
        for (const std::string &name : selected)
            cluster.daemons.at(name).suspendedUntil =
                    cluster.now + milliseconds(500 + cluster.randomBelow(3'500));
        break;
    case 3:
        for (const std::string &name : selected)
            cluster.daemons.at(name).slowUntil = cluster.now + milliseconds(4'000);
        break;
    case 4:
        for (const std::string &name : selected)
            cluster.kill(name, milliseconds(300 + cluster.randomBelow(1'500)));
        break;
    case 5:
        cluster.isolatedZones = { "z" + std::to_string(cluster.randomBelow(3)) };
        break;
    default:
        for (const std::string &name : selected)
            cluster.daemons.at(name).storeUnreachable = true;
        cluster.addDaemon("new-" + std::to_string(cluster.daemons.size()),
                          "z" + std::to_string(cluster.randomBelow(3)));
        break;
    }
}

void clearFaults(quota_cluster &cluster, std::vector<std::string> &isolated)
{
    cluster.setIsolated(isolated, false);
    isolated.clear();
    cluster.isolatedZones.clear();
    for (auto &[name, daemon] : cluster.daemons)
        daemon.storeUnreachable = false;
}

} // namespace

TEST_GROUP(quota_cluster){};

// Guards against daemons that refill from the same part of a limit because they can't reach each
// other: a third of them is isolated from all others and from the store.
TEST(quota_cluster, isolatedDaemonsStayWithinLimit)
{
    checkLimitAfterFault([](quota_cluster &cluster) {
        const std::vector<std::string> isolated = cluster.selectDaemons(3);
        cluster.setIsolated(isolated, true);
        cluster.advance(milliseconds(9'000));
        cluster.setIsolated(isolated, false);
        cluster.advance(milliseconds(7'000));
    });
}

// Guards against a daemon that refills from its part because its home answers slowly, while the
// home still refills from the same part.
TEST(quota_cluster, slowDaemonsStayWithinLimit)
{
    checkLimitAfterFault([](quota_cluster &cluster) {
        for (const std::string &name : cluster.selectDaemons(4))
            cluster.daemons.at(name).slowUntil = cluster.now + milliseconds(8'000);
        cluster.advance(milliseconds(14'000));
    });
}

// Guards against a suspended daemon that uses its tokens and parts after others have taken them
// over.
TEST(quota_cluster, suspendedDaemonsStayWithinLimit)
{
    checkLimitAfterFault([](quota_cluster &cluster) {
        for (int i = 0; i < 3; ++i) {
            for (const std::string &name : cluster.selectDaemons(4))
                cluster.daemons.at(name).suspendedUntil = cluster.now + milliseconds(2'500);
            cluster.advance(milliseconds(4'000));
        }
        cluster.advance(milliseconds(6'000));
    });
}

// Guards against daemons that divide a limit by different lists of daemons: some can't read the
// store while others join.
TEST(quota_cluster, daemonsWithDifferentListsStayWithinLimit)
{
    checkLimitAfterFault([](quota_cluster &cluster) {
        for (const std::string &name : cluster.selectDaemons(4))
            cluster.daemons.at(name).storeUnreachable = true;
        for (int i = 0; i < 9; ++i)
            cluster.addDaemon("new" + std::to_string(i), "z" + std::to_string(i / 3));
        cluster.advance(milliseconds(16'000));
    });
}

// Guards against a restarted process that uses tokens or parts that the earlier process has just
// used or lent.
TEST(quota_cluster, restartedDaemonsStayWithinLimit)
{
    checkLimitAfterFault([](quota_cluster &cluster) {
        for (int i = 0; i < 4; ++i) {
            for (const std::string &name : cluster.selectDaemons(5))
                cluster.kill(name, milliseconds(300));
            cluster.advance(milliseconds(2'500));
        }
        cluster.advance(milliseconds(6'000));
    });
}

// Guards against the use of tokens of a higher limit after it was lowered, also by a daemon that is
// isolated meanwhile.
TEST(quota_cluster, loweredLimitHoldsWithIsolatedDaemons)
{
    constexpr double lowered = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        quota_cluster cluster(seed);
        cluster.advance(warmUp);
        cluster.setLimit(lowered, lowered);
        cluster.advance(milliseconds(3'500));
        const core::time_point inForce = cluster.now;
        const std::vector<std::string> isolated = cluster.selectDaemons(3);
        cluster.setIsolated(isolated, true);
        cluster.advance(milliseconds(12'000));
        cluster.setIsolated(isolated, false);
        cluster.advance(milliseconds(6'000));
        CHECK_TRUE(cluster.maxAdmittedInWindow(inForce)
                   <= quota_cluster::maxAllowedInWindow(lowered, lowered));
    }
}

// Guards against a failure that only a combination of the faults above causes.
TEST(quota_cluster, overlappingFaultsStayWithinLimit)
{
    for (std::uint64_t seed = 101; seed < 101 + 2 * seeds; ++seed) {
        quota_cluster cluster(seed);
        cluster.advance(warmUp);
        std::vector<std::string> isolated;
        for (int i = 0; i < 6; ++i) {
            injectFault(cluster, isolated);
            cluster.advance(milliseconds(500 + cluster.randomBelow(2'500)));
            injectFault(cluster, isolated);
            cluster.advance(milliseconds(1'000 + cluster.randomBelow(5'000)));
            if (cluster.withProbability(0.6))
                clearFaults(cluster, isolated);
        }
        checkLimit(cluster, seed);
    }
}

// Guards against a limit that holds only because too few operations are admitted: without faults, a
// workspace that requests three times its rate gets nearly its whole rate.
TEST(quota_cluster, daemonsWithoutFaultsAdmitWholeRate)
{
    quota_cluster cluster(1);
    cluster.advance(warmUp);
    const core::time_point from = cluster.now;
    cluster.advance(milliseconds(10'000));
    const auto admitted = static_cast<double>(cluster.admittedBetween(from, cluster.now));
    CHECK_TRUE(admitted >= 0.97 * 10 * quota_cluster::ratePerSecond);
}

// Load: a workspace sends three and a half times its rate, a seventh of it on the route of the
// highest priority. Guards against tokens that go to whoever asks first, so that six of seven
// urgent operations are refused; and against a limit that is exceeded, or left unused, because of
// it.
TEST(quota_cluster, urgentOperationsGetTheTokensOfAFloodingWorkspace)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        quota_cluster cluster(seed);
        cluster.priorityAdmission = true;
        cluster.urgentShare = 0.14;
        cluster.advance(warmUp);
        cluster.offeredPerSecond = 3.5 * quota_cluster::ratePerSecond;
        cluster.advance(milliseconds(4'000));
        cluster.urgentSubmitted = 0;
        cluster.urgentAdmitted = 0;
        const core::time_point from = cluster.now;
        cluster.advance(milliseconds(6'000));
        const double share = static_cast<double>(cluster.urgentAdmitted)
                             / static_cast<double>(cluster.urgentSubmitted);
        const double used = static_cast<double>(cluster.admittedBetween(from, cluster.now))
                            / (6 * quota_cluster::ratePerSecond);
        const std::string text = StringFromFormat("seed %d: %f of the urgent ones, %f of the rate",
                                                  static_cast<int>(seed), share, used)
                                         .asCharString();
        CHECK_TEXT(share >= 0.9, text.c_str());
        CHECK_TEXT(used >= 0.9, text.c_str());
        checkLimit(cluster, seed);
    }
}
