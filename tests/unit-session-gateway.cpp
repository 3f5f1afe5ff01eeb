/// @file
/// @brief Tests of a session gateway over real sockets under hostile datagrams and odd rows.

#include "gateway-fixture.hpp"

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/session_datagram.hpp>
#include <fuchsiagw/daemon/session_gateway.hpp>
#include <fuchsiagw/daemon/session_log.hpp>

#include <platform/standin/table_store.hpp>
#include <platform/wire_codec.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using fuchsiagw::testing::gateway_fixture;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

constexpr const char *validMember = R"({"service":"s","address":"127.0.0.1:1","zone":"north",
    "slots":2,"state":"ready","db-role":"replica","born":17})";

} // namespace

TEST_GROUP(session_gateway)
{
    gateway_fixture fixture;
};

// Guards against the end of the process by one datagram that holds a huge length: callers are still
// served, and the datagrams are counted.
TEST(session_gateway, hostileDatagramsAreDropped)
{
    for (std::size_t before = 0; before < 24; ++before) {
        for (const char fill : { '\0', '\xff' })
            fixture.sendDatagram(std::string(before, fill) + std::string("\0\0\0\0\x02\0\0\0", 8)
                                 + std::string(20, 'x'));
        fixture.context.run_for(1ms);
    }
    CHECK_TRUE(
            fixture.runUntil([&] { return fixture.metric("datagrams_unreadable_total") == 48; }));
    CHECK_TRUE(fixture.servesCallers());
    DOUBLES_EQUAL(0, fixture.metric("events_dropped_total"), 0);
}

// Guards against tokens that are credited twice (QUOTA) because the network delivers a datagram
// twice: at once, or late.
TEST(session_gateway, repeatedDatagramIsCreditedOnce)
{
    fixture.store.put("op", "config",
                      R"({"version":2,"routes":[{"database":"d","service":"s","type":"primary",
                      "timeout-ms":500,"target-latency-ms":100}],"services":[{"name":"s"}],
                      "tenants":[{"name":"t","api-keys":["k"],"rate-per-s":0.001,
                      "burst-size":20}]})");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("limit_part_millionths") > 0; }, 12s));
    while (fixture.admitsOperation()) { }
    for (const auto kind :
         { proxy::peer_message_kind::LoanReturn, proxy::peer_message_kind::LoanGrant }) {
        proxy::peer_message message;
        message.kind = kind;
        message.from = "n2";
        message.incarnation = 7;
        message.sequence = 10 + static_cast<std::uint64_t>(kind);
        message.subject = "t";
        message.betweenHomes = true;
        message.amount = 2 * core::oneToken;
        const std::string bytes = daemon::encodeDatagram(message);
        fixture.sendDatagram(bytes);
        fixture.sendDatagram(bytes);
        fixture.context.run_for(20ms);
        fixture.sendDatagram(bytes);
        fixture.context.run_for(20ms);
        int admitted = 0;
        while (fixture.admitsOperation())
            ++admitted;
        LONGS_EQUAL(2, admitted);
    }
    DOUBLES_EQUAL(4, fixture.metric("datagrams_repeated_total"), 0);
}

