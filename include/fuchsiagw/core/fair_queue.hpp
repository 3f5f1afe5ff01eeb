/// @file
/// @brief Bounded fair queue of the statements of a group: deficit round robin between workspaces,
/// round robin between the sessions of a workspace.

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

/// Queue entry of a statement. The caller stores the statement itself under the handle.
struct queued_statement
{
    std::uint64_t handle = 0; ///< unique among the queued statements
    workspace_id workspace;
    std::uint64_t session = 0; ///< identifies the session within its workspace
    bool inTransaction = false;
    time_point deadline = noDeadline;
};

/// The queued statements of one workspace.
struct workspace_flow
{
    std::deque<queued_statement> transactions; ///< statements of open transactions, served first
    std::map<std::uint64_t, std::deque<queued_statement>> sessions;
    std::deque<std::uint64_t> sessionOrder; ///< round robin order of the sessions with statements
    std::uint32_t weight = 1;
    std::uint32_t deficit = 0; ///< statements that may still be served in this round
    std::size_t length = 0;
};

/// Sort key of a flow: its length relative to its weight.
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

/// Invariant: `length` is the sum of the flows' lengths and at most `capacity`; `rotation` and
/// `ranks` each contain every flow once; no flow is empty.
struct fair_queue
{
    std::size_t capacity = 1024; ///< maximum number of statements
    std::size_t length = 0;
    std::map<workspace_id, workspace_flow> flows;
    std::deque<workspace_id> rotation; ///< round robin order; the flow being served is the first
    std::set<flow_rank> ranks; ///< the longest flow relative to its weight is the last
};

struct enqueue_result
{
    bool accepted = false;
    std::optional<queued_statement> evicted; ///< removed to make room for the accepted statement
};

/// @brief Adds a statement. If the queue is full, the longest flow relative to its weight loses the
/// newest statement of its longest session; statements of open transactions are evicted only if the
/// flow has no others. The new statement is refused instead if it would make its own flow at least
/// as long.
/// @param weight weight of the workspace, at least 1; small weights keep the rounds short
/// @complexity logarithmic in the flows and in the workspace's sessions; an eviction is linear in
/// the flows and in the sessions of the longest flow
enqueue_result enqueue(fair_queue &queue, queued_statement statement, std::uint32_t weight);

/// @brief Removes and returns the next statement to serve.
/// @complexity logarithmic in the flows and in the workspace's sessions
[[nodiscard]] std::optional<queued_statement> dequeue(fair_queue &queue);

/// @brief Removes and returns all statements for which @p isUnwanted returns true, for example
/// because the caller has disconnected.
/// @complexity linear in the queue
std::vector<queued_statement>
removeIf(fair_queue &queue, const std::function<bool(const queued_statement &)> &isUnwanted);

/// @brief Counts the statements that would be served before a new statement of @p workspace.
/// @complexity linear in the flows
[[nodiscard]] std::size_t statementsAhead(const fair_queue &queue, const workspace_id &workspace,
                                          std::uint32_t weight);

} // namespace fuchsiagw::core
