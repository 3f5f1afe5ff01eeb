/// @file
/// @brief Upper bound on the age of a replica's data.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace fuchsiagw::core {

/// Most samples kept for a group (24 bytes each).
inline constexpr std::size_t maxReadAgeSamples = 256;

/// The primary's log ended at `position` at some time not before `time`.
struct primary_sample
{
    time_point time; ///< when the question to the primary was sent
    log_position position;
};

/// Invariant: samples are ordered by strictly increasing time and number at most maxReadAgeSamples.
struct read_age
{
    std::vector<primary_sample> samples;
    /// A majority has answered questions sent at or after this time under the primary's term.
    /// Until then no later term can have had a primary, so samples up to here are from the only
    /// primary. Later samples are not used yet: a deposed primary may have given them.
    time_point confirmedUntil = time_point::min();
};

/// @brief Adds what the primary said to a question sent at @p askedAt.
///
/// When the samples are full, every second one of the older half is dropped, so that the precision
/// falls with the age. A missing sample can only make an age look greater than it is.
/// @complexity amortized constant
void addSample(read_age &ages, time_point askedAt, log_position position);

/// @brief Records that a majority was under the primary's term when asked at @p askedAt.
/// @complexity constant
void confirmSamples(read_age &ages, time_point askedAt);

/// @brief Drops the samples that were not confirmed before a higher term was seen.
/// @complexity linear in the number of samples
void dropUnconfirmed(read_age &ages);

/// @brief Bounds the age of data that contains the log up to @p applied.
/// @return now minus the time of the newest confirmed sample whose position is not above
/// @p applied; nothing if there is no such sample
/// @complexity linear in the number of samples newer than the one found
[[nodiscard]] std::optional<duration> ageOf(const read_age &ages, log_position applied,
                                            time_point now);

/// How long a read keeps the owner interested in fresh knowledge of replicas.
inline constexpr duration readInterestDuration = std::chrono::seconds(10);

/// The strictest age that recent reads accept. A group without much traffic must be probed
/// accordingly, else its replicas look too old although they are not.
struct read_interest
{
    duration maxAge = duration::zero();
    time_point until = time_point::min();
};

/// @brief Notes a read that replicas may serve.
/// @complexity constant
void recordRead(read_interest &interest, duration maxAge, time_point now);

/// @return the strictest age that recent reads accept; zero if there were none
/// @complexity constant
[[nodiscard]] duration wantedAge(const read_interest &interest, time_point now);

} // namespace fuchsiagw::core
