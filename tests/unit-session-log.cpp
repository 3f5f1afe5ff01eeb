/// @file
/// @brief Tests of the session log's lines and of the page that lists its events.

#include "doc-table.hpp"

#include <fuchsiagw/daemon/session_log.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>

using namespace fuchsiagw;

TEST_GROUP(session_log)
{
    std::string path = (std::filesystem::temp_directory_path()
                        / ("fuchsiagw-session-log-" + std::to_string(::getpid())))
                               .string();

    void teardown() override
    {
        std::filesystem::remove(path);
    }

    /// @return the lines that were written, without time and level
    [[nodiscard]] std::vector<std::string> linesOf(
            const std::function<void(daemon::session_log &)> &writeLines) const
    {
        {
            daemon::log_sink sink({ .path = path, .level = daemon::log_level::Info });
            daemon::session_log log(sink);
            writeLines(log);
        }
        std::vector<std::string> result;
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
            result.push_back(line.substr(std::min(line.find("event="), line.size())));
        return result;
    }

    static proxy::decision_note refusalOf(const std::string &request)
    {
        proxy::decision_note note;
        note.kind = proxy::note_kind::StatementRefused;
        note.request = request;
        return note;
    }
};

// Guards against an undocumented event: an event kind is added, renamed or renumbered in the code
// but not on the page that operators use to look up log lines.
TEST(session_log, everyEventIsDocumented)
{
    const auto rows = readDocRows("session-events.md");
    for (std::size_t i = 0; i < proxy::noteKindNames.size(); ++i) {
        const auto number = std::to_string(daemon::eventNumber(static_cast<proxy::note_kind>(i)));
        const auto found = std::find_if(rows.begin(), rows.end(), [&](const auto &row) {
            return row.size() == 3 && row[0] == number && row[1] == proxy::noteKindNames[i];
        });
        CHECK(found != rows.end());
    }
}

// Guards against a statement id or a name that adds a line or a field to the log.
TEST(session_log, valuesOfOthersAddNoLineAndNoField)
{
    proxy::decision_note note = refusalOf("a\r\nevent=919 name=promotion_done member=m9");
    note.workspace = "w reason=none";
    note.service = "s\"\\";
    note.member = std::string("m\0\xc3", 3);
    note.reason = "unknown_database";
    const auto lines = linesOf([&](daemon::session_log &log) {
        log.write(note, {});
        log.write(930, "row_unreadable", "k\nevent=930 name=store_lost");
    });
    LONGS_EQUAL(2, lines.size());
    STRCMP_EQUAL("event=902 name=statement_refused "
                 "request=\"a\\x0d\\x0aevent=919 name=promotion_done member=m9\" "
                 "workspace=\"w reason=none\" service=\"s\\\"\\\\\" member=\"m\\x00\\xc3\" "
                 "reason=unknown_database",
                 lines[0].c_str());
    STRCMP_EQUAL("event=930 name=row_unreadable detail=\"k\\x0aevent=930 name=store_lost\"",
                 lines[1].c_str());
}

// Guards against a quoted id of the usual form, which a search for `request=ID ` would not find.
TEST(session_log, plainValuesStandUnquoted)
{
    const auto lines =
            linesOf([](daemon::session_log &log) { log.write(refusalOf("5c0e7a21d94b36f8"), {}); });
    STRCMP_EQUAL("event=902 name=statement_refused request=5c0e7a21d94b36f8", lines.at(0).c_str());
}

// Guards against a log line as long as the longest message of a caller.
TEST(session_log, longIdsAreCut)
{
    const auto lines = linesOf([](daemon::session_log &log) {
        log.write(refusalOf(std::string(1'000'000, 'x')), {});
    });
    CHECK(lines.at(0).size() < 1'100);
}
