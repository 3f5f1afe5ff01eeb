/// @file
/// @brief Table of metrics; histograms, merging and rates.

#include <fuchsiagw/daemon/metrics.hpp>

#include <boost/histogram/unsafe_access.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::daemon {

namespace {

constexpr std::size_t counterCount = static_cast<std::size_t>(counter::Total);
constexpr std::size_t gaugeCount = static_cast<std::size_t>(gauge::Total);
constexpr std::size_t delayCount = static_cast<std::size_t>(delay::Total);

constexpr auto rows = std::to_array<metric_row>({
        { "fuchsiagw_reads_total", "counter", "", "reads answered with success" },
        { "fuchsiagw_reads_replica_allowed_total", "counter", "",
          "reads answered with success that were allowed to go to a replica" },
        { "fuchsiagw_reads_replica_served_total", "counter", "",
          "reads answered with success by a replica" },
        { "fuchsiagw_writes_total", "counter", "", "writes acknowledged" },
        { "fuchsiagw_transactions_total", "counter", "", "transactions begun" },
        { "fuchsiagw_stale_answers_dropped_total", "counter", "",
          "replica answers below the session's position, which were not returned" },
        { "fuchsiagw_reads_sent_again_total", "counter", "",
          "reads sent again after a connection failed or stayed silent" },
        { "fuchsiagw_foreign_answers_dropped_total", "counter", "",
          "upstream answers with another request's id" },
        { "fuchsiagw_wrongful_refusals_total", "counter", "",
          "requests refused although within their workspace's rate, as far as this instance "
          "knows" },
        { "fuchsiagw_wrongful_refusals_platform_total", "counter", "",
          "wrongful refusals that a platform outage caused" },
        { "fuchsiagw_promotions_total", "counter", "", "promotions that this instance completed" },
        { "fuchsiagw_upstream_connections_opened_total", "counter", "",
          "connections opened to members" },
        { "fuchsiagw_upstream_connections_lost_total", "counter", "",
          "connections to members that failed or stayed silent" },
        { "fuchsiagw_forwards_total", "counter", "", "statements forwarded to another instance" },
        { "fuchsiagw_control_bytes_sent_total", "counter", "",
          "bytes of control messages sent to other instances" },
        { "fuchsiagw_control_bytes_received_total", "counter", "",
          "bytes of control messages received from other instances" },
        { "fuchsiagw_loans_granted_total", "counter", "", "loans granted to other instances" },
        { "fuchsiagw_loans_received_total", "counter", "", "loans received from other instances" },
        { "fuchsiagw_platform_requests_total", "counter", "", "requests to the platform" },
        { "fuchsiagw_platform_failures_total", "counter", "",
          "requests to the platform without a valid answer" },
        { "fuchsiagw_log_lines_lost_total", "counter", "",
          "log lines dropped because the ring was full" },
        { "fuchsiagw_caller_connections", "gauge", "", "open connections of callers" },
        { "fuchsiagw_requests_queued", "gauge", "", "requests that wait for a connection" },
        { "fuchsiagw_requests_in_flight", "gauge", "", "requests sent to members" },
        { "fuchsiagw_upstream_connections", "gauge", "", "open connections to members" },
        { "fuchsiagw_configuration_version", "gauge", "", "version of the configuration in force" },
        { "fuchsiagw_freshness_age_seconds", "gauge", "",
          "age of the newest proof that the configuration is the newest" },
        { "fuchsiagw_lease_remaining_seconds", "gauge", "",
          "time for which witnesses have promised the incarnation lease" },
        { "fuchsiagw_live_instances", "gauge", "", "instances believed live" },
        { "fuchsiagw_ready", "gauge", "", "1 if the instance accepts callers" },
        { "fuchsiagw_draining", "gauge", "", "1 if the instance is stopping" },
        { "fuchsiagw_control_bytes_per_second", "gauge", "",
          "control bytes sent and received per second over the last 10 s" },
        { "fuchsiagw_read_seconds", "histogram", "", "from a read's arrival to its answer" },
        { "fuchsiagw_write_seconds", "histogram", "",
          "from a write's arrival to its acknowledgement" },
        { "fuchsiagw_queue_wait_seconds", "histogram", "", "wait for a connection" },
        { "fuchsiagw_upstream_seconds", "histogram", "", "exchange with a member" },
        { "fuchsiagw_confirmation_seconds", "histogram", "",
          "from the primary's answer to a write to its confirmation by a majority" },
        { "fuchsiagw_connect_seconds", "histogram", "", "opening a connection to a member" },
        { "fuchsiagw_forward_seconds", "histogram", "", "exchange with the owner of a group" },
        { "fuchsiagw_failover_gap_seconds", "histogram", "",
          "from the last answer of a lost primary to the first acknowledged write of its "
          "successor" },
        { "fuchsiagw_configuration_lag_seconds", "histogram", "",
          "from the acceptance of a configuration to its use at this instance" },
        { "fuchsiagw_replica_read_share", "gauge", "",
          "reads served by replicas divided by reads that may go there; 1 without any" },
        { "fuchsiagw_errors_total", "counter", "error", "answers to callers by error" },
        { "fuchsiagw_messages_dropped_total", "counter", "error",
          "messages between instances dropped, by error" },
        { "fuchsiagw_workspace_requests_total", "counter", "workspace", "requests that arrived" },
        { "fuchsiagw_workspace_served_total", "counter", "workspace",
          "requests answered with success" },
        { "fuchsiagw_workspace_refused_total", "counter", "workspace",
          "requests refused with not_run" },
        { "fuchsiagw_workspace_wrongful_refusals_total", "counter", "workspace",
          "requests refused although within the rate, as far as this instance knows" },
});

} // namespace

