/// @file
/// @brief LOST: a replica that restarts between its report and the promotion receives again.

#include "../standin/world.hpp"

using namespace review;

namespace {

constexpr std::size_t primary = 0;
constexpr milliseconds replicaCrashesAfter{ 100 }; ///< after the order
constexpr milliseconds primaryIsBackAfter{ 400 };
constexpr milliseconds replicaIsBackAfter{ 500 };

bool isStopped = false;

/// Restarts the replica that was not chosen, and ends the primary's darkness, while the promotion
/// is under way.
void disturbPromotion(world &owner, const std::string &chosen)
{
    const std::size_t other = owner.at(1).id == chosen ? 2 : 1;
    owner.runAfter(replicaCrashesAfter, [&owner, other] { owner.crash(other); });
    owner.runAfter(replicaIsBackAfter, [&owner, other] { owner.restart(other); });
    owner.runAfter(primaryIsBackAfter, [&owner] { owner.restart(primary); });
}

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
    if (owner.trouble) {
        bool isDisturbed = false;
        owner.onPromotionOrder = [&](const std::string &chosen, const std::string &,
                                     std::uint64_t) {
            if (!std::exchange(isDisturbed, true))
                disturbPromotion(owner, chosen);
            return true;
        };
        owner.crash(primary);
        co_await owner.sleep(milliseconds(6'000));
        if (!isDisturbed)
            co_return; // no promotion was ordered
    }
    co_await owner.sleep(milliseconds(4'000));
    isStopped = true;
    co_await owner.sleep(milliseconds(1'500));
    owner.onPromotionOrder = nullptr;
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
