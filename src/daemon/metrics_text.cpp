/// @file
/// @brief Formats metrics in the Prometheus text exposition format.

#include <fuchsiagw/daemon/metrics_text.hpp>

#include <fuchsiagw/daemon/metrics.hpp>

#include <fmt/format.h>

#include <cassert>
#include <iterator>

namespace fuchsiagw::daemon {

namespace {

const metric_row &findRow(std::string_view name)
{
    for (const metric_row &row : metricRows()) {
        if (row.name == name)
            return row;
    }
    assert(false);
    return metricRows().front();
}

class text_writer
{
public:
    std::string text;

    void writeHeader(const metric_row &row)
    {
        fmt::format_to(out(), "# HELP {} {}\n# TYPE {} {}\n", row.name, row.meaning, row.name,
                       row.type);
    }

    template <typename number>
    void writeSample(const metric_row &row, number value)
    {
        writeHeader(row);
        fmt::format_to(out(), "{} {}\n", row.name, value);
    }

    void writeLabelledSample(const metric_row &row, std::string_view label, std::uint64_t value)
    {
        fmt::format_to(out(), "{}{{{}=\"{}\"}} {}\n", row.name, row.labels, escapeLabel(label),
                       value);
    }

    void writeHistogram(const metric_row &row, const delay_histogram &delays)
    {
        writeHeader(row);
        const auto &bins = delays.histogram();
        std::uint64_t cumulative = bins.at(-1);
        writeBucket(row, minDelaySeconds, cumulative);
        for (int bin = 0; bin < static_cast<int>(delayBins); ++bin) {
            cumulative += bins.at(bin);
            writeBucket(row, bins.axis().bin(bin).upper(), cumulative);
        }
        fmt::format_to(out(), "{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n", row.name,
                       delays.count(), row.name, delays.sumSeconds(), row.name, delays.count());
    }

    void writeByError(const metric_row &row,
                      const std::map<core::error_kind, std::uint64_t> &counts)
    {
        writeHeader(row);
        for (const auto &[kind, count] : counts)
            writeLabelledSample(row, core::answerOf(kind).name, count);
    }

    void writeByWorkspace(const metric_row &row, const metrics &all,
                          std::uint64_t workspace_counters::*member)
    {
        writeHeader(row);
        for (const auto &[workspace, counters] : all.workspaces)
            writeLabelledSample(row, workspace.value, counters.*member);
    }

private:
    std::back_insert_iterator<std::string> out() { return std::back_inserter(text); }

    void writeBucket(const metric_row &row, double bound, std::uint64_t cumulative)
    {
        fmt::format_to(out(), "{}_bucket{{le=\"{:.4g}\"}} {}\n", row.name, bound, cumulative);
    }
};

} // namespace

std::string escapeLabel(std::string_view value)
{
    std::string result;
    for (const char each : value) {
        if (each == '\n') {
            result += "\\n";
            continue;
        }
        if (each == '"' || each == '\\')
            result += '\\';
        result += each;
    }
    return result;
}

std::string metricsText(const metrics &all)
{
    text_writer writer;
    for (std::size_t i = 0; i < all.counters.size(); ++i)
        writer.writeSample(rowOf(static_cast<counter>(i)), all.counters[i]);
    for (std::size_t i = 0; i < all.gauges.size(); ++i)
        writer.writeSample(rowOf(static_cast<gauge>(i)), all.gauges[i]);
    for (std::size_t i = 0; i < all.delays.size(); ++i)
        writer.writeHistogram(rowOf(static_cast<delay>(i)), all.delays[i]);
    writer.writeSample(findRow("fuchsiagw_replica_read_share"), replicaReadShare(all));
    writer.writeByError(findRow("fuchsiagw_errors_total"), all.errors);
    writer.writeByError(findRow("fuchsiagw_messages_dropped_total"), all.droppedMessages);
    writer.writeByWorkspace(findRow("fuchsiagw_workspace_requests_total"), all,
                            &workspace_counters::requests);
    writer.writeByWorkspace(findRow("fuchsiagw_workspace_served_total"), all,
                            &workspace_counters::served);
    writer.writeByWorkspace(findRow("fuchsiagw_workspace_refused_total"), all,
                            &workspace_counters::refused);
    writer.writeByWorkspace(findRow("fuchsiagw_workspace_wrongful_refusals_total"), all,
                            &workspace_counters::wrongfullyRefused);
    return writer.text;
}

} // namespace fuchsiagw::daemon
