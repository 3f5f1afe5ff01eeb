/// @file
/// @brief Detects unresponsive members and replicas that do not receive; sends commands of the
/// proxy itself.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// A member is unresponsive if a connection to it has not opened within this time.
constexpr milliseconds connectSilenceTimeout{ 250 };
/// A member is unresponsive if it answers no statement for this long; statements take tens of
/// milliseconds.
constexpr milliseconds answerSilenceTimeout{ 450 };
constexpr milliseconds unresponsiveRelayBackoff{ 1'000 };
constexpr milliseconds unresponsiveMemberBackoff{ 150 };
constexpr milliseconds unresponsiveProbeInterval{ 200 };
/// The first daemon by rank checks a group's replicas at this interval, the next ones less often.
constexpr milliseconds replicaCheckInterval{ 2'500 };
constexpr milliseconds urgentReplicaCheckDelay{ 700 };
constexpr std::size_t maxCheckingDaemons = 3;

} // namespace

namespace {

/// @return the link for commands of the proxy itself, on which one can be sent
upstream_link &controlLinkOf(engine &state, member_state &member, core::time_point now)
{
    upstream_link *link = nullptr;
    for (const link_id id : member.links) {
        if (state.links.at(id).control)
            link = &state.links.at(id);
    }
    if (link == nullptr) {
        const link_id id = openLink(state, member, state.settings.node, true, now);
        link = findLink(state, id);
        link->control = true;
    }
    // lastSent must be the time of the oldest unanswered command, as silence is measured from it.
    if (link->expected.empty() || link->expected.front().role == answer_role::Startup) {
        link->lastSent = link->expected.empty() ? now : link->openedAt;
        link->answerDeadline = link->lastSent + connectSilenceTimeout * 2;
    }
    if (link->state == link_state::Idle)
        link->state = link_state::Busy;
    return *link;
}

} // namespace

void sendControlCommand(engine &state, const std::string &memberId, command_kind kind,
                        core::term_number term, core::time_point now, std::uint64_t serial)
{
    member_state *member = findMember(state, memberId);
    if (member == nullptr)
        return;
    upstream_link &link = controlLinkOf(state, *member, now);
    upstream_command command;
    command.kind = kind;
    command.term = term;
    expected_answer expected;
    expected.role = answer_role::Control;
    expected.serial = serial;
    expected.sentAt = now;
    link.expected.push_back(expected);
    expected.role = answer_role::Confirmation;
    link.expected.push_back(expected);
    state.out.emplace_back(send_to_member{ link.id, { std::move(command), makeConfirmation() } });
}

void askForReport(engine &state, member_state &member, std::uint64_t serial, core::time_point now)
{
    upstream_link &link = controlLinkOf(state, member, now);
    upstream_command command;
    command.kind = command_kind::Status;
    expected_answer expected;
    expected.role = answer_role::Report;
    expected.serial = serial;
    expected.sentAt = now;
    link.expected.push_back(expected);
    state.out.emplace_back(send_to_member{ link.id, { std::move(command) } });
}

std::size_t serviceRank(const engine &state, service_state &service)
{
    if (service.rankVersion != state.peersVersion) {
        service.rank = instanceRank(state, service.name);
        service.rankVersion = state.peersVersion;
    }
    return service.rank;
}

void detectSilentMembers(engine &state, core::time_point now)
{
    std::set<member_state *> suspected;
    std::vector<member_state *> probed;
    for (auto &[id, member] : state.members) {
        for (const link_id each : member.links) {
            const upstream_link &link = state.links.at(each);
            if (link.expected.empty() || link.lastSent <= member.lastAnswerAt)
                continue;
            const bool connecting = link.expected.front().role == answer_role::Startup;
            const core::duration limit = connecting ? connectSilenceTimeout : answerSilenceTimeout;
            if (now - link.lastSent < limit)
                continue;
            // If the relay does not answer, the member itself may still answer: probe it directly.
            if (!link.relay.empty()) {
                suspected.insert(&member);
                const auto relay = state.peers.find(link.relay);
                if (connecting && relay != state.peers.end())
                    relay->second.relayAvoidedUntil = now + unresponsiveRelayBackoff;
            } else {
                member.unresponsiveSince = std::min(member.unresponsiveSince, link.lastSent);
            }
        }
        if (member.unresponsiveSince == core::noDeadline) {
            if (suspected.contains(&member) && member.listed && now >= member.nextProbeAt)
                probed.push_back(&member);
            continue;
        }
        member.avoidUntil = std::max(member.avoidUntil, now + unresponsiveMemberBackoff);
        if (member.listed && now >= member.nextProbeAt)
            probed.push_back(&member);
    }
    // A new connection distinguishes an unresponsive member from one that lost an answer. The
    // member gets no work until a connection opens.
    for (member_state *member : probed) {
        member->nextProbeAt = now + unresponsiveProbeInterval;
        sendControlCommand(state, member->entry.id, command_kind::Status, 0, now);
    }
}

void checkReplicas(engine &state, core::time_point now)
{
    for (auto &[name, service] : state.services) {
        if (now < service.nextReplicaCheckAt || service.leader.empty()
            || service.promotion.phase != promotion_phase::None)
            continue;
        const std::size_t rank = serviceRank(state, service);
        if (rank >= maxCheckingDaemons && service.nextReplicaCheckAt == core::time_point{})
            continue;
        service.nextReplicaCheckAt =
                rank < maxCheckingDaemons
                        ? now + replicaCheckInterval * static_cast<int>(rank * 2 + 1)
                        : core::time_point{};
        for (const std::string &id : service.members) {
            const member_state &member = state.members.at(id);
            if (member.listed && id != service.leader)
                sendControlCommand(state, id, command_kind::Status, 0, now);
        }
    }
}

void scheduleReplicaCheck(service_state &service, core::time_point now)
{
    const core::time_point soon = now + urgentReplicaCheckDelay;
    if (service.nextReplicaCheckAt == core::time_point{} || service.nextReplicaCheckAt > soon)
        service.nextReplicaCheckAt = soon;
}

} // namespace fuchsiagw::proxy
