/// @file
/// @brief Evaluates the reports of replicas about a leader's term.

#include <fuchsiagw/proxy/leadership_evidence.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace fuchsiagw::proxy {

namespace {

constexpr std::size_t maxQuestions = 64; // remembered

} // namespace

void addQuestion(leadership_evidence &evidence, core::time_point now)
{
    evidence.askedAt = now;
    evidence.questions.push_back(now);
    if (evidence.questions.size() > maxQuestions)
        evidence.questions.pop_front();
}

bool hasAsked(const leadership_evidence &evidence, core::time_point askedAt)
{
    return std::find(evidence.questions.begin(), evidence.questions.end(), askedAt)
           != evidence.questions.end();
}

std::size_t requiredReports(std::size_t others)
{
    return others > 1 ? others - 1 : 1;
}

void addReport(leadership_evidence &evidence, const std::string &replica,
               const replica_report &report)
{
    replica_report &latest = evidence.reports[replica];
    if (report.askedAt >= latest.askedAt)
        latest = report;
}

core::time_point provenThrough(const leadership_evidence &evidence, core::term_number term,
                               const std::set<std::string> &others)
{
    std::vector<core::time_point> times;
    for (const std::string &each : others) {
        const auto report = evidence.reports.find(each);
        if (report != evidence.reports.end() && report->second.received.term <= term)
            times.push_back(report->second.askedAt);
    }
    const std::size_t required = requiredReports(others.size());
    if (times.size() < required)
        return {};
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[required - 1];
}

core::term_number contradictingTerm(const leadership_evidence &evidence, core::term_number term,
                                    core::time_point since)
{
    core::term_number newest = 0;
    for (const auto &[replica, report] : evidence.reports) {
        if (report.askedAt >= since && report.received.term > term)
            newest = std::max(newest, report.received.term);
    }
    return newest;
}

} // namespace fuchsiagw::proxy
