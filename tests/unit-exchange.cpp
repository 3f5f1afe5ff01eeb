/// @file
/// @brief Tests of the state machine that executes one statement.

#include <fuchsiagw/core/exchange.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{ 10s };

exchange make(statement_kind kind, bool hasIdempotencyKey = false, bool inTransaction = false)
{
    statement_request statement;
    statement.kind = kind;
    statement.idempotencyKey = hasIdempotencyKey ? "key" : "";
    statement.deadline = now + 1s;
    if (inTransaction)
        statement.transaction = transaction_id{ 1, 1 };
    return makeExchange(statement);
}

void send(exchange &current, std::uint64_t attempt = 1)
{
    onSent(current, { 0, attempt }, { "a" }, 5);
}

execute_answer makeAnswer(execute_status status, std::uint64_t attempt = 1, term_number term = 5)
{
    execute_answer answer;
    answer.id = { 0, attempt };
    answer.status = status;
    answer.term = term;
    answer.position = { 5, 7 };
    return answer;
}

exchange_action receive(exchange &current, const execute_answer &answer)
{
    return onAnswer(current, answer, answer_verdict::Accept, now);
}

bool answers(const exchange_action &action, error_kind error)
{
    return action.step == exchange_step::Answer && action.error == error;
}

} // namespace

TEST_GROUP(exchange){};

// Guards against running a write twice and against reporting `not_run` for a write that may have
// run. Both can happen when the connection closes, or an answer with a wrong id arrives, after a
// write without idempotency key was sent.
TEST(exchange, lostAnswerIsRetriedOnlyIfSafe)
{
    struct lost_case
    {
        statement_kind kind;
        bool hasIdempotencyKey;
        bool inTransaction;
        std::optional<error_kind> error; ///< empty: the statement is sent again
    };
    const lost_case cases[] = {
        { statement_kind::Write, false, false, error_kind::OutcomeUnknown },
        { statement_kind::Write, true, false, std::nullopt },
        { statement_kind::Read, false, false, std::nullopt },
        { statement_kind::Begin, false, false, std::nullopt },
        { statement_kind::Read, false, true, error_kind::TransactionLost },
        { statement_kind::Write, true, true, error_kind::TransactionLost },
        { statement_kind::Commit, false, true, error_kind::OutcomeUnknown },
        { statement_kind::Commit, true, true, error_kind::OutcomeUnknown },
        { statement_kind::Rollback, false, true, error_kind::TransactionLost },
    };
    for (const lost_case &each : cases) {
        for (const bool isForeign : { false, true }) {
            exchange current = make(each.kind, each.hasIdempotencyKey, each.inTransaction);
            send(current);
            // An answer with another id must count as a lost one.
            const exchange_action action =
                    isForeign ? receive(current, makeAnswer(execute_status::Refused, 99))
                              : onConnectionLost(current, now);
            CHECK_TRUE(action.closeConnection);
            CHECK_TRUE(each.error ? answers(action, *each.error)
                                  : action.step == exchange_step::RetryOnNewConnection);
        }
    }
}

// Guards against reporting `not_run` at the deadline for a statement that was sent and not refused.
TEST(exchange, deadlineReportsNotRunOnlyIfNothingWasSent)
{
    for (const auto kind : { statement_kind::Read, statement_kind::Write, statement_kind::Begin,
                             statement_kind::Commit, statement_kind::Rollback }) {
        const bool inTransaction =
                kind == statement_kind::Commit || kind == statement_kind::Rollback;
        exchange unsent = make(kind, false, inTransaction);
        CHECK_TRUE(answers(onDeadline(unsent, error_kind::NoPrimary), error_kind::NoPrimary));
        exchange sent = make(kind, false, inTransaction);
        send(sent);
        const exchange_action action = onDeadline(sent, error_kind::NoPrimary);
        CHECK_TRUE(action.closeConnection);
        CHECK_TRUE(answerOf(*action.error).outcome != request_outcome::NotRun);
    }
}

