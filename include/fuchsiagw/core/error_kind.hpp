/// @file
/// @brief All error kinds and the answer that a caller receives for each.

#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace fuchsiagw::core {

/// Effect of a request that failed.
enum class request_outcome : std::uint8_t {
    NotRun, ///< no upstream received the request, or the upstream reported that it did not run it
    Unknown, ///< the request may have run
    RolledBack, ///< the request ran and its changes were rolled back
};

/// Whether a caller may retry a failed request.
enum class retry_advice : std::uint8_t {
    Retry, ///< the same request may be sent again
    RetryWithKey, ///< the request may be sent again only if it has an idempotency key
    DoNotRetry, ///< the same request will fail again
};

/// All errors. The numbers are stable and listed in docs/errors.md.
enum class error_kind : int {
    MalformedBody = 101,
    WrongType = 102,
    UnknownField = 103,
    MissingField = 104,
    InvalidValue = 105,
    BodyTooLarge = 106,
    UnknownRoute = 107,
    MethodNotAllowed = 108,
    KeyMissing = 201,
    KeyUnknown = 202,
    KeyWithdrawn = 203,
    KeyUnproven = 204,
    OperatorDenied = 205,
    SessionForeign = 301,
    TransactionUnknown = 401,
    TransactionForeign = 402,
    TransactionLost = 403,
    TransactionBusy = 404,
    RateLimited = 501,
    Overloaded = 502,
    DeadlineUnreachable = 503,
    DeadlineExceeded = 504,
    GroupUnknown = 601,
    NoPrimary = 602,
    NoMember = 603,
    UpstreamRefused = 604,
    UpstreamFailed = 605,
    OutcomeUnknown = 606,
    NotConfirmed = 607,
    ReadClassUnknown = 608,
    NoteInvalid = 701,
    NoteConflict = 702,
    NoteNotExact = 703,
    NoteOutcomeUnknown = 704,
    PlatformUnavailable = 705,
    SwitchedOff = 706,
    Draining = 801,
    NotReady = 802,
    PeerUnreachable = 803,
    Internal = 804,
    MessageDamaged = 901,
    MessageReplayed = 902,
    MessageForeign = 903,
    MessageTooLarge = 904,
    SettingsInvalid = 1001,
};

/// One row of the table from error kind to answer.
struct error_answer
{
    error_kind kind;
    std::string_view name; ///< stable name in snake_case for JSON bodies and logs
    int httpStatus;
    request_outcome outcome;
    retry_advice advice;
    std::string_view defaultProblem; ///< default description, which says what to change
};

/// @brief Looks up the answer for an error.
/// @complexity linear in the number of kinds
[[nodiscard]] const error_answer &answerOf(error_kind kind);

/// @brief Finds the answer whose name is @p name.
/// @return nullptr if there is none
[[nodiscard]] const error_answer *findAnswer(std::string_view name);

/// @return the first of errorAnswerCount() contiguous rows of the table
[[nodiscard]] const error_answer *errorAnswers();

/// @return the number of rows of the table
[[nodiscard]] std::size_t errorAnswerCount();

[[nodiscard]] std::string_view toString(request_outcome outcome);
[[nodiscard]] std::string_view toString(retry_advice advice);

/// @return the category of all error codes made from error_kind
[[nodiscard]] const std::error_category &errorCategory();

[[nodiscard]] std::error_code
make_error_code(error_kind kind); // NOLINT(readability-identifier-naming)

/// @brief Converts a code of errorCategory() to its kind. Any other code becomes
/// error_kind::Internal.
[[nodiscard]] error_kind kindOf(const std::error_code &code);

} // namespace fuchsiagw::core

template <>
struct std::is_error_code_enum<fuchsiagw::core::error_kind> : std::true_type
{ };
