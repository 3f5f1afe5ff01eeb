/// @file
/// @brief Admission of operations, and the tokens that daemons ask each other for.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <algorithm>
#include <cmath>

namespace fuchsiagw::proxy {

namespace {

/// The home answers within a round trip inside the zone; later it counts as silent.
constexpr milliseconds askLimit{ 150 };
constexpr milliseconds silentHome{ 1'000 };
/// A daemon acts as the home this long after another one took it for it.
constexpr milliseconds homeLife{ 600 };
/// The others follow the list of daemons with pauses of up to three seconds.
constexpr milliseconds joinTime{ 5'000 };
constexpr milliseconds dryPause{ 60 };
/// Part of the caller's objective for which an operation waits for a token.
constexpr int tokenWaitDivisor = 5;
constexpr std::size_t otherHomesAsked = 3;
/// A question to the homes of other zones is answered in a round trip between zones.
constexpr milliseconds loanWait{ 25 };
constexpr std::size_t mostWaitingLoans = 64;
constexpr double millionths = 1e6;

std::string homeOf(engine &state, const workspace_quota &quota, core::time_point now)
{
    for (const std::string &each : quota.homes) {
        if (each == state.settings.node) {
            if (now >= state.fillsFrom)
                return each;
            continue;
        }
        const auto peer = state.peers.find(each);
        if (peer != state.peers.end() && peer->second.homeSilentUntil <= now)
            return each;
    }
    for (const std::string &each : quota.homes) {
        if (each != state.settings.node && now < state.fillsFrom)
            return each;
    }
    return state.settings.node;
}

/// @param betweenHomes a loan between the homes of two zones
void sendLoanMessage(engine &state, const std::string &peer, peer_message_kind kind,
                     const std::string &workspace, core::token_amount amount, bool betweenHomes)
{
    peer_message message;
    message.kind = kind;
    message.from = state.settings.node;
    message.incarnation = state.incarnation;
    message.subject = workspace;
    message.amount = amount;
    message.betweenHomes = betweenHomes;
    state.out.emplace_back(send_to_peer{ peer, std::move(message) });
}

/// Starts or stops to fill, with a line of each change.
void fill(engine &state, workspace_quota &quota, const std::string &workspace, bool fills,
          std::string_view reason, core::time_point now)
{
    if (quota.fills == fills)
        return;
    actAsHome(quota, fills, now);
    noteFill(state, quota, workspace, reason, now);
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

/// Gives tokens to the daemons of the zone that wait for them, and tells those that waited in vain.
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
        sendLoanMessage(state, next.node, peer_message_kind::LoanGrant, workspace, given, false);
        quota.loans.pop_front();
        --state.waitingLoans;
    }
}

void askOtherHomes(engine &state, workspace_quota &quota, const std::string &workspace,
                   core::token_amount amount)
{
    std::vector<std::string> others = quota.otherHomes;
    for (std::size_t i = 0; i < others.size() && i < otherHomesAsked; ++i) {
        std::swap(others[i], others[i + core::drawBelow(state.random, others.size() - i)]);
        sendLoanMessage(state, others[i], peer_message_kind::LoanRequest, workspace, amount, true);
    }
}

/// A daemon that has just joined does not fill even if it is asked: it asks the home before it
/// itself, and both would fill the same part of the limit.
bool mayFill(const engine &state, const workspace_quota &quota, bool isHome, core::time_point now)
{
    return now >= state.fillsFrom && (isHome || now < quota.homeUntil);
}

std::string_view fillReason(const engine &state, const workspace_quota &quota, bool isHome)
{
    if (!isHome)
        return "other_home";
    return quota.homes.front() == state.settings.node ? "first_in_order" : "homes_before_it_silent";
}

/// @brief Asks for tokens if this daemon holds fewer than it needs.
void askFor(engine &state, workspace_quota &quota, const std::string &workspace,
            core::time_point now)
{
    if (quota.askedAt != core::noDeadline && now - quota.askedAt > askLimit) {
        const auto silent = state.peers.find(homeOf(state, quota, now));
        if (silent != state.peers.end())
            silent->second.homeSilentUntil = now + silentHome;
        quota.askedAt = core::noDeadline;
    }
    const std::string home = homeOf(state, quota, now);
    const bool own = home == state.settings.node;
    const bool fills = mayFill(state, quota, own, now);
    fill(state, quota, workspace, fills, fillReason(state, quota, own), now);
    const auto amount = wanted(quota, now);
    if (!amount)
        return;
    if (own) {
        askOtherHomes(state, quota, workspace, *amount);
        return;
    }
    if (quota.askedAt == core::noDeadline)
        quota.askedAt = now;
    sendLoanMessage(state, home, peer_message_kind::LoanRequest, workspace, *amount, false);
}

core::duration untilToken(const workspace_quota &quota, core::time_point now)
{
    const core::time_point due = nextTokenAt(quota);
    if (due == core::noDeadline)
        return dryPause;
    return std::max<core::duration>(milliseconds(1), due - now);
}

} // namespace

void noteFill(engine &state, const workspace_quota &quota, const std::string &workspace,
              std::string_view reason, core::time_point now)
{
    const std::string home = homeOf(state, quota, now);
    const auto peer = state.peers.find(home);
    decision_note line;
    line.kind = note_kind::QuotaFillChanged;
    line.workspace = workspace;
    line.member = home;
    line.reason = reason;
    if (peer != state.peers.end())
        line.age = now - peer->second.lastHeard;
    line.number = quota.fills ? std::llround(quota.zoneShare * millionths) : 0;
    state.out.emplace_back(std::move(line));
}

void onJoined(engine &state, core::time_point now)
{
    state.fillsFrom = now + joinTime;
    reshapeQuotas(state, now);
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
        finishRefused(state, who, refusal_reason::RateExceeded, now, untilToken(*quota, now));
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
        const core::token_amount unused = quota.limited ? takeUnused(quota, now) : 0;
        const std::string home = unused > 0 ? homeOf(state, quota, now) : std::string();
        // Without a home the tokens are lost, which only errs towards the limit.
        if (unused > 0 && home != state.settings.node)
            sendLoanMessage(state, home, peer_message_kind::LoanReturn, name, unused, false);
    }
}

void takeBack(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = limitedQuota(state.quota, message.subject);
    if (quota == nullptr || !quota->fills)
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
    if (message.betweenHomes) {
        const core::token_amount given = lend(*quota, message.amount, now);
        if (given == 0)
            return;
        noteLent(state, message.subject, "to_other_zone", given);
        sendLoanMessage(state, message.from, peer_message_kind::LoanGrant, message.subject, given,
                        true);
        return;
    }
    quota->homeUntil = now + homeLife;
    const bool fills = mayFill(state, *quota, false, now);
    fill(state, *quota, message.subject, fills, "asked_as_home", now);
    countDemand(*quota, static_cast<double>(message.amount) / core::oneToken, now);
    // The homes of other zones may have tokens to spare, so that the answer waits for theirs.
    if (quota->loans.size() < mostWaitingLoans) {
        quota->loans.push_back({ message.from, message.amount, now + loanWait });
        ++state.waitingLoans;
    }
    serveLoans(state, *quota, message.subject, now);
    askFor(state, *quota, message.subject, now);
}

void takeLoan(engine &state, const peer_message &message, core::time_point now)
{
    workspace_quota *quota = limitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    if (!message.betweenHomes)
        quota->askedAt = core::noDeadline;
    if (message.amount <= 0) {
        quota->dryUntil = now + dryPause;
        serveTokenWaiters(state, message.subject, now);
        return;
    }
    core::token_amount left = receive(*quota, message.amount, now);
    serveTokenWaiters(state, message.subject, now);
    quota = limitedQuota(state.quota, message.subject);
    if (quota == nullptr)
        return;
    serveLoans(state, *quota, message.subject, now);
    // What was taken out meanwhile has made room.
    left = receive(*quota, left, now);
    serveTokenWaiters(state, message.subject, now);
    if (left > 0 && message.betweenHomes)
        sendLoanMessage(state, message.from, peer_message_kind::LoanReturn, message.subject, left,
                        false);
}

} // namespace fuchsiagw::proxy
