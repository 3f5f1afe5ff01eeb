/// @file
/// @brief Actions that the owner of a group asks its caller to perform.

#pragma once

#include <fuchsiagw/core/connection_pool.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/routing.hpp>
#include <fuchsiagw/core/statement.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsiagw::core {

/// Open a data connection; call onConnected() by the deadline.
struct open_connection
{
    connection_id id = 0;
    member_id member;
    std::string address;
    time_point deadline;
};

/// Send a statement on an open connection; call onExecuted() by the deadline.
struct send_statement
{
    connection_id id = 0;
    execute_request request;
    time_point deadline;
};

struct close_connection
{
    connection_id id = 0;
};

enum class control_kind : std::uint8_t {
    Status,
    Wait,
    AcceptTerm,
    Lead,
    Follow,
};

inline constexpr std::array<std::string_view, 5> controlKindNames{ "status", "wait", "accept_term",
                                                                   "lead", "follow" };

/// Send a control request to a member; call onControlAnswer() by the deadline.
struct control_call
{
    std::uint64_t number = 0;
    control_kind kind = control_kind::Status;
    member_id member;
    std::string address;
    log_position position; ///< Wait: the position to wait for; other kinds use only its `term`
    duration held{ 0 }; ///< Wait: how long the member may delay its answer
    member_id primary; ///< Follow: the member to replicate from
    std::string primaryAddress;
    time_point sentAt;
    time_point deadline;
};

/// The final answer to a statement.
struct statement_done
{
    std::uint64_t handle = 0;
    statement_answer answer;
};

/// A routing decision to log.
struct route_decided
{
    std::uint64_t handle = 0;
    request_id request;
    workspace_id workspace;
    statement_kind kind = statement_kind::Read;
    route_decision decision;
};

/// Events that are logged individually.
enum class owner_event : std::uint8_t {
    PromotionStarted,
    PrimaryChanged,
    MemberFailed,
    ForeignAnswer,
    ConnectionLimit,
};

inline constexpr std::array<std::string_view, 5> ownerEventNames{
    "promotion_started", "primary_changed", "member_failed", "foreign_answer", "connection_limit",
};

struct owner_notice
{
    owner_event event = owner_event::MemberFailed;
    member_id member;
    term_number term = 0;
    member_failure failure = member_failure::Silence; ///< only for MemberFailed
    std::uint32_t connections = 0; ///< only for ConnectionLimit
};

/// Send this owner's view to the group's owners in other zones.
struct publish_to_owners
{
    published_view view;
};

/// Write the advisory claim `promotion/<group>`. The promotion does not depend on it.
struct claim_promotion
{
    term_number term = 0;
};

using owner_action = std::variant<open_connection, send_statement, close_connection, control_call,
                                  statement_done, route_decided, owner_notice, publish_to_owners,
                                  claim_promotion>;

using owner_actions = std::vector<owner_action>;

} // namespace fuchsiagw::core
