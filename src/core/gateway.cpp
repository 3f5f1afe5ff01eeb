/// @file
/// @brief Authentication and admission of callers' statements and their dispatch to the owner of
/// the group.

#include <fuchsiagw/core/gateway.hpp>

#include <fuchsiagw/core/rendezvous.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

/// How long an instance is not selected as owner after a forward to it failed.
constexpr duration forwardAvoidInterval = std::chrono::seconds(1);

/// Interval at which group ownership is computed again. A change of the configuration or of the
/// live peers triggers it immediately.
constexpr duration ownerCheckInterval = std::chrono::milliseconds(500);

/// Delay before a statement is dispatched again because its group has no usable owner in this zone.
constexpr duration forwardRetryDelay = std::chrono::milliseconds(25);

/// The upper 32 bits of a transaction number are a hash of its group's name.
constexpr unsigned groupPrefixShift = 32;

std::uint64_t groupPrefix(const group_id &group)
{
    return stableHash(group.value) >> groupPrefixShift << groupPrefixShift;
}

/// Returns the error for a forwarded statement that may have run and whose answer is lost.
error_kind lostForwardError(const statement_request &request)
{
    if (request.transaction && request.kind != statement_kind::Commit)
        return error_kind::TransactionLost;
    return error_kind::OutcomeUnknown;
}

void finish(gateway_turn &turn, std::uint64_t handle, statement_answer answer)
{
    gateway &state = turn.state;
    const auto found = state.entries.find(handle);
    if (found == state.entries.end())
        return;
    entry_statement entry = std::move(found->second);
    state.entries.erase(found);
    state.deadlines.erase({ entry.request.deadline, handle });
    answer.id = entry.request.id;
    // A refusal of a later attempt does not apply to an earlier, unanswered one: it may have run.
    if (answer.error && entry.mayHaveRun
        && answerOf(*answer.error).outcome == request_outcome::NotRun)
        answer.error = lostForwardError(entry.request);
    if (entry.from) {
        turn.actions.emplace_back(forward_result{ *entry.from, entry.ticket, entry.request.group,
                                                  std::move(answer) });
        return;
    }
    if (!answer.error && answer.position != log_position{})
        recordWrite(entry.sessionState, entry.request.group, answer.position);
    // Without a usable session only the primary serves the read. Its position covers every write
    // that was acknowledged before, so it becomes the session's position.
    const bool isReadWithoutSession =
            entry.request.isSessionUnusable && entry.request.kind == statement_kind::Read;
    if (!answer.error && isReadWithoutSession && !answer.fromReplica)
        recordWrite(entry.sessionState, entry.request.group, answer.applied);
    turn.actions.emplace_back(caller_reply{ entry.ticket, entry.request.workspace,
                                            entry.request.group, entry.request.kind,
                                            std::move(answer), std::move(entry.sessionState) });
}

void fail(gateway_turn &turn, std::uint64_t handle, error_kind error)
{
    statement_answer answer;
    answer.error = error;
    finish(turn, handle, std::move(answer));
}

/// Refuses a request for which no entry was created.
void refuse(gateway_turn &turn, const caller_request &request, const workspace_id &workspace,
            error_kind error)
{
    statement_answer answer;
    answer.id = request.statement.id;
    answer.error = error;
    turn.actions.emplace_back(caller_reply{ request.ticket,
                                            workspace,
                                            request.statement.group,
                                            request.statement.kind,
                                            std::move(answer),
                                            {} });
}

std::optional<duration> maxAgeOf(const configuration &config, const statement_request &request)
{
    const auto workspace = config.workspaces.find(request.workspace);
    if (workspace == config.workspaces.end() || request.readClass.empty())
        return std::nullopt;
    const auto found = workspace->second.readClasses.find(request.readClass);
    if (found == workspace->second.readClasses.end())
        return std::nullopt;
    return found->second.maxAge;
}

