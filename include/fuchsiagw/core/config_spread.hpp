/// @file
/// @brief Distribution of configuration versions and freshness proofs over the tree of instances,
/// without a shared clock.
///
/// Once per period the root starts a round: a digest is sent down the tree, and acknowledgements
/// are aggregated on the way up. The proof of round p states "version v was the newest when round p
/// started". If the acknowledgement that an instance sent in round k < p reached the root in time,
/// round p started after that acknowledgement was sent. The instance therefore counts the age of
/// the proof from that sending time; the acknowledgement acts as the request for a
/// proof_source::Peer proof. The age of a proof is between two and three periods at every depth,
/// with two messages per link and period.
///
/// A round is proven by a read of the platform that started after the round's digest arrived, by an
/// operator's statement for a challenge that was issued after it, or by the acknowledgements of
/// every listed instance.

#pragma once

#include <fuchsiagw/core/config_tree.hpp>
#include <fuchsiagw/core/freshness.hpp>

#include <deque>
#include <map>
#include <optional>

namespace fuchsiagw::core {

enum class spread_kind : std::uint8_t {
    Digest, ///< sent by the parent to its children
    Acknowledgement, ///< sent by a child to its parent; round 0 asks to become a child
    Announcement, ///< a new version is in force at the sender
};

struct spread_message
{
    spread_kind kind = spread_kind::Digest;
    std::uint64_t root = 0; ///< hash of the root's id and incarnation
    std::uint64_t roundNumber = 0; ///< starts at 1 for each root
    configuration_version heldVersion = 0; ///< version in force at the sender
    /// Digest: newest round that is proven. Acknowledgement: newest round that the subtree can
    /// prove.
    std::uint64_t provenRound = 0;
    configuration_version provenVersion = 0;
    // Digest only
    /// Bit i: the receiver's acknowledgement of round roundNumber-1-i reached the root in time.
    std::uint16_t included = 0;
    std::uint32_t windowMicroseconds = 0; ///< time left for the receiver's acknowledgement
    /// Digest: least version in force over all listed instances at the end of a round; 0: unknown.
    /// Acknowledgement: least version in force in the subtree.
    configuration_version oldest = 0;
    // Acknowledgement only
    configuration_version newest = 0; ///< greatest version in force in the subtree
    std::uint32_t count = 0; ///< instances of the subtree that acknowledged the round
    std::uint64_t instanceHashSum = 0; ///< sum of instanceHash() over these instances
    bool hasUnresolvedSubmit = false; ///< a submit in the subtree may have created a version

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(kind, root, roundNumber, heldVersion, provenRound, provenVersion, included,
           windowMicroseconds, oldest, newest, count, instanceHashSum, hasUnresolvedSubmit);
    }
};

/// Action that the caller must perform.
struct spread_action
{
    enum class kind : std::uint8_t {
        Send, ///< `message` to `peer`
        ReadPlatform, ///< read the version row, then call onPlatformVersion()
        Fetch, ///< call addFetchSource(): `version` is in force at `peer`
    };
    kind what = kind::Send;
    instance_id peer;
    spread_message message;
    std::uint64_t root = 0;
    std::uint64_t roundNumber = 0;
    configuration_version version = 0;
};

struct spread_settings
{
    duration period = std::chrono::seconds(1);
    duration fastPeriod = std::chrono::milliseconds(250); ///< period of a new root's first rounds
    /// Each level's window ends this much before that of its parent, to allow for the latency
    /// of the acknowledgement.
    duration hopAllowance = std::chrono::milliseconds(60);
    /// One period plus the longest window plus a margin for the delay between zones.
    duration parentTimeout = std::chrono::milliseconds(1700);
};

struct spread_child
{
    time_point lastHeardAt = time_point::min();
    std::uint64_t acknowledgedRound = 0;
    spread_message report; ///< the child's newest acknowledgement
    /// Bit i: this instance's acknowledgement of round roundNumber-1-i included the child's.
    std::uint16_t counted = 0;
    bool isAdopted = false; ///< the child asked for it; it is not a child by the instance list
};

