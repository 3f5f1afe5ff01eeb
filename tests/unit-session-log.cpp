/// @file
/// @brief Tests that docs/session-events.md lists all events of the session log.

#include "doc-table.hpp"

#include <fuchsiagw/daemon/session_log.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace fuchsiagw;

TEST_GROUP(session_log){};

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
