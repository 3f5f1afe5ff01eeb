/// @file
/// @brief Effects of an evacuated zone on members, open transactions and primaries.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

void noteZone(engine &state, note_kind kind, const std::string &zone, std::string_view reason)
{
    decision_note note;
    note.kind = kind;
    note.zone = zone;
    note.reason = reason;
    note.number = static_cast<std::int64_t>(state.evacuation.version);
    state.out.emplace_back(std::move(note));
}

void closeIdleLinksIn(engine &state, const std::string &zone, core::time_point now)
{
    std::vector<link_id> idle;
    for (const auto &[id, link] : state.links) {
        const member_state *member = findMember(state, link.member);
        if (member != nullptr && member->entry.zone == zone && link.state == link_state::Idle)
            idle.push_back(id);
    }
    for (const link_id id : idle)
        closeLink(state, id, true, now);
}

bool leadsIn(const engine &state, const service_state &service, const std::string &zone)
{
    const auto leader = state.members.find(service.leader);
    return leader != state.members.end() && leader->second.entry.zone == zone;
}

} // namespace

void onEvacuations(engine &state, const std::set<std::string> &zones, std::uint64_t version,
                   std::string_view source, core::time_point now)
{
    const evacuation_change change =
            applyEvacuations(state.evacuation, zones, version, state.settings.evacuationLimit, now);
    for (const std::string &zone : change.evacuated) {
        noteZone(state, note_kind::ZoneEvacuated, zone, source);
        closeIdleLinksIn(state, zone, now);
    }
    for (const std::string &zone : change.restored)
        noteZone(state, note_kind::ZoneRestored, zone, source);
    if (change.evacuated.empty() && change.restored.empty())
        return;
    for (auto &[name, service] : state.services) {
        if (!service.queue.empty())
            serveQueue(state, service, now);
    }
}

bool isReplacementDue(const engine &state, const service_state &service, core::time_point now)
{
    const auto leader = state.members.find(service.leader);
    if (leader == state.members.end())
        return false;
    const std::string &zone = leader->second.entry.zone;
    const auto evacuation = state.evacuation.zones.find(zone);
    if (evacuation == state.evacuation.zones.end())
        return false;
    const bool hasSuccessor =
            std::any_of(service.members.begin(), service.members.end(), [&](const auto &id) {
                const member_state &member = state.members.at(id);
                return member.listed && !member.entry.draining
                       && member.unresponsiveSince == core::noDeadline
                       && !isEvacuated(state.evacuation, member.entry.zone);
            });
    if (!hasSuccessor)
        return false;
    // Groups that were replaced already no longer count; the others then start earlier.
    std::size_t index = 0;
    std::size_t groups = 0;
    for (const auto &[name, other] : state.services) {
        if (!leadsIn(state, other, zone))
            continue;
        index += name < service.name ? 1 : 0;
        ++groups;
    }
    return now >= replacementTurn(evacuation->second, index, groups);
}

void recordEvacuatedWork(engine &state, const member_state &member, core::time_point now)
{
    const auto found = state.evacuation.zones.find(member.entry.zone);
    if (found == state.evacuation.zones.end())
        return;
    ++found->second.statements;
    found->second.lastStatementAt = now;
}

bool isTransactionEvacuated(const engine &state, const session &caller, core::time_point now)
{
    if (state.evacuation.zones.empty() || !caller.transaction || caller.transaction->link == 0)
        return false;
    const auto link = state.links.find(caller.transaction->link);
    if (link == state.links.end())
        return false;
    const auto member = state.members.find(link->second.member);
    return member != state.members.end()
           && !acceptsPrimaryWork(state.evacuation, member->second.entry.zone, now);
}

} // namespace fuchsiagw::proxy
