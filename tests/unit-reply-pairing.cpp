/// @file
/// @brief Tests that a reply is counted to its own command, whatever replies come twice.

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/proxy/reply_pairing.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::proxy;

namespace {

/// @param before state of the connection before the command
reply makeReply(reply_shape shape, const std::string &digest,
                transaction_state before = transaction_state::Idle)
{
    const bool ends = shape == reply_shape::Commit || shape == reply_shape::Rollback;
    reply result;
    result.digest = shape == reply_shape::Run || shape == reply_shape::Commit ? digest : "-";
    result.state = shape == reply_shape::Begin ? transaction_state::Open
                   : ends                      ? transaction_state::Idle
                                               : before;
    return result;
}

/// A command, as its sender sees it.
struct sent_command
{
    int number = 0;
    reply_shape shape = reply_shape::Run;
    bool isRead = false; ///< a refusal is harmless, as the read is sent to another member
};

/// One connection to a member that answers in order and sends some replies a second time. It is
/// used as the engine and the relay use it: the statements of a transaction wait until a command
/// behind the begin is answered, and after an error no further operation starts.
struct stuttering_member
{
    struct sent_reply
    {
        reply content;
        int command = 0; ///< number of the command that it answers
        bool isRepeated = false;
    };

    core::random_engine random;
    reply_pairing pairing;
    std::deque<sent_reply> arriving; ///< replies that the proxy has not read yet
    std::vector<sent_reply> all;
    std::deque<sent_command> outstanding; ///< as the proxy counts them
    int lastCommand = 0;
    int statementsLeft = 0; ///< of the open transaction
    transaction_state state = transaction_state::Idle; ///< at the member
    transaction_state shown = transaction_state::Idle; ///< by the newest delivered reply
    bool isClosed = false;
    int misdelivered = 0; ///< runs that got the reply to another command
    int outside = 0; ///< statements of a transaction that arrived outside of one
    int delivered = 0; ///< runs

    bool chance(std::uint64_t percent) { return core::drawBelow(random, 100) < percent; }

    void send(reply_shape shape, bool isRead = false)
    {
        if (isClosed || pairing.hasSurplus)
            return;
        const int command = ++lastCommand;
        outstanding.push_back({ command, shape, isRead });
        pairing.expected.push_back(shape);
        sent_reply own{ makeReply(shape, "d" + std::to_string(command), state), command, false };
        const bool isFallible = shape == reply_shape::Run || shape == reply_shape::Begin;
        if (isFallible && chance(10)) {
            own.content = {};
            own.content.code = reply_code::Busy;
            own.content.state = state;
        }
        state = own.content.state;
        arriving.push_back(own);
        all.push_back(std::move(own));
    }

    /// Starts an operation, or sends the next statement of the open transaction.
    void work()
    {
        if (isClosed || pairing.hasSurplus)
            return;
        if (statementsLeft > 0) {
            outside += state == transaction_state::Idle ? 1 : 0;
            send(--statementsLeft > 0 ? reply_shape::Run : reply_shape::Commit);
            return;
        }
        for (std::uint64_t i = core::drawBelow(random, 3); i > 0; --i)
            send(reply_shape::Setting);
        const bool wrapsRead = chance(30);
        const bool opensTransaction = !wrapsRead && chance(50);
        if (wrapsRead || opensTransaction)
            send(reply_shape::Begin);
        if (opensTransaction) {
            send(reply_shape::Setting);
            statementsLeft = 2 + static_cast<int>(core::drawBelow(random, 3));
            return;
        }
        send(reply_shape::Run, wrapsRead);
        if (wrapsRead)
            send(reply_shape::Rollback);
    }

    /// Puts an earlier reply between those that have not arrived yet.
    void repeatOne()
    {
        if (all.empty())
            return;
        const std::size_t back = core::drawBelow(random, std::min<std::size_t>(all.size(), 6));
        sent_reply &first = all[all.size() - 1 - back];
        sent_reply copy = first;
        for (const sent_reply &each : arriving) {
            if (each.command == copy.command)
                return; // a second reply does not overtake the first
        }
        if (std::exchange(first.isRepeated, true))
            return;
        arriving.insert(
                arriving.begin()
                        + static_cast<std::ptrdiff_t>(core::drawBelow(random, arriving.size() + 1)),
                std::move(copy));
    }

