/// @file
/// @brief Choice of the member that runs a statement, and check of its answer to a read.

#include <fuchsiagw/core/routing.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace fuchsiagw::core {

namespace {

/// A replica that may serve the read, with its sort criteria.
struct ranked_replica
{
    std::size_t candidate = 0; ///< index in route_decision::candidates
    bool isFull = false;
    bool isOtherZone = false;
    std::uint32_t load = 0; ///< statements in flight; all members have the same number of slots
    bool needsConnection = false;
    std::uint64_t tieBreaker = 0;

    [[nodiscard]] auto key() const
    {
        // Among full members a shorter queue saves more time than the round trip to another zone
        // costs.
        return std::tuple(isFull, isFull ? load : 0, isOtherZone, load, needsConnection,
                          tieBreaker);
    }
};

bool mayUseReplica(const routing_request &request)
{
    return request.kind == statement_kind::Read && request.maxAge && !request.isSessionUnusable
           && !request.primaryOnly;
}

/// @return Chosen if the member may receive new statements, else the reason against it
rejection_reason checkMember(const member_view &member, time_point now)
{
    if (member.leaving)
        return rejection_reason::Leaving;
    if (member.unverifiedSince != time_point::min())
        return rejection_reason::NotConfirmed;
    if (member.catchUpPosition)
        return rejection_reason::FarBehind;
    if (isBackedOff(member.backoffState, now))
        return rejection_reason::BackedOff;
    return rejection_reason::Chosen;
}

rejection_reason checkReplica(const group_view &view, const member_view &member,
                              const routing_request &request, time_point now)
{
    if (const rejection_reason reason = checkMember(member, now);
        reason != rejection_reason::Chosen)
        return reason;
    if (member.lastHeardAt == time_point::min())
        return rejection_reason::NeverHeard;
    if (member.acceptedTerm != view.highestTerm)
        return rejection_reason::OtherTerm;
    if (member.applied < request.minPosition)
        return rejection_reason::PositionBehind;
    const std::optional<duration> age = ageOf(view.ages, member.applied, now);
    if (!age)
        return rejection_reason::AgeUnknown;
    return *age > *request.maxAge ? rejection_reason::TooOld : rejection_reason::Chosen;
}

/// @return why @p other ranks after @p best
rejection_reason compareReplicas(const ranked_replica &best, const ranked_replica &other)
{
    if (best.isFull != other.isFull)
        return rejection_reason::NoFreeSlot;
    if (other.isFull && best.load != other.load)
        return rejection_reason::MoreLoaded;
    if (best.isOtherZone != other.isOtherZone)
        return rejection_reason::OtherZone;
    if (best.load != other.load)
        return rejection_reason::MoreLoaded;
    return best.needsConnection != other.needsConnection ? rejection_reason::NewConnection
                                                         : rejection_reason::Tie;
}

/// @return whether a replica was chosen
bool chooseReplica(const group_view &view, const routing_request &request, time_point now,
                   random_engine &random, route_decision &decision)
{
    std::vector<ranked_replica> allowed;
    bool isOwnZoneAllowed = false;
    for (const auto &[id, member] : view.members) {
        if (view.primary == id) {
            decision.candidates.push_back({ id, rejection_reason::IsPrimary });
            continue;
        }
        const rejection_reason reason = checkReplica(view, member, request, now);
        decision.candidates.push_back({ id, reason });
        if (reason != rejection_reason::Chosen)
            continue;
        ranked_replica each;
        each.candidate = decision.candidates.size() - 1;
        each.isFull = member.inFlight >= view.slots;
        each.isOtherZone = member.zone != request.zone;
        each.load = member.inFlight;
        each.needsConnection = member.openConnections <= member.inFlight;
        each.tieBreaker = random();
        isOwnZoneAllowed = isOwnZoneAllowed || !each.isOtherZone;
        allowed.push_back(each);
    }
    if (allowed.empty())
        return false;
    const auto best = std::min_element(
            allowed.begin(), allowed.end(),
            [](const auto &left, const auto &right) { return left.key() < right.key(); });
    for (const ranked_replica &each : allowed) {
        if (each.candidate != best->candidate)
            decision.candidates[each.candidate].reason = compareReplicas(*best, each);
    }
    decision.member = decision.candidates[best->candidate].member;
    decision.fromReplica = true;
    decision.reason = !best->isOtherZone ? route_reason::OwnZone
                      : isOwnZoneAllowed ? route_reason::LessLoaded
                                         : route_reason::OtherZone;
    return true;
}

void choosePrimary(const group_view &view, time_point now, route_reason reason,
                   route_decision &decision)
{
    const member_view *primary = findPrimary(view);
    const rejection_reason checked =
            primary == nullptr ? rejection_reason::NotPrimary : checkMember(*primary, now);
    if (decision.candidates.empty()) {
        for (const auto &[id, member] : view.members)
            decision.candidates.push_back({ id, rejection_reason::NotPrimary });
    }
    for (route_candidate &each : decision.candidates) {
        if (primary != nullptr && view.primary == each.member)
            each.reason = checked;
    }
    if (primary != nullptr && checked == rejection_reason::Chosen) {
        decision.member = view.primary;
        decision.reason = reason;
    } else {
        decision.reason = reason == route_reason::NoReplicaFits ? route_reason::NoMember
                                                                : route_reason::NoPrimary;
    }
}

} // namespace

