/// @file
/// @brief Measures wrongful refusals, fairness between workspaces and the cost of quota leases and
/// loans.
///
/// Prints Markdown tables for docs/limits.md. All scenarios run in virtual time with fixed seeds.

#include <fuchsiagw/core/fair_queue.hpp>
#include <fuchsiagw/testing/limits_world.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::uint64_t seeds = 5;
constexpr std::int64_t warmUpSeconds = 10;
constexpr std::int64_t measuredSeconds = 120;
constexpr double offeredLoad = 0.8; ///< relative to the rate of the workspace

enum class balancer { Even, Hotspot, SingleInstance };

/// Eight workspaces with unequal rates, as in production deployments.
limits_world_settings settingsOf(std::uint64_t seed, balancer kind)
{
    constexpr double rates[] = { 400, 400, 100, 100, 40, 20, 10, 5 };
    limits_world_settings settings;
    settings.seed = seed;
    settings.areSharesChecked = false;
    for (std::size_t i = 0; i < std::size(rates); ++i) {
        std::vector<double> weights;
        if (kind != balancer::Even) {
            weights.assign(settings.instances, kind == balancer::Hotspot ? 1 : 0);
            weights[i] = 8;
        }
        settings.workspaces.push_back({ std::string(1, static_cast<char>('a' + i)), rates[i],
                                        rates[i], offeredLoad * rates[i], weights });
    }
    return settings;
}

struct scenario
{
    const char *name;
    balancer kind;
    std::function<void(limits_world &)> injectFault; ///< called once after the warm-up
};

void repeat(limits_world &world, core::duration period, std::function<void()> action)
{
    after(world, period, [&world, period, action] {
        action();
        repeat(world, period, action);
    });
}

void measureRefusals()
{
    const std::vector<scenario> scenarios{
        { "even balancer", balancer::Even, [](limits_world &) {} },
        { "half of each workspace at one of nine", balancer::Hotspot, [](limits_world &) {} },
        { "each workspace at one of nine", balancer::SingleInstance, [](limits_world &) {} },
        { "even, a planned replacement every 10 s", balancer::Even,
          [](limits_world &world) {
              repeat(world, seconds(10), [&world] {
                  for (std::size_t i = 0; i < world.nodes.size(); ++i)
                      if (world.nodes[i].isAlive && !world.nodes[i].isLeaving)
                          return replaceNode(world, i);
              });
          } },
        { "even, a crash and restart every 30 s", balancer::Even,
          [](limits_world &world) {
              repeat(world, seconds(30), [&world] {
                  const std::size_t node = core::drawBelow(world.random, world.nodes.size());
                  killNode(world, node);
                  after(world, seconds(1), [&world, node] { startNode(world, node); });
              });
          } },
        { "even, platform down for 110 s", balancer::Even,
          [](limits_world &world) { stopPlatform(world, seconds(110)); } },
        { "half at one, platform down for 110 s", balancer::Hotspot,
          [](limits_world &world) { stopPlatform(world, seconds(110)); } },
    };
    std::printf("| scenario | arrived | refused wrongly | part | fixed division | above the exact "
                "bucket | bytes/s per daemon |\n|-|-|-|-|-|-|-|\n");
    for (const scenario &each : scenarios) {
        workspace_result sums[2];
        std::uint64_t grantViolations = 0;
        double bytes = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            for (const bool isFixed : { false, true }) {
                limits_world_settings settings = settingsOf(seed, each.kind);
                settings.isFixedDivision = isFixed;
                settings.areLoansOn = !isFixed;
                const auto world = makeWorld(settings);
                runFor(*world, seconds(warmUpSeconds));
                world->results.clear();
                std::uint64_t before = 0;
                for (const world_node &node : world->nodes)
                    before += node.bytesSent;
                each.injectFault(*world);
                runFor(*world, seconds(measuredSeconds));
                const workspace_result result = total(*world);
                sums[isFixed ? 1 : 0].arrived += result.arrived;
                sums[isFixed ? 1 : 0].wrongful += result.wrongful;
                if (isFixed)
                    continue;
                grantViolations += world->grantViolations;
                std::uint64_t sent = 0;
                for (const world_node &node : world->nodes)
                    sent += node.bytesSent;
                bytes += static_cast<double>(sent - std::min(before, sent))
                         / static_cast<double>(measuredSeconds)
                         / static_cast<double>(settings.instances);
            }
        const auto wrongfulPercent = [](const workspace_result &sum) {
            return 100.0 * static_cast<double>(sum.wrongful) / static_cast<double>(sum.arrived);
        };
        std::printf("| %s | %llu | %llu | %.3f %% | %.2f %% | %llu | %.0f |\n", each.name,
                    static_cast<unsigned long long>(sums[0].arrived),
                    static_cast<unsigned long long>(sums[0].wrongful), wrongfulPercent(sums[0]),
                    wrongfulPercent(sums[1]), static_cast<unsigned long long>(grantViolations),
                    bytes / static_cast<double>(seeds));
    }
}

