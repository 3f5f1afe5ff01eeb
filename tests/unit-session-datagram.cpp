/// @file
/// @brief Tests of the datagrams between daemons, with valid, changed and hostile bytes.

#include "allocation-recorder.hpp"

#include <fuchsiagw/daemon/session_datagram.hpp>
#include <fuchsiagw/detail/engine_steps.hpp>
#include <fuchsiagw/wire/peer_codec.hpp>

#include <CppUTest/PlatformSpecificFunctions_c.h>
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <set>

using namespace fuchsiagw;
using proxy::peer_message;
using proxy::peer_message_kind;

namespace {

constexpr int changedInputs = 200'000;

peer_message fullMessage()
{
    peer_message message;
    message.kind = peer_message_kind::EvidenceAnswer;
    message.from = "node-1";
    message.incarnation = 77;
    message.sequence = 5'000;
    message.askedAtUs = 123'456;
    message.manifestVersion = 9;
    message.subject = "books";
    message.member = "m2";
    message.betweenHomes = true;
    message.amount = -4;
    message.leaders = { { "books", "m1", 3, { 3, 17 }, 250 }, { "meals", "m9", 1, { 1, 2 }, -1 } };
    message.workspaces = { "house", "farm" };
    message.parts = { { "house", 200'000, 1'000 } };
    message.recall = 5;
    return message;
}

/// A daemon of 60 workspaces and 60 services with names of a given size, beside another one.
struct named_engine
{
    static constexpr std::size_t count = 60;
    static constexpr core::time_point now{ std::chrono::hours(1) };
    proxy::engine state;

    static std::string nameOf(std::size_t number, std::size_t size)
    {
        std::string name = std::to_string(number);
        name.resize(size, 'x');
        return name;
    }

    explicit named_engine(std::size_t size)
    {
        state.settings.node = nameOf(0, 200);
        state.settings.zone = "z";
        state.incarnation = std::numeric_limits<std::uint64_t>::max();
        proxy::manifest config;
        config.version = std::numeric_limits<std::int64_t>::max();
        for (std::size_t i = 0; i < count; ++i) {
            proxy::workspace_entry workspace;
            workspace.name = nameOf(i, size);
            workspace.ratePerSecond = 1e9;
            workspace.burst = 1e6;
            config.workspaces.push_back(workspace);
            proxy::service_entry service;
            service.name = nameOf(i, size);
            config.services.emplace(service.name, service);
        }
        onManifest(state, std::make_shared<const proxy::manifest>(std::move(config)), now);
        proxy::peer_state peer;
        peer.node = "n2";
        peer.zone = "z";
        onInstances(state, { peer }, now);
        state.out.clear();
    }

    /// @return the messages that the daemon has sent; each fits into a datagram
    std::vector<peer_message> sent()
    {
        std::vector<peer_message> result;
        for (const proxy::action &each : state.out) {
            const auto *order = std::get_if<proxy::send_to_peer>(&each);
            if (order == nullptr)
                continue;
            peer_message message = order->message;
            message.sequence = std::numeric_limits<std::uint64_t>::max();
            CHECK(daemon::encodeDatagram(message).size() <= wire::maxDatagramBytes);
            result.push_back(message);
        }
        state.out.clear();
        return result;
    }
};

/// Overwrites one byte, inserts a long number, cuts off the end or repeats a part.
std::string change(std::string bytes, std::mt19937_64 &random)
{
    const std::size_t at = random() % (bytes.size() + 1);
    switch (random() % 4) {
    case 0:
        if (at < bytes.size())
            bytes[at] = static_cast<char>(random());
        break;
    case 1:
        bytes.insert(at, std::string(random() % 10, '\xff') + '\x01');
        break;
    case 2:
        bytes.resize(at);
        break;
    default:
        bytes.insert(at, bytes.substr(0, random() % 64));
    }
    return bytes;
}

} // namespace

TEST_GROUP(session_datagram)
{
    std::mt19937_64 random{ 20'261'205 };

    void setup() override
    {
        UT_PTR_SET(PlatformSpecificMalloc, &recordingMalloc);
    }
};

