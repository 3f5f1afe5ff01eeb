/// @file
/// @brief Tests of the soak's faults around promotions: late orders and commands, and members that
/// only some clients reach.

#include <platform/standin/line_group.hpp>

#include <fuchsiagw/testing/loopback_proxy.hpp>
#include <fuchsiagw/testing/process_sockets.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include <unistd.h>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr auto lateLimit = 12'500ms; // a late order is carried out within 12 s
constexpr auto effectLimit = 1'200ms; // a promotion takes 1 s

/// A group of three members whose store carries out promotion orders on it.
struct order_fixture
{
    boost::asio::io_context context;
    soak_history history;
    table_store store{ context, 1 };
    std::unique_ptr<line_group> group;

    order_fixture()
    {
        line_group_options options;
        options.service = "books";
        options.zones = { "north", "south", "north" };
        group = std::make_unique<line_group>(context, store, history, options, 1);
        CHECK_FALSE(store.start());
        store.onPromote = [this](const std::string &, const std::string &member,
                                 const std::string &holder, std::uint64_t token) {
            return group->promote(member, holder, token);
        };
    }

    void runFor(std::chrono::milliseconds duration)
    {
        context.restart();
        context.run_for(duration);
    }

    tcp::socket connectTo(std::uint16_t port)
    {
        tcp::socket socket(context);
        socket.connect({ boost::asio::ip::address_v4::loopback(), port });
        return socket;
    }

    /// @return what arrives within @p duration after @p text was sent
    std::string exchange(tcp::socket &socket, const std::string &text,
                         std::chrono::milliseconds duration = 300ms)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        runFor(duration);
        std::string received;
        boost::system::error_code error;
        socket.non_blocking(true);
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
        socket.non_blocking(false);
        return received;
    }

    std::string order(tcp::socket &socket, const std::string &member, int token)
    {
        const std::string body = R"({"service":"books","id":")" + member + "\"}";
        return exchange(socket, "POST /promote HTTP/1.1\r\nHost: store\r\nX-Lease-Holder: d"
                                        + std::to_string(token) + "\r\nX-Fencing-Token: "
                                        + std::to_string(token) + "\r\nContent-Length: "
                                        + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
};

} // namespace

TEST_GROUP(standin_orders){};

// Guards against a platform that checks a late order's token, or refuses it, before it carries the
// order out; against one that answers it; and against an older late order that passes the fence.
TEST(standin_orders, lateOrdersAreFencedWhenTheyAreCarriedOut)
{
    order_fixture fixture;
    const std::uint16_t port = fixture.store.address().port;
    tcp::socket late = fixture.connectTo(port);
    fixture.store.faults.ordersLate = 100;
    STRCMP_EQUAL("", fixture.order(late, "books-m2-1", 5).c_str());
    CHECK_EQUAL(1U, fixture.store.lateOrders());
    fixture.store.faults.ordersLate = 0;
    // A lower token is accepted, because the late order has not been seen yet.
    tcp::socket prompt = fixture.connectTo(port);
    CHECK(fixture.order(prompt, "books-m3-1", 4).starts_with("HTTP/1.1 200"));
    fixture.runFor(effectLimit);
    CHECK_EQUAL(2U, fixture.group->primary());
    fixture.runFor(lateLimit + effectLimit);
    CHECK_EQUAL(0U, fixture.store.lateOrders());
    CHECK_EQUAL(1U, fixture.group->primary());
    // A late order below a token that was seen meanwhile changes nothing.
    fixture.store.faults.ordersLate = 100;
    tcp::socket older = fixture.connectTo(port);
    STRCMP_EQUAL("", fixture.order(older, "books-m1-1", 6).c_str());
    fixture.store.faults.ordersLate = 0;
    CHECK(fixture.order(prompt, "books-m2-1", 7).starts_with("HTTP/1.1 200"));
    fixture.runFor(lateLimit + effectLimit);
    CHECK_EQUAL(1U, fixture.group->primary());
    CHECK_EQUAL(2U, fixture.history.inputs["promotions in effect"]);
}

