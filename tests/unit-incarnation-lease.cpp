/// @file
/// @brief Tests of promises, votes and the replacement of witnesses of an incarnation lease.

#include <fuchsiagw/core/incarnation_lease.hpp>

#include <CppUTest/TestHarness.h>

#include <array>

using namespace fuchsiagw::core;

namespace {

time_point at(std::int64_t millis)
{
    return time_point(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(incarnation_lease)
{
    lease_times times;
    lease_holder holder{ 10, {}, {}, false, {} };
    std::array<lease_witness, 5> witnesses{}; // incarnations 0 to 4

    void setup() override
    {
        for (std::size_t i = 0; i < witnesses.size(); ++i)
            witnesses[i].self = i;
        setWitnesses(holder, { 1, 2, 3 });
    }
    void promise(std::size_t witness, std::int64_t sent, std::int64_t received)
    {
        const lease_request request = requestOf(holder, at(sent));
        onPromise(holder, onLeaseRequest(witnesses.at(witness), request, times, at(received)),
                  times, at(received));
    }
};

// Guards against a lease that is measured from the arrival of a promise, which is later than the
// witness assumes, and against a lease that a minority of witnesses has promised.
TEST(incarnation_lease, leaseIsMeasuredFromTheRequestsOfAMajority)
{
    promise(1, 1'000, 1'500);
    CHECK_TRUE(homeUntil(holder) == time_point{});
    promise(2, 2'000, 2'100);
    CHECK_TRUE(homeUntil(holder) == at(7'000));
    promise(3, 3'000, 3'100);
    CHECK_TRUE(homeUntil(holder) == at(8'000));
}

// Guards against a vote while the holder still relies on the promise, and against a promise after
// the vote.
TEST(incarnation_lease, votesOnlyAfterThePromiseAndNeverPromisesAgain)
{
    promise(1, 10'000, 10'001);
    CHECK_FALSE(voteExpired(witnesses[1], 10, times, at(16'030)));
    CHECK_TRUE(voteExpired(witnesses[1], 10, times, at(16'031)));
    LONGS_EQUAL(0, onLeaseRequest(witnesses[1], requestOf(holder, at(17'000)), times, at(17'001))
                           .promisedMicros);
}

// Guards against a vote during a promise that the witness made before a restart and has lost.
TEST(incarnation_lease, restartedWitnessWaitsForTheLongestPromise)
{
    witnesses[1].startedAt = at(20'000);
    CHECK_FALSE(voteExpired(witnesses[1], 10, times, at(26'029)));
    CHECK_TRUE(voteExpired(witnesses[1], 10, times, at(26'030)));
}

// Guards against a lease that relies on one set of witnesses while the table may name the other:
// the response to a change was lost and its outcome is unknown.
TEST(incarnation_lease, submittedChangeNeedsBothSets)
{
    promise(1, 1'000, 1'001);
    promise(2, 1'000, 1'001);
    prepareWitnessChange(holder, { 2, 3, 4 });
    CHECK_FALSE(isChangeReady(holder, at(1'002)));
    CHECK_TRUE(homeUntil(holder) == at(7'000));
    promise(4, 1'500, 1'501);
    promise(3, 1'500, 1'501);
    CHECK_TRUE(isChangeReady(holder, at(1'502)));
    submitWitnessChange(holder);
    promise(3, 2'000, 2'001);
    promise(4, 2'000, 2'001);
    CHECK_TRUE(homeUntil(holder) == at(7'000));
    finishWitnessChange(holder, true);
    CHECK_TRUE(homeUntil(holder) == at(8'000));
}

// Guards against shares that are reclaimed without a majority of votes, or while a borrower still
// uses a loan of the dead holder.
TEST(incarnation_lease, reclaimWaitsForMajorityAndLoans)
{
    for (const std::size_t each : { 1, 2, 3 })
        promise(each, 1'000, 1'001);
    CHECK_TRUE(dueVotePolls(witnesses[1], times, at(9'000)).empty());
    const auto polls = dueVotePolls(witnesses[1], times, at(9'002));
    LONGS_EQUAL(1, polls.size());
    LONGS_EQUAL(2, polls.front().witnesses.size());
    CHECK_TRUE(reclaimable(witnesses[1], std::chrono::seconds(4), at(99'000)).empty());
    onVote(witnesses[1], { 10, 4 }, at(9'010));
    CHECK_TRUE(reclaimable(witnesses[1], std::chrono::seconds(4), at(99'000)).empty());
    onVote(witnesses[1], { 10, 2 }, at(9'010));
    CHECK_TRUE(reclaimable(witnesses[1], std::chrono::seconds(4), at(13'009)).empty());
    LONGS_EQUAL(1, reclaimable(witnesses[1], std::chrono::seconds(4), at(13'010)).size());
    onReclaimed(witnesses[1], 10);
    CHECK_TRUE(reclaimable(witnesses[1], std::chrono::seconds(4), at(99'000)).empty());
    LONGS_EQUAL(0, onLeaseRequest(witnesses[1], requestOf(holder, at(99'000)), times, at(99'001))
                           .promisedMicros);
}

// Guards against witnesses on the own instance, against witnesses in other zones where the own zone
// has peers, and against a set of two, where the failure of either ends the lease.
TEST(incarnation_lease, choosesPeersOfOwnZoneAndAnOddNumber)
{
    random_engine random(5);
    const peer_ref self{ 10, instance_id{ "i10" }, zone_name{ "a" } };
    std::vector<peer_ref> peers{ { 11, instance_id{ "i10" }, zone_name{ "a" } },
                                 { 1, instance_id{ "i1" }, zone_name{ "b" } },
                                 { 2, instance_id{ "i2" }, zone_name{ "a" } } };
    CHECK_TRUE((chooseWitnesses(self, peers, {}, random) == std::vector<incarnation_id>{ 2 }));
    peers.push_back({ 3, instance_id{ "i3" }, zone_name{ "a" } });
    peers.push_back({ 4, instance_id{ "i4" }, zone_name{ "b" } });
    const auto chosen = chooseWitnesses(self, peers, { 1 }, random);
    LONGS_EQUAL(3, chosen.size());
    LONGS_EQUAL(4, chosen.back());
}

// Guards against witnesses that are never replaced although they do not answer or have voted.
TEST(incarnation_lease, listsSilentAndVotingWitnesses)
{
    LONGS_EQUAL(3, dueWitnesses(holder, times, at(1'000)).size());
    CHECK_TRUE(dueWitnesses(holder, times, at(1'399)).empty());
    promise(1, 1'000, 1'001);
    CHECK_TRUE(lostWitnesses(holder, times, at(3'999)).empty());
    CHECK_TRUE((lostWitnesses(holder, times, at(4'000)) == std::set<incarnation_id>{ 2, 3 }));
    onPromise(holder, { 10, 2, 0, 0 }, times, at(4'001));
    CHECK_FALSE(isExpired(holder));
    onPromise(holder, { 10, 3, 0, 0 }, times, at(4'001));
    CHECK_TRUE(isExpired(holder));
}
