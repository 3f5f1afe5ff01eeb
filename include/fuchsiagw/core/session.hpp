/// @file
/// @brief Read-your-writes state of a session: its newest acknowledged write in each group.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>

#include <optional>
#include <vector>

namespace fuchsiagw::core {

/// Maximum number of groups in a session. With names of maxNameLength characters, a token with this
/// many groups has 1,840 characters and fits in a cookie (4,096 bytes).
inline constexpr std::size_t maxSessionGroups = 16;

struct session_entry
{
    group_id group;
    log_position position; ///< newest acknowledged write

    friend bool operator==(const session_entry &, const session_entry &) = default;
};

/// Invariant: at most maxSessionGroups entries, each group at most once.
struct session
{
    workspace_id workspace;
    std::vector<session_entry> entries; ///< least recently written first
    bool isPartial = false; ///< entries were dropped, so groups without entry are unknown

    friend bool operator==(const session &, const session &) = default;
};

/// @brief Determines the log position of @p group that a member must have applied to serve a read.
/// @return nullopt if the position is unknown, so that only the primary may serve the read
/// @complexity linear in the number of entries
[[nodiscard]] std::optional<log_position> minPosition(const session &state, const group_id &group);

/// @brief Adds an acknowledged write to the session that the write's request carried.
///
/// If the group's entry was dropped before, its position was below @p position, because this write
/// was sent after the dropped one had been acknowledged. Beyond maxSessionGroups the least recently
/// written entry is dropped and the session becomes partial, so that more reads go to the primary.
/// @complexity linear in the number of entries
void recordWrite(session &state, const group_id &group, const log_position &position);

/// @brief Merges two states of one session. The greater position of each group is kept.
///
/// An unknown position counts as greater than any known one. Hence a read under the result sees
/// every write that it would see under either input.
/// @param state session that is changed
/// @param other session of the same workspace
/// @complexity quadratic in the number of entries
void merge(session &state, const session &other);

} // namespace fuchsiagw::core
