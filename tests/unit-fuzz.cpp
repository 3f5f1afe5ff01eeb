/// @file
/// @brief Random and mutated input for the parsers of data from the network.
///
/// Seeds are fixed and counts are bounded. Every input must give a value within its bounds or an
/// error, and must not make the parser allocate much more than the input's size.

#include "allocation-recorder.hpp"

#include <fuchsiagw/daemon/log_event.hpp>
#include <fuchsiagw/daemon/peer_body.hpp>
#include <fuchsiagw/net/tcp_link.hpp>
#include <fuchsiagw/wire/caller_json.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/PlatformSpecificFunctions_c.h>
#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::wire;

namespace {

constexpr int mutationCount = 20'000;

/// Changes bytes of a random sample, truncates it, repeats pieces of it, or inserts other pieces.
std::string mutate(const std::vector<std::string> &samples, std::mt19937_64 &random)
{
    static constexpr std::string_view pieces[] = { "\"", "{",   "}",    "[",     "]",   ",",
                                                   ":",  "\\u", "null", "1e999", "-",   "=",
                                                   "; ", " ",   "\0",   "\xff",  "\xc3" };
    std::string text = samples[random() % samples.size()];
    for (std::size_t changes = 1 + random() % 4; changes > 0; --changes) {
        const std::size_t at = random() % (text.size() + 1);
        switch (random() % 6) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.insert(at, pieces[random() % std::size(pieces)]);
            break;
        case 3:
            text.insert(at, text.substr(0, random() % 64));
            break;
        case 4:
            text.replace(at, 8, std::string(8, static_cast<char>(random() % 2 == 0 ? -1 : 0)));
            break;
        default: {
            const std::string &other = samples[random() % samples.size()];
            text += other.substr(std::min(at, other.size()));
        }
        }
    }
    return text;
}

/// @param factor bound on the memory for one byte of input; one byte of a message can be an empty
/// string of 32 bytes in memory, and lists double their capacity when they grow
void checkAllocation(std::size_t inputSize, std::size_t factor)
{
    CHECK_TRUE(largestAllocation <= 4'096 + factor * inputSize);
}

} // namespace

TEST_GROUP(fuzz)
{
    std::mt19937_64 random{ 20'260'101 };

    void setup() override
    {
        UT_PTR_SET(PlatformSpecificMalloc, &recordingMalloc);
    }
};

