/// @file
/// @brief Case 10: the store comes back from a copy that is some seconds old, between two
/// promotions of a group.

#include "../standin-2/lab.hpp"

namespace {

constexpr int storm = 3; // versions of the manifest in quick succession
constexpr std::int64_t awayMs = 300;
constexpr std::int64_t crashMs = 2'500;

} // namespace

int main(int argumentCount, char **arguments)
{
    lab::trial trial(argumentCount, arguments);
    lab::record &out = *trial.out;
    lab::store store(out);
    lab::group group(out, store, trial.network, { "alajuela", "heredia", "cartago" });
    store.onPromote = [&](const std::string &, const std::string &id, std::uint64_t token) {
        return group.promote(id, token);
    };
    const lab::route route{ "devolucion", "read_your_writes", 250, 800, 2'500 };
    const auto writeManifest = [&](int version) {
        store.put("op", "config",
                  lab::manifest(version, group.service, { route }, { { "t1", "key-1" } }));
        out.line("operator: version ", version);
    };
    writeManifest(1);
    std::vector<std::unique_ptr<lab::daemon>> daemons;
    for (const std::string zone : { "alajuela", "heredia", "cartago", "cartago" }) {
        const std::string number = std::to_string(daemons.size() + 1);
        const std::string name = "frontend-" + zone + "-" + number;
        daemons.push_back(std::make_unique<lab::daemon>(
                out, trial.root, trial.folder,
                lab::daemon::options{ name, zone, trial.network + ".1." + number,
                                      store.openFor(name, trial.network + ".3." + number) }));
        daemons.back()->start();
    }
    const bool areReady = lab::waitUntil(10'000, [&] {
        return std::all_of(daemons.begin(), daemons.end(),
                           [](const auto &each) { return each->isReady(); });
    });
    if (!areReady)
        return trial.finish(lab::couldNotRun, "the daemons did not become ready");
    lab::pause(6'000); // the daemons have claimed their parts of the limits

    std::atomic<bool> isOver{ false };
    std::vector<std::thread> writers;
    for (std::size_t i = 0; i < 2 * daemons.size(); ++i) {
        writers.emplace_back([&, i] {
            const lab::daemon &server = *daemons[i % daemons.size()];
            lab::consumer client(out, "consumer " + std::to_string(i + 1));
            for (int number = 0; !isOver; ++number) {
                lab::pause(100);
                if (!client.isOpen()
                    && !client.open(server.callerAddress(), "devolucion", "key-1")) {
                    lab::pause(300);
                    continue;
                }
                const std::string id = "w" + std::to_string(i + 1) + "-" + std::to_string(number);
                client.ask(id, "WRITE a" + std::to_string(number % 20) + " d" + id);
            }
        });
    }
    lab::pause(2'000);
    store.keepCopy();
    for (int i = 0; i < storm; ++i)
        writeManifest(2 + i);
    lab::pause(300);
    lab::group::member &first = group.at(0);
    group.crash(first);
    if (!lab::waitUntil(8'000, [&] { return group.promotions().size() == 1; }))
        return trial.finish(lab::couldNotRun, "the first promotion did not come");
    const std::string holder = store.orders().back().holder;
    lab::pause(crashMs - 1'500);
    group.restart(first); // as a replica
    lab::pause(500);
    if (trial.hasTrouble) {
        store.comeBackFromCopy(awayMs);
        // What the operator and the members wrote is written again.
        writeManifest(1 + storm);
        for (std::size_t i = 0; i < 3; ++i) {
            if (group.at(i).id == group.primaryId() || i == 0)
                group.list(group.at(i));
        }
    }
    lab::pause(500);
    for (const auto &each : daemons) {
        if (each->name() == holder)
            each->kill(SIGTERM); // planned: it is rolled
    }
    lab::pause(500);
    for (std::size_t i = 0; i < 3; ++i) {
        if (group.at(i).id == group.primaryId()) {
            group.crash(group.at(i));
            break;
        }
    }
    lab::waitUntil(15'000, [&] { return group.promotions().size() == 2; });
    lab::pause(500);
    isOver = true;
    for (std::thread &each : writers)
        each.join();
    for (auto &each : daemons)
        each->kill(SIGKILL);
    std::map<std::uint64_t, std::set<std::string>> holders; // by token
    std::string text = "orders that the platform took:";
    for (const auto &each : store.orders()) {
        if (each.status != 200)
            continue;
        holders[each.token].insert(each.holder);
        text += " " + each.member + " by " + each.holder + " with " + std::to_string(each.token)
                + ";";
    }
    const bool isShared = std::any_of(holders.begin(), holders.end(),
                                      [](const auto &each) { return each.second.size() > 1; });
    text += " " + std::to_string(group.promotions().size()) + " promotions";
    group.close();
    store.close();
    if (isShared)
        return trial.finish(lab::ruleBroken, "ONE is broken, two holders with one number: " + text);
    return trial.finish(lab::ruleHeld, "the rule held: " + text);
}
