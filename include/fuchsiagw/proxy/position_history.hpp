/// @file
/// @brief Recent log positions of a group's primary, with the times at which they were reached.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <deque>
#include <optional>

namespace fuchsiagw::proxy {

/// The primary's log held at least `position` at `since`, so a log that ends there holds every
/// commit that was acknowledged before `since`.
struct position_sample
{
    core::time_point since{};
    core::log_position position;
};

/// Invariant: samples are ordered by time, and no two are closer than minSampleInterval.
struct position_history
{
    std::deque<position_sample> samples;
};

/// @brief Adds a position that was reported by a member that provably led at @p sample.since.
/// @complexity linear in the number of samples, which is bounded
void addSample(position_history &history, const position_sample &sample);

/// @brief Finds the lowest position that holds every commit acknowledged before @p oldest.
/// @return none if no sample is that recent
/// @complexity linear in the number of samples
[[nodiscard]] std::optional<core::log_position> positionSince(const position_history &history,
                                                              core::time_point oldest);

/// @return the newest sample, if any
[[nodiscard]] std::optional<position_sample> newestSample(const position_history &history);

} // namespace fuchsiagw::proxy
