/// @file
/// @brief Set of evacuated zones: changes, and who may still get work.

#include <fuchsiagw/proxy/zone_evacuation.hpp>

#include <algorithm>
#include <chrono>

namespace fuchsiagw::proxy {

namespace {

using std::chrono::milliseconds;

/// The last statement is sent this long before the bound: it may wait at a relay and on the way.
constexpr milliseconds lastWorkMargin{ 1'000 };
/// Time that one replacement of a primary takes, from its start to the first write at the
/// successor.
constexpr milliseconds replacementTime{ 1'500 };
/// Longest pause between the starts of two replacements.
constexpr milliseconds maxReplacementInterval{ 600 };
/// Time in which a restored zone gets its full share of the reads again.
constexpr milliseconds returnDuration{ 5'000 };

} // namespace

evacuation_change applyEvacuations(evacuation_state &state, const std::set<std::string> &zones,
                                   std::uint64_t version, core::duration limit,
                                   core::time_point now)
{
    evacuation_change change;
    if (version <= state.version)
        return change;
    state.version = version;
    for (auto each = state.zones.begin(); each != state.zones.end();) {
        const auto current = each++;
        if (zones.contains(current->first))
            continue;
        change.restored.push_back(current->first);
        state.restored[current->first] = now + returnDuration;
        state.zones.erase(current);
    }
    for (const std::string &zone : zones) {
        if (state.zones.contains(zone))
            continue;
        zone_evacuation evacuation;
        evacuation.learnedAt = now;
        evacuation.primaryWorkUntil =
                now + std::max<core::duration>(limit - lastWorkMargin, core::duration::zero());
        state.zones.emplace(zone, evacuation);
        state.restored.erase(zone);
        state.wasUsed = true;
        change.evacuated.push_back(zone);
    }
    return change;
}

bool isEvacuated(const evacuation_state &state, const std::string &zone)
{
    return !state.zones.empty() && state.zones.contains(zone);
}

bool acceptsPrimaryWork(const evacuation_state &state, const std::string &zone,
                        core::time_point now)
{
    const auto found = state.zones.find(zone);
    return found == state.zones.end() || now < found->second.primaryWorkUntil;
}

bool admitsReturningWork(evacuation_state &state, const std::string &zone,
                         core::random_engine &random, core::time_point now)
{
    const auto found = state.restored.find(zone);
    if (found == state.restored.end())
        return true;
    if (found->second <= now) {
        state.restored.erase(found);
        return true;
    }
    const core::duration left = found->second - now;
    const auto drawn = core::drawBelow(
            random, static_cast<std::uint64_t>(core::duration(returnDuration).count()));
    return drawn >= static_cast<std::uint64_t>(left.count());
}

core::time_point replacementTurn(const zone_evacuation &evacuation, std::size_t index,
                                 std::size_t groups)
{
    const core::duration window =
            evacuation.primaryWorkUntil - evacuation.learnedAt - replacementTime;
    if (groups < 2 || window <= core::duration::zero())
        return evacuation.learnedAt;
    const core::duration interval = std::min<core::duration>(
            window / static_cast<std::int64_t>(groups - 1), maxReplacementInterval);
    return evacuation.learnedAt + interval * static_cast<std::int64_t>(index);
}

} // namespace fuchsiagw::proxy
