/// @file
/// @brief Tests of a begin that is refused behind two replies that come a second time.

#include <fuchsiagw/proxy/reply_pairing.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

namespace {

reply makeReply(const char *digest, transaction_state state)
{
    reply result;
    result.digest = digest;
    result.state = state;
    return result;
}

} // namespace

TEST_GROUP(repeated_begin){};

// Guards against a statement that runs outside of its transaction while its caller is told BUSY
// (PINNED, REFUSED): the replies to an earlier begin and to its confirmation come a second time
// before the reply to a begin that is refused.
TEST(repeated_begin, twoSecondRepliesDoNotStandForARefusedBegin)
{
    const transaction_state open = transaction_state::Open;
    const transaction_state idle = transaction_state::Idle;
    reply_pairing pairing;
    pairing.expected = { reply_shape::Begin, reply_shape::Setting, reply_shape::Run,
                         reply_shape::Commit, reply_shape::Setting };
    const reply begun = makeReply("-", open);
    for (const reply &each :
         { begun, begun, makeReply("d1", open), makeReply("d2", idle), makeReply("-", idle) })
        CHECK(pairReply(pairing, each).action == reply_action::Deliver);
    pairing.expected = { reply_shape::Begin, reply_shape::Setting };
    const bool isConfirmed = pairReply(pairing, begun).action == reply_action::Deliver
                             && pairReply(pairing, begun).action == reply_action::Deliver;
    CHECK_FALSE(isConfirmed); // the first statement is sent now, outside of a transaction
}
