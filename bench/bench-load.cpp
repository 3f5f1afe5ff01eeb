/// @file
/// @brief Sends statements at a fixed rate over many open connections and reports the latencies.
///
/// With --direct the target is a member and its protocol is used; otherwise the target is a daemon
/// with the callers' protocol. Running both shows the overhead of the proxy. The run ends after
/// --seconds.

#include <utility>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/net/http_connection.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(std::string, target, "127.0.0.1:8080",
          "address of a daemon, or of a member with --direct");
ABSL_FLAG(bool, direct, false, "speak the members' protocol");
ABSL_FLAG(std::string, key, "fgw_demo", "key of the workspace");
ABSL_FLAG(std::string, workspace, "demo", "workspace, only with --direct");
ABSL_FLAG(std::string, group, "g1", "group of the statements");
ABSL_FLAG(std::string, read_class, "lookup", "read class of reads; empty: reads go to the primary");
ABSL_FLAG(std::uint32_t, connections, 100, "open connections");
ABSL_FLAG(std::uint32_t, rate, 1000, "statements per second over all connections");
ABSL_FLAG(std::uint32_t, seconds, 10, "length of the run, 1 to 300");
ABSL_FLAG(std::uint32_t, writes, 10, "share of writes, percent");
ABSL_FLAG(std::uint32_t, term, 1, "term of the group, only with --direct");
ABSL_FLAG(std::uint32_t, pid, 0, "process whose processor time and memory are reported; 0: none");

namespace {

using namespace fuchsiagw;
using connection = std::shared_ptr<net::http_connection>;

constexpr core::duration answerTimeout = std::chrono::seconds(10);

struct load_run
{
    boost::asio::io_context context{ 1 };
    std::deque<connection> idle;
    std::vector<double> delays; ///< milliseconds
    std::map<int, std::uint64_t> statuses;
    std::uint64_t sent = 0;
    std::uint64_t unsentWithoutConnection = 0; ///< no connection was idle
    std::uint64_t failed = 0;
    std::uint64_t fromReplica = 0;
    std::uint64_t reads = 0;
};

std::string statementBody(bool isWrite, std::uint64_t number)
{
    const std::string group = absl::GetFlag(FLAGS_group);
    const std::string text = isWrite ? "set k" + std::to_string(number % 1000) + " $1"
                                     : "get k" + std::to_string(number % 1000);
    const std::string kind = isWrite ? "write" : "read";
    const std::string parameters = isWrite ? R"(["v"])" : "[]";
    if (absl::GetFlag(FLAGS_direct)) {
        char id[33];
        std::snprintf(id, sizeof id, "%032llx", static_cast<unsigned long long>(number + 1));
        return R"({"request_id":")" + std::string(id) + R"(","workspace":")"
               + absl::GetFlag(FLAGS_workspace) + R"(","term":)"
               + std::to_string(absl::GetFlag(FLAGS_term)) + R"(,"kind":")" + kind
               + R"(","statement":")" + text + R"(","parameters":)" + parameters
               + R"(,"idempotency_key":""})";
    }
    const std::string readClass = absl::GetFlag(FLAGS_read_class);
    const std::string classField =
            isWrite || readClass.empty() ? std::string() : R"(,"read_class":")" + readClass + '"';
    return R"({"group":")" + group + R"(","kind":")" + kind + R"(","statement":")" + text
           + R"(","parameters":)" + parameters + classField + "}";
}

net::http_request makeRequest(bool isWrite, std::uint64_t number)
{
    net::http_request request{ "POST",
                               "/execute",
                               { { "Content-Type", "application/json" } },
                               statementBody(isWrite, number) };
    if (!absl::GetFlag(FLAGS_direct)) {
        request.target = "/v1/statements";
        request.headers.emplace_back("Authorization", "Bearer " + absl::GetFlag(FLAGS_key));
    }
    return request;
}

void sendOne(load_run &run, core::time_point due)
{
    const std::uint64_t number = run.sent++;
    const bool isWrite = number % 100 < absl::GetFlag(FLAGS_writes);
    run.reads += isWrite ? 0 : 1;
    if (run.idle.empty()) {
        ++run.unsentWithoutConnection;
        return;
    }
    const connection used = run.idle.front();
    run.idle.pop_front();
    used->exchange(makeRequest(isWrite, number), net::currentTime() + answerTimeout,
                   [&run, used, due](net::http_exchange &&result) {
                       if (result.error) {
                           ++run.failed;
                           return;
                       }
                       ++run.statuses[result.response.status];
                       run.fromReplica += result.response.body.find("\"from_replica\":true")
                                                          != std::string::npos
                                                  ? 1
                                                  : 0;
                       const auto took = net::currentTime() - due;
                       run.delays.push_back(static_cast<double>(took.count()) / 1000);
                       if (used->isOpen())
                           run.idle.push_back(used);
                   });
}

