/// @file
/// @brief Applies manifests and lists of members and daemons; tracks the leader of each group.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

void noteMember(engine &state, note_kind kind, const member_state &member, std::string_view reason,
                std::int64_t number = 0)
{
    decision_note note;
    note.kind = kind;
    note.service = member.entry.service;
    note.member = member.entry.id;
    note.reason = reason;
    note.number = number;
    state.out.emplace_back(std::move(note));
}

service_state &serviceFor(engine &state, const std::string &name)
{
    service_state &service = state.services[name];
    service.name = name;
    return service;
}

void closeIdleLinks(engine &state, const member_state &member, core::time_point now)
{
    const std::set<link_id> links = member.links;
    for (const link_id id : links) {
        const upstream_link *link = findLink(state, id);
        if (link != nullptr && link->state == link_state::Idle)
            closeLink(state, id, true, now);
    }
}

/// Resets connection and failure state after a member restarted or changed its address.
void resetMember(engine &state, member_state &member, core::time_point now)
{
    closeIdleLinks(state, member, now);
    member.avoidUntil = {};
    member.consecutiveFailures = 0;
    member.unresponsiveSince = core::noDeadline;
}

void applyMemberEntry(engine &state, const listed_member &from, core::time_point now)
{
    const auto [slot, isNew] = state.members.try_emplace(from.entry.id);
    member_state &member = slot->second;
    const bool restarted = !isNew && member.entry.startedAtMs != from.entry.startedAtMs;
    const bool moved = !isNew && member.entry.address != from.entry.address;
    const bool returned = !isNew && !member.listed;
    const bool roleChanged = isNew || member.entry.claimsPrimary != from.entry.claimsPrimary;
    const bool startsDraining = from.entry.draining && (isNew || !member.entry.draining);
    if (!isNew && member.entry.service != from.entry.service)
        state.services[member.entry.service].members.erase(from.entry.id);
    if (member.entry.zone != from.entry.zone)
        member.relaysVersion = 0;
    member.entry = from.entry;
    member.listed = true;
    member.missingSince = core::noDeadline;
    if (roleChanged)
        member.roleVersion = from.version;
    if (restarted || moved)
        resetMember(state, member, now);
    service_state &service = serviceFor(state, member.entry.service);
    service.members.insert(member.entry.id);
    if (restarted)
        forgetReceipts(service.receipts, member.entry.id);
    if (isNew || returned || restarted) {
        noteMember(state, note_kind::MemberListed, member, restarted ? "restarted" : "listed");
        pauseNewReplica(service, now);
    }
    if (startsDraining) {
        noteMember(state, note_kind::MemberDraining, member, "reported");
        closeIdleLinks(state, member, now);
    }
}

/// Marks members whose entry is missing. They stay listed for a time, because a running member may
/// temporarily be unable to publish its entry.
void markMissing(engine &state, const std::set<std::string> &present, core::time_point now)
{
    for (auto &[id, member] : state.members) {
        if (!present.contains(id) && member.listed)
            member.missingSince = std::min(member.missingSince, now);
    }
}

} // namespace

void expireMissingMembers(engine &state, core::time_point now)
{
    std::vector<std::string> expired;
    for (auto &[id, member] : state.members) {
        if (member.listed && member.missingSince != core::noDeadline
            && now - member.missingSince >= missingMemberTimeout) {
            member.listed = false;
            member.removedAt = member.missingSince;
            noteMember(state, note_kind::MemberGone, member, "not_listed");
            closeIdleLinks(state, member, now);
            adoptClaimedLeader(state, state.services.at(member.entry.service), now);
        }
        if (!member.listed && member.links.empty()
            && now - member.removedAt > removedMemberRetention)
            expired.push_back(id);
    }
    for (const std::string &id : expired) {
        state.services[state.members.at(id).entry.service].members.erase(id);
        state.members.erase(id);
    }
}

namespace {

void noteLeader(engine &state, note_kind kind, const service_state &service,
                const std::string &member, std::string_view reason)
{
    decision_note note;
    note.kind = kind;
    note.service = service.name;
    note.member = member;
    note.reason = reason;
    note.position.term = service.term;
    state.out.emplace_back(std::move(note));
}

} // namespace

std::size_t instanceRank(const engine &state, const std::string &subject)
{
    const std::uint64_t own = core::stableHash(state.settings.node + "/" + subject);
    std::size_t rank = 0;
    for (const auto &[name, peer] : state.peers) {
        std::string key = name;
        key += "/";
        key += subject;
        rank += core::stableHash(key) > own ? 1 : 0;
    }
    return rank;
}

std::size_t storeReaderRank(const engine &state)
{
    return instanceRank(state, "manifest");
}

void updateQuotas(engine &state, core::time_point now)
{
    if (!state.config)
        return;
    const quota_node self{ state.settings.node, state.settings.zone, state.settings.capacity };
    std::vector<quota_node> nodes{ self };
    for (const auto &[name, peer] : state.peers)
        nodes.push_back({ peer.node, peer.zone, peer.capacity });
    // A workspace that is configured again may have a part that is still lent out.
    const bool free = state.recall.done && state.quota.workspaces.empty();
    const core::time_point ownPartUsableFrom =
            free ? now : now + partLeaseDuration + partLeaseMargin;
    applyLimits(state.quota, *state.config, nodes, self, state.claim.granted, ownPartUsableFrom,
                now);
    for (auto &[name, quota] : state.quota.workspaces)
        logPartChange(state, quota, name, "claim_or_manifest_changed", {}, now);
    state.waitingLoans = 0;
    for (const auto &[name, quota] : state.quota.workspaces)
        state.waitingLoans += quota.waitingLoanRequests.size();
}

