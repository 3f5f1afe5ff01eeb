/// @file
/// @brief Tests of the session engine: placement, transactions, lost answers, refusals.

#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using fuchsiagw::core::log_position;

namespace {

int asInt(reply_code code)
{
    return static_cast<int>(code);
}

int asInt(transaction_state value)
{
    return static_cast<int>(value);
}

/// Gives the only workspace a rate and a burst.
void limitWorkspace(proxy_fixture &fixture, double ratePerSecond, double burst)
{
    manifest limited = proxy_fixture::makeManifest(2);
    limited.workspaces[0].ratePerSecond = ratePerSecond;
    limited.workspaces[0].burst = burst;
    fixture.applyManifest(limited);
}

peer_state peerIn(const std::string &node, const std::string &zone)
{
    peer_state peer;
    peer.node = node;
    peer.zone = zone;
    return peer;
}

peer_message loanRequestFrom(const std::string &node)
{
    peer_message request;
    request.kind = peer_message_kind::LoanRequest;
    request.from = node;
    request.subject = "house";
    request.amount = fuchsiagw::core::oneToken;
    return request;
}

} // namespace

TEST_GROUP(session_engine)
{
    proxy_fixture fixture;
};

// Guards against a read on a current route from a member that has lost the lead: a plain read
// succeeds there, a read inside a plain transaction does not.
TEST(session_engine, currentReadRunsInsideATransactionAtThePrimary)
{
    const session_id id = fixture.openSession("current");
    fixture.sendRead(id);
    fixture.acceptLinks();
    const auto sent = proxy_fixture::commandsOf(fixture.takeActions());
    CHECK_EQUAL(4U, sent.size());
    CHECK(sent[1].kind == command_kind::Begin);
    CHECK(sent[2].kind == command_kind::Forward);
    CHECK(sent[3].kind == command_kind::Rollback);
    STRCMP_EQUAL("m1", fixture.memberOf(fixture.busyLink()).c_str());
}

// Guards against delivering the rows of such a read when the begin was refused.
TEST(session_engine, readBehindARefusedBeginIsNotDelivered)
{
    const session_id id = fixture.openSession("current");
    fixture.sendRead(id);
    fixture.acceptLinks();
    fixture.takeActions();
    const link_id link = fixture.busyLink();
    fixture.answer(link, proxy_fixture::failure(reply_code::ReadOnly));
    fixture.answer(link, proxy_fixture::success({ 1, 5 }));
    CHECK(proxy_fixture::answersTo(id, fixture.takeActions()).empty());
}

// Guards against a stale read: a replica must hold the primary's position from inside the bound.
TEST(session_engine, boundedReadDemandsAPositionInsideTheBound)
{
    fixture.provePrimary({ 1, 7 });
    const session_id id = fixture.openSession("bounded");
    fixture.sendRead(id);
    fixture.acceptLinks();
    const auto sent = proxy_fixture::commandsOf(fixture.takeActions());
    CHECK(sent.back().after.has_value());
    CHECK(*sent.back().after == (log_position{ 1, 7 }));
}

// Guards against a position that is older than the bound allows.
TEST(session_engine, boundedReadGoesToThePrimaryWithoutAFreshPosition)
{
    fixture.provePrimary({ 1, 7 });
    fixture.advanceTime(milliseconds(1500));
    fixture.takeActions();
    const session_id id = fixture.openSession("bounded");
    fixture.sendRead(id);
    fixture.acceptLinks();
    STRCMP_EQUAL("m1", fixture.memberOf(fixture.busyLink()).c_str());
    CHECK_FALSE(proxy_fixture::commandsOf(fixture.takeActions()).back().after.has_value());
}

// Guards against a session that does not see its own write on a replica.
TEST(session_engine, ownWriteIsDemandedFromReplicas)
{
    const session_id id = fixture.openSession("own");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, 9 }));
    fixture.takeActions();
    fixture.sendRead(id);
    fixture.acceptLinks();
    const auto sent = proxy_fixture::commandsOf(fixture.takeActions());
    CHECK(sent.back().after && *sent.back().after >= (log_position{ 1, 9 }));
}

