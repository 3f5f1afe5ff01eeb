/// @file
/// @brief Opens, reuses and closes links to members and sends requests on them.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsiagw::proxy {

namespace {

/// Timeout for opening a direct connection.
constexpr milliseconds connectTimeout{ 1'000 };
/// Timeout for borrowing a connection. A relay without a free connection refuses earlier, so a
/// relay that exceeds the timeout does not respond.
constexpr milliseconds borrowTimeout{ 700 };
constexpr milliseconds maxBorrowWait{ 450 };
/// A link stays open this long for an answer that no request waits for any more.
constexpr milliseconds orphanedAnswerTimeout{ 3'000 };
/// Idle timeout of links beyond maxIdleLinks().
constexpr milliseconds surplusIdleTimeout{ 60 };
/// Idle timeout of links within maxIdleLinks().
constexpr milliseconds retainedIdleTimeout{ 20'000 };
/// Number of daemons tried as relay; if all of them fail, a daemon opens connections itself.
constexpr std::size_t maxRankedRelays = 12;
/// Limit of links to one member that are being opened at a time.
constexpr std::size_t maxConnecting = 8;
/// Prepared name and shape of a confirmation; the other names on a link
/// are numbers, which are shorter.
constexpr const char *confirmationName = "begun";
/// Fraction of a member's connections that all daemons together may keep open while idle.
constexpr double idleConnectionShare = 0.75;

/// @return a name that no other number has; the first ones have one character, so that an EXECUTE
/// does not become longer than the caller's
std::string preparedName(std::size_t number)
{
    constexpr std::string_view digits =
            "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
    std::string name(1, digits[number % digits.size()]);
    while ((number /= digits.size()) > 0)
        name += digits[number % digits.size()];
    return name;
}

/// @return whether the link's values can be changed into the session's without a Discard
bool canExtend(const upstream_link &link, const session &caller)
{
    return std::all_of(link.values.begin(), link.values.end(),
                       [&](const auto &each) { return caller.values.contains(each.first); });
}

/// @return 2 if the link has the session's values, 1 if it can be extended to them, otherwise 0
int matchScore(const upstream_link &link, const session &caller)
{
    if (link.values == caller.values)
        return 2;
    return canExtend(link, caller) ? 1 : 0;
}

void expectAnswer(upstream_link &link, answer_role role, core::time_point now,
                  const session *caller = nullptr)
{
    expected_answer next;
    next.role = role;
    next.sentAt = now;
    if (caller != nullptr) {
        next.session = caller->id;
        next.serial = caller->current->serial;
    }
    link.expected.push_back(next);
}

upstream_command makeCommand(command_kind kind, std::string name = {}, std::string argument = {})
{
    upstream_command result;
    result.kind = kind;
    result.name = std::move(name);
    result.argument = std::move(argument);
    return result;
}

/// Adds the commands that give the connection the session's values and prepared statement.
void addPreparation(upstream_link &link, const session &caller,
                    std::vector<upstream_command> &batch, core::time_point now)
{
    if (!canExtend(link, caller)) {
        batch.push_back(makeCommand(command_kind::Discard));
        expectAnswer(link, answer_role::Preparation, now);
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto &[name, value] : caller.values) {
        const auto known = link.values.find(name);
        if (known != link.values.end() && known->second == value)
            continue;
        batch.push_back(makeCommand(command_kind::SetValue, name, value));
        expectAnswer(link, answer_role::Preparation, now);
        link.values[name] = value;
    }
    const caller_statement &statement = caller.current->statement;
    if (statement.kind != statement_kind::Execute || link.prepared.contains(statement.prepared))
        return;
    // A shape may hold any bytes, blanks among them, so the name is not derived from it.
    upstream_command prepare =
            makeCommand(command_kind::Prepare, preparedName(link.prepared.size()));
    prepare.prepared = statement.prepared;
    link.prepared.emplace(statement.prepared, prepare.name);
    batch.push_back(std::move(prepare));
    expectAnswer(link, answer_role::Preparation, now);
}

void addBegin(upstream_link &link, const session &caller, std::vector<upstream_command> &batch,
              core::time_point now)
{
    const request &pending = *caller.current;
    // Only a read-write begin proves that the member is the leader.
    const bool plainBegin = pending.where.needsPrimary;
    link.beginProvesLeader = plainBegin;
    link.beginPosition.reset();
    upstream_command begin =
            makeCommand(plainBegin ? command_kind::Begin : command_kind::BeginReadOnly);
    if (!plainBegin)
        begin.after = pending.where.minPosition;
    batch.push_back(std::move(begin));
    expectAnswer(link, answer_role::Begin, now, &caller);
}

upstream_command makeForward(const upstream_link &link, const session &caller)
{
    const request &pending = *caller.current;
    upstream_command command;
    command.kind = command_kind::Forward;
    command.id = pending.statement.id;
    command.text = pending.statement.text;
    if (pending.statement.kind == statement_kind::Execute) {
        command.executes = true;
        command.name = link.prepared.at(pending.statement.prepared);
        command.argument = pending.statement.argument;
    }
    return command;
}

void addStatement(upstream_link &link, const session &caller, std::vector<upstream_command> &batch,
                  core::time_point now)
{
    const request &pending = *caller.current;
    upstream_command statement = makeForward(link, caller);
    const bool outsideTransaction = caller.state == transaction_state::Idle;
    if (outsideTransaction && !pending.where.needsPrimary)
        statement.after = pending.where.minPosition;
    batch.push_back(std::move(statement));
    expectAnswer(link, answer_role::Statement, now, &caller);
}

upstream_link *bestIdle(engine &state, const member_state &member, const session &caller)
{
    upstream_link *best = nullptr;
    for (const link_id id : member.links) {
        upstream_link &link = state.links.at(id);
        if (link.state != link_state::Idle || link.control || link.workspace != caller.workspace)
            continue;
        if (best == nullptr || matchScore(link, caller) > matchScore(*best, caller)
            || (matchScore(link, caller) == matchScore(*best, caller)
                && link.idleSince > best->idleSince))
            best = &link;
    }
    return best;
}

std::size_t connectingLinks(const engine &state, const member_state &member)
{
    return static_cast<std::size_t>(
            std::count_if(member.links.begin(), member.links.end(), [&](link_id id) {
                const upstream_link &link = state.links.at(id);
                return link.state == link_state::Connecting && !link.control;
            }));
}

std::uint32_t connectionLimit(const engine &state, const member_state &member)
{
    if (!state.config)
        return 1;
    const auto found = state.config->services.find(member.entry.service);
    return found == state.config->services.end() ? 1 : found->second.maxConnections;
}

} // namespace

upstream_command makeConfirmation()
{
    upstream_command command = makeCommand(command_kind::Prepare, confirmationName);
    command.prepared = { false, confirmationName };
    return command;
}

std::uint32_t maxIdleLinks(const engine &state, const member_state &member)
{
    const double share = connectionLimit(state, member) * idleConnectionShare
                         / std::max<std::uint32_t>(1, state.instances);
    return static_cast<std::uint32_t>(share);
}

upstream_link *acquireLink(engine &state, member_state &member, const session &caller,
                           link_id &opening, core::time_point now)
{
    if (upstream_link *idle = bestIdle(state, member, caller)) {
        ++state.counters.linksReused;
        return idle;
    }
    const upstream_link *connecting = findLink(state, opening);
    const bool alreadyOpening = connecting != nullptr && connecting->state == link_state::Connecting
                                && connecting->member == member.entry.id;
    if (alreadyOpening || member.connectionLimitUntil > now
        || connectingLinks(state, member) >= maxConnecting)
        return nullptr;
    opening = openLink(state, member, caller.workspace, false, now, &caller);
    upstream_link *link = findLink(state, opening);
    // A relay that refuses has forwarded nothing, so the statement can be sent together with
    // Startup. A direct link must be open first: if its connection ended, it would be unknown
    // whether the member ran the statement.
    return link->relay.empty() ? nullptr : link;
}

namespace {

/// @return the mean capacity of the daemons that have one, used for the others; 1 if none has
double meanCapacity(const engine &state)
{
    double sum = state.settings.capacity;
    std::size_t count = sum > 0 ? 1 : 0;
    for (const auto &[name, peer] : state.peers) {
        sum += peer.capacity;
        count += peer.capacity > 0 ? 1 : 0;
    }
    return count == 0 ? 1 : sum / static_cast<double>(count);
}

/// Ranks the daemons that may be the relay of a member, those of its zone first and larger ones
/// more often.
std::vector<std::string> rankRelays(const engine &state, const member_state &member)
{
    struct candidate
    {
        bool inMemberZone = false;
        double score = 0;
        std::string node;
        bool operator>(const candidate &other) const
        {
            return std::tie(inMemberZone, score, node)
                   > std::tie(other.inMemberZone, other.score, other.node);
        }
    };
    std::vector<candidate> all;
    const double unknown = meanCapacity(state);
    const auto consider = [&](const std::string &node, const std::string &zone, double capacity) {
        const double weight = capacity > 0 ? capacity : unknown;
        const double score =
                core::weightedScore(core::stableHash(node + "/" + member.entry.id), weight);
        all.push_back({ zone == member.entry.zone, score, node });
    };
    consider(state.settings.node, state.settings.zone, state.settings.capacity);
    for (const auto &[name, peer] : state.peers)
        consider(name, peer.zone, peer.capacity);
    const std::size_t kept = std::min(maxRankedRelays, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(),
                      std::greater<>());
    std::vector<std::string> relays;
    for (std::size_t i = 0; i < kept; ++i)
        relays.push_back(std::move(all[i].node));
    return relays;
}

} // namespace

std::string relayNodeFor(const engine &state, member_state &member, core::time_point now,
                         std::size_t skipped)
{
    if (member.relaysVersion != state.peersVersion) {
        member.relays = rankRelays(state, member);
        member.relaysVersion = state.peersVersion;
    }
    for (const std::string &node : member.relays) {
        const auto peer = state.peers.find(node);
        const bool isUsable =
                node == state.settings.node
                        ? !state.stopping
                        : peer != state.peers.end() && peer->second.relayAvoidedUntil <= now;
        if (isUsable && skipped-- == 0)
            return node;
    }
    return state.settings.node;
}

namespace {

/// An operation may wait at the relay for twice its latency objective, as a late answer is of more
/// use to its caller than none, and no longer than borrowTimeout leaves time for the relay's
/// refusal.
borrow_terms termsOf(const request &pending, core::time_point now)
{
    borrow_terms terms;
    terms.priority = std::max(0, pending.effectiveRoute.priority);
    terms.wait = std::clamp<core::duration>(
            pending.arrived + 2 * pending.effectiveRoute.latencyObjective - now,
            core::duration::zero(), maxBorrowWait);
    terms.isExclusive = pending.where.needsPrimary;
    return terms;
}

} // namespace

link_id openLink(engine &state, member_state &member, const std::string &workspace, bool direct,
                 core::time_point now, const session *caller)
{
    upstream_link link;
    if (!direct)
        link.relay = relayNodeFor(state, member, now);
    // The own relay lends nothing during a shutdown.
    if (state.stopping && link.relay == state.settings.node)
        link.relay.clear();
    link.id = ++state.lastLink;
    link.member = member.entry.id;
    link.workspace = workspace;
    link.openedAt = now;
    link.lastSent = now;
    link.answerDeadline = now + (link.relay.empty() ? connectTimeout : borrowTimeout);
    expectAnswer(link, answer_role::Startup, now);
    const link_id id = link.id;
    const std::string relay = link.relay;
    state.links.emplace(id, std::move(link));
    member.links.insert(id);
    ++state.counters.linksOpened;
    state.out.emplace_back(open_link{ id, member.entry.address, relay });
    upstream_command startup = makeCommand(command_kind::Startup, member.entry.service, workspace);
    startup.id = member.entry.id;
    if (state.settings.priorityAdmission && caller != nullptr && !relay.empty())
        startup.borrow = termsOf(*caller->current, now);
    state.out.emplace_back(send_to_member{ id, { std::move(startup) } });
    return id;
}

void sendRequest(engine &state, upstream_link &link, session &caller, core::time_point now)
{
    request &pending = *caller.current;
    std::vector<upstream_command> batch;
    addPreparation(link, caller, batch, now);
    const bool opensTransaction =
            pending.startsOperation && caller.state != transaction_state::Idle;
    link.beginFailed = false;
    if (opensTransaction || pending.where.wrapsInTransaction)
        addBegin(link, caller, batch, now);
    if (opensTransaction) {
        // The statement is sent only after the member has confirmed the begin. If it were sent
        // together with a begin that is refused, it would run outside of a transaction.
        batch.push_back(makeConfirmation());
        expectAnswer(link, answer_role::Confirmation, now, &caller);
        link.pinnedTo = caller.id;
        link.awaitsBegin = true;
        caller.transaction->link = link.id;
    } else {
        addStatement(link, caller, batch, now);
    }
    if (pending.where.wrapsInTransaction) {
        batch.push_back(makeCommand(command_kind::Rollback));
        expectAnswer(link, answer_role::Cleanup, now);
    }
    if (link.state == link_state::Idle)
        link.state = link_state::Busy;
    link.lastSent = now;
    if (link.state == link_state::Busy)
        link.answerDeadline = std::max(pending.deadline, now) + orphanedAnswerTimeout;
    pending.wasSent = true;
    ++pending.tries;
    pending.outstandingLinks.push_back(link.id);
    beginEvidence(state, link, caller, now);
    if (member_state *member = findMember(state, link.member)) {
        ++member->outstanding;
        recordEvacuatedWork(state, *member, now);
    }
    state.out.emplace_back(send_to_member{ link.id, std::move(batch) });
}

void sendFirstStatement(engine &state, upstream_link &link, const session &caller,
                        core::time_point now)
{
    std::vector<upstream_command> batch;
    addStatement(link, caller, batch, now);
    link.awaitsBegin = false;
    link.lastSent = now;
    state.out.emplace_back(send_to_member{ link.id, std::move(batch) });
}

void closeLink(engine &state, link_id id, bool graceful, core::time_point now)
{
    state.out.emplace_back(close_link{ id, graceful });
    onLinkClosed(state, id, now);
}

void releaseLink(engine &state, upstream_link &link, core::time_point now)
{
    link.state = link_state::Idle;
    link.idleSince = now;
    link.pinnedTo = 0;
    link.answerDeadline = core::noDeadline;
    const std::string member = link.member;
    const link_id id = link.id;
    const auto found = state.members.find(member);
    if (found == state.members.end() || link.tainted || link.hasSeenError) {
        closeLink(state, id, true, now);
        return;
    }
    if (service_state *service = findService(state, found->second.entry.service))
        serveQueue(state, *service, now);
    const upstream_link *remaining = findLink(state, id);
    // A borrowed connection is returned immediately; other daemons may wait for it at the relay.
    const bool borrowed = remaining != nullptr && !remaining->relay.empty();
    const bool unwanted =
            borrowed || !found->second.listed || found->second.entry.draining || state.stopping;
    if (remaining != nullptr && remaining->state == link_state::Idle && unwanted)
        closeLink(state, id, true, now);
}

void giveUpBegin(engine &state, upstream_link &link)
{
    if (!std::exchange(link.awaitsBegin, false))
        return;
    if (member_state *member = findMember(state, link.member))
        member->outstanding -= member->outstanding > 0 ? 1 : 0;
}

void rollBack(engine &state, upstream_link &link, core::time_point now)
{
    giveUpBegin(state, link);
    link.pinnedTo = 0;
    // The rollback is sent after commands whose answers are outstanding; the member runs them
    // first.
    state.out.emplace_back(send_to_member{ link.id, { makeCommand(command_kind::Rollback) } });
    expectAnswer(link, answer_role::Cleanup, now);
    link.lastSent = now;
    link.answerDeadline = now + orphanedAnswerTimeout;
}

void trimLinks(engine &state, core::time_point now)
{
    std::vector<link_id> surplus;
    for (auto &[id, member] : state.members) {
        std::vector<const upstream_link *> idle;
        for (const link_id each : member.links) {
            const upstream_link &link = state.links.at(each);
            const bool asksReplica =
                    link.control && now - member.evidenceAskedAt < retainedIdleTimeout;
            if (link.state == link_state::Idle && !asksReplica)
                idle.push_back(&link);
        }
        const std::size_t kept = maxIdleLinks(state, member);
        std::sort(idle.begin(), idle.end(), [](const auto *left, const auto *right) {
            return left->idleSince > right->idleSince;
        });
        const std::size_t busy = member.links.size() - idle.size();
        for (std::size_t i = 0; i < idle.size(); ++i) {
            const bool extra = busy + i >= kept;
            const core::duration limit = extra ? surplusIdleTimeout : retainedIdleTimeout;
            if (now - idle[i]->idleSince >= limit)
                surplus.push_back(idle[i]->id);
        }
    }
    for (const link_id id : surplus)
        closeLink(state, id, true, now);
}

} // namespace fuchsiagw::proxy
