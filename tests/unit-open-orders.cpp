/// @file
/// @brief Tests, in virtual time, that no acknowledged commit is lost when the platform carries out
/// promotion orders seconds after they were sent, beside later attempts.

#include "leader-cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::proxy;
using std::chrono::seconds;

namespace {

/// A group on a platform that checks the fencing token of an order when it carries it out.
struct late_cluster : leader_cluster
{
    explicit late_cluster(std::uint64_t seed)
        : leader_cluster(seed, true)
    {
        oldPrimaryGoesOn = false;
        fencesOrders = true;
        promotionDelay = milliseconds(600);
        advance(seconds(1));
    }

    /// Cuts a member off from daemons only: it goes on receiving and replicating.
    void hide(const std::string &member, const std::vector<std::string> &from,
              milliseconds duration)
    {
        for (const std::string &daemon : from)
            cut(member, daemon, duration);
    }

    void stopMember(const std::string &member, milliseconds duration)
    {
        members.at(member).running = false;
        after(duration, [this, member] { restartMember(member); });
    }
};

/// Plays 30 s in which orders are late at first, with a random sequence of cuts between daemons and
/// members, crashes of members, suspended daemons and daemons without the store.
void playRandomFaults(late_cluster &cluster)
{
    cluster.ordersAreLateUntil = cluster.now + milliseconds(5'000 + cluster.below(10'000));
    for (int i = 0; i < 10; ++i) {
        const std::string member = "m" + std::to_string(1 + cluster.below(3));
        const std::string daemon = "n" + std::to_string(1 + cluster.below(3));
        const milliseconds duration(300 + cluster.below(4'000));
        switch (cluster.below(6)) {
        case 0:
            cluster.hide(member, { "n1", "n2", "n3" }, duration);
            break;
        case 1:
            cluster.hide(member, { "n1", "n2" }, duration);
            break;
        case 2:
            cluster.stopMember(member, duration / 2);
            break;
        case 3:
            cluster.cut(daemon, "store", duration);
            break;
        case 4:
            cluster.suspendedUntil[daemon] = cluster.now + duration / 2;
            break;
        default:
            cluster.cut(member, "m" + std::to_string(1 + cluster.below(3)), duration / 2);
        }
        cluster.advance(milliseconds(cluster.below(2'000)));
    }
    cluster.advance(seconds(18));
}

} // namespace

TEST_GROUP(open_orders){};

// Guards against losing commits by two open orders for different members: the first one takes
// effect late, its member acknowledges commits, and then the second one replaces it by the old
// primary, which lacks them.
TEST(open_orders, returnedPrimaryIsNotPromotedBesideAnOpenOrder)
{
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        late_cluster cluster(seed);
        cluster.ordersAreLateUntil = cluster.now + seconds(12);
        cluster.hide("m1", { "n1", "n2", "n3" }, milliseconds(2'500));
        cluster.advance(seconds(5));
        // The primary leads and serves reads, but neither sends its log nor receives another one.
        cluster.cut("m1", "m2", milliseconds(12'000));
        cluster.cut("m1", "m3", milliseconds(12'000));
        cluster.advance(seconds(25));
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > 0);
}

// Guards against losing commits by orders that are carried out late beside random faults; a failing
// seed is named.
TEST(open_orders, lateOrdersBesideRandomFaultsLoseNoCommit)
{
    constexpr std::uint64_t seeds = 200;
    std::size_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        late_cluster cluster(seed);
        playRandomFaults(cluster);
        CHECK_EQUAL_TEXT(0U, cluster.lostCommits, cluster.describe(seed).c_str());
        promotions += cluster.promotions;
    }
    CHECK(promotions > seeds / 2);
}
