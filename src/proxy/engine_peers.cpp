/// @file
/// @brief Datagrams to and from other daemons: log positions, leaders, rate-limit tokens.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>
#include <numeric>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds exchangeInterval{ 400 };
/// Number of peers that a daemon asks per interval. It is constant, so that the traffic of a daemon
/// does not grow with the number of daemons.
constexpr std::size_t exchangePeers = 3;
/// Number of these peers that are in other zones. Bandwidth between zones is scarce, and a position
/// that reaches one daemon of a zone spreads within the zone.
constexpr std::size_t exchangeOtherZonePeers = 1;
constexpr std::size_t announcementPeers = 16;
/// Answers to older requests are ignored, because their reports would be too old to be useful.
constexpr std::chrono::seconds maxAnswerAge{ 5 };
/// Bytes of evacuated zones in one datagram, so that they fit beside the reports.
constexpr std::size_t maxEvacuationBytes = 200;
/// Limit of leader reports in one datagram.
constexpr std::size_t reportsPerMessage = 12;

void sampleNames(engine &state, std::vector<std::string> &names, std::size_t count)
{
    for (std::size_t i = 0; i < names.size() && i < count; ++i) {
        const std::size_t other = i + core::drawBelow(state.random, names.size() - i);
        std::swap(names[i], names[other]);
    }
    names.resize(std::min(names.size(), count));
}

std::vector<std::string> samplePeers(engine &state, std::size_t count)
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : state.peers)
        names.push_back(name);
    sampleNames(state, names, count);
    return names;
}

/// Samples the peers for one exchange, most of them from this daemon's own zone.
std::vector<std::string> sampleExchangePeers(engine &state)
{
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    for (const auto &[name, peer] : state.peers)
        (peer.zone == state.settings.zone ? sameZone : otherZones).push_back(name);
    sampleNames(state, sameZone,
                exchangePeers - std::min(otherZones.size(), exchangeOtherZonePeers));
    sampleNames(state, otherZones, exchangePeers - sameZone.size());
    sameZone.insert(sameZone.end(), otherZones.begin(), otherZones.end());
    return sameZone;
}

/// Keeps as many reports as fit into one datagram.
void keepRandomSample(engine &state, std::vector<leader_report> &all)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (; count < std::min(all.size(), reportsPerMessage); ++count) {
        std::swap(all[count], all[count + core::drawBelow(state.random, all.size() - count)]);
        bytes += listedBytes(all[count]);
        if (bytes > maxListBytes)
            break;
    }
    all.resize(count);
}

std::vector<leader_report> reportsOf(engine &state, core::time_point now)
{
    std::vector<leader_report> all;
    for (const auto &[name, service] : state.services) {
        if (service.leader.empty())
            continue;
        leader_report each;
        each.service = name;
        each.member = service.leader;
        each.term = service.term;
        each.ageUs = -1;
        if (const auto newest = newestSample(service.positions)) {
            each.position = newest->position;
            each.ageUs = (now - newest->since).count();
        }
        all.push_back(std::move(each));
    }
    const std::size_t bytes = std::accumulate(
            all.begin(), all.end(), std::size_t{ 0 },
            [](std::size_t sum, const leader_report &each) { return sum + listedBytes(each); });
    if (all.size() > reportsPerMessage || bytes > maxListBytes)
        keepRandomSample(state, all);
    return all;
}

/// Adopts a leader with a higher term that a peer announced; the report has no position.
void onLeaderAnnouncement(engine &state, const leader_report &report, core::time_point now)
{
    service_state *service = findService(state, report.service);
    if (service == nullptr || report.term <= service->term
        || findMember(state, report.member) == nullptr)
        return;
    adoptTerm(*service, report.term);
    service->leader = report.member;
    service->positions = {};
    service->leadershipDenials.clear();
    service->leaderlessSince = core::noDeadline;
    service->leaderProvenAt = now;
    decision_note note;
    note.kind = note_kind::LeaderLearned;
    note.service = service->name;
    note.member = report.member;
    note.reason = "peer";
    note.position.term = service->term;
    state.out.emplace_back(std::move(note));
    announceLeader(state, *service);
    serveQueue(state, *service, now);
}

