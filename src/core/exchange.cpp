/// @file
/// @brief State machine of one statement from the queue to its answer.

#include <fuchsiagw/core/exchange.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

exchange_action answerWith(exchange &current, std::optional<error_kind> error)
{
    current.state = exchange_state::Answered;
    exchange_action action;
    action.step = exchange_step::Answer;
    action.error = error;
    return action;
}

exchange_action routeAgain(exchange &current, exchange_step step, time_point notBefore)
{
    current.state = exchange_state::Queued;
    exchange_action action;
    action.step = step;
    action.notBefore = notBefore;
    return action;
}

/// Returns whether running the statement a second time is harmless. A transaction whose begin was
/// not answered is rolled back when its connection is closed.
bool isSafeToRetry(const exchange &current)
{
    if (current.inTransaction)
        return false;
    return current.kind == statement_kind::Read || current.kind == statement_kind::Begin
           || current.hasIdempotencyKey;
}

/// Returns whether the answer must wait for confirmation. The writes of a transaction are confirmed
/// together by its commit.
bool needsConfirmation(const exchange &current, const execute_answer &answer)
{
    if (current.kind == statement_kind::Commit)
        return answer.position != log_position{}; // zero if the transaction wrote nothing
    return current.kind == statement_kind::Write && !current.inTransaction;
}

exchange_action failTransaction(exchange &current)
{
    exchange_action action = answerWith(current, error_kind::TransactionLost);
    action.closeConnection = true;
    return action;
}

/// Counts a refusal.
/// @return the delay before the next attempt
duration nextRefusalDelay(exchange &current)
{
    constexpr std::uint32_t maxExponent = 8; // beyond it every delay is maxRefusalDelay
    const std::int64_t factor = std::int64_t{ 1 }
                                << std::min(current.consecutiveRefusals, maxExponent);
    current.consecutiveRefusals += 1;
    return std::min(initialRefusalDelay * factor, maxRefusalDelay);
}

exchange_action onRefused(exchange &current, const execute_answer &answer, time_point now)
{
    // The refusal resolves only this attempt. An earlier one may have run.
    assert(current.unresolved > 0);
    current.unresolved -= 1;
    const bool termDiffers = answer.term != current.term;
    if (current.inTransaction) {
        // A transaction can be committed only under the term in which it began.
        return termDiffers ? failTransaction(current)
                           : answerWith(current, error_kind::UpstreamRefused);
    }
    const duration delay = nextRefusalDelay(current);
    if (!termDiffers && current.consecutiveRefusals >= maxConsecutiveRefusals)
        return answerWith(current, errorWithoutAnswer(current, error_kind::UpstreamRefused));
    return routeAgain(current, exchange_step::SendToMember, now + delay);
}

exchange_action onStaleAnswer(exchange &current, time_point now)
{
    // A primary that is behind the session has been replaced by another one, so its open
    // transactions can't be committed.
    if (current.inTransaction)
        return failTransaction(current);
    const bool wasPrimary = current.primaryOnly;
    current.primaryOnly = true;
    const duration delay = wasPrimary ? nextRefusalDelay(current) : duration::zero();
    return routeAgain(current, exchange_step::AskPrimary, now + delay);
}

} // namespace

std::string_view toString(exchange_state state)
{
    return exchangeStateNames.at(static_cast<std::size_t>(state));
}

std::string_view toString(exchange_step step)
{
    return exchangeStepNames.at(static_cast<std::size_t>(step));
}

exchange makeExchange(const statement_request &statement)
{
    exchange current;
    current.kind = statement.kind;
    current.inTransaction = statement.transaction.has_value();
    current.hasIdempotencyKey = !statement.idempotencyKey.empty();
    current.deadline = statement.deadline;
    return current;
}

