/// @file
/// @brief Tests of request bodies, answers and headers of callers.

#include <fuchsiagw/wire/caller_json.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using core::error_kind;

namespace {

const std::string minimalFields = R"({"group":"g","kind":"read","statement":"s")";

void checkRejected(const std::string &body, error_kind kind, const std::string &expectedText)
{
    wire::parsed_statement parsed;
    parsed.text = "untouched";
    std::string problem;
    const std::error_code error = wire::parseStatement(body, parsed, problem);
    STRCMP_EQUAL_TEXT(core::answerOf(kind).name.data(),
                      error ? core::answerOf(core::kindOf(error)).name.data() : "accepted",
                      body.substr(0, 100).c_str());
    STRCMP_CONTAINS(expectedText.c_str(), problem.c_str());
    STRCMP_EQUAL("untouched", parsed.text.c_str());
}

} // namespace

TEST_GROUP(caller_body){};

// Guards against a field that is dropped or swapped when a body is converted to a request.
TEST(caller_body, everyFieldIsConverted)
{
    wire::parsed_statement parsed;
    std::string problem;
    CHECK_FALSE(wire::parseStatement(
            R"({"group":"g","kind":"read","statement":"s","parameters":["1","2"],
                "read_class":"menu","idempotency_key":"k 1","deadline_ms":60000})",
            parsed, problem));
    const core::time_point now{ std::chrono::seconds(7) };
    const core::statement_request request = wire::toRequest(parsed, { 1, 2 }, { "w" }, now);
    STRCMP_EQUAL("g", request.group.value.c_str());
    STRCMP_EQUAL("w", request.workspace.value.c_str());
    STRCMP_EQUAL("s", request.text.c_str());
    STRCMP_EQUAL("menu", request.readClass.c_str());
    STRCMP_EQUAL("k 1", request.idempotencyKey.c_str());
    CHECK_TRUE((request.parameters == std::vector<std::string>{ "1", "2" }));
    CHECK_TRUE(request.deadline == now + std::chrono::seconds(60));
    CHECK_TRUE((request.id == core::request_id{ 1, 2 }));
}

// Guards against ambiguous or malformed bodies that are interpreted instead of rejected, and
// against an error text that does not name the field.
TEST(caller_body, errorNamesTheField)
{
    checkRejected("", error_kind::MalformedBody, "valid JSON");
    checkRejected("[]", error_kind::MalformedBody, "object");
    checkRejected("\"text\"", error_kind::MalformedBody, "object");
    checkRejected(minimalFields, error_kind::MalformedBody, "valid JSON");
    checkRejected(minimalFields + "} 1", error_kind::MalformedBody, "valid JSON");
    checkRejected(minimalFields + R"(,"group":"h"})", error_kind::MalformedBody,
                  "'group' is given twice");
    checkRejected(minimalFields + R"(,"x":)" + std::string(9, '[') + std::string(9, ']') + "}",
                  error_kind::MalformedBody, "nested");
    checkRejected(minimalFields + R"(,"x'y":1})", error_kind::UnknownField, "'x?y'");
    checkRejected(R"({"group":"g","kind":"read"})", error_kind::MissingField, "'statement'");
    checkRejected(minimalFields + R"(,"deadline_ms":"5"})", error_kind::WrongType, "'deadline_ms'");
    checkRejected(minimalFields + R"(,"deadline_ms":5.0})", error_kind::WrongType, "'deadline_ms'");
    checkRejected(minimalFields + R"(,"deadline_ms":null})", error_kind::WrongType,
                  "'deadline_ms'");
    checkRejected(minimalFields + R"(,"parameters":["a",1]})", error_kind::WrongType,
                  "'parameters'");
    checkRejected(minimalFields + R"(,"parameters":[["a"],"b"]})", error_kind::WrongType,
                  "'parameters'");
    checkRejected(minimalFields + R"(,"parameters":{"a":"b"}})", error_kind::WrongType,
                  "'parameters'");
    checkRejected(R"({"group":"g","kind":"begin","statement":"s"})", error_kind::InvalidValue,
                  "'kind'");
    checkRejected(R"({"group":"g","kind":"write","statement":"s","read_class":"c"})",
                  error_kind::InvalidValue, "'read_class'");
}

// Guards against bounds that are off by one and against numbers that overflow.
TEST(caller_body, boundsAreExact)
{
    const auto withDeadline = [](const std::string &number) {
        return minimalFields + R"(,"deadline_ms":)" + number + "}";
    };
    for (const char *number : { "0", "-1", "60001", "18446744073709551615" })
        checkRejected(withDeadline(number), error_kind::InvalidValue, "'deadline_ms'");
    const auto withKey = [](const std::string &key) {
        return minimalFields + R"(,"idempotency_key":")" + key + "\"}";
    };
    for (const std::string &key : { std::string(), std::string(129, 'k'), std::string("\\n") })
        checkRejected(withKey(key), error_kind::InvalidValue, "'idempotency_key'");
    const auto withStatement = [](std::size_t size) {
        return R"({"group":"g","kind":"read","statement":")" + std::string(size, 's') + "\"}";
    };
    checkRejected(withStatement(wire::maxStatementBytes + 1), error_kind::InvalidValue,
                  "'statement'");
    checkRejected(withStatement(wire::maxBodyBytes), error_kind::BodyTooLarge, "1048576");
    const auto withParameters = [](int count) {
        std::string list = "\"p\"";
        for (int i = 1; i < count; ++i)
            list += ",\"p\"";
        return minimalFields + R"(,"parameters":[)" + list + "]}";
    };
    checkRejected(withParameters(65), error_kind::InvalidValue, "'parameters'");
    wire::parsed_statement parsed;
    std::string problem;
    for (const std::string &body :
         { withDeadline("1"), withDeadline("60000"), withKey(std::string(128, 'k')),
           withStatement(wire::maxStatementBytes), withParameters(64) })
        CHECK_FALSE(wire::parseStatement(body, parsed, problem));
}

