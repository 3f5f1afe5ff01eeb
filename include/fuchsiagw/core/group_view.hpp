/// @file
/// @brief What an owner knows about a group of members.

#pragma once

#include <fuchsiagw/core/backoff.hpp>
#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/read_age.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiagw::core {

/// How an exchange with a member failed.
enum class member_failure : std::uint8_t {
    Silence, ///< no answer before the timeout
    Refused, ///< no connection could be made
    Closed, ///< the connection closed before the answer
    FarBehind, ///< answered from data that was too old for the request
};

inline constexpr std::array<std::string_view, 4> memberFailureNames{ "silence", "refused", "closed",
                                                                     "far_behind" };

[[nodiscard]] constexpr std::string_view toString(member_failure failure)
{
    return memberFailureNames.at(static_cast<std::size_t>(failure));
}

/// Knowledge of one member. Invariant: acceptedTerm never decreases.
struct member_view
{
    zone_name zone;
    std::string address;
    member_role role = member_role::Replica;
    term_number acceptedTerm = 0; ///< highest term that it is known to have accepted
    log_position last;
    log_position applied;
    time_point lastHeard = time_point::min(); ///< any answer; min: never
    time_point lastAdvancedAt = time_point::min(); ///< when `last` was last seen to grow
    time_point termQueriedAt = time_point::min(); ///< newest question answered under acceptedTerm
    bool leaving = false;
    /// Until then this process was paused, so that the member may be leaving without its knowledge;
    /// min: its answers since then have told.
    time_point unverifiedSince = time_point::min();
    std::uint32_t openConnections = 0; ///< data connections of this owner; kept by the caller
    std::uint32_t inFlight = 0; ///< statements of this owner at the member; kept by the caller
    backoff pause;
    /// A member that was too far behind stays backed off until it has applied this position.
    std::optional<log_position> catchUp;
};

/// Invariants: highestTerm is not below any member's acceptedTerm and never decreases; `primary`
/// is empty or the member that led highestTerm.
struct group_view
{
    group_id group;
    std::uint32_t slots = 1; ///< statements that a member executes at once
    std::map<member_id, member_view> members;
    term_number highestTerm = 0;
    std::optional<member_id> primary;
    time_point primarySince = time_point::min(); ///< when the primary or its absence was seen
    read_age ages;
    /// Greatest position acknowledged to a caller as far as known; only for known_position.
    log_position highestAcknowledgedPosition;
    /// End of the right to acknowledge; only for the lease policy.
    time_point leaseUntil = time_point::min();
};

/// What owners tell each other about a group.
struct published_view
{
    group_id group;
    term_number term = 0;
    member_id primary; ///< empty: unknown
    bool suspects = false; ///< the sender asks whether others hear the primary
    bool hasHeard = false; ///< the sender has heard the primary
    std::int64_t heardAgoMicros = 0; ///< time since then; valid if hasHeard

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(group, term, primary, suspects, hasHeard, heardAgoMicros);
    }
};

/// @return the number of members that form a majority of @p members
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

/// @brief Takes over the members, addresses and slots of a configuration. What is known about
/// members that stay is kept.
/// @complexity O(m log m) for m members
void applySettings(group_view &view, const group_id &group, const group_settings &settings);

/// @brief Takes in a member's status.
/// @param askedAt when the question was sent
/// @return false if the status is from an unknown member, of another group, or older than what is
/// known; only the time heard is then recorded
/// @complexity O(m log m) for m members
bool observeStatus(group_view &view, const member_status &status, time_point askedAt,
                   time_point now);

/// @brief Takes in a member's answer to a statement.
/// @param askedTerm the term that the request carried
/// @param askedAt when the request was sent
/// @complexity O(m log m) for m members
void observeAnswer(group_view &view, const member_id &member, const execute_answer &answer,
                   term_number askedTerm, time_point askedAt, time_point now);

/// @brief Takes in the failure of an exchange and backs the member off.
/// @complexity logarithmic in the number of members
void observeFailure(group_view &view, const member_id &member, member_failure failure,
                    time_point now, random_engine &random);

/// @brief Nothing new is sent to a member before it has answered a question that was asked later.
/// @complexity linear in the members
void markMembersUnverified(group_view &view, time_point now);

/// @brief Takes in what the list of instances says about a member that leaves.
/// @complexity logarithmic in the number of members
void observeLeaving(group_view &view, const member_id &member, bool leaving);

/// @brief Takes in that some member or session has seen @p term.
/// @complexity linear in the number of read-age samples if the term is new, else constant
void observeTerm(group_view &view, term_number term, time_point now);

/// @brief Takes in that @p member leads @p term, from its own status or from a peer.
/// @complexity as observeTerm()
void observePrimary(group_view &view, const member_id &member, term_number term, time_point now);

/// @return the view as it is sent to the owners of other zones
/// @complexity logarithmic in the number of members
[[nodiscard]] published_view publishView(const group_view &view, bool suspects, time_point now);

/// @brief Finds a member.
/// @return nullptr if there is none
/// @complexity logarithmic in the number of members
[[nodiscard]] const member_view *findMember(const group_view &view, const member_id &member);

/// @return the known primary of the highest term; nullptr if there is none
[[nodiscard]] const member_view *findPrimary(const group_view &view);

} // namespace fuchsiagw::core
