/// @file
/// @brief Tests of limit managers with a fake platform table and a fake network in virtual time.

#include <fuchsiagw/core/limit_manager.hpp>
#include <fuchsiagw/core/rendezvous.hpp>
#include <fuchsiagw/core/share_table.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

using namespace fuchsiagw::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration stepLength = milliseconds(5);
const workspace_id workspace{ "libros" };
const group_id group{ "g1" };
const resource_id workspaceLimit{ resource_kind::Workspace, "libros" };
const resource_id groupLimit{ resource_kind::Connections, "g1" };

struct node
{
    limit_manager manager;
    bool isAlive = true;
    time_point pausedUntil{};
    double offeredRate = 0; ///< statements per second
    double arrivalFraction = 0; ///< accumulated fraction of the next statement
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint32_t demand = 0; ///< connections that the node needs
    std::uint32_t limit = 0;
    std::uint32_t open = 0;
    time_point closeAt = noDeadline; ///< when the exchanges on connections above the limit end
    bool isExpired = false;
};

struct event
{
    time_point at{};
    std::uint64_t number = 0;
    std::function<void()> run;

    friend bool operator<(const event &left, const event &right)
    {
        return left.at == right.at ? left.number > right.number : left.at > right.at;
    }
};

struct world
{
    time_point now{ seconds(100) };
    random_engine random{ 7 };
    std::vector<std::unique_ptr<node>> nodes;
    std::priority_queue<event> events;
    std::uint64_t nextEvent = 0;
    configuration config;
    std::map<std::string, table_row> table;
    std::map<std::string, transact_answer> answeredTransactions;
    time_point platformDownUntil{};
    int answersToLose = 0;
    std::uint64_t scans = 0;
    std::uint64_t writes = 0;
    /// Rate of lost messages and, separately, of duplicated messages.
    std::uint64_t messageFaultsPerThousand = 0;
    share_count connections = 16; ///< maximum sum over all instances

    void after(duration delay, std::function<void()> run)
    {
        events.push({ now + delay, nextEvent++, std::move(run) });
    }

    std::vector<peer_ref> live() const
    {
        std::vector<peer_ref> all;
        for (const auto &each : nodes)
            if (each->isAlive && !each->manager.isLeaving)
                all.push_back(each->manager.self);
        return all;
    }

    /// @return the owner of the group in a zone
    node &owner(int zone)
    {
        const zone_name name{ "z" + std::to_string(zone) };
        std::vector<instance_id> instances;
        for (const peer_ref &each : live())
            if (each.zone == name)
                instances.push_back(each.instance);
        const instance_id first = rankInstances(ownerKey(group, name), instances).front();
        return **std::find_if(nodes.begin(), nodes.end(), [&](const auto &each) {
            return each->isAlive && each->manager.self.instance == first;
        });
    }

    /// Reports the live instances and the owners of the group to all nodes.
    void announce()
    {
        const auto peers = live();
        const std::set<const node *> owners{ &owner(0), &owner(1), &owner(2) };
        for (auto &each : nodes) {
            if (!each->isAlive)
                continue;
            const bool isOwner = owners.contains(each.get());
            apply(*each, [this, &at = *each, peers, isOwner](limit_manager_actions &actions) {
                onPeers(at.manager, peers, now, random, actions);
                onOwnedGroups(at.manager,
                              isOwner ? std::set<group_id>{ group } : std::set<group_id>{}, now,
                              random, actions);
            });
        }
    }

    node &add(int zone, std::string instance = {})
    {
        const auto id = static_cast<incarnation_id>(nodes.size() + 1);
        if (instance.empty())
            instance = "i" + std::to_string(id);
        const peer_ref self{ id, instance_id{ instance }, zone_name{ "z" + std::to_string(zone) } };
        node &added = *nodes.emplace_back(std::make_unique<node>());
        added.manager = makeLimitManager(self, {}, now);
        apply(added, [&](limit_manager_actions &actions) {
            onConfiguration(added.manager, config, now, random, actions);
        });
        return added;
    }

    transact_answer transact(const transact_request &request)
    {
        const auto known = answeredTransactions.find(request.id);
        if (known != answeredTransactions.end())
            return known->second;
        transact_answer answer{ true, {} };
        for (const row_check &check : request.checks)
            if (table[check.key].version != check.version) {
                answer.committed = false;
                answer.conflicts.push_back(check.key);
            }
        if (answer.committed) {
            ++writes;
            for (const row_put &put : request.puts)
                table[put.key] = { put.key, table[put.key].version + 1, put.value };
            for (const std::string &key : request.deletes)
                table.erase(key);
        }
        return answeredTransactions[request.id] = answer;
    }

