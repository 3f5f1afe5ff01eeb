/// @file
/// @brief Tests of the list of members that store_client reports before a fencing token.

#include "run-until.hpp"
#include "store-callbacks.hpp"

#include <fuchsiagw/daemon/store_client.hpp>

#include <platform/standin/table_store.hpp>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;

namespace {

constexpr const char *replica = R"({"service":"s","address":"127.0.0.1:1","zone":"north",
    "slots":2,"state":"ready","db-role":"replica","born":17})";

/// The answer to a request for a token, and the members that were known when it came.
struct token_answer
{
    std::uint64_t token = 0;
    std::set<std::string> members;
};

/// A client that has read a list of one member and follows its changes.
struct following_client
{
    boost::asio::io_context context;
    testing::table_store store{ context, 1 };
    std::optional<daemon::store_client> client;
    std::set<std::string> members;
    int reports = 0; ///< of the list of members
    std::map<std::string, token_answer> answers; ///< by service
    int tokenReports = 0;

    following_client()
    {
        CHECK_FALSE(store.start());
        store.put("servers", "first", replica);
        const daemon::session_settings values = testing::settingsFor(store.address());
        daemon::store_callbacks callbacks = testing::ignoringCallbacks();
        callbacks.onMembers = [this](const auto &list) {
            members.clear();
            for (const proxy::listed_member &each : list)
                members.insert(each.entry.id);
            ++reports;
        };
        callbacks.onTokenAcquired = [this](const std::string &service, std::uint64_t token,
                                           const auto &) {
            answers[service] = { token, members };
            ++tokenReports;
        };
        client.emplace(context, values, std::move(callbacks));
    }

    void startFollowing()
    {
        client->start();
        CHECK_TRUE(runUntil([this] { return members.contains("first"); }));
        context.run_for(50ms); // the feed of the members' table has been asked
    }

    template <typename condition>
    bool runUntil(const condition &isMet)
    {
        return testing::runUntil(context, isMet);
    }

    token_answer tokenFor(const std::string &service)
    {
        answers.erase(service);
        client->acquireFencingToken(service);
        CHECK_TRUE(runUntil([&] { return answers.contains(service); }));
        return answers[service];
    }

    std::uint64_t memberReads() const
    {
        return client->counters().calls.at(
                static_cast<std::size_t>(daemon::store_purpose::Members));
    }
};

} // namespace

TEST_GROUP(store_members)
{
    following_client fixture;
};

// Guards against a promotion that neither pauses nor asks a replica which joined while the feed's
// connection was silent: it can hold the second copy of commits that the promoted member lacks.
TEST(store_members, replicaThatJoinedWhileFeedIsSilentIsKnownBeforePromotion)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("servers", "joined", replica);
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_TRUE(answer.members.contains("joined"));
    CHECK_TRUE(answer.members.contains("first"));
}

// Guards against the same where the store has dropped the history that the feed would need.
TEST(store_members, listIsReadAsWholeBeforePromotionWhereHistoryIsGone)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("servers", "joined", replica);
    fixture.store.remove("servers", "first");
    fixture.store.dropHistory();
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_TRUE(answer.members == std::set<std::string>{ "joined" });
}

// Guards against a promotion by a daemon that has not read a list of members yet.
TEST(store_members, listIsReadBeforePromotionWhereFeedWasNotStarted)
{
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_TRUE(answer.members.contains("first"));
}

// Guards against a promotion that rests on an old list because the read after the token failed. A
// later attempt succeeds once the feed answers again.
TEST(store_members, failedReadOfMembersReportsNoToken)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.faults.feedsUnavailable = true;
    fixture.store.put("servers", "joined", replica);
    const token_answer failed = fixture.tokenFor("s");
    CHECK_EQUAL(0U, failed.token);
    fixture.store.faults.feedsUnavailable = false;
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_TRUE(answer.members.contains("joined"));
}

// Guards against a read of the list for each of the groups that lose their primaries with a zone.
TEST(store_members, tokensOfSeveralGroupsShareOneReadOfMembers)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.put("servers", "joined", replica);
    const std::uint64_t before = fixture.memberReads();
    fixture.client->acquireFencingToken("s");
    fixture.client->acquireFencingToken("s2");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.answers.size() == 2; }));
    for (const auto &[service, answer] : fixture.answers) {
        CHECK(answer.token != 0);
        CHECK_TRUE(answer.members.contains("joined"));
    }
    CHECK_EQUAL(before + 1, fixture.memberReads());
}

// Guards against a token that shares a read which the store had answered before the token was
// drawn: a replica that joined in between would not be known.
TEST(store_members, tokenDoesNotShareReadThatWasAnsweredBefore)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.faults.readAnswerDelay = 200ms;
    const std::uint64_t before = fixture.memberReads();
    fixture.client->acquireFencingToken("s");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.memberReads() > before; }));
    fixture.context.run_for(50ms);
    fixture.store.faults.readAnswerDelay = 0ms;
    fixture.store.put("servers", "joined", replica);
    const token_answer later = fixture.tokenFor("s2");
    CHECK(fixture.answers["s"].token != 0);
    CHECK(later.token > fixture.answers["s"].token);
    CHECK_TRUE(later.members.contains("joined"));
}

