/// @file
/// @brief Failure detection and promotion of a new primary in a database group.
///
/// Safety depends on the members alone: a member grants a term once, a promotion needs the grants
/// of a majority, and an owner sends `lead` for a term to one member only. The rest of this file
/// (probes, ranks, the views of peers, the claim in the platform's table) only affects when and how
/// often promotions start. docs/failover.md explains the timing constants.

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

/// Maximum time between two calls of onTick().
inline constexpr duration failoverTickInterval = std::chrono::milliseconds(25);
/// A longer gap between two ticks means that the owner's process was paused. Silence of a member
/// across such a gap is no evidence of a failure.
inline constexpr duration ownerPauseThreshold = std::chrono::milliseconds(250);

/// Silence after which the primary is probed while the group has work (failover_load::hasWork).
inline constexpr duration primaryProbeAfterSilence = std::chrono::milliseconds(100);
/// Interval between probes of a silent primary. A new probe is sent before the previous one is
/// answered, so that answers of a slow primary still arrive at this rate.
inline constexpr duration suspectProbeInterval = std::chrono::milliseconds(75);
/// Silence after which a replica, or the primary of a group without work, is probed. It limits an
/// owner of 20 idle groups of 3 members to 60 probes/s.
inline constexpr duration idleProbeAfterSilence = std::chrono::seconds(1);
/// Silence after which a replica is probed while the group has work, so that its known log position
/// stays recent.
inline constexpr duration replicaProbeAfterSilence = std::chrono::milliseconds(250);
/// Lower bound of the probe interval that the maximum age of reads demands. The interval is a third
/// of that age, because taking a sample of the primary and confirming it by a majority each use a
/// part of the age.
inline constexpr duration minFreshProbeInterval = std::chrono::milliseconds(50);
/// Timeout of a single probe request on its connection.
inline constexpr duration probeTimeout = std::chrono::seconds(1);

/// Time from the first unanswered probe to suspicion of the primary. At a probe interval of 75 ms,
/// four probes are lost within this time; with a packet loss of 5 % in each direction, loss alone
/// causes that about once in 10,000 periods of silence.
inline constexpr duration suspectAfter = std::chrono::milliseconds(300);
/// The primary is also suspected if it refuses connections for this long, because its process has
/// then ended.
inline constexpr duration suspectAfterRefused = std::chrono::milliseconds(150);
inline constexpr std::uint32_t probesBeforeSuspicion = 3;
/// Hysteresis: each change of the primary within promotionHistoryWindow doubles the timeouts of
/// failure detection, up to this factor.
inline constexpr std::int64_t maxTimeoutFactor = 4;
inline constexpr duration promotionHistoryWindow = std::chrono::seconds(30);

/// A primary whose writes are confirmed by no member for this long, and for twice the usual
/// confirmation delay, is treated as partitioned from its group and replaced.
inline constexpr duration unconfirmedTimeout = std::chrono::milliseconds(500);
/// A member that has answered within this time counts as reachable.
inline constexpr duration reachabilityWindow = std::chrono::milliseconds(300);

/// Time without a primary for the highest term after which an owner starts a promotion itself. A
/// promotion by another owner takes about 20 ms, or 100 ms if a message is lost.
inline constexpr duration noPrimaryTimeout = std::chrono::milliseconds(150);
/// Minimum time between the start or resumption of this owner and a promotion for lack of a
/// primary. The owner needs answers from members and peers first.
inline constexpr duration startupGracePeriod = std::chrono::milliseconds(500);
/// Start delay per rank, so that the owner of the lowest rank usually finishes before another one
/// starts.
inline constexpr duration staggerPerRank = std::chrono::milliseconds(50);
inline constexpr duration staggerJitter = std::chrono::milliseconds(20);
/// Delay of a promotion when another owner holds the claim. The claim is advisory and delays a
/// promotion by no more than this.
inline constexpr duration rivalClaimDelay = std::chrono::milliseconds(150);

/// Timeout of accept_term and lead. The timeout of accept_term doubles with each consecutive failed
/// attempt.
inline constexpr duration attemptTimeout = std::chrono::milliseconds(60);
inline constexpr duration maxAttemptTimeout = std::chrono::milliseconds(500);
inline constexpr std::uint32_t maxLeadAttempts = 3;