std::string_view toString(route_reason reason)
{
    return routeReasonNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(rejection_reason reason)
{
    return rejectionReasonNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(answer_verdict verdict)
{
    return answerVerdictNames.at(static_cast<std::size_t>(verdict));
}

routing_request makeRoutingRequest(const statement_request &statement,
                                   std::optional<duration> maxAge, const zone_name &zone)
{
    routing_request request;
    request.kind = statement.kind;
    request.maxAge = maxAge;
    request.minPosition = statement.minPosition;
    request.isSessionUnusable = statement.isSessionUnusable;
    request.zone = zone;
    return request;
}

route_decision routeStatement(const group_view &view, const routing_request &request,
                              time_point now, random_engine &random)
{
    route_decision decision;
    decision.term = view.highestTerm;
    decision.candidates.reserve(view.members.size());
    if (mayUseReplica(request)) {
        if (!chooseReplica(view, request, now, random, decision))
            choosePrimary(view, now, route_reason::NoReplicaFits, decision);
    } else {
        choosePrimary(view, now,
                      request.isSessionUnusable ? route_reason::SessionUnusable
                                                : route_reason::PrimaryRequired,
                      decision);
    }
    assert(std::count_if(decision.candidates.begin(), decision.candidates.end(),
                         [](const auto &each) { return each.reason == rejection_reason::Chosen; })
           == (decision.member ? 1 : 0));
    return decision;
}

answer_verdict checkAnswer(const group_view &view, const routing_request &request,
                           const request_id &sent, const execute_answer &answer, bool fromReplica,
                           time_point now)
{
    if (answer.id != sent)
        return answer_verdict::Drop;
    if (answer.applied < request.minPosition)
        return answer_verdict::AskPrimaryPosition;
    if (!fromReplica)
        return answer_verdict::Accept;
    const std::optional<duration> age = ageOf(view.ages, answer.applied, now);
    const bool isFreshEnough = age && request.maxAge && *age <= *request.maxAge;
    return isFreshEnough ? answer_verdict::Accept : answer_verdict::AskPrimaryAge;
}

std::string describe(const route_decision &decision)
{
    std::string text = "member=";
    text += decision.member ? decision.member->value : "none";
    text += " reason=";
    text += toString(decision.reason);
    text += " term=" + std::to_string(decision.term) + " passed=";
    bool isFirst = true;
    for (const route_candidate &each : decision.candidates) {
        if (each.reason == rejection_reason::Chosen)
            continue;
        if (!isFirst)
            text += ',';
        isFirst = false;
        text += each.member.value;
        text += ':';
        text += toString(each.reason);
    }
    return isFirst ? text + "none" : text;
}

} // namespace fuchsiagw::core
