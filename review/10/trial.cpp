/// @file
/// @brief Case 10: the store loses a response to a daemon for two seconds; later a replica drains.

#include "../standin-2/lab.hpp"

namespace {

constexpr std::int64_t drainTimeoutMs = 7'000;
constexpr std::int64_t stabilityWindowMs = 4'000;
constexpr std::int64_t silenceMs = 2'000;
constexpr std::int64_t drainMarginMs = 8'000; // the member exits so long after drain-timeout-ms
constexpr std::size_t sessionsPerDaemon = 12;

struct sent_request
{
    std::int64_t sentAtMs = 0;
    std::size_t daemon = 0;
};

struct traffic
{
    std::atomic<bool> isOver{ false };
    std::mutex mutex;
    std::map<std::string, sent_request> requests; ///< single statements and first ones, by id
    std::atomic<std::uint64_t> lastId{ 0 };
    std::map<std::string, int> answers;
};

/// Sends reads and read-only transactions, one after the other.
void runSession(lab::record &out, traffic &all, const lab::daemon &server, std::size_t number)
{
    lab::consumer client(out, "consumer of " + std::to_string(number + 1));
    const auto ask = [&](const std::string &text, bool isFirst) {
        const std::string id = "q" + std::to_string(++all.lastId);
        if (isFirst) {
            const std::lock_guard lock(all.mutex);
            all.requests[id] = { lab::nowMs(), number };
        }
        const lab::answer got = client.ask(id, text);
        const std::lock_guard lock(all.mutex);
        ++all.answers[got.code.empty() ? "none" : got.code];
        return got.code == "OK";
    };
    while (!all.isOver) {
        if (!client.isOpen() && !client.open(server.callerAddress(), "consulta", "key-1")) {
            lab::pause(300);
            continue;
        }
        if (all.lastId % 4 != 0) {
            ask("READ a" + std::to_string(all.lastId % 50), true);
        } else if (ask("BEGIN READ", false)) {
            const bool goesOn = ask("READ a1", true);
            lab::pause(200);
            if (!goesOn || !ask("READ a2", false) || !ask("COMMIT", false))
                ask("ROLLBACK", false);
        }
        lab::pause(40);
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    lab::trial trial(argumentCount, arguments);
    lab::record &out = *trial.out;
    lab::store store(out);
    const std::vector<std::string> zones{ "alajuela", "heredia", "cartago", "heredia" };
    lab::group group(out, store, trial.network, zones);
    group.statementMs = 10;
    group.slots = 2;
    for (std::size_t i = 0; i < 3; ++i)
        group.list(group.at(i));
    // The fourth member is the new one that replaces the second one; it has not started yet.
    store.remove("servers", group.at(3).id);
    const lab::route route{ "consulta", "bounded_staleness", 300, 1'200, 1'500 };
    store.put("op", "config", lab::manifest(1, group.service, { route }, { { "t1", "key-1" } }));

    std::atomic<int> silent{ -1 };
    std::vector<std::string> names;
    store.isSilentFor = [&](const std::string &daemon) {
        return silent >= 0 && daemon == names[static_cast<std::size_t>(silent.load())];
    };
    std::vector<std::unique_ptr<lab::daemon>> daemons;
    for (const std::string zone : { "alajuela", "alajuela", "heredia", "heredia", "cartago" }) {
        const std::string number = std::to_string(daemons.size() + 1);
        names.push_back("frontend-" + zone + "-" + number);
        daemons.push_back(std::make_unique<lab::daemon>(
                out, trial.root, trial.folder,
                lab::daemon::options{
                        names.back(), zone, trial.network + ".1." + number,
                        store.openFor(names.back(), trial.network + ".3." + number) }));
    }
    for (const auto &each : daemons)
        each->start();
    const bool areReady = lab::waitUntil(10'000, [&] {
        return std::all_of(daemons.begin(), daemons.end(),
                           [](const auto &each) { return each->isReady(); });
    });
    if (!areReady)
        return trial.finish(lab::couldNotRun, "the daemons did not become ready");
    lab::pause(3'000);
    traffic all;
    std::vector<std::thread> sessions;
    for (std::size_t i = 0; i < daemons.size() * sessionsPerDaemon; ++i) {
        const std::size_t number = i % daemons.size();
        sessions.emplace_back([&, number] { runSession(out, all, *daemons[number], number); });
    }
    store.forgetCalls();
    lab::pause(5'000);
    // The store is silent for one of the five machines; any but the three that read it often.
    const std::size_t chosen = store.quietest(names);
    store.watch(names[chosen]);
    if (trial.hasTrouble) {
        silent = static_cast<int>(chosen);
        out.line("store: silent for ", names[chosen], " from now on");
    }
    lab::pause(silenceMs / 2);
    group.list(group.at(3)); // the new member starts
    lab::pause(silenceMs / 2);
    silent = -1;
    const std::int64_t silenceEndedAt = lab::nowMs();
    out.line("store: answers all");
    lab::pause(stabilityWindowMs + 500);
    group.at(1).state = "draining";
    const std::int64_t drainAt = group.list(group.at(1));
    lab::pause(drainTimeoutMs + drainMarginMs);
    store.remove("servers", group.at(1).id);
    group.at(1).listener->close();
    out.line("member ", group.at(1).id, ": exits");
    lab::pause(500);
    all.isOver = true;
    for (std::thread &each : sessions)
        each.join();

    int late = 0;
    std::int64_t latest = 0;
    for (const lab::run &each : group.runs()) {
        const auto request = all.requests.find(each.id);
        if (each.member != group.at(1).id || request == all.requests.end()
            || each.atMs <= drainAt + drainTimeoutMs)
            continue;
        ++late;
        latest = std::max(latest, each.atMs - drainAt);
        out.line("request ", each.id, " of ", names[request->second.daemon], " reached ",
                 each.member, " ", each.atMs - drainAt, " ms after the ack of its draining");
    }
    for (auto &each : daemons)
        each->kill(SIGKILL);
    group.close();
    store.close();
    std::string answers;
    for (const auto &[code, count] : all.answers)
        answers += " " + code + " " + std::to_string(count);
    out.line("answers:", answers, "; the ack came ", drainAt - silenceEndedAt,
             " ms after the end of the silence");
    const std::string text = std::to_string(late)
                             + " requests reached the draining member later than "
                             + std::to_string(drainTimeoutMs) + " ms after the ack, the last "
                             + std::to_string(latest) + " ms after it";
    if (late > 0)
        return trial.finish(lab::ruleBroken, "DRAIN is broken: " + text);
    return trial.finish(lab::ruleHeld, "the rule held: " + text);
}
