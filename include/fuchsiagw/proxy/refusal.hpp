/// @file
/// @brief All reasons for which the proxy itself refuses a statement.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/reply.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiagw::proxy {

enum class refusal_reason : std::uint8_t {
    UnknownDatabase,
    KeyNotAccepted,
    NotConfigured, ///< no manifest has been read yet
    RateExceeded,
    NoPrimary, ///< no member is known to lead
    NoMember, ///< no member can take the statement
    NoConnection, ///< no connection became free within the statement's wait
    MembersBusy, ///< every member that was tried refused the statement
    TransactionLost, ///< the connection of the open transaction was lost
    TransactionIdle, ///< the transaction was idle for too long
    Stopping,
    OutOfPlace, ///< the statement does not fit the transaction's state
    PreparedUnknown,
    NoAnswerInTime, ///< sent, but not answered within the route's timeout
    AnswerLost, ///< sent, but the connection was lost before the answer
    TooManySessions,
    LeaderUnproven, ///< the primary may have been replaced; nothing was delivered
    ZoneEvacuated, ///< only members in evacuated zones could run the statement
    MemberCold, ///< the only member that can run the statement has started recently
    Overloaded, ///< the queue drains too slowly for the statement's latency objective
    StateTooLarge, ///< the session's values and prepared statements would need too much memory
    /// The manifest has no such route or key, but it may not be the newest one.
    ManifestUnproven,
    /// Committed, but a promotion that may take effect at any time may not keep it.
    CommitUnproven,
    NoReceiver, ///< no listed replica answers, so that a commit could not be proven
    TooManyStatements, ///< the caller has sent too many ahead
};

/// Maps a reason to its name and reply code.
struct refusal_row
{
    refusal_reason reason;
    std::string_view name;
    reply_code code;
};

inline constexpr std::array<refusal_row, 25> refusalRows{ {
        { refusal_reason::UnknownDatabase, "unknown_database", reply_code::NoDatabase },
        { refusal_reason::KeyNotAccepted, "key_not_accepted", reply_code::Unauthorized },
        { refusal_reason::NotConfigured, "not_configured", reply_code::Busy },
        { refusal_reason::RateExceeded, "rate_exceeded", reply_code::Busy },
        { refusal_reason::NoPrimary, "no_primary", reply_code::Busy },
        { refusal_reason::NoMember, "no_member", reply_code::Busy },
        { refusal_reason::NoConnection, "no_connection", reply_code::Busy },
        { refusal_reason::MembersBusy, "members_busy", reply_code::Busy },
        { refusal_reason::TransactionLost, "transaction_lost", reply_code::Aborted },
        { refusal_reason::TransactionIdle, "transaction_idle", reply_code::Aborted },
        { refusal_reason::Stopping, "stopping", reply_code::Aborted },
        { refusal_reason::OutOfPlace, "out_of_place", reply_code::Malformed },
        { refusal_reason::PreparedUnknown, "prepared_unknown", reply_code::UnknownPrepared },
        { refusal_reason::NoAnswerInTime, "no_answer_in_time", reply_code::TimedOut },
        { refusal_reason::AnswerLost, "answer_lost", reply_code::OutcomeUnknown },
        { refusal_reason::TooManySessions, "too_many_sessions", reply_code::Busy },
        { refusal_reason::LeaderUnproven, "leader_unproven", reply_code::Busy },
        { refusal_reason::ZoneEvacuated, "zone_evacuated", reply_code::Busy },
        { refusal_reason::MemberCold, "member_cold", reply_code::Busy },
        { refusal_reason::Overloaded, "overloaded", reply_code::Busy },
        { refusal_reason::StateTooLarge, "state_too_large", reply_code::TooLarge },
        { refusal_reason::ManifestUnproven, "manifest_unproven", reply_code::Busy },
        { refusal_reason::CommitUnproven, "commit_unproven", reply_code::OutcomeUnknown },
        { refusal_reason::NoReceiver, "no_receiver", reply_code::Busy },
        { refusal_reason::TooManyStatements, "too_many_statements", reply_code::Busy },
} };

[[nodiscard]] constexpr const refusal_row &rowOf(refusal_reason reason)
{
    return refusalRows.at(static_cast<std::size_t>(reason));
}

[[nodiscard]] constexpr std::string_view toString(refusal_reason reason)
{
    return rowOf(reason).name;
}

/// @brief Builds the answer for a refusal.
/// @param retryAfter when another try may succeed; 0: unknown, and left out of the message
[[nodiscard]] reply refuse(refusal_reason reason, transaction_state state,
                           core::duration retryAfter = {});

} // namespace fuchsiagw::proxy
