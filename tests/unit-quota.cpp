/// @file
/// @brief Tests of workspace limits that daemons enforce jointly by transferring parts and tokens.
///
/// The home of a workspace is the daemon of a zone that borrows the parts of the limit from the
/// other daemons of the zone and serves their token requests.

#include <fuchsiagw/proxy/quota.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;
using std::chrono::milliseconds;

namespace {

core::time_point at(int millis)
{
    return core::time_point(std::chrono::hours(1) + milliseconds(millis));
}

manifest limitedTo(double rate, double burst)
{
    manifest result;
    result.version = 1;
    workspace_entry entry;
    entry.name = "house";
    entry.ratePerSecond = rate;
    entry.burst = burst;
    result.workspaces.push_back(entry);
    return result;
}

/// Daemons of several zones that transfer parts and tokens without delay.
struct quota_simulation
{
    std::vector<quota_node> nodes;
    std::map<std::string, quota_table> tables;
    core::time_point nextRenewal = at(0);

    quota_simulation(int zones, int nodesPerZone, double rate, double burst)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < nodesPerZone; ++i)
                nodes.push_back({ "n" + std::to_string(zone) + "-" + std::to_string(i),
                                  "z" + std::to_string(zone) });
        }
        for (const quota_node &each : nodes)
            applyLimits(tables[each.node], limitedTo(rate, burst), nodes, each, partOfEach(), at(0),
                        at(0));
    }

    limit_part partOfEach() const { return wholeLimit / static_cast<limit_part>(nodes.size()); }

    /// Each home renews its leases on the parts of its zone.
    void renewPartLeases(core::time_point now)
    {
        if (now < nextRenewal)
            return;
        nextRenewal = now + milliseconds(250);
        for (const quota_node &each : nodes) {
            const std::string home = quotaOf(each.node).homes.front();
            const auto grant =
                    home == each.node ? std::nullopt : lendPart(quotaOf(each.node), home, now);
            if (grant)
                borrowPart(quotaOf(home), each.node, *grant, now, now);
        }
    }

    workspace_quota &quotaOf(const std::string &node)
    {
        return tables.at(node).workspaces.at("house");
    }

    /// Requests one operation at a daemon, with loans within the zone and, if connected, between
    /// zones.
    bool runOperation(const std::string &node, core::time_point now, bool zonesConnected = true)
    {
        countDemand(quotaOf(node), 1, now);
        return tryToAdmit(node, now, zonesConnected);
    }

    /// Requests an operation that waits for a token, as on a route with a latency objective of
    /// 200 ms.
    bool runOperationWithRetries(const std::string &node, core::time_point now)
    {
        countDemand(quotaOf(node), 1, now);
        for (const int waited : { 0, 10, 20, 30, 40 }) {
            if (tryToAdmit(node, now + milliseconds(waited), true))
                return true;
        }
        return false;
    }

    bool tryToAdmit(const std::string &node, core::time_point now, bool zonesConnected)
    {
        renewPartLeases(now);
        workspace_quota &own = quotaOf(node);
        if (admit(own, now))
            return true;
        workspace_quota &home = quotaOf(own.homes.front());
        if (zonesConnected) {
            if (const auto amount = tokensToRequest(home, 0, now)) {
                // All homes are asked concurrently; tokens that exceed the capacity are returned.
                for (const std::string &other : home.otherHomes) {
                    workspace_quota &lender = quotaOf(other);
                    addTokens(lender, addTokens(home, takeForOtherZone(lender, *amount, now), now),
                              now);
                }
            }
        }
        if (&home != &own) {
            if (const auto amount = tokensToRequest(own, 0, now))
                addTokensWithOverflow(own, takeForZonePeer(home, *amount, now), now);
        }
        return admit(own, now);
    }

    /// Returns the unused overflow tokens of all daemons to their homes, as daemons do
    /// periodically.
    void returnUnusedTokens(core::time_point now)
    {
        for (const quota_node &each : nodes) {
            workspace_quota &own = quotaOf(each.node);
            const auto unused = takeUnusedTokens(own, now);
            if (unused > 0)
                addTokens(quotaOf(own.homes.front()), unused, now);
        }
    }
};

} // namespace

TEST_GROUP(quota){};

// Guards against exceeding a limit when a workspace sends many times its rate to all daemons
// concurrently.
TEST(quota, allDaemonsTogetherStayWithinLimit)
{
    constexpr double rate = 100;
    constexpr double burst = 50;
    quota_simulation simulation(4, 5, rate, burst);
    std::mt19937 random(7);
    int admitted = 0;
    constexpr int millis = 10'000;
    for (int time = 0; time < millis; ++time) {
        const auto &node = simulation.nodes[random() % simulation.nodes.size()].node;
        admitted += simulation.runOperation(node, at(time)) ? 1 : 0;
    }
    CHECK_TRUE(admitted <= rate * millis / 1000 + burst);
    CHECK_TRUE(admitted >= 0.9 * rate * millis / 1000);
}

