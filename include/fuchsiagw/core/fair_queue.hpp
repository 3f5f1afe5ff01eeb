/// @file
/// @brief The bounded queue in front of a group's connections: fair between workspaces, then
/// between the sessions of a workspace.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fuchsiagw::core {

/// What the queue knows of a waiting statement; the caller keeps the statement under its handle.
struct queued_statement
{
    std::uint64_t handle = 0; ///< unique among the waiting statements
    workspace_id workspace;
    std::uint64_t session = 0; ///< any number that tells the sessions of a workspace apart
    bool inTransaction = false;
    time_point deadline = noDeadline;
};

/// The waiting statements of one workspace.
struct workspace_flow
{
    std::deque<queued_statement> transactions; ///< of open transactions, served first
    std::map<std::uint64_t, std::deque<queued_statement>> sessions;
    std::deque<std::uint64_t> sessionOrder; ///< sessions with statements, next one first
    std::uint32_t weight = 1;
    std::uint32_t deficit = 0; ///< statements that it may still send in this round
    std::size_t length = 0;
};

/// Position of a flow in the order by length relative to weight.
struct flow_rank
{
    double length = 0; ///< statements per unit of weight
    workspace_id workspace;

    friend bool operator==(const flow_rank &, const flow_rank &) = default;
    friend auto operator<=>(const flow_rank &left, const flow_rank &right)
    {
        if (left.length != right.length)
            return left.length < right.length ? std::strong_ordering::less
                                              : std::strong_ordering::greater;
        return left.workspace <=> right.workspace;
    }
};

/// Invariant: length is the sum of the flows' lengths and at most bound; rotation and ranks name
/// exactly the flows; no flow is empty.
struct fair_queue
{
    std::size_t bound = 1024; ///< statements
    std::size_t length = 0;
    std::map<workspace_id, workspace_flow> flows;
    std::deque<workspace_id> rotation; ///< deficit round robin, the flow being served first
    std::set<flow_rank> ranks; ///< the longest flow last
};

struct enqueue_result
{
    bool accepted = false;
    std::optional<queued_statement> evicted; ///< refused in favour of the accepted one
};

/// @brief Adds a statement. A full queue refuses the newest statement of the workspace whose flow
/// is the longest relative to its weight, which may be the one that comes.
/// @param weight of the workspace, at least 1; small numbers keep the rounds short
/// @complexity logarithmic in the flows and in the workspace's sessions; an eviction is linear in
/// the sessions of the longest flow
enqueue_result enqueue(fair_queue &queue, queued_statement statement, std::uint32_t weight);

/// @brief Removes the statement that is next.
/// @complexity logarithmic in the flows and in the workspace's sessions
[[nodiscard]] std::optional<queued_statement> dequeue(fair_queue &queue);

/// @brief Removes every statement that @p isUnwanted, for example because its caller has gone.
/// @complexity linear in the queue
std::vector<queued_statement>
removeIf(fair_queue &queue, const std::function<bool(const queued_statement &)> &isUnwanted);

/// @brief Counts the statements that are served before one more of @p workspace.
/// @complexity linear in the flows
[[nodiscard]] std::size_t statementsAhead(const fair_queue &queue, const workspace_id &workspace,
                                          std::uint32_t weight);

} // namespace fuchsiagw::core
