/// @file
/// @brief Statement latencies by kind of statement.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/caller_statement.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <string>

namespace fuchsiagw::daemon {

/// Logarithmic bins from 0.1 ms to 10 s.
class latency_histograms
{
public:
    void record(proxy::statement_kind kind, core::duration elapsed);
    /// @return the series in the Prometheus text format
    [[nodiscard]] std::string text() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned binCount = 25;
    static constexpr double minSeconds = 1e-4;
    static constexpr double maxSeconds = 10;
    using histogram = decltype(boost::histogram::make_histogram(axis(1, 1, 2)));

    struct series
    {
        histogram bins = boost::histogram::make_histogram(axis(binCount, minSeconds, maxSeconds));
        double sumSeconds = 0;
    };
    std::array<series, proxy::statementKindNames.size()> series_;
};

} // namespace fuchsiagw::daemon
