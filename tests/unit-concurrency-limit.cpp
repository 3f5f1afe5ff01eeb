/// @file
/// @brief Tests of the limit on concurrent operations at a member, with a model of the member in
/// virtual time.

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/proxy/concurrency_limit.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A member whose time to an answer depends on the operations that it has.
struct model_member
{
    struct operation
    {
        core::time_point answeredAt{};
        answer_sample sample;
        bool operator>(const operation &other) const { return answeredAt > other.answeredAt; }
    };

    std::uint32_t slots = 4;
    double workUs = 10'000;
    double slowdown = 1; ///< factor at any load
    /// Operations beyond which each further one makes all of them slower by a half; 0: none.
    std::uint32_t knee = 0;
    double failureShare = 0; ///< of the operations, answered in half a millisecond
    double longShare = 0; ///< of the operations, 30 times as long
    core::random_engine random{ 7 };
    std::priority_queue<operation, std::vector<operation>, std::greater<>> running;

    double draw() { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }

    core::duration timeFor()
    {
        const auto count = static_cast<double>(running.size() + 1);
        double us = workUs * slowdown * (0.7 + 0.6 * draw());
        // What exceeds the slots waits for one of them.
        us *= std::max(1.0, count / slots);
        if (knee > 0 && count > knee)
            us *= 1 + 0.5 * (count - knee);
        if (draw() < longShare)
            us *= 30;
        return core::duration(static_cast<std::int64_t>(us));
    }
};

/// Keeps as many operations at the member as its limit allows.
struct limited_load
{
    model_member member;
    concurrency_limit state;
    core::time_point now{ seconds(100) };
    std::uint32_t demand = 100; ///< operations that wait at any time
    std::uint32_t mostOutstanding = 0;
    std::uint32_t leastLimit = 1'000;
    std::uint32_t answers = 0;

    limited_load() { startLimit(state, member.slots, 1, now); }

    void send()
    {
        const auto outstanding = static_cast<std::uint32_t>(member.running.size() + 1);
        model_member::operation next;
        next.sample.sentAt = now;
        next.sample.outstanding = outstanding;
        next.answeredAt = now + member.timeFor();
        if (member.draw() < member.failureShare) {
            next.sample.kind = answer_kind::Error;
            next.answeredAt = now + std::chrono::microseconds(500);
        }
        member.running.push(next);
        mostOutstanding = std::max(mostOutstanding, outstanding);
    }

    void advance(core::duration elapsed)
    {
        for (const core::time_point end = now + elapsed; now < end; now += milliseconds(1)) {
            while (!member.running.empty() && member.running.top().answeredAt <= now) {
                const auto done = member.running.top();
                member.running.pop();
                ++answers;
                recordAnswer(state, done.sample, now);
            }
            while (member.running.size() < std::min(demand, currentLimit(state, now)))
                send();
            leastLimit = std::min(leastLimit, static_cast<std::uint32_t>(state.limit));
        }
    }

    void resetExtremes()
    {
        mostOutstanding = 0;
        leastLimit = 1'000;
        answers = 0;
    }
};

} // namespace

TEST_GROUP(concurrency_limit)
{
    limited_load load;
};

// Load: more demand than the member has slots. Guards against a limit that starts below the slots,
// and one that lets the member's own queue grow.
TEST(concurrency_limit, newMemberStartsAtItsSlotsAndKeepsThemInUse)
{
    LONGS_EQUAL(4, currentLimit(load.state, load.now));
    load.advance(seconds(10));
    CHECK(load.leastLimit >= 4);
    CHECK(load.mostOutstanding <= 8);
}

// Load: a member that takes two operations well and slows down beyond that, long before its slots
// are full. Guards against fixed slots.
TEST(concurrency_limit, memberThatSlowsDownBeforeItIsFullGetsLess)
{
    load.member.slots = 16;
    load.member.knee = 2;
    startLimit(load.state, 16, 2, load.now);
    load.advance(seconds(10));
    load.resetExtremes();
    load.advance(seconds(10));
    CHECK(load.mostOutstanding <= 8);
    CHECK(load.leastLimit >= 1);
}

