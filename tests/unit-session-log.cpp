/// @file
/// @brief Tests that the page of session events lists what the program writes.

#include "doc-table.hpp"

#include <fuchsiagw/daemon/session_log.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace fuchsiagw;

TEST_GROUP(session_log){};

// Guards against an event that operators meet in a log and do not find on the page.
TEST(session_log, everyEventIsOnThePage)
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
