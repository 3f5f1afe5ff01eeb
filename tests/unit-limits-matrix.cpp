/// @file
/// @brief Injects every fault, and every pair of faults, at every step of the protocols of leases,
/// loans and the share pool.

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

/// Action 5 s after the start that a step needs so that a node reaches it.
enum class setup_action { None, Kill, Replace };

struct protocol_step
{
    std::string_view name;
    setup_action setup;
    bool (*isReached)(const world_node &node); ///< a fault is injected into this node
};

template <typename predicate>
bool anyGrantedLoan(const world_node &node, predicate isWanted)
{
    for (const auto &[resource, entry] : node.loanManager.limits)
        for (const auto &[id, loan] : entry.ledger.out)
            if (isWanted(loan))
                return true;
    return false;
}

template <typename predicate>
bool anyReceivedLoan(const world_node &node, predicate isWanted)
{
    for (const auto &[resource, entry] : node.loanManager.limits)
        for (const auto &[id, loan] : entry.ledger.in)
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

using core::granted_loan;
using core::loan_kind;
using core::received_loan;
using core::watched_lease;

const std::array<protocol_step, 13> steps{ {
        { "join_sent", setup_action::None,
          [](const world_node &node) { return !node.hasJoined && node.call != nullptr; } },
        { "joined", setup_action::None, [](const world_node &node) { return node.hasJoined; } },
        { "rate_granted", setup_action::None,
          [](const world_node &node) {
              return anyGrantedLoan(
                      node, [](const granted_loan &loan) { return loan.kind == loan_kind::Rate; });
          } },
        { "tokens_granted", setup_action::None,
          [](const world_node &node) {
              return anyGrantedLoan(node, [](const granted_loan &loan) {
                  return loan.kind == loan_kind::Tokens;
              });
          } },
        { "loan_in_use", setup_action::None,
          [](const world_node &node) {
              return anyReceivedLoan(node,
                                     [](const received_loan &loan) { return loan.shares > 0; });
          } },
        { "loan_extended", setup_action::None,
          [](const world_node &node) {
              return anyGrantedLoan(node,
                                    [](const granted_loan &loan) { return loan.serial >= 2; });
          } },
        { "loan_returned", setup_action::None,
          [](const world_node &node) {
              return anyReceivedLoan(node,
                                     [](const received_loan &loan) { return loan.shares == 0; });
          } },
        { "voted", setup_action::Kill,
          [](const world_node &node) {
              return anyWatched(node, [](const watched_lease &lease) { return lease.hasVoted; });
          } },
        { "majority_voted", setup_action::Kill,
          [](const world_node &node) {
              return anyWatched(node, [](const watched_lease &lease) {
                  return lease.majoritySince != core::noDeadline;
              });
          } },
        { "reclaimed", setup_action::Kill,
          [](const world_node &node) {
              return anyWatched(node, [](const watched_lease &lease) { return lease.isReclaimed; });
          } },
        { "witnesses_submitted", setup_action::Kill,
          [](const world_node &node) { return node.lease.isSubmitted; } },
        { "move_sent", setup_action::Replace,
          [](const world_node &node) {
              return node.hasJoined && !node.isLeaving && node.call != nullptr
                     && !node.call->transaction.puts.empty();
          } },
        { "leave_sent", setup_action::Replace,
          [](const world_node &node) { return node.isLeaving && node.call != nullptr; } },
} };

struct fault
{
    std::string_view name;
    void (*inject)(limits_world &world, std::size_t node);
};

/// Sets a fault rate of all links for 5 s.
void degradeLinks(limits_world &world, double limits_world_settings::*quality, double value)
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
          [](limits_world &w, std::size_t) {
              degradeLinks(w, &limits_world_settings::lost, 0.5);
          } },
        { "messages_doubled",
          [](limits_world &w, std::size_t) {
              degradeLinks(w, &limits_world_settings::doubled, 1);
          } },
        { "messages_late",
          [](limits_world &w, std::size_t) {
              degradeLinks(w, &limits_world_settings::late, 0.5);
          } },
} };

