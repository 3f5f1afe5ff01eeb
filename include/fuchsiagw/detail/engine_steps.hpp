/// @file
/// @brief Internal functions and constants that the source files of the engine share.

#pragma once

#include <fuchsiagw/proxy/engine.hpp>

namespace fuchsiagw::proxy {

using std::chrono::milliseconds;

/// A request without a primary waits at most this fraction of the route's latency objective.
inline constexpr int refusalWaitDivisor = 4;

/// Delay from the shutdown request to closing idle sessions. By then the load balancer has detected
/// that this daemon is not ready and sends reconnecting callers to another one.
inline constexpr std::chrono::milliseconds idleSessionCloseDelay{ 2'300 };
/// Operations are refused this long before the end of the grace period, because they may not finish
/// in time.
inline constexpr std::chrono::milliseconds lastOperationMargin{ 2'000 };
/// Every statement is answered this long before the end of the grace period, at the latest with a
/// timeout.
inline constexpr std::chrono::milliseconds lastAnswerMargin{ 700 };

/// The entry of a removed member is kept this long, because its log may hold the only second copy
/// of a commit.
inline constexpr std::chrono::seconds removedMemberRetention{ 60 };
/// A member is removed after its entry was missing for this long. Running members restore their
/// entries within two seconds after an outage of the platform's store.
inline constexpr std::chrono::milliseconds missingMemberTimeout{ 2'600 };
/// A member's entry in the store may lag this much behind the role that its answers prove.
inline constexpr std::chrono::milliseconds maxRoleReportLag{ 2'500 };

[[nodiscard]] inline service_state *findService(engine &state, const std::string &name)
{
    const auto found = state.services.find(name);
    return found == state.services.end() ? nullptr : &found->second;
}
[[nodiscard]] inline member_state *findMember(engine &state, const std::string &id)
{
    const auto found = state.members.find(id);
    return found == state.members.end() ? nullptr : &found->second;
}
[[nodiscard]] inline session *findSession(engine &state, session_id id)
{
    const auto found = state.sessions.find(id);
    return found == state.sessions.end() ? nullptr : &found->second;
}
[[nodiscard]] inline upstream_link *findLink(engine &state, link_id id)
{
    const auto found = state.links.find(id);
    return found == state.links.end() ? nullptr : &found->second;
}

/// @return the rank of this daemon in the rendezvous hash order of all daemons for a subject
/// @complexity linear in the daemons
[[nodiscard]] std::size_t instanceRank(const engine &state, const std::string &subject);

/// @brief Removes members whose entries were missing for too long.
void expireMissingMembers(engine &state, core::time_point now);

/// @return whether a member may get a statement that is not part of a running transaction
[[nodiscard]] bool acceptsNewWork(const engine &state, const member_state &member,
                                  core::time_point now);
/// @return whether a primary may get a statement that only it can run, as its zone is not evacuated
/// or is still within the time for that
[[nodiscard]] bool acceptsWorkAsLeader(const engine &state, const member_state &member,
                                       core::time_point now);

/// @return whether a group has to replace its primary now, because its zone is evacuated
[[nodiscard]] bool isReplacementDue(const engine &state, const service_state &service,
                                    core::time_point now);
/// @brief Counts a statement that is sent to a member, if its zone is evacuated.
void recordEvacuatedWork(engine &state, const member_state &member, core::time_point now);
/// @return whether a session's transaction runs at a member that gets no statements any more,
/// because its zone is evacuated
[[nodiscard]] bool isTransactionEvacuated(const engine &state, const session &caller,
                                          core::time_point now);

/// @brief Logs a decision about a session's current request.
void noteRequest(engine &state, note_kind kind, const session &caller, const std::string &member,
                 std::string_view reason, core::duration age = {}, std::int64_t number = 0);

/// @brief Ends a session as its member `ending` says. Accepted statements are refused, and the
/// notice answers those that have not been read. No statement of the session is current.
void closeSession(engine &state, session &caller, core::time_point now);

/// @brief Answers the current request and starts the session's next waiting statement.
void finishRequest(engine &state, session &caller, reply answer, core::time_point now);
/// @brief Answers the current request with a refusal by the proxy itself.
/// @param retryAfter when another try may succeed; 0: unknown
void refuseRequest(engine &state, session &caller, refusal_reason reason, core::time_point now,
                   core::duration retryAfter = {});

/// @brief Ends a transaction without a running statement; its caller learns of it with its next
/// statement.
void endTransaction(engine &state, session &caller, refusal_reason reason, core::time_point now);
/// @return whether a shutdown has reached the time from which open transactions are ended
[[nodiscard]] bool isPastTransactionDrain(const engine &state, core::time_point now);
/// @return the deadline of a statement, moved forward if the shutdown leaves less time
[[nodiscard]] core::time_point limitToShutdown(const engine &state, core::time_point deadline);

/// @brief Adds the current request to the queue of its service unless it is already there.
/// @param queuedReason refusal that the caller gets if the wait ends without a member
void enqueueRequest(engine &state, session &caller, refusal_reason queuedReason);
/// @brief Sends the current request to a member that can take it now; otherwise queues or refuses
/// it.
void placeRequest(engine &state, session &caller, core::time_point now);
/// @brief Tries to place the queued requests of a service.
void serveQueue(engine &state, service_state &service, core::time_point now);
/// @return whether a member that has not been tried yet may get the current request, a read
[[nodiscard]] bool hasUntriedMember(const engine &state, const session &caller,
                                    core::time_point now);
/// @brief Decides where the first statement of an operation must run.
void decidePlacement(engine &state, const session &caller, request &pending);

/// @brief Finds an idle link to a member, or opens one.
/// @param opening set to the link that is being opened
/// @return link on which the request can be sent now, or nullptr if there is none yet
upstream_link *acquireLink(engine &state, member_state &member, const session &caller,
                           link_id &opening, core::time_point now);
/// @brief Opens a link to a member.
/// @param direct connects to the member itself instead of its relay
/// @param caller session whose current request the link is opened for; none: a command of the proxy
link_id openLink(engine &state, member_state &member, const std::string &workspace, bool direct,
                 core::time_point now, const session *caller = nullptr);
/// @return the relay of a member, which is the daemon that pools the member's connections for all
/// daemons; may be this daemon
/// @param skipped number of usable relays to pass over
[[nodiscard]] std::string relayNodeFor(const engine &state, member_state &member,
                                       core::time_point now, std::size_t skipped = 0);
/// @brief Records the load of a member as its relay has told it.
void applyLoad(engine &state, const std::string &member, const member_load &load,
               core::time_point now);
/// @brief Sends the current request on a link, together with its preparation.
void sendRequest(engine &state, upstream_link &link, session &caller, core::time_point now);
/// @brief Sends the first statement of a transaction after the member has confirmed its begin.
void sendFirstStatement(engine &state, upstream_link &link, const session &caller,
                        core::time_point now);
/// @return a command to send behind one whose reply has no digest and is decided upon. That reply
/// may be the one to an earlier command, received a second time; the own one then takes the place
/// of the reply to the confirmation, and looks otherwise.
[[nodiscard]] upstream_command makeConfirmation();
void closeLink(engine &state, link_id id, bool graceful, core::time_point now);
/// @brief Makes a link without outstanding answers available to other requests.
void releaseLink(engine &state, upstream_link &link, core::time_point now);
/// @brief Counts the first statement of a link's transaction no longer as outstanding, because it
/// will not be sent there.
void giveUpBegin(engine &state, upstream_link &link);
/// @brief Rolls back the transaction on a link whose session has abandoned it.
void rollBack(engine &state, upstream_link &link, core::time_point now);
/// @brief Closes links whose idle timeout has passed; surplus links have a shorter timeout.
void trimLinks(engine &state, core::time_point now);
/// @return number of connections to one member that this daemon may keep open while they are idle
[[nodiscard]] std::uint32_t maxIdleLinks(const engine &state, const member_state &member);

/// @brief Records that a member was proven to be the leader.
/// @param term highest known term in which the member led; @p position may be of an earlier term
/// @param position position that was the newest acknowledged one at @p since; none: not proven
/// @param since time for which the leadership is proven
void learnLeader(engine &state, service_state &service, const std::string &member,
                 core::term_number term, const std::optional<core::log_position> &position,
                 core::time_point since, core::time_point now);
/// @brief Records that a member denied being the leader.
void loseLeader(engine &state, service_state &service, const std::string &member,
                core::time_point now);
/// @brief Adopts a member that claims to be primary as leader if no leader is known.
void adoptClaimedLeader(engine &state, service_state &service, core::time_point now);

/// @brief Sends a command of the proxy itself on the member's control link.
/// @param serial identifies a question for evidence; 0: another command
void sendControlCommand(engine &state, const std::string &member, command_kind kind,
                        core::term_number term, core::time_point now, std::uint64_t serial = 0);
/// @brief Asks a member for its position without a confirmation, so that the answer may be one that
/// was given before.
void askForReport(engine &state, member_state &member, std::uint64_t serial, core::time_point now);
/// @return the cached rank of this daemon for a service; it changes only with the set of daemons
[[nodiscard]] std::size_t serviceRank(const engine &state, service_state &service);
/// @brief Detects members that do not answer and probes them.
void detectSilentMembers(engine &state, core::time_point now);
/// @return the members of a service that may be promoted
[[nodiscard]] std::set<std::string> electableMembers(const engine &state,
                                                     const service_state &service);
/// @return replicas whose log may hold the only second copy of an acknowledged commit
[[nodiscard]] std::set<std::string> witnessesOf(const engine &state, const service_state &service,
                                                core::time_point now);
/// @return why the service needs a promotion now, if it does
[[nodiscard]] std::optional<promotion_cause>
findPromotionCause(engine &state, service_state &service, core::time_point now);
void stepPromotions(engine &state, core::time_point now);
/// @brief Logs that a replica is paused or resumed.
void noteReplica(engine &state, note_kind kind, const service_state &service,
                 const std::string &replica, std::string_view reason, core::time_point now);
/// @brief Orders the replicas of a service to pause, also those without an entry in the store,
/// which may receive as well. At a planned replacement one replica goes on, and is asked for its
/// status.
void pauseReplicas(engine &state, service_state &service, core::time_point now);
/// @brief Lets the chosen replica receive until it leads, and pauses the others again, because a
/// pause does not outlive a restart.
void keepOthersPaused(engine &state, service_state &service, core::time_point now);
/// @brief Records whether the chosen replica receives, once its promotion is ordered.
void trackReceiver(promotion_state &attempt, const std::string &replica,
                   const member_status &status);
/// @brief Drops what a member has reported in an attempt, because it may have restarted since.
void forgetReport(engine &state, const std::string &member);
/// @brief Schedules resume orders to the paused replicas. They are repeated until the replicas
/// confirm, but only while no other daemon can have started an attempt. A replica that does not
/// follow the newest known term stays paused if an old primary of its term may go on.
/// @param reason for the log
void scheduleResume(engine &state, service_state &service, std::string_view reason,
                    core::time_point now);
void stepResume(engine &state, service_state &service, core::time_point now);
/// @brief Handles what a member reports of its pause: resumes a replica that follows
/// promotion_state::resumeTerm, pauses one again that has restarted before it did, because a pause
/// does not outlive a restart, and records replicas that nobody is about to resume.
void trackPause(engine &state, service_state &service, const std::string &replica,
                const member_status &status, core::time_point now);
/// @brief Asks replicas whether they receive, so that none stays paused after a promotion attempt
/// has ended.
void checkReplicas(engine &state, core::time_point now);
/// @brief Moves the next replica check forward, because writes are not acknowledged in time.
void scheduleReplicaCheck(service_state &service, core::time_point now);
/// @brief Handles a member's answer to a command of the proxy itself.
void onControlAnswer(engine &state, const std::string &member, const reply &answer,
                     core::time_point sentAt, core::time_point now);
[[nodiscard]] core::time_point nextPromotionStep(const engine &state);
/// @brief Follows from a status whether the member of an open order receives, and logs changes.
/// @param sentAt the status describes the member at this time or later
void watchReceiver(engine &state, service_state &service, const std::string &member,
                   const member_status &status, core::time_point sentAt, core::time_point now);
/// @return whether a member would be replaced by an open order, and is to acknowledge nothing
[[nodiscard]] bool isFenced(const service_state &service, const std::string &member,
                            core::time_point now);
/// @return whether an open order would replace a member. Its commits may not be kept, so it gets no
/// new writes; a planned replacement leaves it the reads and the transactions that run.
[[nodiscard]] bool areWritesHeld(const service_state &service, const std::string &member);
/// @return whether the primary is fenced for longer than a promotion takes, so that nothing can be
/// served that needs a primary
[[nodiscard]] bool isPromotionLate(const service_state &service, core::time_point now);
/// @return whether a session's transaction writes at a fenced primary
[[nodiscard]] bool isTransactionFenced(const engine &state, const session &caller,
                                       core::time_point now);
/// @brief Renews the pauses of a service at once, because a replica may have come into view.
void pauseNewReplica(service_state &service, core::time_point now);
/// @brief Takes an open order for done whose member was proven to lead.
/// @param askedAt the proof describes the member at this time or later
void closeOrdersOf(engine &state, service_state &service, const std::string &leader,
                   core::time_point askedAt, core::time_point now);

/// @brief Asks for evidence that the member of a link leads, if the request it gets depends on
/// that.
void beginEvidence(engine &state, const upstream_link &link, session &caller, core::time_point now);
/// @brief Holds a result of the current request until its member is proven to lead.
void holdResult(engine &state, session &caller, held_result held, core::time_point now);
/// @brief Asks a replica for its status on behalf of a daemon.
void answerEvidenceRequest(engine &state, const peer_message &message, core::time_point now);
/// @brief Passes the answer to a question for evidence on to the daemons that wait for it.
void onEvidenceStatus(engine &state, member_state &replica, std::uint64_t serial,
                      const reply &answer, core::time_point now);
void onEvidenceAnswer(engine &state, const peer_message &message, core::time_point now);
/// @brief Records what a replica reported, and delivers the results that this proves.
void recordReplicaReport(engine &state, service_state &service, const std::string &replica,
                         const replica_report &report, core::time_point now);
/// @brief Ends a question whose link is gone.
void forgetEvidenceQuestion(member_state &replica, const upstream_link &link);
void stepEvidence(engine &state, core::time_point now);
[[nodiscard]] core::time_point nextEvidenceStep(const engine &state);

/// @return the replicas in the order in which they should be asked: responsive ones and those in
/// this daemon's zone first
[[nodiscard]] std::vector<std::string> rankReplicas(const engine &state,
                                                    const std::set<std::string> &replicas);
/// @brief Asks a replica for its status, through its relay unless @p asksItself.
/// @param skipped number of usable relays to pass over
void requestStatus(engine &state, member_state &replica, core::time_point now, bool asksItself,
                   std::size_t skipped);
/// @return whether the commits of a service have to be reported by a listed replica
[[nodiscard]] bool needsReceipt(const engine &state, const service_state &service);
/// @return whether a listed replica has reported that it has received a commit of @p leader, and
/// the store has answered which orders are open
[[nodiscard]] bool isReceived(const engine &state, const service_state &service,
                              const std::string &leader, core::log_position position);
/// @brief Holds the success of the current request until a listed replica has reported its
/// position, or its deadline has passed.
void holdCommit(engine &state, service_state &service, session &caller, held_commit held,
                core::time_point now);
/// @brief Records that the statements on a link were lost with it.
void noteUnansweredStatements(engine &state, const upstream_link &link);
/// @brief Delivers the held successes that are proven.
void deliverReceivedCommits(engine &state, service_state &service, core::time_point now);
/// @return whether this daemon knows the open orders and is in contact with a listed replica; else
/// one is asked
[[nodiscard]] bool mayStartWrite(engine &state, service_state &service, core::time_point now);
/// @brief Handles that a replica has shown a position of its log.
/// @param sentAt it has answered what was sent then
void onReplicaPosition(engine &state, service_state &service, const std::string &replica,
                       core::log_position position, core::time_point sentAt, core::time_point now);
/// @brief Asks all peers for the newest commit that they know, at intervals, if the group of a
/// promotion has a member without an entry in the store.
void askPeersForCommits(engine &state, service_state &service, core::time_point now);
void answerCommitRequest(engine &state, const peer_message &message);
void onCommitAnswer(engine &state, const peer_message &message);
/// @return whether all peers that were heard recently have told the newest commit that they know
[[nodiscard]] bool haveTouchedPeersAnswered(const engine &state, const promotion_state &attempt,
                                            core::time_point now);
void stepReceipts(engine &state, core::time_point now);
[[nodiscard]] core::time_point nextReceiptStep(const engine &state);

/// @brief Asks a sample of the other daemons for positions and leaders.
void exchangeWithPeers(engine &state, core::time_point now);
/// @brief Takes a rate-limit token for the operation, waits for one, or refuses the statement.
/// @return whether the statement may proceed now
bool admitOperation(engine &state, session &caller, core::time_point now);
/// @brief Refuses an operation whose wait for a token is over.
void refuseForRate(engine &state, session &caller, core::time_point now);
/// @brief Continues a statement that waited for a rate-limit token.
void resume(engine &state, session &caller, core::time_point now);
/// @return the home of a workspace's quota: the daemon of the zone that collects the workspace's
/// parts and tokens; may be this daemon
[[nodiscard]] std::string homeOf(const engine &state, const workspace_quota &quota,
                                 core::time_point now);
/// @brief Logs a change of the part of a workspace's limit that this daemon holds.
/// @param other the daemon that lent or borrowed the part, if any
void logPartChange(engine &state, workspace_quota &quota, const std::string &workspace,
                   std::string_view reason, const std::string &other, core::time_point now);
/// @brief Schedules a request for the parts of a workspace that is in use.
void markPartsInUse(engine &state, workspace_quota &quota, core::time_point now);
/// @brief Requests the zone's parts of the workspaces whose home is this daemon.
void requestParts(engine &state, core::time_point now);
void answerPartRequest(engine &state, const peer_message &message, core::time_point now);
void acceptParts(engine &state, const peer_message &message, core::time_point now);
/// @brief Starts to recall the parts that a previous process of this daemon has lent in the zone.
void startRecall(engine &state, core::time_point now);
void stepRecall(engine &state, core::time_point now);
void answerRecall(engine &state, const peer_message &message, core::time_point now);
void acceptRecallAnswer(engine &state, const peer_message &message, core::time_point now);
/// @brief Revises this daemon's claim after a new list of daemons.
void reviseClaim(engine &state, const std::vector<peer_state> &list, core::time_point now);
/// @brief Writes a claim that is due.
void writeDueClaim(engine &state, core::time_point now);
/// @brief Lends tokens to the daemons of the zone that wait for them.
void serveWaitingLoans(engine &state, workspace_quota &quota, const std::string &workspace,
                       core::time_point now);
/// @brief Admits operations that wait for a token.
void admitWaitingOperations(engine &state, const std::string &workspace, core::time_point now);
void stepQuotas(engine &state, core::time_point now);
/// @brief Returns borrowed tokens that were not needed.
void returnUnusedTokens(engine &state, core::time_point now);
/// @brief Handles tokens that a borrower returned.
void acceptReturnedTokens(engine &state, const peer_message &message, core::time_point now);
void answerLoanRequest(engine &state, const peer_message &message, core::time_point now);
void acceptLoan(engine &state, const peer_message &message, core::time_point now);
void updateQuotas(engine &state, core::time_point now);
/// @brief Announces the leader of a service to a sample of the other daemons.
void announceLeader(engine &state, const service_state &service);
/// @brief Tells other daemons that an order to promote a member is open.
/// @param token latest one of this daemon
/// @param isFenced whether the present primary steps down and gets no writes
void announceOpenOrder(engine &state, const service_state &service, const std::string &member,
                       std::uint64_t token, bool isFenced);
/// @brief Handles that another daemon guards an open order. If it stops to tell so and the member
/// does not lead, this daemon asks the store.
void onOpenOrderNotice(engine &state, const peer_message &message, core::time_point now);
/// @brief Records a term that a member has reached. Unless an attempt of this daemon is under way,
/// its knowledge of open orders may be older than the new primary, so the fence ends; a daemon that
/// knows of an order in the new term tells of it again.
void adoptTerm(service_state &service, core::term_number term);
/// @return a report of the newest known term, without a position
[[nodiscard]] leader_report termReport(const service_state &service);
/// @return whether a message of another daemon is about an earlier term than the newest known one
[[nodiscard]] bool isOfEarlierTerm(const service_state &service, const peer_message &message);
/// @brief Orders a primary to step down on behalf of a daemon that does not reach it.
void onStepDownRequest(engine &state, const peer_message &message, core::time_point now);
void onStepDownAnswer(engine &state, const peer_message &message, core::time_point now);
/// @brief Forgets another daemon's order once its member leads.
/// @return whether another daemon's order may be open without anybody who guards it
[[nodiscard]] bool isOrderUnguarded(service_state &service, core::time_point now);
/// @return a message with the fields that all kinds have in common
[[nodiscard]] peer_message makeMessage(const engine &state, peer_message_kind kind);

} // namespace fuchsiagw::proxy