/// Finds the group of a transaction. Statements of a transaction carry only the transaction id.
std::optional<group_id> groupOf(const workspace_settings &workspace,
                                const transaction_id &transaction)
{
    const auto found = std::find_if(
            workspace.groups.begin(), workspace.groups.end(), [&](const group_id &each) {
                return groupPrefix(each)
                       == transaction.number >> groupPrefixShift << groupPrefixShift;
            });
    return found == workspace.groups.end() ? std::nullopt : std::optional(*found);
}

/// Checks that the workspace has the request's group and read class. Sets the group of a request
/// that belongs to a transaction.
std::optional<error_kind> checkScope(const workspace_settings &workspace,
                                     statement_request &request)
{
    if (request.transaction) {
        const auto group = groupOf(workspace, *request.transaction);
        if (!group)
            return error_kind::TransactionUnknown;
        request.group = *group;
    }
    const auto &groups = workspace.groups;
    if (std::find(groups.begin(), groups.end(), request.group) == groups.end())
        return error_kind::GroupUnknown;
    if (!request.readClass.empty() && workspace.readClasses.count(request.readClass) == 0)
        return error_kind::ReadClassUnknown;
    return std::nullopt;
}

/// Commit and rollback are not rate limited: refusing one would only keep its connection reserved
/// for longer.
bool consumesToken(statement_kind kind)
{
    return kind != statement_kind::Commit && kind != statement_kind::Rollback;
}

void setReadRequirement(statement_request &statement, const caller_request &request)
{
    std::optional<log_position> position = log_position{};
    if (request.sessionState)
        position = minPosition(*request.sessionState, statement.group);
    const bool isUsable = position && (request.sessionState || !request.hasSessionToken);
    statement.isSessionUnusable = !isUsable;
    statement.minPosition = position.value_or(log_position{});
}

std::uint64_t insertEntry(gateway &state, entry_statement entry)
{
    const std::uint64_t handle = state.nextHandle++;
    state.deadlines.emplace(entry.request.deadline, handle);
    state.entries.emplace(handle, std::move(entry));
    return handle;
}

group_owner &findOrCreateOwner(gateway &state, const group_id &group)
{
    const auto [entry, isNew] = state.owners.try_emplace(group);
    group_owner &owner = entry->second;
    if (isNew) {
        owner.group = group;
        owner.zone = state.zone;
        owner.incarnation = state.incarnation;
        owner.limits = state.limits;
        owner.policy = state.policy;
        owner.queue.capacity = state.queueCapacity;
        owner.nextTransaction = groupPrefix(group) + 1;
        applySettings(owner.view, group, state.config.groups.at(group));
    }
    return owner;
}

void submitLocally(gateway_turn &turn, std::uint64_t handle)
{
    gateway &state = turn.state;
    const entry_statement &entry = state.entries.at(handle);
    // Copied because applyActions() erases the entry if the owner answers immediately.
    const group_id group = entry.request.group;
    if (state.config.groups.count(entry.request.group) == 0) {
        fail(turn, handle, error_kind::GroupUnknown);
        return;
    }
    owned_statement statement;
    statement.request = entry.request;
    statement.maxAge = maxAgeOf(state.config, entry.request);
    statement.session = entry.ticket;
    group_owner &owner = findOrCreateOwner(state, entry.request.group);
    // The zone's owner of the group queues statements even without connections, so that the
    // reported demand leads to a loan of connections. Any other instance passes the statement on.
    if (owner.pool.limit == 0 && !owner.isMonitoringMembers) {
        if (entry.from)
            fail(turn, handle, error_kind::PeerUnreachable);
        else
            state.retries.emplace(turn.now + forwardRetryDelay, handle);
        return;
    }
    owner_actions actions;
    submit(owner, handle, std::move(statement), turn.now, turn.random, actions);
    applyActions(turn, group, std::move(actions));
}

void forwardTo(gateway_turn &turn, std::uint64_t handle, const instance_id &to)
{
    entry_statement &entry = turn.state.entries.at(handle);
    entry.forwardedTo = to;
    turn.actions.emplace_back(forward_statement{ to, handle, entry.request });
}

