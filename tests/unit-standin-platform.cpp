/// @file
/// @brief Tests of the platform model and of the platform stand-in.

#include <utility>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_client.hpp>
#include <fuchsiagw/testing/platform_model.hpp>
#include <fuchsiagw/testing/platform_standin.hpp>
#include <fuchsiagw/wire/platform_json.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point at(std::chrono::milliseconds time)
{
    return core::time_point(time);
}

core::instance_entry entryOf(const char *name)
{
    return {
        { name }, core::instance_kind::Entry, { "z" }, "127.0.0.1:1", core::instance_state::Live
    };
}

} // namespace

TEST_GROUP(platform_model)
{
    platform_model model;

    core::transact_answer apply(const core::transact_request &request,
                                core::time_point now = at(0ms))
    {
        const auto answer = transact(model, request, now);
        CHECK_TRUE(answer.has_value());
        return answer.value_or(core::transact_answer{});
    }

    std::uint64_t versionOf(const char *key) const
    {
        const core::table_row *row = findRow(model, key);
        return row == nullptr ? 0 : row->version;
    }
};

// Guards against a transaction that is applied in part.
TEST(platform_model, transactionIsAllOrNothing)
{
    CHECK_TRUE(apply({ "1", { { "a", 0 } }, { { "a", "x" }, { "b", "y" } }, {} }).committed);
    const auto refused =
            apply({ "2", { { "a", 1 }, { "b", 0 }, { "c", 1 } }, { { "a", "z" } }, { "b" } });
    CHECK_FALSE(refused.committed);
    CHECK_TRUE((refused.conflicts == std::vector<std::string>{ "b", "c" }));
    STRCMP_EQUAL("x", findRow(model, "a")->value.c_str());
    CHECK_EQUAL(1, versionOf("b"));
    CHECK_TRUE(apply({ "3", { { "a", 1 } }, { { "a", "z" } }, { "b" } }).committed);
    CHECK_EQUAL(2, versionOf("a"));
    CHECK_EQUAL(0, versionOf("b"));
}

// Guards against two concurrent writers whose compare-and-set both succeed.
TEST(platform_model, onlyOneOfTwoConcurrentWritersCommits)
{
    CHECK_TRUE(apply({ "1", { { "a", 0 } }, { { "a", "one" } }, {} }).committed);
    CHECK_FALSE(apply({ "2", { { "a", 0 } }, { { "a", "two" } }, {} }).committed);
    STRCMP_EQUAL("one", findRow(model, "a")->value.c_str());
}

// Guards against a retry that is applied twice, or that is refused because of the changes of its
// own first attempt.
TEST(platform_model, repeatedTransactionIdGetsTheFirstAnswer)
{
    const core::transact_request request{ "1", { { "a", 0 } }, { { "a", "x" } }, {} };
    CHECK_TRUE(apply(request).committed);
    CHECK_TRUE(apply(request, at(60min)).committed);
    CHECK_EQUAL(1, versionOf("a"));
    const core::transact_request conflicting{ "2", { { "a", 0 } }, { { "a", "y" } }, {} };
    CHECK_FALSE(apply(conflicting).committed);
    CHECK_TRUE(apply({ "3", {}, {}, { "a" } }).committed);
    CHECK_FALSE(apply(conflicting).committed);
}

// Guards against accepting invalid names, and requests whose effect depends on the order of their
// parts.
TEST(platform_model, refusesInvalidTransactions)
{
    const core::transact_request wrong[] = { { "", {}, { { "a", "" } }, {} },
                                             { "1", {}, { { "a b", "" } }, {} },
                                             { "1", {}, { { "a", "" }, { "a", "" } }, {} },
                                             { "1", {}, { { "a", "" } }, { "a" } },
                                             { "1", { { "", 0 } }, {}, {} } };
    for (const auto &request : wrong)
        CHECK_FALSE(transact(model, request, at(0ms)).has_value());
    CHECK_TRUE(apply({ "1", {}, { { "a", "" } }, {} }).committed);
}

// Guards against a scan that omits keys with the prefix or returns others.
TEST(platform_model, scanFindsOnlyKeysWithThePrefix)
{
    CHECK_TRUE(apply({ "1", {}, { { "a/2", "" }, { "a/1", "" }, { "a", "" }, { "b", "" } }, {} })
                       .committed);
    const auto found = scan(model, "a/");
    CHECK_EQUAL(2, found.rows.size());
    STRCMP_EQUAL("a/1", found.rows[0].key.c_str());
    CHECK_EQUAL(4, scan(model, "").rows.size());
}

// Guards against an instance list that shows an older state after a newer one because two changes
// have different lags.
TEST(platform_model, instanceListLagsButNeverShowsAnOlderState)
{
    setInstance(model, { "i" }, entryOf("i"), at(0ms), 100ms);
    CHECK_TRUE(listInstances(model, at(99ms)).instances.empty());
    auto leaving = entryOf("i");
    leaving.state = core::instance_state::Leaving;
    setInstance(model, { "i" }, leaving, at(10ms), 0ms);
    CHECK_TRUE(listInstances(model, at(50ms)).instances.empty());
    CHECK_TRUE(listInstances(model, at(100ms)).instances.front() == leaving);
    setInstance(model, { "i" }, std::nullopt, at(200ms), 0ms);
    CHECK_TRUE(listInstances(model, at(200ms)).instances.empty());
}

