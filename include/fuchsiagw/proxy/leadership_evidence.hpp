/// @file
/// @brief Evidence that no member has acknowledged commits of a later term than the assumed
/// leader's.
///
/// A primary that was replaced may go on serving until it learns of its successor. It can't prove
/// by itself that it still leads. The replicas can: a commit is acknowledged only after the leader
/// of its term and a second member have received it. If all but one of the other members have
/// received nothing of a later term, then no commit of a later term was acknowledged before they
/// were asked.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace fuchsiagw::proxy {

/// What a replica reported about its log.
struct replica_report
{
    core::time_point askedAt{}; ///< the report describes the log at this time or later
    core::log_position received; ///< newest position in the replica's log, applied or not
};

struct leadership_evidence
{
    std::map<std::string, replica_report> reports; ///< latest report by replica
    core::time_point askedAt{}; ///< when the replicas were last asked
    std::deque<core::time_point> questions; ///< times of the latest questions, oldest first
    core::time_point nextAskAt = core::noDeadline; ///< next question while requests wait for it
    std::size_t repeatedAsks = 0; ///< since the latest answer; selects other replicas and relays
};

/// @brief Records that the replicas are asked now.
void addQuestion(leadership_evidence &evidence, core::time_point now);

/// @return whether this daemon asked at that time; other answers are forged or too old
[[nodiscard]] bool hasAsked(const leadership_evidence &evidence, core::time_point askedAt);

/// @return number of replicas whose reports are required
/// @param others members of the group besides the assumed leader
[[nodiscard]] std::size_t requiredReports(std::size_t others);

/// @brief Records a report; one that is older than the replica's latest is ignored.
void addReport(leadership_evidence &evidence, const std::string &replica,
               const replica_report &report);

/// @param term newest term in the assumed leader's log
/// @param others members of the group besides the assumed leader
/// @return latest time before which no commit of a later term was acknowledged; the clock's epoch
/// if nothing is proven
/// @complexity linear in the members, and logarithmic in the reports
[[nodiscard]] core::time_point provenThrough(const leadership_evidence &evidence,
                                             core::term_number term,
                                             const std::set<std::string> &others);

/// @return newest term above @p term that a replica reported when asked at @p since or later; 0 if
/// there is none
[[nodiscard]] core::term_number contradictingTerm(const leadership_evidence &evidence,
                                                  core::term_number term, core::time_point since);

} // namespace fuchsiagw::proxy
