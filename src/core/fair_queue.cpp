/// @file
/// @brief Deficit round robin over workspaces and round robin over the sessions of each.

#include <fuchsiagw/core/fair_queue.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsiagw::core {

namespace {

using flow_map = std::map<workspace_id, workspace_flow>;

flow_rank rankOf(const workspace_id &workspace, const workspace_flow &flow)
{
    return { static_cast<double>(flow.length) / flow.weight, workspace };
}

/// Changes a flow's length and updates the totals and the order by length.
void changeLength(fair_queue &queue, flow_map::iterator entry, std::size_t length)
{
    workspace_flow &flow = entry->second;
    if (flow.length > 0)
        queue.ranks.erase(rankOf(entry->first, flow));
    queue.length = queue.length - flow.length + length;
    flow.length = length;
    if (length > 0)
        queue.ranks.insert(rankOf(entry->first, flow));
}

void dropIfEmpty(fair_queue &queue, flow_map::iterator entry)
{
    if (entry->second.length > 0)
        return;
    std::erase(queue.rotation, entry->first);
    queue.flows.erase(entry);
}

/// Removes the session from the flow if it has no statements left.
void dropSessionIfEmpty(workspace_flow &flow, std::uint64_t session)
{
    const auto entry = flow.sessions.find(session);
    if (!entry->second.empty())
        return;
    flow.sessions.erase(entry);
    std::erase(flow.sessionOrder, session);
}

queued_statement popNext(workspace_flow &flow)
{
    queued_statement next;
    if (!flow.transactions.empty()) {
        next = std::move(flow.transactions.front());
        flow.transactions.pop_front();
        return next;
    }
    const std::uint64_t session = flow.sessionOrder.front();
    flow.sessionOrder.pop_front();
    const auto entry = flow.sessions.find(session);
    next = std::move(entry->second.front());
    entry->second.pop_front();
    if (entry->second.empty())
        flow.sessions.erase(entry);
    else
        flow.sessionOrder.push_back(session);
    return next;
}

/// Removes the newest statement of the session with the most statements. Statements of open
/// transactions are removed only if there are no others, because their transactions hold locks at
/// the upstream.
queued_statement popNewest(workspace_flow &flow)
{
    queued_statement newest;
    if (flow.sessions.empty()) {
        newest = std::move(flow.transactions.back());
        flow.transactions.pop_back();
        return newest;
    }
    const auto longest = std::max_element(flow.sessions.begin(), flow.sessions.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.second.size() < right.second.size();
                                          });
    const std::uint64_t session = longest->first;
    newest = std::move(longest->second.back());
    longest->second.pop_back();
    dropSessionIfEmpty(flow, session);
    return newest;
}

void checkInvariant([[maybe_unused]] const fair_queue &queue)
{
    assert(queue.length <= queue.capacity);
    assert(queue.rotation.size() == queue.flows.size());
    assert(queue.ranks.size() == queue.flows.size());
}

} // namespace

enqueue_result enqueue(fair_queue &queue, queued_statement statement, std::uint32_t weight)
{
    assert(weight >= 1);
    enqueue_result result;
    if (queue.length >= queue.capacity) {
        const auto own = queue.flows.find(statement.workspace);
        const std::size_t ownLength = own == queue.flows.end() ? 0 : own->second.length;
        const flow_rank arriving{ static_cast<double>(ownLength + 1) / weight,
                                  statement.workspace };
        if (queue.ranks.empty() || arriving.length >= queue.ranks.rbegin()->length)
            return result;
        const auto longest = queue.flows.find(queue.ranks.rbegin()->workspace);
        result.evicted = popNewest(longest->second);
        changeLength(queue, longest, longest->second.length - 1);
        dropIfEmpty(queue, longest);
    }
    const auto [entry, isNew] = queue.flows.try_emplace(statement.workspace);
    workspace_flow &flow = entry->second;
    if (isNew)
        queue.rotation.push_back(statement.workspace);
    else
        queue.ranks.erase(rankOf(entry->first, flow));
    flow.weight = weight;
    if (flow.length > 0)
        queue.ranks.insert(rankOf(entry->first, flow));
    changeLength(queue, entry, flow.length + 1);
    if (statement.inTransaction) {
        flow.transactions.push_back(std::move(statement));
    } else {
        auto &session = flow.sessions[statement.session];
        if (session.empty())
            flow.sessionOrder.push_back(statement.session);
        session.push_back(std::move(statement));
    }
    result.accepted = true;
    checkInvariant(queue);
    return result;
}

std::optional<queued_statement> dequeue(fair_queue &queue)
{
    if (queue.length == 0)
        return std::nullopt;
    const auto entry = queue.flows.find(queue.rotation.front());
    workspace_flow &flow = entry->second;
    if (flow.deficit == 0)
        flow.deficit = flow.weight;
    --flow.deficit;
    queued_statement next = popNext(flow);
    changeLength(queue, entry, flow.length - 1);
    if (flow.length == 0) {
        queue.rotation.pop_front();
        queue.flows.erase(entry);
    } else if (flow.deficit == 0) {
        queue.rotation.push_back(std::move(queue.rotation.front()));
        queue.rotation.pop_front();
    }
    checkInvariant(queue);
    return next;
}

std::vector<queued_statement>
removeIf(fair_queue &queue, const std::function<bool(const queued_statement &)> &isUnwanted)
{
    std::vector<queued_statement> removed;
    const auto extractUnwanted = [&](std::deque<queued_statement> &statements) {
        const auto kept = std::stable_partition(
                statements.begin(), statements.end(),
                [&](const queued_statement &each) { return !isUnwanted(each); });
        std::move(kept, statements.end(), std::back_inserter(removed));
        statements.erase(kept, statements.end());
        return statements.size();
    };
    for (auto entry = queue.flows.begin(); entry != queue.flows.end();) {
        const auto current = entry++;
        workspace_flow &flow = current->second;
        std::size_t length = extractUnwanted(flow.transactions);
        for (auto session = flow.sessions.begin(); session != flow.sessions.end();) {
            const std::uint64_t name = session->first;
            length += extractUnwanted((session++)->second);
            dropSessionIfEmpty(flow, name);
        }
        changeLength(queue, current, length);
        dropIfEmpty(queue, current);
    }
    checkInvariant(queue);
    return removed;
}

std::size_t statementsAhead(const fair_queue &queue, const workspace_id &workspace,
                            std::uint32_t weight)
{
    const auto own = queue.flows.find(workspace);
    const std::size_t ownLength = own == queue.flows.end() ? 0 : own->second.length;
    // In each round until the new statement is served, every other flow is served up to its weight.
    const std::size_t rounds = ownLength / weight + 1;
    std::size_t ahead = ownLength;
    for (const auto &[name, flow] : queue.flows)
        if (name != workspace)
            ahead += std::min(flow.length, rounds * flow.weight);
    return ahead;
}

} // namespace fuchsiagw::core
