/// @file
/// @brief Tests of the session interface's settings.

#include <fuchsiagw/daemon/session_settings.hpp>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

using namespace fuchsiagw::daemon;

namespace {

constexpr const char *validSettings = R"(instance: "n1"
zone: "north"
address: "127.0.0.1"
caller_address: "127.0.0.1:7000"
ready_address: "127.0.0.1:7001"
peer_port: 7002
metrics_port: 7003
store_address: "127.0.0.1:7004"
promotion_address: "127.0.0.1:7005"
open_files: 4300
memory_mb: 160
grace_period_s: 6
drain_limit_ms: 7000
configuration_limit_ms: 3000
fenced_promotions: true
)";

std::vector<settings_problem> read(const std::string &text, session_settings &result)
{
    const auto file = std::filesystem::temp_directory_path()
                      / ("fuchsiagw-settings-" + std::to_string(::getpid()) + ".yaml");
    std::ofstream(file) << text;
    auto problems = readSessionSettings(file.string(), result);
    std::filesystem::remove(file);
    return problems;
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(session_settings){};

TEST(session_settings, validFileIsRead)
{
    session_settings values;
    CHECK_EQUAL(0U, read(validSettings, values).size());
    CHECK_TRUE(values.promotionsAreFenced);
    CHECK_EQUAL(0U, read(replaced("promotions: true", "promotions: false"), values).size());
    CHECK_FALSE(values.promotionsAreFenced);
}

// Guards against a daemon that takes unfenced promotions for fenced ones, and serves stale reads,
// because the setting is missing or misspelt.
TEST(session_settings, wrongOrMissingFlagIsReported)
{
    session_settings values;
    const auto wrong = read(replaced("promotions: true", "promotions: maybe"), values);
    CHECK_EQUAL(1U, wrong.size());
    CHECK_EQUAL(15, wrong[0].line);
    STRCMP_CONTAINS("fenced_promotions", wrong[0].reason.c_str());
    CHECK_EQUAL(1U, read(replaced("fenced_promotions: true\n", ""), values).size());
}

// Guards against a daemon that does not start, or takes a zero, where a deployment does not have an
// optional entry.
TEST(session_settings, optionalEntryWithoutValueHasItsDefault)
{
    session_settings values;
    const std::string empty = std::string(validSettings) + "evacuation_limit_ms: \ncpu_share:\n";
    CHECK_EQUAL(0U, read(empty, values).size());
    CHECK_EQUAL(5'000, values.evacuationLimit.count());
    CHECK_FALSE(values.memberLimits);
    const std::string given = std::string(validSettings)
                              + "evacuation_limit_ms: 3000\ncpu_share: 0.12\n"
                                "cold_overage: 2\npriority_admission: true\n";
    CHECK_EQUAL(0U, read(given, values).size());
    CHECK_EQUAL(3'000, values.evacuationLimit.count());
    DOUBLES_EQUAL(0.12, values.cpuShare, 1e-9);
    DOUBLES_EQUAL(2.0, values.coldOverage, 1e-9);
    CHECK_TRUE(values.priorityAdmission);
}

// Guards against a misspelt optional entry that silently switches a feature off.
TEST(session_settings, wrongOptionalEntryIsReported)
{
    session_settings values;
    for (const char *line : { "member_limits: on\n", "cpu_share: half\n", "cold_overage: 0.5\n",
                              "evacuation_limit_ms: 0\n" })
        CHECK_EQUAL(1U, read(std::string(validSettings) + line, values).size());
}

// Guards against a template that lacks a setting without which no daemon starts.
TEST(session_settings, templateHasEverySetting)
{
    std::ifstream file(FUCHSIAGW_SOURCE_DIR "/deploy/instance.yaml");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream lines(validSettings);
    for (std::string line; std::getline(lines, line);)
        STRCMP_CONTAINS(("\n" + line.substr(0, line.find(':') + 1)).c_str(), text.c_str());
}
