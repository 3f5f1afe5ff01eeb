/// @file
/// @brief Tests of the membership: list, messages, restarts, suspicions and probes.

#include <fuchsiagw/core/membership.hpp>

#include <random>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

instance_entry entry(const std::string &name, instance_state state = instance_state::Live)
{
    return { { name }, instance_kind::Entry, { "z" }, "127.0.0.1:1", state };
}

message_sender sender(const std::string &name, incarnation_id incarnation,
                      sender_state state = sender_state::Live)
{
    return { incarnation, { name }, { "z" }, "127.0.0.1:2", state };
}

} // namespace

TEST_GROUP(membership)
{
    membership state;
    time_point now{ 1000s };

    void setup() override
    {
        state.self = { "self" };
        state.zone = { "z" };
    }
    void list(const std::vector<instance_entry> &entries)
    {
        onInstanceList(state, { entries }, now);
    }
    void hear(const message_sender &from)
    {
        onHeard(state, from, now);
    }
    void wait(duration time)
    {
        now += time;
        tickMembership(state, now);
    }
    void check(const std::string &name, peer_state expected, incarnation_id incarnation)
    {
        const known_instance *known = findInstance(state, { name });
        CHECK_TRUE(known != nullptr);
        STRCMP_EQUAL(toString(expected).data(), toString(known->state).data());
        LONGS_EQUAL(incarnation, known->incarnation);
    }
};

// Guards against the use of upstreams, of the own instance, or of instances that the list marks as
// leaving.
TEST(membership, listContainsOnlyOtherInstances)
{
    instance_entry upstream = entry("member");
    upstream.kind = instance_kind::Upstream;
    list({ entry("self"), entry("a"), entry("b", instance_state::Leaving), upstream });
    LONGS_EQUAL(2, state.instances.size());
    check("a", peer_state::Live, 0);
    check("b", peer_state::Leaving, 0);
    list({ entry("b", instance_state::Leaving) });
    check("a", peer_state::Gone, 0);
    wait(2min);
    CHECK_TRUE(findInstance(state, { "a" }) == nullptr);
}

// Guards against a lagging list that removes an instance which still sends messages.
TEST(membership, listDoesNotRemoveRecentSenders)
{
    list({ entry("a") });
    hear(sender("a", 7));
    list({});
    check("a", peer_state::Live, 7);
    wait(state.times.heardValidity - duration(1));
    check("a", peer_state::Live, 7);
    wait(duration(1));
    check("a", peer_state::Gone, 7);
    hear(sender("a", 7));
    check("a", peer_state::Live, 7);
    hear(sender("unlisted", 8));
    check("unlisted", peer_state::Live, 8);
}

// Guards against suspicion of instances that have no reason to send, and against expected instances
// that stay live although they send nothing.
TEST(membership, onlyExpectedSilenceCounts)
{
    list({ entry("a"), entry("b") });
    hear(sender("a", 1));
    hear(sender("b", 2));
    setExpected(state, { { "a" } }, now);
    wait(state.times.suspicionTimeout - duration(1));
    check("a", peer_state::Live, 1);
    wait(duration(1));
    check("a", peer_state::Suspected, 1);
    wait(1h);
    check("a", peer_state::Suspected, 1);
    check("b", peer_state::Live, 2);
    onNoAnswer(state, { "b" }, now);
    check("b", peer_state::Suspected, 2);
    hear(sender("a", 1));
    check("a", peer_state::Live, 1);
    list({});
    check("b", peer_state::Gone, 2);
}

// Guards against a delayed message of an ended incarnation that replaces the newer incarnation of
// the instance, and against a newer incarnation that is ignored.
TEST(membership, restartReplacesThePredecessor)
{
    hear(sender("a", 1));
    wait(3s);
    const auto changes = onHeard(state, sender("a", 2), now);
    CHECK_TRUE(changes.at(0).event == membership_event::Restarted);
    LONGS_EQUAL(1, changes.at(0).predecessor);
    check("a", peer_state::Live, 2);
    CHECK_TRUE(findIncarnation(state, 1) == nullptr);
    CHECK_TRUE(findIncarnation(state, 2) != nullptr);
    // A delayed message of the predecessor.
    now += 100ms;
    hear(sender("a", 1));
    check("a", peer_state::Live, 2);
    hear(sender("a", 2));
    now += 100ms;
    hear(sender("a", 1, sender_state::Gone));
    hear(sender("a", 1));
    check("a", peer_state::Live, 2);
    // After a fast restart, the second message replaces the incarnation.
    hear(sender("a", 3));
    check("a", peer_state::Live, 2);
    hear(sender("a", 3));
    check("a", peer_state::Live, 3);
}

