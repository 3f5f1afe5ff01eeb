/// @file
/// @brief Members of the gateway simulation, connections to members, and link delays.

#include <fuchsiagw/testing/gateway_world_parts.hpp>

#include <algorithm>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration inZoneDelay = std::chrono::microseconds(300);
constexpr duration serviceTime = std::chrono::milliseconds(1);
constexpr duration replicationInterval = std::chrono::milliseconds(5);
constexpr duration laggingReplicaDelay = std::chrono::seconds(30);
constexpr duration maxAnswerDelay = std::chrono::milliseconds(2500);
/// Requirement M11 (a leaving member receives no new work) tolerates new work for this long after
/// the member is listed as leaving.
constexpr duration leavingGrace = std::chrono::seconds(3);

using connection_key = std::pair<std::size_t, connection_id>;
using exchange_result = std::function<void(group_owner &, owner_actions &, gateway_turn &)>;

void runAtOwner(gateway_world &world, std::size_t gateway, std::uint64_t generation,
                const group_id &group, const exchange_result &event)
{
    runAtGateway(world, gateway, generation, [group, event](gateway_turn &turn) {
        withOwner(turn, group,
                  [&](group_owner &owner, owner_actions &actions) { event(owner, actions, turn); });
    });
}

/// Connection ids are unique within an owner only.
connection_key connectionKey(const gateway_world &world, std::size_t gateway, const group_id &group,
                             connection_id id)
{
    const auto groupIndex = std::distance(world.versions.front().groups.begin(),
                                          world.versions.front().groups.find(group));
    return { gateway * world.settings.groups + static_cast<std::size_t>(groupIndex), id };
}

std::size_t findMember(const gateway_world &world, const member_id &member)
{
    const auto found =
            std::find_if(world.members.begin(), world.members.end(),
                         [&](const world_member &each) { return each.model.member == member; });
    return static_cast<std::size_t>(found - world.members.begin());
}

void endExchange(gateway_world &world, const world_connection &connection, std::uint64_t exchange,
                 const std::optional<execute_answer> &answer, bool wasSilent)
{
    const connection_key key =
            connectionKey(world, connection.gateway, connection.group, connection.id);
    runAtOwner(world, connection.gateway, connection.generation, connection.group,
               [&world, key, exchange, id = connection.id, answer,
                wasSilent](group_owner &owner, owner_actions &actions, gateway_turn &turn) {
                   const auto entry = world.connections.find(key);
                   if (entry == world.connections.end() || entry->second.exchange != exchange)
                       return;
                   entry->second.exchange = 0;
                   const bool wasSent =
                           answer || world.settings.defect != gateway_defect::SentWriteRepeated;
                   onExecuted(owner, id, answer, wasSent, wasSilent, turn.now, turn.random,
                              actions);
               });
}

void sendAnswer(gateway_world &world, const world_connection &connection, std::uint64_t exchange,
                const execute_answer &answer)
{
    reachStep(world, gateway_step::AnswerInTransit, connection.gateway, connection.member);
    const std::size_t from = memberNode(world, connection.member);
    const auto deliver = [&world, from, connection, exchange](const execute_answer &content) {
        sendReliably(world, from, connection.gateway, [&world, connection, exchange, content] {
            endExchange(world, connection, exchange, content, false);
        });
    };
    const bool isSwapped = world.settings.defect == gateway_defect::AnswersSwapped
                           && !answer.rows.empty() && drawPercent(world, 20);
    if (world.conditions.answersCrossed > 0 || isSwapped || world.crossed) {
        // Swaps two answers in transit; the first waits for the second.
        if (!world.crossed) {
            world.crossed = crossed_answer{ answer, deliver };
            return;
        }
        crossed_answer first = std::exchange(world.crossed, std::nullopt).value();
        execute_answer second = answer;
        if (world.settings.defect == gateway_defect::AnswersSwapped)
            std::swap(first.answer.id, second.id);
        first.deliver(second);
        deliver(first.answer);
        return;
    }
    const duration late =
            world.conditions.answersLate > 0 ? duration(static_cast<std::int64_t>(
                    drawBelow(world.random, static_cast<std::uint64_t>(maxAnswerDelay.count()))))
                                             : duration::zero();
    after(world, late, [deliver, answer] { deliver(answer); });
}

