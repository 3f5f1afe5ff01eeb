/// @file
/// @brief Tests of the ledger of shares and loans.

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

share_ledger makeLedger(share_count home, token_amount tokens)
{
    share_ledger ledger;
    setLimit(ledger, 100 * oneToken, 100 * oneToken, workspaceShares, at(0));
    setHomeUntil(ledger, at(60'000), at(0));
    addHome(ledger, home, tokens, at(0));
    return ledger;
}

} // namespace

TEST_GROUP(share_ledger)
{
    resource_id resource{ resource_kind::Workspace, "libros" };
    loan_times times;
    share_ledger lender = makeLedger(600'000, 60 * oneToken);
    share_ledger borrower = makeLedger(0, 0);

    loan_terms lend(share_count shares, std::int64_t millis)
    {
        const auto terms = grantLoan(lender, resource, lenderId, borrowerId, loan_kind::Rate,
                                     shares, 10 * oneToken, times, at(millis));
        CHECK_TRUE(terms.has_value());
        return terms.value_or(loan_terms{});
    }
};

// Guards against shares that lender and borrower use at the same time, at the start or the end of a
// loan.
TEST(share_ledger, lenderSubtractsFirstAndBorrowerEndsFirst)
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

// Guards against a loan that is counted twice because its grant arrives twice, or is used after its
// end because the grant arrives late.
TEST(share_ledger, ignoresDuplicatesAndLateGrants)
{
    const loan_terms terms = lend(100'000, 5);
    CHECK_FALSE(receiveLoan(borrower, terms, at(0), at(4'000)));
    LONGS_EQUAL(0, usableShares(borrower, at(4'000)));
    share_ledger other = makeLedger(0, 0);
    CHECK_TRUE(receiveLoan(other, terms, at(0), at(10)));
    CHECK_FALSE(receiveLoan(other, terms, at(0), at(11)));
    LONGS_EQUAL(100'000, usableShares(other, at(11)));
    CHECK_TRUE(takeUpTo(other.bucket, 100 * oneToken, at(11)) < 11 * oneToken);
}

// Guards against shares used twice when a return and an extension of the same loan cross: the
// lender would free the shares while the borrower applies the extension.
TEST(share_ledger, returnThatCrossesAnExtensionIsIgnored)
{
    CHECK_TRUE(receiveLoan(borrower, lend(100'000, 5), at(0), at(10)));
    const loan_terms extension = lend(0, 3'000);
    const auto back =
            returnLoan(borrower, resource, extension.id, times.rateLoanDuration, at(3'001));
    CHECK_TRUE(back.has_value());
    LONGS_EQUAL(0, usableShares(borrower, at(3'001)));
    CHECK_FALSE(acceptReturn(lender, back.value_or(loan_return{}), at(3'100)));
    CHECK_TRUE(receiveLoan(borrower, extension, at(2'999), at(3'200)));
    LONGS_EQUAL(500'000, usableShares(lender, at(6'998)));
    LONGS_EQUAL(100'000, usableShares(borrower, at(6'998)));
}

// Guards against an extension that arrives after the return of the loan and makes it usable until
// the tombstone ends instead of until the extension ends.
TEST(share_ledger, lateExtensionEndsWithItsGrant)
{
    CHECK_TRUE(receiveLoan(borrower, lend(100'000, 5), at(0), at(10)));
    const loan_terms extension = lend(0, 500);
    CHECK_TRUE(returnLoan(borrower, resource, extension.id, times.rateLoanDuration, at(3'000))
                       .has_value());
    CHECK_TRUE(receiveLoan(borrower, extension, at(495), at(3'100)));
    LONGS_EQUAL(100'000, usableShares(borrower, at(4'494)));
    LONGS_EQUAL(0, usableShares(borrower, at(4'495)));
}

// Guards against returned shares that the lender does not use, or that it adds twice because the
// return arrives twice.
TEST(share_ledger, earlyReturnIsCountedOnce)
{
    const loan_terms terms = lend(100'000, 5);
    CHECK_TRUE(receiveLoan(borrower, terms, at(0), at(10)));
    const auto back = returnLoan(borrower, resource, terms.id, times.rateLoanDuration, at(20));
    CHECK_TRUE(acceptReturn(lender, back.value_or(loan_return{}), at(30)));
    CHECK_FALSE(acceptReturn(lender, back.value_or(loan_return{}), at(31)));
    LONGS_EQUAL(600'000, usableShares(lender, at(31)));
    CHECK_FALSE(receiveLoan(borrower, terms, at(0), at(40)));
}

// Guards against a process that resumes after a pause beyond its lease and then uses its home
// shares, or tokens that accrued after the lease had expired.
TEST(share_ledger, expiredLeaseStopsHomeSharesAtItsDeadline)
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

// Guards against home shares that are returned to the pool, and taken by another instance, while a
// borrower still uses them.
TEST(share_ledger, lentSharesAreNotRemoved)
{
    static_cast<void>(lend(400'000, 5));
    const share_transfer removed = removeHome(lender, 600'000, at(6));
    LONGS_EQUAL(200'000, removed.shares);
    CHECK_TRUE(removed.tokens <= 20 * oneToken);
    LONGS_EQUAL(0, usableShares(lender, at(7)));
    LONGS_EQUAL(400'000, usableShares(lender, at(4'025)));
}

// Guards against a burst of 5 that nine instances can't use because no instance's capacity holds a
// whole token.
TEST(share_ledger, borrowedTokensMakeATinyBurstUsable)
{
    share_ledger smallHolder = makeLedger(111'111, 0);
    setLimit(smallHolder, 5 * oneToken, 5 * oneToken, workspaceShares, at(0));
    setLimit(lender, 5 * oneToken, 5 * oneToken, workspaceShares, at(0));
    CHECK_FALSE(takeToken(smallHolder, at(3'000)));
    CHECK_TRUE(receiveLoan(smallHolder, lend(200'000, 3'000), at(2'999), at(3'001)));
    CHECK_TRUE(takeToken(smallHolder, at(3'001)));
}
