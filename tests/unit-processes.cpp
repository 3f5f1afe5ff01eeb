/// @file
/// @brief Tests with daemon processes and with stand-ins for members and platform on loopback.

#include <utility>

#include <fuchsiagw/testing/process_harness.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::testing;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> zoneNames{ "alajuela", "heredia", "cartago", "san-jose" };

deployment_plan smallDeploymentPlan()
{
    deployment_plan plan;
    plan.zones = zoneNames;
    plan.daemons = 4;
    plan.groups = 1;
    return plan;
}

/// @brief Repeats a write until it succeeds.
/// @return the time until then
std::chrono::milliseconds timeUntilWriteSucceeds(const deployment &cluster, std::size_t daemon)
{
    const auto start = std::chrono::steady_clock::now();
    const bool done = deployment::waitFor(
            [&] { return cluster.write(daemon, "g1", "set gap $1", "x").status == 200; }, 15s);
    CHECK_TRUE(done);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start);
}

} // namespace

TEST_GROUP(processes){};

// Guards against a session that misses its own write after it has moved to another instance, a
// workspace key or session token that reaches a member, and replicas that serve no reads.
TEST(processes, sessionsReadTheirWritesOnEveryInstance)
{
    deployment_plan plan;
    plan.zones = zoneNames;
    deployment cluster(plan);
    std::string session;
    int fromReplicas = 0;
    constexpr int rounds = 60;
    for (int i = 0; i < rounds; ++i) {
        const std::string group = "g" + std::to_string(i % 3 + 1);
        const auto written = cluster.write(static_cast<std::size_t>(i) % 9, group, "set k $1",
                                           std::to_string(i), session);
        CHECK_EQUAL(200, written.status);
        session = written.session;
        const auto read = cluster.read(static_cast<std::size_t>(i * 5 + 2) % 9, group, "get k",
                                       true, session);
        CHECK_EQUAL(200, read.status);
        CHECK_EQUAL(std::to_string(i), read.value);
        fromReplicas += read.fromReplica ? 1 : 0;
    }
    CHECK_TRUE(fromReplicas > 0);
    for (const char *group : { "g1", "g2", "g3" }) {
        const std::string history = cluster.historyOf(group);
        CHECK_TRUE(history.find("demo") != std::string::npos);
        CHECK_TRUE(history.find(cluster.key) == std::string::npos);
        CHECK_TRUE(history.find(session) == std::string::npos);
    }
}

// Guards against lost acknowledged writes and an interruption of writes of 5 s or more when a
// primary stops, and against an old primary that remains primary after its restart.
TEST(processes, acknowledgedWritesSurviveTheLossOfThePrimary)
{
    const deployment cluster(smallDeploymentPlan());
    std::vector<std::string> acknowledged;
    for (int i = 0; i < 20; ++i) {
        if (cluster.write(static_cast<std::size_t>(i) % 4, "g1",
                          "set a" + std::to_string(i) + " $1", "v")
                    .status
            == 200)
            acknowledged.push_back("a" + std::to_string(i));
    }
    CHECK_TRUE(acknowledged.size() >= 19);
    const std::string old = cluster.primaryOf("g1");
    cluster.fault("g1", R"({"member":")" + old + R"(","kind":"stop","on":true})");
    const auto unavailability = timeUntilWriteSucceeds(cluster, 1);
    CHECK_TRUE(unavailability < 5s);
    for (const std::string &each : acknowledged)
        CHECK_EQUAL(std::string("v"), cluster.read(2, "g1", "get " + each, false).value);
    cluster.fault("g1", R"({"member":")" + old + R"(","kind":"stop","on":false})");
    CHECK_TRUE(deployment::waitFor([&] { return cluster.primaryOf("g1") != old; }, 10s));
    for (const std::string &each : acknowledged)
        CHECK_EQUAL(std::string("v"), cluster.read(3, "g1", "get " + each, false).value);
}

