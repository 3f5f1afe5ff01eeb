/// @file
/// @brief Every fault, and every pair of faults, at every step of leases, loans and the pool.

#include <fuchsiagw/testing/limits_world.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <string_view>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t firstSeed = 5'000;

/// What happens 5 s after the start so that the step is reached.
enum class prelude { None, Kill, Replace };

struct step
{
    std::string_view name;
    prelude before;
    bool (*isReached)(const world_node &node); ///< the fault hits this node
};

template <typename predicate>
bool anyOut(const world_node &node, predicate isWanted)
{
    for (const auto &[resource, entry] : node.desk.limits)
        for (const auto &[id, loan] : entry.book.out)
            if (isWanted(loan))
                return true;
    return false;
}

template <typename predicate>
bool anyIn(const world_node &node, predicate isWanted)
{
    for (const auto &[resource, entry] : node.desk.limits)
        for (const auto &[id, loan] : entry.book.in)
            if (isWanted(loan))
                return true;
    return false;
}

template <typename predicate>
bool anyWatched(const world_node &node, predicate isWanted)
{
    return std::any_of(node.witness.watched.begin(), node.witness.watched.end(),
                       [&](const auto &each) { return isWanted(each.second); });
}

using core::loan_in;
using core::loan_kind;
using core::loan_out;
using core::watched_lease;

const std::array<step, 13> steps{ {
        { "join_sent", prelude::None,
          [](const world_node &node) { return !node.hasJoined && node.call != nullptr; } },
        { "joined", prelude::None, [](const world_node &node) { return node.hasJoined; } },
        { "rate_granted", prelude::None,
          [](const world_node &node) {
              return anyOut(node,
                            [](const loan_out &loan) { return loan.kind == loan_kind::Rate; });
          } },
        { "tokens_granted", prelude::None,
          [](const world_node &node) {
              return anyOut(node,
                            [](const loan_out &loan) { return loan.kind == loan_kind::Tokens; });
          } },
        { "loan_in_use", prelude::None,
          [](const world_node &node) {
              return anyIn(node, [](const loan_in &loan) { return loan.shares > 0; });
          } },
        { "loan_extended", prelude::None,
          [](const world_node &node) {
              return anyOut(node, [](const loan_out &loan) { return loan.serial >= 2; });
          } },
        { "loan_returned", prelude::None,
          [](const world_node &node) {
              return anyIn(node, [](const loan_in &loan) { return loan.shares == 0; });
          } },
        { "voted", prelude::Kill,
          [](const world_node &node) {
              return anyWatched(node, [](const watched_lease &lease) { return lease.hasVoted; });
          } },
        { "majority_voted", prelude::Kill,
          [](const world_node &node) {
              return anyWatched(node, [](const watched_lease &lease) {
                  return lease.majoritySince != core::noDeadline;
              });
          } },
        { "reclaimed", prelude::Kill,
          [](const world_node &node) {
              return anyWatched(node, [](const watched_lease &lease) { return lease.isReclaimed; });
          } },
        { "witnesses_submitted", prelude::Kill,
          [](const world_node &node) { return node.lease.isSubmitted; } },
        { "move_sent", prelude::Replace,
          [](const world_node &node) {
              return node.hasJoined && !node.isLeaving && node.call != nullptr
                     && !node.call->transaction.puts.empty();
          } },
        { "leave_sent", prelude::Replace,
          [](const world_node &node) { return node.isLeaving && node.call != nullptr; } },
} };

struct fault
{
    std::string_view name;
    void (*inject)(limits_world &world, std::size_t node);
};

/// Changes the quality of all links for 5 s.
void disturb(limits_world &world, double world_settings::*quality, double value)
{
    world.settings.*quality = value;
    after(world, seconds(5), [&world, quality] { world.settings.*quality = 0; });
}

const std::array<fault, 10> faults{ {
        { "short_pause",
          [](limits_world &w, std::size_t n) { pauseNode(w, n, milliseconds(700)); } },
        { "long_pause", [](limits_world &w, std::size_t n) { pauseNode(w, n, seconds(16)); } },
        { "death", [](limits_world &w, std::size_t n) { killNode(w, n); } },
        { "restart",
          [](limits_world &w, std::size_t n) {
              killNode(w, n);
              after(w, milliseconds(300), [&w, n] { startNode(w, n); });
          } },
        { "zone_cut", [](limits_world &w, std::size_t n) { cutZone(w, n % 2, seconds(10)); } },
        { "platform_down", [](limits_world &w, std::size_t) { stopPlatform(w, seconds(10)); } },
        { "answers_lost", [](limits_world &w, std::size_t) { loseAnswers(w, seconds(5)); } },
        { "messages_lost",
          [](limits_world &w, std::size_t) { disturb(w, &world_settings::lost, 0.5); } },
        { "messages_doubled",
          [](limits_world &w, std::size_t) { disturb(w, &world_settings::doubled, 1); } },
        { "messages_late",
          [](limits_world &w, std::size_t) { disturb(w, &world_settings::late, 0.5); } },
} };

