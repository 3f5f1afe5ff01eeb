/// @file
/// @brief Zones whose members get no work, by request of the operator.
///
/// The requests are rows of the platform's store. Each daemon follows them itself and passes what
/// it has read on to the others, because a daemon that does not reach the store would otherwise go
/// on sending work to the members of the zone.

#pragma once

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

struct zone_evacuation
{
    core::time_point learnedAt{};
    /// Statements that only the primary in this zone can run, and open transactions, may still be
    /// sent until then.
    core::time_point primaryWorkUntil{};
    std::uint64_t statements = 0; ///< sent to members of the zone since learnedAt
    core::time_point lastStatementAt{}; ///< valid if statements > 0
};

/// Invariant: a zone is in at most one of `zones` and `restored`.
struct evacuation_state
{
    std::uint64_t version = 0; ///< of the store, as of which `zones` was complete; 0: never read
    std::map<std::string, zone_evacuation> zones;
    /// Zones whose evacuation has ended lately, with the time from which they get all of their
    /// work.
    std::map<std::string, core::time_point> restored;
    bool wasUsed = false; ///< a zone has been evacuated in the lifetime of this process
};

/// Difference between two sets of evacuated zones.
struct evacuation_change
{
    std::vector<std::string> evacuated;
    std::vector<std::string> restored;
};

/// @brief Replaces the set of evacuated zones if @p version is newer than the one in force.
/// @param limit time from the request within which the members must stop getting work
[[nodiscard]] evacuation_change applyEvacuations(evacuation_state &state,
                                                 const std::set<std::string> &zones,
                                                 std::uint64_t version, core::duration limit,
                                                 core::time_point now);

[[nodiscard]] bool isEvacuated(const evacuation_state &state, const std::string &zone);

/// @return whether a member of the zone may get statements that only a primary there can run, and
/// statements of transactions that are open there
[[nodiscard]] bool acceptsPrimaryWork(const evacuation_state &state, const std::string &zone,
                                      core::time_point now);

/// @brief Decides whether a read may choose a member of a zone whose evacuation has ended lately.
/// The share of reads that may do so grows evenly, because the members' caches are cold.
[[nodiscard]] bool admitsReturningWork(evacuation_state &state, const std::string &zone,
                                       core::random_engine &random, core::time_point now);

/// @return when a group may start to replace its primary in an evacuated zone. Groups start one
/// after the other, so that not all of them refuse writes at the same time.
/// @param index number of this group among the groups with a primary in the zone
/// @param groups number of these groups
[[nodiscard]] core::time_point replacementTurn(const zone_evacuation &evacuation, std::size_t index,
                                               std::size_t groups);

} // namespace fuchsiagw::proxy
