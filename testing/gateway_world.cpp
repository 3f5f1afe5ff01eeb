/// @file
/// @brief Event loop, instances, platform calls and instance links of the gateway simulation.

#include <fuchsiagw/testing/gateway_world.hpp>

#include <fuchsiagw/testing/gateway_world_parts.hpp>

#include <algorithm>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration maxTickInterval = std::chrono::milliseconds(10);
constexpr duration minTickInterval = std::chrono::milliseconds(1);
constexpr duration refreshInterval = std::chrono::milliseconds(250);
constexpr duration livenessTimeout = std::chrono::seconds(1);
constexpr duration platformTimeout = std::chrono::seconds(2);
constexpr duration platformDelay = std::chrono::milliseconds(5); ///< one way
constexpr duration maxExtraPlatformDelay = std::chrono::milliseconds(1500); ///< one way
constexpr duration shareReturnTimeout = std::chrono::seconds(5);
constexpr duration connectionFailureDelay = std::chrono::milliseconds(200);
constexpr duration settleTime = std::chrono::seconds(9);
/// Shorter than the default of the daemon, so that short runs exceed it.
constexpr duration proofLifetime = std::chrono::seconds(2);

duration drawUpTo(gateway_world &world, duration greatest)
{
    return duration(static_cast<std::int64_t>(
            drawBelow(world.random, static_cast<std::uint64_t>(greatest.count()) + 1)));
}

/// Calls the platform. @p done receives no answer if none arrives before the timeout.
template <typename answer_type>
void callPlatform(gateway_world &world, std::size_t gateway,
                  std::function<std::optional<answer_type>()> apply,
                  std::function<void(gateway_turn &, const std::optional<answer_type> &)> done)
{
    const std::uint64_t generation = world.gateways[gateway].generation;
    const auto isDone = std::make_shared<bool>(false);
    const auto finish = [&world, gateway, generation, isDone,
                         done = std::move(done)](const std::optional<answer_type> &answer) {
        if (!std::exchange(*isDone, true))
            runAtGateway(world, gateway, generation,
                         [done, answer](gateway_turn &turn) { done(turn, answer); });
    };
    after(world, platformTimeout, [finish] { finish(std::nullopt); });
    if (isPlatformCut(world, gateway))
        return;
    const auto drawDelay = [&world] {
        const bool isSlow = world.conditions.platformSlow > 0;
        return platformDelay + (isSlow ? drawUpTo(world, maxExtraPlatformDelay) : duration::zero());
    };
    after(world, drawDelay(), [&world, apply = std::move(apply), finish, drawDelay] {
        if (world.conditions.platformDown > 0)
            return;
        const std::optional<answer_type> answer = apply();
        if (world.conditions.answersLost == 0)
            after(world, drawDelay(), [finish, answer] { finish(answer); });
    });
}

void performLimitCall(gateway_world &world, std::size_t gateway, limit_platform_call &&call)
{
    const std::uint64_t number = call.number;
    if (const auto *prefix = std::get_if<std::string>(&call.operation)) {
        callPlatform<scan_answer>(
                world, gateway,
                [&world, rows = *prefix] { return std::optional(scan(world.platform, rows)); },
                [number](gateway_turn &turn, const std::optional<scan_answer> &answer) {
                    withLimitManager(turn, [&](limit_manager &limitManager,
                                               limit_manager_actions &actions) {
                        onScan(limitManager, number, answer, turn.now, turn.random, actions);
                    });
                });
        return;
    }
    callPlatform<transact_answer>(
            world, gateway,
            [&world, order = std::get<transact_request>(call.operation)] {
                return transact(world.platform, order, world.now);
            },
            [number](gateway_turn &turn, const std::optional<transact_answer> &answer) {
                withLimitManager(turn, [&](limit_manager &limitManager,
                                           limit_manager_actions &actions) {
                    onTransact(limitManager, number, answer, turn.now, turn.random, actions);
                });
            });
}

