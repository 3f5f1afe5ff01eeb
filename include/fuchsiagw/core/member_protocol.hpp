/// @file
/// @brief Messages between the proxy and a member of a database group.
///
/// This is the complete interface to upstreams. wire/member_json.hpp holds the JSON encoding and
/// net/ the transport; another transport or a test harness can use the same structs.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/statement.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

enum class member_role : std::uint8_t {
    Replica,
    Primary,
};

inline constexpr std::array<std::string_view, 2> memberRoleNames{ "replica", "primary" };

/// Answer to `GET /status` and `GET /wait`.
struct member_status
{
    member_id member;
    group_id group;
    member_role role = member_role::Replica;
    term_number term = 0; ///< the highest term that the member has accepted
    log_position last; ///< end of its log
    log_position applied; ///< end of the log that is visible to reads
    bool leaving = false;

    friend bool operator==(const member_status &, const member_status &) = default;
};

/// Body of `POST /execute`. None of the caller's headers are forwarded.
struct execute_request
{
    request_id id;
    workspace_id workspace;
    term_number term = 0; ///< the term under which the sender routed the statement
    statement_kind kind = statement_kind::Read;
    std::string statement;
    std::vector<std::string> parameters;
    std::string idempotencyKey;
};

enum class execute_status : std::uint8_t {
    Ok,
    Refused, ///< the statement was not executed
    Failed, ///< the statement was executed and rolled back
};

inline constexpr std::array<std::string_view, 3> executeStatusNames{ "ok", "refused", "failed" };

/// Answer to `POST /execute`.
struct execute_answer
{
    request_id id;
    execute_status status = execute_status::Ok;
    std::string problem;
    std::vector<std::vector<std::string>> rows;
    log_position position; ///< position of the write; zero for reads
    log_position applied; ///< end of the log that was visible to reads of the member at execution
    term_number term = 0; ///< the highest term that the member has accepted
};

/// Answer to `POST /accept_term`.
struct accept_term_answer
{
    bool accepted = false;
    member_status status;
};

} // namespace fuchsiagw::core
