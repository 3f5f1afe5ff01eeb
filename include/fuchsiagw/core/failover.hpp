/// @file
/// @brief When and how the primary of a group is replaced.
///
/// Safety rests on the members alone: a member grants a term once, a promotion needs grants of a
/// majority, and a promoter sends `lead` for a term to one member only. Everything else in this
/// file (probes, ranks, peers' views, the claim in the platform's table) only decides how soon and
/// how seldom a promotion starts. docs/failover.md explains the times.

#pragma once

#include <fuchsiagw/core/acknowledgement.hpp>
#include <fuchsiagw/core/group_view.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// Longest time between two calls of onTick().
inline constexpr duration failoverTick = std::chrono::milliseconds(25);
/// A longer gap between ticks means that the owner itself was stopped: silence seen across it says
/// nothing about the members.
inline constexpr duration pausedAfter = std::chrono::milliseconds(250);

/// Silence of the primary after which it is probed while the group has work.
inline constexpr duration probeAfterSilence = std::chrono::milliseconds(100);
/// Time between probes of a silent primary. Probes overlap, so that a primary which answers slowly
/// is still heard at this rate.
inline constexpr duration probeEvery = std::chrono::milliseconds(75);
/// Silence after which a replica, or the primary of a group without work, is probed. An owner of 20
/// idle groups of 3 members then sends 60 probes/s at most.
inline constexpr duration idleProbeAfterSilence = std::chrono::seconds(1);
/// Silence after which a replica is probed while the group has work, to keep its position fresh.
inline constexpr duration replicaProbeAfterSilence = std::chrono::milliseconds(250);
/// Each member is heard three times within the age that reads accept, so that neither the samples
/// nor their confirmation use up the age, but not more often than this.
inline constexpr duration freshProbeShortest = std::chrono::milliseconds(50);
/// When a probe counts as unanswered for the connection that carried it.
inline constexpr duration probeTimeout = std::chrono::seconds(1);

/// Silence from the first unanswered probe to suspicion. With probes each 75 ms, four are lost
/// before that; at 5 % loss each way that happens about once in 10,000 silences.
inline constexpr duration suspectAfter = std::chrono::milliseconds(300);
/// Refused connections over this time also lead to suspicion: the process is gone.
inline constexpr duration suspectAfterRefused = std::chrono::milliseconds(150);
inline constexpr std::uint32_t probesBeforeSuspicion = 3;
/// Hysteresis: each promotion in the last promotionMemory doubles the patience, up to this factor.
inline constexpr std::int64_t longestPatienceFactor = 4;
inline constexpr duration promotionMemory = std::chrono::seconds(30);

/// Writes that no member confirms for this long (and for twice the usual delay of a confirmation)
/// lead to the replacement of a primary that is cut off from its group.
inline constexpr duration unconfirmedAfter = std::chrono::milliseconds(500);
/// A member heard within this time counts as reachable.
inline constexpr duration reachableWithin = std::chrono::milliseconds(300);

/// Time without any primary of the highest term after which an owner starts a promotion itself. A
/// rival that is at work needs some 20 ms, or 100 ms when a message is lost.
inline constexpr duration noPrimaryPatience = std::chrono::milliseconds(150);
/// The same after this owner has started or was stopped: it has to hear members and peers first.
inline constexpr duration startPatience = std::chrono::milliseconds(500);
/// Each rank starts later by this time, so that the first usually finishes alone.
inline constexpr duration staggerPerRank = std::chrono::milliseconds(50);
inline constexpr duration staggerJitter = std::chrono::milliseconds(20);
/// Postponement by a rival's claim. The claim is advisory and never stops a promotion for longer.
inline constexpr duration claimPatience = std::chrono::milliseconds(150);

/// Answer time allowed for accept_term and lead; doubles with each failed attempt in a row.
inline constexpr duration attemptTimeout = std::chrono::milliseconds(60);
inline constexpr duration attemptTimeoutLongest = std::chrono::milliseconds(500);
inline constexpr std::uint32_t leadTries = 3;

