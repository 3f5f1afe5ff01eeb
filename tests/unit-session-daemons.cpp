/// @file
/// @brief Tests of the session engine among other daemons: parts of the limits, relays, promotions,
/// news of peers.

#include "proxy-fixture.hpp"

#include <fuchsiagw/detail/engine_steps.hpp>
#include <fuchsiagw/proxy/manifest_sync.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using fuchsiagw::core::log_position;

namespace {

/// Applies a manifest that limits the only workspace to a rate and a burst.
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

/// Puts the service into a promotion attempt, without a known primary, that waits for its token.
void startPromotionAttempt(proxy_fixture &fixture)
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
    service.promotion.phaseDeadline = fixture.now + milliseconds(1500);
}

/// Answers the oldest outstanding command on every control link.
/// @param paused term for which the members report that they have paused receiving; 0: none
void answerControlCommands(proxy_fixture &fixture, fuchsiagw::core::term_number paused,
                           bool m1Leads = false)
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

TEST_GROUP(session_daemons)
{
    proxy_fixture fixture;
};

// Guards against losing an acknowledged commit in a promotion after a network partition between
// zones. If the new primary is chosen by positions that replicas reported while they still
// received, a commit acknowledged after a report may be missing in the promoted log.
TEST(session_daemons, promotionIgnoresReportsOfReceivingMembers)
{
    startPromotionAttempt(fixture);
    onTokenAcquired(fixture.state, proxy_fixture::service, 7, fixture.now);
    answerControlCommands(fixture, 0);
    fixture.advanceTime(milliseconds(100));
    answerControlCommands(fixture, 0);
    CHECK(fixture.takeOrders().empty());
    for (int i = 0; i < 3; ++i) {
        fixture.advanceTime(milliseconds(50));
        answerControlCommands(fixture, 2);
    }
    CHECK_EQUAL(1U, fixture.takeOrders().size());
}

// Guards against two daemons that use the same part of a limit, which exceeds the limit. This
// happens if a relay that stops lending connections is also replaced as home of the quotas.
TEST(session_daemons, relayThatStopsLendingStaysHome)
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

// Guards against two daemons that use the same part of a limit after one of them has joined. Some
// daemons already ask the new daemon for tokens while its claim is not registered yet, and the new
// daemon still asks the previous home. In one run, 31 operations were admitted in a second for a
// workspace with 15.
TEST(session_daemons, joiningDaemonDoesNotUseUnclaimedPart)
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
        LONGS_EQUAL(0, fixture.state.quota.workspaces.at("house").heldPart);
    }
    peer_state own = peerIn("node-1", "north");
    own.claimed = wholeLimit / 2;
    onInstances(fixture.state, { own, other }, fixture.now);
    LONGS_EQUAL(wholeLimit / 2, fixture.state.quota.workspaces.at("house").heldPart);
}

// Guards against needless refusals after many daemons restart at once, and against using a part
// that another daemon still uses. A restarted daemon must use its part as soon as the daemons of
// its zone have confirmed that they do not use it. Waiting longer refused 401 operations instead of
// 60 in the two seconds after a power failure.
TEST(session_daemons, restartedDaemonUsesPartAfterRecall)
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
    answer.recall = 4; // incarnation of the previous process
    onPeerMessage(fixture.state, answer, fixture.now);
    LONGS_EQUAL(0, quota.heldPart);
    answer.recall = 5;
    onPeerMessage(fixture.state, answer, fixture.now);
    LONGS_EQUAL(wholeLimit / 3, quota.heldPart);
}

// Guards against a home that keeps using a borrowed part after the owner of the part has restarted
// and uses the part itself; also if a grant from before the restart arrives late.
TEST(session_daemons, homeDropsPartOfRestartedDaemon)
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
    LONGS_EQUAL(wholeLimit / 2, quota.heldPart);
    fixture.advanceTime(milliseconds(10));
    peer_message recall;
    recall.kind = peer_message_kind::PartRecall;
    recall.from = "node-2";
    recall.recall = 8;
    fixture.takeActions();
    onPeerMessage(fixture.state, recall, fixture.now);
    LONGS_EQUAL(0, quota.heldPart);
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(8U, sent[0].message.recall);
    onPeerMessage(fixture.state, grant, fixture.now);
    LONGS_EQUAL(0, quota.heldPart);
}

// Guards against a part that no daemon uses. The home that requests the part gets it, unless this
// daemon currently avoids that home and requests tokens from another one, which would have none.
TEST(session_daemons, partIsLentToHomeInUse)
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
    LONGS_EQUAL(wholeLimit / 2, quota.heldPart);
    fixture.advanceTime(milliseconds(110));
    fixture.takeActions();
    onPeerMessage(fixture.state, request, fixture.now);
    LONGS_EQUAL(0, quota.heldPart);
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(1U, sent[0].message.parts.size());
    LONGS_EQUAL(wholeLimit / 2, sent[0].message.parts[0].part);
}

// Guards against a cached relay of a member that is still used after the relay has left, while it
// is avoided, or after a daemon that ranks before it has joined.
TEST(session_daemons, relayFollowsListOfDaemons)
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

