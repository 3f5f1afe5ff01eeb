/// @file
/// @brief Case 10: a consumer reads an item whose reply has sixty rows of almost 1 MiB.

#include "../standin-2/lab.hpp"

namespace {

constexpr int memoryMb = 260; // limits.memory-mb of the small deployments
constexpr std::size_t rowBytes = 1'000'000; // a message may have 1 MiB
constexpr std::size_t rowsOfReport = 60;
constexpr int endsForFault = 3; // on two machines
constexpr int maxReads = 16; // at each daemon
constexpr std::int64_t restartMs = 300;

} // namespace

int main(int argumentCount, char **arguments)
{
    lab::trial trial(argumentCount, arguments);
    lab::record &out = *trial.out;
    lab::store store(out);
    lab::group group(out, store, trial.network, { "alajuela", "heredia", "cartago" });
    const std::size_t rows = trial.hasTrouble ? rowsOfReport : 1;
    group.rowsOf = [&](const std::string &item) {
        return item == "report" ? std::vector<std::string>(rows, std::string(rowBytes, 'x'))
                                : std::vector<std::string>{ "small" };
    };
    const lab::route reads{ "consulta", "bounded_staleness", 300, 1'200, 1'500 };
    const lab::route writes{ "despacho", "primary", 120, 800 };
    store.put("op", "config",
              lab::manifest(1, group.service, { reads, writes }, { { "t1", "key-1" } }));
    std::vector<std::unique_ptr<lab::daemon>> daemons;
    for (const std::string zone : { "heredia", "cartago" }) {
        const std::string number = std::to_string(daemons.size() + 1);
        const std::string name = "frontend-" + zone + "-" + number;
        daemons.push_back(std::make_unique<lab::daemon>(
                out, trial.root, trial.folder,
                lab::daemon::options{ name, zone, trial.network + ".1." + number,
                                      store.openFor(name, trial.network + ".3." + number),
                                      memoryMb }));
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
    std::atomic<int> cutWrites{ 0 };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            lab::consumer client(out, "writer " + std::to_string(i + 1));
            const lab::daemon &server = *daemons[i % daemons.size()];
            for (int number = 0; !isOver; ++number) {
                lab::pause(10);
                if (!client.isOpen() && !client.open(server.callerAddress(), "despacho", "key-1")) {
                    lab::pause(200);
                    continue;
                }
                const std::string id = "w" + std::to_string(i + 1) + "-" + std::to_string(number);
                if (client.ask(id, "WRITE a1 d" + id).code.empty() && !isOver)
                    ++cutWrites;
            }
        });
    }
    // The platform kills a process that exceeds memory-mb, and starts it again.
    std::vector<int> ends(daemons.size(), 0);
    std::vector<double> most(daemons.size(), 0);
    std::thread platform([&] {
        while (!isOver) {
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                const double used = daemons[i]->isRunning() ? daemons[i]->residentMb() : 0;
                most[i] = std::max(most[i], used);
                if (used <= memoryMb)
                    continue;
                out.line("platform: ", daemons[i]->name(), " uses ", used, " MB");
                daemons[i]->kill(SIGKILL);
                ++ends[i];
                lab::pause(restartMs);
                daemons[i]->start();
            }
            lab::pause(2);
        }
    });
    int answered = 0;
    for (int number = 0; number < maxReads; ++number) {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            lab::consumer client(out, "reader " + std::to_string(i + 1));
            if (client.open(daemons[i]->callerAddress(), "consulta", "key-1")) {
                const std::string id = "r" + std::to_string(i + 1) + "-" + std::to_string(number);
                answered += client.ask(id, "READ report").code == "OK" ? 1 : 0;
            }
            client.close();
            lab::pause(1'500); // the daemon is back and has its connections again
        }
        if (std::all_of(ends.begin(), ends.end(), [](int each) { return each >= endsForFault; }))
            break;
    }
    isOver = true;
    platform.join();
    for (std::thread &each : threads)
        each.join();
    for (auto &each : daemons)
        each->kill(SIGKILL);
    group.close();
    store.close();
    std::string text = "ends over the memory limit:";
    for (std::size_t i = 0; i < daemons.size(); ++i)
        text += " " + std::to_string(ends[i]) + " (most "
                + std::to_string(static_cast<int>(most[i])) + " MB)";
    text += "; " + std::to_string(cutWrites) + " writes of other consumers cut, "
            + std::to_string(answered) + " reports answered";
    const auto machines =
            std::count_if(ends.begin(), ends.end(), [](int each) { return each >= endsForFault; });
    if (machines >= 2)
        return trial.finish(lab::ruleBroken, "Fault: " + text);
    return trial.finish(lab::ruleHeld, "the rule held: " + text);
}