// Guards against TERM.0 as the position of a primary that has just been promoted: numbers go on
// over terms, so a replica that lagged accepted the demand and served a stale read.
TEST(session_engine, positionKeepsItsOwnTermAfterAPromotion)
{
    fixture.provePrimary({ 1, 159 });
    service_state &service = fixture.state.services.at(proxy_fixture::service);
    peer_message announcement;
    announcement.kind = peer_message_kind::LeaderAnnouncement;
    announcement.from = "node-2";
    leader_report report;
    report.service = proxy_fixture::service;
    report.member = "m2";
    report.term = 2;
    announcement.leaders.push_back(report);
    onPeerMessage(fixture.state, announcement, fixture.now);
    STRCMP_EQUAL("m2", service.leader.c_str());
    CHECK(service.positions.samples.empty());
    fixture.provePrimary({ 1, 159 });
    CHECK(newestOf(service.positions)->position == (log_position{ 1, 159 }));
    LONGS_EQUAL(2, service.term);
}

// Guards against a statement of a transaction that runs outside of it because the begin was
// refused: the statement is sent only after the member has begun.
TEST(session_engine, firstStatementOfATransactionWaitsForItsBegin)
{
    const session_id id = fixture.openSession("current");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    fixture.sendRead(id);
    fixture.acceptLinks();
    auto sent = proxy_fixture::commandsOf(fixture.takeActions());
    CHECK(sent.back().kind == command_kind::Begin);
    fixture.answer(fixture.busyLink(), proxy_fixture::success({ 1, 3 }, transaction_state::Open));
    sent = proxy_fixture::commandsOf(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK(sent.back().kind == command_kind::Forward);
}

// Guards against a second run of a write whose answer was lost.
TEST(session_engine, lostAnswerToAWriteIsUncertainAndNotRepeated)
{
    const session_id id = fixture.openSession("own");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    fixture.takeActions();
    onLinkClosed(fixture.state, fixture.busyLink(), fixture.now);
    const auto actions = fixture.takeActions();
    const auto answers = proxy_fixture::answersTo(id, actions);
    CHECK_EQUAL(1U, answers.size());
    LONGS_EQUAL(asInt(reply_code::OutcomeUnknown), asInt(answers[0].code));
    CHECK(proxy_fixture::commandsOf(actions).empty());
}

// Guards against a promise that nothing is kept after a commit was sent.
TEST(session_engine, lostAnswerToACommitIsUncertain)
{
    const session_id id = fixture.openSession("current");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    const link_id link = fixture.busyLink();
    fixture.answer(link, proxy_fixture::success({ 1, 3 }, transaction_state::Open));
    fixture.answer(link, proxy_fixture::success({ 1, 3 }, transaction_state::Open));
    fixture.sendStatement(id, statement_kind::Commit, "COMMIT");
    fixture.takeActions();
    onLinkClosed(fixture.state, link, fixture.now);
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    LONGS_EQUAL(asInt(reply_code::OutcomeUnknown), asInt(answers[0].code));
    LONGS_EQUAL(asInt(transaction_state::Idle), asInt(answers[0].state));
}

// Guards against a transaction that goes on after its connection ended.
TEST(session_engine, lostConnectionAbortsTheTransaction)
{
    const session_id id = fixture.openSession("current");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    const link_id link = fixture.busyLink();
    fixture.answer(link, proxy_fixture::success({ 1, 3 }, transaction_state::Open));
    fixture.answer(link, proxy_fixture::success({ 1, 3 }, transaction_state::Open));
    onLinkClosed(fixture.state, link, fixture.now);
    fixture.takeActions();
    fixture.sendRead(id);
    auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    LONGS_EQUAL(asInt(reply_code::Aborted), asInt(answers.at(0).code));
    LONGS_EQUAL(asInt(transaction_state::Failed), asInt(answers.at(0).state));
    fixture.sendRead(id);
    LONGS_EQUAL(asInt(reply_code::Malformed),
                asInt(proxy_fixture::answersTo(id, fixture.takeActions()).at(0).code));
    fixture.sendStatement(id, statement_kind::Rollback, "ROLLBACK");
    answers = proxy_fixture::answersTo(id, fixture.takeActions());
    LONGS_EQUAL(asInt(reply_code::Success), asInt(answers.at(0).code));
    LONGS_EQUAL(asInt(transaction_state::Idle), asInt(answers.at(0).state));
}

// Guards against values of one session that another one sees on a reused connection.
TEST(session_engine, reusedConnectionGetsTheValuesOfItsSession)
{
    const session_id first = fixture.openSession("current");
    fixture.sendStatement(first, statement_kind::SetValue, "SET a 1", "a", "1");
    fixture.sendRead(first);
    fixture.acceptLinks();
    const link_id link = fixture.busyLink();
    // Another session waits meanwhile, as the member takes no further connection.
    fixture.state.members.at("m1").connectionLimitUntil = fixture.now + std::chrono::seconds(1);
    const session_id second = fixture.openSession("current");
    fixture.sendRead(second);
    fixture.takeActions();
    fixture.answer(link, proxy_fixture::success({ 1, 1 })); // the value
    fixture.answer(link, proxy_fixture::success({ 1, 1 }, transaction_state::Open));
    fixture.answer(link, proxy_fixture::success({ 1, 1 }, transaction_state::Open));
    fixture.takeActions();
    fixture.answer(link, proxy_fixture::success({ 1, 1 }));
    const auto sent = proxy_fixture::commandsOf(fixture.takeActions());
    CHECK(sent.at(0).kind == command_kind::Discard);
}

// Guards against an answer to an earlier request that is given to a later one.
TEST(session_engine, lateAnswerIsDropped)
{
    const session_id id = fixture.openSession("own");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    const link_id link = fixture.busyLink();
    fixture.takeActions();
    fixture.advanceTime(milliseconds(810));
    auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    LONGS_EQUAL(asInt(reply_code::TimedOut), asInt(answers[0].code));
    fixture.answer(link, proxy_fixture::success({ 1, 9 }));
    CHECK(proxy_fixture::answersTo(id, fixture.takeActions()).empty());
}

// Guards against a key that goes on working on an open session after it was withdrawn.
TEST(session_engine, withdrawnKeyEndsOpenSessions)
{
    const session_id id = fixture.openSession("current");
    manifest next = proxy_fixture::makeManifest(2);
    next.workspaceByKey.clear();
    fixture.applyManifest(next);
    fixture.takeActions();
    fixture.sendRead(id);
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(asInt(reply_code::Unauthorized),
                asInt(proxy_fixture::answersTo(id, actions).at(0).code));
    CHECK_EQUAL(1U, proxy_fixture::actionsOf<close_caller>(actions).size());
}

// Guards against a manifest that goes back to an older version.
TEST(session_engine, olderManifestIsIgnored)
{
    fixture.applyManifest(proxy_fixture::makeManifest(5));
    manifest old = proxy_fixture::makeManifest(4);
    old.routes.clear();
    fixture.applyManifest(old);
    LONGS_EQUAL(5, fixture.state.config->version);
    CHECK_FALSE(fixture.state.config->routes.empty());
}

// Guards against new work for a member that has reported that it leaves.
TEST(session_engine, drainingMemberGetsNoNewWork)
{
    fixture.provePrimary({ 1, 7 });
    auto leaving = proxy_fixture::member("m2", false);
    leaving.draining = true;
    auto other = proxy_fixture::member("m3", false);
    other.draining = true;
    fixture.setMembers({ proxy_fixture::member("m1", true), leaving, other });
    for (int i = 0; i < 10; ++i) {
        const session_id id = fixture.openSession("bounded");
        fixture.sendRead(id);
    }
    for (const auto &[id, link] : fixture.state.links)
        STRCMP_EQUAL("m1", link.member.c_str());
}

// Guards against dropping every member when their entries lapsed while the store was away.
TEST(session_engine, missingMemberIsKeptUntilItHadTimeToReturn)
{
    fixture.setMembers({ proxy_fixture::member("m1", true) });
    fixture.advanceTime(milliseconds(2000));
    CHECK_TRUE(fixture.state.members.at("m2").listed);
    fixture.advanceTime(milliseconds(1000));
    CHECK_FALSE(fixture.state.members.at("m2").listed);
    CHECK_TRUE(fixture.state.members.at("m1").listed);
}

// Guards against a storm of openings when many statements wait at once; how many of them reach the
// member is bounded by its keeper, see unit-relay-pool.
TEST(session_engine, burstOfStatementsAsksForFewConnections)
{
    for (int i = 0; i < 50; ++i)
        fixture.sendWrite(fixture.openSession("own"));
    std::size_t connecting = 0;
    for (const auto &[id, link] : fixture.state.links)
        connecting += link.state == link_state::Connecting ? 1 : 0;
    CHECK_TRUE(connecting <= 8);
    CHECK_TRUE(connecting > 0);
}

// Guards against holding a statement until its timeout when no member can take it.
TEST(session_engine, statementWithoutPrimaryIsRefusedEarlyAndNeverRan)
{
    auto replica = proxy_fixture::member("m1", false);
    fixture.setMembers(
            { replica, proxy_fixture::member("m2", false), proxy_fixture::member("m3", false) });
    fixture.state.services.at(proxy_fixture::service).leader.clear();
    fixture.takeActions();
    const session_id id = fixture.openSession("own");
    fixture.sendWrite(id);
    fixture.advanceTime(milliseconds(60));
    const auto answers = proxy_fixture::answersTo(id, fixture.takeActions());
    CHECK_EQUAL(1U, answers.size());
    LONGS_EQUAL(asInt(reply_code::Busy), asInt(answers[0].code));
    CHECK(answers[0].message.find("retry-after-ms=") != std::string::npos);
}

// Guards against a member that stays shut out because it gets no work that could prove it alive.
TEST(session_engine, silentMemberIsProbedAndReturns)
{
    const session_id id = fixture.openSession("own");
    fixture.sendWrite(id);
    fixture.acceptLinks();
    fixture.takeActions();
    fixture.advanceTime(milliseconds(790));
    CHECK(fixture.state.members.at("m1").silentSince != fuchsiagw::core::noDeadline);
    fixture.acceptLinks();
    CHECK(fixture.state.members.at("m1").silentSince == fuchsiagw::core::noDeadline);
}

// Guards against cutting a transaction before half of the grace period, and against keeping it
// longer.
TEST(session_engine, stopLeavesTransactionsHalfOfTheGracePeriod)
{
    const session_id id = fixture.openSession("current");
    fixture.sendStatement(id, statement_kind::Begin, "BEGIN");
    onStop(fixture.state, fixture.now);
    CHECK_FALSE(isReady(fixture.state));
    fixture.advanceTime(milliseconds(2900));
    CHECK_FALSE(fixture.state.sessions.at(id).transaction->lost);
    fixture.advanceTime(milliseconds(200));
    CHECK_TRUE(fixture.state.sessions.at(id).transaction->lost);
}

// Guards against an operation that starts shortly before the process ends and is cut by its end.
TEST(session_engine, operationAtTheEndOfAStopIsRefusedAndItsSessionClosed)
{
    const session_id busy = fixture.openSession("current");
    const session_id resting = fixture.openSession("current");
    onStop(fixture.state, fixture.now);
    fixture.sendStatement(busy, statement_kind::Begin, "BEGIN");
    fixture.advanceTime(milliseconds(4100));
    CHECK_EQUAL(0U, fixture.state.sessions.count(resting));
    fixture.sendStatement(busy, statement_kind::Rollback, "ROLLBACK");
    fixture.takeActions();
    fixture.sendRead(busy);
    const auto actions = fixture.takeActions();
    LONGS_EQUAL(asInt(reply_code::Aborted),
                asInt(proxy_fixture::answersTo(busy, actions).at(0).code));
    CHECK_EQUAL(1U, proxy_fixture::actionsOf<close_caller>(actions).size());
    CHECK_EQUAL(0U, proxy_fixture::commandsOf(actions).size());
    const session_id late = ++fixture.nextSession;
    CHECK_FALSE(onSessionOpened(fixture.state, late, "current", "key", fixture.now));
}

namespace {

/// Brings an attempt to promote without a known primary to the point where replicas are fenced.
void startFencing(proxy_fixture &fixture)
{
    service_state &service = fixture.state.services.at(proxy_fixture::service);
    fixture.setMembers({ proxy_fixture::member("m1", false), proxy_fixture::member("m2", false),
                         proxy_fixture::member("m3", false) });
    service.leader.clear();
    service.promotion = {};
    service.promotion.cause = promotion_cause::NoPrimary;
    service.promotion.phase = promotion_phase::DrawingToken;
    service.promotion.startedAt = fixture.now;
    service.promotion.leaseUntil = fixture.now + milliseconds(2700);
    service.promotion.phaseUntil = fixture.now + milliseconds(1500);
}

/// Lets every member answer its oldest order.
void reportAll(proxy_fixture &fixture, fuchsiagw::core::term_number paused, bool m1Leads = false)
{
    fixture.acceptLinks();
    std::vector<std::pair<link_id, std::string>> control;
    for (const auto &[id, link] : fixture.state.links) {
        if (link.control && !link.expected.empty())
            control.emplace_back(id, link.member);
    }
    for (const auto &[id, member] : control) {
        reply answer = proxy_fixture::success({ 1, 5 });
        answer.rows = { "row" };
        answer.status = member_status{ m1Leads && member == "m1", 1, { 1, 5 }, paused };
        fixture.answer(id, answer);
    }
}

} // namespace

// Guards against a promotion by what members reported while they still received: a commit that was
// acknowledged after the report was missing in the promoted log (LOST, hunt day 2919-27 of
// rcu-alquiler, after a zone cut).
TEST(session_engine, reportsOfMembersThatReceiveDoNotDecideAPromotion)
{
    startFencing(fixture);
    onTokenAcquired(fixture.state, proxy_fixture::service, 7, fixture.now);
    reportAll(fixture, 0);
    fixture.advanceTime(milliseconds(100));
    reportAll(fixture, 0);
    CHECK(proxy_fixture::actionsOf<order_promotion>(fixture.takeActions()).empty());
    for (int i = 0; i < 3; ++i) {
        fixture.advanceTime(milliseconds(50));
        reportAll(fixture, 2);
    }
    CHECK_EQUAL(1U, proxy_fixture::actionsOf<order_promotion>(fixture.takeActions()).size());
}

// Guards against two daemons that fill the same part of a limit: one that lends no connections any
// more stays the home of the limits (QUOTA on mesa-compartida, mix day, seed 800977988572).
TEST(session_engine, keeperThatStopsLendingStaysHome)
{
    limitWorkspace(fixture, 10, 10);
    const peer_state other = peerIn("node-2", "north");
    const peer_state third = peerIn("node-3", "north");
    onInstances(fixture.state, { other, third }, fixture.now);
    const std::string home = fixture.state.quota.workspaces.at("house").homes.front();
    for (auto &[name, peer] : fixture.state.peers)
        peer.relayAvoidedUntil = fixture.now + std::chrono::seconds(3);
    fixture.takeActions();
    fixture.sendWrite(fixture.openSession("own"));
    const auto asked = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    for (const send_to_peer &each : asked)
        STRCMP_EQUAL(home.c_str(), each.peer.c_str());
    CHECK_TRUE(home == "node-1" || !asked.empty());
}

// Guards against two daemons that fill the same part of a limit: one whose claim nobody knows yet
// and that is asked by those who know of it, and the home before it, which it asks itself
// (rate_limit in the soak, seed 1, in the first seconds: 31 operations in a second of a workspace
// with 15).
TEST(session_engine, daemonThatHasJustJoinedDoesNotFillWhenAsked)
{
    limitWorkspace(fixture, 10, 10);
    peer_state other = peerIn("node-2", "north");
    other.claimed = wholeLimit / 2;
    onInstances(fixture.state, { other }, fixture.now);
    const auto registered = proxy_fixture::actionsOf<claim_part>(fixture.takeActions());
    CHECK_EQUAL(1U, registered.size());
    LONGS_EQUAL(0, registered[0].part);
    const peer_message request = loanRequestFrom("node-2");
    for (int i = 0; i < 9; ++i) {
        onPeerMessage(fixture.state, request, fixture.now);
        fixture.advanceTime(milliseconds(500));
        LONGS_EQUAL(0, fixture.state.quota.workspaces.at("house").held);
    }
    peer_state own = peerIn("node-1", "north");
    own.claimed = wholeLimit / 2;
    onInstances(fixture.state, { own, other }, fixture.now);
    LONGS_EQUAL(wholeLimit / 2, fixture.state.quota.workspaces.at("house").held);
}

// Guards against refusals after a restart of many daemons: one that starts waits for its part no
// longer than it takes its zone to say that nobody uses it (trouble-2 of mesa-compartida, 401
// instead of 60 operations refused in the two seconds after a loss of power); and against a part
// that is used before that.
TEST(session_engine, startedDaemonUsesItsPartOnceNobodyElseDoes)
{
    limitWorkspace(fixture, 10, 10);
    fixture.state.incarnation = 5;
    peer_state own = peerIn("node-1", "north");
    own.claimed = wholeLimit / 3;
    own.incarnation = 5;
    onInstances(fixture.state, { own, peerIn("node-2", "north"), peerIn("node-3", "south") },
                fixture.now);
    const workspace_quota &quota = fixture.state.quota.workspaces.at("house");
    const auto asked = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, asked.size());
    STRCMP_EQUAL("node-2", asked[0].peer.c_str());
    CHECK(asked[0].message.kind == peer_message_kind::PartRecall);
    peer_message answer;
    answer.kind = peer_message_kind::PartRecallAnswer;
    answer.from = "node-2";
    answer.recall = 4; // of the process before
    onPeerMessage(fixture.state, answer, fixture.now);
    LONGS_EQUAL(0, quota.held);
    answer.recall = 5;
    onPeerMessage(fixture.state, answer, fixture.now);
    LONGS_EQUAL(wholeLimit / 3, quota.held);
}

