/// @file
/// @brief Log events and the values of their fields.
///
/// Each event is written as one line `event=NNN name=... key=value ...`; docs/events.md lists all
/// events. Fields are created by named constructors that accept no free text, so that no line can
/// contain a key, a token or a parameter of a statement.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/statement.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>
#include <utility>
#include <vector>

namespace fuchsiagw::daemon {

class log_sink;

enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr std::array<std::string_view, 4> logLevelNames{ "debug", "info", "warning",
                                                                "error" };

[[nodiscard]] constexpr std::string_view toString(log_level level)
{
    return logLevelNames.at(static_cast<std::size_t>(level));
}

/// Event numbers. They are stable, and the number of a removed event is not reused.
enum class log_event : int {
    ProcessStarted = 101,
    ProcessReady = 102,
    DrainStarted = 103,
    ProcessStopped = 104,
    RequestInterrupted = 105,
    DutyFailed = 106,
    LogLinesLost = 107,
    SettingsRefused = 108,
    RequestRefused = 201,
    RequestFailed = 202,
    RouteChosen = 301,
    RouteMissing = 302,
    StaleAnswerDropped = 303,
    MemberExcluded = 304,
    MemberReturned = 305,
    MemberProbed = 306,
    UpstreamOpened = 307,
    UpstreamClosed = 308,
    ForeignAnswerDropped = 309,
    PrimarySilent = 401,
    PromotionStarted = 402,
    TermAccepted = 403,
    PromotionDone = 404,
    PromotionFailed = 405,
    PromotionWithheld = 406,
    FollowOrdered = 407,
    WriteNotConfirmed = 408,
    OwnerChanged = 409,
    ConnectionLimitChanged = 410,
    PrimaryChanged = 411,
    MemberFailed = 412,
    ConfigurationApplied = 501,
    ConfigurationRefused = 502,
    NoteAccepted = 503,
    NoteRefused = 504,
    FreshnessLost = 505,
    FreshnessRegained = 506,
    OperatorAction = 507,
    SharesTaken = 601,
    SharesReturned = 602,
    LoanGranted = 603,
    LoanReceived = 604,
    LoanEnded = 605,
    LeaseLost = 606,
    LeaseRegained = 607,
    ExpiryVoted = 608,
    IncarnationExpired = 609,
    WitnessesChanged = 610,
    PlatformLost = 701,
    PlatformRegained = 702,
    PlatformWriteRepeated = 703,
    PeerLive = 801,
    PeerSuspected = 802,
    PeerLeaving = 803,
    PeerGone = 804,
    PeerRestarted = 805,
    MessageDropped = 806,
    LinkOpened = 807,
    LinkClosed = 808,
};

/// Field names of the events.
enum class log_key : std::uint8_t {
    Action,
    Address,
    Age,
    Applied,
    Automatic,
    Base,
    Candidates,
    Cause,
    Connections,
    Count,
    Duty,
    Elapsed,
    Error,
    Group,
    Incarnation,
    Instance,
    Kind,
    Loan,
    Lost,
    Member,
    Note,
    Number,
    Outcome,
    Owner,
    Position,
    Predecessor,
    Problem,
    Queued,
    Reason,
    Remaining,
    Request,
    Resource,
    Shares,
    Source,
    State,
    Term,
    Transaction,
    Version,
    Witnesses,
    Workspace,
    Zone,
};

inline constexpr std::array<std::string_view, 41> logKeyNames{
    "action",      "address",      "age_us",  "applied",   "automatic",   "base",    "candidates",
    "cause",       "connections",  "count",   "duty",      "elapsed_us",  "error",   "group",
    "incarnation", "instance",     "kind",    "loan",      "lost",        "member",  "note",
    "number",      "outcome",      "owner",   "position",  "predecessor", "problem", "queued",
    "reason",      "remaining_us", "request", "resource",  "shares",      "source",  "state",
    "term",        "transaction",  "version", "witnesses", "workspace",   "zone",
};

[[nodiscard]] constexpr std::string_view toString(log_key key)
{
    return logKeyNames.at(static_cast<std::size_t>(key));
}

/// Description of one event.
struct log_event_row
{
    log_event event;
    std::string_view name; ///< stable, snake_case
    log_level level;
    std::string_view fields; ///< permitted field names, separated by spaces
    std::string_view meaning;
};

/// @return all events, ordered by number
[[nodiscard]] std::span<const log_event_row> logEvents();

/// @return the description of an event
/// @complexity logarithmic in the number of events
[[nodiscard]] const log_event_row &rowOf(log_event event);

/// An enumeration that toString() maps to constant names.
template <typename type>
concept named_enum = std::is_enum_v<type> && requires(type value)
{
    {
        toString(value)
        } -> std::same_as<std::string_view>;
};

/// One field of a log line.
class field
{
public:
    /// @brief Id of an instance, member, group, zone or workspace.
    template <typename tag>
    [[nodiscard]] static field id(log_key key, const core::named_id<tag> &id)
    {
        return { key, id.value };
    }
    [[nodiscard]] static field id(log_key key, const core::request_id &id);
    [[nodiscard]] static field id(log_key key, const core::transaction_id &id);
    [[nodiscard]] static field incarnation(log_key key, core::incarnation_id id);
    template <std::integral number_type>
    [[nodiscard]] static field number(log_key key, number_type value)
    {
        return { key, std::to_string(value) };
    }
    [[nodiscard]] static field number(log_key key, double value);
    /// @brief The name of an enumerator.
    template <named_enum type>
    [[nodiscard]] static field name(log_key key, type value)
    {
        return { key, std::string(toString(value)) };
    }
    /// @brief The name of an enumerator from a table of names.
    template <typename type, std::size_t size>
    requires std::is_enum_v<type>
    [[nodiscard]] static field name(log_key key, type value,
                                    const std::array<std::string_view, size> &names)
    {
        return { key, std::string(names.at(static_cast<std::size_t>(value))) };
    }
    /// @brief The name of an error of this project, or category and number of any other error.
    [[nodiscard]] static field error(log_key key, const std::error_code &error);
    [[nodiscard]] static field error(log_key key, core::error_kind kind);
    [[nodiscard]] static field position(log_key key, const core::log_position &position);
    /// @brief A duration in microseconds.
    [[nodiscard]] static field duration(log_key key, core::duration value);
    /// @brief IP address and port; any other text is logged as `invalid`.
    [[nodiscard]] static field address(log_key key, const std::string &address);
    /// @brief Members, each with the reason for which it was chosen or rejected.
    template <named_enum type>
    [[nodiscard]] static field members(log_key key,
                                       const std::vector<std::pair<core::member_id, type>> &list)
    {
        std::string value;
        for (const auto &[member, reason] : list) {
            value += value.empty() ? "" : ",";
            value += member.value + ":" + std::string(toString(reason));
        }
        return { key, std::move(value) };
    }

    [[nodiscard]] log_key key() const { return key_; }
    [[nodiscard]] const std::string &value() const { return value_; }

private:
    log_key key_;
    std::string value_;

    field(log_key key, std::string value)
        : key_(key)
        , value_(std::move(value))
    { }
};

/// @brief Appends the value of a field. A value with other bytes than letters, digits and
/// `._:/,+@[]-` stands in quotes with escapes, so that it can add no field and no line.
/// @param value of any bytes; written up to 1,024 bytes
/// @complexity linear in the written bytes
void appendLogValue(std::string &line, std::string_view value);

/// @brief Formats the line of an event, with the fields in the given order.
/// @return the line; a field that the event does not permit is omitted and counted in a last field
/// `unlisted`
/// @complexity linear in the size of the fields
[[nodiscard]] std::string formatEvent(log_event event, std::initializer_list<field> fields);

/// @brief Passes the line of an event to the sink without blocking.
void logEvent(log_sink &sink, log_event event, std::initializer_list<field> fields);

} // namespace fuchsiagw::daemon
