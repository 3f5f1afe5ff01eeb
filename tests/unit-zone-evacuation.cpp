/// @file
/// @brief Tests that an evacuated zone gets no work in time, that its primaries are replaced and
/// that nothing is lost meanwhile.

#include "leader-cluster.hpp"
#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <CppUTest/TestHarness.h>

#include <set>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seeds = 12;
constexpr milliseconds bound{ 5'000 }; // promised to the operator
constexpr const char *zoneOfPrimary = "z1"; // of m1 and n1 in a cluster

/// A cluster whose daemons learn of evacuations from the store, as long as they reach it.
struct evacuation_cluster : leader_cluster
{
    std::set<std::string> zones;
    std::uint64_t storeVersion = 100;

    explicit evacuation_cluster(std::uint64_t seed, bool isFenced = true)
        : leader_cluster(seed, isFenced)
    {
        oldPrimaryGoesOn = !isFenced;
        promotionDelay = milliseconds(600);
        advance(seconds(1));
    }

    void publishEvacuations(const std::set<std::string> &next)
    {
        zones = next;
        const std::uint64_t version = ++storeVersion;
        for (const auto &[name, unused] : daemons) {
            if (reaches(name, "store"))
                handle(name, [=, this](engine &state) {
                    onEvacuations(state, next, version, "store", now);
                });
        }
    }

    const std::string &leaderOf(const std::string &daemon) const
    {
        return daemons.at(daemon)->services.at(service).leader;
    }
};

std::string seedText(std::uint64_t seed)
{
    return "seed " + std::to_string(seed);
}

} // namespace

TEST_GROUP(zone_evacuation){};

// Guards against statements that reach a member of the zone after the promised bound, and against a
// commit that is lost because the primary there is replaced under load.
TEST(zone_evacuation, zoneWithThePrimaryGetsNoWorkInTime)
{
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        evacuation_cluster cluster(seed, seed % 2 == 0);
        const core::time_point requested = cluster.now;
        cluster.publishEvacuations({ zoneOfPrimary });
        cluster.advance(seconds(9));
        CHECK_TEXT(cluster.lastWorkAt["m1"] < requested + bound, seedText(seed).c_str());
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, seedText(seed).c_str());
        CHECK_EQUAL_TEXT(0U, cluster.staleReads, seedText(seed).c_str());
        CHECK_TEXT(cluster.leaderOf("n2") != "m1", seedText(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions >= seeds);
}

// Guards against reads that stay in the zone until the end of the bound although replicas elsewhere
// can run them.
TEST(zone_evacuation, readsLeaveReplicasAtOnce)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        evacuation_cluster cluster(seed);
        const core::time_point requested = cluster.now;
        cluster.publishEvacuations({ "z2" });
        cluster.advance(seconds(3));
        // A statement that was sent before may still be on its way.
        CHECK_TEXT(cluster.lastWorkAt["m2"] < requested + milliseconds(100),
                   seedText(seed).c_str());
        CHECK_EQUAL_TEXT(0U, cluster.promotions, seedText(seed).c_str());
    }
}

// Guards against a daemon without a path to the store that goes on sending work to the zone.
TEST(zone_evacuation, daemonCutOffFromTheStoreLearnsFromPeers)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        evacuation_cluster cluster(seed);
        cluster.cut("n3", "store", seconds(20));
        const core::time_point requested = cluster.now;
        cluster.publishEvacuations({ zoneOfPrimary });
        cluster.advance(seconds(9));
        CHECK_TEXT(cluster.lastWorkAt["m1"] < requested + bound, seedText(seed).c_str());
        cluster.publishEvacuations({});
        cluster.advance(seconds(4));
        CHECK_TEXT(cluster.daemons.at("n3")->evacuation.zones.empty(), seedText(seed).c_str());
    }
}