// Guards against refusals below the rate when the operations are spread over many daemons: a
// workspace with a rate of 20 operations/s sends 16 operations/s to 80 daemons.
TEST(quota, lowRateSpreadOverManyDaemonsIsServed)
{
    quota_simulation simulation(4, 20, 20, 20);
    std::mt19937 random(3);
    int requested = 0;
    int admitted = 0;
    for (int time = 2000; time < 22'000; time += 62) {
        ++requested;
        admitted += simulation.runOperation(
                            simulation.nodes[random() % simulation.nodes.size()].node, at(time))
                            ? 1
                            : 0;
    }
    CHECK_TRUE(admitted >= 0.97 * requested);
}

// Guards against a zone that stops serving when it is cut off from the others: it keeps its part of
// the limit.
TEST(quota, isolatedZoneKeepsItsPart)
{
    quota_simulation simulation(4, 3, 100, 100);
    int admitted = 0;
    for (int time = 1000; time < 6000; time += 5)
        admitted += simulation.runOperation("n0-1", at(time), false) ? 1 : 0;
    CHECK_TRUE(admitted >= 100);
    CHECK_TRUE(admitted <= 25 * 6 + 25);
}

// Guards against a full bucket after a restart: the earlier process may have used its tokens.
TEST(quota, newBucketStartsEmpty)
{
    quota_simulation simulation(1, 1, 10, 100);
    CHECK_FALSE(admit(simulation.quotaOf("n0-0"), at(0)));
    CHECK_TRUE(admit(simulation.quotaOf("n0-0"), at(101)));
}

// Guards against tokens that exceed a limit after it was lowered.
TEST(quota, loweredLimitDiscardsExcessTokens)
{
    quota_simulation simulation(1, 1, 100, 100);
    CHECK_TRUE(admit(simulation.quotaOf("n0-0"), at(1000)));
    applyLimits(simulation.tables.at("n0-0"), limitedTo(1, 2), simulation.nodes,
                simulation.nodes.front(), wholeLimit, at(1000), at(1000));
    CHECK_TRUE(admit(simulation.quotaOf("n0-0"), at(1000)));
    CHECK_TRUE(admit(simulation.quotaOf("n0-0"), at(1000)));
    CHECK_FALSE(admit(simulation.quotaOf("n0-0"), at(1000)));
}

// Guards against two daemons that refill from the same part. A daemon that has just joined must own
// no part until its claim was read; otherwise 1,271 operations ran in 5 s where 1,254 were allowed.
// The earlier process of a restarted daemon may have lent its part to a home that still uses it.
TEST(quota, joiningDaemonDoesNotRefill)
{
    quota_table table;
    const quota_node self{ "new", "z0" };
    applyLimits(table, limitedTo(100, 100), { self }, self, 0, at(0), at(0));
    CHECK_FALSE(admit(table.workspaces.at("house"), at(5000)));
    applyLimits(table, limitedTo(100, 100), { self }, self, wholeLimit, at(0), at(5000));
    CHECK_TRUE(admit(table.workspaces.at("house"), at(5100)));
    quota_table again;
    applyLimits(again, limitedTo(100, 100), { self }, self, wholeLimit, at(850), at(0));
    CHECK_FALSE(admit(again.workspaces.at("house"), at(850)));
    CHECK_TRUE(admit(again.workspaces.at("house"), at(870)));
}

// Guards against a part that is used both by the home that borrowed it and by its owner, also if
// the home was suspended past the end of the lease.
TEST(quota, lentPartIsUsedByOneDaemonAtATime)
{
    quota_simulation simulation(1, 2, 100, 100);
    workspace_quota &home = simulation.quotaOf(simulation.quotaOf("n0-0").homes.front());
    workspace_quota &owner = simulation.quotaOf(home.homes.at(1));
    const auto grant = lendPart(owner, home.homes.front(), at(1000));
    CHECK_TRUE(grant.has_value());
    LONGS_EQUAL(50 * core::oneToken, grant->tokens);
    borrowPart(home, home.homes.at(1), *grant, at(995), at(1000));
    LONGS_EQUAL(wholeLimit, home.heldPart);
    advanceQuota(owner, at(1849));
    LONGS_EQUAL(0, owner.heldPart);
    LONGS_EQUAL(0, owner.bucket.level);
    takeUpTo(home.bucket, home.bucket.level, at(1000));
    // Refilled at the whole rate until 1,795 ms and at the rate of the own part after that.
    advanceQuota(home, at(1895));
    LONGS_EQUAL(wholeLimit / 2, home.heldPart);
    LONGS_EQUAL(50 * core::oneToken, home.bucket.level);
    advanceQuota(owner, at(1850));
    LONGS_EQUAL(wholeLimit / 2, owner.heldPart);
    LONGS_EQUAL(0, owner.bucket.level);
}

