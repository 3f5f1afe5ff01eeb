/// @file
/// @brief Tests of operators' requests at one instance with a platform in memory.

#include <fuchsiagw/daemon/admin.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/operator_desk.hpp>
#include <fuchsiagw/testing/platform_model.hpp>
#include <fuchsiagw/wire/key_hash.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::daemon;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

enum class loss : std::uint8_t { None, Answer, Request };

const std::string groupNote = R"({"id":"first","base":0,"added":[
    {"section":"group","group":"g1","slots":2,"connections":4},
    {"section":"member","group":"g1","member":"m1","zone":"z","address":"127.0.0.1:21999"}]})";
const std::string switchNote =
        R"({"id":"second","base":0,"changed":[{"section":"switch","switch":"loans","on":false}]})";

platform::platform_result perform(testing::platform_model &model,
                                  const platform::platform_operation &order, core::time_point now)
{
    platform::platform_result result;
    result.isAnswered = true;
    if (const auto *read = std::get_if<platform::read_row>(&order)) {
        const core::table_row *row = testing::findRow(model, read->key);
        result.isFound = row != nullptr;
        result.row = row == nullptr ? core::table_row{} : *row;
    } else if (const auto *put = std::get_if<platform::put_object>(&order)) {
        result.isFound = testing::putObject(model, put->name, put->body);
    } else if (const auto *get = std::get_if<platform::get_object>(&order)) {
        result.isFound = model.objects.count(get->name) != 0;
        result.object = result.isFound ? model.objects.at(get->name) : std::string();
    } else if (const auto *commit = std::get_if<core::transact_request>(&order)) {
        result.transaction = testing::transact(model, *commit, now).value();
    }
    return result;
}

} // namespace

TEST_GROUP(operator_desk)
{
    struct call
    {
        platform::platform_operation order;
        platform_handler done;
    };

    core::time_point now{ 100s };
    settings values;
    log_sink log{ { .path = "/dev/null" } };
    core::random_engine random{ 1 };
    core::gateway gateway;
    core::gateway_actions actions;
    testing::platform_model model;
    std::deque<call> calls;
    std::map<std::uint64_t, wire::admin_answer> answers;
    std::optional<cluster> instances;
    std::optional<operator_desk> desk;
    std::uint64_t nextTicket = 1;

    void setup() override
    {
        values.instance = { "i1" };
        values.zone = { "z" };
        gateway = core::makeGateway({ 7, values.instance, values.zone }, {}, now);
        const auto toPlatform = [this](platform::platform_operation order, platform_handler done) {
            calls.push_back({ std::move(order), std::move(done) });
        };
        instances.emplace(
                gateway, values, log,
                cluster_outputs{ [](peer_order &&) {},
                                 [](platform::platform_operation, platform_handler) {},
                                 [this](const core::configuration &config) {
                                     core::gateway_turn turn{ gateway, now, random, actions };
                                     core::applyConfiguration(turn, config);
                                 },
                                 [] {} });
        instances->start(now);
        desk.emplace(gateway, *instances, values, log,
                     operator_desk_outputs{
                             [this](admin_result &&result) {
                                 CHECK_TRUE(answers.emplace(result.ticket, result.answer).second);
                             },
                             toPlatform,
                             [this] {
                                 return core::gateway_turn{ gateway, now, random, actions };
                             } });
    }

    std::uint64_t ask(wire::admin_route route, const std::string &body = {},
                      const std::string &argument = {})
    {
        admin_request request{ nextTicket++, route, argument, body };
        desk->onRequest(request, now);
        return request.ticket;
    }

    void serveNext(loss lost = loss::None)
    {
        CHECK_FALSE(calls.empty());
        call next = std::move(calls.front());
        calls.pop_front();
        platform::platform_result result;
        if (lost != loss::Request)
            result = perform(model, next.order, now);
        next.done(lost == loss::None ? std::move(result) : platform::platform_result{}, now);
    }

    /// Serves requests until the platform has nothing to do.
    void serveAll()
    {
        while (!calls.empty())
            serveNext();
    }

    bool isCommitNext() const
    {
        return !calls.empty()
               && std::holds_alternative<core::transact_request>(calls.front().order);
    }

    void pass(core::duration time)
    {
        now += time;
        desk->tick(now);
    }

    json bodyOf(std::uint64_t ticket) const
    {
        return json::parse(answers.at(ticket).body);
    }
};

