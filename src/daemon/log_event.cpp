/// @file
/// @brief Table of log events and formatting of log lines.

#include <fuchsiagw/daemon/log_event.hpp>

#include <fuchsiagw/daemon/log_sink.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdio>

namespace fuchsiagw::daemon {

namespace {

using event = log_event;
using level = log_level;

/// Bounds the length of a log line, also for names whose length was not checked before.
constexpr std::size_t maxValueBytes = 1024;

constexpr auto rows = std::to_array<log_event_row>({
        { event::ProcessStarted, "process_started", level::Info,
          "instance incarnation zone address", "The process has read its settings and starts." },
        { event::ProcessReady, "process_ready", level::Info, "version elapsed_us",
          "The instance has a configuration and accepts callers." },
        { event::DrainStarted, "drain_started", level::Info, "connections queued remaining_us",
          "A stop was ordered; accepted requests are answered until the deadline." },
        { event::ProcessStopped, "process_stopped", level::Info, "elapsed_us count",
          "The process ends; count is the number of interrupted requests." },
        { event::RequestInterrupted, "request_interrupted", level::Warning,
          "request transaction workspace group kind outcome",
          "The second deadline of a stop ended this request." },
        { event::DutyFailed, "duty_failed", level::Error, "duty cause count",
          "A duty failed and is restarted; count is the number of its failures." },
        { event::LogLinesLost, "log_lines_lost", level::Warning, "lost",
          "The ring in front of the log was full; so many lines were dropped since the last one." },
        { event::SettingsRefused, "settings_refused", level::Error, "problem",
          "The settings are wrong; the process does not start." },
        { event::RequestRefused, "request_refused", level::Info,
          "request workspace group kind error outcome queued elapsed_us",
          "A request was refused before anything ran." },
        { event::RequestFailed, "request_failed", level::Warning,
          "request transaction workspace group kind member error outcome elapsed_us",
          "A request was sent to a member and did not succeed." },
        { event::RouteChosen, "route_chosen", level::Info,
          "request group kind member reason candidates",
          "A member was chosen; the other candidates stand with the reason against each." },
        { event::RouteMissing, "route_missing", level::Warning,
          "request group kind error candidates", "No member can take the request now." },
        { event::StaleAnswerDropped, "stale_answer_dropped", level::Info,
          "request group member applied position",
          "A replica answered from below the session's position; the primary is asked." },
        { event::MemberExcluded, "member_excluded", level::Warning,
          "group member reason age_us remaining_us",
          "A member gets no work until it is probed with success." },
        { event::MemberReturned, "member_returned", level::Info, "group member elapsed_us",
          "An excluded member gets work again." },
        { event::MemberProbed, "member_probed", level::Debug, "group member outcome elapsed_us",
          "An excluded or silent member was asked for its status." },
        { event::UpstreamOpened, "upstream_opened", level::Debug,
          "group member address connections elapsed_us", "A connection to a member was opened." },
        { event::UpstreamClosed, "upstream_closed", level::Info,
          "group member address connections cause", "A connection to a member was closed." },
        { event::ForeignAnswerDropped, "foreign_answer_dropped", level::Warning,
          "request group member",
          "An answer had another request's id; it was dropped and its connection closed." },
        { event::PrimarySilent, "primary_silent", level::Warning, "group member term elapsed_us",
          "The primary has not answered for longer than the allowed silence." },
        { event::PromotionStarted, "promotion_started", level::Warning, "group term cause",
          "This instance starts a promotion under a new term." },
        { event::TermAccepted, "term_accepted", level::Info, "group member term position",
          "A member has accepted the new term." },
        { event::PromotionDone, "promotion_done", level::Warning,
          "group member term position elapsed_us", "The member is primary of the new term." },
        { event::PromotionFailed, "promotion_failed", level::Warning, "group term reason",
          "The promotion did not reach a majority or another promoter was faster." },
        { event::PromotionWithheld, "promotion_withheld", level::Warning, "group reason",
          "The group needs a promotion, but a switch forbids it." },
        { event::FollowOrdered, "follow_ordered", level::Info, "group member term",
          "A member was told to copy the log of the new primary." },
        { event::WriteNotConfirmed, "write_not_confirmed", level::Warning,
          "request group position term elapsed_us",
          "A write ran, but no majority confirmed it before the deadline." },
        { event::OwnerChanged, "owner_changed", level::Info, "group zone owner predecessor",
          "Another instance of the zone owns the connections to the group." },
        { event::ConnectionLimitChanged, "connection_limit_changed", level::Info,
          "group connections",
          "This instance may have so many connections to the group open from now on." },
        { event::PrimaryChanged, "primary_changed", level::Info, "group member term",
          "This owner sees another primary, or none if the member is empty." },
        { event::MemberFailed, "member_failed", level::Warning, "group member reason",
          "An exchange with a member failed; the member is backed off." },
        { event::ConfigurationApplied, "configuration_applied", level::Info,
          "version base source age_us", "A newer configuration is in force on this instance." },
        { event::ConfigurationRefused, "configuration_refused", level::Error,
          "version base source error", "A configuration was offered that can't be used." },
        { event::NoteAccepted, "note_accepted", level::Info, "note version base",
          "A release note became a new version." },
        { event::NoteRefused, "note_refused", level::Warning, "note base error",
          "A release note was refused; nothing was changed." },
        { event::FreshnessLost, "freshness_lost", level::Warning, "version age_us source",
          "No proof is new enough that the keys are; requests with a key are refused." },
        { event::FreshnessRegained, "freshness_regained", level::Info, "version age_us source",
          "A new proof came; requests with a key are served again." },
        { event::OperatorAction, "operator_action", level::Info,
          "action group member instance outcome", "An operator's command was carried out." },
        { event::SharesTaken, "shares_taken", level::Info, "resource shares",
          "Home shares were taken from the pool." },
        { event::SharesReturned, "shares_returned", level::Info, "resource shares incarnation",
          "Home shares were returned to the pool." },
        { event::LoanGranted, "loan_granted", level::Debug,
          "loan resource shares instance remaining_us", "Shares were lent to another instance." },
        { event::LoanReceived, "loan_received", level::Debug,
          "loan resource shares instance remaining_us",
          "Shares were borrowed from another instance." },
        { event::LoanEnded, "loan_ended", level::Debug, "loan resource shares",
          "A loan has expired and its shares are home again." },
        { event::LeaseLost, "lease_lost", level::Warning, "witnesses count",
          "A majority of witnesses gives no promise; home shares are not used." },
        { event::LeaseRegained, "lease_regained", level::Info, "witnesses remaining_us",
          "A majority of witnesses has promised again; home shares are used." },
        { event::ExpiryVoted, "expiry_voted", level::Warning, "incarnation",
          "This witness will never again make a promise to the incarnation." },
        { event::IncarnationExpired, "incarnation_expired", level::Warning, "incarnation instance",
          "A majority of its witnesses voted the incarnation expired." },
        { event::WitnessesChanged, "witnesses_changed", level::Info, "witnesses version",
          "The instance has recorded another set of witnesses." },
        { event::PlatformLost, "platform_lost", level::Warning, "cause elapsed_us",
          "The platform's store does not answer." },
        { event::PlatformRegained, "platform_regained", level::Info, "elapsed_us",
          "The platform's store answers again." },
        { event::PlatformWriteRepeated, "platform_write_repeated", level::Info, "action count",
          "The answer to a write was lost; it was read back and repeated under its id." },
        { event::PeerLive, "peer_live", level::Info, "instance incarnation zone address source",
          "An instance was found or heard again." },
        { event::PeerSuspected, "peer_suspected", level::Warning,
          "instance incarnation zone elapsed_us", "An instance has not been heard in time." },
        { event::PeerLeaving, "peer_leaving", level::Info, "instance incarnation zone",
          "An instance is stopping and gets no new work." },
        { event::PeerGone, "peer_gone", level::Info, "instance incarnation zone reason",
          "An instance has stopped or is believed dead." },
        { event::PeerRestarted, "peer_restarted", level::Info,
          "instance incarnation predecessor zone", "An instance has a new incarnation." },
        { event::MessageDropped, "message_dropped", level::Warning, "error address count",
          "A message between instances was dropped; count is the number since the last line." },
        { event::LinkOpened, "link_opened", level::Info, "address elapsed_us",
          "A TCP link to an instance is open." },
        { event::LinkClosed, "link_closed", level::Info, "address cause lost",
          "A TCP link to an instance is closed; so many frames were not written." },
});

std::string formatHex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

bool isListed(std::string_view fields, std::string_view name)
{
    while (!fields.empty()) {
        const std::size_t end = std::min(fields.find(' '), fields.size());
        if (fields.substr(0, end) == name)
            return true;
        fields.remove_prefix(std::min(end + 1, fields.size()));
    }
    return false;
}

/// Bytes that a value may hold without quotes.
constexpr std::array<bool, 256> plainBytes = [] {
    std::array<bool, 256> result{};
    for (const unsigned char each : std::string_view("0123456789._:/,+@[]-"
                                                     "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                                     "abcdefghijklmnopqrstuvwxyz"))
        result.at(each) = true;
    return result;
}();

bool isPlain(char each)
{
    return plainBytes[static_cast<unsigned char>(each)];
}

} // namespace

void appendLogValue(std::string &line, std::string_view value)
{
    value = value.substr(0, maxValueBytes);
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        line += value;
        return;
    }
    line += '"';
    for (const char each : value) {
        const auto byte = static_cast<unsigned char>(each);
        if (each == '"' || each == '\\') {
            line += '\\';
            line += each;
        } else if (byte < 0x20 || byte > 0x7e) {
            std::array<char, 5> text{};
            std::snprintf(text.data(), text.size(), "\\x%02x", byte);
            line += text.data();
        } else {
            line += each;
        }
    }
    line += '"';
}

std::span<const log_event_row> logEvents()
{
    return rows;
}

const log_event_row &rowOf(log_event wanted)
{
    const auto *row = std::lower_bound(
            rows.begin(), rows.end(), wanted,
            [](const log_event_row &each, log_event value) { return each.event < value; });
    assert(row != rows.end() && row->event == wanted);
    return *row;
}

field field::id(log_key key, const core::request_id &id)
{
    return { key, core::toString(id) };
}

field field::id(log_key key, const core::transaction_id &id)
{
    return { key, formatHex(id.owner) + "-" + formatHex(id.number) };
}

field field::incarnation(log_key key, core::incarnation_id id)
{
    return { key, formatHex(id) };
}

field field::number(log_key key, double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return { key, text.data() };
}

field field::error(log_key key, const std::error_code &error)
{
    if (!error)
        return { key, "none" };
    if (error.category() == core::errorCategory())
        return { key, std::string(core::answerOf(core::kindOf(error)).name) };
    return { key, std::string(error.category().name()) + ":" + std::to_string(error.value()) };
}

field field::error(log_key key, core::error_kind kind)
{
    return { key, std::string(core::answerOf(kind).name) };
}

field field::position(log_key key, const core::log_position &position)
{
    return { key, std::to_string(position.term) + "/" + std::to_string(position.index) };
}

field field::duration(log_key key, core::duration value)
{
    return { key, std::to_string(value.count()) };
}

field field::address(log_key key, const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto number = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    if (error || colon == std::string::npos
        || std::from_chars(address.data() + colon + 1, end, port).ptr != end)
        return { key, "invalid" };
    host = number.is_v6() ? "[" + number.to_string() + "]" : number.to_string();
    return { key, host + ":" + std::to_string(port) };
}

std::string formatEvent(log_event event, std::initializer_list<field> fields)
{
    const log_event_row &row = rowOf(event);
    std::string line = "event=" + std::to_string(static_cast<int>(event)) + " name=";
    line += row.name;
    std::size_t unlisted = 0;
    for (const field &each : fields) {
        const std::string_view name = toString(each.key());
        if (!isListed(row.fields, name)) {
            ++unlisted;
            continue;
        }
        line += ' ';
        line += name;
        line += '=';
        appendLogValue(line, each.value());
    }
    if (unlisted > 0)
        line += " unlisted=" + std::to_string(unlisted);
    return line;
}

void logEvent(log_sink &sink, log_event event, std::initializer_list<field> fields)
{
    const log_level wanted = rowOf(event).level;
    if (sink.accepts(wanted))
        sink.write(wanted, formatEvent(event, fields));
}

} // namespace fuchsiagw::daemon