/// A replica whose log is behind the primary and does not advance for this long is sent `follow`
/// again.
inline constexpr duration replicationStallTimeout = std::chrono::milliseconds(250);
/// Owners that did not run the promotion wait this long, plus a delay for their rank, before they
/// send `accept_term` and `follow` to members that do not follow the new primary yet.
inline constexpr duration followTakeoverDelay = std::chrono::milliseconds(300);
inline constexpr duration followRetryInterval = std::chrono::milliseconds(100);
inline constexpr duration maxFollowRetryInterval = std::chrono::seconds(2);
/// `accept_term` and `follow` are sent only to a member that has answered within this time; other
/// members are only probed.
inline constexpr duration followReachabilityWindow = std::chrono::seconds(1);
/// Time for which a promotion ordered by an operator is retried.
inline constexpr duration manualPromotionTimeout = std::chrono::seconds(5);

/// Low bits of a term number that hold the promoter's rank.
inline constexpr unsigned rankBits = 8;

enum class failover_step : std::uint8_t {
    Probe, ///< `GET /status`, then onStatus() or onProbeFailed()
    AcceptTerm, ///< `POST /accept_term`, then onAcceptTerm()
    Lead, ///< `POST /lead`, then onLead()
    Follow, ///< `POST /follow` with `primary`, then onFollow()
    PublishView, ///< publishView() to the group's other owners
    Claim, ///< write the advisory claim into the platform's table, then onClaim()
};

inline constexpr std::array<std::string_view, 6> failoverStepNames{ "probe",        "accept_term",
                                                                    "lead",         "follow",
                                                                    "publish_view", "claim" };

enum class failover_cause : std::uint8_t {
    Silence, ///< the primary answers neither statements nor probes
    Unconfirmed, ///< the primary answers, but no member confirms its writes
    NoPrimary, ///< the highest term has no primary
    Leaving, ///< the primary is leaving
    Manual,
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
    duration timeout =
            probeTimeout; ///< timeout of the request; only failed probes need to be reported
    bool suspects = false; ///< only for PublishView
};

using failover_actions = std::vector<failover_action>;

/// Input from the owner's own traffic with the group.
struct failover_load
{
    bool hasWork = false; ///< statements are queued, in flight or unconfirmed
    time_point oldestUnconfirmed = noDeadline; ///< see oldestUnconfirmed()
    duration confirmDelay = initialConfirmDelay;
    duration wantedAge = duration::zero(); ///< see wantedAge() of read_age.hpp; zero: no reads
};

/// @return the load of an owner, with failover_load::wantedAge left at zero
/// @param hasStatements statements are queued or in flight
[[nodiscard]] failover_load makeFailoverLoad(const pending_writes &pending, const group_view &view,
                                             bool hasStatements);

/// A promotion in progress. Invariant: `lead` for `term` is sent to `chosen` only.
struct promotion_attempt
{
    term_number term = 0;
    failover_cause cause = failover_cause::Silence;
    std::optional<member_id>
            excluded; ///< not chosen if the other members that granted the term form a majority
    std::optional<member_id> preferred; ///< chosen among members with equal positions
    std::map<member_id, member_status> grants; ///< the status that each member sent with its grant
    std::optional<member_id> chosen;
    std::uint32_t leadAttempts = 0;
    time_point deadline; ///< deadline of the current step (accept_term or lead)
    time_point startedAt;
};

struct probe_schedule
{
    time_point lastSentAt = time_point::min();
    std::uint32_t unanswered = 0; ///< probes since the member's last answer
};

struct follow_task
{
    term_number term = 0; ///< term of the primary to follow; the other fields refer to this term
    bool isPromoter = false; ///< this owner has promoted the primary
    bool isConfirmed = false; ///< the member has answered to /follow
    std::uint32_t attempts = 0;
    time_point nextAttemptAt = time_point::min();
};

/// Failover state of one owner for one group. The first block is set by the caller.
struct failover_state
{
    std::uint8_t rank = 0; ///< unique among the owners where possible; the lowest starts first
    bool isPromotionEnabled = true; ///< setting `promotion`
    bool isReplicaProbingEnabled =
            true; ///< setting `probing`: whether failed replicas are probed for recovery
    acknowledgement_policy policy = acknowledgement_policy::Majority;

