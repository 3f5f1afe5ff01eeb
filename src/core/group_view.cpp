/// @file
/// @brief What an owner knows about a group of members.

#include <fuchsiagw/core/group_view.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <vector>

namespace fuchsiagw::core {

namespace {

/// Samples of the primary are usable up to the time when a majority was last under its term.
void confirmByMajority(group_view &view)
{
    std::vector<time_point> asked;
    for (const auto &[id, member] : view.members) {
        if (member.acceptedTerm == view.highestTerm)
            asked.push_back(member.termAskedAt);
    }
    const std::size_t needed = majorityOf(view.members.size());
    if (!view.primary || asked.size() < needed)
        return;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    confirmSamples(view.ages, asked[needed - 1]);
}

/// @return false if the term is below what the member has already accepted
bool takeTerm(group_view &view, member_view &member, term_number term, time_point askedAt,
              time_point now)
{
    if (term < member.acceptedTerm)
        return false;
    if (term > member.acceptedTerm) {
        member.acceptedTerm = term;
        member.role = member_role::Replica;
        member.termAskedAt = askedAt;
    }
    member.termAskedAt = std::max(member.termAskedAt, askedAt);
    observeTerm(view, term, now);
    return true;
}

void takeLast(member_view &member, log_position last, time_point now)
{
    // Only entries of a lower term than the accepted one can be truncated.
    const bool mayShrink = member.last.term < member.acceptedTerm;
    if (last > member.last)
        member.lastAdvanced = now;
    if (last > member.last || mayShrink)
        member.last = last;
}

void takeApplied(member_view &member, log_position applied)
{
    member.applied = applied;
    if (member.catchUp && applied < *member.catchUp)
        return;
    member.catchUp.reset();
    recordSuccess(member.pause);
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
    member.lastHeard = std::max(member.lastHeard, now);
    member.leaving = member.leaving || status.leaving;
    if (askedAt >= member.doubtedAt)
        member.doubtedAt = time_point::min();
    if (!takeTerm(view, member, status.term, askedAt, now))
        return false;
    takeLast(member, status.last, now);
    takeApplied(member, status.applied);
    if (status.role == member_role::Primary) {
        member.role = member_role::Primary;
        observePrimary(view, status.member, status.term, now);
    }
    if (view.primary == status.member && status.term == view.highestTerm)
        addSample(view.ages, askedAt, status.last);
    confirmByMajority(view);
    return true;
}

void observeAnswer(group_view &view, const member_id &member, const execute_answer &answer,
                   term_number askedTerm, time_point askedAt, time_point now)
{
    const auto found = view.members.find(member);
    if (found == view.members.end())
        return;
    member_view &known = found->second;
    known.lastHeard = std::max(known.lastHeard, now);
    if (!takeTerm(view, known, answer.term, askedAt, now))
        return;
    if (answer.status == execute_status::Refused) {
        recordSuccess(known.pause);
        return;
    }
    // What was executed is in the log, so the log ends there or later.
    const log_position minPosition = std::max(answer.position, answer.applied);
    if (minPosition > known.last)
        takeLast(known, minPosition, now);
    takeApplied(known, std::max(known.applied, answer.applied));
    // The age is measured against what reads of the primary show, so an answer to a read will do.
    const bool isPrimary = view.primary == member && answer.term == view.highestTerm;
    if (isPrimary && askedTerm == answer.term && answer.status == execute_status::Ok
        && minPosition.index > 0)
        addSample(view.ages, askedAt, minPosition);
    confirmByMajority(view);
}

void observeFailure(group_view &view, const member_id &member, member_failure failure,
                    time_point now, random_engine &random)
{
    const auto found = view.members.find(member);
    if (found == view.members.end())
        return;
    member_view &known = found->second;
    // Statements that fail together count as one failure.
    if (isBackedOff(known.pause, now))
        return;
    recordFailure(known.pause, now, random);
    if (failure != member_failure::FarBehind)
        return;
    known.lastHeard = std::max(known.lastHeard, now);
    const member_view *primary = findPrimary(view);
    if (primary != nullptr && primary != &known)
        known.catchUp = primary->last;
}

void doubtMembers(group_view &view, time_point now)
{
    for (auto &[id, member] : view.members)
        member.doubtedAt = now;
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
    // A term has one primary for ever.
    if (view.primary)
        return;
    view.primary = member;
    view.primarySince = now;
    member_view &known = found->second;
    if (known.acceptedTerm < term) {
        known.acceptedTerm = term;
        known.termAskedAt = time_point::min(); // it has not answered under this term yet
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
    result.hasHeard = primary->lastHeard != time_point::min();
    if (result.hasHeard)
        result.heardAgoMicros = (now - primary->lastHeard).count();
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