// Guards against lending a part to two homes, and against a home that lends a borrowed part.
TEST(quota, partIsLentToOneHomeAtATime)
{
    quota_simulation simulation(1, 3, 100, 100);
    workspace_quota &owner = simulation.quotaOf("n0-0");
    const auto grant = lendPart(owner, "n0-1", at(1000));
    CHECK_TRUE(grant.has_value());
    CHECK_FALSE(lendPart(owner, "n0-2", at(1500)).has_value());
    CHECK_TRUE(lendPart(owner, "n0-1", at(1500)).has_value());
    CHECK_TRUE(lendPart(owner, "n0-2", at(2351)).has_value());
    borrowPart(simulation.quotaOf("n0-1"), "n0-0", *grant, at(1000), at(1000));
    CHECK_FALSE(lendPart(simulation.quotaOf("n0-1"), "n0-2", at(1100)).has_value());
}

// Guards against a home that uses a part which its owner uses again. This happens if a grant is
// processed late, because the home was suspended, when its lease has expired by the home's clock.
TEST(quota, delayedGrantIsNotUsed)
{
    quota_simulation simulation(1, 2, 100, 100);
    workspace_quota &home = simulation.quotaOf("n0-0");
    borrowPart(home, "n0-1", { "house", wholeLimit / 2, core::oneToken }, at(100), at(901));
    LONGS_EQUAL(wholeLimit / 2, home.heldPart);
}

// Guards against a suspended daemon that later uses old tokens, after its home has refilled.
TEST(quota, overflowTokensExpire)
{
    quota_simulation simulation(1, 2, 100, 100);
    workspace_quota &owner = simulation.quotaOf("n0-0");
    static_cast<void>(lendPart(owner, "n0-1", at(1000)));
    addTokensWithOverflow(owner, 2 * core::oneToken, at(1000));
    CHECK_TRUE(admit(owner, at(1300)));
    CHECK_FALSE(admit(owner, at(1500)));
}

// Guards against unused tokens that accumulate at idle daemons: the callers of a workspace move
// from daemon to daemon and then use all of them concurrently. In a soak test with four daemons
// (check rate_limit, seed 1), 109 operations ran where 108 were allowed; the excess grows with the
// number of daemons.
TEST(quota, tokensOfIdleDaemonsDoNotAccumulateToSecondBurst)
{
    constexpr double rate = 100;
    constexpr double burst = 10;
    quota_simulation simulation(2, 30, rate, burst);
    int time = 0;
    for (const quota_node &each : simulation.nodes) {
        for (const int end = time + 500; time < end; time += 10) {
            static_cast<void>(simulation.runOperation(each.node, at(time)));
            if (time % 50 == 0)
                simulation.returnUnusedTokens(at(time));
        }
    }
    int admitted = 0;
    for (const int end = time + 5'000; time < end; time += 10) {
        for (const quota_node &each : simulation.nodes)
            admitted += simulation.runOperation(each.node, at(time)) ? 1 : 0;
        if (time % 50 == 0)
            simulation.returnUnusedTokens(at(time));
    }
    CHECK_TRUE(admitted <= (rate * 5 + burst) * 1.1);
}

// Guards against tokens that are wasted at a daemon that does not need them: they are returned and
// serve other daemons.
TEST(quota, returnedTokensAreUsedByOthers)
{
    quota_simulation simulation(1, 3, 10, 10);
    workspace_quota &home = simulation.quotaOf(simulation.quotaOf("n0-0").homes.front());
    const std::string idle = home.homes.at(1);
    simulation.renewPartLeases(at(2000));
    addTokensWithOverflow(simulation.quotaOf(idle), 2 * core::oneToken, at(2000));
    takeUpTo(home.bucket, home.bucket.level, at(2000));
    simulation.returnUnusedTokens(at(2000));
    simulation.returnUnusedTokens(at(2200));
    LONGS_EQUAL(0, simulation.quotaOf(idle).overflowTokens);
    CHECK_TRUE(home.bucket.level >= 4 * core::oneToken - 10);
    simulation.returnUnusedTokens(at(2400));
    CHECK_TRUE(admit(home, at(2400)));
}

// Guards against refusals below the rate when a small burst is divided among zones: each zone's
// part then holds little more than one token, and without loans of fractions of a token, 5 to 6 %
// of the operations within the limit were refused.
TEST(quota, smallBurstOverZonesServesAsManyAsOneBucket)
{
    constexpr double rate = 6;
    constexpr double burst = 6;
    quota_simulation simulation(4, 5, rate, burst);
    core::token_bucket singleBucket;
    core::reconfigure(singleBucket, static_cast<std::int64_t>(rate * core::oneToken),
                      static_cast<core::token_amount>(burst * core::oneToken), at(0));
    std::mt19937 random(11);
    std::exponential_distribution<double> pause(5); // operations a second
    int ideal = 0;
    int admitted = 0;
    double time = 4'000;
    for (int i = 0; i < 2'000; ++i) {
        time += pause(random) * 1'000;
        const core::time_point now = at(static_cast<int>(time));
        ideal += core::take(singleBucket, core::oneToken, now) ? 1 : 0;
        const auto &node = simulation.nodes[random() % simulation.nodes.size()].node;
        admitted += simulation.runOperationWithRetries(node, now) ? 1 : 0;
        simulation.returnUnusedTokens(now);
    }
    CHECK_TRUE(admitted <= ideal + 4);
    CHECK_TRUE(admitted >= 0.97 * ideal);
}
