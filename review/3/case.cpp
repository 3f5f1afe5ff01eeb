/// @file
/// @brief STALE: a caller that leaves while the answer to its BEGIN is delayed makes an old log
/// position look new.

#include "../standin/world.hpp"

#include <csignal>

using namespace review;

namespace {

constexpr std::size_t entry = 0; ///< daemon of the callers whose reads are checked
constexpr std::size_t relay =
        1; ///< daemon in the primary's zone, which keeps the connections to it
constexpr milliseconds replicaLag{ 2'000 };
constexpr milliseconds leavesAfter{ 1'100 };
constexpr milliseconds freeze{ 1'150 };
constexpr double maxStaleness = 1.5; // seconds, of the route
constexpr int rounds = 3;
constexpr int writers = 8; ///< spread over time, so that few of them wait when the relay freezes
constexpr int readers = 4;

bool isStopped = false;
bool isReading = false;

task<> readOn(world &owner, int number)
{
    const std::string name = "reader-" + std::to_string(number);
    session caller(owner, name);
    bool isOpen = false;
    while (!isStopped) {
        if (!isOpen)
            isOpen = co_await caller.open(entry, "bounded", "key-one");
        if (isOpen && isReading) {
            const std::string text = "READ writer-3-1";
            const reply answer = co_await caller.query(text, milliseconds(1'500));
            isOpen = answer.isSuccess();
        }
        co_await owner.sleep(milliseconds(25));
    }
}

/// Opens a transaction; the relay freezes when the primary has accepted its BEGIN, and the caller
/// leaves before it wakes.
task<> playRound(world &owner)
{
    session caller(owner, "leaver");
    if (owner.trouble) {
        for (std::size_t replica = 1; replica <= 2; ++replica)
            owner.at(replica).lag = replicaLag;
        owner.record("replicas", "apply 2 s late");
        co_await owner.sleep(milliseconds(1'000));
        owner.onBegin = [&owner, done = false](member &, const std::string &tenant) mutable {
            if (tenant != "kara114" || std::exchange(done, true))
                return;
            owner.signalDaemon(relay, SIGSTOP);
            owner.runAfter(freeze, [&owner] { owner.signalDaemon(relay, SIGCONT); });
        };
    }
    if (!co_await caller.open(entry, "bounded", "key-two"))
        co_return;
    const std::string begin = "BEGIN";
    co_await caller.query(begin);
    const std::string text = "READ writer-3-1";
    co_await caller.query(text, leavesAfter);
    caller.close();
    owner.record("leaver", "has closed its connection");
    co_await owner.sleep(milliseconds(80));
    isReading = true;
    co_await owner.sleep(milliseconds(1'500));
    isReading = false;
    owner.onBegin = nullptr;
    for (std::size_t replica = 1; replica <= 2; ++replica)
        owner.at(replica).lag = milliseconds(60);
    owner.record("replicas", "apply 60 ms late");
    co_await owner.sleep(milliseconds(4'000));
}

/// Counts the reads that ran on a log without a commit that was acknowledged more than maxStaleness
/// before they were sent.
int countStaleReads(world &owner)
{
    std::map<std::string, std::size_t> indexes; // by id of a commit
    for (const log_entry &each : owner.at(owner.database.primary).log)
        indexes[each.id] = each.at.index;
    int stale = 0;
    for (const executed &run : owner.runs) {
        if (!run.text.starts_with("READ"))
            continue;
        const double sent = owner.sentAt.at(run.id);
        for (const acknowledged &commit : owner.acks) {
            if (commit.at >= sent - maxStaleness || !indexes.contains(commit.id)
                || indexes[commit.id] <= run.applied)
                continue;
            ++stale;
            char text[200];
            std::snprintf(text, sizeof text,
                          "%s, sent at %.3f, ran at %s on %zu entries without commit %s (entry "
                          "%zu), acknowledged %.3f s before",
                          run.id.c_str(), sent, run.member.c_str(), run.applied, commit.id.c_str(),
                          indexes[commit.id], sent - commit.at);
            owner.record("check", text);
            break;
        }
    }
    return stale;
}

task<> scenario(world &owner)
{
    owner.writeManifest(1);
    owner.startDaemons({ "alajuela", "heredia", "cartago" });
    if (!co_await owner.waitUntilReady(30))
        co_return;
    for (int number = 1; number <= writers; ++number)
        owner.spawn(writeUntilStopped(owner, 2, number, milliseconds(75 * number),
                                      milliseconds(600), isStopped));
    for (int number = 1; number <= readers; ++number)
        owner.spawn(readOn(owner, number));
    co_await owner.sleep(milliseconds(5'000));
    for (int i = 0; i < rounds; ++i)
        co_await playRound(owner);
    isStopped = true;
    co_await owner.sleep(milliseconds(2'000));
    const int stale = countStaleReads(owner);
    owner.record("check", std::to_string(stale) + " reads ran on a log that was too old");
    owner.exitCode = stale == 0 ? ruleHeld : ruleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(
            argc, argv, { "heredia", "alajuela", "cartago" }, {}, [](world &) {}, scenario, 90);
}
