/// @file
/// @brief Admission of operations, and the tokens that daemons ask each other for.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// The home answers within a round trip inside the zone; later it counts as silent.
constexpr milliseconds askLimit{ 150 };
constexpr milliseconds silentHome{ 1'000 };
/// A daemon acts as the home this long after another one took it for it.
constexpr milliseconds homeLife{ 600 };
/// An older answer is not used: its tokens would come beside those that were earned since then.
constexpr milliseconds grantLife{ 400 };
constexpr milliseconds dryPause{ 60 };
/// Part of the caller's objective for which an operation waits for a token.
constexpr int tokenWaitDivisor = 5;
constexpr std::size_t otherHomesAsked = 3;
/// A question to the homes of other zones is answered in a round trip between zones.
constexpr milliseconds loanWait{ 25 };
constexpr std::size_t mostWaitingLoans = 64;

/// @param betweenHomes a loan between the homes of two zones
peer_message loanMessage(const engine &state, peer_message_kind kind, const std::string &workspace,
                         core::token_amount amount, bool betweenHomes)
{
    peer_message message = makeMessage(state, kind);
    message.subject = workspace;
    message.amount = amount;
    message.betweenHomes = betweenHomes;
    return message;
}

void askForTokens(engine &state, const std::string &peer, const std::string &workspace,
                  core::token_amount amount, bool betweenHomes, core::time_point now)
{
    peer_message message =
            loanMessage(state, peer_message_kind::LoanRequest, workspace, amount, betweenHomes);
    message.askedAtUs = now.time_since_epoch().count();
    state.out.emplace_back(send_to_peer{ peer, std::move(message) });
}

void grantTokens(engine &state, const std::string &peer, const std::string &workspace,
                 core::token_amount amount, bool betweenHomes, std::int64_t askedAtUs)
{
    peer_message message =
            loanMessage(state, peer_message_kind::LoanGrant, workspace, amount, betweenHomes);
    message.askedAtUs = askedAtUs;
    state.out.emplace_back(send_to_peer{ peer, std::move(message) });
}

void returnTokens(engine &state, const std::string &peer, const std::string &workspace,
                  core::token_amount amount)
{
    state.out.emplace_back(send_to_peer{
            peer, loanMessage(state, peer_message_kind::LoanReturn, workspace, amount, false) });
}

void noteLent(engine &state, const std::string &workspace, std::string_view reason,
              core::token_amount amount)
{
    decision_note line;
    line.kind = note_kind::QuotaLent;
    line.workspace = workspace;
    line.reason = reason;
    line.number = amount / core::oneToken;
    state.out.emplace_back(std::move(line));
}

void askOtherHomes(engine &state, workspace_quota &quota, const std::string &workspace,
                   core::token_amount amount, core::time_point now)
{
    std::vector<std::string> others = quota.otherHomes;
    for (std::size_t i = 0; i < others.size() && i < otherHomesAsked; ++i) {
        std::swap(others[i], others[i + core::drawBelow(state.random, others.size() - i)]);
        askForTokens(state, others[i], workspace, amount, true, now);
    }
}

/// @brief Asks for tokens if this daemon holds fewer than it needs.
void askFor(engine &state, workspace_quota &quota, const std::string &workspace,
            core::time_point now)
{
    if (quota.askedAt != core::noDeadline && now - quota.askedAt > askLimit) {
        const auto silent = state.peers.find(homeOf(state, quota, now));
        if (silent != state.peers.end())
            silent->second.homeAvoidedUntil = now + silentHome;
        quota.askedAt = core::noDeadline;
    }
    const std::string home = homeOf(state, quota, now);
    const auto amount = wanted(quota, now);
    if (!amount)
        return;
    useParts(state, quota, now);
    if (home == state.settings.node) {
        askOtherHomes(state, quota, workspace, *amount, now);
        return;
    }
    if (quota.askedAt == core::noDeadline)
        quota.askedAt = now;
    askForTokens(state, home, workspace, *amount, false, now);
}

core::duration untilToken(const workspace_quota &quota, core::time_point now)
{
    const core::time_point due = nextTokenAt(quota);
    if (due == core::noDeadline)
        return dryPause;
    return std::max<core::duration>(milliseconds(1), due - now);
}

} // namespace

void serveLoans(engine &state, workspace_quota &quota, const std::string &workspace,
                core::time_point now)
{
    while (!quota.loans.empty()) {
        const waiting_loan &next = quota.loans.front();
        const core::token_amount given = hand(quota, next.amount, now);
        if (given == 0 && now < next.until)
            return;
        if (given > 0)
            noteLent(state, workspace, "to_own_zone", given);
        grantTokens(state, next.node, workspace, given, false, next.askedAtUs);
        quota.loans.pop_front();
        --state.waitingLoans;
    }
}

