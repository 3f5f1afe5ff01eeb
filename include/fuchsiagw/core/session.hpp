/// @file
/// @brief What a session must be able to read: its newest acknowledged write in each group.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>

#include <optional>
#include <vector>

namespace fuchsiagw::core {

/// Groups that a session remembers. With names of maxNameLength characters, a token of this many
/// groups has 1,840 characters and fits in a cookie (4,096 bytes).
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
    bool isPartial = false; ///< positions were dropped: a group without an entry is unknown

    friend bool operator==(const session &, const session &) = default;
};

/// @brief Tells how far a member must have applied the log of @p group to serve a read.
/// @return nullopt if the position is unknown: only the primary may serve the read
/// @complexity linear in the number of entries
[[nodiscard]] std::optional<log_position> minPosition(const session &state, const group_id &group);

/// @brief Adds an acknowledged write to the session with which its request came.
///
/// The position of a group that was dropped before is below @p position, because the write was
/// sent after the dropped one had been acknowledged. Beyond maxSessionGroups the least recently
/// written entry is dropped and the session becomes partial, so more reads go to the primary.
/// @complexity linear in the number of entries
void recordWrite(session &state, const group_id &group, const log_position &position);

/// @brief Joins two views of one session; the greater position of each group is kept.
///
/// An unknown position counts as greater than any known one. The result is never weaker than
/// either input.
/// @param state view that is changed
/// @param other view with the same workspace
/// @complexity quadratic in the number of entries
void merge(session &state, const session &other);

} // namespace fuchsiagw::core
