/// @file
/// @brief All decisions of the session proxy: a state and the functions that change it.
///
/// The engine does no I/O and reads no clock. Each function takes an event and the current time and
/// appends to `out` what the driver has to do. Times are of a clock that also counts the time for
/// which the machine was suspended: positions must not look fresher than they are.

#pragma once

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/proxy/action.hpp>
#include <fuchsiagw/proxy/limit_claim.hpp>
#include <fuchsiagw/proxy/manifest.hpp>
#include <fuchsiagw/proxy/member_state.hpp>
#include <fuchsiagw/proxy/peer_message.hpp>
#include <fuchsiagw/proxy/quota.hpp>
#include <fuchsiagw/proxy/refusal.hpp>
#include <fuchsiagw/proxy/service_state.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_link.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

struct engine_settings
{
    std::string node;
    std::string zone;
    std::uint32_t maxSessions = 0; ///< callers' connections at a time
    core::duration drainLimit{ 0 }; ///< until a leaving member must get no more work
    core::duration gracePeriod{ 0 }; ///< between the order to stop and the end of the process
};

/// Another daemon of the deployment.
struct peer_state
{
    std::string node;
    std::string zone;
    core::time_point lastHeard{};
    core::time_point homeAvoidedUntil{}; ///< as home of limits it did not answer
    /// It lent no connections. Kept apart: a daemon that stops lending goes on as a home, and a
    /// second home beside it would exceed the limits.
    core::time_point relayAvoidedUntil{};
    std::uint64_t manifestVersion = 0;
    core::time_point recalledAt{}; ///< no part is taken that was asked for before
    /// @name The row in the store
    /// @{
    std::uint64_t incarnation = 0; ///< of the process that wrote it
    limit_part claimed = 0; ///< part of every limit
    /// @}
};

/// Recall of the parts that an earlier process of this daemon may have lent.
struct part_recall
{
    bool started = false;
    bool done = false; ///< no other daemon uses the own part
    core::time_point until{}; ///< every loan of an earlier process is over
    core::time_point next = core::noDeadline; ///< question to those that have not answered
    std::set<std::string> answered; ///< daemons of the zone
};

/// How many of each thing happened; see metrics.
struct engine_counters
{
    std::uint64_t statements = 0;
    std::uint64_t operations = 0;
    std::uint64_t placedOnReplica = 0;
    std::uint64_t placedOnPrimary = 0;
    std::uint64_t retried = 0;
    std::uint64_t hedged = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksReused = 0;
    std::array<std::uint64_t, refusalRows.size()> refused{};
    std::uint64_t promotionsOrdered = 0;
};

/// Invariants: every link is listed at its member; a session's current request is in its service's
/// queue exactly if request::queued is set; manifest.version never decreases.
struct engine
{
    engine_settings settings;
    core::random_engine random;
    std::shared_ptr<const manifest> config;
    quota_table quota;
    std::size_t waitingLoans = 0; ///< workspace_quota::loans of all workspaces
    std::map<std::string, member_state> members;
    std::map<std::string, service_state> services;
    std::map<session_id, session> sessions;
    std::map<link_id, upstream_link> links;
    std::map<std::string, peer_state> peers;
    std::set<session_id> active; ///< sessions with a current request or transaction
    std::uint32_t instances = 1; ///< daemons among which limits are divided
    std::uint64_t peersVersion = 1; ///< grows with each change of `peers`
    link_id lastLink = 0;
    std::uint64_t lastSerial = 0;
    bool memberListLoaded = false; ///< the list of members was read once
    bool stopping = false;
    core::time_point stopDeadline = core::noDeadline; ///< end of the grace period
    core::time_point transactionDrainDeadline = core::noDeadline; ///< half of the grace period
    core::time_point nextSessionCloseAt = core::noDeadline; ///< sessions that rest are closed then
    std::size_t sessionsAtStop = 0;
    core::time_point lastTimerAt{}; ///< newest call of onTimer()
    core::time_point nextExchangeAt{};
    core::time_point nextMaintenanceAt{};
    limit_claim claim; ///< part of every limit that this daemon owns
    core::time_point nextPartRequest = core::noDeadline; ///< parts of the zone are borrowed then
    part_recall recall;
    std::uint64_t incarnation = 0;
    engine_counters counters;
    std::vector<action> out;
};

/// @brief A manifest was read. Older versions than the one in force are ignored.
void onManifest(engine &state, std::shared_ptr<const manifest> next, core::time_point now);

/// One row of the list of members.
struct listed_member
{
    upstream_entry entry;
    std::uint64_t version = 0; ///< of the store's row
};
/// @brief The list of members was read.
void onMemberList(engine &state, const std::vector<listed_member> &list, core::time_point now);

/// @brief The daemons that take part were read, this one included if its row is there.
void onInstances(engine &state, const std::vector<peer_state> &list, core::time_point now);

/// @return whether new callers can be served
[[nodiscard]] bool isReady(const engine &state);

/// @brief A caller opened a session.
/// @return false if it was refused; the driver closes the connection after the answer
bool onSessionOpened(engine &state, session_id id, const std::string &database,
                     const std::string &key, core::time_point now);
void onCallerStatement(engine &state, session_id id, caller_statement statement,
                       core::time_point now);
/// @brief The caller's connection ended.
void onCallerDisconnected(engine &state, session_id id, core::time_point now);

/// @brief A member answered the oldest outstanding command of a link.
void onMemberAnswer(engine &state, link_id id, reply answer, core::time_point now);
/// @brief A link could not be opened, or ended.
void onLinkClosed(engine &state, link_id id, core::time_point now);

void onPeerMessage(engine &state, const peer_message &message, core::time_point now);

/// @brief The store gave this daemon a fencing token, or refused.
/// @param token 0: another daemon acts, or the store can't be reached
void onTokenAcquired(engine &state, const std::string &service, std::uint64_t token,
                     core::time_point now);

/// @brief Another daemon has the token and acts alone.
/// @param until no other daemon can draw a token before
void onTokenHeldElsewhere(engine &state, const std::string &service, core::time_point until,
                          core::time_point now);

/// @brief The operator has switched promotions off; the attempt ends without having begun anything.
void onPromotionsDisabled(engine &state, const std::string &service, core::time_point now);

enum class promote_outcome : std::uint8_t {
    Ordered,
    FencedOff, ///< a higher token was used, or the member does not run
    NoAnswer, ///< it may still be carried out
    Refused,
};
void onPromoteAnswer(engine &state, const std::string &service, promote_outcome outcome,
                     core::time_point now);

/// @brief The process was told to stop.
void onStop(engine &state, core::time_point now);

/// @return whether this daemon is one of the few that ask the store for news at short intervals;
/// the others hear of a newer manifest from them, also when their own feed has fallen silent
/// @complexity linear in the daemons
[[nodiscard]] bool pollsStore(const engine &state);

/// @brief Does what is due.
void onTimer(engine &state, core::time_point now);

/// @return when onTimer() is to be called next
/// @complexity linear in the number of active sessions and links
[[nodiscard]] core::time_point nextTimerAt(const engine &state);

} // namespace fuchsiagw::proxy
