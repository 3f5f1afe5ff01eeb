/// @file
/// @brief Tests of fuchsiagwctl and of the admin API that it uses.

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/log_report.hpp>
#include <fuchsiagw/ctl/note_file.hpp>
#include <fuchsiagw/wire/admin_json.hpp>
#include <fuchsiagw/wire/automation_json.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>
#include <fuchsiagw/wire/key_hash.hpp>
#include <fuchsiagw/wire/note_json.hpp>
#include <fuchsiagw/wire/vouch.hpp>

#include <absl/flags/reflection.h>

#include <map>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using ctl::exit_code;
using std::chrono::milliseconds;

namespace {

const std::string secret = "operators";

/// A daemon that applies submitted notes immediately and is called without a network.
struct fake_daemon
{
    core::config_store store;
    core::spread_state spread = core::startSpread({ { "a" }, { "i1" } }, 7, {}, core::time_point{});
    core::freshness proofs;
    wire::vouch_challenges challenges;
    std::map<std::string, core::configuration_version> notes;
    int lostAnswers = 0; ///< submissions that are applied but not answered
    bool isDown = false;
    std::string sentBodies;
    milliseconds elapsed{ 0 };
    std::ostringstream out;
    std::ostringstream err;
    nlohmann::json storeRow; ///< null: the row was never written
    nlohmann::json storeRemoved; ///< the request that removed the row
    int storeStatus = 200;
    bool storeLosesAnswers = false;

    fake_daemon()
    {
        core::configuration config;
        config.version = 4;
        config.groups[{ "hire" }] = { { { { "m1" }, { { "a" }, "127.0.0.1:1" } } }, 2, 16 };
        config.workspaces[{ "cafe" }].rate = 5;
        config.workspaces[{ "cafe" }].burst = 9;
        config.workspaces[{ "cafe" }].keys[core::key_hash(64, 'a')] = core::key_state::Valid;
        installConfiguration(config);
    }

    void installConfiguration(const core::configuration &config)
    {
        (void)core::installVersion(store, { { "p" }, config.version, "" },
                                   wire::writeConfiguration(config), wire::configurationCodec());
        core::setHeldVersion(proofs, config.version);
    }

    wire::admin_answer submit(const std::string &body)
    {
        core::release_note note;
        core::submit_result result;
        std::string problem;
        CHECK_FALSE(wire::readNote(body, note, problem));
        const auto known = notes.find(note.id);
        core::configuration next;
        if (known != notes.end()) {
            result.version = known->second;
            result.wasAppliedBefore = true;
        } else {
            result.error = core::applyNote(*store.current, note, next, result.problem);
            result.version = next.version;
            if (!result.error) {
                notes[note.id] = next.version;
                installConfiguration(next);
            }
        }
        return wire::answerSubmit(store, note, result);
    }

    /// Renews the proof from the platform at every full second.
    [[nodiscard]] wire::status_report statusReport() const
    {
        wire::status_report report;
        report.version = proofs.heldVersion;
        report.proof = core::proof_source::Platform;
        report.proofAgeMs = elapsed.count() % 1000;
        report.isProven = true;
        return report;
    }

    ctl::admin_reply handle(const std::string &method, const std::string &target,
                            const std::string &body)
    {
        if (isDown)
            return {};
        sentBodies += body;
        const wire::admin_route_match match = wire::matchAdminRoute(method, target);
        CHECK_FALSE(match.error.has_value());
        wire::admin_answer answer;
        const auto note = notes.find(match.argument);
        const std::optional<core::configuration_version> noVersion;
        switch (match.route) {
        case wire::admin_route::Configuration:
            answer = wire::answerConfiguration(store);
            break;
        case wire::admin_route::SubmitNote:
            answer = submit(body);
            if (lostAnswers-- > 0)
                return { true, 0, {} };
            break;
        case wire::admin_route::CheckNote:
            answer = wire::answerCheck(store, body);
            break;
        case wire::admin_route::NoteStatus:
            answer = wire::answerNoteStatus(match.argument,
                                            note == notes.end() ? noVersion : note->second, store,
                                            elapsed > milliseconds(900) ? 99 : 0);
            break;
        case wire::admin_route::Challenge:
            answer = wire::answerChallenge(challenges, spread, proofs.heldVersion,
                                           core::time_point{});
            break;
        case wire::admin_route::Vouch:
            answer = wire::answerVouch(challenges, spread, proofs, body, wire::hashKey(secret),
                                       core::time_point{});
            break;
        case wire::admin_route::Status:
            answer = wire::answerStatus(statusReport());
            break;
        default:
            answer = wire::answerError(core::error_kind::NotReady);
        }
        return { true, answer.status, answer.body };
    }