    void call(node &from, const limit_platform_call &platformCall)
    {
        if (now < platformDownUntil) {
            after(seconds(1), [this, &from, platformCall] { answer(from, platformCall, {}, {}); });
            return;
        }
        after(milliseconds(10), [this, &from, platformCall] {
            if (const auto *prefix = std::get_if<std::string>(&platformCall.operation)) {
                ++scans;
                scan_answer rows;
                for (const auto &[key, row] : table)
                    if (key.starts_with(*prefix) && row.version > 0)
                        rows.rows.push_back(row);
                after(milliseconds(10),
                      [this, &from, platformCall, rows] { answer(from, platformCall, rows, {}); });
                return;
            }
            const transact_answer result =
                    transact(std::get<transact_request>(platformCall.operation));
            const bool isLost = answersToLose > 0 && result.committed;
            answersToLose -= isLost ? 1 : 0;
            after(isLost ? seconds(1) : milliseconds(10),
                  [this, &from, platformCall, result, isLost] {
                      answer(from, platformCall, {}, isLost ? std::nullopt : std::optional(result));
                  });
        });
    }

    void answer(node &to, const limit_platform_call &platformCall,
                const std::optional<scan_answer> &rows,
                const std::optional<transact_answer> &result)
    {
        apply(to, [this, &to, platformCall, rows, result](limit_manager_actions &actions) {
            if (std::holds_alternative<std::string>(platformCall.operation))
                onScan(to.manager, platformCall.number, rows, now, random, actions);
            else
                onTransact(to.manager, platformCall.number, result, now, random, actions);
        });
    }

    /// Runs an event now or, if the node is paused, at the end of the pause. The event must own the
    /// data that it uses.
    void apply(node &at, const std::function<void(limit_manager_actions &)> &run)
    {
        if (!at.isAlive)
            return;
        if (now < at.pausedUntil) {
            after(at.pausedUntil - now, [this, &at, run] { apply(at, run); });
            return;
        }
        limit_manager_actions actions;
        run(actions);
        for (const limit_manager_action &each : actions) {
            if (const auto *message = std::get_if<limit_message>(&each))
                deliver(at, *message);
            else if (const auto *platformCall = std::get_if<limit_platform_call>(&each))
                call(at, *platformCall);
            else if (const auto *admitted = std::get_if<admission_outcome>(&each))
                ++(admitted->granted ? at.granted : at.refused);
            else if (const auto *allowed = std::get_if<connection_limit_change>(&each))
                at.limit = allowed->limit;
            else
                at.isExpired = true;
        }
    }

