/// @file
/// @brief Event handlers, performed actions and timer of the gateway.

#include <utility>

#include <fuchsiagw/daemon/gateway_driver.hpp>

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <sodium.h>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

constexpr core::duration tickInterval = std::chrono::milliseconds(10);
constexpr core::duration shareReturnTimeout = std::chrono::seconds(5);
/// After this time an instance with a configuration accepts callers even without shares or peers.
constexpr core::duration readyTimeout = std::chrono::seconds(3);
constexpr core::duration platformTimeout = std::chrono::seconds(2);

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    randombytes_buf(&number, sizeof number);
    return number;
}

/// Returns whether this instance holds home shares of every workspace limit in which its fair
/// share is not zero.
bool holdsHomeShares(const core::limit_manager &limitManager)
{
    if (!limitManager.hasJoined)
        return false;
    return std::all_of(limitManager.limits.begin(), limitManager.limits.end(),
                       [&limitManager](const auto &each) {
                           const bool needsShares =
                                   each.second.isUsed && each.second.fairShares > 0
                                   && each.first.kind == core::resource_kind::Workspace;
                           const auto entry = limitManager.rates.limits.find(each.first);
                           return !needsShares
                                  || (entry != limitManager.rates.limits.end()
                                      && entry->second.ledger.home > 0);
                       });
}

} // namespace

gateway_driver::gateway_driver(boost::asio::io_context &context, const settings &values,
                               log_sink &log, gateway_driver_outputs outputs)
    : timer_(context)
    , settings_(values)
    , log_(log)
    , outputs_(std::move(outputs))
    , random_(randomNumber())
    , gateway_(core::makeGateway({ randomNumber(), values.instance, values.zone }, {},
                                 net::currentTime()))
    , cluster_(gateway_, values, log,
               cluster_outputs{ outputs_.toPeers,
                                [this](platform::platform_operation order, platform_handler done) {
                                    sendPlatformRequest(std::move(order), std::move(done));
                                },
                                [this](const core::configuration &config) {
                                    core::gateway_turn step = turn();
                                    applyConfiguration(step, config);
                                },
                                [this] { onMembersChanged(); } })
    , operatorService_(gateway_, cluster_, values, log,
                       operator_service_outputs{
                               outputs_.toAdmin,
                               [this](platform::platform_operation order, platform_handler done) {
                                   sendPlatformRequest(std::move(order), std::move(done));
                               },
                               [this] { return turn(); } })
    , meter_(gateway_)
    , now_(net::currentTime())
    , startedAt_(now_)
{
    gateway_.queueCapacity = values.queueCapacity;
    gateway_.limits.answerLimit = values.answerLimit;
    gateway_.limits.connectLimit = values.connectLimit;
    gateway_.proof.proofLifetime = values.proofLifetime;
}

core::gateway_turn gateway_driver::turn()
{
    now_ = net::currentTime();
    return { gateway_, now_, random_, actions_ };
}

void gateway_driver::start()
{
    logEvent(log_, log_event::ProcessStarted,
             { field::id(log_key::Instance, settings_.instance),
               field::incarnation(log_key::Incarnation, gateway_.incarnation),
               field::id(log_key::Zone, settings_.zone),
               field::address(log_key::Address, net::toString(settings_.callerAddress)) });
    now_ = net::currentTime();
    cluster_.start(now_);
    // Called once at the start, so that an instance without peers acquires its home shares too.
    onMembersChanged();
    tick();
}

