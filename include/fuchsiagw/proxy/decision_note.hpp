/// @file
/// @brief Log record of a decision and of the inputs that led to it.

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
    ReplyRejected,
    ZoneEvacuated,
    ZoneRestored,
    MemberTemperatureChanged,
    MemberLimitChanged,
    OverloadChanged,
    ReplicaPaused,
    ReplicaResumed,
    PromotionOrderOpen,
    PromotionOrderClosed,
    OrderedMemberBehind,
    CommitDelayed,
    PrimaryFenced,
    PrimarySteppedDown,
    InputDropped,
};

inline constexpr std::array<std::string_view, 38> noteKindNames{
    "statement_placed",
    "statement_refused",
    "statement_retried",
    "statement_hedged",
    "statement_uncertain",
    "transaction_ended",
    "session_closed",
    "member_avoided",
    "member_listed",
    "member_draining",
    "member_gone",
    "leader_learned",
    "leader_lost",
    "manifest_applied",
    "manifest_ignored",
    "quota_lent",
    "promotion_started",
    "promotion_step",
    "promotion_done",
    "promotion_ended",
    "instances_changed",
    "stop_started",
    "quota_part_changed",
    "reply_rejected",
    "zone_evacuated",
    "zone_restored",
    "member_temperature_changed",
    "member_limit_changed",
    "overload_changed",
    "replica_paused",
    "replica_resumed",
    "promotion_order_open",
    "promotion_order_closed",
    "ordered_member_behind",
    "commit_delayed",
    "primary_fenced",
    "primary_stepped_down",
    "input_dropped",
};

[[nodiscard]] constexpr std::string_view toString(note_kind kind)
{
    return noteKindNames.at(static_cast<std::size_t>(kind));
}

/// Fields with empty text, zero numbers and zero ages are omitted from the log line.
struct decision_note
{
    note_kind kind = note_kind::StatementPlaced;
    std::string request; ///< caller_statement::id
    std::uint64_t session = 0;
    std::string workspace;
    std::string service;
    std::string_view route; ///< kind of the route
    std::string member;
    std::string zone;
    std::string reason;
    core::log_position position; ///< required by a statement, or reported by a member
    core::duration age{ 0 }; ///< age of the deciding input
    std::int64_t number = 0; ///< tries, tokens or version, depending on the kind
    std::uint64_t manifestVersion = 0; ///< of the manifest by which access was refused
};

} // namespace fuchsiagw::proxy