void onManifest(engine &state, std::shared_ptr<const manifest> next, core::time_point now,
                manifest_source source)
{
    decision_note note;
    note.reason = toString(source);
    note.number = static_cast<std::int64_t>(next->version);
    if (state.config && next->version <= state.config->version) {
        if (next->version < state.config->version) {
            note.kind = note_kind::ManifestIgnored;
            note.reason = "older_version";
            state.out.emplace_back(std::move(note));
        }
        return;
    }
    note.kind = note_kind::ManifestApplied;
    state.out.emplace_back(std::move(note));
    state.config = std::move(next);
    updateQuotas(state, now);
    for (const auto &[name, entry] : state.config->services)
        serviceFor(state, name);
}

void onManifestChecked(engine &state, core::time_point provenAt, bool isMissing)
{
    state.manifestProvenAt = std::max(state.manifestProvenAt, provenAt);
    state.isManifestMissing = isMissing;
}

void onMemberList(engine &state, const std::vector<listed_member> &list, core::time_point now)
{
    state.memberListLoaded = true;
    std::set<std::string> present;
    for (const listed_member &each : list) {
        present.insert(each.entry.id);
        applyMemberEntry(state, each, now);
    }
    markMissing(state, present, now);
    for (auto &[name, service] : state.services) {
        adoptClaimedLeader(state, service, now);
        if (!service.queue.empty())
            serveQueue(state, service, now);
    }
}

void onInstances(engine &state, const std::vector<peer_state> &list, core::time_point now)
{
    std::map<std::string, peer_state> next;
    for (const peer_state &each : list) {
        if (each.node == state.settings.node)
            continue;
        const auto known = state.peers.find(each.node);
        next[each.node] = known == state.peers.end() ? each : known->second;
        next[each.node].claimed = each.claimed;
        next[each.node].capacity = each.capacity;
    }
    const auto count = static_cast<std::uint32_t>(next.size() + 1);
    if (count != state.instances) {
        decision_note note;
        note.kind = note_kind::InstancesChanged;
        note.number = count;
        state.out.emplace_back(std::move(note));
    }
    const bool sameDaemons = std::equal(next.begin(), next.end(), state.peers.begin(),
                                        state.peers.end(), [](const auto &left, const auto &right) {
                                            return left.first == right.first
                                                   && left.second.capacity == right.second.capacity;
                                        });
    state.peersVersion += sameDaemons ? 0 : 1;
    state.peers = std::move(next);
    state.instances = count;
    reviseClaim(state, list, now);
    startRecall(state, now);
    updateQuotas(state, now);
}

void learnLeader(engine &state, service_state &service, const std::string &member,
                 core::term_number term, const std::optional<core::log_position> &position,
                 core::time_point since, core::time_point now)
{
    const bool same = service.leader == member;
    if (!same && term < service.term)
        return;
    // If two members have the same term, the one that was proven later is the leader.
    if (!same && term == service.term && since < service.leaderProvenAt)
        return;
    const bool changed = !same || term > service.term;
    // Positions of the previous leader may have been rolled back.
    if (!same && service.leaderProvenAt != core::time_point{})
        service.positions = {};
    adoptTerm(service, term);
    if (position || changed)
        service.leaderProvenAt = std::max(service.leaderProvenAt, since);
    if (position)
        addSample(service.positions, { since, *position });
    service.leaderlessSince = core::noDeadline;
    if (!changed)
        return;
    service.leader = member;
    service.leadershipDenials.clear();
    noteLeader(state, note_kind::LeaderLearned, service, member, "proven");
    announceLeader(state, service);
    serveQueue(state, service, now);
}

void loseLeader(engine &state, service_state &service, const std::string &member,
                core::time_point now)
{
    if (const member_state *denier = findMember(state, member))
        service.leadershipDenials[member] = denier->roleVersion;
    if (service.leader != member)
        return;
    noteLeader(state, note_kind::LeaderLost, service, member, "read_only");
    service.lastLeader = member;
    service.lastLeaderTerm = service.term;
    service.leader.clear();
    service.leaderlessSince = now;
    state.out.emplace_back(refresh_directory{});
    adoptClaimedLeader(state, service, now);
}

void adoptClaimedLeader(engine &state, service_state &service, core::time_point now)
{
    const member_state *known = findMember(state, service.leader);
    const member_state *best = nullptr;
    for (const std::string &id : service.members) {
        const member_state &member = state.members.at(id);
        if (!member.listed || !member.entry.claimsPrimary)
            continue;
        const auto leadershipDenials = service.leadershipDenials.find(id);
        if (leadershipDenials != service.leadershipDenials.end()
            && leadershipDenials->second >= member.roleVersion)
            continue;
        if (best == nullptr || member.roleVersion > best->roleVersion)
            best = &member;
    }
    // A replaced primary may go on claiming its role until it learns of its successor.
    const bool knownClaimsLatest = known != nullptr && known->entry.claimsPrimary
                                   && (best == nullptr || best->roleVersion <= known->roleVersion);
    const bool keepsKnown = known != nullptr && known->listed
                            && (knownClaimsLatest || best == nullptr
                                || now - service.leaderProvenAt < maxRoleReportLag);
    if (keepsKnown || best == nullptr) {
        if (known == nullptr || !known->listed) {
            service.leader.clear();
            if (service.leaderlessSince == core::noDeadline)
                service.leaderlessSince = now;
        }
        return;
    }
    service.leader = best->entry.id;
    service.leaderlessSince = core::noDeadline;
    noteLeader(state, note_kind::LeaderLearned, service, service.leader, "claimed");
}

} // namespace fuchsiagw::proxy