/// Opens all connections, at most 100 at a time so that the listen backlog does not overflow.
bool openAll(load_run &run, const net::endpoint &target)
{
    const std::uint32_t wanted = absl::GetFlag(FLAGS_connections);
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
    std::function<void()> openNext = [&] {
        if (started == wanted)
            return;
        ++started;
        const connection opened = net::http_connection::create(run.context, target);
        opened->connect(net::currentTime() + answerTimeout, [&, opened](std::error_code error) {
            ++finished;
            if (!error)
                run.idle.push_back(opened);
            openNext();
        });
    };
    for (int i = 0; i < 100; ++i)
        openNext();
    while (finished < wanted)
        run.context.run_one();
    return run.idle.size() == wanted;
}

double quantile(const std::vector<double> &sorted, double q)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

struct usage
{
    double cpuSeconds = 0;
    double megabytes = 0;
};

usage readProcessUsage(std::uint32_t pid)
{
    usage result;
    if (pid == 0)
        return result;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    for (int i = 1; i <= 15 && stat >> word; ++i) {
        if (i == 14 || i == 15)
            result.cpuSeconds += std::stod(word) / 100; // clock ticks of 10 ms
    }
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> result.megabytes;
            result.megabytes /= 1024;
        }
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("sends statements at a fixed rate and reports the delays");
    absl::ParseCommandLine(argc, argv);
    net::endpoint target;
    const std::uint32_t seconds = absl::GetFlag(FLAGS_seconds);
    if (net::parseEndpoint(absl::GetFlag(FLAGS_target), target) || !target.address.is_loopback()
        || seconds < 1 || seconds > 300) {
        std::cerr << "bench-load: --target must be a loopback address, --seconds from 1 to 300\n";
        return 2;
    }
    load_run run;
    if (!openAll(run, target)) {
        std::cerr << "bench-load: only " << run.idle.size() << " connections could be opened\n";
        return 1;
    }
    const std::uint32_t rate = absl::GetFlag(FLAGS_rate);
    const std::uint64_t total = std::uint64_t{ rate } * seconds;
    const core::time_point startedAt = net::currentTime();
    const usage before = readProcessUsage(absl::GetFlag(FLAGS_pid));
    boost::asio::steady_timer timer(run.context);
    std::function<void()> sendDue = [&] {
        const auto elapsed = net::currentTime() - startedAt;
        const auto due = std::min<std::uint64_t>(total, static_cast<std::uint64_t>(elapsed.count())
                                                                * rate / 1'000'000);
        while (run.sent < due) {
            const auto offset =
                    core::duration(static_cast<std::int64_t>(run.sent * 1'000'000 / rate));
            sendOne(run, startedAt + offset);
        }
        if (run.sent >= total)
            return;
        timer.expires_after(std::chrono::microseconds(500));
        timer.async_wait([&](const boost::system::error_code &) { sendDue(); });
    };
    sendDue();
    const core::time_point endAt = startedAt + std::chrono::seconds(seconds) + answerTimeout;
    while (net::currentTime() < endAt
           && (run.sent < total
               || run.delays.size() + run.failed + run.unsentWithoutConnection < total))
        run.context.run_one_for(std::chrono::milliseconds(50));
    const usage after = readProcessUsage(absl::GetFlag(FLAGS_pid));
    const double took = static_cast<double>((net::currentTime() - startedAt).count()) / 1e6;

    std::sort(run.delays.begin(), run.delays.end());
    std::printf("connections=%u rate=%u answered=%zu failed=%llu late=%llu p50_ms=%.2f p99_ms=%.2f "
                "p999_ms=%.2f "
                "worst_ms=%.2f replica_reads=%.1f%%\n",
                absl::GetFlag(FLAGS_connections), rate, run.delays.size(),
                static_cast<unsigned long long>(run.failed),
                static_cast<unsigned long long>(run.unsentWithoutConnection),
                quantile(run.delays, 0.5), quantile(run.delays, 0.99), quantile(run.delays, 0.999),
                run.delays.empty() ? 0.0 : run.delays.back(),
                run.reads == 0 ? 0.0
                               : 100.0 * static_cast<double>(run.fromReplica)
                                         / static_cast<double>(run.reads));
    for (const auto &[status, count] : run.statuses)
        std::printf("status=%d count=%llu\n", status, static_cast<unsigned long long>(count));
    if (absl::GetFlag(FLAGS_pid) != 0)
        std::printf("cpu_cores=%.3f memory_mb=%.1f\n",
                    (after.cpuSeconds - before.cpuSeconds) / took, after.megabytes);
    return 0;
}