    void deliver(const sent_reply &received)
    {
        const sent_command command = outstanding.front();
        outstanding.pop_front();
        const bool isError = received.content.code != reply_code::Success;
        const bool runs = command.shape == reply_shape::Run || command.shape == reply_shape::Commit;
        if (runs && !(isError && command.isRead)) {
            ++delivered;
            misdelivered += command.number != received.command ? 1 : 0;
        }
        shown = received.content.state;
        const bool isRefused = statementsLeft > 0 && shown != transaction_state::Open;
        isClosed = isClosed || (outstanding.empty() && (isRefused || !pairing.errors.empty()));
    }

    void receive()
    {
        if (arriving.empty() || isClosed)
            return;
        const sent_reply next = std::move(arriving.front());
        arriving.pop_front();
        const paired_reply paired = pairReply(pairing, next.content);
        if (paired.action == reply_action::Deliver
            || paired.action == reply_action::DeliverAndClose)
            deliver(next);
        isClosed = isClosed || paired.action == reply_action::Close
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
    int outside = 0;
    int delivered = 0;
    int closed = 0;
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        stuttering_member member;
        member.random.seed(seed);
        for (int step = 0; step < 60; ++step) {
            if (member.outstanding.empty())
                member.work();
            if (member.chance(15))
                member.repeatOne();
            member.receive();
        }
        misdelivered += member.misdelivered;
        outside += member.outside;
        delivered += member.delivered;
        closed += member.isClosed ? 1 : 0;
    }
    LONGS_EQUAL(0, misdelivered);
    LONGS_EQUAL(0, outside);
    CHECK(delivered > 20'000);
    CHECK(closed > 10'000);
}

// Guards against connections that are given up although every reply comes once.
TEST(reply_pairing, repliesInOrderAreDelivered)
{
    reply_pairing pairing;
    int runs = 0;
    for (int round = 0; round < 500; ++round) {
        for (const reply_shape shape :
             { reply_shape::Setting, reply_shape::Begin, reply_shape::Setting, reply_shape::Run,
               reply_shape::Commit, reply_shape::Run, reply_shape::Begin, reply_shape::Rollback,
               reply_shape::Status }) {
            pairing.expected.push_back(shape);
            const reply received = makeReply(shape, "d" + std::to_string(++runs), pairing.state);
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

// Guards against a connection that is lent on inside a transaction (PINNED): a reply outside of one
// that comes a second time is taken for that to a command inside.
TEST(reply_pairing, settingKeepsTheTransactionState)
{
    reply_pairing pairing;
    pairing.expected = { reply_shape::Begin, reply_shape::Setting };
    CHECK(pairReply(pairing, makeReply(reply_shape::Begin, {})).action == reply_action::Deliver);
    CHECK(pairReply(pairing, makeReply(reply_shape::Setting, {})).action == reply_action::Drop);
    const reply own = makeReply(reply_shape::Setting, {}, transaction_state::Open);
    CHECK(pairReply(pairing, own).action == reply_action::Close);
}

// Guards against a begin that is taken for accepted (PINNED): two replies to an earlier one come a
// second time at once. They show the log as it was then.
TEST(reply_pairing, replyToBeginShowsNoOlderPosition)
{
    reply_pairing pairing;
    pairing.expected = { reply_shape::Run, reply_shape::Begin };
    reply run = makeReply(reply_shape::Run, "d1");
    run.position = core::log_position{ 1, 9 };
    CHECK(pairReply(pairing, run).action == reply_action::Deliver);
    reply earlier = makeReply(reply_shape::Begin, {});
    earlier.position = core::log_position{ 1, 8 };
    CHECK(pairReply(pairing, earlier).action == reply_action::Drop);
}

// Guards against a missing reply: the next command's must not be taken for it.
TEST(reply_pairing, missingReplyEndsTheConnection)
{
    reply_pairing pairing;
    pairing.expected = { reply_shape::Setting, reply_shape::Run };
    CHECK(pairReply(pairing, makeReply(reply_shape::Run, "d1")).action == reply_action::Close);
}
