/// @file
/// @brief LOST: a replica whose entry has expired goes on receiving, and is not paused by a
/// promotion.

#include "../standin/world.hpp"

using namespace review;

namespace {

constexpr std::size_t primary = 0;
constexpr std::size_t unlisted = 1; ///< replica that is partitioned from the store
constexpr double storeCutSeconds = 5.0;
constexpr double primaryDarkSeconds = 1.4;

bool isStopped = false;

task<> scenario(world &owner)
{
    owner.writeManifest(1);
    owner.startDaemons({ "alajuela", "heredia", "cartago" });
    if (!co_await owner.waitUntilReady(30))
        co_return;
    for (std::size_t daemon = 0; daemon < owner.daemons.size(); ++daemon) {
        for (int number = 1; number <= 2; ++number)
            owner.spawn(writeUntilStopped(owner, daemon, number, milliseconds(0), milliseconds(30),
                                          isStopped));
    }
    co_await owner.sleep(milliseconds(5'000));
    member &replica = owner.at(unlisted);
    const double lastBeat = replica.lastBeatAt;
    if (owner.trouble) {
        co_await owner.sleepUntil(lastBeat + 1.1);
        owner.record(replica.id, "is partitioned from the store, for 5 s");
        replica.reachesStore = false;
        owner.runAfter(milliseconds(static_cast<int>(storeCutSeconds * 1'000)), [&owner, &replica] {
            replica.reachesStore = true;
            owner.record(replica.id, "reaches the store again");
        });
        co_await owner.sleepUntil(lastBeat + 5.55);
        owner.crash(primary);
        co_await owner.sleep(milliseconds(static_cast<int>(primaryDarkSeconds * 1'000)));
        owner.restart(primary);
    }
    co_await owner.sleep(milliseconds(8'000));
    isStopped = true;
    co_await owner.sleep(milliseconds(1'500));
    owner.record("check", std::to_string(owner.acks.size()) + " commits were acknowledged, "
                                  + std::to_string(owner.database.lost.size())
                                  + " of them were not in the log of the member that was promoted");
    owner.exitCode = owner.database.lost.empty() ? ruleHeld : ruleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(
            argc, argv, { "alajuela", "heredia", "cartago" }, {}, [](world &) {}, scenario, 90);
}