// Guards against a part that a home uses although its owner has started again and uses it too.
TEST(session_engine, homeDropsThePartOfADaemonThatStartedAgain)
{
    limitWorkspace(fixture, 10, 10);
    onInstances(fixture.state, { peerIn("node-2", "north") }, fixture.now);
    const workspace_quota &quota = fixture.state.quota.workspaces.at("house");
    peer_message grant;
    grant.kind = peer_message_kind::PartGrant;
    grant.from = "node-2";
    grant.askedAtUs = fixture.now.time_since_epoch().count();
    grant.parts = { { "house", wholeLimit / 2, 0 } };
    onPeerMessage(fixture.state, grant, fixture.now);
    LONGS_EQUAL(wholeLimit / 2, quota.held);
    fixture.advanceTime(milliseconds(10));
    peer_message recall;
    recall.kind = peer_message_kind::PartRecall;
    recall.from = "node-2";
    recall.recall = 8;
    fixture.takeActions();
    onPeerMessage(fixture.state, recall, fixture.now);
    LONGS_EQUAL(0, quota.held);
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(8U, sent[0].message.recall);
    onPeerMessage(fixture.state, grant, fixture.now);
    LONGS_EQUAL(0, quota.held);
}

// Guards against a part that nobody fills: the home that asks gets it, but not while tokens are
// asked of another one, who would have none.
TEST(session_engine, partIsLentToTheHomeThatAnswers)
{
    limitWorkspace(fixture, 10, 10);
    peer_state own = peerIn("node-1", "north");
    own.claimed = wholeLimit / 2;
    onInstances(fixture.state, { own, peerIn("node-2", "north") }, fixture.now);
    fixture.advanceTime(milliseconds(1'000));
    workspace_quota &quota = fixture.state.quota.workspaces.at("house");
    quota.homes = { "node-2", "node-1" };
    peer_message request = makeMessage(fixture.state, peer_message_kind::PartRequest);
    request.from = "node-2";
    request.workspaces = { "house", "unknown" };
    fixture.state.peers.at("node-2").homeAvoidedUntil = fixture.now + milliseconds(100);
    fixture.takeActions();
    onPeerMessage(fixture.state, request, fixture.now);
    LONGS_EQUAL(wholeLimit / 2, quota.held);
    fixture.advanceTime(milliseconds(110));
    fixture.takeActions();
    onPeerMessage(fixture.state, request, fixture.now);
    LONGS_EQUAL(0, quota.held);
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(1U, sent[0].message.parts.size());
    LONGS_EQUAL(wholeLimit / 2, sent[0].message.parts[0].part);
}

// Guards against a keeper that is remembered although it left, or although one joined that comes
// before it.
TEST(session_engine, keeperFollowsTheListOfDaemons)
{
    fixture.provePrimary({ 1, 5 });
    std::vector<peer_state> peers;
    for (int i = 0; i < 6; ++i) {
        peer_state peer;
        peer.node = "node-" + std::to_string(i + 2);
        peer.zone = "north";
        peers.push_back(peer);
    }
    member_state &member = fixture.state.members.at("m1");
    std::set<std::string> triedRelays;
    while (!peers.empty()) {
        onInstances(fixture.state, peers, fixture.now);
        const std::string relay = relayNodeFor(fixture.state, member, fixture.now);
        CHECK(relay == "node-1" || fixture.state.peers.contains(relay));
        CHECK(triedRelays.insert(relay).second);
        if (relay == "node-1")
            break;
        fixture.state.peers.at(relay).relayAvoidedUntil = fixture.now + milliseconds(500);
        CHECK(relayNodeFor(fixture.state, member, fixture.now) != relay);
        std::erase_if(peers, [&](const auto &each) { return each.node == relay; });
    }
}

// Guards against calls of the store that can't succeed: another daemon acts alone, and until its
// time is over nobody else gets a token (many daemons see the loss of a primary at once).
TEST(session_engine, tokenOfAnotherDaemonIsAwaited)
{
    startFencing(fixture);
    onTokenHeldElsewhere(fixture.state, proxy_fixture::service, fixture.now + milliseconds(2'500),
                         fixture.now);
    fixture.takeActions();
    fixture.advanceTime(milliseconds(2'490));
    CHECK(proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty());
    fixture.advanceTime(milliseconds(2'000));
    CHECK_FALSE(proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty());
}

// Guards against traffic between zones that grows with the number of daemons elsewhere.
TEST(session_engine, exchangesStayMostlyInTheOwnZone)
{
    std::vector<peer_state> peers;
    for (int i = 0; i < 40; ++i) {
        peer_state peer;
        peer.node = "node-" + std::to_string(i + 2);
        peer.zone = i % 4 == 0 ? "north" : "south";
        peers.push_back(peer);
    }
    onInstances(fixture.state, peers, fixture.now);
    fixture.takeActions();
    std::size_t near = 0;
    std::size_t far = 0;
    fixture.advanceTime(std::chrono::seconds(8));
    for (const send_to_peer &each : proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions())) {
        if (each.message.kind != peer_message_kind::Exchange)
            continue;
        CHECK(each.message.leaders.empty());
        ++(fixture.state.peers.at(each.peer).zone == "north" ? near : far);
    }
    CHECK(far >= 18 && far <= 22);
    CHECK_EQUAL(2 * far, near);
}

// Guards against reads that go on to a member which answers quickly that it failed: errors come
// sooner than rows, so the quickest member would get all of them (grey members of the grown sites).
TEST(session_engine, readsLeaveAMemberThatFailsPartOfThem)
{
    fixture.state.members.at("m2").answerUs = 2'000;
    fixture.state.members.at("m3").answerUs = 20'000;
    std::map<std::string, int> placed;
    for (int i = 0; i < 60; ++i) {
        fixture.provePrimary({ 1, 5 });
        const session_id id = fixture.openSession("bounded");
        fixture.sendRead(id);
        fixture.acceptLinks();
        const link_id link = fixture.busyLink();
        const std::string member = fixture.memberOf(link);
        ++placed[member];
        const bool fails = member == "m2" && i % 2 == 0;
        fixture.answer(link, fails ? proxy_fixture::failure(reply_code::Failed)
                                   : proxy_fixture::success({ 1, 5 }));
        onCallerDisconnected(fixture.state, id, fixture.now);
        fixture.advanceTime(milliseconds(20));
    }
    CHECK(placed["m3"] > placed["m2"]);
}

// Guards against a refusal inside the rate while another zone has a token to spare: the home asks
// for it before it answers, and what it gets goes to the daemon that asked.
TEST(session_engine, homeAsksOtherZonesBeforeItSaysThatNothingIsLeft)
{
    limitWorkspace(fixture, 0.01, 1);
    const peer_state near = peerIn("node-2", "north");
    const peer_state far = peerIn("node-3", "south");
    onInstances(fixture.state, { near, far }, fixture.now);
    const peer_message request = loanRequestFrom("node-2");
    fixture.takeActions();
    onPeerMessage(fixture.state, request, fixture.now);
    const auto asked = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, asked.size());
    STRCMP_EQUAL("node-3", asked[0].peer.c_str());
    peer_message grant;
    grant.kind = peer_message_kind::LoanGrant;
    grant.from = "node-3";
    grant.subject = "house";
    grant.betweenHomes = true;
    grant.amount = fuchsiagw::core::oneToken;
    onPeerMessage(fixture.state, grant, fixture.now + milliseconds(10));
    const auto given = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, given.size());
    STRCMP_EQUAL("node-2", given[0].peer.c_str());
    LONGS_EQUAL(fuchsiagw::core::oneToken, given[0].message.amount);
    // Without a token of another zone the answer comes soon as well.
    onPeerMessage(fixture.state, request, fixture.now + milliseconds(20));
    fixture.now += milliseconds(20);
    fixture.advanceTime(milliseconds(40));
    const auto answered = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK(std::any_of(answered.begin(), answered.end(), [](const send_to_peer &each) {
        return each.peer == "node-2" && each.message.kind == peer_message_kind::LoanGrant
               && each.message.amount == 0;
    }));
    CHECK_EQUAL(0U, fixture.state.waitingLoans);
}

// Guards against a daemon that takes itself for the only one until it has read the others.
TEST(session_engine, limitsAreNotFilledBeforeTheOthersAreKnown)
{
    limitWorkspace(fixture, 10, 10);
    fixture.advanceTime(milliseconds(1000));
    CHECK_FALSE(admit(fixture.state.quota.workspaces.at("house"), fixture.now));
}

// Guards against a promotion beside a primary that leads, by a daemon that was cut off from it.
TEST(session_engine, promotionEndsWhenAMemberLeads)
{
    startFencing(fixture);
    onTokenAcquired(fixture.state, proxy_fixture::service, 7, fixture.now);
    reportAll(fixture, 0, true);
    service_state &service = fixture.state.services.at(proxy_fixture::service);
    CHECK(service.promotion.phase == promotion_phase::None);
    STRCMP_EQUAL("m1", service.leader.c_str());
    CHECK(proxy_fixture::actionsOf<order_promotion>(fixture.takeActions()).empty());
}

// Guards against a daemon that goes on with an old manifest, and with withdrawn keys, because the
// connection that should bring the new one has fallen silent (keys of the soak, seed 8).
TEST(session_engine, peerWithANewerManifestMakesTheDaemonAskTheStore)
{
    peer_message announcement;
    announcement.kind = peer_message_kind::ExchangeAnswer;
    announcement.from = "node-2";
    announcement.manifestVersion = fixture.state.config->version;
    onPeerMessage(fixture.state, announcement, fixture.now);
    CHECK(proxy_fixture::actionsOf<refresh_manifest>(fixture.takeActions()).empty());
    ++announcement.manifestVersion;
    onPeerMessage(fixture.state, announcement, fixture.now);
    CHECK_EQUAL(1U, proxy_fixture::actionsOf<refresh_manifest>(fixture.takeActions()).size());
}

// Guards against every daemon, or none, asking the store at short intervals.
TEST(session_engine, fewDaemonsWatchTheStore)
{
    std::vector<std::string> nodes;
    for (int i = 0; i < 40; ++i)
        nodes.push_back("node-" + std::to_string(i));
    int watching = 0;
    for (const std::string &own : nodes) {
        proxy_fixture each;
        each.state.settings.node = own;
        std::vector<peer_state> peers;
        for (const std::string &other : nodes) {
            peer_state peer;
            peer.node = other;
            peers.push_back(peer);
        }
        onInstances(each.state, peers, each.now);
        watching += pollsStore(each.state) ? 1 : 0;
    }
    CHECK_EQUAL(3, watching);
}

// Guards against an automatic action while the operator has switched it off: members would be
// paused although no promotion may follow.
TEST(session_engine, switchedOffPromotionTouchesNoMember)
{
    startFencing(fixture);
    fixture.takeActions();
    onPromotionsDisabled(fixture.state, proxy_fixture::service, fixture.now);
    fixture.advanceTime(milliseconds(4'900));
    const std::vector<action> done = fixture.takeActions();
    CHECK(proxy_fixture::actionsOf<acquire_fencing_token>(done).empty());
    CHECK(proxy_fixture::actionsOf<order_promotion>(done).empty());
    for (const send_to_member &each : proxy_fixture::actionsOf<send_to_member>(done)) {
        for (const upstream_command &command : each.commands)
            CHECK(command.kind != command_kind::PauseReceiving
                  && command.kind != command_kind::StepDown);
    }
    // Asks again later, so that the switch works without a restart.
    fixture.advanceTime(milliseconds(2'000));
    CHECK_FALSE(proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty());
}

// Guards against acting under a lease of the store that has run out on the way of its answer.
TEST(session_engine, lateTokenIsNotUsed)
{
    startFencing(fixture);
    fixture.now += milliseconds(2800);
    onTokenAcquired(fixture.state, proxy_fixture::service, 7, fixture.now);
    CHECK(fixture.state.services.at(proxy_fixture::service).promotion.phase
          == promotion_phase::None);
}

// Guards against closing all sessions in one go at a stop: on a slow instance the last ones are
// closed so late that requests arrive meanwhile and get no answer (LOST, hunt day ca11-7 of
// rcu-alquiler-grown: 205 ms on an instance with 0.12 of a core).
TEST(session_engine, restingSessionsAreClosedAFewAtATime)
{
    constexpr int sessions = 400;
    for (int i = 0; i < sessions; ++i)
        fixture.openSession("own");
    fixture.takeActions();
    onStop(fixture.state, fixture.now);
    fixture.advanceTime(milliseconds(2'290));
    CHECK(proxy_fixture::actionsOf<close_caller>(fixture.takeActions()).empty());
    std::size_t closed = 0;
    for (int step = 0; step < 110; ++step) {
        fixture.advanceTime(milliseconds(10));
        const std::size_t now =
                proxy_fixture::actionsOf<close_caller>(fixture.takeActions()).size();
        CHECK(now <= sessions / 50 + 2);
        closed += now;
    }
    CHECK_EQUAL(static_cast<std::size_t>(sessions), closed);
}
