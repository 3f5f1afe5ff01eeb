/// @file
/// @brief Rounds of digests and acknowledgements over the tree.

#include <fuchsiagw/core/config_spread.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

constexpr std::size_t maxSentAcknowledgements = 16; ///< the number of bits of `included`
constexpr unsigned initialFastRounds = 4;
constexpr int windowPercent = 70; ///< part of the period in which acknowledgements count
constexpr int resendPercent = 40; ///< part of the remaining window before a resend
constexpr auto minResendWindow =
        std::chrono::milliseconds(100); ///< no resend if less of the window remains
constexpr int maxMissedPeriods = 3; ///< then a round no longer waits for the child
constexpr auto adoptionRetryInterval = std::chrono::milliseconds(300);

using action = spread_action;

bool isRoot(const spread_state &state)
{
    return state.parent.empty();
}

bool isResponsive(const spread_state &state, const spread_child &child, time_point now)
{
    return child.lastHeardAt != time_point::min()
           && now - child.lastHeardAt < maxMissedPeriods * state.settings.period;
}

void send(std::vector<action> &actions, const instance_id &peer, const spread_message &message)
{
    action next;
    next.what = action::kind::Send;
    next.peer = peer;
    next.message = message;
    actions.push_back(std::move(next));
}

void fetchIfNewer(const freshness &proofs, const instance_id &peer, configuration_version version,
                  std::vector<action> &actions)
{
    if (version <= proofs.heldVersion)
        return;
    action next;
    next.what = action::kind::Fetch;
    next.peer = peer;
    next.version = version;
    actions.push_back(std::move(next));
}

spread_message makeMessage(const spread_state &state, const freshness &proofs, spread_kind kind)
{
    spread_message message;
    message.kind = kind;
    message.root = state.root;
    message.roundNumber = state.roundNumber;
    message.heldVersion = proofs.heldVersion;
    return message;
}

void sendDigest(const spread_state &state, const freshness &proofs, const instance_id &peer,
                const spread_child &child, time_point now, std::vector<action> &actions)
{
    spread_message message = makeMessage(state, proofs, spread_kind::Digest);
    message.provenRound = state.provenRound;
    message.provenVersion = state.provenVersion;
    message.included = child.counted & state.included;
    message.oldest = state.everywhere;
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(
            state.windowEndsAt - now - state.settings.hopAllowance);
    message.windowMicroseconds =
            static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 0));
    send(actions, peer, message);
}

void recordSentAcknowledgement(spread_state &state, time_point at)
{
    state.sent.push_back({ state.root, state.roundNumber, at });
    if (state.sent.size() > maxSentAcknowledgements)
        state.sent.pop_front();
}

/// Opens a round at this instance. The bits in `counted` shift by the number of rounds since the
/// last one.
void openRound(spread_state &state, std::uint64_t root, std::uint64_t roundNumber, duration window,
               time_point now, std::vector<action> &actions)
{
    const bool isNewRoot = root != state.root;
    const std::uint64_t advancedRounds = roundNumber - state.roundNumber;
    assert(isNewRoot || roundNumber > state.roundNumber);
    for (auto &[peer, child] : state.children) {
        const bool wasCounted = child.acknowledgedRound == state.roundNumber && !state.isOpen;
        if (isNewRoot || advancedRounds > maxSentAcknowledgements) {
            child.counted = 0;
        } else {
            const unsigned last = wasCounted ? 1U : 0U;
            child.counted = static_cast<std::uint16_t>(((child.counted << 1U) | last)
                                                       << (advancedRounds - 1));
        }
        if (isNewRoot)
            child.acknowledgedRound = 0;
    }
    if (isNewRoot) {
        state.sent.clear();
        state.provenRound = 0;
        state.provenVersion = 0;
        state.localProofRound = 0;
        state.localProofVersion = 0;
    }
    state.root = root;
    state.roundNumber = roundNumber;
    state.isOpen = true;
    state.windowEndsAt = now + window;
    state.resendAt = now + window * resendPercent / 100;
    state.isAwaitingRead = state.place.isReader || isRoot(state);
    if (state.isAwaitingRead) {
        action read;
        read.what = action::kind::ReadPlatform;
        read.root = root;
        read.roundNumber = roundNumber;
        actions.push_back(std::move(read));
    }
}

