/// @file
/// @brief Admission of operations and token requests between daemons.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// The home answers within one round trip inside the zone; after this time it counts as
/// unresponsive.
constexpr milliseconds homeReplyTimeout{ 150 };
constexpr milliseconds silentHomeBackoff{ 1'000 };
/// A daemon acts as the home for this long after another daemon has treated it as the home.
constexpr milliseconds actingHomeDuration{ 600 };
/// An older grant is discarded: its tokens would add to those that the limit has earned since then.
constexpr milliseconds grantMaxAge{ 400 };
constexpr milliseconds emptyHomeBackoff{ 60 };
/// An operation waits for a token for the latency objective divided by this.
constexpr int tokenWaitDivisor = 5;
constexpr std::size_t maxOtherHomesAsked = 3;
/// Homes of other zones answer within one round trip between zones.
constexpr milliseconds loanRequestTimeout{ 25 };
constexpr std::size_t maxWaitingLoans = 64;

/// @param betweenHomes whether the homes of two zones are lender and borrower
peer_message loanMessage(const engine &state, peer_message_kind kind, const std::string &workspace,
                         core::token_amount amount, bool betweenHomes)
{
    peer_message message = makeMessage(state, kind);
    message.subject = workspace;
    message.amount = amount;
    message.betweenHomes = betweenHomes;
    return message;
}

void sendLoanRequest(engine &state, const std::string &peer, const std::string &workspace,
                     core::token_amount amount, int priority, bool betweenHomes,
                     core::time_point now)
{
    peer_message message =
            loanMessage(state, peer_message_kind::LoanRequest, workspace, amount, betweenHomes);
    message.askedAtUs = now.time_since_epoch().count();
    message.priority = priority;
    state.out.emplace_back(send_to_peer{ peer, std::move(message) });
}

void sendLoanGrant(engine &state, const std::string &peer, const std::string &workspace,
                   core::token_amount amount, int priority, bool betweenHomes,
                   std::int64_t askedAtUs)
{
    peer_message message =
            loanMessage(state, peer_message_kind::LoanGrant, workspace, amount, betweenHomes);
    message.askedAtUs = askedAtUs;
    message.priority = priority;
    state.out.emplace_back(send_to_peer{ peer, std::move(message) });
}

void sendLoanReturn(engine &state, const std::string &peer, const std::string &workspace,
                    core::token_amount amount)
{
    state.out.emplace_back(send_to_peer{
            peer, loanMessage(state, peer_message_kind::LoanReturn, workspace, amount, false) });
}

void logLoan(engine &state, const std::string &workspace, std::string_view reason,
             core::token_amount amount)
{
    decision_note note;
    note.kind = note_kind::QuotaLent;
    note.workspace = workspace;
    note.reason = reason;
    note.number = amount / core::oneToken;
    state.out.emplace_back(std::move(note));
}

void requestFromOtherHomes(engine &state, workspace_quota &quota, const std::string &workspace,
                           core::token_amount amount, int priority, core::time_point now)
{
    std::vector<std::string> others = quota.otherHomes;
    for (std::size_t i = 0; i < others.size() && i < maxOtherHomesAsked; ++i) {
        std::swap(others[i], others[i + core::drawBelow(state.random, others.size() - i)]);
        sendLoanRequest(state, others[i], workspace, amount, priority, true, now);
    }
}

/// @brief Requests tokens from the home, or from other zones if this daemon is the home, if it
/// holds fewer than it needs.
void requestTokensIfNeeded(engine &state, workspace_quota &quota, const std::string &workspace,
                           int priority, core::time_point now)
{
    if (quota.loanRequestedAt != core::noDeadline
        && now - quota.loanRequestedAt > homeReplyTimeout) {
        const auto silentHome = state.peers.find(homeOf(state, quota, now));
        if (silentHome != state.peers.end())
            silentHome->second.homeAvoidedUntil = now + silentHomeBackoff;
        quota.loanRequestedAt = core::noDeadline;
    }
    const std::string home = homeOf(state, quota, now);
    const auto amount = tokensToRequest(quota, priority, now);
    if (!amount)
        return;
    markPartsInUse(state, quota, now);
    if (home == state.settings.node) {
        requestFromOtherHomes(state, quota, workspace, *amount, priority, now);
        return;
    }
    if (quota.loanRequestedAt == core::noDeadline)
        quota.loanRequestedAt = now;
    sendLoanRequest(state, home, workspace, *amount, priority, false, now);
}

/// @return the priority of a session's operations, 0 if queues serve by arrival
int priorityOf(const engine &state, const session &who)
{
    return state.settings.priorityAdmission
                   ? state.config->routes.find(who.database)->second.priority
                   : 0;
}

core::duration timeUntilToken(const workspace_quota &quota, core::time_point now)
{
    const core::time_point due = nextTokenAt(quota);
    if (due == core::noDeadline)
        return emptyHomeBackoff;
    return std::max<core::duration>(milliseconds(1), due - now);
}

/// @return when a refused operation may return: the retries at this daemon are spread at its part
/// of the workspace's rate
core::duration tokenRetryDelay(const engine &state, workspace_quota &quota, core::time_point now)
{
    if (!state.settings.priorityAdmission || quota.ratePerSecond <= 0)
        return timeUntilToken(quota, now);
    const std::chrono::duration<double> interval(state.instances / quota.ratePerSecond);
    return core::scheduleReturn(quota.returns, std::chrono::duration_cast<core::duration>(interval),
                                now + emptyHomeBackoff, now);
}

/// @return whether an operation must leave the tokens to a higher priority that waits
bool givesWay(const workspace_quota &quota, int priority, core::time_point now)
{
    return isScarce(quota, now) && bestWaitingPriority(quota) < priority;
}

} // namespace