// Guards against a daemon that ends, or that stops to follow the list, because another writer left
// one odd row among the members: the other rows are used, also those that come later.
TEST(session_gateway, oddMemberRowCostsThatRowAlone)
{
    const std::string good = validMember;
    const auto with = [&](const std::string &from, const std::string &to) {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::vector<std::string> odd{
        nested(10),
        nested(20'000),
        R"({"service":)" + nested(20'000) + "}",
        R"({"service":"s","x":)" + nested(10'000) + "}",
        with("\"slots\":2", "\"slots\":1e308"),
        with("\"slots\":2", "\"slots\":1e999"),
        with("\"slots\":2", "\"slots\":-1"),
        with("\"slots\":2", "\"slots\":4294967297"),
        with("\"slots\":2", "\"slots\":18446744073709551616"),
        with("\"slots\":2", "\"slots\":0"),
        with("127.0.0.1:1", "127.0.0.1:65536"),
        with("127.0.0.1:1", "127.0.0.1:0"),
        with("127.0.0.1:1", "127.0.0.1:99999999999"),
        with("127.0.0.1:1", "somewhere"),
        with("\"s\"", "17"),
        with("\"ready\"", "\"asleep\""),
        "",
        std::string("\0\xff\xfe{", 4),
        "\"" + std::string(40'000, 'x') + "\"",
        with("\"s\"", R"("s t i-9")"),
        with("\"s\"", R"("s\r\nQUERY 1 WRITE x y")"),
    };
    for (std::size_t i = 0; i < odd.size(); ++i)
        fixture.store.put("servers", "odd" + std::to_string(i), odd[i]);
    fixture.store.put("servers", "good", good);
    const auto listed = [&] { return fixture.metric("members"); };
    CHECK_TRUE(fixture.runUntil([&] { return listed() == 1; }));
    DOUBLES_EQUAL(static_cast<double>(odd.size()), fixture.metric("store_rows_unreadable_total"),
                  0);
    fixture.store.put("servers", "later", good);
    CHECK_TRUE(fixture.runUntil([&] { return listed() == 2; }));
    CHECK_TRUE(fixture.servesCallers());
}

// Guards against odd rows in the product's own tables: the list of daemons, the operators' switch
// and the lease of a promotion.
TEST(session_gateway, oddRowsOfOwnTablesAreSurvived)
{
    for (const char *key : { "n1", "n2", "n3" }) {
        fixture.store.put("instances", key, nested(20'000));
        fixture.context.run_for(20ms);
        fixture.store.put("instances", key, R"({"address":5,"zone":{},"part":9e300})");
        fixture.context.run_for(20ms);
        fixture.store.put("instances", key, R"({"part":9000000000000000000})");
        fixture.context.run_for(20ms);
    }
    // The gateway registers itself in spite of the odd row under its own name.
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("limit_part_millionths") > 0; }, 12s));
    CHECK_TRUE(fixture.servesCallers());
}

// Guards against a manifest that can't be read in place of the one in force.
TEST(session_gateway, oddManifestKeepsTheOneInForce)
{
    fixture.store.put("op", "config", R"({"version":2,"routes":)" + nested(20'000) + "}");
    fixture.store.put("op", "config", R"({"version":1e300})");
    fixture.context.run_for(300ms);
    DOUBLES_EQUAL(1, fixture.metric("manifest_version"), 0);
    CHECK_TRUE(fixture.servesCallers());
    fixture.store.put("op", "config", R"({"version":3,"routes":[]})");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("manifest_version") == 3; }));
}

// Guards against a request to evacuate a zone that is missed, or that stays in force
// after its row was removed while the feed had lost its history.
TEST(session_gateway, evacuationsInTheStoreAreFollowed)
{
    fixture.store.put("op", "evacuate/north", "{}");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("zones_evacuated") == 1; }));
    fixture.store.put("op", "evacuate/south", "{}");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("zones_evacuated") == 2; }));
    fixture.store.remove("op", "evacuate/north");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("zones_evacuated") == 1; }));
    fixture.store.remove("op", "evacuate/south");
    fixture.store.dropHistory();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("zones_evacuated") == 0; }));
    STRCMP_CONTAINS("name=zone_restored zone=south reason=store", fixture.logLines().c_str());
}

