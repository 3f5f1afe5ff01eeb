/// @file
/// @brief Claims of parts in the store, and leases on parts between the daemons of a zone.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::proxy {

namespace {

/// Three requests within one lease duration, so that one lost datagram does not end the lease.
constexpr milliseconds partRenewInterval{ 250 };
constexpr milliseconds minPartRequestInterval{ 20 };
constexpr milliseconds recallRetryInterval{ 40 };
/// Parts of a workspace that has had no operations for this long are no longer borrowed.
constexpr std::chrono::seconds partUseTimeout{ 3 };
/// A home sends a datagram at least once per partRenewInterval, so it counts as reachable if
/// this daemon received a datagram from it within this time.
constexpr milliseconds homeHeardTimeout{ 600 };

/// @return false if the daemon is unknown or has recently left loan requests unanswered
bool answersLoanRequests(const engine &state, const std::string &home, core::time_point now)
{
    const auto peer = state.peers.find(home);
    return peer != state.peers.end() && peer->second.homeAvoidedUntil <= now;
}

/// @return whether this daemon or a reachable one is preferred over @p home
bool hasPreferredHome(const engine &state, const workspace_quota &quota, const std::string &home,
                      core::time_point now)
{
    for (const std::string &each : quota.homes) {
        if (each == home)
            return false;
        if (each == state.settings.node)
            return true;
        if (answersLoanRequests(state, each, now)
            && now - state.peers.at(each).lastHeard < homeHeardTimeout)
            return true;
    }
    return false;
}

bool actsAsHome(const engine &state, const workspace_quota &quota, core::time_point now)
{
    return now < quota.actsAsHomeUntil || homeOf(state, quota, now) == state.settings.node;
}

/// @return the workspaces in use for which this daemon is the home
std::vector<std::string> workspacesAtHome(const engine &state, core::time_point now)
{
    std::vector<std::string> result;
    for (const auto &[name, quota] : state.quota.workspaces) {
        if (quota.limited && now < quota.inUseUntil && actsAsHome(state, quota, now))
            result.push_back(name);
    }
    return result;
}

void sendToZone(engine &state, const peer_message &message)
{
    for (const auto &[name, peer] : state.peers) {
        if (peer.zone == state.settings.zone)
            state.out.emplace_back(send_to_peer{ name, message });
    }
}

} // namespace

std::string homeOf(const engine &state, const workspace_quota &quota, core::time_point now)
{
    // The daemon that has borrowed this daemon's part refills its bucket from it, so tokens are
    // requested there.
    if (quota.lentUntil > now && answersLoanRequests(state, quota.lentTo, now))
        return quota.lentTo;
    for (const std::string &each : quota.homes) {
        if (each == state.settings.node || answersLoanRequests(state, each, now))
            return each;
    }
    return state.settings.node;
}

void logPartChange(engine &state, workspace_quota &quota, const std::string &workspace,
                   std::string_view reason, const std::string &other, core::time_point now)
{
    if (!quota.limited || quota.lastLoggedPart == quota.heldPart)
        return;
    quota.lastLoggedPart = quota.heldPart;
    decision_note note;
    note.kind = note_kind::QuotaPartChanged;
    note.workspace = workspace;
    note.member = other;
    note.reason = reason;
    if (const auto peer = state.peers.find(other); peer != state.peers.end())
        note.age = now - peer->second.lastHeard;
    note.number = quota.heldPart;
    state.out.emplace_back(std::move(note));
}

void markPartsInUse(engine &state, workspace_quota &quota, core::time_point now)
{
    if (quota.inUseUntil <= now)
        state.nextPartRequest = std::min(state.nextPartRequest, now + minPartRequestInterval);
    quota.inUseUntil = now + partUseTimeout;
}

void requestParts(engine &state, core::time_point now)
{
    if (now < state.nextPartRequest)
        return;
    const std::vector<std::string> homeWorkspaces = workspacesAtHome(state, now);
    const bool inUse =
            std::any_of(state.quota.workspaces.begin(), state.quota.workspaces.end(),
                        [now](const auto &each) { return now < each.second.inUseUntil; });
    state.nextPartRequest = inUse ? now + partRenewInterval : core::noDeadline;
    auto next = homeWorkspaces.begin();
    while (next != homeWorkspaces.end()) {
        peer_message message = makeMessage(state, peer_message_kind::PartRequest);
        message.askedAtUs = now.time_since_epoch().count();
        std::size_t bytes = 0;
        do {
            bytes += listedBytes(*next);
            message.workspaces.push_back(*next++);
        } while (next != homeWorkspaces.end() && bytes + listedBytes(*next) <= maxListBytes);
        sendToZone(state, message);
    }
}

