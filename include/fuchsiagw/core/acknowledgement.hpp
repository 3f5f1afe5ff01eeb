/// @file
/// @brief When a write is acknowledged, and how an owner waits for that.

#pragma once

#include <fuchsiagw/core/group_view.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

/// How long a member holds a /wait request open. Short, so that a lost answer costs little.
inline constexpr duration waitHoldTimeout = std::chrono::milliseconds(100);
/// Time beyond waitHoldTimeout after which the answer to a /wait request counts as lost. Several
/// round trips between zones (8 ms).
inline constexpr duration waitAnswerMargin = std::chrono::milliseconds(50);
/// Expected delay of a confirmation before one was seen. An owner that starts must not take slow
/// replication for a primary that is cut off from its group.
inline constexpr duration initialConfirmDelay = std::chrono::seconds(1);

/// The policies compared in docs/failover.md.
enum class acknowledgement_policy : std::uint8_t {
    Majority, ///< held by a majority under the write's term
    Lease, ///< at once while the primary's lease lasts
    KnownPosition, ///< at once
};

inline constexpr std::array<std::string_view, 3> acknowledgementPolicyNames{ "majority", "lease",
                                                                             "known_position" };

[[nodiscard]] constexpr std::string_view toString(acknowledgement_policy policy)
{
    return acknowledgementPolicyNames.at(static_cast<std::size_t>(policy));
}

/// @brief Tells whether a member is known to hold a write under the write's term.
///
/// An entry of an earlier term (the first answer to a repeated idempotent write) counts only below
/// an entry of the current term: until then a member with a longer log of a term in between could
/// be promoted and truncate it.
/// @param term term that the request carried
/// @complexity constant
[[nodiscard]] bool holdsWrite(const member_view &member, term_number term, log_position position);

/// @brief Tells whether a write may be acknowledged to the caller.
/// @param term term that the request carried
/// @param position the write's position as the primary answered
/// @complexity linear in the number of members
[[nodiscard]] bool mayAcknowledge(acknowledgement_policy policy, const group_view &view,
                                  term_number term, log_position position, time_point now);

/// A write that ran and is not acknowledged yet.
struct pending_write
{
    std::uint64_t number = 0; ///< the caller's name for it
    term_number term = 0;
    log_position position;
    time_point since; ///< when the primary's answer arrived
    time_point deadline = noDeadline;
};

/// What became of a pending write.
enum class write_outcome : std::uint8_t {
    Acknowledged,
    Expired, ///< `not_confirmed`
    Superseded, ///< another term has a primary; `not_confirmed` or to be repeated with its key
};

inline constexpr std::array<std::string_view, 3> writeOutcomeNames{ "acknowledged", "expired",
                                                                    "superseded" };

[[nodiscard]] constexpr std::string_view toString(write_outcome outcome)
{
    return writeOutcomeNames.at(static_cast<std::size_t>(outcome));
}

struct resolved_write
{
    std::uint64_t number = 0;
    write_outcome outcome = write_outcome::Expired;
    log_position position;
};

/// A `/wait` request to open at a member.
struct wait_request
{
    member_id member;
    log_position position; ///< `term` and `index` of the request
    duration held = waitHoldTimeout; ///< `wait_ms`
    time_point deadline; ///< without an answer until then, report onWaitEnded()
};

/// Writes of one owner in one group. Invariant: at most one wait is open at a member.
struct pending_writes
{
    std::vector<pending_write> writes; ///< in order of arrival
    std::map<member_id, time_point> openWaits; ///< with the deadline of each
    /// Smoothed time from a primary's answer to the confirmation.
    duration confirmDelay = initialConfirmDelay;
    bool isConfirmDelayKnown = false;
    time_point lastConfirmedAt = time_point::min();
};

/// @brief Adds a write that the primary has answered.
/// @complexity amortized constant
void addPendingWrite(pending_writes &pending, const pending_write &write);

/// @brief Says which waits to open now: at each member that lacks the oldest pending write, unless
/// one is open there. The number depends on the members only, not on the pending writes.
/// @complexity O(m log m + w) for m members and w writes
[[nodiscard]] std::vector<wait_request> openWaits(pending_writes &pending, const group_view &view,
                                                  time_point now);

/// @brief A wait was answered (observeStatus() first) or failed.
/// @param deadline of the wait that ended. A late or repeated answer to an earlier wait must not
/// end the open one, else waits would multiply; noDeadline ends whichever is open.
/// @complexity logarithmic in the number of members
void onWaitEnded(pending_writes &pending, const member_id &member,
                 time_point deadline = noDeadline);

/// @brief Takes out the writes whose outcome is decided. Called after each observed status or
/// answer and at nextExpiry().
/// @complexity O(w * m) for w writes and m members
[[nodiscard]] std::vector<resolved_write> resolveWrites(pending_writes &pending, group_view &view,
                                                        acknowledgement_policy policy,
                                                        time_point now);

/// @return the earliest deadline of a pending write; noDeadline if there is none
/// @complexity linear in the number of writes
[[nodiscard]] time_point nextExpiry(const pending_writes &pending);

/// @return when the oldest pending write of @p term was answered; noDeadline if there is none
/// @complexity linear in the number of writes
[[nodiscard]] time_point oldestUnconfirmed(const pending_writes &pending, term_number term);

} // namespace fuchsiagw::core
