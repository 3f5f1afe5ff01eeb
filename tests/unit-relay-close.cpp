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
#include <boost/asio/write.hpp>

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
    // Borrowers that don't know of the shutdown are refused until the end.
    CHECK_TRUE(fixture.relay.isBusy());
}

// Guards against the end of the process before a borrower has read the last reply and the notice:
// its command that crosses the close would cause a reset, which discards them.
TEST(relay_close, relayIsBusyUntilTheBorrowerHasClosed)
{
    line_peer second;
    acceptPeer(fixture.acceptor, second);
    // This peer reads nothing, and so does not see the end of the connection.
    tcp::socket silent(fixture.context);
    silent.connect(loopback(fixture.port));
    boost::asio::write(silent, boost::asio::buffer(std::string("STARTUP books house m1\r\n")));
    CHECK_TRUE(fixture.runUntil([&] { return second.lines.size() == 1; }));
    second.connection->send("READY I 1.1\r\n");
    CHECK_TRUE(fixture.runUntil([&] { return silent.available() > 0; }));
    fixture.borrower.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.member.isClosed; }));
    fixture.relay.stop(net::currentBootTime());
    CHECK_TRUE(fixture.runUntil([&] { return second.isClosed; }));
    CHECK_FALSE(fixture.runUntil([&] { return !fixture.relay.isBusy(); }, 100ms));
    silent.close();
    CHECK_TRUE(fixture.runUntil([&] { return !fixture.relay.isBusy(); }, 500ms));
}

namespace {

/// A borrower's side of a connection whose relay answers when the test says so.
struct borrowing_fixture
{
    boost::asio::io_context context;
    tcp::acceptor acceptor{ context, loopback(0) };
    line_peer relay;
    std::shared_ptr<daemon::member_connection> link;
    int replies = 0;
    int losses = 0;
    int recalls = 0;

    borrowing_fixture()
    {
        acceptPeer(acceptor, relay);
        link = daemon::member_connection::create(
                net::line_connection::create(context, 1'024),
                { [this](proxy::reply &&, std::string_view) { ++replies; }, [this] { ++losses; },
                  [](proxy::reply_fault) {}, [this] { ++recalls; } });
        link->connect(loopback(acceptor.local_endpoint().port()), net::keepalive_profile::Short);
        link->send("STARTUP books house m1\r\n", { proxy::reply_shape::Startup });
        link->send(beginLine, { proxy::reply_shape::Begin });
        CHECK_TRUE(runUntil([this] { return relay.lines.size() == 2; }));
        relay.connection->send(std::string("READY I 1.1\r\n") + openAnswer);
        CHECK_TRUE(runUntil([this] { return replies == 2; }));
    }

    template <typename condition>
    bool runUntil(const condition &isMet)
    {
        return testing::runUntil(context, isMet, 3s);
    }

    bool ends()
    {
        relay.connection->closeGracefully();
        return runUntil([this] { return losses + recalls > 0; });
    }
};

} // namespace

TEST_GROUP(borrower_close)
{
    borrowing_fixture fixture;
};

TEST(borrower_close, noticeTellsThatACrossingCommandIsNotForwarded)
{
    fixture.link->send(commitLine, { proxy::reply_shape::Commit });
    fixture.relay.connection->send(std::string(adapter::terminateMessage()));
    CHECK_TRUE(fixture.ends());
    CHECK_EQUAL(1, fixture.recalls);
}

// Guards against a promise about a command that the relay may have forwarded.
TEST(borrower_close, endWithoutANoticeIsALoss)
{
    fixture.link->send(commitLine, { proxy::reply_shape::Commit });
    CHECK_TRUE(fixture.ends());
    CHECK_EQUAL(1, fixture.losses);
}

// Guards against a promise about a command whose reply was taken for a surplus one (REFUSED): the
// relay has forwarded it and its reply.
TEST(borrower_close, noticeBehindADroppedReplyIsALoss)
{
    fixture.link->send(commitLine, { proxy::reply_shape::Commit });
    fixture.relay.connection->send(openAnswer + std::string(adapter::terminateMessage()));
    CHECK_TRUE(fixture.ends());
    CHECK_EQUAL(1, fixture.losses);
}

// Guards against a promise after a reply that was cut off.
TEST(borrower_close, noticeWithinAReplyIsALoss)
{
    fixture.link->send(commitLine, { proxy::reply_shape::Commit });
    fixture.relay.connection->send("COMPLETE 7.1\r\n" + std::string(adapter::terminateMessage()));
    CHECK_TRUE(fixture.ends());
    CHECK_EQUAL(1, fixture.losses);
}

TEST_GROUP(recalled_link)
{
    proxy_fixture fixture;

    /// Opens a transaction whose first statement, a write, has run.
    proxy::session_id openTransaction()
    {
        const proxy::session_id id = fixture.openSession("current");
        fixture.sendStatement(id, proxy::statement_kind::Begin, "BEGIN");
        fixture.sendWrite(id);
        fixture.acceptLinks();
        const proxy::reply open = proxy_fixture::success({ 1, 7 }, proxy::transaction_state::Open);
        fixture.answer(fixture.busyLink(), open);
        fixture.answer(fixture.busyLink(), open);
        fixture.takeActions();
        return id;
    }

    /// Recalls the link on which a statement is outstanding.
    std::vector<proxy::action> recall()
    {
        const proxy::link_id link = fixture.busyLink();
        CHECK(link != 0);
        fixture.takeActions();
        proxy::onLinkRecalled(fixture.state, link, fixture.now);
        return fixture.takeActions();
    }
};

// Guards against an unknown outcome of a COMMIT that no member has received.
TEST(recalled_link, commitIsAborted)
{
    const proxy::session_id id = openTransaction();
    fixture.sendStatement(id, proxy::statement_kind::Commit, "COMMIT");
    const auto answers = proxy_fixture::answersTo(id, recall());
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().code == proxy::reply_code::Aborted);
    CHECK(answers.front().state == proxy::transaction_state::Idle);
}

TEST(recalled_link, laterStatementEndsItsTransaction)
{
    const proxy::session_id id = openTransaction();
    fixture.sendWrite(id);
    const auto answers = proxy_fixture::answersTo(id, recall());
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().code == proxy::reply_code::Aborted);
    CHECK(answers.front().state == proxy::transaction_state::Failed);
}

// Guards against an unknown outcome of a write that no member has received.
TEST(recalled_link, singleWriteIsSentAgain)
{
    const proxy::session_id id = fixture.openSession("current");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    const auto recalled = recall();
    CHECK_EQUAL(0U, proxy_fixture::answersTo(id, recalled).size());
    const auto again = proxy_fixture::commandsOf(recalled);
    CHECK_EQUAL(1, std::count_if(again.begin(), again.end(), [](const auto &each) {
                    return each.kind == proxy::command_kind::Forward;
                }));
}

// Guards against a false promise: without the notice the member may have received the COMMIT.
TEST(recalled_link, lossOfACommitStaysUnknown)
{
    const proxy::session_id id = openTransaction();
    fixture.sendStatement(id, proxy::statement_kind::Commit, "COMMIT");
    const proxy::link_id link = fixture.busyLink();
    proxy::onLinkClosed(fixture.state, link, fixture.now);
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK(answers.back().code == proxy::reply_code::OutcomeUnknown);
}
