/// @file
/// @brief Reads log lines of the session interface and counts decisions.

#include <fuchsiagw/ctl/log_report.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace fuchsiagw::ctl {

namespace {

constexpr int placedEvent = 901;
constexpr int refusedEvent = 902;
constexpr int retriedEvent = 903;
constexpr int uncertainEvent = 905;
constexpr int startEvent = 940;

/// @return the value of a field of a log line, without quotes; empty if the line does not have it
std::string_view fieldOf(std::string_view line, std::string_view name)
{
    for (std::size_t at = line.find(name); at != std::string_view::npos;
         at = line.find(name, at + 1)) {
        const std::size_t value = at + name.size() + 1;
        const bool isField = at > 0 && line[at - 1] == ' ' && value <= line.size()
                             && line[at + name.size()] == '=';
        if (!isField)
            continue;
        if (value < line.size() && line[value] == '"')
            return line.substr(value + 1, line.find('"', value + 1) - value - 1);
        return line.substr(value, line.find(' ', value) - value);
    }
    return {};
}

std::int64_t numberOf(std::string_view text)
{
    std::int64_t value = 0;
    static_cast<void>(std::from_chars(text.data(), text.data() + text.size(), value));
    return value;
}

/// @return the second of the day of a line that begins with a time such as 2026-01-24T20:10:44.61Z
std::optional<double> secondOfDay(std::string_view line)
{
    constexpr std::size_t timeAt = 11;
    constexpr std::size_t timeSize = 8;
    if (line.size() < timeAt + timeSize || line[timeAt - 1] != 'T')
        return std::nullopt;
    const std::string_view time = line.substr(timeAt);
    constexpr double secondsPerHour = 3'600;
    constexpr double secondsPerMinute = 60;
    double fraction = 0;
    double digit = 0.1;
    for (std::size_t i = timeSize + 1; i < time.size() && time[i] >= '0' && time[i] <= '9'; ++i) {
        fraction += (time[i] - '0') * digit;
        digit /= 10;
    }
    return static_cast<double>(numberOf(time.substr(0, 2))) * secondsPerHour
           + static_cast<double>(numberOf(time.substr(3, 2))) * secondsPerMinute
           + static_cast<double>(numberOf(time.substr(6, 2))) + fraction;
}

std::uint64_t *counterOf(report_counts &counts, int event)
{
    switch (event) {
    case placedEvent:
        return &counts.placed;
    case refusedEvent:
        return &counts.refused;
    case retriedEvent:
        return &counts.retried;
    case uncertainEvent:
        return &counts.uncertain;
    default:
        return nullptr;
    }
}

void count(std::map<std::string, report_counts> &table, std::string_view value, int event,
           std::uint64_t weight)
{
    if (value.empty())
        value = "-";
    *counterOf(table[std::string(value)], event) += weight;
}

void countDecision(log_report &report, std::string_view line, int event, const std::string &daemon)
{
    const auto skipped = static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, numberOf(fieldOf(line, "skipped"))));
    const std::uint64_t weight = 1 + skipped;
    ++report.lines;
    report.skipped += skipped;
    count(report.byWorkspace, fieldOf(line, "workspace"), event, weight);
    count(report.byRoute, fieldOf(line, "route"), event, weight);
    count(report.byService, fieldOf(line, "service"), event, weight);
    count(report.byMember, fieldOf(line, "member"), event, weight);
    count(report.byDaemon, daemon, event, weight);
    if (event != refusedEvent)
        return;
    refusal_summary &refusal = report.refusals[std::string(fieldOf(line, "reason"))];
    refusal.count += weight;
    refusal.waitsUs.push_back(numberOf(fieldOf(line, "age_us")));
}

} // namespace

std::size_t addLog(log_report &report, std::istream &log, std::string daemon,
                   const report_period &period)
{
    constexpr double secondsPerDay = 86'400;
    std::size_t unreadable = 0;
    std::optional<double> start;
    for (std::string line; std::getline(log, line);) {
        const auto second = secondOfDay(line);
        const auto event = static_cast<int>(numberOf(fieldOf(line, "event")));
        if (!second || event == 0) {
            ++unreadable;
            continue;
        }
        if (!start)
            start = second;
        double elapsed = *second - *start;
        elapsed += elapsed < 0 ? secondsPerDay : 0;
        if (event == startEvent)
            daemon = std::string(fieldOf(line, "detail"));
        report_counts unused;
        const bool isInPeriod = elapsed >= period.from && (period.to <= 0 || elapsed < period.to);
        if (isInPeriod && counterOf(unused, event) != nullptr)
            countDecision(report, line, event, daemon);
    }
    return unreadable;
}

std::int64_t percentileOf(std::vector<std::int64_t> values, double share)
{
    if (values.empty())
        return 0;
    const auto index =
            std::min(values.size() - 1,
                     static_cast<std::size_t>(share * static_cast<double>(values.size())));
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace fuchsiagw::ctl
