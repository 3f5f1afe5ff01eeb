/// @file
/// @brief State machine of the session proxy: its state and the functions that handle events.
///
/// The engine does no I/O and reads no clock. Each function takes an event and the current time and
/// appends the actions that the driver must carry out to engine::out. The time comes from a clock
/// that also advances while the machine is suspended; otherwise a log position would look fresher
/// than it is after the machine resumes.

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
#include <fuchsiagw/proxy/session_end.hpp>
#include <fuchsiagw/proxy/upstream_link.hpp>
#include <fuchsiagw/proxy/zone_evacuation.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::proxy {

struct engine_settings
{
    std::string node;
    std::string zone;
    std::uint32_t maxSessions = 0; ///< limit of concurrent caller connections
    /// Limit of the values and prepared statements that all sessions keep together, in bytes.
    std::size_t maxStateBytes = std::numeric_limits<std::size_t>::max();
    core::duration drainLimit{ 0 }; ///< time within which a draining member stops receiving work
    core::duration gracePeriod{ 0 }; ///< from the shutdown request to the end of the process
    /// The platform rejects outdated promotion orders, and a primary loses the lead in the moment
    /// in which another member is promoted. Otherwise it may go on until it learns of its
    /// successor.
    bool promotionsAreFenced = false;
    /// Time, from the operator's request, within which the members of an evacuated zone stop
    /// getting work.
    core::duration evacuationLimit{ std::chrono::seconds(5) };
    bool priorityAdmission = false; ///< queues serve by priority, deadline and fair share
    double capacity = 0; ///< processor cores of this instance; 0: unknown
    /// Time within which a manifest has to be in force. A final refusal needs a proof that is not
    /// older; 0: any proof.
    core::duration configurationLimit{ 0 };
    /// The success of a commit is passed on once a listed replica has reported its position.
    bool commitsNeedReceipts = false;
    bool memberLimits = false; ///< the number of operations at a member is limited adaptively
};

/// What this daemon knows of another daemon of the deployment.
struct peer_state
{
    std::string node;
    std::string zone;
    core::time_point lastHeard{};
    core::time_point
            homeAvoidedUntil{}; ///< not used as home until then: it left a request unanswered
    /// Not used as relay until then: it lent no connections. Separate from homeAvoidedUntil,
    /// because a daemon that stops lending connections stays the home of its quotas; a second home
    /// beside it would exceed the limits.
    core::time_point relayAvoidedUntil{};
    std::uint64_t manifestVersion = 0;
    core::time_point recalledAt{}; ///< parts requested before this time are rejected
    /// @name Row in the store
    /// @{
    std::uint64_t incarnation = 0; ///< incarnation of the process that wrote the row
    limit_part claimed = 0; ///< claimed part of every limit
    double capacity = 0; ///< processor cores of its instance; 0: unknown
    /// @}
};

/// Recall of the parts that a previous process of this daemon may have lent to other daemons.
struct part_recall
{
    bool started = false;
    bool done = false; ///< no other daemon uses this daemon's part
    core::time_point deadline{}; ///< all loans of previous processes have expired by then
    core::time_point nextRequestAt = core::noDeadline; ///< next recall to daemons without an answer
    std::set<std::string> answered; ///< daemons of the zone that answered
};

/// Event counters that are exported as metrics.
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
    std::array<std::uint64_t, sessionEndNames.size()> sessionsEnded{}; ///< by session_end
    std::uint64_t statementsUnanswered = 0; ///< accepted and outstanding at the end of a session
    std::uint64_t promotionsOrdered = 0;
    std::uint64_t commitsHeld = 0; ///< successes that waited for the report of a replica
    std::uint64_t commitsDelayed = 0; ///< writes whose answer took longer than replication does
};

