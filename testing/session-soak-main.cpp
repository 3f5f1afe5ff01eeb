/// @file
/// @brief session-soak: runs the fault soak with the given seeds and prints its findings.

#include <platform/standin/soak.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <filesystem>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, runs, 1, "number of runs; each uses the next seed");
ABSL_FLAG(int, seconds, 15, "duration of fault injection in each run");
ABSL_FLAG(std::uint32_t, daemons, 4, "number of daemon processes");
ABSL_FLAG(std::uint32_t, groups, 2, "number of database groups, each of three members");
ABSL_FLAG(std::uint32_t, callers, 16, "number of callers, each with a session");
ABSL_FLAG(std::string, profile, "everything", "fault profile: calm, planned or everything");
ABSL_FLAG(std::uint32_t, stutter, 0,
          "percentage of the members' replies that is sent a second time, in any profile");
ABSL_FLAG(bool, late_orders, false,
          "three of four faults are late promotion orders and primaries cut off from most "
          "daemons");
ABSL_FLAG(bool, plain_texts, false, "callers send letters and digits only");
ABSL_FLAG(std::string, daemon, "", "path of the daemon program; default: the one of this build");
ABSL_FLAG(bool, keep_logs, false, "keep settings and logs of runs without findings as well");
ABSL_FLAG(std::string, folder, "", "directory for settings and logs; default: a directory in /tmp");

int main(int argc, char **argv)
{
    using namespace fuchsiagw::testing;
    absl::SetProgramUsageMessage("session-soak [flags]: runs daemons under random faults");
    absl::ParseCommandLine(argc, argv);
    soak_options options;
    options.duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    options.daemons = absl::GetFlag(FLAGS_daemons);
    options.groups = absl::GetFlag(FLAGS_groups);
    options.daemonProgram = absl::GetFlag(FLAGS_daemon);
    options.callers = absl::GetFlag(FLAGS_callers);
    options.stutterPercent = absl::GetFlag(FLAGS_stutter);
    options.lateOrders = absl::GetFlag(FLAGS_late_orders);
    options.texts = absl::GetFlag(FLAGS_plain_texts) ? text_profile::Plain : text_profile::AllBytes;
    const std::string profile = absl::GetFlag(FLAGS_profile);
    std::size_t profileIndex = 0;
    while (profileIndex < soakProfileNames.size() && soakProfileNames.at(profileIndex) != profile)
        ++profileIndex;
    constexpr std::size_t maxDaemons = 250; // each has its own address in one network
    if (profileIndex == soakProfileNames.size() || options.daemons < 2 || options.groups < 1
        || options.daemons > maxDaemons) {
        std::fprintf(
                stderr,
                "session-soak: unknown profile, number of daemons not in 2 to 250, or no group\n");
        return 2;
    }
    options.profile = static_cast<soak_profile>(profileIndex);
    std::string folder = absl::GetFlag(FLAGS_folder);
    if (folder.empty())
        folder = (std::filesystem::temp_directory_path() / "fuchsiagw-soak").string();
    std::uint64_t failedRuns = 0;
    for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
        options.seed = absl::GetFlag(FLAGS_seed) + i;
        options.folder = folder + "/seed-" + std::to_string(options.seed);
        std::filesystem::remove_all(options.folder);
        const soak_result result = runSoak(options);
        std::printf("seed %llu: %zu findings, %llu served, %llu failed, %llu promotions ordered",
                    static_cast<unsigned long long>(options.seed), result.findings.size(),
                    static_cast<unsigned long long>(result.served),
                    static_cast<unsigned long long>(result.failed),
                    static_cast<unsigned long long>(result.promotions));
        for (const auto &[name, count] : result.outcomes)
            std::printf("; %s %llu", name.c_str(), static_cast<unsigned long long>(count));
        std::printf("\n  inputs:");
        for (const auto &[name, count] : result.inputs)
            std::printf(" %s %llu;", name.c_str(), static_cast<unsigned long long>(count));
        std::printf("\n  faults:");
        for (const auto &[name, count] : result.faults)
            std::printf(" %s %llu", name.c_str(), static_cast<unsigned long long>(count));
        std::printf("\n");
        for (const soak_finding &each : result.findings)
            std::printf("  %s: %s\n", std::string(toString(each.guarantee)).c_str(),
                        each.text.c_str());
        std::fflush(stdout);
        failedRuns += result.findings.empty() ? 0 : 1;
        if (result.findings.empty() && !absl::GetFlag(FLAGS_keep_logs))
            std::filesystem::remove_all(options.folder);
    }
    std::printf("%llu of %llu runs with findings; their logs stay in %s\n",
                static_cast<unsigned long long>(failedRuns),
                static_cast<unsigned long long>(absl::GetFlag(FLAGS_runs)), folder.c_str());
    return failedRuns == 0 ? 0 : 1;
}
