/// @file
/// @brief Connections to members: opening, reuse, what is sent on them.

#include <fuchsiagw/detail/engine_steps.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// A connection that does not become usable within this time is given up.
constexpr milliseconds connectLimit{ 1'000 };
/// A keeper that lends nothing refuses before; this one does not answer.
constexpr milliseconds borrowLimit{ 700 };
/// An answer that nobody waits for any more is waited for this long before its link is closed.
constexpr milliseconds orphanLimit{ 3'000 };
/// Idle links beyond those that this daemon may keep are closed after this time.
constexpr milliseconds extraIdleLimit{ 60 };
constexpr milliseconds keptIdleLimit{ 20'000 };
/// Daemons that are tried in order; without any of them a daemon opens connections itself.
constexpr std::size_t rankedKeepers = 12;
/// Connections that this daemon asks for at a time, for one member.
constexpr std::size_t maxConnecting = 8;
/// Of a member's connections, the part that the daemons together keep open while idle.
constexpr double keptShare = 0.75;

std::string preparedName(const prepared_shape &shape)
{
    return (shape.writes ? "w_" : "r_") + shape.shape;
}

/// @return whether the link's values can be turned into the session's without a discard
bool canExtend(const upstream_link &link, const session &who)
{
    return std::all_of(link.values.begin(), link.values.end(),
                       [&](const auto &each) { return who.values.contains(each.first); });
}

int fitOf(const upstream_link &link, const session &who)
{
    if (link.values == who.values)
        return 2;
    return canExtend(link, who) ? 1 : 0;
}

void expectAnswer(upstream_link &link, answer_role role, const session *who = nullptr)
{
    expected_answer next;
    next.role = role;
    if (who != nullptr) {
        next.session = who->id;
        next.serial = who->current->serial;
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

/// Brings the member's idea of the session's values and prepared statement up to date.
void addPreparation(upstream_link &link, const session &who, std::vector<upstream_command> &batch)
{
    if (!canExtend(link, who)) {
        batch.push_back(makeCommand(command_kind::Discard));
        expectAnswer(link, answer_role::Preparation);
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto &[name, value] : who.values) {
        const auto known = link.values.find(name);
        if (known != link.values.end() && known->second == value)
            continue;
        batch.push_back(makeCommand(command_kind::SetValue, name, value));
        expectAnswer(link, answer_role::Preparation);
        link.values[name] = value;
    }
    const caller_statement &statement = who.current->statement;
    if (statement.kind != statement_kind::Execute || link.prepared.contains(statement.prepared))
        return;
    upstream_command prepare = makeCommand(command_kind::Prepare, preparedName(statement.prepared));
    prepare.prepared = statement.prepared;
    batch.push_back(std::move(prepare));
    expectAnswer(link, answer_role::Preparation);
    link.prepared.insert(statement.prepared);
}

void addBegin(upstream_link &link, const session &who, std::vector<upstream_command> &batch)
{
    const request &what = *who.current;
    // A plain begin also proves that the member leads, which a read-only one does not.
    const bool plain = what.where.needsPrimary;
    link.plainBegin = plain;
    upstream_command begin = makeCommand(plain ? command_kind::Begin : command_kind::BeginReadOnly);
    if (!plain)
        begin.after = what.where.minPosition;
    batch.push_back(std::move(begin));
    expectAnswer(link, answer_role::Begin, &who);
}

upstream_command forwarded(const session &who)
{
    const request &what = *who.current;
    upstream_command command;
    command.kind = command_kind::Forward;
    command.id = what.statement.id;
    command.text = what.statement.text;
    if (what.statement.kind == statement_kind::Execute) {
        command.executes = true;
        command.name = preparedName(what.statement.prepared);
        command.argument = what.statement.argument;
    }
    return command;
}

void addStatement(upstream_link &link, const session &who, std::vector<upstream_command> &batch)
{
    const request &what = *who.current;
    upstream_command statement = forwarded(who);
    const bool alone = who.state == transaction_state::Idle;
    if (alone && !what.where.needsPrimary)
        statement.after = what.where.minPosition;
    batch.push_back(std::move(statement));
    expectAnswer(link, answer_role::Statement, &who);
}

upstream_link *bestIdle(engine &state, const member_state &member, const session &who)
{
    upstream_link *best = nullptr;
    for (const link_id id : member.links) {
        upstream_link &link = state.links.at(id);
        if (link.state != link_state::Idle || link.control || link.workspace != who.workspace)
            continue;
        if (best == nullptr || fitOf(link, who) > fitOf(*best, who)
            || (fitOf(link, who) == fitOf(*best, who) && link.idleSince > best->idleSince))
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

std::uint32_t keptLinks(const engine &state, const member_state &member)
{
    const double share = connectionLimit(state, member) * keptShare
                         / std::max<std::uint32_t>(1, state.instances);
    return static_cast<std::uint32_t>(share);
}

upstream_link *acquireLink(engine &state, member_state &member, const session &who,
                           link_id &opening, core::time_point now)
{
    if (upstream_link *idle = bestIdle(state, member, who)) {
        ++state.counters.linksReused;
        return idle;
    }
    const upstream_link *begun = findLink(state, opening);
    const bool waits = begun != nullptr && begun->state == link_state::Connecting
                       && begun->member == member.entry.id;
    if (waits || member.limitUntil > now || connectingLinks(state, member) >= maxConnecting)
        return nullptr;
    opening = openLink(state, member, who.workspace, false, now);
    upstream_link *link = findLink(state, opening);
    // A keeper that refuses has passed nothing on, so the statement can go with the opening. A
    // member itself is asked first, as the end of its connection would not tell.
    return link->via.empty() ? nullptr : link;
}

namespace {

/// Daemons that may keep a member's connections, those of its zone first.
std::vector<std::string> rankKeepers(const engine &state, const member_state &member)
{
    struct candidate
    {
        bool near = false;
        std::uint64_t score = 0;
        std::string node;
        auto operator<=>(const candidate &) const = default;
    };
    std::vector<candidate> all;
    const auto consider = [&](const std::string &node, const std::string &zone) {
        const std::uint64_t score = core::stableHash(node + "/" + member.entry.id);
        all.push_back({ zone == member.entry.zone, score, node });
    };
    consider(state.settings.node, state.settings.zone);
    for (const auto &[name, peer] : state.peers)
        consider(name, peer.zone);
    const std::size_t kept = std::min(rankedKeepers, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(),
                      std::greater<>());
    std::vector<std::string> keepers;
    for (std::size_t i = 0; i < kept; ++i)
        keepers.push_back(std::move(all[i].node));
    return keepers;
}

} // namespace

std::string keeperOf(const engine &state, member_state &member, core::time_point now)
{
    if (member.keepersVersion != state.peersVersion) {
        member.keepers = rankKeepers(state, member);
        member.keepersVersion = state.peersVersion;
    }
    for (const std::string &node : member.keepers) {
        const auto peer = state.peers.find(node);
        if (node == state.settings.node
            || (peer != state.peers.end() && peer->second.keeperSilentUntil <= now))
            return node;
    }
    return state.settings.node;
}

link_id openLink(engine &state, member_state &member, const std::string &workspace, bool direct,
                 core::time_point now)
{
    upstream_link link;
    if (!direct)
        link.via = keeperOf(state, member, now);
    link.id = ++state.lastLink;
    link.member = member.entry.id;
    link.workspace = workspace;
    link.openedAt = now;
    link.lastSent = now;
    link.abandonAt = now + (link.via.empty() ? connectLimit : borrowLimit);
    expectAnswer(link, answer_role::Startup);
    const link_id id = link.id;
    const std::string via = link.via;
    state.links.emplace(id, std::move(link));
    member.links.insert(id);
    ++state.counters.linksOpened;
    state.out.emplace_back(open_link{ id, member.entry.address, via });
    upstream_command startup = makeCommand(command_kind::Startup, member.entry.service, workspace);
    startup.id = member.entry.id;
    state.out.emplace_back(send_to_member{ id, { std::move(startup) } });
    return id;
}

void sendRequest(engine &state, upstream_link &link, session &who, core::time_point now)
{
    request &what = *who.current;
    std::vector<upstream_command> batch;
    addPreparation(link, who, batch);
    const bool opensTransaction = what.starts && who.state != transaction_state::Idle;
    link.beginFailed = false;
    if (opensTransaction || what.where.wrapsRead)
        addBegin(link, who, batch);
    if (opensTransaction) {
        // The statement follows once the member has begun: if it refused, the statement would run
        // outside of a transaction.
        link.pinnedTo = who.id;
        who.transaction->link = link.id;
    } else {
        addStatement(link, who, batch);
    }
    if (what.where.wrapsRead) {
        batch.push_back(makeCommand(command_kind::Rollback));
        expectAnswer(link, answer_role::Cleanup);
    }
    if (link.state == link_state::Idle)
        link.state = link_state::Busy;
    link.lastSent = now;
    if (link.state == link_state::Busy)
        link.abandonAt = std::max(what.deadline, now) + orphanLimit;
    what.everSent = true;
    ++what.tries;
    what.sentOn.push_back(link.id);
    if (member_state *member = findMember(state, link.member))
        ++member->outstanding;
    state.out.emplace_back(send_to_member{ link.id, std::move(batch) });
}

void sendAfterBegin(engine &state, upstream_link &link, const session &who, core::time_point now)
{
    std::vector<upstream_command> batch;
    addStatement(link, who, batch);
    link.lastSent = now;
    state.out.emplace_back(send_to_member{ link.id, std::move(batch) });
}

void closeLink(engine &state, link_id id, bool politely, core::time_point now)
{
    state.out.emplace_back(close_link{ id, politely });
    onLinkClosed(state, id, now);
}

void releaseLink(engine &state, upstream_link &link, core::time_point now)
{
    link.state = link_state::Idle;
    link.idleSince = now;
    link.pinnedTo = 0;
    link.abandonAt = core::noDeadline;
    const std::string member = link.member;
    const link_id id = link.id;
    const auto found = state.members.find(member);
    if (found == state.members.end() || link.tainted) {
        closeLink(state, id, true, now);
        return;
    }
    if (service_state *service = findService(state, found->second.entry.service))
        pump(state, *service, now);
    const upstream_link *still = findLink(state, id);
    // A borrowed connection goes back at once; others may wait for it at its keeper.
    const bool borrowed = still != nullptr && !still->via.empty();
    const bool unwanted =
            borrowed || !found->second.listed || found->second.entry.draining || state.stopping;
    if (still != nullptr && still->state == link_state::Idle && unwanted)
        closeLink(state, id, true, now);
}

void rollBack(engine &state, upstream_link &link, core::time_point now)
{
    link.pinnedTo = 0;
    // An answer that is outstanding comes first; the transaction is ended behind it.
    state.out.emplace_back(send_to_member{ link.id, { makeCommand(command_kind::Rollback) } });
    expectAnswer(link, answer_role::Cleanup);
    link.lastSent = now;
    link.abandonAt = now + orphanLimit;
}

void trimLinks(engine &state, core::time_point now)
{
    std::vector<link_id> surplus;
    for (auto &[id, member] : state.members) {
        std::vector<const upstream_link *> idle;
        for (const link_id each : member.links) {
            const upstream_link &link = state.links.at(each);
            if (link.state == link_state::Idle)
                idle.push_back(&link);
        }
        const std::size_t kept = keptLinks(state, member);
        std::sort(idle.begin(), idle.end(), [](const auto *left, const auto *right) {
            return left->idleSince > right->idleSince;
        });
        const std::size_t busy = member.links.size() - idle.size();
        for (std::size_t i = 0; i < idle.size(); ++i) {
            const bool extra = busy + i >= kept;
            const core::duration limit = extra ? extraIdleLimit : keptIdleLimit;
            if (now - idle[i]->idleSince >= limit)
                surplus.push_back(idle[i]->id);
        }
    }
    for (const link_id id : surplus)
        closeLink(state, id, true, now);
}

} // namespace fuchsiagw::proxy
