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
                     core::token_amount amount, bool betweenHomes, core::time_point now)
{
    peer_message message =
            loanMessage(state, peer_message_kind::LoanRequest, workspace, amount, betweenHomes);
    message.askedAtUs = now.time_since_epoch().count();
    state.out.emplace_back(send_to_peer{ peer, std::move(message) });
}

void sendLoanGrant(engine &state, const std::string &peer, const std::string &workspace,
                   core::token_amount amount, bool betweenHomes, std::int64_t askedAtUs)
{
    peer_message message =
            loanMessage(state, peer_message_kind::LoanGrant, workspace, amount, betweenHomes);
    message.askedAtUs = askedAtUs;
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
                           core::token_amount amount, core::time_point now)
{
    std::vector<std::string> others = quota.otherHomes;
    for (std::size_t i = 0; i < others.size() && i < maxOtherHomesAsked; ++i) {
        std::swap(others[i], others[i + core::drawBelow(state.random, others.size() - i)]);
        sendLoanRequest(state, others[i], workspace, amount, true, now);
    }
}

/// @brief Requests tokens from the home, or from other zones if this daemon is the home, if it
/// holds fewer than it needs.
void requestTokensIfNeeded(engine &state, workspace_quota &quota, const std::string &workspace,
                           core::time_point now)
{
    if (quota.loanRequestedAt != core::noDeadline
        && now - quota.loanRequestedAt > homeReplyTimeout) {
        const auto silentHome = state.peers.find(homeOf(state, quota, now));
        if (silentHome != state.peers.end())
            silentHome->second.homeAvoidedUntil = now + silentHomeBackoff;
        quota.loanRequestedAt = core::noDeadline;
    }
    const std::string home = homeOf(state, quota, now);
    const auto amount = tokensToRequest(quota, now);
    if (!amount)
        return;
    markPartsInUse(state, quota, now);
    if (home == state.settings.node) {
        requestFromOtherHomes(state, quota, workspace, *amount, now);
        return;
    }
    if (quota.loanRequestedAt == core::noDeadline)
        quota.loanRequestedAt = now;
    sendLoanRequest(state, home, workspace, *amount, false, now);
}

core::duration timeUntilToken(const workspace_quota &quota, core::time_point now)
{
    const core::time_point due = nextTokenAt(quota);
    if (due == core::noDeadline)
        return emptyHomeBackoff;
    return std::max<core::duration>(milliseconds(1), due - now);
}

} // namespace

void serveWaitingLoans(engine &state, workspace_quota &quota, const std::string &workspace,
                       core::time_point now)
{
    while (!quota.waitingLoanRequests.empty()) {
        const waiting_loan_request &next = quota.waitingLoanRequests.front();
        const core::token_amount given = takeForZonePeer(quota, next.amount, now);
        if (given == 0 && now < next.deadline)
            return;
        if (given > 0)
            logLoan(state, workspace, "to_own_zone", given);
        sendLoanGrant(state, next.node, workspace, given, false, next.askedAtUs);
        quota.waitingLoanRequests.pop_front();
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
    requestTokensIfNeeded(state, *quota, who.workspace, now);
    if (quota->waitingSessions.empty() && admit(*quota, now)) {
        what.admitted = true;
        return true;
    }
    if (now < quota->homeEmptyUntil) {
        refuseRequest(state, who, refusal_reason::RateExceeded, now, timeUntilToken(*quota, now));
        return false;
    }
    const auto routeEntry = state.config->routes.find(who.database);
    what.awaitsToken = true;
    what.waitUntil = now + routeEntry->second.latencyObjective / tokenWaitDivisor;
    quota->waitingSessions.push_back(who.id);
    return false;
}

void admitWaitingOperations(engine &state, const std::string &workspace, core::time_point now)
{
    workspace_quota *quota = findLimitedQuota(state.quota, workspace);
    while (quota != nullptr && !quota->waitingSessions.empty()) {
        session *who = findSession(state, quota->waitingSessions.front());
        const bool isWaiting = who != nullptr && who->current && who->current->awaitsToken;
        if (isWaiting && !admit(*quota, now))
            return;
        quota->waitingSessions.pop_front();
        if (!isWaiting)
            continue;
        who->current->awaitsToken = false;
        who->current->admitted = true;
        resume(state, *who, now);
        quota = findLimitedQuota(state.quota, workspace);
    }
}

void stepQuotas(engine &state, core::time_point now)
{
    for (auto &[name, quota] : state.quota.workspaces) {
        if (quota.waitingSessions.empty() && quota.waitingLoanRequests.empty())
            continue;
        requestTokensIfNeeded(state, quota, name, now);
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
        sendLoanGrant(state, message.from, message.subject, given, true, message.askedAtUs);
        return;
    }
    countDemand(*quota, static_cast<double>(message.amount) / core::oneToken, now);
    // The request waits because the homes of other zones may have tokens to spare.
    if (quota->waitingLoanRequests.size() < maxWaitingLoans) {
        quota->waitingLoanRequests.push_back(
                { message.from, message.amount, message.askedAtUs, now + loanRequestTimeout });
        ++state.waitingLoans;
    }
    serveWaitingLoans(state, *quota, message.subject, now);
    requestTokensIfNeeded(state, *quota, message.subject, now);
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
    if (message.amount <= 0)
        quota->homeEmptyUntil = now + emptyHomeBackoff;
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (now - asked <= grantMaxAge)
        addTokensWithOverflow(*quota, message.amount, now);
    admitWaitingOperations(state, message.subject, now);
    serveWaitingLoans(state, *quota, message.subject, now);
}

} // namespace fuchsiagw::proxy
