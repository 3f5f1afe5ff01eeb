/// @file
/// @brief Holds the successes of commits until a listed replica has reported their position, and
/// writes while no listed replica answers; see commit_receipts.hpp.
///
/// Replicas are asked through their relays, as for leadership evidence: one question under way at a
/// replica serves all daemons that wait.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// Without contact to a listed replica a write may be acknowledged by a replica that no promotion
/// asks. Shorter than the time in which other daemons notice a lost primary.
constexpr milliseconds contactTimeout{ 300 };
/// Time for the receipt of a commit before the listed replicas count as receiving nothing.
constexpr milliseconds receiptTimeout{ 300 };
/// Time for the answer of a listed replica before its silence counts as a loss of contact.
constexpr milliseconds unansweredTimeout{ 200 };
/// A question whose answer may be lost, or came before the replica had the commit, is repeated.
constexpr milliseconds receiptRepeatInterval{ 50 };
/// Commits that are acknowledged shortly after each other share a question.
constexpr milliseconds minQuestionInterval{ 4 };
constexpr std::size_t maxRememberedQuestions = 64;
/// From this number of repeated questions on this daemon asks the replicas itself.
constexpr std::size_t maxRelayedQuestions = 2;
constexpr milliseconds commitQueryInterval{ 50 }; // a datagram may be lost
/// Time for the store's answer to a question for the open orders.
constexpr milliseconds orderReadInterval{ 500 };
/// Peers that were not heard for this long are down or cut off; an attempt does not wait for them.
constexpr std::chrono::seconds maxPeerSilence{ 2 };

std::size_t synchronousReplicas(const engine &state, const service_state &service)
{
    if (!state.config)
        return 0;
    const auto found = state.config->services.find(service.name);
    return found == state.config->services.end() ? 0 : found->second.synchronousReplicas;
}

/// A replica without an entry is asked by no daemon that starts from now on, and a draining one
/// takes its log with it. Their receipts count only if there is no other replica: all entries may
/// be missing for a moment while the store returns from an outage.
std::set<std::string> receiptReplicas(const engine &state, const service_state &service,
                                      const std::string &leader)
{
    std::set<std::string> staying;
    std::set<std::string> present;
    std::set<std::string> listed;
    for (const std::string &id : service.members) {
        const member_state &member = state.members.at(id);
        if (id == leader || !member.listed)
            continue;
        listed.insert(id);
        if (member.missingSince != core::noDeadline)
            continue;
        present.insert(id);
        if (!member.entry.draining)
            staying.insert(id);
    }
    if (!staying.empty())
        return staying;
    return present.empty() ? listed : present;
}

/// Asks one replica, another one after the first repetition, and all of them from then on: each
/// question takes a slot of its replica.
void askForReceipts(engine &state, service_state &service, core::time_point now)
{
    commit_receipts &receipts = service.receipts;
    const std::size_t attempt = receipts.repeatedAsks;
    receipts.askedAt = now;
    receipts.nextAskAt = now + receiptRepeatInterval;
    receipts.questions.push_back(now);
    if (receipts.questions.size() > maxRememberedQuestions)
        receipts.questions.pop_front();
    std::vector<std::string> ranked =
            rankReplicas(state, receiptReplicas(state, service, service.leader));
    if (attempt < ranked.size())
        ranked = { ranked[attempt] };
    for (const std::string &each : ranked) {
        if (member_state *replica = findMember(state, each))
            requestStatus(state, *replica, now, attempt >= maxRelayedQuestions, attempt / 2);
    }
}

/// Asks now, or as soon as the interval between two questions allows.
void requestReceipts(engine &state, service_state &service, core::time_point now)
{
    commit_receipts &receipts = service.receipts;
    if (now - receipts.askedAt >= minQuestionInterval && receipts.repeatedAsks == 0)
        askForReceipts(state, service, now);
    else
        receipts.nextAskAt = std::min(receipts.nextAskAt, receipts.askedAt + receiptRepeatInterval);
}

void deliverHeldCommit(engine &state, service_state &service, session &caller, core::time_point now)
{
    held_commit held = std::move(*caller.current->heldCommit);
    caller.current->heldCommit.reset();
    service.receipts.waiting.erase(caller.id);
    // The order may have been recorded while the commit was held.
    if (isFenced(service, held.member, now)) {
        refuseRequest(state, caller, refusal_reason::CommitUnproven, now);
        return;
    }
    if (caller.current->isDelayReported)
        noteRequest(state, note_kind::CommitDelayed, caller, held.member, "acknowledged",
                    now - caller.current->arrived,
                    static_cast<std::int64_t>(held.answer.position->index));
    finishRequest(state, caller, std::move(held.answer), now);
}

