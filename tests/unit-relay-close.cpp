/// @file
/// @brief Tests of a relay that closes a borrower's connection while commands are on their way.

#include "relay-fixture.hpp"

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
using fuchsiagw::testing::acceptPeer;
using fuchsiagw::testing::line_peer;
using fuchsiagw::testing::relay_fixture;
using proxy::proxy_fixture;

namespace {

constexpr const char *notice = "TERMINATE";
constexpr const char *beginLine = "QUERY - BEGIN\r\n";
constexpr const char *writeLine = "QUERY s1 WRITE a x\r\n";
constexpr const char *commitLine = "QUERY s2 COMMIT\r\n";
constexpr const char *openAnswer = "COMPLETE -\r\nREADY T 1.1\r\n";
constexpr const char *runAnswer = "COMPLETE 7.1\r\nREADY I 1.2\r\n";

bool hasNotice(const line_peer &peer)
{
    return !peer.lines.empty() && peer.lines.back() == notice;
}

tcp::endpoint loopback(std::uint16_t port)
{
    return { boost::asio::ip::address_v4::loopback(), port };
}

/// Opens a connection to the relay that asks for nothing.
void connect(relay_fixture &fixture, line_peer &client)
{
    client.attach(net::line_connection::create(fixture.context, 1'024));
    client.connection->connect(loopback(fixture.port), net::keepalive_profile::Short);
}

} // namespace

TEST_GROUP(relay_close)
{
    relay_fixture fixture;
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
    CHECK_TRUE(hasNotice(fixture.borrower));
    STRCMP_EQUAL("TERMINATE", fixture.member.lines.back().c_str());
}

// Guards against a statement that is sent behind the reply that the recall waited for.
TEST(relay_close, recallBehindAReplyTellsThatNothingIsForwarded)
{
    fixture.sendToMember(writeLine);
    fixture.relay.stop(net::currentBootTime());
    fixture.member.connection->send(runAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_TRUE(hasNotice(fixture.borrower));
    CHECK_EQUAL(4U, fixture.borrower.lines.size());
}

TEST(relay_close, lossOfARestingMemberTellsThatNothingIsForwarded)
{
    fixture.sendToMember(beginLine);
    fixture.member.connection->send(openAnswer);
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.lines.size() == 3; }));
    fixture.member.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_TRUE(hasNotice(fixture.borrower));
}

// Guards against a notice for a command that the member has received and may have run (TWICE,
// REFUSED).
TEST(relay_close, lossOfAWorkingMemberLeavesTheOutcomeOpen)
{
    fixture.sendToMember(writeLine);
    fixture.member.connection->close();
    CHECK_TRUE(fixture.runUntil([&] { return fixture.borrower.isClosed; }));
    CHECK_FALSE(hasNotice(fixture.borrower));
}

// Guards against spare connections that the end of the process resets: the commands that a borrower
// has just sent on one of them would have an unknown outcome.
TEST(relay_close, connectionsWithoutAStartupAreToldBeforeTheEnd)
{
    line_peer spare;
    connect(fixture, spare);
    fixture.relay.stop(net::currentBootTime() + 300ms);
    CHECK_FALSE(fixture.runUntil([&] { return spare.isClosed; }, 200ms));
    CHECK_TRUE(fixture.runUntil([&] { return spare.isClosed; }));
    CHECK_TRUE(hasNotice(spare));
    // Borrowers that don't know of the shutdown are refused until the end.
    CHECK_TRUE(fixture.relay.isBusy());
}

// Guards against the end of the process before a borrower has read the last reply and the notice:
// its command that crosses the close would cause a reset, which discards them.
TEST(relay_close, relayIsBusyUntilTheBorrowerHasClosed)
{
    line_peer second;
    fixture.acceptMember(second);
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
