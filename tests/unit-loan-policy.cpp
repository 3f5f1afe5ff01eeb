/// @file
/// @brief Tests of admission and loans between loan managers whose messages arrive without delay.

#include <fuchsiagw/core/loan_policy.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace fuchsiagw::core;

namespace {

constexpr std::int64_t managerCount = 9;

time_point at(std::int64_t millis)
{
    return time_point(std::chrono::milliseconds(millis));
}

} // namespace

TEST_GROUP(loan_policy)
{
    resource_id resource{ resource_kind::Workspace, "libros" };
    std::vector<loan_manager> all;
    std::int64_t sent = 0;
    std::int64_t bytes = 0;

    void open(double rate, double burst)
    {
        random_engine random(3);
        std::vector<peer_ref> live;
        for (incarnation_id i = 1; i <= managerCount; ++i)
            live.push_back({ i, instance_id{ std::to_string(i) }, zone_name{ i < 4 ? "a" : "b" } });
        std::vector<incarnation_id> holders;
        for (const peer_ref &each : live)
            holders.push_back(each.incarnation);
        all.clear();
        for (const peer_ref &each : live) {
            loan_manager &manager = all.emplace_back(makeLoanManager(each, {}, at(0)));
            share_ledger &ledger =
                    addOrUpdateLimit(manager, resource, std::int64_t(rate * oneToken),
                                     token_amount(burst * oneToken), workspaceShares, at(0))
                            .ledger;
            addHome(ledger, workspaceShares / managerCount, 0, at(0));
            setCandidates(manager, resource, holders, live, random);
            setHomeUntil(manager, noDeadline, at(0));
        }
    }
    void deliver(const std::vector<loan_message> &messages, time_point now)
    {
        for (const loan_message &message : messages) {
            ++sent;
            bytes += sizeOf(message);
            loan_manager &to = all.at(message.to - 1);
            if (const auto *request = std::get_if<loan_request>(&message.body))
                deliver(onLoanRequest(to, *request, now), now);
            else if (const auto *grant = std::get_if<loan_grant>(&message.body))
                onLoanGrant(to, *grant, now);
            else if (const auto *returns = std::get_if<loan_returns>(&message.body))
                onLoanReturns(to, *returns, now);
        }
    }
    /// Sends a statement to one loan manager each `everyMillis` and returns how many were granted.
    int run(std::size_t busy, std::int64_t from, std::int64_t until, std::int64_t everyMillis)
    {
        int granted = 0;
        std::deque<std::int64_t> waiting; // arrival times
        for (std::int64_t now = from; now < until; now += 5) {
            loan_manager &manager = all[busy];
            if (now % everyMillis == 0) {
                const admission decision = admit(manager, resource, at(now));
                granted += decision == admission::Granted ? 1 : 0;
                if (decision == admission::Wait)
                    waiting.push_back(now);
            }
            for (loan_manager &each : all)
                deliver(poll(each, at(now)), at(now));
            while (!waiting.empty() && admitWaiting(manager, resource, at(now))) {
                waiting.pop_front();
                ++granted;
            }
            for (; !waiting.empty() && waiting.front() + 200 <= now; waiting.pop_front())
                abandonWaiting(manager, resource);
        }
        for (; !waiting.empty(); waiting.pop_front())
            abandonWaiting(all[busy], resource);
        return granted;
    }
};

// Guards against a workspace that gets only a ninth of its rate, because the load balancer sends
// all its statements to one of nine instances.
TEST(loan_policy, convergesWhenOneInstanceGetsAllTraffic)
{
    open(100, 100);
    run(0, 0, 2'000, 10);
    CHECK_TRUE(run(0, 2'000, 6'000, 10) > 380); // 95 % of the rate
    CHECK_TRUE(all[0].limits[resource].ledger.usable > 850'000);
}

// Guards against shares that stay with a borrower after the demand has moved to another instance.
TEST(loan_policy, followsShiftOfDemand)
{
    open(100, 100);
    run(0, 0, 6'000, 10);
    run(8, 6'000, 6'500, 10);
    CHECK_TRUE(run(8, 6'500, 8'500, 10) > 180);
}

// Guards against an unusable burst: a burst of 5 divided among nine instances leaves each with less
// than one token.
TEST(loan_policy, servesFromTinyBurst)
{
    open(5, 5);
    run(4, 0, 3'000, 1'000);
    CHECK_TRUE(run(4, 3'000, 13'000, 250) >= 36);
}

// Guards against control traffic that grows with the load above a workspace's rate, because each
// statement without a token could send loan requests.
TEST(loan_policy, excessLoadDoesNotFloodPeers)
{
    open(100, 100);
    run(0, 0, 3'000, 10);
    sent = 0;
    bytes = 0;
    run(0, 3'000, 13'000, 5); // twice the rate
    CHECK_TRUE(bytes < 10 * 1'500);
}

// Guards against new loans while operators have switched loans off.
TEST(loan_policy, grantsNoLoansWhenSwitchedOff)
{
    open(100, 100);
    for (loan_manager &each : all)
        each.areLoansOn = false;
    run(0, 0, 2'000, 10);
    LONGS_EQUAL(0, sent);
    loan_request request{ 2, 1, 0, { { resource, loan_kind::Rate, 1'000 } } };
    CHECK_TRUE(onLoanRequest(all[0], request, at(2'000)).empty());
}

// Guards against a duplicated request message that makes the lender lend twice.
TEST(loan_policy, answersRequestOnce)
{
    open(100, 100);
    const loan_request request{ 2, 1, 0, { { resource, loan_kind::Rate, 1'000 } } };
    LONGS_EQUAL(1, onLoanRequest(all[0], request, at(1)).size());
    LONGS_EQUAL(0, onLoanRequest(all[0], request, at(2)).size());
    LONGS_EQUAL(1'000, all[0].limits[resource].ledger.lent);
}

// Guards against a lender that lends the shares of its open connections, or more than half of its
// spare shares.
TEST(loan_policy, lendsAtMostHalfOfSpareShares)
{
    open(100, 100);
    const resource_id group{ resource_kind::Connections, "g1" };
    addOrUpdateLimit(all[0], group, 0, 0, 16, at(0));
    addHome(all[0].limits[group].ledger, 10, 0, at(0));
    setHomeUntil(all[0], noDeadline, at(0));
    setConnections(all[0], group, 4, 0);
    const loan_request request{
        2, 1, 0, { { group, loan_kind::Rate, 16 }, { resource, loan_kind::Rate, workspaceShares } }
    };
    const auto answers = onLoanRequest(all[0], request, at(1));
    LONGS_EQUAL(1, answers.size());
    LONGS_EQUAL(3, all[0].limits[group].ledger.lent);
    LONGS_EQUAL(workspaceShares / 9 / 2, all[0].limits[resource].ledger.lent);
}
