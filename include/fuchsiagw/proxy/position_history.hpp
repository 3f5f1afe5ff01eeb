/// @file
/// @brief Positions of a group's primary, each with the time at which it was at least reached.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <deque>
#include <optional>

namespace fuchsiagw::proxy {

/// The primary's log held at least `position` at `since`, so it holds every commit that was
/// acknowledged before `since`.
struct position_sample
{
    core::time_point since{};
    core::log_position position;
};

/// Invariant: samples are ordered by time, and no two are closer than sampleSpacing.
struct position_history
{
    std::deque<position_sample> samples;
};

/// @brief Adds what a member that provably led at @p sample.since reported.
/// @complexity linear in the number of samples, which is bounded
void record(position_history &book, const position_sample &sample);

/// @brief Finds the lowest position that holds every commit acknowledged before @p oldest.
/// @return none if no sample is that fresh
/// @complexity linear in the number of samples
[[nodiscard]] std::optional<core::log_position> positionSince(const position_history &book,
                                                              core::time_point oldest);

/// @return the newest sample, if there is one
[[nodiscard]] std::optional<position_sample> newestSample(const position_history &book);

} // namespace fuchsiagw::proxy
