/// @file
/// @brief Formatting and rate limits of the session interface's log lines.

#include <fuchsiagw/daemon/session_log.hpp>

#include <fmt/format.h>

#include <iterator>

namespace fuchsiagw::daemon {

namespace {

constexpr int firstDecisionEvent = 901;
/// Decisions from this kind on have numbers behind those of the process's own events.
constexpr proxy::note_kind firstLaterKind = proxy::note_kind::ReplicaPaused;
constexpr int firstLaterEvent = 951;
constexpr std::int64_t maxSampledLinesPerSecond = 10; // per sampled kind
constexpr std::int64_t sampledLineBurst = 20;

bool isSampled(proxy::note_kind kind)
{
    switch (kind) {
    case proxy::note_kind::StatementPlaced:
    case proxy::note_kind::StatementRefused:
    case proxy::note_kind::StatementRetried:
    case proxy::note_kind::StatementHedged:
    case proxy::note_kind::StatementUncertain:
    case proxy::note_kind::TransactionEnded:
    case proxy::note_kind::SessionClosed:
    case proxy::note_kind::MemberAvoided:
    case proxy::note_kind::QuotaLent:
    case proxy::note_kind::QuotaPartChanged:
    case proxy::note_kind::ReplyRejected:
    case proxy::note_kind::CommitDelayed:
    case proxy::note_kind::InputDropped:
        return true;
    default:
        return false;
    }
}

void appendText(std::string &line, std::string_view name, std::string_view value)
{
    if (value.empty())
        return;
    line += ' ';
    line += name;
    line += '=';
    appendLogValue(line, value);
}

void appendNumber(std::string &line, std::string_view name, std::int64_t value)
{
    if (value != 0)
        fmt::format_to(std::back_inserter(line), " {}={}", name, value);
}

} // namespace

int eventNumber(proxy::note_kind kind)
{
    if (kind >= firstLaterKind)
        return firstLaterEvent + static_cast<int>(kind) - static_cast<int>(firstLaterKind);
    return firstDecisionEvent + static_cast<int>(kind);
}

session_log::session_log(log_sink &sink)
    : sink_(sink)
{
    for (limiter &each : limiters_) {
        core::reconfigure(each.bucket, maxSampledLinesPerSecond * core::oneToken,
                          sampledLineBurst * core::oneToken, {});
        core::deposit(each.bucket, sampledLineBurst * core::oneToken, {});
    }
}

void session_log::write(const proxy::decision_note &note, core::time_point now)
{
    limiter &limit = limiters_.at(static_cast<std::size_t>(note.kind));
    if (isSampled(note.kind) && !core::take(limit.bucket, core::oneToken, now)) {
        ++limit.skipped;
        return;
    }
    std::string line = fmt::format("event={} name={}", eventNumber(note.kind), toString(note.kind));
    appendText(line, "request", note.request);
    appendNumber(line, "session", static_cast<std::int64_t>(note.session));
    appendText(line, "workspace", note.workspace);
    appendText(line, "service", note.service);
    appendText(line, "route", note.route);
    appendText(line, "member", note.member);
    appendText(line, "zone", note.zone);
    appendText(line, "reason", note.reason);
    if (note.position != core::log_position{})
        fmt::format_to(std::back_inserter(line), " position={}.{}", note.position.term,
                       note.position.index);
    appendNumber(line, "age_us", note.age.count());
    appendNumber(line, "number", note.number);
    appendNumber(line, "manifest", static_cast<std::int64_t>(note.manifestVersion));
    appendNumber(line, "skipped", static_cast<std::int64_t>(limit.skipped));
    limit.skipped = 0;
    sink_.write(log_level::Info, std::move(line));
}

void session_log::write(int number, std::string_view name, std::string_view detail)
{
    std::string line = fmt::format("event={} name={}", number, name);
    appendText(line, "detail", detail);
    sink_.write(log_level::Info, std::move(line));
}

void session_log::writeStart(int number, std::string_view name, std::string_view instance,
                             std::string_view zone)
{
    std::string line = fmt::format("event={} name={}", number, name);
    appendText(line, "detail", instance);
    appendText(line, "zone", zone);
    sink_.write(log_level::Info, std::move(line));
}

void session_log::writeCounters(int number, std::string_view name, std::string_view counters)
{
    sink_.write(log_level::Info, fmt::format("event={} name={} {}", number, name, counters));
}

} // namespace fuchsiagw::daemon
