/// @file
/// @brief Rounds over workspaces; priority, deadline and round robin over sessions inside a round.

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

void countRemoved(workspace_flow &flow, int priority)
{
    const auto entry = flow.lengthByPriority.find(priority);
    if (--entry->second == 0)
        flow.lengthByPriority.erase(entry);
}

bool goesBefore(const queued_statement &left, const queued_statement &right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return left.objective < right.objective;
}

/// A statement that can be served next.
struct candidate
{
    flow_map::iterator flow;
    std::uint64_t session = 0;
    const queued_statement *statement = nullptr;
};

/// Finds the best eligible statement of a flow, outside of open transactions; sessions that were
/// served longest ago go first among equals.
/// @param priority only statements of this priority count; none: all
candidate findBest(flow_map::iterator entry, const statement_filter &isEligible,
                   std::optional<int> priority)
{
    candidate best{ entry };
    for (const std::uint64_t session : entry->second.sessionOrder) {
        const queued_statement &head = entry->second.sessions.at(session).front();
        if ((priority && head.priority != *priority) || (isEligible && !isEligible(head)))
            continue;
        if (best.statement == nullptr || goesBefore(head, *best.statement)) {
            best.session = session;
            best.statement = &head;
        }
    }
    return best;
}

/// @param onlyWithinShare leaves out flows that have used their share of the round
candidate findBest(fair_queue &queue, const statement_filter &isEligible,
                   std::optional<int> priority, bool onlyWithinShare)
{
    candidate best{ queue.flows.end() };
    for (const workspace_id &workspace : queue.rotation) {
        const auto entry = queue.flows.find(workspace);
        workspace_flow &flow = entry->second;
        if (flow.round != queue.round) {
            flow.round = queue.round;
            flow.deficit = flow.weight * queue.quantum;
        }
        if (onlyWithinShare && flow.deficit == 0)
            continue;
        const candidate next = findBest(entry, isEligible, priority);
        if (next.statement == nullptr)
            continue;
        if (best.statement == nullptr || goesBefore(*next.statement, *best.statement))
            best = next;
    }
    return best;
}

/// Finds a priority that was passed over for a whole period, the lowest one first.
std::optional<int> findStarved(const fair_queue &queue)
{
    for (auto each = queue.passedOver.rbegin(); each != queue.passedOver.rend(); ++each) {
        if (each->second + 1 >= grantsPerPriority)
            return each->first;
    }
    return std::nullopt;
}

/// Updates the counts of the priorities that wait after a grant to one of them.
void countGrant(fair_queue &queue, int granted)
{
    std::map<int, std::uint32_t> waiting;
    for (const auto &[workspace, flow] : queue.flows) {
        for (const auto &[priority, length] : flow.lengthByPriority)
            waiting[priority] = 0;
    }
    for (auto &[priority, count] : waiting) {
        const auto known = queue.passedOver.find(priority);
        if (priority != granted)
            count = (known == queue.passedOver.end() ? 0 : known->second) + 1;
    }
    queue.passedOver = std::move(waiting);
}

/// Removes a statement from its session, which goes to the end of the session order.
queued_statement popSession(workspace_flow &flow, std::uint64_t session)
{
    const auto entry = flow.sessions.find(session);
    queued_statement next = std::move(entry->second.front());
    entry->second.pop_front();
    std::erase(flow.sessionOrder, session);
    if (entry->second.empty())
        flow.sessions.erase(entry);
    else
        flow.sessionOrder.push_back(session);
    countRemoved(flow, next.priority);
    return next;
}

/// Removes the first eligible statement of an open transaction.
std::optional<queued_statement> takeTransaction(fair_queue &queue,
                                                const statement_filter &isEligible)
{
    for (const workspace_id &workspace : queue.rotation) {
        const auto entry = queue.flows.find(workspace);
        auto &statements = entry->second.transactions;
        const auto found =
                std::find_if(statements.begin(), statements.end(),
                             [&](const auto &each) { return !isEligible || isEligible(each); });
        if (found == statements.end())
            continue;
        queued_statement next = std::move(*found);
        statements.erase(found);
        changeLength(queue, entry, entry->second.length - 1);
        dropIfEmpty(queue, entry);
        return next;
    }
    return std::nullopt;
}

