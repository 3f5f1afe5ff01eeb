/// @file
/// @brief Tests of the JSON form of a group's promotion row.

#include <fuchsiagw/wire/promotion_row.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;

TEST_GROUP(promotion_row){};

// Guards against open orders that are lost between two daemons.
TEST(promotion_row, ordersRoundTripInOrder)
{
    const wire::promotion_row row{ "n1", 12'345, { { 7, "m2" }, { 9, "m1" } } };
    const wire::promotion_row read = wire::readPromotionRow(wire::toJson(row));
    STRCMP_EQUAL("n1", read.holder.c_str());
    CHECK_EQUAL(12'345, read.leaseUntilMs);
    CHECK_EQUAL(2U, read.orders.size());
    CHECK_EQUAL(7U, read.orders[0].token);
    STRCMP_EQUAL("m2", read.orders[0].member.c_str());
    CHECK_EQUAL(9U, read.orders[1].token);
    STRCMP_EQUAL("m1", read.orders[1].member.c_str());
}

// Guards against a daemon that ends, or draws no token any more, after another writer's row; a row
// of an earlier version has no orders.
TEST(promotion_row, oddRowsAreRead)
{
    CHECK_TRUE(wire::readPromotionRow("").orders.empty());
    CHECK_TRUE(wire::readPromotionRow("[1]").holder.empty());
    const auto earlier = wire::readPromotionRow(R"({"holder":"n1","until_ms":5})");
    STRCMP_EQUAL("n1", earlier.holder.c_str());
    CHECK_TRUE(earlier.orders.empty());
    const auto odd = wire::readPromotionRow(
            R"({"holder":1,"until_ms":"x","orders":[3,{"token":-1,"member":"m1"},{"token":4},
                {"token":5,"member":"m2"}]})");
    CHECK_EQUAL(0, odd.leaseUntilMs);
    CHECK_EQUAL(1U, odd.orders.size());
    STRCMP_EQUAL("m2", odd.orders[0].member.c_str());
}

// Guards against an order that hides behind a later one for the same member: any of them may have
// made the member lead, so the lowest token counts.
TEST(promotion_row, laterOrderForTheSameMemberIsCovered)
{
    proxy::open_orders orders;
    addOrder(orders, { 3, "m2" });
    addOrder(orders, { 5, "m2" });
    CHECK_EQUAL(1U, orders.size());
    CHECK_EQUAL(3U, orders.front().token);
    CHECK_TRUE(promoteOnly(orders, "m2"));
    addOrder(orders, { 6, "m1" });
    CHECK_FALSE(promoteOnly(orders, "m2"));
    CHECK_TRUE(mayReplace(orders, "m1"));
    dropRejectedOrder(orders, { 5, "m1" });
    CHECK_EQUAL(2U, orders.size());
    dropRejectedOrder(orders, { 6, "m1" });
    CHECK_TRUE(promoteOnly(orders, "m2"));
    CHECK_FALSE(mayReplace(orders, "m2"));
}