// Guards against a route that silently ignores a field of another route.
TEST(caller_body, transactionRoutesTakeOnlyTheirFields)
{
    wire::parsed_statement parsed;
    std::string problem;
    CHECK_FALSE(wire::parseBegin(R"({"group":"g"})", parsed, problem));
    CHECK_TRUE(parsed.kind == core::statement_kind::Begin);
    CHECK_FALSE(wire::parseCommit("", parsed, problem));
    CHECK_TRUE(parsed.kind == core::statement_kind::Commit);
    CHECK_FALSE(wire::parseRollback("{}", parsed, problem));
    CHECK_TRUE(parsed.kind == core::statement_kind::Rollback);
    CHECK_FALSE(wire::parseTransactionStatement(R"({"kind":"write","statement":"s"})", parsed,
                                                problem));
    CHECK_TRUE(wire::parseTransactionStatement(minimalFields + "}", parsed, problem)
               == error_kind::UnknownField);
    CHECK_TRUE(wire::parseRollback(R"({"idempotency_key":"k"})", parsed, problem)
               == error_kind::UnknownField);
    CHECK_TRUE(wire::parseBegin("", parsed, problem) == error_kind::MalformedBody);
}

// Guards against examples in the API documentation that the proxy rejects.
TEST(caller_body, documentedExamplesAreAccepted)
{
    std::ifstream file(FUCHSIAGW_SOURCE_DIR "/docs/api.md");
    std::stringstream page;
    page << file.rdbuf();
    const std::string text = page.str();
    int examples = 0;
    for (std::size_t at = text.find("curl "); at != std::string::npos;
         at = text.find("curl ", at + 1)) {
        const std::string route = text.substr(at, text.find("\" -H", at) - at);
        const std::size_t begin = text.find("-d '", at) + 4;
        const std::string body = text.substr(begin, text.find('\'', begin) - begin);
        const auto isRoute = [&route](const char *end) { return route.ends_with(end); };
        wire::parsed_statement parsed;
        std::string problem;
        const std::error_code error =
                isRoute("/v1/statements")     ? wire::parseStatement(body, parsed, problem)
                : isRoute("/v1/transactions") ? wire::parseBegin(body, parsed, problem)
                : isRoute("/commit")          ? wire::parseCommit(body, parsed, problem)
                                     : wire::parseTransactionStatement(body, parsed, problem);
        if (error) {
            // The documentation has one rejected request, with its answer.
            const std::string answer = wire::errorBody(core::kindOf(error), problem, {});
            CHECK_TRUE_TEXT(text.find(answer, begin) != std::string::npos, answer.c_str());
        }
        ++examples;
    }
    LONGS_EQUAL(6, examples);
}