// Guards against an answer about an earlier attempt, delayed on its way, that decides a later one:
// it tells what a peer could reach then.
TEST(session_daemons, lateReachabilityAnswerIsNotCounted)
{
    onInstances(fixture.state, { peerIn("node-2", "north") }, fixture.now);
    fixture.setMembers({ proxy_fixture::member("m1", false), proxy_fixture::member("m2", false),
                         proxy_fixture::member("m3", false) });
    service_state &service = fixture.state.services.at(proxy_fixture::service);
    service.leader.clear();
    std::vector<peer_message> questions;
    for (int i = 0; i < 1'000 && questions.empty(); ++i) {
        fixture.advanceTime(milliseconds(10));
        for (const auto &each : proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions())) {
            if (each.message.kind == peer_message_kind::ReachabilityRequest)
                questions.push_back(each.message);
        }
    }
    CHECK_EQUAL(1U, questions.size());
    peer_message answer = questions[0];
    answer.kind = peer_message_kind::ReachabilityAnswer;
    answer.from = "node-2";
    answer.amount = 1;
    peer_message late = answer;
    late.askedAtUs -= 2'000'000;
    onPeerMessage(fixture.state, late, fixture.now);
    CHECK_EQUAL(0U, service.promotion.peersReaching.size());
    onPeerMessage(fixture.state, answer, fixture.now);
    CHECK_EQUAL(1U, service.promotion.peersReaching.size());
    peer_message asked = questions[0];
    asked.from = "node-2";
    onPeerMessage(fixture.state, asked, fixture.now);
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    LONGS_EQUAL(asked.askedAtUs, sent.at(sent.size() - 1).message.askedAtUs);
}

// Guards against calls to the store that can't succeed. Many daemons detect the loss of a primary
// at the same time, and while one of them holds the fencing token no other can acquire one.
TEST(session_daemons, tokenHeldElsewhereDelaysNextAttempt)
{
    startPromotionAttempt(fixture);
    onTokenHeldElsewhere(fixture.state, proxy_fixture::service, fixture.now + milliseconds(2'500),
                         fixture.now);
    fixture.takeActions();
    fixture.advanceTime(milliseconds(2'490));
    CHECK(proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty());
    fixture.advanceTime(milliseconds(2'000));
    CHECK_FALSE(proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty());
}

// Guards against traffic between zones that grows with the number of daemons in other zones.
TEST(session_daemons, mostExchangesStayInOwnZone)
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

// Guards against refusing an operation within the rate limit while another zone has a free token.
// The home must ask the other zones before it answers, and pass the token to the daemon that asked.
TEST(session_daemons, homeAsksOtherZonesBeforeItRefuses)
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
    // If no other zone has a token, the home answers within 40 ms with a grant of zero tokens.
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

// Guards against exceeding a limit at start: a daemon that has not read the list of daemons yet
// must not assume that the whole limit belongs to it.
TEST(session_daemons, limitsAreUnusedUntilDaemonsAreKnown)
{
    limitWorkspace(fixture, 10, 10);
    fixture.advanceTime(milliseconds(1000));
    CHECK_FALSE(admit(fixture.state.quota.workspaces.at("house"), fixture.now));
}

// Guards against promoting a second primary. A daemon that can't reach the primary starts an
// attempt and must end it when a member reports that it is the leader.
TEST(session_daemons, promotionEndsWhenMemberLeads)
{
    startPromotionAttempt(fixture);
    onTokenAcquired(fixture.state, proxy_fixture::service, 7, fixture.now);
    answerControlCommands(fixture, 0, true);
    service_state &service = fixture.state.services.at(proxy_fixture::service);
    CHECK(service.promotion.phase == promotion_phase::None);
    STRCMP_EQUAL("m1", service.leader.c_str());
    CHECK(fixture.takeOrders().empty());
}

// Guards against a daemon that keeps an old manifest, and accepts revoked keys, because its change
// feed is connected but delivers nothing. A newer version at a peer must trigger a read.
TEST(session_daemons, newerManifestAtPeerTriggersRead)
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

// Guards against all daemons, or none, reading the store at short intervals.
TEST(session_daemons, fewDaemonsPollStore)
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
        constexpr std::chrono::seconds limit{ 5 };
        const std::size_t rank = storeReaderRank(each.state);
        watching += proofLifetime(limit, rank, nodes.size()) < limit / 2 ? 1 : 0;
    }
    CHECK_EQUAL(3, watching);
}

// Guards against pausing members while the operator has disabled promotions, so that no promotion
// may follow.
TEST(session_daemons, disabledPromotionPausesNoMember)
{
    startPromotionAttempt(fixture);
    fixture.takeActions();
    onPromotionsDisabled(fixture.state, proxy_fixture::service, fixture.now);
    fixture.advanceTime(milliseconds(4'900));
    const std::vector<action> done = fixture.takeActions();
    CHECK(proxy_fixture::actionsOf<acquire_fencing_token>(done).empty());
    CHECK(proxy_fixture::actionsOf<record_open_orders>(done).empty());
    CHECK(proxy_fixture::actionsOf<order_promotion>(done).empty());
    for (const send_to_member &each : proxy_fixture::actionsOf<send_to_member>(done)) {
        for (const upstream_command &command : each.commands)
            CHECK(command.kind != command_kind::PauseReceiving
                  && command.kind != command_kind::StepDown);
    }
    // The daemon asks again later, so that enabling promotions needs no restart.
    fixture.advanceTime(milliseconds(2'000));
    CHECK_FALSE(proxy_fixture::actionsOf<acquire_fencing_token>(fixture.takeActions()).empty());
}

// Guards against acting under an expired lease: the store granted the token, but its answer arrived
// after the lease had ended.
TEST(session_daemons, lateTokenIsNotUsed)
{
    startPromotionAttempt(fixture);
    fixture.now += milliseconds(2800);
    onTokenAcquired(fixture.state, proxy_fixture::service, 7, fixture.now);
    CHECK(fixture.state.services.at(proxy_fixture::service).promotion.phase
          == promotion_phase::None);
}