/// Follows whether held commits are being proven. None counts once another term has begun, whose
/// primary may have rolled them back.
void checkUnproven(const engine &state, service_state &service, core::time_point now)
{
    commit_receipts &receipts = service.receipts;
    if (!receipts.unproven)
        return;
    if (service.term > receipts.unproven->term
        || isReceived(state, service, service.leader, *receipts.unproven)) {
        receipts.unproven.reset();
    } else if (isReceived(state, service, service.leader, receipts.oldestUnproven)) {
        receipts.oldestUnproven = *receipts.unproven;
        receipts.unprovenSince = now;
    }
}

/// Delivers what the reports prove.
void stepHeldCommits(engine &state, service_state &service, core::time_point now)
{
    const std::set<session_id> waiting = service.receipts.waiting;
    for (const session_id id : waiting) {
        session *caller = findSession(state, id);
        if (caller == nullptr || !caller->current || !caller->current->heldCommit) {
            service.receipts.waiting.erase(id);
            continue;
        }
        const held_commit &held = *caller->current->heldCommit;
        if (isReceived(state, service, held.member, *held.answer.position))
            deliverHeldCommit(state, service, *caller, now);
    }
}

/// @return when the oldest command was sent to a member that it has not answered
core::time_point oldestUnanswered(const engine &state, const member_state &member)
{
    core::time_point oldest = core::noDeadline;
    for (const link_id id : member.links) {
        for (const expected_answer &each : state.links.at(id).expected) {
            if (each.role == answer_role::Statement || each.role == answer_role::Report)
                oldest = std::min(oldest, each.sentAt);
        }
    }
    return oldest;
}

/// @return whether a daemon of the zone of one of these replicas was heard recently
bool isZoneHeard(const engine &state, const std::set<std::string> &replicas, core::time_point now)
{
    const auto isZoneOfReplica = [&](const std::string &zone) {
        return std::any_of(replicas.begin(), replicas.end(), [&](const std::string &id) {
            return state.members.at(id).entry.zone == zone;
        });
    };
    return std::any_of(state.peers.begin(), state.peers.end(), [&](const auto &each) {
        return now - each.second.lastHeard <= contactTimeout && isZoneOfReplica(each.second.zone);
    });
}

/// @return whether the listed replicas receive nothing, or leave statements unanswered, or nothing
/// was heard from them and from the daemons of their zones
bool hasLostContact(const engine &state, const service_state &service, core::time_point now)
{
    const commit_receipts &receipts = service.receipts;
    if (receipts.unproven && now - receipts.unprovenSince >= receiptTimeout)
        return true;
    const auto isOverdue = [&](core::time_point sentAt) {
        return sentAt > receipts.contactAt && now - sentAt >= unansweredTimeout;
    };
    if (isOverdue(receipts.askedAt) || isOverdue(receipts.unansweredSince))
        return true;
    const std::set<std::string> replicas = receiptReplicas(state, service, service.leader);
    const bool isSilent = std::any_of(replicas.begin(), replicas.end(), [&](const auto &id) {
        return isOverdue(oldestUnanswered(state, state.members.at(id)));
    });
    return isSilent
           || (now - receipts.contactAt > contactTimeout && !isZoneHeard(state, replicas, now));
}

/// @return whether the store has to be asked which orders are open
bool mustReadOrders(const engine &state, const service_state &service)
{
    return !service.areOrdersKnown && !service.members.empty() && state.settings.commitsNeedReceipts
           && synchronousReplicas(state, service) > 0;
}

bool awaitsContact(const engine &state, const service_state &service)
{
    return std::any_of(service.queue.begin(), service.queue.end(), [&](session_id id) {
        const auto found = state.sessions.find(id);
        return found != state.sessions.end() && found->second.current
               && found->second.current->queued
               && found->second.current->queuedReason == refusal_reason::NoReceiver;
    });
}

} // namespace

bool needsReceipt(const engine &state, const service_state &service)
{
    return state.settings.commitsNeedReceipts && synchronousReplicas(state, service) > 0;
}

bool isReceived(const engine &state, const service_state &service, const std::string &leader,
                core::log_position position)
{
    // The member of an open order may lack what another replica has received.
    return service.areOrdersKnown
           && hasReceipt(service.receipts, position, receiptReplicas(state, service, leader));
}

void noteUnansweredStatements(engine &state, const upstream_link &link)
{
    const member_state *member = findMember(state, link.member);
    service_state *service = member ? findService(state, member->entry.service) : nullptr;
    if (service == nullptr || service->leader == link.member || !member->listed)
        return;
    for (const expected_answer &each : link.expected) {
        if (each.role == answer_role::Statement && each.sentAt > service->receipts.contactAt)
            service->receipts.unansweredSince = each.sentAt;
    }
}

