/// @file
/// @brief Simulated cluster of session engines in virtual time, for tests of workspace limits.
///
/// Each daemon is a complete engine. Datagrams between daemons are delayed and can be lost; daemons
/// can be isolated, suspended or slow. Each daemon reads the list of daemons from the store late or
/// not at all. The upstream member answers every statement immediately, so an admitted operation
/// counts at the time of its admission.

#pragma once

#include <fuchsiagw/proxy/engine.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

using std::chrono::milliseconds;

struct cluster_datagram
{
    std::string to;
    peer_message message;
    core::time_point due;
};

struct cluster_daemon
{
    std::string name;
    std::string zone;
    std::unique_ptr<engine> state; ///< null while the process is down
    core::time_point suspendedUntil{};
    core::time_point slowUntil{}; ///< handles events with delays until then
    core::time_point resumesAt{}; ///< end of the current pause of a slow process
    bool isolated = false; ///< from all other daemons and from the store
    bool storeUnreachable = false; ///< reads and writes of the store fail
    core::time_point nextReadAt{}; ///< of the list of daemons in the store
    std::uint64_t ownVersion = 0; ///< version of its row that was last read
    std::uint64_t manifestVersionSeen = 0;
    core::time_point startAt = core::noDeadline; ///< start of the next process
    std::deque<peer_message> inbox;
};

/// A daemon's row in the store.
struct cluster_row
{
    std::string zone;
    std::uint64_t incarnation = 0;
    limit_part claimed = 0;
    std::uint64_t version = 0;
};

/// A conditional write of a row: the store applies it only if the row still has the expected
/// version.
struct cluster_write
{
    std::string name;
    cluster_row row;
    std::uint64_t expected = 0;
    core::time_point due;
};