void onSent(exchange &current, const request_id &attempt, const member_id &member, term_number term)
{
    assert(current.state == exchange_state::Queued);
    // A statement that may have run must not be sent again unless a second run is harmless.
    assert(current.unresolved == 0 || isSafeToRetry(current));
    current.state = exchange_state::Sent;
    current.attempt = attempt;
    current.member = member;
    current.term = term;
    current.attempts += 1;
    current.unresolved += 1;
}

exchange_action onNotSent(exchange &current, time_point now)
{
    if (current.state != exchange_state::Queued)
        return {};
    if (current.inTransaction)
        return answerWith(current, error_kind::TransactionLost);
    return routeAgain(current, exchange_step::SendToMember, now);
}

exchange_action onAnswer(exchange &current, const execute_answer &answer, answer_verdict verdict,
                         time_point now)
{
    if (current.state != exchange_state::Sent) {
        // No request is in flight on this connection, so the answer belongs to an unknown request.
        exchange_action action;
        action.closeConnection = true;
        return action;
    }
    if (answer.id != current.attempt || verdict == answer_verdict::Drop)
        return onConnectionLost(current, now);
    if (answer.status == execute_status::Refused)
        return onRefused(current, answer, now);
    if (answer.status == execute_status::Failed) {
        // An earlier, unanswered attempt may have run or may still run.
        const bool isResolved = current.unresolved == 1 || current.kind == statement_kind::Read;
        return answerWith(current,
                          isResolved ? error_kind::UpstreamFailed : error_kind::OutcomeUnknown);
    }
    if (verdict == answer_verdict::AskPrimaryPosition || verdict == answer_verdict::AskPrimaryAge)
        return onStaleAnswer(current, now);
    current.consecutiveRefusals = 0;
    if (needsConfirmation(current, answer)) {
        current.state = exchange_state::Waiting;
        exchange_action action;
        action.step = exchange_step::WaitForConfirmation;
        return action;
    }
    return answerWith(current, std::nullopt);
}

exchange_action onConnectionLost(exchange &current, time_point now)
{
    if (current.state != exchange_state::Sent)
        return {};
    const bool isRetried = isSafeToRetry(current) && now < current.deadline;
    exchange_action action =
            isRetried ? routeAgain(current, exchange_step::RetryOnNewConnection, now)
                      : answerWith(current,
                                   errorWithoutAnswer(current, error_kind::DeadlineExceeded));
    action.closeConnection = true;
    return action;
}

exchange_action onConfirmed(exchange &current)
{
    if (current.state != exchange_state::Waiting)
        return {};
    return answerWith(current, std::nullopt);
}

exchange_action onNotConfirmed(exchange &current)
{
    if (current.state != exchange_state::Waiting)
        return {};
    return answerWith(current, error_kind::NotConfirmed);
}

exchange_action onSuperseded(exchange &current, time_point now)
{
    if (current.state != exchange_state::Waiting)
        return {};
    if (isSafeToRetry(current) && now < current.deadline)
        return routeAgain(current, exchange_step::SendToMember, now);
    return answerWith(current, error_kind::NotConfirmed);
}

exchange_action onDeadline(exchange &current, error_kind unsentReason)
{
    switch (current.state) {
    case exchange_state::Waiting:
        return answerWith(current, error_kind::NotConfirmed);
    case exchange_state::Answered:
        return {};
    case exchange_state::Queued:
    case exchange_state::Sent:
        break;
    }
    const bool isSent = current.state == exchange_state::Sent;
    exchange_action action = answerWith(current, errorWithoutAnswer(current, unsentReason));
    action.closeConnection = isSent;
    return action;
}

error_kind errorWithoutAnswer(const exchange &current, error_kind unsentReason)
{
    if (current.unresolved == 0)
        return unsentReason;
    // Closing the connection rolls back a transaction for which no commit was sent.
    const bool isOpen = current.inTransaction && current.kind != statement_kind::Commit;
    return isOpen || current.kind == statement_kind::Begin ? error_kind::TransactionLost
                                                           : error_kind::OutcomeUnknown;
}

} // namespace fuchsiagw::core
