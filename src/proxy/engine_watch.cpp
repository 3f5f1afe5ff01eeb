/// @file
/// @brief Notices members that fall silent and replicas that do not receive, and sends the proxy's
/// own orders.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// A connection that has not opened by now shows that its member does not answer.
constexpr milliseconds connectSilence{ 250 };
/// Statements take tens of milliseconds; a member that answers none of them for this long is
/// silent.
constexpr milliseconds answerSilence{ 450 };
constexpr milliseconds keeperSilence{ 1'000 };
constexpr milliseconds silentAvoidance{ 150 };
constexpr milliseconds silentProbeInterval{ 200 };
/// One daemon in charge asks a group's replicas at this interval, the next ones less often.
constexpr milliseconds replicaCheckInterval{ 2'500 };
constexpr milliseconds suspectedCheckInterval{ 700 };
constexpr std::size_t checkingDaemons = 3;

} // namespace

void sendControlCommand(engine &state, const std::string &memberId, command_kind kind,
                        core::term_number term, core::time_point now)
{
    member_state *member = findMember(state, memberId);
    if (member == nullptr)
        return;
    upstream_link *link = nullptr;
    for (const link_id id : member->links) {
        if (state.links.at(id).control)
            link = &state.links.at(id);
    }
    if (link == nullptr) {
        const link_id id = openLink(state, *member, state.settings.node, true, now);
        link = findLink(state, id);
        link->control = true;
    }
    // The oldest order without an answer tells how long the member has been silent.
    if (link->expected.empty() || link->expected.front().role == answer_role::Startup) {
        link->lastSent = link->expected.empty() ? now : link->openedAt;
        link->abandonAt = link->lastSent + connectSilence * 2;
    }
    upstream_command command;
    command.kind = kind;
    command.term = term;
    expected_answer expected;
    expected.role = answer_role::Control;
    link->expected.push_back(expected);
    if (link->state == link_state::Idle)
        link->state = link_state::Busy;
    state.out.emplace_back(send_to_member{ link->id, { std::move(command) } });
}

std::size_t rankOf(const engine &state, service_state &service)
{
    if (service.rankVersion != state.peersVersion) {
        service.rank = instanceRank(state, service.name);
        service.rankVersion = state.peersVersion;
    }
    return service.rank;
}

void followSilence(engine &state, core::time_point now)
{
    std::set<member_state *> suspected;
    std::vector<member_state *> probed;
    for (auto &[id, member] : state.members) {
        for (const link_id each : member.links) {
            const upstream_link &link = state.links.at(each);
            if (link.expected.empty() || link.lastSent <= member.lastAnswerAt)
                continue;
            const bool connecting = link.expected.front().role == answer_role::Startup;
            const core::duration limit = connecting ? connectSilence : answerSilence;
            if (now - link.lastSent < limit)
                continue;
            // Behind a keeper that does not answer, the member may be well: it is asked directly.
            if (!link.via.empty()) {
                suspected.insert(&member);
                const auto keeper = state.peers.find(link.via);
                if (connecting && keeper != state.peers.end())
                    keeper->second.relayAvoidedUntil = now + keeperSilence;
            } else {
                member.silentSince = std::min(member.silentSince, link.lastSent);
            }
        }
        if (member.silentSince == core::noDeadline) {
            if (suspected.contains(&member) && member.listed && now >= member.nextProbe)
                probed.push_back(&member);
            continue;
        }
        member.avoidUntil = std::max(member.avoidUntil, now + silentAvoidance);
        if (member.listed && now >= member.nextProbe)
            probed.push_back(&member);
    }
    // A new connection tells a silent member from one that lost an answer; it gets no work until
    // one opens.
    for (member_state *member : probed) {
        member->nextProbe = now + silentProbeInterval;
        sendControlCommand(state, member->entry.id, command_kind::Status, 0, now);
    }
}

void checkReplicas(engine &state, core::time_point now)
{
    for (auto &[name, service] : state.services) {
        if (now < service.nextReplicaCheck || service.leader.empty()
            || service.promotion.phase != promotion_phase::None)
            continue;
        const std::size_t rank = rankOf(state, service);
        if (rank >= checkingDaemons && service.nextReplicaCheck == core::time_point{})
            continue;
        service.nextReplicaCheck =
                rank < checkingDaemons ? now + replicaCheckInterval * static_cast<int>(rank * 2 + 1)
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
    const core::time_point soon = now + suspectedCheckInterval;
    if (service.nextReplicaCheck == core::time_point{} || service.nextReplicaCheck > soon)
        service.nextReplicaCheck = soon;
}

} // namespace fuchsiagw::proxy
