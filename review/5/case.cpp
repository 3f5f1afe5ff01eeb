/// @file
/// @brief LOST: a planned stop cuts statements of transactions that it should have ended in the
/// first half of the grace period.

#include "../standin/world.hpp"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

/// Daemon that gets SIGTERM. Its zone has no member, so it relays no connections of other daemons.
constexpr std::size_t stopped = 3;
constexpr int callers = 14;
constexpr int statementsPerTransaction = 12;
constexpr milliseconds work{ 240 }; ///< of a statement of these callers
constexpr double graceSeconds = 6;

struct cut_statement
{
    std::string id;
    double sentAt = 0;
    double cutAt = 0;
};

std::vector<cut_statement> cuts;
bool isStopped = false;

/// Runs transactions of twelve reads without pauses, and notes a statement whose connection ends
/// without an answer.
task<> readOn(world &owner, int number)
{
    const std::string name = "caller-" + std::to_string(number);
    session caller(owner, name);
    co_await owner.sleep(milliseconds(180 * number));
    const std::string begin = "BEGIN READ";
    const std::string commit = "COMMIT";
    const std::string read = "READ menu-" + std::to_string(number);
    if (!co_await caller.open(stopped, "menu", "key-two"))
        co_return;
    while (!isStopped) {
        for (int i = 0; i < statementsPerTransaction; ++i) {
            const std::string text = i == 0                              ? begin
                                     : i + 1 == statementsPerTransaction ? commit
                                                                         : read;
            const double sentAt = owner.now();
            const reply answer = co_await caller.query(text, milliseconds(5'000));
            if (answer.closed) {
                cuts.push_back({ caller.lastId, sentAt, owner.now() });
                co_return;
            }
            if (answer.isSuccess())
                continue;
            // A consumer begins again, with new ids, after a promise that nothing is kept.
            const std::string rollback = "ROLLBACK";
            const reply ended = co_await caller.query(rollback, milliseconds(5'000));
            if (ended.closed)
                co_return;
            co_await owner.sleep(milliseconds(50));
            break;
        }
    }
}

task<> scenario(world &owner)
{
    owner.writeManifest(1);
    owner.startDaemons({ "andina-villa", "andina-guatavita", "andina-zipaquira", "andina-suesca" });
    if (!co_await owner.waitUntilReady(30))
        co_return;
    owner.workOf = [](const std::string &tenant, const std::string &) {
        return tenant == "kara114" ? work : milliseconds(3);
    };
    co_await owner.sleep(milliseconds(5'000));
    const double start = owner.now();
    for (int number = 1; number <= callers; ++number)
        owner.spawn(readOn(owner, number));
    co_await owner.sleep(milliseconds(2'500));
    const double stopAt = owner.now();
    if (owner.trouble)
        owner.signalDaemon(stopped, SIGTERM);
    co_await owner.sleepUntil(stopAt + graceSeconds + 1.2);
    isStopped = true;
    co_await owner.sleep(milliseconds(3'000));
    int broken = 0;
    for (const cut_statement &each : cuts) {
        const bool ran = std::any_of(owner.runs.begin(), owner.runs.end(),
                                     [&](const executed &run) { return run.id == each.id; });
        const double sentAfter = each.sentAt - stopAt;
        char text[200];
        std::snprintf(text, sizeof text,
                      "%s, sent %.3f s after the signal, got no answer; its connection ended %.3f "
                      "s after it; %s",
                      each.id.c_str(), sentAfter, each.cutAt - stopAt,
                      ran ? "a member ran it" : "no member ran it");
        owner.record("check", text);
        // A request sent in the first 3 s may be cut if its member was still at work in the last
        // sixth of the grace period.
        broken += ran && sentAfter > 3 && sentAfter < graceSeconds + 1 ? 1 : 0;
    }
    owner.record("check",
                 std::to_string(broken)
                         + " statements were passed on to a member and cut without an answer");
    owner.exitCode = broken == 0 ? ruleHeld : ruleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    group_options options;
    options.slots = 5;
    options.queue = 40;
    options.maxConnections = 60;
    const auto prepare = [](world &owner) {
        owner.addRoute("menu", "bounded_staleness", 3'000, 800, 1'500);
    };
    return runCase(argc, argv, { "andina-villa", "andina-guatavita", "andina-zipaquira" }, options,
                   prepare, scenario, 90);
}