    /// Emulates the platform's store with a single row.
    net::http_exchange handleStore(const net::http_request &request)
    {
        net::http_exchange result;
        result.wasSent = true;
        result.response.status = storeStatus;
        if (storeStatus != 200)
            return result;
        auto body = nlohmann::json{ { "row-version", 9 }, { "now-ms", 1 } };
        if (request.method == "POST") {
            const auto change = nlohmann::json::parse(request.body);
            if (change.contains("remove") && !change.at("remove").empty()) {
                storeRemoved = change;
                storeRow = nullptr;
            } else {
                storeRow = change.at("puts").at(0);
                storeRow["row-version"] = 9;
            }
        }
        body["rows"] =
                storeRow.is_null() ? nlohmann::json::array() : nlohmann::json::array({ storeRow });
        result.response.body = body.dump();
        if (request.method == "POST" && storeLosesAnswers)
            result.error = std::make_error_code(std::errc::timed_out);
        return result;
    }

    exit_code run(const std::vector<std::string> &arguments)
    {
        const absl::FlagSaver saver;
        out.str({});
        err.str({});
        const ctl::command_context context{
            [this](const std::string & /*address*/, const std::string &method,
                   const std::string &target,
                   const std::string &body) { return handle(method, target, body); },
            [] { return wire::hashKey(secret); },
            out,
            err,
            [this](milliseconds pause) { elapsed += pause; },
            [this] { return elapsed; },
            [this](const std::string & /*address*/, const net::http_request &request) {
                return handleStore(request);
            }
        };
        return ctl::runCommandLine(arguments, context);
    }
};

void checkCode(exit_code expected, exit_code code, const fake_daemon &daemon)
{
    CHECK_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(code),
                     (daemon.out.str() + daemon.err.str()).c_str());
}

} // namespace

TEST_GROUP(ctl)
{
    fake_daemon daemon;
};

// Guards against sending a request for an invalid command line, and against an exit code that
// scripts would interpret as a rejection by the daemon.
TEST(ctl, wrongCommandLinesExitWithUsage)
{
    const std::vector<std::vector<std::string>> lines{ {},
                                                       { "note" },
                                                       { "note", "submit" },
                                                       { "key", "issue", "a", "b" },
                                                       { "status", "--verbose" },
                                                       { "status", "--timeout_ms=soon" },
                                                       { "status", "--address" },
                                                       { "workspace", "rate", "cafe" },
                                                       { "switch", "off", "everything" },
                                                       { "vouch" },
                                                       { "key", "withdraw", "cafe", "fgw_secret" },
                                                       { "note", "check", "/nonexistent" } };
    for (const auto &line : lines) {
        checkCode(exit_code::Usage, daemon.run(line), daemon);
        CHECK_FALSE(daemon.err.str().empty());
    }
    STRCMP_EQUAL("", daemon.sentBodies.c_str());
}

// Guards against a command without help text or with an example that does not parse.
TEST(ctl, everyCommandHasHelp)
{
    for (const ctl::command &each : ctl::allCommands()) {
        const std::size_t space = each.words.find(' ');
        std::vector<std::string> line{ each.words.substr(0, space) };
        if (space != std::string::npos)
            line.push_back(each.words.substr(space + 1));
        line.emplace_back("--help");
        checkCode(exit_code::Done, daemon.run(line), daemon);
        CHECK_TRUE(daemon.out.str().find("example") != std::string::npos);
        CHECK_TRUE(each.example.starts_with(each.words));
    }
}

