/// @file
/// @brief Tests of the error table, request ids, log positions and switches.

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace fuchsiagw::core;

TEST_GROUP(error_kind){};

// Guards against two errors with the same number or name, which callers could not distinguish.
TEST(error_kind, numbersAndNamesAreUnique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorAnswerCount(); ++i) {
        const error_answer &row = errorAnswers()[i];
        CHECK_TRUE(numbers.insert(static_cast<int>(row.kind)).second);
        CHECK_TRUE(names.insert(row.name).second);
        CHECK_FALSE(row.defaultProblem.empty());
        POINTERS_EQUAL(&row, findAnswer(row.name));
    }
}

// Guards against advising an unconditional retry of a statement that may already have run. A caller
// that follows the advice could run it twice.
TEST(error_kind, unknownOutcomeNeverAdvisesAPlainRetryOfAStatement)
{
    for (std::size_t i = 0; i < errorAnswerCount(); ++i) {
        const error_answer &row = errorAnswers()[i];
        const bool isNote = row.kind == error_kind::NoteOutcomeUnknown;
        if (row.outcome == request_outcome::Unknown && !isNote)
            CHECK_TRUE(row.advice == retry_advice::RetryWithKey);
    }
}

// Guards against losing the error kind in a std::error_code, and against reading a code of another
// category as a kind.
TEST(error_kind, roundTripsThroughErrorCode)
{
    const std::error_code code = error_kind::RateLimited;
    CHECK_TRUE(kindOf(code) == error_kind::RateLimited);
    CHECK_TRUE(kindOf(std::make_error_code(std::errc::timed_out)) == error_kind::Internal);
}

TEST_GROUP(request_id){};

// Guards against a request id that differs after it was written as text and parsed.
TEST(request_id, textFormRoundTrips)
{
    const request_id id{ 0x0123456789abcdefULL, 0xfedcba9876543210ULL };
    request_id parsed;
    CHECK_TRUE(fromString(toString(id), parsed));
    CHECK_TRUE(parsed == id);
}

// Guards against accepting a malformed id after parsing only a part of it.
TEST(request_id, refusesAnythingElse)
{
    request_id parsed{ 1, 2 };
    const std::string valid(32, 'a');
    for (const std::string &text :
         { std::string(), valid + "0", valid.substr(1), "g" + valid.substr(1) })
        CHECK_FALSE(fromString(text, parsed));
    CHECK_TRUE((parsed == request_id{ 1, 2 }));
}

TEST_GROUP(log_position){};

// Guards against comparing the indexes of different terms, which could lose writes at a promotion:
// a log of an earlier term may be longer.
TEST(log_position, termComesBeforeIndex)
{
    CHECK_TRUE((log_position{ 2, 90 } > log_position{ 1, 100 }));
    CHECK_TRUE((log_position{ 2, 90 } < log_position{ 2, 91 }));
}

TEST_GROUP(switches){};

// Guards against an automatic action that stays on although the switch for all actions is off.
TEST(switches, masterSwitchTurnsEveryActionOff)
{
    configuration config;
    CHECK_TRUE(isAutomatic(config, automatic_action::Promotion));
    config.switches[automatic_action::Promotion] = true;
    config.switches[automatic_action::All] = false;
    CHECK_FALSE(isAutomatic(config, automatic_action::Promotion));
}
