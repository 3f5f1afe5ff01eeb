/// @file
/// @brief CONFIG: statements of an open transaction go on under a key that was withdrawn.

#include "../standin/world.hpp"

#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

constexpr milliseconds pause{ 1'500 }; ///< between two statements; tx-idle-ms is 3,000
constexpr int statements = 6;
constexpr double configApplySeconds = 3;

task<> scenario(world &owner)
{
    owner.writeManifest(1);
    owner.startDaemons({ "alajuela", "heredia", "cartago" });
    if (!co_await owner.waitUntilReady(30))
        co_return;
    co_await owner.sleep(milliseconds(5'000)); // longer than stability-window-ms
    session caller(owner, "caller");
    if (!co_await caller.open(0, "current", "key-two"))
        co_return;
    const std::string begin = "BEGIN";
    const std::string commit = "COMMIT";
    std::vector<std::string> ids;
    co_await caller.query(begin);
    for (int i = 0; i < statements; ++i) {
        const std::string text = i + 1 == statements ? "WRITE net-9 hired" : "READ net-9";
        co_await caller.query(text);
        ids.push_back(caller.lastId);
        if (i == 0 && owner.trouble) {
            owner.manifest["tenants"][1]["api-keys"] = json::array({ "key-three" });
            owner.writeManifest(2);
        }
        co_await owner.sleep(pause);
    }
    const double withdrawnAt = owner.manifestAt;
    const reply ended = co_await caller.query(commit);
    ids.push_back(caller.lastId);
    int broken = 0;
    for (const executed &run : owner.runs) {
        if (!owner.trouble || std::find(ids.begin(), ids.end(), run.id) == ids.end())
            continue;
        const double after = owner.sentAt[run.id] - withdrawnAt;
        if (after <= configApplySeconds)
            continue;
        ++broken;
        char text[200];
        std::snprintf(
                text, sizeof text,
                "%s %s was sent %.3f s after the withdrawal of its key was acknowledged, and ran",
                run.id.c_str(), run.text.c_str(), after);
        owner.record("check", text);
    }
    if (owner.trouble && ended.isSuccess())
        owner.record("check", "the COMMIT was answered with success");
    owner.record("check", std::to_string(broken) + " statements ran with a withdrawn key");
    owner.exitCode = broken == 0 ? ruleHeld : ruleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(
            argc, argv, { "alajuela", "heredia", "cartago" }, {}, [](world &) {}, scenario, 60);
}
