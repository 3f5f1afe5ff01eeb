/// @file
/// @brief Tests of the metrics, their text format, their documentation and snapshot_buffer.

#include "doc-table.hpp"

#include <fuchsiagw/daemon/metrics.hpp>
#include <fuchsiagw/daemon/metrics_text.hpp>
#include <fuchsiagw/daemon/snapshot_buffer.hpp>

#include <set>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::daemon;
using namespace std::chrono_literals;

TEST_GROUP(metrics_list){};

// Guards against a page that differs from the code: a metric is added, removed or described anew in
// only one of the two.
TEST(metrics_list, pageMatchesTheCode)
{
    const auto rows = readDocRows("metrics.md");
    LONGS_EQUAL(metricRows().size(), rows.size());
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const metric_row &row = metricRows()[i];
        const std::vector<std::string> expected{ std::string(row.name), std::string(row.type),
                                                 std::string(row.labels),
                                                 std::string(row.meaning) };
        CHECK_TRUE_TEXT(rows[i] == expected, row.name.data());
        CHECK_TRUE(names.insert(row.name).second);
    }
}

// Guards against an enumerator that is mapped to the wrong row because the table and the
// enumeration are in different orders.
TEST(metrics_list, enumeratorsMatchTheirRows)
{
    STRCMP_EQUAL("fuchsiagw_log_lines_lost_total", rowOf(counter::LogLinesLost).name.data());
    STRCMP_EQUAL("fuchsiagw_caller_connections", rowOf(gauge::CallerConnections).name.data());
    STRCMP_EQUAL("fuchsiagw_control_bytes_per_second",
                 rowOf(gauge::ControlBytesPerSecond).name.data());
    STRCMP_EQUAL("fuchsiagw_read_seconds", rowOf(delay::Read).name.data());
    STRCMP_EQUAL("fuchsiagw_configuration_lag_seconds", rowOf(delay::ConfigurationLag).name.data());
}

TEST_GROUP(metrics_text){};

// Guards against histogram buckets that are not cumulative or omit values below or above the axis.
TEST(metrics_text, bucketsAreCumulative)
{
    metrics all;
    for (const core::duration value :
         { core::duration(-1s), core::duration(2ms), core::duration(1s), core::duration(1000s) })
        all.add(delay::Write, value);
    std::istringstream text(metricsText(all));
    long last = 0;
    std::size_t buckets = 0;
    for (std::string line; std::getline(text, line);) {
        if (!line.starts_with("fuchsiagw_write_seconds_bucket"))
            continue;
        ++buckets;
        const long value = std::stol(line.substr(line.rfind(' ')));
        CHECK_TRUE(value >= last);
        last = value;
    }
    LONGS_EQUAL(delayBins + 2, buckets);
    LONGS_EQUAL(4, last);
    STRCMP_CONTAINS("\nfuchsiagw_write_seconds_bucket{le=\"1e-05\"} 1\n", text.str().c_str());
    STRCMP_CONTAINS("\nfuchsiagw_write_seconds_count 4\n", text.str().c_str());
    STRCMP_CONTAINS("\nfuchsiagw_write_seconds_sum 1001.002\n", text.str().c_str());
    CHECK_TRUE(all.value(delay::Write).quantile(0.5) >= 0.002);
    CHECK_TRUE(all.value(delay::Write).quantile(0.5) < 0.003);
}

// Guards against invalid output when a workspace name contains quotes, backslashes or newlines.
TEST(metrics_text, labelsAreEscaped)
{
    metrics all;
    ++all.of({ "a\"b\\\n" }).served;
    ++all.errors[core::error_kind::NoPrimary];
    const std::string text = metricsText(all);
    STRCMP_CONTAINS("fuchsiagw_workspace_served_total{workspace=\"a\\\"b\\\\\\n\"} 1\n",
                    text.c_str());
    STRCMP_CONTAINS("fuchsiagw_errors_total{error=\"no_primary\"} 1\n", text.c_str());
}

TEST_GROUP(metrics_sum){};

// Guards against unbounded memory with many workspaces, and against requests that are no longer
// counted once the bound is reached.
TEST(metrics_sum, workspaceSeriesAreBoundedAndNothingIsLost)
{
    metrics first;
    metrics second;
    for (std::size_t i = 0; i < maxWorkspaceSeries + 100; ++i) {
        ++first.of({ "a" + std::to_string(i) }).requests;
        ++second.of({ "b" + std::to_string(i) }).requests;
    }
    merge(first, second);
    CHECK_TRUE(first.workspaces.size() <= maxWorkspaceSeries + 1);
    std::uint64_t total = 0;
    for (const auto &[workspace, counters] : first.workspaces)
        total += counters.requests;
    LONGS_EQUAL(2 * (maxWorkspaceSeries + 100), total);
}

// Guards against a group of metrics that merge() omits.
TEST(metrics_sum, everyPartIsMerged)
{
    metrics first;
    metrics second;
    second.count(counter::ReadsReplicaAllowed, 4);
    second.count(counter::ReadsReplicaServed, 3);
    second.set(gauge::Ready, 1);
    second.add(delay::FailoverGap, 1s);
    ++second.droppedMessages[core::error_kind::MessageForeign];
    merge(first, second);
    DOUBLES_EQUAL(0.75, replicaReadShare(first), 1e-9);
    DOUBLES_EQUAL(1, first.value(gauge::Ready), 1e-9);
    LONGS_EQUAL(1, first.value(delay::FailoverGap).count());
    LONGS_EQUAL(1, first.droppedMessages[core::error_kind::MessageForeign]);
}

// Guards against a rate that still includes a burst after it has left the window.
TEST(metrics_sum, rateFollowsTheWindow)
{
    rate_meter meter;
    core::time_point now{ 5s };
    DOUBLES_EQUAL(0, meter.sample(0, now), 1e-9);
    DOUBLES_EQUAL(1000, meter.sample(1000, now + 1s), 1e-9);
    for (int second = 2; second <= 11; ++second)
        meter.sample(1000, now + std::chrono::seconds(second));
    DOUBLES_EQUAL(0, meter.sample(1000, now + 12s), 1e-9);
}

// Guards against a reader that reads a torn snapshot or one older than the last it read, when the
// writer publishes concurrently.
TEST(metrics_sum, snapshotsAreWholeAndInOrder)
{
    using pair = std::array<std::uint64_t, 64>;
    constexpr std::uint64_t rounds = 50'000;
    snapshot_buffer<pair> buffer;
    std::thread writer([&buffer] {
        pair value{};
        for (std::uint64_t i = 1; i <= rounds; ++i) {
            value.fill(i);
            buffer.publish(value);
        }
    });
    std::uint64_t last = 0;
    bool isConsistent = true;
    while (last < rounds && isConsistent) {
        const pair &seen = buffer.newest();
        isConsistent = seen.front() == seen.back() && seen.front() >= last;
        last = seen.front();
    }
    writer.join();
    CHECK_TRUE(isConsistent);
}
