/// @file
/// @brief Tests of the positions of a session.

#include <fuchsiagw/core/session.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;

namespace {

group_id groupOf(std::size_t number)
{
    return { "group-" + std::to_string(number) };
}

session sessionOf(std::size_t firstGroup, std::size_t count)
{
    session state{ { "libros-hire" }, {}, false };
    for (std::size_t i = 0; i < count; ++i)
        recordWrite(state, groupOf(firstGroup + i), { 1, firstGroup + i + 1 });
    return state;
}

} // namespace

TEST_GROUP(session){};

// Guards against a late answer that takes a session back behind its newest write.
TEST(session, positionsOnlyIncrease)
{
    session state = sessionOf(0, 1);
    recordWrite(state, groupOf(0), { 2, 5 });
    recordWrite(state, groupOf(0), { 1, 900 });
    CHECK_TRUE((minPosition(state, groupOf(0)) == log_position{ 2, 5 }));
    CHECK_TRUE((minPosition(state, groupOf(1)) == log_position{}));
}

// Guards against a read that misses a write whose group was dropped from a full session.
TEST(session, droppedGroupNeedsThePrimary)
{
    session state = sessionOf(0, maxSessionGroups + 1);
    LONGS_EQUAL(maxSessionGroups, state.entries.size());
    CHECK_FALSE(minPosition(state, groupOf(0)).has_value());
    CHECK_FALSE(minPosition(state, groupOf(99)).has_value());
    CHECK_TRUE(minPosition(state, groupOf(1)).has_value());
}

// Guards against a merge in which a known older position stands for a dropped newer one.
TEST(session, mergeIsNeverWeakerThanEitherSide)
{
    const session full = sessionOf(0, maxSessionGroups + 1);
    const session small = sessionOf(0, 1);
    session left = full;
    merge(left, small);
    session right = small;
    merge(right, full);
    for (const session &each : { left, right }) {
        CHECK_FALSE(minPosition(each, groupOf(0)).has_value());
        CHECK_TRUE((minPosition(each, groupOf(3)) == log_position{ 1, 4 }));
    }

    session other = sessionOf(0, 1);
    session newer = sessionOf(0, 1);
    recordWrite(newer, groupOf(0), { 3, 1 });
    merge(other, newer);
    CHECK_TRUE((minPosition(other, groupOf(0)) == log_position{ 3, 1 }));
}