void gateway_driver::tick()
{
    core::gateway_turn step = turn();
    advance(step);
    cluster_.tick(now_);
    operatorService_.tick(now_);
    meter_.tick(cluster_, now_);
    flush();
    updateReady();
    if (onDrained_ && isDrained(gateway_) && operatorService_.isIdle())
        finishDrain();
    const core::time_point next = std::min(nextWakeup(gateway_), now_ + tickInterval);
    timer_.expires_at(net::toSteady(std::max(next, now_ + std::chrono::milliseconds(1))));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

// Without home shares, or without the incarnations of its peers, an instance would refuse
// statements that are within the rate of their workspace. While the platform is unreachable it
// can't acquire home shares and only borrows from its peers, so readiness is reported after
// readyTimeout at the latest.
void gateway_driver::updateReady()
{
    if (isReady_ || gateway_.config.version == 0)
        return;
    const bool knowsAllPeers =
            std::all_of(gateway_.peers.begin(), gateway_.peers.end(),
                        [](const auto &each) { return each.second.incarnation != 0; });
    const bool hasTimedOut = now_ >= startedAt_ + readyTimeout;
    isReady_ = (knowsAllPeers && holdsHomeShares(gateway_.limitManager)) || hasTimedOut;
    if (!isReady_)
        return;
    logEvent(log_, log_event::ProcessReady,
             { field::number(log_key::Version, gateway_.config.version),
               field::duration(log_key::Elapsed, now_ - startedAt_) });
    outputs_.setReady(true);
}

void gateway_driver::finishDrain()
{
    // Waiting is bounded: the other instances reclaim the shares that were not returned in time.
    if (shareReturnDeadline_ == core::noDeadline)
        shareReturnDeadline_ = now_ + shareReturnTimeout;
    if (hasLeft(gateway_.limitManager) || now_ >= shareReturnDeadline_)
        std::exchange(onDrained_, nullptr)();
}

void gateway_driver::onCaller(core::caller_request &request)
{
    core::gateway_turn step = turn();
    onCallerRequest(step, std::move(request));
    flush();
}

void gateway_driver::onUpstream(upstream_event &event)
{
    core::gateway_turn step = turn();
    withOwner(step, event.group, [&](core::group_owner &owner, core::owner_actions &actions) {
        if (const auto *opened = std::get_if<connect_finished>(&event.result))
            onConnected(owner, opened->id, opened->isOpen, now_, random_, actions);
        else if (const auto *executed = std::get_if<execute_finished>(&event.result))
            onExecuted(owner, executed->id, executed->answer, executed->wasSent,
                       executed->wasSilent, now_, random_, actions);
        else if (const auto *ended = std::get_if<connection_closed>(&event.result))
            onConnectionClosed(owner, ended->id, now_, random_, actions);
        else if (const auto *control = std::get_if<control_finished>(&event.result))
            onControlAnswer(owner, control->answer, now_, random_, actions);
    });
    flush();
}

void gateway_driver::onAdmin(admin_request &request)
{
    now_ = net::currentTime();
    operatorService_.onRequest(request, now_);
    flush();
}

void gateway_driver::onPlatform(platform_event &event)
{
    meter_.onPlatformResult(event.result.isAnswered);
    const auto entry = platformRequests_.find(event.number);
    if (entry == platformRequests_.end())
        return;
    pending_platform_request request = std::move(entry->second);
    platformRequests_.erase(entry);
    now_ = net::currentTime();
    request.done(std::move(event.result), request.sentAt);
    flush();
}

void gateway_driver::sendPlatformRequest(platform::platform_operation order, platform_handler done)
{
    meter_.onPlatformRequest();
    const std::uint64_t number = nextPlatformRequest_++;
    platformRequests_[number] = { std::move(done), now_ };
    outputs_.toPlatform({ number, std::move(order), now_ + platformTimeout });
}

void gateway_driver::callLimitPlatform(core::limit_platform_call &&call)
{
    const std::uint64_t number = call.number;
    if (auto *prefix = std::get_if<std::string>(&call.operation)) {
        sendPlatformRequest(platform::scan_rows{ std::move(*prefix) },
                            [this, number](platform::platform_result &&result, core::time_point) {
                                core::gateway_turn step = turn();
                                withLimitManager(step, [&](core::limit_manager &limitManager,
                                                           core::limit_manager_actions &actions) {
                                    const auto rows =
                                            result.isAnswered
                                                    ? std::optional(std::move(result.scan))
                                                    : std::nullopt;
                                    onScan(limitManager, number, rows, now_, random_, actions);
                                });
                            });
        return;
    }
    sendPlatformRequest(std::get<core::transact_request>(std::move(call.operation)),
                        [this, number](platform::platform_result &&result, core::time_point) {
                            core::gateway_turn step = turn();
                            withLimitManager(step, [&](core::limit_manager &limitManager,
                                                       core::limit_manager_actions &actions) {
                                const auto answer =
                                        result.isAnswered
                                                ? std::optional(std::move(result.transaction))
                                                : std::nullopt;
                                onTransact(limitManager, number, answer, now_, random_, actions);
                            });
                        });
}

void gateway_driver::onMembersChanged()
{
    core::gateway_turn step = turn();
    onLivePeers(step, cluster_.livePeers());
}

void gateway_driver::onPeer(peer_event &event)
{
    now_ = net::currentTime();
    std::visit([this](auto &each) { onEvent(each); }, event);
    flush();
}

void gateway_driver::onEvent(sender_info_received &event)
{
    cluster_.onHeard(event, now_);
}

void gateway_driver::onEvent(datagram_received &event)
{
    if (const auto *message = std::get_if<digest>(&event.body)) {
        cluster_.onDigest(event.from, *message, now_);
        return;
    }
    if (const auto *message = std::get_if<wire::probe_message>(&event.body)) {
        cluster_.onProbe(event.from, *message, now_);
        return;
    }
    core::gateway_turn step = turn();
    if (const auto *view = std::get_if<core::published_view>(&event.body)) {
        withOwner(step, view->group, [&](core::group_owner &owner, core::owner_actions &actions) {
            onPeerView(owner, *view, now_, random_, actions);
        });
        return;
    }
    std::visit(
            [&](auto &body) {
                if constexpr (std::is_constructible_v<core::limit_message_body, decltype(body)>) {
                    withLimitManager(step, [&](core::limit_manager &limitManager,
                                               core::limit_manager_actions &actions) {
                        onMessage(limitManager, event.from,
                                  core::limit_message_body(std::move(body)), now_, random_,
                                  actions);
                    });
                }
            },
            event.body);
}

void gateway_driver::onEvent(forward_received &event)
{
    const std::uint64_t ticket = nextForwardTicket_++;
    forwardOrigins_[ticket] = { event.link, event.request.id };
    core::gateway_turn step = turn();
    onForwarded(step, event.from, ticket, std::move(event.request));
}

void gateway_driver::onEvent(forward_answer_received &event)
{
    const auto entry = gateway_.entries.find(event.handle);
    if (entry == gateway_.entries.end() || !entry->second.forwardedTo)
        return;
    const core::instance_id from = *entry->second.forwardedTo;
    core::gateway_turn step = turn();
    onForwardResult(step, from, event.handle, std::move(event.answer));
}

void gateway_driver::onEvent(forward_failed &event)
{
    const auto entry = gateway_.entries.find(event.handle);
    if (entry != gateway_.entries.end() && entry->second.forwardedTo)
        cluster_.onNoAnswer(*entry->second.forwardedTo, now_);
    core::gateway_turn step = turn();
    onForwardFailed(step, event.handle, event.wasWritten);
}

void gateway_driver::onEvent(configuration_requested &event)
{
    cluster_.onConfigurationRequested(event);
}

void gateway_driver::onEvent(configuration_progress &event)
{
    cluster_.onConfigurationProgress(event, now_);
}

void gateway_driver::onEvent(configuration_received &event)
{
    cluster_.onConfigurationReceived(event, now_);
}

void gateway_driver::send(core::limit_message &&message)
{
    const core::known_instance *peer = cluster_.find(message.to);
    if (peer == nullptr)
        return;
    std::visit(
            [&](auto &body) {
                outputs_.toPeers(
                        send_datagram{ peer->address, message.to, peer_body(std::move(body)) });
            },
            message.body);
}

void gateway_driver::send(core::forward_statement &&forward)
{
    const auto peer = gateway_.peers.find(forward.to);
    if (peer == gateway_.peers.end()) {
        core::gateway_turn step = turn();
        onForwardFailed(step, forward.handle, false);
        return;
    }
    outputs_.toPeers(send_forward{ peer->second.address, peer->second.incarnation, forward.handle,
                                   std::move(forward.request) });
}

void gateway_driver::send(core::forward_result &&result)
{
    const auto origin = forwardOrigins_.find(result.ticket);
    if (origin == forwardOrigins_.end())
        return;
    outputs_.toPeers(send_forward_answer{ origin->second.link, origin->second.request,
                                          std::move(result.answer) });
    forwardOrigins_.erase(origin);
}

void gateway_driver::send(const core::group_id &group, const core::publish_to_owners &view)
{
    // The receivers are the owners in the other zones: the first instance of each zone in
    // rendezvous order.
    for (const core::instance_id &owner : findOtherZoneOwners(gateway_, group)) {
        const core::peer_instance &peer = gateway_.peers.at(owner);
        outputs_.toPeers(send_datagram{ peer.address, peer.incarnation, view.view });
    }
}

void gateway_driver::flush()
{
    while (!actions_.empty()) {
        core::gateway_actions actions = std::exchange(actions_, {});
        for (core::gateway_action &each : actions)
            perform(std::move(each));
    }
}

void gateway_driver::perform(core::gateway_action &&action)
{
    meter_.onAction(action, cluster_.isPlatformReachable, now_);
    if (auto *reply = std::get_if<core::caller_reply>(&action)) {
        log(*reply);
        outputs_.reply(std::move(*reply));
        return;
    }
    if (auto *message = std::get_if<core::limit_message>(&action)) {
        send(std::move(*message));
        return;
    }
    if (auto *call = std::get_if<core::limit_platform_call>(&action)) {
        callLimitPlatform(std::move(*call));
        return;
    }
    if (auto *forward = std::get_if<core::forward_statement>(&action)) {
        send(std::move(*forward));
        return;
    }
    if (auto *result = std::get_if<core::forward_result>(&action)) {
        send(std::move(*result));
        return;
    }
    if (const auto *changed = std::get_if<core::incarnation_changed>(&action)) {
        logEvent(log_, log_event::IncarnationExpired,
                 { field::incarnation(log_key::Incarnation, changed->incarnation) });
        outputs_.setIncarnation(changed->incarnation);
        return;
    }
    auto *group = std::get_if<core::group_action>(&action);
    if (const auto *decided = std::get_if<core::route_decided>(&group->action))
        log(group->group, *decided);
    else if (const auto *notice = std::get_if<core::owner_notice>(&group->action))
        log(group->group, *notice);
    else if (const auto *view = std::get_if<core::publish_to_owners>(&group->action))
        send(group->group, *view);
    else if (std::holds_alternative<core::claim_promotion>(group->action))
        recordPromotionClaim(group->group, std::get<core::claim_promotion>(group->action).term);
    else
        outputs_.toUpstream(std::move(*group));
}

void gateway_driver::log(const core::group_id &group, const core::route_decided &decided)
{
    std::vector<std::pair<core::member_id, core::rejection_reason>> candidates;
    for (const core::route_candidate &each : decided.decision.candidates)
        candidates.emplace_back(each.member, each.reason);
    if (decided.decision.member) {
        logEvent(log_, log_event::RouteChosen,
                 { field::id(log_key::Request, decided.request), field::id(log_key::Group, group),
                   field::name(log_key::Kind, decided.kind),
                   field::id(log_key::Member, *decided.decision.member),
                   field::name(log_key::Reason, decided.decision.reason),
                   field::members(log_key::Candidates, candidates) });
        return;
    }
    const bool isPrimaryMissing = decided.decision.reason == core::route_reason::NoPrimary;
    logEvent(log_, log_event::RouteMissing,
             { field::id(log_key::Request, decided.request), field::id(log_key::Group, group),
               field::name(log_key::Kind, decided.kind),
               field::error(log_key::Error, isPrimaryMissing ? core::error_kind::NoPrimary
                                                             : core::error_kind::NoMember),
               field::members(log_key::Candidates, candidates) });
}

void gateway_driver::log(const core::group_id &group, const core::owner_notice &notice)
{
    const field groupField = field::id(log_key::Group, group);
    const field memberField = field::id(log_key::Member, notice.member);
    const field termField = field::number(log_key::Term, notice.term);
    switch (notice.event) {
    case core::owner_event::PromotionStarted:
        logEvent(log_, log_event::PromotionStarted, { groupField, memberField, termField });
        return;
    case core::owner_event::PrimaryChanged:
        logEvent(log_, log_event::PrimaryChanged, { groupField, memberField, termField });
        return;
    case core::owner_event::MemberFailed:
        logEvent(log_, log_event::MemberFailed,
                 { groupField, memberField, field::name(log_key::Reason, notice.failure) });
        return;
    case core::owner_event::ForeignAnswer:
        logEvent(log_, log_event::ForeignAnswerDropped, { groupField, memberField });
        return;
    case core::owner_event::ConnectionLimit:
        logEvent(log_, log_event::ConnectionLimitChanged,
                 { groupField, field::number(log_key::Connections, notice.connections) });
        return;
    }
}

void gateway_driver::log(const core::caller_reply &reply)
{
    if (!reply.answer.error)
        return;
    const core::error_answer &row = core::answerOf(*reply.answer.error);
    const bool mayHaveRun = row.outcome != core::request_outcome::NotRun;
    logEvent(log_, mayHaveRun ? log_event::RequestFailed : log_event::RequestRefused,
             { field::id(log_key::Request, reply.answer.id),
               field::id(log_key::Workspace, reply.workspace),
               field::name(log_key::Kind, reply.kind), field::error(log_key::Error, row.kind),
               field::name(log_key::Outcome, row.outcome) });
}

void gateway_driver::recordPromotionClaim(const core::group_id &group, core::term_number term)
{
    core::transact_request order;
    order.id = "promotion/" + group.value + "/" + std::to_string(term);
    order.puts.push_back(
            { "promotion/" + group.value, settings_.instance.value + " " + std::to_string(term) });
    sendPlatformRequest(std::move(order), [this, group](platform::platform_result &&result,
                                                        core::time_point) {
        const auto owner = gateway_.owners.find(group);
        if (owner != gateway_.owners.end())
            onClaim(owner->second, !result.isAnswered || result.transaction.committed, now_);
    });
}

void gateway_driver::drain(std::function<void()> done)
{
    core::gateway_turn step = turn();
    startDraining(step);
    cluster_.setState(core::sender_state::Leaving, now_);
    onDrained_ = std::move(done);
}

} // namespace fuchsiagw::daemon
