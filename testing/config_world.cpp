/// @file
/// @brief Event loop, messages, platform and operators of the configuration simulation.

#include <fuchsiagw/testing/config_world.hpp>

#include <fuchsiagw/wire/configuration_json.hpp>
#include <fuchsiagw/wire/note_json.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::testing {

namespace {

using namespace std::chrono_literals;
using core::submit_step;

constexpr auto requestTimeout = 1s; ///< for requests to the platform and to peers
constexpr auto submitTimeout = 5s; ///< for one submit at an instance
constexpr auto operatorRetryDelay = 1s; ///< between attempts
constexpr auto operatorTimeout = 7s; ///< until an operator gives up on an instance
constexpr auto confirmationPollInterval = 10ms; ///< between checks whether a peer holds the version
constexpr unsigned maxAttempts = 12;

const core::configuration_codec &codec()
{
    return wire::configurationCodec();
}

bool changesPlatform(submit_step step)
{
    return step == submit_step::PutObject || step == submit_step::Commit;
}

} // namespace

/// A submit in progress at an instance.
struct config_world::operation
{
    std::size_t index = 0;
    std::uint64_t incarnation = 0;
    core::submit_state state;
    bool isFinished = false;
    std::function<void(const core::submit_result *)>
            reportResult; ///< called with null if no answer arrives
};

config_world::config_world(const config_world_settings &settings)
    : settings_(settings)
    , random_(settings.seed)
{
    instances_.resize(settings.instances);
    for (std::size_t i = 0; i < settings.instances; ++i) {
        core::tree_node &self = instances_[i].self;
        self.zone.value = "zone-" + std::to_string(i % settings.zones);
        self.instance.value = "i" + std::to_string(10000 + i);
        live_.push_back(self);
        indexOf_[self.instance] = i;
    }
    for (std::size_t i = 0; i < settings.instances; ++i)
        start(i);
}

core::duration config_world::drawDelay(core::duration maxDelay)
{
    if (maxDelay <= core::duration::zero())
        return {};
    return core::duration(static_cast<std::int64_t>(
            core::drawBelow(random_, static_cast<std::uint64_t>(maxDelay.count()))));
}

void config_world::at(core::time_point time, std::function<void()> event)
{
    events_.emplace(std::max(time, now_), std::move(event));
}

void config_world::scheduleForIncarnation(std::size_t index, core::time_point time,
                                          std::function<void()> event)
{
    at(time, [this, index, incarnation = instances_[index].incarnation, event = std::move(event)] {
        if (instances_[index].incarnation == incarnation)
            event();
    });
}