std::uint64_t itemOf(const execute_request &request)
{
    if (request.parameters.size() < 2)
        return 0;
    const std::vector<std::uint64_t> items = itemsOf(request.parameters[1]);
    return items.empty() ? 0 : items.front();
}

/// Runs a statement when an execution slot is free.
void serveStatement(gateway_world &world, const world_connection &connection,
                    std::uint64_t exchange, const execute_request &request,
                    bool wasSentWhileLeaving)
{
    world_member &member = world.members[connection.member];
    if (world.closed.count(connection.number) != 0)
        return;
    const bool hadTransaction = member.model.transactions.count(connection.number) != 0;
    const auto slot = std::min_element(member.slotsFreeAt.begin(), member.slotsFreeAt.end());
    *slot = std::max(*slot, world.now) + serviceTime;
    after(world, *slot - world.now,
          [&world, connection, exchange, request, wasSentWhileLeaving, hadTransaction] {
              world_member &server = world.members[connection.member];
              const bool isClosed = world.closed.count(connection.number) != 0;
              // A running statement completes after its connection closes, except within a
              // transaction, which ends with the connection.
              if (server.generation != connection.memberGeneration || (isClosed && hadTransaction))
                  return;
              member_event event;
              const execution result = execute(server.model, connection.number, request, world.now);
              event.at = world.now;
              event.member = server.model.member;
              event.connection = connection.number;
              event.request = request;
              event.status = result.answer.status;
              event.item = itemOf(request);
              event.hasRun = result.hasRun;
              event.wasSentWhileLeaving = wasSentWhileLeaving;
              world.history.members.push_back(std::move(event));
              if (!connection.isSilent && !isClosed)
                  sendAnswer(world, connection, exchange, result.answer);
          });
}

void closeAtMember(gateway_world &world, const world_connection &connection)
{
    sendReliably(world, connection.gateway, memberNode(world, connection.member),
                 [&world, connection] {
                     world_member &member = world.members[connection.member];
                     if (member.generation != connection.memberGeneration)
                         return;
                     closeConnection(member.model, connection.number);
                     world.closed.insert(connection.number);
                     member_event event;
                     event.at = world.now;
                     event.member = member.model.member;
                     event.connection = connection.number;
                     event.isClose = true;
                     world.history.members.push_back(std::move(event));
                 });
}

void performOpen(gateway_world &world, std::size_t gateway, const group_id &group,
                 const open_connection &order)
{
    const std::size_t member = findMember(world, order.member);
    reachStep(world, gateway_step::ConnectionOpening, gateway, member);
    const std::uint64_t generation = world.gateways[gateway].generation;
    const auto report = [&world, gateway, generation, group, id = order.id](bool isOpen) {
        runAtOwner(world, gateway, generation, group,
                   [id, isOpen](group_owner &owner, owner_actions &actions, gateway_turn &turn) {
                       onConnected(owner, id, isOpen, turn.now, turn.random, actions);
                   });
    };
    const std::size_t node = memberNode(world, member);
    if (isLinkCut(world, gateway, node)) {
        after(world, order.deadline - world.now, [report] { report(false); });
        return;
    }
    const duration way = linkDelay(world, gateway, node);
    const bool isRefused = world.members[member].stopCount > 0;
    if (!isRefused) {
        world_connection connection;
        connection.gateway = gateway;
        connection.generation = generation;
        connection.group = group;
        connection.id = order.id;
        connection.member = member;
        connection.number = world.nextConnection++;
        connection.memberGeneration = world.members[member].generation;
        world.connections[connectionKey(world, gateway, group, order.id)] = connection;
    }
    after(world, way + way + (isRefused ? duration::zero() : world.settings.connectionCost),
          [report, isRefused] { report(!isRefused); });
}

/// Injects the defects that change a request to a member.
void injectDefect(gateway_world &world, execute_request &request, world_connection &connection)
{
    switch (world.settings.defect) {
    case gateway_defect::OtherWorkspace:
        if (drawPercent(world, 5))
            request.workspace.value = request.workspace.value == "north" ? "south" : "north";
        break;
    case gateway_defect::KeyInField:
        request.parameters.push_back(world.history.keys.front().first);
        break;
    case gateway_defect::ConnectionReused: {
        const member_model &model = world.members[connection.member].model;
        for (const auto &[key, other] : world.connections) {
            if (other.gateway == connection.gateway && other.member == connection.member
                && request.kind == statement_kind::Read
                && model.transactions.count(other.number) != 0)
                connection.number = other.number;
        }
        break;
    }
    default:
        break;
    }
}

