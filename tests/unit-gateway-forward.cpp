/// @file
/// @brief Tests of the gateway's answer after a forward that was sent but not answered.

#include <fuchsiagw/core/gateway.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

configuration makeConfiguration()
{
    configuration config;
    config.version = 1;
    config.groups[{ "g" }].members[{ "m" }] = { { "z" }, "m" };
    workspace_settings &workspace = config.workspaces[{ "w" }];
    workspace.rate = workspace.burst = 10;
    workspace.groups = { { "g" } };
    workspace.keys["key"] = key_state::Valid;
    return config;
}

} // namespace

TEST_GROUP(gateway_forward){};

// Guards against answering `not_run` when the first forward may have run and only the second one
// was refused. The caller would then send the write again under another idempotency key, and it
// could run twice.
TEST(gateway_forward, refusalAfterUnansweredForwardReportsUnknownOutcome)
{
    const time_point start{ 100s };
    random_engine random(1);
    gateway_actions actions;
    gateway state = makeGateway({ 1, { "a" }, { "z" } }, {}, start);
    gateway_turn turn{ state, start, random, actions };
    state.peers[{ "b" }] = { 2, { "z" }, "b", true, {} };
    state.isDraining = true; // the peer is the only owner
    applyConfiguration(turn, makeConfiguration());
    addPlatformProof(state.proof, 1, start);

    caller_request request;
    request.ticket = 7;
    request.key = "key";
    request.statement.group = { "g" };
    request.statement.kind = statement_kind::Write;
    request.statement.idempotencyKey = "once";
    request.statement.deadline = start + 10s;
    onCallerRequest(turn, request);
    CHECK_EQUAL(1, state.entries.size());
    const std::uint64_t handle = state.entries.begin()->first;
    applyActions(turn, limit_manager_actions{ admission_outcome{ handle, true } });
    CHECK_TRUE(state.entries.at(handle).forwardedTo.has_value());

    onForwardFailed(turn, handle, true);
    turn.now += 2s;
    advance(turn);
    CHECK_TRUE(state.entries.at(handle).forwardedTo.has_value());
    statement_answer refusal;
    refusal.error = error_kind::Overloaded;
    onForwardResult(turn, { "b" }, handle, refusal);

    CHECK_TRUE(state.entries.empty());
    const auto *reply = std::get_if<caller_reply>(&actions.back());
    CHECK_TRUE(reply != nullptr);
    CHECK_TRUE(reply->answer.error == error_kind::OutcomeUnknown);
}