TEST_GROUP(platform_standin)
{
    boost::asio::io_context context;
    platform_standin platform{ context, 0, 0 };
    net::http_client client{ context };

    void setup() override
    {
        CHECK_FALSE(platform.start());
    }

    net::http_exchange call(const char *method, const std::string &target,
                            const std::string &body = "", std::chrono::milliseconds timeout = 5s)
    {
        net::http_exchange outcome;
        bool isFinished = false;
        client.call(platform.address(), { method, target, {}, body }, net::currentTime() + timeout,
                    [&](net::http_exchange &&result) {
                        outcome = std::move(result);
                        isFinished = true;
                    });
        while (!isFinished)
            context.run_one();
        return outcome;
    }

    void setFault(platform_fault kind, bool on, std::optional<std::uint64_t> value = {})
    {
        CHECK_FALSE(platform.setFault({ kind, on, value, std::nullopt }));
    }

    static std::string put(const char *id)
    {
        return wire::toJson(core::transact_request{ id, {}, { { "a", id } }, {} });
    }
};

// Guards against an outage fault that loses rows or leaves the platform reachable.
TEST(platform_standin, keepsItsRowsWhileItIsDown)
{
    CHECK_EQUAL(404, call("GET", "/table/a").response.status);
    CHECK_EQUAL(200, call("POST", "/transact", put("1")).response.status);
    setFault(platform_fault::Down, true);
    CHECK_TRUE(static_cast<bool>(call("GET", "/table/a").error));
    setFault(platform_fault::Down, false);
    core::table_row row;
    CHECK_FALSE(wire::fromJson(call("GET", "/table/a").response.body, row));
    CHECK_TRUE((row == core::table_row{ "a", 1, "1" }));
    CHECK_EQUAL(1, platform.counters().writes);
    CHECK_EQUAL(2, platform.counters().reads);
}

// Guards against a lost-answer fault that does not apply the write, or that affects reads as well.
TEST(platform_standin, losesTheAnswerOfAnAppliedWrite)
{
    setFault(platform_fault::LoseAnswer, true, 1);
    CHECK_EQUAL(404, call("GET", "/table/a").response.status);
    CHECK_TRUE(static_cast<bool>(call("POST", "/transact", put("1"), 50ms).error));
    CHECK_EQUAL(1, platform.model().rows.at("a").version);
    core::transact_answer answer;
    CHECK_FALSE(wire::fromJson(call("POST", "/transact", put("1")).response.body, answer));
    CHECK_TRUE(answer.committed);
    CHECK_EQUAL(1, platform.model().rows.at("a").version);
}

// Guards against an object whose content changes.
TEST(platform_standin, neverOverwritesAnObject)
{
    const std::string content("\0\xFF{", 3);
    CHECK_EQUAL(200, call("PUT", wire::objectTarget("o/1"), content).response.status);
    CHECK_EQUAL(200, call("PUT", wire::objectTarget("o/1"), content).response.status);
    CHECK_EQUAL(409, call("PUT", wire::objectTarget("o/1"), "other").response.status);
    CHECK_TRUE(call("GET", wire::objectTarget("o/1")).response.body == content);
    CHECK_EQUAL(404, call("GET", wire::objectTarget("o/2")).response.status);
}

// Guards against a fault Slow without effect.
TEST(platform_standin, slowDelaysEveryAnswer)
{
    setFault(platform_fault::Slow, true, 40);
    const auto start = net::currentTime();
    CHECK_EQUAL(404, call("GET", "/table/a").response.status);
    CHECK_TRUE(net::currentTime() - start >= 40ms);
}

// Guards against an instance list that misses registrations, state changes or removals, and against
// an entry that is registered under another instance's name.
TEST(platform_standin, showsRegisteredInstances)
{
    const auto body = wire::toJson(entryOf("i"));
    CHECK_EQUAL(200, call("PUT", wire::instanceTarget({ "i" }), body).response.status);
    CHECK_EQUAL(400, call("PUT", wire::instanceTarget({ "j" }), body).response.status);
    CHECK_FALSE(platform.setFault({ platform_fault::Leaving, true, {}, { { "i" } } }));
    core::instance_list list;
    CHECK_FALSE(wire::fromJson(call("GET", "/instances").response.body, list));
    CHECK_EQUAL(1, list.instances.size());
    CHECK_TRUE(list.instances[0].state == core::instance_state::Leaving);
    CHECK_EQUAL(200, call("DELETE", wire::instanceTarget({ "i" })).response.status);
    CHECK_FALSE(wire::fromJson(call("GET", "/instances").response.body, list));
    CHECK_TRUE(list.instances.empty());
}
