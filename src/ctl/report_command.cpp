/// @file
/// @brief The command that reports on the logs of daemons of the session interface.

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/log_report.hpp>
#include <fuchsiagw/ctl/table.hpp>

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace fuchsiagw::ctl {

namespace {

using nlohmann::json;

constexpr std::size_t maxShownRows = 12; // of each table; --json has all
constexpr double median = 0.5;
constexpr double ninthDecile = 0.9;
constexpr std::int64_t microsPerMillisecond = 1'000;

void printCounts(std::ostream &out, const std::string &title,
                 const std::map<std::string, report_counts> &counts)
{
    std::vector<std::pair<std::string, report_counts>> rows(counts.begin(), counts.end());
    std::stable_sort(rows.begin(), rows.end(), [](const auto &left, const auto &right) {
        return left.second.refused + left.second.placed
               > right.second.refused + right.second.placed;
    });
    text_table table{ { title, "placed", "refused", "retried", "uncertain" } };
    for (std::size_t i = 0; i < std::min(rows.size(), maxShownRows); ++i) {
        const auto &[name, each] = rows[i];
        table.push_back({ name, std::to_string(each.placed), std::to_string(each.refused),
                          std::to_string(each.retried), std::to_string(each.uncertain) });
    }
    if (rows.size() > maxShownRows)
        table.push_back({ std::to_string(rows.size() - maxShownRows) + " more", "", "", "", "" });
    out << '\n';
    printTable(out, table);
}

void printReport(std::ostream &out, const log_report &report)
{
    out << report.lines << " decisions read, " << report.skipped << " more counted by samples\n\n";
    std::vector<std::pair<std::string, refusal_summary>> rows(report.refusals.begin(),
                                                              report.refusals.end());
    std::stable_sort(rows.begin(), rows.end(), [](const auto &left, const auto &right) {
        return left.second.count > right.second.count;
    });
    text_table table{ { "refused because", "count", "median wait ms", "ninth decile ms" } };
    for (const auto &[reason, each] : rows)
        table.push_back(
                { reason, std::to_string(each.count),
                  std::to_string(percentileOf(each.waitsUs, median) / microsPerMillisecond),
                  std::to_string(percentileOf(each.waitsUs, ninthDecile) / microsPerMillisecond) });
    printTable(out, table);
    printCounts(out, "workspace", report.byWorkspace);
    printCounts(out, "route", report.byRoute);
    printCounts(out, "service", report.byService);
    printCounts(out, "member", report.byMember);
    printCounts(out, "daemon", report.byDaemon);
}

json toJson(const std::map<std::string, report_counts> &counts)
{
    json result = json::object();
    for (const auto &[name, each] : counts)
        result[name] = { { "placed", each.placed },
                         { "refused", each.refused },
                         { "retried", each.retried },
                         { "uncertain", each.uncertain } };
    return result;
}

json toJson(const log_report &report)
{
    json refusals = json::object();
    for (const auto &[reason, each] : report.refusals)
        refusals[reason] = { { "count", each.count },
                             { "median_wait_us", percentileOf(each.waitsUs, median) },
                             { "ninth_decile_us", percentileOf(each.waitsUs, ninthDecile) } };
    return { { "lines", report.lines },
             { "skipped", report.skipped },
             { "refusals", refusals },
             { "workspaces", toJson(report.byWorkspace) },
             { "routes", toJson(report.byRoute) },
             { "services", toJson(report.byService) },
             { "members", toJson(report.byMember) },
             { "daemons", toJson(report.byDaemon) } };
}

} // namespace

exit_code runReport(const command_context &context, const std::vector<std::string> &parameters)
{
    const report_period period{ absl::GetFlag(FLAGS_from_s), absl::GetFlag(FLAGS_to_s) };
    if (period.from < 0 || (period.to > 0 && period.to <= period.from))
        return reportUsageError(context, "--from_s and --to_s must be a period");
    log_report report;
    for (const std::string &file : parameters) {
        std::ifstream log(file);
        if (!log)
            return reportUsageError(context, "cannot read '" + file + "'");
        const std::size_t unreadable =
                addLog(report, log, std::filesystem::path(file).stem().string(), period);
        if (unreadable > 0)
            context.err << file << ": " << unreadable << " lines are no log lines\n";
    }
    if (absl::GetFlag(FLAGS_json))
        context.out << toJson(report).dump(2) << '\n';
    else
        printReport(context.out, report);
    return exit_code::Done;
}

} // namespace fuchsiagw::ctl
