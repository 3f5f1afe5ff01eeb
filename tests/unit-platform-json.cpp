/// @file
/// @brief Tests of the JSON form and the request targets of the platform protocol.

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/wire/platform_json.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiagw;
using core::error_kind;

namespace {

template <typename message>
void checkRoundTrip(const message &value)
{
    const std::string text = wire::toJson(value);
    message parsed;
    CHECK_FALSE(wire::fromJson(text, parsed));
    CHECK_TRUE(parsed == value);
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_TRUE(wire::fromJson(text.substr(0, length), parsed) == error_kind::MalformedBody);
}

const core::transact_request sampleTransaction{
    "id-1", { { "a", 0 }, { "b", 3 } }, { { "a", "x\"y" } }, { "b" }
};

} // namespace

TEST_GROUP(platform_json){};

// Guards against a field that only the writer or only the parser handles, and against a truncated
// body that is accepted.
TEST(platform_json, everyMessageRoundTripsAndNoPrefixParses)
{
    checkRoundTrip(core::table_row{ "lease/12", 7, "{}" });
    checkRoundTrip(core::scan_answer{ { { "a", 1, "" }, { "b", 2, "v" } } });
    checkRoundTrip(sampleTransaction);
    checkRoundTrip(core::transact_answer{ false, { "a", "b" } });
    const core::instance_entry entry{ { "i1" },
                                      core::instance_kind::Upstream,
                                      { "z" },
                                      "127.0.0.1:1",
                                      core::instance_state::Leaving };
    checkRoundTrip(entry);
    checkRoundTrip(core::instance_list{ { entry, {} } });
}

// Guards against a transaction that is applied without one of its checks, because the parser skips
// a missing, misspelled or malformed list.
TEST(platform_json, rejectsMalformedMessages)
{
    core::transact_request parsed = sampleTransaction;
    const auto expect = [&parsed](error_kind expected, const char *text) {
        CHECK_TRUE(wire::fromJson(text, parsed) == expected);
        CHECK_TRUE(parsed == sampleTransaction);
    };
    expect(error_kind::MissingField, R"({"id":"i","puts":[],"deletes":[]})");
    expect(error_kind::UnknownField, R"({"id":"i","checks":[],"puts":[],"deletes":[],"check":[]})");
    expect(error_kind::WrongType, R"({"id":"i","checks":{},"puts":[],"deletes":[]})");
    expect(error_kind::MissingField, R"({"id":"i","checks":[{"key":"a"}],"puts":[],"deletes":[]})");
    expect(error_kind::MalformedBody, R"({"id":"i","id":"j","checks":[],"puts":[],"deletes":[]})");
}

// Guards against a crash of the parser on random changes of a valid body.
TEST(platform_json, survivesDamagedBytes)
{
    core::random_engine random(21);
    const std::string original = wire::toJson(sampleTransaction);
    for (int round = 0; round < 20000; ++round) {
        std::string text = original;
        for (std::uint64_t changes = 1 + core::drawBelow(random, 4); changes > 0; --changes)
            text[core::drawBelow(random, text.size())] = static_cast<char>(random());
        core::transact_request parsed;
        const auto error = wire::fromJson(text, parsed);
        CHECK_TRUE(!error || error.category() == core::errorCategory());
        std::string name;
        CHECK_TRUE(wire::nameFromTarget(text, "/table/", name) == error_kind::UnknownRoute);
    }
}

// Guards against a key that addresses another row or route after it is encoded in a request target
// and decoded again.
TEST(platform_json, namesRoundTripThroughTargets)
{
    std::string name;
    for (const std::string key : { "lease/12", "a?b=%2F&c#", "%", "../x" }) {
        CHECK_FALSE(wire::nameFromTarget(wire::tableTarget(key), "/table/", name));
        STRCMP_EQUAL(key.c_str(), name.c_str());
        CHECK_FALSE(wire::nameFromTarget(wire::scanTarget(key), "/scan?prefix=", name));
        STRCMP_EQUAL(key.c_str(), name.c_str());
    }
    CHECK_FALSE(wire::nameFromTarget("/scan?prefix=", "/scan?prefix=", name));
    for (const char *target : { "/table/", "/table/a%20b", "/table/a%", "/table/a%2", "/table/%0g",
                                "/table/a b", "/table/%C3%B1" })
        CHECK_TRUE(wire::nameFromTarget(target, "/table/", name) == error_kind::InvalidValue);
}