// Guards against two requests in a row that leave the group without a primary, or bring work back
// to a zone that is still evacuated.
TEST(zone_evacuation, secondZoneFollows)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        evacuation_cluster cluster(seed);
        cluster.publishEvacuations({ zoneOfPrimary });
        cluster.advance(seconds(6));
        const std::string successor = cluster.leaderOf("n1");
        const std::string zone = cluster.zoneOf(successor);
        const core::time_point requested = cluster.now;
        cluster.publishEvacuations({ zoneOfPrimary, zone });
        cluster.advance(seconds(9));
        CHECK_TEXT(cluster.lastWorkAt[successor] < requested + bound, seedText(seed).c_str());
        CHECK_TEXT(cluster.lastWorkAt["m1"] < requested, seedText(seed).c_str());
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, seedText(seed).c_str());
        const std::string last = cluster.leaderOf("n1");
        CHECK_TEXT(last != "m1" && last != successor, seedText(seed).c_str());
    }
}

// Guards against a primary that is lost in the middle of its replacement: either it or the failover
// that follows must not lose a commit, and no work may return to the zone.
TEST(zone_evacuation, primaryIsLostDuringItsReplacement)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        evacuation_cluster cluster(seed);
        const core::time_point requested = cluster.now;
        cluster.publishEvacuations({ zoneOfPrimary });
        cluster.advance(milliseconds(20 + 60 * seed));
        cluster.members.at("m1").running = false;
        cluster.advance(seconds(3));
        cluster.restartMember("m1");
        cluster.advance(seconds(6));
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, seedText(seed).c_str());
        CHECK_TEXT(cluster.lastWorkAt["m1"] < requested + bound, seedText(seed).c_str());
        CHECK_TEXT(cluster.leaderOf("n2") != "m1", seedText(seed).c_str());
    }
}

TEST_GROUP(evacuated_group)
{
    proxy_fixture fixture;
    std::uint64_t version = 10;

    /// m1 leads in the zone south, the replicas are in the zone north.
    void setup() override
    {
        upstream_entry leader = proxy_fixture::member("m1", true);
        leader.zone = "south";
        fixture.setMembers(
                { leader, proxy_fixture::member("m2", false), proxy_fixture::member("m3", false) });
        fixture.provePrimary({ 1, 7 });
    }

    void evacuate(const std::set<std::string> &zones)
    {
        onEvacuations(fixture.state, zones, ++version, "store", fixture.now);
    }

    void replyToWrite(link_id link)
    {
        fixture.answer(link, proxy_fixture::success({ 1, 8 }));
    }

    reply lastAnswer(session_id id)
    {
        fixture.takeActions();
        const auto answers = proxy_fixture::answersTo(id, fixture.history);
        return answers.empty() ? reply{} : answers.back();
    }
};

// Guards against writes that fail from the moment of the request although the primary still serves
// until its successor leads, and against writes that wait in vain after that time.
TEST(evacuated_group, writesAreRefusedAtOnceOnlyWhenTheBoundIsNear)
{
    evacuate({ "south" });
    const session_id early = fixture.openSession("current");
    fixture.sendWrite(early);
    fixture.acceptLinks();
    CHECK(fixture.busyLink() != 0);
    STRCMP_EQUAL("m1", fixture.memberOf(fixture.busyLink()).c_str());
    replyToWrite(fixture.busyLink());
    fixture.advanceTime(bound - milliseconds(900));
    const session_id late = fixture.openSession("current");
    fixture.sendWrite(late);
    const reply refused = lastAnswer(late);
    CHECK(refused.code == reply_code::Busy);
    STRCMP_CONTAINS("zone_evacuated retry-after-ms=", refused.message.c_str());
}

// Guards against callers that wait until their deadline when no zone is left.
TEST(evacuated_group, everythingIsRefusedAtOnceIfAllZonesAreEvacuated)
{
    evacuate({ "south", "north" });
    fixture.advanceTime(bound);
    for (const char *database : { "current", "bounded", "own" }) {
        const session_id id = fixture.openSession(database);
        fixture.sendRead(id);
        STRCMP_CONTAINS("zone_evacuated", lastAnswer(id).message.c_str());
    }
}