// Guards against work sent to an instance after it announced its end, because of delayed messages
// or a lagging list.
TEST(membership, announcedGoneIsFinalForItsIncarnation)
{
    list({ entry("a") });
    hear(sender("a", 1));
    onHeardByIncarnation(state, 2, sender_state::Gone, now);
    check("a", peer_state::Live, 1);
    onHeardByIncarnation(state, 1, sender_state::Leaving, now);
    check("a", peer_state::Leaving, 1);
    hear(sender("a", 1));
    check("a", peer_state::Leaving, 1);
    hear(sender("a", 1, sender_state::Gone));
    hear(sender("a", 1));
    list({ entry("a") });
    check("a", peer_state::Gone, 1);
    // Still listed: the instance may have restarted.
    wait(state.times.departureTimeout);
    check("a", peer_state::Suspected, 1);
    hear(sender("a", 2));
    check("a", peer_state::Live, 2);
}

// Guards against a restarted instance that stays leaving because the list lags.
TEST(membership, announcedStateOverridesTheList)
{
    list({ entry("a", instance_state::Leaving) });
    hear(sender("a", 2));
    check("a", peer_state::Live, 2);
    list({});
    wait(1h);
    list({ entry("a") });
    check("a", peer_state::Live, 0);
}

// Guards against instances that stay suspected forever after a network partition, and against
// probes that are sent too often.
TEST(membership, probesBackOffAndContinue)
{
    list({ entry("a"), entry("b"), entry("c") });
    hear(sender("a", 1));
    LONGS_EQUAL(1, dueProbes(state, 1, now).size());
    LONGS_EQUAL(1, dueProbes(state, 9, now).size());
    LONGS_EQUAL(0, dueProbes(state, 9, now).size());
    hear(sender("b", 2));
    hear(sender("c", 3));
    onNoAnswer(state, { "a" }, now);
    std::size_t probes = 0;
    for (int i = 0; i < 600; ++i) {
        wait(1s);
        probes += dueProbes(state, 9, now).size();
    }
    CHECK_TRUE(probes >= 600 / 16);
    CHECK_TRUE(probes <= 600 / 16 + 5);
}

// Guards against contradictory state after an arbitrary order of events.
TEST(membership, randomEventsKeepTheInvariants)
{
    std::mt19937_64 random(5);
    for (int step = 0; step < 50'000; ++step) {
        now += duration(random() % 1'000'000);
        const std::string name(1, static_cast<char>('a' + random() % 4));
        std::vector<membership_change> changes;
        switch (random() % 5) {
        case 0: {
            instance_list all;
            for (const char *each : { "a", "b", "c", "d", "self" }) {
                if (random() % 3 != 0)
                    all.instances.push_back(entry(each, static_cast<instance_state>(random() % 2)));
            }
            changes = onInstanceList(state, all, now);
            break;
        }
        case 1:
            changes = onNoAnswer(state, { name }, now);
            break;
        case 2:
            setExpected(state, { { name } }, now);
            break;
        case 3:
            changes = tickMembership(state, now);
            break;
        default:
            changes = onHeard(
                    state, sender(name, 1 + random() % 9, static_cast<sender_state>(random() % 3)),
                    now);
        }
        CHECK_FALSE(state.instances.contains(state.self));
        std::size_t known = 0;
        for (const auto &[instance, each] : state.instances) {
            CHECK_TRUE(each.heardAt == time_point::min() || each.incarnation != 0);
            known += each.incarnation != 0 ? 1 : 0;
        }
        LONGS_EQUAL(known, state.byIncarnation.size());
        for (const membership_change &change : changes) {
            if (change.event == membership_event::Restarted)
                CHECK_TRUE(change.predecessor != change.incarnation);
        }
    }
}
