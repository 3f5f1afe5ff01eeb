/// @file
/// @brief Tests of the line protocol codec, including malformed and random lines.

#include <platform/wire_codec.hpp>

#include <CppUTest/TestHarness.h>

#include <random>

using namespace fuchsiagw;
using namespace fuchsiagw::adapter;

namespace {

proxy::caller_statement statementOf(std::string_view line)
{
    const caller_line decoded = decodeCallerLine(line);
    const auto *statement = std::get_if<statement_line>(&decoded);
    CHECK(statement != nullptr);
    return statement->statement;
}

bool isUnreadable(std::string_view line)
{
    return std::holds_alternative<unreadable_line>(decodeCallerLine(line));
}

} // namespace

TEST_GROUP(wire_codec){};

// Guards against a statement text that is altered before the proxy forwards it: spaces inside and
// at the end belong to the text.
TEST(wire_codec, statementKeepsItsText)
{
    const auto statement = statementOf("QUERY 5c0e WRITE 1a4 x  y z ");
    CHECK(statement.kind == proxy::statement_kind::Write);
    STRCMP_EQUAL("5c0e", statement.id.c_str());
    STRCMP_EQUAL("WRITE 1a4 x  y z ", statement.text.c_str());
    STRCMP_EQUAL("1a4", statement.name.c_str());
}

// Guards against a statement that is handled as another kind, for example a read-only transaction
// that is opened as a writing one.
TEST(wire_codec, statementKindsAreDecoded)
{
    CHECK(statementOf("QUERY 1 BEGIN").kind == proxy::statement_kind::Begin);
    CHECK(statementOf("QUERY 1 BEGIN READ").kind == proxy::statement_kind::BeginReadOnly);
    CHECK(statementOf("QUERY 1 BEGIN X").kind == proxy::statement_kind::Malformed);
    CHECK(statementOf("QUERY 1 COMMIT").kind == proxy::statement_kind::Commit);
    CHECK(statementOf("QUERY 1 DEALLOC s").kind == proxy::statement_kind::Deallocate);
    const auto prepared = statementOf("QUERY 1 PREPARE s1 WRITE q2c");
    CHECK(prepared.kind == proxy::statement_kind::Prepare);
    CHECK_TRUE(prepared.prepared.writes);
    STRCMP_EQUAL("q2c", prepared.prepared.shape.c_str());
    CHECK(statementOf("QUERY 1 PREPARE s1 BOTH q2c").kind == proxy::statement_kind::Malformed);
}

// Guards against callers that send members the control commands reserved for the proxy.
TEST(wire_codec, proxyCommandsFromCallersAreMalformed)
{
    for (const char *line : { "QUERY 1 STATUS", "QUERY 1 PAUSE 9", "QUERY 1 STEPDOWN 9",
                              "QUERY 1 DISCARD", "QUERY 1 AFTER 1.2 READ a", "QUERY 1 RESUME" })
        CHECK(statementOf(line).kind == proxy::statement_kind::Malformed);
}

// Guards against a session or statement that is opened by an incomplete line or another protocol.
TEST(wire_codec, unknownLinesAreUnreadable)
{
    CHECK_TRUE(isUnreadable(""));
    CHECK_TRUE(isUnreadable("GET / HTTP/1.1"));
    CHECK_TRUE(isUnreadable("STARTUP"));
    CHECK_TRUE(isUnreadable("QUERY"));
    CHECK_TRUE(isUnreadable("QUERY 1"));
}

// Guards against replies that callers can't parse: an error without its message or placeholder, an
// error to STARTUP that is followed by READY, or result lines out of order.
TEST(wire_codec, repliesAreEncoded)
{
    proxy::reply answer;
    answer.code = proxy::reply_code::Busy;
    answer.message = "rate_exceeded retry-after-ms=1";
    STRCMP_EQUAL("ERROR BUSY rate_exceeded retry-after-ms=1\r\nREADY I -\r\n",
                 encodeReply(answer, false).c_str());
    STRCMP_EQUAL("ERROR BUSY rate_exceeded retry-after-ms=1\r\n",
                 encodeReply(answer, true).c_str());
    answer.message.clear();
    STRCMP_EQUAL("ERROR BUSY -\r\nREADY I -\r\n", encodeReply(answer, false).c_str());
    proxy::reply rows;
    rows.rows = { "a b", "c" };
    rows.digest = "7.1f3";
    rows.state = proxy::transaction_state::Open;
    rows.position = core::log_position{ 3, 12 };
    STRCMP_EQUAL("DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1f3\r\nREADY T 3.12\r\n",
                 encodeReply(rows, false).c_str());
}