/// A member that should follow but does not grow is told again after this time.
inline constexpr duration stalledAfter = std::chrono::milliseconds(250);
/// Owners that did not promote leave it to the promoter to tell members for this long.
inline constexpr duration followTakeover = std::chrono::milliseconds(300);
inline constexpr duration followRetry = std::chrono::milliseconds(100);
inline constexpr duration followRetryLongest = std::chrono::seconds(2);
/// A stale member is told only if it was heard within this time; otherwise probes look for it.
inline constexpr duration followIfHeardWithin = std::chrono::seconds(1);
/// A promotion by hand is repeated for this long.
inline constexpr duration handPatience = std::chrono::seconds(5);

/// Low bits of a term number that hold the promoter's rank.
inline constexpr unsigned rankBits = 8;

enum class failover_step : std::uint8_t {
    Probe, ///< `GET /status`, then onStatus() or onProbeFailed()
    AcceptTerm, ///< `POST /accept_term`, then onAcceptTerm()
    Lead, ///< `POST /lead`, then onLead()
    Follow, ///< `POST /follow` with `primary`, then onFollow()
    PublishView, ///< publishView() to the group's other owners
    Claim, ///< advisory claim in the platform's table, then onClaim()
};

inline constexpr std::array<std::string_view, 6> failoverStepNames{ "probe",        "accept_term",
                                                                    "lead",         "follow",
                                                                    "publish_view", "claim" };

enum class failover_cause : std::uint8_t {
    Silence, ///< the primary answers neither statements nor probes
    Unconfirmed, ///< the primary answers, but no member confirms its writes
    NoPrimary, ///< the highest term has no primary
    Leaving, ///< the primary is leaving
    ByHand,
};

inline constexpr std::array<std::string_view, 5> failoverCauseNames{ "silence", "unconfirmed",
                                                                     "no_primary", "leaving",
                                                                     "by_hand" };

[[nodiscard]] std::string_view toString(failover_step step);
[[nodiscard]] std::string_view toString(failover_cause cause);

struct failover_action
{
    failover_step step = failover_step::Probe;
    member_id member; ///< empty for PublishView and Claim
    term_number term = 0;
    member_id primary; ///< only for Follow
    duration timeout = probeTimeout; ///< of the request; only a failed probe must be reported
    bool suspects = false; ///< only for PublishView
};

using failover_actions = std::vector<failover_action>;

/// What the owner's own traffic says about the group.
struct failover_load
{
    bool hasWork = false; ///< statements are queued, in flight or unconfirmed
    time_point oldestUnconfirmed = noDeadline; ///< see oldestUnconfirmed()
    duration confirmDelay = initialConfirmDelay;
    duration wantedAge = duration::zero(); ///< see wantedAge() of read_age.hpp; zero: no reads
};

/// @return the load of an owner
/// @param hasStatements statements are queued or in flight
[[nodiscard]] failover_load loadOf(const pending_writes &pending, const group_view &view,
                                   bool hasStatements);

/// A promotion under way. Invariant: `lead` for `term` is only ever sent to `chosen`.
struct promotion_attempt
{
    term_number term = 0;
    failover_cause cause = failover_cause::Silence;
    std::optional<member_id> excluded; ///< not to be chosen if a majority exists without it
    std::optional<member_id> preferred; ///< chosen among members with equal positions
    std::map<member_id, member_status> grants; ///< as granted
    std::optional<member_id> chosen;
    std::uint32_t tries = 0; ///< of lead
    time_point deadline; ///< of the present step
    time_point startedAt;
};

struct probe_schedule
{
    time_point sent = time_point::min();
    std::uint32_t unanswered = 0; ///< since the member was last heard
};

struct follow_task
{
    term_number term = 0; ///< term that the rest of the task is about
    bool isOwn = false; ///< this owner has promoted the primary
    bool isConfirmed = false; ///< the member has answered to /follow
    std::uint32_t tries = 0;
    time_point next = time_point::min();
};

/// Failover state of one owner for one group. The first block is set by the caller.
struct failover_state
{
    std::uint8_t rank = 0; ///< unique among the owners as far as possible, lowest starts first
    bool promotes = true; ///< switch `promotion`
    bool probes = true; ///< switch `probing`: replicas that failed are probed for their return
    acknowledgement_policy policy = acknowledgement_policy::Majority;