/// A peer that has an older manifest has not seen a newer one than this daemon's either.
void takeOverProof(engine &state, const peer_message &message, core::time_point asked)
{
    if (message.manifestAgeUs < 0 || message.manifestVersion == 0
        || message.manifestVersion > manifestVersionOf(state))
        return;
    // The age counts from the request, so that network delay can't make a proof look fresher.
    const core::time_point provenAt = asked - core::duration(message.manifestAgeUs);
    if (provenAt <= state.manifestProvenAt)
        return;
    state.manifestProvenAt = provenAt;
    state.out.emplace_back(confirm_manifest{ message.manifestVersion, provenAt });
}

void onExchangeAnswer(engine &state, const peer_message &message, core::time_point now)
{
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (asked > now || now - asked > maxAnswerAge)
        return;
    takeOverProof(state, message, asked);
    for (const leader_report &each : message.leaders) {
        service_state *service = findService(state, each.service);
        if (service == nullptr || each.ageUs < 0 || findMember(state, each.member) == nullptr)
            continue;
        // The age counts from the request, so that network delay can't make a position look
        // fresher.
        learnLeader(state, *service, each.member, each.term, each.position,
                    asked - core::duration(each.ageUs), now);
    }
}

void answerReachabilityRequest(engine &state, const peer_message &message, core::time_point now)
{
    constexpr milliseconds maxContactAge{ 600 };
    peer_message answer = makeMessage(state, peer_message_kind::ReachabilityAnswer);
    answer.askedAtUs = message.askedAtUs;
    answer.subject = message.subject;
    answer.member = message.member;
    answer.amount = -1;
    const service_state *service = findService(state, message.subject);
    const deposed_primary *deposed =
            service == nullptr ? nullptr : findDeposed(*service, message.member, now);
    if (deposed != nullptr) {
        answer.leaders.push_back(deposedReport(*service));
    } else if (const member_state *member = findMember(state, message.member)) {
        if (member->unresponsiveSince != core::noDeadline)
            answer.amount = 0;
        else if (now - member->lastAnswerAt < maxContactAge)
            answer.amount = 1;
    }
    state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
}

void onReachabilityAnswer(engine &state, const peer_message &message, core::time_point now)
{
    service_state *service = findService(state, message.subject);
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (service == nullptr || service->promotion.oldPrimary != message.member
        || service->promotion.startedAt != asked)
        return;
    if (!message.leaders.empty())
        learnDeposed(state, *service, message.leaders.front(), now);
    else if (message.amount == 1)
        service->promotion.peersReaching.insert(message.from);
    else if (message.amount == 0)
        service->promotion.peersNotReaching.insert(message.from);
}

} // namespace

peer_message makeMessage(const engine &state, peer_message_kind kind)
{
    peer_message message;
    message.kind = kind;
    message.from = state.settings.node;
    message.incarnation = state.incarnation;
    message.manifestVersion = manifestVersionOf(state);
    return message;
}

namespace {

/// Adds the evacuated zones once a zone has been evacuated, so that a daemon that does not reach
/// the store learns of the request and of its end.
void addEvacuations(const engine &state, peer_message &message)
{
    if (!state.evacuation.wasUsed)
        return;
    std::size_t bytes = 0;
    for (const auto &[zone, each] : state.evacuation.zones)
        bytes += listedBytes(zone);
    if (bytes > maxEvacuationBytes)
        return;
    message.evacuationVersion = state.evacuation.version;
    for (const auto &[zone, each] : state.evacuation.zones)
        message.evacuatedZones.push_back(zone);
}

} // namespace

void exchangeWithPeers(engine &state, core::time_point now)
{
    if (now < state.nextExchangeAt)
        return;
    state.nextExchangeAt = now + exchangeInterval;
    peer_message message = makeMessage(state, peer_message_kind::Exchange);
    message.askedAtUs = now.time_since_epoch().count();
    addEvacuations(state, message);
    // Exchanges only pull: the answer contains the peer's reports, and this daemon's reports are
    // sent when other daemons ask for them.
    for (const std::string &peer : sampleExchangePeers(state))
        state.out.emplace_back(send_to_peer{ peer, message });
}

