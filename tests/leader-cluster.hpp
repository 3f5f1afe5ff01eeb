/// @file
/// @brief Simulated database group, its daemons and the platform in virtual time, for tests of
/// reads around promotions.
///
/// Each daemon is a complete engine. A primary that was replaced goes on until it is ordered to
/// step down, or for a second after it can reach its successor. Connections are ordered; a message
/// that is lost breaks its connection. Every row that a caller gets is checked against the list of
/// acknowledged commits.

#pragma once

#include "proxy-fixture.hpp"
#include "simulated-group.hpp"

#include <fuchsiagw/proxy/engine.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiagw::proxy {

using std::chrono::milliseconds;

struct cluster_link
{
    std::string daemon;
    std::string relay;
    std::string member;
    bool broken = false;
    bool inTransaction = false;
    std::size_t writesInTransaction = 0;
    core::time_point busyUntil{}; ///< commands of one connection run one after the other
    core::time_point lastAnswerAt{}; ///< replies on one connection do not overtake each other
    std::set<std::uint64_t> logAtBegin; ///< commits in the log when the transaction began
};

/// A caller with one operation.
struct cluster_caller
{
    consistency kind = consistency::Primary;
    core::time_point startedAt{};
    std::vector<caller_statement> rest; ///< statements of its transaction that follow
};

