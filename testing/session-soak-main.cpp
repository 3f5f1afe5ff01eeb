/// @file
/// @brief session-soak: runs the fault soak with seeds of choice and prints what it found.

#include <platform/standin/soak.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <filesystem>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, runs, 1, "runs, each with the next seed");
ABSL_FLAG(int, seconds, 15, "time with faults of each run");
ABSL_FLAG(std::uint32_t, daemons, 4, "real daemons");
ABSL_FLAG(std::uint32_t, groups, 2, "database groups of three members");
ABSL_FLAG(std::uint32_t, callers, 16, "callers with a session each");
ABSL_FLAG(std::string, profile, "everything", "calm, planned or everything");
ABSL_FLAG(std::string, daemon, "", "program of the daemons; default: the one of this build");
ABSL_FLAG(bool, keep_logs, false, "keep settings and logs of runs without findings too");
ABSL_FLAG(std::string, folder, "", "where settings and logs stay; default: a folder in /tmp");

int main(int argc, char **argv)
{
    using namespace fuchsiagw::testing;
    absl::SetProgramUsageMessage("session-soak [flags]: real daemons under random faults");
    absl::ParseCommandLine(argc, argv);
    soak_options options;
    options.duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    options.daemons = absl::GetFlag(FLAGS_daemons);
    options.groups = absl::GetFlag(FLAGS_groups);
    options.daemonProgram = absl::GetFlag(FLAGS_daemon);
    options.callers = absl::GetFlag(FLAGS_callers);
    const std::string profile = absl::GetFlag(FLAGS_profile);
    std::size_t known = 0;
    while (known < soakProfileNames.size() && soakProfileNames.at(known) != profile)
        ++known;
    constexpr std::size_t mostDaemons = 250; // each has an address of one network
    if (known == soakProfileNames.size() || options.daemons < 2 || options.groups < 1
        || options.daemons > mostDaemons) {
        std::fprintf(stderr,
                     "session-soak: unknown profile, or not 2 to 250 daemons, or no group\n");
        return 2;
    }
    options.profile = static_cast<soak_profile>(known);
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
        std::printf("\n  faults:");
        for (const auto &[name, count] : result.faults)
            std::printf(" %s %llu", name.c_str(), static_cast<unsigned long long>(count));
        std::printf("\n");
        for (const soak_finding &each : result.findings)
            std::printf("  %s: %s\n", std::string(toString(each.promise)).c_str(),
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
