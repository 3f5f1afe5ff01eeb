/// @file
/// @brief Quorum lease that allows an incarnation to use its home shares.
///
/// A holder asks a small set of peers, its witnesses, for promises. The lease is valid while a
/// majority of them promises it. To end the lease of a dead holder, a majority must vote that it
/// has expired.
///
/// A holder measures each promise from when it sent the request, a witness from when it answered,
/// so the holder's deadline is always the earlier one. Any majority of promises and any majority of
/// votes have a witness in common, and a witness votes only after its own promise has expired and
/// makes no promise after its vote. So the lease is invalid once a majority has voted.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace fuchsiagw::core {

/// Durations of the lease protocol.
struct lease_times
{
    duration promiseDuration = std::chrono::seconds(6); ///< duration of each promise of a witness
    duration promiseRenewInterval = std::chrono::seconds(2);
    /// Interval between requests to a witness that does not answer.
    duration promiseRetryInterval = std::chrono::milliseconds(400);
    /// 0.5 % of a promise. Crystal oscillators differ by less than 0.05 %.
    duration driftMargin = std::chrono::milliseconds(30);
    /// Time after the end of a promise before a witness asks for votes. A majority of votes ends an
    /// incarnation permanently, so a short network interruption must not lead to one.
    duration voteGracePeriod = std::chrono::seconds(2);
    duration voteRetryInterval = std::chrono::seconds(1);
};

/// Another incarnation, known from the list of instances and from the peers' messages.
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
    std::vector<incarnation_id> witnesses; ///< the witnesses ask each other for votes
    std::int64_t sentAt = 0; ///< clock of the holder; the witness only copies it

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
    std::int64_t sentAt = 0; ///< copied from the request
    std::int64_t promisedMicros = 0; ///< 0: the witness has voted and makes no more promises

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

/// Sent only by a witness that has voted that the incarnation's lease is expired.
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

/// State that a holder keeps for each witness.
struct witness_state
{
    time_point promisedUntil{};
    time_point nextRequestAt{};
    time_point silentSince = noDeadline; ///< time of the first unanswered request
    bool hasVoted = false;
};

/// State of the incarnation that holds the lease. Invariant: home shares are used only before
/// homeUntil().
struct lease_holder
{
    incarnation_id self = 0;
    std::vector<incarnation_id> current; ///< witnesses that the table's row names
    std::vector<incarnation_id> next; ///< replaces `current`; empty if no change is prepared
    bool isSubmitted = false; ///< the change was submitted; the row may name either set
    std::map<incarnation_id, witness_state> witnesses; ///< state of the witnesses of both sets
};

/// State that a witness keeps for each holder.
struct watched_lease
{
    time_point promisedUntil{};
    /// Never cleared: a promise after a vote would let the holder use reclaimed shares.
    bool hasVoted = false;
    std::vector<incarnation_id> witnesses;
    std::set<incarnation_id> votes; ///< votes known to this witness, including its own
    time_point majoritySince = noDeadline;
    time_point nextVoteRequestAt{};
    bool isReclaimed = false;
};

/// State of an incarnation as a witness of others. Invariant: no vote before startedAt plus the
/// longest promise, because the previous process of this instance may have made a promise that this
/// process does not know.
struct lease_witness
{
    incarnation_id self = 0;
    time_point startedAt{};
    std::map<incarnation_id, watched_lease> watched;
};

/// @brief Chooses the witnesses of an incarnation: 3 peers, those in the own zone first, or 1 peer
/// if there are fewer than 3. With two witnesses, the failure of either would end the lease.
/// @param excluded peers that do not answer or have voted
/// @complexity linear in the peers
[[nodiscard]] std::vector<incarnation_id> chooseWitnesses(const peer_ref &self,
                                                          const std::vector<peer_ref> &peers,
                                                          const std::set<incarnation_id> &excluded,
                                                          random_engine &random);

/// @brief Sets the witnesses that the table's row names.
/// @complexity logarithmic in the witnesses
void setWitnesses(lease_holder &holder, const std::vector<incarnation_id> &witnesses);

/// @brief Starts to request promises from the witnesses that shall replace the current ones.
/// @complexity logarithmic in the witnesses
void prepareWitnessChange(lease_holder &holder, const std::vector<incarnation_id> &next);

