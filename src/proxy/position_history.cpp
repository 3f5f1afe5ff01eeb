/// @file
/// @brief Bounded list of the primary's positions.

#include <fuchsiagw/proxy/position_history.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

using std::chrono::milliseconds;

/// Closer samples add nothing: reads are placed by bounds of a second and more.
constexpr milliseconds sampleSpacing{ 50 };
/// Longest bound that a route is expected to declare.
constexpr milliseconds sampleLife{ 10'000 };

} // namespace

void record(position_history &book, const position_sample &sample)
{
    auto &samples = book.samples;
    const auto later = std::upper_bound(
            samples.begin(), samples.end(), sample.since,
            [](core::time_point time, const position_sample &each) { return time < each.since; });
    const bool closeToEarlier =
            later != samples.begin() && sample.since - std::prev(later)->since < sampleSpacing;
    // The newest sample is replaced at once, so that an idle service keeps a fresh one.
    if (closeToEarlier && later == samples.end() && samples.size() > 1
        && sample.since - std::prev(later, 2)->since < sampleSpacing) {
        samples.back() = sample;
        return;
    }
    if (closeToEarlier && later != samples.end())
        return;
    samples.insert(later, sample);
    while (samples.size() > 2 && samples.front().since < samples.back().since - sampleLife)
        samples.pop_front();
}

std::optional<core::log_position> positionSince(const position_history &book,
                                                core::time_point oldest)
{
    std::optional<core::log_position> lowest;
    for (const position_sample &each : book.samples) {
        if (each.since >= oldest && (!lowest || each.position < *lowest))
            lowest = each.position;
    }
    return lowest;
}

std::optional<position_sample> newestSample(const position_history &book)
{
    if (book.samples.empty())
        return std::nullopt;
    return book.samples.back();
}

} // namespace fuchsiagw::proxy
