/// @file
/// @brief A session gateway before the stand-in of the store, for tests over real sockets.

#pragma once

#include "run-until.hpp"

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/session_gateway.hpp>
#include <fuchsiagw/daemon/session_log.hpp>

#include <platform/standin/table_store.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
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

namespace fuchsiagw::testing {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using namespace std::chrono_literals;

/// @return a port that was free a moment ago, for TCP and UDP
inline std::uint16_t findFreePort(boost::asio::io_context &context)
{
    tcp::acceptor probe(context, { boost::asio::ip::address_v4::loopback(), 0 });
    return probe.local_endpoint().port();
}

/// A log in a file of this process.
inline daemon::log_settings testLog()
{
    daemon::log_settings settings;
    settings.path = (std::filesystem::temp_directory_path()
                     / ("fuchsiagw-gateway-" + std::to_string(::getpid())))
                            .string();
    return settings;
}

/// A gateway before the stand-in of the store, on one thread.
struct gateway_fixture
{
    boost::asio::io_context context;
    table_store store{ context, 1 };
    daemon::log_settings logTarget = testLog();
    daemon::log_sink sink{ logTarget };
    daemon::session_log log{ sink };
    daemon::session_settings values;
    std::optional<daemon::session_gateway> gateway;

    /// @param prepare fills the store before the gateway reads it
    explicit gateway_fixture(const std::function<void(gateway_fixture &)> &prepare = {})
    {
        CHECK_FALSE(store.start());
        if (prepare)
            prepare(*this);
        values.instance = "n1";
        values.zone = "north";
        values.address = "127.0.0.1";
        values.storeAddress = store.address();
        values.promotionAddress = store.address();
        values.openFiles = 1'024;
        values.memoryMegabytes = 160;
        values.gracePeriod = std::chrono::seconds(6);
        store.put("op", "config",
                  R"({"version":1,"routes":[{"database":"d","service":"s","type":"primary",
                  "timeout-ms":500,"target-latency-ms":200}],"services":[{"name":"s"}],
                  "tenants":[{"name":"t","api-keys":["k"]}]})");
        CHECK_FALSE(startOnFreePorts());
        runUntil([this] { return gateway->isReady(); });
        CHECK_TRUE(gateway->isReady());
    }

    ~gateway_fixture() { std::filesystem::remove(logTarget.path); }

    /// Another test's connection may take a port between its choice and its use.
    std::error_code startOnFreePorts()
    {
        constexpr int maxAttempts = 5;
        std::error_code error;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            values.callerAddress = { boost::asio::ip::address_v4::loopback(),
                                     findFreePort(context) };
            values.peerPort = findFreePort(context);
            gateway.emplace(context, values, log);
            error = gateway->start();
            if (error != std::errc::address_in_use)
                break;
        }
        return error;
    }

    /// @return all log lines so far, once the writer thread has written them
    std::string logLines() const
    {
        std::this_thread::sleep_for(50ms);
        std::ifstream file(logTarget.path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    template <typename condition>
    bool runUntil(const condition &isMet, std::chrono::milliseconds limit = 3s)
    {
        return testing::runUntil(context, isMet, limit);
    }

    /// @return the value of a counter in the gateway's metrics; -1 if it is missing
    double metric(const std::string &name) const
    {
        const std::string text = gateway->metricsText();
        const std::string prefix = "\nfuchsiagw_" + name + " ";
        const std::size_t at = text.find(prefix);
        return at == std::string::npos ? -1 : std::stod(text.substr(at + prefix.size()));
    }

    void sendDatagram(const std::string &bytes)
    {
        udp::socket socket(context, udp::v4());
        socket.send_to(boost::asio::buffer(bytes),
                       { boost::asio::ip::address_v4::loopback(), values.peerPort });
    }

    /// @return the first line that a caller gets for these bytes; empty if there is none in time
    std::string answerTo(const std::string &bytes)
    {
        tcp::socket socket(context);
        socket.connect({ values.callerAddress.address, values.callerAddress.port });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string line;
        std::array<char, 256> buffer{};
        socket.async_read_some(boost::asio::buffer(buffer), [&](const auto &error, std::size_t n) {
            line = error ? "closed" : std::string(buffer.data(), n);
        });
        runUntil([&] { return !line.empty(); });
        const std::string answer = line;
        // The handler of a read without an answer must not outlive what it writes to.
        socket.close();
        context.run_for(2ms);
        return answer;
    }

    /// @param atOnce bytes of each write
    /// @param endsHere the caller sends nothing more and reads what comes
    /// @return all that a caller gets for these bytes, until it is closed ("closed" is appended) or
    /// the gateway is silent
    std::string transcriptOf(const std::string &bytes, std::size_t atOnce = std::string::npos,
                             bool endsHere = false)
    {
        tcp::socket socket(context);
        socket.connect({ values.callerAddress.address, values.callerAddress.port });
        std::string received;
        std::array<char, 4'096> buffer{};
        bool isClosed = false;
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(buffer),
                                   [&](const boost::system::error_code &error, std::size_t size) {
                                       received.append(buffer.data(), size);
                                       isClosed = static_cast<bool>(error);
                                       if (!isClosed)
                                           read();
                                   });
        };
        read();
        for (std::size_t at = 0; at < bytes.size() && !isClosed;) {
            const std::size_t size = std::min(atOnce, bytes.size() - at);
            boost::system::error_code ignored; // the gateway may have closed the connection
            boost::asio::write(socket, boost::asio::buffer(bytes.data() + at, size), ignored);
            at += size;
            context.run_for(1ms);
        }
        if (endsHere)
            socket.shutdown(tcp::socket::shutdown_send);
        for (std::size_t before = 1; before != received.size() && !isClosed;) {
            before = received.size();
            context.run_for(60ms);
        }
        received += isClosed ? "closed" : "";
        socket.close();
        context.run_for(5ms);
        return received;
    }

    /// @return whether a caller may begin a transaction, which takes a token of its workspace
    bool admitsOperation()
    {
        tcp::socket socket(context);
        socket.connect({ values.callerAddress.address, values.callerAddress.port });
        boost::asio::write(socket,
                           boost::asio::buffer(std::string("STARTUP d k\r\nQUERY 1 BEGIN\r\n")));
        std::string received;
        const auto isAnswered = [&] {
            std::string next(socket.available(), '\0');
            boost::asio::read(socket, boost::asio::buffer(next));
            received += next;
            return received.find("READY", received.find('\n')) != std::string::npos;
        };
        CHECK_TRUE(runUntil(isAnswered));
        return received.find("COMPLETE") != std::string::npos;
    }

    bool servesCallers() { return answerTo("STARTUP d k\r\n").starts_with("READY I"); }
};

} // namespace fuchsiagw::testing
