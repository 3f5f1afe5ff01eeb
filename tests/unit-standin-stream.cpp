/// @file
/// @brief Tests of the stand-ins' framing, of the drawn texts and of members that repeat replies.

#include <platform/standin/drawn_text.hpp>
#include <platform/standin/line_group.hpp>
#include <platform/standin/message_splitter.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using namespace std::chrono_literals;
using namespace std::string_literals;
using boost::asio::ip::tcp;

namespace {

/// @return the messages of a stream that arrives in parts of @p partBytes
std::vector<std::string> messagesOf(const std::string &stream, std::size_t partBytes)
{
    message_splitter splitter;
    std::vector<std::string> messages;
    for (std::size_t i = 0; i < stream.size(); i += partBytes) {
        splitter.append(std::string_view(stream).substr(i, partBytes));
        while (const auto message = splitter.next())
            messages.push_back(*message);
    }
    CHECK_FALSE(splitter.isTooLong());
    return messages;
}

/// A group of two members, and a connection to its primary.
struct member_fixture
{
    boost::asio::io_context context;
    soak_history history;
    table_store store{ context, 1 };
    std::unique_ptr<line_group> group;
    tcp::socket socket{ context };

    member_fixture()
    {
        line_group_options options;
        options.service = "books";
        options.zones = { "north", "south" };
        group = std::make_unique<line_group>(context, store, history, options, 1);
        socket.connect({ boost::asio::ip::address_v4::loopback(), group->portOf(0) });
    }

    /// @return the messages that arrive within half a second after @p text was sent
    std::vector<std::string> exchange(const std::string &text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        context.restart();
        context.run_for(500ms);
        std::string received;
        boost::system::error_code error;
        socket.non_blocking(true);
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
        return messagesOf(received, 1'000);
    }
};

} // namespace

TEST_GROUP(standin_stream){};

// Guards against stand-ins that share an error of the proxy in where a message ends.
TEST(standin_stream, messagesEndAtCrLfOnly)
{
    const std::vector<std::string> messages{
        "QUERY a WRITE b x\nQUERY c READ d", "", "\r", "a\r\r", "\n\n", "\0 \x80"s, "last"
    };
    std::string stream;
    for (const std::string &each : messages)
        stream += each + "\r\n";
    for (const std::size_t partBytes : { 1U, 2U, 3U, 7U, 1'000U })
        CHECK(messagesOf(stream + "not complete\r", partBytes) == messages);
}

// Guards against messages beyond 1 MiB that pass unnoticed, and longest messages that do not pass.
TEST(standin_stream, messagesHoldAtMostOneMebibyte)
{
    const std::string longest(maxStandinMessageBytes, 'x');
    CHECK_EQUAL(1U, messagesOf(longest + "\r\n", 60'000).size());
    message_splitter splitter;
    splitter.append(longest + "x\r\n");
    CHECK_FALSE(splitter.next().has_value());
    CHECK(splitter.isTooLong());
    message_splitter endless;
    endless.append(longest + "xx");
    CHECK_FALSE(endless.next().has_value());
    CHECK(endless.isTooLong());
}

// Guards against drawn texts that end their message, and against bytes that are never drawn.
TEST(standin_stream, drawnTextsHoldAllBytesButNoMessageEnd)
{
    core::random_engine random(1);
    std::string all;
    std::size_t empty = 0;
    for (int i = 0; i < 2'000; ++i) {
        const std::string text = drawText(random, text_profile::AllBytes);
        const std::string name = drawName(random, text_profile::AllBytes, 'v', 16);
        CHECK(text.find("\r\n") == std::string::npos);
        CHECK(name.find("\r\n") == std::string::npos && name.find(' ') == std::string::npos);
        all += text;
        empty += text.empty() ? 1 : 0;
    }
    CHECK(empty > 10);
    for (int byte = 0; byte < 256; ++byte)
        CHECK(all.find(static_cast<char>(byte)) != std::string::npos);
    const std::string longest = drawLongestText(random, 64);
    CHECK(longest.size() > maxStandinMessageBytes - 4'000);
    CHECK(longest.size() + 64 <= maxStandinMessageBytes);
}

// Guards against a soak whose members no longer repeat replies, or repeat only some kinds.
TEST(standin_stream, memberRepeatsRepliesOfEveryKind)
{
    member_fixture fixture;
    fixture.exchange("STARTUP books house\r\n");
    fixture.group->repeatReplies(0, 100, 0);
    for (const std::string &text :
         { "- SET v1 x"s, "- PREPARE s1 READ q"s, "- BEGIN"s, "- ROLLBACK"s, "- DISCARD"s,
           "- STATUS"s, "a READ i1"s, "b WRITE i1 x"s, "c EXECUTE unknown i1"s,
           "d AFTER 9.9 READ i1"s }) {
        const auto replies = fixture.exchange("QUERY " + text + "\r\n");
        CHECK(replies.size() >= 4);
        const std::size_t half = replies.size() / 2;
        CHECK(std::equal(replies.begin(), replies.begin() + static_cast<std::ptrdiff_t>(half),
                         replies.begin() + static_cast<std::ptrdiff_t>(half), replies.end()));
    }
}

// Guards against members that always end a second reply, or never part way.
TEST(standin_stream, connectionEndsWithinACutSecondReply)
{
    member_fixture fixture;
    fixture.exchange("STARTUP books house\r\n");
    fixture.group->failStatements(0, 100);
    fixture.group->repeatReplies(0, 100, 100);
    const auto replies = fixture.exchange("QUERY a READ i1\r\n");
    CHECK(replies.size() == 2 || replies.size() == 3);
    STRCMP_EQUAL("ERROR BUSY -", replies.front().c_str());
    CHECK_EQUAL(1U, fixture.history.inputs["second replies, cut"]);
    char byte = 0;
    boost::system::error_code error;
    fixture.socket.read_some(boost::asio::buffer(&byte, 1), error);
    CHECK(error == boost::asio::error::eof);
}

// Guards against members that refuse what follows the rollback of a failed transaction.
TEST(standin_stream, rollbackEndsAFailedTransaction)
{
    member_fixture fixture;
    fixture.exchange("STARTUP books house\r\n");
    fixture.exchange("QUERY - BEGIN\r\nQUERY a EXECUTE unknown i1\r\n");
    const auto failed = fixture.exchange("QUERY b READ i1\r\n");
    STRCMP_EQUAL("ERROR MALFORMED -", failed.front().c_str());
    fixture.exchange("QUERY - ROLLBACK\r\n");
    const auto read = fixture.exchange("QUERY c READ i1\r\n");
    CHECK(read.front().starts_with("COMPLETE "));
}

// Guards against two executions of a statement that can't be told apart by their digests.
TEST(standin_stream, everyExecutionHasADigestOfItsOwn)
{
    member_fixture fixture;
    fixture.exchange("STARTUP books house\r\n");
    const auto first = fixture.exchange("QUERY a READ i1\r\n");
    const auto second = fixture.exchange("QUERY a READ i1\r\n");
    CHECK(first.size() == 2 && second.size() == 2);
    CHECK(first.front().starts_with("COMPLETE ") && first.front() != second.front());
}
