/// @file
/// @brief Spread of versions and freshness proofs over the tree, without a clock shared by
/// instances.
///
/// Each second the root starts a round: a digest goes down the tree, acknowledgements come
/// up. A proof of round p says "version v was the newest when round p started". An
/// instance whose acknowledgement of round k < p reached the root in time knows that
/// round p started after it sent that acknowledgement, so it counts the age of the proof from
/// there. The acknowledgement is thus the question of proof (b). The age is between two and three
/// periods at every depth, with two messages per link and period.
///
/// The proof of a round is a read of the platform that was started after the round's
/// digest arrived, an operator's statement against a challenge issued after it, or the
/// acknowledgements of every listed instance.

#pragma once

#include <fuchsiagw/core/config_tree.hpp>
#include <fuchsiagw/core/freshness.hpp>

#include <deque>
#include <map>
#include <optional>

namespace fuchsiagw::core {

enum class spread_kind : std::uint8_t {
    Digest, ///< parent to child
    Acknowledgement, ///< child to parent; round 0 asks to be adopted
    Announcement, ///< a new version is in force at the sender
};

struct spread_message
{
    spread_kind kind = spread_kind::Digest;
    std::uint64_t root = 0; ///< hash of the root's id and incarnation
    std::uint64_t roundNumber = 0; ///< starts at 1 for each root
    configuration_version held = 0;
    /// Digest: round of the newest proof. Acknowledgement: newest round that the
    /// subtree can prove.
    std::uint64_t provenRound = 0;
    configuration_version provenVersion = 0;
    // Digest only
    std::uint16_t included =
            0; ///< bit i: the receiver's acknowledgement of roundNumber-1-i was counted
    std::uint32_t windowMicroseconds = 0; ///< remaining time in which an acknowledgement counts
    /// Digest: version that every listed instance held at the end of a round; 0: not known.
    /// Acknowledgement: least version held in the subtree.
    configuration_version oldest = 0;
    // Acknowledgement only
    configuration_version newest = 0; ///< greatest version held in the subtree
    std::uint32_t count = 0; ///< instances in the subtree that answered
    std::uint64_t instanceHashSum = 0; ///< sum of their instanceHash()
    bool hasUnresolvedSubmit = false; ///< a submit of the subtree may have taken effect unseen

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(kind, root, roundNumber, held, provenRound, provenVersion, included, windowMicroseconds,
           oldest, newest, count, instanceHashSum, hasUnresolvedSubmit);
    }
};

/// What the caller must do.
struct spread_action
{
    enum class kind : std::uint8_t {
        Send, ///< `message` to `peer`
        ReadPlatform, ///< read the version row; answer with onPlatformVersion() and `roundNumber`
        Fetch, ///< `version` is in force at `peer`, see addFetchSource()
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
    duration fastPeriod = std::chrono::milliseconds(250); ///< of the first waves of a new root
    duration hopAllowance =
            std::chrono::milliseconds(60); ///< window left to the parent at each level
    /// One period, the longest window and a margin for the delay between zones.
    duration parentTimeout = std::chrono::milliseconds(1700);
};

struct spread_child
{
    time_point heardAt = time_point::min();
    std::uint64_t acknowledgedRound = 0;
    spread_message report; ///< newest acknowledgement
    std::uint16_t counted = 0; ///< bit i: its acknowledgement of roundNumber-1-i was in ours
    bool isAdopted = false;
};

/// Invariant: at most maxSentAcknowledgements entries in `sent`, ordered by round.
struct spread_state
{
    tree_node self;
    std::uint64_t ownRoot = 0; ///< hash of id and incarnation
    std::uint64_t ownRound = 0; ///< newest round that this instance started; never repeated
    spread_settings settings;
    std::vector<tree_node> live;
    tree_place place;
    std::map<instance_id, spread_child> children;
    bool hasUnresolvedSubmit = false;

    instance_id parent; ///< whose digests are taken; empty: this instance is a root
    time_point parentDeadline = time_point::min();
    time_point nextAdoptionAt = time_point::min(); ///< when the next parent is asked
    std::size_t adoptionIndex = 0;

    std::uint64_t root = 0; ///< of the current round
    std::uint64_t roundNumber = 0;
    std::uint16_t included = 0; ///< own acknowledgements that were counted
    time_point nextRoundAt = time_point::min(); ///< for a root
    time_point windowEndsAt = time_point::min();
    time_point resendAt = time_point::max();
    bool isOpen = false; ///< the round has not been closed here
    bool isAwaitingRead = false; ///< of the platform, for this round
    unsigned fastRoundsLeft = 0; ///< of a new root, still to come

    struct sent_acknowledgement
    {
        std::uint64_t root = 0;
        std::uint64_t roundNumber = 0;
        time_point at;
    };
    std::deque<sent_acknowledgement> sent; ///< for a root: the starts of its waves

    std::uint64_t localProofRound = 0; ///< newest round that this instance can prove itself
    configuration_version localProofVersion = 0;
    std::uint64_t provenRound = 0; ///< of the current root
    configuration_version provenVersion = 0;
    configuration_version everywhere = 0; ///< every listed instance holds it or a newer one
    configuration_version heldByPeer = 0; ///< greatest version that a peer said it holds
};

/// @brief Creates the state of an instance that has just started.
/// @param incarnation random number of this start
[[nodiscard]] spread_state startSpread(const tree_node &self, incarnation_id incarnation,
                                       const spread_settings &settings, time_point now);

/// @brief Takes in a new copy of the platform's list of entry instances.
/// @complexity O(n log n) in the size of the list
void setLiveInstances(spread_state &state, const std::vector<tree_node> &live, time_point now);

/// @brief Does what is due. Call it at least every 50 ms, or at nextSpreadTime().
/// @complexity linear in the number of children
void tickSpread(spread_state &state, freshness &proofs, time_point now,
                std::vector<spread_action> &actions);

/// @return the time of the next tick that has something to do
[[nodiscard]] time_point nextSpreadTime(const spread_state &state);

/// @brief Takes in a message of a peer. Late and repeated messages change nothing.
/// @complexity linear in the number of children
void onSpreadMessage(spread_state &state, freshness &proofs, const instance_id &from,
                     const spread_message &message, time_point now,
                     std::vector<spread_action> &actions);

/// @brief Takes in the platform's answer to ReadPlatform, which was sent at @p sentAt.
/// @param root, roundNumber as given with the action
void onPlatformVersion(spread_state &state, freshness &proofs, std::uint64_t root,
                       std::uint64_t roundNumber, configuration_version version, time_point sentAt,
                       time_point now, std::vector<spread_action> &actions);

/// @brief Takes in an operator's statement (d). It serves the subtree too.
/// @param root, roundNumber those of the state when the challenge was issued, at @p issuedAt
void onOperatorProof(spread_state &state, freshness &proofs, std::uint64_t root,
                     std::uint64_t roundNumber, configuration_version version, time_point issuedAt);

/// @brief Notes that a version came into force here and announces it to the neighbours.
void onVersionInstalled(spread_state &state, freshness &proofs, configuration_version version,
                        std::vector<spread_action> &actions);

/// @brief Tells whether an operator may be told that @p version is accepted.
///
/// Another instance must hold it as well. Otherwise a restart of this one during an outage of the
/// platform would lose it, and proof (c) would vouch for the version before.
/// @return true also if this instance is the only listed one
[[nodiscard]] bool isHeldElsewhere(const spread_state &state, configuration_version version);

} // namespace fuchsiagw::core
