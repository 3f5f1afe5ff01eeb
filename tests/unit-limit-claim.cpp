/// @file
/// @brief Tests of the claims that divide a limit among daemons.

#include <fuchsiagw/proxy/limit_claim.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <random>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t self = 7; // incarnation

core::time_point at(int millis)
{
    return core::time_point(std::chrono::hours(1) + milliseconds(millis));
}

claim_row ownRow(limit_part part, std::uint64_t incarnation = self)
{
    return { true, incarnation, part };
}

claim_row otherRow(limit_part part)
{
    return { false, 1, part };
}

} // namespace

TEST_GROUP(limit_claim){};

// Guards against a part that is used before the others can know of it.
TEST(limit_claim, claimCountsOnceItWasRead)
{
    limit_claim claim;
    LONGS_EQUAL(0, revise(claim, {}, self, at(0)).value());
    LONGS_EQUAL(0, claim.granted);
    LONGS_EQUAL(wholeLimit, revise(claim, { ownRow(0) }, self, at(100)).value());
    LONGS_EQUAL(0, claim.granted);
    CHECK_FALSE(revise(claim, { ownRow(wholeLimit) }, self, at(200)).has_value());
    LONGS_EQUAL(wholeLimit, claim.granted);
}

// Guards against a call of the process before this one that is carried out late: its row is written
// again, so that the late call finds another version.
TEST(limit_claim, rowOfAnEarlierProcessIsWrittenAgain)
{
    limit_claim claim;
    LONGS_EQUAL(300'000, revise(claim, { ownRow(300'000, 3) }, self, at(0)).value());
    LONGS_EQUAL(0, claim.granted);
}

// Guards against more than the whole: what others claim is not used, even if they are not heard.
TEST(limit_claim, claimIsUsedAsFarAsOthersLeaveRoom)
{
    limit_claim claim;
    static_cast<void>(revise(claim, { ownRow(500'000), otherRow(700'000) }, self, at(0)));
    LONGS_EQUAL(300'000, claim.granted);
    static_cast<void>(revise(claim, { ownRow(500'000), otherRow(500'000) }, self, at(10)));
    LONGS_EQUAL(500'000, claim.granted);
    // A claim that was used before a later one was written stays.
    static_cast<void>(revise(claim, { ownRow(500'000), otherRow(600'000) }, self, at(20)));
    LONGS_EQUAL(500'000, claim.granted);
}

// Guards against a home that still uses a part whose claim was already lowered for others to take.
TEST(limit_claim, claimIsLoweredOnceNoLoanOfItCanRun)
{
    limit_claim claim;
    static_cast<void>(revise(claim, { ownRow(wholeLimit) }, self, at(0)));
    const std::vector<claim_row> joined{ ownRow(wholeLimit), otherRow(0) };
    CHECK_FALSE(revise(claim, joined, self, at(1000)).has_value());
    LONGS_EQUAL(wholeLimit / 2, claim.granted);
    CHECK_FALSE(revise(claim, joined, self, at(1500)).has_value());
    CHECK_FALSE(dueClaim(claim, at(1849)).has_value());
    LONGS_EQUAL(wholeLimit / 2, dueClaim(claim, at(1850)).value());
    CHECK_FALSE(dueClaim(claim, at(3000)).has_value());
}

// Guards against daemons that join together and claim the same free part, so that none may use it.
TEST(limit_claim, freePartIsDividedAmongThoseThatJoin)
{
    std::vector<claim_row> rows(9, otherRow(100'000));
    rows.push_back(otherRow(0));
    rows.push_back(ownRow(0));
    limit_claim claim;
    LONGS_EQUAL(50'000, revise(claim, rows, self, at(0)).value());
}

// Guards against a write of every daemon whenever one joins many.
TEST(limit_claim, smallDifferenceIsNotWritten)
{
    std::vector<claim_row> rows(99, otherRow(10'000));
    rows.push_back(ownRow(10'000));
    rows.push_back(otherRow(0));
    limit_claim claim;
    CHECK_FALSE(revise(claim, rows, self, at(0)).has_value());
    CHECK_TRUE(claim.lowerAt == core::noDeadline);
}

// Guards against any order of reads, writes, late writes and restarts in which the daemons together
// use more than the whole, and against one in which they end with much less.
TEST(limit_claim, partsNeverExceedTheWholeInAnyOrder)
{
    struct stored
    {
        std::uint64_t incarnation = 0;
        limit_part part = 0;
        std::uint64_t version = 0;
    };
    struct process
    {
        limit_claim claim;
        std::uint64_t incarnation = 0;
        std::uint64_t seen = 0; ///< version of the own row
    };
    struct write
    {
        int node = 0;
        stored row;
        std::uint64_t expected = 0;
        int due = 0;
    };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        std::map<int, stored> store;
        std::map<int, process> processes;
        std::vector<write> writes;
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        const auto post = [&](int node, std::optional<limit_part> part, int now, bool mayBeLate) {
            if (!part)
                return;
            const process &from = processes.at(node);
            const int delay = mayBeLate && random() % 5 == 0 ? 3'000 : 5;
            writes.push_back({ node, { from.incarnation, *part, 0 }, from.seen, now + delay });
        };
        for (int now = 0; now < 40'000; now += 10) {
            const bool calm = now >= 25'000;
            const int nodes = now < 8'000 ? 4 : 7;
            const int node = static_cast<int>(random() % nodes);
            if (!processes.contains(node) || (!calm && random() % 60 == 0))
                processes[node] = { {}, ++incarnation, 0 };
            process &chosen = processes.at(node);
            if (random() % 3 != 0) {
                std::vector<claim_row> rows;
                for (const auto &[other, row] : store)
                    rows.push_back({ other == node, row.incarnation, row.part });
                chosen.seen = store.contains(node) ? store.at(node).version : 0;
                post(node, revise(chosen.claim, rows, chosen.incarnation, at(now)), now, !calm);
            }
            post(node, dueClaim(chosen.claim, at(now)), now, !calm);
            for (write &each : writes) {
                const auto row = store.find(each.node);
                if (each.due > now
                    || (row == store.end() ? 0 : row->second.version) != each.expected)
                    continue;
                each.row.version = ++version;
                store[each.node] = each.row;
            }
            std::erase_if(writes, [now](const auto &each) { return each.due <= now; });
            limit_part used = 0;
            for (const auto &[name, each] : processes)
                used += each.claim.granted;
            CHECK_TRUE(used <= wholeLimit);
        }
        limit_part used = 0;
        for (const auto &[name, each] : processes)
            used += each.claim.granted;
        CHECK_TRUE(used >= wholeLimit * 9 / 10);
    }
}
