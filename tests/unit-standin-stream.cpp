/// @file
/// @brief Tests of the stand-ins' framing.

#include <platform/standin/message_splitter.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace fuchsiagw::testing;
using namespace std::string_literals;

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
