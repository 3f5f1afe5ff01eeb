/// @file
/// @brief Steps of the engine that its own source files share.

#pragma once

#include <fuchsiagw/proxy/engine.hpp>

namespace fuchsiagw::proxy {

using std::chrono::milliseconds;

/// Upper bound of the share of time that the caller's objective leaves for a wait before a refusal.
inline constexpr int refusalWaitDivisor = 4;

/// Sessions that rest are closed this long after the order to stop: the balancer has by then
/// noticed that this daemon is not ready, so that a caller who returns meets another one.
inline constexpr std::chrono::milliseconds idleSessionCloseDelay{ 2'300 };
/// An operation that starts later than this before the end of the grace period may not end in it.
inline constexpr std::chrono::milliseconds lastOperationMargin{ 2'000 };

/// A member that is gone is remembered this long: its log may hold the only second copy of a
/// commit.
inline constexpr std::chrono::seconds removedMemberRetention{ 60 };
/// After the platform's store was away, the entries of living members are back within two seconds.
inline constexpr std::chrono::milliseconds missingMemberTimeout{ 2'600 };
/// A member's own report of its role may be this much behind what it proved in an answer.
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

/// @return the place of this daemon in the order in which the daemons look after a subject
/// @complexity linear in the daemons
[[nodiscard]] std::size_t instanceRank(const engine &state, const std::string &subject);

/// @brief Takes members out whose entries were missing for too long.
void expireMissingMembers(engine &state, core::time_point now);

/// @brief Whether a member may get a statement that is not part of a running transaction.
[[nodiscard]] bool acceptsNewWork(const member_state &member, core::time_point now);

/// @brief Writes a note about a session's current request.
void noteRequest(engine &state, note_kind kind, const session &caller, const std::string &member,
                 std::string_view reason, core::duration age = {}, std::int64_t number = 0);

/// @brief Ends the current request with an answer and starts the next statement that waits.
void finishRequest(engine &state, session &caller, reply answer, core::time_point now);
/// @brief Ends the current request with a refusal of the proxy's own.
void refuseRequest(engine &state, session &caller, refusal_reason reason, core::time_point now,
                   core::duration retryAfter = {});

/// @brief Puts the current request into its service's queue, or keeps it there.
void enqueueRequest(engine &state, session &caller, refusal_reason queuedReason);
/// @brief Sends the current request to a member if one can take it now; else queues or refuses it.
void placeRequest(engine &state, session &caller, core::time_point now);
/// @brief Tries the requests that wait for a service.
void serveQueue(engine &state, service_state &service, core::time_point now);
/// @brief Decides where a statement has to run when it starts an operation.
void decidePlacement(engine &state, const session &caller, request &pending);

/// @brief Finds an idle link, or opens one.
/// @param opening set to the link that is being opened
/// @return nullptr if none is idle
upstream_link *acquireLink(engine &state, member_state &member, const session &caller,
                           link_id &opening, core::time_point now);
/// @param direct not through the daemon that keeps the member's connections
link_id openLink(engine &state, member_state &member, const std::string &workspace, bool direct,
                 core::time_point now);
/// @return the daemon that keeps the connections of a member for all others; may be this one
[[nodiscard]] std::string relayNodeFor(const engine &state, member_state &member,
                                       core::time_point now);
void sendRequest(engine &state, upstream_link &link, session &caller, core::time_point now);
/// @brief Sends the first statement of a transaction that the member has begun.
void sendFirstStatement(engine &state, upstream_link &link, const session &caller,
                        core::time_point now);
void closeLink(engine &state, link_id id, bool graceful, core::time_point now);
/// @brief Makes a link that owes no answer available again.
void releaseLink(engine &state, upstream_link &link, core::time_point now);
/// @brief Ends the transaction on a link whose session no longer wants it.
void rollBack(engine &state, upstream_link &link, core::time_point now);
/// @brief Closes links that are idle beyond what this daemon may keep.
void trimLinks(engine &state, core::time_point now);
/// @return the connections to one member that this daemon may keep open while they are idle
[[nodiscard]] std::uint32_t maxIdleLinks(const engine &state, const member_state &member);

/// @brief A member provably led at @p since.
/// @param term in which it led, as far as is known; a position may be of an earlier term
void learnLeader(engine &state, service_state &service, const std::string &member,
                 core::term_number term, const core::log_position &position, core::time_point since,
                 core::time_point now);
/// @brief A member said that it does not lead.
void loseLeader(engine &state, service_state &service, const std::string &member,
                core::time_point now);
/// @brief Believes in the member that claims to lead, if none is known to.
void adoptClaimedLeader(engine &state, service_state &service, core::time_point now);

/// @brief Sends an order of the proxy's own over the member's control connection.
void sendControlCommand(engine &state, const std::string &member, command_kind kind,
                        core::term_number term, core::time_point now);
/// @return the place of this daemon among those that look after a service; it only changes with the
/// daemons that take part
[[nodiscard]] std::size_t rankOf(const engine &state, service_state &service);
void followSilence(engine &state, core::time_point now);
/// @return the members of a service that may be promoted
[[nodiscard]] std::set<std::string> electableMembers(const engine &state,
                                                     const service_state &service);
/// @return replicas whose log may hold the only second copy of an acknowledged commit
[[nodiscard]] std::set<std::string> witnessesOf(const engine &state, const service_state &service);
/// @return why the service needs a promotion now, if it does
[[nodiscard]] std::optional<promotion_cause> causeNow(engine &state, service_state &service,
                                                      core::time_point now);
void stepPromotions(engine &state, core::time_point now);
/// @brief Asks replicas whether they receive, so that none stays paused by an attempt that ended.
void checkReplicas(engine &state, core::time_point now);
/// @brief Writes are not acknowledged: the replicas are asked soon.
void scheduleReplicaCheck(service_state &service, core::time_point now);
/// @brief An answer to an order of the proxy's own.
void onControlAnswer(engine &state, const std::string &member, const reply &answer,
                     core::time_point sentAt, core::time_point now);
[[nodiscard]] core::time_point nextPromotionStep(const engine &state);

void exchangeWithPeers(engine &state, core::time_point now);
/// @brief Takes the operation's token, waits for one, or refuses the statement.
/// @return whether the statement may go on now
bool admitOperation(engine &state, session &caller, core::time_point now);
/// @brief Goes on with a statement that waited for a token.
void resume(engine &state, session &caller, core::time_point now);
/// @return the daemon of the zone that collects a workspace's parts and tokens; may be this one
[[nodiscard]] std::string homeOf(const engine &state, const workspace_quota &quota,
                                 core::time_point now);
/// @brief Writes a line if the part of a workspace's limit that this daemon holds has changed.
/// @param other the daemon that lent or borrowed it, if any
void notePart(engine &state, workspace_quota &quota, const std::string &workspace,
              std::string_view reason, const std::string &other, core::time_point now);
/// @brief A home asks soon for the parts of a workspace that is in use.
void useParts(engine &state, workspace_quota &quota, core::time_point now);
/// @brief Asks the daemons of the zone for the parts of the workspaces whose home this daemon is.
void requestParts(engine &state, core::time_point now);
void answerPartRequest(engine &state, const peer_message &message, core::time_point now);
void takeParts(engine &state, const peer_message &message, core::time_point now);
/// @brief Asks the daemons of the zone whether they use parts that an earlier process has lent.
void startRecall(engine &state, core::time_point now);
void stepRecall(engine &state, core::time_point now);
void answerRecall(engine &state, const peer_message &message, core::time_point now);
void takeRecallAnswer(engine &state, const peer_message &message, core::time_point now);
/// @brief Judges the own claim by a new list of daemons.
void reviseClaim(engine &state, const std::vector<peer_state> &list, core::time_point now);
/// @brief Writes a claim that is due.
void stepClaim(engine &state, core::time_point now);
/// @brief Gives tokens to the daemons of the zone that wait for them.
void serveLoans(engine &state, workspace_quota &quota, const std::string &workspace,
                core::time_point now);
/// @brief Admits operations that wait for a token.
void serveTokenWaiters(engine &state, const std::string &workspace, core::time_point now);
void stepQuotas(engine &state, core::time_point now);
/// @brief Gives lent tokens back that were not needed.
void returnUnusedTokens(engine &state, core::time_point now);
/// @brief Another daemon gave tokens back.
void takeBack(engine &state, const peer_message &message, core::time_point now);
void answerLoanRequest(engine &state, const peer_message &message, core::time_point now);
void takeLoan(engine &state, const peer_message &message, core::time_point now);
void reshapeQuotas(engine &state, core::time_point now);
void announceLeader(engine &state, const service_state &service);
/// @return a message with the fields that every kind has
[[nodiscard]] peer_message makeMessage(const engine &state, peer_message_kind kind);

} // namespace fuchsiagw::proxy