// Guards against checks of allocations that pass because no allocation is counted.
TEST(fuzz, allocationsAreCounted)
{
    largestAllocation = 0;
    const std::vector<std::string> list(1'000);
    CHECK_TRUE(largestAllocation >= list.size() * sizeof(std::string));
}

// Guards against request bodies that crash the parser or exceed its bounds.
TEST(fuzz, callerBodies)
{
    using parser = std::error_code (*)(std::string_view, parsed_statement &, std::string &);
    const std::vector<std::string> samples{
        R"({"group":"g","kind":"read","statement":"s","parameters":["1","2"],"read_class":"menu"})",
        R"({"group":"g","kind":"write","statement":"s\u00e9","idempotency_key":"k","deadline_ms":5})",
        R"({"kind":"write","statement":"\ud83d\ude00","parameters":[],"deadline_ms":60000})",
        R"({"group":"g"})",
        R"({"idempotency_key":"k"})",
        "{}",
        "",
        "[[[[[[[[[[[[]]]]]]]]]]]]",
        R"({"a":{"b":{"c":[1,2.5,-3,true,null]}}})"
    };
    int accepted = 0;
    for (const parser parse : { &parseStatement, &parseBegin, &parseTransactionStatement,
                                &parseCommit, &parseRollback }) {
        for (int i = 0; i < mutationCount; ++i) {
            const std::string body = mutate(samples, random);
            parsed_statement parsed;
            std::string problem;
            largestAllocation = 0;
            const std::error_code error = parse(body, parsed, problem);
            checkAllocation(body.size(), 8);
            CHECK_EQUAL(static_cast<bool>(error), !problem.empty());
            if (error) {
                CHECK_TRUE(error.category() == core::errorCategory());
                CHECK_TRUE(core::kindOf(error) != core::error_kind::Internal);
                continue;
            }
            ++accepted;
            CHECK_TRUE(parsed.parameters.size() <= maxParameters);
            CHECK_TRUE(parsed.idempotencyKey.size() <= maxIdempotencyKeyBytes);
            CHECK_TRUE(parsed.timeLimit >= minTimeLimit && parsed.timeLimit <= maxTimeLimit);
        }
    }
    CHECK_TRUE(accepted > 100);
}

// Guards against malformed headers from which a key or token with invalid characters is extracted.
TEST(fuzz, callerHeaders)
{
    const std::vector<std::string> samples{ "Bearer fgw_abc-123._~+/=",
                                            "bearer x",
                                            "Basic abc",
                                            "fuchsiagw_session=abc; a=b",
                                            "a=b; fuchsiagw_session=\"abc\"",
                                            "fuchsiagw_session=a; fuchsiagw_session=b",
                                            "=;=;;=",
                                            "0123456789abcdef-fedcba9876543210",
                                            "127.0.0.1:80",
                                            "[::1]:65535" };
    const auto hasNoSeparators = [](const std::string &text) {
        return text.find_first_of(std::string_view(" ;,\"\0\n\r", 7)) == std::string::npos;
    };
    for (int i = 0; i < mutationCount; ++i) {
        const std::string text = mutate(samples, random);
        largestAllocation = 0;
        if (const auto key = keyFromAuthorization(text))
            CHECK_TRUE(!key->empty() && hasNoSeparators(*key));
        const requested_session cookie = sessionFromHeaders(std::nullopt, text);
        const requested_session header = sessionFromHeaders(text, "");
        checkAllocation(text.size(), 2);
        CHECK_TRUE(hasNoSeparators(cookie.token) && hasNoSeparators(header.token));
        CHECK_TRUE(header.isPresent && (cookie.isPresent || cookie.token.empty()));
        if (const auto id = transactionFromText(text))
            STRCMP_EQUAL(text.c_str(), toText(*id).c_str());
        const daemon::field address = daemon::field::address(daemon::log_key::Address, text);
        CHECK_TRUE(address.value().size() <= 64);
    }
}

// Guards against forged or damaged messages that are accepted, and against memory that is allocated
// before the MAC is verified.
TEST(fuzz, peerMessages)
{
    const peer_keys keys{ { { 1, derivePeerKey("s") } }, 1 };
    peer_codec sender(1, keys);
    peer_codec receiver(2, keys);
    std::vector<std::string> samples(3);
    CHECK_FALSE(sender.seal(peer_kind::Probe, 2, probe_message{ { { "i" }, { "z" }, "a" }, true },
                            samples[0]));
    CHECK_FALSE(sender.seal(peer_kind::ForwardRequest, 2, forward_request{}, samples[1]));
    CHECK_FALSE(sender.seal(peer_kind::Hello, 0, sender_info{}, samples[2]));
    opened_message opened;
    for (int i = 0; i < mutationCount; ++i) {
        const std::string message = mutate(samples, random);
        const bool isGenuine = std::find(samples.begin(), samples.end(), message) != samples.end();
        for (const peer_transport transport :
             { peer_transport::Datagram, peer_transport::Stream }) {
            largestAllocation = 0;
            const std::error_code error =
                    receiver.open(message, transport, core::time_point{}, opened);
            checkAllocation(0, 0);
            CHECK_TRUE(error || isGenuine);
        }
    }
}

// Guards against malformed bodies from a faulty sender, which pass the MAC because it has the key.
TEST(fuzz, peerBodies)
{
    forward_request forward;
    forward.text = "text";
    forward.parameters = { "a", "b" };
    forward.transaction = core::transaction_id{ 1, 2 };
    core::statement_answer answer;
    answer.rows = { { "a", "b" }, { "c" } };
    answer.error = core::error_kind::NoPrimary;
    std::vector<forward_answer> parts;
    CHECK_FALSE(splitAnswer(answer, parts));
    const std::vector<std::string> samples{
        writeBody(forward),
        writeBody(parts[0]),
        parts[0].content,
        writeBody(configuration_body{ 1, 2, 0, 1, "text" }),
        writeBody(probe_message{ { { "i" }, { "z" }, "127.0.0.1:1" }, true }),
        writeBody(core::loan_request{ 1, 2, 3, std::vector<core::loan_request_item>(2) }),
        writeBody(core::loan_grant{ 1, 2, std::vector<core::loan_terms>(2) }),
        writeBody(core::lease_request{ 1, { 2, 3 }, 4 })
    };
    const auto readAll = [](const std::string &body) {
        forward_request request;
        if (!readBody(body, request)) {
            const core::statement_request made = toRequest(request, core::time_point{});
            CHECK_TRUE(made.deadline < core::noDeadline);
            CHECK_FALSE(toString(made.kind).empty());
        }
        forward_answer part;
        if (!readBody(body, part)) {
            part_assembler assembler;
            static_cast<void>(assembler.add(part.part, part.parts, part.content));
        }
        core::statement_answer made;
        if (!readAnswer({}, body, made) && made.error)
            CHECK_FALSE(core::answerOf(*made.error).name.empty());
        configuration_body configuration;
        static_cast<void>(readBody(body, configuration));
        for (const peer_kind_row &row : peerKinds) {
            const auto read = daemon::readPeerBody(row.kind, body);
            if (read && row.kind == peer_kind::Probe)
                CHECK_TRUE(std::get<probe_message>(*read).sender.state <= sender_state::Gone);
            if (read && row.kind == peer_kind::LoanRequest) {
                for (const core::loan_request_item &each :
                     std::get<core::loan_request>(*read).items)
                    CHECK_TRUE(each.resource.kind <= core::resource_kind::Connections);
            }
        }
    };
    for (int i = 0; i < mutationCount; ++i) {
        const std::string body = mutate(samples, random);
        largestAllocation = 0;
        readAll(body);
        checkAllocation(body.size(), 64);
    }
    // Puts the length 100,000, which the appended bytes can satisfy, at every position.
    const std::string filled = samples[2] + std::string(100'000, '\0');
    for (std::size_t at = 1; at < samples[2].size(); ++at) {
        std::string body = filled;
        body.replace(at, 1, "\xa0\x8d\x06");
        largestAllocation = 0;
        readAll(body);
        checkAllocation(body.size(), 64);
    }
}

// Guards against arbitrary bytes of an unauthenticated peer that stop the network thread or leave a
// connection in memory.
TEST(fuzz, framesOfUnauthenticatedPeers)
{
    boost::asio::io_context context;
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    std::size_t opened = 0;
    std::size_t ended = 0;
    net::tcp_links links(context, {},
                         { [&](net::link_id, const net::endpoint &, bool) { ++opened; },
                           [](net::link_id, std::string_view frame) {
                               CHECK_TRUE(!frame.empty() && frame.size() <= 4'096);
                           },
                           [&](net::link_id, const net::link_closure &) { ++ended; } });
    CHECK_FALSE(links.listen({ loopback, 0 }));
    const std::vector<std::string> samples{ std::string("\0\0\0\3abc\0\0\0\0", 11),
                                            std::string("\0\0\x10\0", 4) + std::string(4'096, 'x'),
                                            "GET / HTTP/1.1\r\n\r\n" };
    constexpr std::size_t peerCount = 300;
    for (std::size_t i = 0; i < peerCount; ++i) {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ loopback, links.local().port });
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(mutate(samples, random)), error);
        socket.close(error);
        context.poll();
        context.restart();
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (ended < peerCount && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(100));
    }
    LONGS_EQUAL(peerCount, opened);
    LONGS_EQUAL(peerCount, ended);
    LONGS_EQUAL(0, links.size());
}
