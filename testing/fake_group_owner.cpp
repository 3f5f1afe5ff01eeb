/// @file
/// @brief Owners of the simulated group, which run the decision code of `core`.

#include <fuchsiagw/testing/fake_group.hpp>

#include <algorithm>
#include <memory>
#include <string>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration routeRetryDelay = std::chrono::milliseconds(10);
constexpr duration executeTimeout = std::chrono::milliseconds(250);

std::size_t indexOf(const member_id &member)
{
    return static_cast<std::size_t>(std::stoul(member.value.substr(1)));
}

} // namespace

// ---- owners: failover ----

void fake_group::tick(std::size_t index)
{
    schedule(failoverTickInterval, [this, index] { tick(index); });
    fake_owner &owner = owners[index];
    if (owner.isPaused)
        return;
    if (config.policy == acknowledgement_policy::Lease)
        renewLease(index);
    const failover_load load = makeFailoverLoad(owner.pending, owner.view, !owner.writes.empty());
    perform(index, onTick(owner.failover, owner.view, load, clock, owner.random));
    settle(index);
    openWaits(index);
}

void fake_group::renewLease(std::size_t index)
{
    // The table of the platform answers without delay here, which favours the lease policy.
    group_view &view = owners[index].view;
    const member_view *known = findPrimary(view);
    if (known != nullptr && known->lastHeardAt != time_point::min()
        && known->lastHeardAt + suspectAfter >= clock)
        leaseUntil = std::max(leaseUntil, clock + config.lease);
    view.leaseExpiresAt = leaseUntil;
}

void fake_group::perform(std::size_t owner, const failover_actions &actions)
{
    for (const failover_action &each : actions) {
        performAction(owner, each);
        const auto hook = stepHooks.find(each.step);
        if (hook == stepHooks.end())
            continue;
        const std::function<void()> callback = hook->second;
        stepHooks.erase(hook);
        callback();
    }
}

void fake_group::probe(std::size_t index, const failover_action &action)
{
    const std::size_t member = indexOf(action.member);
    const time_point sentAt = clock;
    const auto isDone = std::make_shared<bool>(false);
    const auto fail = [this, index, action, isDone](member_failure failure) {
        fake_owner &owner = owners[index];
        if (!std::exchange(*isDone, true))
            onProbeFailed(owner.failover, owner.view, action.member, failure, clock, owner.random);
    };
    scheduleAtOwner(index, action.timeout, [fail] { fail(member_failure::Silence); });
    sendRequest(
            index, member,
            [this, index, member, sentAt, isDone] {
                sendAnswer(member, index, [this, index, sentAt, isDone, status = statusOf(member)] {
                    *isDone = true;
                    fake_owner &owner = owners[index];
                    perform(index, onStatus(owner.failover, owner.view, status, sentAt, clock,
                                            owner.random));
                    settle(index);
                });
            },
            [fail] { fail(member_failure::Refused); });
}

void fake_group::lead(std::size_t index, const failover_action &action)
{
    std::size_t member = indexOf(action.member);
    const auto &attempt = owners[index].failover.attempt;
    if (config.fault == failover_defect::PromoteShortestLog && attempt) {
        for (const auto &[id, status] : attempt->grants) {
            if (lastPosition(members[indexOf(id)]) < lastPosition(members[member]))
                member = indexOf(id);
        }
    }
    send(ownerNode(index), member, [this, index, member, action] {
        fake_member &each = members[member];
        const bool leads = each.accepted == action.term;
        if (leads && !each.leads) {
            each.leads = true;
            if (!ledTerms.insert(action.term).second)
                report("two primaries in term " + std::to_string(action.term));
            findings.promotions += 1;
            checkLog(member, "promotion");
        }
        sendAnswer(member, index, [this, index, member, action, leads] {
            fake_owner &owner = owners[index];
            perform(index, onLead(owner.failover, owner.view, members[member].id, action.term,
                                  leads, clock, owner.random));
            if (leadHook)
                std::exchange(leadHook, nullptr)();
        });
    });
}