namespace {

/// Answers the requests whose time is over without tokens.
void answerOverdueLoans(engine &state, workspace_quota &quota, const std::string &workspace,
                        core::time_point now)
{
    std::erase_if(quota.waitingLoanRequests, [&](const waiting_loan_request &each) {
        if (now < each.deadline)
            return false;
        sendLoanGrant(state, each.node, workspace, 0, refusedPriority(quota, each.priority, now),
                      false, each.askedAtUs);
        --state.waitingLoans;
        return true;
    });
}

} // namespace

void serveWaitingLoans(engine &state, workspace_quota &quota, const std::string &workspace,
                       core::time_point now)
{
    while (!quota.waitingLoanRequests.empty()) {
        const auto next = nextLoanRequest(quota);
        const core::token_amount given = takeForZonePeer(quota, next->amount, now);
        if (given == 0) {
            recordScarcity(quota, now);
            answerOverdueLoans(state, quota, workspace, now);
            return;
        }
        logLoan(state, workspace, "to_own_zone", given);
        recordGrant(quota, next->priority, now);
        const bool isOldest =
                std::all_of(quota.waitingLoanRequests.begin(), quota.waitingLoanRequests.end(),
                            [&](const auto &each) { return each.deadline >= next->deadline; });
        quota.loansPassedOver = isOldest ? 0 : quota.loansPassedOver + 1;
        sendLoanGrant(state, next->node, workspace, given, next->priority, false, next->askedAtUs);
        quota.waitingLoanRequests.erase(next);
        --state.waitingLoans;
    }
}

bool admitOperation(engine &state, session &who, core::time_point now)
{
    request &what = *who.current;
    if (what.admitted)
        return true;
    ++state.counters.operations;
    workspace_quota *quota = findLimitedQuota(state.quota, who.workspace);
    if (quota == nullptr) {
        what.admitted = true;
        return true;
    }
    countDemand(*quota, 1, now);
    const int priority = priorityOf(state, who);
    requestTokensIfNeeded(state, *quota, who.workspace,
                          std::min(priority, bestWaitingPriority(*quota)), now);
    const bool goesFirst = quota->waitingOperations.length == 0 && !givesWay(*quota, priority, now);
    if (goesFirst && admit(*quota, now)) {
        recordGrant(*quota, priority, now);
        what.admitted = true;
        return true;
    }
    if (now < quota->homeEmptyUntil && priority >= quota->homeEmptyPriority) {
        refuseRequest(state, who, refusal_reason::RateExceeded, now,
                      tokenRetryDelay(state, *quota, now));
        return false;
    }
    const auto routeEntry = state.config->routes.find(who.database);
    what.awaitsToken = true;
    what.waitUntil =
            limitToShutdown(state, now + routeEntry->second.latencyObjective / tokenWaitDivisor);
    core::queued_statement waiting;
    waiting.handle = what.serial;
    waiting.session = who.id;
    waiting.priority = priority;
    static_cast<void>(core::enqueue(quota->waitingOperations, waiting, 1));
    return false;
}

void refuseForRate(engine &state, session &caller, core::time_point now)
{
    workspace_quota *quota = findLimitedQuota(state.quota, caller.workspace);
    const core::duration retryAfter = quota != nullptr && state.settings.priorityAdmission
                                              ? tokenRetryDelay(state, *quota, now)
                                              : core::duration(milliseconds(100));
    refuseRequest(state, caller, refusal_reason::RateExceeded, now, retryAfter);
}

namespace {

/// @return whether a daemon of the zone waits with a higher priority than every operation here
bool leavesTokensToLoans(const workspace_quota &quota, core::time_point now)
{
    const auto &flows = quota.waitingOperations.flows;
    return isScarce(quota, now) && !quota.waitingLoanRequests.empty() && !flows.empty()
           && quota.waitingLoanRequests.front().priority
                      < flows.begin()->second.lengthByPriority.begin()->first;
}

/// @return the session whose operation still waits under this entry; nullptr if the operation was
/// refused or its caller has left. The session may wait with a later operation, which has an entry
/// of its own.
session *findWaiting(engine &state, const core::queued_statement &entry)
{
    session *who = findSession(state, entry.session);
    const bool waits = who != nullptr && who->current && who->current->awaitsToken
                       && who->current->serial == entry.handle;
    return waits ? who : nullptr;
}

} // namespace

