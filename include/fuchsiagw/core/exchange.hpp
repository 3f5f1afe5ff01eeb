/// @file
/// @brief The way of one statement from the queue to its answer.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/routing.hpp>
#include <fuchsiagw/core/statement.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace fuchsiagw::core {

/// Pause before a refused statement is routed again; it doubles with each refusal in a row.
inline constexpr duration initialRefusalDelay = std::chrono::milliseconds(5);
/// Longest such pause. Short against a promotion, which is what most refusals wait for.
inline constexpr duration maxRefusalDelay = std::chrono::milliseconds(100);
/// Refusals in a row by members that agree on the term, after which the caller gets the refusal. A
/// member refuses so while it has accepted a term but does not lead it yet, so one is not enough.
inline constexpr std::uint32_t maxConsecutiveRefusals = 8;

enum class exchange_state : std::uint8_t {
    Queued, ///< no attempt is under way
    Sent, ///< bytes of an attempt may have reached a member
    Waiting, ///< ran, waits for confirmation by a majority
    Answered, ///< final
};

inline constexpr std::array<std::string_view, 4> exchangeStateNames{ "queued", "sent", "waiting",
                                                                     "answered" };

enum class exchange_step : std::uint8_t {
    None, ///< nothing to do; the event was late or foreign to the exchange
    SendToMember, ///< route (again) at `notBefore`, then report onSent() or onNotSent()
    AskPrimary, ///< like SendToMember, with routing_request::primaryOnly
    RetryOnNewConnection, ///< like SendToMember, never on the connection that failed
    WaitForConfirmation, ///< hand the write to the pending writes
    Answer, ///< give `error` or the success to the caller
};

inline constexpr std::array<std::string_view, 6> exchangeStepNames{ "none",  "send", "ask_primary",
                                                                    "retry", "wait", "answer" };

/// What is done after an event.
struct exchange_action
{
    exchange_step step = exchange_step::None;
    std::optional<error_kind> error; ///< only with Answer; empty: success
    bool closeConnection = false; ///< the connection of the attempt must not be used again
    time_point notBefore = time_point::min();
};

/// One statement. Invariants: Answered is never left; a statement with unresolved attempts is sent
/// again only if a second run does no harm.
struct exchange
{
    statement_kind kind = statement_kind::Read;
    bool inTransaction = false; ///< belongs to the connection of its transaction
    bool hasIdempotencyKey = false; ///< has an idempotency key, so that it may be repeated
    time_point deadline = noDeadline;

    exchange_state state = exchange_state::Queued;
    request_id attempt; ///< id of the newest attempt; each attempt has its own
    member_id member; ///< where the newest attempt went
    term_number term = 0; ///< term that the newest attempt carried
    std::uint32_t attempts = 0;
    /// Attempts that were sent and not refused: each of them ran or may still run.
    std::uint32_t unresolved = 0;
    std::uint32_t consecutiveRefusals = 0; ///< including reads that were behind at the primary
    bool primaryOnly = false;
};

[[nodiscard]] std::string_view toString(exchange_state state);
[[nodiscard]] std::string_view toString(exchange_step step);

/// @brief Starts the exchange of a parsed statement.
[[nodiscard]] exchange makeExchange(const statement_request &statement);

/// @brief An attempt is about to be written to a connection. From here on the member may run it.
/// @param attempt fresh id of this attempt
/// @param term the term that the request carries
void onSent(exchange &current, const request_id &attempt, const member_id &member,
            term_number term);

/// @brief No connection could be made, so that no byte of the attempt left.
/// @return SendToMember; for a statement of a transaction, whose connection is gone, the answer
[[nodiscard]] exchange_action onNotSent(exchange &current, time_point now);

/// @brief An answer arrived on the connection of the newest attempt.
/// @param verdict of checkAnswer() for successful reads, Accept for everything else
/// @return what to do; an answer with a foreign id closes the connection and counts as a failure
[[nodiscard]] exchange_action onAnswer(exchange &current, const execute_answer &answer,
                                       answer_verdict verdict, time_point now);

/// @brief The connection of the newest attempt closed or was silent beyond its timeout.
[[nodiscard]] exchange_action onConnectionLost(exchange &current, time_point now);

/// @brief The write was confirmed as the acknowledgement policy demands.
[[nodiscard]] exchange_action onConfirmed(exchange &current);

/// @brief The write was not confirmed before its deadline.
[[nodiscard]] exchange_action onNotConfirmed(exchange &current);

/// @brief The write's term has ended before it was confirmed. With an idempotency key it is
/// repeated at the new primary, which tells whether it has it.
[[nodiscard]] exchange_action onSuperseded(exchange &current, time_point now);

/// @brief The deadline has passed.
/// @param unsentReason what to report if nothing can have run: DeadlineExceeded, NoPrimary or
/// NoMember, as the last routing decision said
[[nodiscard]] exchange_action onDeadline(exchange &current, error_kind unsentReason);

/// @return the error that is true for a statement which ends now without an answer of a member
[[nodiscard]] error_kind errorWithoutAnswer(const exchange &current, error_kind unsentReason);

} // namespace fuchsiagw::core
