/// @file
/// @brief Tests of the session interface's settings.

#include <fuchsiagw/daemon/session_settings.hpp>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
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

/// What a platform puts in the place of a placeholder that it has no value for.
enum class unknown_placeholder { Removed, Kept };

using placeholder_values = std::map<std::string, std::string>;

/// Values of the placeholders that belong to mandatory entries.
const placeholder_values mandatoryValues = {
    { "node-name", "n1" },
    { "zone", "north" },
    { "ip-address", "127.0.0.1" },
    { "listen-addrs.frontend", "127.0.0.1:7000" },
    { "listen-addrs.ready", "127.0.0.1:7001" },
    { "internal-port-range.0", "7002" },
    { "platform.address", "127.0.0.1:7004" },
    { "cloud-api.address", "127.0.0.1:7005" },
    { "limits.max-open-files", "4300" },
    { "limits.memory-mb", "160" },
    { "bounds.grace-period-s", "6" },
    { "bounds.drain-timeout-ms", "7000" },
    { "bounds.config-apply-ms", "3000" },
    { "bounds.require-fencing", "true" },
};

/// @return the deployment's template with its placeholders filled in
std::string filledTemplate(const placeholder_values &values, unknown_placeholder unknown)
{
    std::ifstream file(FUCHSIAGW_SOURCE_DIR "/deploy/instance.yaml");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    std::string result;
    std::size_t end = 0;
    for (std::size_t start = text.find("{{"); start != std::string::npos;
         start = text.find("{{", end)) {
        result += text.substr(end, start - end);
        end = text.find("}}", start) + 2;
        const std::string mark = text.substr(start, end - start);
        const auto value = values.find(mark.substr(2, mark.size() - 4));
        if (value != values.end())
            result += value->second;
        else if (unknown == unknown_placeholder::Kept)
            result += mark;
    }
    return result + text.substr(end);
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

// Guards against daemons that end on their settings where a platform has no values for the optional
// entries: it puts nothing in the place of their placeholders, or leaves the placeholders as they
// are.
TEST(session_settings, templateIsReadWithoutOptionalValues)
{
    for (const auto unknown : { unknown_placeholder::Removed, unknown_placeholder::Kept }) {
        session_settings values;
        const auto problems = read(filledTemplate(mandatoryValues, unknown), values);
        STRCMP_EQUAL("", problems.empty() ? "" : problems[0].reason.c_str());
        STRCMP_EQUAL("n1", values.instance.c_str());
        CHECK_EQUAL(7'002U, values.peerPort);
        CHECK_EQUAL(5'000, values.evacuationLimit.count());
        CHECK_EQUAL(5U, values.coldTolerance);
        DOUBLES_EQUAL(1.5, values.coldOverage, 1e-9);
        DOUBLES_EQUAL(0.0, values.cpuShare, 1e-9);
        DOUBLES_EQUAL(0.0, values.bandwidthMbps, 1e-9);
        CHECK_TRUE(values.priorityAdmission);
    }
}

// Guards against a template whose placeholders for optional entries are not filled in, so that a
// daemon works with the defaults and not with what the platform asks for.
TEST(session_settings, templateIsReadWithOptionalValues)
{
    placeholder_values given = mandatoryValues;
    given.insert({ { "bounds.evacuation-ms", "3000" },
                   { "bounds.cold-tolerance", "7" },
                   { "bounds.cold-overage", "2.5" },
                   { "limits.cpu-share", "0.12" },
                   { "limits.bandwidth-mbps", "200" } });
    session_settings values;
    CHECK_EQUAL(0U, read(filledTemplate(given, unknown_placeholder::Kept), values).size());
    CHECK_EQUAL(3'000, values.evacuationLimit.count());
    CHECK_EQUAL(7U, values.coldTolerance);
    DOUBLES_EQUAL(2.5, values.coldOverage, 1e-9);
    DOUBLES_EQUAL(0.12, values.cpuShare, 1e-9);
    DOUBLES_EQUAL(200.0, values.bandwidthMbps, 1e-9);
}

// Guards against a daemon that starts with a placeholder as its name or zone, or without a
// mandatory value, because the platform does not know the placeholder.
TEST(session_settings, mandatoryPlaceholderWithoutValueIsReported)
{
    for (const auto &[name, value] : mandatoryValues) {
        placeholder_values given = mandatoryValues;
        given.erase(name);
        for (const auto unknown : { unknown_placeholder::Removed, unknown_placeholder::Kept }) {
            session_settings values;
            CHECK_EQUAL_TEXT(1U, read(filledTemplate(given, unknown), values).size(), name.c_str());
        }
    }
    session_settings values;
    CHECK_EQUAL(1U, read(replaced("\"north\"", "\"{{region}}-1\""), values).size());
}

// Guards against a mistake in an optional entry that passes for an entry without a value, because
// it contains a placeholder.
TEST(session_settings, optionalValueWithPlaceholderInsideIsReported)
{
    session_settings values;
    const std::string text = std::string(validSettings) + "evacuation_limit_ms: \"3{{digits}}\"\n";
    CHECK_EQUAL(1U, read(text, values).size());
}
