/// @file
/// @brief Read-your-writes state of a session.

#include <fuchsiagw/core/session.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

auto findEntry(const session &state, const group_id &group)
{
    return std::find_if(state.entries.begin(), state.entries.end(),
                        [&group](const session_entry &each) { return each.group == group; });
}

void dropOldest(session &state)
{
    while (state.entries.size() > maxSessionGroups) {
        state.entries.erase(state.entries.begin());
        state.isPartial = true;
    }
}

} // namespace

std::optional<log_position> minPosition(const session &state, const group_id &group)
{
    const auto entry = findEntry(state, group);
    if (entry != state.entries.end())
        return entry->position;
    if (state.isPartial)
        return std::nullopt;
    return log_position{};
}

void recordWrite(session &state, const group_id &group, const log_position &position)
{
    session_entry entry{ group, position };
    const auto known = findEntry(state, group);
    if (known != state.entries.end()) {
        entry.position = std::max(entry.position, known->position);
        state.entries.erase(known);
    }
    state.entries.push_back(std::move(entry));
    dropOldest(state);
}

void merge(session &state, const session &other)
{
    assert(state.workspace == other.workspace);
    session merged;
    merged.workspace = state.workspace;
    merged.isPartial = state.isPartial || other.isPartial;
    const auto add = [&](const group_id &group) {
        const auto left = minPosition(state, group);
        const auto right = minPosition(other, group);
        if (left && right && findEntry(merged, group) == merged.entries.end())
            merged.entries.push_back({ group, std::max(*left, *right) });
    };
    for (const session_entry &each : state.entries)
        add(each.group);
    for (const session_entry &each : other.entries)
        add(each.group);
    dropOldest(merged);
    state = std::move(merged);
}

} // namespace fuchsiagw::core
