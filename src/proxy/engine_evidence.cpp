/// @file
/// @brief Asks replicas for evidence that a leader was not replaced, and holds the results of
/// current reads and of transactions' begins until the evidence is there.
///
/// Each replica is asked by its relay, on one direct connection, with at most one question under
/// way: a question that is sent after several requests have arrived answers all of them.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>
#include <limits>

namespace fuchsiagw::proxy {

namespace {

/// A question whose answer may have been lost is repeated, through another replica or relay.
constexpr milliseconds askRepeatInterval{ 40 };
/// A held result is dropped and its request refused if the evidence takes longer.
constexpr milliseconds evidenceTimeout{ 300 };
constexpr milliseconds challengeInterval{ 200 };
constexpr milliseconds contradictedRetryDelay{ 25 };
/// After this many repeated questions this daemon asks the replicas itself.
constexpr std::size_t maxRelayedAsks = 4;
/// Limit of daemons that wait for the same replica's status; further ones ask again later.
constexpr std::size_t maxEvidenceRequests = 512;

std::set<std::string> otherMembers(const engine &state, const service_state &service,
                                   const std::string &leader)
{
    std::set<std::string> result;
    for (const std::string &id : service.members) {
        if (id != leader && state.members.at(id).listed)
            result.insert(id);
    }
    return result;
}

/// Starts the next question to a replica if none is under way.
void askReplica(engine &state, member_state &replica, core::time_point now)
{
    if (!replica.evidenceAsked.empty() || replica.evidenceWaiting.empty())
        return;
    replica.evidenceAsked.swap(replica.evidenceWaiting);
    replica.evidenceSerial = ++state.lastSerial;
    replica.evidenceAskedAt = now;
    // A receipt may be taken from an answer that was given before: the log had that position.
    if (state.settings.promotionsAreFenced)
        askForReport(state, replica, replica.evidenceSerial, now);
    else
        sendControlCommand(state, replica.entry.id, command_kind::Status, 0, now,
                           replica.evidenceSerial);
}

void askForEvidence(engine &state, service_state &service, const std::string &leader,
                    core::time_point now)
{
    leadership_evidence &evidence = service.evidence;
    const std::size_t attempt = evidence.repeatedAsks;
    addQuestion(evidence, now);
    evidence.nextAskAt = now + askRepeatInterval;
    const std::set<std::string> replicas = otherMembers(state, service, leader);
    if (replicas.empty())
        return;
    const std::vector<std::string> ranked = rankReplicas(state, replicas);
    // A repeated question goes to one replica more, as the first may be cut off.
    const std::size_t asked = requiredReports(ranked.size()) + (attempt > 0 ? 1 : 0);
    for (std::size_t i = 0; i < std::min(asked, ranked.size()); ++i)
        requestStatus(state, state.members.at(ranked[i]), now, attempt >= maxRelayedAsks,
                      attempt / 2);
}

/// Drops a held result, so that its request can be sent again or refused.
void dropHeldResult(engine &state, session &caller, core::time_point now)
{
    const held_result held = std::move(*caller.current->held);
    caller.current->held.reset();
    if (held.answer)
        return;
    std::erase(caller.current->outstandingLinks, held.link);
    if (caller.transaction)
        caller.transaction->link = 0;
    if (upstream_link *link = findLink(state, held.link))
        rollBack(state, *link, now);
}

void retryHeld(engine &state, session &caller, std::string_view reason, core::time_point now)
{
    noteRequest(state, note_kind::StatementRetried, caller, caller.current->held->member, reason,
                now - caller.current->arrived, caller.current->tries);
    dropHeldResult(state, caller, now);
    ++state.counters.retried;
    caller.current->retryAt = now + contradictedRetryDelay;
    placeRequest(state, caller, now);
}

/// Orders a member to step down if it leads an earlier term than a replica has reported. The order
/// has no effect on a leader of that term; its answer then shows the term.
void challengeLeader(engine &state, service_state &service, const std::string &leader,
                     core::term_number term, core::time_point now)
{
    if (now < service.nextChallengeAt)
        return;
    service.nextChallengeAt = now + challengeInterval;
    sendControlCommand(state, leader, command_kind::StepDown, term, now);
}

void deliverHeld(engine &state, service_state &service, session &caller, core::time_point proven,
                 core::time_point now)
{
    const held_result held = std::move(*caller.current->held);
    caller.current->held.reset();
    const session_id id = caller.id;
    if (held.position)
        learnLeader(state, service, held.member, held.position->term, held.position,
                    std::min(held.seenAt, proven), now);
    // learnLeader() may have placed queued requests, and the session may have ended.
    session *recipient = findSession(state, id);
    if (recipient == nullptr || !recipient->current)
        return;
    if (held.answer) {
        finishRequest(state, *recipient, *held.answer, now);
        return;
    }
    if (upstream_link *link = findLink(state, held.link)) {
        sendFirstStatement(state, *link, *recipient, now);
        return;
    }
    std::erase(recipient->current->outstandingLinks, held.link);
    recipient->transaction->link = 0;
    placeRequest(state, *recipient, now);
}

/// Delivers, retries or refuses a held result, or leaves it waiting.
void stepHeld(engine &state, service_state &service, session &caller, core::time_point now)
{
    const request &pending = *caller.current;
    const held_result &held = *pending.held;
    const core::term_number term = held.position ? held.position->term : 0;
    const core::time_point proven =
            provenThrough(service.evidence, term, otherMembers(state, service, held.member));
    if (proven >= pending.arrived) {
        deliverHeld(state, service, caller, proven, now);
        return;
    }
    if (const auto newer = contradictingTerm(service.evidence, term, pending.arrived)) {
        challengeLeader(state, service, held.member, newer, now);
        retryHeld(state, caller, "newer_term", now);
        return;
    }
    if (!service.leader.empty() && service.leader != held.member) {
        retryHeld(state, caller, "leader_changed", now);
        return;
    }
    if (now >= held.until) {
        dropHeldResult(state, caller, now);
        refuseRequest(state, caller, refusal_reason::LeaderUnproven, now, evidenceTimeout);
    }
}

void stepHeldOf(engine &state, service_state &service, core::time_point now)
{
    const std::set<session_id> waiting = service.awaitingEvidence;
    for (const session_id id : waiting) {
        session *caller = findSession(state, id);
        const bool waits = caller != nullptr && caller->current && caller->current->needsEvidence
                           && caller->current->effectiveRoute.service == service.name;
        if (!waits)
            service.awaitingEvidence.erase(id);
        else if (caller->current->held)
            stepHeld(state, service, *caller, now);
    }
    if (service.awaitingEvidence.empty())
        service.evidence.nextAskAt = core::noDeadline;
}

/// @return whether a request waits for reports of replicas, whatever they say
bool lacksReports(const engine &state, const service_state &service)
{
    const core::time_point reported =
            provenThrough(service.evidence, std::numeric_limits<core::term_number>::max(),
                          otherMembers(state, service, service.leader));
    return std::any_of(service.awaitingEvidence.begin(), service.awaitingEvidence.end(),
                       [&](session_id id) {
                           const auto found = state.sessions.find(id);
                           return found != state.sessions.end() && found->second.current
                                  && found->second.current->needsEvidence
                                  && found->second.current->arrived > reported;
                       });
}

} // namespace

void beginEvidence(engine &state, const upstream_link &link, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    service_state *service = findService(state, pending.effectiveRoute.service);
    pending.needsEvidence =
            service != nullptr && !state.settings.promotionsAreFenced && pending.where.needsPrimary
            && (pending.where.wrapsInTransaction || caller.state != transaction_state::Idle);
    if (!pending.needsEvidence)
        return;
    service->awaitingEvidence.insert(caller.id);
    // A question that was sent after the request had arrived serves it as well.
    if (service->evidence.askedAt < pending.arrived)
        askForEvidence(state, *service, link.member, now);
    else
        service->evidence.nextAskAt =
                std::min(service->evidence.nextAskAt, now + askRepeatInterval);
}

void holdResult(engine &state, session &caller, held_result held, core::time_point now)
{
    request &pending = *caller.current;
    pending.hedgeAt = core::noDeadline;
    held.until = now + evidenceTimeout;
    pending.held = std::move(held);
    if (service_state *service = findService(state, pending.effectiveRoute.service))
        stepHeld(state, *service, caller, now);
}

std::vector<std::string> rankReplicas(const engine &state, const std::set<std::string> &replicas)
{
    std::vector<std::string> ranked(replicas.begin(), replicas.end());
    const auto rank = [&](const std::string &id) {
        const member_state &member = state.members.at(id);
        const int unresponsive = member.unresponsiveSince != core::noDeadline ? 2 : 0;
        return unresponsive + (member.entry.zone == state.settings.zone ? 0 : 1);
    };
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
    return ranked;
}

void requestStatus(engine &state, member_state &replica, core::time_point now, bool asksItself,
                   std::size_t skipped)
{
    peer_message request = makeMessage(state, peer_message_kind::EvidenceRequest);
    request.subject = replica.entry.service;
    request.member = replica.entry.id;
    request.askedAtUs = now.time_since_epoch().count();
    const std::string relay =
            asksItself ? state.settings.node : relayNodeFor(state, replica, now, skipped);
    if (relay == state.settings.node)
        answerEvidenceRequest(state, request, now);
    else
        state.out.emplace_back(send_to_peer{ relay, std::move(request) });
}

void answerEvidenceRequest(engine &state, const peer_message &message, core::time_point now)
{
    member_state *replica = findMember(state, message.member);
    if (replica == nullptr || replica->evidenceWaiting.size() >= maxEvidenceRequests)
        return;
    replica->evidenceWaiting.push_back({ message.from, message.askedAtUs });
    askReplica(state, *replica, now);
}

void onEvidenceStatus(engine &state, member_state &replica, std::uint64_t serial,
                      const reply &answer, core::time_point now)
{
    if (serial == 0 || serial != replica.evidenceSerial)
        return;
    std::vector<evidence_request> asked;
    asked.swap(replica.evidenceAsked);
    if (answer.status) {
        peer_message report = makeMessage(state, peer_message_kind::EvidenceAnswer);
        report.subject = replica.entry.service;
        report.member = replica.entry.id;
        report.amount = answer.status->leads ? 1 : 0;
        leader_report log;
        log.service = replica.entry.service;
        log.member = replica.entry.id;
        log.term = answer.status->term;
        log.position = answer.status->received;
        report.leaders.push_back(std::move(log));
        for (const evidence_request &each : asked) {
            report.askedAtUs = each.askedAtUs;
            if (each.node == state.settings.node)
                onEvidenceAnswer(state, report, now);
            else
                state.out.emplace_back(send_to_peer{ each.node, report });
        }
    }
    if (member_state *same = findMember(state, replica.entry.id))
        askReplica(state, *same, now);
}

void onEvidenceAnswer(engine &state, const peer_message &message, core::time_point now)
{
    service_state *service = findService(state, message.subject);
    const core::time_point askedAt{ core::duration(message.askedAtUs) };
    if (service == nullptr || message.leaders.empty() || !service->members.contains(message.member))
        return;
    const leader_report &log = message.leaders.front();
    const bool leads = message.amount == 1;
    const auto &questions = service->receipts.questions;
    if (!leads && std::find(questions.begin(), questions.end(), askedAt) != questions.end())
        onReplicaPosition(state, *service, message.member, log.position, askedAt, now);
    if (!hasAsked(service->evidence, askedAt))
        return;
    if (leads)
        learnLeader(state, *service, message.member, log.term, std::nullopt, askedAt, now);
    else
        recordReplicaReport(state, *service, message.member, { askedAt, log.position }, now);
}

void recordReplicaReport(engine &state, service_state &service, const std::string &replica,
                         const replica_report &report, core::time_point now)
{
    if (state.settings.promotionsAreFenced)
        return;
    addReport(service.evidence, replica, report);
    service.evidence.repeatedAsks = 0;
    stepHeldOf(state, service, now);
}

void forgetEvidenceQuestion(member_state &replica, const upstream_link &link)
{
    const bool wasAsked =
            std::any_of(link.expected.begin(), link.expected.end(), [&](const auto &each) {
                return link.control && each.serial != 0 && each.serial == replica.evidenceSerial;
            });
    if (wasAsked)
        replica.evidenceAsked.clear(); // the daemons that wait ask again
}

void stepEvidence(engine &state, core::time_point now)
{
    if (state.settings.promotionsAreFenced)
        return;
    for (auto &[name, service] : state.services) {
        if (service.awaitingEvidence.empty())
            continue;
        stepHeldOf(state, service, now);
        if (now < service.evidence.nextAskAt || !lacksReports(state, service))
            continue;
        ++service.evidence.repeatedAsks;
        askForEvidence(state, service, service.leader, now);
    }
}

core::time_point nextEvidenceStep(const engine &state)
{
    constexpr milliseconds heldCheckInterval{ 20 };
    const bool waits =
            std::any_of(state.services.begin(), state.services.end(),
                        [](const auto &each) { return !each.second.awaitingEvidence.empty(); });
    return waits ? state.lastTimerAt + heldCheckInterval : core::noDeadline;
}

} // namespace fuchsiagw::proxy
