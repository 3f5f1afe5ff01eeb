/// @file
/// @brief Tests of the store codec, including malformed and random input.

#include <platform/store_codec.hpp>

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace fuchsiagw;
using namespace fuchsiagw::adapter;

namespace {

const char *const validMember = R"({"service":"books","address":"127.0.0.1:80","zone":"north",
    "version":"v1","slots":2,"state":"ready","cold-remaining-ms":0,"db-role":"replica",
    "sequence":4,"born":17})";

store_row rowWith(const std::string &value)
{
    store_row row;
    row.key = "i-1";
    row.value = value;
    return row;
}

} // namespace

TEST_GROUP(store_codec){};

// Guards against member fields that are lost or mixed up when a row is decoded.
TEST(store_codec, memberIsDecoded)
{
    const auto entry = decodeMember(rowWith(validMember));
    CHECK_TRUE(entry.has_value());
    STRCMP_EQUAL("i-1", entry->id.c_str());
    STRCMP_EQUAL("books", entry->service.c_str());
    LONGS_EQUAL(2, entry->slots);
    LONGS_EQUAL(17, entry->startedAtMs);
    CHECK_FALSE(entry->draining);
    CHECK_FALSE(entry->claimsPrimary);
}

// Guards against routing to a member whose row is malformed, as when other software wrote it. Each
// required field is removed, or given a wrong type, in turn.
TEST(store_codec, malformedMemberIsRejected)
{
    for (const char *field : { "service", "address", "zone", "slots", "state", "db-role" }) {
        auto missing = nlohmann::json::parse(validMember);
        missing.erase(field);
        CHECK_FALSE(decodeMember(rowWith(missing.dump())).has_value());
        auto wrongType = nlohmann::json::parse(validMember);
        wrongType[field] = nlohmann::json::array({ 1 });
        CHECK_FALSE(decodeMember(rowWith(wrongType.dump())).has_value());
    }
    auto state = nlohmann::json::parse(validMember);
    state["state"] = "asleep";
    CHECK_FALSE(decodeMember(rowWith(state.dump())).has_value());
    CHECK_FALSE(decodeMember(rowWith("")).has_value());
    CHECK_FALSE(decodeMember(rowWith("\xff\xfe{")).has_value());
    CHECK_FALSE(decodeMember(rowWith("[]")).has_value());
}

// Guards against manifest settings that are lost or converted to a wrong unit, and against one
// route of unknown type that makes the whole manifest unusable.
TEST(store_codec, manifestIsDecoded)
{
    const auto manifest = decodeManifest(R"({"version":7,"routes":[{"name":"r","database":"books",
        "type":"bounded_staleness","timeout-ms":1200,"target-latency-ms":300,"priority":2,
        "service":"s","max-staleness-ms":1500,"allow-anonymous":false},
        {"name":"odd","database":"x","type":"something"}],
        "services":[{"name":"s","max-connections":16,"sync-replicas":1}],
        "limits":{"tx-idle-ms":3000},
        "tenants":[{"name":"house","api-keys":["k1","k2"],"rate-per-s":134,"burst-size":20}]})");
    CHECK_TRUE(manifest.has_value());
    LONGS_EQUAL(7, manifest->version);
    CHECK_EQUAL(1U, manifest->routes.size());
    const auto &route = manifest->routes.at("books");
    CHECK(route.kind == proxy::consistency::BoundedStaleness);
    LONGS_EQUAL(1'500'000, route.maxStaleness.count());
    LONGS_EQUAL(16, manifest->services.at("s").maxConnections);
    CHECK_EQUAL(0U, manifest->workspaceByKey.at("k2"));
    DOUBLES_EQUAL(134, *manifest->workspaces[0].ratePerSecond, 1e-9);
    LONGS_EQUAL(3'000'000, manifest->transactionIdleLimit.count());
}

// Guards against a manifest that can't be ordered against others because it has no valid version.
TEST(store_codec, evacuatedZoneIsDecoded)
{
    store_row row;
    row.key = "evacuate/north-1";
    STRCMP_EQUAL("north-1", evacuatedZoneOf(row).value_or("").c_str());
    for (const char *key : { "config", "evacuate", "evacuate/", "evacuated/north" }) {
        row.key = key;
        CHECK_FALSE(evacuatedZoneOf(row).has_value());
    }
}