void performSend(gateway_world &world, std::size_t gateway, const group_id &group,
                 send_statement &&order)
{
    const auto entry = world.connections.find(connectionKey(world, gateway, group, order.id));
    if (entry == world.connections.end()) {
        // The member has stopped and reset the connection. The statement counts as sent because it
        // may have been written before the reset.
        const std::uint64_t generation = world.gateways[gateway].generation;
        after(world, inZoneDelay, [&world, gateway, generation, group, id = order.id] {
            runAtOwner(world, gateway, generation, group,
                       [id](group_owner &owner, owner_actions &actions, gateway_turn &turn) {
                           onExecuted(owner, id, std::nullopt, true, false, turn.now, turn.random,
                                      actions);
                       });
        });
        return;
    }
    world_connection &connection = entry->second;
    connection.exchange = world.nextExchange++;
    const std::uint64_t exchange = connection.exchange;
    world_connection used = connection;
    injectDefect(world, order.request, used);
    after(world, order.deadline - world.now,
          [&world, used, exchange] { endExchange(world, used, exchange, std::nullopt, true); });
    const statement_kind kind = order.request.kind;
    const std::size_t member = used.member;
    const time_point leavingSince = world.members[member].leavingSince;
    const bool isLate = leavingSince != noDeadline && world.now > leavingSince + leavingGrace;
    const bool isRequestLost = used.isSilent && drawPercent(world, 50);
    if (!isRequestLost) {
        sendReliably(world, gateway, memberNode(world, member),
                     [&world, used, exchange, request = std::move(order.request), isLate] {
                         if (world.members[used.member].generation == used.memberGeneration)
                             serveStatement(world, used, exchange, request, isLate);
                     });
    }
    if (kind == statement_kind::Write)
        reachStep(world, gateway_step::StatementSent, gateway, member);
    else if (kind == statement_kind::Commit)
        reachStep(world, gateway_step::CommitSent, gateway, member);
}

void answerControl(gateway_world &world, std::size_t gateway, std::uint64_t generation,
                   const group_id &group, std::size_t member, const control_answer &answer)
{
    if (world.settings.defect == gateway_defect::LeavingIgnored && answer.status) {
        control_answer changed = answer;
        changed.status->leaving = false;
        sendReliably(world, memberNode(world, member), gateway,
                     [&world, gateway, generation, group, changed] {
                         runAtOwner(world, gateway, generation, group,
                                    [changed](group_owner &owner, owner_actions &actions,
                                              gateway_turn &turn) {
                                        onControlAnswer(owner, changed, turn.now, turn.random,
                                                        actions);
                                    });
                     });
        return;
    }
    sendReliably(world, memberNode(world, member), gateway,
                 [&world, gateway, generation, group, answer] {
                     runAtOwner(world, gateway, generation, group,
                                [answer](group_owner &owner, owner_actions &actions,
                                         gateway_turn &turn) {
                                    onControlAnswer(owner, answer, turn.now, turn.random, actions);
                                });
                 });
}

void serveControlCall(gateway_world &world, std::size_t gateway, std::uint64_t generation,
                      const group_id &group, std::size_t member, const control_call &call)
{
    member_model &model = world.members[member].model;
    control_answer answer{ call.number, std::nullopt, false };
    switch (call.kind) {
    case control_kind::Wait:
        world.members[member].waits.push_back({ gateway, generation, call, world.now + call.held });
        return;
    case control_kind::AcceptTerm:
        answer.accepted = acceptTerm(model, call.position.term).accepted;
        break;
    case control_kind::Lead:
        static_cast<void>(lead(model, call.position.term, world.now));
        break;
    case control_kind::Follow:
        static_cast<void>(follow(model, call.position.term, call.primary));
        break;
    case control_kind::Status:
        break;
    }
    answer.status = statusOf(model);
    answerControl(world, gateway, generation, group, member, answer);
}

