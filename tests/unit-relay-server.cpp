/// @file
/// @brief Tests of the relay over real sockets: lent connections during a shutdown.

#include "relay-fixture.hpp"

#include <fuchsiagw/daemon/relay_server.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <platform/wire_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using fuchsiagw::testing::line_peer;
using fuchsiagw::testing::relay_fixture;
using proxy::proxy_fixture;

namespace {

constexpr const char *beginLine = "QUERY - BEGIN\r\n";
constexpr const char *readLine = "QUERY s1 READ a\r\n";
constexpr const char *openAnswer = "COMPLETE -\r\nREADY T 1.1\r\n";
constexpr const char *firstRun = "DATAROW x\r\nCOMPLETE 7.1\r\nREADY T 1.1\r\n";
constexpr const char *secondRun = "DATAROW y\r\nCOMPLETE 7.2\r\nREADY T 1.1\r\n";
constexpr const char *busyAnswer = "ERROR BUSY -\r\nREADY T 1.1\r\n";

} // namespace

TEST_GROUP(relay_server)
{
    relay_fixture fixture;
};

// Guards against statements of other daemons that are cut by the end of a relay: shortly before, it
// ends transactions that rest, so that their callers learn that nothing is kept.
TEST(relay_server, restingTransactionIsReturnedBeforeTheEnd)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 3; }));
    fixture.relay.stop(net::currentBootTime() + 300ms);
    CHECK_FALSE(fixture.runUntil([&] { return fixture.borrower.isClosed; }, 200ms));
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_TRUE(fixture.runUntil([&] { return !fixture.relay.isBusy(); }));
}

// Guards against cutting a running statement there: its answer still arrives.
TEST(relay_server, runningStatementIsAnsweredFirst)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    fixture.sendToMember(readLine);
    fixture.relay.stop(net::currentBootTime());
    CHECK_FALSE(fixture.runUntil([&] { return fixture.borrower.isClosed; }, 600ms));
    fixture.member.connection->send(firstRun);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_EQUAL(7U, fixture.borrower.lines.size());
    STRCMP_EQUAL("TERMINATE", fixture.borrower.lines.back().c_str());
}

// Guards against a second shutdown signal that keeps connections lent beyond the end of the
// process.
TEST(relay_server, secondStopDoesNotExtendTheLending)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 3; }));
    fixture.relay.stop(net::currentBootTime() + 100ms);
    fixture.relay.stop(net::currentBootTime() + 10s);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
}

// Guards against a reply that a member sends twice and that is taken for the reply to the next
// command (MIXED). The next one's own reply still arrives, and then the connection ends.
TEST(relay_server, repeatedReplyIsDropped)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    fixture.sendToMember(readLine);
    fixture.member.connection->send(firstRun);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 6; }));
    fixture.sendToMember("QUERY s2 READ b\r\n");
    fixture.member.connection->send(std::string(firstRun) + secondRun);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_EQUAL(10U, fixture.borrower.lines.size());
    STRCMP_EQUAL("TERMINATE", fixture.borrower.lines.back().c_str());
    STRCMP_EQUAL("DATAROW y", fixture.borrower.lines.at(6).c_str());
    CHECK(fixture.faults == std::vector{ proxy::reply_fault::RepeatedDigest });
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
}

// Guards against a second reply that arrives while the borrower rests, and that its next command
// would get.
TEST(relay_server, replyWithoutCommandEndsTheConnection)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(std::string(openAnswer) + openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_EQUAL(4U, fixture.borrower.lines.size());
    STRCMP_EQUAL("TERMINATE", fixture.borrower.lines.back().c_str());
    CHECK(fixture.faults == std::vector{ proxy::reply_fault::Unsolicited });
}

// Guards against an error that a member sends twice, and that a later write would get although it
// ran (REFUSED, TWICE): within a loan its outcome is unknown, and no other borrower gets the
// connection.
TEST(relay_server, connectionWithAnErrorIsNotLentAgain)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    fixture.sendToMember(readLine);
    fixture.member.connection->send(busyAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 5; }));
    fixture.borrower.connection->send(std::string(adapter::terminateMessage()));
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
    STRCMP_EQUAL("TERMINATE", fixture.member.lines.back().c_str());
}

// Guards against a connection that is lent on although its borrower found a reply wrong (PINNED).
TEST(relay_server, connectionOfALostBorrowerIsNotLentAgain)
{
    fixture.borrower.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
    STRCMP_EQUAL("TERMINATE", fixture.member.lines.back().c_str());
}

TEST(relay_server, repeatedErrorEndsTheConnection)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    fixture.sendToMember(readLine);
    fixture.member.connection->send(busyAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 5; }));
    fixture.sendToMember(readLine);
    fixture.member.connection->send(busyAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_EQUAL(5U, fixture.borrower.lines.size());
    CHECK(fixture.faults == std::vector{ proxy::reply_fault::RepeatedError });
}

// Guards against the last reply of a connection's cleaning that is a surplus one: the next borrower
// would get the outstanding one.
TEST(relay_server, surplusReplyWhileCleaningEndsTheConnection)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    fixture.borrower.connection->send(std::string(adapter::terminateMessage()));
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.lines.size() == 4; }));
    STRCMP_EQUAL("QUERY - DISCARD", fixture.member.lines.back().c_str());
    fixture.member.connection->send(openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
}

// Guards against a connection that is lent on with another session's values, names or transaction
// (PINNED): the member refused to discard them.
TEST(relay_server, connectionWhoseCleaningFailedIsNotLentAgain)
{
    fixture.sendToMember("QUERY - SET v 1\r\n");
    fixture.member.connection->send("COMPLETE -\r\nREADY I 1.1\r\n");
    fixture.borrower.connection->send(std::string(adapter::terminateMessage()));
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.lines.size() == 3; }));
    STRCMP_EQUAL("QUERY - DISCARD", fixture.member.lines.back().c_str());
    fixture.member.connection->send("ERROR FAILED -\r\nREADY I 1.1\r\n");
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
}

// Guards against a relay that reads the name of a member from a connection that it has just closed:
// an opened connection makes room at once for one of another workspace.
TEST(relay_server, connectionMakesRoomForAnotherWorkspaceWhenItOpens)
{
    proxy::manifest next = proxy_fixture::makeManifest(2);
    next.services.at(proxy_fixture::service).maxConnections = 1;
    fixture.engine.applyManifest(next);
    fixture.borrower.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
    line_peer opening;
    fixture.acceptMember(opening);
    line_peer first;
    fixture.borrow(first, "house");
    CHECK_TRUE(fixture.runUntil([&] { return opening.lines.size() == 1; }));
    line_peer second;
    fixture.borrow(second, "office");
    first.connection->close();
    CHECK_FALSE(fixture.runUntil([&] { return second.isClosed; }, 20ms));
    line_peer replacing;
    fixture.acceptMember(replacing);
    opening.connection->send("READY I 1.1\r\n");
    CHECK_TRUE(fixture.runUntil([&] { return replacing.lines.size() == 1; }));
    STRCMP_EQUAL("STARTUP books office m1", replacing.lines.front().c_str());
}