TEST(store_codec, manifestWithoutVersionIsRejected)
{
    CHECK_FALSE(decodeManifest("{}").has_value());
    CHECK_FALSE(decodeManifest(R"({"version":"7"})").has_value());
    CHECK_FALSE(decodeManifest("no json").has_value());
}

// Guards against a part of a manifest that withdraws every route or every key.
TEST(store_codec, partOfManifestIsRejected)
{
    CHECK_FALSE(decodeManifest(R"({"version":2})").has_value());
    CHECK_FALSE(decodeManifest(R"({"version":2,"services":[],"tenants":[]})").has_value());
    CHECK_FALSE(decodeManifest(R"({"version":2,"routes":{},"tenants":[]})").has_value());
    CHECK_FALSE(decodeManifest(R"({"version":2,"routes":[],"tenants":{}})").has_value());
    CHECK_TRUE(decodeManifest(R"({"version":2,"routes":[]})").has_value());
}

// Guards against rows that are skipped or read again without end, where the store ends a page of
// the table that contains the manifest.
TEST(store_codec, pagesOfTheManifestTableAreReadOn)
{
    const auto pageEndingWith = [](const std::string &key) {
        store_rows page;
        page.rows.push_back({});
        page.rows.back().key = key;
        page.hasMore = true;
        return page;
    };
    const auto next = [&](const std::string &last, const std::string &from) {
        return nextManifestPage(pageEndingWith(last), from).value_or("none");
    };
    STRCMP_EQUAL("config", next("a", "").c_str());
    STRCMP_EQUAL("evacuate/", next("config", "").c_str());
    STRCMP_EQUAL("evacuate/", next("config", "config").c_str());
    STRCMP_EQUAL("evacuate/north", next("evacuate/north", "evacuate/").c_str());
    STRCMP_EQUAL("none", next("evacuate/north", "evacuate/north").c_str());
    STRCMP_EQUAL("none", next("f", "").c_str());
    store_rows last = pageEndingWith("config");
    last.hasMore = false;
    CHECK_FALSE(nextManifestPage(last, "").has_value());
}

// Guards against values that base64 encoding and decoding alter, such as those with NUL or
// non-ASCII bytes.
TEST(store_codec, valuesRoundTripUnchanged)
{
    const std::string value("a\0b\xff{}", 6);
    const auto request = changeRows({ { "t", "k", 0, value } });
    const auto body = nlohmann::json::parse(request.body);
    nlohmann::json answer;
    answer["rows"] = body["puts"];
    answer["row-version"] = 9;
    const auto rows = decodeRows(answer.dump());
    CHECK_TRUE(rows.has_value());
    CHECK(rows->rows.at(0).value == value);
    LONGS_EQUAL(9, rows->version);
    LONGS_EQUAL(0, body["expected"][0]["row-version"].get<int>());
}

// Guards against a transaction that removes or rewrites a row whose version it should only compare.
TEST(store_codec, versionCheckDoesNotChangeRow)
{
    row_change checked;
    checked.table = "t";
    checked.key = "k";
    checked.expectedVersion = 4;
    checked.checkedOnly = true;
    const auto body = nlohmann::json::parse(changeRows({ checked }).body);
    LONGS_EQUAL(4, body["expected"][0]["row-version"].get<int>());
    CHECK_TRUE(body["puts"].empty());
    CHECK_TRUE(body["remove"].empty());
}

// Guards against a removal that is encoded as a write of an empty value.
TEST(store_codec, removalHasNoValue)
{
    const auto body = nlohmann::json::parse(changeRows({ { "t", "k", 4, std::nullopt } }).body);
    CHECK_EQUAL(1U, body["remove"].size());
    CHECK_TRUE(body["puts"].empty());
}

