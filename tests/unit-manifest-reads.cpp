/// @file
/// @brief Tests of the time after which store_client hands over a manifest that the store has.

#include "run-until.hpp"
#include "store-callbacks.hpp"

#include <fuchsiagw/daemon/store_client.hpp>

#include <platform/standin/manifest_text.hpp>
#include <platform/standin/table_store.hpp>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

using namespace fuchsiagw;
using namespace std::chrono_literals;

namespace {

/// Promise of the platform that the client gets as session_settings::configurationLimit.
constexpr auto configurationLimit = 5s;
constexpr auto exchangeInterval = 100ms; // at which peers name the version that they have

std::string manifestWith(std::uint64_t version, int routes)
{
    testing::manifest_plan plan;
    plan.version = version;
    plan.services = { "s" };
    for (int i = 0; i < routes; ++i)
        plan.routes.push_back({ "d" + std::to_string(i), "s" });
    return testing::manifestText(plan);
}

/// A client that has the manifest of version 1 and follows its changes.
struct following_client
{
    boost::asio::io_context context;
    testing::table_store store{ context, 1 };
    std::optional<daemon::store_client> client;
    std::uint64_t version = 0; ///< that was handed over last
    std::size_t routes = 0; ///< of the manifest that was handed over last
    std::set<std::string> evacuatedZones;
    std::multiset<std::string> events;

    following_client()
    {
        CHECK_FALSE(store.start());
        store.put("op", "config", manifestWith(1, 1));
        daemon::session_settings values = testing::settingsFor(store.address());
        values.configurationLimit = configurationLimit;
        daemon::store_callbacks callbacks = testing::ignoringCallbacks();
        callbacks.onManifest = [this](const auto &manifest, auto) {
            CHECK_TRUE(manifest->version > version);
            version = manifest->version;
            routes = manifest->routes.size();
        };
        callbacks.onEvacuations = [this](const auto &zones, auto) { evacuatedZones = zones; };
        callbacks.onStoreEvent = [this](std::string_view name, auto) {
            events.insert(std::string(name));
        };
        client.emplace(context, values, std::move(callbacks));
    }

    ~following_client() { client->stop(); }

    void startFollowing()
    {
        client->start();
        CHECK_TRUE(testing::runUntil(context, [this] { return version == 1; }));
        context.run_for(50ms); // the change feed has been asked
    }

    /// @return whether the version is handed over within the limit while nobody names it
    bool learns(std::uint64_t wanted, std::chrono::milliseconds limit = configurationLimit)
    {
        return testing::runUntil(
                context, [&] { return version >= wanted; }, limit);
    }

    /// @return whether the version is handed over within the limit while peers name it
    bool learnsWhileNamed(std::uint64_t wanted,
                          std::chrono::milliseconds limit = configurationLimit)
    {
        auto nextNamedAt = std::chrono::steady_clock::now();
        return testing::runUntil(
                context,
                [&] {
                    if (std::chrono::steady_clock::now() >= nextNamedAt) {
                        client->refreshManifest(wanted);
                        nextNamedAt += exchangeInterval;
                    }
                    return version >= wanted;
                },
                limit);
    }

    std::uint64_t reads() const
    {
        return client->counters().calls.at(
                static_cast<std::size_t>(daemon::store_purpose::Manifest));
    }
};

} // namespace

TEST_GROUP(manifest_reads)
{
    following_client fixture;
};

// Guards against a read that is abandoned for the next one before its answer has come, again and
// again, while peers name the version: no manifest is ever applied.
TEST(manifest_reads, slowAnswerIsNotAbandonedForTheNextRead)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("op", "config", manifestWith(2, 5));
    fixture.store.faults.readAnswerDelay = 1'300ms;
    fixture.context.run_for(900ms);
    CHECK_TRUE(fixture.learnsWhileNamed(2));
}

