/// @file
/// @brief State machine of one statement from the queue to its answer: attempts, retries and
/// confirmation.

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

/// Delay before a refused statement is routed again. It doubles with each consecutive refusal.
inline constexpr duration initialRefusalDelay = std::chrono::milliseconds(5);
/// Maximum of this delay. It is short compared with a promotion, the most frequent cause of
/// refusals.
inline constexpr duration maxRefusalDelay = std::chrono::milliseconds(100);
/// Number of consecutive refusals after which a refusal under the request's own term is returned to
/// the caller. A single one is not enough: a member that has accepted a term but does not lead it
/// yet refuses too.
inline constexpr std::uint32_t maxConsecutiveRefusals = 8;

enum class exchange_state : std::uint8_t {
    Queued, ///< no attempt is in flight
    Sent, ///< the newest attempt may have reached a member
    Waiting, ///< the write ran and waits for confirmation by a majority
    Answered, ///< final state
};

inline constexpr std::array<std::string_view, 4> exchangeStateNames{ "queued", "sent", "waiting",
                                                                     "answered" };

enum class exchange_step : std::uint8_t {
    None, ///< nothing to do; the event was late or belongs to another exchange
    SendToMember, ///< route at `notBefore`, then call onSent() or onNotSent()
    AskPrimary, ///< like SendToMember, with routing_request::primaryOnly set
    RetryOnNewConnection, ///< like SendToMember, but not on the connection that failed
    WaitForConfirmation, ///< add the write to the pending writes
    Answer, ///< return `error` or success to the caller
};

inline constexpr std::array<std::string_view, 6> exchangeStepNames{ "none",  "send", "ask_primary",
                                                                    "retry", "wait", "answer" };

/// What the owner must do after an event.
struct exchange_action
{
    exchange_step step = exchange_step::None;
    std::optional<error_kind> error; ///< set only with Answer; empty: success
    bool closeConnection = false; ///< the connection of the attempt must not be used again
    time_point notBefore = time_point::min();
};

/// The execution of one statement. Invariants: the state Answered is final; a statement with
/// unresolved attempts is sent again only if isSafeToRetry() holds, so that a statement which must
/// run at most once never runs twice.
struct exchange
{
    statement_kind kind = statement_kind::Read;
    bool inTransaction = false; ///< must run on the connection of its transaction
    bool hasIdempotencyKey = false;
    time_point deadline = noDeadline;

    exchange_state state = exchange_state::Queued;
    request_id attempt; ///< id of the newest attempt; each attempt has an id of its own
    member_id member; ///< the member that received the newest attempt
    term_number term = 0; ///< term of the newest attempt
    std::uint32_t attempts = 0;
    /// Number of attempts that were sent and not refused. Each of them may have run or may still
    /// run.
    std::uint32_t unresolved = 0;
    std::uint32_t consecutiveRefusals = 0; ///< includes reads that found the primary behind
    bool primaryOnly = false;
};

[[nodiscard]] std::string_view toString(exchange_state state);
[[nodiscard]] std::string_view toString(exchange_step step);

/// @brief Creates the exchange of a parsed statement.
[[nodiscard]] exchange makeExchange(const statement_request &statement);

/// @brief Records an attempt that is about to be written to a connection. From now on the member
/// may run it.
/// @param attempt new id of this attempt
/// @param term the term that the request carries
void onSent(exchange &current, const request_id &attempt, const member_id &member,
            term_number term);

/// @brief Handles an attempt of which no byte was sent because no connection could be opened.
/// @return SendToMember, or Answer with TransactionLost within a transaction, whose connection is
/// closed
[[nodiscard]] exchange_action onNotSent(exchange &current, time_point now);

/// @brief Handles an answer on the connection of the newest attempt.
/// @param verdict the result of checkAnswer() for a successful read, else Accept
/// @return what to do; an answer with another id is handled like a lost connection
[[nodiscard]] exchange_action onAnswer(exchange &current, const execute_answer &answer,
                                       answer_verdict verdict, time_point now);

/// @brief Handles a connection of the newest attempt that closed or timed out.
[[nodiscard]] exchange_action onConnectionLost(exchange &current, time_point now);

/// @brief Handles the confirmation of a write according to the acknowledgement policy.
[[nodiscard]] exchange_action onConfirmed(exchange &current);

/// @brief Handles a write that was not confirmed before its deadline.
[[nodiscard]] exchange_action onNotConfirmed(exchange &current);

/// @brief Handles a write whose term ended before the write was confirmed. A write with an
/// idempotency key is sent to the new primary, which runs it or reports the earlier run.
[[nodiscard]] exchange_action onSuperseded(exchange &current, time_point now);

/// @brief Handles the end of the deadline.
/// @param unsentReason error to report if no attempt can have run: NoPrimary or NoMember if the
/// last routing decision found none, else DeadlineExceeded
[[nodiscard]] exchange_action onDeadline(exchange &current, error_kind unsentReason);

/// @brief Determines the error of a statement that ends without an answer from a member.
/// @param unsentReason error if no attempt can have run
[[nodiscard]] error_kind errorWithoutAnswer(const exchange &current, error_kind unsentReason);

} // namespace fuchsiagw::core