// Guards against an answer before the version is in force here, and against a first note that an
// instance without configuration can't submit.
TEST(operator_desk, acceptsTheFirstNoteAndHasItInForceWithTheAnswer)
{
    const auto ticket = ask(wire::admin_route::SubmitNote, groupNote);
    while (answers.empty()) {
        CHECK_TRUE(instances->spread.hasUnresolvedSubmit);
        LONGS_EQUAL(0, gateway.config.version);
        serveNext();
    }
    LONGS_EQUAL(200, answers.at(ticket).status);
    LONGS_EQUAL(1, bodyOf(ticket).at("version").get<int>());
    LONGS_EQUAL(1, gateway.config.version);
    CHECK_FALSE(instances->spread.hasUnresolvedSubmit);
    const auto status = ask(wire::admin_route::NoteStatus, {}, "first");
    serveAll();
    CHECK_TRUE(bodyOf(status).at("in_force_here").get<bool>());
}

// Guards against a lost update: two operators change the same version.
TEST(operator_desk, refusesTheLoserOfARaceAndTellsWhatChanged)
{
    const auto winner = ask(wire::admin_route::SubmitNote, groupNote);
    const auto loser = ask(wire::admin_route::SubmitNote, switchNote);
    serveAll();
    LONGS_EQUAL(200, answers.at(winner).status);
    LONGS_EQUAL(409, answers.at(loser).status);
    CHECK_EQUAL(std::string("note_conflict"), bodyOf(loser).at("error").get<std::string>());
    LONGS_EQUAL(1, bodyOf(loser).at("newest_version").get<int>());
    LONGS_EQUAL(1, gateway.config.version);
}

// Guards against a note that is applied twice, or reported as failed, when the answer to its commit
// is lost.
TEST(operator_desk, asksAgainByIdWhenTheAnswerToTheCommitIsLost)
{
    const auto ticket = ask(wire::admin_route::SubmitNote, groupNote);
    while (!isCommitNext())
        serveNext();
    serveNext(loss::Answer);
    CHECK_TRUE(answers.empty());
    for (int i = 0; i < 10 && answers.empty(); ++i) {
        pass(500ms);
        serveAll();
    }
    LONGS_EQUAL(200, answers.at(ticket).status);
    LONGS_EQUAL(1, bodyOf(ticket).at("version").get<int>());
    LONGS_EQUAL(1, testing::findRow(model, std::string(core::configurationRowKey))->version);
}

// Guards against a proof by reports that misses a version which only an unsettled submit made.
TEST(operator_desk, staysUnsettledUntilTheVersionIsInForce)
{
    const auto ticket = ask(wire::admin_route::SubmitNote, groupNote);
    while (!isCommitNext())
        serveNext();
    serveNext(loss::Answer);
    while (answers.empty()) {
        pass(500ms);
        while (!calls.empty())
            serveNext(loss::Request);
    }
    CHECK_EQUAL(std::string("note_outcome_unknown"), bodyOf(ticket).at("error").get<std::string>());
    CHECK_TRUE(instances->spread.hasUnresolvedSubmit);
    LONGS_EQUAL(0, gateway.config.version);
    for (int i = 0; i < 20 && instances->spread.hasUnresolvedSubmit; ++i) {
        pass(500ms);
        serveAll();
    }
    CHECK_FALSE(instances->spread.hasUnresolvedSubmit);
    LONGS_EQUAL(1, gateway.config.version);
}