// Guards against commands that members can't parse or that lose the position to wait for.
TEST(wire_codec, commandsAreEncoded)
{
    proxy::upstream_command command;
    command.id = "5c";
    command.text = "READ a";
    command.after = core::log_position{ 3, 7 };
    STRCMP_EQUAL("QUERY 5c AFTER 3.7 READ a\r\n", encodeCommand(command).c_str());
    command.executes = true;
    command.name = "r_q1";
    command.argument = " a x";
    STRCMP_EQUAL("QUERY 5c AFTER 3.7 EXECUTE r_q1 a x\r\n", encodeCommand(command).c_str());
    proxy::upstream_command startup;
    startup.kind = proxy::command_kind::Startup;
    startup.name = "service";
    startup.argument = "house";
    startup.id = "i-1";
    STRCMP_EQUAL("STARTUP service house i-1\r\n", encodeCommand(startup).c_str());
}

// Guards against values and arguments that change when the proxy issues them again (MIXED, PINNED):
// every byte after the name is kept, whatever it is, and so is a missing argument.
TEST(wire_codec, textBehindNameIsIssuedAgainUnchanged)
{
    using namespace std::string_literals;
    for (const std::string &tail :
         { " x"s, " "s, "  x "s, " a\nQUERY 2 READ b"s, " a\rb\r"s, " a\0b"s, " \x80\xff"s }) {
        const auto set = statementOf("QUERY 1 SET v1" + tail);
        CHECK(set.kind == proxy::statement_kind::SetValue);
        proxy::upstream_command command;
        command.kind = proxy::command_kind::SetValue;
        command.name = set.name;
        command.argument = set.argument;
        CHECK("QUERY - SET v1" + tail + "\r\n" == encodeCommand(command));
        const auto execute = statementOf("QUERY 1 EXECUTE s1" + tail);
        command = {};
        command.id = execute.id;
        command.executes = true;
        command.name = "0";
        command.argument = execute.argument;
        CHECK("QUERY 1 EXECUTE 0" + tail + "\r\n" == encodeCommand(command));
    }
    STRCMP_EQUAL("", statementOf("QUERY 1 EXECUTE s1").argument.c_str());
    CHECK(statementOf("QUERY 1 SET v1").kind == proxy::statement_kind::Malformed);
}

// Guards against a reply that is made of the lines of two: a result line that follows another one,
// or a READY that ends a reply of another kind.
TEST(wire_codec, linesOutOfOrderFail)
{
    for (const char *second : { "DATAROW a", "COMPLETE 2", "ERROR BUSY -" }) {
        reply_decoder decoder;
        CHECK_FALSE(decoder.feed("COMPLETE 1", false));
        CHECK_FALSE(decoder.feed(second, false));
        CHECK_TRUE(decoder.failed());
    }
    reply_decoder opening;
    CHECK_FALSE(opening.feed("COMPLETE 1", true));
    CHECK_FALSE(opening.feed("READY I -", true));
    CHECK_TRUE(opening.failed());
}

// Guards against a read of the longest size that no replica accepts, because the position that is
// demanded with it makes the message longer.
TEST(wire_codec, longestStatementsLeaveNoRoomForPosition)
{
    const std::string start = "QUERY 1 READ ";
    const std::string longest = start + std::string(maxMessageBytes - start.size(), 'x');
    CHECK_FALSE(statementOf(longest).leavesRoomForPosition);
    CHECK_TRUE(statementOf(longest.substr(0, maxMessageBytes - 48)).leavesRoomForPosition);
    CHECK_TRUE(statementOf("QUERY 1 READ a").leavesRoomForPosition);
}

// Guards against a command whose reply the relay can't tell from that of another one.
TEST(wire_codec, repliesHaveTheShapeOfTheirCommands)
{
    using proxy::reply_shape;
    CHECK(replyShapeOf("QUERY s1 AFTER 3.7 READ a") == reply_shape::Run);
    CHECK(replyShapeOf("QUERY s1 COMMIT") == reply_shape::Commit);
    CHECK(replyShapeOf("STARTUP books house m1") == reply_shape::Startup);
    CHECK(replyShapeOf("QUERY s1 READ a") == reply_shape::Run);
    CHECK(replyShapeOf("QUERY - AFTER 3.7 BEGIN READ") == reply_shape::Begin);
    CHECK(replyShapeOf("QUERY - ROLLBACK") == reply_shape::Rollback);
    CHECK(replyShapeOf("QUERY - SET a BEGIN") == reply_shape::Setting);
    CHECK_FALSE(replyShapeOf("READY I -"));
    CHECK_FALSE(replyShapeOf("QUERY - NONSENSE"));
}

// Guards against a reply that is delivered before its READY line, and so without its state and
// position.
TEST(wire_codec, replyIsCompleteAtItsReadyLine)
{
    reply_decoder decoder;
    CHECK_FALSE(decoder.feed("DATAROW x y", false).has_value());
    CHECK_FALSE(decoder.feed("COMPLETE 7.1f3.c", false).has_value());
    const auto answer = decoder.feed("READY T 3.1209", false);
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL("x y", answer->rows.at(0).c_str());
    STRCMP_EQUAL("7.1f3.c", answer->digest.c_str());
    CHECK(answer->state == proxy::transaction_state::Open);
    CHECK(*answer->position == (core::log_position{ 3, 1209 }));
}

