/// @file
/// @brief Tests of single failover decisions; unit-failover-matrix runs whole failovers.

#include <fuchsiagw/core/failover.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

constexpr term_number term = term_number{ 1 } << rankBits;

member_status makeStatus(const char *id, term_number accepted, log_position last,
                         member_role role = member_role::Replica)
{
    return { { id }, { "g" }, role, accepted, last, last, false };
}

std::size_t count(const failover_actions &actions, failover_step step)
{
    return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(),
                          [step](const failover_action &each) { return each.step == step; }));
}

} // namespace

TEST_GROUP(failover)
{
    group_view view;
    failover_state state;
    failover_load load{ true, noDeadline, 10ms };
    random_engine random{ 1 };
    time_point now{ 10s };

    void setup() override
    {
        group_settings settings;
        for (const char *id : { "a", "b", "c" })
            settings.members[{ id }] = {};
        applySettings(view, { "g" }, settings);
        observeMembers({ "a", "b", "c" });
    }

    void observeMembers(std::initializer_list<const char *> members)
    {
        for (const char *id : members) {
            const auto role = *id == 'a' ? member_role::Primary : member_role::Replica;
            observeStatus(view, makeStatus(id, term, { term, 5 }, role), now, now);
        }
    }

    /// Runs ticks for @p time while only @p members answer; stops when an attempt starts.
    failover_actions tickFor(duration time, std::initializer_list<const char *> members)
    {
        failover_actions all;
        for (const time_point end = now + time; now < end && !state.attempt;
             now += failoverTickInterval) {
            observeMembers(members);
            const auto actions = onTick(state, view, load, now, random);
            all.insert(all.end(), actions.begin(), actions.end());
        }
        return all;
    }

    failover_actions grant(const char *id, bool accepted, log_position last)
    {
        const term_number requestedTerm = state.attempt->term;
        return onAcceptTerm(state, view, { accepted, makeStatus(id, requestedTerm, last) },
                            requestedTerm, now, now, random);
    }
};

// Guards against two owners that promote under the same term, and against terms that do not
// increase. The former happens if the term does not contain the owner's rank, the latter if the
// rank alters the upper bits of the term.
TEST(failover, termsContainTheRank)
{
    CHECK_TRUE(nextTerm(0, 3) != nextTerm(0, 4));
    for (const std::uint8_t rank : { 0, 3, 255 }) {
        CHECK_TRUE(nextTerm(nextTerm(0, 255), rank) > nextTerm(0, 255));
        UNSIGNED_LONGS_EQUAL(rank, nextTerm(12345, rank) & 0xff);
    }
}

// Guards against a promotion while the primary answers, and against a silent primary that is not
// detected in time.
TEST(failover, silenceLeadsToAnAttempt)
{
    tickFor(5s, { "a", "b", "c" });
    CHECK_FALSE(state.attempt.has_value());
    const time_point stoppedAt = now;
    const failover_actions actions = tickFor(5s, { "b", "c" });
    CHECK_TRUE(state.attempt && state.attempt->cause == failover_cause::Silence);
    CHECK_TRUE(now - stoppedAt < 600ms);
    CHECK_TRUE(count(actions, failover_step::Probe) >= probesBeforeSuspicion);
    UNSIGNED_LONGS_EQUAL(3, count(actions, failover_step::AcceptTerm));
}

// Guards against an attempt that cannot reach a majority: it would only fence the reachable
// members.
TEST(failover, noAttemptWithoutAReachableMajority)
{
    tickFor(5s, { "b" });
    CHECK_FALSE(state.attempt.has_value());
    CHECK_TRUE(state.suspicion == failover_cause::Silence);
}

// Guards against an owner that resumes after a pause and takes the gap for a failure of the
// members, because it received no answers while it was paused.
TEST(failover, resumedOwnerProbesBeforeSuspicion)
{
    tickFor(1s, { "a", "b", "c" });
    now += 10s;
    const failover_actions actions = tickFor(200ms, {});
    CHECK_TRUE(count(actions, failover_step::Probe) >= 3);
    CHECK_FALSE(state.suspicion.has_value());
}