// Guards against a daemon crash that interrupts the service of the other daemons, and against a
// transaction of the crashed daemon whose statements are committed or reported as committed.
TEST(processes, daemonCrashRollsBackItsTransactions)
{
    deployment cluster(smallDeploymentPlan());
    const auto begun = cluster.call(0, "/v1/transactions", R"({"group":"g1"})");
    CHECK_EQUAL(200, begun.status);
    const std::string path = "/v1/transactions/" + begun.transaction;
    CHECK_EQUAL(200,
                cluster.call(1, path + "/statements", R"({"kind":"write","statement":"set t 1"})")
                        .status);
    cluster.daemons[0].signal(SIGKILL);
    cluster.daemons[0].wait(5s);
    // Until the crash is detected, the answer may be that the transaction's owner can't be reached;
    // it must never be a success.
    call_result commit;
    const bool isLost = deployment::waitFor(
            [&] {
                commit = cluster.call(1, path + "/commit", "");
                return commit.status == 200 || commit.outcome != "not_run";
            },
            15s);
    CHECK_TRUE(isLost);
    CHECK_TRUE(commit.status != 200);
    CHECK_TRUE(commit.outcome == "rolled_back" || commit.outcome == "unknown");
    CHECK_TRUE(deployment::waitFor(
            [&] { return cluster.read(2, "g1", "get t", false).status == 200; }, 15s));
    CHECK_EQUAL(std::string(), cluster.read(2, "g1", "get t", false).value);
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 1) < 15s);
}

// Guards against a planned stop that interrupts accepted requests.
TEST(processes, plannedStopAnswersEveryAcceptedRequest)
{
    deployment cluster(smallDeploymentPlan());
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 0) < 15s);
    std::atomic<int> answered{ 0 };
    std::atomic<int> interrupted{ 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&cluster, &answered, &interrupted, i] {
            const auto result = cluster.write(0, "g1", "set s" + std::to_string(i) + " $1", "v");
            (result.status == 200 ? answered : interrupted) += 1;
        });
    }
    // A request is accepted once the daemon has read it. After this pause the requests are accepted
    // and wait for their confirmation.
    std::this_thread::sleep_for(5ms);
    cluster.daemons[0].signal(SIGTERM);
    for (std::thread &each : callers)
        each.join();
    const int code = cluster.daemons[0].wait(40s);
    CHECK_EQUAL(0, code);
    CHECK_EQUAL(8, answered + interrupted);
    CHECK_EQUAL(200, cluster.write(1, "g1", "set after $1", "v").status);
}

// Guards against a daemon that uses outdated state after it was suspended and resumed.
TEST(processes, suspendedDaemonServesAgainAfterItIsResumed)
{
    deployment cluster(smallDeploymentPlan());
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 0) < 15s);
    cluster.daemons[0].signal(SIGSTOP);
    CHECK_EQUAL(200, cluster.write(1, "g1", "set f $1", "other").status);
    std::this_thread::sleep_for(
            2s); // longer than the failure detection timeout, so that the other daemons take over
    cluster.daemons[0].signal(SIGCONT);
    CHECK_TRUE(deployment::waitFor(
            [&] { return cluster.read(0, "g1", "get f", false).value == "other"; }, 20s));
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 0) < 15s);
}

// Guards against statements that are refused because of a platform outage.
TEST(processes, platformOutageStopsNoStatement)
{
    const deployment cluster(smallDeploymentPlan());
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 0) < 15s);
    std::this_thread::sleep_for(3s); // until home shares and witnesses are recorded
    cluster.platformFault(R"({"kind":"down","on":true})");
    int refused = 0;
    const auto outageEnd = std::chrono::steady_clock::now()
                           + 12s; // longer than any freshness proof or lease remains valid
    for (int i = 0; std::chrono::steady_clock::now() < outageEnd; ++i) {
        const auto result =
                cluster.write(static_cast<std::size_t>(i) % 4, "g1", "set p $1", std::to_string(i));
        refused += result.status == 200 ? 0 : 1;
        if (result.status != 200)
            std::printf("refused by i%d: %d %s\n", i % 4 + 1, result.status, result.error.c_str());
    }
    CHECK_EQUAL(0, refused);
    cluster.platformFault(R"({"kind":"down","on":false})");
}

// Guards against waiting forever on connections that no longer answer although new connections
// work.
TEST(processes, silentConnectionsAreReplaced)
{
    const deployment cluster(smallDeploymentPlan());
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 0) < 15s);
    const std::string primary = cluster.primaryOf("g1");
    cluster.fault("g1", R"({"member":")" + primary + R"(","kind":"silent","on":true})");
    const auto read = cluster.read(0, "g1", "get gap", false);
    CHECK_EQUAL(200, read.status);
    CHECK_EQUAL(std::string("x"), read.value);
    CHECK_TRUE(timeUntilWriteSucceeds(cluster, 0) < 15s);
}