void measureByWorkspace()
{
    std::printf("\n| workspace | rate and burst | even: refused wrongly | half at one |\n"
                "|-|-|-|-|\n");
    std::map<core::resource_id, workspace_result> sums[2];
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        for (const balancer kind : { balancer::Even, balancer::Hotspot }) {
            const auto world = makeWorld(settingsOf(seed, kind));
            runFor(*world, seconds(warmUpSeconds));
            world->results.clear();
            runFor(*world, seconds(measuredSeconds));
            for (const auto &[resource, result] : world->results) {
                workspace_result &sum = sums[kind == balancer::Even ? 0 : 1][resource];
                sum.arrived += result.arrived;
                sum.wrongful += result.wrongful;
            }
        }
    const limits_world_settings settings = settingsOf(1, balancer::Even);
    for (const world_workspace &each : settings.workspaces) {
        const core::resource_id resource{ core::resource_kind::Workspace, each.name };
        std::printf("| %s | %.0f |", each.name.c_str(), each.rate);
        for (auto &sum : sums)
            std::printf(" %.3f %% |", 100.0 * static_cast<double>(sum[resource].wrongful)
                                              / static_cast<double>(sum[resource].arrived));
        std::printf("\n");
    }
}

/// Measures the service of all workspaces while one of them sends five times its rate.
void measureExcess()
{
    std::printf(
            "\n| balancer | worst-served other workspace | the one that sends five times its rate "
            "|\n|-|-|-|\n");
    for (const balancer kind : { balancer::Even, balancer::Hotspot, balancer::SingleInstance }) {
        double worstShare = 1;
        double overloadedShare = 1;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            limits_world_settings settings = settingsOf(seed, kind);
            settings.workspaces[0].offered = 5 * settings.workspaces[0].rate;
            const auto world = makeWorld(settings);
            runFor(*world, seconds(warmUpSeconds));
            world->results.clear();
            runFor(*world, seconds(measuredSeconds));
            for (const auto &[resource, result] : world->results) {
                const double served = static_cast<double>(result.granted)
                                      / static_cast<double>(result.exactGranted);
                (resource.name == "a" ? overloadedShare : worstShare) =
                        std::min(resource.name == "a" ? overloadedShare : worstShare, served);
            }
        }
        std::printf("| %s | %.2f %% | %.2f %% |\n",
                    kind == balancer::Even      ? "even"
                    : kind == balancer::Hotspot ? "half at one"
                                                : "one",
                    100 * std::min(worstShare, 1.0), 100 * std::min(overloadedShare, 1.0));
    }
}

/// Result of a simulated queue in front of 16 connections with 4 ms per statement.
struct queue_result
{
    double worstShare = 1; ///< least served share of the statements of any other workspace
    double overloadedShare = 0;
};

