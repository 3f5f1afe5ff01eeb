/// @file
/// @brief Tests of refusals that rest on the manifest, and of its proofs between daemons.

#include "proxy-fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;

namespace {

constexpr std::chrono::seconds limit{ 5 };

peer_message answerOf(const proxy_fixture &fixture, std::uint64_t version, core::duration age)
{
    peer_message answer;
    answer.kind = peer_message_kind::ExchangeAnswer;
    answer.from = "node-2";
    answer.askedAtUs = fixture.now.time_since_epoch().count();
    answer.manifestVersion = version;
    answer.manifestAgeUs = age.count();
    return answer;
}

} // namespace

TEST_GROUP(manifest_proofs)
{
    proxy_fixture fixture;

    void setup() override
    {
        fixture.state.settings.configurationLimit = limit;
        onManifestChecked(fixture.state, fixture.now, false);
    }

    /// @return the answer to a caller that opens a session
    reply open(const std::string &database, const std::string &key)
    {
        onSessionOpened(fixture.state, ++fixture.nextSession, database, key, fixture.now);
        return proxy_fixture::actionsOf<send_to_caller>(fixture.takeActions()).at(0).answer;
    }

    static bool isTemporary(const reply &answer)
    {
        return answer.code == reply_code::Busy
               && answer.message.find("manifest_unproven") != std::string::npos;
    }
};

// Guards against a caller that is told for good that its database or key does not exist, by a
// daemon that knows of a newer manifest.
TEST(manifest_proofs, unknownNamesAreRefusedForATimeWhileANewerManifestIsMissing)
{
    CHECK(open("new", "key").code == reply_code::NoDatabase);
    CHECK(open("own", "new").code == reply_code::Unauthorized);
    onManifestChecked(fixture.state, fixture.now, true);
    CHECK_TRUE(isTemporary(open("new", "key")));
    CHECK_TRUE(isTemporary(open("own", "new")));
    CHECK(open("own", "key").code == reply_code::Success);
    onManifestChecked(fixture.state, fixture.now, false);
    CHECK(open("new", "key").code == reply_code::NoDatabase);
}

// Guards against the same by a daemon that has had no proof for longer than a change may take.
TEST(manifest_proofs, unknownNamesAreRefusedForATimeWithoutAFreshProof)
{
    fixture.now += limit;
    CHECK(open("new", "key").code == reply_code::NoDatabase);
    fixture.now += milliseconds(1);
    CHECK_TRUE(isTemporary(open("new", "key")));
    CHECK_TRUE(isTemporary(open("own", "new")));
    CHECK(open("own", "key").code == reply_code::Success);
    onManifestChecked(fixture.state, fixture.now, false);
    CHECK(open("new", "key").code == reply_code::NoDatabase);
}

// Guards against a session that is closed for good when its key is missing in an unproven manifest.
TEST(manifest_proofs, openSessionGetsATemporaryRefusalWithATimeToReturn)
{
    const session_id id = ++fixture.nextSession;
    onSessionOpened(fixture.state, id, "own", "key", fixture.now);
    manifest next = proxy_fixture::makeManifest(2);
    next.workspaceByKey.clear();
    fixture.applyManifest(next);
    onManifestChecked(fixture.state, fixture.now, true);
    fixture.takeActions();
    caller_statement statement;
    statement.id = "q1";
    statement.kind = statement_kind::Read;
    onCallerStatement(fixture.state, id, statement, fixture.now);
    const reply answer =
            proxy_fixture::actionsOf<send_to_caller>(fixture.takeActions()).at(0).answer;
    CHECK_TRUE(isTemporary(answer));
    CHECK_TRUE(answer.message.find("retry-after-ms=500") != std::string::npos);
}

// Guards against a proof that looks fresher than it is: its age counts from the question, and a
// peer with a newer manifest proves nothing about an older one.
TEST(manifest_proofs, proofsOfPeersCountFromTheQuestion)
{
    const core::time_point asked = fixture.now;
    peer_message answer = answerOf(fixture, 1, milliseconds(700));
    fixture.now += milliseconds(900);
    onPeerMessage(fixture.state, answer, fixture.now);
    CHECK_TRUE(proxy_fixture::actionsOf<confirm_manifest>(fixture.takeActions()).empty());
    answer.askedAtUs += core::duration(milliseconds(800)).count();
    onPeerMessage(fixture.state, answer, fixture.now);
    const auto taken = proxy_fixture::actionsOf<confirm_manifest>(fixture.takeActions());
    CHECK_EQUAL(1U, taken.size());
    CHECK(taken[0].provenAt == asked + milliseconds(100));
    CHECK(fixture.state.manifestProvenAt == asked + milliseconds(100));
    answer = answerOf(fixture, 2, milliseconds(0));
    onPeerMessage(fixture.state, answer, fixture.now);
    CHECK(fixture.state.manifestProvenAt == asked + milliseconds(100));
}

// Guards against a daemon that passes a proof on as if it were its own and new.
TEST(manifest_proofs, ageOfAProofGrowsWhileItIsPassedOn)
{
    fixture.now += milliseconds(1'200);
    peer_message question;
    question.kind = peer_message_kind::Exchange;
    question.from = "node-2";
    onPeerMessage(fixture.state, question, fixture.now);
    const auto sent = proxy_fixture::actionsOf<send_to_peer>(fixture.takeActions());
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(1'200'000, sent[0].message.manifestAgeUs);
}
