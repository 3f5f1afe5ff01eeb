/// @file
/// @brief Several session engines of one deployment in virtual time, for tests of the limits.
///
/// Each daemon is a whole engine. Datagrams between daemons take time and can be lost, cut off or
/// held up; the store's list of daemons reaches each of them late or not at all; the member answers
/// every statement at once, so that an admitted operation counts at the moment of its admission.

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
    std::unique_ptr<engine> state; ///< empty while the process does not run
    core::time_point frozenUntil{};
    core::time_point slowUntil{}; ///< handles what comes in late until then
    core::time_point awakeAt{}; ///< of a slow process: it handles nothing before
    bool cutOff = false; ///< from all other daemons and from the store
    bool storeCut = false;
    core::time_point nextRead{}; ///< of the store's list
    std::uint64_t ownVersion = 0; ///< of its row in that list
    std::uint64_t manifestSeen = 0;
    core::time_point startAt = core::noDeadline; ///< of the next process
    std::deque<peer_message> inbox;
};

/// The store's row of a daemon.
struct cluster_row
{
    std::string zone;
    std::uint64_t incarnation = 0;
    limit_part claimed = 0;
    std::uint64_t version = 0;
};

/// A change of a row that the store carries out if the row still has the version.
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
    std::map<std::string, cluster_row> rows; ///< the store's list of daemons
    std::uint64_t rowsVersion = 0;
    std::vector<cluster_write> writes; ///< on the way to the store
    std::vector<std::shared_ptr<const manifest>> manifests; ///< the newest one last
    std::set<std::string> cutZones;
    double offeredPerSecond = 600; ///< at all daemons together
    std::vector<core::time_point> admitted;
    std::uint64_t asked = 0;
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

    std::uint64_t below(std::uint64_t count) { return random() % count; }
    bool chance(double share) { return std::generate_canonical<double, 30>(random) < share; }

    void setLimit(double rate, double burstSize)
    {
        manifest next;
        next.version = manifests.size() + 1;
        route way;
        way.database = "own";
        way.service = "books";
        way.kind = consistency::ReadYourWrites;
        way.statementTimeout = milliseconds(800);
        way.latencyObjective = milliseconds(200);
        way.maxStaleness = milliseconds(1'500);
        next.routes.emplace(way.database, way);
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
        daemon.startAt = now + milliseconds(below(300));
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
        state.random.seed(random());
        state.incarnation = random();
        daemon.ownVersion = 0;
        daemon.manifestSeen = 0;
        daemon.inbox.clear();
        daemon.nextRead = now + milliseconds(10);
        upstream_entry entry;
        entry.id = "m1";
        entry.service = "books";
        entry.address = "127.0.0.1:1";
        entry.zone = daemon.zone;
        entry.slots = 10'000;
        entry.claimsPrimary = true;
        entry.startedAtMs = 1;
        onMemberList(state, { { entry, 100 } }, now);
        carryOut(daemon);
    }

    void kill(const std::string &name, milliseconds down)
    {
        daemons.at(name).state.reset();
        daemons.at(name).startAt = now + down;
    }

    bool runs(const cluster_daemon &daemon) const
    {
        return daemon.state && daemon.frozenUntil <= now && daemon.awakeAt <= now;
    }

    /// Carries out what the engine asked for.
    void carryOut(cluster_daemon &daemon)
    {
        engine &state = *daemon.state;
        while (!state.out.empty()) {
            std::vector<action> batch;
            batch.swap(state.out);
            for (const action &each : batch) {
                if (const auto *datagram = std::get_if<send_to_peer>(&each))
                    post(daemon, *datagram);
                if (const auto *request = std::get_if<send_to_member>(&each))
                    answer(state, *request);
                if (const auto *claim = std::get_if<claim_part>(&each))
                    writeClaim(daemon, claim->part);
                const auto *reply = std::get_if<send_to_caller>(&each);
                if (reply != nullptr && !reply->opens)
                    onCallerDisconnected(state, reply->session, now);
            }
        }
    }

    void answer(engine &state, const send_to_member &order)
    {
        for (const upstream_command &each : order.commands) {
            reply success;
            success.digest = "digest";
            success.position = { 1, 1 };
            if (each.kind == command_kind::Begin || each.kind == command_kind::BeginReadOnly)
                success.state = transaction_state::Open;
            if (each.kind == command_kind::Forward)
                admitted.push_back(now);
            onMemberAnswer(state, order.link, std::move(success), now);
        }
    }

    bool reach(const cluster_daemon &from, const cluster_daemon &to) const
    {
        if (from.cutOff || to.cutOff)
            return false;
        return from.zone == to.zone
               || (!cutZones.contains(from.zone) && !cutZones.contains(to.zone));
    }

    void post(const cluster_daemon &from, const send_to_peer &order)
    {
        const auto to = daemons.find(order.peer);
        if (to == daemons.end() || !reach(from, to->second) || chance(0.001))
            return;
        const milliseconds delay{ from.zone == to->second.zone ? 1 : 3 + below(2) };
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

    /// Some writes are carried out seconds later, without an answer.
    void writeClaim(cluster_daemon &daemon, limit_part part)
    {
        daemon.nextRead = now + milliseconds(part == 0 ? 800 : 10);
        if (daemon.cutOff || daemon.storeCut)
            return;
        const milliseconds delay{ chance(0.1) ? 2'000 + below(4'000) : 8 };
        writes.push_back({ daemon.name,
                           { daemon.zone, daemon.state->incarnation, part, 0 },
                           daemon.ownVersion,
                           now + delay });
    }

    void carryOutWrites()
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
        if (now < daemon.nextRead)
            return;
        daemon.nextRead = now + milliseconds(300 + below(2'700));
        if (daemon.cutOff || daemon.storeCut)
            return;
        engine &state = *daemon.state;
        if (daemon.manifestSeen != manifests.size())
            onManifest(state, manifests.back(), now);
        daemon.manifestSeen = manifests.size();
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
        carryOut(daemon);
    }

    void operate(cluster_daemon &daemon)
    {
        ++asked;
        engine &state = *daemon.state;
        const session_id id = ++lastSession;
        if (!onSessionOpened(state, id, "own", "key", now)) {
            onCallerDisconnected(state, id, now);
            return;
        }
        caller_statement statement;
        statement.id = "s" + std::to_string(id);
        statement.kind = statement_kind::Write;
        statement.text = "WRITE a x";
        statement.name = "a";
        statement.argument = "x";
        onCallerStatement(state, id, std::move(statement), now);
        carryOut(daemon);
    }

    /// A slow process does everything in turns, with pauses between them.
    void beSlow(cluster_daemon &daemon)
    {
        constexpr milliseconds slowPause{ 180 };
        if (now < daemon.slowUntil && daemon.awakeAt <= now)
            daemon.awakeAt = now + slowPause;
    }

    void step()
    {
        now += tick;
        deliver();
        carryOutWrites();
        for (auto &[name, daemon] : daemons) {
            if (!daemon.state && daemon.startAt <= now)
                startProcess(daemon);
            if (!runs(daemon))
                continue;
            for (; !daemon.inbox.empty(); daemon.inbox.pop_front())
                onPeerMessage(*daemon.state, daemon.inbox.front(), now);
            carryOut(daemon);
            readStore(daemon);
            if (nextTimerAt(*daemon.state) <= now)
                onTimer(*daemon.state, now);
            carryOut(daemon);
            beSlow(daemon);
        }
        for (auto &[name, daemon] : daemons) {
            const double each = offeredPerSecond / static_cast<double>(daemons.size()) / 1'000;
            if (chance(each) && runs(daemon))
                operate(daemon);
        }
    }

    void pass(milliseconds lapse)
    {
        for (const core::time_point end = now + lapse; now < end;)
            step();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, daemon] : daemons)
            result.push_back(name);
        return result;
    }

    /// Some of the daemons, drawn by the seed.
    std::vector<std::string> draw(std::size_t count)
    {
        std::vector<std::string> all = names();
        std::shuffle(all.begin(), all.end(), random);
        all.resize(std::min(all.size(), count));
        return all;
    }

    void setCutOff(const std::vector<std::string> &which, bool cut)
    {
        for (const std::string &name : which)
            daemons.at(name).cutOff = cut;
    }

    /// The most operations that were admitted in any window after a moment.
    std::size_t mostInWindow(core::time_point from = start) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[first] <= admitted[last] - window)
                ++first;
            if (admitted[last] >= from + window)
                most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t admittedBetween(core::time_point from, core::time_point to) const
    {
        return static_cast<std::size_t>(
                std::count_if(admitted.begin(), admitted.end(),
                              [&](core::time_point at) { return at >= from && at < to; }));
    }

    /// What the users allow in a window: a tenth more than rate and burst, and 20 operations.
    static std::size_t allowed(double rate, double burstSize)
    {
        constexpr double overage = 1.1;
        constexpr double tolerance = 20;
        const double seconds = std::chrono::duration<double>(window).count();
        return static_cast<std::size_t>((rate * seconds + burstSize) * overage + tolerance);
    }
};

} // namespace fuchsiagw::proxy
