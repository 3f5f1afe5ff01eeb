/// @file
/// @brief Upper bound on the age of a replica's data.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace fuchsiagw::core {

/// Maximum number of samples for a group. A sample has 24 bytes.
inline constexpr std::size_t maxReadAgeSamples = 256;

/// States that the primary's log ended at `position` at some time not before `askedAt`.
struct primary_sample
{
    time_point askedAt; ///< when the request to the primary was sent
    log_position position;
};

/// Samples of the end of the primary's log, from which the age of a replica's data is bounded.
/// Invariant: the samples are ordered by strictly increasing time, and there are at most
/// maxReadAgeSamples.
struct read_age
{
    std::vector<primary_sample> samples;
    /// A majority has answered requests sent at or after this time under the primary's term. Hence
    /// no later term had a primary before this time, and all samples up to it are from the only
    /// primary. Later samples are not used yet, because they may be from a deposed primary.
    time_point confirmedUntil = time_point::min();
};

/// @brief Adds the position that the primary reported to a request sent at @p askedAt.
///
/// If the maximum number of samples is reached, every second sample of the older half is dropped,
/// so that the precision decreases with age. A missing sample can only increase a computed age.
/// @complexity amortized constant
void addSample(read_age &ages, time_point askedAt, log_position position);

/// @brief Records that a majority answered requests sent at or after @p askedAt under the primary's
/// term.
/// @complexity constant
void confirmSamples(read_age &ages, time_point askedAt);

/// @brief Drops the unconfirmed samples. Must be called when a higher term is observed.
/// @complexity linear in the number of samples
void dropUnconfirmed(read_age &ages);

/// @brief Computes an upper bound on the age of data that contains the log up to @p applied.
/// @return @p now minus the time of the newest confirmed sample whose position is at most
/// @p applied; nullopt if there is no such sample
/// @complexity linear in the number of samples newer than the one found
[[nodiscard]] std::optional<duration> ageOf(const read_age &ages, log_position applied,
                                            time_point now);

/// How long a read raises the rate at which the owner probes the replicas.
inline constexpr duration readInterestDuration = std::chrono::seconds(10);

/// The smallest age limit of recent reads. A group with little traffic must be probed often enough
/// for this limit, otherwise its replicas are considered too old although they are not.
struct read_interest
{
    duration maxAge = duration::zero();
    time_point until = time_point::min();
};

/// @brief Records a read that replicas may serve.
/// @complexity constant
void recordRead(read_interest &interest, duration maxAge, time_point now);

/// @return the smallest age limit of recent reads; zero if there were none
/// @complexity constant
[[nodiscard]] duration wantedAge(const read_interest &interest, time_point now);

} // namespace fuchsiagw::core
