/// @file
/// @brief Actions of a gateway that its caller must carry out.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/owner_action.hpp>
#include <fuchsiagw/core/session.hpp>
#include <fuchsiagw/core/statement.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace fuchsiagw::core {

/// Carry out an action of the owner of `group`. The action is never a statement_done.
struct group_action
{
    group_id group;
    owner_action action;
};

/// Answer a caller.
struct caller_reply
{
    std::uint64_t ticket = 0;
    workspace_id workspace; ///< empty if the key was not accepted
    group_id group; ///< empty if the request was refused before its group was known
    statement_kind kind = statement_kind::Read;
    statement_answer answer;
    std::optional<session> sessionState; ///< returned to the caller as session token
};

/// Send a statement to the instance that owns the group's connections.
struct forward_statement
{
    instance_id to;
    std::uint64_t handle = 0;
    statement_request request;
};

/// Return the answer to a forwarded statement to the instance that forwarded it.
struct forward_result
{
    instance_id to;
    std::uint64_t ticket = 0;
    group_id group;
    statement_answer answer;
};

/// The peers voted the previous incarnation expired; the process continues with this new one.
struct incarnation_changed
{
    incarnation_id incarnation = 0;
};

using gateway_action = std::variant<group_action, caller_reply, forward_statement, forward_result,
                                    limit_message, limit_platform_call, incarnation_changed>;

using gateway_actions = std::vector<gateway_action>;

} // namespace fuchsiagw::core