void config_world::runUntil(core::time_point end)
{
    while (!events_.empty() && events_.begin()->first <= end) {
        auto next = events_.extract(events_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = end;
}

void config_world::start(std::size_t index)
{
    instance &own = instances_[index];
    const core::tree_node self = own.self;
    own = {};
    own.self = self;
    own.incarnation = random_();
    own.spread = core::startSpread(self, own.incarnation, {}, now_ + drawDelay(1s));
    core::setLiveInstances(own.spread, live_, now_);
    schedule(index);
}

void config_world::restart(std::size_t index)
{
    start(index);
}

void config_world::schedule(std::size_t index)
{
    instance &own = instances_[index];
    core::time_point next = core::nextSpreadTime(own.spread);
    if (own.store.isFetching)
        next = std::min(next, own.store.fetchDeadline);
    next = std::max(next, now_ + 1ms);
    if (own.tickAt > now_ && own.tickAt <= next)
        return;
    own.tickAt = next;
    scheduleForIncarnation(index, next, [this, index, next] {
        if (instances_[index].tickAt == next)
            tick(index);
    });
}

void config_world::tick(std::size_t index)
{
    instance &own = instances_[index];
    own.tickAt = core::noDeadline;
    own.spread.hasUnresolvedSubmit = own.activeSubmits > 0 || own.hasUnresolvedOutcome;
    std::vector<core::spread_action> actions;
    core::tickSpread(own.spread, own.proofs, now_, actions);
    perform(index, actions);
    fetch(index, core::nextFetch(own.store, now_));
    schedule(index);
}

bool config_world::isReachable(std::size_t from, std::size_t to) const
{
    const auto isIsolated = [this](std::size_t index) {
        return faults.cut.contains(index) || faults.silent.contains(index);
    };
    if (isIsolated(from) || isIsolated(to))
        return false;
    const auto isInCutZone = [&](std::size_t index) {
        return instances_[index].self.zone == faults.cutZone;
    };
    return !faults.cutZone || isInCutZone(from) == isInCutZone(to);
}

bool config_world::isSpreadStopped() const
{
    return settings_.error == config_defect::NoSpread && commits_.size() > 1;
}

void config_world::perform(std::size_t index, const std::vector<core::spread_action> &actions)
{
    for (const core::spread_action &each : actions) {
        switch (each.what) {
        case core::spread_action::kind::Send:
            deliver(index, indexOf_.at(each.peer), each.message);
            break;
        case core::spread_action::kind::Fetch:
            fetch(index, core::addFetchSource(instances_[index].store,
                                              { each.peer, each.version, {} }, now_));
            break;
        case core::spread_action::kind::ReadPlatform: {
            if (isSpreadStopped() && index != 0)
                break;
            core::submit_action read;
            read.step = submit_step::ReadRow;
            read.key = core::configurationRowKey;
            callPlatform(index, read,
                         [this, index, sentAt = now_, root = each.root,
                          roundNumber = each.roundNumber](const core::platform_answer &answer) {
                             core::configuration_row row;
                             if (!answer.isAnswered
                                 || (answer.isFound && !core::readRow(answer.value, row)))
                                 return;
                             instance &own = instances_[index];
                             own.hasUnresolvedOutcome = false;
                             std::vector<core::spread_action> more;
                             core::onPlatformVersion(own.spread, own.proofs, root, roundNumber,
                                                     row.version, sentAt, now_, more);
                             perform(index, more);
                             fetch(index,
                                   core::addFetchSource(own.store,
                                                        { {}, row.version, row.objectName }, now_));
                             schedule(index);
                         });
            break;
        }
        }
    }
}

void config_world::deliver(std::size_t from, std::size_t to, const core::spread_message &message)
{
    if (onMessage)
        onMessage(from, message);
    if (isSpreadStopped() || !isReachable(from, to)
        || core::drawBelow(random_, 100) < faults.lossPercent)
        return;
    const bool isSameZone = instances_[from].self.zone == instances_[to].self.zone;
    const unsigned copies = core::drawBelow(random_, 100) < faults.duplicatePercent ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        const core::duration delay = (isSameZone ? settings_.inZoneDelay : settings_.crossZoneDelay)
                                     + drawDelay(faults.messageDelay);
        scheduleForIncarnation(to, now_ + delay, [this, from, to, message] {
            instance &own = instances_[to];
            std::vector<core::spread_action> actions;
            own.spread.hasUnresolvedSubmit = own.activeSubmits > 0 || own.hasUnresolvedOutcome;
            core::onSpreadMessage(own.spread, own.proofs, instances_[from].self.instance, message,
                                  now_, actions);
            perform(to, actions);
            schedule(to);
        });
    }
}

void config_world::fetch(std::size_t index, const std::optional<core::fetch_source> &source)
{
    if (!source)
        return;
    if (source->peer.empty()) {
        core::submit_action read;
        read.step = submit_step::ReadObject;
        read.key = source->objectName;
        callPlatform(index, read,
                     [this, index, source = *source](const core::platform_answer &answer) {
                         if (answer.isAnswered && answer.isFound)
                             installVersion(index, source, answer.value);
                         else
                             core::onFetchFailed(instances_[index].store, source);
                     });
        return;
    }
    const std::size_t peer = indexOf_.at(source->peer);
    if (!isReachable(index, peer))
        return; // the fetch fails at its deadline
    scheduleForIncarnation(peer, now_ + settings_.crossZoneDelay + drawDelay(faults.messageDelay),
                           [this, index, peer, source = *source] {
                               const core::config_store &store = instances_[peer].store;
                               if (!isReachable(peer, index))
                                   return;
                               core::fetch_source sent = source;
                               sent.objectName = store.currentObjectName;
                               scheduleForIncarnation(
                                       index, now_ + settings_.crossZoneDelay,
                                       [this, index, sent, body = store.currentBody] {
                                           installVersion(index, sent, body);
                                       });
                           });
}

void config_world::installVersion(std::size_t index, const core::fetch_source &source,
                                  const std::string &body)
{
    instance &own = instances_[index];
    const std::uint64_t incarnation = own.incarnation;
    if (onBodyArrived && source.version > own.store.current->version)
        onBodyArrived(index, source.version);
    if (own.incarnation != incarnation)
        return;
    const core::install_result result = core::installVersion(own.store, source, body, codec());
    if (result == core::install_result::Damaged)
        core::onFetchFailed(own.store, source);
    if (result != core::install_result::Installed)
        return;
    own.index = core::indexKeys(*own.store.current);
    std::vector<core::spread_action> actions;
    core::onVersionInstalled(own.spread, own.proofs, own.store.current->version, actions);
    perform(index, actions);
    if (settings_.error == config_defect::Revert && own.store.current->version > 1 && index == 1) {
        at(now_ + 1s, [this, index] {
            core::config_store &store = instances_[index].store;
            if (!store.earlierVersions.empty())
                store.current = store.earlierVersions.front();
        });
    }
    if (onVersionInstalled)
        onVersionInstalled(index, own.store.current->version);
}

core::platform_answer config_world::apply(const core::submit_action &action)
{
    core::platform_answer answer{ true, false, 0, {} };
    const auto row = rows_.find(action.key);
    const auto object = objects_.find(action.key);
    switch (action.step) {
    case submit_step::ReadRow:
    case submit_step::ReadNote:
        if (row != rows_.end())
            answer = { true, true, row->second.first, row->second.second };
        break;
    case submit_step::ReadObject:
        if (object != objects_.end())
            answer = { true, true, 0, object->second };
        break;
    case submit_step::PutObject:
        answer.isFound = objects_.emplace(action.key, action.body).first->second == action.body;
        break;
    case submit_step::Commit: {
        const auto [known, isNew] = transactions_.emplace(action.transactionId, true);
        const bool isRepeated = settings_.error == config_defect::RepeatedCommit;
        if (isNew && !isRepeated) {
            for (const auto &[key, version] : action.checks)
                known->second =
                        known->second && (rows_.contains(key) ? rows_.at(key).first : 0) == version;
        }
        answer.isFound = known->second;
        if ((!isNew && !isRepeated) || !known->second)
            break;
        for (const auto &[key, value] : action.puts) {
            rows_[key].first += 1;
            rows_[key].second = value;
        }
        core::configuration_row next;
        core::configuration config;
        std::string problem;
        if (core::readRow(action.puts.front().second, next)
            && !codec().read(objects_.at(next.objectName), config, problem))
            commits_.push_back({ now_, config, next.noteId });
        break;
    }
    case submit_step::Finish:
        break;
    }
    return answer;
}

void config_world::callPlatform(std::size_t index, const core::submit_action &action,
                                platform_event done)
{
    const auto fail = [&] {
        scheduleForIncarnation(index, now_ + requestTimeout, [done] { done({}); });
    };
    const bool isCut = faults.cut.contains(index)
                       || (faults.cutZone && instances_[index].self.zone == *faults.cutZone);
    if (faults.platformDown || isCut) {
        fail();
        return;
    }
    const core::duration delay = settings_.platformDelay + drawDelay(faults.platformDelay);
    const core::time_point takesEffectAt = now_ + delay / 2;
    const core::time_point answeredAt = now_ + delay;
    const core::time_point timeoutAt = now_ + requestTimeout;
    // The request takes effect at the platform even if the sender has restarted or timed out.
    at(takesEffectAt, [this, index, incarnation = instances_[index].incarnation, action, answeredAt,
                       timeoutAt, done = std::move(done)] {
        const core::platform_answer answer = apply(action);
        bool isLost = answeredAt >= timeoutAt || faults.platformDown;
        if (changesPlatform(action.step) && faults.lostAnswers > 0) {
            --faults.lostAnswers;
            isLost = true;
        }
        if (instances_[index].incarnation != incarnation)
            return;
        scheduleForIncarnation(index, isLost ? timeoutAt : answeredAt, [done, answer, isLost] {
            done(isLost ? core::platform_answer{} : answer);
        });
    });
}

void config_world::submit(const core::release_note &note, std::size_t index)
{
    operator_record &record = operators_[note.id];
    record.note = note;
    if (record.acceptedAt || record.isRefused || record.attempts >= maxAttempts)
        return;
    ++record.attempts;
    const auto retry = [this, note, index] { submit(note, (index + 1) % instances_.size()); };
    auto run = std::make_shared<operation>();
    run->index = index;
    run->incarnation = instances_[index].incarnation;
    run->reportResult = [this, id = note.id, retry](const core::submit_result *result) {
        operator_record &operatorRecord = operators_.at(id);
        const auto kind = result == nullptr ? core::error_kind::NoteOutcomeUnknown
                                            : core::kindOf(result->error);
        const bool isWrong = settings_.error == config_defect::WrongAnswer && result != nullptr;
        if (isWrong || (result != nullptr && !result->error)) {
            if (!operatorRecord.acceptedAt)
                operatorRecord.acceptedAt = now_;
        } else if (kind == core::error_kind::NoteConflict || kind == core::error_kind::NoteInvalid
                   || kind == core::error_kind::NoteNotExact) {
            operatorRecord.isRefused = true;
        } else {
            at(now_ + operatorRetryDelay, retry);
        }
    };
    at(now_ + operatorTimeout, [run] {
        if (!run->isFinished)
            run->reportResult(nullptr);
        run->isFinished = true;
    });
    ++instances_[index].activeSubmits;
    performStep(run, core::startSubmit(run->state, note, now_ + submitTimeout, codec()));
}

void config_world::performStep(const std::shared_ptr<operation> &run,
                               const core::submit_action &action)
{
    if (action.step == submit_step::Finish) {
        finish(run);
        return;
    }
    if (action.notBefore > now_) {
        core::submit_action later = action;
        later.notBefore = core::time_point::min();
        scheduleForIncarnation(run->index, action.notBefore,
                               [this, run, later] { performStep(run, later); });
        return;
    }
    if (onSubmitStep)
        onSubmitStep(action.step, run->index);
    if (instances_[run->index].incarnation != run->incarnation)
        return;
    core::submit_action sent = action;
    if (settings_.error == config_defect::ExtraChange && action.step == submit_step::Commit) {
        core::configuration altered = *run->state.next;
        altered.switches[core::automatic_action::Probing] = false;
        const std::string body = codec().write(altered);
        const std::string name = core::objectNameOf(altered.version, codec().digest(body));
        objects_[name] = body;
        sent.puts.front().second = core::writeRow({ altered.version, run->state.note.id, name });
    }
    callPlatform(run->index, sent, [this, run](const core::platform_answer &answer) {
        performStep(run, core::continueSubmit(run->state, answer, now_, codec()));
    });
}

void config_world::finish(const std::shared_ptr<operation> &run)
{
    const core::submit_result &result = run->state.result;
    const std::uint64_t incarnation = run->incarnation;
    // While an outcome is unresolved, acknowledgements of all instances, proof (c), must not prove
    // the version of this instance. It must read the platform first.
    if (instances_[run->index].incarnation == incarnation) {
        instance &own = instances_[run->index];
        --own.activeSubmits;
        own.hasUnresolvedOutcome = own.hasUnresolvedOutcome || core::isUnresolved(run->state);
    }
    if (result.newest)
        installVersion(run->index, { {}, result.newest->version, result.newestName },
                       codec().write(*result.newest));
    if (instances_[run->index].incarnation == incarnation)
        confirm(run);
}

void config_world::confirm(const std::shared_ptr<operation> &run)
{
    const core::submit_result &result = run->state.result;
    if (run->isFinished)
        return; // the operator has timed out
    const core::spread_state &spread = instances_[run->index].spread;
    if (settings_.error != config_defect::EarlyAnswer && !result.error
        && !core::isHeldElsewhere(spread, result.newest->version)) {
        scheduleForIncarnation(run->index, now_ + confirmationPollInterval,
                               [this, run] { confirm(run); });
        return;
    }
    run->isFinished = true;
    run->reportResult(&result);
}

core::configuration_version config_world::versionOf(std::size_t index) const
{
    return instances_[index].store.current->version;
}

core::key_decision config_world::check(std::size_t index, const core::key_hash &hash) const
{
    const instance &own = instances_[index];
    core::freshness proofs = own.proofs;
    if (settings_.error == config_defect::NoProof)
        core::addPlatformProof(proofs, proofs.heldVersion, now_);
    return core::checkKey(own.index, hash, proofs, now_);
}

core::duration config_world::proofAge(std::size_t index) const
{
    return now_ - instances_[index].proofs.usable.at;
}

} // namespace fuchsiagw::testing
