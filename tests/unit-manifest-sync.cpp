/// @file
/// @brief Tests of the times at which daemons read the manifest: many daemons, a model of the store
/// and of the datagrams between them, in virtual time.

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/proxy/manifest_sync.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;
using namespace std::chrono_literals;
using core::time_point;

namespace {

constexpr core::duration limit = 5s; // within which a manifest has to be in force
constexpr core::duration largeLimit = 12s; // the same, for 1,600 daemons
constexpr core::duration tick = 10ms;
constexpr core::duration exchangeInterval = 400ms;
constexpr std::size_t exchangePeers = 3;
constexpr core::duration readTimeout = 1'500ms;
constexpr core::duration retryPause = 800ms;

/// What the store does to one daemon.
struct store_faults
{
    bool feedIsSilent = false; ///< changes don't reach it through its feed
    bool readsAreLost = false; ///< its reads get no answer
    core::duration answerTime = 5ms; ///< from a read to its complete answer
    bool isAlone = false; ///< no datagram reaches it
};

struct simulated_daemon
{
    manifest_sync sync;
    store_faults faults;
    std::size_t rank = 0;
    time_point nextExchangeAt{};
    std::uint64_t reads = 0;
    std::uint64_t tableReads = 0;
};

/// Daemons before one store, which confirms a new manifest at each call of publish().
struct sync_cluster
{
    time_point now{ 1h };
    std::uint64_t version = 1; ///< of the store
    std::vector<simulated_daemon> daemons;
    std::multimap<time_point, std::function<void()>> events;
    core::random_engine random;
    core::duration proofLimit;

    sync_cluster(std::size_t count, std::uint64_t seed, core::duration ownLimit = limit)
        : daemons(count)
        , random(seed)
        , proofLimit(ownLimit)
    {
        for (std::size_t i = 0; i < count; ++i) {
            daemons[i].rank = i;
            daemons[i].nextExchangeAt = now + randomTime(exchangeInterval);
        }
        run(2s);
    }

    core::duration randomTime(core::duration most)
    {
        const auto bound = static_cast<std::uint64_t>(most.count());
        return core::duration(static_cast<std::int64_t>(core::drawBelow(random, bound + 1)));
    }

    bool chance(unsigned percent) { return core::drawBelow(random, 100) < percent; }

    core::duration lifetime(const simulated_daemon &each) const
    {
        return proofLifetime(proofLimit, each.rank, daemons.size());
    }

    void publish()
    {
        ++version;
        for (simulated_daemon &each : daemons) {
            if (each.faults.feedIsSilent || each.faults.readsAreLost)
                continue;
            events.emplace(now + each.faults.answerTime,
                           [&each, found = version] { onManifestHeld(each.sync, found); });
        }
    }

    void startRead(simulated_daemon &each, manifest_read kind)
    {
        ++each.reads;
        each.tableReads += kind == manifest_read::Table ? 1 : 0;
        if (each.faults.readsAreLost) {
            events.emplace(now + readTimeout, [this, &each] {
                onManifestReadFailed(each.sync, now + randomTime(retryPause), false);
            });
            return;
        }
        events.emplace(now + each.faults.answerTime, [this, &each, kind, found = version] {
            onManifestHeld(each.sync, found);
            onManifestRead(each.sync, kind, now, lifetime(each));
        });
    }

    /// A daemon asks a few others what they have and how old their proofs are.
    void exchange(simulated_daemon &each)
    {
        each.nextExchangeAt = now + exchangeInterval;
        for (std::size_t i = 0; i < exchangePeers; ++i) {
            const simulated_daemon &peer = daemons[core::drawBelow(random, daemons.size())];
            if (each.faults.isAlone || peer.faults.isAlone)
                continue;
            if (peer.sync.heldVersion > each.sync.heldVersion)
                onManifestNamed(each.sync, peer.sync.heldVersion, now);
            else
                onManifestProven(each.sync, peer.sync.provenAt, lifetime(each));
        }
    }

    void run(core::duration elapsed)
    {
        const time_point end = now + elapsed;
        while (now < end) {
            now += tick;
            while (!events.empty() && events.begin()->first <= now) {
                const auto event = std::move(events.begin()->second);
                events.erase(events.begin());
                event();
            }
            for (simulated_daemon &each : daemons) {
                if (now >= each.nextExchangeAt)
                    exchange(each);
                if (const auto kind = startManifestRead(each.sync, now))
                    startRead(each, *kind);
            }
        }
    }

    /// @return daemons that do not have the store's version
    std::size_t behind() const
    {
        return static_cast<std::size_t>(
                std::count_if(daemons.begin(), daemons.end(), [this](const auto &each) {
                    return each.sync.heldVersion != version;
                }));
    }