struct leader_cluster : simulated_group
{
    static constexpr milliseconds tick{ 2 };
    static constexpr milliseconds maxStaleness{ 1'500 };
    static constexpr milliseconds leaseDuration{ 3'000 };
    static constexpr const char *service = "books";

    std::map<std::string, std::unique_ptr<engine>> daemons;
    std::map<std::string, core::time_point> suspendedUntil; ///< by daemon
    std::map<std::pair<std::string, link_id>, cluster_link> links;
    std::map<std::pair<std::string, session_id>, cluster_caller> callers;
    std::map<std::pair<std::string, std::string>, std::set<std::uint64_t>>
            rowsRead; ///< by daemon and statement
    std::uint64_t lastStatement = 0;
    link_id starts = 0; ///< processes of daemons that have started
    std::string leaseHolder;
    core::time_point leaseUntil{};
    std::uint64_t lastToken = 0;
    open_orders recordedOrders; ///< in the store's promotion row
    std::uint64_t highestOrderedToken = 0;
    std::string orderedMember; ///< member of the latest promotion order
    milliseconds promotionDelay{ 300 }; ///< from an order to its effect
    /// Orders that are sent before this time get no answer and reach the platform 2 to 12 s later.
    core::time_point ordersAreLateUntil{};
    /// Delay with which a member carries out a command to pause, resume or step down, also if its
    /// connection was closed meanwhile; empty: none.
    std::function<milliseconds(const std::string &member)> controlDelay;
    bool fencesOrders = false; ///< orders are checked when they reach the platform
    std::uint64_t highestSeenToken = 0; ///< of the orders that reached the platform
    /// @name Results
    /// @{
    std::size_t reads = 0;
    std::size_t staleReads = 0;
    std::size_t outdatedOrders = 0;
    std::size_t refused = 0;
    std::map<std::string, core::time_point> lastWorkAt; ///< newest statement, by member
    /// @}

    explicit leader_cluster(std::uint64_t seed, bool enginesAssumeFencing = false)
        : simulated_group(seed)
    {
        for (const char *name : { "n1", "n2", "n3" })
            startDaemon(name, enginesAssumeFencing, listedMembers());
    }

    void startDaemon(const std::string &name, bool assumesFencing,
                     const std::vector<listed_member> &list)
    {
        auto &state = daemons[name] = std::make_unique<engine>();
        state->settings.node = name;
        state->settings.zone = zoneOf(name);
        state->settings.maxSessions = 100'000;
        state->settings.gracePeriod = std::chrono::seconds(6);
        state->settings.promotionsAreFenced = assumesFencing;
        state->settings.commitsNeedReceipts = assumesFencing;
        state->random.seed(random());
        state->incarnation = random();
        // A late answer to a process that has ended must not reach a link of its successor.
        constexpr link_id linksOfProcess = 1'000'000;
        state->lastLink = linksOfProcess * starts++;
        onManifest(*state, makeManifest(), now);
        onMemberList(*state, list, now);
        std::vector<peer_state> peers;
        for (const char *each : { "n1", "n2", "n3" }) {
            peer_state peer;
            peer.node = each;
            peer.zone = zoneOf(each);
            peers.push_back(peer);
        }
        onInstances(*state, peers, now);
    }

    static std::shared_ptr<const manifest> makeManifest()
    {
        manifest result = proxy_fixture::makeManifest(1);
        result.services.at(service).maxConnections = 1'000;
        return std::make_shared<const manifest>(std::move(result));
    }

    /// @param missing member without an entry in the store; empty: none
    std::vector<listed_member> listedMembers(const std::string &missing = {}) const
    {
        std::vector<listed_member> list;
        for (const auto &[id, member] : members) {
            if (id == missing)
                continue;
            upstream_entry entry = proxy_fixture::member(id, id == "m1");
            entry.zone = zoneOf(id);
            entry.slots = 4;
            list.push_back({ entry, 1 });
        }
        return list;
    }

    /// Gives all daemons a list of members in which one may be missing.
    void publishMembers(const std::string &missing)
    {
        for (const auto &[name, unused] : daemons) {
            handle(name, [&](engine &state) { onMemberList(state, listedMembers(missing), now); });
        }
    }

    // --- connections ---

    bool isConnected(const cluster_link &link) const
    {
        const std::string &relay = link.relay.empty() ? link.daemon : link.relay;
        return members.at(link.member).running && reaches(link.daemon, relay)
               && reaches(relay, link.member);
    }

    void breakLink(const std::string &daemon, link_id id)
    {
        cluster_link &link = links.at({ daemon, id });
        if (std::exchange(link.broken, true))
            return;
        after(milliseconds(500 + below(2'500)), [this, daemon, id] {
            links.erase({ daemon, id });
            handle(daemon, [=, this](engine &state) { onLinkClosed(state, id, now); });
        });
    }

    void sendCommand(const std::string &daemon, link_id id, const upstream_command &command)
    {
        const auto found = links.find({ daemon, id });
        if (found == links.end())
            return;
        cluster_link &link = found->second;
        const milliseconds work(command.kind == command_kind::Forward ? 1 + below(40) : 0);
        const bool isOrder = controlDelay && changesRole(command.kind);
        const milliseconds lateness = isOrder ? controlDelay(link.member) : milliseconds(0);
        const core::time_point arrival = std::max(now + shortDelay(), link.busyUntil) + lateness;
        link.busyUntil = arrival + work;
        const bool isReceived = lateness > milliseconds(0) && isConnected(link);
        events.emplace(arrival, [this, daemon, id, command, work, isReceived, to = link.member] {
            const auto open = links.find({ daemon, id });
            if (open == links.end() || open->second.broken) {
                if (isReceived && members.at(to).running)
                    changeRole(members.at(to), command);
                return;
            }
            if (!isConnected(open->second)) {
                breakLink(daemon, id);
                return;
            }
            run(daemon, id, command, work);
        });
    }

    void answer(const std::string &daemon, link_id id, reply result, core::duration delay)
    {
        const auto link = links.find({ daemon, id });
        if (link == links.end())
            return;
        const core::time_point arrival =
                std::max(now + delay + shortDelay(), link->second.lastAnswerAt);
        link->second.lastAnswerAt = arrival;
        events.emplace(arrival, [this, daemon, id, result = std::move(result)] {
            const auto open = links.find({ daemon, id });
            if (open == links.end() || open->second.broken)
                return;
            if (!isConnected(open->second))
                breakLink(daemon, id);
            else
                handle(daemon,
                       [=, this](engine &state) { onMemberAnswer(state, id, result, now); });
        });
    }

    static reply refusal(reply_code code)
    {
        reply result;
        result.code = code;
        return result;
    }

    void run(const std::string &daemon, link_id id, const upstream_command &command,
             core::duration work)
    {
        cluster_link &link = links.at({ daemon, id });
        group_member &member = members.at(link.member);
        reply result;
        result.digest = "digest";
        result.position = member.head();
        switch (command.kind) {
        case command_kind::Begin:
        case command_kind::BeginReadOnly:
            if (command.kind == command_kind::Begin && !member.leads)
                result = refusal(reply_code::ReadOnly);
            else if (command.after && !member.contains(*command.after))
                result = refusal(reply_code::Lagging);
            else {
                link.inTransaction = true;
                link.writesInTransaction = 0;
                link.logAtBegin = commitsOf(member);
                result.state = transaction_state::Open;
            }
            break;
        case command_kind::Forward:
            runStatement(daemon, id, command, work);
            return;
        case command_kind::Rollback:
            link.inTransaction = false;
            break;
        case command_kind::PauseReceiving:
        case command_kind::ResumeReceiving:
        case command_kind::StepDown:
            changeRole(member, command);
            addStatus(result, member);
            break;
        case command_kind::Status:
            addStatus(result, member);
            break;
        default:
            result.state = link.inTransaction ? transaction_state::Open : transaction_state::Idle;
            break;
        }
        answer(daemon, id, std::move(result), work);
    }

    static bool changesRole(command_kind kind)
    {
        return kind == command_kind::PauseReceiving || kind == command_kind::ResumeReceiving
               || kind == command_kind::StepDown;
    }

    static void changeRole(group_member &member, const upstream_command &command)
    {
        if (command.kind == command_kind::ResumeReceiving)
            member.pausedTerm = 0;
        else if (command.term > member.term && command.kind == command_kind::StepDown)
            member.leads = false;
        else if (command.term > member.term && !member.leads)
            member.pausedTerm = command.term;
    }

    static void addStatus(reply &result, const group_member &member)
    {
        result.status =
                member_status{ member.leads, member.term, member.head(), member.pausedTerm };
    }

    void runStatement(const std::string &daemon, link_id id, const upstream_command &command,
                      core::duration work)
    {
        cluster_link &link = links.at({ daemon, id });
        group_member &member = members.at(link.member);
        lastWorkAt[link.member] = now;
        reply result;
        result.digest = "digest";
        result.position = member.head();
        result.state = link.inTransaction ? transaction_state::Open : transaction_state::Idle;
        const bool writes = command.text.starts_with("WRITE");
        const bool commits = command.text == "COMMIT";
        if (command.after && !member.contains(*command.after)) {
            result = refusal(reply_code::Lagging);
        } else if (writes && !member.leads) {
            result = refusal(reply_code::ReadOnly);
        } else if (writes && link.inTransaction) {
            ++link.writesInTransaction;
        } else if (writes || (commits && link.writesInTransaction > 0)) {
            link.inTransaction = false;
            if (member.leads) {
                replicate(member, [this, daemon, id](core::log_position position) {
                    reply success;
                    success.digest = "digest";
                    success.position = position;
                    answer(daemon, id, std::move(success), {});
                });
                return;
            }
            result = refusal(reply_code::ReadOnly);
        } else if (commits) {
            link.inTransaction = false;
            result.state = transaction_state::Idle;
        } else {
            rowsRead[{ daemon, command.id }] =
                    link.inTransaction ? link.logAtBegin : commitsOf(member);
            // The position is that of the log after the read, which may have changed meanwhile.
            after(work, [this, daemon, id, result] {
                const auto open = links.find({ daemon, id });
                if (open == links.end())
                    return;
                reply late = result;
                late.position = members.at(open->second.member).head();
                answer(daemon, id, std::move(late), {});
            });
            return;
        }
        answer(daemon, id, std::move(result), work);
    }

    // --- daemons ---

    void handle(const std::string &daemon, const std::function<void(engine &)> &event)
    {
        const auto suspended = suspendedUntil.find(daemon);
        if (suspended != suspendedUntil.end() && suspended->second > now) {
            events.emplace(suspended->second, [this, daemon, event] { handle(daemon, event); });
            return;
        }
        engine &state = *daemons.at(daemon);
        event(state);
        perform(daemon, state);
    }

    void perform(const std::string &daemon, engine &state)
    {
        while (!state.out.empty()) {
            std::vector<action> batch;
            batch.swap(state.out);
            for (const action &next : batch)
                std::visit([&](const auto &each) { perform(daemon, state, each); }, next);
        }
    }

    template <typename other>
    void perform(const std::string &, engine &, const other &)
    { }

    void perform(const std::string &daemon, engine &, const decision_note &each)
    {
        const bool isTraced =
                (each.kind >= note_kind::PromotionStarted && each.kind <= note_kind::PromotionEnded)
                || each.kind >= note_kind::ReplicaPaused;
        if (isTraced)
            record(daemon + " " + std::string(toString(each.kind)) + " " + each.member + " "
                   + each.reason + " " + std::to_string(each.number));
    }
    void perform(const std::string &daemon, engine &, const open_link &each)
    {
        const auto &link = daemons.at(daemon)->links.at(each.link);
        cluster_link opened;
        opened.daemon = daemon;
        opened.relay = each.relay;
        opened.member = link.member;
        links[{ daemon, each.link }] = opened;
    }
    void perform(const std::string &daemon, engine &, const close_link &each)
    {
        links.erase({ daemon, each.link });
    }
    void perform(const std::string &daemon, engine &, const send_to_member &each)
    {
        for (const upstream_command &command : each.commands)
            sendCommand(daemon, each.link, command);
    }
    void perform(const std::string &daemon, engine &, const send_to_peer &each)
    {
        constexpr std::uint64_t lossPercent = 3;
        if (below(100) < lossPercent)
            return;
        after(shortDelay(), [this, daemon, each] {
            if (reaches(daemon, each.peer))
                handle(each.peer,
                       [=, this](engine &state) { onPeerMessage(state, each.message, now); });
        });
    }
    void perform(const std::string &daemon, engine &, const acquire_fencing_token &each)
    {
        if (!reaches(daemon, "store")) {
            after(milliseconds(1'500), [=, this] {
                handle(daemon,
                       [=, this](engine &state) { onTokenAcquired(state, service, 0, now); });
            });
            return;
        }
        after(milliseconds(8), [=, this] {
            const bool held = leaseHolder != daemon && leaseUntil > now;
            const core::time_point until = leaseUntil;
            if (!held) {
                leaseHolder = daemon;
                leaseUntil = now + leaseDuration;
                ++lastToken;
            }
            const std::uint64_t token = lastToken;
            const open_orders orders = recordedOrders;
            after(milliseconds(4), [=, this] {
                handle(daemon, [=, this](engine &state) {
                    if (held)
                        onTokenHeldElsewhere(state, each.service, until, now, orders, token);
                    else
                        onTokenAcquired(state, each.service, token, now, orders);
                });
            });
        });
    }
    void perform(const std::string &daemon, engine &, const read_open_orders &each)
    {
        after(milliseconds(8), [=, this] {
            if (!reaches(daemon, "store"))
                return;
            const std::uint64_t version = lastToken;
            const open_orders orders = recordedOrders;
            after(milliseconds(4), [=, this] {
                handle(daemon, [=, this](engine &state) {
                    onOpenOrdersRead(state, each.service, orders, version, now);
                });
            });
        });
    }
    void perform(const std::string &daemon, engine &, const record_open_orders &each)
    {
        after(milliseconds(8), [=, this] {
            const bool isRecorded = reaches(daemon, "store") && each.token == lastToken;
            if (isRecorded)
                recordedOrders = each.orders;
            after(milliseconds(4), [=, this] {
                handle(daemon, [=, this](engine &state) {
                    onOrdersRecorded(state, each.service, each.token, isRecorded, now);
                });
            });
        });
    }
    void perform(const std::string &daemon, engine &state, const order_promotion &each)
    {
        if (now >= each.validUntil) {
            onPromoteAnswer(state, each, promote_outcome::Refused, now);
            return;
        }
        if (each.token < highestOrderedToken)
            ++outdatedOrders;
        highestOrderedToken = std::max(highestOrderedToken, each.token);
        orderedMember = each.member;
        record(daemon + " orders " + each.member + " under " + std::to_string(each.token));
        if (now < ordersAreLateUntil) {
            after(milliseconds(2'000 + below(10'000)), [=, this] { carryOut(each); });
            after(milliseconds(1'500),
                  [=, this] { answerOrder(daemon, each, promote_outcome::NoAnswer); });
            return;
        }
        after(milliseconds(10), [=, this] {
            const promote_outcome outcome = carryOut(each);
            after(milliseconds(5), [=, this] { answerOrder(daemon, each, outcome); });
        });
    }

    void answerOrder(const std::string &daemon, const order_promotion &order,
                     promote_outcome outcome)
    {
        handle(daemon, [=, this](engine &state) { onPromoteAnswer(state, order, outcome, now); });
    }

    /// The platform's part of an order, at the time at which it carries it out. A token counts as
    /// seen only if its order was accepted.
    promote_outcome carryOut(const order_promotion &order)
    {
        const bool isOutdated = fencesOrders && order.token < highestSeenToken;
        if (isOutdated || !members.at(order.member).running)
            return promote_outcome::FencedOff;
        highestSeenToken = std::max(highestSeenToken, order.token);
        record("order " + std::to_string(order.token) + " for " + order.member + " accepted");
        if (!members.at(order.member).leads)
            after(promotionDelay, [=, this] { promote(order.member); });
        return promote_outcome::Ordered;
    }
    void perform(const std::string &daemon, engine &, const send_to_caller &each)
    {
        const auto found = callers.find({ daemon, each.session });
        if (found == callers.end() || each.opens)
            return;
        continueCaller(daemon, each.session, each.answer);
    }

    /// Splits the network: a member, and the daemons that are not named, on one side; the other
    /// members, the named daemons and the store on the other side.
    void isolate(const std::string &member, const std::vector<std::string> &reachable,
                 milliseconds duration)
    {
        std::vector<std::string> here{ member };
        std::vector<std::string> there{ "store" };
        for (const auto &[name, unused] : daemons) {
            const bool isNamed =
                    std::find(reachable.begin(), reachable.end(), name) != reachable.end();
            (isNamed ? there : here).push_back(name);
        }
        for (const auto &[name, unused] : members) {
            if (name != member)
                there.push_back(name);
        }
        for (const std::string &one : here) {
            for (const std::string &other : there)
                cut(one, other, duration);
        }
    }

    // --- callers ---

    void startCaller(const std::string &daemon)
    {
        static constexpr const char *databases[] = { "current", "bounded", "own" };
        const std::size_t kind = below(3);
        const session_id id = ++lastStatement;
        cluster_caller &caller = callers[{ daemon, id }];
        caller.kind = static_cast<consistency>(0);
        caller.kind = kind == 0   ? consistency::Primary
                      : kind == 1 ? consistency::BoundedStaleness
                                  : consistency::ReadYourWrites;
        const bool writes = kind != 1 && below(100) < 30;
        if (below(100) < 30) {
            caller.rest = { statement(statement_kind::Begin, "BEGIN"),
                            statement(statement_kind::Read, "READ a"),
                            statement(statement_kind::Commit, "COMMIT") };
            if (writes)
                caller.rest.insert(caller.rest.end() - 1,
                                   statement(statement_kind::Write, "WRITE a x"));
        } else {
            caller.rest = { writes ? statement(statement_kind::Write, "WRITE a x")
                                   : statement(statement_kind::Read, "READ a") };
        }
        caller.startedAt = now;
        handle(daemon, [=, this](engine &state) {
            onSessionOpened(state, id, databases[kind], "key", now);
        });
        sendNext(daemon, id);
    }

    caller_statement statement(statement_kind kind, const std::string &text)
    {
        caller_statement result;
        result.id = "s" + std::to_string(++lastStatement);
        result.kind = kind;
        result.text = text;
        return result;
    }

    void sendNext(const std::string &daemon, session_id id)
    {
        const auto found = callers.find({ daemon, id });
        if (found == callers.end())
            return;
        if (found->second.rest.empty()) {
            callers.erase(found);
            handle(daemon, [=, this](engine &state) { onCallerDisconnected(state, id, now); });
            return;
        }
        const caller_statement next = found->second.rest.front();
        handle(daemon, [=, this](engine &state) { onCallerStatement(state, id, next, now); });
    }

    void continueCaller(const std::string &daemon, session_id id, const reply &result)
    {
        cluster_caller &caller = callers.at({ daemon, id });
        const caller_statement done = caller.rest.front();
        caller.rest.erase(caller.rest.begin());
        if (result.code != reply_code::Success) {
            ++refused;
            caller.rest.clear();
        } else if (done.kind == statement_kind::Write && caller.rest.empty()) {
            reported.insert(commitAt.at(*result.position)); // a write outside of a transaction
        } else if (done.kind == statement_kind::Read) {
            checkRead(caller, rowsRead[{ daemon, done.id }]);
        }
        rowsRead.erase({ daemon, done.id });
        after(milliseconds(1), [this, daemon, id] { sendNext(daemon, id); });
    }

    void checkRead(const cluster_caller &caller, const std::set<std::uint64_t> &rows)
    {
        ++reads;
        const core::time_point bound = caller.kind == consistency::Primary
                                               ? caller.startedAt
                                               : caller.startedAt - maxStaleness;
        const bool isStale =
                std::any_of(acknowledged.begin(), acknowledged.end(), [&](const auto &each) {
                    return each.at < bound && !rows.contains(each.commit);
                });
        staleReads += isStale ? 1 : 0;
    }

    // --- time ---

    void advance(core::duration elapsed)
    {
        const core::time_point end = now + elapsed;
        for (; now < end; now += tick) {
            while (!events.empty() && events.begin()->first <= now) {
                const auto task = std::move(events.begin()->second);
                events.erase(events.begin());
                task();
            }
            followLeader();
            for (const auto &[name, state] : daemons) {
                if (nextTimerAt(*state) <= now)
                    handle(name, [this](engine &each) { onTimer(each, now); });
            }
            constexpr std::uint64_t callersPerThousandTicks = 60;
            for (const auto &[name, state] : daemons) {
                if (below(1'000) < callersPerThousandTicks)
                    startCaller(name);
            }
        }
    }
};

} // namespace fuchsiagw::proxy