    void deliver(const node &from, const limit_message &message, bool isCopy = false)
    {
        const incarnation_id sender = from.manager.self.incarnation;
        if (drawBelow(random, 1'000) < messageFaultsPerThousand)
            return;
        if (!isCopy && drawBelow(random, 1'000) < messageFaultsPerThousand)
            after(milliseconds(drawBelow(random, 5'000)),
                  [this, &from, message] { deliver(from, message, true); });
        after(milliseconds(4), [this, sender, message] {
            node &to = *nodes.at(message.to - 1);
            apply(to, [this, &to, sender, message](limit_manager_actions &actions) {
                onMessage(to.manager, sender, message.body, now, random, actions);
            });
        });
    }

    /// Opens connections up to the limit and keeps them open. Above the limit, idle connections are
    /// closed at once, and those with an exchange just before connectionDrainInterval has passed.
    void useConnections(node &each)
    {
        each.open = std::max(each.open, std::min(each.limit, each.demand));
        if (each.open <= each.limit)
            each.closeAt = noDeadline;
        else if (each.closeAt == noDeadline)
            each.closeAt = now + connectionDrainInterval - milliseconds(50);
        if (each.open > each.limit)
            each.open = now >= each.closeAt
                                ? each.limit
                                : std::max(each.limit, std::min(each.open, each.demand));
        const std::uint32_t busy = std::min(each.open, each.demand);
        setGroupDemand(each.manager, group, each.open, each.demand - busy, now, each.open - busy);
    }

    void step()
    {
        now += stepLength;
        while (!events.empty() && events.top().at <= now) {
            const event next = events.top();
            events.pop();
            next.run();
        }
        for (auto &pointer : nodes) {
            node &each = *pointer;
            if (!each.isAlive || now < each.pausedUntil)
                continue;
            useConnections(each);
            apply(each, [&](limit_manager_actions &actions) {
                each.arrivalFraction +=
                        each.offeredRate * std::chrono::duration<double>(stepLength).count();
                for (; each.arrivalFraction >= 1; each.arrivalFraction -= 1) {
                    const admission decision =
                            admitStatement(each.manager, workspace, 0, now, actions);
                    each.granted += decision == admission::Granted ? 1 : 0;
                    each.refused += decision == admission::Refused ? 1 : 0;
                }
                if (nextLimitManagerTick(each.manager) <= now)
                    tickLimitManager(each.manager, now, random, actions);
            });
        }
        check();
    }

    void check()
    {
        share_count shares = 0;
        share_count connectionShares = 0;
        share_count open = 0;
        for (auto &each : nodes) {
            if (!each->isAlive || each->isExpired)
                continue;
            shares += usableShares(each->manager.rates.limits.at(workspaceLimit).ledger, now);
            // A paused process can't close its connections before it runs again.
            open += now < each->pausedUntil + connectionDrainInterval ? 0 : each->open;
            const auto entry = each->manager.connections.limits.find(groupLimit);
            if (entry != each->manager.connections.limits.end())
                connectionShares += usableShares(entry->second.ledger, now);
        }
        CHECK_TRUE(shares <= workspaceShares);
        CHECK_TRUE(connectionShares <= connections);
        CHECK_TRUE(open <= connections);
    }

    void run(duration length)
    {
        for (const time_point end = now + length; now < end;)
            step();
    }

    share_count home(const resource_id &resource) const
    {
        share_count sum = 0;
        for (const auto &[key, row] : table)
            if (const auto parsed = parseShareRow(key, row.value))
                if (const auto *lease = std::get_if<lease_row>(&*parsed))
                    sum += lease->homes.contains(resource) ? lease->homes.at(resource) : 0;
        return sum;
    }

    pool_row pool(const resource_id &resource) const
    {
        return std::get<pool_row>(
                *parseShareRow(poolKey(resource), table.at(poolKey(resource)).value));
    }

    void count(std::uint64_t &granted, std::uint64_t &refused)
    {
        granted = refused = 0;
        for (const auto &each : nodes) {
            granted += each->granted;
            refused += each->refused;
            each->granted = each->refused = 0;
        }
    }
};

} // namespace

TEST_GROUP(limit_manager)
{
    world all;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;

    void start(int count)
    {
        all.config.version = 1;
        all.config.workspaces[workspace] = { 100, 100, { group }, {}, {} };
        all.config.groups[group].connections = 16;
        for (int i = 0; i < count; ++i)
            all.add(i % 3);
        all.announce();
        all.run(seconds(12));
        all.writes = all.scans = 0;
        all.count(granted, refused);
    }
    void kill(std::size_t index)
    {
        all.nodes[index]->isAlive = false;
        all.after(seconds(1), [this] { all.announce(); });
    }
    /// Checks that each share ledger has the home shares that the table records.
    void checkLedgers()
    {
        for (const auto &each : all.nodes) {
            const std::string key = leaseKey(each->manager.self.incarnation);
            if (!each->isAlive)
                continue;
            CHECK_TRUE(each->manager.hasJoined && !each->isExpired);
            const auto row = parseShareRow(key, all.table.at(key).value);
            LONGS_EQUAL(std::get<lease_row>(*row).homes.at(workspaceLimit),
                        each->manager.rates.limits.at(workspaceLimit).ledger.home);
        }
    }
    void configure()
    {
        for (auto &each : all.nodes)
            all.apply(*each, [&](limit_manager_actions &actions) {
                onConfiguration(each->manager, all.config, all.now, all.random, actions);
            });
    }
};

// Guards against instances that do not join and shares that no instance takes. Also guards against
// transactions and repeated scans once all shares are divided.
TEST(limit_manager, joinDividesAllShares)
{
    start(9);
    LONGS_EQUAL(workspaceShares, all.home(workspaceLimit));
    LONGS_EQUAL(16, all.home(groupLimit));
    std::uint32_t sum = 0;
    for (int zone = 0; zone < 3; ++zone) {
        CHECK_TRUE(all.owner(zone).limit >= 5);
        sum += all.owner(zone).limit;
    }
    LONGS_EQUAL(16, sum);
    all.run(seconds(60));
    LONGS_EQUAL(0, all.writes);
    CHECK_TRUE(all.scans <= 18); // at most one later pool read of two rows per instance
}

// Guards against refusals of statements within the rate when all load arrives at one instance, with
// or without the platform, and against a workspace that exceeds its rate.
TEST(limit_manager, servesUnevenDemandWithoutPlatform)
{
    start(9);
    all.nodes[4]->offeredRate = 80;
    all.run(seconds(5));
    all.count(granted, refused);
    LONGS_EQUAL(0, refused);
    all.platformDownUntil = all.now + seconds(60);
    all.run(seconds(60));
    all.count(granted, refused);
    LONGS_EQUAL(0, refused);
    CHECK_TRUE(granted >= 4'780);
    all.nodes[4]->offeredRate = 300;
    all.run(seconds(10));
    all.count(granted, refused);
    CHECK_TRUE(granted >= 950 && granted <= 1'101); // the rate plus at most one burst
}

// Guards against idle connections that stay at an owner while another owner needs them, and against
// a limit that drops because a loan is not renewed in time.
TEST(limit_manager, lendsConnectionsToBusyOwner)
{
    start(9);
    node &first = all.owner(0);
    node &second = all.owner(2);
    // All connections are open and idle at first.
    for (const std::uint32_t demand : { 16, 0 }) {
        for (int zone = 0; zone < 3; ++zone)
            all.owner(zone).demand = demand;
        all.run(seconds(3));
    }
    first.demand = 12;
    all.run(seconds(5));
    CHECK_TRUE(first.open >= 11);
    for (int i = 0; i < 100; ++i) {
        all.run(milliseconds(200));
        CHECK_TRUE(first.limit >= 11);
    }
    first.demand = 0;
    second.demand = 12;
    all.run(seconds(12));
    CHECK_TRUE(second.open >= 11);
}

// Guards against shares that remain recorded for an instance after its planned stop, and against a
// planned stop that never ends. Open connections and loans delay the return of shares.
TEST(limit_manager, plannedStopReturnsAllShares)
{
    start(9);
    node &owner = all.owner(0);
    node &busy = all.owner(1).manager.self.instance.value == "i5" ? *all.nodes[1] : *all.nodes[4];
    owner.demand = 3;
    busy.offeredRate = 80;
    all.run(seconds(5));
    busy.offeredRate = 0;
    for (node *each : { &owner, &busy })
        all.apply(*each, [&](limit_manager_actions &actions) {
            startLeaving(each->manager, all.now, all.random, actions);
        });
    all.announce();
    all.run(seconds(3));
    owner.demand = 0;
    all.run(seconds(9));
    for (const node *each : { &owner, &busy }) {
        CHECK_TRUE(hasLeft(each->manager));
        LONGS_EQUAL(0, all.table.count(leaseKey(each->manager.self.incarnation)));
    }
    all.run(seconds(40));
    LONGS_EQUAL(16, all.home(groupLimit));
    CHECK_TRUE(all.home(workspaceLimit) >= workspaceShares * 99 / 100);
}

// Guards against shares that are lost when their holder crashes and so can't return them.
TEST(limit_manager, reclaimsSharesOfDeadInstances)
{
    start(9);
    const std::array<incarnation_id, 2> dead{ all.owner(0).manager.self.incarnation, 8 };
    for (const incarnation_id each : dead)
        kill(each - 1);
    all.run(seconds(50));
    for (const incarnation_id each : dead)
        LONGS_EQUAL(0, all.table.count(leaseKey(each)));
    LONGS_EQUAL(16, all.home(groupLimit));
    CHECK_TRUE(all.home(workspaceLimit) >= workspaceShares * 99 / 100);
    CHECK_TRUE(all.writes <= 40);
}

// Guards against shares that can't be reclaimed by votes, because all instances restart at once and
// the witnesses are gone together with the holders.
TEST(limit_manager, reclaimsSharesAfterRestartOfAllInstances)
{
    start(4);
    for (int i = 0; i < 4; ++i) {
        all.nodes[static_cast<std::size_t>(i)]->isAlive = false;
        all.add(i % 3, "i" + std::to_string(i + 1));
    }
    all.announce();
    all.run(seconds(180));
    for (incarnation_id old = 1; old <= 4; ++old)
        LONGS_EQUAL(0, all.table.count(leaseKey(old)));
    LONGS_EQUAL(workspaceShares, all.home(workspaceLimit));
    LONGS_EQUAL(16, all.home(groupLimit));
}

// Guards against an instance that is paused beyond the end of its lease and afterwards uses shares
// that were reclaimed during the pause.
TEST(limit_manager, expiredIncarnationGrantsNothing)
{
    start(4);
    node &paused = *all.nodes[3];
    paused.demand = 0;
    paused.pausedUntil = all.now + seconds(30);
    all.run(seconds(35));
    CHECK_TRUE(paused.isExpired);
    LONGS_EQUAL(0, all.table.count(leaseKey(4)));
    limit_manager_actions actions;
    CHECK_TRUE(admitStatement(paused.manager, workspace, 1, all.now, actions)
               == admission::Refused);
}

// Guards against a transaction that is applied twice, or whose shares are lost, because its answer
// is lost after the commit.
TEST(limit_manager, readsBackAfterLostAnswer)
{
    all.answersToLose = 6;
    start(5);
    LONGS_EQUAL(0, all.answersToLose);
    all.answersToLose = 4;
    all.add(0);
    all.announce();
    all.run(seconds(30));
    LONGS_EQUAL(0, all.answersToLose);
    checkLedgers();
    LONGS_EQUAL(workspaceShares, all.home(workspaceLimit) + all.pool(workspaceLimit).free);
}

// Guards against a changed connection count or a withdrawn workspace in the configuration that
// never takes effect in the pool and the home shares.
TEST(limit_manager, appliesConfigurationChanges)
{
    start(9);
    for (int zone = 0; zone < 3; ++zone)
        all.owner(zone).demand = 16;
    all.config.groups[group].connections = 30;
    all.connections = 30;
    configure();
    all.run(seconds(8));
    LONGS_EQUAL(30, all.home(groupLimit));
    LONGS_EQUAL(30, all.owner(0).open + all.owner(1).open + all.owner(2).open);
    all.config.groups[group].connections = 7;
    configure();
    all.run(seconds(12));
    all.connections = 7;
    all.run(seconds(1));
    LONGS_EQUAL(7, all.home(groupLimit));
    LONGS_EQUAL(7, all.pool(groupLimit).total);
    all.config.workspaces.clear();
    configure();
    all.run(seconds(8));
    LONGS_EQUAL(0, all.home(workspaceLimit));
}

// Guards against shares that are counted twice when faults coincide: paused instances, platform
// outages, lost answers, expired incarnations, and lost or duplicated messages.
TEST(limit_manager, limitsHoldUnderRandomFaults)
{
    start(9);
    for (int round = 0; round < 200; ++round) {
        node &target = *all.nodes[drawBelow(all.random, all.nodes.size())];
        const duration length = milliseconds(drawBelow(all.random, 15'000));
        const std::uint64_t fault = round < 150 ? drawBelow(all.random, 8) : 8;
        if (fault == 0)
            target.pausedUntil = std::max(target.pausedUntil, all.now + length);
        else if (fault == 1)
            all.platformDownUntil = all.now + length;
        else if (fault == 2)
            all.answersToLose = 3;
        else if (fault == 3)
            target.isExpired = true;
        target.demand = static_cast<std::uint32_t>(drawBelow(all.random, 12));
        target.offeredRate = static_cast<double>(drawBelow(all.random, 80));
        all.messageFaultsPerThousand = round < 150 ? 50 : 0;
        all.run(seconds(2));
        for (std::size_t i = 0, count = all.nodes.size(); i < count; ++i)
            if (all.nodes[i]->isAlive && all.nodes[i]->isExpired) {
                all.nodes[i]->isAlive = false;
                all.add(static_cast<int>(i % 3), all.nodes[i]->manager.self.instance.value);
            }
        all.announce();
    }
    checkLedgers();
    LONGS_EQUAL(workspaceShares, all.home(workspaceLimit) + all.pool(workspaceLimit).free);
}

// Guards against a truncated, altered or misplaced lease row that is accepted as valid.
TEST(limit_manager, rowsAreParsedStrictly)
{
    const lease_row lease{ 5,        instance_id{ "i5" },   zone_name{ "a" },
                           { 1, 2 }, { { groupLimit, 3 } }, "5-1" };
    const std::string text = *toValue(lease);
    CHECK_TRUE(std::get<lease_row>(*parseShareRow("lease/5", text)) == lease);
    CHECK_FALSE(parseShareRow("lease/6", text).has_value());
    for (std::size_t i = 0; i < text.size(); ++i) {
        CHECK_FALSE(parseShareRow("lease/5", text.substr(0, i)).has_value());
        CHECK_FALSE(parseShareRow("lease/5", text.substr(0, i) + ' ' + text.substr(i)).has_value());
    }
    CHECK_FALSE(toValue(lease_row{ 5, instance_id{ "a b" }, zone_name{ "a" }, {}, {}, "t" }));
}
