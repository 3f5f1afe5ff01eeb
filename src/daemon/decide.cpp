/// @file
/// @brief Events in, actions out, and the clock that drives both.

#include <utility>

#include <fuchsiagw/daemon/decide.hpp>

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <sodium.h>

#include <algorithm>

namespace fuchsiagw::daemon {

namespace {

constexpr core::duration tickEvery = std::chrono::milliseconds(10);
constexpr core::duration watchEvery = std::chrono::seconds(1);
constexpr core::duration platformLimit = std::chrono::seconds(2);

std::uint64_t drawNumber()
{
    std::uint64_t number = 0;
    randombytes_buf(&number, sizeof number);
    return number;
}

core::configuration_codec makeCodec()
{
    return { wire::writeConfiguration, wire::readConfiguration, wire::digestOf, wire::writeNote };
}

} // namespace

decide::decide(boost::asio::io_context &context, const settings &values, log_sink &log,
               decide_outputs outputs)
    : timer_(context)
    , settings_(values)
    , log_(log)
    , outputs_(std::move(outputs))
    , random_(drawNumber())
    , now_(net::currentTime())
    , nextWatch_(now_)
{
    gateway_.instance = values.instance;
    gateway_.incarnation = drawNumber();
    gateway_.zone = values.zone;
    gateway_.queueBound = values.queueCapacity;
    gateway_.limits.answerLimit = values.answerLimit;
    gateway_.limits.connectLimit = values.connectLimit;
    gateway_.proof.unprovenWait = values.unprovenWait;
}

core::gateway_turn decide::turn()
{
    now_ = net::currentTime();
    return { gateway_, now_, random_, actions_ };
}

void decide::start()
{
    logEvent(log_, log_event::ProcessStarted,
             { field::id(log_key::Instance, settings_.instance),
               field::incarnation(log_key::Incarnation, gateway_.incarnation),
               field::id(log_key::Zone, settings_.zone),
               field::address(log_key::Address, net::toString(settings_.callerAddress)) });
    tick();
}

void decide::tick()
{
    core::gateway_turn step = turn();
    advance(step);
    flush();
    if (now_ >= nextWatch_ && !isWatching_)
        watchConfiguration();
    if (drained_ && isDrained(gateway_))
        std::exchange(drained_, nullptr)();
    const core::time_point next = std::min(nextWakeup(gateway_), now_ + tickEvery);
    timer_.expires_at(net::toSteady(std::max(next, now_ + std::chrono::milliseconds(1))));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void decide::onCaller(core::caller_request &request)
{
    core::gateway_turn step = turn();
    onCallerRequest(step, std::move(request));
    flush();
}

void decide::onUpstream(upstream_event &event)
{
    core::gateway_turn step = turn();
    withOwner(step, event.group, [&](core::group_owner &owner, core::owner_actions &actions) {
        if (const auto *opened = std::get_if<connection_opened>(&event.what))
            onConnected(owner, opened->id, opened->isOpen, now_, random_, actions);
        else if (const auto *executed = std::get_if<statement_executed>(&event.what))
            onExecuted(owner, executed->id, executed->answer, executed->wasSent,
                       executed->wasSilent, now_, random_, actions);
        else if (const auto *ended = std::get_if<connection_ended>(&event.what))
            onConnectionClosed(owner, ended->id, now_, random_, actions);
        else if (const auto *control = std::get_if<control_answered>(&event.what))
            onControlAnswer(owner, control->answer, now_, random_, actions);
    });
    flush();
}

void decide::onPlatform(platform_event &event)
{
    const auto entry = requests_.find(event.number);
    if (entry == requests_.end())
        return;
    pending_request request = std::move(entry->second);
    requests_.erase(entry);
    now_ = net::currentTime();
    request.done(std::move(event.result), request.sentAt);
    flush();
}

void decide::callPlatform(platform::platform_order order, platform_handler done)
{
    const std::uint64_t number = nextRequest_++;
    requests_[number] = { std::move(done), now_ };
    outputs_.toPlatform({ number, std::move(order), now_ + platformLimit });
}

void decide::watchConfiguration()
{
    isWatching_ = true;
    nextWatch_ = now_ + watchEvery;
    callPlatform(platform::read_row{ std::string(core::configurationRowKey) },
                 [this](platform::platform_result &&result, core::time_point sentAt) {
                     isWatching_ = false;
                     core::configuration_row row;
                     if (!result.isFound || !core::readRow(result.row.value, row))
                         return;
                     provePlatform(gateway_.proof, row.version, sentAt);
                     if (const auto next =
                                 noteVersion(store_, { {}, row.version, row.objectName }, now_))
                         fetch(*next);
                 });
}

void decide::fetch(const core::fetch_source &source)
{
    callPlatform(platform::get_object{ source.objectName },
                 [this, source](platform::platform_result &&result, core::time_point) {
                     if (result.isFound)
                         takeIn(source, result.object);
                     else
                         onFetchFailed(store_, source);
                 });
}

void decide::takeIn(const core::fetch_source &source, std::string_view body)
{
    const core::configuration_version before = store_.current->version;
    if (core::takeIn(store_, source, body, makeCodec()) != core::take_in_result::Taken) {
        onFetchFailed(store_, source);
        return;
    }
    core::gateway_turn step = turn();
    applyConfiguration(step, *store_.current);
    logEvent(log_, log_event::ConfigurationApplied,
             { field::number(log_key::Version, store_.current->version),
               field::number(log_key::Base, before) });
    // Until shares are taken from the pool, this instance uses the whole limits.
    for (auto &[id, book] : gateway_.books) {
        setHomeUntil(book, core::noDeadline, now_);
        if (book.home == 0)
            addHome(book, core::workspaceShares, book.burst, now_);
    }
    for (const auto &[group, each] : store_.current->groups)
        setConnectionLimit(step, group, each.connections);
    outputs_.setReady(true);
    flush();
}

void decide::flush()
{
    while (!actions_.empty()) {
        core::gateway_actions actions = std::exchange(actions_, {});
        for (core::gateway_action &each : actions)
            perform(std::move(each));
    }
}

void decide::perform(core::gateway_action &&action)
{
    if (auto *reply = std::get_if<core::caller_reply>(&action)) {
        log(*reply);
        outputs_.reply(std::move(*reply));
        return;
    }
    auto *group = std::get_if<core::group_action>(&action);
    if (group == nullptr)
        return;
    if (const auto *decided = std::get_if<core::route_decided>(&group->action))
        log(group->group, *decided);
    else if (const auto *notice = std::get_if<core::owner_notice>(&group->action))
        log(group->group, *notice);
    else
        outputs_.toUpstream(std::move(*group));
}

void decide::log(const core::group_id &group, const core::route_decided &decided)
{
    std::vector<std::pair<core::member_id, core::pass_reason>> candidates;
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
    const bool isPrimary = decided.decision.reason == core::route_reason::NoPrimary;
    logEvent(log_, log_event::RouteMissing,
             { field::id(log_key::Request, decided.request), field::id(log_key::Group, group),
               field::name(log_key::Kind, decided.kind),
               field::error(log_key::Error,
                            isPrimary ? core::error_kind::NoPrimary : core::error_kind::NoMember),
               field::members(log_key::Candidates, candidates) });
}

void decide::log(const core::group_id &group, const core::owner_notice &notice)
{
    if (notice.event == core::owner_event::ForeignAnswer)
        logEvent(log_, log_event::ForeignAnswerDropped,
                 { field::id(log_key::Group, group), field::id(log_key::Member, notice.member) });
}

void decide::log(const core::caller_reply &reply)
{
    if (!reply.answer.error)
        return;
    const core::error_answer &row = core::answerOf(*reply.answer.error);
    const bool ran = row.outcome != core::request_outcome::NotRun;
    logEvent(log_, ran ? log_event::RequestFailed : log_event::RequestRefused,
             { field::id(log_key::Request, reply.answer.id),
               field::id(log_key::Workspace, reply.workspace),
               field::name(log_key::Kind, reply.kind), field::error(log_key::Error, row.kind),
               field::name(log_key::Outcome, row.outcome) });
}

void decide::drain(std::function<void()> done)
{
    gateway_.isDraining = true;
    drained_ = std::move(done);
}

} // namespace fuchsiagw::daemon
