/// @file
/// @brief State changes of the other instances.

#include <fuchsiagw/core/membership.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

using changes = std::vector<membership_change>;

bool wasHeardRecently(const known_instance &known, const membership_times &times, time_point now)
{
    return known.heardAt != time_point::min() && now < known.heardAt + times.heardValidity;
}

peer_state stateOf(const known_instance &known, const membership_times &times, time_point now)
{
    const bool isHeardRecently = wasHeardRecently(known, times, now);
    if (known.announcedState == sender_state::Gone || (!known.isListed && !isHeardRecently))
        return peer_state::Gone;
    if (known.isSuspected)
        return peer_state::Suspected;
    const bool isLeaving = known.announcedState == sender_state::Leaving;
    // The list may still show the state of the instance before its restart.
    if (isLeaving || (!isHeardRecently && known.isListedLeaving))
        return peer_state::Leaving;
    return peer_state::Live;
}

membership_event eventOf(peer_state state)
{
    switch (state) {
    case peer_state::Live:
        return membership_event::BecameLive;
    case peer_state::Suspected:
        return membership_event::BecameSuspected;
    case peer_state::Leaving:
        return membership_event::BecameLeaving;
    case peer_state::Gone:
        break;
    }
    return membership_event::BecameGone;
}

void update(const membership &state, known_instance &known, time_point now, changes &result)
{
    const peer_state next = stateOf(known, state.times, now);
    if (next == known.state)
        return;
    known.state = next;
    known.goneSince = next == peer_state::Gone ? now : noDeadline;
    result.push_back({ eventOf(next), known.instance, known.incarnation, 0 });
}

void suspect(known_instance &known, const membership_times &times, time_point now)
{
    if (known.isSuspected)
        return;
    known.isSuspected = true;
    known.probeInterval = times.initialProbeInterval;
    known.nextProbeAt = now + times.initialProbeInterval;
}

/// Resets all state of the previous incarnation.
void replaceIncarnation(membership &state, known_instance &known, incarnation_id incarnation)
{
    state.byIncarnation.erase(known.incarnation);
    known.incarnation = incarnation;
    if (incarnation != 0)
        state.byIncarnation[incarnation] = known.instance;
    known.heardAt = time_point::min();
    known.announcedState = sender_state::Live;
    known.isSuspected = false;
    known.successorCandidate = 0;
    known.nextProbeAt = time_point::min();
    known.probeInterval = duration(0);
}

/// Tells whether the sender's incarnation, which differs from the known one, replaces it.
bool isSuccessor(known_instance &known, const message_sender &sender, const membership_times &times,
                 time_point now)
{
    if (sender.state == sender_state::Gone)
        return false;
    const bool isKnownSilent = known.incarnation == 0 || known.announcedState == sender_state::Gone
                               || known.heardAt == time_point::min()
                               || now >= known.heardAt + times.incarnationTimeout;
    if (isKnownSilent || known.successorCandidate == sender.incarnation)
        return true;
    known.successorCandidate = sender.incarnation;
    return false;
}

} // namespace

std::vector<membership_change> onInstanceList(membership &state, const instance_list &list,
                                              time_point now)
{
    changes result;
    std::set<instance_id> listed;
    for (const instance_entry &entry : list.instances) {
        if (entry.kind != instance_kind::Entry || entry.instance == state.self)
            continue;
        listed.insert(entry.instance);
        const auto [where, isNew] = state.instances.try_emplace(entry.instance);
        known_instance &known = where->second;
        if (isNew) {
            known.instance = entry.instance;
            known.state = peer_state::Gone; // makes update() report the change to live
        } else if (!known.isListed && known.state == peer_state::Gone) {
            // Listed again after it was gone: the instance has restarted, and no message of the new
            // incarnation has arrived yet.
            replaceIncarnation(state, known, 0);
        }
        known.isListed = true;
        known.isListedLeaving = entry.state == instance_state::Leaving;
        if (!wasHeardRecently(known, state.times, now)) {
            known.zone = entry.zone;
            known.address = entry.address;
        }
        update(state, known, now, result);
    }
    for (auto &[instance, known] : state.instances) {
        if (!known.isListed || listed.contains(instance))
            continue;
        known.isListed = false;
        known.isListedLeaving = false;
        update(state, known, now, result);
    }
    return result;
}

