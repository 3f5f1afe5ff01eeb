/// @file
/// @brief Compares the three acknowledgement policies on the same seeds in virtual time.
///
/// Prints a Markdown table: the delay that a policy adds to a write, the gap after the loss of the
/// primary, and the acknowledged writes that the promotion loses.

#include <fuchsiagw/testing/fake_group.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, runs, 100, "runs for each line of the table, seeds follow each other");

using namespace fuchsiagw;
using namespace std::chrono_literals;
using core::acknowledgement_policy;
using core::duration;

namespace {

constexpr duration lossTime = 30s;
constexpr duration oldPrimaryReturnsAfter = 10s;
constexpr duration runLasts = 70s;

struct policy_result
{
    std::vector<duration> writeDelays;
    std::vector<duration> gaps;
    std::uint64_t lost = 0;
    std::uint64_t runsWithLoss = 0;
    std::uint64_t neverResumed = 0;
};

void runOnce(acknowledgement_policy policy, duration lag, std::uint64_t seed, policy_result &result)
{
    testing::fake_settings settings;
    settings.seed = seed;
    settings.policy = policy;
    settings.replicaLag = lag;
    settings.delay = seed % 2 == 0 ? 3ms : 4ms;
    settings.writeInterval = 50ms;
    settings.writeDeadline = 20s;
    testing::fake_group group(settings);
    // The moment of the loss is spread over the owners' ticks.
    group.at(lossTime + duration(static_cast<std::int64_t>(seed * 997 % 100000)), [&group] {
        const std::size_t old = group.primary();
        group.markPrimaryLoss();
        group.stop(old, false);
        group.at(group.now().time_since_epoch() + oldPrimaryReturnsAfter,
                 [&group, old] { group.start(old); });
    });
    group.runUntil(runLasts);
    const testing::fake_findings findings = group.finish();
    result.writeDelays.insert(result.writeDelays.end(), findings.writeDelays.begin(),
                              findings.writeDelays.end());
    if (findings.failoverGap == duration::zero())
        result.neverResumed += 1;
    else
        result.gaps.push_back(findings.failoverGap);
    result.lost += findings.lost;
    result.runsWithLoss += findings.lost > 0 ? 1 : 0;
}

std::string atShare(std::vector<duration> &values, double share)
{
    if (values.empty())
        return "-";
    std::sort(values.begin(), values.end());
    const auto index =
            std::min(values.size() - 1,
                     static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f",
                  static_cast<double>(values[index].count()) / 1000);
    return text.data();
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t first = absl::GetFlag(FLAGS_seed);
    const std::uint64_t runs = absl::GetFlag(FLAGS_runs);
    std::printf("Seeds %llu to %llu, times in ms.\n\n", static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(first + runs - 1));
    std::printf("| policy | replicas behind | added write delay p50 | p99 | gap p50 | p99 | worst "
                "| lost acknowledged writes | runs with loss |\n"
                "|--------|----:|----:|----:|----:|----:|----:|----:|----:|\n");
    for (const auto policy : { acknowledgement_policy::Majority, acknowledgement_policy::Lease,
                               acknowledgement_policy::KnownPosition }) {
        for (const duration lag : { duration(0), duration(50ms), duration(500ms), duration(5s) }) {
            policy_result result;
            for (std::uint64_t i = 0; i < runs; ++i)
                runOnce(policy, lag, first + i, result);
            std::printf("| `%s` | %lld | %s | %s | %s | %s | %s | %llu | %llu |\n",
                        std::string(toString(policy)).c_str(),
                        static_cast<long long>(lag.count() / 1000),
                        atShare(result.writeDelays, 0.5).c_str(),
                        atShare(result.writeDelays, 0.99).c_str(),
                        atShare(result.gaps, 0.5).c_str(), atShare(result.gaps, 0.99).c_str(),
                        atShare(result.gaps, 1).c_str(),
                        static_cast<unsigned long long>(result.lost),
                        static_cast<unsigned long long>(result.runsWithLoss));
            if (result.neverResumed > 0)
                std::printf("| | | | | | | %llu runs without any write after the loss | | |\n",
                            static_cast<unsigned long long>(result.neverResumed));
        }
    }
    return 0;
}
