/// @file
/// @brief Tests of the accounts of shares and loans.

#include <fuchsiagw/core/share_ledger.hpp>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw::core;

namespace {

constexpr incarnation_id lenderId = 1;
constexpr incarnation_id borrowerId = 2;

time_point at(std::int64_t millis)
{
    return time_point(std::chrono::milliseconds(millis));
}

share_ledger bookWith(share_count home, token_amount tokens)
{
    share_ledger book;
    setLimit(book, 100 * oneToken, 100 * oneToken, workspaceShares, at(0));
    setHomeUntil(book, at(60'000), at(0));
    addHome(book, home, tokens, at(0));
    return book;
}

} // namespace

TEST_GROUP(share_ledger)
{
    resource_id resource{ resource_kind::Workspace, "libros" };
    loan_times times;
    share_ledger lender = bookWith(600'000, 60 * oneToken);
    share_ledger borrower = bookWith(0, 0);

    loan_terms lend(share_count shares, std::int64_t millis)
    {
        const auto terms = grantLoan(lender, resource, lenderId, borrowerId, loan_kind::Rate,
                                     shares, 10 * oneToken, times, at(millis));
        CHECK_TRUE(terms.has_value());
        return terms.value_or(loan_terms{});
    }
};

// Guards against shares that lender and borrower count at the same time.
TEST(share_ledger, giverSubtractsFirstAndBorrowerEndsFirst)
{
    const loan_terms terms = lend(100'000, 5);
    LONGS_EQUAL(500'000, usableShares(lender, at(5)));
    LONGS_EQUAL(10 * oneToken, terms.tokens);
    CHECK_TRUE(receiveLoan(borrower, terms, at(0), at(10)));
    LONGS_EQUAL(100'000, usableShares(borrower, at(10)));
    LONGS_EQUAL(100'000, usableShares(borrower, at(3'999)));
    LONGS_EQUAL(0, usableShares(borrower, at(4'000)));
    LONGS_EQUAL(500'000, usableShares(lender, at(4'024)));
    LONGS_EQUAL(600'000, usableShares(lender, at(4'025)));
}

// Guards against a loan that is counted twice because its message came twice or late.
TEST(share_ledger, ignoresDuplicatesAndLateGrants)
{
    const loan_terms terms = lend(100'000, 5);
    CHECK_FALSE(receiveLoan(borrower, terms, at(0), at(4'000)));
    LONGS_EQUAL(0, usableShares(borrower, at(4'000)));
    share_ledger other = bookWith(0, 0);
    CHECK_TRUE(receiveLoan(other, terms, at(0), at(10)));
    CHECK_FALSE(receiveLoan(other, terms, at(0), at(11)));
    LONGS_EQUAL(100'000, usableShares(other, at(11)));
    CHECK_TRUE(takeUpTo(other.bucket, 100 * oneToken, at(11)) < 11 * oneToken);
}

// Guards against a return that frees shares at the lender while a later grant revives the loan.
TEST(share_ledger, returnThatCrossesAnExtensionIsIgnored)
{
    CHECK_TRUE(receiveLoan(borrower, lend(100'000, 5), at(0), at(10)));
    const loan_terms extension = lend(0, 3'000);
    const auto back = returnLoan(borrower, resource, extension.id, times.length, at(3'001));
    CHECK_TRUE(back.has_value());
    LONGS_EQUAL(0, usableShares(borrower, at(3'001)));
    CHECK_FALSE(acceptReturn(lender, back.value_or(loan_return{}), at(3'100)));
    CHECK_TRUE(receiveLoan(borrower, extension, at(2'999), at(3'200)));
    LONGS_EQUAL(500'000, usableShares(lender, at(6'998)));
    LONGS_EQUAL(100'000, usableShares(borrower, at(6'998)));
}

// Guards against a returned loan that a late grant revives for as long as its mark is kept.
TEST(share_ledger, revivedLoanEndsWithItsGrant)
{
    CHECK_TRUE(receiveLoan(borrower, lend(100'000, 5), at(0), at(10)));
    const loan_terms extension = lend(0, 500);
    CHECK_TRUE(returnLoan(borrower, resource, extension.id, times.length, at(3'000)).has_value());
    CHECK_TRUE(receiveLoan(borrower, extension, at(495), at(3'100)));
    LONGS_EQUAL(100'000, usableShares(borrower, at(4'494)));
    LONGS_EQUAL(0, usableShares(borrower, at(4'495)));
}

// Guards against shares that stay idle although they came back, or come back twice.
TEST(share_ledger, earlyReturnIsCountedOnce)
{
    const loan_terms terms = lend(100'000, 5);
    CHECK_TRUE(receiveLoan(borrower, terms, at(0), at(10)));
    const auto back = returnLoan(borrower, resource, terms.id, times.length, at(20));
    CHECK_TRUE(acceptReturn(lender, back.value_or(loan_return{}), at(30)));
    CHECK_FALSE(acceptReturn(lender, back.value_or(loan_return{}), at(31)));
    LONGS_EQUAL(600'000, usableShares(lender, at(31)));
    CHECK_FALSE(receiveLoan(borrower, terms, at(0), at(40)));
}

// Guards against a paused holder that on waking uses, or has earned tokens from, a lapsed lease.
TEST(share_ledger, lapsedLeaseStopsHomeSharesAtItsDeadline)
{
    setHomeUntil(lender, at(1'000), at(0));
    LONGS_EQUAL(600'000, usableShares(lender, at(999)));
    CHECK_FALSE(takeToken(lender, at(50'000)));
    CHECK_FALSE(grantLoan(lender, resource, lenderId, borrowerId, loan_kind::Rate, 1, 0, times,
                          at(50'000)));
    setHomeUntil(lender, at(70'000), at(50'000));
    LONGS_EQUAL(600'000, usableShares(lender, at(50'000)));
    CHECK_FALSE(takeToken(lender, at(50'001)));
}

// Guards against home shares that are returned to the pool while they are lent.
TEST(share_ledger, lentSharesCannotLeaveHome)
{
    static_cast<void>(lend(400'000, 5));
    const share_transfer removed = removeHome(lender, 600'000, at(6));
    LONGS_EQUAL(200'000, removed.shares);
    CHECK_TRUE(removed.tokens <= 20 * oneToken);
    LONGS_EQUAL(0, usableShares(lender, at(7)));
    LONGS_EQUAL(400'000, usableShares(lender, at(4'025)));
}

// Guards against a burst of 5 that nine instances can't use because no share holds one token.
TEST(share_ledger, tokensMoveUntilATinyBurstIsUsable)
{
    share_ledger poor = bookWith(111'111, 0);
    setLimit(poor, 5 * oneToken, 5 * oneToken, workspaceShares, at(0));
    setLimit(lender, 5 * oneToken, 5 * oneToken, workspaceShares, at(0));
    CHECK_FALSE(takeToken(poor, at(3'000)));
    CHECK_TRUE(receiveLoan(poor, lend(200'000, 3'000), at(2'999), at(3'001)));
    CHECK_TRUE(takeToken(poor, at(3'001)));
}