// Guards against reporting `not_run` when a retry is refused or fails although an earlier,
// unanswered attempt may have run.
TEST(exchange, refusalResolvesOnlyItsOwnAttempt)
{
    exchange current = make(statement_kind::Write, true);
    send(current, 1);
    CHECK_TRUE(onConnectionLost(current, now).step == exchange_step::RetryOnNewConnection);
    send(current, 2);
    CHECK_TRUE(receive(current, makeAnswer(execute_status::Refused, 2)).step
               == exchange_step::SendToMember);
    CHECK_TRUE(answers(onDeadline(current, error_kind::NoPrimary), error_kind::OutcomeUnknown));

    exchange failed = make(statement_kind::Write, true);
    send(failed, 1);
    CHECK_TRUE(onConnectionLost(failed, now).step == exchange_step::RetryOnNewConnection);
    send(failed, 2);
    CHECK_TRUE(answers(receive(failed, makeAnswer(execute_status::Failed, 2)),
                       error_kind::OutcomeUnknown));
}

// Guards against failing refused writes during a promotion, and against retrying them without end
// when the term does not change.
TEST(exchange, refusedWriteIsRoutedAgain)
{
    exchange current = make(statement_kind::Write);
    time_point latest = now;
    for (std::uint64_t i = 1; i < 100; ++i) {
        send(current, i);
        const exchange_action action = receive(current, makeAnswer(execute_status::Refused, i, 6));
        CHECK_TRUE(action.step == exchange_step::SendToMember);
        CHECK_TRUE(action.notBefore > now && action.notBefore <= now + maxRefusalDelay);
        latest = action.notBefore;
    }
    CHECK_TRUE(latest == now + maxRefusalDelay);
    send(current, 100);
    CHECK_TRUE(answers(receive(current, makeAnswer(execute_status::Refused, 100)),
                       error_kind::UpstreamRefused));
}

// Guards against reporting success before a write is confirmed, and against sending a write again
// without idempotency key after its term has ended.
TEST(exchange, writeWaitsForConfirmation)
{
    for (const bool hasIdempotencyKey : { false, true }) {
        exchange current = make(statement_kind::Write, hasIdempotencyKey);
        send(current);
        CHECK_TRUE(receive(current, makeAnswer(execute_status::Ok)).step
                   == exchange_step::WaitForConfirmation);
        exchange superseded = current;
        exchange expired = current;
        const exchange_action action = onConfirmed(current);
        CHECK_TRUE(action.step == exchange_step::Answer && !action.error);
        CHECK_TRUE(onDeadline(current, error_kind::NoPrimary).step == exchange_step::None);
        CHECK_TRUE(answers(onDeadline(expired, error_kind::NoPrimary), error_kind::NotConfirmed));
        const exchange_action next = onSuperseded(superseded, now);
        CHECK_TRUE(hasIdempotencyKey ? next.step == exchange_step::SendToMember
                                     : answers(next, error_kind::NotConfirmed));
    }
    exchange commit = make(statement_kind::Commit, false, true);
    send(commit);
    CHECK_TRUE(receive(commit, makeAnswer(execute_status::Ok)).step
               == exchange_step::WaitForConfirmation);
}

// Guards against returning a read that misses the session's own writes because the replica had not
// applied them yet.
TEST(exchange, staleReadIsSentToThePrimary)
{
    exchange current = make(statement_kind::Read);
    send(current);
    const exchange_action action = onAnswer(current, makeAnswer(execute_status::Ok),
                                            answer_verdict::AskPrimaryPosition, now);
    CHECK_TRUE(action.step == exchange_step::AskPrimary && current.primaryOnly);
    CHECK_TRUE(answers(onDeadline(current, error_kind::NoPrimary), error_kind::OutcomeUnknown));
}

// Guards against late events that change the answer of a finished exchange.
TEST(exchange, lateEventsChangeNothing)
{
    exchange current = make(statement_kind::Write);
    send(current);
    CHECK_TRUE(answers(onConnectionLost(current, now), error_kind::OutcomeUnknown));
    CHECK_TRUE(receive(current, makeAnswer(execute_status::Ok)).step == exchange_step::None);
    CHECK_TRUE(onConfirmed(current).step == exchange_step::None);
    CHECK_TRUE(onConnectionLost(current, now).step == exchange_step::None);
}