void fake_group::performAction(std::size_t index, const failover_action &action)
{
    fake_owner &owner = owners[index];
    const std::size_t member = action.member.empty() ? members.size() : indexOf(action.member);
    const time_point sentAt = clock;
    switch (action.step) {
    case failover_step::Probe:
        probe(index, action);
        break;
    case failover_step::AcceptTerm:
        send(ownerNode(index), member, [this, index, member, sentAt, action] {
            fake_member &each = members[member];
            const bool accepted = action.term > each.accepted;
            if (accepted) {
                each.accepted = action.term;
                each.leads = false;
                each.followTerm = 0;
            }
            serveWaits(member);
            sendAnswer(member, index,
                       [this, index, sentAt, action,
                        result = accept_term_answer{ accepted, statusOf(member) }] {
                           fake_owner &sender = owners[index];
                           perform(index, onAcceptTerm(sender.failover, sender.view, result,
                                                       action.term, sentAt, clock, sender.random));
                           if (result.accepted && grantHook)
                               std::exchange(grantHook, nullptr)();
                       });
        });
        break;
    case failover_step::Lead:
        lead(index, action);
        break;
    case failover_step::Follow:
        send(ownerNode(index), member, [this, index, member, action] {
            fake_member &each = members[member];
            const bool follows = each.accepted == action.term && !each.leads;
            if (follows) {
                each.followTerm = action.term;
                each.followedMember = indexOf(action.primary);
            }
            sendAnswer(member, index, [this, index, action, follows] {
                core::onFollow(owners[index].failover, action.member, action.term, follows);
            });
        });
        break;
    case failover_step::PublishView:
        for (std::size_t peer = 0; peer < owners.size(); ++peer) {
            if (peer == index)
                continue;
            send(ownerNode(index), ownerNode(peer),
                 [this, peer, view = publishView(owner.view, action.suspects, clock)] {
                     fake_owner &receiver = owners[peer];
                     perform(peer, onPeerView(receiver.failover, receiver.view, view, clock,
                                              receiver.random));
                 });
        }
        break;
    case failover_step::Claim: // not answered: the platform is unavailable
        break;
    }
}

// ---- owners: waits and acknowledgement ----

void fake_group::openWaits(std::size_t index)
{
    fake_owner &owner = owners[index];
    if (config.policy != acknowledgement_policy::Majority)
        return;
    for (const wait_request &each : core::openWaits(owner.pending, owner.view, clock)) {
        const std::size_t member = indexOf(each.member);
        const pending_wait wait{ index, each.position, clock, clock + each.holdTimeout,
                                 each.deadline };
        send(ownerNode(index), member, [this, member, wait] {
            waits[member].push_back(wait);
            serveWaits(member);
            schedule(std::max(wait.until - clock, duration::zero()),
                     [this, member] { serveWaits(member); });
        });
    }
}

void fake_group::serveWaits(std::size_t member)
{
    const fake_member &each = members[member];
    std::erase_if(waits[member], [&](const pending_wait &wait) {
        const bool holds =
                each.accepted == wait.position.term && lastPosition(each) >= wait.position;
        if (!holds && clock < wait.until)
            return false;
        sendAnswer(member, wait.owner,
                   [this, wait, status = statusOf(member)] { onWaitAnswer(wait, status); });
        return true;
    });
}

void fake_group::onWaitAnswer(const pending_wait &wait, const member_status &status)
{
    const std::size_t index = wait.owner;
    fake_owner &owner = owners[index];
    onWaitEnded(owner.pending, status.member, wait.deadline);
    perform(index, onStatus(owner.failover, owner.view, status, wait.sentAt, clock, owner.random));
    settle(index);
    openWaits(index);
}

void fake_group::settle(std::size_t index)
{
    fake_owner &owner = owners[index];
    const auto policy = config.fault == failover_defect::AcknowledgeAtOnce
                                ? acknowledgement_policy::KnownPosition
                                : config.policy;
    for (const resolved_write &each : resolveWrites(owner.pending, owner.view, policy, clock)) {
        const auto found = owner.writes.find(each.number);
        if (found == owner.writes.end())
            continue;
        exchange &exchangeState = found->second.exchangeState;
        switch (each.outcome) {
        case write_outcome::Acknowledged:
            performExchangeAction(index, each.number, onConfirmed(exchangeState));
            break;
        case write_outcome::Expired:
            performExchangeAction(index, each.number, onNotConfirmed(exchangeState));
            break;
        case write_outcome::Superseded:
            performExchangeAction(index, each.number, onSuperseded(exchangeState, clock));
            break;
        }
    }
}

void fake_group::acknowledge(const fake_write &write)
{
    findings.acknowledged += 1;
    findings.writeDelays.push_back(clock - write.ranAt);
    acknowledgedWrites[write.number] = write.position;
    const auto [known, isNew] = acknowledgedIndexes.emplace(write.position.index, write.number);
    if (!isNew && known->second != write.number)
        report("two histories acknowledged at index " + std::to_string(write.position.index));
    gap = duration::zero();
    // An answer that was in transit when the primary was lost does not end the gap.
    if (primaryLostAt && write.ranAt > *primaryLostAt + (config.delay + config.jitter) * 2) {
        findings.failoverGap = clock - *primaryLostAt;
        primaryLostAt.reset();
    }
    // All owners receive each acknowledged position without delay, which favours the policy
    // KnownPosition.
    if (config.policy == acknowledgement_policy::KnownPosition) {
        for (fake_owner &owner : owners)
            owner.view.highestAcknowledgedPosition =
                    std::max(owner.view.highestAcknowledgedPosition, write.position);
    }
    if (acknowledgedHook)
        std::exchange(acknowledgedHook, nullptr)();
}

