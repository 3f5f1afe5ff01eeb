/// @file
/// @brief platform-standin: runs the platform stand-in on loopback ports.

#include <utility>

#include <fuchsiagw/testing/platform_standin.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>

ABSL_FLAG(std::uint16_t, port, 0, "port of the platform; 0: any free port");
ABSL_FLAG(std::uint16_t, fault_port, 0, "port for faults and counters; 0: any free port");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs a stand-in for the platform on loopback ports.");
    absl::ParseCommandLine(argc, argv);
    using namespace fuchsiagw;
    boost::asio::io_context context(1);
    // Declared before the stand-in, so that a second signal during its destruction is ignored and
    // does not kill the process.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    testing::platform_standin platform(context, absl::GetFlag(FLAGS_port),
                                       absl::GetFlag(FLAGS_fault_port));
    if (const auto error = platform.start()) {
        std::fprintf(stderr, "platform-standin: can't bind a port: %s\n", error.message().c_str());
        return 1;
    }
    std::printf("ready fault=%s platform=%s\n", net::toString(platform.faultAddress()).c_str(),
                net::toString(platform.address()).c_str());
    std::fflush(stdout);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}
