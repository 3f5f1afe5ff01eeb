/// @file
/// @brief Tests of operator requests to one instance with an in-memory platform.

#include <fuchsiagw/daemon/admin_server.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/operator_service.hpp>
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

enum class message_loss : std::uint8_t { None, Answer, Request };

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

TEST_GROUP(operator_service)
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
    std::optional<operator_service> service;
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
                cluster_outputs{ [](peer_command &&) {},
                                 [](platform::platform_operation, platform_handler) {},
                                 [this](const core::configuration &config) {
                                     core::gateway_turn turn{ gateway, now, random, actions };
                                     core::applyConfiguration(turn, config);
                                 },
                                 [] {} });
        instances->start(now);
        service.emplace(gateway, *instances, values, log,
                        operator_service_outputs{
                                [this](admin_result &&result) {
                                    CHECK_TRUE(
                                            answers.emplace(result.ticket, result.answer).second);
                                },
                                toPlatform,
                                [this] {
                                    return core::gateway_turn{ gateway, now, random, actions };
                                } });
    }

    std::uint64_t sendRequest(wire::admin_route route, const std::string &body = {},
                              const std::string &argument = {})
    {
        admin_request request{ nextTicket++, route, argument, body };
        service->onRequest(request, now);
        return request.ticket;
    }

    void servePlatformCall(message_loss lostMessage = message_loss::None)
    {
        CHECK_FALSE(calls.empty());
        call next = std::move(calls.front());
        calls.pop_front();
        platform::platform_result result;
        if (lostMessage != message_loss::Request)
            result = perform(model, next.order, now);
        next.done(lostMessage == message_loss::None ? std::move(result)
                                                    : platform::platform_result{},
                  now);
    }

    /// Serves platform requests, including those that answers cause, until none is pending.
    void serveAllPlatformCalls()
    {
        while (!calls.empty())
            servePlatformCall();
    }

    bool isCommitNext() const
    {
        return !calls.empty()
               && std::holds_alternative<core::transact_request>(calls.front().order);
    }

    void advanceTime(core::duration time)
    {
        now += time;
        service->tick(now);
    }

    json bodyOf(std::uint64_t ticket) const
    {
        return json::parse(answers.at(ticket).body);
    }
};

// Guards against a submit that is answered before the instance applies the new version, and against
// an instance without a configuration that refuses the first note.
TEST(operator_service, appliesTheFirstNoteBeforeItAnswers)
{
    const auto ticket = sendRequest(wire::admin_route::SubmitNote, groupNote);
    while (answers.empty()) {
        CHECK_TRUE(instances->spread.hasUnresolvedSubmit);
        LONGS_EQUAL(0, gateway.config.version);
        servePlatformCall();
    }
    LONGS_EQUAL(200, answers.at(ticket).status);
    LONGS_EQUAL(1, bodyOf(ticket).at("version").get<int>());
    LONGS_EQUAL(1, gateway.config.version);
    CHECK_FALSE(instances->spread.hasUnresolvedSubmit);
    const auto status = sendRequest(wire::admin_route::NoteStatus, {}, "first");
    serveAllPlatformCalls();
    CHECK_TRUE(bodyOf(status).at("in_force_here").get<bool>());
}

// Guards against a lost update when two operators submit notes with the same base version.
TEST(operator_service, refusesANoteWithAnOutdatedBaseVersion)
{
    const auto winner = sendRequest(wire::admin_route::SubmitNote, groupNote);
    const auto loser = sendRequest(wire::admin_route::SubmitNote, switchNote);
    serveAllPlatformCalls();
    LONGS_EQUAL(200, answers.at(winner).status);
    LONGS_EQUAL(409, answers.at(loser).status);
    CHECK_EQUAL(std::string("note_conflict"), bodyOf(loser).at("error").get<std::string>());
    LONGS_EQUAL(1, bodyOf(loser).at("newest_version").get<int>());
    LONGS_EQUAL(1, gateway.config.version);
}

// Guards against a note that is applied twice or reported as failed because the answer to its
// commit was lost.
TEST(operator_service, repeatsACommitWithALostAnswerUnderItsId)
{
    const auto ticket = sendRequest(wire::admin_route::SubmitNote, groupNote);
    while (!isCommitNext())
        servePlatformCall();
    servePlatformCall(message_loss::Answer);
    CHECK_TRUE(answers.empty());
    for (int i = 0; i < 10 && answers.empty(); ++i) {
        advanceTime(500ms);
        serveAllPlatformCalls();
    }
    LONGS_EQUAL(200, answers.at(ticket).status);
    LONGS_EQUAL(1, bodyOf(ticket).at("version").get<int>());
    LONGS_EQUAL(1, testing::findRow(model, std::string(core::configurationRowKey))->version);
}