limits_world_settings settingsOf(std::uint64_t seed)
{
    limits_world_settings settings;
    settings.seed = seed;
    settings.instances = 6;
    settings.zones = 2;
    settings.workspaces = { { "uneven", 40, 20, 38, { 6, 1, 0, 0, 1 } }, { "tiny", 5, 5, 4, {} } };
    settings.connections = 8;
    // Half the default tick rate keeps the matrix within the time limit under sanitizers.
    settings.tickEvery = milliseconds(20);
    return settings;
}

/// Runs the world until a node reaches the step.
/// @return the node, into which the faults are injected; std::nullopt if none reaches the step
std::optional<std::size_t> runUntilReached(limits_world &world, const protocol_step &wanted)
{
    for (int i = 0; i < 4'000; ++i) {
        runFor(world, milliseconds(5));
        for (std::size_t node = 0; node < world.nodes.size(); ++node)
            if (world.nodes[node].isAlive && wanted.isReached(world.nodes[node]))
                return node;
    }
    return std::nullopt;
}

struct cell_counts
{
    int run = 0;
    int passed = 0;
};

void runCell(cell_counts &count, std::uint64_t seed, const protocol_step &atStep,
             const fault &first, const fault *second)
{
    const auto world = makeWorld(settingsOf(seed));
    if (atStep.setup != setup_action::None)
        after(*world, seconds(5), [&world, &atStep] {
            if (atStep.setup == setup_action::Kill)
                killNode(*world, 1);
            else
                replaceNode(*world, 1);
        });
    const auto node = runUntilReached(*world, atStep);
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
                    static_cast<unsigned long long>(seed), atStep.name.data(), first.name.data(),
                    second == nullptr ? "no other" : second->name.data(),
                    node ? "reached" : "step not reached",
                    static_cast<unsigned long long>(violations(*world)));
}

/// Runs a history with long pauses, crashes and bad links, in which the checkers can detect each
/// limits_defect of the protocols.
/// @return the number of violations
std::uint64_t violationsUnder(limits_defect mutated, std::uint64_t seed)
{
    limits_world_settings settings = settingsOf(seed);
    settings.fault = mutated;
    settings.doubled = 0.2;
    // Witnesses promiseDuration a lease for a short time and loans are long, so that the loans of a
    // crashed lender outlast its lease.
    settings.leases.promiseDuration = seconds(2);
    settings.leases.promiseRenewInterval = milliseconds(500);
    settings.leases.voteGracePeriod = milliseconds(0);
    settings.loans.times.rateLoanDuration = seconds(8);
    const auto world = makeWorld(settings);
    runFor(*world, seconds(6));
    pauseNode(*world, 1, seconds(20));
    runFor(*world, seconds(6));
    killNode(*world, 3); // holds home shares of "uneven" and has lent most of them
    runFor(*world, seconds(24));
    return violations(*world);
}

} // namespace

TEST_GROUP(limits_matrix){};

// Guards against a fault or a pair of faults at any step that lets two instances use the same
// share, grants more than one exact token bucket would, or creates or loses shares in the table.
TEST(limits_matrix, everyFaultAndPairAtEveryStep)
{
    cell_counts singles;
    cell_counts pairs;
    std::uint64_t seed = firstSeed;
    for (const protocol_step &atStep : steps)
        for (const fault &first : faults) {
            runCell(singles, seed++, atStep, first, nullptr);
            for (const fault &second : faults)
                runCell(pairs, seed++, atStep, first, &second);
        }
    std::printf("cells: %d single faults run, %d passed, %d failed; %d pairs run, %d passed, "
                "%d failed; seeds %llu to %llu\n",
                singles.run, singles.passed, singles.run - singles.passed, pairs.run, pairs.passed,
                pairs.run - pairs.passed, static_cast<unsigned long long>(firstSeed),
                static_cast<unsigned long long>(seed - 1));
    LONGS_EQUAL(singles.run, singles.passed);
    LONGS_EQUAL(pairs.run, pairs.passed);
}

// Guards against checkers that do not detect a violation: each limits_defect breaks one rule of the
// protocols, and some seed must show it.
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
