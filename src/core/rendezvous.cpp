/// @file
/// @brief Hash function and ranking of rendezvous hashing.

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsiagw::core {

namespace {

/// Separates the parts of a hash input. Names never contain it, so two different lists of parts
/// never have the same hash input.
constexpr char partSeparator = '\0';

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char each : text)
        hash = (hash ^ static_cast<unsigned char>(each)) * 0x100000001b3ULL;
    // FNV-1a alone yields similar high bits for similar names, which would distribute keys
    // unevenly.
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

double weightedScore(std::uint64_t hash, double weight)
{
    constexpr unsigned mantissaBits = 53;
    const double unit = (static_cast<double>(hash >> (64U - mantissaBits)) + 0.5)
                        / static_cast<double>(std::uint64_t{ 1 } << mantissaBits);
    return -weight / std::log(unit);
}

std::vector<instance_id> rankInstances(std::string_view key,
                                       const std::vector<instance_id> &instances)
{
    std::vector<std::pair<std::uint64_t, instance_id>> weighted;
    weighted.reserve(instances.size());
    for (const instance_id &each : instances) {
        std::string text(key);
        text += partSeparator;
        text += each.value;
        weighted.emplace_back(stableHash(text), each);
    }
    std::sort(weighted.begin(), weighted.end(),
              [](const auto &left, const auto &right) { return right < left; });
    weighted.erase(std::unique(weighted.begin(), weighted.end()), weighted.end());
    std::vector<instance_id> ranked;
    ranked.reserve(weighted.size());
    for (auto &[weight, instance] : weighted)
        ranked.push_back(std::move(instance));
    return ranked;
}

std::string ownerKey(const group_id &group, const zone_name &zone)
{
    return "owner" + std::string(1, partSeparator) + group.value + partSeparator + zone.value;
}

} // namespace fuchsiagw::core