// Guards against a key that is not printed, is printed twice, or is sent to a daemon.
TEST(ctl, keyIsShownOnceAndNeverSent)
{
    checkCode(exit_code::Done, daemon.run({ "key", "issue", "cafe" }), daemon);
    const std::string text = daemon.out.str();
    const std::size_t at = text.find(wire::keyPrefix);
    const std::string key = text.substr(at, text.find('\n', at) - at);
    CHECK_TRUE(text.find(key, at + 1) == std::string::npos);
    CHECK_TRUE(daemon.sentBodies.find(key) == std::string::npos);
    const std::string hash = wire::hashKey(key);
    CHECK_TRUE(daemon.store.current->workspaces.at({ "cafe" }).keys.contains(hash));
    checkCode(exit_code::Done, daemon.run({ "key", "withdraw", "cafe", hash.substr(0, 12) }),
              daemon);
    CHECK_TRUE(daemon.store.current->workspaces.at({ "cafe" }).keys.at(hash)
               == core::key_state::Withdrawn);
}

// Guards against a note that is applied twice, or reported as failed, after a lost answer.
TEST(ctl, submissionIsRetriedAfterALostAnswer)
{
    daemon.lostAnswers = 2;
    checkCode(exit_code::Done, daemon.run({ "workspace", "rate", "cafe", "--rate", "7" }), daemon);
    LONGS_EQUAL(5, daemon.store.current->version);
    daemon.lostAnswers = 1000;
    checkCode(exit_code::Unknown, daemon.run({ "switch", "off", "all" }), daemon);
    CHECK_TRUE(daemon.err.str().find("note status") != std::string::npos);
    LONGS_EQUAL(6, daemon.store.current->version);
    daemon.isDown = true;
    checkCode(exit_code::Unreachable, daemon.run({ "status" }), daemon);
}

// Guards against --wait returning before the change is in force everywhere.
TEST(ctl, waitsUntilInForceEverywhere)
{
    checkCode(exit_code::Done, daemon.run({ "switch", "off", "loans", "--wait" }), daemon);
    CHECK_TRUE(daemon.elapsed > milliseconds(900));
    CHECK_TRUE(daemon.out.str().find("in force everywhere") != std::string::npos);
    checkCode(exit_code::Refused, daemon.run({ "note", "status", "unknown-note" }), daemon);
    checkCode(exit_code::Refused, daemon.run({ "workspace", "rate", "nobody", "--rate=1" }),
              daemon);
}

// Guards against accepting a signed statement that was made for another instance or version, and
// against replaying one.
TEST(ctl, vouchNeedsAFreshChallengeAndTheSecret)
{
    checkCode(exit_code::Done, daemon.run({ "vouch", "--version", "4" }), daemon);
    CHECK_TRUE(daemon.proofs.usable.source == core::proof_source::Operator);
    checkCode(exit_code::Refused, daemon.run({ "instance", "list" }), daemon);
    const auto challenge =
            nlohmann::json::parse(daemon.handle("POST", "/v1/admin/vouch/challenge", "{}").body);
    const std::string text = challenge.at("challenge");
    const std::string mac = wire::computeVouchMac(wire::hashKey(secret), { "i2" }, text, 4);
    const nlohmann::json forged{ { "challenge", text }, { "version", 4 }, { "mac", mac } };
    LONGS_EQUAL(403, daemon.handle("POST", "/v1/admin/vouch", forged.dump()).status);
    const nlohmann::json valid{ { "challenge", text },
                                { "version", 4 },
                                { "mac", wire::computeVouchMac(wire::hashKey(secret), { "i1" },
                                                               text, 4) } };
    LONGS_EQUAL(200, daemon.handle("POST", "/v1/admin/vouch", valid.dump()).status);
    LONGS_EQUAL(400, daemon.handle("POST", "/v1/admin/vouch", valid.dump()).status);
}

// Guards against a statement based on a proof that is older than the challenge.
TEST(ctl, vouchWaitsForAProofAfterTheChallenge)
{
    daemon.elapsed = milliseconds(300);
    checkCode(exit_code::Done, daemon.run({ "vouch", "--against", "127.0.0.1:2" }), daemon);
    CHECK_TRUE(daemon.elapsed >= milliseconds(1000));
}