void performClaim(gateway_world &world, std::size_t gateway, const group_id &group,
                  term_number term)
{
    transact_request order;
    order.id = "promotion/" + group.value + "/" + std::to_string(term);
    order.puts.push_back({ "promotion/" + group.value, std::to_string(term) });
    callPlatform<transact_answer>(
            world, gateway, [&world, order] { return transact(world.platform, order, world.now); },
            [group](gateway_turn &turn, const std::optional<transact_answer> &answer) {
                const auto owner = turn.state.owners.find(group);
                if (owner != turn.state.owners.end())
                    onClaim(owner->second, !answer || answer->committed, turn.now);
            });
}

/// Sends a datagram between gateways. A partition drops it.
void sendDatagram(gateway_world &world, std::size_t from, std::size_t to,
                  const std::function<void(gateway_turn &)> &event)
{
    const std::uint64_t generation = world.gateways[to].generation;
    if (to == from || isLinkCut(world, from, to)
        || (world.conditions.peersLost > 0 && drawPercent(world, 40)))
        return;
    const int copies = world.conditions.peersDoubled > 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        after(world, linkDelay(world, from, to),
              [&world, to, generation, event] { runAtGateway(world, to, generation, event); });
    }
}

void failForward(gateway_world &world, std::size_t gateway, std::uint64_t generation,
                 std::uint64_t handle, duration delay, bool wasWritten)
{
    after(world, delay, [&world, gateway, generation, handle, wasWritten] {
        runAtGateway(world, gateway, generation, [handle, wasWritten](gateway_turn &turn) {
            onForwardFailed(turn, handle, wasWritten);
        });
    });
}

void performForward(gateway_world &world, std::size_t from, forward_statement &&forward)
{
    reachStep(world, gateway_step::ForwardWritten, from);
    const std::uint64_t generation = world.gateways[from].generation;
    const auto found =
            std::find_if(world.gateways.begin(), world.gateways.end(),
                         [&](const world_gateway &each) { return each.instance == forward.to; });
    const auto to = static_cast<std::size_t>(found - world.gateways.begin());
    const std::uint64_t handle = forward.handle;
    if (to == world.gateways.size() || !found->isUp) {
        failForward(world, from, generation, handle, minTickInterval, false);
        return;
    }
    if (isLinkCut(world, from, to) && drawPercent(world, 50)) {
        failForward(world, from, generation, handle, connectionFailureDelay, false);
        return;
    }
    const bool isLost = world.conditions.peersLost > 0 && drawPercent(world, 20);
    if (isLost) {
        // The connection closes; in half of the cases the request has already arrived.
        failForward(world, from, generation, handle, connectionFailureDelay, true);
        if (drawPercent(world, 50))
            return;
    }
    const duration left = forward.request.deadline == noDeadline
                                  ? platformTimeout
                                  : forward.request.deadline - world.now;
    const std::uint64_t toGeneration = found->generation;
    sendReliably(
            world, from, to,
            [&world, from, generation, to, toGeneration, handle, left,
             request = std::move(forward.request)] {
                if (!world.gateways[to].isUp || world.gateways[to].generation != toGeneration) {
                    failForward(world, from, generation, handle, minTickInterval, true);
                    return;
                }
                runAtGateway(
                        world, to, toGeneration,
                        [&world, from, generation, to, handle, left, request](gateway_turn &turn) {
                            world_gateway &node = world.gateways[to];
                            const std::uint64_t ticket = node.nextOrigin++;
                            node.origins[ticket] = { from, generation, handle };
                            statement_request arrived = request;
                            arrived.deadline = turn.now + left;
                            onForwarded(turn, world.gateways[from].instance, ticket, arrived);
                        });
            });
}

