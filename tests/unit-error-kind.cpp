/// @file
/// @brief Tests of the table from error kind to answer and of the identifiers.

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace fuchsiagw::core;

TEST_GROUP(error_kind){};

// Guards against two errors that callers can't tell apart.
TEST(error_kind, numbersAndNamesAreUnique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorAnswerCount(); ++i) {
        const error_answer &row = errorAnswers()[i];
        CHECK_TRUE(numbers.insert(static_cast<int>(row.kind)).second);
        CHECK_TRUE(names.insert(row.name).second);
        CHECK_FALSE(row.sentence.empty());
        POINTERS_EQUAL(&row, findAnswer(row.name));
    }
}

// Guards against advice that would repeat a request which may already have run.
TEST(error_kind, unknownOutcomeNeverAdvisesAPlainRetryOfAStatement)
{
    for (std::size_t i = 0; i < errorAnswerCount(); ++i) {
        const error_answer &row = errorAnswers()[i];
        const bool isNote = row.kind == error_kind::NoteOutcomeUnknown;
        if (row.outcome == request_outcome::Unknown && !isNote)
            CHECK_TRUE(row.advice == retry_advice::RetryWithKey);
    }
}

TEST(error_kind, roundTripsThroughErrorCode)
{
    const std::error_code code = error_kind::RateLimited;
    CHECK_TRUE(kindOf(code) == error_kind::RateLimited);
    CHECK_TRUE(kindOf(std::make_error_code(std::errc::timed_out)) == error_kind::Internal);
}

TEST_GROUP(request_id){};

TEST(request_id, textFormRoundTrips)
{
    const request_id id{ 0x0123456789abcdefULL, 0xfedcba9876543210ULL };
    request_id parsed;
    CHECK_TRUE(fromString(toString(id), parsed));
    CHECK_TRUE(parsed == id);
}

// Guards against a foreign id that is taken for a valid one after partial parsing.
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

// Guards against comparing indexes across terms, which would lose writes at a promotion.
TEST(log_position, termComesBeforeIndex)
{
    CHECK_TRUE((log_position{ 2, 90 } > log_position{ 1, 100 }));
    CHECK_TRUE((log_position{ 2, 90 } < log_position{ 2, 91 }));
}

TEST_GROUP(switches){};

TEST(switches, masterSwitchTurnsEveryActionOff)
{
    configuration config;
    CHECK_TRUE(isAutomatic(config, automatic_action::Promotion));
    config.switches[automatic_action::Promotion] = true;
    config.switches[automatic_action::All] = false;
    CHECK_FALSE(isAutomatic(config, automatic_action::Promotion));
}
