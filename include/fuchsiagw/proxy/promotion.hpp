/// @file
/// @brief The steps of a change of primary, as one daemon carries them out.
///
/// A commit is acknowledged once the primary and one replica hold it. So the new primary must be a
/// member whose log is at least as long as that of every member that may hold the only other copy:
/// either the old primary has stepped down and a replica has caught up with it, or every replica
/// has stopped to receive and the longest of them is chosen.

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
    Asking, ///< other daemons are asked whether they reach the primary
    DrawingToken, ///< the store decides who acts, and with which fencing token
    Fencing, ///< members are paused or stepped down, and report their positions
    Ordering, ///< the platform was asked to promote
    Settling, ///< ordered; the new primary has not been seen to lead yet
};

inline constexpr std::array<std::string_view, 6> promotionPhaseNames{
    "none", "asking", "drawing_token", "fencing", "ordering", "settling",
};

[[nodiscard]] constexpr std::string_view toString(promotion_phase phase)
{
    return promotionPhaseNames.at(static_cast<std::size_t>(phase));
}

/// Why a promotion is under way.
enum class promotion_cause : std::uint8_t {
    PrimarySilent,
    PrimaryGone,
    PrimaryDraining,
    NoPrimary,
    ReplicaPaused, ///< an attempt ended without making a replica receive again
};

inline constexpr std::array<std::string_view, 5> promotionCauseNames{
    "primary_silent", "primary_gone", "primary_draining", "no_primary", "replica_paused",
};

[[nodiscard]] constexpr std::string_view toString(promotion_cause cause)
{
    return promotionCauseNames.at(static_cast<std::size_t>(cause));
}

struct promotion_state
{
    promotion_phase phase = promotion_phase::None;
    promotion_cause cause = promotion_cause::PrimarySilent;
    core::time_point startedAt{};
    core::time_point phaseDeadline = core::noDeadline; ///< given up or tried again then
    core::time_point notBefore{}; ///< no new attempt before it
    std::uint64_t token = 0; ///< fencing token of this attempt
    core::term_number fenceTerm = 0; ///< above every term seen
    std::string oldPrimary;
    std::string chosen;
    std::map<std::string, member_status> reports; ///< after fencing, by member
    std::set<std::string> fenced; ///< replicas ordered to stop to receive
    std::set<std::string> peersReaching; ///< daemons that reach the old primary
    std::set<std::string> peersNotReaching;
    bool ordered = false; ///< an order was sent and may still be carried out
    bool steppedDown = false; ///< the old primary was told to step down
    core::time_point leaseUntil{}; ///< this daemon acts alone until then
    std::set<std::string> toResume; ///< replicas to be told to receive again, until they say so
    core::time_point nextResume = core::noDeadline;
    core::time_point nextProbe = core::noDeadline; ///< members are asked again then
};

/// Which member may be promoted, if any.
struct promotion_choice
{
    std::string member; ///< empty: none yet
    bool waitsForCatchUp = false; ///< the stepped-down primary is ahead of every replica
};

/// @brief Chooses the new primary from the reports.
/// @param electable members that are listed, not draining, and replicas of the group
/// @param witnesses every replica that may hold an acknowledged commit: all that were listed while
/// the old primary led, draining ones included
/// @complexity linear in the number of members
[[nodiscard]] promotion_choice chooseNext(const promotion_state &state,
                                          const std::set<std::string> &electable,
                                          const std::set<std::string> &witnesses);

} // namespace fuchsiagw::proxy
