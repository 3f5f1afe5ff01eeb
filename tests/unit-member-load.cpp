/// @file
/// @brief Tests of what daemons are told about the load of members, and of what they make of it.

#include "proxy-fixture.hpp"

#include <fuchsiagw/proxy/concurrency_limit.hpp>
#include <fuchsiagw/proxy/relay_pool.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using namespace fuchsiagw;

TEST_GROUP(member_load)
{
    core::time_point now{ std::chrono::hours(1) };
    load_announcement progress;
    concurrency_limit limit;
    relay_pool pool;

    void setup() override
    {
        startLimit(limit, 4, 1, now);
    }

    /// @return the announcements within a time, with a measurement each 50 ms
    int announcementsIn(milliseconds time)
    {
        int count = 0;
        for (const core::time_point end = now + time; now < end; now += milliseconds(50))
            count += takeAnnouncement(progress, measureLoad(progress, limit, pool, now), now) ? 1
                                                                                              : 0;
        return count;
    }
};

// Load: queues that come and go within 100 ms. Guards against a datagram to every daemon for each.
TEST(member_load, shortQueuesAreNotAnnounced)
{
    for (int i = 0; i < 50; ++i) {
        static_cast<void>(addBorrower(pool, { 1, "house", now + milliseconds(900) }, now));
        CHECK_EQUAL(0, announcementsIn(milliseconds(100)));
        removeBorrower(pool, 1);
        CHECK_EQUAL(0, announcementsIn(milliseconds(100)));
    }
}

// Load: a member that is slow for five seconds. Guards against daemons that never learn of it,
// forget it while it lasts, or are told all the time.
TEST(member_load, slownessIsAnnouncedRepeatedAndEnded)
{
    limit.normalUs = 10'000;
    limit.unloadedUs = 50'000;
    const int told = announcementsIn(milliseconds(5'000));
    CHECK(told >= 4 && told <= 6);
    CHECK(progress.announced.state == load_state::Slow);
    limit.unloadedUs = 10'000;
    CHECK_EQUAL(1, announcementsIn(milliseconds(3'000)));
    CHECK(progress.announced.state == load_state::Normal);
}

TEST_GROUP(told_load)
{
    proxy_fixture fixture;
};

// Load: the relay of one replica tells that it is slow. Guards against reads that go there although
// another replica serves, and against news that are believed for ever.
TEST(told_load, readsAvoidASlowReplicaUntilTheNewsIsOld)
{
    fixture.provePrimary({ 1, 7 });
    peer_message news;
    news.kind = peer_message_kind::MemberLoad;
    news.member = "m2";
    news.load = { load_state::Slow, 4, 0, 400'000 };
    const auto memberOfNextRead = [&] {
        const session_id id = fixture.openSession("bounded");
        fixture.sendRead(id);
        std::string member;
        for (const auto &[link, each] : fixture.state.links) {
            if (!each.control && each.state != link_state::Idle)
                member = each.member;
        }
        onCallerDisconnected(fixture.state, id, fixture.now);
        return member;
    };
    const std::string before = memberOfNextRead();
    news.member = before;
    onPeerMessage(fixture.state, news, fixture.now);
    CHECK(memberOfNextRead() != before);
    CHECK(fixture.state.members.at(before).loadUntil > fixture.now);
    CHECK(fixture.state.members.at(before).loadUntil <= fixture.now + loadLifetime);
}
