/// @file
/// @brief Tests of the messages between daemons and of their authentication.

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/incarnation_lease.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>
#include <fuchsiagw/wire/peer_message.hpp>

#include <random>
#include <set>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::wire;
using core::error_kind;
using namespace std::chrono_literals;

namespace {

const core::time_point now{ 100s };

peer_keys makeKeys(std::string_view secret, std::uint8_t number = 1)
{
    return { { { number, derivePeerKey(secret) } }, number };
}

forward_request sampleForward()
{
    forward_request message;
    message.id = { 1, 2 };
    message.workspace.value = "w";
    message.group.value = "g";
    message.kind = core::statement_kind::Write;
    message.text = "text";
    message.parameters = { "a", "", "c" };
    message.readClass = "menu";
    message.idempotencyKey = "k";
    message.transaction = core::transaction_id{ 5, 6 };
    message.minPosition = { 7, 8 };
    message.isSessionUnusable = true;
    message.remainingMicros = 9;
    return message;
}

} // namespace

TEST_GROUP(peer_codec)
{
    peer_codec sender{ 11, makeKeys("s") };
    peer_codec receiver{ 22, makeKeys("s") };
    opened_message opened;

    std::string sealedMessage(peer_kind kind = peer_kind::Digest)
    {
        std::string message;
        CHECK_FALSE(sender.seal(kind, 22, sender_info{ { "i" }, { "z" }, "127.0.0.1:1" }, message));
        return message;
    }
    void checkRejected(error_kind expected, std::string_view message,
                       peer_transport transport = peer_transport::Datagram)
    {
        const std::error_code error = receiver.open(message, transport, now, opened);
        STRCMP_EQUAL(core::answerOf(expected).name.data(),
                     error ? core::answerOf(core::kindOf(error)).name.data() : "accepted");
    }
};

// Guards against a digest whose sender or round number changes between sealing and reading, and
// against fields of the previous digest that remain when a variable is reused.
TEST(peer_codec, digestRoundTrips)
{
    digest_message<core::spread_message> digest;
    digest.sender = { { "i" }, { "z" }, "127.0.0.1:1", sender_state::Leaving };
    digest.report.roundNumber = 1'234'567;
    std::string message;
    CHECK_FALSE(sender.seal(peer_kind::Digest, 0, digest, message));
    CHECK_FALSE(receiver.open(message, peer_transport::Datagram, now, opened));
    CHECK_TRUE(opened.header.sender == 11);
    digest_message<core::spread_message> read;
    CHECK_FALSE(readBody(opened.body, read));
    CHECK_TRUE(read.sender == digest.sender);
    LONGS_EQUAL(1'234'567, read.report.roundNumber);
    digest.sender = sender_info{ {}, {}, {}, sender_state::Leaving };
    CHECK_FALSE(readBody(writeBody(digest), read));
    CHECK_TRUE(read.sender.instance.empty() && read.sender.state == sender_state::Leaving);
}