// ---- owners: statements ----

void fake_group::startWrite(std::size_t index)
{
    schedule(config.writeInterval, [this, index] { startWrite(index); });
    fake_owner &owner = owners[index];
    if (owner.isPaused)
        return;
    fake_write write;
    write.number = nextWrite++;
    write.createdAt = clock;
    statement_request statement;
    statement.kind = statement_kind::Write;
    statement.deadline = clock + config.writeDeadline;
    const bool canRetry = config.writesHaveKeys || config.fault == failover_defect::RetryWithoutKey;
    statement.idempotencyKey = canRetry ? std::to_string(write.number) : "";
    write.exchangeState = makeExchange(statement);
    const std::uint64_t number = write.number;
    owner.writes.emplace(number, std::move(write));
    scheduleAtOwner(index, config.writeDeadline, [this, index, number] {
        const auto found = owners[index].writes.find(number);
        if (found != owners[index].writes.end())
            performExchangeAction(
                    index, number,
                    onDeadline(found->second.exchangeState, error_kind::DeadlineExceeded));
    });
    route(index, number);
}

void fake_group::performExchangeAction(std::size_t index, std::uint64_t number,
                                       const exchange_action &action)
{
    fake_owner &owner = owners[index];
    const auto found = owner.writes.find(number);
    if (found == owner.writes.end())
        return;
    fake_write &write = found->second;
    switch (action.step) {
    case exchange_step::None:
        break;
    case exchange_step::SendToMember:
    case exchange_step::AskPrimary:
    case exchange_step::RetryOnNewConnection:
        scheduleAtOwner(index, std::max(action.notBefore - clock, duration::zero()),
                        [this, index, number] { route(index, number); });
        break;
    case exchange_step::WaitForConfirmation:
        write.ranAt = clock;
        addPendingWrite(owner.pending, { number, write.exchangeState.term, write.position, clock,
                                         write.exchangeState.deadline });
        settle(index);
        openWaits(index);
        break;
    case exchange_step::Answer:
        if (!action.error)
            acknowledge(write);
        else if (answerOf(*action.error).outcome == request_outcome::NotRun
                 || config.fault == failover_defect::ReportNotRun)
            answeredNotRun.insert(number);
        owner.writes.erase(number);
        break;
    }
}

void fake_group::route(std::size_t index, std::uint64_t number)
{
    fake_owner &owner = owners[index];
    const auto found = owner.writes.find(number);
    if (found == owner.writes.end() || found->second.exchangeState.state != exchange_state::Queued)
        return;
    routing_request request;
    request.kind = statement_kind::Write;
    const route_decision decision = routeStatement(owner.view, request, clock, owner.random);
    if (decision.member)
        sendWrite(index, found->second, indexOf(*decision.member));
    else
        scheduleAtOwner(index, routeRetryDelay, [this, index, number] { route(index, number); });
}

void fake_group::sendWrite(std::size_t index, fake_write &write, std::size_t member)
{
    fake_owner &owner = owners[index];
    const request_id id{ owner.random(), owner.random() };
    const term_number term = owner.view.highestTerm;
    const time_point sentAt = clock;
    const std::uint64_t number = write.number;
    const auto isOpen = [this, index, number, id] {
        const auto found = owners[index].writes.find(number);
        return found != owners[index].writes.end() && found->second.exchangeState.attempt == id
               && found->second.exchangeState.state == exchange_state::Sent;
    };
    const auto fail = [this, index, number, member, isOpen](member_failure failure) {
        if (!isOpen())
            return;
        fake_owner &sender = owners[index];
        observeFailure(sender.view, members[member].id, failure, clock, sender.random);
        performExchangeAction(index, number,
                              onConnectionLost(sender.writes.at(number).exchangeState, clock));
    };
    onSent(write.exchangeState, id, members[member].id, term);
    scheduleAtOwner(index, executeTimeout, [fail] { fail(member_failure::Silence); });
    sendRequest(
            index, member,
            [this, index, number, member, id, term, sentAt, isOpen] {
                // A connection delivers a request only once; only answers can be duplicated.
                if (!members[member].receivedRequests.insert(id).second)
                    return;
                const execute_answer result =
                        execute(member, id, term, number, config.writesHaveKeys);
                sendAnswer(member, index,
                           [this, index, number, member, term, sentAt, isOpen, result] {
                               fake_owner &sender = owners[index];
                               observeAnswer(sender.view, members[member].id, result, term, sentAt,
                                             clock);
                               if (!isOpen())
                                   return;
                               fake_write &sent = sender.writes.at(number);
                               sent.position = result.position;
                               performExchangeAction(index, number,
                                                     onAnswer(sent.exchangeState, result,
                                                              answer_verdict::Accept, clock));
                           });
            },
            [fail] { fail(member_failure::Closed); });
}

} // namespace fuchsiagw::testing
