/// @file
/// @brief Submits of release notes, promotions, vouching and status reports.

#include <utility>

#include <fuchsiagw/daemon/operator_service.hpp>

#include <fuchsiagw/core/rendezvous.hpp>
#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <algorithm>
#include <charconv>

namespace fuchsiagw::daemon {

namespace {

using core::error_kind;
using wire::admin_route;

/// Below the 12 s that fuchsiagwctl waits for an answer.
constexpr core::duration submitTimeout = std::chrono::seconds(10);
constexpr core::duration submitAnswerTimeout = std::chrono::seconds(11);
/// Additional time for a platform request that is pending at the deadline of its submit.
constexpr core::duration finalAnswerTimeout = std::chrono::milliseconds(500);
constexpr core::duration statusTimeout = std::chrono::seconds(4);
constexpr core::duration promotionAnswerTimeout =
        core::manualPromotionTimeout + std::chrono::milliseconds(500);
/// Exceeds the timeout of platform requests; it applies to requests dropped from a full queue.
constexpr core::duration platformAnswerTimeout = std::chrono::seconds(4);
constexpr core::duration rereadInterval = std::chrono::milliseconds(500);
/// Time for which an owner that no longer monitors a group reports the last state of its members.
constexpr core::duration unmonitoredStateLifetime = std::chrono::seconds(5);

using note_id = core::named_id<struct note_tag>;

field noteField(const core::release_note &note)
{
    return field::id(log_key::Note, note_id{ note.id });
}

field actionField(operator_action action)
{
    return field::name(log_key::Action, action, operatorActionNames);
}

field outcomeField(operator_outcome outcome)
{
    return field::name(log_key::Outcome, outcome, operatorOutcomeNames);
}

operator_outcome outcomeOf(error_kind error)
{
    const bool isUnknown = core::answerOf(error).outcome == core::request_outcome::Unknown;
    return isUnknown ? operator_outcome::Unknown : operator_outcome::Refused;
}

platform::platform_operation makeOrder(const core::submit_action &action)
{
    switch (action.step) {
    case core::submit_step::ReadRow:
    case core::submit_step::ReadNote:
        return platform::read_row{ action.key };
    case core::submit_step::ReadObject:
        return platform::get_object{ action.key };
    case core::submit_step::PutObject:
        return platform::put_object{ action.key, action.body };
    case core::submit_step::Commit:
    case core::submit_step::Finish:
        break;
    }
    core::transact_request commit;
    commit.id = action.transactionId;
    for (const auto &[key, version] : action.checks)
        commit.checks.push_back({ key, version });
    for (const auto &[key, value] : action.puts)
        commit.puts.push_back({ key, value });
    return commit;
}

core::platform_answer toPlatformAnswer(core::submit_step step, platform::platform_result &&result)
{
    core::platform_answer answer;
    answer.isAnswered = result.isAnswered;
    answer.isFound =
            step == core::submit_step::Commit ? result.transaction.committed : result.isFound;
    answer.rowVersion = result.row.version;
    answer.value = step == core::submit_step::ReadObject ? std::move(result.object)
                                                         : std::move(result.row.value);
    return answer;
}

/// Reads the configuration version at the start of a note's row.
std::optional<core::configuration_version> readNoteVersion(std::string_view row)
{
    core::configuration_version version = 0;
    const auto read = std::from_chars(row.data(), row.data() + row.size(), version);
    return read.ec == std::errc{} ? std::optional(version) : std::nullopt;
}

std::string describeState(const core::member_view &member, bool isMonitored, core::time_point now)
{
    if (member.leaving)
        return "leaving";
    const bool wasHeard = member.lastHeardAt != core::time_point::min();
    if (!wasHeard || (!isMonitored && member.lastHeardAt + unmonitoredStateLifetime < now))
        return "unknown";
    if (member.catchUpPosition)
        return "behind";
    return member.backoffState.failures > 0 ? "silent" : "live";
}

/// Describes, for an error text, the instance of this zone that monitors a group.
std::string describeOwner(const core::gateway &gateway, const core::group_id &group,
                          core::time_point now)
{
    for (const core::instance_id &each : core::rankOwners(gateway, group, now)) {
        if (each != gateway.instance)
            return "instance '" + each.value + "'";
    }
    return "an instance of another zone";
}

} // namespace

operator_service::operator_service(core::gateway &gateway, cluster &instances,
                                   const settings &values, log_sink &log,
                                   operator_service_outputs outputs)
    : gateway_(gateway)
    , cluster_(instances)
    , settings_(values)
    , log_(log)
    , outputs_(std::move(outputs))
{ }

void operator_service::onRequest(admin_request &request, core::time_point now)
{
    const std::uint64_t ticket = request.ticket;
    const bool isLongRunning =
            request.route == admin_route::SubmitNote || request.route == admin_route::Promote;
    // The process may stop before the outcome is known.
    if (gateway_.isDraining && isLongRunning) {
        answer(ticket, wire::answerError(error_kind::Draining));
        return;
    }
    switch (request.route) {
    case admin_route::Configuration:
        answer(ticket, wire::answerConfiguration(cluster_.store));
        return;
    case admin_route::CheckNote:
        answer(ticket, wire::answerCheck(cluster_.store, request.body));
        return;
    case admin_route::SubmitNote:
        submit(request, now);
        return;
    case admin_route::NoteStatus:
        noteStatus(request, now);
        return;
    case admin_route::Groups:
        answer(ticket, wire::answerGroups(groups(now)));
        return;
    case admin_route::Promote:
        promote(request, now);
        return;
    case admin_route::Instances:
        answer(ticket, wire::answerInstances(cluster_.list));
        return;
    case admin_route::Challenge:
        answer(ticket, wire::answerChallenge(challenges_, cluster_.spread,
                                             gateway_.proof.heldVersion, now));
        return;
    case admin_route::Vouch:
        vouch(request, now);
        return;
    case admin_route::Status:
        break;
    }
    answer(ticket, wire::answerStatus(status(now)));
}

void operator_service::tick(core::time_point now)
{
    tickSubmit(now);
    tickPromotions(now);
    if (hasUnknownOutcome_ && !activeSubmit_ && now >= nextRereadAt_)
        rereadConfigurationRow(now);
    std::vector<std::uint64_t> due;
    for (const auto &[ticket, each] : timeoutAnswers_) {
        if (each.deadline <= now)
            due.push_back(ticket);
    }
    for (const std::uint64_t ticket : due) {
        const timeout_answer each = timeoutAnswers_.at(ticket);
        answer(ticket, wire::answerError(each.error, each.problem));
    }
}

void operator_service::answer(std::uint64_t ticket, wire::admin_answer &&body)
{
    timeoutAnswers_.erase(ticket);
    outputs_.answer({ ticket, std::move(body) });
}

// ---- release notes ----

void operator_service::submit(admin_request &request, core::time_point now)
{
    queued_submit queued{ request.ticket, {}, now + submitTimeout };
    std::string problem;
    if (const std::error_code error = wire::readNote(request.body, queued.note, problem); error) {
        answer(request.ticket, wire::answerError(core::kindOf(error), problem));
        return;
    }
    if (queuedSubmits_.size() >= maxQueuedSubmits) {
        answer(request.ticket,
               wire::answerError(error_kind::Overloaded, "too many submits wait at this instance"));
        return;
    }
    timeoutAnswers_[request.ticket] = { now + submitAnswerTimeout,
                                        error_kind::NoteOutcomeUnknown,
                                        {} };
    queuedSubmits_.push_back(std::move(queued));
    startNextSubmit(now);
}

void operator_service::startNextSubmit(core::time_point now)
{
    // All submits have the same timeout, so the queue is ordered by deadline.
    while (!queuedSubmits_.empty() && queuedSubmits_.front().deadline <= now) {
        answer(queuedSubmits_.front().ticket,
               wire::answerError(error_kind::PlatformUnavailable,
                                 "the submits before this one took too long; nothing was changed"));
        queuedSubmits_.pop_front();
    }
    if (activeSubmit_ || queuedSubmits_.empty())
        return;
    queued_submit next = std::move(queuedSubmits_.front());
    queuedSubmits_.pop_front();
    active_submit &active = activeSubmit_.emplace();
    active.ticket = next.ticket;
    active.action =
            core::startSubmit(active.state, std::move(next.note), next.deadline, cluster_.codec());
    updateSubmitState();
    startPlatformRequest(now);
}

void operator_service::startPlatformRequest(core::time_point now)
{
    active_submit &active = *activeSubmit_;
    if (active.action.notBefore > now)
        return;
    const std::uint64_t attempt = nextAttempt_++;
    active.attempt = attempt;
    // The submit must end before its timeout answer is sent, because its own result is more
    // precise.
    active.answerDeadline = std::min(now + platformAnswerTimeout,
                                     std::max(now, active.state.deadline) + finalAnswerTimeout);
    const core::submit_step step = active.action.step;
    outputs_.toPlatform(
            makeOrder(active.action),
            [this, attempt, step](platform::platform_result &&result, core::time_point) {
                if (activeSubmit_ && activeSubmit_->attempt == attempt)
                    onPlatformAnswer(daemon::toPlatformAnswer(step, std::move(result)),
                                     outputs_.turn().now);
            });
}

void operator_service::onPlatformAnswer(const core::platform_answer &result, core::time_point now)
{
    active_submit &active = *activeSubmit_;
    active.attempt = 0;
    active.action = core::continueSubmit(active.state, result, now, cluster_.codec());
    if (active.action.step == core::submit_step::Finish)
        finishSubmit(now);
    else
        startPlatformRequest(now);
}

void operator_service::finishSubmit(core::time_point now)
{
    const active_submit ended = std::move(*activeSubmit_);
    const core::submit_result &result = ended.state.result;
    const core::release_note &note = ended.state.note;
    // The version is installed first, so that this instance's reports contain it before they stop
    // announcing an unresolved submit.
    if (result.newest)
        cluster_.installVersion({ {}, result.newest->version, result.newestName },
                                cluster_.codec().write(*result.newest), now);
    activeSubmit_.reset();
    if (core::isUnresolved(ended.state)) {
        hasUnknownOutcome_ = true;
        nextRereadAt_ = now + rereadInterval;
    }
    updateSubmitState();
    if (result.error)
        logEvent(log_, log_event::NoteRefused,
                 { noteField(note), field::number(log_key::Base, note.base),
                   field::error(log_key::Error, result.error) });
    else
        logEvent(log_, log_event::NoteAccepted,
                 { noteField(note), field::number(log_key::Version, result.version),
                   field::number(log_key::Base, note.base) });
    if (timeoutAnswers_.count(ended.ticket) != 0)
        answer(ended.ticket, wire::answerSubmit(cluster_.store, note, result));
    startNextSubmit(now);
}

void operator_service::tickSubmit(core::time_point now)
{
    if (activeSubmit_ && activeSubmit_->attempt == 0)
        startPlatformRequest(now);
    else if (activeSubmit_ && activeSubmit_->answerDeadline <= now)
        onPlatformAnswer({}, now);
    startNextSubmit(now);
}

void operator_service::updateSubmitState()
{
    cluster_.setUnresolvedSubmit(activeSubmit_.has_value() || hasUnknownOutcome_);
}

void operator_service::rereadConfigurationRow(core::time_point now)
{
    nextRereadAt_ = now + platformAnswerTimeout;
    outputs_.toPlatform(platform::read_row{ std::string(core::configurationRowKey) },
                        [this, attemptAtRead = nextAttempt_](platform::platform_result &&result,
                                                             core::time_point) {
                            // A read that started before a later submit does not resolve that
                            // submit.
                            if (attemptAtRead == nextAttempt_)
                                onConfigurationRow(result, outputs_.turn().now);
                        });
}

void operator_service::onConfigurationRow(const platform::platform_result &result,
                                          core::time_point now)
{
    nextRereadAt_ = now + rereadInterval;
    core::configuration_row row;
    if (!result.isAnswered || (result.isFound && !core::readRow(result.row.value, row)))
        return;
    if (row.version <= cluster_.store.current->version) {
        hasUnknownOutcome_ = false;
        updateSubmitState();
        return;
    }
    // The version that the submit may have created must be installed before the submit counts as
    // resolved.
    const core::fetch_source source{ {}, row.version, row.objectName };
    outputs_.toPlatform(platform::get_object{ row.objectName },
                        [this, source](platform::platform_result &&object, core::time_point) {
                            if (object.isFound)
                                cluster_.installVersion(source, object.object, outputs_.turn().now);
                        });
}

void operator_service::noteStatus(const admin_request &request, core::time_point now)
{
    const std::uint64_t ticket = request.ticket;
    timeoutAnswers_[ticket] = { now + statusTimeout, error_kind::PlatformUnavailable,
                                "the platform did not say whether the note was applied" };
    outputs_.toPlatform(
            platform::read_row{ core::noteRowKey(request.argument) },
            [this, ticket, id = request.argument](platform::platform_result &&result,
                                                  core::time_point) {
                if (timeoutAnswers_.count(ticket) == 0)
                    return;
                if (!result.isAnswered) {
                    const timeout_answer unanswered = timeoutAnswers_.at(ticket);
                    answer(ticket, wire::answerError(unanswered.error, unanswered.problem));
                    return;
                }
                const auto version =
                        result.isFound ? readNoteVersion(result.row.value) : std::nullopt;
                if (result.isFound && !version)
                    answer(ticket, wire::answerError(error_kind::Internal,
                                                     "the platform's row of this note is damaged"));
                else
                    answer(ticket, wire::answerNoteStatus(id, version, cluster_.store,
                                                          cluster_.spread.everywhere));
            });
}

// ---- groups ----

std::vector<wire::group_report> operator_service::groups(core::time_point now) const
{
    std::vector<wire::group_report> reports;
    for (const auto &[group, configured] : gateway_.config.groups) {
        const auto owner = gateway_.owners.find(group);
        const core::group_view *view =
                owner == gateway_.owners.end() ? nullptr : &owner->second.view;
        wire::group_report report;
        report.group = group;
        if (view != nullptr) {
            report.primary = view->primary.value_or(core::member_id{});
            report.term = view->highestTerm;
        }
        for (const auto &[id, member] : configured.members) {
            wire::group_report::member &entry = report.members.emplace_back();
            entry.member = id;
            entry.zone = member.zone;
            entry.address = member.address;
            entry.state = "unknown";
            const core::member_view *known =
                    view == nullptr ? nullptr : core::findMember(*view, id);
            if (known == nullptr)
                continue;
            // A primary that has failed without notice is still reported as primary.
            entry.role =
                    view->primary == id ? core::member_role::Primary : core::member_role::Replica;
            entry.applied = known->applied;
            entry.state = describeState(*known, owner->second.isMonitoringMembers, now);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

void operator_service::promote(const admin_request &request, core::time_point now)
{
    const core::group_id group{ request.argument };
    core::member_id member;
    std::string problem;
    const auto refuse = [&](error_kind error, const std::string &text) {
        logEvent(log_, log_event::OperatorAction,
                 { actionField(operator_action::Promote), field::id(log_key::Group, group),
                   outcomeField(outcomeOf(error)) });
        answer(request.ticket, wire::answerError(error, text));
    };
    if (const std::error_code error = wire::readPromotion(request.body, member, problem); error) {
        refuse(core::kindOf(error), problem);
        return;
    }
    const auto configured = gateway_.config.groups.find(group);
    if (configured == gateway_.config.groups.end()) {
        refuse(error_kind::GroupUnknown, "there is no group '" + group.value + "'");
        return;
    }
    if (!member.empty() && configured->second.members.count(member) == 0) {
        refuse(error_kind::InvalidValue,
               "member: '" + member.value + "' is no member of group '" + group.value + "'");
        return;
    }
    const auto owner = gateway_.owners.find(group);
    if (owner == gateway_.owners.end() || !owner->second.isMonitoringMembers) {
        refuse(error_kind::InvalidValue, "group: this instance does not watch '" + group.value
                                                 + "'; send the command to "
                                                 + describeOwner(gateway_, group, now));
        return;
    }
    core::group_view &view = owner->second.view;
    if (!member.empty() && view.primary == member) {
        answer(request.ticket, wire::answerPromotion(group, member, view.highestTerm));
        return;
    }
    promotions_.push_back(
            { request.ticket, group, view.highestTerm, now + promotionAnswerTimeout });
    timeoutAnswers_[request.ticket] = {
        now + promotionAnswerTimeout, error_kind::OutcomeUnknown,
        "no new primary in time; a majority of the members must be in "
        "reach, and the promotion may still take effect"
    };
    core::gateway_turn turn = outputs_.turn();
    core::withOwner(turn, group, [&](core::group_owner &each, core::owner_actions &actions) {
        each.failover.preferred = member.empty() ? std::nullopt : std::optional(member);
        core::promote(each, now, turn.random, actions);
    });
}

void operator_service::tickPromotions(core::time_point now)
{
    std::erase_if(promotions_, [&](const pending_promotion &each) {
        const auto owner = gateway_.owners.find(each.group);
        const core::group_view *view =
                owner == gateway_.owners.end() ? nullptr : &owner->second.view;
        const bool isDone =
                view != nullptr && view->primary && view->highestTerm > each.previousTerm;
        if (!isDone && now < each.deadline)
            return false;
        if (isDone)
            logEvent(log_, log_event::OperatorAction,
                     { actionField(operator_action::Promote), field::id(log_key::Group, each.group),
                       field::id(log_key::Member, *view->primary),
                       outcomeField(operator_outcome::Done) });
        else
            logEvent(log_, log_event::OperatorAction,
                     { actionField(operator_action::Promote), field::id(log_key::Group, each.group),
                       outcomeField(operator_outcome::Unknown) });
        if (isDone)
            answer(each.ticket,
                   wire::answerPromotion(each.group, *view->primary, view->highestTerm));
        return true;
    });
}

// ---- vouching and status ----

void operator_service::vouch(const admin_request &request, core::time_point now)
{
    wire::admin_answer body = wire::answerVouch(challenges_, cluster_.spread, gateway_.proof,
                                                request.body, settings_.operatorSecretHash, now);
    constexpr int statusOk = 200;
    logEvent(log_, log_event::OperatorAction,
             { actionField(operator_action::Vouch),
               field::id(log_key::Instance, settings_.instance),
               outcomeField(body.status == statusOk ? operator_outcome::Done
                                                    : operator_outcome::Refused) });
    answer(request.ticket, std::move(body));
}

wire::status_report operator_service::status(core::time_point now) const
{
    const core::freshness_proof &usable = gateway_.proof.usable;
    wire::status_report report;
    report.self = cluster_.spread.self;
    report.state = "serving";
    if (cluster_.store.current->version == 0)
        report.state = "starting";
    if (gateway_.isDraining)
        report.state = "draining";
    report.version = cluster_.store.current->version;
    report.everywhere = cluster_.spread.everywhere;
    report.proof = usable.source;
    if (usable.source != core::proof_source::None)
        report.proofAgeMs =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - usable.at).count();
    report.isProven = core::isProven(gateway_.proof, now);
    report.isPlatformReachable = cluster_.isPlatformReachable;
    report.parent = cluster_.spread.parent;
    report.children = cluster_.spread.children.size();
    report.listed = static_cast<std::size_t>(
            std::count_if(cluster_.list.instances.begin(), cluster_.list.instances.end(),
                          [](const core::instance_entry &each) {
                              return each.kind == core::instance_kind::Entry;
                          }));
    return report;
}

} // namespace fuchsiagw::daemon
