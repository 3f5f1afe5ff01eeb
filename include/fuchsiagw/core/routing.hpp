/// @file
/// @brief Where a statement goes, and whether the answer may be given to the caller.

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

/// Why a member was chosen, or why none was.
enum class route_reason : std::uint8_t {
    PrimaryRequired, ///< a write, a begin, or a read that accepts no age
    SessionUnusable, ///< the session's token can't be used
    NoReplicaFits, ///< a read that replicas may serve, but none is allowed
    OwnZone, ///< a replica of the own zone
    LessLoaded, ///< the own zone's replicas have no free slot
    OtherZone, ///< the own zone has no replica that is allowed
    NoPrimary, ///< nothing chosen: the primary is unknown, leaving or backed off
    NoMember, ///< nothing chosen: neither a replica nor the primary is allowed
};

inline constexpr std::array<std::string_view, 8> routeReasonNames{
    "primary_required", "session_unusable", "no_replica_fits", "own_zone",
    "less_loaded",      "other_zone",       "no_primary",      "no_member"
};

/// Why a candidate was passed over.
enum class rejection_reason : std::uint8_t {
    Chosen, ///< not passed over
    NotPrimary,
    IsPrimary, ///< kept for writes while a replica can serve the read
    Leaving,
    NotConfirmed, ///< has not answered since this process was paused
    NeverHeard,
    BackedOff,
    FarBehind, ///< has not caught up since its data was too old
    OtherTerm, ///< has not accepted the highest term and would refuse
    PositionBehind, ///< does not hold the session's newest write as far as known
    TooOld, ///< older than the read class accepts
    AgeUnknown,
    OtherZone,
    NoFreeSlot,
    MoreLoaded,
    NewConnection, ///< would need a new connection
    Tie, ///< equal; another was drawn
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
    std::optional<duration> maxAge; ///< of the read class; empty: the read accepts no age
    log_position minPosition; ///< the session's newest acknowledged write
    bool isSessionUnusable = false;
    bool primaryOnly = false; ///< a replica's answer was not usable, see checkAnswer()
    zone_name zone; ///< zone of the owner
};

struct route_candidate
{
    member_id member;
    rejection_reason reason = rejection_reason::Chosen;
};

/// Invariant: exactly the candidate `member` has the reason Chosen; if `member` is empty, none has.
struct route_decision
{
    std::optional<member_id> member;
    route_reason reason = route_reason::NoMember;
    term_number term = 0; ///< to be sent with the statement
    bool fromReplica = false;
    std::vector<route_candidate> candidates;
};

/// What is done with a member's answer to a read.
enum class answer_verdict : std::uint8_t {
    Accept,
    AskPrimaryPosition, ///< does not contain the session's newest write
    AskPrimaryAge, ///< older than accepted, or of unknown age; counts as member_failure::FarBehind
    Drop, ///< answers another request; its connection must be closed
};

inline constexpr std::array<std::string_view, 4> answerVerdictNames{ "accept", "position_behind",
                                                                     "too_old", "foreign" };

[[nodiscard]] std::string_view toString(answer_verdict verdict);

/// @brief Builds the routing request of a parsed statement.
/// @param maxAge age that the statement's read class accepts; empty without read class
[[nodiscard]] routing_request makeRoutingRequest(const statement_request &statement,
                                                 std::optional<duration> maxAge,
                                                 const zone_name &zone);

/// @brief Chooses the member for a statement that belongs to no transaction.
///
/// Replicas come in this order: with a free slot, own zone, load relative to slots, open
/// connection without work, random. When no replica has a free slot, the load decides first.
/// @complexity O(m * s) for m members and s read-age samples
[[nodiscard]] route_decision routeStatement(const group_view &view, const routing_request &request,
                                            time_point now, random_engine &random);

/// @brief Checks a member's successful answer to a read before a caller may see it.
/// @param sent id that the request carried
/// @param fromReplica false for the primary, whose answers have no age
/// @complexity linear in the number of read-age samples
[[nodiscard]] answer_verdict checkAnswer(const group_view &view, const routing_request &request,
                                         const request_id &sent, const execute_answer &answer,
                                         bool fromReplica, time_point now);

/// @brief Describes a decision as `key=value` fields for one log line.
/// @complexity linear in the number of candidates
[[nodiscard]] std::string describe(const route_decision &decision);

} // namespace fuchsiagw::core