// Guards against digests that alone exceed the 3 KB/s of control traffic per daemon. The daemon
// with the most neighbours has 8 children and a parent and exchanges two digests per second with
// each.
TEST(peer_codec, digestsStayWithinControlTrafficBound)
{
    constexpr std::uint64_t seconds = 160;
    constexpr std::size_t headers = 28; // bytes of the IP and UDP headers
    std::mt19937_64 random(3);
    peer_codec self(random(), makeKeys("s"));
    const core::incarnation_id neighbour = random();
    std::size_t bytes = 0;
    for (std::uint64_t second = 0; second < seconds; ++second) {
        digest_message<core::spread_message> digest;
        if (mustIncludeSenderNames(neighbour, second))
            digest.sender = { { "entry-0123456789" },
                              { "andina-guatavita" },
                              "192.168.100.200:65535" };
        core::spread_message &report = digest.report;
        report.root = random();
        report.instanceHashSum = random();
        report.roundNumber = report.provenRound = 600'000 + second; // the rounds of one week
        report.heldVersion = report.oldest = report.newest = report.provenVersion =
                3'000'000; // the versions of two years
        report.included = 0xffff;
        report.windowMicroseconds = 1'000'000;
        report.count = 1'600;
        std::string message;
        CHECK_FALSE(self.seal(peer_kind::Digest, neighbour, digest, message));
        bytes += message.size() + headers;
    }
    CHECK_TRUE(9 * 2 * bytes / seconds <= 3'000);
    CHECK_TRUE(mustIncludeSenderNames(0, 5) && mustIncludeSenderNames(neighbour, 2)
               && !mustIncludeSenderNames(neighbour, 5));
}

// Guards against a field that is lost or altered when a statement is forwarded to the owner of its
// group, for instance because a conversion omits it.
TEST(peer_codec, forwardedRequestKeepsEveryField)
{
    const forward_request forward = sampleForward();
    const core::statement_request request = toRequest(forward, now);
    CHECK_TRUE(request.deadline == now + core::duration(9));
    const forward_request forwardedAgain = makeForwardRequest(request, now);
    CHECK_TRUE(writeBody(forward) == writeBody(forwardedAgain));
    forward_request read;
    CHECK_FALSE(readBody(writeBody(forward), read));
    CHECK_TRUE(writeBody(read) == writeBody(forward));
    LONGS_EQUAL(0, makeForwardRequest(request, now + 1h).remainingMicros);
    const core::statement_request withoutDeadline;
    CHECK_TRUE(toRequest(makeForwardRequest(withoutDeadline, now), now).deadline
               < core::noDeadline);
}

// Guards against a message that is accepted although it was truncated or a byte of it was changed
// in the network, because the MAC does not cover all of it.
TEST(peer_codec, everyChangedByteIsDetected)
{
    const std::string message = sealedMessage();
    for (std::size_t at = 0; at < message.size(); ++at) {
        std::string changed = message;
        changed[at] = static_cast<char>(changed[at] ^ 0x10);
        checkRejected(error_kind::MessageForeign, changed);
    }
    for (std::size_t size = 0; size < message.size(); ++size)
        CHECK_TRUE(receiver.open(message.substr(0, size), peer_transport::Datagram, now, opened)
                           .value()
                   != 0);
    CHECK_FALSE(receiver.open(message, peer_transport::Datagram, now, opened));
}

// Guards against a message that is accepted twice, by its own sender, by an instance that it is not
// meant for, or under another key.
TEST(peer_codec, replayedAndForeignMessagesAreRejected)
{
    const std::string message = sealedMessage();
    CHECK_FALSE(receiver.open(message, peer_transport::Datagram, now, opened));
    checkRejected(error_kind::MessageReplayed, message);
    checkRejected(error_kind::MessageDamaged, sealedMessage(), peer_transport::Stream);
    peer_codec other(33, makeKeys("s"));
    CHECK_TRUE(other.open(message, peer_transport::Datagram, now, opened)
               == error_kind::MessageForeign);
    peer_codec sameSender(11, makeKeys("s"));
    CHECK_TRUE(sameSender.open(message, peer_transport::Datagram, now, opened)
               == error_kind::MessageForeign);
    peer_codec otherKey(22, makeKeys("t"));
    CHECK_TRUE(otherKey.open(message, peer_transport::Datagram, now, opened)
               == error_kind::MessageForeign);
}

// Guards against a valid frame that is rejected as a replay because datagrams of the same sender
// advanced a shared sequence number.
TEST(peer_codec, transportsHaveSeparateSequenceNumbers)
{
    const std::string frame = sealedMessage(peer_kind::Hello);
    for (std::size_t i = 0; i < 2 * sequence_window::size; ++i)
        CHECK_FALSE(receiver.open(sealedMessage(), peer_transport::Datagram, now, opened));
    CHECK_FALSE(receiver.open(frame, peer_transport::Stream, now, opened));
}

// Guards against a key rotation during which instances reject each other's messages, because some
// already send with the new key and others still with the old one.
TEST(peer_codec, keyRotationLosesNoMessage)
{
    peer_keys both = makeKeys("s", 1);
    both.keys[2] = derivePeerKey("new");
    receiver.setKeys(both);
    CHECK_FALSE(receiver.open(sealedMessage(), peer_transport::Datagram, now, opened));
    both.current = 2;
    sender.setKeys(both);
    CHECK_FALSE(receiver.open(sealedMessage(), peer_transport::Datagram, now, opened));
    receiver.setKeys(makeKeys("new", 2));
    CHECK_FALSE(receiver.open(sealedMessage(), peer_transport::Datagram, now, opened));
}

// Guards against datagrams that the network fragments and against frames of unbounded size, because
// sender and receiver check different bounds.
TEST(peer_codec, boundsAreExact)
{
    std::string message = "unchanged";
    const auto size = [](std::size_t text) {
        configuration_body body;
        body.content.assign(text, 'x');
        return body;
    };
    // The size is computed below the bound, where the length field of the text has the same size.
    constexpr std::size_t below = 100;
    for (const auto &[kind, most] : { std::pair(peer_kind::ConfigurationBody, maxFrameBytes),
                                      { peer_kind::Digest, maxDatagramBytes } }) {
        CHECK_FALSE(sender.seal(kind, 0, size(most - 2 * below), message));
        const std::size_t exact = most - 2 * below + (most - message.size());
        CHECK_FALSE(sender.seal(kind, 0, size(exact), message));
        LONGS_EQUAL(most, message.size());
        const peer_transport transport = findPeerKind(kind)->transport;
        CHECK_FALSE(receiver.open(message, transport, now, opened));
        checkRejected(error_kind::MessageTooLarge, message + "x", transport);
        message = "unchanged";
        CHECK_TRUE(sender.seal(kind, 0, size(exact + 1), message) == error_kind::MessageTooLarge);
        STRCMP_EQUAL("unchanged", message.c_str());
    }
}

// Guards against integers that are altered by the variable-length encoding, and against an integer
// with two valid encodings.
TEST(peer_codec, numbersRoundTrip)
{
    for (const std::int64_t number :
         { INT64_C(0), INT64_C(-1), INT64_C(1), INT64_C(-64), INT64_C(64), INT64_MAX, INT64_MIN }) {
        core::lease_promise promise;
        promise.promisedMicros = number;
        promise.holder = static_cast<std::uint64_t>(number);
        core::lease_promise read;
        CHECK_FALSE(readBody(writeBody(promise), read));
        CHECK_TRUE(read.promisedMicros == number);
        CHECK_TRUE(read.holder == promise.holder);
    }
    configuration_request request;
    const std::string longest = std::string(9, '\xff') + "\x01";
    CHECK_FALSE(readBody(longest, request));
    CHECK_TRUE(request.version == UINT64_MAX);
    for (const std::string &bytes : { std::string(9, '\xff') + "\x02", std::string(10, '\xff'),
                                      std::string("\x80\0", 2), std::string("\x80") })
        CHECK_TRUE(readBody(bytes, request) == error_kind::MessageDamaged);
    std::uint32_t narrow = 0;
    CHECK_TRUE(readBody(writeBody(UINT64_C(1) << 32U), narrow) == error_kind::MessageDamaged);
}

// Guards against a short message that expands to a large amount of memory, because an empty list
// element takes one byte in the message and many more in memory.
TEST(peer_codec, elementsAreBounded)
{
    std::vector<std::string> list(detail::maxListElements);
    CHECK_FALSE(readBody(writeBody(list), list));
    LONGS_EQUAL(detail::maxListElements, list.size());
    list.emplace_back();
    CHECK_TRUE(readBody(writeBody(list), list) == error_kind::MessageDamaged);
    core::statement_answer answer;
    answer.rows.assign(1, list);
    std::vector<forward_answer> parts;
    CHECK_TRUE(splitAnswer(answer, parts) == error_kind::MessageTooLarge);
}

// Guards against a length field that makes the receiver allocate more than the message holds, and
// against values that are outside of their enumeration.
TEST(peer_codec, malformedBodiesAreRejected)
{
    forward_request read;
    const std::string body = writeBody(sampleForward());
    CHECK_TRUE(readBody(body + "x", read) == error_kind::MessageDamaged);
    CHECK_TRUE(readBody("", read) == error_kind::MessageDamaged);
    for (std::size_t at = 0; at < body.size(); ++at) {
        std::string changed = body;
        changed.replace(at, 1, std::string(8, '\xff') + "\x7f");
        const std::error_code error = readBody(changed, read);
        CHECK_TRUE(!error || error == error_kind::MessageDamaged);
    }
    std::string wrongKind = writeBody(sender_info{});
    wrongKind.back() = 3;
    sender_info info;
    CHECK_TRUE(readBody(wrongKind, info) == error_kind::MessageDamaged);
}

// Guards against an answer that is truncated or mixed with another one when it is reassembled from
// several frames.
TEST(peer_codec, largeAnswersAreSplitAndReassembled)
{
    core::statement_answer answer;
    answer.id = { 3, 4 };
    answer.rows.assign(400, { std::string(5000, 'r'), "" });
    answer.error = error_kind::NotConfirmed;
    answer.transaction = core::transaction_id{ 8, 9 };
    std::vector<forward_answer> parts;
    CHECK_FALSE(splitAnswer(answer, parts));
    CHECK_TRUE(parts.size() > 1);
    part_assembler assembler;
    for (const forward_answer &part : parts) {
        std::string message;
        CHECK_FALSE(sender.seal(peer_kind::ForwardAnswer, 22, part, message));
        CHECK_FALSE(assembler.isComplete());
        CHECK_FALSE(assembler.add(part.part, part.parts, part.content));
    }
    CHECK_TRUE(assembler.isComplete());
    CHECK_TRUE(assembler.add(2, 2, "more") == error_kind::MessageDamaged);
    core::statement_answer read;
    CHECK_FALSE(readAnswer(answer.id, assembler.content, read));
    CHECK_TRUE(read.rows == answer.rows);
    CHECK_TRUE(read.error == answer.error);
    CHECK_TRUE(read.transaction == answer.transaction);
    CHECK_TRUE(readAnswer({ 3, 5 }, assembler.content, read) == error_kind::MessageDamaged);
    answer.rows.assign(20, { std::string(maxFrameBytes, 'r') });
    CHECK_TRUE(splitAnswer(answer, parts) == error_kind::MessageTooLarge);
}

// Guards against a configuration that is reassembled from parts of two configurations, because a
// part is missing, repeated or counted differently.
TEST(peer_codec, partsMustBeConsecutive)
{
    for (const auto &[first, second] : { std::pair(std::pair(0U, 2U), std::pair(0U, 2U)),
                                         { { 0, 2 }, { 1, 3 } },
                                         { { 1, 2 }, { 1, 2 } },
                                         { { 0, 0 }, { 0, 0 } },
                                         { { 0, maxPartCount + 1 }, { 1, 2 } } }) {
        part_assembler assembler;
        const std::error_code one = assembler.add(first.first, first.second, "a");
        const std::error_code two = assembler.add(second.first, second.second, "b");
        CHECK_TRUE(one || two);
        CHECK_FALSE(assembler.isComplete());
    }
    std::vector<configuration_body> parts;
    CHECK_FALSE(splitConfiguration(5, 6, "", parts));
    LONGS_EQUAL(1, parts.size());
}
