/// @file
/// @brief Measures the cost and latency of propagating configurations and freshness proofs in
/// virtual time.
///
/// Every message is sealed and opened as between daemons. The CPU time includes the simulation
/// itself, so it is an upper bound.

#include <utility>

#include <fuchsiagw/testing/config_world.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

ABSL_FLAG(int, seconds, 60, "virtual seconds that are measured");
ABSL_FLAG(int, largest, 1600, "most instances");
ABSL_FLAG(int, loss, 0, "lost messages in percent");

namespace {

using namespace fuchsiagw;
using namespace std::chrono_literals;

constexpr std::size_t datagramOverhead = 28; ///< bytes of IPv4 and UDP headers
/// Smaller runs simulate one region with 4 zones; runs from this size simulate all 17 zones.
constexpr std::size_t multiRegionMinInstances = 400;
constexpr auto changeInterval = 5s;

struct measurements
{
    std::vector<double> bytes; ///< sent, by instance
    std::vector<double> messages;
    std::vector<double> delays; ///< seconds from the submission until in force everywhere
    double cpuSeconds = 0;
    double oldestProof = 0; ///< seconds
    std::size_t unproven = 0; ///< samples of instances whose proof has expired
    std::size_t samples = 0;
};

core::release_note makeNote(core::configuration_version base)
{
    core::release_note note{ "n" + std::to_string(base), base, {} };
    note.changes.changed[{ core::section_kind::Switch, "loans", "" }] =
            core::switch_section{ base % 2 == 1 };
    return note;
}

class spread_run
{
public:
    spread_run(std::size_t count, std::size_t zones)
        : world_({ count, zones, 1 })
        , receiver_(1, { { { 1, {} } }, 1 })
        , installedVersions_(count, 0)
    {
        measured_.bytes.resize(count);
        measured_.messages.resize(count);
        for (std::size_t i = 0; i < count; ++i)
            codecs_.emplace_back(i + 2, wire::peer_keys{ { { 1, {} } }, 1 });
        world_.faults.lossPercent = static_cast<unsigned>(absl::GetFlag(FLAGS_loss));
        world_.onMessage = [this](std::size_t from, const core::spread_message &message) {
            onMessage(from, message);
        };
        world_.onVersionInstalled = [this](std::size_t instance,
                                           core::configuration_version version) {
            installedVersions_[instance] = version;
            if (version == targetVersion_
                && std::count(installedVersions_.begin(), installedVersions_.end(), version)
                           == static_cast<std::ptrdiff_t>(installedVersions_.size()))
                measured_.delays.push_back(secondsOf(world_.now() - submittedAt_));
        };
    }

    measurements run()
    {
        const core::time_point warmUpAt = world_.now() + 10s;
        const core::time_point start = warmUpAt + 10s;
        const core::time_point end = start + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
        for (core::time_point time = warmUpAt; time < end; time += changeInterval) {
            world_.at(time, [this] {
                submittedAt_ = world_.now();
                world_.submit(makeNote(targetVersion_),
                              targetVersion_ * 7 % installedVersions_.size());
                ++targetVersion_;
            });
        }
        world_.runUntil(start);
        const std::size_t before = measured_.delays.size();
        measured_.delays.clear();
        isMeasuring_ = true;
        const std::clock_t clock = std::clock();
        while (world_.now() < end) {
            world_.runUntil(world_.now() + 100ms);
            sample();
        }
        measured_.cpuSeconds = static_cast<double>(std::clock() - clock) / CLOCKS_PER_SEC;
        if (before == 0)
            std::fputs("no change was in force everywhere before the measurement\n", stderr);
        return measured_;
    }

private:
    static double secondsOf(core::duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    void onMessage(std::size_t from, const core::spread_message &message)
    {
        const wire::digest_message<core::spread_message> body{
            { { "valle-central-0001" }, { "alajuela" }, "192.0.2.100:8082" }, message
        };
        std::string bytes;
        wire::opened_message opened;
        if (codecs_[from].seal(wire::peer_kind::Digest, 0, body, bytes)
            || receiver_.open(bytes, wire::peer_transport::Datagram, world_.now(), opened))
            std::abort();
        if (!isMeasuring_)
            return;
        measured_.bytes[from] += static_cast<double>(bytes.size() + datagramOverhead);
        measured_.messages[from] += 1;
    }

    void sample()
    {
        for (std::size_t i = 0; i < world_.size(); ++i) {
            const core::duration age = world_.proofAge(i);
            measured_.unproven += age >= core::defaultProofLifetime ? 1 : 0;
            ++measured_.samples;
            measured_.oldestProof = std::max(measured_.oldestProof, secondsOf(age));
        }
    }

    testing::config_world world_;
    wire::peer_codec receiver_;
    std::vector<wire::peer_codec> codecs_;
    std::vector<core::configuration_version> installedVersions_;
    core::configuration_version targetVersion_ = 0;
    core::time_point submittedAt_;
    bool isMeasuring_ = false;
    measurements measured_;
};

void printRow(std::size_t count, std::size_t zones, measurements result)
{
    const double seconds = absl::GetFlag(FLAGS_seconds);
    const auto instances = static_cast<double>(count);
    double all = 0;
    for (const double each : result.bytes)
        all += each;
    std::sort(result.delays.begin(), result.delays.end());
    const double most = *std::max_element(result.bytes.begin(), result.bytes.end());
    const double messages = *std::max_element(result.messages.begin(), result.messages.end());
    std::printf(
            "| %zu | %zu | %.0f | %.0f | %.1f | %.3f | %zu | %.3f | %.3f | %.2f | %zu of %zu |\n",
            count, zones, all / instances / seconds, most / seconds, messages / seconds,
            100 * result.cpuSeconds / instances / seconds, result.delays.size(),
            result.delays.empty() ? 0 : result.delays[result.delays.size() / 2],
            result.delays.empty() ? 0 : result.delays.back(), result.oldestProof, result.unproven,
            result.samples);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::puts("| instances | zones | bytes/s sent, mean | bytes/s sent, most | messages/s, most "
              "| % of a core per daemon | changes | in force everywhere, median s | slowest s "
              "| oldest proof s | unproven samples |\n|-|-|-|-|-|-|-|-|-|-|-|");
    for (int count = 50; count <= absl::GetFlag(FLAGS_largest); count *= 2) {
        const auto instances = static_cast<std::size_t>(count);
        const std::size_t zones = instances < multiRegionMinInstances ? 4 : 17;
        printRow(instances, zones, spread_run(instances, zones).run());
    }
    return 0;
}
