/// @file
/// @brief Tests of the acknowledgement policies and of pending writes.

#include <fuchsiagw/core/acknowledgement.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{ 10s };

group_view makeView()
{
    group_view view;
    group_settings settings;
    for (const char *id : { "a", "b", "c" })
        settings.members[{ id }] = {};
    applySettings(view, { "g" }, settings);
    for (const char *id : { "a", "b", "c" }) {
        const auto role = *id == 'a' ? member_role::Primary : member_role::Replica;
        observeStatus(view, { { id }, { "g" }, role, 2, { 2, 5 }, { 2, 5 }, false }, now, now);
    }
    return view;
}

bool isAcknowledged(const group_view &view, log_position position)
{
    return mayAcknowledge(acknowledgement_policy::Majority, view, 2, position, now);
}

} // namespace

TEST_GROUP(acknowledgement)
{
    group_view view = makeView();
    pending_writes pending;
};

// Guards against losing an acknowledged write: it must be held by a majority of the members, and a
// member that has accepted another term must not count.
TEST(acknowledgement, needsAMajorityUnderTheWritesTerm)
{
    view.members[{ "a" }].last = { 2, 6 };
    CHECK_FALSE(isAcknowledged(view, { 2, 6 }));
    view.members[{ "b" }].last = { 2, 7 };
    CHECK_TRUE(isAcknowledged(view, { 2, 6 }));
    view.members[{ "b" }].acceptedTerm = 3;
    CHECK_FALSE(isAcknowledged(view, { 2, 6 }));
}

// Guards against acknowledging an entry of an earlier term that the log of a later primary could
// still replace.
TEST(acknowledgement, oldEntryNeedsAnEntryOfTheCurrentTermAboveIt)
{
    for (const char *id : { "a", "b" })
        view.members[{ id }].last = { 1, 9 };
    CHECK_FALSE(isAcknowledged(view, { 1, 4 }));
    for (const char *id : { "a", "b" })
        view.members[{ id }].last = { 2, 10 };
    CHECK_TRUE(isAcknowledged(view, { 1, 4 }));
}

// Guards against acknowledging a write of a term that is known to have ended, under the policies
// that do not wait for a majority.
TEST(acknowledgement, otherPoliciesNeedTheNewestTerm)
{
    view.leaseExpiresAt = now + 1s;
    for (const auto policy :
         { acknowledgement_policy::Lease, acknowledgement_policy::KnownPosition }) {
        CHECK_TRUE(mayAcknowledge(policy, view, 2, { 2, 6 }, now));
        CHECK_FALSE(mayAcknowledge(policy, view, 1, { 1, 6 }, now));
    }
    CHECK_FALSE(mayAcknowledge(acknowledgement_policy::Lease, view, 2, { 2, 6 }, now + 1s));
}

// Guards against a number of /wait requests that grows with the number of pending writes, against a
// late answer that ends a newer request, and against a lost request that is never sent again.
TEST(acknowledgement, opensAtMostOneWaitPerMember)
{
    for (std::uint64_t i = 0; i < 1000; ++i)
        addPendingWrite(pending, { i, 2, { 2, 6 + i }, now, now + 1s });
    const auto waits = openWaits(pending, view, now);
    UNSIGNED_LONGS_EQUAL(2, waits.size());
    CHECK_TRUE((waits[0].position == log_position{ 2, 6 }));
    CHECK_TRUE(openWaits(pending, view, now).empty());
    onWaitEnded(pending, waits[0].member, waits[0].deadline - 1us);
    CHECK_TRUE(openWaits(pending, view, now).empty());
    onWaitEnded(pending, waits[0].member, waits[0].deadline);
    UNSIGNED_LONGS_EQUAL(1, openWaits(pending, view, now).size());
    UNSIGNED_LONGS_EQUAL(2, openWaits(pending, view, waits[0].deadline).size());
}

// Guards against writes that are never resolved or resolved twice.
TEST(acknowledgement, resolvesEachWriteOnce)
{
    addPendingWrite(pending, { 1, 2, { 2, 5 }, now, now + 1s });
    addPendingWrite(pending, { 2, 2, { 2, 6 }, now, now + 1s });
    addPendingWrite(pending, { 3, 2, { 2, 7 }, now, now + 2s });
    const auto policy = acknowledgement_policy::Majority;
    auto resolved = resolveWrites(pending, view, policy, now);
    UNSIGNED_LONGS_EQUAL(1, resolved.size());
    CHECK_TRUE(resolved[0].number == 1 && resolved[0].outcome == write_outcome::Acknowledged);
    CHECK_TRUE(nextExpiry(pending) == now + 1s);
    resolved = resolveWrites(pending, view, policy, now + 1s);
    UNSIGNED_LONGS_EQUAL(1, resolved.size());
    CHECK_TRUE(resolved[0].number == 2 && resolved[0].outcome == write_outcome::Expired);
    observePrimary(view, { "b" }, 3, now);
    resolved = resolveWrites(pending, view, policy, now + 1s);
    UNSIGNED_LONGS_EQUAL(1, resolved.size());
    CHECK_TRUE(resolved[0].number == 3 && resolved[0].outcome == write_outcome::Superseded);
    CHECK_TRUE(nextExpiry(pending) == noDeadline);
}
