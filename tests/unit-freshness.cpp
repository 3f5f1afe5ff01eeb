/// @file
/// @brief Tests of freshness proofs and of the waves that carry them.

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

freshness holding(configuration_version version)
{
    freshness state;
    setHeldVersion(state, version);
    return state;
}

/// Instances that exchange messages in virtual time, 4 ms apart. The platform answers at once.
struct small_cluster
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
    std::deque<envelope> messages; ///< by time of arrival
    std::set<instance_id> cut; ///< exchange no message with others
    bool hasPlatform = true;
    configuration_version newest = 1;
    time_point now = start;

    explicit small_cluster(std::size_t count)
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
            const bool isCut = cut.contains(self) || cut.contains(each.peer);
            std::vector<spread_action> more;
            if (each.what == spread_action::kind::Send && !isCut)
                messages.push_back({ now + 4ms, self, each.peer, each.message });
            if (each.what == spread_action::kind::ReadPlatform && hasPlatform)
                onPlatformVersion(own.spread, own.proofs, each.root, each.roundNumber, newest, now,
                                  now, more);
            perform(self, more);
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

/// Replaces the root while every instance learns of it at a time of its own within 3 s.
void changeList(std::uint64_t seed)
{
    small_cluster cluster(60);
    cluster.runFor(5s);
    std::vector<tree_node> live{ { { "a" }, { "i09" } } };
    for (const auto &[id, each] : cluster.instances) {
        if (id.value != "i10")
            live.push_back(each.spread.self);
    }
    cluster.cut.insert({ "i10" });
    auto &added = cluster.instances[{ "i09" }];
    added.spread = startSpread(live.front(), 99, {}, cluster.now);
    setLiveInstances(added.spread, live, cluster.now);
    setHeldVersion(added.proofs, 1);
    random_engine random(seed);
    std::map<instance_id, int> learnsAt; // steps of 50 ms
    for (const auto &[id, each] : cluster.instances)
        learnsAt[id] = static_cast<int>(drawBelow(random, 60));
    for (int i = 0; i < 240; ++i) {
        for (auto &[id, each] : cluster.instances) {
            if (learnsAt.at(id) == i && id.value != "i10")
                setLiveInstances(each.spread, live, cluster.now);
        }
        cluster.runFor(50ms);
        if (i >= 20) // the new instance has had a second for its first proof
            LONGS_EQUAL(61, cluster.countProven());
    }
    cluster.hasPlatform = false;
    cluster.runFor(10s);
    LONGS_EQUAL(60, cluster.countProven());
}

} // namespace

TEST_GROUP(freshness){};

// Guards against a proof whose age is counted from the answer: a slow answer would extend it.
TEST(freshness, ageCountsFromTheQuestion)
{
    freshness state = holding(3);
    addPlatformProof(state, 3, start);
    CHECK_TRUE(proofExpiresAt(state) == start + 5s);
    addPeerProof(state, 3, 2s, start + 1s);
    CHECK_TRUE(proofExpiresAt(state) == start + 5s);
    addPeerProof(state, 3, -7s, start + 1s);
    CHECK_TRUE(proofExpiresAt(state) == start + 6s);
    state.proofLifetime = 1h;
    CHECK_TRUE(proofExpiresAt(state) == start + 1s + maxProofLifetime);
}

// Guards against a proof of a newer version that vouches for the older one in force.
TEST(freshness, proofOfANewerVersionWaitsForIt)
{
    freshness state = holding(3);
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

// Guards against a depth of the tree that uses up the wait for a proof. One lost round must
// not cause refusals.
TEST(config_spread, ageIsBoundedAtEveryDepth)
{
    small_cluster cluster(120);
    cluster.runFor(5s);
    for (int i = 0; i < 40; ++i) {
        cluster.runFor(50ms);
        LONGS_EQUAL(cluster.instances.size(), cluster.countProven());
        CHECK_TRUE(cluster.oldestProof() < defaultProofLifetime - spread_settings{}.period);
    }
}

// Guards against refusals of every key during an outage of the platform, proof (c).
TEST(config_spread, fullReportReplacesThePlatform)
{
    small_cluster cluster(60);
    cluster.runFor(5s);
    cluster.hasPlatform = false;
    cluster.runFor(60s);
    LONGS_EQUAL(cluster.instances.size(), cluster.countProven());
}

// Guards against a report that leaves out an instance which may know a newer version, or one that
// does not know the outcome of a submit.
TEST(config_spread, incompleteReportProvesNothing)
{
    small_cluster cluster(30);
    cluster.runFor(5s);
    cluster.hasPlatform = false;
    cluster.cut.insert({ "i29" });
    cluster.runFor(6s);
    LONGS_EQUAL(0, cluster.countProven());
    cluster.cut.clear();
    cluster.runFor(5s);
    LONGS_EQUAL(30, cluster.countProven());
    cluster.instances.at({ "i25" }).spread.hasUnresolvedSubmit = true;
    cluster.runFor(8s);
    LONGS_EQUAL(0, cluster.countProven());
}

// Guards against a gap when the root or a zone's head is lost: the platform is still readable.
TEST(config_spread, lostHeadLeavesNoGap)
{
    for (const char *head : { "i10", "i11" }) {
        small_cluster cluster(60);
        cluster.runFor(5s);
        cluster.cut.insert({ head });
        for (int i = 0; i < 200; ++i) {
            cluster.runFor(50ms);
            LONGS_EQUAL(60, cluster.countProven());
        }
        cluster.cut.clear();
        cluster.runFor(5s);
        LONGS_EQUAL(60, cluster.countProven());
    }
}

// Guards against refusals while instances learn of a change of the list one after the other. The
// new instance becomes the root, so every place in its zone changes.
TEST(config_spread, changingListLeavesNoGap)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        changeList(seed);
}

// Guards against an operator's statement that reaches one instance only (d).
TEST(config_spread, operatorStatementServesTheSubtree)
{
    small_cluster cluster(30);
    cluster.runFor(5s);
    cluster.hasPlatform = false;
    cluster.cut.insert({ "i29" });
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