void answerPartRequest(engine &state, const peer_message &message, core::time_point now)
{
    // Loan requests go to a home that answers them, so that home must hold the part.
    if (!answersLoanRequests(state, message.from, now))
        return;
    peer_message answer = makeMessage(state, peer_message_kind::PartGrant);
    answer.askedAtUs = message.askedAtUs;
    for (const std::string &workspace : message.workspaces) {
        workspace_quota *quota = findLimitedQuota(state.quota, workspace);
        if (quota == nullptr || hasPreferredHome(state, *quota, message.from, now))
            continue;
        auto grant = lendPart(*quota, message.from, now);
        if (!grant)
            continue;
        grant->workspace = workspace;
        answer.parts.push_back(std::move(*grant));
        logPartChange(state, *quota, workspace, "lent_to_home", message.from, now);
    }
    if (!answer.parts.empty())
        state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
}

void acceptParts(engine &state, const peer_message &message, core::time_point now)
{
    const core::time_point requestedAt{ core::duration(message.askedAtUs) };
    const auto lender = state.peers.find(message.from);
    // A request from before the recall may have been answered by an earlier process of the lender.
    if (lender == state.peers.end() || requestedAt < lender->second.recalledAt)
        return;
    for (const part_grant &each : message.parts) {
        workspace_quota *quota = findLimitedQuota(state.quota, each.workspace);
        if (quota == nullptr)
            continue;
        borrowPart(*quota, message.from, each, requestedAt, now);
        logPartChange(state, *quota, each.workspace, "borrowed", message.from, now);
        admitWaitingOperations(state, each.workspace, now);
        // Resuming a waiting operation may end its session, but does not invalidate `quota`.
        serveWaitingLoans(state, *quota, each.workspace, now);
    }
}

void startRecall(engine &state, core::time_point now)
{
    if (std::exchange(state.recall.started, true))
        return;
    state.recall.deadline = now + partLeaseDuration + partLeaseMargin;
    state.recall.nextRequestAt = now;
    stepRecall(state, now);
}

void stepRecall(engine &state, core::time_point now)
{
    part_recall &recall = state.recall;
    if (now < recall.nextRequestAt)
        return;
    std::vector<std::string> missing;
    for (const auto &[name, peer] : state.peers) {
        if (peer.zone == state.settings.zone && !recall.answered.contains(name))
            missing.push_back(name);
    }
    if (missing.empty() || recall.deadline <= now) {
        recall.done = true;
        recall.nextRequestAt = core::noDeadline;
        for (auto &[name, quota] : state.quota.workspaces) {
            enableOwnPart(quota, now);
            logPartChange(state, quota, name, "recalled", {}, now);
        }
        return;
    }
    recall.nextRequestAt = now + recallRetryInterval;
    peer_message message = makeMessage(state, peer_message_kind::PartRecall);
    message.recall = state.incarnation;
    for (const std::string &peer : missing)
        state.out.emplace_back(send_to_peer{ peer, message });
}

void answerRecall(engine &state, const peer_message &message, core::time_point now)
{
    const auto lender = state.peers.find(message.from);
    if (lender == state.peers.end())
        return;
    lender->second.recalledAt = now;
    for (auto &[name, quota] : state.quota.workspaces) {
        endBorrowedPart(quota, message.from, now);
        logPartChange(state, quota, name, "recalled_by_lender", message.from, now);
    }
    peer_message answer = makeMessage(state, peer_message_kind::PartRecallAnswer);
    answer.recall = message.recall;
    state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
}

void acceptRecallAnswer(engine &state, const peer_message &message, core::time_point now)
{
    if (state.recall.done || message.recall != state.incarnation)
        return;
    state.recall.answered.insert(message.from);
    state.recall.nextRequestAt = now;
    stepRecall(state, now);
}

void reviseClaim(engine &state, const std::vector<peer_state> &list, core::time_point now)
{
    std::vector<claim_row> rows;
    rows.reserve(list.size());
    for (const peer_state &each : list)
        rows.push_back({ each.node == state.settings.node, each.incarnation, each.claimed });
    if (const auto part = evaluateClaim(state.claim, rows, state.incarnation, now))
        state.out.emplace_back(claim_part{ *part });
}

void writeDueClaim(engine &state, core::time_point now)
{
    if (const auto part = takeDueClaim(state.claim, now))
        state.out.emplace_back(claim_part{ *part });
}

} // namespace fuchsiagw::proxy