void performResult(gateway_world &world, std::size_t from, forward_result &&result)
{
    auto &origins = world.gateways[from].origins;
    const auto entry = origins.find(result.ticket);
    if (entry == origins.end())
        return;
    const world_gateway::origin origin = entry->second;
    origins.erase(entry);
    if (world.conditions.peersLost > 0 && drawPercent(world, 20)) {
        failForward(world, origin.gateway, origin.generation, origin.handle, connectionFailureDelay,
                    true);
        return;
    }
    const instance_id sender = world.gateways[from].instance;
    const int copies = world.conditions.peersDoubled > 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        sendReliably(world, from, origin.gateway, [&world, origin, sender, answer = result.answer] {
            runAtGateway(world, origin.gateway, origin.generation,
                         [origin, sender, answer](gateway_turn &turn) {
                             onForwardResult(turn, sender, origin.handle, answer);
                         });
        });
    }
}

void performView(gateway_world &world, std::size_t from, const group_id &group,
                 const published_view &view)
{
    for (const instance_id &each : findOtherZoneOwners(world.gateways[from].state, group)) {
        for (std::size_t to = 0; to < world.gateways.size(); ++to) {
            if (world.gateways[to].instance != each)
                continue;
            sendDatagram(world, from, to, [group, view](gateway_turn &turn) {
                withOwner(turn, group, [&](group_owner &owner, owner_actions &actions) {
                    onPeerView(owner, view, turn.now, turn.random, actions);
                });
            });
        }
    }
}

void perform(gateway_world &world, std::size_t gateway, gateway_action &&action)
{
    if (auto *reply = std::get_if<caller_reply>(&action)) {
        onCallerReply(world, gateway, std::move(*reply));
    } else if (auto *message = std::get_if<limit_message>(&action)) {
        const std::size_t to = findGateway(world, message->to);
        if (to == world.gateways.size())
            return;
        const incarnation_id from = world.gateways[gateway].state.incarnation;
        const incarnation_id target = message->to;
        sendDatagram(world, gateway, to,
                     [from, target, body = std::move(message->body)](gateway_turn &turn) {
                         if (turn.state.incarnation != target)
                             return;
                         withLimitManager(turn, [&](limit_manager &limitManager,
                                                    limit_manager_actions &actions) {
                             onMessage(limitManager, from, body, turn.now, turn.random, actions);
                         });
                     });
    } else if (auto *call = std::get_if<limit_platform_call>(&action)) {
        performLimitCall(world, gateway, std::move(*call));
    } else if (auto *forward = std::get_if<forward_statement>(&action)) {
        performForward(world, gateway, std::move(*forward));
    } else if (auto *result = std::get_if<forward_result>(&action)) {
        performResult(world, gateway, std::move(*result));
    } else if (auto *group = std::get_if<group_action>(&action)) {
        if (const auto *view = std::get_if<publish_to_owners>(&group->action))
            performView(world, gateway, group->group, view->view);
        else if (const auto *claim = std::get_if<claim_promotion>(&group->action))
            performClaim(world, gateway, group->group, claim->term);
        else
            performUpstream(world, gateway, std::move(*group));
    }
}

/// Records the statements that obtained a token in this turn.
void recordGrants(gateway_world &world, world_gateway &node)
{
    std::erase_if(node.awaitingToken, [&](const auto &each) {
        const auto entry = node.state.entries.find(each.second);
        if (entry != node.state.entries.end() && entry->second.isWaiting)
            return false;
        const caller_operation &operation = world.history.operations[each.first - 1];
        const bool isRefused =
                entry == node.state.entries.end()
                && (!operation.answer || operation.answer->error == error_kind::RateLimited);
        if (!isRefused)
            world.history.granted.push_back({ world.now, operation.workspace });
        return true;
    });
}

void watchSteps(gateway_world &world, std::size_t gateway)
{
    if (!world.awaitedStep)
        return;
    const world_gateway &node = world.gateways[gateway];
    if (*world.awaitedStep == gateway_step::WaitingForToken && !node.awaitingToken.empty())
        reachStep(world, gateway_step::WaitingForToken, gateway);
    for (const auto &[group, owner] : node.state.owners) {
        if (owner.queue.length + owner.readyCount > 0)
            reachStep(world, gateway_step::Queued, gateway);
        if (!owner.pending.writes.empty())
            reachStep(world, gateway_step::Confirming, gateway, findPrimary(world, group));
    }
}