// Guards against a submit that never ends because its request to the platform was dropped, and
// against an unbounded queue behind it.
TEST(operator_desk, answersEverySubmitAlthoughThePlatformIsSilent)
{
    std::vector<std::uint64_t> tickets;
    for (std::size_t i = 0; i < operator_desk::maxQueuedSubmits + 2; ++i)
        tickets.push_back(ask(wire::admin_route::SubmitNote, groupNote));
    LONGS_EQUAL(1, answers.size());
    CHECK_EQUAL(std::string("overloaded"), bodyOf(tickets.back()).at("error").get<std::string>());
    for (int i = 0; i < 30; ++i)
        pass(500ms);
    LONGS_EQUAL(tickets.size(), answers.size());
    CHECK_EQUAL(std::string("platform_unavailable"),
                bodyOf(tickets.front()).at("error").get<std::string>());
    LONGS_EQUAL(0, gateway.config.version);
}

// Guards against a promotion by an instance that knows nothing of the group.
TEST(operator_desk, refusesAPromotionElsewhereAndNamesTheOwner)
{
    static_cast<void>(ask(wire::admin_route::SubmitNote, groupNote));
    serveAll();
    gateway.owners.clear();
    gateway.peers[{ "i2" }] = { 8, { "z" }, "127.0.0.1:21998", true, {} };
    const auto ticket = ask(wire::admin_route::Promote, "{}", "g1");
    LONGS_EQUAL(400, answers.at(ticket).status);
    STRCMP_CONTAINS("'i2'", bodyOf(ticket).at("problem").get<std::string>().c_str());
    LONGS_EQUAL(404, answers.at(ask(wire::admin_route::Promote, "{}", "g9")).status);
}

// Guards against a command that hangs when no majority of members is in reach.
TEST(operator_desk, aPromotionWithoutMembersEndsWithUnknownOutcome)
{
    static_cast<void>(ask(wire::admin_route::SubmitNote, groupNote));
    serveAll();
    core::gateway_turn turn{ gateway, now, random, actions };
    core::advance(turn);
    const auto ticket = ask(wire::admin_route::Promote, "{}", "g1");
    LONGS_EQUAL(0, answers.count(ticket));
    CHECK_FALSE(actions.empty());
    pass(core::manualPromotionTimeout + 500ms);
    CHECK_EQUAL(std::string("unknown"), bodyOf(ticket).at("outcome").get<std::string>());
}

// Guards against a stop that cuts a submit off, or begins another one.
TEST(operator_desk, drainsSubmitsAndTakesNoNewOnes)
{
    const auto accepted = ask(wire::admin_route::SubmitNote, groupNote);
    gateway.isDraining = true;
    CHECK_FALSE(desk->isIdle());
    const auto refused = ask(wire::admin_route::SubmitNote, switchNote);
    CHECK_EQUAL(std::string("draining"), bodyOf(refused).at("error").get<std::string>());
    serveAll();
    LONGS_EQUAL(200, answers.at(accepted).status);
    CHECK_TRUE(desk->isIdle());
}

TEST_GROUP(admin_access){};

// Guards against the operators' API without the right secret.
TEST(admin_access, needsTheOperatorsSecret)
{
    const std::string hash = wire::hashKey("right");
    admin_request into;
    net::http_request request{ "GET", "/v1/admin/status", {}, {} };
    LONGS_EQUAL(403, refuseAdmin(request, hash, into).value().status);
    request.headers = { { "Authorization", "Bearer wrong" } };
    LONGS_EQUAL(403, refuseAdmin(request, hash, into).value().status);
    request.headers = { { "Authorization", "Bearer right" } };
    CHECK_FALSE(refuseAdmin(request, hash, into).has_value());
    CHECK_TRUE(into.route == wire::admin_route::Status);
    request.method = "POST";
    LONGS_EQUAL(405, refuseAdmin(request, hash, into).value().status);
}