/// Invariants: every link is in member_state::links of its member; a session is in the queue of its
/// service if and only if request::queued of its current request is set; the version of `config`
/// never decreases.
struct engine
{
    engine_settings settings;
    core::random_engine random;
    std::shared_ptr<const manifest> config;
    core::time_point manifestProvenAt{}; ///< no manifest newer than `config` existed then
    bool isManifestMissing = false; ///< a newer one is known to exist
    quota_table quota;
    std::size_t waitingLoans = 0; ///< total size of waitingLoanRequests over all workspaces
    std::map<std::string, member_state> members;
    std::map<std::string, service_state> services;
    std::map<session_id, session> sessions;
    std::map<link_id, upstream_link> links;
    std::map<std::string, peer_state> peers;
    std::size_t stateBytes = 0; ///< sum of session::stateBytes
    std::set<session_id> active; ///< sessions with a current request or transaction
    std::uint32_t instances = 1; ///< number of daemons among which limits are divided
    std::uint64_t peersVersion = 1; ///< incremented when the set of peers changes
    link_id lastLink = 0;
    std::uint64_t lastSerial = 0;
    bool memberListLoaded = false; ///< the list of members was read at least once
    bool stopping = false;
    core::time_point stopDeadline = core::noDeadline; ///< end of the grace period
    /// From half of the grace period on, open transactions without a running statement are aborted.
    core::time_point transactionDrainDeadline = core::noDeadline;
    core::time_point nextSessionCloseAt =
            core::noDeadline; ///< next batch of idle sessions to close
    /// From here on a shutdown closes idle sessions and refuses new ones. Stored, because the grace
    /// period in the settings may change while the shutdown runs.
    core::time_point sessionCloseFrom = core::noDeadline;
    core::time_point sessionCloseDeadline =
            core::noDeadline; ///< idle sessions are closed at once from then on
    core::time_point lastTimerAt{}; ///< time of the latest call of onTimer()
    core::time_point nextExchangeAt{};
    core::time_point nextMaintenanceAt{};
    limit_claim claim; ///< this daemon's claim to a part of every limit
    core::time_point nextPartRequest =
            core::noDeadline; ///< next request for parts of the zone's daemons
    part_recall recall;
    evacuation_state evacuation;
    std::uint64_t incarnation = 0;
    engine_counters counters;
    std::vector<action> out;
};

/// @brief Applies a manifest; a version that is not newer than the current one is ignored.
/// @param source call that brought it, for the log
void onManifest(engine &state, std::shared_ptr<const manifest> next, core::time_point now,
                manifest_source source = manifest_source::Table);

/// @brief Handles what the reads of the store show of the manifest in force.
/// @param provenAt no newer one existed then
/// @param isMissing a newer one is known to exist
void onManifestChecked(engine &state, core::time_point provenAt, bool isMissing);

/// @return the version of the manifest that is in force; 0: none was read yet
[[nodiscard]] inline std::uint64_t manifestVersionOf(const engine &state)
{
    return state.config ? state.config->version : 0;
}

/// @brief Applies the set of evacuated zones; a version that is not newer is ignored.
/// @param version of the store, as of which the set is complete
/// @param source of the set, for the log
void onEvacuations(engine &state, const std::set<std::string> &zones, std::uint64_t version,
                   std::string_view source, core::time_point now);

/// One row of the list of members in the store.
struct listed_member
{
    upstream_entry entry;
    std::uint64_t version = 0; ///< version of the row in the store
};
/// @brief Applies the list of members that was read from the store.
void onMemberList(engine &state, const std::vector<listed_member> &list, core::time_point now);

/// @brief Applies the list of daemons of the deployment; it contains this daemon if its row exists.
void onInstances(engine &state, const std::vector<peer_state> &list, core::time_point now);

/// @return whether the daemon can serve new callers
[[nodiscard]] bool isReady(const engine &state);

/// @brief Handles a caller that opens a session.
/// @return false if the session was refused; the driver then closes the connection after the answer
bool onSessionOpened(engine &state, session_id id, const std::string &database,
                     const std::string &key, core::time_point now);