std::vector<membership_change> onHeard(membership &state, const message_sender &sender,
                                       time_point now)
{
    changes result;
    if (sender.instance == state.self || sender.incarnation == 0)
        return result;
    if (sender.instance.empty())
        return onHeardByIncarnation(state, sender.incarnation, sender.state, now);
    // Incarnations are random, so two instances with the same one indicate a faulty sender.
    const auto owner = state.byIncarnation.find(sender.incarnation);
    if (owner != state.byIncarnation.end() && owner->second != sender.instance)
        return result;
    const auto [where, isNew] = state.instances.try_emplace(sender.instance);
    known_instance &known = where->second;
    if (isNew) {
        known.instance = sender.instance;
        known.state = peer_state::Gone; // makes update() report the change to live
        known.goneSince = now;
    }
    if (known.incarnation != sender.incarnation) {
        if (!isSuccessor(known, sender, state.times, now))
            return result;
        const incarnation_id predecessor = known.incarnation;
        replaceIncarnation(state, known, sender.incarnation);
        if (predecessor != 0)
            result.push_back({ membership_event::Restarted, known.instance, sender.incarnation,
                               predecessor });
    } else if (known.announcedState == sender_state::Gone) {
        return result; // delayed: sent before the sender announced Gone
    }
    known.zone = sender.zone;
    known.address = sender.address;
    known.heardAt = now;
    // An instance never returns from Leaving to Live, but a delayed message may still announce
    // Live.
    known.announcedState = std::max(known.announcedState, sender.state);
    if (known.announcedState == sender_state::Gone)
        known.departureDeadline = now + state.times.departureTimeout;
    known.isSuspected = false;
    known.successorCandidate = 0;
    update(state, known, now, result);
    return result;
}

std::vector<membership_change> onHeardByIncarnation(membership &state, incarnation_id incarnation,
                                                    sender_state announcedState, time_point now)
{
    const known_instance *known = findIncarnation(state, incarnation);
    if (known == nullptr)
        return {};
    assert(!known->instance.empty());
    return onHeard(state,
                   { incarnation, known->instance, known->zone, known->address, announcedState },
                   now);
}

std::vector<membership_change> onNoAnswer(membership &state, const instance_id &instance,
                                          time_point now)
{
    changes result;
    const auto entry = state.instances.find(instance);
    if (entry == state.instances.end())
        return result;
    suspect(entry->second, state.times, now);
    update(state, entry->second, now, result);
    return result;
}

void setExpected(membership &state, const std::set<instance_id> &expected, time_point now)
{
    for (auto &[instance, known] : state.instances) {
        const bool isExpected = expected.contains(instance);
        if (isExpected && !known.isExpected)
            known.expectedSince = now;
        known.isExpected = isExpected;
    }
}

std::vector<membership_change> tickMembership(membership &state, time_point now)
{
    changes result;
    for (auto each = state.instances.begin(); each != state.instances.end();) {
        known_instance &known = each->second;
        const time_point silentSince = std::max(known.heardAt, known.expectedSince);
        if (known.isExpected && now >= silentSince + state.times.suspicionTimeout)
            suspect(known, state.times, now);
        if (known.announcedState == sender_state::Gone && known.isListed
            && now >= known.departureDeadline) {
            known.announcedState = sender_state::Live;
            suspect(known, state.times, now);
        }
        update(state, known, now, result);
        const bool isForgotten = known.state == peer_state::Gone && !known.isListed
                                 && now - known.goneSince >= state.times.goneRetention;
        if (isForgotten) {
            state.byIncarnation.erase(known.incarnation);
            each = state.instances.erase(each);
        } else {
            ++each;
        }
    }
    return result;
}

std::vector<instance_id> dueProbes(membership &state, std::size_t maxCount, time_point now)
{
    std::vector<instance_id> result;
    for (auto &[instance, known] : state.instances) {
        const bool isUnknown = known.state == peer_state::Live && known.incarnation == 0
                               && known.zone == state.zone;
        if ((!isUnknown && known.state != peer_state::Suspected) || now < known.nextProbeAt)
            continue;
        if (result.size() >= maxCount)
            break;
        known.probeInterval = std::clamp(2 * known.probeInterval, state.times.initialProbeInterval,
                                         state.times.maxProbeInterval);
        known.nextProbeAt = now + known.probeInterval;
        result.push_back(instance);
    }
    return result;
}

const known_instance *findInstance(const membership &state, const instance_id &instance)
{
    const auto entry = state.instances.find(instance);
    return entry == state.instances.end() ? nullptr : &entry->second;
}

const known_instance *findIncarnation(const membership &state, incarnation_id incarnation)
{
    const auto entry = state.byIncarnation.find(incarnation);
    if (entry == state.byIncarnation.end())
        return nullptr;
    const known_instance *known = findInstance(state, entry->second);
    assert(known != nullptr && known->incarnation == incarnation);
    return known;
}

std::vector<const known_instance *> instancesIn(const membership &state,
                                                std::initializer_list<peer_state> of)
{
    std::vector<const known_instance *> result;
    for (const auto &[instance, known] : state.instances) {
        if (std::find(of.begin(), of.end(), known.state) != of.end())
            result.push_back(&known);
    }
    return result;
}

} // namespace fuchsiagw::core
