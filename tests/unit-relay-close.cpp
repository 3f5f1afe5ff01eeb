/// @file
/// @brief Tests of a relay that closes a borrower's connection while commands are on their way.

#include "proxy-fixture.hpp"
#include "run-until.hpp"

#include <fuchsiagw/daemon/member_connection.hpp>
#include <fuchsiagw/daemon/relay_server.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <platform/wire_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using proxy::proxy_fixture;

namespace {

constexpr const char *notice = "TERMINATE";
constexpr const char *beginLine = "QUERY - BEGIN\r\n";
constexpr const char *writeLine = "QUERY s1 WRITE a x\r\n";
constexpr const char *commitLine = "QUERY s2 COMMIT\r\n";
constexpr const char *openAnswer = "COMPLETE -\r\nREADY T 1.1\r\n";
constexpr const char *runAnswer = "COMPLETE 7.1\r\nREADY I 1.2\r\n";

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

    [[nodiscard]] bool hasNotice() const { return !lines.empty() && lines.back() == notice; }
};

tcp::endpoint loopback(std::uint16_t port)
{
    return { boost::asio::ip::address_v4::loopback(), port };
}

void acceptPeer(tcp::acceptor &acceptor, line_peer &opened)
{
    acceptor.async_accept([&opened](const auto &error, tcp::socket socket) {
        if (error)
            return;
        opened.attach(net::line_connection::create(std::move(socket), 1'024));
        opened.connection->start(net::keepalive_profile::Short);
    });
}

/// A relay with one member, and a connection of it that is lent.
struct lent_fixture
{
    boost::asio::io_context context;
    proxy_fixture engine;
    tcp::acceptor acceptor{ context, loopback(0) };
    daemon::relay_server relay{ context, engine.state,
                                [](const std::string &, proxy::reply_fault) {} };
    std::uint16_t port = 0; ///< of the relay
    line_peer member;
    line_peer borrower;

    lent_fixture()
    {
        proxy::upstream_entry entry = proxy_fixture::member("m1", true);
        entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        engine.setMembers({ entry });
        tcp::acceptor probe(context, loopback(0));
        port = probe.local_endpoint().port();
        probe.close();
        CHECK_FALSE(relay.start({ boost::asio::ip::address_v4::loopback(), port }));
        acceptPeer(acceptor, member);
        connect(borrower);
        proxy::upstream_command startup;
        startup.kind = proxy::command_kind::Startup;
        startup.name = proxy_fixture::service;
        startup.argument = "house";
        startup.id = "m1";
        borrower.connection->send(adapter::encodeCommand(startup));
        CHECK_TRUE(runUntil([this] { return member.lines.size() == 1; }));
        member.connection->send("READY I 1.1\r\n");
        CHECK_TRUE(runUntil([this] { return borrower.lines.size() == 1; }));
    }

    void connect(line_peer &client)
    {
        client.attach(net::line_connection::create(context, 1'024));
        client.connection->connect(loopback(port), net::keepalive_profile::Short);
    }

    template <typename condition>
    bool runUntil(const condition &isMet, std::chrono::milliseconds limit = 3s)
    {
        return testing::runUntil(context, isMet, limit);
    }

    /// Sends a command of the borrower and waits until the member has it.
    void sendToMember(const std::string &line)
    {
        const std::size_t before = member.lines.size();
        borrower.connection->send(std::string(line));
        CHECK_TRUE(runUntil([&] { return member.lines.size() > before; }));
    }
};

} // namespace

TEST_GROUP(relay_close)
{
    lent_fixture fixture;
};

// Guards against a COMMIT that crosses the recall of a transaction at rest, and whose outcome the
// borrower does not know although no member has received it.
TEST(relay_close, recallTellsThatNothingIsForwarded)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 3; }));
    fixture.relay.stop(net::currentBootTime());
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
    fixture.borrower.connection->send(commitLine);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_TRUE(fixture.borrower.hasNotice());
    STRCMP_EQUAL("TERMINATE", fixture.member.lines.back().c_str());
}

// Guards against a statement that is sent behind the reply that the recall waited for.
TEST(relay_close, recallBehindAReplyTellsThatNothingIsForwarded)
{
    fixture.sendToMember(writeLine);
    fixture.relay.stop(net::currentBootTime());
    fixture.member.connection->send(runAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_TRUE(fixture.borrower.hasNotice());
    CHECK_EQUAL(4U, fixture.borrower.lines.size());
}

TEST(relay_close, lossOfARestingMemberTellsThatNothingIsForwarded)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 3; }));
    fixture.member.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_TRUE(fixture.borrower.hasNotice());
}

// Guards against a notice for a command that the member has received and may have run (TWICE,
// REFUSED).
TEST(relay_close, lossOfAWorkingMemberLeavesTheOutcomeOpen)
{
    fixture.sendToMember(writeLine);
    fixture.member.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_FALSE(fixture.borrower.hasNotice());
}

// Guards against spare connections that the end of the process resets: the commands that a borrower
// has just sent on one of them would have an unknown outcome.
TEST(relay_close, connectionsWithoutAStartupAreToldBeforeTheEnd)
{
    line_peer spare;
    fixture.connect(spare);
    fixture.relay.stop(net::currentBootTime() + 300ms);
    CHECK_FALSE(fixture.runUntil([&] { return spare.isClosed; }, 200ms));
    CHECK_TRUE(fixture.runUntil([&] { return spare.isClosed; }));
    CHECK_TRUE(spare.hasNotice());
}

// Guards against the end of the process before a borrower has read the last reply and the notice:
// its command that crosses the close would cause a reset, which discards them.
TEST(relay_close, relayIsBusyUntilTheBorrowerHasClosed)
{
    // This peer reads nothing, and so does not see the end of the connection.
    tcp::socket silent(fixture.context);
    silent.connect(loopback(fixture.port));
    fixture.borrower.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
    fixture.relay.stop(net::currentBootTime());
    CHECK_TRUE(fixture.runUntil([&] { return silent.available() > 0; }));
    CHECK_FALSE(fixture.runUntil([&] { return !fixture.relay.isBusy(); }, 100ms));
    silent.close();
    CHECK_TRUE(fixture.runUntil([&] { return !fixture.relay.isBusy(); }, 500ms));
}
