/// @file
/// @brief Framing and pairing of messages on real daemons: texts of all bytes, and replies that
/// members send twice. Members and callers have line framing of their own.
///
/// FUCHSIAGW_SEED in the environment replaces the seed.

#include <platform/standin/raw_line_session.hpp>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace fuchsiagw::testing;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr std::size_t callerCount = 12;
constexpr milliseconds startTimeout{ 15'000 };
constexpr milliseconds longStart{ 1'500 }; // a longer one is printed
constexpr milliseconds workloadDuration{ 2'000 };
constexpr milliseconds textsTimeout{ 9'000 };
constexpr std::size_t messageLimit = std::size_t{ 1 } << 20;
constexpr std::size_t longTextBytes = 70'000;
constexpr std::size_t shownFailures = 3;
constexpr std::size_t shownFindings = 2; // of each rule
constexpr unsigned twicePercent = 33;
constexpr milliseconds leadInterval{ 600 };

/// One group for each case, so that no case sees connections of another one.
enum group_number : std::size_t {
    Data,
    Items,
    Values,
    Shapes,
    ErrorTexts,
    Limit,
    LimitOnReplicas,
    Splits,
    Calm,
    ErrorsOnce,
    DigestTwice,
    PlainTwice,
    ErrorsTwice,
    AllTwice,
    BeginsRefused,
    AllAtCommands,
};

std::uint64_t seed()
{
    const char *given = std::getenv("FUCHSIAGW_SEED");
    constexpr std::uint64_t defaultSeed = 33;
    return given != nullptr ? std::strtoull(given, nullptr, 10) : defaultSeed;
}

raw_group_options groupWith(const char *service, std::set<raw_reply_kind> sentTwice,
                            raw_error_rates errors = {})
{
    raw_group_options options;
    options.service = service;
    options.zones = { "north", "south", "north" };
    options.twicePercent = sentTwice.empty() ? 0 : twicePercent;
    options.sentTwice = std::move(sentTwice);
    options.errors = errors;
    return options;
}

/// In the order of group_number.
std::vector<raw_group_options> allGroups()
{
    const raw_error_rates errors{ 6, 4, 6 };
    std::vector<raw_group_options> groups{
        groupWith("data", {}),
        groupWith("items", {}),
        groupWith("values", {}),
        groupWith("shapes", {}),
        groupWith("errortexts", {}),
        groupWith("limit", {}),
        groupWith("replicas", {}),
        groupWith("splits", {}),
        groupWith("calm", {}),
        groupWith("once", {}, errors),
        groupWith("digest", { raw_reply_kind::Digest }),
        groupWith("plain", { raw_reply_kind::Plain, raw_reply_kind::Begin }),
        groupWith("errors", { raw_reply_kind::Error }, errors),
        groupWith("all",
                  { raw_reply_kind::Digest, raw_reply_kind::Plain, raw_reply_kind::Begin,
                    raw_reply_kind::Error, raw_reply_kind::Status },
                  errors),
        groupWith("begins", { raw_reply_kind::Begin }),
        groupWith("worst",
                  { raw_reply_kind::Digest, raw_reply_kind::Plain, raw_reply_kind::Begin,
                    raw_reply_kind::Error, raw_reply_kind::Status },
                  errors),
    };
    groups[Splits].splitsReplies = true;
    groups[BeginsRefused].twiceAtCommands = true;
    groups[BeginsRefused].refusesBeginsBehindSecondReplies = true;
    groups[AllAtCommands].twiceAtCommands = true;
    for (const group_number each : { ErrorsOnce, ErrorsTwice, AllTwice })
        groups[each].leadInterval = leadInterval;
    return groups;
}

/// The daemons are shared by all tests, because their start takes longer than most tests.
raw_line_deployment &sharedDeployment()
{
    static raw_line_deployment shared(daemonCount, allGroups(), seed());
    return shared;
}

/// Texts that a message may hold: everything but CR LF.
std::vector<std::string> oddTexts()
{
    using namespace std::string_literals;
    std::string highBytes;
    for (int byte = 0x80; byte <= 0xff; ++byte)
        highBytes += static_cast<char>(byte);
    std::string lowBytes;
    for (int byte = 0; byte < 0x80; ++byte)
        lowBytes += static_cast<char>(byte);
    std::string longLines;
    while (longLines.size() < longTextBytes)
        longLines += "a line of some length, as in a note\n";
    longLines.resize(longTextBytes);
    return {
        "plain",
        "two words",
        "a\nb",
        "a\nQUERY 5c0e7a21d94b36f8 WRITE dep paid",
        "a\nQUERY - DISCARD",
        "a\nTERMINATE",
        "x\nCOMPLETE 1.2\nREADY I -",
        "x\nDATAROW y\nCOMPLETE 1.2\nREADY I 1.2",
        "x\nERROR BUSY -\nREADY I -",
        "\n",
        "\n\nbehind",
        "before\n",
        "before\n\n",
        "a\rb",
        "before\r",
        "\r",
        "\r\r\r",
        "a\n\rb",
        "a\n\r",
        "a\0b"s,
        "\0"s,
        "\xc3\xa9 \xf0\x9f\x8c\xba",
        highBytes,
        lowBytes,
        "blanks  in   series",
        "behind   ",
        std::string(longTextBytes, 'x'),
        longLines,
    };
}

/// @return @p text with blanks before it, and texts of blanks only
std::vector<std::string> oddLastFields()
{
    std::vector<std::string> all = oddTexts();
    all.insert(all.end(), { "", " ", "   ", "  before" });
    return all;
}

std::map<raw_rule, std::size_t> report(const char *name, raw_line_record &record)
{
    std::map<raw_rule, std::size_t> counts;
    const std::vector<raw_finding> findings = record.check();
    for (const raw_finding &each : findings) {
        if (++counts[each.rule] <= shownFindings)
            std::printf("%s: %s\n", std::string(toString(each.rule)).c_str(), each.text.c_str());
    }
    std::printf("%s, seed %llu:", name, static_cast<unsigned long long>(seed()));
    for (const auto &[rule, count] : counts)
        std::printf(" %s %zu", std::string(toString(rule)).c_str(), count);
    std::printf("%s\n", counts.empty() ? " no findings" : "");
    return counts;
}

/// Sends statements, opens a new session after a failure and counts failures.
class text_sender
{
public:
    text_sender(std::size_t group, std::string name, std::string route)
        : session_(sharedDeployment(), group, std::move(name))
        , route_(std::move(route))
    { }

    /// @return whether the statement succeeded
    bool ask(const std::string &text, std::size_t fromEnd = 0)
    {
        if (steady_clock::now() >= end_) {
            ++skipped_;
            return false;
        }
        if (!session_.isOpen() && !session_.open(asked_, route_)) {
            ++failed_;
            return false;
        }
        ++asked_;
        const raw_reply reply = session_.askInParts(text, fromEnd);
        if (!reply.isSuccess())
            onFailure(text, reply);
        return reply.isSuccess();
    }
    void onFailure(const std::string &text, const raw_reply &reply)
    {
        ++failed_;
        if (failed_ <= shownFailures)
            std::printf("\nno success: '%s' got %s %s", escapeBytes(text).c_str(),
                        reply.arrived ? reply.code.c_str() : "no whole answer",
                        escapeBytes(reply.message).c_str());
    }
    void reopen() { session_.close(); }
    [[nodiscard]] raw_line_session &session() { return session_; }
    [[nodiscard]] std::size_t asked() const { return asked_; }
    [[nodiscard]] std::size_t failed() const { return failed_; }
    [[nodiscard]] std::size_t skipped() const { return skipped_; }

private:
    raw_line_session session_;
    std::string route_;
    steady_clock::time_point end_ = steady_clock::now() + textsTimeout;
    std::size_t asked_ = 0;
    std::size_t failed_ = 0;
    std::size_t skipped_ = 0; ///< the time was over
};

std::size_t failuresOf(const char *name, const std::vector<const text_sender *> &senders)
{
    std::size_t asked = 0;
    std::size_t failed = 0;
    std::size_t skipped = 0;
    for (const text_sender *each : senders) {
        asked += each->asked();
        failed += each->failed();
        skipped += each->skipped();
    }
    std::printf("%s: %zu statements, %zu without success, %zu not sent in time\n", name, asked,
                failed, skipped);
    return failed + skipped;
}

void checkTexts(const char *name, std::size_t group,
                const std::vector<const text_sender *> &senders)
{
    std::printf("\n");
    const std::size_t failures = failuresOf(name, senders);
    const auto counts = report(name, sharedDeployment().record(group));
    UNSIGNED_LONGS_EQUAL(0, failures);
    UNSIGNED_LONGS_EQUAL(0, counts.size());
    UNSIGNED_LONGS_EQUAL(0, sharedDeployment().endedDaemons());
}

/// Runs the callers' operations against one group.
raw_tally runWorkload(const char *name, std::size_t group)
{
    std::vector<std::unique_ptr<raw_line_workload>> callers;
    std::vector<std::thread> threads;
    const auto end = steady_clock::now() + workloadDuration;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.push_back(std::make_unique<raw_line_workload>(
                sharedDeployment(), group, i, seed() * 1'000 + group * callerCount + i));
        threads.emplace_back([caller = callers.back().get(), end] { caller->run(end); });
    }
    for (std::thread &each : threads)
        each.join();
    raw_tally sum;
    for (const auto &each : callers) {
        sum.started += each->tally().started;
        sum.served += each->tally().served;
        for (const auto &[code, count] : each->tally().codes)
            sum.codes[code] += count;
    }
    const raw_group_counts counts = sharedDeployment().counts(group);
    std::printf("\n%s: %llu of %llu operations served, %llu replies sent twice, %llu connections;",
                name, static_cast<unsigned long long>(sum.served),
                static_cast<unsigned long long>(sum.started),
                static_cast<unsigned long long>(counts.repliesSentTwice),
                static_cast<unsigned long long>(counts.acceptedConnections));
    for (const auto &[code, count] : sum.codes)
        std::printf(" %s %llu", code.c_str(), static_cast<unsigned long long>(count));
    std::printf("\n");
    return sum;
}

void checkSecondReplies(const char *name, std::size_t group)
{
    const raw_tally tally = runWorkload(name, group);
    const auto counts = report(name, sharedDeployment().record(group));
    CHECK(sharedDeployment().counts(group).repliesSentTwice > 0);
    CHECK(tally.served > 0);
    UNSIGNED_LONGS_EQUAL(0, counts.size());
    UNSIGNED_LONGS_EQUAL(0, sharedDeployment().endedDaemons());
}

/// Waits until the group is served, and then starts its trouble.
void start(std::size_t group)
{
    const auto from = steady_clock::now();
    const bool isServing = sharedDeployment().waitUntilServing(group, startTimeout);
    const auto waited = std::chrono::duration_cast<milliseconds>(steady_clock::now() - from);
    if (waited > longStart)
        std::printf("\n%s: served after %lld ms\n", sharedDeployment().service(group).c_str(),
                    static_cast<long long>(waited.count()));
    CHECK(isServing);
    sharedDeployment().startTrouble(group);
}

} // namespace

TEST_GROUP(session_framing){};

// Guards against a message that ends elsewhere than at CR LF in the stand-ins themselves.
TEST(session_framing, standinsSplitAtCrLfOnly)
{
    crlf_splitter splitter;
    splitter.append("a\nb\rc\r");
    CHECK(!splitter.next());
    splitter.append("\nd\r\r");
    CHECK(splitter.next() == std::string("a\nb\rc"));
    CHECK(!splitter.next());
    splitter.append("\n\r\ne");
    CHECK(splitter.next() == std::string("d\r"));
    CHECK(splitter.next() == std::string());
    CHECK(!splitter.next());
    CHECK(splitter.rest() == "e");
}

// Guards against data of writes and rows of reads that are cut at an LF, or run as statements.
TEST(session_framing, dataAndRowsKeepEveryByte)
{
    start(Data);
    text_sender current(Data, "data-current", "current");
    text_sender bounded(Data, "data-bounded", "bounded");
    std::size_t otherRows = 0;
    std::size_t number = 0;
    for (const std::string &text : oddLastFields()) {
        const std::string item = "data-" + std::to_string(number++);
        current.ask(fmt::format("WRITE {} {}", item, text));
        const bool isOpen = current.session().isOpen() || current.session().open(number, "current");
        const raw_reply reply = isOpen ? current.session().ask("READ " + item) : raw_reply{};
        otherRows += reply.rows == std::vector<std::string>{ text } ? 0 : 1;
        bounded.ask("READ " + item);
        bounded.ask(fmt::format("WRITE b{} {}", item, text));
    }
    std::printf("\ndata: %zu of %zu reads without the written text\n", otherRows, number);
    checkTexts("data", Data, { &current, &bounded });
    UNSIGNED_LONGS_EQUAL(0, otherRows);
}

// Guards against items of reads, writes and EXECUTE that are cut at an LF, or run as statements.
TEST(session_framing, itemsKeepEveryByte)
{
    start(Items);
    text_sender current(Items, "items-current", "current");
    text_sender own(Items, "items-own", "own");
    for (const std::string &text : oddTexts()) {
        current.ask("READ " + text);
        own.ask("READ " + text);
        if (text.find(' ') != std::string::npos)
            continue;
        own.ask("WRITE " + text + " data");
        own.ask("PREPARE s READ q-items");
        own.ask("EXECUTE s " + text);
    }
    checkTexts("items", Items, { &current, &own });
}

// Guards against values of SET that differ at the member from what was acknowledged, when the
// proxy issues them again on other connections and members.
TEST(session_framing, valuesKeepEveryByteOnEveryConnection)
{
    start(Values);
    text_sender first(Values, "values-first", "own");
    text_sender second(Values, "values-second", "bounded");
    const std::vector<std::string> texts = oddLastFields();
    for (std::size_t i = 0; i < texts.size(); ++i) {
        first.ask("SET v1 " + texts[i]);
        second.ask("SET v1 " + texts[texts.size() - 1 - i]);
        second.ask("SET v2 other " + std::to_string(i));
        // Writes run on the primary and reads on replicas. The sessions take turns on connections.
        first.ask("WRITE values-1 x");
        second.ask("READ values-1");
        second.ask("WRITE values-2 x");
        first.ask("READ values-2");
        if (first.ask("BEGIN") && first.ask("READ values-1"))
            first.ask("COMMIT");
        // Other sessions without values need the connections cleaned.
        if (i % 5 == 4)
            second.reopen();
    }
    checkTexts("values", Values, { &first, &second });
}

// Guards against prepared shapes and arguments of EXECUTE that a member gets with other bytes, and
// against prepared names that change or collide because of blanks in a shape.
TEST(session_framing, shapesAndArgumentsKeepEveryByte)
{
    start(Shapes);
    text_sender own(Shapes, "shapes-own", "own");
    text_sender current(Shapes, "shapes-current", "current");
    std::vector<std::string> shapes = oddTexts();
    shapes.insert(shapes.end(), { "q", "q ", "q  r", "q r", "READ q", " q" });
    for (const std::string &shape : shapes) {
        for (text_sender *each : { &own, &current }) {
            each->ask("PREPARE w WRITE " + shape);
            each->ask("PREPARE r READ " + shape);
            each->ask("EXECUTE w shapes-item data");
            each->ask("EXECUTE r shapes-item");
        }
    }
    for (const std::string &text : oddLastFields()) {
        own.ask("PREPARE w WRITE shape with\nLF");
        own.ask("EXECUTE w shapes-item " + text);
    }
    checkTexts("shapes", Shapes, { &own, &current });
}

// Guards against an error's text that ends the answer early, after which answers belong to other
// requests.
TEST(session_framing, errorTextsKeepEveryByte)
{
    start(ErrorTexts);
    raw_line_session session(sharedDeployment(), ErrorTexts, "error-texts");
    std::size_t wrong = 0;
    std::size_t number = 0;
    for (const std::string &text : oddLastFields()) {
        if (!session.isOpen())
            CHECK(session.open(number, "current"));
        const raw_reply error = session.ask("WRITE fail " + text);
        // Without a text, a daemon may put a placeholder.
        const bool isWhole = error.code == "FAILED" && (error.message == text || text.empty());
        const bool isInStep = session.isOpen() && session.ask("READ probe").isSuccess();
        wrong += isWhole && isInStep ? 0 : 1;
        ++number;
    }
    std::printf("\nerror texts: %zu of %zu changed or followed by no answer\n", wrong, number);
    checkTexts("error texts", ErrorTexts, {});
    UNSIGNED_LONGS_EQUAL(0, wrong);
}

// Guards against long messages, up to the limit of 1 MiB, that are refused, cut or end a session.
TEST(session_framing, messagesUpToTheLimitComeThrough)
{
    start(Limit);
    text_sender sender(Limit, "limit", "current");
    // The limit counts kind and fields; the CR LF ends the message.
    const std::string head = "QUERY 0123456789abcdef WRITE limit-item ";
    std::string text(messageLimit - head.size(), 'x');
    for (std::size_t i = 0; i < text.size(); i += 1'000)
        text[i] = '\n';
    sender.ask("WRITE limit-item " + text);
    sender.ask("READ limit-item");
    sender.ask("READ row-of-" + std::to_string(messageLimit - std::string("DATAROW ").size()));
    sender.ask("SET v1 " + text.substr(0, text.size() / 2));
    sender.ask("WRITE limit-item small");
    sender.ask("READ limit-item");
    checkTexts("limit", Limit, { &sender });
}

// Guards against a statement of the longest size that a prefix or a longer prepared name of the
// proxy's own makes too long for its member, which ends the connection.
TEST(session_framing, longestStatementsReachReplicas)
{
    start(LimitOnReplicas);
    text_sender sender(LimitOnReplicas, "limit on replicas", "own");
    const auto fill = [](const std::string &head) {
        const std::string before = "QUERY 0123456789abcdef " + head;
        return head + std::string(messageLimit - before.size(), 'i');
    };
    sender.ask("WRITE limit-item x");
    sender.ask("READ limit-item");
    sender.ask(fill("READ "));
    sender.ask("PREPARE s WRITE q");
    sender.ask(fill("EXECUTE s limit-item "));
    sender.ask("READ limit-item");
    checkTexts("limit on replicas", LimitOnReplicas, { &sender });
}

// Guards against a line end that is missed or seen too early because TCP divides the bytes near it.
TEST(session_framing, messagesInPartsComeThrough)
{
    start(Splits);
    text_sender sender(Splits, "parts", "current");
    constexpr std::size_t maxFromEnd = 6;
    for (const char *data : { "plain", "end\r", "a\nb\n", "\r\r" }) {
        for (std::size_t fromEnd = 1; fromEnd <= maxFromEnd; ++fromEnd) {
            sender.ask(std::string("WRITE parts ") + data, fromEnd);
            sender.ask("READ parts", fromEnd);
        }
        sender.ask(std::string("SET v1 ") + data);
    }
    checkTexts("parts", Splits, { &sender });
}

// Guards against checks that find nothing because nothing is served.
TEST(session_framing, operationsSucceedWithoutSecondReplies)
{
    start(Calm);
    const raw_tally tally = runWorkload("no second replies", Calm);
    const auto counts = report("no second replies", sharedDeployment().record(Calm));
    constexpr std::uint64_t servedPercent = 98;
    CHECK(tally.started > 300);
    CHECK(tally.served * 100 >= tally.started * servedPercent);
    UNSIGNED_LONGS_EQUAL(0, counts.size());
}

// Guards against errors of members that break a rule even if they come once, so that the cases
// below show what second replies add.
TEST(session_framing, errorsThatComeOnceBreakNothing)
{
    start(ErrorsOnce);
    const raw_tally tally = runWorkload("errors once", ErrorsOnce);
    const auto counts = report("errors once", sharedDeployment().record(ErrorsOnce));
    CHECK(tally.served > 0);
    UNSIGNED_LONGS_EQUAL(0, counts.size());
}

// Guards against a second reply with rows and digest that another statement or caller gets.
TEST(session_framing, secondRepliesOfStatementsReachNobody)
{
    start(DigestTwice);
    checkSecondReplies("digest twice", DigestTwice);
}

// Guards against a second reply to SET, PREPARE, BEGIN, ROLLBACK or DISCARD that counts as the
// reply to the next command.
TEST(session_framing, secondRepliesOfPreparationsCountForNothing)
{
    start(PlainTwice);
    checkSecondReplies("plain twice", PlainTwice);
}

// Guards against a second error that is taken for the reply to a later statement, which runs all
// the same.
TEST(session_framing, secondErrorsRefuseNothingElse)
{
    start(ErrorsTwice);
    checkSecondReplies("errors twice", ErrorsTwice);
}

// Guards against a mixture of second replies that hides the surplus of each kind.
TEST(session_framing, secondRepliesOfAllKindsReachNobody)
{
    start(AllTwice);
    checkSecondReplies("all twice", AllTwice);
}

// Guards against a begin that counts as accepted because of an earlier begin's second reply,
// although the member refuses it: the transaction's statements then run outside of it.
TEST(session_framing, refusedBeginsStayRefused)
{
    start(BeginsRefused);
    checkSecondReplies("begins refused", BeginsRefused);
}

// Guards against second replies that come at the worst moment, between a command and its reply.
TEST(session_framing, secondRepliesBeforeTheNextReplyReachNobody)
{
    start(AllAtCommands);
    checkSecondReplies("all before the next reply", AllAtCommands);
}