// Guards against attempts that never get a token from a store whose feed names the version of the
// last change that it returns, which precedes the token.
TEST(store_members, feedIsReadOnUntilItReachesTheToken)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.faults.feedNamesLastChange = true;
    fixture.store.put("servers", "joined", replica);
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_TRUE(answer.members.contains("joined"));
}

// Guards against an answer of the feed that comes late and brings back a member which has been
// removed since, as the read before a promotion has shown.
TEST(store_members, lateAnswerOfFeedDoesNotBringBackOlderRow)
{
    fixture.startFollowing();
    fixture.store.faults.readAnswerDelay = 300ms;
    fixture.store.put("servers", "joined", replica);
    fixture.store.faults.readAnswerDelay = 0ms;
    fixture.store.remove("servers", "joined");
    const std::uint64_t before = fixture.memberReads();
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_FALSE(answer.members.contains("joined"));
    CHECK_EQUAL(before + 1, fixture.memberReads());
    const int reports = fixture.reports;
    fixture.context.run_for(600ms);
    CHECK_FALSE(fixture.members.contains("joined"));
    LONGS_EQUAL(reports, fixture.reports); // that answer contains no news
}

// Guards against a whole list that comes late, takes away a member which has joined since and
// brings back one that has left, as the read before a promotion has shown.
TEST(store_members, lateListDoesNotReplaceNewerOne)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.context.run_for(250ms); // minMemberReadInterval
    fixture.store.faults.readAnswerDelay = 300ms;
    const std::uint64_t before = fixture.memberReads();
    fixture.client->refreshMembers();
    CHECK_EQUAL(before + 1, fixture.memberReads());
    fixture.context.run_for(50ms);
    fixture.store.faults.readAnswerDelay = 0ms;
    fixture.store.put("servers", "joined", replica);
    fixture.store.remove("servers", "first");
    const std::set<std::string> expected{ "joined" };
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    CHECK_TRUE(answer.members == expected);
    const int reports = fixture.reports;
    fixture.context.run_for(400ms);
    LONGS_EQUAL(reports + 1, fixture.reports); // that list has come
    CHECK_TRUE(fixture.members == expected);
}

// Guards against a token that is reported to a later attempt for the same group: its lease ends
// before the lease that the later attempt counts on.
TEST(store_members, tokenOfEarlierRequestIsNotReportedToLaterOne)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.faults.readAnswerDelay = 100ms;
    const std::uint64_t before = fixture.memberReads();
    fixture.client->acquireFencingToken("s");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.memberReads() > before; }));
    const token_answer answer = fixture.tokenFor("s");
    CHECK(answer.token != 0);
    fixture.context.run_for(300ms);
    LONGS_EQUAL(1, fixture.tokenReports);
}

// Guards against a feed that is no longer followed after the read before a promotion.
TEST(store_members, feedIsFollowedAfterPromotion)
{
    fixture.startFollowing();
    fixture.store.put("servers", "second", replica);
    CHECK(fixture.tokenFor("s").token != 0);
    fixture.store.put("servers", "third", replica);
    fixture.store.remove("servers", "first");
    const std::set<std::string> expected{ "second", "third" };
    CHECK_TRUE(fixture.runUntil([&] { return fixture.members == expected; }));
}

// Guards against a list of members that takes longer than the interval between two reads, and is
// replaced by the next read each time: no list is ever applied while members ask for one.
TEST(store_members, slowListIsNotAbandonedForTheNextRead)
{
    fixture.startFollowing();
    fixture.store.faults.longPollsSilent = true;
    fixture.store.faults.readAnswerDelay = 600ms;
    fixture.store.put("servers", "joined", replica);
    const auto end = std::chrono::steady_clock::now() + 3s;
    while (!fixture.members.contains("joined") && std::chrono::steady_clock::now() < end) {
        fixture.client->refreshMembers();
        fixture.context.run_for(50ms);
    }
    CHECK_TRUE(fixture.members.contains("joined"));
}

// Guards against changes that are noticed after 29.5 s because the calls of the feeds are older
// than a silence of the store, and are never answered.
TEST(store_members, feedsThatAreOlderThanASilenceAreReopened)
{
    fixture.startFollowing();
    fixture.store.faults.silent = true;
    fixture.store.forgetFeeds();
    fixture.context.run_for(3s);
    fixture.store.faults.silent = false;
    fixture.store.put("servers", "joined", replica);
    fixture.store.remove("servers", "first");
    const std::set<std::string> expected{ "joined" };
    CHECK_TRUE(testing::runUntil(
            fixture.context, [&] { return fixture.members == expected; }, 4s));
}
