/// @file
/// @brief Real daemons with the session interface on loopback: the whole path, and short seeded
/// runs of the fault soak.

#include <platform/standin/soak.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include <unistd.h>

using namespace fuchsiagw::testing;
using std::chrono::seconds;

namespace {

soak_result runWith(std::uint64_t seed, soak_profile profile, seconds duration)
{
    soak_options options;
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
    for (const soak_finding &each : result.findings)
        std::printf("%s: %s\n", std::string(toString(each.promise)).c_str(), each.text.c_str());
    // Logs of a failed run stay.
    if (result.findings.empty())
        std::filesystem::remove_all(options.folder);
    else
        std::printf("logs: %s\n", options.folder.c_str());
    return result;
}

} // namespace

TEST_GROUP(session_soak){};

// Guards against a daemon that does not serve the line protocol over real sockets: settings, store,
// lent connections, limits and answers together.
TEST(session_soak, calmDeploymentServesEverything)
{
    const soak_result result = runWith(1, soak_profile::Calm, seconds(4));
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
    CHECK(result.served > 500);
    CHECK(result.promotions == 0);
}

// Guards against planned work that cuts or loses statements: stops, reloads, leaving members and
// withdrawn keys.
TEST(session_soak, plannedWorkBreaksNoPromise)
{
    const soak_result result = runWith(2, soak_profile::Planned, seconds(12));
    UNSIGNED_LONGS_EQUAL(0, result.findings.size());
}

// Guards against broken promises under faults of every kind that overlap.
TEST(session_soak, overlappingFaultsBreakNoPromise)
{
    for (const std::uint64_t seed : { 3, 4, 5, 8 }) {
        const soak_result result = runWith(seed, soak_profile::Everything, seconds(14));
        UNSIGNED_LONGS_EQUAL(0, result.findings.size());
        CHECK(result.served > 300);
    }
}
