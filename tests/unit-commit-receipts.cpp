/// @file
/// @brief Tests that callers are told of a commit only once a listed replica has received it.

#include "directed-schedule.hpp"
#include "proxy-fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;

namespace {

/// An engine whose commits need receipts, with a caller that writes.
struct receipt_fixture : proxy_fixture
{
    session_id caller = 0;

    receipt_fixture()
    {
        state.settings.commitsNeedReceipts = true;
        onOpenOrdersRead(state, service, {}, 0, now);
        state.services.at(service).receipts.contactAt = now; // a replica has just answered
        caller = openSession("own");
        takeActions();
    }

    /// A write of the caller is sent to the primary, which acknowledges it at this position.
    void write(core::log_position position)
    {
        sendWrite(caller);
        acceptLinks();
        answer(busyLink(), success(position));
    }

    /// Answers the latest question to the replicas.
    void report(const std::string &replica, core::log_position position)
    {
        peer_message message;
        message.kind = peer_message_kind::EvidenceAnswer;
        message.from = "node-2";
        message.subject = service;
        message.member = replica;
        message.askedAtUs = state.services.at(service).receipts.askedAt.time_since_epoch().count();
        leader_report log;
        log.service = service;
        log.member = replica;
        log.term = position.term;
        log.position = position;
        message.leaders.push_back(log);
        onPeerMessage(state, message, now);
    }

    /// @return the answers that the caller has got since the last call
    std::vector<reply> answers() { return answersTo(caller, takeActions()); }

    bool isQueued(session_id id) const { return state.sessions.at(id).current->queued; }
};

} // namespace

TEST_GROUP(commit_receipts)
{
    receipt_fixture fixture;
};

// Guards against telling a caller of a commit whose second copy is at a replica that no promotion
// asks.
TEST(commit_receipts, successWaitsForListedReplica)
{
    fixture.write({ 1, 5 });
    CHECK(fixture.answers().empty());
    fixture.report("m2", { 1, 4 });
    CHECK(fixture.answers().empty());
    fixture.report("m2", { 1, 5 });
    const auto answers = fixture.answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().code == reply_code::Success);
}

// Guards against promising that nothing is kept of a commit that only lacks its proof.
TEST(commit_receipts, outcomeIsUnknownWithoutReport)
{
    fixture.write({ 1, 5 });
    fixture.now += milliseconds(900);
    onTimer(fixture.state, fixture.now);
    const auto answers = fixture.answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().code == reply_code::OutcomeUnknown);
}

// Guards against counting a replica whose entry is gone beside one that has an entry: daemons that
// start later do not know it.
TEST(commit_receipts, replicaWithoutEntryDoesNotCount)
{
    fixture.setMembers(
            { receipt_fixture::member("m1", true), receipt_fixture::member("m2", false) });
    fixture.write({ 1, 5 });
    fixture.report("m3", { 1, 5 });
    CHECK(fixture.answers().empty());
    fixture.report("m2", { 1, 5 });
    LONGS_EQUAL(1, fixture.answers().size());
}

// Guards against refusing all writes while the store has lost all entries for a moment.
TEST(commit_receipts, replicasCountWhileAllEntriesAreMissing)
{
    fixture.setMembers({ receipt_fixture::member("m1", true) });
    fixture.write({ 1, 5 });
    fixture.report("m3", { 1, 5 });
    LONGS_EQUAL(1, fixture.answers().size());
}

// Guards against taking the position of a later term for a proof: the promotion that began the term
// may have rolled the commit back.
TEST(commit_receipts, positionOfLaterTermProvesNothing)
{
    fixture.write({ 1, 5 });
    fixture.report("m2", { 2, 9 });
    CHECK(fixture.answers().empty());
}

// Guards against counting what a replica had before it started again without its log.
TEST(commit_receipts, restartedReplicaHasNothing)
{
    fixture.write({ 1, 5 });
    fixture.report("m2", { 1, 9 });
    LONGS_EQUAL(1, fixture.answers().size());
    auto restarted = receipt_fixture::member("m2", false);
    restarted.startedAtMs = 2;
    fixture.setMembers({ receipt_fixture::member("m1", true), restarted,
                         receipt_fixture::member("m3", false) });
    fixture.write({ 1, 6 });
    CHECK(fixture.answers().empty());
}

// Guards against sending writes whose success could not be passed on: listed replicas leave a
// question unanswered. They go on once one answers.
TEST(commit_receipts, writeWaitsForContact)
{
    fixture.write({ 1, 5 });
    fixture.now += milliseconds(400);
    const session_id other = fixture.openSession("own");
    fixture.sendWrite(other);
    CHECK(fixture.isQueued(other));
    fixture.report("m2", { 1, 5 });
    fixture.now += milliseconds(20);
    onTimer(fixture.state, fixture.now);
    CHECK_FALSE(fixture.isQueued(other));
}

// Guards against sending writes whose outcome would be unknown while the listed replicas answer,
// but receive nothing.
TEST(commit_receipts, writeWaitsWhileReplicasReceiveNothing)
{
    fixture.write({ 1, 5 });
    fixture.now += milliseconds(350);
    fixture.report("m2", { 1, 4 });
    const session_id other = fixture.openSession("own");
    fixture.sendWrite(other);
    CHECK(fixture.isQueued(other));
    fixture.report("m2", { 1, 5 });
    fixture.now += milliseconds(20);
    onTimer(fixture.state, fixture.now);
    CHECK_FALSE(fixture.isQueued(other));
}

