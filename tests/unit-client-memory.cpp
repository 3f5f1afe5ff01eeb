/// @file
/// @brief Tests that callers outside of our control can't run a real daemon out of memory.
///
/// Each test starts a daemon with a low memory limit before a small crowd. It checks that the
/// process lives, that its peak resident memory and its descriptors stay under the limits in its
/// settings, and that one ordinary request is answered afterwards.

#include <platform/standin/raw_line_deployment.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace fuchsiagw::testing;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t memoryMegabytes = 64;
constexpr std::uint32_t openFiles = 512;
/// The address sanitizer keeps freed memory and shadow memory in the process, far beyond the limit;
/// the other checks hold there as well.
#ifdef __SANITIZE_ADDRESS__
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif
constexpr milliseconds serveTimeout{ 15'000 };
constexpr std::size_t longMessage = 1'000'000; // bytes; legal
constexpr std::size_t crowd = 80;
/// Rounds without progress after which a caller stops to send.
constexpr int idleRounds = 40;
constexpr milliseconds roundPause{ 10 };

/// A connection that sends as much as the daemon takes, and reads nothing.
struct crowd_caller
{
    tcp::socket socket;
    std::string toSend;
    std::size_t sent = 0;
    bool closed = false;

    crowd_caller(boost::asio::io_context &context, const tcp::endpoint &to, std::string bytes)
        : socket(context)
        , toSend(std::move(bytes))
    {
        boost::system::error_code error;
        socket.connect(to, error);
        closed = static_cast<bool>(error);
        if (!closed)
            socket.non_blocking(true, error);
    }

    /// @return the number of bytes that were taken
    std::size_t send(std::size_t atMost)
    {
        if (closed || sent == toSend.size())
            return 0;
        boost::system::error_code error;
        const std::size_t taken = socket.write_some(
                boost::asio::buffer(toSend.data() + sent, std::min(atMost, toSend.size() - sent)),
                error);
        closed = error && error != boost::asio::error::would_block;
        sent += taken;
        return taken;
    }
};

class crowded_daemon
{
public:
    crowded_daemon()
        : deployment_(1, { groupOptions() }, 7, { memoryMegabytes, openFiles })
    {
        CHECK_TRUE(deployment_.waitUntilServing(0, serveTimeout));
    }

    [[nodiscard]] tcp::endpoint callerAddress() const
    {
        const raw_daemon_address to = deployment_.daemon(0);
        return at(to.port);
    }
    [[nodiscard]] tcp::endpoint at(std::uint16_t port) const
    {
        return { boost::asio::ip::make_address(deployment_.address(0)), port };
    }
    [[nodiscard]] const raw_line_deployment &deployment() const { return deployment_; }

    static std::string startup()
    {
        return std::string("STARTUP current-books ") + raw_line_deployment::key + "\r\n";
    }

    /// Lets a crowd send until the daemon takes no more of it.
    /// @param atOnce bytes of each write
    void sendFrom(std::size_t count, const tcp::endpoint &to,
                  const std::function<std::string(std::size_t)> &bytes,
                  std::size_t atOnce = std::string::npos)
    {
        for (std::size_t i = 0; i < count; ++i)
            callers_.push_back(std::make_unique<crowd_caller>(context_, to, bytes(i)));
        for (int idle = 0; idle < idleRounds;) {
            std::size_t taken = 0;
            for (const auto &each : callers_)
                taken += each->send(atOnce);
            idle = taken > 0 ? 0 : idle + 1;
            if (taken == 0)
                std::this_thread::sleep_for(roundPause);
        }
    }

    /// Checks the process while the crowd is connected, and after it has left.
    void check()
    {
        checkProcess();
        callers_.clear();
        CHECK_TRUE(deployment_.waitUntilServing(0, serveTimeout));
        checkProcess();
    }

private:
    static raw_group_options groupOptions()
    {
        raw_group_options options;
        options.service = "books";
        options.zones = { "north", "north", "north" };
        return options;
    }

    void checkProcess()
    {
        CHECK_EQUAL(0U, deployment_.endedDaemons());
        const std::string process = "/proc/" + std::to_string(deployment_.pid(0));
        std::ifstream status(process + "/status");
        std::size_t peakKilobytes = 0;
        for (std::string word; status >> word;) {
            if (word == "VmHWM:")
                status >> peakKilobytes;
        }
        const auto files = std::distance(std::filesystem::directory_iterator(process + "/fd"),
                                         std::filesystem::directory_iterator());
        const SimpleString text =
                StringFromFormat("peak %d MB, %d descriptors",
                                 static_cast<int>(peakKilobytes / 1024), static_cast<int>(files));
        UT_PRINT(text);
        CHECK(peakKilobytes > 0);
        if (measuresMemory)
            CHECK_TEXT(peakKilobytes <= memoryMegabytes * 1'024, text.asCharString());
        CHECK_TEXT(files <= openFiles, text.asCharString());
    }

    raw_line_deployment deployment_;
    boost::asio::io_context context_;
    std::vector<std::unique_ptr<crowd_caller>> callers_;
};

std::string write(std::size_t number, std::size_t bytes)
{
    return "QUERY w" + std::to_string(number) + " WRITE item" + std::to_string(number) + " "
           + std::string(bytes, 'x');
}

} // namespace

TEST_GROUP(client_memory)
{
    crowded_daemon daemon;
};

// Guards against memory for messages of legal size that never end, on sessions that are open.
TEST(client_memory, unfinishedMessagesOfLegalSize)
{
    daemon.sendFrom(crowd, daemon.callerAddress(), [](std::size_t i) {
        return crowded_daemon::startup() + write(i, longMessage);
    });
    daemon.check();
}

// Guards against the same before any key was seen.
TEST(client_memory, unfinishedFirstMessages)
{
    daemon.sendFrom(crowd, daemon.callerAddress(), [](std::size_t) {
        return "STARTUP current-books " + std::string(longMessage, 'x');
    });
    daemon.check();
}

// Guards against the same in small pieces, all at the same pace.
TEST(client_memory, unfinishedMessagesInPieces)
{
    constexpr std::size_t piece = 40'000;
    daemon.sendFrom(
            crowd, daemon.callerAddress(),
            [](std::size_t i) { return crowded_daemon::startup() + write(i, longMessage); }, piece);
    daemon.check();
}

// Guards against the copies of whole messages that are under way at the same time.
TEST(client_memory, wholeMessagesOfLegalSizeAtOnce)
{
    daemon.sendFrom(crowd, daemon.callerAddress(), [](std::size_t i) {
        return crowded_daemon::startup() + write(i, longMessage - 100'000) + "\r\n";
    });
    daemon.check();
}

// Guards against messages far over the limit.
TEST(client_memory, endlessMessages)
{
    constexpr std::size_t endless = 20'000'000;
    daemon.sendFrom(10, daemon.callerAddress(),
                    [](std::size_t i) { return crowded_daemon::startup() + write(i, endless); });
    daemon.check();
}

// Guards against answers that are queued for a caller that does not read them.
TEST(client_memory, statementsSentAheadWithoutReading)
{
    daemon.sendFrom(20, daemon.callerAddress(), [](std::size_t) {
        std::string text = crowded_daemon::startup();
        for (int i = 0; i < 60'000; ++i)
            text += "QUERY s SET a b\r\n";
        return text;
    });
    daemon.check();
}

// Guards against values that a session keeps: each message is of legal size, and there is no end of
// them.
TEST(client_memory, valuesOfSessions)
{
    daemon.sendFrom(4, daemon.callerAddress(), [](std::size_t) {
        std::string text = crowded_daemon::startup();
        for (int i = 0; i < 30; ++i)
            text += "QUERY s SET v" + std::to_string(i) + " " + std::string(900'000, 'x') + "\r\n";
        return text;
    });
    daemon.check();
}

// Guards against prepared statements that a session keeps.
TEST(client_memory, preparedStatementsOfSessions)
{
    daemon.sendFrom(4, daemon.callerAddress(), [](std::size_t) {
        std::string text = crowded_daemon::startup();
        for (int i = 0; i < 30; ++i)
            text += "QUERY s PREPARE p" + std::to_string(i) + " READ " + std::string(900'000, 'x')
                    + "\r\n";
        return text;
    });
    daemon.check();
}

// Guards against a crowd that stops half-way through short messages, and against its descriptors.
TEST(client_memory, crowdThatStopsHalfWay)
{
    daemon.sendFrom(400, daemon.callerAddress(), [](std::size_t i) {
        return i % 2 == 0 ? std::string("STARTUP cur")
                          : crowded_daemon::startup() + write(i, 20'000);
    });
    daemon.check();
}

// Guards against connections that say nothing and use up the descriptors.
TEST(client_memory, crowdOfSilentConnections)
{
    daemon.sendFrom(600, daemon.callerAddress(), [](std::size_t) { return std::string(); });
    daemon.check();
}

// Guards against long headers on the readiness and metrics listeners.
TEST(client_memory, longHeadersOnStatusListeners)
{
    const auto request = [](std::size_t) {
        std::string text = "GET /metrics HTTP/1.1\r\nHost: a\r\n";
        for (int i = 0; i < 98; ++i)
            text += "X-" + std::to_string(i) + ": " + std::string(16'000, 'x') + "\r\n";
        return text;
    };
    for (const std::uint16_t port :
         { daemon.deployment().readyPort(), daemon.deployment().metricsPort() })
        daemon.sendFrom(32, daemon.at(port), request);
    daemon.check();
}

// Guards against memory for borrowers of the relay that send and never end.
TEST(client_memory, unfinishedMessagesToTheRelay)
{
    daemon.sendFrom(crowd, daemon.at(daemon.deployment().peerPort()), [](std::size_t i) {
        return "STARTUP books w" + std::to_string(i) + " " + std::string(longMessage, 'x');
    });
    daemon.check();
}