// Guards against rows that are skipped, or a list that is never read to its end, where a page of
// the store ends: behind a key that begins the next one, and behind one of the greatest length.
TEST(session_gateway, pagesOfTheStoreAreReadWithoutGaps)
{
    // The first key of each list ends a page.
    const std::vector<std::vector<std::string>> keys{ { "l", "l\x01", "l x", "m" },
                                                      { "l" + std::string(199, 'x'), "m", "n" } };
    for (const std::vector<std::string> &last : keys) {
        gateway_fixture paged([&](gateway_fixture &fresh) {
            for (int i = 0; i < 499; ++i)
                fresh.store.put("servers", "a" + std::to_string(1'000 + i), validMember);
            for (const std::string &key : last)
                fresh.store.put("servers", key, validMember);
        });
        CHECK_TRUE(paged.runUntil([&] { return paged.metric("members") > 0; }));
        DOUBLES_EQUAL(499 + static_cast<double>(last.size()), paged.metric("members"), 0);
    }
}

// Guards against a change that is lost because it came between two pages of a list: the feed has to
// go on from the moment of the first one.
TEST(session_gateway, changeBetweenTwoPagesIsNotLost)
{
    std::optional<boost::asio::steady_timer> removal;
    gateway_fixture paged([&](gateway_fixture &fresh) {
        for (int i = 0; i < 501; ++i)
            fresh.store.put("servers", "a" + std::to_string(1'000 + i), validMember);
        fresh.store.faults.delay = 200ms; // pages after 200 and 400 ms
        removal.emplace(fresh.context, 300ms);
        removal->async_wait([&](const auto &) { fresh.store.remove("servers", "a1000"); });
    });
    CHECK_TRUE(paged.runUntil([&] { return paged.metric("members") == 500; }));
    removal.reset(); // before the context that it uses
}

// Guards against a workspace or service whose name no message can carry: it is left out with a log
// line, its callers are refused, and the others are served.
TEST(session_gateway, unusableNamesInTheManifestAreLeftOut)
{
    fixture.store.put("op", "config",
                      R"({"version":2,"routes":[{"database":"d","service":"s","type":"primary"},
                      {"database":"d2","service":"s 2","type":"primary"}],
                      "services":[{"name":"s"},{"name":"s 2"}],
                      "tenants":[{"name":"t","api-keys":["k"]},
                      {"name":"t\r\nQUERY 1 WRITE x y","api-keys":["k2"]}]})");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("manifest_version") == 2; }));
    const auto lines = fixture.logLines();
    CHECK(lines.find("name=name_unusable detail=\"s 2\"") != std::string::npos);
    CHECK(lines.find("name=name_unusable detail=\"t\\x0d\\x0aQUERY 1 WRITE x y\"")
          != std::string::npos);
    CHECK_TRUE(fixture.servesCallers());
    STRCMP_CONTAINS("NOAUTH", fixture.answerTo("STARTUP d k2\r\n").c_str());
    fixture.answerTo("STARTUP d2 k\r\nQUERY 1 READ a\r\n");
    CHECK_TRUE(fixture.servesCallers());
    DOUBLES_EQUAL(0, fixture.metric("events_dropped_total"), 0);
}

// Guards against the end of the process by bytes on the callers' port.
TEST(session_gateway, hostileCallersAreDisconnected)
{
    for (const std::string &bytes :
         { std::string("\0\0\0\0\r\n", 6), std::string("QUERY\r\n"), std::string("STARTUP\r\n"),
           std::string(300, '\xff') + "\r\n" })
        STRCMP_EQUAL("closed", fixture.answerTo(bytes).c_str());
    fixture.answerTo("STARTUP d k\r\nSTARTUP d k\r\n");
    CHECK_TRUE(fixture.servesCallers());
}

// Guards against statements in one write, or divided at any byte, that are joined, lost or answered
// out of order, and against a line feed that ends one.
TEST(session_gateway, pipelinedStatementsAreAnsweredInOrder)
{
    const std::string sent = "STARTUP d k\r\nQUERY 1 BEGIN\r\nQUERY 2 SET a x\nQUERY 3 ROLLBACK\r\n"
                             "QUERY 4 SET b \r\r\nQUERY 5 ROLLBACK\r\n";
    const std::string expected =
            "READY I -\r\nCOMPLETE -\r\nREADY T -\r\nCOMPLETE -\r\nREADY T -\r\n"
            "COMPLETE -\r\nREADY T -\r\nCOMPLETE -\r\nREADY I -\r\n";
    for (const std::size_t atOnce : { std::string::npos, std::size_t{ 1 }, std::size_t{ 7 } })
        STRCMP_EQUAL(expected.c_str(), fixture.transcriptOf(sent, atOnce).c_str());
}

// Guards against a message at the limit that is refused, and against one beyond it that is read.
TEST(session_gateway, messagesAreReadUpToTheLimit)
{
    const std::string start = "STARTUP d k\r\n";
    const std::string set = "QUERY 1 SET a ";
    const std::string longest = set + std::string(adapter::maxMessageBytes - set.size(), 'x');
    STRCMP_EQUAL("READY I -\r\nCOMPLETE -\r\nREADY I -\r\n",
                 fixture.transcriptOf(start + longest + "\r\n").c_str());
    STRCMP_EQUAL("READY I -\r\nclosed", fixture.transcriptOf(start + longest + "x\r\n").c_str());
    STRCMP_EQUAL("READY I -\r\nclosed", fixture.transcriptOf(start + longest + longest).c_str());
    CHECK_TRUE(fixture.servesCallers());
}

// Guards against the start of a message that is run because its caller leaves, or that keeps its
// session.
TEST(session_gateway, partOfMessageIsNotRun)
{
    for (const char *part :
         { "QUERY 1 BEGIN", "QUERY 1 BEGIN\r", "QUERY 1 BEGIN\n", "QUERY", "\r" })
        STRCMP_EQUAL(
                "READY I -\r\nclosed",
                fixture.transcriptOf(std::string("STARTUP d k\r\n") + part, std::string::npos, true)
                        .c_str());
    STRCMP_EQUAL("closed", fixture.transcriptOf("STARTUP d k", std::string::npos, true).c_str());
    CHECK_TRUE(fixture.runUntil([&] { return fixture.metric("sessions") == 0; }));
}

// Guards against odd bytes in a database or key that are cut off or ignored, so that another route
// or workspace is found, and against the log lines that such a caller could write.
TEST(session_gateway, oddDatabasesAndKeysAreRefused)
{
    for (const std::string &database :
         { std::string("d\n"), std::string("d\r"), std::string("d\0", 2), std::string("\nd"),
           std::string("d\nevent=919 name=promotion_done") })
        STRCMP_CONTAINS("ERROR NODB",
                        fixture.transcriptOf("STARTUP " + database + " k\r\n").c_str());
    for (const std::string &key :
         { std::string("k\n"), std::string("k\r"), std::string("k\0", 2), std::string(" k"),
           std::string("k "), std::string("k k"), std::string("k\nevent=919 name=promotion_done") })
        STRCMP_CONTAINS("ERROR NOAUTH", fixture.transcriptOf("STARTUP d " + key + "\r\n").c_str());
    fixture.transcriptOf("STARTUP d k\r\nQUERY 1\nevent=919\tname=promotion_done READ a\r\n");
    CHECK(fixture.logLines().find("\nevent=919") == std::string::npos);
}