TEST_GROUP(admin_json){};

// Guards against an operator request that runs on a different route because of a malformed path,
// and against access with a wrong or incomplete operator secret.
TEST(admin_json, matchesRoutesAndSecrets)
{
    CHECK_TRUE(wire::matchAdminRoute("GET", "/v1/admin/notes/check").route
               == wire::admin_route::NoteStatus);
    STRCMP_EQUAL("hire-1",
                 wire::matchAdminRoute("POST", "/v1/admin/groups/hire-1/promote").argument.c_str());
    CHECK_TRUE(wire::matchAdminRoute("DELETE", "/v1/admin/groups").error
               == core::error_kind::MethodNotAllowed);
    for (const char *target : { "/v1/admin/", "/v1/admin/groups//promote", "/v1/admin/notes/a/b",
                                "/v1/admin/notes/", "/v1/statements" })
        CHECK_TRUE(wire::matchAdminRoute("GET", target).error == core::error_kind::UnknownRoute);
    CHECK_TRUE(wire::isOperatorAuthorized("Bearer " + secret, wire::hashKey(secret)));
    for (const char *header : { "", "Bearer ", "Bearer operator", "operators", "bearer operators" })
        CHECK_FALSE(wire::isOperatorAuthorized(header, wire::hashKey(secret)));
}

TEST_GROUP(note_file){};

// Guards against names that are parsed as numbers, and against error messages without a line or
// field.
TEST(note_file, readsYamlAndJsonAlike)
{
    const std::string yaml = "id: 20261204\nbase: 4\nadded:\n"
                             "  - {section: workspace, workspace: mesa, groups: [1, hire]}\n"
                             "  - {section: rate, workspace: mesa, rate: 0.5, burst: 3}\n"
                             "changed:\n  - {section: switch, switch: all, on: false}\n";
    core::release_note note;
    STRCMP_EQUAL("", ctl::parseNote(yaml, note).c_str());
    STRCMP_EQUAL("20261204", note.id.c_str());
    LONGS_EQUAL(2, note.changes.added.size());
    core::release_note again;
    STRCMP_EQUAL("", ctl::parseNote(wire::writeNote(note), again).c_str());
    CHECK_TRUE(again == note);
    STRCMP_CONTAINS("line 2", ctl::parseNote("id: a\nid: b\n", note).c_str());
    STRCMP_CONTAINS("line 2", ctl::parseNote("id: a\n\tbase: [\n", note).c_str());
    STRCMP_CONTAINS(
            "added[0].hash",
            ctl::parseNote("id: a\nbase: 1\nadded: [{section: key, workspace: w}]", note).c_str());
    STRCMP_CONTAINS("base", ctl::parseNote("id: a\nbase: \"1\"\n", note).c_str());
}

// Guards against promotions that continue although the command reported that they are off.
TEST(ctl, storeSwitchIsWrittenAndReadBack)
{
    checkCode(exit_code::Done, daemon.run({ "switch", "list", "--store=127.0.0.1:1" }), daemon);
    CHECK(daemon.out.str().find("promotion is on (never set)") != std::string::npos);
    checkCode(exit_code::Done, daemon.run({ "switch", "off", "all", "--store=127.0.0.1:1" }),
              daemon);
    checkCode(exit_code::Done, daemon.run({ "switch", "list", "--store=127.0.0.1:1" }), daemon);
    CHECK(daemon.out.str().find("promotion is off") != std::string::npos);
    checkCode(exit_code::Done, daemon.run({ "switch", "on", "promotion", "--store=127.0.0.1:1" }),
              daemon);
    checkCode(exit_code::Done, daemon.run({ "switch", "list", "--store=127.0.0.1:1" }), daemon);
    CHECK(daemon.out.str().find("promotion is on") != std::string::npos);
}

