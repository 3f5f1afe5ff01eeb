/// @file
/// @brief State of a database group and its members as an owner has observed it.

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

/// Reason why an exchange with a member failed.
enum class member_failure : std::uint8_t {
    Silence, ///< no answer before the timeout
    Refused, ///< no connection could be made
    Closed, ///< the connection closed before the answer
    FarBehind, ///< the data of the answer was older than the request allows
};

inline constexpr std::array<std::string_view, 4> memberFailureNames{ "silence", "refused", "closed",
                                                                     "far_behind" };

[[nodiscard]] constexpr std::string_view toString(member_failure failure)
{
    return memberFailureNames.at(static_cast<std::size_t>(failure));
}

/// Observed state of one member. Invariant: acceptedTerm never decreases.
struct member_view
{
    zone_name zone;
    std::string address;
    member_role role = member_role::Replica;
    term_number acceptedTerm = 0; ///< highest term that the member is known to have accepted
    log_position last;
    log_position applied;
    time_point lastHeardAt = time_point::min(); ///< time of the last answer of any kind; min: never
    time_point lastAdvancedAt = time_point::min(); ///< when `last` was last seen to increase
    time_point termQueriedAt = time_point::min(); ///< send time of the newest request that was
                                                  ///< answered under acceptedTerm
    bool leaving = false;
    /// When a pause of this process ended during which the member may have started to leave. Reset
    /// to min by the first answer to a request sent since then.
    time_point unverifiedSince = time_point::min();
    std::uint32_t openConnections = 0; ///< data connections of this owner; maintained by the caller
    std::uint32_t inFlight =
            0; ///< statements of this owner at the member; maintained by the caller
    backoff backoffState;
    /// A member that lagged too far behind remains backed off until it has applied this position.
    std::optional<log_position> catchUpPosition;
};

/// Invariants: highestTerm is not below any member's acceptedTerm and never decreases; `primary`
/// is empty or the member that led highestTerm.
struct group_view
{
    group_id group;
    std::uint32_t slots = 1; ///< statements that a member executes concurrently
    std::map<member_id, member_view> members;
    term_number highestTerm = 0;
    std::optional<member_id> primary;
    time_point primarySince =
            time_point::min(); ///< when the primary, or the lack of one, was first observed
    read_age ages;
    /// Greatest known position that was acknowledged to a caller; only for known_position.
    log_position highestAcknowledgedPosition;
    /// End of the lease during which writes may be acknowledged at once; only for the lease policy.
    time_point leaseExpiresAt = time_point::min();
};

/// View of a group that owners in different zones exchange.
struct published_view
{
    group_id group;
    term_number term = 0;
    member_id primary; ///< empty: unknown
    bool suspects = false; ///< the sender asks whether other owners can reach the primary
    bool hasHeard = false; ///< whether the primary has ever answered the sender
    std::int64_t heardAgoMicros =
            0; ///< time since the primary's last answer to the sender; valid if hasHeard

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

/// @brief Applies the members, addresses and slots of a configuration. The observed state of
/// members that remain is kept.
/// @complexity O(m log m) for m members
void applySettings(group_view &view, const group_id &group, const group_settings &settings);

/// @brief Processes a member's status.
/// @param askedAt when the request was sent
/// @return false if the status is ignored because it comes from an unknown member or another group,
/// or carries a term below the one that the member has already accepted. In the last case the
/// fields that do not depend on the term (lastHeardAt, leaving, unverifiedSince) are still updated.
/// @complexity O(m log m) for m members
bool observeStatus(group_view &view, const member_status &status, time_point askedAt,
                   time_point now);

/// @brief Processes a member's answer to a statement.
/// @param askedTerm the term that the request carried
/// @param askedAt when the request was sent
/// @complexity O(m log m) for m members
void observeAnswer(group_view &view, const member_id &member, const execute_answer &answer,
                   term_number askedTerm, time_point askedAt, time_point now);

/// @brief Records the failure of an exchange and backs off from the member.
/// @complexity logarithmic in the number of members
void observeFailure(group_view &view, const member_id &member, member_failure failure,
                    time_point now, random_engine &random);

/// @brief Marks all members as unverified after a pause of this process: a member is sent no new
/// statements until it answers a request sent at or after @p now.
/// @complexity linear in the members
void markMembersUnverified(group_view &view, time_point now);

/// @brief Records whether the list of instances shows the member as leaving.
/// @complexity logarithmic in the number of members
void observeLeaving(group_view &view, const member_id &member, bool leaving);

/// @brief Records that a member, peer or session has seen @p term.
/// @complexity linear in the number of read-age samples if the term is new, else constant
void observeTerm(group_view &view, term_number term, time_point now);

/// @brief Records that @p member leads @p term, as reported by the member itself or by a peer.
/// @complexity as observeTerm()
void observePrimary(group_view &view, const member_id &member, term_number term, time_point now);

/// @return the view to send to the owners in other zones
/// @complexity logarithmic in the number of members
[[nodiscard]] published_view publishView(const group_view &view, bool suspects, time_point now);

/// @brief Finds a member.
/// @return nullptr if there is none
/// @complexity logarithmic in the number of members
[[nodiscard]] const member_view *findMember(const group_view &view, const member_id &member);

/// @return the known primary of the highest term; nullptr if there is none
[[nodiscard]] const member_view *findPrimary(const group_view &view);

} // namespace fuchsiagw::core