void sendDigests(const spread_state &state, const freshness &proofs, time_point now,
                 std::vector<action> &actions)
{
    for (const auto &[peer, child] : state.children)
        sendDigest(state, proofs, peer, child, now, actions);
}

/// Aggregates this instance and the children that acknowledged the round.
spread_message makeReport(const spread_state &state, const freshness &proofs)
{
    spread_message report = makeMessage(state, proofs, spread_kind::Acknowledgement);
    report.newest = proofs.heldVersion;
    report.oldest = proofs.heldVersion;
    report.count = 1;
    report.instanceHashSum = instanceHash(state.self.instance);
    report.hasUnresolvedSubmit = state.hasUnresolvedSubmit;
    report.provenRound = state.localProofRound;
    report.provenVersion = state.localProofVersion;
    for (const auto &[peer, child] : state.children) {
        if (child.acknowledgedRound != state.roundNumber)
            continue;
        const spread_message &childReport = child.report;
        report.newest = std::max(report.newest, childReport.newest);
        report.oldest = std::min(report.oldest, childReport.oldest);
        report.count += childReport.count;
        report.instanceHashSum += childReport.instanceHashSum;
        report.hasUnresolvedSubmit = report.hasUnresolvedSubmit || childReport.hasUnresolvedSubmit;
        if (std::tie(childReport.provenRound, childReport.provenVersion)
            > std::tie(report.provenRound, report.provenVersion)) {
            report.provenRound = childReport.provenRound;
            report.provenVersion = childReport.provenVersion;
        }
    }
    return report;
}

/// Derives this instance's own proof from the proof of a round. Its time is that of the newest
/// counted acknowledgement before the proven round, or at the root the start of the round.
void applyRoundProof(const spread_state &state, freshness &proofs, proof_source source)
{
    if (state.provenRound == 0)
        return;
    for (auto each = state.sent.rbegin(); each != state.sent.rend(); ++each) {
        if (each->root != state.root)
            continue;
        bool isUsable = each->roundNumber == state.provenRound;
        if (!isRoot(state)) {
            const std::uint64_t bit = state.roundNumber - 1 - each->roundNumber;
            isUsable = each->roundNumber < state.provenRound
                       && each->roundNumber < state.roundNumber && bit < maxSentAcknowledgements
                       && ((state.included >> bit) & 1U) != 0;
        }
        if (isUsable) {
            addProof(proofs, { state.provenVersion, each->at, source });
            return;
        }
    }
}

bool isCompleteReport(const spread_state &state, const spread_message &report)
{
    std::uint64_t sum = 0;
    for (const tree_node &each : state.live)
        sum += instanceHash(each.instance);
    return state.place.isListed && !report.hasUnresolvedSubmit && report.count == state.live.size()
           && report.instanceHashSum == sum;
}

void closeAsRoot(spread_state &state, freshness &proofs, const spread_message &report)
{
    proof_source source = proof_source::Platform;
    std::uint64_t roundNumber = report.provenRound;
    configuration_version version = report.provenVersion;
    const bool isComplete = isCompleteReport(state, report);
    if (isComplete)
        state.everywhere = std::max(state.everywhere, report.oldest);
    if (roundNumber < state.roundNumber && isComplete && !report.hasUnresolvedSubmit) {
        roundNumber = state.roundNumber;
        version = report.newest;
        source = proof_source::Report;
    }
    if (roundNumber > state.provenRound) {
        state.provenRound = roundNumber;
        state.provenVersion = version;
        applyRoundProof(state, proofs, source);
    }
}

/// Closes the round if no answer is outstanding or its window has ended.
void closeIfDone(spread_state &state, freshness &proofs, time_point now,
                 std::vector<action> &actions)
{
    if (!state.isOpen)
        return;
    bool isDone = !state.isAwaitingRead;
    for (const auto &[peer, child] : state.children)
        isDone = isDone
                 && (child.acknowledgedRound == state.roundNumber
                     || !isResponsive(state, child, now));
    if (!isDone && now < state.windowEndsAt)
        return;
    state.isOpen = false;
    state.resendAt = time_point::max();
    const spread_message report = makeReport(state, proofs);
    if (isRoot(state)) {
        closeAsRoot(state, proofs, report);
    } else {
        recordSentAcknowledgement(state, now);
        send(actions, state.parent, report);
    }
}