void dispatchTransaction(gateway_turn &turn, std::uint64_t handle, incarnation_id owner)
{
    if (turn.state.ownIncarnations.count(owner) != 0) {
        submitLocally(turn, handle);
        return;
    }
    for (const auto &[instance, peer] : turn.state.peers) {
        if (peer.incarnation == owner) {
            forwardTo(turn, handle, instance);
            return;
        }
    }
    const bool isCommit = turn.state.entries.at(handle).request.kind == statement_kind::Commit;
    // A commit that was never sent can't have run, so the transaction was rolled back.
    const bool isUnknown = isCommit && turn.state.entries.at(handle).mayHaveRun;
    fail(turn, handle, isUnknown ? error_kind::OutcomeUnknown : error_kind::TransactionLost);
}

void dispatch(gateway_turn &turn, std::uint64_t handle)
{
    gateway &state = turn.state;
    const entry_statement &entry = state.entries.at(handle);
    if (entry.request.transaction) {
        dispatchTransaction(turn, handle, entry.request.transaction->owner);
        return;
    }
    if (entry.from) {
        submitLocally(turn, handle);
        return;
    }
    const std::vector<instance_id> ranked = rankOwners(state, entry.request.group, turn.now);
    if (ranked.empty() || ranked.front() == state.instance)
        submitLocally(turn, handle);
    else
        forwardTo(turn, handle, ranked.front());
}

/// Returns the rank of this zone among the zones of all known instances, which the failover uses as
/// the rank of the zone's owner. Instances that know different zones may compute equal ranks.
std::uint8_t ownerRank(const gateway &state)
{
    std::set<zone_name> zones{ state.zone };
    for (const auto &[instance, peer] : state.peers)
        zones.insert(peer.zone);
    const auto rank = std::distance(zones.begin(), zones.find(state.zone));
    return static_cast<std::uint8_t>(rank % (1 << rankBits));
}

/// Starts watching the groups that this instance owns in its zone and stops watching all others.
void updateGroupOwnership(gateway_turn &turn)
{
    gateway &state = turn.state;
    std::set<group_id> owned;
    for (const auto &[group, settings] : state.config.groups) {
        const std::vector<instance_id> ranked = rankOwners(state, group, turn.now);
        const bool isOwner = !ranked.empty() && ranked.front() == state.instance;
        if (!isOwner && state.owners.count(group) == 0)
            continue;
        if (isOwner)
            owned.insert(group);
        group_owner &owner = findOrCreateOwner(state, group);
        owner.isMonitoringMembers = isOwner;
        owner.failover.rank = ownerRank(state);
        owner.failover.policy = state.policy;
        owner.failover.isPromotionEnabled = isAutomatic(state.config, automatic_action::Promotion);
        owner.failover.isReplicaProbingEnabled =
                isAutomatic(state.config, automatic_action::Probing);
    }
    withLimitManager(turn, [&](limit_manager &limitManager, limit_manager_actions &actions) {
        onOwnedGroups(limitManager, owned, turn.now, turn.random, actions);
    });
}

void dispatchDueRetries(gateway_turn &turn)
{
    auto &retries = turn.state.retries;
    std::vector<std::uint64_t> due;
    while (!retries.empty() && retries.begin()->first <= turn.now) {
        due.push_back(retries.begin()->second);
        retries.erase(retries.begin());
    }
    for (const std::uint64_t handle : due) {
        if (turn.state.entries.count(handle) != 0)
            dispatch(turn, handle);
    }
}

/// Takes a rate limit token of the workspace, or marks the entry as waiting for one.
void admit(gateway_turn &turn, std::uint64_t handle)
{
    entry_statement &entry = turn.state.entries.at(handle);
    admission result = admission::Refused;
    limit_manager_actions actions;
    result = admitStatement(turn.state.limitManager, entry.request.workspace, handle, turn.now,
                            actions);
    entry.isWaiting = result == admission::Wait;
    applyActions(turn, std::move(actions));
    if (result == admission::Granted)
        dispatch(turn, handle);
    else if (result == admission::Refused)
        fail(turn, handle, error_kind::RateLimited);
}

