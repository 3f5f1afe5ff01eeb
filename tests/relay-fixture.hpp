/// @file
/// @brief A relay with one member and one borrower, for tests over real sockets.

#pragma once

#include "proxy-fixture.hpp"
#include "run-until.hpp"

#include <fuchsiagw/daemon/relay_server.hpp>

#include <platform/wire_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagw::testing {

using boost::asio::ip::tcp;
using proxy::proxy_fixture;

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

/// Accepts the next connection.
inline void acceptPeer(tcp::acceptor &acceptor, line_peer &opened)
{
    acceptor.async_accept([&opened](const auto &error, tcp::socket socket) {
        if (error)
            return;
        opened.attach(net::line_connection::create(std::move(socket), 1'024));
        opened.connection->start(net::keepalive_profile::Short);
    });
}

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
    void acceptMember(line_peer &opened) { acceptPeer(acceptor, opened); }

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
    bool runUntil(const condition &isMet, std::chrono::milliseconds limit = std::chrono::seconds(3))
    {
        return fuchsiagw::testing::runUntil(context, isMet, limit);
    }

    /// Sends a statement of the borrower and waits until the member has it.
    void sendToMember(const std::string &line)
    {
        const std::size_t before = member.lines.size();
        borrower.connection->send(std::string(line));
        CHECK_TRUE(runUntil([&] { return member.lines.size() > before; }));
    }
};

} // namespace fuchsiagw::testing
