/// @file
/// @brief Tests of the transactions on lease and pool rows and of the division of shares.

#include <fuchsiagw/core/share_pool.hpp>

#include <CppUTest/TestHarness.h>

#include <numeric>

using namespace fuchsiagw::core;

TEST_GROUP(share_pool)
{
    resource_id workspace{ resource_kind::Workspace, "libros" };
    resource_id connections{ resource_kind::Connections, "g1" };
    table_view table;
    int nextId = 1;

    std::string id()
    {
        return "t" + std::to_string(nextId++);
    }

    /// Applies a transaction as the platform does: only if all checked versions match.
    bool apply(const table_transaction &transaction)
    {
        for (const share_check &check : transaction.checks) {
            const auto entry = table.find(check.key);
            if ((entry == table.end() ? 0 : entry->second.version) != check.version)
                return false;
        }
        for (const share_put &put : transaction.puts)
            table[put.key] = { table[put.key].version + 1, put.row };
        for (const std::string &key : transaction.deletes)
            table.erase(key);
        return true;
    }
    share_count sum(const resource_id &resource)
    {
        share_count all = findPool(table, resource)->free;
        for (const auto &[key, row] : table)
            if (const auto *lease = std::get_if<lease_row>(&row.row))
                all += lease->homes.contains(resource) ? lease->homes.at(resource) : 0;
        return all;
    }
    share_transaction join(incarnation_id who, share_count shares, share_count connectionShares)
    {
        return joinPool(id(), table, { who, instance_id{ "i" }, {}, { 7, 8, 9 }, {}, {} },
                        { { workspace, shares }, { connections, connectionShares } });
    }
    void setup() override
    {
        CHECK_TRUE(apply(createPool(id(), workspace, workspaceShares, 50 * oneToken)));
        CHECK_TRUE(apply(createPool(id(), connections, 16, 0)));
    }
};

// Guards against shares that are created or lost when instances join, move shares, shut down or are
// reclaimed after a crash.
TEST(share_pool, sumIsAlwaysTheTotal)
{
    CHECK_TRUE(apply(join(1, 400'000, 8).transaction));
    const share_transaction second = join(2, 900'000, 9);
    CHECK_TRUE(apply(second.transaction));
    LONGS_EQUAL(600'000, second.gained.at(workspace).shares);
    LONGS_EQUAL(30 * oneToken, second.gained.at(workspace).tokens);
    const auto given =
            moveShares(id(), table, 2, { { connections, 3 } }, { { workspace, { 100'000, 0 } } });
    CHECK_TRUE(given && apply(given->transaction));
    LONGS_EQUAL(workspaceShares, sum(workspace));
    LONGS_EQUAL(16, sum(connections));
    const auto left =
            leavePool(id(), table, 1, { { workspace, { 400'000, 5 } }, { connections, { 8, 0 } } });
    CHECK_TRUE(left && apply(left->transaction));
    POINTERS_EQUAL(nullptr, findLease(table, 1));
    LONGS_EQUAL(5, findPool(table, workspace)->tokens);
    CHECK_FALSE(reclaimLease(id(), table, 2, { 7, 1 }).has_value());
    const auto reclaim = reclaimLease(id(), table, 2, { 7, 9 });
    CHECK_TRUE(reclaim && apply(*reclaim));
    CHECK_FALSE(reclaimLease(id(), table, 2, { 7, 9 }).has_value());
    LONGS_EQUAL(workspaceShares, findPool(table, workspace)->free);
    LONGS_EQUAL(16, findPool(table, connections)->free);
}

// Guards against two instances that take the same free shares at the same time, and against a
// committed transaction that is treated as failed because its response was lost.
TEST(share_pool, rowsDetermineOutcomeOfRacesAndLostResponses)
{
    const share_transaction first = join(1, 600'000, 0);
    const share_transaction second = join(2, 600'000, 0);
    CHECK_TRUE(determineOutcome(first.transaction, table) == transaction_state::Undecided);
    CHECK_TRUE(apply(first.transaction));
    CHECK_FALSE(apply(second.transaction));
    CHECK_TRUE(determineOutcome(first.transaction, table) == transaction_state::Committed);
    CHECK_TRUE(determineOutcome(second.transaction, table) == transaction_state::Impossible);
    CHECK_TRUE(apply(join(3, 400'000, 0).transaction));
    CHECK_TRUE(determineOutcome(first.transaction, table) == transaction_state::Committed);
}

// Guards against connections that are granted after a decrease of the total while holders still
// have to return some.
TEST(share_pool, decreaseMakesFreeNegativeUntilHoldersReturnShares)
{
    CHECK_TRUE(apply(join(1, 0, 16).transaction));
    const auto resize = resizePool(id(), table, connections, 10);
    CHECK_TRUE(resize && apply(*resize));
    CHECK_FALSE(resizePool(id(), table, connections, 10).has_value());
    LONGS_EQUAL(-6, findPool(table, connections)->free);
    LONGS_EQUAL(10, sum(connections));
    CHECK_FALSE(join(2, 0, 4).gained.contains(connections));
    LONGS_EQUAL(-6, rebalanceDelta(16, 10, *findPool(table, connections)));
}

// Guards against fair shares that do not add up to the total, against holders whose part of the
// burst is too small to use, and against holders in a single zone.
TEST(share_pool, holdersAreSpreadOverZonesAndFairSharesAddUp)
{
    std::vector<peer_ref> live;
    for (incarnation_id i = 1; i <= 9; ++i)
        live.push_back({ i, instance_id{ "i" + std::to_string(i) },
                         zone_name{ std::string(1, static_cast<char>('a' + i % 3)) } });
    LONGS_EQUAL(9, shareHolders(workspace, 100 * oneToken, live).size());
    LONGS_EQUAL(1, shareHolders(workspace, oneToken, live).size());
    const auto few = shareHolders(workspace, 12 * oneToken, live);
    LONGS_EQUAL(3, few.size());
    CHECK_TRUE(few[0] % 3 != few[1] % 3 && few[1] % 3 != few[2] % 3 && few[0] % 3 != few[2] % 3);
    const share_count all = std::accumulate(few.begin(), few.end(), share_count{ 0 },
                                            [&](share_count part, auto each) {
                                                return part + fairShare(workspaceShares, few, each);
                                            });
    LONGS_EQUAL(workspaceShares, all);
    pool_row pool{ workspace, workspaceShares, 50, 0, {} };
    LONGS_EQUAL(50, rebalanceDelta(100, 200, pool));
    LONGS_EQUAL(0, rebalanceDelta(195, 200, pool));
    LONGS_EQUAL(-100, rebalanceDelta(100, 0, pool));
}
