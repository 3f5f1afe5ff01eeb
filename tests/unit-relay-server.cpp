/// @file
/// @brief Tests of the relay over real sockets: lent connections during a shutdown.

#include "proxy-fixture.hpp"
#include "run-until.hpp"

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
using proxy::proxy_fixture;

namespace {

constexpr const char *beginLine = "QUERY - BEGIN\r\n";
constexpr const char *readLine = "QUERY s1 READ a\r\n";
constexpr const char *openAnswer = "COMPLETE -\r\nREADY T 1.1\r\n";
constexpr const char *firstRun = "DATAROW x\r\nCOMPLETE 7.1\r\nREADY T 1.1\r\n";
constexpr const char *secondRun = "DATAROW y\r\nCOMPLETE 7.2\r\nREADY T 1.1\r\n";
constexpr const char *busyAnswer = "ERROR BUSY -\r\nREADY T 1.1\r\n";

/// One side of a connection, with the lines that it has received.
struct line_peer
{
    std::shared_ptr<net::line_connection> connection;
    std::vector<std::string> lines;
    bool isClosed = false;

    void attach(std::shared_ptr<net::line_connection> created)
    {
        connection = std::move(created);
        connection->setHandlers([this](std::string_view line) { lines.emplace_back(line); },
                                [this] { isClosed = true; });
    }
};

/// A relay with one member, which answers when the test says so.
struct relay_fixture
{
    boost::asio::io_context context;
    proxy_fixture engine;
    tcp::acceptor acceptor{ context, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::vector<proxy::reply_fault> faults;
    daemon::relay_server relay{ context, engine.state,
                                [this](const std::string &, proxy::reply_fault fault) {
                                    faults.push_back(fault);
                                } };
    std::uint16_t port = 0; ///< of the relay
    line_peer member;
    line_peer borrower;

    relay_fixture()
    {
        proxy::upstream_entry entry = proxy_fixture::member("m1", true);
        entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        engine.setMembers({ entry });
        tcp::acceptor probe(context, { boost::asio::ip::address_v4::loopback(), 0 });
        port = probe.local_endpoint().port();
        probe.close();
        CHECK_FALSE(relay.start({ boost::asio::ip::address_v4::loopback(), port }));
        acceptMember(member);
        borrow(borrower, "house");
        CHECK_TRUE(runUntil([this] { return member.lines.size() == 1; }));
        member.connection->send("READY I 1.1\r\n");
        CHECK_TRUE(runUntil([this] { return borrower.lines.size() == 1; }));
    }

    /// Accepts the next connection that the relay opens to the member.
    void acceptMember(line_peer &opened)
    {
        acceptor.async_accept([&opened](const auto &error, tcp::socket socket) {
            if (error)
                return;
            opened.attach(net::line_connection::create(std::move(socket), 1'024));
            opened.connection->start(net::keepalive_profile::Short);
        });
    }

    /// Asks the relay for a connection for a workspace.
    void borrow(line_peer &client, const std::string &workspace)
    {
        proxy::upstream_command startup;
        startup.kind = proxy::command_kind::Startup;
        startup.name = proxy_fixture::service;
        startup.argument = workspace;
        startup.id = "m1";
        client.attach(net::line_connection::create(context, 1'024));
        client.connection->send(adapter::encodeCommand(startup));
        client.connection->connect({ boost::asio::ip::address_v4::loopback(), port },
                                   net::keepalive_profile::Short);
    }

    template <typename condition>
    bool runUntil(const condition &isMet, std::chrono::milliseconds limit = 3s)
    {
        return testing::runUntil(context, isMet, limit);
    }

    /// Sends a statement of the borrower and waits until the member has it.
    void sendToMember(const std::string &line)
    {
        const std::size_t before = member.lines.size();
        borrower.connection->send(std::string(line));
        CHECK_TRUE(runUntil([&] { return member.lines.size() > before; }));
    }
};

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
