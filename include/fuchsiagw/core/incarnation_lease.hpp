/// @file
/// @brief The right of an incarnation to use its home shares, promised by a majority of witnesses.
///
/// A holder counts each promise from when it sent the request and a witness from when it answered,
/// so the holder's deadline is always the earlier one. Any majority of promises and any majority of
/// votes share a witness, which votes only after its promise has expired and never promises again.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fuchsiagw::core {

struct lease_times
{
    duration promise = std::chrono::seconds(6); ///< the longest promise that a witness makes
    duration askEvery = std::chrono::seconds(2);
    duration retryAfter = std::chrono::milliseconds(400); ///< while a witness does not answer
    /// 0.5 % of a promise; crystal clocks differ by less than 0.05 %.
    duration driftMargin = std::chrono::milliseconds(30);
    /// A vote ends an incarnation for good, so short interruptions must not lead to one.
    duration voteGrace = std::chrono::seconds(2);
    duration voteRetry = std::chrono::seconds(1);
};

/// Another incarnation as the list of instances and the peers' messages show it.
struct peer_ref
{
    incarnation_id incarnation = 0;
    instance_id instance;
    zone_name zone;

    friend bool operator==(const peer_ref &, const peer_ref &) = default;
};

struct lease_request
{
    incarnation_id holder = 0;
    std::vector<incarnation_id> witnesses; ///< so that the witnesses can find each other
    std::int64_t sentAt = 0; ///< on the holder's clock; meaningless to the witness

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(holder, witnesses, sentAt);
    }
};

struct lease_promise
{
    incarnation_id holder = 0;
    incarnation_id witness = 0;
    std::int64_t sentAt = 0; ///< as in the request
    std::int64_t promisedMicros = 0; ///< 0: the witness has voted and promises no more

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(holder, witness, sentAt, promisedMicros);
    }
};

struct vote_request
{
    incarnation_id holder = 0;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(holder);
    }
};

/// Sent only if the witness has voted the incarnation expired.
struct expiry_vote
{
    incarnation_id holder = 0;
    incarnation_id witness = 0;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(holder, witness);
    }
};

/// What a holder knows of one witness.
struct witness_state
{
    time_point promisedUntil{};
    time_point nextAsk{};
    time_point silentSince = noDeadline; ///< first request without an answer
    bool hasVoted = false;
};

/// Invariant: home shares are used only before homeUntil().
struct lease_holder
{
    incarnation_id self = 0;
    std::vector<incarnation_id> current; ///< witnesses in the table's row
    std::vector<incarnation_id> next; ///< witnesses that shall replace them; empty if none
    bool isSubmitted = false; ///< the row may name either set
    std::map<incarnation_id, witness_state> witnesses; ///< of both sets
};

/// What a witness knows of one holder.
struct watched_lease
{
    time_point promisedUntil{};
    bool hasVoted = false; ///< never cleared: a promise after a vote would revive lost shares
    std::vector<incarnation_id> witnesses;
    std::set<incarnation_id> votes; ///< collected by this witness, its own included
    time_point majoritySince = noDeadline;
    time_point nextVoteAsk{};
    bool isReclaimed = false;
};

/// Invariant: no vote before startedAt plus the longest promise, because a predecessor of this
/// process may have promised and this one can't know it.
struct lease_witness
{
    incarnation_id self = 0;
    time_point startedAt{};
    std::map<incarnation_id, watched_lease> watched;
};

/// @brief Chooses the witnesses of an incarnation: 3, from the own zone first, or 1 if there are
/// less than 3 peers. With two, the loss of either would stop the holder.
/// @param excluded peers that did not answer or have voted
/// @complexity linear in the peers
[[nodiscard]] std::vector<incarnation_id> chooseWitnesses(const peer_ref &self,
                                                          const std::vector<peer_ref> &peers,
                                                          const std::set<incarnation_id> &excluded,
                                                          random_engine &random);

/// @brief Sets the witnesses that the table's row names.
/// @complexity logarithmic in the witnesses
void setWitnesses(lease_holder &holder, const std::vector<incarnation_id> &witnesses);

