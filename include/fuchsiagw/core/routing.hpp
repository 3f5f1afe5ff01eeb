/// @file
/// @brief Choice of the member that runs a statement, and check of its answer to a read.

#pragma once

#include <fuchsiagw/core/group_view.hpp>
#include <fuchsiagw/core/statement.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// Why a member was chosen, or why no member was.
enum class route_reason : std::uint8_t {
    PrimaryRequired, ///< a write, a begin, or a read that only the primary may serve
    SessionUnusable, ///< the session's token can't be used
    NoReplicaFits, ///< the primary; replicas may serve the read, but none is eligible
    OwnZone, ///< a replica in the owner's zone
    LessLoaded, ///< a replica in another zone; those in the owner's zone have no free slot
    OtherZone, ///< a replica in another zone; none in the owner's zone is eligible
    NoPrimary, ///< no member: the primary is unknown or not eligible
    NoMember, ///< no member: neither a replica nor the primary is eligible
};

inline constexpr std::array<std::string_view, 8> routeReasonNames{
    "primary_required", "session_unusable", "no_replica_fits", "own_zone",
    "less_loaded",      "other_zone",       "no_primary",      "no_member"
};

/// Why a candidate was not chosen.
enum class rejection_reason : std::uint8_t {
    Chosen, ///< the chosen candidate
    NotPrimary,
    IsPrimary, ///< reserved for writes while a replica can serve the read
    Leaving,
    NotConfirmed, ///< has not answered since this process was paused
    NeverHeard, ///< has never reported its status
    BackedOff,
    FarBehind, ///< has not caught up since its data was found to be too old
    OtherTerm, ///< has not accepted the highest term and would refuse the request
    PositionBehind, ///< is not known to have applied the session's newest write
    TooOld, ///< its data is older than the read class accepts
    AgeUnknown,
    OtherZone,
    NoFreeSlot,
    MoreLoaded,
    NewConnection, ///< would need a new connection
    Tie, ///< equal to the chosen candidate, which was selected at random
};

inline constexpr std::array<std::string_view, 17> rejectionReasonNames{
    "chosen",         "not_primary", "is_primary", "leaving",      "not_confirmed",
    "never_heard",    "backed_off",  "far_behind", "other_term",   "position",
    "too_old",        "age_unknown", "other_zone", "no_free_slot", "more_loaded",
    "new_connection", "tie"
};

[[nodiscard]] std::string_view toString(route_reason reason);
[[nodiscard]] std::string_view toString(rejection_reason reason);

struct routing_request
{
    statement_kind kind = statement_kind::Read;
    std::optional<duration> maxAge; ///< limit of the read class; empty: only the primary serves it
    log_position minPosition; ///< the session's newest acknowledged write
    bool isSessionUnusable = false;
    bool primaryOnly = false; ///< an earlier answer was too old or behind, see checkAnswer()
    zone_name zone; ///< zone of the owner
};

struct route_candidate
{
    member_id member;
    rejection_reason reason = rejection_reason::Chosen;
};

/// Invariant: only the candidate `member` has the reason Chosen; if `member` is empty, none has.
struct route_decision
{
    std::optional<member_id> member;
    route_reason reason = route_reason::NoMember;
    term_number term = 0; ///< must be sent with the statement
    bool fromReplica = false;
    std::vector<route_candidate> candidates;
};

/// How a member's answer to a read is handled.
enum class answer_verdict : std::uint8_t {
    Accept,
    AskPrimaryPosition, ///< the data does not contain the session's newest write
    AskPrimaryAge, ///< the data is too old or of unknown age; counts as member_failure::FarBehind
    Drop, ///< the answer belongs to another request; its connection must be closed
};

inline constexpr std::array<std::string_view, 4> answerVerdictNames{ "accept", "position_behind",
                                                                     "too_old", "foreign" };

[[nodiscard]] std::string_view toString(answer_verdict verdict);

/// @brief Builds the routing request of a parsed statement.
/// @param maxAge oldest data that the statement's read class accepts; empty without read class
[[nodiscard]] routing_request makeRoutingRequest(const statement_request &statement,
                                                 std::optional<duration> maxAge,
                                                 const zone_name &zone);

/// @brief Chooses the member for a statement outside of a transaction.
///
/// Eligible replicas are compared by these criteria in turn: a free slot, the owner's zone, the
/// load, an idle open connection, a random number. If no replica has a free slot, the load is
/// compared before the zone.
/// @complexity O(m * s) for m members and s read-age samples
[[nodiscard]] route_decision routeStatement(const group_view &view, const routing_request &request,
                                            time_point now, random_engine &random);

/// @brief Checks a member's successful answer to a read before it is returned to the caller.
/// @param sent id that the request carried
/// @param fromReplica false for the primary, whose answers are accepted regardless of age
/// @complexity linear in the number of read-age samples
[[nodiscard]] answer_verdict checkAnswer(const group_view &view, const routing_request &request,
                                         const request_id &sent, const execute_answer &answer,
                                         bool fromReplica, time_point now);

/// @brief Formats a decision as `key=value` fields for a log line.
/// @complexity linear in the number of candidates
[[nodiscard]] std::string describe(const route_decision &decision);

} // namespace fuchsiagw::core