TEST_GROUP(caller_answer){};

// Guards against an error body without the outcome and advice by which a caller decides whether to
// retry.
TEST(caller_answer, errorBodyHoldsOutcomeAndAdvice)
{
    const auto body = nlohmann::json::parse(
            wire::errorBody(error_kind::RateLimited, "", core::request_id{ 0, 255 }));
    STRCMP_EQUAL("rate_limited", body["error"].get<std::string>().c_str());
    LONGS_EQUAL(501, body["number"].get<int>());
    STRCMP_EQUAL("not_run", body["outcome"].get<std::string>().c_str());
    STRCMP_EQUAL("retry", body["retry"].get<std::string>().c_str());
    CHECK_FALSE(body["problem"].get<std::string>().empty());
    STRCMP_EQUAL("000000000000000000000000000000ff", body["request_id"].get<std::string>().c_str());
}

// Guards against an exception when a member returns rows that are not UTF-8.
TEST(caller_answer, nonUtf8RowsAreReplaced)
{
    core::statement_answer answer;
    answer.rows = { { "a", "\xff" } };
    answer.position = { 3, 9 };
    answer.transaction = core::transaction_id{ 1, 2 };
    const auto body = nlohmann::json::parse(wire::answerBody(answer));
    LONGS_EQUAL(9, body["position"]["index"].get<int>());
    STRCMP_EQUAL("a", body["rows"][0][0].get<std::string>().c_str());
    STRCMP_EQUAL("0000000000000001-0000000000000002",
                 body["transaction"].get<std::string>().c_str());
}

// Guards against a transaction id that changes between answer and request, and against a malformed
// id that is accepted as the id of another transaction.
TEST(caller_answer, transactionIdRoundTrips)
{
    const core::transaction_id id{ 0xabcdef0123456789ULL, 7 };
    CHECK_TRUE(wire::transactionFromText(wire::toText(id)) == id);
    for (const char *text :
         { "", "-", "000000000000000000000000000000001", "00000000000000aG-0000000000000001",
           "+000000000000001-0000000000000001" })
        CHECK_FALSE(wire::transactionFromText(text).has_value());
}

TEST_GROUP(caller_headers){};

// Guards against a malformed Authorization header of which a part is accepted as a key.
TEST(caller_headers, keyComesOnlyFromBearer)
{
    STRCMP_EQUAL("ab.c", wire::keyFromAuthorization(" bEaReR  ab.c ").value_or("").c_str());
    for (const std::string &value :
         { std::string(), std::string("Bearer"), std::string("Bearer "), std::string("Basic abc"),
           std::string("Bearer a b"), std::string("Bearerabc"), std::string("Bearer a,b"),
           "Bearer " + std::string(wire::maxKeyBytes + 1, 'k') })
        CHECK_FALSE(wire::keyFromAuthorization(value).has_value());
}

// Guards against a stale read: a malformed or ambiguous session token must not be treated as if no
// session was requested.
TEST(caller_headers, unusableSessionIsStillNamed)
{
    const auto check = [](std::optional<std::string_view> header, std::string_view cookies,
                          bool isNamed, const char *token) {
        const wire::requested_session session = wire::sessionFromHeaders(header, cookies);
        CHECK_EQUAL(isNamed, session.isPresent);
        STRCMP_EQUAL(token, session.token.c_str());
    };
    check(std::nullopt, "", false, "");
    check(std::nullopt, "a=b; fuchsiagw_sessions=x;", false, "");
    check("t1", "fuchsiagw_session=t2", true, "t1");
    check("", "fuchsiagw_session=t2", true, "");
    check("t 1", "", true, "");
    check(std::nullopt, "a=b;fuchsiagw_session=\"t2\" ; c", true, "t2");
    check(std::nullopt, "fuchsiagw_session=t2; fuchsiagw_session=t2", true, "t2");
    check(std::nullopt, "fuchsiagw_session=t2; fuchsiagw_session=t3", true, "");
    check(std::nullopt, "fuchsiagw_session=", true, "");
}