void performControl(gateway_world &world, std::size_t gateway, const group_id &group,
                    const control_call &call)
{
    const std::size_t member = findMember(world, call.member);
    const std::uint64_t generation = world.gateways[gateway].generation;
    const auto fail = [&world, gateway, generation, group, number = call.number] {
        runAtOwner(world, gateway, generation, group,
                   [number](group_owner &owner, owner_actions &actions, gateway_turn &turn) {
                       onControlAnswer(owner, { number, std::nullopt, false }, turn.now,
                                       turn.random, actions);
                   });
    };
    after(world, call.deadline - world.now, fail);
    if (world.members[member].stopCount > 0) {
        after(world, inZoneDelay, fail);
        return;
    }
    const std::uint64_t memberGeneration = world.members[member].generation;
    sendReliably(world, gateway, memberNode(world, member),
                 [&world, gateway, generation, group, member, memberGeneration, call] {
                     if (world.members[member].generation == memberGeneration)
                         serveControlCall(world, gateway, generation, group, member, call);
                 });
}

void answerWaits(gateway_world &world, std::size_t index)
{
    world_member &member = world.members[index];
    std::vector<world_wait> open;
    for (world_wait &each : std::exchange(member.waits, {})) {
        const bool isDecided = holds(member.model, each.call.position)
                               || member.model.term > each.call.position.term;
        if (isDecided || world.now >= each.expiresAt)
            answerControl(world, each.gateway, each.generation, member.model.group, index,
                          { each.call.number, statusOf(member.model), false });
        else
            open.push_back(std::move(each));
    }
    member.waits = std::move(open);
}

} // namespace

std::size_t memberNode(const gateway_world &world, std::size_t member)
{
    return world.gateways.size() + member;
}

bool isLinkCut(const gateway_world &world, std::size_t from, std::size_t to)
{
    const std::size_t gateways = world.gateways.size();
    const auto zoneOf = [&](std::size_t node) {
        return node < gateways ? world.gateways[node].zoneNumber
                               : world.members[node - gateways].zoneNumber;
    };
    const std::size_t left = zoneOf(from);
    const std::size_t right = zoneOf(to);
    const auto &cut = world.conditions.cutZones;
    if (left != right && (cut.count(left) != 0 || cut.count(right) != 0))
        return true;
    const bool areMembers = from >= gateways && to >= gateways;
    for (const std::size_t node : { from, to }) {
        if (node < gateways)
            continue;
        const world_member &member = world.members[node - gateways];
        if ((areMembers ? member.groupCutCount : member.gatewayCutCount) > 0)
            return true;
    }
    return false;
}

bool isPlatformCut(const gateway_world &world, std::size_t gateway)
{
    return world.conditions.platformDown > 0
           || world.conditions.zonesWithoutPlatform.count(world.gateways[gateway].zoneNumber) != 0;
}

duration linkDelay(gateway_world &world, std::size_t from, std::size_t to)
{
    const std::size_t gateways = world.gateways.size();
    const auto zoneOf = [&](std::size_t node) {
        return node < gateways ? world.gateways[node].zoneNumber
                               : world.members[node - gateways].zoneNumber;
    };
    const duration usual = zoneOf(from) == zoneOf(to) ? inZoneDelay : world.settings.crossZoneDelay;
    const auto jitter = drawBelow(world.random, static_cast<std::uint64_t>(usual.count()) / 4 + 1);
    return usual + duration(static_cast<std::int64_t>(jitter));
}

bool drawPercent(gateway_world &world, unsigned percent)
{
    return drawBelow(world.random, 100) < percent;
}

void sendReliably(gateway_world &world, std::size_t from, std::size_t to,
                  std::function<void()> deliver)
{
    if (isLinkCut(world, from, to))
        world.blockedMessages.push_back({ from, to, std::move(deliver) });
    else
        after(world, linkDelay(world, from, to), std::move(deliver));
}

void resendBlocked(gateway_world &world)
{
    for (blocked_message &each : std::exchange(world.blockedMessages, {}))
        sendReliably(world, each.from, each.to, std::move(each.deliver));
}

void performUpstream(gateway_world &world, std::size_t gateway, group_action &&action)
{
    if (const auto *open = std::get_if<open_connection>(&action.action)) {
        performOpen(world, gateway, action.group, *open);
    } else if (auto *send = std::get_if<send_statement>(&action.action)) {
        performSend(world, gateway, action.group, std::move(*send));
    } else if (const auto *close = std::get_if<close_connection>(&action.action)) {
        const auto entry =
                world.connections.find(connectionKey(world, gateway, action.group, close->id));
        if (entry == world.connections.end())
            return;
        closeAtMember(world, entry->second);
        world.connections.erase(entry);
    } else if (const auto *call = std::get_if<control_call>(&action.action)) {
        performControl(world, gateway, action.group, *call);
    }
}