struct quota_cluster
{
    static constexpr core::time_point start{ std::chrono::hours(1) };
    static constexpr milliseconds tick{ 1 };
    static constexpr milliseconds window{ 5'000 };
    static constexpr double ratePerSecond = 200;
    static constexpr double burst = 200;

    std::mt19937_64 random;
    core::time_point now = start;
    std::map<std::string, cluster_daemon> daemons;
    std::deque<cluster_datagram> network;
    std::map<std::string, cluster_row> rows; ///< list of daemons in the store
    std::uint64_t rowsVersion = 0;
    std::vector<cluster_write> writes; ///< not yet applied by the store
    std::vector<std::shared_ptr<const manifest>> manifests; ///< oldest first
    std::set<std::string> isolatedZones;
    double offeredPerSecond = 600; ///< operations requested from all daemons together
    std::vector<core::time_point> admitted;
    std::uint64_t submitted = 0;
    double urgentShare = 0; ///< of the operations, on a route of priority 0; the others have 2
    std::size_t urgentSubmitted = 0;
    std::size_t urgentAdmitted = 0;
    bool priorityAdmission = false; ///< of daemons that start
    session_id lastSession = 0;

    explicit quota_cluster(std::uint64_t seed, int zones = 3, int daemonsPerZone = 3)
        : random(seed)
    {
        setLimit(ratePerSecond, burst);
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < daemonsPerZone; ++i)
                addDaemon("n" + std::to_string(zone) + "-" + std::to_string(i),
                          "z" + std::to_string(zone));
        }
    }

    std::uint64_t randomBelow(std::uint64_t count) { return random() % count; }
    bool withProbability(double probability)
    {
        return std::generate_canonical<double, 30>(random) < probability;
    }

    void setLimit(double rate, double burstSize)
    {
        manifest next;
        next.version = manifests.size() + 1;
        route routeEntry;
        routeEntry.database = "own";
        routeEntry.service = "books";
        routeEntry.kind = consistency::ReadYourWrites;
        routeEntry.statementTimeout = milliseconds(800);
        routeEntry.latencyObjective = milliseconds(200);
        routeEntry.maxStaleness = milliseconds(1'500);
        routeEntry.priority = 2;
        next.routes.emplace(routeEntry.database, routeEntry);
        routeEntry.database = "urgent";
        routeEntry.priority = 0;
        next.routes.emplace(routeEntry.database, routeEntry);
        service_entry service;
        service.name = "books";
        service.maxConnections = 100'000;
        next.services.emplace(service.name, service);
        workspace_entry workspace;
        workspace.name = "house";
        workspace.ratePerSecond = rate;
        workspace.burst = burstSize;
        next.workspaces.push_back(workspace);
        next.workspaceByKey.emplace("key", 0);
        manifests.push_back(std::make_shared<const manifest>(std::move(next)));
    }

    void addDaemon(const std::string &name, const std::string &zone)
    {
        cluster_daemon &daemon = daemons[name];
        daemon.name = name;
        daemon.zone = zone;
        daemon.startAt = now + milliseconds(randomBelow(300));
    }

    void startProcess(cluster_daemon &daemon)
    {
        daemon.startAt = core::noDeadline;
        daemon.state = std::make_unique<engine>();
        engine &state = *daemon.state;
        state.settings.node = daemon.name;
        state.settings.zone = daemon.zone;
        state.settings.maxSessions = 100'000;
        state.settings.gracePeriod = std::chrono::seconds(6);
        state.settings.priorityAdmission = priorityAdmission;
        state.random.seed(random());
        state.incarnation = random();
        daemon.ownVersion = 0;
        daemon.manifestVersionSeen = 0;
        daemon.inbox.clear();
        daemon.nextReadAt = now + milliseconds(10);
        upstream_entry entry;
        entry.id = "m1";
        entry.service = "books";
        entry.address = "127.0.0.1:1";
        entry.zone = daemon.zone;
        entry.slots = 10'000;
        entry.claimsPrimary = true;
        entry.startedAtMs = 1;
        onMemberList(state, { { entry, 100 } }, now);
        executeActions(daemon);
    }

    void kill(const std::string &name, milliseconds down)
    {
        daemons.at(name).state.reset();
        daemons.at(name).startAt = now + down;
    }

    bool isRunning(const cluster_daemon &daemon) const
    {
        return daemon.state && daemon.suspendedUntil <= now && daemon.resumesAt <= now;
    }

    /// Executes the actions that the engine has emitted.
    void executeActions(cluster_daemon &daemon)
    {
        engine &state = *daemon.state;
        while (!state.out.empty()) {
            std::vector<action> batch;
            batch.swap(state.out);
            for (const action &each : batch) {
                if (const auto *datagram = std::get_if<send_to_peer>(&each))
                    sendDatagram(daemon, *datagram);
                if (const auto *request = std::get_if<send_to_member>(&each))
                    answerAsMember(state, *request);
                if (const auto *claim = std::get_if<claim_part>(&each))
                    writeClaim(daemon, claim->part);
                const auto *reply = std::get_if<send_to_caller>(&each);
                if (reply != nullptr && !reply->opens)
                    onCallerDisconnected(state, reply->session, now);
            }
        }
    }

    void answerAsMember(engine &state, const send_to_member &order)
    {
        for (const upstream_command &each : order.commands) {
            reply success;
            success.digest = "digest";
            success.position = { 1, 1 };
            if (each.kind == command_kind::Begin || each.kind == command_kind::BeginReadOnly)
                success.state = transaction_state::Open;
            if (each.kind == command_kind::Forward) {
                admitted.push_back(now);
                urgentAdmitted += each.text == "WRITE a urgent" ? 1 : 0;
            }
            onMemberAnswer(state, order.link, std::move(success), now);
        }
    }

    bool canReach(const cluster_daemon &from, const cluster_daemon &to) const
    {
        if (from.isolated || to.isolated)
            return false;
        return from.zone == to.zone
               || (!isolatedZones.contains(from.zone) && !isolatedZones.contains(to.zone));
    }

    void sendDatagram(const cluster_daemon &from, const send_to_peer &order)
    {
        const auto to = daemons.find(order.peer);
        if (to == daemons.end() || !canReach(from, to->second) || withProbability(0.001))
            return;
        const milliseconds delay{ from.zone == to->second.zone ? 1 : 3 + randomBelow(2) };
        network.push_back({ order.peer, order.message, now + delay });
    }

    void deliver()
    {
        for (std::size_t i = network.size(); i > 0; --i) {
            cluster_datagram next = std::move(network.front());
            network.pop_front();
            if (next.due > now)
                network.push_back(std::move(next));
            else if (daemons.at(next.to).state)
                daemons.at(next.to).inbox.push_back(std::move(next.message));
        }
    }

    /// Enqueues a conditional write. Some writes are delayed by seconds; none is answered.
    void writeClaim(cluster_daemon &daemon, limit_part part)
    {
        daemon.nextReadAt = now + milliseconds(part == 0 ? 800 : 10);
        if (daemon.isolated || daemon.storeUnreachable)
            return;
        const milliseconds delay{ withProbability(0.1) ? 2'000 + randomBelow(4'000) : 8 };
        writes.push_back({ daemon.name,
                           { daemon.zone, daemon.state->incarnation, part, 0 },
                           daemon.ownVersion,
                           now + delay });
    }

    void applyDueWrites()
    {
        for (cluster_write &each : writes) {
            if (each.due > now)
                continue;
            const auto row = rows.find(each.name);
            if ((row == rows.end() ? 0 : row->second.version) != each.expected)
                continue;
            each.row.version = ++rowsVersion;
            rows[each.name] = each.row;
        }
        std::erase_if(writes, [this](const auto &each) { return each.due <= now; });
    }

    void readStore(cluster_daemon &daemon)
    {
        if (now < daemon.nextReadAt)
            return;
        daemon.nextReadAt = now + milliseconds(300 + randomBelow(2'700));
        if (daemon.isolated || daemon.storeUnreachable)
            return;
        engine &state = *daemon.state;
        if (daemon.manifestVersionSeen != manifests.size())
            onManifest(state, manifests.back(), now);
        daemon.manifestVersionSeen = manifests.size();
        const auto own = rows.find(daemon.name);
        daemon.ownVersion = own == rows.end() ? 0 : own->second.version;
        std::vector<peer_state> list;
        for (const auto &[name, row] : rows) {
            peer_state peer;
            peer.node = name;
            peer.zone = row.zone;
            peer.incarnation = row.incarnation;
            peer.claimed = row.claimed;
            list.push_back(std::move(peer));
        }
        onInstances(state, list, now);
        executeActions(daemon);
    }

    void submitOperation(cluster_daemon &daemon)
    {
        ++submitted;
        engine &state = *daemon.state;
        const session_id id = ++lastSession;
        const bool isUrgent = urgentShare > 0 && withProbability(urgentShare);
        urgentSubmitted += isUrgent ? 1 : 0;
        if (!onSessionOpened(state, id, isUrgent ? "urgent" : "own", "key", now)) {
            onCallerDisconnected(state, id, now);
            return;
        }
        caller_statement statement;
        statement.id = "s" + std::to_string(id);
        statement.kind = statement_kind::Write;
        statement.text = isUrgent ? "WRITE a urgent" : "WRITE a x";
        statement.name = "a";
        statement.argument = "x";
        onCallerStatement(state, id, std::move(statement), now);
        executeActions(daemon);
    }

    /// A slow process pauses after each step.
    void pauseIfSlow(cluster_daemon &daemon)
    {
        constexpr milliseconds slowPause{ 180 };
        if (now < daemon.slowUntil && daemon.resumesAt <= now)
            daemon.resumesAt = now + slowPause;
    }

    void step()
    {
        now += tick;
        deliver();
        applyDueWrites();
        for (auto &[name, daemon] : daemons) {
            if (!daemon.state && daemon.startAt <= now)
                startProcess(daemon);
            if (!isRunning(daemon))
                continue;
            for (; !daemon.inbox.empty(); daemon.inbox.pop_front())
                onPeerMessage(*daemon.state, daemon.inbox.front(), now);
            executeActions(daemon);
            readStore(daemon);
            if (nextTimerAt(*daemon.state) <= now)
                onTimer(*daemon.state, now);
            executeActions(daemon);
            pauseIfSlow(daemon);
        }
        for (auto &[name, daemon] : daemons) {
            const double each = offeredPerSecond / static_cast<double>(daemons.size()) / 1'000;
            if (withProbability(each) && isRunning(daemon))
                submitOperation(daemon);
        }
    }

    void advance(milliseconds timespan)
    {
        for (const core::time_point end = now + timespan; now < end;)
            step();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, daemon] : daemons)
            result.push_back(name);
        return result;
    }

    /// Selects daemons at random, reproducibly for a seed.
    std::vector<std::string> selectDaemons(std::size_t count)
    {
        std::vector<std::string> all = names();
        std::shuffle(all.begin(), all.end(), random);
        all.resize(std::min(all.size(), count));
        return all;
    }

    void setIsolated(const std::vector<std::string> &selected, bool isolated)
    {
        for (const std::string &name : selected)
            daemons.at(name).isolated = isolated;
    }

    /// @return the maximum number of operations that were admitted in any window after @p from
    std::size_t maxAdmittedInWindow(core::time_point from = start) const
    {
        std::size_t maximum = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[first] <= admitted[last] - window)
                ++first;
            if (admitted[last] >= from + window)
                maximum = std::max(maximum, last - first + 1);
        }
        return maximum;
    }

    std::size_t admittedBetween(core::time_point from, core::time_point to) const
    {
        return static_cast<std::size_t>(
                std::count_if(admitted.begin(), admitted.end(),
                              [&](core::time_point at) { return at >= from && at < to; }));
    }

    /// Accepted number of operations in a window: 10 % more than rate and burst allow, plus 20.
    static std::size_t maxAllowedInWindow(double rate, double burstSize)
    {
        constexpr double overage = 1.1;
        constexpr double tolerance = 20;
        const double seconds = std::chrono::duration<double>(window).count();
        return static_cast<std::size_t>((rate * seconds + burstSize) * overage + tolerance);
    }
};

} // namespace fuchsiagw::proxy
