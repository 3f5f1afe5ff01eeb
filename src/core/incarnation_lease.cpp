/// @file
/// @brief Promises, votes and the selection of witnesses.

#include <fuchsiagw/core/incarnation_lease.hpp>

#include <algorithm>
#include <cassert>
#include <functional>

namespace fuchsiagw::core {

namespace {

constexpr std::size_t fullWitnessCount = 3;

/// @return the time until which a majority of @p witnesses has promised the lease
time_point majorityUntil(const lease_holder &holder, const std::vector<incarnation_id> &witnesses)
{
    if (witnesses.empty())
        return noDeadline;
    std::vector<time_point> ends;
    ends.reserve(witnesses.size());
    for (const incarnation_id each : witnesses) {
        const auto entry = holder.witnesses.find(each);
        ends.push_back(entry == holder.witnesses.end() ? time_point{}
                                                       : entry->second.promisedUntil);
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[witnesses.size() / 2];
}

/// Removes the state of witnesses that neither set names and adds state for new ones.
void pruneWitnesses(lease_holder &holder)
{
    const auto isNamed = [&holder](incarnation_id each) {
        return std::count(holder.current.begin(), holder.current.end(), each) > 0
               || std::count(holder.next.begin(), holder.next.end(), each) > 0;
    };
    std::erase_if(holder.witnesses, [&](const auto &entry) { return !isNamed(entry.first); });
    for (const auto *set : { &holder.current, &holder.next })
        for (const incarnation_id each : *set)
            holder.witnesses.try_emplace(each);
}

bool isVoteAllowed(const lease_witness &witness, const watched_lease &lease,
                   const lease_times &times, time_point now)
{
    return now >= lease.promisedUntil + times.driftMargin
           && now >= witness.startedAt + times.promiseDuration + times.driftMargin;
}

} // namespace

std::vector<incarnation_id> chooseWitnesses(const peer_ref &self,
                                            const std::vector<peer_ref> &peers,
                                            const std::set<incarnation_id> &excluded,
                                            random_engine &random)
{
    struct candidate
    {
        bool isInOtherZone = false;
        std::uint64_t order = 0;
        incarnation_id incarnation = 0;
    };
    std::vector<candidate> candidates;
    for (const peer_ref &peer : peers)
        if (peer.instance != self.instance && peer.incarnation != self.incarnation
            && !excluded.contains(peer.incarnation))
            candidates.push_back({ peer.zone != self.zone, random(), peer.incarnation });
    std::sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.isInOtherZone == right.isInOtherZone ? left.order < right.order
                                                         : right.isInOtherZone;
    });
    const std::size_t count = candidates.size() >= fullWitnessCount
                                      ? fullWitnessCount
                                      : std::min<std::size_t>(candidates.size(), 1);
    std::vector<incarnation_id> chosen;
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(candidates[i].incarnation);
    return chosen;
}

void setWitnesses(lease_holder &holder, const std::vector<incarnation_id> &witnesses)
{
    holder.current = witnesses;
    holder.next.clear();
    holder.isSubmitted = false;
    pruneWitnesses(holder);
}

void prepareWitnessChange(lease_holder &holder, const std::vector<incarnation_id> &next)
{
    assert(!holder.isSubmitted);
    holder.next = next;
    pruneWitnesses(holder);
}

bool isChangeReady(const lease_holder &holder, time_point now)
{
    if (holder.next.empty() || holder.isSubmitted)
        return false;
    const time_point nextDeadline = majorityUntil(holder, holder.next);
    return nextDeadline > now
           && (nextDeadline >= majorityUntil(holder, holder.current)
               || std::any_of(holder.current.begin(), holder.current.end(),
                              [&](incarnation_id each) {
                                  return holder.witnesses.at(each).promisedUntil <= now;
                              }));
}

void submitWitnessChange(lease_holder &holder)
{
    assert(!holder.next.empty());
    holder.isSubmitted = true;
}

void finishWitnessChange(lease_holder &holder, bool isCommitted)
{
    assert(holder.isSubmitted);
    if (isCommitted)
        holder.current = holder.next;
    holder.next.clear();
    holder.isSubmitted = false;
    pruneWitnesses(holder);
}

std::vector<incarnation_id> dueWitnesses(lease_holder &holder, const lease_times &times,
                                         time_point now)
{
    std::vector<incarnation_id> due;
    for (auto &[id, state] : holder.witnesses) {
        if (state.hasVoted || now < state.nextRequestAt)
            continue;
        due.push_back(id);
        state.nextRequestAt = now + times.promiseRetryInterval;
        state.silentSince = std::min(state.silentSince, now);
    }
    return due;
}

lease_request requestOf(const lease_holder &holder, time_point now)
{
    return { holder.self, holder.isSubmitted ? holder.next : holder.current,
             now.time_since_epoch().count() };
}

bool onPromise(lease_holder &holder, const lease_promise &promise, const lease_times &times,
               time_point now)
{
    const auto entry = holder.witnesses.find(promise.witness);
    const time_point sentAt{ duration(promise.sentAt) };
    if (promise.holder != holder.self || entry == holder.witnesses.end() || sentAt > now)
        return false;
    witness_state &state = entry->second;
    state.silentSince = noDeadline;
    if (promise.promisedMicros == 0) {
        state.hasVoted = true;
        return false;
    }
    state.nextRequestAt = std::max(state.nextRequestAt, sentAt + times.promiseRenewInterval);
    const time_point until = sentAt + duration(promise.promisedMicros);
    if (until <= state.promisedUntil)
        return false;
    state.promisedUntil = until;
    return true;
}