/// @brief Tells whether the change can be submitted. A majority of the new witnesses must promise,
/// and the change must not shorten the lease unless the promise of a current witness has expired.
/// @complexity constant
[[nodiscard]] bool isChangeReady(const lease_holder &holder, time_point now);

/// @brief Marks the change as submitted. Until its outcome is known, the lease needs a majority of
/// both sets.
void submitWitnessChange(lease_holder &holder);

/// @brief Ends the change. Call it only after the outcome of the transaction is known.
void finishWitnessChange(lease_holder &holder, bool isCommitted);

/// @brief Lists the witnesses to which a request is due and records that it is sent now.
/// @complexity constant, as there are at most 6 witnesses
[[nodiscard]] std::vector<incarnation_id> dueWitnesses(lease_holder &holder,
                                                       const lease_times &times, time_point now);

/// @return the request to send to each witness that dueWitnesses() lists
[[nodiscard]] lease_request requestOf(const lease_holder &holder, time_point now);

/// @brief Records a promise. A promise of an unknown witness or to another holder is ignored.
/// @return whether homeUntil() may have changed
/// @complexity logarithmic in the witnesses
bool onPromise(lease_holder &holder, const lease_promise &promise, const lease_times &times,
               time_point now);

/// @return the deadline until which home shares may be used; noDeadline if the row names no witness
/// @complexity constant
[[nodiscard]] time_point homeUntil(const lease_holder &holder);

/// @brief Lists the current witnesses to replace: those that have voted, or have not answered for
/// half the duration of a promise.
/// @complexity constant
[[nodiscard]] std::set<incarnation_id> lostWitnesses(const lease_holder &holder,
                                                     const lease_times &times, time_point now);

/// @brief Tells whether a majority of the witnesses has voted. The incarnation must then be
/// replaced by a new one.
/// @complexity constant
[[nodiscard]] bool isExpired(const lease_holder &holder);

/// @brief Promises the lease to a holder, or returns an empty promise if this witness has voted.
/// @complexity logarithmic in the watched leases
[[nodiscard]] lease_promise onLeaseRequest(lease_witness &witness, const lease_request &request,
                                           const lease_times &times, time_point now);

/// @brief Votes that the lease of an incarnation is expired, if the own promise to it has expired.
/// @return whether this witness has voted, now or earlier
/// @complexity logarithmic in the watched leases
[[nodiscard]] bool voteExpired(lease_witness &witness, incarnation_id holder,
                               const lease_times &times, time_point now);

/// Votes to request from other witnesses.
struct vote_poll
{
    incarnation_id holder = 0;
    std::vector<incarnation_id> witnesses; ///< witnesses to ask
};

/// @brief Votes against holders whose promise has expired and lists the other witnesses to ask for
/// their votes now. The first witness of a row asks first, the others later if no majority is
/// known.
/// @complexity linear in the watched leases
[[nodiscard]] std::vector<vote_poll> dueVotePolls(lease_witness &witness, const lease_times &times,
                                                  time_point now);

/// @brief Records the vote of another witness.
/// @complexity logarithmic in the watched leases
void onVote(lease_witness &witness, const expiry_vote &vote, time_point now);

/// @brief Replaces the known witnesses of a dead holder by those that the table's row names.
/// @complexity linear in the witnesses
void setRowWitnesses(lease_witness &witness, incarnation_id holder,
                     const std::vector<incarnation_id> &witnesses, time_point now);

/// @brief Lists the dead incarnations whose home shares may be returned to the pool: a majority has
/// voted, and any loan that the incarnation granted before has ended since.
/// @complexity linear in the watched leases
[[nodiscard]] std::vector<incarnation_id> reclaimable(const lease_witness &witness,
                                                      duration longestLoan, time_point now);

/// @brief Records that the lease row of a dead incarnation was deleted. The own vote is kept.
/// @complexity logarithmic in the watched leases
void onReclaimed(lease_witness &witness, incarnation_id holder);

/// @brief Tells whether @p votes contain more than half of @p witnesses.
/// @complexity linear in the witnesses
[[nodiscard]] bool isMajority(const std::vector<incarnation_id> &witnesses,
                              const std::set<incarnation_id> &votes);

} // namespace fuchsiagw::core
