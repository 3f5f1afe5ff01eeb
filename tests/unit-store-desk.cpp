/// @file
/// @brief Tests of store_client against the stand-in of the platform's store.

#include "store-callbacks.hpp"

#include <fuchsiagw/daemon/store_client.hpp>

#include <platform/standin/table_store.hpp>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

using namespace fuchsiagw;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t incarnation = 5;
constexpr std::int64_t part = 100'000;

/// Claims a part of the limits until the list of instances contains the claim.
struct claiming_client
{
    boost::asio::io_context context;
    testing::table_store store;
    std::optional<daemon::store_client> client;
    std::optional<daemon::listed_instance> own;
    bool claimsEnabled = true;

    explicit claiming_client(std::uint64_t seed)
        : store(context, seed)
    {
        CHECK_FALSE(store.start());
        const daemon::session_settings values = testing::settingsFor(store.address());
        daemon::store_callbacks callbacks = testing::ignoringCallbacks();
        callbacks.onInstances = [this](const auto &list) { onList(list); };
        client.emplace(context, values, std::move(callbacks));
        client->start();
    }

    void onList(const std::vector<daemon::listed_instance> &list)
    {
        own.reset();
        for (const daemon::listed_instance &each : list) {
            if (each.node == "n1")
                own = each;
        }
        if (claimsEnabled && (!own || own->row.incarnation != incarnation))
            client->claim(part, incarnation);
    }

    bool isClaimed() const { return own && own->row.incarnation == incarnation; }

    bool isClaimedWithin(std::chrono::milliseconds timeout)
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!isClaimed() && std::chrono::steady_clock::now() < deadline)
            context.run_for(5ms);
        return isClaimed();
    }
};

} // namespace

TEST_GROUP(store_client){};

// Guards against a daemon that never uses its part of the limits: the store has applied its claim,
// but the response was lost, so the daemon has to find the claim in the list of instances.
TEST(store_client, claimWithLostResponseIsReadBack)
{
    claiming_client fixture(3);
    fixture.store.faults.answersLost = 100;
    CHECK_TRUE(fixture.isClaimedWithin(1'200ms));
    LONGS_EQUAL(part, fixture.own->row.part);
}

// Guards against a claim that overwrites a newer row: the row changes between the read of the list
// and the claim, so the claim's expected version is outdated.
TEST(store_client, claimDoesNotOverwriteNewerRow)
{
    claiming_client fixture(1);
    fixture.claimsEnabled = false;
    fixture.store.put("instances", "n1", R"({"incarnation":4})");
    while (!fixture.own)
        fixture.context.run_for(5ms);
    fixture.store.put("instances", "n1", R"({"incarnation":9,"part":300000})");
    fixture.client->claim(part, incarnation);
    fixture.context.run_for(300ms);
    CHECK_EQUAL(9U, fixture.own->row.incarnation);
    LONGS_EQUAL(300'000, fixture.own->row.part);
}