time_point homeUntil(const lease_holder &holder)
{
    const time_point until = majorityUntil(holder, holder.current);
    return holder.isSubmitted ? std::min(until, majorityUntil(holder, holder.next)) : until;
}

std::set<incarnation_id> lostWitnesses(const lease_holder &holder, const lease_times &times,
                                       time_point now)
{
    std::set<incarnation_id> lost;
    for (const incarnation_id each : holder.current) {
        const witness_state &state = holder.witnesses.at(each);
        const bool isSilent = state.silentSince != noDeadline
                              && now >= state.silentSince + times.promiseDuration / 2;
        if (state.hasVoted || isSilent)
            lost.insert(each);
    }
    return lost;
}

bool isExpired(const lease_holder &holder)
{
    std::set<incarnation_id> votes;
    for (const auto &[id, state] : holder.witnesses)
        if (state.hasVoted)
            votes.insert(id);
    return isMajority(holder.current, votes);
}

lease_promise onLeaseRequest(lease_witness &witness, const lease_request &request,
                             const lease_times &times, time_point now)
{
    watched_lease &lease = witness.watched[request.holder];
    lease_promise promise{ request.holder, witness.self, request.sentAt, 0 };
    if (lease.hasVoted)
        return promise;
    lease.witnesses = request.witnesses;
    lease.promisedUntil = std::max(lease.promisedUntil, now + times.promiseDuration);
    promise.promisedMicros = times.promiseDuration.count();
    return promise;
}

bool voteExpired(lease_witness &witness, incarnation_id holder, const lease_times &times,
                 time_point now)
{
    watched_lease &lease = witness.watched[holder];
    if (!lease.hasVoted && isVoteAllowed(witness, lease, times, now)) {
        lease.hasVoted = true;
        lease.votes.insert(witness.self);
        if (isMajority(lease.witnesses, lease.votes))
            lease.majoritySince = std::min(lease.majoritySince, now);
    }
    return lease.hasVoted;
}

std::vector<vote_poll> dueVotePolls(lease_witness &witness, const lease_times &times,
                                    time_point now)
{
    std::vector<vote_poll> polls;
    for (auto &[holder, lease] : witness.watched) {
        const auto rank = std::find(lease.witnesses.begin(), lease.witnesses.end(), witness.self)
                          - lease.witnesses.begin();
        const bool isNamed = rank < std::ssize(lease.witnesses);
        const time_point from =
                lease.promisedUntil + times.voteGracePeriod + rank * times.voteRetryInterval;
        if (!isNamed || lease.isReclaimed || lease.majoritySince != noDeadline || now < from
            || now < lease.nextVoteRequestAt || !isVoteAllowed(witness, lease, times, now))
            continue;
        lease.nextVoteRequestAt = now + times.voteRetryInterval;
        static_cast<void>(voteExpired(witness, holder, times, now));
        vote_poll poll{ holder, {} };
        for (const incarnation_id each : lease.witnesses)
            if (!lease.votes.contains(each))
                poll.witnesses.push_back(each);
        polls.push_back(std::move(poll));
    }
    return polls;
}

void onVote(lease_witness &witness, const expiry_vote &vote, time_point now)
{
    const auto entry = witness.watched.find(vote.holder);
    if (entry == witness.watched.end())
        return;
    watched_lease &lease = entry->second;
    lease.votes.insert(vote.witness);
    if (isMajority(lease.witnesses, lease.votes))
        lease.majoritySince = std::min(lease.majoritySince, now);
}

void setRowWitnesses(lease_witness &witness, incarnation_id holder,
                     const std::vector<incarnation_id> &witnesses, time_point now)
{
    watched_lease &lease = witness.watched[holder];
    if (lease.witnesses == witnesses)
        return;
    lease.witnesses = witnesses;
    lease.majoritySince = isMajority(witnesses, lease.votes) ? now : noDeadline;
}

std::vector<incarnation_id> reclaimable(const lease_witness &witness, duration longestLoan,
                                        time_point now)
{
    std::vector<incarnation_id> holders;
    for (const auto &[holder, lease] : witness.watched)
        if (!lease.isReclaimed && lease.majoritySince != noDeadline
            && now >= lease.majoritySince + longestLoan)
            holders.push_back(holder);
    return holders;
}

void onReclaimed(lease_witness &witness, incarnation_id holder)
{
    watched_lease &lease = witness.watched[holder];
    lease.isReclaimed = true;
    lease.votes.clear();
    lease.witnesses.clear();
}

bool isMajority(const std::vector<incarnation_id> &witnesses, const std::set<incarnation_id> &votes)
{
    const auto count =
            std::count_if(witnesses.begin(), witnesses.end(),
                          [&votes](incarnation_id each) { return votes.contains(each); });
    return 2 * static_cast<std::size_t>(count) > witnesses.size();
}

} // namespace fuchsiagw::core
