/// @file
/// @brief Tests that a reply is counted to its own command, whatever replies come twice.

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/proxy/reply_pairing.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;

namespace {

reply makeReply(reply_shape shape, const std::string &digest)
{
    reply result;
    result.digest = shape == reply_shape::Run ? digest : "-";
    if (shape == reply_shape::Startup)
        result.digest.clear();
    if (shape == reply_shape::Begin)
        result.state = transaction_state::Open;
    return result;
}

/// One connection to a member that answers in order and sends some replies a second time.
struct stuttering_member
{
    struct sent_reply
    {
        reply content;
        int command = 0; ///< number of the command that it answers
    };

    core::random_engine random;
    reply_pairing pairing;
    std::deque<sent_reply> arriving; ///< replies that the proxy has not read yet
    std::vector<sent_reply> all;
    std::deque<int> outstanding; ///< commands, as the proxy counts them
    std::map<int, reply_shape> shapes;
    int lastCommand = 0;
    bool isClosed = false;
    int misdelivered = 0; ///< runs that got the reply to another command
    int delivered = 0; ///< runs

    bool chance(std::uint64_t percent) { return core::drawBelow(random, 100) < percent; }

    void send(reply_shape shape)
    {
        if (isClosed || pairing.hasSurplus)
            return;
        const int command = ++lastCommand;
        shapes[command] = shape;
        outstanding.push_back(command);
        pairing.expected.push_back(shape);
        sent_reply own{ makeReply(shape, "d" + std::to_string(command)), command };
        if (shape == reply_shape::Run && chance(10)) {
            own.content = {};
            own.content.code = reply_code::Busy;
        }
        arriving.push_back(own);
        all.push_back(std::move(own));
    }

    /// Puts an earlier reply between those that have not arrived yet.
    void repeatOne()
    {
        if (all.empty())
            return;
        const std::size_t back = core::drawBelow(random, std::min<std::size_t>(all.size(), 4));
        sent_reply copy = all[all.size() - 1 - back];
        for (const sent_reply &each : arriving) {
            if (each.command == copy.command)
                return; // a second reply does not overtake the first
        }
        arriving.insert(
                arriving.begin()
                        + static_cast<std::ptrdiff_t>(core::drawBelow(random, arriving.size() + 1)),
                std::move(copy));
    }

    void receive()
    {
        if (arriving.empty() || isClosed)
            return;
        const sent_reply next = std::move(arriving.front());
        arriving.pop_front();
        const paired_reply paired = pairReply(pairing, next.content);
        if (paired.action == reply_action::Deliver
            || paired.action == reply_action::DeliverAndClose) {
            const int command = outstanding.front();
            outstanding.pop_front();
            if (shapes[command] == reply_shape::Run) {
                ++delivered;
                misdelivered += command != next.command ? 1 : 0;
            }
        }
        isClosed = paired.action == reply_action::Close
                   || paired.action == reply_action::DeliverAndClose;
    }
};

} // namespace

TEST_GROUP(reply_pairing){};

// Guards against a reply that is taken for that of another command (MIXED, REFUSED): replies of
// every kind come twice, between any two others, on connections that are cleaned and lent again.
TEST(reply_pairing, noRunGetsTheReplyToAnotherCommand)
{
    int misdelivered = 0;
    int delivered = 0;
    int closed = 0;
    for (std::uint64_t seed = 1; seed <= 4'000; ++seed) {
        stuttering_member member;
        member.random.seed(seed);
        for (int step = 0; step < 60; ++step) {
            if (member.outstanding.empty()) {
                const bool inTransaction = member.chance(40);
                for (std::uint64_t i = core::drawBelow(member.random, 3); i > 0; --i)
                    member.send(reply_shape::Setting);
                if (inTransaction)
                    member.send(reply_shape::Begin);
                member.send(reply_shape::Run);
                if (inTransaction)
                    member.send(reply_shape::Rollback);
            }
            if (member.chance(15))
                member.repeatOne();
            member.receive();
        }
        misdelivered += member.misdelivered;
        delivered += member.delivered;
        closed += member.isClosed ? 1 : 0;
    }
    LONGS_EQUAL(0, misdelivered);
    CHECK(delivered > 4'000);
    CHECK(closed > 1'000);
}

// Guards against connections that are given up although every reply comes once.
TEST(reply_pairing, repliesInOrderAreDelivered)
{
    reply_pairing pairing;
    int runs = 0;
    for (int round = 0; round < 500; ++round) {
        for (const reply_shape shape :
             { reply_shape::Setting, reply_shape::Begin, reply_shape::Run, reply_shape::Rollback,
               reply_shape::Run, reply_shape::Status }) {
            pairing.expected.push_back(shape);
            const reply received = makeReply(shape, "d" + std::to_string(++runs));
            CHECK(pairReply(pairing, received).action == reply_action::Deliver);
        }
    }
}

// Guards against a write whose outcome is reported as unknown because an earlier command's reply
// came twice: its own reply can still be told.
TEST(reply_pairing, ownReplyIsAwaitedBehindASurplusOne)
{
    reply_pairing pairing;
    pairing.expected = { reply_shape::Setting, reply_shape::Run };
    CHECK(pairReply(pairing, makeReply(reply_shape::Setting, {})).action == reply_action::Deliver);
    const paired_reply surplus = pairReply(pairing, makeReply(reply_shape::Setting, {}));
    CHECK(surplus.action == reply_action::Drop);
    CHECK(surplus.fault == reply_fault::OtherShape);
    CHECK(pairReply(pairing, makeReply(reply_shape::Run, "d1")).action
          == reply_action::DeliverAndClose);
}

// Guards against the reply to an earlier begin or rollback that is taken for that to this one.
TEST(reply_pairing, transactionStateMustMatch)
{
    reply_pairing pairing;
    pairing.expected = { reply_shape::Begin };
    CHECK(pairReply(pairing, makeReply(reply_shape::Rollback, {})).action == reply_action::Drop);
    CHECK(pairReply(pairing, makeReply(reply_shape::Begin, {})).action == reply_action::Close);
}

// Guards against a missing reply: the next command's must not be taken for it.
TEST(reply_pairing, missingReplyEndsTheConnection)
{
    reply_pairing pairing;
    pairing.expected = { reply_shape::Setting, reply_shape::Run };
    CHECK(pairReply(pairing, makeReply(reply_shape::Run, "d1")).action == reply_action::Close);
}
