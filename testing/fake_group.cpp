/// @file
/// @brief Members, network, event loop and checkers of the simulated database group.

#include <fuchsiagw/testing/fake_group.hpp>

#include <algorithm>
#include <string>

namespace fuchsiagw::testing {

using namespace core;

namespace {

constexpr duration pullInterval = std::chrono::milliseconds(50);
constexpr duration gapMeasureInterval = std::chrono::milliseconds(10);
constexpr duration maxWriteGap = std::chrono::seconds(5);
constexpr time_point firstWriteAt = time_point(std::chrono::milliseconds(300));
constexpr term_number firstTerm = term_number{ 1 } << rankBits;
const group_id groupName{ "group" };

} // namespace

fake_group::fake_group(const fake_settings &settings)
    : config(settings)
    , random(settings.seed)
{
    group_settings group;
    members.resize(config.members);
    waits.resize(config.members);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].id = member_id{ "m" + std::to_string(i) };
        members[i].accepted = firstTerm;
        members[i].leads = i == 0;
        members[i].followTerm = i == 0 ? 0 : firstTerm;
        members[i].lag = config.replicaLag;
        group.members[members[i].id].zone = zone_name{ "z" + std::to_string(i) };
        schedule(pullInterval, [this, i] { catchUp(i); });
    }
    ledTerms.insert(firstTerm);
    owners.resize(config.owners);
    for (std::size_t i = 0; i < owners.size(); ++i) {
        fake_owner &owner = owners[i];
        applySettings(owner.view, groupName, group);
        owner.random.seed(config.seed * 1000 + i);
        owner.failover.rank = static_cast<std::uint8_t>(i);
        owner.failover.policy = config.policy;
        owner.failover.isPromotionEnabled = config.fault != failover_defect::NeverPromote;
        // Random offsets keep the ticks and writes of the owners from being aligned.
        schedule(duration(drawBelow(random, 25000)), [this, i] { tick(i); });
        const auto offset =
                drawBelow(random, static_cast<std::uint64_t>(config.writeInterval.count()));
        schedule(firstWriteAt - time_point{} + duration(offset), [this, i] { startWrite(i); });
    }
    schedule(firstWriteAt - time_point{}, [this] { measureGap(); });
}

void fake_group::schedule(duration after, std::function<void()> callback)
{
    events.push({ clock + after, nextOrder++, std::move(callback) });
}

void fake_group::scheduleAtOwner(std::size_t owner, duration after, std::function<void()> callback)
{
    schedule(after, [this, owner, callback = std::move(callback)] {
        deliver(ownerNode(owner), callback);
    });
}

void fake_group::at(duration when, std::function<void()> callback)
{
    schedule(time_point(when) - clock, std::move(callback));
}

void fake_group::onStep(failover_step step, std::function<void()> callback)
{
    stepHooks.emplace(step, std::move(callback));
}

void fake_group::runUntil(duration end)
{
    while (!events.empty() && events.top().at <= time_point(end)) {
        const event next = events.top();
        events.pop();
        clock = next.at;
        next.run();
    }
    clock = time_point(end);
}

bool fake_group::isCut(std::size_t left, std::size_t right) const
{
    return cuts.contains({ std::min(left, right), std::max(left, right) });
}

void fake_group::cut(std::size_t left, std::size_t right, bool isCutNow)
{
    const std::pair<std::size_t, std::size_t> link{ std::min(left, right), std::max(left, right) };
    if (isCutNow)
        cuts.insert(link);
    else
        cuts.erase(link);
}

void fake_group::deliver(std::size_t to, const std::function<void()> &callback)
{
    if (to < members.size()) {
        if (members[to].isUp)
            callback();
        return;
    }
    fake_owner &owner = owners[to - members.size()];
    if (owner.isPaused)
        owner.deferredEvents.push_back(callback);
    else
        callback();
}