void holdCommit(engine &state, service_state &service, session &caller, held_commit held,
                core::time_point now)
{
    commit_receipts &receipts = service.receipts;
    const core::log_position position = *held.answer.position;
    if (!receipts.unproven) {
        receipts.oldestUnproven = position;
        receipts.unprovenSince = now;
    }
    receipts.unproven = std::max(receipts.unproven.value_or(position), position);
    caller.current->heldCommit = std::move(held);
    receipts.waiting.insert(caller.id);
    requestReceipts(state, service, now);
}

bool mayStartWrite(engine &state, service_state &service, core::time_point now)
{
    if (!needsReceipt(state, service))
        return true;
    if (!service.areOrdersKnown)
        return false;
    checkUnproven(state, service, now);
    if (!hasLostContact(state, service, now))
        return true;
    requestReceipts(state, service, now);
    return false;
}

void deliverReceivedCommits(engine &state, service_state &service, core::time_point now)
{
    checkUnproven(state, service, now);
    stepHeldCommits(state, service, now);
}

void onReplicaPosition(engine &state, service_state &service, const std::string &replica,
                       core::log_position position, core::time_point sentAt, core::time_point now)
{
    const member_state *member = findMember(state, replica);
    if (!needsReceipt(state, service) || member == nullptr || !member->listed
        || replica == service.leader)
        return;
    commit_receipts &receipts = service.receipts;
    receipts.contactAt = std::max(receipts.contactAt, sentAt);
    recordReceipt(receipts, replica, position);
    receipts.repeatedAsks = 0;
    deliverReceivedCommits(state, service, now);
}

void askPeersForCommits(engine &state, service_state &service, core::time_point now)
{
    const bool hasRemoved =
            std::any_of(service.members.begin(), service.members.end(),
                        [&](const std::string &id) { return !state.members.at(id).listed; });
    if (!hasRemoved || now < service.promotion.nextCommitQueryAt)
        return;
    service.promotion.nextCommitQueryAt = now + commitQueryInterval;
    peer_message query = makeMessage(state, peer_message_kind::NewestCommitRequest);
    query.askedAtUs = service.promotion.startedAt.time_since_epoch().count();
    query.subject = service.name;
    for (const auto &[name, peer] : state.peers) {
        if (!service.promotion.peersWithCommits.contains(name))
            state.out.emplace_back(send_to_peer{ name, query });
    }
}

void answerCommitRequest(engine &state, const peer_message &message)
{
    const service_state *service = findService(state, message.subject);
    if (service == nullptr)
        return;
    peer_message answer = makeMessage(state, peer_message_kind::NewestCommitAnswer);
    answer.askedAtUs = message.askedAtUs;
    answer.subject = message.subject;
    leader_report report;
    report.service = service->name;
    report.position = service->receipts.newestCommit;
    answer.leaders.push_back(std::move(report));
    state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
}

void onCommitAnswer(engine &state, const peer_message &message)
{
    service_state *service = findService(state, message.subject);
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (service == nullptr || message.leaders.empty() || service->promotion.startedAt != asked)
        return;
    core::log_position &newest = service->receipts.newestCommit;
    newest = std::max(newest, message.leaders.front().position);
    service->promotion.peersWithCommits.insert(message.from);
}

bool haveTouchedPeersAnswered(const engine &state, const promotion_state &attempt,
                              core::time_point now)
{
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto &each) {
        return now - each.second.lastHeard > maxPeerSilence
               || attempt.peersWithCommits.contains(each.first);
    });
}

void stepReceipts(engine &state, core::time_point now)
{
    if (!state.settings.commitsNeedReceipts)
        return;
    for (auto &[name, service] : state.services) {
        commit_receipts &receipts = service.receipts;
        if (mustReadOrders(state, service) && now >= service.nextOrderReadAt) {
            service.nextOrderReadAt = now + orderReadInterval;
            state.out.emplace_back(read_open_orders{ name });
        }
        if (now < receipts.nextAskAt)
            continue;
        if (receipts.waiting.empty() && !awaitsContact(state, service)) {
            receipts.nextAskAt = core::noDeadline;
            receipts.repeatedAsks = 0;
            continue;
        }
        ++receipts.repeatedAsks;
        askForReceipts(state, service, now);
    }
}

core::time_point nextReceiptStep(const engine &state)
{
    core::time_point due = core::noDeadline;
    for (const auto &[name, service] : state.services) {
        due = std::min(due, service.receipts.nextAskAt);
        if (mustReadOrders(state, service))
            due = std::min(due, service.nextOrderReadAt);
    }
    return due;
}

} // namespace fuchsiagw::proxy