void becomeRoot(spread_state &state, time_point now)
{
    state.parent = {};
    state.included = 0xffff;
    state.isOpen = false;
    state.nextRoundAt = now;
    state.fastRoundsLeft = initialFastRounds;
    state.nextAdoptionAt = now;
    state.adoptionIndex = 0;
}

void startRound(spread_state &state, freshness &proofs, time_point now,
                std::vector<action> &actions)
{
    const bool isFast = state.fastRoundsLeft > 0;
    state.fastRoundsLeft -= isFast ? 1 : 0;
    const duration period = isFast ? state.settings.fastPeriod : state.settings.period;
    openRound(state, state.ownRoot, ++state.ownRound, period * windowPercent / 100, now, actions);
    recordSentAcknowledgement(state, now);
    state.nextRoundAt = now + period;
    sendDigests(state, proofs, now, actions);
}

bool isAcceptedParent(const spread_state &state, const instance_id &from, time_point now)
{
    if (from == state.parent)
        return true;
    const auto &parents = state.place.parents;
    const auto candidate = std::find(parents.begin(), parents.end(), from);
    if (candidate == parents.end())
        return isRoot(state) && !parents.empty() && !state.children.contains(from);
    const auto current = std::find(parents.begin(), parents.end(), state.parent);
    return candidate < current || isRoot(state) || now >= state.parentDeadline;
}

void onDigest(spread_state &state, freshness &proofs, const instance_id &from,
              const spread_message &message, time_point now, std::vector<action> &actions)
{
    if (message.root == state.ownRoot || !isAcceptedParent(state, from, now))
        return;
    fetchIfNewer(proofs, from, message.heldVersion, actions);
    const bool isKnownWave = message.root == state.root && message.roundNumber <= state.roundNumber;
    if (isKnownWave && from == state.parent) {
        // The acknowledgement may have been lost, so it is sent again. The recorded time stays that
        // of the first one, because the parent may have received either.
        if (message.roundNumber == state.roundNumber && !state.isOpen)
            send(actions, from, makeReport(state, proofs));
        return;
    }
    state.parent = from;
    state.parentDeadline = now + state.settings.parentTimeout;
    state.children.erase(from);
    if (isKnownWave)
        return;
    openRound(state, message.root, message.roundNumber,
              std::chrono::microseconds(message.windowMicroseconds), now, actions);
    state.included = message.included;
    state.provenRound = message.provenRound;
    state.provenVersion = message.provenVersion;
    state.everywhere = std::max(state.everywhere, message.oldest);
    applyRoundProof(state, proofs, proof_source::Peer);
    sendDigests(state, proofs, now, actions);
    closeIfDone(state, proofs, now, actions);
}

void onAcknowledgement(spread_state &state, freshness &proofs, const instance_id &from,
                       const spread_message &message, time_point now, std::vector<action> &actions)
{
    if (from == state.parent)
        return;
    const bool isNew = !state.children.contains(from);
    spread_child &child = state.children[from];
    child.isAdopted = child.isAdopted || isNew;
    child.lastHeardAt = now;
    fetchIfNewer(proofs, from, message.heldVersion, actions);
    if (message.roundNumber == 0 && state.roundNumber > 0)
        sendDigest(state, proofs, from, child, now, actions);
    if (message.root != state.root || message.roundNumber != state.roundNumber || !state.isOpen
        || child.acknowledgedRound == message.roundNumber)
        return;
    child.acknowledgedRound = message.roundNumber;
    child.report = message;
    closeIfDone(state, proofs, now, actions);
}

} // namespace

spread_state startSpread(const tree_node &self, incarnation_id incarnation,
                         const spread_settings &settings, time_point now)
{
    spread_state state;
    state.self = self;
    state.ownRoot = instanceHash(self.instance) ^ incarnation;
    state.settings = settings;
    becomeRoot(state, now);
    return state;
}

void setLiveInstances(spread_state &state, const std::vector<tree_node> &live, time_point now)
{
    if (live == state.live)
        return;
    state.live = live;
    state.place = placeOf(live, state.self);
    std::erase_if(state.children, [&](const auto &each) {
        return !each.second.isAdopted
               && std::find(state.place.children.begin(), state.place.children.end(), each.first)
                          == state.place.children.end();
    });
    for (const instance_id &child : state.place.children) {
        if (child != state.parent)
            state.children[child].isAdopted = false;
    }
    // An instance that is no longer among the candidate parents is dropped at the next tick.
    const auto &parents = state.place.parents;
    if (!isRoot(state) && std::find(parents.begin(), parents.end(), state.parent) == parents.end())
        state.parentDeadline = now;
    state.nextAdoptionAt = std::min(state.nextAdoptionAt, now);
}