queue_result runQueue(std::uint64_t seed, bool isFair)
{
    constexpr double capacity = 4'000; // statements per second
    constexpr std::size_t workspaces = 8;
    constexpr std::int64_t lengthMicros = 30'000'000;
    core::random_engine random(seed);
    const auto drawInterval = [&random](double rate) {
        const double unit = static_cast<double>(random() >> 11U) * 0x1.0p-53;
        return static_cast<std::int64_t>(-std::log1p(-unit) / rate * 1e6) + 1;
    };
    // Each workspace is entitled to one eighth of the capacity. Workspace 0 offers five times its
    // share, every other one 95 % of its share.
    double offered[workspaces];
    std::fill(std::begin(offered), std::end(offered), capacity / workspaces * 0.95);
    offered[0] = 5 * capacity / workspaces;
    core::fair_queue queue;
    queue.capacity = 512;
    std::deque<std::size_t> fifo;
    std::int64_t nextArrival[workspaces];
    std::uint64_t arrived[workspaces] = {};
    std::uint64_t served[workspaces] = {};
    for (std::size_t i = 0; i < workspaces; ++i)
        nextArrival[i] = drawInterval(offered[i]);
    std::int64_t nextService = 0;
    std::uint64_t handle = 0;
    while (true) {
        const auto *next = std::min_element(std::begin(nextArrival), std::end(nextArrival));
        const std::int64_t now = std::min(*next, nextService);
        if (now > lengthMicros)
            break;
        if (now == nextService) {
            nextService += drawInterval(capacity);
            if (isFair) {
                if (const auto statement = core::dequeue(queue))
                    ++served[std::stoul(statement->workspace.value)];
            } else if (!fifo.empty()) {
                ++served[fifo.front()];
                fifo.pop_front();
            }
            continue;
        }
        const auto workspace = static_cast<std::size_t>(next - std::begin(nextArrival));
        nextArrival[workspace] += drawInterval(offered[workspace]);
        ++arrived[workspace];
        if (isFair)
            core::enqueue(queue,
                          { ++handle, core::workspace_id{ std::to_string(workspace) },
                            core::drawBelow(random, 20), false, core::noDeadline },
                          1);
        else if (fifo.size() < queue.capacity)
            fifo.push_back(workspace);
    }
    queue_result result;
    for (std::size_t i = 1; i < workspaces; ++i)
        result.worstShare = std::min(result.worstShare, static_cast<double>(served[i])
                                                                / static_cast<double>(arrived[i]));
    result.overloadedShare = static_cast<double>(served[0]) / static_cast<double>(arrived[0]);
    return result;
}

void measureQueue()
{
    std::printf(
            "\n| queue in front of the connections | worst-served other workspace | the one that "
            "sends five times its part |\n|-|-|-|\n");
    for (const bool isFair : { false, true }) {
        queue_result all;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const queue_result one = runQueue(seed, isFair);
            all.worstShare = std::min(all.worstShare, one.worstShare);
            all.overloadedShare += one.overloadedShare / static_cast<double>(seeds);
        }
        std::printf("| %s | %.2f %% | %.2f %% |\n", isFair ? "fair_queue" : "one FIFO",
                    100 * all.worstShare, 100 * all.overloadedShare);
    }
}

/// Measures the cost of leases and loans by number of instances, including the simulation itself.
void measureSlopes()
{
    std::printf(
            "\n| instances | bytes/s per daemon, mean | most | CPU per daemon | memory per daemon "
            "| refused wrongly |\n|-|-|-|-|-|-|\n");
    constexpr std::int64_t length = 10;
    for (const std::size_t instances : { 50, 100, 200, 400, 800 }) {
        limits_world_settings settings;
        settings.instances = instances;
        settings.zones = 17;
        settings.areSharesChecked = false;
        // Two workspaces per five instances. The statements of each arrive at up to 12 instances:
        // one owner for each of three groups in four zones.
        core::random_engine random(instances);
        for (std::size_t i = 0; i < instances * 2 / 5; ++i) {
            const double rate = i % 10 == 0 ? 200 : i % 3 == 0 ? 40 : 10;
            std::vector<double> weights(instances, 0);
            for (int k = 0; k < 12; ++k)
                weights[core::drawBelow(random, instances)] = 1;
            settings.workspaces.push_back(
                    { "w" + std::to_string(i), rate, rate, offeredLoad * rate, weights });
        }
        rusage before{};
        getrusage(RUSAGE_SELF, &before);
        const auto world = makeWorld(settings);
        // Long enough to consume the initial burst of the control traffic budget.
        runFor(*world, seconds(25));
        world->results.clear();
        std::vector<std::uint64_t> sent;
        for (const world_node &node : world->nodes)
            sent.push_back(node.bytesSent);
        const std::clock_t start = std::clock();
        runFor(*world, seconds(length));
        const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        double sum = 0;
        double most = 0;
        for (std::size_t i = 0; i < instances; ++i) {
            const double rate = static_cast<double>(world->nodes[i].bytesSent - sent[i]) / length;
            sum += rate;
            most = std::max(most, rate);
        }
        const workspace_result result = total(*world);
        const auto count = static_cast<double>(instances);
        std::printf("| %zu | %.0f | %.0f | %.3f %% | %.2f MB | %.2f %% |\n", instances, sum / count,
                    most, 100 * cpu / count / length,
                    static_cast<double>(usage.ru_maxrss - before.ru_maxrss) / 1024 / count,
                    100.0 * static_cast<double>(result.wrongful)
                            / static_cast<double>(result.arrived));
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1)
        seeds = std::stoul(argv[1]);
    measureRefusals();
    measureByWorkspace();
    measureExcess();
    measureQueue();
    measureSlopes();
    return 0;
}