void onCallerStatement(engine &state, session_id id, caller_statement statement,
                       core::time_point now);
/// @brief A line of the caller is no message, so that later ones can't be interpreted either. The
/// statements before it are answered, then the session ends.
void onCallerUnreadable(engine &state, session_id id, core::time_point now);
/// @brief The caller sends nothing more. Its statements before are answered, then the session ends.
void onCallerTerminated(engine &state, session_id id, core::time_point now);
/// @brief Handles the end of a caller's connection.
void onCallerDisconnected(engine &state, session_id id, core::time_point now,
                          session_end reason = session_end::ConnectionLost);

/// @brief Handles a member's answer to the oldest outstanding command of a link.
void onMemberAnswer(engine &state, link_id id, reply answer, core::time_point now);
/// @brief Handles a link that could not be opened or that was closed.
void onLinkClosed(engine &state, link_id id, core::time_point now);
/// @brief Handles a link that its relay has closed without forwarding any command that has no
/// answer yet.
void onLinkRecalled(engine &state, link_id id, core::time_point now);

void onPeerMessage(engine &state, const peer_message &message, core::time_point now);

/// @brief Handles the store's answer to acquire_fencing_token.
/// @param token 0 if another daemon holds the token or the store is unreachable
/// @param orders of earlier attempts that are open, as of the store's answer
void onTokenAcquired(engine &state, const std::string &service, std::uint64_t token,
                     core::time_point now, const open_orders &orders = {});

/// @brief Handles the store's answer to read_open_orders; without an answer it is asked again.
/// @param version of the store, as of which the orders are open
void onOpenOrdersRead(engine &state, const std::string &service, const open_orders &orders,
                      std::uint64_t version, core::time_point now);

/// @brief Handles the store's answer to record_open_orders.
/// @param isRecorded false if another daemon has acquired a token since or the outcome is unknown
void onOrdersRecorded(engine &state, const std::string &service, std::uint64_t token,
                      bool isRecorded, core::time_point now);

/// @brief Handles that another daemon holds the fencing token of a service.
/// @param until time before which no other daemon can acquire a token
/// @param orders open ones, as of the store's answer
/// @param version of the store, as of which they are open
void onTokenHeldElsewhere(engine &state, const std::string &service, core::time_point until,
                          core::time_point now, const open_orders &orders = {},
                          std::uint64_t version = 0);

/// @brief Cancels an attempt before its first step, because the operator has disabled promotions.
void onPromotionsDisabled(engine &state, const std::string &service, core::time_point now);

enum class promote_outcome : std::uint8_t {
    Ordered,
    FencedOff, ///< a higher token was used, or the member is not running
    NoAnswer, ///< the promotion may still be carried out
    Refused, ///< nothing was done
};
/// @brief Handles the platform's answer to an order; one to another order than the attempt's is
/// ignored, because it says nothing of this one.
void onPromoteAnswer(engine &state, const order_promotion &order, promote_outcome outcome,
                     core::time_point now);

/// @brief Tells the other daemons the load of a member whose relay this daemon is.
void announceLoad(engine &state, const std::string &member, const member_load &load,
                  core::time_point now);

/// @brief Starts the graceful shutdown.
void onStop(engine &state, core::time_point now);
/// @brief Ends the sessions that are left at the end of a shutdown, with an answer to each
/// statement.
void closeRemainingSessions(engine &state, core::time_point now);

/// @return this daemon's place among those that read the store to prove the manifest, from 0
/// @complexity linear in the daemons
[[nodiscard]] std::size_t storeReaderRank(const engine &state);

/// @brief Runs all timers that are due.
void onTimer(engine &state, core::time_point now);

/// @return the time of the next call of onTimer()
/// @complexity linear in the number of active sessions and links
[[nodiscard]] core::time_point nextTimerAt(const engine &state);

} // namespace fuchsiagw::proxy
