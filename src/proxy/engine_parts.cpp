/// @file
/// @brief Parts of the limits: claims in the store, and the parts that homes borrow in their zone.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::proxy {

namespace {

/// Three questions in the life of a lease, so that one lost datagram does not end it.
constexpr milliseconds renewInterval{ 250 };
constexpr milliseconds leastRequestInterval{ 20 };
constexpr milliseconds recallInterval{ 40 };
/// A workspace without operations needs no home that holds its parts.
constexpr std::chrono::seconds partUse{ 3 };
constexpr std::size_t workspacesPerMessage = 40;
/// A home is heard in each interval in which it renews its leases.
constexpr milliseconds heardLately{ 600 };

/// @return false if the daemon left requests for tokens without an answer a moment ago
bool answers(const engine &state, const std::string &home, core::time_point now)
{
    const auto peer = state.peers.find(home);
    return peer != state.peers.end() && peer->second.homeAvoidedUntil <= now;
}

/// @return whether a daemon that comes before another one in the order of the homes is there
bool hasBetterHome(const engine &state, const workspace_quota &quota, const std::string &home,
                   core::time_point now)
{
    for (const std::string &each : quota.homes) {
        if (each == home)
            return false;
        if (each == state.settings.node)
            return true;
        if (answers(state, each, now) && now - state.peers.at(each).lastHeard < heardLately)
            return true;
    }
    return false;
}

bool actsAsHome(const engine &state, const workspace_quota &quota, core::time_point now)
{
    return now < quota.homeUntil || homeOf(state, quota, now) == state.settings.node;
}

/// Workspaces that are in use and whose home this daemon is.
std::vector<std::string> workspacesAtHome(const engine &state, core::time_point now)
{
    std::vector<std::string> result;
    for (const auto &[name, quota] : state.quota.workspaces) {
        if (quota.limited && now < quota.usedUntil && actsAsHome(state, quota, now))
            result.push_back(name);
    }
    return result;
}

void askZone(engine &state, const peer_message &message)
{
    for (const auto &[name, peer] : state.peers) {
        if (peer.zone == state.settings.zone)
            state.out.emplace_back(send_to_peer{ name, message });
    }
}

} // namespace

std::string homeOf(const engine &state, const workspace_quota &quota, core::time_point now)
{
    // Tokens are where the part is.
    if (quota.lentUntil > now && answers(state, quota.lentTo, now))
        return quota.lentTo;
    for (const std::string &each : quota.homes) {
        if (each == state.settings.node || answers(state, each, now))
            return each;
    }
    return state.settings.node;
}

void notePart(engine &state, workspace_quota &quota, const std::string &workspace,
              std::string_view reason, const std::string &other, core::time_point now)
{
    if (!quota.limited || quota.noted == quota.held)
        return;
    quota.noted = quota.held;
    decision_note line;
    line.kind = note_kind::QuotaPartChanged;
    line.workspace = workspace;
    line.member = other;
    line.reason = reason;
    if (const auto peer = state.peers.find(other); peer != state.peers.end())
        line.age = now - peer->second.lastHeard;
    line.number = quota.held;
    state.out.emplace_back(std::move(line));
}

void useParts(engine &state, workspace_quota &quota, core::time_point now)
{
    if (quota.usedUntil <= now)
        state.nextPartRequest = std::min(state.nextPartRequest, now + leastRequestInterval);
    quota.usedUntil = now + partUse;
}

void requestParts(engine &state, core::time_point now)
{
    if (now < state.nextPartRequest)
        return;
    const std::vector<std::string> all = workspacesAtHome(state, now);
    const bool inUse = std::any_of(state.quota.workspaces.begin(), state.quota.workspaces.end(),
                                   [now](const auto &each) { return now < each.second.usedUntil; });
    state.nextPartRequest = inUse ? now + renewInterval : core::noDeadline;
    for (std::size_t first = 0; first < all.size(); first += workspacesPerMessage) {
        peer_message message = makeMessage(state, peer_message_kind::PartRequest);
        message.askedAtUs = now.time_since_epoch().count();
        const std::size_t last = std::min(all.size(), first + workspacesPerMessage);
        message.workspaces.assign(all.begin() + static_cast<std::ptrdiff_t>(first),
                                  all.begin() + static_cast<std::ptrdiff_t>(last));
        askZone(state, message);
    }
}

