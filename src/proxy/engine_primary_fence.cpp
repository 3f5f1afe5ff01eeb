/// @file
/// @brief Fences the primary that an open promotion order would replace.
///
/// The member of an open order must have every acknowledged commit. Pauses of the other replicas
/// keep that only for replicas that a daemon knows: one that has just joined or restarted receives
/// before it can be paused. So the present primary has to acknowledge nothing: it is ordered to
/// step down as soon as it is reached, gets no writes, and what it still acknowledges is not passed
/// on.

#include <fuchsiagw/detail/promotion_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds stepDownInterval{ 100 };

/// @return whether an open order, of this daemon or of another one, would replace a member
bool mayBeReplaced(const service_state &service, const std::string &member)
{
    return mayReplace(service.openOrders, member)
           || (!service.noticedOrder.empty() && service.noticedOrder != member);
}

/// @return the member of the newest order that this daemon knows
const std::string &orderedMember(const service_state &service)
{
    const bool isOwn = !service.openOrders.empty();
    return isOwn ? service.openOrders.back().member : service.noticedOrder;
}

void reportFence(engine &state, service_state &service, core::time_point now)
{
    if (service.fenceReported == service.leader)
        return;
    service.fenceReported = service.leader;
    decision_note note;
    note.kind = note_kind::PrimaryFenced;
    note.service = service.name;
    note.member = service.leader;
    note.reason = service.openOrders.empty() ? "notice" : "order_open";
    note.position.term = service.term;
    note.age = now - service.fenceFrom;
    if (!service.openOrders.empty())
        note.number = static_cast<std::int64_t>(service.openOrders.back().token);
    state.out.emplace_back(std::move(note));
}

} // namespace

void fencePrimary(service_state &service, core::time_point from)
{
    const bool isOpen = mayBeReplaced(service, service.leader);
    service.fenceFrom = isOpen ? std::min(service.fenceFrom, from) : from;
}

bool isFenced(const service_state &service, const std::string &member, core::time_point now)
{
    return now >= service.fenceFrom && mayBeReplaced(service, member);
}

std::string deposedPrimary(const service_state &service)
{
    const bool isDeposed = service.leader.empty() && service.lastLeaderTerm == service.term;
    return isDeposed ? service.lastLeader : std::string();
}

void stepFence(engine &state, service_state &service, core::time_point now)
{
    if (service.fenceFrom == core::noDeadline)
        return;
    if (!isFenced(service, service.leader, now)) {
        service.fenceReported.clear();
        return;
    }
    const member_state *leader = findMember(state, service.leader);
    // A primary whose own order is the newest leads on; the older ones are void once it is
    // accepted.
    if (leader == nullptr || now < service.nextStepDownAt
        || orderedMember(service) == service.leader)
        return;
    reportFence(state, service, now);
    const bool guards = service.promotion.phase != promotion_phase::None || service.guardTerm != 0;
    if (leader->unresponsiveSince != core::noDeadline && !guards)
        return;
    service.nextStepDownAt = now + stepDownInterval;
    sendControlCommand(state, service.leader, command_kind::StepDown, service.term + 1, now);
}

bool isTransactionFenced(const engine &state, const session &caller, core::time_point now)
{
    if (!caller.transaction || !caller.transaction->wrote || caller.transaction->link == 0)
        return false;
    const auto link = state.links.find(caller.transaction->link);
    const auto service = state.services.find(caller.transaction->effectiveRoute.service);
    return link != state.links.end() && service != state.services.end()
           && isFenced(service->second, link->second.member, now);
}

void pauseNewReplica(service_state &service, core::time_point now)
{
    if (service.guardTerm != 0)
        service.nextGuardAt = now;
    if (service.promotion.phase >= promotion_phase::Fencing)
        service.promotion.nextProbeAt = now;
}

} // namespace fuchsiagw::proxy