// Load: one member becomes four times as slow at any load, for six seconds. Guards against daemons
// that learn of it only when the member is full, and against a limit that does not come back.
TEST(concurrency_limit, slowMemberIsNoticedAndRecovers)
{
    load.advance(seconds(10));
    CHECK_FALSE(isSlow(load.state));
    load.member.slowdown = 4;
    load.advance(seconds(3));
    CHECK_TRUE(isSlow(load.state));
    load.advance(seconds(3));
    load.member.slowdown = 1;
    load.advance(seconds(5));
    CHECK_FALSE(isSlow(load.state));
    CHECK(load.state.limit >= 4);
}

// Load: all members become four times as slow and stay so. Guards against limits that fall until
// nothing is served, and against one that calls the new state slow for good.
TEST(concurrency_limit, lastingSlownessBecomesNormal)
{
    load.advance(seconds(5));
    load.member.slowdown = 4;
    load.resetExtremes();
    load.advance(seconds(60));
    CHECK(load.leastLimit >= 1);
    CHECK(load.state.limit >= 4);
    CHECK_FALSE(isSlow(load.state));
}

// Load: a member fails four of ten operations within half a millisecond. Guards against taking the
// failures for speed, and sending it more and more.
TEST(concurrency_limit, fastFailuresAreNoSpeed)
{
    load.advance(seconds(5));
    const double before = load.state.unloadedUs;
    const double limit = load.state.limit;
    load.member.failureShare = 0.4;
    load.advance(seconds(10));
    CHECK(load.state.limit <= limit);
    CHECK(load.state.unloadedUs > before / 2);
}

// Load: one in twenty operations takes thirty times as long. Guards against a limit that falls
// because of a few long statements.
TEST(concurrency_limit, fewLongStatementsDoNotCount)
{
    load.advance(seconds(5));
    load.member.longShare = 0.05;
    load.resetExtremes();
    load.advance(seconds(20));
    CHECK(load.leastLimit >= 3);
}

// Load: the daemon itself stands still for 200 ms again and again. Guards against taking its own
// delay for the member's.
TEST(concurrency_limit, ownDelayIsNotTheMembers)
{
    load.advance(seconds(5));
    const double limit = load.state.limit;
    for (int i = 0; i < 20; ++i) {
        load.now += milliseconds(200); // no answer is read in this time
        discardSamples(load.state, load.now);
        load.advance(milliseconds(300));
    }
    CHECK(load.state.limit >= std::min(limit, 4.0));
    CHECK_FALSE(isSlow(load.state));
}

// Load: a member that refuses statements as its queue is full. Guards against a limit that does not
// follow refusals.
TEST(concurrency_limit, refusalsOfTheMemberCount)
{
    load.advance(seconds(2));
    for (int i = 0; i < 60; ++i) {
        recordAnswer(load.state, { answer_kind::Busy, load.now, 4 }, load.now);
        load.now += milliseconds(50);
    }
    CHECK(load.state.limit <= 2);
    CHECK(load.state.limit >= 1);
}

// Load: the member starts again. Guards against judging a new process by the old one's times.
TEST(concurrency_limit, restartForgetsWhatWasLearnt)
{
    load.member.slowdown = 4;
    load.advance(seconds(5));
    CHECK_FALSE(startLimit(load.state, 4, 1, load.now));
    CHECK_TRUE(startLimit(load.state, 4, 99, load.now));
    LONGS_EQUAL(4, currentLimit(load.state, load.now));
    DOUBLES_EQUAL(0, load.state.unloadedUs, 0);
}

// Load: constant demand for a minute. Guards against a limit that swings: away from the short
// probes it must stay within three steps.
TEST(concurrency_limit, limitDoesNotSwingUnderConstantLoad)
{
    load.advance(seconds(10));
    double least = load.state.limit;
    double most = load.state.limit;
    for (int i = 0; i < 600; ++i) {
        load.advance(milliseconds(100));
        least = std::min(least, load.state.limit);
        most = std::max(most, load.state.limit);
    }
    CHECK(most - least <= 3);
}