world_settings settingsOf(std::uint64_t seed)
{
    world_settings settings;
    settings.seed = seed;
    settings.instances = 6;
    settings.zones = 2;
    settings.workspaces = { { "uneven", 40, 20, 38, { 6, 1, 0, 0, 1 } }, { "tiny", 5, 5, 4, {} } };
    settings.connections = 8;
    // Half the usual pace keeps the matrix inside the time limit under the sanitizers.
    settings.tickEvery = milliseconds(20);
    return settings;
}

/// Runs until a node is at the step; the node gets the faults.
std::optional<std::size_t> reach(limits_world &world, const step &wanted)
{
    for (int i = 0; i < 4'000; ++i) {
        runFor(world, milliseconds(5));
        for (std::size_t node = 0; node < world.nodes.size(); ++node)
            if (world.nodes[node].isAlive && wanted.isReached(world.nodes[node]))
                return node;
    }
    return std::nullopt;
}

struct matrix_count
{
    int run = 0;
    int passed = 0;
};

void runCell(matrix_count &count, std::uint64_t seed, const step &at, const fault &first,
             const fault *second)
{
    const auto world = makeWorld(settingsOf(seed));
    if (at.before != prelude::None)
        after(*world, seconds(5), [&world, &at] {
            if (at.before == prelude::Kill)
                killNode(*world, 1);
            else
                replaceNode(*world, 1);
        });
    const auto node = reach(*world, at);
    if (node) {
        first.inject(*world, *node);
        if (second != nullptr) {
            runFor(*world, milliseconds(200));
            second->inject(*world, (*node + 1) % world->nodes.size());
        }
        runFor(*world, seconds(24));
    }
    ++count.run;
    const bool hasPassed = node.has_value() && violations(*world) == 0 && total(*world).granted > 0;
    count.passed += hasPassed ? 1 : 0;
    if (!hasPassed)
        std::printf("seed %llu: %s, %s and %s: %s, %llu violations\n",
                    static_cast<unsigned long long>(seed), at.name.data(), first.name.data(),
                    second == nullptr ? "no other" : second->name.data(),
                    node ? "reached" : "step not reached",
                    static_cast<unsigned long long>(violations(*world)));
}

/// A history that brings each deliberate fault to light: long pauses, deaths and bad links.
std::uint64_t violationsUnder(limits_defect mutated, std::uint64_t seed)
{
    world_settings settings = settingsOf(seed);
    settings.fault = mutated;
    settings.doubled = 0.2;
    // Short promises and long loans: a dead lender's loans outlive its lease.
    settings.leases.promise = seconds(2);
    settings.leases.askEvery = milliseconds(500);
    settings.leases.voteGrace = milliseconds(0);
    settings.loans.times.length = seconds(8);
    const auto world = makeWorld(settings);
    runFor(*world, seconds(6));
    pauseNode(*world, 1, seconds(20));
    runFor(*world, seconds(6));
    killNode(*world, 3); // holds shares of "uneven" and has lent most of them
    runFor(*world, seconds(24));
    return violations(*world);
}

} // namespace

TEST_GROUP(limits_matrix){};

// Guards against any single fault or pair of faults, at any step, that lets two instances use one
// share, grants more than the exact bucket, or loses or creates shares in the table.
TEST(limits_matrix, everyFaultAndPairAtEveryStep)
{
    matrix_count singles;
    matrix_count pairs;
    std::uint64_t seed = firstSeed;
    for (const step &at : steps)
        for (const fault &first : faults) {
            runCell(singles, seed++, at, first, nullptr);
            for (const fault &second : faults)
                runCell(pairs, seed++, at, first, &second);
        }
    std::printf("cells: %d single faults run, %d passed, %d failed; %d pairs run, %d passed, "
                "%d failed; seeds %llu to %llu\n",
                singles.run, singles.passed, singles.run - singles.passed, pairs.run, pairs.passed,
                pairs.run - pairs.passed, static_cast<unsigned long long>(firstSeed),
                static_cast<unsigned long long>(seed - 1));
    LONGS_EQUAL(singles.run, singles.passed);
    LONGS_EQUAL(pairs.run, pairs.passed);
}

// Guards against checkers that would not notice a violation.
TEST(limits_matrix, checkersCatchDeliberateFaults)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        LONGS_EQUAL(0, violationsUnder(limits_defect::None, seed));
    for (std::size_t i = 1; i < limitsDefectNames.size(); ++i) {
        std::uint64_t seed = 1;
        while (seed <= 5 && violationsUnder(static_cast<limits_defect>(i), seed) == 0)
            ++seed;
        std::printf("%s: %s, seed %llu\n", limitsDefectNames.at(i).data(),
                    seed <= 5 ? "caught" : "not caught", static_cast<unsigned long long>(seed));
        CHECK_TRUE(seed <= 5);
    }
}
