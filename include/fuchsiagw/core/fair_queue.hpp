/// @file
/// @brief Bounded queue of statements that wait for a connection: fair between workspaces, ordered
/// by priority and deadline inside their shares.
///
/// Statements of open transactions are served first, because they hold locks at the upstream. The
/// others are served in rounds. In each round a workspace has a share of `quantum` statements for
/// each unit of its weight; among the workspaces that have some of their share left, the statement
/// with the highest priority goes first, then the one with the earliest objective. A priority that
/// has been passed over often enough is served once, so that none is starved.

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
    int priority = 0; ///< 0 is the highest
    /// Orders statements of equal priority. Set from the configuration: callers choose `deadline`
    /// themselves, so the order must not depend on it.
    time_point objective = noDeadline;
};

/// The queued statements of one workspace.
struct workspace_flow
{
    std::deque<queued_statement> transactions; ///< statements of open transactions, served first
    std::map<std::uint64_t, std::deque<queued_statement>> sessions;
    std::deque<std::uint64_t> sessionOrder; ///< round robin order of the sessions with statements
    std::uint32_t weight = 1;
    std::uint32_t deficit = 0; ///< statements that may still be served in `round`
    std::uint64_t round = 0; ///< fair_queue::round for which `deficit` was set
    std::map<int, std::size_t> lengthByPriority; ///< of the statements in `sessions`
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
    std::uint32_t quantum = 1; ///< statements of a round for each unit of weight
    std::uint64_t round = 1;
    std::map<workspace_id, workspace_flow> flows;
    std::deque<workspace_id> rotation; ///< round robin order among statements of equal rank
    std::map<int, std::uint32_t> passedOver; ///< grants to other priorities since the last own one
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

/// Decides whether a statement can be served now, for example because its workspace has a
/// connection.
using statement_filter = std::function<bool(const queued_statement &)>;

/// Of this many consecutive grants, at least one goes to each priority that waits.
inline constexpr std::uint32_t grantsPerPriority = 16;

/// @brief Removes and returns the next statement to serve.
/// @param isEligible statements that it rejects are passed over and keep their places; none: all
/// are eligible
/// @complexity linear in the flows and their sessions
[[nodiscard]] std::optional<queued_statement> dequeue(fair_queue &queue,
                                                      const statement_filter &isEligible = {});

/// @brief Removes and returns all statements for which @p isUnwanted returns true, for example
/// because the caller has disconnected.
/// @complexity linear in the queue
std::vector<queued_statement> removeIf(fair_queue &queue, const statement_filter &isUnwanted);

/// @brief Counts the statements that would be served before a new statement of @p workspace.
/// @complexity linear in the flows
[[nodiscard]] std::size_t statementsAhead(const fair_queue &queue, const workspace_id &workspace,
                                          std::uint32_t weight, int priority = 0);

} // namespace fuchsiagw::core