    /// @return age of the oldest proof of a daemon
    core::duration oldestProof() const
    {
        core::duration oldest{ 0 };
        for (const simulated_daemon &each : daemons)
            oldest = std::max(oldest, now - each.sync.provenAt);
        return oldest;
    }

    std::uint64_t reads() const
    {
        std::uint64_t sum = 0;
        for (const simulated_daemon &each : daemons)
            sum += each.reads;
        return sum;
    }
};

/// Publishes several changes and checks after each that all but @p unreachable daemons have it.
void checkChanges(sync_cluster &cluster, std::size_t unreachable)
{
    for (int change = 0; change < 5; ++change) {
        cluster.publish();
        cluster.run(limit);
        CHECK_EQUAL(unreachable, cluster.behind());
    }
}

} // namespace

TEST_GROUP(manifest_sync){};

// Guards against a change that no daemon notices in time after the feeds of all have fallen silent,
// as those of calls do that are older than an outage of the store.
TEST(manifest_sync, silentFeedsOfAllDaemonsDelayNoChange)
{
    for (const std::size_t count : { 1U, 9U, 70U, 300U }) {
        sync_cluster cluster(count, count);
        for (simulated_daemon &each : cluster.daemons)
            each.faults.feedIsSilent = true;
        checkChanges(cluster, 0);
    }
}

// Guards against daemons that rely on a few others to read the store, which are dead or cut off.
TEST(manifest_sync, lossOfTheFrequentReadersDelaysNoChange)
{
    sync_cluster cluster(70, 2);
    for (simulated_daemon &each : cluster.daemons)
        each.faults.feedIsSilent = true;
    for (std::size_t i = 0; i < 3; ++i) {
        cluster.daemons[i].faults.isAlone = true;
        cluster.daemons[i].faults.readsAreLost = true;
    }
    cluster.run(10s);
    checkChanges(cluster, 3);
}

// Guards against a daemon that no datagram reaches and whose feed is silent: only its own clock
// tells it that its proof is old.
TEST(manifest_sync, loneDaemonReadsTheStoreByItsOwnClock)
{
    sync_cluster cluster(70, 3);
    simulated_daemon &alone = cluster.daemons.back();
    alone.faults.isAlone = true;
    alone.faults.feedIsSilent = true;
    checkChanges(cluster, 0);
}

// Guards against an answer that takes longer than the pause between two reads and is replaced by
// the next one: each read takes 1.4 s, and peers name the version all the time.
TEST(manifest_sync, slowAnswersAreApplied)
{
    sync_cluster cluster(70, 4);
    for (std::size_t i = 0; i < 60; ++i) {
        cluster.daemons[i].faults.answerTime = 1'400ms;
        cluster.daemons[i].faults.feedIsSilent = true;
    }
    const std::uint64_t before = cluster.reads();
    cluster.publish();
    cluster.run(limit);
    CHECK_EQUAL(0U, cluster.behind());
    // One read for the change, and one for a proof, at each of them at most.
    CHECK_TRUE(cluster.reads() - before <= 2 * cluster.daemons.size());
}