// Guards against a name that adds a field or a line to the message that opens a connection: the
// member would serve another service or tenant, or run a statement that nobody sent.
TEST(store_codec, namesThatNoMessageCanCarryAreUnusable)
{
    const char *const odd[] = { "a b", " a", "a ", "a\r\nQUERY 1 WRITE x y", "\r\n", "" };
    for (const char *name : odd) {
        auto member = nlohmann::json::parse(validMember);
        member["service"] = name;
        CHECK_FALSE_TEXT(decodeMember(rowWith(member.dump())).has_value(), name);
        const nlohmann::json value = { { "version", 1 },
                                       { "routes", nlohmann::json::array() },
                                       { "services",
                                         { { { "name", name } }, { { "name", "s" } } } },
                                       { "tenants",
                                         { { { "name", name }, { "api-keys", { "k1" } } },
                                           { { "name", "t" }, { "api-keys", { "k2" } } } } } };
        const auto manifest = decodeManifest(value.dump());
        CHECK_TRUE(manifest.has_value());
        LONGS_EQUAL_TEXT(1, manifest->services.size(), name);
        LONGS_EQUAL_TEXT(1, manifest->workspaces.size(), name);
        CHECK_FALSE(manifest->workspaceByKey.contains("k1"));
        STRCMP_EQUAL("t", manifest->workspaces.at(manifest->workspaceByKey.at("k2")).name.c_str());
    }
    store_row row = rowWith(validMember);
    row.key = "i-1\r\nQUERY 1 WRITE x y";
    CHECK_FALSE(decodeMember(row).has_value());
}

// Guards against names that are refused although a message can carry them: line feeds alone, and
// blanks in the last field, which the member's id is.
TEST(store_codec, oddNamesThatMessagesCarryAreUsed)
{
    auto member = nlohmann::json::parse(validMember);
    member["service"] = "a\nb\r\tc=\"\x01";
    store_row row = rowWith(member.dump());
    row.key = " i 1\n\r";
    const auto entry = decodeMember(row);
    CHECK_TRUE(entry.has_value());
    STRCMP_EQUAL("a\nb\r\tc=\"\x01", entry->service.c_str());
    STRCMP_EQUAL(" i 1\n\r", entry->id.c_str());
}

// Guards against a crash on a malformed response body of the store.
TEST(store_codec, randomBodiesDoNotCrash)
{
    std::mt19937 random(5);
    const std::string base = R"({"rows":[{"key":"a","value":"e30=","row-version":1}],"now-ms":1})";
    for (int i = 0; i < 20'000; ++i) {
        std::string body = base;
        for (int k = 0; k < 3; ++k)
            body[random() % body.size()] = static_cast<char>(random());
        static_cast<void>(decodeRows(body));
        static_cast<void>(decodeManifest(body));
        static_cast<void>(decodeMember(rowWith(body)));
    }
}

// Guards against numbers beyond their range: casting a double that an integer can't hold is
// undefined, and a narrowed number is another number.
TEST(store_codec, numbersOutOfRangeAreBounded)
{
    const auto manifest = decodeManifest(R"({"version":1,
        "routes":[{"database":"d","service":"s","type":"primary","timeout-ms":1e308,
                   "target-latency-ms":-5,"max-staleness-ms":1e18,"priority":99999999999}],
        "services":[{"name":"s","max-connections":4294967297}],
        "limits":{"tx-idle-ms":1e300}})");
    CHECK_TRUE(manifest.has_value());
    const proxy::route &route = manifest->routes.begin()->second;
    CHECK(route.statementTimeout == std::chrono::hours(24));
    CHECK(route.maxStaleness == std::chrono::hours(24));
    CHECK(route.latencyObjective == core::duration::zero());
    LONGS_EQUAL(0, route.priority);
    UNSIGNED_LONGS_EQUAL(1, manifest->services.at("s").maxConnections);
    CHECK(manifest->transactionIdleLimit == std::chrono::hours(24));
}

// Guards against a stack overflow by deep nesting, in every reader and at every place of the text.
TEST(store_codec, deepNestingIsRejected)
{
    for (const std::size_t depth : { 33U, 1'000U, 100'000U, 1'000'000U }) {
        const std::string deep = std::string(depth, '[') + std::string(depth, ']');
        CHECK_FALSE(decodeRows(deep).has_value());
        CHECK_FALSE(decodeRows(R"({"has-more":)" + deep + "}").has_value());
        CHECK_FALSE(decodeManifest(R"({"version":1,"routes":[{"allow-anonymous":)" + deep + "}]}")
                            .has_value());
        CHECK_FALSE(decodeMember(rowWith(R"({"state":)" + deep + "}")).has_value());
    }
    // Brackets inside of texts are no nesting.
    const std::string text(5'000, '[');
    CHECK_TRUE(decodeRows(R"({"rows":[],"note":")" + text + R"(\""})").has_value());
}

// Guards against a key of another writer that changes the request in which it is sent.
TEST(store_codec, keysAreEncodedInRequests)
{
    STRCMP_EQUAL("/-/rows-get?table-name=t&part=&from=a%20b%26c%0D%0A",
                 readRows("t", "a b&c\r\n").target.c_str());
}
