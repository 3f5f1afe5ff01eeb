/// @file
/// @brief State machine of a failover to a new primary, as run by one daemon.
///
/// A commit is acknowledged once the primary and one replica hold it. The new primary must
/// therefore have a log at least as long as that of every member that may hold the only other copy
/// of a commit. There are two ways: either the old primary has stepped down and a replica has
/// caught up with it, or replication is paused on every replica and the one with the longest log is
/// chosen.
///
/// A promotion takes effect some time after its order, and the old primary may be back before that.
/// From the order on, the chosen replica therefore receives and the others are kept paused, so that
/// a commit that is acknowledged meanwhile is in the log of the chosen one.
///
/// The platform may carry out an order seconds after it was sent, also beside a later attempt of
/// another daemon. Each order is recorded in the store before it is sent, and an attempt learns of
/// open orders with its token. It completes the newest one: it orders the same member again.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/reply.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fuchsiagw::proxy {

enum class promotion_phase : std::uint8_t {
    None,
    QueryingPeers, ///< peers are asked whether they can reach the primary
    DrawingToken, ///< waiting for the fencing token from the store
    Fencing, ///< members are paused or stepped down, and report positions
    RecordingOrder, ///< waiting until the store has recorded the order
    Ordering, ///< waiting for the platform to accept the promotion
    AwaitingLeader, ///< waiting until the new primary reports that it leads
};

inline constexpr std::array<std::string_view, 7> promotionPhaseNames{
    "none", "asking", "drawing_token", "fencing", "recording_order", "ordering", "settling",
};

[[nodiscard]] constexpr std::string_view toString(promotion_phase phase)
{
    return promotionPhaseNames.at(static_cast<std::size_t>(phase));
}

/// Reason for a promotion.
enum class promotion_cause : std::uint8_t {
    PrimarySilent,
    PrimaryGone,
    PrimaryDraining,
    NoPrimary,
    ReplicaPaused, ///< a replica is still paused by an earlier attempt
    ZoneEvacuated, ///< the primary's zone is evacuated
    OrderOpen, ///< an earlier order may still take effect
};

inline constexpr std::array<std::string_view, 7> promotionCauseNames{
    "primary_silent", "primary_gone",   "primary_draining", "no_primary",
    "replica_paused", "zone_evacuated", "order_open",
};

[[nodiscard]] constexpr std::string_view toString(promotion_cause cause)
{
    return promotionCauseNames.at(static_cast<std::size_t>(cause));
}

/// @return whether the primary serves until it is replaced
[[nodiscard]] constexpr bool isPlanned(promotion_cause cause)
{
    return cause == promotion_cause::PrimaryDraining || cause == promotion_cause::ZoneEvacuated;
}

struct promotion_state
{
    promotion_phase phase = promotion_phase::None;
    promotion_cause cause = promotion_cause::PrimarySilent;
    core::time_point startedAt{};
    core::time_point phaseDeadline = core::noDeadline; ///< the phase is aborted or repeated then
    core::time_point earliestStartAt{}; ///< earliest start of the next attempt
    std::uint64_t token = 0; ///< fencing token from the store
    core::term_number fenceTerm = 0; ///< higher than every known term
    std::string oldPrimary;
    core::term_number oldTerm = 0; ///< newest term known at the start; 0: none
    std::string chosen;
    std::map<std::string, member_status> reports; ///< received during fencing, by member
    /// Replicas that were ordered to pause replication; of the chosen one: it still has to resume.
    std::set<std::string> fenced;
    std::set<std::string> peersReaching; ///< peers that can reach the old primary
    std::set<std::string> peersNotReaching; ///< peers that can't reach the old primary
    /// Peers that have told the newest commit that they know, so that service_state::receipts has
    /// it.
    std::set<std::string> peersWithCommits;
    core::time_point nextCommitQueryAt{}; ///< next question to the other ones
    /// Latest time for an answer of a member without an entry in the store, from the first order to
    /// pause in this attempt.
    std::map<std::string, core::time_point> unlistedDeadlines;
    /// The attempt completes an open order of an earlier one, whose member is `chosen`.
    bool completesOrder = false;
    bool oldPrimaryLeads = false; ///< it has answered so in this attempt
    /// Orders for other members are open as well: that the chosen one leads closes none of them.
    bool hasRivalOrders = false;
    bool orderSent = false; ///< an order was recorded, or sent, and may still take effect
    bool orderAccepted = false; ///< the platform has accepted an order of this attempt
    core::time_point acceptedAt{}; ///< when it answered so; valid if orderAccepted
    bool isAnswered = false; ///< the platform has answered an order of this attempt
    bool orderUnanswered = false; ///< an order got no answer; the platform may carry it out later
    core::time_point repairAskedAt{}; ///< a repair needs an answer to a later question
    /// A replica in an evacuated zone has commits that no other replica can get, so it may be
    /// chosen.
    bool mayElectEvacuated = false;
    /// Peers that reach the old primary order it to step down until then; the replicas go on
    /// receiving meanwhile.
    core::time_point peersStepDownUntil{};
    bool stepDownSent = false; ///< the old primary was ordered to step down
    core::time_point leaseUntil{}; ///< no other daemon gets a fencing token before then
    std::set<std::string> replicasToResume; ///< replicas that have not confirmed that they resumed
    /// Replicas are resumed only once they follow this term; 0: at once. A replica that resumed
    /// earlier could acknowledge commits of an old primary that goes on.
    core::term_number resumeTerm = 0;
    core::time_point nextResumeAt = core::noDeadline;
    core::time_point nextProbeAt = core::noDeadline; ///< next repetition of orders to members
};

/// @return whether the chosen replica goes on receiving while the others are paused, so that every
/// commit that is acknowledged meanwhile is in its log
[[nodiscard]] inline bool hasReceiver(const promotion_state &attempt)
{
    return isPlanned(attempt.cause) || attempt.completesOrder;
}

/// @return whether the attempt only invalidates earlier orders, by one for the present primary
[[nodiscard]] inline bool isRepair(const promotion_state &attempt)
{
    return attempt.cause == promotion_cause::ReplicaPaused && !attempt.completesOrder;
}

/// Result of the choice of a new primary.
struct promotion_choice
{
    std::string member; ///< empty if no member can be chosen yet
    bool waitsForCatchUp = false; ///< a member that can't be promoted has a longer log
};

/// @brief Chooses the new primary from the reported log positions.
/// @param electable replicas of the group that are listed and not draining
/// @param witnesses every replica that may hold an acknowledged commit: all that were listed while
/// the old primary led, including draining ones
/// @complexity linear in the number of members
[[nodiscard]] promotion_choice chooseNewPrimary(const promotion_state &state,
                                                const std::set<std::string> &electable,
                                                const std::set<std::string> &witnesses);

} // namespace fuchsiagw::proxy
