/// @file
/// @brief Recording of times and their text form.

#include <fuchsiagw/daemon/latency_histograms.hpp>

#include <fmt/format.h>

namespace fuchsiagw::daemon {

void latency_histograms::record(proxy::statement_kind kind, core::duration lapse)
{
    series &each = series_.at(static_cast<std::size_t>(kind));
    const double seconds = std::chrono::duration<double>(lapse).count();
    each.bins(std::max(seconds, leastSeconds));
    each.sum += seconds;
}

std::string latency_histograms::text() const
{
    constexpr std::string_view name = "fuchsiagw_statement_seconds";
    std::string result = fmt::format("# TYPE {} histogram\n", name);
    for (std::size_t kind = 0; kind < series_.size(); ++kind) {
        const series &each = series_[kind];
        const std::string_view label = proxy::statementKindNames[kind];
        std::uint64_t sum = static_cast<std::uint64_t>(each.bins.at(-1));
        for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
            sum += static_cast<std::uint64_t>(each.bins.at(bin));
            result += fmt::format("{}_bucket{{kind=\"{}\",le=\"{:.6f}\"}} {}\n", name, label,
                                  each.bins.axis().bin(bin).upper(), sum);
        }
        sum += static_cast<std::uint64_t>(each.bins.at(static_cast<int>(binCount)));
        result += fmt::format("{}_bucket{{kind=\"{}\",le=\"+Inf\"}} {}\n", name, label, sum);
        result += fmt::format("{}_sum{{kind=\"{}\"}} {:.6f}\n", name, label, each.sum);
        result += fmt::format("{}_count{{kind=\"{}\"}} {}\n", name, label, sum);
    }
    return result;
}

} // namespace fuchsiagw::daemon