// Guards against a switch command that reports success although the store refused the change, or a
// failure although the change was applied and only its answer was lost.
TEST(ctl, storeSwitchReportsItsOutcome)
{
    checkCode(exit_code::Usage, daemon.run({ "switch", "off", "loans", "--store=127.0.0.1:1" }),
              daemon);
    daemon.storeStatus = 503;
    checkCode(exit_code::Refused,
              daemon.run({ "switch", "off", "promotion", "--store=127.0.0.1:1" }), daemon);
    daemon.storeStatus = 200;
    // The answer to the change is lost, but a read of the row shows that it was applied.
    daemon.storeLosesAnswers = true;
    checkCode(exit_code::Done, daemon.run({ "switch", "off", "promotion", "--store=127.0.0.1:1" }),
              daemon);
}

// Guards against the unused share of a limit that a permanently lost instance leaves behind, and
// against removing the row of an instance that has restarted.
TEST(ctl, lostInstanceIsRemovedFromTheStore)
{
    checkCode(exit_code::Usage, daemon.run({ "instance", "forget", "n1" }), daemon);
    const std::vector<std::string> forget{ "instance", "forget", "n1", "--store=127.0.0.1:1" };
    checkCode(exit_code::Refused, daemon.run(forget), daemon);
    daemon.storeRow = { { "table-name", "instances" },
                        { "part", "" },
                        { "key", "n1" },
                        { "value", "e30=" },
                        { "row-version", 7 } };
    checkCode(exit_code::Done, daemon.run(forget), daemon);
    CHECK_EQUAL(7, daemon.storeRemoved.at("expected").at(0).at("row-version").get<int>());
    STRCMP_EQUAL("n1", daemon.storeRemoved.at("remove").at(0).at("key").get<std::string>().c_str());
    daemon.storeStatus = 503;
    checkCode(exit_code::Refused, daemon.run(forget), daemon);
}

// Guards against a corrupt row that is interpreted as permission to promote.
TEST(ctl, unreadableStoreSwitchCountsAsOff)
{
    CHECK_FALSE(wire::readSwitch("{").allowed);
    CHECK_FALSE(wire::readSwitch("{\"allowed\":1}").allowed);
    CHECK_TRUE(wire::readSwitch(wire::toJson({ true })).allowed);
}

// Guards against a report that counts only the written lines of a sample, mixes up daemons or reads
// a field of another name.
TEST(ctl, reportCountsSkippedLinesAndPeriods)
{
    std::istringstream log(
            "2026-01-24T23:59:58.000000Z level=info event=940 name=session_daemon_started "
            "detail=n7\n"
            "2026-01-24T23:59:59.500000Z level=info event=902 name=statement_refused request=a "
            "workspace=house service=s route=primary reason=rate_exceeded age_us=4000 skipped=9\n"
            "not a log line\n"
            "2026-01-25T00:00:01.500000Z level=info event=902 name=statement_refused "
            "workspace=\"a b\" reason=rate_exceeded age_us=8000\n"
            "2026-01-25T00:00:02.000000Z level=info event=901 name=statement_placed "
            "workspace=house "
            "member=m1\n");
    const std::string text = log.str();
    ctl::log_report all;
    LONGS_EQUAL(1, ctl::addLog(all, log, "file", {}));
    LONGS_EQUAL(11, all.refusals["rate_exceeded"].count);
    LONGS_EQUAL(10, all.byWorkspace["house"].refused);
    LONGS_EQUAL(1, all.byWorkspace["house"].placed);
    LONGS_EQUAL(1, all.byWorkspace["a b"].refused);
    LONGS_EQUAL(10, all.byRoute["primary"].refused);
    LONGS_EQUAL(12, all.byDaemon["n7"].placed + all.byDaemon["n7"].refused);
    LONGS_EQUAL(8'000, ctl::percentileOf(all.refusals["rate_exceeded"].waitsUs, 0.9));
    ctl::log_report late;
    std::istringstream again(text);
    static_cast<void>(ctl::addLog(late, again, "file", { 3, 3.8 }));
    LONGS_EQUAL(1, late.refusals["rate_exceeded"].count);
    LONGS_EQUAL(0, late.byMember["m1"].placed);
}