    std::optional<promotion_attempt> attempt;
    std::optional<failover_cause> suspicion; ///< a cause holds, the stagger is running
    time_point startAt = noDeadline; ///< when the suspicion becomes an attempt
    time_point notBefore = time_point::min(); ///< no attempt before, set after a failed one
    bool isPostponed = false; ///< by a rival's claim, once for each suspicion
    time_point silentSince = noDeadline; ///< first unanswered probe of the primary
    time_point refusedSince = noDeadline; ///< first refused connection to it
    time_point peerHeard = time_point::min(); ///< newest time at which a peer heard it
    time_point lastTick = time_point::min();
    time_point lastPublished = time_point::min();
    time_point resumedAt = time_point::min();
    time_point handUntil = time_point::min();
    std::optional<member_id> preferred; ///< named with the newest promotion by hand
    term_number triedTerm = 0; ///< highest term of an own attempt
    std::uint32_t failedAttempts = 0; ///< in a row
    std::vector<time_point> promotions; ///< changes of primary within promotionMemory
    std::optional<member_id> suspected; ///< primary that the next attempt passes over
    term_number seenTerm = 0; ///< term of the primary seen last
    std::map<member_id, probe_schedule> schedule;
    std::map<member_id, follow_task> follows;
};

/// @return the lowest term of @p rank that is above @p highest
/// @complexity constant
[[nodiscard]] term_number nextTerm(term_number highest, std::uint8_t rank);

/// @brief Selects the member to promote among those that granted a term.
///
/// It is the one with the greatest last position, which holds every write that a majority held.
/// @param isFinal no further grants are expected: the excluded member is passed over only if the
/// others are a majority; otherwise wait until they are
/// @return nothing while there is no majority, or, under known_position, while no granting member
/// holds the highest acknowledged position
/// @complexity linear in the number of members
[[nodiscard]] std::optional<member_id> choosePrimary(const promotion_attempt &attempt,
                                                     const group_view &view,
                                                     acknowledgement_policy policy, bool isFinal);

/// @brief Does what is due. Called at least each failoverTick, and at once when a member or the
/// list says that the primary is leaving.
/// @complexity O(m log m) for m members, as are all events below
[[nodiscard]] failover_actions onTick(failover_state &state, group_view &view,
                                      const failover_load &load, time_point now,
                                      random_engine &random);

/// @brief A member's status arrived, from a probe or a wait. Observes it.
[[nodiscard]] failover_actions onStatus(failover_state &state, group_view &view,
                                        const member_status &status, time_point askedAt,
                                        time_point now, random_engine &random);

/// @brief A probe failed. Observes the failure.
void onProbeFailed(failover_state &state, group_view &view, const member_id &member,
                   member_failure failure, time_point now, random_engine &random);

/// @brief The answer to accept_term arrived. Observes its status.
/// @param term term that was asked for
[[nodiscard]] failover_actions onAcceptTerm(failover_state &state, group_view &view,
                                            const accept_term_answer &answer, term_number term,
                                            time_point askedAt, time_point now,
                                            random_engine &random);

/// @brief The answer to lead arrived, or the request failed.
/// @param leads whether the member leads @p term now; false repeats the request to the same member,
/// and gives the attempt up after leadTries
[[nodiscard]] failover_actions onLead(failover_state &state, group_view &view,
                                      const member_id &member, term_number term, bool leads,
                                      time_point now, random_engine &random);

/// @brief The answer to follow arrived.
void onFollow(failover_state &state, const member_id &member, term_number term, bool follows);

/// @brief Another owner has published its view.
[[nodiscard]] failover_actions onPeerView(failover_state &state, group_view &view,
                                          const published_view &peer, time_point now,
                                          random_engine &random);

/// @brief The answer to the advisory claim arrived; no answer means granted.
void onClaim(failover_state &state, bool granted, time_point now);

/// @brief Starts a promotion on an operator's command, whatever the switch says.
[[nodiscard]] failover_actions promoteByHand(failover_state &state, group_view &view,
                                             time_point now, random_engine &random);

} // namespace fuchsiagw::core
