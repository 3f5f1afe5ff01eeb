/// @file
/// @brief Tests of freshness proofs and of the rounds that distribute them.

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/random.hpp>

#include <deque>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

const time_point start{ 100s };

freshness makeFreshness(configuration_version version)
{
    freshness state;
    setHeldVersion(state, version);
    return state;
}

/// Instances that exchange messages in virtual time with a latency of 4 ms. The platform answers
/// without delay.
struct simulated_cluster
{
    struct instance
    {
        spread_state spread;
        freshness proofs;
    };
    struct envelope
    {
        time_point at;
        instance_id from;
        instance_id to;
        spread_message message;
    };
    std::map<instance_id, instance> instances;
    std::deque<envelope> messages; ///< ordered by arrival time
    std::set<instance_id> partitioned; ///< instances that can't exchange messages with others
    bool hasPlatform = true;
    configuration_version newest = 1;
    time_point now = start;

    explicit simulated_cluster(std::size_t count)
    {
        std::vector<tree_node> live;
        for (std::size_t i = 0; i < count; ++i)
            live.push_back({ { i % 2 == 0 ? "a" : "b" }, { "i" + std::to_string(10 + i) } });
        for (const tree_node &each : live) {
            instance &made = instances[each.instance];
            made.spread = startSpread(each, instances.size(), {}, now);
            setLiveInstances(made.spread, live, now);
            setHeldVersion(made.proofs, newest);
        }
    }

    void perform(const instance_id &self, const std::vector<spread_action> &actions)
    {
        instance &own = instances.at(self);
        for (const spread_action &each : actions) {
            const bool isPartitioned =
                    partitioned.contains(self) || partitioned.contains(each.peer);
            std::vector<spread_action> followUps;
            if (each.what == spread_action::kind::Send && !isPartitioned)
                messages.push_back({ now + 4ms, self, each.peer, each.message });
            if (each.what == spread_action::kind::ReadPlatform && hasPlatform)
                onPlatformVersion(own.spread, own.proofs, each.root, each.roundNumber, newest, now,
                                  now, followUps);
            perform(self, followUps);
        }
    }

    void runFor(duration span)
    {
        for (const time_point end = now + span; now < end; now += 1ms) {
            for (auto &[id, each] : instances) {
                std::vector<spread_action> actions;
                tickSpread(each.spread, each.proofs, now, actions);
                perform(id, actions);
            }
            while (!messages.empty() && messages.front().at <= now) {
                const envelope next = messages.front();
                messages.pop_front();
                std::vector<spread_action> actions;
                instance &receiver = instances.at(next.to);
                onSpreadMessage(receiver.spread, receiver.proofs, next.from, next.message, now,
                                actions);
                perform(next.to, actions);
            }
        }
    }

    [[nodiscard]] std::size_t countProven() const
    {
        std::size_t count = 0;
        for (const auto &[id, each] : instances)
            count += isProven(each.proofs, now) ? 1 : 0;
        return count;
    }

    [[nodiscard]] duration oldestProof() const
    {
        duration oldest{};
        for (const auto &[id, each] : instances)
            oldest = std::max(oldest, now - each.proofs.usable.at);
        return oldest;
    }
};

/// Replaces the root; each instance receives the new list at a random time within 3 s.
void replaceRootDuringListUpdate(std::uint64_t seed)
{
    simulated_cluster cluster(60);
    cluster.runFor(5s);
    std::vector<tree_node> live{ { { "a" }, { "i09" } } };
    for (const auto &[id, each] : cluster.instances) {
        if (id.value != "i10")
            live.push_back(each.spread.self);
    }
    cluster.partitioned.insert({ "i10" });
    auto &added = cluster.instances[{ "i09" }];
    added.spread = startSpread(live.front(), 99, {}, cluster.now);
    setLiveInstances(added.spread, live, cluster.now);
    setHeldVersion(added.proofs, 1);
    random_engine random(seed);
    std::map<instance_id, int> learnsAtStep; // steps of 50 ms
    for (const auto &[id, each] : cluster.instances)
        learnsAtStep[id] = static_cast<int>(drawBelow(random, 60));
    for (int i = 0; i < 240; ++i) {
        for (auto &[id, each] : cluster.instances) {
            if (learnsAtStep.at(id) == i && id.value != "i10")
                setLiveInstances(each.spread, live, cluster.now);
        }
        cluster.runFor(50ms);
        if (i >= 20) // the new instance gets one second to obtain its first proof
            LONGS_EQUAL(61, cluster.countProven());
    }
    cluster.hasPlatform = false;
    cluster.runFor(10s);
    LONGS_EQUAL(60, cluster.countProven());
}

} // namespace

TEST_GROUP(freshness){};