/// @return the eligible statement whose workspace was served longest ago
candidate findFirstInRotation(fair_queue &queue, const statement_filter &isEligible)
{
    for (const workspace_id &workspace : queue.rotation) {
        const candidate next = findBest(queue.flows.find(workspace), isEligible, std::nullopt);
        if (next.statement != nullptr)
            return next;
    }
    return { queue.flows.end() };
}

/// Chooses the next statement that starts an operation: that of the workspace whose turn it is,
/// unless a workspace with some of its share left has one that goes before it.
candidate chooseNext(fair_queue &queue, const statement_filter &isEligible)
{
    if (const auto starved = findStarved(queue)) {
        const candidate next = findBest(queue, isEligible, starved, false);
        if (next.statement != nullptr)
            return next;
    }
    const candidate turn = findFirstInRotation(queue, isEligible);
    if (turn.statement == nullptr)
        return turn;
    candidate best = findBest(queue, isEligible, std::nullopt, true);
    if (best.statement == nullptr) {
        ++queue.round;
        best = findBest(queue, isEligible, std::nullopt, true);
    }
    return goesBefore(*best.statement, *turn.statement) ? best : turn;
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
    countRemoved(flow, newest.priority);
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
        ++flow.lengthByPriority[statement.priority];
        session.push_back(std::move(statement));
    }
    result.accepted = true;
    checkInvariant(queue);
    return result;
}

std::optional<queued_statement> dequeue(fair_queue &queue, const statement_filter &isEligible)
{
    if (queue.length == 0)
        return std::nullopt;
    if (auto next = takeTransaction(queue, isEligible))
        return next;
    const candidate chosen = chooseNext(queue, isEligible);
    if (chosen.statement == nullptr)
        return std::nullopt;
    workspace_flow &flow = chosen.flow->second;
    queued_statement next = popSession(flow, chosen.session);
    if (flow.deficit == 0)
        flow.deficit = flow.weight * queue.quantum;
    --flow.deficit;
    changeLength(queue, chosen.flow, flow.length - 1);
    if (flow.length > 0 && flow.deficit == 0) {
        std::erase(queue.rotation, chosen.flow->first);
        queue.rotation.push_back(chosen.flow->first);
    }
    dropIfEmpty(queue, chosen.flow);
    countGrant(queue, next.priority);
    checkInvariant(queue);
    return next;
}

std::vector<queued_statement> removeIf(fair_queue &queue, const statement_filter &isUnwanted)
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
            const std::size_t before = removed.size();
            length += extractUnwanted((session++)->second);
            for (std::size_t i = before; i < removed.size(); ++i)
                countRemoved(flow, removed[i].priority);
            dropSessionIfEmpty(flow, name);
        }
        changeLength(queue, current, length);
        dropIfEmpty(queue, current);
    }
    checkInvariant(queue);
    return removed;
}

std::size_t statementsAhead(const fair_queue &queue, const workspace_id &workspace,
                            std::uint32_t weight, int priority)
{
    const auto lengthAhead = [priority](const workspace_flow &flow) {
        std::size_t ahead = flow.transactions.size();
        for (const auto &[each, length] : flow.lengthByPriority)
            ahead += each <= priority ? length : 0;
        return ahead;
    };
    const auto own = queue.flows.find(workspace);
    const std::size_t ownLength = own == queue.flows.end() ? 0 : lengthAhead(own->second);
    // In each round until the new statement is served, every other flow is served up to its share.
    const std::size_t rounds = ownLength / (weight * queue.quantum) + 1;
    std::size_t ahead = ownLength;
    for (const auto &[name, flow] : queue.flows)
        if (name != workspace)
            ahead += std::min(lengthAhead(flow), rounds * flow.weight * queue.quantum);
    return ahead;
}

} // namespace fuchsiagw::core
