/// @file
/// @brief The faults of the gateway world.

#include <fuchsiagw/testing/gateway_world_parts.hpp>

#include <algorithm>
#include <memory>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration faultLasts = std::chrono::milliseconds(2500);
/// Longer than a promise of the witnesses (6 s), the grace of a vote (2 s) and its retry.
constexpr duration lapseLasts = std::chrono::seconds(11);
constexpr duration restartAfter = std::chrono::seconds(1);

/// Raises a counter and lowers it again at the end of the fault.
void during(gateway_world &world, unsigned &counter)
{
    ++counter;
    after(world, faultLasts, [&world, &counter] {
        --counter;
        releaseHeld(world);
    });
}

void duringIn(gateway_world &world, std::map<std::size_t, unsigned> &zones, std::size_t zone)
{
    ++zones[zone];
    after(world, faultLasts, [&world, &zones, zone] {
        if (--zones[zone] == 0)
            zones.erase(zone);
        releaseHeld(world);
    });
}

void freeze(gateway_world &world, std::size_t gateway, duration length)
{
    world_gateway &node = world.gateways[gateway];
    if (!node.isUp)
        return;
    ++node.frozen;
    after(world, length, [&world, gateway] {
        world_gateway &place = world.gateways[gateway];
        if (--place.frozen > 0)
            return;
        for (const auto &each : std::exchange(place.inbox, {}))
            each();
    });
}

void kill(gateway_world &world, std::size_t gateway)
{
    if (!world.gateways[gateway].isUp)
        return;
    for (caller_operation &each : world.history.operations) {
        if (each.gateway == gateway && each.arrivedAt != noDeadline && each.replies == 0)
            each.isExcused = true;
    }
    killGateway(world, gateway);
    after(world, restartAfter, [&world, gateway] {
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
        after(world, restartAfter, [&world, gateway] { startGateway(world, gateway); });
        return;
    }
    atGateway(world, gateway, node.life, [](gateway_turn &turn) { startDraining(turn); });
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

void silence(gateway_world &world, std::size_t member)
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
        during(world, member.stopped);
        return;
    case gateway_fault::PrimaryCutFromGroup:
        during(world, member.cutFromGroup);
        return;
    case gateway_fault::PrimaryCutFromGateways:
        during(world, member.cutFromGateways);
        return;
    case gateway_fault::ReplicaFarBehind: {
        const auto replica = std::find_if(
                world.members.begin(), world.members.end(),
                [](const world_member &each) { return each.model.role == member_role::Replica; });
        if (replica != world.members.end())
            during(world, replica->behind);
        return;
    }
    case gateway_fault::ZoneCut:
        duringIn(world, conditions.cutZones, zone);
        return;
    case gateway_fault::ZoneCutFromPlatform:
        duringIn(world, conditions.zonesWithoutPlatform, zone);
        return;
    case gateway_fault::GatewayKilled:
        kill(world, target.gateway);
        return;
    case gateway_fault::GatewayFrozen:
        freeze(world, target.gateway, faultLasts);
        return;
    case gateway_fault::KeyWithdrawn:
        withdrawKey(world);
        return;
    case gateway_fault::PlatformDown:
        during(world, conditions.platformDown);
        return;
    case gateway_fault::PlatformSlow:
        during(world, conditions.platformSlow);
        return;
    case gateway_fault::PlatformAnswerLost:
        during(world, conditions.answersLost);
        return;
    case gateway_fault::LeaseLapsed:
        freeze(world, target.gateway, lapseLasts);
        return;
    case gateway_fault::ConnectionSilent:
        silence(world, primary);
        return;
    case gateway_fault::AnswersLate:
        during(world, conditions.answersLate);
        return;
    case gateway_fault::AnswersCrossed:
        during(world, conditions.answersCrossed);
        return;
    case gateway_fault::PeerMessagesLost:
        during(world, conditions.peersLost);
        return;
    case gateway_fault::PeerMessagesDoubled:
        during(world, conditions.peersDoubled);
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
    world.awaited = step;
    world.onStep = [&world, start, reached](const fault_target &target) {
        *reached = true;
        after(world, duration::zero(), [start, target] { start(target); });
    };
    after(world, limit, [&world, start] {
        if (world.awaited)
            start({});
        world.awaited.reset();
    });
}

void reachStep(gateway_world &world, gateway_step step, std::size_t gateway,
               std::optional<std::size_t> member)
{
    if (world.awaited != step)
        return;
    world.awaited.reset();
    world.onStep({ gateway, member });
}

} // namespace fuchsiagw::testing