void onAdmitted(gateway_turn &turn, const admission_outcome &outcome)
{
    const auto entry = turn.state.entries.find(outcome.ticket);
    if (entry == turn.state.entries.end() || !entry->second.isWaiting)
        return;
    entry->second.isWaiting = false;
    if (outcome.granted)
        dispatch(turn, outcome.ticket);
    else
        fail(turn, outcome.ticket, error_kind::RateLimited);
}

void applyConnectionLimit(gateway_turn &turn, const group_id &group, std::uint32_t limit)
{
    owner_actions actions;
    setConnectionLimit(findOrCreateOwner(turn.state, group), limit, turn.now, turn.random, actions);
    applyActions(turn, group, std::move(actions));
}

void reportDemand(gateway &state, const group_owner &owner, time_point now)
{
    const auto &connections = owner.pool.connections;
    const auto idle = std::count_if(connections.begin(), connections.end(), [](const auto &each) {
        return each.second.state == connection_state::Idle;
    });
    const std::size_t waiting = owner.queue.length + owner.readyCount;
    setGroupDemand(state.limitManager, owner.group, static_cast<std::uint32_t>(connections.size()),
                   static_cast<std::uint32_t>(waiting), now, static_cast<std::uint32_t>(idle));
}

/// Replaces the expired incarnation of this process by a new one. A process that was paused for
/// too long has lost its shares of the limits to other instances and has to join again.
void restartWithNewIncarnation(gateway_turn &turn)
{
    gateway &state = turn.state;
    state.incarnation = turn.random();
    state.ownIncarnations.insert(state.incarnation);
    const peer_ref self{ state.incarnation, state.instance, state.zone };
    state.limitManager = makeLimitManager(self, state.limitManager.settings, turn.now);
    turn.actions.emplace_back(incarnation_changed{ state.incarnation });
    withLimitManager(turn, [&](limit_manager &limitManager, limit_manager_actions &actions) {
        onConfiguration(limitManager, state.config, turn.now, turn.random, actions);
    });
    for (auto &[group, owner] : state.owners) {
        owner_actions actions;
        setConnectionLimit(owner, 0, turn.now, turn.random, actions);
        applyActions(turn, group, std::move(actions));
    }
    state.nextOwnerCheckAt = turn.now;
}

bool isSafeToRetry(const statement_request &request)
{
    if (request.transaction)
        return false;
    return request.kind == statement_kind::Read || request.kind == statement_kind::Begin
           || !request.idempotencyKey.empty();
}

} // namespace

bool applyConfiguration(gateway_turn &turn, const configuration &config)
{
    gateway &state = turn.state;
    if (config.version <= state.config.version)
        return false;
    state.config = config;
    state.keys = indexKeys(config);
    state.nextOwnerCheckAt = turn.now;
    setHeldVersion(state.proof, config.version);
    for (auto &[group, owner] : state.owners) {
        const auto settings = config.groups.find(group);
        if (settings != config.groups.end())
            applySettings(owner.view, group, settings->second);
    }
    withLimitManager(turn, [&](limit_manager &limitManager, limit_manager_actions &actions) {
        onConfiguration(limitManager, config, turn.now, turn.random, actions);
    });
    return true;
}

