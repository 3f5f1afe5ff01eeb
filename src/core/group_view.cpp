/// @file
/// @brief State of a database group and its members as an owner has observed it.

#include <fuchsiagw/core/group_view.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <vector>

namespace fuchsiagw::core {

namespace {

/// Confirms the samples of the primary up to the latest time at which a majority was still under
/// its term.
void confirmSamplesByMajority(group_view &view)
{
    std::vector<time_point> asked;
    for (const auto &[id, member] : view.members) {
        if (member.acceptedTerm == view.highestTerm)
            asked.push_back(member.termQueriedAt);
    }
    const std::size_t needed = majorityOf(view.members.size());
    if (!view.primary || asked.size() < needed)
        return;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    confirmSamples(view.ages, asked[needed - 1]);
}

/// @return false if the term is below the one that the member has already accepted
bool updateTerm(group_view &view, member_view &member, term_number term, time_point askedAt,
                time_point now)
{
    if (term < member.acceptedTerm)
        return false;
    if (term > member.acceptedTerm) {
        member.acceptedTerm = term;
        member.role = member_role::Replica;
        member.termQueriedAt = askedAt;
    }
    member.termQueriedAt = std::max(member.termQueriedAt, askedAt);
    observeTerm(view, term, now);
    return true;
}

void updateLastPosition(member_view &member, log_position last, time_point now)
{
    // A member can only truncate entries of a term below the one that it has accepted.
    const bool mayShrink = member.last.term < member.acceptedTerm;
    if (last > member.last)
        member.lastAdvancedAt = now;
    if (last > member.last || mayShrink)
        member.last = last;
}

void updateAppliedPosition(member_view &member, log_position applied)
{
    member.applied = applied;
    if (member.catchUpPosition && applied < *member.catchUpPosition)
        return;
    member.catchUpPosition.reset();
    recordSuccess(member.backoffState);
}

} // namespace

void applySettings(group_view &view, const group_id &group, const group_settings &settings)
{
    view.group = group;
    view.slots = settings.slots;
    std::erase_if(view.members,
                  [&](const auto &each) { return !settings.members.contains(each.first); });
    for (const auto &[id, each] : settings.members) {
        member_view &member = view.members[id];
        member.zone = each.zone;
        member.address = each.address;
    }
    if (view.primary && !view.members.contains(*view.primary))
        view.primary.reset();
}

bool observeStatus(group_view &view, const member_status &status, time_point askedAt,
                   time_point now)
{
    const auto found = view.members.find(status.member);
    if (found == view.members.end() || status.group != view.group)
        return false;
    member_view &member = found->second;
    member.lastHeardAt = std::max(member.lastHeardAt, now);
    member.leaving = member.leaving || status.leaving;
    if (askedAt >= member.unverifiedSince)
        member.unverifiedSince = time_point::min();
    if (!updateTerm(view, member, status.term, askedAt, now))
        return false;
    updateLastPosition(member, status.last, now);
    updateAppliedPosition(member, status.applied);
    if (status.role == member_role::Primary) {
        member.role = member_role::Primary;
        observePrimary(view, status.member, status.term, now);
    }
    if (view.primary == status.member && status.term == view.highestTerm)
        addSample(view.ages, askedAt, status.last);
    confirmSamplesByMajority(view);
    return true;
}

void observeAnswer(group_view &view, const member_id &member, const execute_answer &answer,
                   term_number askedTerm, time_point askedAt, time_point now)
{
    const auto found = view.members.find(member);
    if (found == view.members.end())
        return;
    member_view &known = found->second;
    known.lastHeardAt = std::max(known.lastHeardAt, now);
    if (!updateTerm(view, known, answer.term, askedAt, now))
        return;
    if (answer.status == execute_status::Refused) {
        recordSuccess(known.backoffState);
        return;
    }
    // An executed statement is in the log, so the log ends at its position or later.
    const log_position minPosition = std::max(answer.position, answer.applied);
    if (minPosition > known.last)
        updateLastPosition(known, minPosition, now);
    updateAppliedPosition(known, std::max(known.applied, answer.applied));
    // Ages are relative to the data that reads of the primary return, so an answer to a read is a
    // valid sample as well.
    const bool isPrimary = view.primary == member && answer.term == view.highestTerm;
    if (isPrimary && askedTerm == answer.term && answer.status == execute_status::Ok
        && minPosition.index > 0)
        addSample(view.ages, askedAt, minPosition);
    confirmSamplesByMajority(view);
}

void observeFailure(group_view &view, const member_id &member, member_failure failure,
                    time_point now, random_engine &random)
{
    const auto found = view.members.find(member);
    if (found == view.members.end())
        return;
    member_view &known = found->second;
    // Concurrent failures of several statements count as one.
    if (isBackedOff(known.backoffState, now))
        return;
    recordFailure(known.backoffState, now, random);
    if (failure != member_failure::FarBehind)
        return;
    known.lastHeardAt = std::max(known.lastHeardAt, now);
    const member_view *primary = findPrimary(view);
    if (primary != nullptr && primary != &known)
        known.catchUpPosition = primary->last;
}

void markMembersUnverified(group_view &view, time_point now)
{
    for (auto &[id, member] : view.members)
        member.unverifiedSince = now;
}

void observeLeaving(group_view &view, const member_id &member, bool leaving)
{
    const auto found = view.members.find(member);
    if (found != view.members.end())
        found->second.leaving = leaving;
}

void observeTerm(group_view &view, term_number term, time_point now)
{
    if (term <= view.highestTerm)
        return;
    view.highestTerm = term;
    view.primary.reset();
    view.primarySince = now;
    dropUnconfirmed(view.ages);
}

void observePrimary(group_view &view, const member_id &member, term_number term, time_point now)
{
    observeTerm(view, term, now);
    const auto found = view.members.find(member);
    if (term != view.highestTerm || found == view.members.end() || view.primary == member)
        return;
    // A term never has more than one primary.
    if (view.primary)
        return;
    view.primary = member;
    view.primarySince = now;
    member_view &known = found->second;
    if (known.acceptedTerm < term) {
        known.acceptedTerm = term;
        known.termQueriedAt = time_point::min(); // the member has not answered under this term yet
    }
    known.role = member_role::Primary;
}

published_view publishView(const group_view &view, bool suspects, time_point now)
{
    published_view result;
    result.group = view.group;
    result.term = view.highestTerm;
    result.suspects = suspects;
    const member_view *primary = findPrimary(view);
    if (primary == nullptr)
        return result;
    result.primary = *view.primary;
    result.hasHeard = primary->lastHeardAt != time_point::min();
    if (result.hasHeard)
        result.heardAgoMicros = (now - primary->lastHeardAt).count();
    return result;
}

const member_view *findMember(const group_view &view, const member_id &member)
{
    const auto found = view.members.find(member);
    return found == view.members.end() ? nullptr : &found->second;
}

const member_view *findPrimary(const group_view &view)
{
    return view.primary ? findMember(view, *view.primary) : nullptr;
}

} // namespace fuchsiagw::core