// Guards against checks of allocations that pass because no allocation is counted.
TEST(session_datagram, allocationsAreCounted)
{
    largestAllocation = 0;
    const std::string text(10'000, 'x');
    CHECK(largestAllocation >= text.size());
}

// Guards against fields that are lost or mixed up on the way.
TEST(session_datagram, messageIsReadBack)
{
    const auto bytes = daemon::encodeDatagram(fullMessage());
    const auto read = daemon::decodeDatagram(bytes);
    CHECK_TRUE(read.has_value());
    CHECK(daemon::encodeDatagram(*read) == bytes);
    LONGS_EQUAL(-4, read->amount);
    STRCMP_EQUAL("m9", read->leaders.at(1).member.c_str());
    STRCMP_EQUAL("farm", read->workspaces.at(1).c_str());
    LONGS_EQUAL(200'000, read->parts.at(0).part);
}

// Guards against the end of the process by one datagram: a length beyond its end must not be
// allocated. Behind 0 to 23 bytes of zeros or ones follows each length of 2^33 or more, as a fixed
// number of 8 bytes and as a number of variable length.
TEST(session_datagram, hugeLengthIsRejected)
{
    for (const char fill : { '\0', '\xff', '\x01' }) {
        for (std::size_t before = 0; before < 24; ++before) {
            for (unsigned bit = 33; bit < 64; ++bit) {
                const std::uint64_t length = std::uint64_t{ 1 } << bit;
                std::string fixed(before, fill);
                std::string variable = fixed;
                for (unsigned shift = 0; shift < 64; shift += 8)
                    fixed += static_cast<char>(length >> shift);
                for (std::uint64_t rest = length; rest != 0; rest >>= 7U)
                    variable += static_cast<char>((rest & 0x7fU) | (rest > 0x7fU ? 0x80U : 0U));
                for (const std::string &start : { fixed, variable }) {
                    largestAllocation = 0;
                    CHECK_FALSE(daemon::decodeDatagram(start + std::string(20, 'x')).has_value());
                    CHECK(largestAllocation < 4'096);
                }
            }
        }
    }
}

// Guards against values that the engine would compute with beyond their range.
TEST(session_datagram, valuesOutOfRangeAreRejected)
{
    const auto isAccepted = [](const auto &edit) {
        peer_message message = fullMessage();
        edit(message);
        return daemon::decodeDatagram(daemon::encodeDatagram(message)).has_value();
    };
    constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    CHECK(isAccepted([](peer_message &) {}));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.askedAtUs = lowest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.askedAtUs = highest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.amount = lowest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.amount = highest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.leaders[0].ageUs = lowest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.leaders[0].ageUs = highest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.parts[0].part = 1'000'001; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.parts[0].part = -1; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.parts[0].tokens = highest; }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.member.assign(300, 'x'); }));
    CHECK_FALSE(isAccepted([](peer_message &each) { each.kind = peer_message_kind{ 200 }; }));
}

// Guards against any changed message that ends the process or allocates more than its size
// justifies. Both outcomes must occur, so that the changes reach beyond the first field.
TEST(session_datagram, changedMessagesAreBounded)
{
    const std::string valid = daemon::encodeDatagram(fullMessage());
    std::array<int, 2> outcomes{};
    for (int i = 0; i < changedInputs; ++i) {
        std::string bytes = valid;
        for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes)
            bytes = change(std::move(bytes), random);
        largestAllocation = 0;
        ++outcomes.at(daemon::decodeDatagram(bytes).has_value() ? 1 : 0);
        // One byte can be an empty report in memory, and lists double their capacity.
        constexpr std::size_t memoryPerByte = 2 * sizeof(proxy::leader_report);
        CHECK(largestAllocation <= 4'096 + memoryPerByte * bytes.size());
    }
    CHECK(outcomes[0] > changedInputs / 10);
    CHECK(outcomes[1] > changedInputs / 100);
}

// Guards against messages that are never sent because they are longer than a datagram: the parts of
// the limits would not be lent, and leaders not be reported.
TEST(session_datagram, listsOfLongNamesFitIntoDatagrams)
{
    for (const std::size_t size : { 4U, 40U, 100U, 200U }) {
        named_engine daemon(size);
        for (auto &[name, quota] : daemon.state.quota.workspaces) {
            quota.inUseUntil = named_engine::now + std::chrono::seconds(1);
            quota.actsAsHomeUntil = quota.inUseUntil;
        }
        daemon.state.nextPartRequest = named_engine::now;
        requestParts(daemon.state, named_engine::now);
        std::set<std::string> asked;
        std::size_t granted = 0;
        for (peer_message &request : daemon.sent()) {
            asked.insert(request.workspaces.begin(), request.workspaces.end());
            peer_message grant = request;
            grant.kind = peer_message_kind::PartGrant;
            for (const std::string &workspace : grant.workspaces)
                grant.parts.push_back({ workspace, proxy::wholeLimit, 1'000'000 * core::oneToken });
            grant.workspaces.clear();
            CHECK(daemon::encodeDatagram(grant).size() <= wire::maxDatagramBytes);
            granted += grant.parts.size();
        }
        LONGS_EQUAL(named_engine::count, asked.size());
        LONGS_EQUAL(named_engine::count, granted);
        for (auto &[name, service] : daemon.state.services) {
            service.leader = named_engine::nameOf(1, size);
            service.term = std::numeric_limits<std::int64_t>::max();
        }
        peer_message question;
        question.from = "n2";
        onPeerMessage(daemon.state, question, named_engine::now);
        const auto answers = daemon.sent();
        LONGS_EQUAL(1, answers.size());
        CHECK(!answers[0].leaders.empty());
    }
}
