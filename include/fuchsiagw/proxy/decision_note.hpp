/// @file
/// @brief A decision with the inputs that led to it, for the log.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiagw::proxy {

enum class note_kind : std::uint8_t {
    StatementPlaced,
    StatementRefused,
    StatementRetried,
    StatementHedged,
    StatementUncertain,
    TransactionEnded,
    SessionClosed,
    MemberAvoided,
    MemberListed,
    MemberDraining,
    MemberGone,
    LeaderLearned,
    LeaderLost,
    ManifestApplied,
    ManifestIgnored,
    QuotaLent,
    PromotionStarted,
    PromotionStep,
    PromotionDone,
    PromotionEnded,
    InstancesChanged,
    StopStarted,
    QuotaPartChanged,
};

inline constexpr std::array<std::string_view, 23> noteKindNames{
    "statement_placed",    "statement_refused", "statement_retried",  "statement_hedged",
    "statement_uncertain", "transaction_ended", "session_closed",     "member_avoided",
    "member_listed",       "member_draining",   "member_gone",        "leader_learned",
    "leader_lost",         "manifest_applied",  "manifest_ignored",   "quota_lent",
    "promotion_started",   "promotion_step",    "promotion_done",     "promotion_ended",
    "instances_changed",   "stop_started",      "quota_part_changed",
};

[[nodiscard]] constexpr std::string_view toString(note_kind kind)
{
    return noteKindNames.at(static_cast<std::size_t>(kind));
}

/// Empty texts, zero numbers and zero ages are left out of the line.
struct decision_note
{
    note_kind kind = note_kind::StatementPlaced;
    std::string request; ///< id that the caller gave the statement
    std::uint64_t session = 0;
    std::string workspace;
    std::string service;
    std::string member;
    std::string reason;
    core::log_position position; ///< demanded, or reported
    core::duration age{ 0 }; ///< of the input that decided
    std::int64_t number = 0; ///< tries, tokens, version: what the kind says
};

} // namespace fuchsiagw::proxy