std::span<const metric_row> metricRows()
{
    return rows;
}

const metric_row &rowOf(counter metric)
{
    return rows.at(static_cast<std::size_t>(metric));
}

const metric_row &rowOf(gauge metric)
{
    return rows.at(counterCount + static_cast<std::size_t>(metric));
}

const metric_row &rowOf(delay metric)
{
    static_assert(rows[counterCount + gaugeCount + delayCount - 1].type == "histogram");
    return rows.at(counterCount + gaugeCount + static_cast<std::size_t>(metric));
}

void delay_histogram::add(core::duration value)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(value).count());
    bins_(seconds);
    sum_ += seconds;
    ++samples_;
}

void delay_histogram::add(const delay_histogram &other)
{
    // The histogram's operator+= causes compiler warnings in sanitizer builds.
    auto &own = boost::histogram::unsafe_access::storage(bins_);
    const auto &added = boost::histogram::unsafe_access::storage(other.bins_);
    for (std::size_t bin = 0; bin < own.size(); ++bin)
        own[bin] += added[bin];
    sum_ += other.sum_;
    samples_ += other.samples_;
}

double delay_histogram::quantile(double fraction) const
{
    const auto rank = static_cast<std::uint64_t>(
            std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(samples_)));
    std::uint64_t cumulative = 0;
    for (int bin = -1; bin <= static_cast<int>(delayBins); ++bin) {
        cumulative += bins_.at(bin);
        if (cumulative > 0 && cumulative >= rank)
            return bin < 0 ? minDelaySeconds : bins_.axis().bin(bin).upper();
    }
    return 0;
}

workspace_counters &metrics::of(const core::workspace_id &workspace)
{
    const auto found = workspaces.find(workspace);
    if (found != workspaces.end())
        return found->second;
    if (workspaces.size() >= maxWorkspaceSeries)
        return workspaces[core::workspace_id{}];
    return workspaces[workspace];
}

void merge(metrics &into, const metrics &from)
{
    for (std::size_t i = 0; i < into.counters.size(); ++i)
        into.counters[i] += from.counters[i];
    for (std::size_t i = 0; i < into.gauges.size(); ++i)
        into.gauges[i] += from.gauges[i];
    for (std::size_t i = 0; i < into.delays.size(); ++i)
        into.delays[i].add(from.delays[i]);
    for (const auto &[kind, count] : from.errors)
        into.errors[kind] += count;
    for (const auto &[kind, count] : from.droppedMessages)
        into.droppedMessages[kind] += count;
    for (const auto &[workspace, counters] : from.workspaces) {
        workspace_counters &sum = into.of(workspace);
        sum.requests += counters.requests;
        sum.served += counters.served;
        sum.refused += counters.refused;
        sum.wrongfullyRefused += counters.wrongfullyRefused;
    }
}

double replicaReadShare(const metrics &all)
{
    const std::uint64_t allowed = all.value(counter::ReadsReplicaAllowed);
    if (allowed == 0)
        return 1;
    return static_cast<double>(all.value(counter::ReadsReplicaServed))
           / static_cast<double>(allowed);
}

double rate_meter::sample(std::uint64_t total, core::time_point now)
{
    samples_.emplace_back(now, total);
    while (samples_.size() > 2 && samples_[1].first <= now - window)
        samples_.pop_front();
    const auto &[since, before] = samples_.front();
    if (now <= since)
        return 0;
    return static_cast<double>(total - before) / std::chrono::duration<double>(now - since).count();
}

} // namespace fuchsiagw::daemon