void admitWaitingOperations(engine &state, const std::string &workspace, core::time_point now)
{
    workspace_quota *quota = findLimitedQuota(state.quota, workspace);
    if (quota == nullptr || quota->waitingOperations.length == 0)
        return;
    static_cast<void>(core::removeIf(quota->waitingOperations, [&](const auto &each) {
        return findWaiting(state, each) == nullptr;
    }));
    while (quota != nullptr && quota->waitingOperations.length > 0
           && !leavesTokensToLoans(*quota, now) && admit(*quota, now)) {
        const auto next = core::dequeue(quota->waitingOperations);
        session *who = findWaiting(state, *next);
        if (who == nullptr) {
            // An operation that was admitted before it in this loop has ended its session.
            refundToken(state.quota, workspace, now);
            continue;
        }
        recordGrant(*quota, next->priority, now);
        who->current->awaitsToken = false;
        who->current->admitted = true;
        resume(state, *who, now);
        quota = findLimitedQuota(state.quota, workspace);
    }
}

void stepQuotas(engine &state, core::time_point now)
{
    for (auto &[name, quota] : state.quota.workspaces) {
        if (quota.waitingOperations.length == 0 && quota.waitingLoanRequests.empty())
            continue;
        requestTokensIfNeeded(state, quota, name, bestWaitingPriority(quota), now);
        admitWaitingOperations(state, name, now);
        serveWaitingLoans(state, quota, name, now);
    }
}

void returnUnusedTokens(engine &state, core::time_point now)
{
    for (auto &[name, quota] : state.quota.workspaces) {
        if (!quota.limited)
            continue;
        const core::token_amount unused = takeUnusedTokens(quota, now);
        const std::string home = unused > 0 ? homeOf(state, quota, now) : std::string();
        // Tokens that exceed the capacity are lost, so the limit still holds.
        if (home == state.settings.node)
            addTokens(quota, unused, now);
        else if (unused > 0)
            sendLoanReturn(state, home, name, unused);
        advanceQuota(quota, now);
        logPartChange(state, quota, name, "lease_ended", {}, now);
    }
}

void acceptReturnedTokens(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = findLimitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    addTokens(*quota, message.amount, now);
    admitWaitingOperations(state, message.subject, now);
    serveWaitingLoans(state, *quota, message.subject, now);
}

void answerLoanRequest(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = findLimitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    quota->actsAsHomeUntil = now + actingHomeDuration;
    markPartsInUse(state, *quota, now);
    if (message.betweenHomes) {
        const core::token_amount given = takeForOtherZone(*quota, message.amount, now);
        if (given == 0)
            return;
        logLoan(state, message.subject, "to_other_zone", given);
        sendLoanGrant(state, message.from, message.subject, given, message.priority, true,
                      message.askedAtUs);
        return;
    }
    countDemand(*quota, static_cast<double>(message.amount) / core::oneToken, now);
    // The request waits because the homes of other zones may have tokens to spare.
    if (quota->waitingLoanRequests.size() < maxWaitingLoans) {
        addLoanRequest(*quota, { message.from, message.amount, message.askedAtUs,
                                 now + loanRequestTimeout, message.priority });
        ++state.waitingLoans;
    }
    serveWaitingLoans(state, *quota, message.subject, now);
    requestTokensIfNeeded(state, *quota, message.subject, bestWaitingPriority(*quota), now);
}

namespace {

/// @brief Adds tokens that the home of another zone has lent, serves waiting operations and daemons
/// of this zone with them, and returns the tokens that exceed the capacity.
void acceptLoanFromOtherZone(engine &state, workspace_quota &quota, const peer_message &message,
                             core::time_point now)
{
    core::token_amount excess = addTokensWithOverflow(quota, message.amount, now);
    admitWaitingOperations(state, message.subject, now);
    serveWaitingLoans(state, quota, message.subject, now);
    // The operations and loans served above took tokens, so the bucket has room again.
    excess = addTokens(quota, excess, now);
    admitWaitingOperations(state, message.subject, now);
    if (excess > 0)
        sendLoanReturn(state, message.from, message.subject, excess);
}

} // namespace

void acceptLoan(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = findLimitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    if (message.betweenHomes) {
        acceptLoanFromOtherZone(state, *quota, message, now);
        return;
    }
    quota->loanRequestedAt = core::noDeadline;
    quota->requestedFor = 0;
    if (message.amount <= 0) {
        quota->homeEmptyUntil = now + emptyHomeBackoff;
        quota->homeEmptyPriority = message.priority;
        recordScarcity(*quota, now);
    }
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (now - asked <= grantMaxAge)
        addTokensWithOverflow(*quota, message.amount, now);
    admitWaitingOperations(state, message.subject, now);
    serveWaitingLoans(state, *quota, message.subject, now);
}

} // namespace fuchsiagw::proxy