void announceLeader(engine &state, const service_state &service)
{
    peer_message message = makeMessage(state, peer_message_kind::LeaderAnnouncement);
    leader_report report;
    report.service = service.name;
    report.member = service.leader;
    report.term = service.term;
    message.leaders.push_back(std::move(report));
    for (const std::string &peer : samplePeers(state, announcementPeers))
        state.out.emplace_back(send_to_peer{ peer, message });
}

void announceOpenOrder(engine &state, const service_state &service, const std::string &member,
                       std::uint64_t token, bool isFenced)
{
    peer_message message = makeMessage(state, isFenced ? peer_message_kind::PrimaryFenced
                                                       : peer_message_kind::OpenOrder);
    message.subject = service.name;
    message.member = member;
    message.amount = static_cast<std::int64_t>(token);
    message.leaders.push_back(termReport(service));
    for (const std::string &peer : samplePeers(state, announcementPeers))
        state.out.emplace_back(send_to_peer{ peer, message });
}

void onPeerMessage(engine &state, const peer_message &message, core::time_point now)
{
    const auto peer = state.peers.find(message.from);
    if (peer != state.peers.end()) {
        peer->second.lastHeard = now;
        peer->second.manifestVersion = message.manifestVersion;
    }
    if (state.config && message.manifestVersion > state.config->version)
        state.out.emplace_back(refresh_manifest{ message.manifestVersion });
    if (message.evacuationVersion > state.evacuation.version)
        onEvacuations(state, { message.evacuatedZones.begin(), message.evacuatedZones.end() },
                      message.evacuationVersion, "peer", now);
    switch (message.kind) {
    case peer_message_kind::Exchange: {
        peer_message answer = makeMessage(state, peer_message_kind::ExchangeAnswer);
        answer.askedAtUs = message.askedAtUs;
        answer.leaders = reportsOf(state, now);
        if (state.manifestProvenAt != core::time_point{})
            answer.manifestAgeUs = (now - state.manifestProvenAt).count();
        addEvacuations(state, answer);
        state.out.emplace_back(send_to_peer{ message.from, std::move(answer) });
        break;
    }
    case peer_message_kind::ExchangeAnswer:
        onExchangeAnswer(state, message, now);
        break;
    case peer_message_kind::LoanRequest:
        answerLoanRequest(state, message, now);
        break;
    case peer_message_kind::LoanGrant:
        acceptLoan(state, message, now);
        break;
    case peer_message_kind::LeaderAnnouncement:
        for (const leader_report &each : message.leaders)
            onLeaderAnnouncement(state, each, now);
        break;
    case peer_message_kind::ReachabilityRequest:
        answerReachabilityRequest(state, message, now);
        break;
    case peer_message_kind::ReachabilityAnswer:
        onReachabilityAnswer(state, message, now);
        break;
    case peer_message_kind::LoanReturn:
        acceptReturnedTokens(state, message, now);
        break;
    case peer_message_kind::PartRequest:
        answerPartRequest(state, message, now);
        break;
    case peer_message_kind::PartGrant:
        acceptParts(state, message, now);
        break;
    case peer_message_kind::PartRecall:
        answerRecall(state, message, now);
        break;
    case peer_message_kind::PartRecallAnswer:
        acceptRecallAnswer(state, message, now);
        break;
    case peer_message_kind::EvidenceRequest:
        answerEvidenceRequest(state, message, now);
        break;
    case peer_message_kind::EvidenceAnswer:
        onEvidenceAnswer(state, message, now);
        break;
    case peer_message_kind::MemberLoad:
        applyLoad(state, message.member, message.load, now);
        break;
    case peer_message_kind::OpenOrder:
    case peer_message_kind::PrimaryFenced:
        onOpenOrderNotice(state, message, now);
        break;
    case peer_message_kind::StepDownRequest:
        onStepDownRequest(state, message, now);
        break;
    case peer_message_kind::StepDownAnswer:
        onStepDownAnswer(state, message, now);
        break;
    case peer_message_kind::NewestCommitRequest:
        answerCommitRequest(state, message);
        break;
    case peer_message_kind::NewestCommitAnswer:
        onCommitAnswer(state, message);
        break;
    }
}

} // namespace fuchsiagw::proxy
