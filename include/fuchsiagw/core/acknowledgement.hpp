/// @file
/// @brief Acknowledgement policies, and the writes that wait for acknowledgement.

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

/// How long a member holds a /wait request open. Short, so that a lost answer causes little delay.
inline constexpr duration waitHoldTimeout = std::chrono::milliseconds(100);
/// Time after waitHoldTimeout at which the answer to a /wait request counts as lost. It allows for
/// several round trips between zones (8 ms each).
inline constexpr duration waitAnswerMargin = std::chrono::milliseconds(50);
/// Assumed delay of a confirmation until the first one has arrived. It is long, so that a new owner
/// does not mistake slow replication for a primary that is isolated from its group.
inline constexpr duration initialConfirmDelay = std::chrono::seconds(1);

/// Condition for the acknowledgement of a write. docs/failover.md compares the policies.
enum class acknowledgement_policy : std::uint8_t {
    Majority, ///< a majority of the members holds the write under its term
    Lease, ///< immediately, while the primary's lease is valid and no higher term is known
    KnownPosition, ///< immediately, while no higher term is known
};

inline constexpr std::array<std::string_view, 3> acknowledgementPolicyNames{ "majority", "lease",
                                                                             "known_position" };

[[nodiscard]] constexpr std::string_view toString(acknowledgement_policy policy)
{
    return acknowledgementPolicyNames.at(static_cast<std::size_t>(policy));
}

/// @brief Checks whether a member is known to hold a write under @p term.
///
/// A repeated idempotent write is answered with the position of its first run, which may be of an
/// earlier term. Such an entry counts only if the member also holds an entry of @p term. Without
/// one, a member whose log has entries of a term in between could be promoted and truncate it.
/// @param term term of the request
/// @complexity constant
[[nodiscard]] bool holdsWrite(const member_view &member, term_number term, log_position position);

/// @brief Checks whether a write may be acknowledged to the caller.
/// @param term term of the request
/// @param position position of the write in the primary's answer
/// @complexity linear in the number of members
[[nodiscard]] bool mayAcknowledge(acknowledgement_policy policy, const group_view &view,
                                  term_number term, log_position position, time_point now);

/// A write that the primary has executed and that is not acknowledged yet.
struct pending_write
{
    std::uint64_t number = 0; ///< chosen by the caller to identify the write
    term_number term = 0;
    log_position position;
    time_point answeredAt; ///< when the primary's answer arrived
    time_point deadline = noDeadline;
};

/// Outcome of a pending write.
enum class write_outcome : std::uint8_t {
    Acknowledged,
    Expired, ///< its deadline passed; the answer is `not_confirmed`
    Superseded, ///< a later term has a primary; see onSuperseded()
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

/// A `/wait` request to send to a member.
struct wait_request
{
    member_id member;
    log_position position; ///< `term` and `index` of the request
    duration holdTimeout = waitHoldTimeout; ///< `wait_ms`
    time_point deadline; ///< call onWaitEnded() if no answer has arrived by then
};

/// The unacknowledged writes of one owner in one group. Invariant: at most one `/wait` request is
/// open at each member.
struct pending_writes
{
    std::vector<pending_write> writes; ///< in order of arrival
    std::map<member_id, time_point> openWaits; ///< deadlines of the open `/wait` requests
    /// Moving average of the time from a primary's answer to the acknowledgement.
    duration confirmDelay = initialConfirmDelay;
    bool isConfirmDelayKnown = false;
    time_point lastConfirmedAt = time_point::min();
};

/// @brief Adds a write that the primary has answered.
/// @complexity amortized constant
void addPendingWrite(pending_writes &pending, const pending_write &write);

/// @brief Determines the `/wait` requests to send now: one to each member under the highest term
/// that lacks a pending write of this term and at which no request is open. The request waits for
/// the oldest such write. The number of requests depends on the members and not on the number of
/// pending writes.
/// @complexity O(m log m + w) for m members and w writes
[[nodiscard]] std::vector<wait_request> openWaits(pending_writes &pending, const group_view &view,
                                                  time_point now);

/// @brief Handles a `/wait` request that was answered or failed. Pass the status in an answer to
/// observeStatus() first.
/// @param deadline deadline of the request that ended. A late or duplicate answer to an earlier
/// request does not end the open one, otherwise the number of open requests would grow. noDeadline
/// ends any open request.
/// @complexity logarithmic in the number of members
void onWaitEnded(pending_writes &pending, const member_id &member,
                 time_point deadline = noDeadline);

/// @brief Removes and returns the pending writes that are acknowledged, expired or superseded. Must
/// be called after each observed status or answer and at nextExpiry().
/// @complexity O(w * m) for w writes and m members
[[nodiscard]] std::vector<resolved_write> resolveWrites(pending_writes &pending, group_view &view,
                                                        acknowledgement_policy policy,
                                                        time_point now);

/// @return the earliest deadline of a pending write; noDeadline if there is none
/// @complexity linear in the number of writes
[[nodiscard]] time_point nextExpiry(const pending_writes &pending);

/// @return when the primary answered the oldest pending write of @p term; noDeadline if there is
/// none
/// @complexity linear in the number of writes
[[nodiscard]] time_point oldestUnconfirmed(const pending_writes &pending, term_number term);

} // namespace fuchsiagw::core