// Guards against faults beside an open order that start too late or harm the wrong member: the
// store names the ordered member when the order comes in, and says nothing of orders that it
// answers.
TEST(standin_orders, openOrderIsReportedBeforeItIsCarriedOut)
{
    order_fixture fixture;
    std::string reported;
    fixture.store.onOrderLate = [&](const std::string &service, const std::string &member) {
        reported += service + "/" + member;
    };
    tcp::socket prompt = fixture.connectTo(fixture.store.address().port);
    CHECK(fixture.order(prompt, "books-m2-1", 1).starts_with("HTTP/1.1 200"));
    STRCMP_EQUAL("", reported.c_str());
    fixture.store.faults.ordersLate = 100;
    tcp::socket late = fixture.connectTo(fixture.store.address().port);
    STRCMP_EQUAL("", fixture.order(late, "books-m3-1", 2).c_str());
    STRCMP_EQUAL("books/books-m3-1", reported.c_str());
    CHECK_EQUAL(1U, fixture.store.lateOrders());
    CHECK_EQUAL(2U, fixture.group->indexOf("books-m3-1"));
    CHECK_EQUAL(3U, fixture.group->indexOf("books-m4-1"));
}

// Guards against late commands that are answered, are never carried out, or reach a member that has
// restarted since.
TEST(standin_orders, lateCommandsAreCarriedOutUnlessTheMemberRestarts)
{
    const auto pausedTerm = [](order_fixture &fixture) {
        tcp::socket socket = fixture.connectTo(fixture.group->portOf(1));
        fixture.exchange(socket, "STARTUP books house\r\n");
        const std::string row = fixture.exchange(socket, "QUERY - STATUS\r\n");
        return row.starts_with("DATAROW replica 1 1.0 7 ") ? 7 : 0;
    };
    for (const bool restarts : { false, true }) {
        order_fixture fixture;
        tcp::socket socket = fixture.connectTo(fixture.group->portOf(1));
        fixture.exchange(socket, "STARTUP books house\r\n");
        fixture.group->delayCommands(1, 100);
        STRCMP_EQUAL("", fixture.exchange(socket, "QUERY - PAUSE 7\r\n").c_str());
        CHECK_EQUAL(1U, fixture.group->lateCommands());
        CHECK_EQUAL(0, pausedTerm(fixture));
        if (restarts) {
            fixture.group->crash(1);
            fixture.group->restart(1);
        }
        fixture.runFor(lateLimit);
        CHECK_EQUAL(0U, fixture.group->lateCommands());
        CHECK_EQUAL(restarts ? 0 : 7, pausedTerm(fixture));
    }
}

// Guards against a cut that reaches connections of other clients, or does not end.
TEST(standin_orders, onlyConnectionsOfCutClientsAreHeldBack)
{
    order_fixture fixture;
    loopback_proxy proxy(fixture.context,
                         { boost::asio::ip::address_v4::loopback(), fixture.group->portOf(0) });
    tcp::socket cut = fixture.connectTo(proxy.port());
    fixture.runFor(50ms);
    proxy.cutClients(
            [port = cut.local_endpoint().port()](std::uint16_t client) { return client == port; });
    tcp::socket open = fixture.connectTo(proxy.port());
    STRCMP_EQUAL("", fixture.exchange(cut, "STARTUP books house\r\n").c_str());
    CHECK(fixture.exchange(open, "STARTUP books house\r\n").starts_with("READY I "));
    proxy.cutClients({});
    CHECK(fixture.exchange(cut, "").starts_with("READY I "));
}

// Guards against a cut of the wrong daemons: connections are told apart by the process that holds
// them.
TEST(standin_orders, connectionsBelongToTheirProcess)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    tcp::socket socket(context);
    socket.connect(acceptor.local_endpoint());
    const std::uint16_t local = socket.local_endpoint().port();
    const std::uint16_t remote = acceptor.local_endpoint().port();
    CHECK(holdsConnection(::getpid(), local, remote));
    CHECK_FALSE(holdsConnection(::getppid(), local, remote));
    socket.close();
    CHECK_FALSE(holdsConnection(::getpid(), local, remote));
}
