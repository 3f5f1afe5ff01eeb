/// @file
/// @brief Tests of the calls to the platform's store against its stand-in.

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

/// A desk that claims its part until the list shows it.
struct claiming_desk
{
    boost::asio::io_context context;
    testing::table_store store;
    std::optional<daemon::store_client> desk;
    std::optional<daemon::listed_instance> own;
    bool claims = true;

    explicit claiming_desk(std::uint64_t seed)
        : store(context, seed)
    {
        CHECK_FALSE(store.start());
        daemon::session_settings values;
        values.instance = "n1";
        values.zone = "north";
        values.address = "127.0.0.1";
        values.storeAddress = store.address();
        daemon::store_events events;
        events.manifest = [](auto) {};
        events.members = [](const auto &) {};
        events.instances = [this](const auto &list) { onList(list); };
        events.note = [](auto, auto) {};
        desk.emplace(context, values, std::move(events));
        desk->start();
    }

    void onList(const std::vector<daemon::listed_instance> &list)
    {
        own.reset();
        for (const daemon::listed_instance &each : list) {
            if (each.node == "n1")
                own = each;
        }
        if (claims && (!own || own->row.incarnation != incarnation))
            desk->claim(part, incarnation);
    }

    bool isClaimed() const { return own && own->row.incarnation == incarnation; }

    bool claimsWithin(std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isClaimed() && std::chrono::steady_clock::now() < end)
            context.run_for(5ms);
        return isClaimed();
    }
};

} // namespace

TEST_GROUP(store_client){};

// Guards against a daemon that never uses its part of the limits because the answer to its claim
// was lost, although the claim is in the store.
TEST(store_client, claimWhoseAnswerWasLostIsSeenInTheList)
{
    claiming_desk world(3);
    world.store.faults.answersLost = 100;
    CHECK_TRUE(world.claimsWithin(1'200ms));
    LONGS_EQUAL(part, world.own->row.part);
}

// Guards against a claim that replaces a row which was written after the list was read.
TEST(store_client, claimReplacesNothingThatItHasNotSeen)
{
    claiming_desk world(1);
    world.claims = false;
    world.store.put("instances", "n1", R"({"incarnation":4})");
    while (!world.own)
        world.context.run_for(5ms);
    world.store.put("instances", "n1", R"({"incarnation":9,"part":300000})");
    world.desk->claim(part, incarnation);
    world.context.run_for(300ms);
    CHECK_EQUAL(9U, world.own->row.incarnation);
    LONGS_EQUAL(300'000, world.own->row.part);
}