void fake_group::send(std::size_t from, std::size_t to, const std::function<void()> &callback)
{
    constexpr std::uint64_t scale = 1000000;
    const auto happens = [&](double probability) {
        return probability > 0
               && static_cast<double>(drawBelow(random, scale)) < probability * scale;
    };
    if (isCut(from, to) || happens(loss))
        return;
    const int copies = happens(duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto jitter =
                drawBelow(random, static_cast<std::uint64_t>(config.jitter.count()) + 1);
        schedule(config.delay + duration(jitter), [this, to, callback] { deliver(to, callback); });
    }
}

void fake_group::sendRequest(std::size_t owner, std::size_t member,
                             const std::function<void()> &atMember, std::function<void()> refused)
{
    const bool isRefused =
            !members[member].isUp && members[member].refuses && !isCut(ownerNode(owner), member);
    if (isRefused)
        scheduleAtOwner(owner, config.delay * 2, std::move(refused));
    else
        send(ownerNode(owner), member, atMember);
}

void fake_group::sendAnswer(std::size_t member, std::size_t owner, std::function<void()> atOwner)
{
    schedule(members[member].answerDelay, [this, member, owner, atOwner = std::move(atOwner)] {
        if (members[member].isUp)
            send(member, ownerNode(owner), atOwner);
    });
}

void fake_group::stop(std::size_t member, bool refuses)
{
    members[member].isUp = false;
    members[member].refuses = refuses;
    waits[member].clear();
}

void fake_group::start(std::size_t member)
{
    members[member].isUp = true;
}

void fake_group::pause(std::size_t owner)
{
    owners[owner].isPaused = true;
}

void fake_group::resume(std::size_t owner)
{
    owners[owner].isPaused = false;
    const std::vector<std::function<void()>> deferred =
            std::exchange(owners[owner].deferredEvents, {});
    for (const auto &each : deferred)
        deliver(ownerNode(owner), each);
}

void fake_group::report(const std::string &problem)
{
    if (findings.problems.size() < 20)
        findings.problems.push_back("at " + std::to_string(clock.time_since_epoch().count() / 1000)
                                    + " ms: " + problem);
}

std::size_t fake_group::primary() const
{
    std::size_t best = members.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].leads
            && (best == members.size() || members[i].accepted > members[best].accepted))
            best = i;
    }
    return best;
}

void fake_group::markPrimaryLoss()
{
    primaryLostAt = clock;
}

log_position fake_group::lastPosition(const fake_member &member) const
{
    return member.log.empty() ? log_position{}
                              : log_position{ member.log.back().term, member.log.size() };
}

member_status fake_group::statusOf(std::size_t member) const
{
    const fake_member &each = members[member];
    const log_position last = lastPosition(each);
    return { each.id,       groupName, each.leads ? member_role::Primary : member_role::Replica,
             each.accepted, last,      last,
             each.leaving };
}

// ---- members ----

execute_answer fake_group::execute(std::size_t member, const request_id &id, term_number term,
                                   std::uint64_t number, bool hasKey)
{
    fake_member &each = members[member];
    execute_answer result;
    result.id = id;
    result.term = each.accepted;
    if (term != each.accepted || !each.leads) {
        result.status = execute_status::Refused;
        return result;
    }
    const auto known = std::find_if(each.log.begin(), each.log.end(),
                                    [number](const auto &entry) { return entry.write == number; });
    if (hasKey && known != each.log.end()) {
        result.position = { known->term, static_cast<log_index>(known - each.log.begin()) + 1 };
    } else {
        each.log.push_back({ term, number, clock });
        runs[number] += 1;
        result.position = lastPosition(each);
        replicate(member);
    }
    result.applied = lastPosition(each);
    return result;
}

void fake_group::replicate(std::size_t from)
{
    const fake_member &source = members[from];
    const std::size_t previous = source.log.size() - 1;
    const term_number previousTerm = previous == 0 ? 0 : source.log[previous - 1].term;
    const std::vector<fake_entry> entries{ source.log.back() };
    for (std::size_t to = 0; to < members.size(); ++to) {
        if (to == from)
            continue;
        schedule(members[to].lag,
                 [this, from, to, previous, previousTerm, entries, term = source.accepted] {
                     if (members[from].isUp)
                         send(from, to, [this, from, to, previous, previousTerm, entries, term] {
                             append(to, from, term, previous, previousTerm, entries);
                         });
                 });
    }
}

