/// @file
/// @brief Tests of the replay protection.

#include <fuchsiagw/wire/replay_window.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using wire::replay_window;
using wire::sequence_window;

TEST_GROUP(replay_window)
{
    core::time_point now{ std::chrono::seconds(100) };
};

// Guards against a replayed message that is accepted and a reordered one that is rejected. The
// window must agree with an unbounded set of the received numbers.
TEST(replay_window, agreesWithUnboundedSet)
{
    std::mt19937_64 random(11);
    sequence_window window;
    std::set<std::uint64_t> seen;
    std::uint64_t newest = 0;
    for (int i = 0; i < 100'000; ++i) {
        const std::uint64_t reach = random() % 50 == 0 ? 3 * sequence_window::size : 40;
        const std::uint64_t centre = newest + reach / 4;
        const std::uint64_t back = random() % reach;
        const std::uint64_t number = centre > back ? centre - back : 0;
        const bool isNew =
                number > 0 && number + sequence_window::size > newest && seen.insert(number).second;
        CHECK_EQUAL(isNew, window.accept(number));
        newest = std::max(newest, number);
    }
    CHECK_FALSE(window.accept(0));
}

// Guards against an overflow at the largest sequence number.
TEST(replay_window, largestNumbersDoNotOverflow)
{
    sequence_window window;
    CHECK_TRUE(window.accept(UINT64_MAX));
    CHECK_FALSE(window.accept(UINT64_MAX));
    CHECK_TRUE(window.accept(UINT64_MAX - sequence_window::size + 1));
    CHECK_FALSE(window.accept(UINT64_MAX - sequence_window::size));
}

// Guards against a restarted sender, whose sequence numbers start again at 1 and are rejected as
// replays of its previous incarnation.
TEST(replay_window, incarnationsAreIndependent)
{
    replay_window window;
    CHECK_TRUE(window.accept(1, 500, now));
    CHECK_TRUE(window.accept(2, 1, now));
    CHECK_FALSE(window.accept(1, 500, now));
}

// Guards against memory that grows with the number of senders, and against the eviction of a sender
// whose messages may still be in the network and could then be replayed.
TEST(replay_window, sendersAreBounded)
{
    const auto window = std::make_unique<replay_window>();
    for (core::incarnation_id sender = 1; sender <= replay_window::maxSenders; ++sender)
        CHECK_TRUE(window->accept(sender, 1, now));
    CHECK_FALSE(window->accept(replay_window::maxSenders + 1, 1, now));
    now += replay_window::senderIdleTimeout - core::duration(1);
    CHECK_TRUE(window->accept(1, 2, now));
    CHECK_FALSE(window->accept(replay_window::maxSenders + 1, 1, now));
    now += core::duration(1);
    CHECK_TRUE(window->accept(replay_window::maxSenders + 1, 1, now));
    CHECK_FALSE(window->accept(1, 2, now));
    LONGS_EQUAL(2, window->senderCount());
}
