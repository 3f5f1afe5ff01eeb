/// @file
/// @brief Tests of the positions that a session stores.

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

// Guards against lowering a session's position when the answer to an earlier write arrives late: a
// read could then miss the newer write.
TEST(session, positionsOnlyIncrease)
{
    session state = sessionOf(0, 1);
    recordWrite(state, groupOf(0), { 2, 5 });
    recordWrite(state, groupOf(0), { 1, 900 });
    CHECK_TRUE((minPosition(state, groupOf(0)) == log_position{ 2, 5 }));
    CHECK_TRUE((minPosition(state, groupOf(1)) == log_position{}));
}

// Guards against a replica serving a read without the session's write, after the write's group was
// dropped from a session with too many groups.
TEST(session, droppedGroupNeedsThePrimary)
{
    session state = sessionOf(0, maxSessionGroups + 1);
    LONGS_EQUAL(maxSessionGroups, state.entries.size());
    CHECK_FALSE(minPosition(state, groupOf(0)).has_value());
    CHECK_FALSE(minPosition(state, groupOf(99)).has_value());
    CHECK_TRUE(minPosition(state, groupOf(1)).has_value());
}

// Guards against a merge that uses the older position of one session although the newer position
// was dropped from the other.
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
