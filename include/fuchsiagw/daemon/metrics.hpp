/// @file
/// @brief Counters, gauges and delay histograms of one thread, and their sum over all threads.
///
/// Each worker thread updates its own `metrics` without locks and publishes copies through a
/// snapshot_buffer. The admin thread merges the copies and formats them, see metrics_text.hpp.
/// docs/metrics.md lists all metrics.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>

namespace fuchsiagw::daemon {

enum class counter : std::uint8_t {
    Reads,
    ReadsReplicaAllowed,
    ReadsReplicaServed,
    Writes,
    Transactions,
    StaleAnswersDropped,
    ReadsSentAgain,
    ForeignAnswersDropped,
    WrongfulRefusals,
    WrongfulRefusalsPlatform,
    Promotions,
    UpstreamConnectionsOpened,
    UpstreamConnectionsLost,
    Forwards,
    ControlBytesSent,
    ControlBytesReceived,
    LoansGranted,
    LoansReceived,
    PlatformRequests,
    PlatformFailures,
    LogLinesLost,
    Total, ///< number of counters
};

enum class gauge : std::uint8_t {
    CallerConnections,
    RequestsQueued,
    RequestsInFlight,
    UpstreamConnections,
    ConfigurationVersion,
    FreshnessAgeSeconds,
    LeaseRemainingSeconds,
    LiveInstances,
    Ready,
    Draining,
    ControlBytesPerSecond,
    Total, ///< number of gauges
};

enum class delay : std::uint8_t {
    Read,
    Write,
    QueueWait,
    Upstream,
    Confirmation,
    Connect,
    Forward,
    FailoverGap,
    ConfigurationLag,
    Total, ///< number of delays
};

/// Description of one metric.
struct metric_row
{
    std::string_view name;
    std::string_view type; ///< `counter`, `gauge` or `histogram`
    std::string_view labels; ///< empty: none
    std::string_view meaning;
};

/// @return all metrics: counters, gauges and delays in the order of their enumerators, then the
/// replica read share and the metrics with labels
[[nodiscard]] std::span<const metric_row> metricRows();

[[nodiscard]] const metric_row &rowOf(counter metric);
[[nodiscard]] const metric_row &rowOf(gauge metric);
[[nodiscard]] const metric_row &rowOf(delay metric);

/// Adjacent bin bounds differ by 26 %.
inline constexpr unsigned delayBinsPerDecade = 10;
inline constexpr double minDelaySeconds = 1e-5;
inline constexpr double maxDelaySeconds = 1e2;
inline constexpr unsigned delayBins = 7 * delayBinsPerDecade;

/// Histogram of durations on a logarithmic axis in seconds.
class delay_histogram
{
public:
    using axis_type =
            boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type =
            boost::histogram::histogram<std::tuple<axis_type>,
                                        boost::histogram::dense_storage<std::uint64_t>>;

    delay_histogram()
        : bins_(boost::histogram::make_histogram_with(
                boost::histogram::dense_storage<std::uint64_t>(),
                axis_type(delayBins, minDelaySeconds, maxDelaySeconds)))
    { }

    /// @complexity constant
    void add(core::duration value);
    /// @complexity linear in the number of bins
    void add(const delay_histogram &other);

    [[nodiscard]] const histogram_type &histogram() const { return bins_; }
    [[nodiscard]] double sumSeconds() const { return sum_; }
    [[nodiscard]] std::uint64_t count() const { return samples_; }
    /// @return upper bound of the bin that contains the quantile; 0 without samples
    [[nodiscard]] double quantile(double fraction) const;

private:
    histogram_type bins_;
    double sum_ = 0;
    std::uint64_t samples_ = 0; ///< equals the sum of all bins including underflow and overflow
};

/// Outcomes of one workspace's requests at this instance.
struct workspace_counters
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0; ///< with outcome `not_run`
    std::uint64_t wrongfullyRefused = 0; ///< refused although within the workspace's rate
};

/// Bounds the memory: further workspaces are counted in one series with an empty label.
inline constexpr std::size_t maxWorkspaceSeries = 4096;

/// Not thread-safe; updated by one thread.
struct metrics
{
    std::array<std::uint64_t, static_cast<std::size_t>(counter::Total)> counters{};
    std::array<double, static_cast<std::size_t>(gauge::Total)> gauges{};
    std::array<delay_histogram, static_cast<std::size_t>(delay::Total)> delays{};
    std::map<core::workspace_id, workspace_counters> workspaces;
    std::map<core::error_kind, std::uint64_t> errors; ///< answers to callers
    std::map<core::error_kind, std::uint64_t> droppedMessages; ///< between instances

    void count(counter metric, std::uint64_t by = 1)
    {
        counters[static_cast<std::size_t>(metric)] += by;
    }
    [[nodiscard]] std::uint64_t value(counter metric) const
    {
        return counters[static_cast<std::size_t>(metric)];
    }
    void set(gauge metric, double value) { gauges[static_cast<std::size_t>(metric)] = value; }
    [[nodiscard]] double value(gauge metric) const
    {
        return gauges[static_cast<std::size_t>(metric)];
    }
    void add(delay metric, core::duration value)
    {
        delays[static_cast<std::size_t>(metric)].add(value);
    }
    [[nodiscard]] const delay_histogram &value(delay metric) const
    {
        return delays[static_cast<std::size_t>(metric)];
    }
    /// @complexity logarithmic in the number of workspaces
    [[nodiscard]] workspace_counters &of(const core::workspace_id &workspace);
};

/// @brief Adds the metrics of another thread. Each gauge is set by one thread only, so gauges can
/// be added as well.
/// @complexity linear in the size of @p from
void merge(metrics &into, const metrics &from);

/// @return fraction of the reads allowed on replicas that a replica served; 1 without such reads
[[nodiscard]] double replicaReadShare(const metrics &all);

/// Rate of a monotonic counter over a sliding window.
class rate_meter
{
public:
    static constexpr core::duration window = std::chrono::seconds(10);

    /// @brief Adds a sample; to be called about once a second.
    /// @return units per second over the window
    double sample(std::uint64_t total, core::time_point now);

private:
    std::deque<std::pair<core::time_point, std::uint64_t>> samples_; ///< oldest first
};

} // namespace fuchsiagw::daemon