void tickSpread(spread_state &state, freshness &proofs, time_point now,
                std::vector<spread_action> &actions)
{
    std::erase_if(state.children, [&](const auto &each) {
        return each.second.isAdopted && !isResponsive(state, each.second, now);
    });
    closeIfDone(state, proofs, now, actions);
    if (!isRoot(state) && now >= state.parentDeadline)
        becomeRoot(state, now);
    const auto &parents = state.place.parents;
    if (isRoot(state) && !parents.empty() && now >= state.nextAdoptionAt) {
        spread_message adoptionRequest = makeMessage(state, proofs, spread_kind::Acknowledgement);
        adoptionRequest.roundNumber = 0;
        send(actions, parents[state.adoptionIndex++ % parents.size()], adoptionRequest);
        state.nextAdoptionAt = now + adoptionRetryInterval;
    }
    if (isRoot(state) && now >= state.nextRoundAt)
        startRound(state, proofs, now, actions);
    if (state.isOpen && now >= state.resendAt) {
        const duration remaining = state.windowEndsAt - now;
        state.resendAt = remaining < minResendWindow ? time_point::max()
                                                     : now + remaining * resendPercent / 100;
        for (const auto &[peer, child] : state.children) {
            if (child.acknowledgedRound != state.roundNumber && isResponsive(state, child, now))
                sendDigest(state, proofs, peer, child, now, actions);
        }
    }
}

time_point nextSpreadTime(const spread_state &state)
{
    time_point next = isRoot(state) ? state.nextRoundAt : state.parentDeadline;
    if (isRoot(state) && !state.place.parents.empty())
        next = std::min(next, state.nextAdoptionAt);
    if (state.isOpen)
        next = std::min({ next, state.windowEndsAt, state.resendAt });
    return next;
}

void onSpreadMessage(spread_state &state, freshness &proofs, const instance_id &from,
                     const spread_message &message, time_point now,
                     std::vector<spread_action> &actions)
{
    if (from == state.self.instance)
        return;
    state.heldByPeer = std::max(state.heldByPeer, message.heldVersion);
    switch (message.kind) {
    case spread_kind::Digest:
        onDigest(state, proofs, from, message, now, actions);
        break;
    case spread_kind::Acknowledgement:
        onAcknowledgement(state, proofs, from, message, now, actions);
        break;
    case spread_kind::Announcement:
        fetchIfNewer(proofs, from, message.heldVersion, actions);
        break;
    }
}

void onPlatformVersion(spread_state &state, freshness &proofs, std::uint64_t root,
                       std::uint64_t roundNumber, configuration_version version, time_point sentAt,
                       time_point now, std::vector<spread_action> &actions)
{
    addPlatformProof(proofs, version, sentAt);
    if (root != state.root)
        return;
    if (roundNumber > state.localProofRound) {
        state.localProofRound = roundNumber;
        state.localProofVersion = version;
    }
    if (roundNumber == state.roundNumber) {
        state.isAwaitingRead = false;
        closeIfDone(state, proofs, now, actions);
    }
}

void onOperatorProof(spread_state &state, freshness &proofs, std::uint64_t root,
                     std::uint64_t roundNumber, configuration_version version, time_point issuedAt)
{
    addOperatorProof(proofs, version, issuedAt);
    if (root == state.root && roundNumber > state.localProofRound) {
        state.localProofRound = roundNumber;
        state.localProofVersion = version;
    }
}

void onVersionInstalled(spread_state &state, freshness &proofs, configuration_version version,
                        std::vector<spread_action> &actions)
{
    setHeldVersion(proofs, version);
    const spread_message message = makeMessage(state, proofs, spread_kind::Announcement);
    if (!isRoot(state))
        send(actions, state.parent, message);
    for (const auto &[peer, child] : state.children)
        send(actions, peer, message);
}

bool isHeldElsewhere(const spread_state &state, configuration_version version)
{
    return state.heldByPeer >= version || (state.place.isListed && state.live.size() == 1);
}

} // namespace fuchsiagw::core
