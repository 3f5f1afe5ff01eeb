/// @file
/// @brief Case 8 on the real clock: the zone of the primary is cut off, and a new member starts
/// there, which is to replace the primary.

#include "../standin-2/lab.hpp"

namespace {

constexpr std::int64_t cutMs = 5'500;
constexpr std::int64_t startMs = 1'000; // from the start of the cut to that of the new member
constexpr std::int64_t expiryMs = 3 * 1'200; // three heartbeat intervals
constexpr std::int64_t drainMs = 7'500;
constexpr std::uint16_t othersPort = 7'560;
constexpr std::uint16_t cutPort = 7'562;

} // namespace

int main(int argumentCount, char **arguments)
{
    lab::trial trial(argumentCount, arguments);
    lab::record &out = *trial.out;
    lab::store store(out);
    lab::group group(out, store, trial.network, { "alajuela", "heredia", "cartago", "alajuela" });
    lab::group::member &primary = group.at(0);
    lab::group::member &joining = group.at(3); // has not started yet
    group.crash(joining);
    store.remove("servers", joining.id);
    store.onPromote = [&](const std::string &service, const std::string &id, std::uint64_t token) {
        return service == group.service ? group.promote(id, token) : 503;
    };
    const lab::route route{ "devolucion", "read_your_writes", 250, 800, 2'500 };
    store.put("op", "config", lab::manifest(1, group.service, { route }, { { "t1", "key-1" } }));
    const std::string network = trial.network + ".1.";
    lab::peer_link peers(network + "1", cutPort, { network + "2", network + "3", network + "4" },
                         othersPort);
    std::atomic<bool> isCut{ false };
    const std::string cutDaemon = "frontend-alajuela-1";
    store.isCutOff = [&](const std::string &name) { return isCut && name == cutDaemon; };
    std::vector<std::unique_ptr<lab::daemon>> daemons;
    for (const std::string zone : { "alajuela", "heredia", "cartago", "cartago" }) {
        const std::string number = std::to_string(daemons.size() + 1);
        const std::string name = "frontend-" + zone + "-" + number;
        daemons.push_back(std::make_unique<lab::daemon>(
                out, trial.root, trial.folder,
                lab::daemon::options{ name, zone, network + number,
                                      store.openFor(name, trial.network + ".3." + number), 260,
                                      daemons.empty() ? cutPort : othersPort }));
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
        out.line("network: ", primary.zone, " is cut off, with ", primary.id, " and ", cutDaemon);
        isCut = true;
        peers.setCut(true);
        primary.isListed = false; // it can't write its entry
        for (std::size_t i = 1; i < daemons.size(); ++i) {
            group.hide(primary, daemons[i]->name());
            group.hide(joining, daemons[i]->name());
        }
        for (std::size_t i = 1; i < 3; ++i) {
            group.hide(group.at(i), cutDaemon);
            group.setDeaf(group.at(i), true);
        }
    }
    lab::pause(startMs);
    group.restart(joining, !trial.hasTrouble); // the new member starts first
    if (trial.hasTrouble) {
        const std::int64_t endsAt = lab::nowMs() + cutMs - startMs;
        lab::waitUntil(expiryMs - startMs, [&] { return !group.promotions().empty(); });
        // The network between the members: the new primary reaches the members on its side.
        if (!group.promotions().empty()) {
            group.setDeaf(primary, true);
            group.setDeaf(joining, true);
            group.setDeaf(group.at(1), false);
            group.setDeaf(group.at(2), false);
        }
        lab::waitUntil(endsAt - (cutMs - expiryMs) - lab::nowMs(), [] { return false; });
        store.remove("servers", primary.id);
        out.line("store: the entry of ", primary.id, " has expired");
        lab::waitUntil(endsAt - lab::nowMs(), [] { return false; });
        out.line("network: the cut ends");
        for (std::size_t i = 0; i < 4; ++i) {
            group.show(group.at(i));
            group.setDeaf(group.at(i), false);
        }
        peers.setCut(false);
        isCut = false;
        primary.isListed = true;
        group.list(joining);
    }
    lab::pause(startMs);
    primary.state = "draining"; // the old one drains
    group.list(primary);
    lab::pause(drainMs);
    group.crash(primary);
    store.remove("servers", primary.id);
    lab::pause(1'000);
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