/// Injects the defects that change the state of a gateway.
void injectDefect(gateway_world &world, world_gateway &node)
{
    if (world.settings.defect == gateway_defect::AcknowledgeAtOnce) {
        for (auto &[group, owner] : node.state.owners)
            owner.policy = acknowledgement_policy::KnownPosition;
    } else if (world.settings.defect == gateway_defect::TokensRefilled) {
        for (auto &[resource, entry] : node.state.limitManager.rates.limits)
            entry.ledger.bucket.level = entry.ledger.bucket.capacity;
    } else if (world.settings.defect == gateway_defect::ProofWithoutQuery) {
        addPlatformProof(node.state.proof, node.state.config.version, world.now);
    } else if (world.settings.defect == gateway_defect::VersionReverts
               && node.state.config.version > 1) {
        node.state.config = world.versions.front();
    }
}

void adoptConfiguration(gateway_turn &turn, const configuration &config)
{
    if (config.version > turn.state.config.version)
        applyConfiguration(turn, config);
}

void readPlatform(gateway_world &world, std::size_t gateway)
{
    const time_point sentAt = world.now;
    struct platform_snapshot
    {
        configuration config;
        std::set<member_id> leaving;
    };
    callPlatform<platform_snapshot>(
            world, gateway,
            [&world] {
                platform_snapshot newest{ world.versions.back(), {} };
                for (const world_member &each : world.members) {
                    if (each.leavingSince <= world.now
                        && world.settings.defect != gateway_defect::LeavingIgnored)
                        newest.leaving.insert(each.model.member);
                }
                return std::optional(newest);
            },
            [&world, sentAt](gateway_turn &turn, const std::optional<platform_snapshot> &newest) {
                if (!newest)
                    return;
                if (world.settings.defect != gateway_defect::ProofWithoutQuery) {
                    adoptConfiguration(turn, newest->config);
                    addPlatformProof(turn.state.proof, newest->config.version, sentAt);
                } else if (turn.state.config.version == 0) {
                    adoptConfiguration(turn, world.versions.front());
                }
                for (auto &[group, owner] : turn.state.owners) {
                    for (const auto &[member, view] : owner.view.members)
                        observeLeaving(owner.view, member, newest->leaving.count(member) != 0);
                }
            });
}

/// Requests the configuration and freshness proof of a peer, like a digest message.
void queryPeer(gateway_world &world, std::size_t from, std::size_t to)
{
    const time_point sentAt = world.now;
    sendDatagram(world, from, to, [&world, from, to, sentAt](gateway_turn &peer) {
        const freshness_proof proof = peer.state.proof.usable;
        if (proof.source == proof_source::None)
            return;
        const duration age = peer.now - proof.at;
        const configuration config = peer.state.config;
        sendDatagram(world, to, from, [&world, proof, age, config, sentAt](gateway_turn &turn) {
            if (world.settings.defect == gateway_defect::ProofWithoutQuery)
                return;
            adoptConfiguration(turn, config);
            addPeerProof(turn.state.proof, proof.version, age, sentAt);
        });
    });
}

void updateLivePeers(gateway_world &world, std::size_t gateway)
{
    world_gateway &node = world.gateways[gateway];
    std::vector<peer_ref> live;
    std::map<instance_id, peer_instance> peers;
    for (std::size_t i = 0; i < world.gateways.size(); ++i) {
        const world_gateway &other = world.gateways[i];
        if (i == gateway || !other.isUp)
            continue;
        if (!isLinkCut(world, gateway, i) && other.freezeCount == 0)
            node.lastHeardAt[i] = world.now;
        const auto entry = node.lastHeardAt.find(i);
        const bool isLive = entry != node.lastHeardAt.end()
                            && entry->second + livenessTimeout > world.now && !other.isStopping;
        peer_instance &peer = peers[other.instance];
        peer.incarnation = other.state.incarnation;
        peer.zone = other.zone;
        peer.address = other.instance.value;
        peer.isLive = isLive;
        if (isLive)
            live.push_back({ other.state.incarnation, other.instance, other.zone });
    }
    for (auto &[instance, peer] : peers) {
        const auto old = node.state.peers.find(instance);
        if (old != node.state.peers.end())
            peer.avoidUntil = old->second.avoidUntil;
    }
    node.state.peers = std::move(peers);
    if (live == node.reportedPeers)
        return;
    node.reportedPeers = live;
    runAtGateway(world, gateway, node.generation,
                 [&](gateway_turn &turn) { onLivePeers(turn, std::move(live)); });
}