void fake_group::append(std::size_t to, std::size_t from, term_number term, std::size_t previous,
                        term_number previousTerm, const std::vector<fake_entry> &entries)
{
    fake_member &each = members[to];
    if (each.accepted != term || each.followTerm != term || each.followedMember != from
        || each.log.size() < previous
        || (previous > 0 && each.log[previous - 1].term != previousTerm))
        return;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const std::size_t place = previous + i;
        if (place < each.log.size() && each.log[place].term == entries[i].term)
            continue;
        each.log.resize(std::min(each.log.size(), place));
        each.log.push_back(entries[i]);
    }
    serveWaits(to);
}

void fake_group::catchUp(std::size_t member)
{
    schedule(pullInterval, [this, member] { catchUp(member); });
    const fake_member &each = members[member];
    if (!each.isUp || each.leads || each.followTerm == 0)
        return;
    const std::size_t from = each.followedMember;
    send(member, from, [this, member, from, term = each.followTerm] {
        const fake_member &source = members[from];
        if (!source.leads || source.accepted != term)
            return;
        const std::vector<fake_entry> &log = members[member].log;
        std::size_t commonLength = 0;
        while (commonLength < std::min(log.size(), source.log.size())
               && log[commonLength].term == source.log[commonLength].term)
            commonLength += 1;
        std::vector<fake_entry> entries;
        for (std::size_t i = commonLength; i < source.log.size(); ++i) {
            if (source.log[i].at + members[member].lag <= clock)
                entries.push_back(source.log[i]);
        }
        const term_number commonTerm = commonLength == 0 ? 0 : source.log[commonLength - 1].term;
        send(from, member, [this, member, from, term, commonLength, commonTerm, entries] {
            append(member, from, term, commonLength, commonTerm, entries);
        });
    });
}

// ---- checkers ----

void fake_group::checkLog(std::size_t member, const std::string &when)
{
    const std::vector<fake_entry> &log = members[member].log;
    std::uint64_t missing = 0;
    for (const auto &[number, position] : acknowledgedWrites) {
        const bool isPresent = position.index >= 1 && position.index <= log.size()
                               && log[position.index - 1].write == number
                               && log[position.index - 1].term == position.term;
        missing += isPresent ? 0 : 1;
    }
    findings.lost = std::max(findings.lost, missing);
    if (missing > 0)
        report(std::to_string(missing) + " acknowledged writes missing at " + when);
}

bool fake_group::isServiceable() const
{
    for (std::size_t owner = 0; owner < owners.size(); ++owner) {
        if (owners[owner].isPaused)
            continue;
        for (std::size_t lead = 0; lead < members.size(); ++lead) {
            std::size_t reached = 0;
            for (std::size_t other = 0; other < members.size(); ++other) {
                const bool isReachable = members[other].isUp && !isCut(ownerNode(owner), other)
                                         && (other == lead || !isCut(lead, other));
                reached += isReachable ? 1 : 0;
            }
            const bool canLead = members[lead].isUp && !isCut(ownerNode(owner), lead);
            if (canLead && reached >= majorityOf(members.size()))
                return true;
        }
    }
    return false;
}

void fake_group::measureGap()
{
    schedule(gapMeasureInterval, [this] { measureGap(); });
    if (isServiceable())
        gap += gapMeasureInterval;
    findings.longestGap = std::max(findings.longestGap, gap);
}

fake_findings fake_group::finish()
{
    if (primary() < members.size())
        checkLog(primary(), "the end");
    else
        report("no primary at the end");
    if (findings.longestGap > maxWriteGap)
        report("no write acknowledged for " + std::to_string(findings.longestGap.count() / 1000)
               + " ms");
    for (const std::uint64_t number : answeredNotRun) {
        if (runs.contains(number))
            report("write " + std::to_string(number) + " ran but was answered not_run");
    }
    for (const auto &[number, count] : runs) {
        if (count > 1 && !config.writesHaveKeys)
            report("write " + std::to_string(number) + " ran " + std::to_string(count) + " times");
    }
    return findings;
}

} // namespace fuchsiagw::testing