// Guards against a promotion because the path from one owner to the primary is cut, while a peer
// can still reach the primary.
TEST(failover, peerThatReachesThePrimaryPreventsAPromotion)
{
    for (int i = 0; i < 50; ++i) {
        published_view peer{ { "g" }, term, { "a" }, false, true, 1000 };
        CHECK_TRUE(onPeerView(state, view, peer, now, random).empty());
        tickFor(100ms, { "b", "c" });
    }
    CHECK_FALSE(state.attempt.has_value());
    tickFor(600ms, { "b", "c" });
    CHECK_TRUE(state.attempt.has_value());
}

// Guards against repeated promotions under slow replication: unconfirmed writes lead to a promotion
// only if no replica's log advances, as with a primary that is cut off from its group.
TEST(failover, unconfirmedWritesCountOnlyWithoutProgress)
{
    load.oldestUnconfirmed = now;
    log_index index = 5;
    for (int i = 0; i < 100; ++i) {
        observeStatus(view, makeStatus("b", term, { term, ++index }), now, now);
        tickFor(50ms, { "a", "b", "c" });
    }
    CHECK_FALSE(state.attempt.has_value());
    tickFor(1s, { "a", "b", "c" });
    CHECK_TRUE(state.attempt && state.attempt->cause == failover_cause::Unconfirmed);
    CHECK_TRUE(state.attempt->excluded == member_id{ "a" });
}

// Guards against an automatic promotion while promotion is switched off, and against an operator's
// command that is ignored in that state.
TEST(failover, switchedOffPromotesOnlyManually)
{
    state.isPromotionEnabled = false;
    tickFor(10s, { "b", "c" });
    CHECK_FALSE(state.attempt.has_value());
    CHECK_TRUE(count(promoteManually(state, view, now, random), failover_step::AcceptTerm) == 3);
    CHECK_TRUE(state.attempt->cause == failover_cause::Manual);
}

// Guards against a leaving primary that is replaced only after it stops answering (requirement
// M11).
TEST(failover, leavingPrimaryIsReplaced)
{
    tickFor(1s, { "a", "b", "c" });
    observeLeaving(view, { "a" }, true);
    tickFor(100ms, { "a", "b", "c" });
    CHECK_TRUE(state.attempt && state.attempt->cause == failover_cause::Leaving);
}

// Guards against `lead` for one term being sent to two members: refusals must not count as grants,
// and a retry must go to the member that was chosen first.
TEST(failover, promotesOneMemberWithTheGreatestPosition)
{
    tickFor(5s, { "b", "c" });
    const term_number requestedTerm = state.attempt->term;
    CHECK_TRUE(grant("b", false, { term, 9 }).empty());
    CHECK_TRUE(grant("a", true, { term, 9 }).empty());
    CHECK_TRUE(grant("c", true, { term, 6 }).empty());
    const failover_actions actions = grant("b", true, { term, 7 });
    UNSIGNED_LONGS_EQUAL(1, count(actions, failover_step::Lead));
    CHECK_TRUE((actions.front().member == member_id{ "b" }));
    for (now += attemptTimeout; state.attempt && state.attempt->term == requestedTerm;
         now += 25ms) {
        for (const auto &each : onTick(state, view, load, now, random))
            CHECK_TRUE(each.step != failover_step::Lead || each.member == member_id{ "b" });
    }
    CHECK_TRUE(state.suspectedPrimary == member_id{ "b" });
    CHECK_TRUE(!state.attempt || state.attempt->term > requestedTerm);
}

// Guards against members that keep following the old primary, both right after the promotion and
// when they return later.
TEST(failover, otherMembersFollowTheNewPrimary)
{
    tickFor(5s, { "b", "c" });
    const term_number requestedTerm = state.attempt->term;
    grant("b", true, { term, 7 });
    grant("c", true, { term, 6 });
    failover_actions actions = onLead(state, view, { "b" }, requestedTerm, true, now, random);
    CHECK_FALSE(state.attempt.has_value());
    CHECK_TRUE(view.primary == member_id{ "b" });
    UNSIGNED_LONGS_EQUAL(1, count(actions, failover_step::Follow));
    UNSIGNED_LONGS_EQUAL(1, count(actions, failover_step::PublishView));
    onFollow(state, { "c" }, requestedTerm, true);
    now += 10s;
    observeMembers({ "a" });
    actions = onTick(state, view, load, now, random);
    UNSIGNED_LONGS_EQUAL(1, count(actions, failover_step::AcceptTerm));
    actions = onAcceptTerm(state, view, { true, makeStatus("a", requestedTerm, { term, 9 }) },
                           requestedTerm, now, now, random);
    UNSIGNED_LONGS_EQUAL(1, count(actions, failover_step::Follow));
    CHECK_TRUE((actions.front().primary == member_id{ "b" }));
}