// Guards against a READY line that is taken for a reply although no COMPLETE or ERROR came before
// it. Only a reply to STARTUP may consist of READY alone.
TEST(wire_codec, readyWithoutOutcomeFails)
{
    reply_decoder decoder;
    CHECK_FALSE(decoder.feed("READY I 1.1", false).has_value());
    CHECK_TRUE(decoder.failed());
    reply_decoder startup;
    CHECK_TRUE(startup.feed("READY I 1.1", true).has_value());
    reply_decoder refused;
    const auto answer = refused.feed("ERROR CONNLIMIT full", true);
    CHECK(answer->code == proxy::reply_code::ConnectionLimit);
}

// Guards against status fields that are mixed up, and against incomplete status rows that are used.
TEST(wire_codec, statusRowIsDecoded)
{
    const auto status = decodeStatus("replica 3 3.1209 4 12 2 17");
    CHECK_TRUE(status.has_value());
    CHECK_FALSE(status->leads);
    LONGS_EQUAL(4, status->pausedTerm);
    CHECK(status->received == (core::log_position{ 3, 1209 }));
    CHECK_FALSE(decodeStatus("replica 3").has_value());
    CHECK_FALSE(decodeStatus("qhzkwmtrbelo").has_value());
}

// Guards against a crash, or a statement with an empty id, on malformed lines.
TEST(wire_codec, randomLinesDoNotCrash)
{
    const std::vector<std::string> words{ "QUERY",
                                          "STARTUP",
                                          "READY",
                                          "ERROR",
                                          "COMPLETE",
                                          "DATAROW",
                                          "I",
                                          "T",
                                          "1.2",
                                          "",
                                          " ",
                                          "PREPARE",
                                          "EXECUTE",
                                          "BEGIN",
                                          std::string("\0\xff", 2),
                                          "9999999999999999999999" };
    std::mt19937 random(11);
    for (int i = 0; i < 50'000; ++i) {
        std::string line;
        const std::size_t count = random() % 6;
        for (std::size_t k = 0; k < count; ++k)
            line += words[random() % words.size()] + (random() % 4 ? " " : "");
        const caller_line decoded = decodeCallerLine(line);
        if (const auto *statement = std::get_if<statement_line>(&decoded))
            CHECK_FALSE(statement->statement.id.empty());
        reply_decoder decoder;
        static_cast<void>(decoder.feed(line, random() % 2 == 0));
        static_cast<void>(decodeStatus(line));
    }
}

// Guards against a read that is never served because its rows are many: a reply may have any number
// of them.
TEST(wire_codec, replyMayHaveAnyNumberOfRows)
{
    reply_decoder decoder;
    const std::string row = "DATAROW " + std::string(maxMessageBytes - 8, 'x');
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(decoder.feed(row, false).has_value());
    CHECK_FALSE(decoder.feed("COMPLETE 7.1", false).has_value());
    const auto received = decoder.feed("READY I 1.1", false);
    CHECK_FALSE(decoder.failed());
    CHECK_TRUE(received.has_value());
}

// Guards against a relay that takes terms for names, and against numbers beyond their range.
TEST(wire_codec, termsOfABorrowerAreReadBack)
{
    proxy::upstream_command startup;
    startup.kind = proxy::command_kind::Startup;
    startup.name = "books";
    startup.argument = "house";
    startup.id = "m 1";
    startup.borrow = proxy::borrow_terms{ 2, std::chrono::milliseconds(45), true };
    const std::string text = adapter::encodeCommand(startup);
    STRCMP_EQUAL("BORROW 2 45000 1 books house m 1\r\n", text.c_str());
    const auto read =
            adapter::decodeMemberStartup(std::string_view(text).substr(0, text.size() - 2));
    CHECK_TRUE(read.has_value() && read->borrow.has_value());
    STRCMP_EQUAL("m 1", read->member.c_str());
    LONGS_EQUAL(2, read->borrow->priority);
    CHECK_TRUE(read->borrow->isExclusive);
    CHECK(adapter::replyShapeOf("BORROW 2 45000 1 books house m1") == proxy::reply_shape::Startup);
    for (const char *line :
         { "BORROW -1 1 1 books house m1", "BORROW 1 -1 1 books house m1",
           "BORROW 1 1 2 books house m1", "BORROW 1 99999999999 1 books house m1",
           "BORROW x 1 1 books house m1", "BORROW 1 1 1 books house" })
        CHECK_FALSE(adapter::decodeMemberStartup(line).has_value());
}

// Guards against a time to return that is lost between a relay and its borrower.
TEST(wire_codec, refusalOfARelayNamesTheTimeToReturn)
{
    proxy::reply refusal;
    refusal.code = proxy::reply_code::ConnectionLimit;
    refusal.retryAfter = std::chrono::milliseconds(70);
    const std::string text = adapter::encodeReply(refusal, true);
    adapter::reply_decoder decoder;
    const auto read = decoder.feed(std::string_view(text).substr(0, text.size() - 2), true);
    CHECK_TRUE(read.has_value());
    CHECK(read->retryAfter == std::chrono::milliseconds(70));
}
