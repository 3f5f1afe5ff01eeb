/// @file
/// @brief Case 7: the daemon that promotes does not reach a replica whose entry has expired and
/// which holds the only second copy of commits.

#include "../standin-2/lab.hpp"

namespace {

constexpr std::int64_t expiryMs = 3 * 1'200; // three heartbeat intervals
constexpr std::int64_t deafMs = 1'000;
constexpr std::size_t cutDaemon = 2; // one of four, the first that notices
constexpr std::int64_t missingMs = 2'800; // the daemons then treat a member without entry as gone
constexpr std::int64_t returnMs = 7'000; // the crashed primary returns after this time

} // namespace

int main(int argumentCount, char **arguments)
{
    lab::trial trial(argumentCount, arguments);
    lab::record &out = *trial.out;
    lab::store store(out);
    const std::vector<std::string> zones{ "alajuela", "heredia", "cartago" };
    lab::group group(out, store, trial.network, zones);
    lab::group second(out, store, trial.network, zones, 2);
    lab::group third(out, store, trial.network, zones, 3);
    lab::group::member &primary = group.at(0);
    lab::group::member &unlisted = group.at(1);
    lab::group::member &deaf = group.at(2);
    store.onPromote = [&](const std::string &service, const std::string &id, std::uint64_t token) {
        return service == group.service ? group.promote(id, token) : 503;
    };
    const lab::route route{ "devolucion", "read_your_writes", 250, 800, 2'500 };
    store.put("op", "config",
              lab::manifest(1, group.service, { route }, { { "t1", "key-1" } },
                            { second.service, third.service }));
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
    lab::pause(2'000);

    std::atomic<bool> isOver{ false };
    std::mutex mutex;
    std::vector<std::pair<std::int64_t, std::string>> acknowledged; // time and id
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
                if (client.ask(id, "WRITE a" + std::to_string(number % 20) + " d" + id).code
                    != "OK")
                    continue;
                const std::lock_guard lock(mutex);
                acknowledged.emplace_back(lab::nowMs(), id);
            }
        });
    }
    lab::pause(2'000);
    if (trial.hasTrouble) {
        out.line("member ", unlisted.id, ": is partitioned from the store and goes on");
        group.hide(unlisted, daemons[cutDaemon]->name());
        lab::pause(expiryMs);
        unlisted.isListed = false;
        store.remove("servers", unlisted.id);
        out.line("store: the entry of ", unlisted.id, " has expired");
        lab::pause(missingMs);
        group.setDeaf(deaf, true);
        lab::pause(deafMs);
        group.crash(primary);
        group.setDeaf(deaf, false);
        lab::waitUntil(returnMs, [&] { return !group.promotions().empty(); });
        unlisted.isListed = true;
        group.show(unlisted);
        group.list(unlisted); // the partition ends
        if (group.promotions().empty())
            group.restart(primary);
    }
    lab::pause(8'000);
    isOver = true;
    for (std::thread &each : writers)
        each.join();
    for (auto &each : daemons)
        each->kill(SIGKILL);
    int lost = 0;
    const auto promotions = group.promotions();
    for (const auto &made : promotions) {
        for (const auto &[at, id] : acknowledged) {
            if (at >= made.atMs || made.commits.contains(id))
                continue;
            ++lost;
            out.line("commit ", id, " was acknowledged at ", at, " ms and is not in the log of ",
                     made.member, ", which leads since ", made.atMs, " ms");
        }
    }
    if (std::getenv("KEEP") != nullptr)
        std::printf("%s\n", trial.folder.c_str());
    group.close();
    second.close();
    third.close();
    store.close();
    const std::string text = std::to_string(lost) + " of " + std::to_string(acknowledged.size())
                             + " acknowledged commits are not in the log of a promoted member; "
                             + std::to_string(promotions.size()) + " promotions";
    if (acknowledged.size() < 50)
        return trial.finish(lab::couldNotRun, "too few commits: " + text);
    if (lost > 0)
        return trial.finish(lab::ruleBroken, "LOST is broken: " + text);
    return trial.finish(lab::ruleHeld, "the rule held: " + text);
}
