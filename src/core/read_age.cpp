/// @file
/// @brief Upper bound on the age of a replica's data.

#include <fuchsiagw/core/read_age.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

void decimateOlderHalf(std::vector<primary_sample> &samples)
{
    const std::size_t half = samples.size() / 2;
    std::size_t kept = 0;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        if (i >= half || i % 2 == 0)
            samples[kept++] = samples[i];
    }
    samples.resize(kept);
}

} // namespace

void addSample(read_age &ages, time_point askedAt, log_position position)
{
    if (!ages.samples.empty() && askedAt <= ages.samples.back().askedAt)
        return; // an answer out of order adds no information
    if (ages.samples.size() == maxReadAgeSamples)
        decimateOlderHalf(ages.samples);
    ages.samples.push_back({ askedAt, position });
    assert(ages.samples.size() <= maxReadAgeSamples);
}

void confirmSamples(read_age &ages, time_point askedAt)
{
    ages.confirmedUntil = std::max(ages.confirmedUntil, askedAt);
}

void dropUnconfirmed(read_age &ages)
{
    std::erase_if(ages.samples, [&ages](const primary_sample &each) {
        return each.askedAt > ages.confirmedUntil;
    });
}

std::optional<duration> ageOf(const read_age &ages, log_position applied, time_point now)
{
    const auto found = std::find_if(
            ages.samples.rbegin(), ages.samples.rend(), [&](const primary_sample &each) {
                return each.askedAt <= ages.confirmedUntil && each.position <= applied;
            });
    if (found == ages.samples.rend())
        return std::nullopt;
    return now - found->askedAt;
}

void recordRead(read_interest &interest, duration maxAge, time_point now)
{
    if (now < interest.until && maxAge > interest.maxAge)
        return;
    interest.maxAge = maxAge;
    interest.until = now + readInterestDuration;
}

duration wantedAge(const read_interest &interest, time_point now)
{
    return now < interest.until ? interest.maxAge : duration::zero();
}

} // namespace fuchsiagw::core