bool admitOperation(engine &state, session &who, core::time_point now)
{
    request &what = *who.current;
    if (what.admitted)
        return true;
    ++state.counters.operations;
    workspace_quota *quota = limitedQuota(state.quota, who.workspace);
    if (quota == nullptr) {
        what.admitted = true;
        return true;
    }
    countDemand(*quota, 1, now);
    askFor(state, *quota, who.workspace, now);
    if (quota->waiters.empty() && admit(*quota, now)) {
        what.admitted = true;
        return true;
    }
    if (now < quota->dryUntil) {
        refuseRequest(state, who, refusal_reason::RateExceeded, now, untilToken(*quota, now));
        return false;
    }
    const auto via = state.config->routes.find(who.database);
    what.awaitsToken = true;
    what.waitUntil = now + via->second.latencyObjective / tokenWaitDivisor;
    quota->waiters.push_back(who.id);
    return false;
}

void serveTokenWaiters(engine &state, const std::string &workspace, core::time_point now)
{
    workspace_quota *quota = limitedQuota(state.quota, workspace);
    while (quota != nullptr && !quota->waiters.empty()) {
        session *who = findSession(state, quota->waiters.front());
        const bool waits = who != nullptr && who->current && who->current->awaitsToken;
        if (waits && !admit(*quota, now))
            return;
        quota->waiters.pop_front();
        if (!waits)
            continue;
        who->current->awaitsToken = false;
        who->current->admitted = true;
        resume(state, *who, now);
        quota = limitedQuota(state.quota, workspace);
    }
}

void stepQuotas(engine &state, core::time_point now)
{
    for (auto &[name, quota] : state.quota.workspaces) {
        if (quota.waiters.empty() && quota.loans.empty())
            continue;
        askFor(state, quota, name, now);
        serveTokenWaiters(state, name, now);
        serveLoans(state, quota, name, now);
    }
}

void returnUnusedTokens(engine &state, core::time_point now)
{
    for (auto &[name, quota] : state.quota.workspaces) {
        if (!quota.limited)
            continue;
        const core::token_amount unused = takeUnused(quota, now);
        const std::string home = unused > 0 ? homeOf(state, quota, now) : std::string();
        // What does not fit is lost, which only errs towards the limit.
        if (home == state.settings.node)
            receive(quota, unused, now);
        else if (unused > 0)
            returnTokens(state, home, name, unused);
        settle(quota, now);
        notePart(state, quota, name, "lease_ended", {}, now);
    }
}

void takeBack(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = limitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    receive(*quota, message.amount, now);
    serveTokenWaiters(state, message.subject, now);
    serveLoans(state, *quota, message.subject, now);
}

void answerLoanRequest(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = limitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    quota->homeUntil = now + homeLife;
    useParts(state, *quota, now);
    if (message.betweenHomes) {
        const core::token_amount given = lend(*quota, message.amount, now);
        if (given == 0)
            return;
        noteLent(state, message.subject, "to_other_zone", given);
        grantTokens(state, message.from, message.subject, given, true, message.askedAtUs);
        return;
    }
    countDemand(*quota, static_cast<double>(message.amount) / core::oneToken, now);
    // The homes of other zones may have tokens to spare, so that the answer waits for theirs.
    if (quota->loans.size() < mostWaitingLoans) {
        quota->loans.push_back({ message.from, message.amount, message.askedAtUs, now + loanWait });
        ++state.waitingLoans;
    }
    serveLoans(state, *quota, message.subject, now);
    askFor(state, *quota, message.subject, now);
}

namespace {

/// Tokens from the home of another zone: they may go to the daemons that wait for some, and what
/// does not fit goes back.
void takeLoanOfHome(engine &state, workspace_quota &quota, const peer_message &message,
                    core::time_point now)
{
    core::token_amount left = receiveHanded(quota, message.amount, now);
    serveTokenWaiters(state, message.subject, now);
    serveLoans(state, quota, message.subject, now);
    // What was taken out meanwhile has made room.
    left = receive(quota, left, now);
    serveTokenWaiters(state, message.subject, now);
    if (left > 0)
        returnTokens(state, message.from, message.subject, left);
}

} // namespace

void takeLoan(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = limitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    if (message.betweenHomes) {
        takeLoanOfHome(state, *quota, message, now);
        return;
    }
    quota->askedAt = core::noDeadline;
    if (message.amount <= 0)
        quota->dryUntil = now + dryPause;
    const core::time_point asked{ core::duration(message.askedAtUs) };
    if (now - asked <= grantLife)
        receiveHanded(*quota, message.amount, now);
    serveTokenWaiters(state, message.subject, now);
    serveLoans(state, *quota, message.subject, now);
}

} // namespace fuchsiagw::proxy
