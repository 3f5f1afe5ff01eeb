/// @file
/// @brief Recording of latencies and their Prometheus text format.

#include <fuchsiagw/daemon/latency_histograms.hpp>

#include <fmt/format.h>

namespace fuchsiagw::daemon {

void latency_histograms::record(proxy::statement_kind kind, core::duration elapsed)
{
    series &each = series_.at(static_cast<std::size_t>(kind));
    const double seconds = std::chrono::duration<double>(elapsed).count();
    each.bins(std::max(seconds, minSeconds));
    each.sumSeconds += seconds;
}

std::string latency_histograms::text() const
{
    constexpr std::string_view name = "fuchsiagw_statement_seconds";
    std::string result = fmt::format("# TYPE {} histogram\n", name);
    for (std::size_t kind = 0; kind < series_.size(); ++kind) {
        const series &each = series_[kind];
        const std::string_view label = proxy::statementKindNames[kind];
        std::uint64_t cumulative = static_cast<std::uint64_t>(each.bins.at(-1));
        for (int bin = 0; bin < static_cast<int>(binCount); ++bin) {
            cumulative += static_cast<std::uint64_t>(each.bins.at(bin));
            result += fmt::format("{}_bucket{{kind=\"{}\",le=\"{:.6f}\"}} {}\n", name, label,
                                  each.bins.axis().bin(bin).upper(), cumulative);
        }
        cumulative += static_cast<std::uint64_t>(each.bins.at(static_cast<int>(binCount)));
        result += fmt::format("{}_bucket{{kind=\"{}\",le=\"+Inf\"}} {}\n", name, label, cumulative);
        result += fmt::format("{}_sum{{kind=\"{}\"}} {:.6f}\n", name, label, each.sumSeconds);
        result += fmt::format("{}_count{{kind=\"{}\"}} {}\n", name, label, cumulative);
    }
    return result;
}

} // namespace fuchsiagw::daemon
