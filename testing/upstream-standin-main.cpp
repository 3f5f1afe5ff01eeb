/// @file
/// @brief upstream-standin: runs the stand-in for one database group on loopback ports.

#include <utility>

#include <fuchsiagw/testing/group_standin.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(std::string, group, "group",
          "name of the group; its members are <group>-1, <group>-2...");
ABSL_FLAG(std::uint32_t, members, 3, "number of members");
ABSL_FLAG(std::vector<std::string>, ports, {}, "port of each member; missing or 0: any free port");
ABSL_FLAG(std::uint16_t, fault_port, 0, "port for faults, history and counters; 0: any free port");
ABSL_FLAG(std::vector<std::string>, zones, {}, "availability zone of each member");
ABSL_FLAG(std::uint32_t, slots, 2, "statements that a member executes concurrently");
ABSL_FLAG(std::uint32_t, connections, 16, "limit on the data connections to all members together");
ABSL_FLAG(double, execute_ms, 1, "execution time of a statement");
ABSL_FLAG(double, lag_ms, 5, "mean replication lag");
ABSL_FLAG(double, apply_ms, 0, "additional time until reads of a replica see copied entries");
ABSL_FLAG(double, connect_ms, 0, "delay of the first statement of a connection");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random replication lag");
ABSL_FLAG(std::uint32_t, history, 100'000, "limit on the statements in the history");

namespace {

using namespace fuchsiagw;

core::duration milliseconds(double value)
{
    return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double, std::milli>(value));
}

/// @return false if a flag is invalid
bool readSettings(testing::group_standin_settings &settings)
{
    settings.group = { absl::GetFlag(FLAGS_group) };
    settings.members = absl::GetFlag(FLAGS_members);
    for (const std::string &port : absl::GetFlag(FLAGS_ports)) {
        std::uint16_t number = 0;
        if (std::string error; !absl::ParseFlag(port, &number, &error))
            return false;
        settings.ports.push_back(number);
    }
    for (const std::string &zone : absl::GetFlag(FLAGS_zones))
        settings.zones.push_back({ zone });
    settings.faultPort = absl::GetFlag(FLAGS_fault_port);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.connections = absl::GetFlag(FLAGS_connections);
    settings.execute = milliseconds(absl::GetFlag(FLAGS_execute_ms));
    settings.lag = milliseconds(absl::GetFlag(FLAGS_lag_ms));
    settings.applyLag = milliseconds(absl::GetFlag(FLAGS_apply_ms));
    settings.connect = milliseconds(absl::GetFlag(FLAGS_connect_ms));
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.historyLimit = absl::GetFlag(FLAGS_history);
    const auto fitsMembers = [&settings](std::size_t count) {
        return count == 0 || count == settings.members;
    };
    return !settings.group.empty() && settings.members >= 1 && settings.slots >= 1
           && fitsMembers(settings.ports.size()) && fitsMembers(settings.zones.size());
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs a stand-in for one database group on loopback ports.");
    absl::ParseCommandLine(argc, argv);
    testing::group_standin_settings settings;
    if (!readSettings(settings)) {
        std::fputs("upstream-standin: invalid flag; --ports and --zones need one value for each "
                   "member\n",
                   stderr);
        return 2;
    }
    boost::asio::io_context context(1);
    // Declared before the stand-in, so that a second signal during its destruction is ignored and
    // does not kill the process.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    testing::group_standin group(context, settings);
    if (const auto error = group.start()) {
        std::fprintf(stderr, "upstream-standin: can't bind a port: %s\n", error.message().c_str());
        return 1;
    }
    std::string line = "ready fault=" + net::toString(group.faultAddress());
    for (const auto &each : group.describe().members)
        line += " " + each.status.member.value + "=" + each.address;
    std::puts(line.c_str());
    std::fflush(stdout);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
