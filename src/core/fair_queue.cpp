/// @file
/// @brief Deficit round robin over workspaces and a rotation over the sessions of each.

#include <fuchsiagw/core/fair_queue.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fuchsiagw::core {

namespace {

using lane_map = std::map<workspace_id, workspace_lane>;

lane_rank rankOf(const workspace_id &workspace, const workspace_lane &lane)
{
    return { static_cast<double>(lane.length) / lane.weight, workspace };
}

/// Changes a lane's length and keeps the order by length.
void changeLength(fair_queue &queue, lane_map::iterator entry, std::size_t length)
{
    workspace_lane &lane = entry->second;
    if (lane.length > 0)
        queue.ranks.erase(rankOf(entry->first, lane));
    queue.length = queue.length - lane.length + length;
    lane.length = length;
    if (length > 0)
        queue.ranks.insert(rankOf(entry->first, lane));
}

void dropIfEmpty(fair_queue &queue, lane_map::iterator entry)
{
    if (entry->second.length > 0)
        return;
    std::erase(queue.rotation, entry->first);
    queue.flows.erase(entry);
}

/// Removes the session's entry once it has no statement, wherever it stands in the rotation.
void dropSessionIfEmpty(workspace_lane &lane, std::uint64_t session)
{
    const auto entry = lane.sessions.find(session);
    if (!entry->second.empty())
        return;
    lane.sessions.erase(entry);
    std::erase(lane.sessionOrder, session);
}

queued_statement popNext(workspace_lane &lane)
{
    queued_statement next;
    if (!lane.transactions.empty()) {
        next = std::move(lane.transactions.front());
        lane.transactions.pop_front();
        return next;
    }
    const std::uint64_t session = lane.sessionOrder.front();
    lane.sessionOrder.pop_front();
    const auto entry = lane.sessions.find(session);
    next = std::move(entry->second.front());
    entry->second.pop_front();
    if (entry->second.empty())
        lane.sessions.erase(entry);
    else
        lane.sessionOrder.push_back(session);
    return next;
}

/// Takes the newest statement of the session with the most of them. Statements of an open
/// transaction are taken last, because they hold locks at the upstream.
queued_statement popNewest(workspace_lane &lane)
{
    queued_statement newest;
    if (lane.sessions.empty()) {
        newest = std::move(lane.transactions.back());
        lane.transactions.pop_back();
        return newest;
    }
    const auto longest = std::max_element(lane.sessions.begin(), lane.sessions.end(),
                                          [](const auto &left, const auto &right) {
                                              return left.second.size() < right.second.size();
                                          });
    const std::uint64_t session = longest->first;
    newest = std::move(longest->second.back());
    longest->second.pop_back();
    dropSessionIfEmpty(lane, session);
    return newest;
}

void checkInvariant([[maybe_unused]] const fair_queue &queue)
{
    assert(queue.length <= queue.bound);
    assert(queue.rotation.size() == queue.flows.size());
    assert(queue.ranks.size() == queue.flows.size());
}

} // namespace

enqueue_result enqueue(fair_queue &queue, queued_statement statement, std::uint32_t weight)
{
    assert(weight >= 1);
    enqueue_result result;
    if (queue.length >= queue.bound) {
        const auto own = queue.flows.find(statement.workspace);
        const std::size_t ownLength = own == queue.flows.end() ? 0 : own->second.length;
        const lane_rank arriving{ static_cast<double>(ownLength + 1) / weight,
                                  statement.workspace };
        if (queue.ranks.empty() || arriving.length >= queue.ranks.rbegin()->length)
            return result;
        const auto longest = queue.flows.find(queue.ranks.rbegin()->workspace);
        result.evicted = popNewest(longest->second);
        changeLength(queue, longest, longest->second.length - 1);
        dropIfEmpty(queue, longest);
    }
    const auto [entry, isNew] = queue.flows.try_emplace(statement.workspace);
    workspace_lane &lane = entry->second;
    if (isNew)
        queue.rotation.push_back(statement.workspace);
    else
        queue.ranks.erase(rankOf(entry->first, lane));
    lane.weight = weight;
    if (lane.length > 0)
        queue.ranks.insert(rankOf(entry->first, lane));
    changeLength(queue, entry, lane.length + 1);
    if (statement.inTransaction) {
        lane.transactions.push_back(std::move(statement));
    } else {
        auto &session = lane.sessions[statement.session];
        if (session.empty())
            lane.sessionOrder.push_back(statement.session);
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
    workspace_lane &lane = entry->second;
    if (lane.deficit == 0)
        lane.deficit = lane.weight;
    --lane.deficit;
    queued_statement next = popNext(lane);
    changeLength(queue, entry, lane.length - 1);
    if (lane.length == 0) {
        queue.rotation.pop_front();
        queue.flows.erase(entry);
    } else if (lane.deficit == 0) {
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
    const auto sift = [&](std::deque<queued_statement> &statements) {
        const auto kept = std::stable_partition(
                statements.begin(), statements.end(),
                [&](const queued_statement &each) { return !isUnwanted(each); });
        std::move(kept, statements.end(), std::back_inserter(removed));
        statements.erase(kept, statements.end());
        return statements.size();
    };
    for (auto entry = queue.flows.begin(); entry != queue.flows.end();) {
        const auto current = entry++;
        workspace_lane &lane = current->second;
        std::size_t length = sift(lane.transactions);
        for (auto session = lane.sessions.begin(); session != lane.sessions.end();) {
            const std::uint64_t name = session->first;
            length += sift((session++)->second);
            dropSessionIfEmpty(lane, name);
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
    // While the lane empties, each other lane sends its weight per round.
    const std::size_t rounds = ownLength / weight + 1;
    std::size_t ahead = ownLength;
    for (const auto &[name, lane] : queue.flows)
        if (name != workspace)
            ahead += std::min(lane.length, rounds * lane.weight);
    return ahead;
}

} // namespace fuchsiagw::core