    std::optional<promotion_attempt> attempt;
    std::optional<failover_cause>
            suspicion; ///< reason to replace the primary; set while the start delay runs
    time_point attemptStartAt = noDeadline; ///< when the suspicion turns into an attempt
    time_point earliestAttemptAt = time_point::min(); ///< set after a failed attempt
    bool isPostponedByClaim = false; ///< happens at most once per suspicion
    time_point silentSince = noDeadline; ///< first unanswered probe of the primary
    time_point refusedSince = noDeadline; ///< first refused connection to it
    time_point lastHeardByPeer =
            time_point::min(); ///< newest time at which a peer received an answer from the primary
    time_point lastTickAt = time_point::min();
    time_point lastPublishedAt = time_point::min();
    time_point resumedAt = time_point::min();
    time_point manualPromotionDeadline = time_point::min();
    std::optional<member_id> preferred; ///< member named by the operator's last promotion
    term_number highestAttemptedTerm = 0; ///< highest term of an attempt by this owner
    std::uint32_t failedAttempts = 0; ///< since the primary last changed
    std::vector<time_point> promotions; ///< changes of primary within promotionHistoryWindow
    std::optional<member_id> suspectedPrimary; ///< primary that the next attempt excludes
    term_number lastPrimaryTerm = 0; ///< term of the last known primary
    std::map<member_id, probe_schedule> probeSchedules;
    std::map<member_id, follow_task> followTasks;
};

/// @return the lowest term that carries @p rank and is above @p highest
/// @complexity constant
[[nodiscard]] term_number nextTerm(term_number highest, std::uint8_t rank);

/// @brief Selects the member to promote among those that granted a term.
///
/// Selects the greatest last position: as a majority has granted the term, that log contains every
/// write that a majority held.
/// @param isFinal whether no further grants are expected. If true, the excluded member is eligible
/// unless the other members form a majority; if false, nothing is selected until they do.
/// @return nothing if there is no majority or, under known_position, if no granting member holds
/// the highest acknowledged position
/// @complexity linear in the number of members
[[nodiscard]] std::optional<member_id> choosePrimary(const promotion_attempt &attempt,
                                                     const group_view &view,
                                                     acknowledgement_policy policy, bool isFinal);

/// @brief Runs the due steps: probes, detection, promotion and follow requests. Called at least
/// every failoverTickInterval, and immediately when a member or the list of instances reports that
/// the primary is leaving.
/// @complexity O(m log m) for m members, as are all events below
[[nodiscard]] failover_actions onTick(failover_state &state, group_view &view,
                                      const failover_load &load, time_point now,
                                      random_engine &random);

/// @brief Processes a member's status from a probe or a wait, including observeStatus().
[[nodiscard]] failover_actions onStatus(failover_state &state, group_view &view,
                                        const member_status &status, time_point askedAt,
                                        time_point now, random_engine &random);

/// @brief Processes a failed probe, including observeFailure().
void onProbeFailed(failover_state &state, group_view &view, const member_id &member,
                   member_failure failure, time_point now, random_engine &random);

/// @brief Processes the answer to accept_term, including observeStatus().
/// @param term term of the request
[[nodiscard]] failover_actions onAcceptTerm(failover_state &state, group_view &view,
                                            const accept_term_answer &answer, term_number term,
                                            time_point askedAt, time_point now,
                                            random_engine &random);

/// @brief Processes the answer to lead, or the failure of the request.
/// @param leads whether the member now leads @p term. If false, the request is repeated to the same
/// member, and the attempt is given up after maxLeadAttempts.
[[nodiscard]] failover_actions onLead(failover_state &state, group_view &view,
                                      const member_id &member, term_number term, bool leads,
                                      time_point now, random_engine &random);

/// @brief Processes the answer to follow, or the failure of the request.
void onFollow(failover_state &state, const member_id &member, term_number term, bool follows);

/// @brief Processes the view that another owner has published.
[[nodiscard]] failover_actions onPeerView(failover_state &state, group_view &view,
                                          const published_view &peer, time_point now,
                                          random_engine &random);

/// @brief Processes the answer to the advisory claim. A missing answer counts as granted.
void onClaim(failover_state &state, bool granted, time_point now);

/// @brief Starts a promotion on an operator's command, even if automatic promotion is off.
[[nodiscard]] failover_actions promoteManually(failover_state &state, group_view &view,
                                               time_point now, random_engine &random);

} // namespace fuchsiagw::core
