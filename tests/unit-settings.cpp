/// @file
/// @brief Tests of the settings file and of the supervisor of threads.

#include <utility>

#include <fuchsiagw/daemon/settings.hpp>
#include <fuchsiagw/daemon/supervisor.hpp>

#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <unistd.h>

using namespace fuchsiagw;

TEST_GROUP(settings)
{
    std::string file = "unit-settings." + std::to_string(getpid()) + ".yaml";
    const std::string validSettings = "instance: a1\nzone: alajuela\ncaller_address: 127.0.0.1:1\n"
                                      "admin_address: 127.0.0.1:2\npeer_address: 127.0.0.1:3\n"
                                      "platform_address: 127.0.0.1:4\ncluster_key: "
                                      + std::string(64, '1')
                                      + "\noperator_secret_hash: " + std::string(64, 'a') + "\n";

    std::vector<daemon::settings_problem> read(const std::string &text, daemon::settings &result)
    {
        std::ofstream(file) << text;
        auto problems = daemon::readSettings(file, result);
        std::remove(file.c_str());
        return problems;
    }
};

// Guards against an entry that is read into the wrong setting, and against a missing entry that
// does not get its default.
TEST(settings, readsEntriesAndDefaults)
{
    daemon::settings result;
    const auto problems = read(validSettings + "keys:\n  unproven_wait_ms: 1000\n", result);
    CHECK_TRUE(problems.empty());
    CHECK_EQUAL(std::string("alajuela"), result.zone.value);
    CHECK_EQUAL(1000, result.proofLifetime.count());
    CHECK_EQUAL(30000, result.drainLimit.count());
    CHECK_EQUAL(0x11, result.clusterKey[31]);
}

// Guards against a misspelt entry that is ignored; the error must name file, line and entry.
TEST(settings, reportsFileLineAndReason)
{
    daemon::settings result;
    const auto problems = read(validSettings + "drain:\n  limit: 5\n", result);
    CHECK_EQUAL(1, static_cast<int>(problems.size()));
    CHECK_EQUAL(file + ":10: unknown entry 'drain.limit'; see docs/settings.md",
                toString(problems[0]));
}

// Guards against a daemon that starts with a value which is out of range or malformed, and against
// a report of only the first of several problems.
TEST(settings, refusesInvalidValuesAndReportsEachProblem)
{
    daemon::settings result;
    for (const char *wrong :
         { "keys:\n  unproven_wait_ms: 999\n", "keys:\n  unproven_wait_ms: 61000\n", "keys: 5\n",
           "queue:\n  capacity: -1\n", "queue:\n  capacity: [1]\n", "log:\n  level: loud\n",
           "zone: again\n", "drain:\n  limit_ms: 1000000000000000000000\n", "x: [\n" })
        CHECK_FALSE(read(validSettings + wrong, result).empty());
    CHECK_EQUAL(8, static_cast<int>(read("{}", result).size()));
    CHECK_FALSE(read("- a\n", result).empty());
    CHECK_FALSE(read("instance: a b\n", result).empty());
    CHECK_FALSE(daemon::readSettings("no-such-file.yaml", result).empty());
}

// Guards against a settings page that differs from the entries that the daemon accepts.
TEST(settings, settingsPageMatchesTheTable)
{
    std::ifstream page(FUCHSIAGW_SOURCE_DIR "/docs/settings.md");
    const std::string text((std::istreambuf_iterator<char>(page)),
                           std::istreambuf_iterator<char>());
    std::size_t rows = 0;
    for (const auto &each : daemon::describeSettings()) {
        const std::string row =
                "| `" + std::string(each.path) + "` | " + std::string(each.unit) + " | "
                + (each.defaultText.empty() ? "required" : std::string(each.defaultText)) + " | "
                + std::string(each.bounds) + " | " + std::string(each.meaning) + " |\n";
        CHECK_TEXT(text.find(row) != std::string::npos, row.c_str());
        ++rows;
    }
    std::size_t listed = 0;
    for (auto at = text.find("\n| `"); at != std::string::npos; at = text.find("\n| `", at + 1))
        ++listed;
    CHECK_EQUAL(rows, listed);
}

TEST_GROUP(supervisor){};

// Guards against a thread that ends after one exception, and against a thread that is restarted
// without limit.
TEST(supervisor, restartsAThreadUntilItReachesTheFailureLimit)
{
    std::atomic<int> failures{ 0 };
    std::promise<std::string> failedThread;
    daemon::supervisor threads([&](const std::string &, const std::string &) { ++failures; },
                               [&](const std::string &name) { failedThread.set_value(name); });
    auto &context = threads.add("decide");
    std::promise<void> nextHandlerRan;
    boost::asio::post(context, [] { throw std::runtime_error("first"); });
    boost::asio::post(context, [&] { nextHandlerRan.set_value(); });
    threads.start();
    nextHandlerRan.get_future().wait();
    CHECK_EQUAL(1, failures.load());
    for (std::size_t i = 1; i < daemon::supervisor::maxFailures; ++i)
        boost::asio::post(context, [] { throw std::runtime_error("again"); });
    CHECK_EQUAL(std::string("decide"), failedThread.get_future().get());
    threads.stop();
    CHECK_EQUAL(static_cast<int>(daemon::supervisor::maxFailures), failures.load());
}