void onCallerRequest(gateway_turn &turn, caller_request request)
{
    gateway &state = turn.state;
    if (state.config.version == 0) {
        refuse(turn, request, {}, error_kind::NotReady);
        return;
    }
    const key_decision key = checkKey(state.keys, request.key, state.proof, turn.now);
    if (key.error) {
        refuse(turn, request, {}, *key.error);
        return;
    }
    if (request.sessionState && request.sessionState->workspace != key.workspace) {
        refuse(turn, request, key.workspace, error_kind::SessionForeign);
        return;
    }
    request.statement.workspace = key.workspace;
    const auto problem = checkScope(state.config.workspaces.at(key.workspace), request.statement);
    if (problem) {
        refuse(turn, request, key.workspace, *problem);
        return;
    }
    entry_statement entry;
    entry.ticket = request.ticket;
    entry.request = request.statement;
    setReadRequirement(entry.request, request);
    entry.sessionState =
            request.sessionState.value_or(session{ key.workspace, {}, request.hasSessionToken });
    const bool isLimited = consumesToken(entry.request.kind);
    const std::uint64_t handle = insertEntry(state, std::move(entry));
    if (isLimited)
        admit(turn, handle);
    else
        dispatch(turn, handle);
}

void onForwarded(gateway_turn &turn, const instance_id &from, std::uint64_t ticket,
                 statement_request request)
{
    entry_statement entry;
    entry.ticket = ticket;
    entry.from = from;
    entry.request = std::move(request);
    dispatch(turn, insertEntry(turn.state, std::move(entry)));
}

void onForwardResult(gateway_turn &turn, const instance_id &from, std::uint64_t handle,
                     statement_answer answer)
{
    const auto entry = turn.state.entries.find(handle);
    if (entry == turn.state.entries.end() || entry->second.forwardedTo != from)
        return;
    const bool isRefused = answer.error == error_kind::PeerUnreachable;
    if (isRefused)
        onForwardFailed(turn, handle, false);
    else
        finish(turn, handle, std::move(answer));
}

void onForwardFailed(gateway_turn &turn, std::uint64_t handle, bool wasWritten)
{
    const auto found = turn.state.entries.find(handle);
    if (found == turn.state.entries.end() || !found->second.forwardedTo)
        return;
    entry_statement &entry = found->second;
    const auto peer = turn.state.peers.find(*entry.forwardedTo);
    if (peer != turn.state.peers.end())
        peer->second.avoidUntil = turn.now + forwardAvoidInterval;
    entry.forwardedTo.reset();
    entry.mayHaveRun |= wasWritten;
    // A statement that was never sent can't commit. If the owner is gone, its connection is closed
    // and the transaction rolled back.
    const bool isGone = peer == turn.state.peers.end() || !peer->second.isLive;
    if (entry.request.transaction && !wasWritten)
        fail(turn, handle, isGone ? error_kind::TransactionLost : error_kind::PeerUnreachable);
    else if (wasWritten && !isSafeToRetry(entry.request))
        fail(turn, handle, lostForwardError(entry.request));
    else
        dispatch(turn, handle);
}

void advance(gateway_turn &turn)
{
    gateway &state = turn.state;
    if (turn.now >= state.nextOwnerCheckAt) {
        state.nextOwnerCheckAt = turn.now + ownerCheckInterval;
        updateGroupOwnership(turn);
    }
    for (auto &[group, owner] : state.owners) {
        owner_actions actions;
        advance(owner, turn.now, turn.random, actions);
        applyActions(turn, group, std::move(actions));
    }
    dispatchDueRetries(turn);
    withLimitManager(turn, [&](limit_manager &limitManager, limit_manager_actions &actions) {
        tickLimitManager(limitManager, turn.now, turn.random, actions);
        if (state.isDraining && state.entries.empty() && !limitManager.isLeaving)
            startLeaving(limitManager, turn.now, turn.random, actions);
    });
    // An owner answers its statements at the deadline. After the margin only entries remain that
    // were forwarded, wait for a token or wait to be dispatched again.
    constexpr duration answerMargin = std::chrono::milliseconds(50);
    while (!state.deadlines.empty() && state.deadlines.begin()->first + answerMargin <= turn.now) {
        const std::uint64_t handle = state.deadlines.begin()->second;
        const entry_statement &entry = state.entries.at(handle);
        if (entry.isWaiting)
            abandonStatement(state.limitManager, entry.request.workspace, handle);
        const error_kind lost = entry.mayHaveRun || entry.forwardedTo
                                        ? lostForwardError(entry.request)
                                        : error_kind::DeadlineExceeded;
        fail(turn, handle, entry.isWaiting ? error_kind::RateLimited : lost);
    }
}

