/// @file
/// @brief Short, seeded soak runs of real daemons with the session interface on the loopback
/// network.

#include <platform/standin/soak.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include <unistd.h>

using namespace fuchsiagw::testing;
using std::chrono::seconds;

namespace {

soak_result runWith(std::uint64_t seed, soak_profile profile, seconds duration,
                    text_profile texts = text_profile::AllBytes, unsigned stutterPercent = 0,
                    bool lateOrders = false)
{
    soak_options options;
    options.lateOrders = lateOrders;
    options.texts = texts;
    options.stutterPercent = stutterPercent;
    options.seed = seed;
    options.profile = profile;
    options.duration = duration;
    const auto root = std::filesystem::temp_directory_path()
                      / ("fuchsiagw-soak-" + std::to_string(::getpid()));
    options.folder = (root / std::to_string(seed)).string();
    soak_result result = runSoak(options);
    std::printf("\nseed %llu, %s: %llu served, %llu failed, %zu findings\n",
                static_cast<unsigned long long>(seed),
                std::string(soakProfileNames.at(static_cast<std::size_t>(profile))).c_str(),
                static_cast<unsigned long long>(result.served),
                static_cast<unsigned long long>(result.failed), result.findings.size());
    for (const auto &[name, count] : result.inputs)
        std::printf("%s: %llu\n", name.c_str(), static_cast<unsigned long long>(count));
    for (const soak_finding &each : result.findings)
        std::printf("%s: %s\n", std::string(toString(each.guarantee)).c_str(), each.text.c_str());
    // The logs of a failed run are kept for diagnosis.
    if (result.findings.empty())
        std::filesystem::remove_all(options.folder);
    else
        std::printf("logs: %s\n", options.folder.c_str());
    return result;
}

} // namespace

TEST_GROUP(session_soak){};

// Guards against daemons that fail over real sockets although their parts work alone: settings,
// store, lent connections, limits and replies are used together, without faults.
TEST(session_soak, calmDeploymentServesEverything)
{
    const soak_result result = runWith(1, soak_profile::Calm, seconds(4), text_profile::Plain);
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
    CHECK(result.served > 500);
    CHECK(result.promotions == 0);
}

// Guards against statements, values and rows that end at or are changed by a byte of theirs: line
// feeds, NUL, blanks, and texts that look like messages.
TEST(session_soak, textsOfAllBytesPassUnchanged)
{
    const soak_result result = runWith(11, soak_profile::Calm, seconds(4));
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
    CHECK(result.served > 500);
    CHECK(result.inputs.at("texts with LF") > 100);
    CHECK(result.inputs.at("texts over 64 KiB") > 0);
}

// Guards against a reply that a member sends a second time and that is passed on as the reply to
// another statement.
TEST(session_soak, repeatedRepliesAnswerNoOtherStatement)
{
    const soak_result result = runWith(12, soak_profile::Calm, seconds(6), text_profile::Plain, 20);
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
    CHECK(result.served > 300);
    CHECK(result.inputs.at("second replies") > 100);
}

// Guards against planned operations that cut or lose statements: stops and reloads of daemons,
// draining members and withdrawn keys.
TEST(session_soak, plannedWorkBreaksNoPromise)
{
    const soak_result result = runWith(2, soak_profile::Planned, seconds(12));
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
}

// Guards against broken guarantees when faults of all kinds overlap, as in crashes during
// partitions.
TEST(session_soak, overlappingFaultsBreakNoPromise)
{
    for (const std::uint64_t seed : { 3, 4, 5, 8 }) {
        const soak_result result = runWith(seed, soak_profile::Everything, seconds(14));
        UNSIGNED_LONGS_EQUAL(0, result.findings.size());
        CHECK(result.served > 300);
    }
}

// Guards against acknowledged commits that are lost when the platform carries out promotion orders
// seconds late, as while a primary is cut off from most daemons and comes back (issue 40).
TEST(session_soak, lateOrdersLoseNoCommit)
{
    const soak_result result =
            runWith(40, soak_profile::Everything, seconds(15), text_profile::AllBytes, 0, true);
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
    CHECK(result.served > 300);
    CHECK(result.inputs.at("late promotion orders") > 0);
    CHECK(result.inputs.at("promotions in effect") > 0);
}