// Guards against writing before the store has told this process which orders are open.
TEST(commit_receipts, writeWaitsForOpenOrders)
{
    auto &group = fixture.state.services.at(receipt_fixture::service);
    group.areOrdersKnown = false;
    fixture.now += milliseconds(600);
    onTimer(fixture.state, fixture.now);
    LONGS_EQUAL(1, proxy_fixture::actionsOf<read_open_orders>(fixture.takeActions()).size());
    group.receipts.contactAt = fixture.now;
    fixture.sendWrite(fixture.caller);
    CHECK(fixture.isQueued(fixture.caller));
    onOpenOrdersRead(fixture.state, receipt_fixture::service, {}, 0, fixture.now);
    CHECK_FALSE(fixture.isQueued(fixture.caller));
}

// Guards against writing to a primary that an order of an earlier process may still replace.
TEST(commit_receipts, writeIsHeldBesideRecordedOrder)
{
    auto &group = fixture.state.services.at(receipt_fixture::service);
    group.areOrdersKnown = false;
    onOpenOrdersRead(fixture.state, receipt_fixture::service, { { 7, "m2" } }, 8, fixture.now);
    group.receipts.contactAt = fixture.now;
    fixture.sendWrite(fixture.caller);
    CHECK(fixture.isQueued(fixture.caller));
}

// Guards against refusing writes of a busy instance, whose newest commit is never proven before the
// next one is held.
TEST(commit_receipts, writesGoOnWhileCommitsAreBeingProven)
{
    fixture.write({ 1, 5 });
    const session_id other = fixture.openSession("own");
    for (core::log_index index = 6; index < 46; ++index) {
        fixture.now += milliseconds(40);
        fixture.sendWrite(other);
        CHECK_FALSE(fixture.isQueued(other));
        fixture.acceptLinks();
        fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, index }));
        fixture.report("m2", { 1, index - 1 });
        fixture.now += milliseconds(1);
        fixture.sendWrite(fixture.caller);
        CHECK_FALSE(fixture.isQueued(fixture.caller));
        fixture.acceptLinks();
        fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, ++index }));
        fixture.report("m2", { 1, index - 1 });
    }
}

// Guards against losing what callers were told of when the network splits with the primary and a
// replica that no daemon lists on the smaller side (review case 8).
TEST(commit_receipts, splitNetworkLosesNoSuccess)
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        playSplit(cluster);
        CHECK(cluster.promotions > 0);
        CHECK_EQUAL_TEXT(0U, cluster.lostSuccesses, cluster.describe(seed).c_str());
    }
}

// Guards against losing what callers were told of when all daemons start again while the second
// copy is at a replica without an entry, which the new processes do not know (review case 6).
TEST(commit_receipts, restartOfAllDaemonsLosesNoSuccess)
{
    constexpr std::uint64_t seeds = 40;
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        for (const char *daemon : { "n1", "n2", "n3" }) {
            cluster.unlisted[daemon].insert("m3");
            cluster.publishTo(daemon);
        }
        cluster.cut("m1", "m2", milliseconds(1'500));
        cluster.advance(milliseconds(1'500));
        cluster.stop("m1", std::chrono::seconds(14));
        for (const char *daemon : { "n1", "n2", "n3" })
            cluster.restartDaemon(daemon);
        cluster.advance(std::chrono::seconds(8));
        CHECK_EQUAL_TEXT(0U, cluster.lostSuccesses, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > 0);
}

// Guards against losing what callers were told of when the daemon that promotes does not reach a
// replica without an entry, which the other daemons reach (review case 7).
TEST(commit_receipts, unlistedReplicaHiddenFromOneDaemonLosesNoSuccess)
{
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        for (const char *daemon : { "n1", "n2", "n3" }) {
            cluster.unlisted[daemon].insert("m3");
            cluster.publishTo(daemon);
        }
        cluster.hide("m3", { "n2" }, std::chrono::seconds(20));
        cluster.advance(milliseconds(2'800));
        cluster.cut("m1", "m2", milliseconds(1'000));
        cluster.advance(milliseconds(1'000));
        cluster.stop("m1", std::chrono::seconds(7));
        cluster.advance(std::chrono::seconds(10));
        CHECK_EQUAL_TEXT(0U, cluster.lostSuccesses, cluster.describe(seed).c_str());
    }
}

// Guards against losing what callers were told of when all daemons start again while an order is
// open that takes effect late: the new processes are told of it by no peer, and a replica that is
// not paused reports commits that the ordered member lacks.
TEST(commit_receipts, restartOfAllDaemonsBesideAnOpenOrderLosesNoSuccess)
{
    constexpr std::uint64_t seeds = 40;
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        schedule_cluster cluster(seed);
        const std::string ordered = openOrder(cluster, ordered_member::ReceivesNothing);
        for (const char *daemon : { "n1", "n2", "n3" })
            cluster.restartDaemon(daemon);
        cluster.show("m1", { "n1", "n2", "n3" });
        cluster.restart(otherReplica(ordered));
        cluster.advance(directedDuration);
        CHECK_EQUAL_TEXT(0U, cluster.lostSuccesses, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > 0);
}