time_point nextWakeup(const gateway &state)
{
    time_point next = nextLimitManagerTick(state.limitManager);
    for (const auto &[group, owner] : state.owners)
        next = std::min(next, nextWakeup(owner));
    if (!state.deadlines.empty())
        next = std::min(next, state.deadlines.begin()->first);
    if (!state.retries.empty())
        next = std::min(next, state.retries.begin()->first);
    return next;
}

gateway makeGateway(const peer_ref &self, const limit_manager_settings &settings, time_point now)
{
    gateway state;
    state.instance = self.instance;
    state.zone = self.zone;
    state.incarnation = self.incarnation;
    state.ownIncarnations.insert(self.incarnation);
    state.limitManager = makeLimitManager(self, settings, now);
    return state;
}

void onLivePeers(gateway_turn &turn, std::vector<peer_ref> live)
{
    withLimitManager(turn, [&](limit_manager &limitManager, limit_manager_actions &actions) {
        onPeers(limitManager, std::move(live), turn.now, turn.random, actions);
    });
    turn.state.nextOwnerCheckAt = turn.now;
}

void startDraining(gateway_turn &turn)
{
    turn.state.isDraining = true;
    turn.state.nextOwnerCheckAt = turn.now;
}

std::vector<instance_id> rankOwners(const gateway &state, const group_id &group, time_point now)
{
    std::vector<instance_id> candidates;
    if (!state.isDraining)
        candidates.push_back(state.instance);
    for (const auto &[instance, peer] : state.peers) {
        if (peer.isLive && peer.zone == state.zone && peer.avoidUntil <= now)
            candidates.push_back(instance);
    }
    return rankInstances(ownerKey(group, state.zone), candidates);
}

std::vector<instance_id> findOtherZoneOwners(const gateway &state, const group_id &group)
{
    std::map<zone_name, std::vector<instance_id>> zones;
    for (const auto &[instance, peer] : state.peers) {
        if (peer.isLive && peer.zone != state.zone)
            zones[peer.zone].push_back(instance);
    }
    std::vector<instance_id> owners;
    owners.reserve(zones.size());
    for (const auto &[zone, candidates] : zones)
        owners.push_back(rankInstances(ownerKey(group, zone), candidates).front());
    return owners;
}

bool isDrained(const gateway &state)
{
    return state.entries.empty()
           && std::all_of(state.owners.begin(), state.owners.end(),
                          [](const auto &each) { return isDrained(each.second); });
}

void applyActions(gateway_turn &turn, const group_id &group, owner_actions &&actions)
{
    for (owner_action &each : actions) {
        if (auto *done = std::get_if<statement_done>(&each))
            finish(turn, done->handle, std::move(done->answer));
        else
            turn.actions.emplace_back(group_action{ group, std::move(each) });
    }
    const auto owner = turn.state.owners.find(group);
    if (owner != turn.state.owners.end())
        reportDemand(turn.state, owner->second, turn.now);
}

void applyActions(gateway_turn &turn, limit_manager_actions &&actions)
{
    for (limit_manager_action &each : actions) {
        if (const auto *admitted = std::get_if<admission_outcome>(&each)) {
            onAdmitted(turn, *admitted);
        } else if (const auto *limit = std::get_if<connection_limit_change>(&each)) {
            if (turn.state.config.groups.count(limit->group) != 0)
                applyConnectionLimit(turn, limit->group, limit->limit);
        } else if (auto *message = std::get_if<limit_message>(&each)) {
            turn.actions.emplace_back(std::move(*message));
        } else if (auto *call = std::get_if<limit_platform_call>(&each)) {
            turn.actions.emplace_back(std::move(*call));
        } else {
            restartWithNewIncarnation(turn);
        }
    }
}

} // namespace fuchsiagw::core