// Guards against an answer of the change feed that is thrown away while its last bytes arrive,
// because a peer has named the version that it contains.
TEST(manifest_reads, answerOfTheFeedUnderWayIsApplied)
{
    fixture.startFollowing();
    fixture.store.faults.readBytesPerSecond = 100'000;
    fixture.store.put("op", "config", manifestWith(2, 1'400));
    CHECK_TRUE(fixture.learnsWhileNamed(2));
    CHECK_EQUAL(1'400U, fixture.routes);
}

// Guards against a time limit for the whole answer, whatever its size: over a narrow link a large
// manifest would never be read.
TEST(manifest_reads, largeTableThatArrivesSlowlyIsApplied)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("op", "config", manifestWith(2, 1'400));
    fixture.store.dropHistory();
    fixture.store.faults.readBytesPerSecond = 100'000;
    fixture.context.run_for(900ms);
    CHECK_TRUE(fixture.learnsWhileNamed(2));
    CHECK_EQUAL(1'400U, fixture.routes);
}

// Guards against an answer that stops in the middle and is waited for without end.
TEST(manifest_reads, answerThatStopsArrivingIsAskedForAgain)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("op", "config", manifestWith(2, 1'400));
    fixture.store.faults.readBytesPerSecond = 400; // one piece in 50 ms, for 15 minutes
    fixture.context.run_for(900ms);
    fixture.client->refreshManifest(2);
    fixture.context.run_for(700ms);
    fixture.store.faults.readBytesPerSecond = 0;
    CHECK_TRUE(fixture.learnsWhileNamed(2, 30s));
}

// Guards against a version that is forgotten because a peer names it once, just after a read.
TEST(manifest_reads, versionThatIsNamedOnceIsRead)
{
    for (const auto pause : { 0ms, 200ms }) {
        following_client each;
        each.startFollowing();
        each.store.faults.longPollsSilent = true;
        each.store.put("op", "config", manifestWith(2, 1));
        each.context.run_for(pause);
        each.client->refreshManifest(2);
        CHECK_TRUE(each.learns(2, 2s));
    }
}

// Guards against a feed whose answers are lost: a daemon that nobody tells of a newer version
// waits for the end of its call, 29.5 s.
TEST(manifest_reads, changeIsNoticedInTimeWhileTheFeedIsSilent)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("op", "config", manifestWith(2, 1));
    CHECK_TRUE(fixture.learns(2));
    fixture.store.put("op", "config", manifestWith(3, 1));
    CHECK_TRUE(fixture.learns(3));
}

// Guards against a feed that is not followed any more after a silent call was given up.
TEST(manifest_reads, feedIsFollowedAgainAfterSilence)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("op", "config", manifestWith(2, 1));
    CHECK_TRUE(fixture.learns(2));
    fixture.store.faults.longPollsSilent = false;
    fixture.context.run_for(6s);
    fixture.store.put("op", "config", manifestWith(3, 1));
    CHECK_TRUE(fixture.learns(3, 300ms));
}

// Guards against a part of a manifest that is taken for one without routes: every caller would be
// refused. The manifest in force stays, and the next whole one is applied.
TEST(manifest_reads, partialManifestIsNotApplied)
{
    fixture.startFollowing();
    fixture.store.put("op", "config", R"({"version":2})");
    fixture.store.put("op", "config", R"({"version":3,"routes":{}})");
    fixture.store.put("op", "config", manifestWith(4, 50).substr(0, 200));
    fixture.context.run_for(500ms);
    CHECK_EQUAL(1U, fixture.version);
    CHECK_TRUE(fixture.events.contains("manifest_unreadable"));
    fixture.store.put("op", "config", manifestWith(5, 2));
    CHECK_TRUE(fixture.learns(5, 2s));
    CHECK_EQUAL(2U, fixture.routes);
}

// Guards against a row that cannot be read and is asked for at a high rate as long as peers name
// its version.
TEST(manifest_reads, unreadableManifestIsNotReadAllTheTime)
{
    fixture.startFollowing();
    fixture.store.put("op", "config", manifestWith(2, 50).substr(0, 200));
    fixture.context.run_for(100ms);
    const std::uint64_t before = fixture.reads();
    CHECK_FALSE(fixture.learnsWhileNamed(2, 6s));
    CHECK_TRUE(fixture.reads() - before <= 6); // one a second
}

// Guards against evacuated zones that are forgotten because their rows are on the second page of
// the table, behind other rows or behind a manifest that fills the first one.
TEST(manifest_reads, evacuationBehindTheFirstPageIsKnown)
{
    for (int i = 0; i < 600; ++i)
        fixture.store.put("op", "d" + std::to_string(1'000 + i), "{}");
    fixture.store.put("op", "evacuate/south", "{}");
    fixture.startFollowing();
    CHECK_TRUE(testing::runUntil(fixture.context,
                                 [&] { return fixture.evacuatedZones.contains("south"); }));
}
