/// @file
/// @brief Bounded history of the primary's log positions.

#include <fuchsiagw/proxy/position_history.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

using std::chrono::milliseconds;

/// Closer samples are not needed, because staleness bounds of reads are one second or more.
constexpr milliseconds minSampleInterval{ 50 };
/// Longest staleness bound that a route is expected to declare.
constexpr milliseconds sampleRetention{ 10'000 };

} // namespace

void addSample(position_history &history, const position_sample &sample)
{
    auto &samples = history.samples;
    const auto later = std::upper_bound(
            samples.begin(), samples.end(), sample.since,
            [](core::time_point time, const position_sample &each) { return time < each.since; });
    const bool closeToEarlier =
            later != samples.begin() && sample.since - std::prev(later)->since < minSampleInterval;
    // The newest sample is replaced immediately, so that an idle service keeps a recent one.
    if (closeToEarlier && later == samples.end() && samples.size() > 1
        && sample.since - std::prev(later, 2)->since < minSampleInterval) {
        samples.back() = sample;
        return;
    }
    if (closeToEarlier && later != samples.end())
        return;
    samples.insert(later, sample);
    while (samples.size() > 2 && samples.front().since < samples.back().since - sampleRetention)
        samples.pop_front();
}

std::optional<core::log_position> positionSince(const position_history &history,
                                                core::time_point oldest)
{
    std::optional<core::log_position> lowest;
    for (const position_sample &each : history.samples) {
        if (each.since >= oldest && (!lowest || each.position < *lowest))
            lowest = each.position;
    }
    return lowest;
}

std::optional<position_sample> newestSample(const position_history &history)
{
    if (history.samples.empty())
        return std::nullopt;
    return history.samples.back();
}

} // namespace fuchsiagw::proxy
