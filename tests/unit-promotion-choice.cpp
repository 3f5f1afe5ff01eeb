/// @file
/// @brief Tests of the choice of the next primary.

#include <fuchsiagw/proxy/promotion.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;

namespace {

member_status paused(fuchsiagw::core::log_index index)
{
    member_status status;
    status.term = 1;
    status.received = { 1, index };
    status.pausedTerm = 2;
    return status;
}

} // namespace

TEST_GROUP(promotion_choice)
{
    promotion_state attempt;
    const std::set<std::string> replicas{ "m2", "m3" };

    void setup() override
    {
        attempt.oldPrimary = "m1";
    }
};

// Guards against promoting the replica with the shorter log, which may lack an acknowledged commit.
TEST(promotion_choice, choosesLongestLog)
{
    attempt.reports["m2"] = paused(5);
    attempt.reports["m3"] = paused(8);
    STRCMP_EQUAL("m3", chooseNewPrimary(attempt, replicas, replicas).member.c_str());
}

// Guards against promoting while a replica that may hold the only second copy has not answered.
TEST(promotion_choice, waitsForAllWitnesses)
{
    attempt.reports["m2"] = paused(5);
    CHECK_TRUE(chooseNewPrimary(attempt, replicas, replicas).member.empty());
}

// Guards against losing commits that only a draining replica holds: the electable replica with a
// shorter log must catch up first.
TEST(promotion_choice, drainingReplicaWithLongerLogDelaysPromotion)
{
    attempt.reports["m2"] = paused(5);
    attempt.reports["m3"] = paused(8);
    const promotion_choice choice = chooseNewPrimary(attempt, { "m2" }, replicas);
    CHECK_TRUE(choice.waitsForCatchUp);
}

// Guards against a promotion that waits for an unreachable witness although the old primary has
// stepped down: its log then holds every acknowledged commit.
TEST(promotion_choice, steppedDownPrimaryReplacesMissingWitnesses)
{
    attempt.reports["m1"] = paused(5);
    attempt.reports["m2"] = paused(5);
    const promotion_choice choice = chooseNewPrimary(attempt, { "m2" }, replicas);
    STRCMP_EQUAL("m2", choice.member.c_str());
    CHECK_FALSE(choice.waitsForCatchUp);
}

// Guards against promoting a replica that has not yet received the whole log of the stepped-down
// primary.
TEST(promotion_choice, replicaCatchesUpWithSteppedDownPrimaryFirst)
{
    attempt.reports["m1"] = paused(9);
    attempt.reports["m2"] = paused(5);
    CHECK_TRUE(chooseNewPrimary(attempt, { "m2" }, replicas).waitsForCatchUp);
}
