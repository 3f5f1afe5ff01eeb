/// @file
/// @brief Test fixture: a session engine with one database group, driven without network or clock.

#pragma once

#include <fuchsiagw/proxy/engine.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

using std::chrono::milliseconds;

/// Time counts from an arbitrary start, as it does for the daemon's clock.
struct proxy_fixture
{
    engine state;
    core::time_point now{ std::chrono::hours(1) };
    std::vector<action> history; ///< all actions returned by takeActions() so far
    session_id nextSession = 0;
    int nextStatement = 0;

    static constexpr const char *service = "books";
    static constexpr const char *primary = "m1";

    proxy_fixture()
    {
        state.settings.node = "node-1";
        state.settings.zone = "north";
        state.settings.maxSessions = 1000;
        state.settings.gracePeriod = std::chrono::seconds(6);
        state.settings.promotionsAreFenced = true;
        state.random.seed(1);
        applyManifest(makeManifest(1));
        setMembers({ member("m1", true), member("m2", false), member("m3", false) });
        takeActions();
    }

    static manifest makeManifest(std::uint64_t version)
    {
        manifest result;
        result.version = version;
        const auto add = [&](const char *database, consistency kind) {
            route each;
            each.database = database;
            each.service = service;
            each.kind = kind;
            each.statementTimeout = milliseconds(800);
            each.latencyObjective = milliseconds(200);
            each.maxStaleness = milliseconds(1500);
            result.routes.emplace(database, each);
        };
        add("current", consistency::Primary);
        add("bounded", consistency::BoundedStaleness);
        add("own", consistency::ReadYourWrites);
        service_entry entry;
        entry.name = service;
        entry.maxConnections = 16;
        entry.synchronousReplicas = 1;
        result.services.emplace(entry.name, entry);
        workspace_entry workspace;
        workspace.name = "house";
        result.workspaces.push_back(workspace);
        result.workspaceByKey.emplace("key", 0);
        result.transactionIdleLimit = milliseconds(3000);
        return result;
    }

    static upstream_entry member(const std::string &id, bool leads)
    {
        upstream_entry entry;
        entry.id = id;
        entry.service = service;
        entry.address = "127.0.0.1:1";
        entry.zone = "north";
        entry.slots = 2;
        entry.claimsPrimary = leads;
        entry.startedAtMs = 1;
        return entry;
    }

    void applyManifest(const manifest &next)
    {
        onManifest(state, std::make_shared<const manifest>(next), now);
    }

    void setMembers(const std::vector<upstream_entry> &entries)
    {
        std::vector<listed_member> members;
        std::uint64_t version = 100;
        for (const upstream_entry &each : entries)
            members.push_back({ each, ++version });
        onMemberList(state, members, now);
    }

    /// Moves the engine's pending actions to `history` and returns them.
    std::vector<action> takeActions()
    {
        std::vector<action> actions;
        actions.swap(state.out);
        history.insert(history.end(), actions.begin(), actions.end());
        return actions;
    }

    template <typename type>
    static std::vector<type> actionsOf(const std::vector<action> &from)
    {
        std::vector<type> result;
        for (const action &each : from) {
            if (const auto *match = std::get_if<type>(&each))
                result.push_back(*match);
        }
        return result;
    }

    /// Confirms that the store has recorded the engine's promotion orders.
    /// @return the orders that were sent to the platform
    std::vector<order_promotion> takeOrders()
    {
        std::vector<order_promotion> orders;
        while (!state.out.empty()) {
            const std::vector<action> actions = takeActions();
            for (const auto &each : actionsOf<order_promotion>(actions))
                orders.push_back(each);
            for (const auto &each : actionsOf<record_open_orders>(actions))
                onOrdersRecorded(state, each.service, each.token, true, now);
        }
        return orders;
    }

    /// Advances the clock in steps of 10 ms and runs the timers.
    void advanceTime(core::duration elapsed)
    {
        const core::time_point end = now + elapsed;
        while (now < end) {
            now = std::min(end, now + milliseconds(10));
            onTimer(state, now);
        }
    }

    session_id openSession(const std::string &database, const std::string &key = "key")
    {
        const session_id id = ++nextSession;
        onSessionOpened(state, id, database, key, now);
        return id;
    }

    void sendStatement(session_id id, statement_kind kind, const std::string &text,
                       const std::string &name = {}, const std::string &argument = {})
    {
        caller_statement statement;
        statement.id = "s" + std::to_string(++nextStatement);
        statement.kind = kind;
        statement.text = text;
        statement.name = name;
        statement.argument = argument;
        onCallerStatement(state, id, statement, now);
    }
    void sendRead(session_id id) { sendStatement(id, statement_kind::Read, "READ a", "a"); }
    void sendWrite(session_id id)
    {
        sendStatement(id, statement_kind::Write, "WRITE a x", "a", "x");
    }

    static reply success(core::log_position position,
                         transaction_state after = transaction_state::Idle)
    {
        reply answer;
        answer.digest = "digest";
        answer.position = position;
        answer.state = after;
        return answer;
    }
    static reply failure(reply_code code, transaction_state after = transaction_state::Idle)
    {
        reply answer;
        answer.code = code;
        answer.state = after;
        return answer;
    }

    /// Answers the oldest command of a link, and with it the confirmation behind a begin.
    void answer(link_id link, const reply &response)
    {
        onMemberAnswer(state, link, response, now);
        const auto found = state.links.find(link);
        const bool isConfirmed =
                found != state.links.end() && !found->second.expected.empty()
                && found->second.expected.front().role == answer_role::Confirmation;
        if (isConfirmed)
            onMemberAnswer(state, link, confirmation(response), now);
    }

    /// @return the reply to the confirmation behind a begin that was answered so
    static reply confirmation(const reply &begun)
    {
        reply result;
        result.digest = "-";
        result.state = begun.state;
        result.position = begun.position;
        return result;
    }

    /// Answers Startup successfully on every link that is being opened.
    void acceptLinks()
    {
        for (bool again = true; again;) {
            again = false;
            for (const auto &[id, link] : state.links) {
                if (link.state != link_state::Connecting)
                    continue;
                answer(id, reply{});
                again = true;
                break;
            }
        }
    }

    /// @return the first link in state Busy that is not a control link; 0: none
    link_id busyLink() const
    {
        for (const auto &[id, link] : state.links) {
            if (link.state == link_state::Busy && !link.control)
                return id;
        }
        return 0;
    }

    std::string memberOf(link_id id) const
    {
        const auto found = state.links.find(id);
        return found == state.links.end() ? std::string() : found->second.member;
    }

    /// Makes the primary prove its leadership and position by answering a wrapped read.
    void provePrimary(core::log_position position)
    {
        const session_id id = openSession("current");
        sendRead(id);
        acceptLinks();
        const link_id link = busyLink();
        answer(link, success(position, transaction_state::Open));
        answer(link, success(position, transaction_state::Open));
        answer(link, success(position));
        onCallerDisconnected(state, id, now);
        takeActions();
    }

    /// @return the answers to a session's statements in these actions
    static std::vector<reply> answersTo(session_id id, const std::vector<action> &from)
    {
        std::vector<reply> result;
        for (const auto &each : actionsOf<send_to_caller>(from)) {
            if (each.session == id && !each.opens)
                result.push_back(each.answer);
        }
        return result;
    }

    static std::vector<upstream_command> commandsOf(const std::vector<action> &from)
    {
        std::vector<upstream_command> result;
        for (const auto &each : actionsOf<send_to_member>(from))
            result.insert(result.end(), each.commands.begin(), each.commands.end());
        return result;
    }
};

} // namespace fuchsiagw::proxy
