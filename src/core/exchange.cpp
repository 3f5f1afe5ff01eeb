/// @file
/// @brief The way of one statement from the queue to its answer.

#include <fuchsiagw/core/exchange.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

exchange_action answerWith(exchange &each, std::optional<error_kind> error)
{
    each.state = exchange_state::Answered;
    exchange_action action;
    action.step = exchange_step::Answer;
    action.error = error;
    return action;
}

exchange_action routeAgain(exchange &each, exchange_step step, time_point notBefore)
{
    each.state = exchange_state::Queued;
    exchange_action action;
    action.step = step;
    action.notBefore = notBefore;
    return action;
}

/// Whether a second run does no harm. A begin that gets no answer is rolled back with its
/// connection.
bool mayRepeat(const exchange &each)
{
    if (each.inTransaction)
        return false;
    return each.kind == statement_kind::Read || each.kind == statement_kind::Begin || each.hasKey;
}

/// The write is over only when it is confirmed; within a transaction the commit is.
bool needsConfirmation(const exchange &each, const execute_answer &answer)
{
    if (each.kind == statement_kind::Commit)
        return answer.position != log_position{}; // a commit without writes has no position
    return each.kind == statement_kind::Write && !each.inTransaction;
}

exchange_action loseTransaction(exchange &each)
{
    exchange_action action = answerWith(each, error_kind::TransactionLost);
    action.closeConnection = true;
    return action;
}

/// @return the pause before the next attempt; counts this refusal
duration pauseAfterRefusal(exchange &each)
{
    constexpr std::uint32_t longestExponent = 8; // beyond it every pause is the longest one
    const std::int64_t factor = std::int64_t{ 1 } << std::min(each.refusalsInRow, longestExponent);
    each.refusalsInRow += 1;
    return std::min(refusedPause * factor, refusedPauseLongest);
}

exchange_action onRefused(exchange &each, const execute_answer &answer, time_point now)
{
    // The refusal resolves this attempt only; an earlier one may still have run.
    assert(each.unresolved > 0);
    each.unresolved -= 1;
    const bool termDiffers = answer.term != each.term;
    if (each.inTransaction) {
        // Under another term the transaction can't be committed any more.
        return termDiffers ? loseTransaction(each) : answerWith(each, error_kind::UpstreamRefused);
    }
    const duration pause = pauseAfterRefusal(each);
    if (!termDiffers && each.refusalsInRow >= refusalsBeforeAnswer)
        return answerWith(each, lostError(each, error_kind::UpstreamRefused));
    return routeAgain(each, exchange_step::SendToMember, now + pause);
}

exchange_action onBehind(exchange &each, time_point now)
{
    // A primary that is behind the session has been replaced, and its transactions with it.
    if (each.inTransaction)
        return loseTransaction(each);
    const bool wasPrimary = each.primaryOnly;
    each.primaryOnly = true;
    const duration pause = wasPrimary ? pauseAfterRefusal(each) : duration::zero();
    return routeAgain(each, exchange_step::AskPrimary, now + pause);
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
    exchange each;
    each.kind = statement.kind;
    each.inTransaction = statement.transaction.has_value();
    each.hasKey = !statement.idempotencyKey.empty();
    each.deadline = statement.deadline;
    return each;
}

void onSent(exchange &each, const request_id &attempt, const member_id &member, term_number term)
{
    assert(each.state == exchange_state::Queued);
    // The central rule: what may have run is not sent again unless a second run does no harm.
    assert(each.unresolved == 0 || mayRepeat(each));
    each.state = exchange_state::Sent;
    each.attempt = attempt;
    each.member = member;
    each.term = term;
    each.attempts += 1;
    each.unresolved += 1;
}

exchange_action onNotSent(exchange &each, time_point now)
{
    if (each.state != exchange_state::Queued)
        return {};
    if (each.inTransaction)
        return answerWith(each, error_kind::TransactionLost);
    return routeAgain(each, exchange_step::SendToMember, now);
}

exchange_action onAnswer(exchange &each, const execute_answer &answer, answer_verdict verdict,
                         time_point now)
{
    if (each.state != exchange_state::Sent) {
        // Nothing was asked on this connection, so what arrives on it can't be trusted.
        exchange_action action;
        action.closeConnection = true;
        return action;
    }
    if (answer.id != each.attempt || verdict == answer_verdict::Drop)
        return onConnectionLost(each, now);
    if (answer.status == execute_status::Refused)
        return onRefused(each, answer, now);
    if (answer.status == execute_status::Failed) {
        // An earlier attempt without an answer may have run, or may run later.
        const bool isResolved = each.unresolved == 1 || each.kind == statement_kind::Read;
        return answerWith(each,
                          isResolved ? error_kind::UpstreamFailed : error_kind::OutcomeUnknown);
    }
    if (verdict == answer_verdict::AskPrimaryPosition || verdict == answer_verdict::AskPrimaryAge)
        return onBehind(each, now);
    each.refusalsInRow = 0;
    if (needsConfirmation(each, answer)) {
        each.state = exchange_state::Waiting;
        exchange_action action;
        action.step = exchange_step::WaitForConfirmation;
        return action;
    }
    return answerWith(each, std::nullopt);
}

exchange_action onConnectionLost(exchange &each, time_point now)
{
    if (each.state != exchange_state::Sent)
        return {};
    const bool isRepeated = mayRepeat(each) && now < each.deadline;
    exchange_action action =
            isRepeated ? routeAgain(each, exchange_step::RetryOnNewConnection, now)
                       : answerWith(each, lostError(each, error_kind::DeadlineExceeded));
    action.closeConnection = true;
    return action;
}

exchange_action onConfirmed(exchange &each)
{
    if (each.state != exchange_state::Waiting)
        return {};
    return answerWith(each, std::nullopt);
}

exchange_action onNotConfirmed(exchange &each)
{
    if (each.state != exchange_state::Waiting)
        return {};
    return answerWith(each, error_kind::NotConfirmed);
}

exchange_action onSuperseded(exchange &each, time_point now)
{
    if (each.state != exchange_state::Waiting)
        return {};
    if (mayRepeat(each) && now < each.deadline)
        return routeAgain(each, exchange_step::SendToMember, now);
    return answerWith(each, error_kind::NotConfirmed);
}

exchange_action onDeadline(exchange &each, error_kind unsentReason)
{
    switch (each.state) {
    case exchange_state::Waiting:
        return answerWith(each, error_kind::NotConfirmed);
    case exchange_state::Answered:
        return {};
    case exchange_state::Queued:
    case exchange_state::Sent:
        break;
    }
    const bool isSent = each.state == exchange_state::Sent;
    exchange_action action = answerWith(each, lostError(each, unsentReason));
    action.closeConnection = isSent;
    return action;
}

error_kind lostError(const exchange &each, error_kind unsentReason)
{
    if (each.unresolved == 0)
        return unsentReason;
    // Without a commit a transaction is rolled back with its connection, which is closed.
    const bool isOpen = each.inTransaction && each.kind != statement_kind::Commit;
    return isOpen || each.kind == statement_kind::Begin ? error_kind::TransactionLost
                                                        : error_kind::OutcomeUnknown;
}

} // namespace fuchsiagw::core
