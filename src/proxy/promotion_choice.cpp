/// @file
/// @brief Detection of the need for a promotion, and choice of the new primary.

#include <fuchsiagw/proxy/promotion.hpp>

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

constexpr milliseconds primarySilenceTimeout{ 300 };
constexpr milliseconds leaderlessTimeout{ 1'500 };
/// Longer than a promotion attempt of another daemon takes.
constexpr milliseconds pausedReplicaTimeout{ 3'500 };

/// @return whether every other member has reported, when asked at @p since or later, that it leads
/// no term and has received nothing newer than the leader's term
bool othersFollow(const engine &state, const service_state &service, core::time_point since)
{
    return std::all_of(service.members.begin(), service.members.end(), [&](const auto &id) {
        if (id == service.leader || !state.members.at(id).listed)
            return true;
        const auto report = service.evidence.reports.find(id);
        return report != service.evidence.reports.end() && report->second.askedAt >= since
               && report->second.received.term <= service.term;
    });
}

/// @return whether a member without an entry has reported, or may still do so. It may run and
/// receive: a missing entry shows only that the member does not reach the store. Older commands to
/// it that have no answer say nothing of this.
bool mayAnswerUnlisted(const promotion_state &attempt, const member_state &member,
                       core::time_point now)
{
    if (attempt.reports.contains(member.entry.id))
        return true;
    const auto deadline = attempt.unlistedDeadlines.find(member.entry.id);
    return deadline == attempt.unlistedDeadlines.end() || now < deadline->second;
}

/// @return whether a reported log has everything that a removed member may hold. As it may have
/// received commits after the removal, a position that the primary reached after the removal does
/// not suffice: the log must have the newest commit that a daemon knows.
bool isCovered(const engine &state, const service_state &service, const member_state &removed,
               core::time_point now)
{
    const auto after = positionSince(service.positions, removed.removedAt);
    if (!after)
        return false;
    const bool countsCommits = needsReceipt(state, service);
    if (countsCommits && !haveTouchedPeersAnswered(state, service.promotion, now))
        return false;
    const core::log_position required =
            countsCommits ? std::max(*after, service.receipts.newestCommit) : *after;
    const auto &reports = service.promotion.reports;
    return std::any_of(reports.begin(), reports.end(),
                       [&](const auto &each) { return each.second.received >= required; });
}

} // namespace

promotion_choice chooseNewPrimary(const promotion_state &state,
                                  const std::set<std::string> &electable,
                                  const std::set<std::string> &witnesses)
{
    promotion_choice result;
    core::log_position longest;
    for (const std::string &each : electable) {
        const auto report = state.reports.find(each);
        if (report == state.reports.end())
            continue;
        if (result.member.empty() || report->second.received > longest) {
            result.member = each;
            longest = report->second.received;
        }
    }
    if (result.member.empty())
        return {};
    const auto old = state.reports.find(state.oldPrimary);
    if (old != state.reports.end() && !old->second.leads) {
        // A primary that stepped down acknowledges no more commits, and its log holds all of them.
        result.waitsForCatchUp = longest < old->second.received;
        return result;
    }
    for (const std::string &each : witnesses) {
        const auto report = state.reports.find(each);
        if (report == state.reports.end())
            return {};
        if (report->second.received > longest) {
            // A witness that may not lead has a longer log than every electable member.
            result.waitsForCatchUp = true;
            return result;
        }
    }
    return result;
}

std::set<std::string> electableMembers(const engine &state, const service_state &service)
{
    std::set<std::string> all;
    std::set<std::string> outside;
    for (const std::string &id : service.members) {
        const member_state &member = state.members.at(id);
        if (!member.listed || member.entry.draining || id == service.promotion.oldPrimary)
            continue;
        all.insert(id);
        if (!isEvacuated(state.evacuation, member.entry.zone))
            outside.insert(id);
    }
    // A group without a primary gets one in an evacuated zone rather than none: its log may be the
    // only one with all commits, and a planned replacement can follow.
    const bool needsAny = outside.empty() || service.promotion.mayElectEvacuated;
    return needsAny && service.promotion.cause != promotion_cause::ZoneEvacuated ? all : outside;
}

std::set<std::string> witnessesOf(const engine &state, const service_state &service,
                                  core::time_point now)
{
    std::set<std::string> result;
    for (const std::string &id : service.members) {
        if (id == service.promotion.oldPrimary)
            continue;
        const member_state &member = state.members.at(id);
        if (member.listed || mayAnswerUnlisted(service.promotion, member, now)
            || !isCovered(state, service, member, now))
            result.insert(id);
    }
    return result;
}

std::optional<promotion_cause> findPromotionCause(engine &state, service_state &service,
                                                  core::time_point now)
{
    if (!state.memberListLoaded || state.stopping || !state.config
        || !state.config->services.contains(service.name) || service.members.empty())
        return std::nullopt;
    if (isOrderUnguarded(service, now) || mayReplace(service.openOrders, service.leader))
        return promotion_cause::OrderOpen;
    const member_state *leader = findMember(state, service.leader);
    if (leader == nullptr) {
        if (service.leaderlessSince == core::noDeadline)
            service.leaderlessSince = now;
        const bool waited = now - service.leaderlessSince >= leaderlessTimeout;
        return waited ? std::optional(promotion_cause::NoPrimary) : std::nullopt;
    }
    if (!leader->listed)
        return promotion_cause::PrimaryGone;
    if (leader->unresponsiveSince != core::noDeadline
        && now - leader->unresponsiveSince >= primarySilenceTimeout)
        return promotion_cause::PrimarySilent;
    if (leader->entry.draining)
        return promotion_cause::PrimaryDraining;
    if (isReplacementDue(state, service, now))
        return promotion_cause::ZoneEvacuated;
    for (const auto &[id, since] : service.pausedSince) {
        const core::time_point due = since + pausedReplicaTimeout;
        // A replica that was promoted since receives nothing, as it leads.
        if (id == service.leader)
            continue;
        if (now >= due && (state.settings.promotionsAreFenced || othersFollow(state, service, due)))
            return promotion_cause::ReplicaPaused;
    }
    return std::nullopt;
}

} // namespace fuchsiagw::proxy