// Guards against a freshness proof that misses a version: a submit with an unknown outcome may have
// created one that no instance has applied, so reports must announce the submit until it is
// resolved.
TEST(operator_service, reportsTheSubmitAsUnresolvedUntilItsVersionIsApplied)
{
    const auto ticket = sendRequest(wire::admin_route::SubmitNote, groupNote);
    while (!isCommitNext())
        servePlatformCall();
    servePlatformCall(message_loss::Answer);
    while (answers.empty()) {
        advanceTime(500ms);
        while (!calls.empty())
            servePlatformCall(message_loss::Request);
    }
    CHECK_EQUAL(std::string("note_outcome_unknown"), bodyOf(ticket).at("error").get<std::string>());
    CHECK_TRUE(instances->spread.hasUnresolvedSubmit);
    LONGS_EQUAL(0, gateway.config.version);
    for (int i = 0; i < 20 && instances->spread.hasUnresolvedSubmit; ++i) {
        advanceTime(500ms);
        serveAllPlatformCalls();
    }
    CHECK_FALSE(instances->spread.hasUnresolvedSubmit);
    LONGS_EQUAL(1, gateway.config.version);
}

// Guards against a submit that never ends because its platform request was dropped, and against
// unbounded growth of the queue of later submits.
TEST(operator_service, answersEverySubmitIfThePlatformDoesNotRespond)
{
    std::vector<std::uint64_t> tickets;
    for (std::size_t i = 0; i < operator_service::maxQueuedSubmits + 2; ++i)
        tickets.push_back(sendRequest(wire::admin_route::SubmitNote, groupNote));
    LONGS_EQUAL(1, answers.size());
    CHECK_EQUAL(std::string("overloaded"), bodyOf(tickets.back()).at("error").get<std::string>());
    for (int i = 0; i < 30; ++i)
        advanceTime(500ms);
    LONGS_EQUAL(tickets.size(), answers.size());
    CHECK_EQUAL(std::string("platform_unavailable"),
                bodyOf(tickets.front()).at("error").get<std::string>());
    LONGS_EQUAL(0, gateway.config.version);
}

// Guards against a promotion by an instance that does not monitor the members of the group.
TEST(operator_service, refusesAPromotionOfAnUnmonitoredGroupAndNamesTheOwner)
{
    static_cast<void>(sendRequest(wire::admin_route::SubmitNote, groupNote));
    serveAllPlatformCalls();
    gateway.owners.clear();
    gateway.peers[{ "i2" }] = { 8, { "z" }, "127.0.0.1:21998", true, {} };
    const auto ticket = sendRequest(wire::admin_route::Promote, "{}", "g1");
    LONGS_EQUAL(400, answers.at(ticket).status);
    STRCMP_CONTAINS("'i2'", bodyOf(ticket).at("problem").get<std::string>().c_str());
    LONGS_EQUAL(404, answers.at(sendRequest(wire::admin_route::Promote, "{}", "g9")).status);
}

// Guards against a promotion that is never answered because no majority of members is reachable.
TEST(operator_service, reportsAnUnknownOutcomeIfNoMemberConfirmsThePromotion)
{
    static_cast<void>(sendRequest(wire::admin_route::SubmitNote, groupNote));
    serveAllPlatformCalls();
    core::gateway_turn turn{ gateway, now, random, actions };
    core::advance(turn);
    const auto ticket = sendRequest(wire::admin_route::Promote, "{}", "g1");
    LONGS_EQUAL(0, answers.count(ticket));
    CHECK_FALSE(actions.empty());
    advanceTime(core::manualPromotionTimeout + 500ms);
    CHECK_EQUAL(std::string("unknown"), bodyOf(ticket).at("outcome").get<std::string>());
}

// Guards against a planned stop that aborts the active submit or starts another one.
TEST(operator_service, drainFinishesTheActiveSubmitAndRefusesFurtherOnes)
{
    const auto accepted = sendRequest(wire::admin_route::SubmitNote, groupNote);
    gateway.isDraining = true;
    CHECK_FALSE(service->isIdle());
    const auto refused = sendRequest(wire::admin_route::SubmitNote, switchNote);
    CHECK_EQUAL(std::string("draining"), bodyOf(refused).at("error").get<std::string>());
    serveAllPlatformCalls();
    LONGS_EQUAL(200, answers.at(accepted).status);
    CHECK_TRUE(service->isIdle());
}

TEST_GROUP(admin_access){};

// Guards against access to the operators' interface without the correct secret.
TEST(admin_access, requiresTheOperatorSecret)
{
    const std::string hash = wire::hashKey("right");
    admin_request into;
    net::http_request request{ "GET", "/v1/admin/status", {}, {} };
    LONGS_EQUAL(403, checkAdminRequest(request, hash, into).value().status);
    request.headers = { { "Authorization", "Bearer wrong" } };
    LONGS_EQUAL(403, checkAdminRequest(request, hash, into).value().status);
    request.headers = { { "Authorization", "Bearer right" } };
    CHECK_FALSE(checkAdminRequest(request, hash, into).has_value());
    CHECK_TRUE(into.route == wire::admin_route::Status);
    request.method = "POST";
    LONGS_EQUAL(405, checkAdminRequest(request, hash, into).value().status);
}