/// @brief Begins to ask the witnesses that shall replace the current ones.
/// @complexity logarithmic in the witnesses
void prepareWitnessChange(lease_holder &holder, const std::vector<incarnation_id> &next);

/// @brief Tells whether submitting the change would not shorten the lease: the new witnesses have
/// promised, or the old ones no longer do.
/// @complexity constant
[[nodiscard]] bool isChangeReady(const lease_holder &holder, time_point now);

/// @brief Marks the change as submitted. Until its outcome is known both sets must promise.
void submitWitnessChange(lease_holder &holder);

/// @brief Ends the change. Call it only with a definite outcome.
void finishWitnessChange(lease_holder &holder, bool isCommitted);

/// @brief Lists the witnesses to ask now and notes that they are asked.
/// @complexity constant, there are at most 6 witnesses
[[nodiscard]] std::vector<incarnation_id> dueWitnesses(lease_holder &holder,
                                                       const lease_times &times, time_point now);

/// @return the request to send to each of dueWitnesses()
[[nodiscard]] lease_request requestOf(const lease_holder &holder, time_point now);

/// @brief Takes a promise in account. A promise of a stranger or to another holder is ignored.
/// @return whether homeUntil() may have changed
/// @complexity logarithmic in the witnesses
bool onPromise(lease_holder &holder, const lease_promise &promise, const lease_times &times,
               time_point now);

/// @return until when home shares may be used; noDeadline if the row names no witness
/// @complexity constant
[[nodiscard]] time_point homeUntil(const lease_holder &holder);

/// @brief Lists the current witnesses that should be replaced: they have voted, or have not
/// answered for half of a promise.
/// @complexity constant
[[nodiscard]] std::set<incarnation_id> lostWitnesses(const lease_holder &holder,
                                                     const lease_times &times, time_point now);

/// @brief Tells whether a majority of the witnesses has voted: the incarnation must start anew.
/// @complexity constant
[[nodiscard]] bool isExpired(const lease_holder &holder);

/// @brief Answers a holder. After a vote the answer promises nothing.
/// @complexity logarithmic in the watched leases
[[nodiscard]] lease_promise onLeaseRequest(lease_witness &witness, const lease_request &request,
                                           const lease_times &times, time_point now);

/// @brief Votes an incarnation expired if the promise to it has expired.
/// @return whether this witness has voted, now or earlier
/// @complexity logarithmic in the watched leases
[[nodiscard]] bool voteExpired(lease_witness &witness, incarnation_id holder,
                               const lease_times &times, time_point now);

struct vote_poll
{
    incarnation_id holder = 0;
    std::vector<incarnation_id> witnesses; ///< to be asked
};

/// @brief Lists the other witnesses of silent holders that must be asked for their votes now. The
/// first witness of a row asks first, the others follow if it does not succeed.
/// @complexity linear in the watched leases
[[nodiscard]] std::vector<vote_poll> dueVotePolls(lease_witness &witness, const lease_times &times,
                                                  time_point now);

/// @brief Notes the vote of another witness.
/// @complexity logarithmic in the watched leases
void onVote(lease_witness &witness, const expiry_vote &vote, time_point now);

/// @brief Replaces the witnesses of a dead holder by those that the table's row names.
/// @complexity linear in the witnesses
void setRowWitnesses(lease_witness &witness, incarnation_id holder,
                     const std::vector<incarnation_id> &witnesses, time_point now);

/// @brief Lists the dead incarnations whose home shares may be returned to the pool: a majority
/// voted and the longest loan since then has ended.
/// @complexity linear in the watched leases
[[nodiscard]] std::vector<incarnation_id> reclaimable(const lease_witness &witness,
                                                      duration longestLoan, time_point now);

/// @brief Notes that the row of a dead incarnation is gone. The vote is kept.
/// @complexity logarithmic in the watched leases
void onReclaimed(lease_witness &witness, incarnation_id holder);

/// @brief Tells whether @p votes contain more than half of @p witnesses.
/// @complexity linear in the witnesses
[[nodiscard]] bool isMajority(const std::vector<incarnation_id> &witnesses,
                              const std::set<incarnation_id> &votes);

} // namespace fuchsiagw::core
