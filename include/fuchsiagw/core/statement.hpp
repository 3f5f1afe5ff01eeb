/// @file
/// @brief A caller's parsed statement, and its answer.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::core {

enum class statement_kind : std::uint8_t {
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
};

inline constexpr std::array<std::string_view, 5> statementKindNames{ "read", "write", "begin",
                                                                     "commit", "rollback" };

[[nodiscard]] constexpr std::string_view toString(statement_kind kind)
{
    return statementKindNames.at(static_cast<std::size_t>(kind));
}

/// Identifies a transaction and the instance that owns its connection.
struct transaction_id
{
    incarnation_id owner = 0;
    std::uint64_t number = 0;

    friend bool operator==(const transaction_id &, const transaction_id &) = default;
    friend auto operator<=>(const transaction_id &, const transaction_id &) = default;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(owner, number);
    }
};

/// Invariant: the workspace is determined by the caller's key and by nothing else.
struct statement_request
{
    request_id id;
    workspace_id workspace;
    group_id group;
    statement_kind kind = statement_kind::Read;
    std::string text; ///< not interpreted by the proxy
    std::vector<std::string> parameters;
    std::string readClass; ///< empty: only the primary may serve the read
    std::string idempotencyKey; ///< empty: the request must run at most once
    std::optional<transaction_id> transaction;
    log_position minPosition; ///< the session's newest acknowledged write in this group
    bool isSessionUnusable = false; ///< the request's session token can't be used, so only the
                                    ///< primary may serve a read
    time_point deadline = noDeadline;
};

/// Invariant: `error` is empty if and only if the statement succeeded.
struct statement_answer
{
    request_id id;
    std::optional<error_kind> error;
    std::string problem; ///< description of the error for people; empty on success
    std::vector<std::vector<std::string>> rows;
    log_position position; ///< position of the write; zero for reads
    log_position applied; ///< newest position that the member had applied at execution
    member_id member;
    bool fromReplica = false;
    std::optional<transaction_id> transaction;
};

} // namespace fuchsiagw::core