// Guards against a transaction that goes on at a member of the zone beyond the bound, and against a
// false outcome: the caller must learn that nothing of it is kept.
TEST(evacuated_group, openTransactionIsAbortedBeforeTheBound)
{
    const session_id id = fixture.openSession("current");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    fixture.sendRead(id);
    fixture.acceptLinks();
    fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, 7 }, transaction_state::Open));
    evacuate({ "south" });
    fixture.state.config = [&] {
        manifest patient = proxy_fixture::makeManifest(9);
        patient.transactionIdleLimit = seconds(60);
        return std::make_shared<const manifest>(patient);
    }();
    fixture.advanceTime(bound - milliseconds(700));
    fixture.takeActions();
    const std::size_t before = fixture.history.size();
    fixture.sendStatement(id, statement_kind::Commit, "COMMIT");
    CHECK(lastAnswer(id).code == reply_code::Aborted);
    const std::vector<action> after(fixture.history.begin() + static_cast<std::ptrdiff_t>(before),
                                    fixture.history.end());
    for (const auto &each : proxy_fixture::commandsOf(after))
        CHECK(each.kind != command_kind::Forward);
}

// Guards against a commit with an unknown outcome because its connection is closed at the bound.
TEST(evacuated_group, commitUnderWayIsAnswered)
{
    const session_id id = fixture.openSession("current");
    evacuate({ "south" });
    fixture.advanceTime(bound - milliseconds(1'200));
    fixture.sendWrite(id);
    fixture.acceptLinks();
    const link_id link = fixture.busyLink();
    CHECK(link != 0);
    fixture.advanceTime(milliseconds(600));
    replyToWrite(link);
    CHECK(lastAnswer(id).code == reply_code::Success);
}

// Guards against an older set of zones, told by a daemon that is behind, which would bring work
// back.
TEST(evacuated_group, olderSetIsIgnored)
{
    evacuate({ "south" });
    onEvacuations(fixture.state, {}, version - 1, "peer", fixture.now);
    CHECK_TRUE(isEvacuated(fixture.state.evacuation, "south"));
    onEvacuations(fixture.state, {}, version + 1, "peer", fixture.now);
    CHECK_FALSE(isEvacuated(fixture.state.evacuation, "south"));
}

TEST_GROUP(evacuation_schedule)
{
    evacuation_state state;
    core::random_engine random{ 5 };
    core::time_point now{ seconds(100) };
};

// Guards against refusing writes of all groups of a zone at the same moment, and against groups
// whose turn comes too late for the bound.
TEST(evacuation_schedule, groupsAreReplacedOneAfterTheOther)
{
    const auto change = applyEvacuations(state, { "south" }, 1, bound, now);
    CHECK_EQUAL(1U, change.evacuated.size());
    const zone_evacuation &evacuation = state.zones.at("south");
    constexpr std::size_t groups = 8;
    core::time_point previous{};
    for (std::size_t i = 0; i < groups; ++i) {
        const core::time_point turn = replacementTurn(evacuation, i, groups);
        CHECK(turn > previous);
        CHECK(turn + milliseconds(1'500) <= evacuation.primaryWorkUntil);
        previous = turn;
    }
}

// Guards against a zone that gets all of its reads at once when it is restored.
TEST(evacuation_schedule, restoredZoneFillsUpSlowly)
{
    static_cast<void>(applyEvacuations(state, { "south" }, 1, bound, now));
    static_cast<void>(applyEvacuations(state, {}, 2, bound, now));
    int previous = -1;
    for (int step = 0; step <= 5; ++step) {
        int admitted = 0;
        for (int i = 0; i < 1'000; ++i)
            admitted += admitsReturningWork(state, "south", random, now) ? 1 : 0;
        CHECK(admitted > previous);
        CHECK(admitted <= 200 * step + 60);
        previous = admitted;
        now += seconds(1);
    }
    LONGS_EQUAL(1'000, previous);
}