// Guards against a proof whose age counts from the arrival of the answer: a slow answer would
// extend its lifetime.
TEST(freshness, ageCountsFromTheQuestion)
{
    freshness state = makeFreshness(3);
    addPlatformProof(state, 3, start);
    CHECK_TRUE(proofExpiresAt(state) == start + 5s);
    addPeerProof(state, 3, 2s, start + 1s);
    CHECK_TRUE(proofExpiresAt(state) == start + 5s);
    addPeerProof(state, 3, -7s, start + 1s);
    CHECK_TRUE(proofExpiresAt(state) == start + 6s);
    state.proofLifetime = 1h;
    CHECK_TRUE(proofExpiresAt(state) == start + 1s + maxProofLifetime);
}

// Guards against a proof of a newer version that is used for the older version in force.
TEST(freshness, proofOfANewerVersionWaitsForIt)
{
    freshness state = makeFreshness(3);
    addPlatformProof(state, 4, start);
    CHECK_FALSE(isProven(state, start));
    setHeldVersion(state, 4);
    CHECK_TRUE(isProven(state, start));
    CHECK_FALSE(isProven(state, start + 5s));
    addOperatorProof(state, 4, start + 2s);
    CHECK_TRUE(isProven(state, start + 6s));
    CHECK_FALSE(isProven(freshness{}, start));
}

TEST_GROUP(config_spread){};

// Guards against an age of proofs that grows with the depth of the tree until keys are refused. The
// bound leaves one period of reserve, so that one lost round causes no refusals.
TEST(config_spread, ageIsBoundedAtEveryDepth)
{
    simulated_cluster cluster(120);
    cluster.runFor(5s);
    for (int i = 0; i < 40; ++i) {
        cluster.runFor(50ms);
        LONGS_EQUAL(cluster.instances.size(), cluster.countProven());
        CHECK_TRUE(cluster.oldestProof() < defaultProofLifetime - spread_settings{}.period);
    }
}

// Guards against the refusal of every key during an outage of the platform: acknowledgements of all
// instances, proof (c), must replace the platform.
TEST(config_spread, fullReportReplacesThePlatform)
{
    simulated_cluster cluster(60);
    cluster.runFor(5s);
    cluster.hasPlatform = false;
    cluster.runFor(60s);
    LONGS_EQUAL(cluster.instances.size(), cluster.countProven());
}

// Guards against a proof from acknowledgements that miss an instance which may have a newer
// version, or that include an instance whose submit has an unknown outcome.
TEST(config_spread, incompleteReportProvesNothing)
{
    simulated_cluster cluster(30);
    cluster.runFor(5s);
    cluster.hasPlatform = false;
    cluster.partitioned.insert({ "i29" });
    cluster.runFor(6s);
    LONGS_EQUAL(0, cluster.countProven());
    cluster.partitioned.clear();
    cluster.runFor(5s);
    LONGS_EQUAL(30, cluster.countProven());
    cluster.instances.at({ "i25" }).spread.hasUnresolvedSubmit = true;
    cluster.runFor(8s);
    LONGS_EQUAL(0, cluster.countProven());
}

// Guards against refusals after the loss of the root or of a zone's head while the platform is
// still readable.
TEST(config_spread, lostHeadLeavesNoGap)
{
    for (const char *head : { "i10", "i11" }) {
        simulated_cluster cluster(60);
        cluster.runFor(5s);
        cluster.partitioned.insert({ head });
        for (int i = 0; i < 200; ++i) {
            cluster.runFor(50ms);
            LONGS_EQUAL(60, cluster.countProven());
        }
        cluster.partitioned.clear();
        cluster.runFor(5s);
        LONGS_EQUAL(60, cluster.countProven());
    }
}

// Guards against refusals while a change of the list reaches the instances one after the other. The
// new instance becomes the root, so the place of every instance in its zone changes.
TEST(config_spread, changingListLeavesNoGap)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        replaceRootDuringListUpdate(seed);
}

// Guards against an operator's statement, proof (d), that takes effect at one instance only.
TEST(config_spread, operatorStatementServesTheSubtree)
{
    simulated_cluster cluster(30);
    cluster.runFor(5s);
    cluster.hasPlatform = false;
    cluster.partitioned.insert({ "i29" });
    cluster.runFor(10s);
    LONGS_EQUAL(0, cluster.countProven());
    auto &head = cluster.instances.at({ "i10" });
    const std::uint64_t roundNumber = head.spread.roundNumber;
    const std::uint64_t root = head.spread.root;
    const time_point issuedAt = cluster.now;
    cluster.runFor(300ms);
    onOperatorProof(head.spread, head.proofs, root, roundNumber, 1, issuedAt);
    cluster.runFor(2s);
    LONGS_EQUAL(29, cluster.countProven());
    cluster.runFor(5s);
    LONGS_EQUAL(0, cluster.countProven());
}