void refresh(gateway_world &world, std::size_t gateway, std::uint64_t generation)
{
    const world_gateway &node = world.gateways[gateway];
    if (!node.isUp || node.generation != generation)
        return;
    if (node.freezeCount == 0) {
        updateLivePeers(world, gateway);
        readPlatform(world, gateway);
        queryPeer(world, gateway, drawBelow(world.random, world.gateways.size()));
    }
    after(world, refreshInterval,
          [&world, gateway, generation] { refresh(world, gateway, generation); });
}

void tick(gateway_world &world, std::size_t gateway, std::uint64_t generation)
{
    world_gateway &node = world.gateways[gateway];
    if (!node.isUp || node.generation != generation)
        return;
    if (node.freezeCount == 0) {
        runAtGateway(world, gateway, generation, [](gateway_turn &turn) { advance(turn); });
        if (node.isStopping && isDrained(node.state)) {
            if (node.stopsAt == noDeadline)
                node.stopsAt = world.now + shareReturnTimeout;
            if (hasLeft(node.state.limitManager) || world.now >= node.stopsAt) {
                killGateway(world, gateway);
                after(world, refreshInterval, [&world, gateway] { startGateway(world, gateway); });
                return;
            }
        }
    }
    const time_point next = std::clamp(nextWakeup(node.state), world.now + minTickInterval,
                                       world.now + maxTickInterval);
    after(world, next - world.now,
          [&world, gateway, generation] { tick(world, gateway, generation); });
}

} // namespace

std::size_t findGateway(const gateway_world &world, incarnation_id incarnation)
{
    const auto found = std::find_if(world.gateways.begin(), world.gateways.end(),
                                    [&](const world_gateway &each) {
                                        return each.isUp && each.state.incarnation == incarnation;
                                    });
    return static_cast<std::size_t>(found - world.gateways.begin());
}

void runAtGateway(gateway_world &world, std::size_t gateway, std::uint64_t generation,
                  const std::function<void(gateway_turn &)> &event)
{
    world_gateway &node = world.gateways[gateway];
    if (!node.isUp || node.generation != generation)
        return;
    if (node.freezeCount > 0) {
        node.inbox.emplace_back([&world, gateway, generation, event] {
            runAtGateway(world, gateway, generation, event);
        });
        return;
    }
    injectDefect(world, node);
    gateway_turn turn{ node.state, world.now, node.random, node.actions };
    event(turn);
    completeTurn(world, gateway);
}

void completeTurn(gateway_world &world, std::size_t gateway)
{
    world_gateway &node = world.gateways[gateway];
    while (!node.actions.empty()) {
        gateway_actions actions = std::exchange(node.actions, {});
        for (gateway_action &each : actions)
            perform(world, gateway, std::move(each));
    }
    recordGrants(world, node);
    if (node.recordedVersion != node.state.config.version) {
        node.recordedVersion = node.state.config.version;
        world.history.versions.push_back({ gateway, node.generation, node.recordedVersion });
    }
    watchSteps(world, gateway);
}

void startGateway(gateway_world &world, std::size_t gateway)
{
    world_gateway &node = world.gateways[gateway];
    ++node.generation;
    node.isUp = true;
    node.isStopping = false;
    node.stopsAt = noDeadline;
    node.random.seed(world.random());
    node.state = makeGateway({ node.random(), node.instance, node.zone }, {}, world.now);
    node.state.proof.proofLifetime = proofLifetime;
    node.reportedPeers.clear();
    node.lastHeardAt.clear();
    node.recordedVersion = 0;
    const std::uint64_t generation = node.generation;
    after(world, drawUpTo(world, maxTickInterval), [&world, gateway, generation] {
        refresh(world, gateway, generation);
        tick(world, gateway, generation);
    });
}

