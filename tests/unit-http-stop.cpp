/// @file
/// @brief Tests that a planned stop of a daemon process answers or refuses each request on its HTTP
/// interface.

#include <fuchsiagw/testing/process_harness.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>

using namespace fuchsiagw::testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string request = "GET /version HTTP/1.1\r\nHost: a\r\n\r\n";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// Reads until the daemon closes.
/// @return what it sent before its end; "reset" behind it if the end is a reset
std::string readToEnd(tcp::socket &caller)
{
    std::string received;
    boost::system::error_code end;
    boost::asio::read(caller, boost::asio::dynamic_buffer(received), end);
    return received + (end == boost::asio::error::eof ? "" : "reset");
}

} // namespace

TEST_GROUP(http_stop)
{
    boost::asio::io_context context;

    tcp::socket connect(const deployment &cluster)
    {
        tcp::socket caller(context);
        caller.connect({ boost::asio::ip::address_v4::loopback(), cluster.callerPort(0) });
        return caller;
    }

    static std::string answerTo(tcp::socket & caller)
    {
        boost::asio::write(caller, boost::asio::buffer(request));
        std::string answer;
        boost::asio::read_until(caller, boost::asio::dynamic_buffer(answer), "}");
        return answer;
    }
};

// Guards against an end of the process that closes an idle connection without a word on the request
// that is on its way to it.
TEST(http_stop, requestThatCrossesTheEndIsRefused)
{
    deployment_plan plan;
    plan.zones = { "alajuela", "heredia", "cartago", "san-jose" };
    plan.daemons = 1;
    plan.groups = 1;
    deployment cluster(plan);
    tcp::socket caller = connect(cluster);
    CHECK_TRUE(contains(answerTo(caller), "200 "));
    cluster.daemons[0].signal(SIGTERM);
    // The daemon's end of the connection arrives before the request is sent.
    caller.wait(tcp::socket::wait_read);
    boost::system::error_code ignored;
    boost::asio::write(caller, boost::asio::buffer(request), ignored);
    const std::string received = readToEnd(caller);
    caller.close();
    CHECK_TRUE_TEXT(contains(received, "HTTP/1.1 503 "), received.c_str());
    CHECK_TRUE(contains(received, "Connection: close"));
    CHECK_TRUE(contains(received, "Retry-After: "));
    CHECK_TRUE(contains(received, "\"draining\""));
    CHECK_FALSE(contains(received, "reset"));
    CHECK_EQUAL(0, cluster.daemons[0].wait(40s));
}
