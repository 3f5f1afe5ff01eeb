/// @file
/// @brief Tests of statements whose relay accepts no connection any more.

#include "gateway-fixture.hpp"

#include <fuchsiagw/net/line_connection.hpp>
#include <fuchsiagw/wire/instance_row.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using fuchsiagw::testing::gateway_fixture;

namespace {

/// Runs every command; its position stays the same.
std::string replyOf(std::string_view line)
{
    if (line.starts_with("STARTUP"))
        return "READY I 1.1\r\n";
    if (line.find("STATUS") != std::string_view::npos)
        return "DATAROW primary 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1\r\n";
    if (line.find("WRITE") != std::string_view::npos)
        return "COMPLETE 7.1\r\nREADY I 1.2\r\n";
    return "COMPLETE -\r\nREADY I 1.1\r\n";
}

} // namespace

TEST_GROUP(relay_unreachable)
{
    gateway_fixture fixture;
    std::vector<std::shared_ptr<net::line_connection>> atMember;
    tcp::acceptor acceptor{ fixture.context, { boost::asio::ip::address_v4::loopback(), 0 } };

    void acceptNext()
    {
        acceptor.async_accept([this](const auto &error, tcp::socket socket) {
            if (error)
                return;
            const auto connection = net::line_connection::create(std::move(socket), 1'024);
            connection->setHandlers(
                    [raw = connection.get()](std::string_view line) { raw->send(replyOf(line)); },
                    [] {});
            connection->start(net::keepalive_profile::Short);
            atMember.push_back(connection);
            acceptNext();
        });
    }
};

// Guards against an unknown outcome of a write that was never sent: its relay, which has just
// stopped and is still listed, accepts no connection.
TEST(relay_unreachable, writeIsSentThroughAnotherRelay)
{
    acceptNext();
    fixture.store.put("servers", "m1",
                      R"({"service":"s","address":"127.0.0.1:)"
                              + std::to_string(acceptor.local_endpoint().port())
                              + R"(","zone":"south","slots":2,"state":"ready",
                              "db-role":"primary","born":17})");
    wire::instance_row row;
    row.address = "127.0.0.2"; // nothing listens there
    row.zone = "south";
    row.incarnation = 1;
    fixture.store.put("instances", "n2", wire::toJson(row));
    static_cast<void>(fixture.runUntil([] { return false; }, 1'000ms));
    const auto caller = net::line_connection::create(fixture.context, 1'024);
    std::vector<std::string> lines;
    caller->setHandlers([&](std::string_view line) { lines.emplace_back(line); }, [] {});
    caller->connect({ fixture.values.callerAddress.address, fixture.values.callerAddress.port },
                    net::keepalive_profile::Short);
    caller->send("STARTUP d k\r\n");
    CHECK_TRUE(fixture.runUntil([&] { return lines.size() == 1; }));
    caller->send("QUERY w1 WRITE a x\r\n");
    CHECK_TRUE(fixture.runUntil([&] { return lines.size() == 3; }));
    STRCMP_EQUAL("COMPLETE 7.1", lines.at(1).c_str());
}
