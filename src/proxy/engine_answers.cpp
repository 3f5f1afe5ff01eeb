/// @file
/// @brief Handles answers of members: results for callers and retries.

#include <fuchsiagw/detail/answer_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr double smoothing = 0.2; // weight of the latest sample
constexpr double failureSmoothing = 0.08; // weight of the latest statement
/// Limit, from the opening of a link, for answers that no request waits for any more.
constexpr milliseconds orphanedAnswerTimeout{ 4'000 };
constexpr milliseconds laggingBackoff{ 120 };
/// A relay that is stopping or does not know the member is replaced for this long.
constexpr milliseconds refusingRelayBackoff{ 3'000 };
constexpr milliseconds connectionLimitBackoff{ 20 };
constexpr int maxBusyDoublings = 4;
constexpr int maxConnectionLimitDoublings = 4;

void smooth(double &value, core::duration sample)
{
    const auto micros = static_cast<double>(sample.count());
    value = value > 0 ? value + smoothing * (micros - value) : micros;
}

/// Updates the failure rate of a member, which may fail some statements and answer others normally.
void recordResult(member_state &member, reply_code code, core::time_point now)
{
    const bool failed = code == reply_code::Failed || code == reply_code::TimedOut;
    member.failureRate += failureSmoothing * ((failed ? 1 : 0) - member.failureRate);
    if (failed)
        member.lastFailureAt = now;
}

void recordAlive(member_state &member, core::time_point now)
{
    member.lastAnswerAt = now;
    member.unresponsiveSince = core::noDeadline;
    member.consecutiveFailures = 0;
}

/// Drops the session's position if the leader lacks it: a promotion has rolled it back.
void dropRolledBackPosition(engine &state, session &caller, const std::string &member)
{
    request &pending = *caller.current;
    const service_state &service = state.services.at(pending.effectiveRoute.service);
    if (service.leader != member || !pending.where.minPosition)
        return;
    caller.ownPosition.reset();
    pending.where.minPosition.reset();
    pending.where.needsPrimary = true;
    pending.where.wrapsInTransaction = caller.state == transaction_state::Idle;
}

void recordRefusal(engine &state, session &caller, const std::string &memberId, reply_code code,
                   core::time_point now)
{
    request &pending = *caller.current;
    member_state *member = findMember(state, memberId);
    service_state *service = findService(state, pending.effectiveRoute.service);
    if (member == nullptr || service == nullptr)
        return;
    if (code == reply_code::Lagging) {
        member->laggingUntil = now + laggingBackoff;
        dropRolledBackPosition(state, caller, memberId);
    } else if (code == reply_code::Busy) {
        const int doublings = std::min(member->busyRefusals++, maxBusyDoublings);
        member->busyUntil = now + withJitter(state, busyBackoff * (1 << doublings));
    } else if (code == reply_code::ReadOnly) {
        loseLeader(state, *service, memberId, now);
    }
}

/// Answers a commit that its primary has acknowledged, but that an open promotion order may not
/// keep: the second copy may be at another replica than the ordered one.
void withholdCommit(engine &state, session &caller, upstream_link &link, core::time_point now)
{
    if (caller.current->statement.kind == statement_kind::Commit) {
        link.pinnedTo = 0;
        caller.transaction.reset();
        caller.state = transaction_state::Idle;
    }
    refuseRequest(state, caller, refusal_reason::CommitUnproven, now);
}

void deliverSuccess(engine &state, session &caller, upstream_link &link,
                    const expected_answer &expected, reply &&answer, core::time_point now)
{
    request &pending = *caller.current;
    const bool commits = pending.statement.kind == statement_kind::Commit;
    const bool wroteOutsideTransaction = caller.state == transaction_state::Idle && pending.writes;
    service_state &service = state.services.at(pending.effectiveRoute.service);
    if (pending.needsEvidence && pending.where.wrapsInTransaction) {
        // The position after the read may be of a later term: the member may have become a replica
        // while the read was running on its old log.
        holdResult(
                state, caller,
                { link.member, link.id, link.beginPosition, link.beginSentAt, std::move(answer) },
                now);
        return;
    }
    const bool wrote =
            wroteOutsideTransaction || (commits && caller.transaction && caller.transaction->wrote);
    if (wrote && pending.isDelayReported)
        noteRequest(state, note_kind::CommitDelayed, caller, link.member, "acknowledged",
                    now - pending.arrived,
                    answer.position ? static_cast<std::int64_t>(answer.position->index) : 0);
    if (wrote && answer.position)
        service.receipts.newestCommit = std::max(service.receipts.newestCommit, *answer.position);
    if (wrote && isFenced(service, link.member, now)) {
        withholdCommit(state, caller, link, now);
        return;
    }
    const bool isHeld = wrote && answer.position && needsReceipt(state, service)
                        && !isReceived(state, service, link.member, *answer.position);
    if (wrote && answer.position) {
        caller.ownPosition = answer.position;
        caller.positionService = pending.effectiveRoute.service;
        learnLeader(state, service, link.member, answer.position->term, *answer.position,
                    expected.sentAt, now);
    }
    if (!commits && pending.writes && caller.transaction)
        caller.transaction->wrote = true;
    if (commits) {
        link.pinnedTo = 0;
        caller.transaction.reset();
        caller.state = transaction_state::Idle;
    }
    if (isHeld) {
        ++state.counters.commitsHeld;
        holdCommit(state, service, caller, { link.member, std::move(answer) }, now);
        return;
    }
    finishRequest(state, caller, std::move(answer), now);
}

/// Sends the caller a member's error that occurred inside a transaction or that can't be retried.
void deliverError(engine &state, session &caller, upstream_link &link, reply &&answer,
                  core::time_point now)
{
    const bool commits = caller.current->statement.kind == statement_kind::Commit;
    noteRequest(state, note_kind::StatementRefused, caller, link.member, toString(answer.code),
                now - caller.current->arrived, caller.current->tries);
    if (commits) {
        link.pinnedTo = 0;
        caller.transaction.reset();
        caller.state = transaction_state::Idle;
    } else if (caller.state != transaction_state::Idle) {
        caller.state = answer.state == transaction_state::Open ? transaction_state::Open
                                                               : transaction_state::Failed;
    }
    finishRequest(state, caller, std::move(answer), now);
}

void onStatementAnswer(engine &state, upstream_link &link, const expected_answer &expected,
                       reply &&answer, core::time_point now)
{
    session *caller = nullptr;
    request *pending = findPendingRequest(state, expected, caller);
    if (pending == nullptr)
        return;
    removeOutstanding(*pending, link.id);
    if (link.beginFailed) {
        answer.code = link.beginCode;
        answer.state = transaction_state::Idle;
    }
    if (answer.code == reply_code::Success && !answer.digest.empty()) {
        deliverSuccess(state, *caller, link, expected, std::move(answer), now);
        return;
    }
    const bool first = pending->startsOperation;
    if (first && meansNotExecuted(answer.code)) {
        unpinTransaction(*caller, &link);
        recordRefusal(state, *caller, link.member, answer.code, now);
        retryRequest(state, *caller, link.member, answer.code, now);
        return;
    }
    const bool transactionStaysOpen = answer.state == transaction_state::Open;
    if (!first && answer.code == reply_code::Busy && transactionStaysOpen) {
        retryRequest(state, *caller, link.member, answer.code, now);
        return;
    }
    if (answer.code == reply_code::Failed && caller->state == transaction_state::Idle
        && !pending->writes && pending->tries < 3) {
        retryRequest(state, *caller, link.member, answer.code, now);
        return;
    }
    if (!pending->outstandingLinks.empty())
        return;
    if (answer.code == reply_code::ReadOnly) {
        if (service_state *service = findService(state, pending->effectiveRoute.service))
            loseLeader(state, *service, link.member, now);
    }
    deliverError(state, *caller, link, std::move(answer), now);
}

void onBeginAnswer(engine &state, upstream_link &link, const expected_answer &expected,
                   reply &&answer, core::time_point now)
{
    member_state *member = findMember(state, link.member);
    session *caller = nullptr;
    request *pending = findPendingRequest(state, expected, caller);
    const bool opensTransaction = caller != nullptr && link.pinnedTo == caller->id;
    if (answer.code != reply_code::Success) {
        link.beginFailed = true;
        link.beginCode = answer.code;
        // A read that the proxy wraps in a transaction was sent together with the begin; the answer
        // to the read completes the request.
        if (pending == nullptr || !opensTransaction)
            return;
        giveUpBegin(state, link);
        onStatementAnswer(state, link, expected, std::move(answer), now);
        return;
    }
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    link.beginPosition = answer.position;
    link.beginSentAt = expected.sentAt;
    if (service != nullptr && answer.position && link.beginProvesLeader)
        learnLeader(state, *service, link.member, answer.position->term, std::nullopt,
                    expected.sentAt, now);
}

/// Adds the position that the confirmation of a begin shows. One of the two answers may have been
/// an earlier one, with an older position.
/// @return false if the member has changed its term in between, or not begun
bool addConfirmedPosition(upstream_link &link, const reply &answer)
{
    if (answer.code != reply_code::Success || answer.state != transaction_state::Open)
        return false;
    if (!answer.position || !link.beginPosition)
        return true;
    const bool isSameTerm = answer.position->term == link.beginPosition->term;
    link.beginPosition = std::max(link.beginPosition, answer.position);
    return isSameTerm;
}

/// @return false if the member has opened no transaction: the reply to the begin was that of an
/// earlier one
bool onBeginConfirmed(engine &state, upstream_link &link, const expected_answer &expected,
                      const reply &answer, core::time_point now)
{
    session *caller = nullptr;
    const request *pending = findPendingRequest(state, expected, caller);
    if (pending == nullptr || link.pinnedTo != caller->id)
        return true; // the begin was refused, or its caller has left
    if (!addConfirmedPosition(link, answer))
        return false;
    if (pending->needsEvidence)
        holdResult(state, *caller,
                   { link.member, link.id, link.beginPosition, link.beginSentAt, std::nullopt },
                   now);
    else
        sendFirstStatement(state, link, *caller, now);
    return true;
}

/// @return false if the answer to the command may have been that to an earlier one
bool onControlConfirmed(engine &state, upstream_link &link, const expected_answer &expected,
                        const reply &confirmation, core::time_point now)
{
    if (confirmation.code != reply_code::Success || confirmation.state != transaction_state::Idle
        || !link.controlAnswer)
        return false;
    const reply answer = std::move(*link.controlAnswer);
    link.controlAnswer.reset();
    const std::string id = link.member;
    onControlAnswer(state, id, answer, expected.sentAt, now);
    if (member_state *replica = findMember(state, id))
        onEvidenceStatus(state, *replica, expected.serial, answer, now);
    return true;
}

/// @return false if the command before the confirmation has no answer that counts
bool onConfirmation(engine &state, upstream_link &link, const expected_answer &expected,
                    const reply &answer, core::time_point now)
{
    if (link.control)
        return onControlConfirmed(state, link, expected, answer, now);
    return onBeginConfirmed(state, link, expected, answer, now);
}

/// Records the position of the begin whose transaction has run a statement. The reply to the begin
/// alone proves nothing: it may have been that of an earlier begin, received a second time.
void recordBeginPosition(engine &state, upstream_link &link, core::time_point now)
{
    if (!state.settings.promotionsAreFenced || !link.beginProvesLeader || !link.beginPosition)
        return;
    const core::log_position position = *link.beginPosition;
    link.beginPosition.reset();
    const member_state *member = findMember(state, link.member);
    if (service_state *service = member ? findService(state, member->entry.service) : nullptr)
        learnLeader(state, *service, link.member, position.term, position, link.beginSentAt, now);
}

void onStartupAnswer(engine &state, upstream_link &link, const reply &answer, core::time_point now)
{
    member_state *member = findMember(state, link.member);
    if (answer.code == reply_code::Success) {
        if (!link.expected.empty()) {
            link.state = link_state::Busy;
            link.answerDeadline = now + orphanedAnswerTimeout;
        }
        if (member != nullptr) {
            smooth(member->connectUs, now - link.openedAt);
            member->connectionLimitRefusals = 0;
            if (link.relay.empty())
                recordAlive(*member, now);
        }
        return;
    }
    link.tainted = true;
    link.refused = true;
    link.retryAfter = answer.retryAfter;
    const auto relay = state.peers.find(link.relay);
    if (answer.code != reply_code::ConnectionLimit && !link.relay.empty()) {
        // The relay is stopping or does not know the member yet; use the next one in order.
        if (relay != state.peers.end())
            relay->second.relayAvoidedUntil = now + refusingRelayBackoff;
        return;
    }
    if (member == nullptr)
        return;
    if (answer.code == reply_code::ConnectionLimit) {
        if (link.relay.empty())
            recordAlive(*member, now);
        const int doublings =
                std::min(member->connectionLimitRefusals++, maxConnectionLimitDoublings);
        member->connectionLimitUntil =
                now + withJitter(state, connectionLimitBackoff * (1 << doublings));
        return;
    }
    state.out.emplace_back(refresh_directory{});
    avoidMember(state, *member, toString(answer.code), now);
}

/// The position behind a read at a replica is one that it has applied, so received.
void noteAppliedPosition(engine &state, const std::string &memberId, core::log_position position,
                         core::time_point sentAt, core::time_point now)
{
    const member_state *member = findMember(state, memberId);
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    if (service != nullptr)
        onReplicaPosition(state, *service, memberId, position, sentAt, now);
}

/// Handles the answer to the command that was taken from the link.
void handleAnswer(engine &state, upstream_link *link, const expected_answer &expected,
                  reply &&answer, core::time_point now)
{
    const link_id id = link->id;
    member_state *member = findMember(state, link->member);
    if (member != nullptr && expected.role != answer_role::Startup)
        recordAlive(*member, now);
    const transaction_state memberState = answer.state;
    link->tainted = link->tainted || answer.endsConnection;
    const bool runs =
            expected.role == answer_role::Statement || expected.role == answer_role::Begin;
    link->hasSeenError = link->hasSeenError || (runs && answer.code != reply_code::Success);
    switch (expected.role) {
    case answer_role::Startup:
        onStartupAnswer(state, *link, answer, now);
        break;
    case answer_role::Preparation:
        link->tainted = link->tainted || answer.code != reply_code::Success;
        break;
    case answer_role::Begin:
        onBeginAnswer(state, *link, expected, std::move(answer), now);
        break;
    case answer_role::Confirmation:
        if (!onConfirmation(state, *link, expected, answer, now)) {
            link->expected.push_front(expected);
            closeLink(state, id, false, now);
            return;
        }
        break;
    case answer_role::Statement:
        if (member != nullptr) {
            member->outstanding -= member->outstanding > 0 ? 1 : 0;
            if (!meansNotExecuted(answer.code)) {
                member->busyRefusals = 0;
                recordResult(*member, answer.code, now);
                smooth(member->answerUs, now - expected.sentAt);
            }
        }
        if (answer.code == reply_code::Success) {
            recordBeginPosition(state, *link, now);
            // The queued requests that were placed may have ended the link.
            link = findLink(state, id);
        }
        if (link != nullptr)
            onStatementAnswer(state, *link, expected, std::move(answer), now);
        break;
    case answer_role::Cleanup:
        break;
    case answer_role::Control:
        link->controlAnswer = std::move(answer);
        break;
    case answer_role::Report:
        if (member != nullptr)
            onEvidenceStatus(state, *member, expected.serial, answer, now);
        break;
    }
    link = findLink(state, id);
    if (link == nullptr || (!link->expected.empty() && !link->refused))
        return;
    if (link->tainted) {
        closeLink(state, id, true, now);
        return;
    }
    if (link->pinnedTo != 0)
        return;
    if (memberState != transaction_state::Idle) {
        rollBack(state, *link, now);
        return;
    }
    releaseLink(state, *link, now);
}

} // namespace

void onMemberAnswer(engine &state, link_id id, reply answer, core::time_point now)
{
    upstream_link *link = findLink(state, id);
    if (link == nullptr || link->expected.empty())
        return;
    const expected_answer expected = link->expected.front();
    link->expected.pop_front();
    const std::string member = link->member;
    const bool hasRun =
            expected.role == answer_role::Statement && answer.code == reply_code::Success;
    const auto position = hasRun ? answer.position : std::nullopt;
    handleAnswer(state, link, expected, std::move(answer), now);
    if (position)
        noteAppliedPosition(state, member, *position, expected.sentAt, now);
}

} // namespace fuchsiagw::proxy
