/// @file
/// @brief Answers of members and ended connections: what the caller is told, what is tried again.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr double smoothing = 0.2; // weight of the newest sample
constexpr double failureSmoothing = 0.08; // weight of the newest statement
/// An answer that nobody waits for any more is waited for this long after its link was opened.
constexpr milliseconds orphanLimit{ 4'000 };
constexpr milliseconds laggingPause{ 120 };
/// Another daemon keeps the connections while the one that does is not reached.
constexpr milliseconds keeperPause{ 1'000 };
constexpr milliseconds keeperLeaves{ 3'000 };
constexpr milliseconds busyPause{ 15 };
constexpr milliseconds limitPause{ 20 };
constexpr int maxBusyDoublings = 4;
constexpr int mostBusyPauses = 6;
constexpr int maxLimitDoublings = 4;
constexpr milliseconds failurePause{ 100 }; // doubled with each failure in a row
constexpr int maxFailureDoublings = 4;

void smooth(double &value, core::duration sample)
{
    const auto micros = static_cast<double>(sample.count());
    value = value > 0 ? value + smoothing * (micros - value) : micros;
}

core::duration spread(engine &state, core::duration pause)
{
    const auto whole = static_cast<std::uint64_t>(pause.count());
    return core::duration(
            static_cast<std::int64_t>(whole / 2 + core::drawBelow(state.random, whole)));
}

/// A member may fail part of what it runs while it answers well otherwise.
void noteResult(member_state &member, reply_code code, core::time_point now)
{
    const bool failed = code == reply_code::Failed || code == reply_code::TimedOut;
    member.failedShare += failureSmoothing * ((failed ? 1 : 0) - member.failedShare);
    if (failed)
        member.failedAt = now;
}

void noteAlive(member_state &member, core::time_point now)
{
    member.lastAnswer = now;
    member.silentSince = core::noDeadline;
    member.failures = 0;
}

void avoid(engine &state, member_state &member, std::string_view reason, core::time_point now)
{
    const int doublings = std::min(member.failures, maxFailureDoublings);
    ++member.failures;
    member.avoidUntil = now + spread(state, failurePause * (1 << doublings));
    if (member.silentSince == core::noDeadline)
        member.silentSince = now;
    decision_note line;
    line.kind = note_kind::MemberAvoided;
    line.service = member.entry.service;
    line.member = member.entry.id;
    line.reason = reason;
    line.number = member.failures;
    state.out.emplace_back(std::move(line));
}

request *liveRequest(engine &state, const expected_answer &expected, session *&who)
{
    who = findSession(state, expected.session);
    if (who == nullptr || !who->current || who->current->serial != expected.serial)
        return nullptr;
    return &*who->current;
}

void forget(request &what, link_id link)
{
    std::erase(what.sentOn, link);
}

/// Detaches a transaction that never got to run its first statement at the member.
void unbind(session &who, upstream_link *link)
{
    if (who.transaction)
        who.transaction->link = 0;
    if (link != nullptr)
        link->pinnedTo = 0;
}

void tryAgain(engine &state, session &who, const std::string &member, reply_code code,
              core::time_point now)
{
    request &what = *who.current;
    if (!what.sentOn.empty())
        return; // another member still works on it
    noteRequest(state, note_kind::StatementRetried, who, member, toString(code), now - what.arrived,
                what.tries);
    ++state.counters.retried;
    if (code == reply_code::Lagging || code == reply_code::Failed)
        what.refusedBy.push_back(member);
    if (code == reply_code::Busy) {
        what.refusedBy.push_back(member);
        what.notBefore = now + spread(state, busyPause * std::min(what.tries, mostBusyPauses));
    }
    place(state, who, now);
}

/// A position that even the leader lacks was rolled back by a promotion.
void dropLostPosition(engine &state, session &who, const std::string &member)
{
    request &what = *who.current;
    const service_state &service = state.services.at(what.via.service);
    if (service.leader != member || !what.where.minPosition)
        return;
    who.ownPosition.reset();
    what.where.minPosition.reset();
    what.where.needsPrimary = true;
    what.where.wrapsRead = who.state == transaction_state::Idle;
}

void markRefusal(engine &state, session &who, const std::string &memberId, reply_code code,
                 core::time_point now)
{
    request &what = *who.current;
    member_state *member = findMember(state, memberId);
    service_state *service = findService(state, what.via.service);
    if (member == nullptr || service == nullptr)
        return;
    if (code == reply_code::Lagging) {
        member->laggingUntil = now + laggingPause;
        dropLostPosition(state, who, memberId);
    } else if (code == reply_code::Busy) {
        const int doublings = std::min(member->busyRefusals++, maxBusyDoublings);
        member->busyUntil = now + spread(state, busyPause * (1 << doublings));
    } else if (code == reply_code::ReadOnly) {
        loseLeader(state, *service, memberId, now);
    }
}

/// @return whether the statement may be sent to another member, although it may have run
bool mayRepeat(const session &who, const request &what)
{
    if (who.state == transaction_state::Idle)
        return !what.writes;
    // Nothing of the transaction is kept once its connection has ended.
    return what.starts && what.statement.kind != statement_kind::Commit;
}

void deliverSuccess(engine &state, session &who, upstream_link &link, reply &&answer,
                    core::time_point now)
{
    request &what = *who.current;
    const bool commits = what.statement.kind == statement_kind::Commit;
    const bool wroteAlone = who.state == transaction_state::Idle && what.writes;
    service_state &service = state.services.at(what.via.service);
    const bool wrote = wroteAlone || (commits && who.transaction && who.transaction->wrote);
    if (wrote && answer.position) {
        who.ownPosition = answer.position;
        who.positionService = what.via.service;
        learnLeader(state, service, link.member, answer.position->term, *answer.position,
                    link.lastSent, now);
    }
    if (!commits && what.writes && who.transaction)
        who.transaction->wrote = true;
    if (commits) {
        link.pinnedTo = 0;
        who.transaction.reset();
        who.state = transaction_state::Idle;
    }
    finish(state, who, std::move(answer), now);
}

/// A member's error inside a transaction, or one that can't be tried again.
void deliverError(engine &state, session &who, upstream_link &link, reply &&answer,
                  core::time_point now)
{
    const bool commits = who.current->statement.kind == statement_kind::Commit;
    noteRequest(state, note_kind::StatementRefused, who, link.member, toString(answer.code),
                now - who.current->arrived, who.current->tries);
    if (commits) {
        link.pinnedTo = 0;
        who.transaction.reset();
        who.state = transaction_state::Idle;
    } else if (who.state != transaction_state::Idle) {
        who.state = answer.state == transaction_state::Open ? transaction_state::Open
                                                            : transaction_state::Failed;
    }
    finish(state, who, std::move(answer), now);
}

void onStatementAnswer(engine &state, upstream_link &link, const expected_answer &expected,
                       reply &&answer, core::time_point now)
{
    session *who = nullptr;
    request *what = liveRequest(state, expected, who);
    if (what == nullptr)
        return;
    forget(*what, link.id);
    if (link.beginFailed) {
        answer.code = link.beginCode;
        answer.state = transaction_state::Idle;
    }
    if (answer.code == reply_code::Success && !answer.digest.empty()) {
        deliverSuccess(state, *who, link, std::move(answer), now);
        return;
    }
    const bool first = what->starts;
    if (first && saysNotRun(answer.code)) {
        unbind(*who, &link);
        markRefusal(state, *who, link.member, answer.code, now);
        tryAgain(state, *who, link.member, answer.code, now);
        return;
    }
    const bool keepsTransaction = answer.state == transaction_state::Open;
    if (!first && answer.code == reply_code::Busy && keepsTransaction) {
        tryAgain(state, *who, link.member, answer.code, now);
        return;
    }
    if (answer.code == reply_code::Failed && who->state == transaction_state::Idle && !what->writes
        && what->tries < 3) {
        tryAgain(state, *who, link.member, answer.code, now);
        return;
    }
    if (!what->sentOn.empty())
        return;
    if (answer.code == reply_code::ReadOnly) {
        if (service_state *service = findService(state, what->via.service))
            loseLeader(state, *service, link.member, now);
    }
    deliverError(state, *who, link, std::move(answer), now);
}

void onBeginAnswer(engine &state, upstream_link &link, const expected_answer &expected,
                   reply &&answer, core::time_point now)
{
    member_state *member = findMember(state, link.member);
    session *who = nullptr;
    request *what = liveRequest(state, expected, who);
    const bool opensTransaction = who != nullptr && link.pinnedTo == who->id;
    if (answer.code != reply_code::Success) {
        link.beginFailed = true;
        link.beginCode = answer.code;
        // A read that the proxy wrapped follows in the same batch; its answer tells the rest.
        if (what == nullptr || !opensTransaction)
            return;
        if (member != nullptr)
            member->outstanding -= member->outstanding > 0 ? 1 : 0;
        onStatementAnswer(state, link, expected, std::move(answer), now);
        return;
    }
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    if (service != nullptr && answer.position && link.plainBegin)
        learnLeader(state, *service, link.member, answer.position->term, *answer.position,
                    link.lastSent, now);
    // What waits may have been placed meanwhile, and the session may be gone.
    what = liveRequest(state, expected, who);
    if (what != nullptr && opensTransaction)
        sendAfterBegin(state, link, *who, now);
}

void onStartupAnswer(engine &state, upstream_link &link, const reply &answer, core::time_point now)
{
    member_state *member = findMember(state, link.member);
    if (answer.code == reply_code::Success) {
        if (!link.expected.empty()) {
            link.state = link_state::Busy;
            link.abandonAt = now + orphanLimit;
        }
        if (member != nullptr) {
            smooth(member->connectUs, now - link.openedAt);
            member->limitRefusals = 0;
            if (link.via.empty())
                noteAlive(*member, now);
        }
        return;
    }
    link.tainted = true;
    link.refused = true;
    const auto keeper = state.peers.find(link.via);
    if (answer.code != reply_code::ConnectionLimit && !link.via.empty()) {
        // It is stopping, or does not know the member yet; the next one in order is asked.
        if (keeper != state.peers.end())
            keeper->second.keeperSilentUntil = now + keeperLeaves;
        return;
    }
    if (member == nullptr)
        return;
    if (answer.code == reply_code::ConnectionLimit) {
        if (link.via.empty())
            noteAlive(*member, now);
        const int doublings = std::min(member->limitRefusals++, maxLimitDoublings);
        member->limitUntil = now + spread(state, limitPause * (1 << doublings));
        return;
    }
    state.out.emplace_back(refresh_directory{});
    avoid(state, *member, toString(answer.code), now);
}

/// Ends what a link still owed when its connection was lost.
void onAnswerLost(engine &state, const upstream_link &link, const expected_answer &expected,
                  core::time_point now)
{
    session *who = nullptr;
    request *what = liveRequest(state, expected, who);
    if (what == nullptr)
        return;
    forget(*what, link.id);
    if (!what->sentOn.empty())
        return;
    if (link.refused) {
        unbind(*who, nullptr);
        what->everSent = what->tries > 1;
        tryAgain(state, *who, link.member, reply_code::ConnectionLimit, now);
        return;
    }
    if (mayRepeat(*who, *what)) {
        unbind(*who, nullptr);
        what->refusedBy.push_back(link.member);
        noteRequest(state, note_kind::StatementRetried, *who, link.member, "connection_lost",
                    now - what->arrived, what->tries);
        ++state.counters.retried;
        place(state, *who, now);
        return;
    }
    if (who->state == transaction_state::Idle) {
        finishRefused(state, *who, refusal_reason::AnswerLost, now);
        return;
    }
    const bool commits = what->statement.kind == statement_kind::Commit;
    who->state = commits ? transaction_state::Idle : transaction_state::Failed;
    if (commits)
        who->transaction.reset();
    else
        who->transaction->link = 0;
    finishRefused(state, *who,
                  commits ? refusal_reason::AnswerLost : refusal_reason::TransactionLost, now);
}

} // namespace

void onMemberAnswer(engine &state, link_id id, reply answer, core::time_point now)
{
    upstream_link *link = findLink(state, id);
    if (link == nullptr || link->expected.empty())
        return;
    const expected_answer expected = link->expected.front();
    link->expected.pop_front();
    member_state *member = findMember(state, link->member);
    if (member != nullptr && expected.role != answer_role::Startup)
        noteAlive(*member, now);
    const transaction_state memberState = answer.state;
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
    case answer_role::Statement:
        if (member != nullptr) {
            member->outstanding -= member->outstanding > 0 ? 1 : 0;
            if (!saysNotRun(answer.code)) {
                member->busyRefusals = 0;
                noteResult(*member, answer.code, now);
                smooth(member->answerUs, now - link->lastSent);
            }
        }
        onStatementAnswer(state, *link, expected, std::move(answer), now);
        break;
    case answer_role::Cleanup:
        break;
    case answer_role::Control:
        onControlAnswer(state, link->member, answer, link->lastSent, now);
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

void onLinkClosed(engine &state, link_id id, core::time_point now)
{
    const auto found = state.links.find(id);
    if (found == state.links.end())
        return;
    const upstream_link link = std::move(found->second);
    state.links.erase(found);
    member_state *member = findMember(state, link.member);
    if (member != nullptr) {
        member->links.erase(id);
        const bool unfinished = !link.expected.empty();
        const bool opening = unfinished && link.expected.front().role == answer_role::Startup;
        for (const expected_answer &each : link.expected)
            member->outstanding -= (each.role == answer_role::Statement
                                    || (each.role == answer_role::Begin && link.pinnedTo != 0))
                                   && member->outstanding > 0;
        if (opening && !link.tainted && link.via.empty())
            avoid(state, *member, "no_connection", now);
        const auto keeper = state.peers.find(link.via);
        if (opening && !link.tainted && keeper != state.peers.end())
            keeper->second.keeperSilentUntil = now + keeperPause;
    }
    if (link.pinnedTo != 0) {
        session *who = findSession(state, link.pinnedTo);
        if (who != nullptr && who->transaction && who->transaction->link == id && !who->current) {
            who->transaction->link = 0;
            who->transaction->lost = true;
        }
    }
    for (const expected_answer &each : link.expected) {
        const bool beginsTransaction = each.role == answer_role::Begin && link.pinnedTo != 0;
        if (each.role == answer_role::Statement || beginsTransaction)
            onAnswerLost(state, link, each, now);
    }
}

} // namespace fuchsiagw::proxy
