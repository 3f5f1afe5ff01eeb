/// @file
/// @brief Tests of the pauses between reads of the store.

#include <fuchsiagw/daemon/read_pacing.hpp>

#include <CppUTest/TestHarness.h>

#include <array>

using namespace fuchsiagw::daemon;
using std::chrono::milliseconds;

TEST_GROUP(read_pacing){};

// The pattern: every change of a member wakes all daemons. The calls of all daemons together must
// not grow with their number as long as the pauses are below their limits.
TEST(read_pacing, callsOfAllDaemonsAreBounded)
{
    for (const std::size_t instances : { 80U, 120U, 195U, 220U }) {
        const read_pacing pacing = pacingFor(instances);
        const double pause = static_cast<double>(pacing.memberPollPause.count()) / 1'000;
        CHECK(static_cast<double>(instances) / pause <= 80);
    }
    CHECK(pacingFor(195).memberPollPause > 2 * pacingFor(80).memberPollPause);
}

// Guards against a large deployment in which a leaving member gets new work after its drain limit
// of 10 s, or a restarted daemon stays unknown; and against slower news in a small one.
TEST(read_pacing, pausesStayWithinTheirLimits)
{
    CHECK(pacingFor(0).memberPollPause == milliseconds(800));
    CHECK(pacingFor(9).memberPollPause == milliseconds(800));
    CHECK(pacingFor(9).instancePollPause == milliseconds(3'000));
    for (const std::size_t instances : { 1'641U, 100'000'000U }) {
        const read_pacing pacing = pacingFor(instances);
        CHECK(pacing.memberPollPause <= milliseconds(3'000));
        CHECK(pacing.instancePollPause <= milliseconds(10'000));
        CHECK(pacing.minMemberReadInterval <= milliseconds(1'000));
    }
}
