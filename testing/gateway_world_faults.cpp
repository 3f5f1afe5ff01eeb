/// @file
/// @brief Fault injection of the gateway simulation.

#include <fuchsiagw/testing/gateway_world_parts.hpp>

#include <algorithm>
#include <memory>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration faultDuration = std::chrono::milliseconds(2500);
/// Longer than a promise of the witnesses (6 s), the grace period of a vote (2 s) and the vote's
/// retry together.
constexpr duration leaseLapseDuration = std::chrono::seconds(11);
constexpr duration restartDelay = std::chrono::seconds(1);

/// Increments a counter for the duration of a fault.
void countDuringFault(gateway_world &world, unsigned &counter)
{
    ++counter;
    after(world, faultDuration, [&world, &counter] {
        --counter;
        resendBlocked(world);
    });
}

/// Increments the counter of a zone for the duration of a fault.
void countZoneDuringFault(gateway_world &world, std::map<std::size_t, unsigned> &zones,
                          std::size_t zone)
{
    ++zones[zone];
    after(world, faultDuration, [&world, &zones, zone] {
        if (--zones[zone] == 0)
            zones.erase(zone);
        resendBlocked(world);
    });
}

void freeze(gateway_world &world, std::size_t gateway, duration length)
{
    world_gateway &node = world.gateways[gateway];
    if (!node.isUp)
        return;
    ++node.freezeCount;
    after(world, length, [&world, gateway] {
        world_gateway &frozenNode = world.gateways[gateway];
        if (--frozenNode.freezeCount > 0)
            return;
        for (const auto &each : std::exchange(frozenNode.inbox, {}))
            each();
    });
}

void kill(gateway_world &world, std::size_t gateway)
{
    if (!world.gateways[gateway].isUp)
        return;
    for (caller_operation &each : world.history.operations) {
        if (each.gateway == gateway && each.arrivedAt != noDeadline && each.replies == 0)
            each.isAnswerOptional = true;
    }
    killGateway(world, gateway);
    after(world, restartDelay, [&world, gateway] {
        if (!world.gateways[gateway].isUp)
            startGateway(world, gateway);
    });
}

void drain(gateway_world &world, std::size_t gateway)
{
    world_gateway &node = world.gateways[gateway];
    if (!node.isUp || node.isStopping)
        return;
    node.isStopping = true;
    if (world.settings.defect == gateway_defect::StopsAtOnce) {
        killGateway(world, gateway);
        after(world, restartDelay, [&world, gateway] { startGateway(world, gateway); });
        return;
    }
    runAtGateway(world, gateway, node.generation, [](gateway_turn &turn) { startDraining(turn); });
}

void withdrawKey(gateway_world &world)
{
    configuration config = world.versions.back();
    ++config.version;
    const key_hash key = world.history.keys[1].first;
    config.workspaces[world.history.keys[1].second].keys[key] = key_state::Withdrawn;
    world.history.withdrawn.try_emplace(key, world.now);
    world.versions.push_back(std::move(config));
}

void silenceConnections(gateway_world &world, std::size_t member)
{
    for (auto &[key, connection] : world.connections) {
        if (connection.member == member)
            connection.isSilent = true;
    }
}

} // namespace

void startFault(gateway_world &world, gateway_fault fault, const fault_target &target)
{
    const std::size_t primary =
            target.member.value_or(findPrimary(world, world.members.front().model.group));
    world_member &member = world.members[primary];
    const std::size_t zone = world.gateways[target.gateway].zoneNumber;
    world_conditions &conditions = world.conditions;
    switch (fault) {
    case gateway_fault::PrimaryStopped:
        stopMember(world, primary);
        countDuringFault(world, member.stopCount);
        return;
    case gateway_fault::PrimaryCutFromGroup:
        countDuringFault(world, member.groupCutCount);
        return;
    case gateway_fault::PrimaryCutFromGateways:
        countDuringFault(world, member.gatewayCutCount);
        return;
    case gateway_fault::ReplicaFarBehind: {
        const auto replica = std::find_if(
                world.members.begin(), world.members.end(),
                [](const world_member &each) { return each.model.role == member_role::Replica; });
        if (replica != world.members.end())
            countDuringFault(world, replica->lagFaultCount);
        return;
    }
    case gateway_fault::ZoneCut:
        countZoneDuringFault(world, conditions.cutZones, zone);
        return;
    case gateway_fault::ZoneCutFromPlatform:
        countZoneDuringFault(world, conditions.zonesWithoutPlatform, zone);
        return;
    case gateway_fault::GatewayKilled:
        kill(world, target.gateway);
        return;
    case gateway_fault::GatewayFrozen:
        freeze(world, target.gateway, faultDuration);
        return;
    case gateway_fault::KeyWithdrawn:
        withdrawKey(world);
        return;
    case gateway_fault::PlatformDown:
        countDuringFault(world, conditions.platformDown);
        return;
    case gateway_fault::PlatformSlow:
        countDuringFault(world, conditions.platformSlow);
        return;
    case gateway_fault::PlatformAnswerLost:
        countDuringFault(world, conditions.answersLost);
        return;
    case gateway_fault::LeaseLapsed:
        freeze(world, target.gateway, leaseLapseDuration);
        return;
    case gateway_fault::ConnectionSilent:
        silenceConnections(world, primary);
        return;
    case gateway_fault::AnswersLate:
        countDuringFault(world, conditions.answersLate);
        return;
    case gateway_fault::AnswersCrossed:
        countDuringFault(world, conditions.answersCrossed);
        return;
    case gateway_fault::PeerMessagesLost:
        countDuringFault(world, conditions.peersLost);
        return;
    case gateway_fault::PeerMessagesDoubled:
        countDuringFault(world, conditions.peersDoubled);
        return;
    case gateway_fault::MemberLeaving:
        member.model.leaving = true;
        member.leavingSince = std::min(member.leavingSince, world.now);
        return;
    case gateway_fault::GatewayDraining:
        drain(world, target.gateway);
        return;
    }
}

void startFaultAt(gateway_world &world, gateway_fault fault, gateway_step step, duration limit,
                  bool *reached)
{
    const auto hasStarted = std::make_shared<bool>(false);
    const auto start = [&world, fault, hasStarted](const fault_target &target) {
        if (!std::exchange(*hasStarted, true))
            startFault(world, fault, target);
    };
    world.awaitedStep = step;
    world.onStep = [&world, start, reached](const fault_target &target) {
        *reached = true;
        after(world, duration::zero(), [start, target] { start(target); });
    };
    after(world, limit, [&world, start] {
        if (world.awaitedStep)
            start({});
        world.awaitedStep.reset();
    });
}

void reachStep(gateway_world &world, gateway_step step, std::size_t gateway,
               std::optional<std::size_t> member)
{
    if (world.awaitedStep != step)
        return;
    world.awaitedStep.reset();
    world.onStep({ gateway, member });
}

} // namespace fuchsiagw::testing