// Guards against reads that grow with the number of daemons while nothing fails: the proofs of a
// few have to serve all of them.
TEST(manifest_sync, calmDaemonsShareTheProofsOfAFew)
{
    struct deployment
    {
        std::size_t count;
        core::duration ownLimit;
    };
    for (const auto &[count, ownLimit] : { deployment{ 9, limit },
                                           deployment{ 70, limit },
                                           deployment{ 300, limit },
                                           { 1'600, largeLimit } }) {
        sync_cluster cluster(count, count, ownLimit);
        cluster.run(10s);
        const std::uint64_t before = cluster.reads();
        for (int second = 0; second < 20; ++second) {
            cluster.run(1s);
            CHECK_TRUE(cluster.oldestProof() <= ownLimit * 8 / 10 + exchangeInterval);
        }
        const double perSecond = static_cast<double>(cluster.reads() - before) / 20;
        const std::string text = std::to_string(count) + ": " + std::to_string(perSecond);
        CHECK_TRUE_TEXT(perSecond <= 6, text.c_str());
    }
}

// Guards against a version that another daemon names although the store does not have it, as after
// it was restored from an older copy: it must not be asked for without end.
TEST(manifest_sync, versionThatTheStoreLacksIsReadOnce)
{
    sync_cluster cluster(1, 5);
    simulated_daemon &each = cluster.daemons.front();
    for (int i = 0; i < 100; ++i) {
        onManifestNamed(each.sync, 40, cluster.now);
        cluster.run(100ms);
    }
    CHECK_FALSE(isManifestMissing(each.sync));
    CHECK_EQUAL(2U, each.tableReads); // at the start, and for the named version
    cluster.publish();
    cluster.run(limit);
    CHECK_EQUAL(0U, cluster.behind());
}

// Guards against a named version that is taken for absent because of a read that was sent before.
TEST(manifest_sync, versionNamedDuringAReadIsReadAgain)
{
    manifest_sync sync;
    const time_point now{ 1h };
    CHECK_TRUE(startManifestRead(sync, now) == manifest_read::Table);
    onManifestNamed(sync, 2, now + 10ms);
    onManifestHeld(sync, 1);
    onManifestRead(sync, manifest_read::Table, now + 20ms, limit);
    CHECK_TRUE(isManifestMissing(sync));
    CHECK_TRUE(startManifestRead(sync, now + 20ms) == manifest_read::Table);
}

// Guards against a proof that is due and waits for the pause after a row that could not be read,
// although the feed has brought a readable one since.
TEST(manifest_sync, readableManifestEndsThePauseOfAnUnreadableOne)
{
    manifest_sync sync;
    time_point now{ 1h };
    for (int i = 0; i < 6; ++i) {
        now = std::max(now, nextManifestRead(sync));
        CHECK_TRUE(startManifestRead(sync, now).has_value());
        onManifestUnreadable(sync, now);
        onManifestRead(sync, manifest_read::Table, now, limit);
    }
    CHECK_TRUE(nextManifestRead(sync) >= now + 6s);
    onManifestHeld(sync, 2);
    CHECK_TRUE(nextManifestRead(sync) <= now);
}

// Guards against a read beside the feed's answer while that arrives, which would halve the
// bandwidth for both; and against one that waits without end for an answer that never ends.
TEST(manifest_sync, arrivingAnswerOfTheFeedHoldsReadsBackForATime)
{
    manifest_sync sync;
    time_point now{ 1h };
    CHECK_TRUE(startManifestRead(sync, now).has_value());
    onManifestHeld(sync, 1);
    onManifestRead(sync, manifest_read::Table, now, limit);
    onManifestNamed(sync, 2, now);
    const time_point end = now + 4s;
    for (; now < end; now += 100ms) {
        onManifestFeedArriving(sync, now);
        CHECK_FALSE(startManifestRead(sync, now).has_value());
    }
    for (int part = 0; part < 20; ++part, now += 100ms)
        onManifestFeedArriving(sync, now);
    CHECK_TRUE(startManifestRead(sync, now).has_value());
}

// Guards against a class of faults: a daemon that goes on with an old manifest as if it had proof
// that this is the newest. Feeds fall silent, reads are lost or slow and datagrams are cut off, for
// random daemons and times; whoever has reached the store or its peers for the whole limit has each
// version, and whoever has not knows that its proof is old.
TEST(manifest_sync, randomFaultsLeaveNoDaemonBehindUnknowingly)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        sync_cluster cluster(5 + seed % 40, seed);
        std::vector<time_point> calmSince(cluster.daemons.size(), cluster.now);
        std::map<std::uint64_t, time_point> publishedAt;
        for (int step = 0; step < 300; ++step) {
            const std::size_t index = core::drawBelow(cluster.random, cluster.daemons.size());
            simulated_daemon &chosen = cluster.daemons[index];
            chosen.faults = {};
            chosen.faults.feedIsSilent = cluster.chance(50);
            chosen.faults.readsAreLost = cluster.chance(20);
            chosen.faults.isAlone = cluster.chance(20);
            chosen.faults.answerTime = cluster.chance(30) ? cluster.randomTime(800ms) : 5ms;
            calmSince[index] = chosen.faults.readsAreLost ? core::noDeadline : cluster.now;
            if (cluster.chance(10)) {
                cluster.publish();
                publishedAt[cluster.version] = cluster.now;
            }
            cluster.run(100ms);
            std::uint64_t due = 1;
            for (const auto &[published, at] : publishedAt)
                due = cluster.now - at > limit ? published : due;
            for (std::size_t i = 0; i < cluster.daemons.size(); ++i) {
                const manifest_sync &sync = cluster.daemons[i].sync;
                const bool knows = cluster.now - sync.provenAt > limit || isManifestMissing(sync);
                const std::string text = "seed " + std::to_string(seed);
                CHECK_TRUE_TEXT(sync.heldVersion >= due || knows, text.c_str());
                if (calmSince[i] != core::noDeadline && cluster.now - calmSince[i] > limit)
                    CHECK_TRUE_TEXT(sync.heldVersion >= due, text.c_str());
            }
        }
    }
}
