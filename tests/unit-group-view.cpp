/// @file
/// @brief Tests of an owner's view of a group.

#include <fuchsiagw/core/group_view.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{ 10s };

member_status makeStatus(const char *id, term_number term, log_position last,
                         member_role role = member_role::Replica)
{
    return { { id }, { "g" }, role, term, last, last, false };
}

group_view makeView()
{
    group_view view;
    group_settings settings;
    for (const char *id : { "a", "b", "c" })
        settings.members[{ id }] = {};
    applySettings(view, { "g" }, settings);
    return view;
}

} // namespace

TEST_GROUP(group_view)
{
    group_view view = makeView();
    random_engine random{ 1 };
};

// Guards against a view that returns to an old term or an old primary when a status arrives late.
TEST(group_view, termNeverDecreases)
{
    observeStatus(view, makeStatus("a", 1, { 1, 5 }, member_role::Primary), now, now);
    CHECK_TRUE(view.primary == member_id{ "a" });
    observeStatus(view, makeStatus("b", 2, { 1, 4 }), now, now);
    CHECK_FALSE(view.primary.has_value());
    CHECK_FALSE(observeStatus(view, makeStatus("b", 1, { 1, 9 }), now, now));
    CHECK_TRUE((view.members[{ "b" }].last == log_position{ 1, 4 }));
    observeStatus(view, makeStatus("a", 1, { 1, 6 }, member_role::Primary), now, now);
    CHECK_FALSE(view.primary.has_value());
    observePrimary(view, { "b" }, 2, now);
    observePrimary(view, { "c" }, 2, now);
    CHECK_TRUE(view.primary == member_id{ "b" });
    UNSIGNED_LONGS_EQUAL(2, view.highestTerm);
}

// Guards against a member being credited with entries that it has truncated, because a reported
// position can also decrease.
TEST(group_view, truncationDecreasesTheLastPosition)
{
    observeStatus(view, makeStatus("a", 2, { 1, 9 }), now, now);
    observeStatus(view, makeStatus("a", 2, { 1, 7 }), now, now);
    CHECK_TRUE((view.members[{ "a" }].last == log_position{ 1, 7 }));
    observeStatus(view, makeStatus("a", 2, { 2, 8 }), now, now);
    observeStatus(view, makeStatus("a", 2, { 1, 7 }), now, now);
    CHECK_TRUE((view.members[{ "a" }].last == log_position{ 2, 8 }));
}

// Guards against ages that are computed from samples of a deposed primary: they count only after a
// majority has answered under the primary's term.
TEST(group_view, samplesNeedAMajority)
{
    observeStatus(view, makeStatus("a", 1, { 1, 5 }, member_role::Primary), now, now);
    CHECK_FALSE(ageOf(view.ages, { 1, 5 }, now).has_value());
    observeStatus(view, makeStatus("b", 1, { 1, 5 }), now + 1s, now + 1s);
    CHECK_TRUE(ageOf(view.ages, { 1, 5 }, now + 1s) == duration(1s));
}

// Guards against concurrent failures that each double the backoff and exclude a member for seconds,
// and against a member that stays backed off after it has answered.
TEST(group_view, failuresBackOffExponentially)
{
    for (int i = 0; i < 10; ++i)
        observeFailure(view, { "a" }, member_failure::Silence, now, random);
    const backoff &pause = view.members[{ "a" }].backoffState;
    UNSIGNED_LONGS_EQUAL(1, pause.failures);
    CHECK_TRUE(pause.until > now && pause.until <= now + initialBackoff);
    time_point last = pause.until;
    for (int i = 0; i < 10; ++i) {
        last = pause.until;
        observeFailure(view, { "a" }, member_failure::Refused, last, random);
    }
    CHECK_TRUE(pause.until - last > maxBackoff / 2 && pause.until - last <= maxBackoff);
    observeStatus(view, makeStatus("a", 1, { 1, 5 }), now, now);
    CHECK_FALSE(isBackedOff(pause, now));
}

// Guards against a lagging member that is used again at its next answer, before it has caught up.
TEST(group_view, laggingMemberStaysBackedOffUntilCaughtUp)
{
    observeStatus(view, makeStatus("a", 1, { 1, 9 }, member_role::Primary), now, now);
    observeFailure(view, { "b" }, member_failure::FarBehind, now, random);
    observeStatus(view, makeStatus("b", 1, { 1, 8 }), now, now);
    CHECK_TRUE(view.members[{ "b" }].catchUpPosition.has_value());
    observeStatus(view, makeStatus("b", 1, { 1, 9 }), now, now);
    CHECK_FALSE(view.members[{ "b" }].catchUpPosition.has_value());
    CHECK_FALSE(isBackedOff(view.members[{ "b" }].backoffState, now));
}