/// Invariant: at most maxSentAcknowledgements entries in `sent`, ordered by round.
struct spread_state
{
    tree_node self;
    std::uint64_t ownRoot = 0; ///< hash of the id and incarnation, sent as `root`
    std::uint64_t ownRound = 0; ///< newest round that this instance started; only increases
    spread_settings settings;
    std::vector<tree_node> live;
    tree_place place;
    std::map<instance_id, spread_child> children;
    bool hasUnresolvedSubmit = false;

    instance_id parent; ///< instance whose digests are accepted; empty: this instance is a root
    time_point parentDeadline = time_point::min();
    time_point nextAdoptionAt = time_point::min(); ///< next request to a candidate parent
    std::size_t adoptionIndex = 0;

    std::uint64_t root = 0; ///< root of the current round
    std::uint64_t roundNumber = 0;
    std::uint16_t included = 0; ///< as in the newest digest; all bits are set at a root
    time_point nextRoundAt = time_point::min(); ///< used by a root only
    time_point windowEndsAt = time_point::min();
    time_point resendAt = time_point::max();
    bool isOpen = false; ///< the round is not closed at this instance yet
    bool isAwaitingRead = false; ///< this round's read of the platform has not been answered
    unsigned fastRoundsLeft = 0; ///< rounds that a new root still starts at fastPeriod

    struct sent_acknowledgement
    {
        std::uint64_t root = 0;
        std::uint64_t roundNumber = 0;
        time_point at;
    };
    std::deque<sent_acknowledgement> sent; ///< at a root: the start times of its rounds

    std::uint64_t localProofRound = 0; ///< newest round that this instance proved itself
    configuration_version localProofVersion = 0;
    std::uint64_t provenRound = 0; ///< newest proven round of the current root
    configuration_version provenVersion = 0;
    configuration_version everywhere = 0; ///< every listed instance has it or a newer one in force
    configuration_version heldByPeer = 0; ///< greatest version that a peer reported to be in force
};

/// @brief Creates the state of an instance at its start.
/// @param incarnation random number that is drawn at each start
[[nodiscard]] spread_state startSpread(const tree_node &self, incarnation_id incarnation,
                                       const spread_settings &settings, time_point now);

/// @brief Replaces the copy of the platform's list of entry instances and recomputes the tree.
/// @complexity O(n log n) in the size of the list
void setLiveInstances(spread_state &state, const std::vector<tree_node> &live, time_point now);

/// @brief Performs the timed work. Must be called at least every 50 ms, or at nextSpreadTime().
/// @complexity linear in the number of children
void tickSpread(spread_state &state, freshness &proofs, time_point now,
                std::vector<spread_action> &actions);

/// @return the earliest time at which tickSpread() has work
[[nodiscard]] time_point nextSpreadTime(const spread_state &state);

/// @brief Processes a message of a peer. Late and duplicate messages are harmless.
/// @complexity linear in the number of children
void onSpreadMessage(spread_state &state, freshness &proofs, const instance_id &from,
                     const spread_message &message, time_point now,
                     std::vector<spread_action> &actions);

/// @brief Processes the platform's answer to a ReadPlatform request that was sent at @p sentAt.
/// @param root, roundNumber values from the action
void onPlatformVersion(spread_state &state, freshness &proofs, std::uint64_t root,
                       std::uint64_t roundNumber, configuration_version version, time_point sentAt,
                       time_point now, std::vector<spread_action> &actions);

/// @brief Processes an operator's statement, proof (d). It proves the round for the subtree too.
/// @param root, roundNumber values of the state at @p issuedAt, when the challenge was issued
void onOperatorProof(spread_state &state, freshness &proofs, std::uint64_t root,
                     std::uint64_t roundNumber, configuration_version version, time_point issuedAt);

/// @brief Records that a version came into force at this instance, and announces it to the parent
/// and the children.
void onVersionInstalled(spread_state &state, freshness &proofs, configuration_version version,
                        std::vector<spread_action> &actions);

/// @brief Tells whether the acceptance of @p version may be reported to an operator.
///
/// Another instance must have the version in force too. Otherwise a restart of this instance during
/// an outage of the platform would lose the version, and proof (c) would state that the previous
/// version is the newest.
/// @return true if a peer has it in force, or if this instance is the only listed one
[[nodiscard]] bool isHeldElsewhere(const spread_state &state, configuration_version version);

} // namespace fuchsiagw::core
