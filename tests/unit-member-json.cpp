/// @file
/// @brief Tests of the JSON form of the member protocol.

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/wire/member_json.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiagw;
using core::error_kind;

namespace {

core::execute_request sampleRequest()
{
    return { { 1, 2 },       { "cafe" },       7,      core::statement_kind::Commit,
             "set \"k\" $1", { "\n\xC3\xB1" }, "key-1" };
}

core::member_status sampleStatus()
{
    return { { "m1" }, { "g" }, core::member_role::Primary, 9, { 9, 4 }, { 8, 3 }, true };
}

core::execute_answer sampleAnswer()
{
    return { { 3, 4 },  core::execute_status::Failed,
             "problem", { { "a", "" }, {} },
             { 5, 6 },  { ~0ULL, 6 },
             8 };
}

/// Checks that @p text parses to a message with the same JSON form, and that no prefix of it
/// parses.
template <typename message>
void checkRoundTrip(const std::string &text)
{
    message parsed;
    CHECK_FALSE(wire::fromJson(text, parsed));
    STRCMP_EQUAL(text.c_str(), wire::toJson(parsed).c_str());
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_TRUE(wire::fromJson(text.substr(0, length), parsed) == error_kind::MalformedBody);
}

void checkRejected(error_kind expected, const std::string &text)
{
    wire::follow_request parsed{ 5, { "kept" } };
    CHECK_TRUE(wire::fromJson(text, parsed) == expected);
    CHECK_TRUE((parsed == wire::follow_request{ 5, { "kept" } }));
}

} // namespace

TEST_GROUP(member_json){};

// Guards against a field that only the writer or only the parser handles, and against a truncated
// body that is accepted.
TEST(member_json, everyMessageRoundTripsAndNoPrefixParses)
{
    checkRoundTrip<core::execute_request>(wire::toJson(sampleRequest()));
    checkRoundTrip<core::execute_answer>(wire::toJson(sampleAnswer()));
    checkRoundTrip<core::member_status>(wire::toJson(sampleStatus()));
    checkRoundTrip<core::accept_term_answer>(
            wire::toJson(core::accept_term_answer{ true, sampleStatus() }));
    checkRoundTrip<wire::term_request>(wire::toJson(wire::term_request{ 3 }));
    checkRoundTrip<wire::follow_request>(wire::toJson(wire::follow_request{ 3, { "m2" } }));

    core::execute_request request;
    CHECK_FALSE(wire::fromJson(wire::toJson(sampleRequest()), request));
    CHECK_TRUE((request.id == core::request_id{ 1, 2 }));
    CHECK_TRUE(request.kind == core::statement_kind::Commit);
    CHECK_TRUE(request.parameters == sampleRequest().parameters);
    core::member_status status;
    CHECK_FALSE(wire::fromJson(wire::toJson(sampleStatus()), status));
    CHECK_TRUE(status == sampleStatus());
}

// Guards against lenient parsing: a value of another type, an extra field or trailing text is
// rejected and leaves the result unchanged.
TEST(member_json, rejectsMalformedMessages)
{
    checkRejected(error_kind::MalformedBody, "{\"term\":1,\"primary\":\"a\"}x");
    checkRejected(error_kind::MalformedBody, "{\"term\":1,\"primary\":\"\xFF\"}");
    checkRejected(error_kind::WrongType, "[]");
    checkRejected(error_kind::MissingField, "{\"term\":1}");
    checkRejected(error_kind::UnknownField, R"({"term":1,"primary":"a","x":0})");
    for (const char *term : { "-1", "1.0", "\"1\"", "null", "true", "18446744073709551616" })
        checkRejected(error_kind::WrongType,
                      std::string("{\"primary\":\"a\",\"term\":") + term + "}");
    core::member_status status;
    std::string text = wire::toJson(sampleStatus());
    text.replace(text.find("primary"), 7, "PRIMARY");
    CHECK_TRUE(wire::fromJson(text, status) == error_kind::InvalidValue);
}

// Guards against a repeated field, of which two parsers of the same body can use different values.
TEST(member_json, rejectsRepeatedFields)
{
    checkRejected(error_kind::MalformedBody, R"({"term":1,"term":2,"primary":"a"})");
    core::member_status status;
    std::string text = wire::toJson(sampleStatus());
    text.insert(text.find("\"index\""), "\"index\":1,");
    CHECK_TRUE(wire::fromJson(text, status) == error_kind::MalformedBody);
}

// Guards against a crash of the parser on random changes of a valid body and on deep nesting.
TEST(member_json, survivesDamagedBytes)
{
    core::random_engine random(20);
    const std::string original = wire::toJson(sampleAnswer());
    for (int round = 0; round < 20000; ++round) {
        std::string text = original;
        for (std::uint64_t changes = 1 + core::drawBelow(random, 4); changes > 0; --changes)
            text[core::drawBelow(random, text.size())] = static_cast<char>(random());
        core::execute_answer parsed;
        const auto error = wire::fromJson(text, parsed);
        CHECK_TRUE(!error || error.category() == core::errorCategory());
        if (!error)
            CHECK_FALSE(wire::fromJson(wire::toJson(parsed), parsed));
    }
    core::execute_answer parsed;
    CHECK_TRUE(static_cast<bool>(wire::fromJson(std::string(200000, '['), parsed)));
}

// Guards against a wait for a position other than the requested one, because the query is
// malformed, repeats a parameter or has an unknown one.
TEST(member_json, waitTargetRoundTripsAndIsStrict)
{
    const wire::wait_request request{ { 18446744073709551615ULL, 0 },
                                      std::chrono::milliseconds(40) };
    wire::wait_request parsed;
    CHECK_FALSE(wire::fromTarget(wire::toTarget(request), parsed));
    CHECK_TRUE(parsed == request);
    CHECK_TRUE(wire::fromTarget("/status", parsed) == error_kind::UnknownRoute);
    CHECK_TRUE(wire::fromTarget("/wait?term=1&index=2", parsed) == error_kind::MissingField);
    for (const char *query :
         { "term=1&index=2&wait_ms=-3", "term=1&index=2&wait_ms=3x", "term=1&term=1",
           "term=&index=2&wait_ms=3", "term=1&index=2&wait_ms=999999999999" })
        CHECK_TRUE(wire::fromTarget(std::string("/wait?") + query, parsed)
                   == error_kind::InvalidValue);
    CHECK_TRUE(wire::fromTarget("/wait?turn=1", parsed) == error_kind::UnknownField);
    CHECK_TRUE(parsed == request);
}