std::unique_ptr<gateway_world> makeGatewayWorld(const gateway_world_settings &settings)
{
    auto world = std::make_unique<gateway_world>();
    world->settings = settings;
    world->random.seed(settings.seed);
    configuration config;
    config.version = 1;
    std::vector<group_id> groups;
    for (std::size_t i = 0; i < settings.groups; ++i) {
        const group_id group{ "group" + std::to_string(i) };
        groups.push_back(group);
        group_settings &value = config.groups[group];
        value.slots = settings.slots;
        value.connections = settings.connections;
        for (std::size_t j = 0; j < 3; ++j) {
            world_member member;
            member.model.member = { group.value + "-" + std::to_string(j) };
            member.model.group = group;
            member.zoneNumber = j % settings.zones;
            member.slotsFreeAt.resize(settings.slots);
            value.members[member.model.member] = { { "zone" + std::to_string(member.zoneNumber) },
                                                   member.model.member.value };
            acceptTerm(member.model, 256);
            if (j == 0)
                static_cast<void>(lead(member.model, 256, world->now));
            else
                static_cast<void>(follow(member.model, 256, { group.value + "-0" }));
            world->members.push_back(std::move(member));
        }
    }
    for (const char *name : { "north", "south" }) {
        workspace_settings &workspace = config.workspaces[{ name }];
        const bool isScarce = !settings.isRateAmple && std::string_view(name) == "south";
        workspace.rate = isScarce ? 40 : 2000;
        workspace.burst = isScarce ? 20 : 1000;
        workspace.groups = groups;
        workspace.readClasses["recent"].maxAge = std::chrono::seconds(2);
        for (const char *letter : { "a", "b" }) {
            const key_hash key = std::string(name) + "-key-" + letter + std::string(53, '0');
            workspace.keys[key] = key_state::Valid;
            world->history.keys.emplace_back(key, workspace_id{ name });
        }
    }
    world->versions.push_back(config);
    world->history.proofLifetime = proofLifetime;
    for (std::size_t i = 0; i < settings.gateways; ++i) {
        world_gateway node;
        node.instance = { "gateway" + std::to_string(i) };
        node.zoneNumber = i % settings.zones;
        node.zone = { "zone" + std::to_string(node.zoneNumber) };
        world->gateways.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < settings.gateways; ++i)
        startGateway(*world, i);
    replicate(*world);
    after(*world, std::chrono::seconds(1), [&place = *world] { startCallers(place); });
    return world;
}

void runFor(gateway_world &world, duration length)
{
    const time_point end = world.now + length;
    while (!world.callbacks.empty() && world.callbacks.top().at <= end) {
        const world_callback next = world.callbacks.top();
        world.callbacks.pop();
        world.now = next.at;
        next.run();
    }
    world.now = end;
}

void after(gateway_world &world, duration delay, std::function<void()> run)
{
    world.callbacks.push({ world.now + delay, world.nextCallback++, std::move(run) });
}

std::vector<world_finding> finishWorld(gateway_world &world)
{
    world.areCallersStopped = true;
    runFor(world, settleTime);
    gateway_history &history = world.history;
    history.config = world.versions.back();
    for (std::size_t i = 0; i < world.gateways.size(); ++i) {
        if (world.gateways[i].isUp)
            history.lastVersions.emplace_back(i, world.gateways[i].state.config.version);
    }
    for (const auto &[group, settings] : history.config.groups) {
        const world_member &primary = world.members[findPrimary(world, group)];
        const auto followers = std::count_if(
                world.members.begin(), world.members.end(), [&](const world_member &each) {
                    return each.model.group == group && each.model.term == primary.model.term;
                });
        if (primary.model.role != member_role::Primary || followers < 2)
            history.withoutPrimary.push_back(group);
        history.finalData[group] = primary.model.data;
    }
    return checkHistory(history);
}

} // namespace fuchsiagw::testing