void replicate(gateway_world &world)
{
    for (std::size_t i = 0; i < world.members.size(); ++i) {
        world_member &replica = world.members[i];
        const duration lag =
                replica.lagFaultCount > 0 ? laggingReplicaDelay : world.settings.replicaLag;
        const std::size_t primary = findMember(world, replica.model.following);
        if (replica.stopCount == 0 && primary < world.members.size()
            && world.members[primary].stopCount == 0
            && !isLinkCut(world, memberNode(world, i), memberNode(world, primary)))
            copyLog(replica.model, world.members[primary].model, world.now - lag);
        if (replica.stopCount > 0)
            continue;
        if (replica.model.role == member_role::Replica)
            applyLog(replica.model, world.now - lag);
        answerWaits(world, i);
    }
    after(world, replicationInterval, [&world] { replicate(world); });
}

void stopMember(gateway_world &world, std::size_t member)
{
    world_member &stoppedMember = world.members[member];
    ++stoppedMember.generation;
    stoppedMember.waits.clear();
    stoppedMember.model.transactions.clear();
    std::vector<world_connection> open;
    std::erase_if(world.connections, [&](const auto &each) {
        if (each.second.member != member)
            return false;
        open.push_back(each.second);
        return true;
    });
    const bool wasSent = world.settings.defect != gateway_defect::SentWriteRepeated;
    for (const world_connection &each : open) {
        member_event event;
        event.at = world.now;
        event.member = stoppedMember.model.member;
        event.connection = each.number;
        event.isClose = true;
        world.history.members.push_back(std::move(event));
        after(world, linkDelay(world, memberNode(world, member), each.gateway),
              [&world, each, wasSent] {
                  runAtOwner(world, each.gateway, each.generation, each.group,
                             [each, wasSent](group_owner &owner, owner_actions &actions,
                                             gateway_turn &turn) {
                                 if (each.exchange != 0)
                                     onExecuted(owner, each.id, std::nullopt, wasSent, false,
                                                turn.now, turn.random, actions);
                                 else
                                     onConnectionClosed(owner, each.id, turn.now, turn.random,
                                                        actions);
                             });
              });
    }
}

void killGateway(gateway_world &world, std::size_t gateway)
{
    world_gateway &node = world.gateways[gateway];
    node.isUp = false;
    node.inbox.clear();
    node.actions.clear();
    node.awaitingToken.clear();
    node.origins.clear();
    std::vector<world_connection> open;
    std::erase_if(world.connections, [&](const auto &each) {
        if (each.second.gateway != gateway)
            return false;
        open.push_back(each.second);
        return true;
    });
    for (const world_connection &each : open)
        closeAtMember(world, each);
    // The other gateways detect that their connections to this one have closed.
    for (std::size_t i = 0; i < world.gateways.size(); ++i) {
        const std::uint64_t generation = world.gateways[i].generation;
        if (i != gateway)
            sendReliably(world, gateway, i, [&world, gateway, i, generation] {
                runAtGateway(world, i, generation, [&world, gateway](gateway_turn &turn) {
                    std::vector<std::uint64_t> lost;
                    for (const auto &[handle, entry] : turn.state.entries) {
                        if (entry.forwardedTo == world.gateways[gateway].instance)
                            lost.push_back(handle);
                    }
                    for (const std::uint64_t handle : lost)
                        onForwardFailed(turn, handle, true);
                });
            });
    }
}

std::size_t findPrimary(const gateway_world &world, const group_id &group)
{
    std::size_t best = world.members.size();
    for (std::size_t i = 0; i < world.members.size(); ++i) {
        const member_model &each = world.members[i].model;
        if (each.group != group)
            continue;
        const bool leads = each.role == member_role::Primary;
        if (best == world.members.size()
            || std::pair(leads, each.term)
                       > std::pair(world.members[best].model.role == member_role::Primary,
                                   world.members[best].model.term))
            best = i;
    }
    return best;
}

} // namespace fuchsiagw::testing