// Guards against two owners that keep overtaking each other with ever higher terms, so that neither
// promotion completes.
TEST(failover, higherTermOvertakesAnAttempt)
{
    tickFor(5s, { "b", "c" });
    const term_number rivalTerm = nextTerm(state.attempt->term, 9);
    const accept_term_answer refusal{ false, makeStatus("b", rivalTerm, { term, 7 }) };
    CHECK_TRUE(onAcceptTerm(state, view, refusal, state.attempt->term, now, now, random).empty());
    CHECK_FALSE(state.attempt.has_value());
    // The other owner has noPrimaryTimeout to finish. After it, this owner starts an attempt if a
    // majority is reachable.
    tickFor(noPrimaryTimeout, { "b", "c" });
    CHECK_FALSE(state.attempt.has_value());
    tickFor(1s, { "b", "c" });
    CHECK_TRUE(state.attempt && state.attempt->term > rivalTerm);
}

// Guards against replicas of a group without traffic that look too old for occasional reads,
// because they are probed less often than the reads' maximum age demands.
TEST(failover, idleGroupIsProbedAsOftenAsReadsNeed)
{
    load.hasWork = false;
    const auto probesIn = [&](duration wanted) {
        load.wantedAge = wanted;
        std::size_t probes = 0;
        for (const time_point end = now + 3s; now < end; now += failoverTickInterval) {
            for (const auto &each : onTick(state, view, load, now, random)) {
                probes += each.step == failover_step::Probe ? 1 : 0;
                observeMembers({ each.member.value.c_str() });
            }
        }
        return probes;
    };
    CHECK_TRUE(probesIn(duration::zero()) <= 9);
    CHECK_TRUE(probesIn(300ms) >= 60);
    read_interest interest;
    recordRead(interest, 300ms, now);
    recordRead(interest, 5s, now);
    CHECK_TRUE(wantedAge(interest, now) == 300ms);
    CHECK_TRUE(wantedAge(interest, now + readInterestDuration) == duration::zero());
}

// Guards against a member named by an operator being promoted over a member with a longer log,
// which would lose writes.
TEST(failover, preferredMemberIsChosenOnlyAmongEqualPositions)
{
    promotion_attempt attempt;
    attempt.excluded = member_id{ "a" };
    attempt.preferred = member_id{ "c" };
    attempt.grants[{ "b" }] = makeStatus("b", term, { term, 5 });
    attempt.grants[{ "c" }] = makeStatus("c", term, { term, 5 });
    const auto choose = [&] {
        return choosePrimary(attempt, view, acknowledgement_policy::Majority, true);
    };
    CHECK_TRUE(choose() == member_id{ "c" });
    attempt.grants[{ "b" }].last.index = 6;
    CHECK_TRUE(choose() == member_id{ "b" });
}

// Guards against a promotion by the grants of members that were removed during the attempt: the
// primary goes on acknowledging with a majority of the remaining members, none of which is fenced.
TEST(failover, grantOfARemovedMemberDoesNotCount)
{
    group_settings settings;
    for (const char *id : { "a", "b", "c", "d", "e" })
        settings.members[{ id }] = {};
    applySettings(view, { "g" }, settings);
    observeMembers({ "a", "b", "c", "d", "e" });
    const failover_actions begun = promoteManually(state, view, now, random);
    CHECK_EQUAL(5U, count(begun, failover_step::AcceptTerm));
    grant("c", true, { term, 5 });
    grant("d", true, { term, 5 });
    settings.members.erase({ "d" });
    settings.members.erase({ "e" });
    applySettings(view, { "g" }, settings);
    now += failoverTickInterval;
    const failover_actions early = onTick(state, view, load, now, random);
    CHECK_EQUAL(0U, count(early, failover_step::Lead));
    const failover_actions granted = grant("b", true, { term, 5 });
    CHECK_EQUAL(1U, count(granted, failover_step::Lead));
}
