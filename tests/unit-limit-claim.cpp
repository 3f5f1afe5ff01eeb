/// @file
/// @brief Tests of the claims by which daemons divide a limit.

#include <fuchsiagw/proxy/limit_claim.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <random>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t ownIncarnation = 7;

core::time_point at(int millis)
{
    return core::time_point(std::chrono::hours(1) + milliseconds(millis));
}

claim_row ownRow(limit_part part, std::uint64_t incarnation = ownIncarnation)
{
    return { true, incarnation, part };
}

claim_row otherRow(limit_part part)
{
    return { false, 1, part };
}

} // namespace

TEST_GROUP(limit_claim){};

// Guards against the use of a part before other daemons can read the claim.
TEST(limit_claim, claimIsGrantedAfterItWasRead)
{
    limit_claim claim;
    LONGS_EQUAL(0, evaluateClaim(claim, {}, ownIncarnation, at(0)).value());
    LONGS_EQUAL(0, claim.granted);
    LONGS_EQUAL(wholeLimit, evaluateClaim(claim, { ownRow(0) }, ownIncarnation, at(100)).value());
    LONGS_EQUAL(0, claim.granted);
    CHECK_FALSE(evaluateClaim(claim, { ownRow(wholeLimit) }, ownIncarnation, at(200)).has_value());
    LONGS_EQUAL(wholeLimit, claim.granted);
}

// Guards against a delayed write of an earlier process that overwrites the claim: rewriting the row
// changes its version, so the store rejects the delayed write.
TEST(limit_claim, rowOfEarlierProcessIsRewritten)
{
    limit_claim claim;
    LONGS_EQUAL(300'000,
                evaluateClaim(claim, { ownRow(300'000, 3) }, ownIncarnation, at(0)).value());
    LONGS_EQUAL(0, claim.granted);
}

// Guards against parts that add up to more than the limit: a part that another daemon claims is not
// used, even if that daemon is not reachable.
TEST(limit_claim, grantedPartLeavesRoomForOtherClaims)
{
    limit_claim claim;
    static_cast<void>(
            evaluateClaim(claim, { ownRow(500'000), otherRow(700'000) }, ownIncarnation, at(0)));
    LONGS_EQUAL(300'000, claim.granted);
    static_cast<void>(
            evaluateClaim(claim, { ownRow(500'000), otherRow(500'000) }, ownIncarnation, at(10)));
    LONGS_EQUAL(500'000, claim.granted);
    // A part that was granted before another claim was written stays granted.
    static_cast<void>(
            evaluateClaim(claim, { ownRow(500'000), otherRow(600'000) }, ownIncarnation, at(20)));
    LONGS_EQUAL(500'000, claim.granted);
}

// Guards against lowering a claim while a home still holds a lease on the higher part: other
// daemons would claim the released part while the home uses it.
TEST(limit_claim, claimIsLoweredAfterLeasesHaveEnded)
{
    limit_claim claim;
    static_cast<void>(evaluateClaim(claim, { ownRow(wholeLimit) }, ownIncarnation, at(0)));
    const std::vector<claim_row> joined{ ownRow(wholeLimit), otherRow(0) };
    CHECK_FALSE(evaluateClaim(claim, joined, ownIncarnation, at(1000)).has_value());
    LONGS_EQUAL(wholeLimit / 2, claim.granted);
    CHECK_FALSE(evaluateClaim(claim, joined, ownIncarnation, at(1500)).has_value());
    CHECK_FALSE(takeDueClaim(claim, at(1849)).has_value());
    LONGS_EQUAL(wholeLimit / 2, takeDueClaim(claim, at(1850)).value());
    CHECK_FALSE(takeDueClaim(claim, at(3000)).has_value());
}

// Guards against daemons that join concurrently and all claim the whole free part, so that none of
// them may use it.
TEST(limit_claim, freePartIsDividedAmongJoiningDaemons)
{
    std::vector<claim_row> rows(9, otherRow(100'000));
    rows.push_back(otherRow(0));
    rows.push_back(ownRow(0));
    limit_claim claim;
    LONGS_EQUAL(50'000, evaluateClaim(claim, rows, ownIncarnation, at(0)).value());
}

// Guards against a write by every daemon whenever one daemon joins a large deployment.
TEST(limit_claim, smallDifferenceCausesNoWrite)
{
    std::vector<claim_row> rows(99, otherRow(10'000));
    rows.push_back(ownRow(10'000));
    rows.push_back(otherRow(0));
    limit_claim claim;
    CHECK_FALSE(evaluateClaim(claim, rows, ownIncarnation, at(0)).has_value());
    CHECK_TRUE(claim.lowerClaimAt == core::noDeadline);
}

// Guards against an interleaving of reads, writes, delayed writes and restarts in which the granted
// parts add up to more than the limit, or after which they add up to much less than the limit.
TEST(limit_claim, grantedPartsNeverExceedLimitInAnyInterleaving)
{
    struct stored_row
    {
        std::uint64_t incarnation = 0;
        limit_part part = 0;
        std::uint64_t version = 0;
    };
    struct simulated_process
    {
        limit_claim claim;
        std::uint64_t incarnation = 0;
        std::uint64_t versionRead = 0; ///< of the own row
    };
    struct pending_write
    {
        int node = 0;
        stored_row row;
        std::uint64_t expected = 0;
        int due = 0;
    };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        std::map<int, stored_row> store;
        std::map<int, simulated_process> processes;
        std::vector<pending_write> writes;
        std::uint64_t version = 0;
        std::uint64_t incarnation = 0;
        const auto sendWrite = [&](int node, std::optional<limit_part> part, int now,
                                   bool mayBeDelayed) {
            if (!part)
                return;
            const simulated_process &from = processes.at(node);
            const int delay = mayBeDelayed && random() % 5 == 0 ? 3'000 : 5;
            writes.push_back(
                    { node, { from.incarnation, *part, 0 }, from.versionRead, now + delay });
        };
        for (int now = 0; now < 40'000; now += 10) {
            const bool faultsEnded = now >= 25'000;
            const int nodes = now < 8'000 ? 4 : 7;
            const int node = static_cast<int>(random() % nodes);
            if (!processes.contains(node) || (!faultsEnded && random() % 60 == 0))
                processes[node] = { {}, ++incarnation, 0 };
            simulated_process &chosen = processes.at(node);
            if (random() % 3 != 0) {
                std::vector<claim_row> rows;
                for (const auto &[other, row] : store)
                    rows.push_back({ other == node, row.incarnation, row.part });
                chosen.versionRead = store.contains(node) ? store.at(node).version : 0;
                sendWrite(node, evaluateClaim(chosen.claim, rows, chosen.incarnation, at(now)), now,
                          !faultsEnded);
            }
            sendWrite(node, takeDueClaim(chosen.claim, at(now)), now, !faultsEnded);
            for (pending_write &each : writes) {
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
