/// @file
/// @brief Tests of log lines, of the log sink and of the pages that list events and errors.

#include "doc-table.hpp"

#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>

#include <set>
#include <thread>
#include <type_traits>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using daemon::field;
using daemon::log_event;
using daemon::log_key;

// Guards against free text in log lines, which could disclose a key, a token or a parameter.
static_assert(!std::is_constructible_v<field, log_key, std::string>);
static_assert(!daemon::named_enum<std::string>);

TEST_GROUP(log_event_list){};

// Guards against an events page that differs from the events that the program writes.
TEST(log_event_list, eventsPageMatchesTheTable)
{
    const auto rows = readDocRows("events.md");
    LONGS_EQUAL(daemon::logEvents().size(), rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const daemon::log_event_row &row = daemon::logEvents()[i];
        const std::vector<std::string> expected{
            std::to_string(static_cast<int>(row.event)), std::string(row.name),
            std::string(toString(row.level)), std::string(row.fields), std::string(row.meaning)
        };
        CHECK_TRUE_TEXT(rows[i] == expected, row.name.data());
    }
}

// Guards against an errors page that differs from the errors that the program returns.
TEST(log_event_list, errorsPageMatchesTheTable)
{
    const auto rows = readDocRows("errors.md");
    LONGS_EQUAL(core::errorAnswerCount(), rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const core::error_answer &row = core::errorAnswers()[i];
        const std::vector<std::string> expected{ std::to_string(static_cast<int>(row.kind)),
                                                 std::string(row.name),
                                                 std::to_string(row.httpStatus),
                                                 std::string(toString(row.outcome)),
                                                 std::string(toString(row.advice)),
                                                 std::string(row.defaultProblem) };
        CHECK_TRUE_TEXT(rows[i] == expected, row.name.data());
    }
}

// Guards against events with the same number or name and against permitted fields without a
// log_key.
TEST(log_event_list, numbersAscendNamesAreUniqueAndFieldsHaveKeys)
{
    const std::set<std::string_view> keys(daemon::logKeyNames.begin(), daemon::logKeyNames.end());
    LONGS_EQUAL(daemon::logKeyNames.size(), keys.size());
    std::set<std::string_view> names;
    int last = 0;
    for (const daemon::log_event_row &row : daemon::logEvents()) {
        CHECK_TRUE(static_cast<int>(row.event) > last);
        last = static_cast<int>(row.event);
        CHECK_TRUE(names.insert(row.name).second);
        POINTERS_EQUAL(&row, &daemon::rowOf(row.event));
        for (std::size_t start = 0; start < row.fields.size();) {
            const std::size_t end = std::min(row.fields.find(' ', start), row.fields.size());
            CHECK_TRUE_TEXT(keys.contains(row.fields.substr(start, end - start)), row.name.data());
            start = end + 1;
        }
    }
}

TEST_GROUP(log_line){};

// Guards against a value that breaks a line into two lines or fields.
TEST(log_line, escapesValues)
{
    const std::string line = daemon::formatEvent(
            log_event::PeerLive, { field::id(log_key::Instance, core::instance_id{ "a b\"\n\xc3" }),
                                   field::incarnation(log_key::Incarnation, 255),
                                   field::id(log_key::Zone, core::zone_name{}),
                                   field::address(log_key::Address, "127.0.0.1:80") });
    STRCMP_EQUAL("event=801 name=peer_live instance=\"a b\\\"\\x0a\\xc3\" "
                 "incarnation=00000000000000ff zone=\"\" address=127.0.0.1:80",
                 line.c_str());
}

// Guards against a secret in a log line that was passed as an address or as a field that the event
// does not permit.
TEST(log_line, omitsUnlistedFieldsAndInvalidAddresses)
{
    const std::string line = daemon::formatEvent(
            log_event::LinkOpened, { field::id(log_key::Workspace, core::workspace_id{ "w" }),
                                     field::address(log_key::Address, "secret:1") });
    STRCMP_EQUAL("event=807 name=link_opened address=invalid unlisted=1", line.c_str());
}

// Guards against an error of the operating system or of a library that is logged under the name of
// a proxy error, because error numbers are unique only within their category.
TEST(log_line, writesCategoryAndNumberOfForeignErrors)
{
    const std::error_code foreign = std::make_error_code(std::errc::timed_out);
    STRCMP_EQUAL(("generic:" + std::to_string(foreign.value())).c_str(),
                 field::error(log_key::Error, foreign).value().c_str());
    STRCMP_EQUAL("no_primary",
                 field::error(log_key::Error, core::error_kind::NoPrimary).value().c_str());
}

TEST_GROUP(log_sink)
{
    std::string path = (std::filesystem::temp_directory_path()
                        / ("fuchsiagw-log-" + std::to_string(::getpid())))
                               .string();

    void teardown() override
    {
        std::filesystem::remove(path);
    }

    [[nodiscard]] std::vector<std::string> lines() const
    {
        std::vector<std::string> result;
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
            result.push_back(line);
        return result;
    }
};

// Guards against the loss of buffered lines at the end of the process.
TEST(log_sink, destructorWritesBufferedLines)
{
    {
        daemon::log_sink sink({ .path = path, .level = daemon::log_level::Info });
        for (int i = 0; i < 100; ++i)
            logEvent(sink, log_event::SettingsRefused, {});
        logEvent(sink, log_event::MemberProbed, {}); // below the configured level
    }
    const auto written = lines();
    LONGS_EQUAL(100, written.size());
    STRCMP_CONTAINS("Z level=error event=108 name=settings_refused", written.back().c_str());
}

// Guards against a full buffer that blocks the writing thread or drops lines without counting them.
TEST(log_sink, writesOrCountsEveryLine)
{
    constexpr std::uint64_t totalLines = 20'000;
    std::uint64_t lost = 0;
    {
        daemon::log_sink sink({ .path = path, .level = daemon::log_level::Info, .ringLines = 8 });
        std::vector<std::thread> writers;
        for (std::uint64_t writer = 0; writer < 4; ++writer) {
            writers.emplace_back([&sink] {
                for (std::uint64_t i = 0; i < totalLines / 4; ++i)
                    logEvent(sink, log_event::SettingsRefused, {});
            });
        }
        for (std::thread &writer : writers)
            writer.join();
        lost = sink.lost();
    }
    std::uint64_t written = 0;
    std::uint64_t reported = 0;
    for (const std::string &line : lines()) {
        const std::size_t start = line.find(" lost=");
        if (start == std::string::npos)
            ++written;
        else
            reported += std::stoull(line.substr(start + 6));
    }
    LONGS_EQUAL(totalLines, written + lost);
    LONGS_EQUAL(lost, reported);
}

// Guards against an instance that runs without a log because its file cannot be written.
TEST(log_sink, constructorThrowsIfThePathIsNotWritable)
{
    CHECK_THROWS(std::exception,
                 daemon::log_sink({ .path = path + "/log", .level = daemon::log_level::Info }));
}