void answerPartRequest(engine &state, const peer_message &message, core::time_point now)
{
    // Tokens are asked of a home that answers, so that is where the part has to be.
    if (!answers(state, message.from, now))
        return;
    peer_message answer = makeMessage(state, peer_message_kind::PartGrant);
    answer.askedAtUs = message.askedAtUs;
    for (const std::string &workspace : message.workspaces) {
        workspace_quota *quota = limitedQuota(state.quota, workspace);
        if (quota == nullptr || hasBetterHome(state, *quota, message.from, now))
            continue;
        auto grant = lendPart(*quota, message.from, now);
        if (!grant)
            continue;
        grant->workspace = workspace;
        answer.parts.push_back(std::move(*grant));
        notePart(state, *quota, workspace, "lent_to_home", message.from, now);
    }
    if (!answer.parts.empty())
        state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
}

void takeParts(engine &state, const peer_message &message, core::time_point now)
{
    const core::time_point asked{ core::duration(message.askedAtUs) };
    const auto lender = state.peers.find(message.from);
    // A question from before the recall may have been answered by the process before it.
    if (lender == state.peers.end() || asked < lender->second.recalledAt)
        return;
    for (const part_grant &each : message.parts) {
        workspace_quota *quota = limitedQuota(state.quota, each.workspace);
        if (quota == nullptr)
            continue;
        takePart(*quota, message.from, each, asked, now);
        notePart(state, *quota, each.workspace, "borrowed", message.from, now);
        serveTokenWaiters(state, each.workspace, now);
        // A waiter that goes on can end its session, but does not change the limits.
        serveLoans(state, *quota, each.workspace, now);
    }
}

void startRecall(engine &state, core::time_point now)
{
    if (std::exchange(state.recall.started, true))
        return;
    state.recall.until = now + partLease + partLeaseMargin;
    state.recall.next = now;
    stepRecall(state, now);
}

void stepRecall(engine &state, core::time_point now)
{
    part_recall &recall = state.recall;
    if (now < recall.next)
        return;
    std::vector<std::string> missing;
    for (const auto &[name, peer] : state.peers) {
        if (peer.zone == state.settings.zone && !recall.answered.contains(name))
            missing.push_back(name);
    }
    if (missing.empty() || recall.until <= now) {
        recall.done = true;
        recall.next = core::noDeadline;
        for (auto &[name, quota] : state.quota.workspaces) {
            releaseOwnPart(quota, now);
            notePart(state, quota, name, "recalled", {}, now);
        }
        return;
    }
    recall.next = now + recallInterval;
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
        dropPart(quota, message.from, now);
        notePart(state, quota, name, "recalled_by_lender", message.from, now);
    }
    peer_message answer = makeMessage(state, peer_message_kind::PartRecallAnswer);
    answer.recall = message.recall;
    state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
}

void takeRecallAnswer(engine &state, const peer_message &message, core::time_point now)
{
    if (state.recall.done || message.recall != state.incarnation)
        return;
    state.recall.answered.insert(message.from);
    state.recall.next = now;
    stepRecall(state, now);
}

void reviseClaim(engine &state, const std::vector<peer_state> &list, core::time_point now)
{
    std::vector<claim_row> rows;
    rows.reserve(list.size());
    for (const peer_state &each : list)
        rows.push_back({ each.node == state.settings.node, each.incarnation, each.claimed });
    if (const auto part = revise(state.claim, rows, state.incarnation, now))
        state.out.emplace_back(claim_part{ *part });
}

void stepClaim(engine &state, core::time_point now)
{
    if (const auto part = dueClaim(state.claim, now))
        state.out.emplace_back(claim_part{ *part });
}

} // namespace fuchsiagw::proxy
