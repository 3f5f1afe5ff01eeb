/// @file
/// @brief Ledger of one instance's shares of one limit, and the token bucket that they refill.
///
/// A limit on rate and burst (or on connections) that applies to all instances together is divided
/// into shares. Home shares are recorded for an incarnation in the platform's table and are usable
/// while its lease is valid. An instance may lend home shares to another one for a limited time.
///
/// All instances together never exceed the limit because of two rules. Shares are subtracted at the
/// lender before any other instance may count them, so the usable shares of all instances never
/// exceed the total. Tokens are transferred only together with shares whose capacity can hold them,
/// so the levels of all buckets never exceed the burst.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/token_bucket.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiagw::core {

using share_count = std::int64_t;

/// Number of shares into which rate and burst of a workspace are divided.
inline constexpr share_count workspaceShares = 1'000'000;

enum class resource_kind : std::uint8_t {
    Workspace, ///< rate and burst of a workspace
    Connections, ///< connections of a group, one share per connection
};

inline constexpr std::array<std::string_view, 2> resourceKindNames{ "workspace", "connections" };

/// Identifies a limit that applies to all instances together.
struct resource_id
{
    resource_kind kind = resource_kind::Workspace;
    std::string name; ///< name of the workspace or the group

    friend bool operator==(const resource_id &, const resource_id &) = default;
    friend std::strong_ordering operator<=>(const resource_id &left, const resource_id &right)
    {
        return left.kind == right.kind ? left.name.compare(right.name) <=> 0
                                       : left.kind <=> right.kind;
    }

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(kind, name);
    }
};

/// @return kind and name, for example `workspace/libros`
[[nodiscard]] std::string toString(const resource_id &resource);

/// Unique across instances: the lender numbers its loans within its incarnation.
struct loan_id
{
    incarnation_id lender = 0;
    std::uint64_t number = 0;

    friend bool operator==(const loan_id &, const loan_id &) = default;
    friend std::strong_ordering operator<=>(const loan_id &left, const loan_id &right)
    {
        return left.lender == right.lender ? left.number <=> right.number
                                           : left.lender <=> right.lender;
    }

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(lender, number);
    }
};

enum class loan_kind : std::uint8_t {
    Rate, ///< lasts seconds; extended while the borrower needs the rate
    Tokens, ///< lasts just long enough to spend the tokens transferred with the loan
};

inline constexpr std::array<std::string_view, 2> loanKindNames{ "rate", "tokens" };

/// Grant that a lender sends. A grant with a later serial of the same loan replaces the shares and
/// the remaining time; its tokens are added.
struct loan_terms
{
    loan_id id;
    resource_id resource;
    loan_kind kind = loan_kind::Rate;
    std::uint32_t serial = 0;
    share_count shares = 0; ///< shares of the whole loan
    token_amount tokens = 0; ///< tokens transferred with this serial
    std::int64_t remainingMicros = 0; ///< measured from when the borrower sent its request

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, resource, kind, serial, shares, tokens, remainingMicros);
    }
};

/// Message of a borrower that returns a loan before the loan ends.
struct loan_return
{
    loan_id id;
    resource_id resource;
    std::uint32_t serial = 0; ///< last serial that the borrower used
    token_amount tokens = 0;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, resource, serial, tokens);
    }
};

/// Loan as the lender records it.
struct granted_loan
{
    incarnation_id borrower = 0;
    loan_kind kind = loan_kind::Rate;
    share_count shares = 0;
    std::uint32_t serial = 0;
    time_point endsAt{}; ///< when the lender may use the shares again; includes the drift margin
};

/// Loan as the borrower records it.
struct received_loan
{
    loan_kind kind = loan_kind::Rate;
    share_count shares = 0; ///< 0: tombstone of a returned loan
    std::uint32_t serial = 0;
    time_point endsAt{}; ///< end of use, or of the tombstone
};

/// Invariant: 0 <= lent <= home and usable <= home - lent + borrowed, where borrowed is the sum of
/// the received loans.
struct share_ledger
{
    share_count total = workspaceShares;
    std::int64_t rate = 0; ///< rate of the whole limit, millionths of a token per second
    token_amount burst = 0; ///< burst of the whole limit
    share_count home = 0; ///< at most the shares that the table records for this incarnation
    time_point homeUntil{}; ///< deadline of the incarnation lease, after which home is unusable
    std::map<loan_id, granted_loan> out; ///< loans to other instances
    /// Loans from other instances. A returned loan stays as a tombstone, so that a delayed
    /// duplicate of its grant is rejected.
    std::map<loan_id, received_loan> in;
    std::uint64_t nextLoan = 1;
    token_bucket bucket; ///< rate and capacity in proportion to the usable shares

    share_count lent = 0; ///< sum of the shares in `out`
    share_count usable = 0; ///< at the time advancedAt
    time_point advancedAt{};
    time_point nextChangeAt = noDeadline; ///< earliest end of a loan or of the lease
};

/// Durations of loans, and the margin for clocks that run at different speeds.
struct loan_times
{
    duration rateLoanDuration = std::chrono::seconds(4); ///< of loan_kind::Rate, the longest loans
    /// Duration of loans of loan_kind::Tokens; covers several round trips between zones.
    duration tokenLoanDuration = std::chrono::milliseconds(50);
    /// 0.5 % of rateLoanDuration; crystal clocks differ by less than 0.05 %.
    duration driftMargin = std::chrono::milliseconds(20);
};

/// @return the part of @p whole that corresponds to @p shares out of @p total, rounded down
/// @complexity constant
[[nodiscard]] std::int64_t partOf(std::int64_t whole, share_count shares, share_count total);

/// @brief Applies each end of a loan or of the lease up to @p now at the time when it occurred, so
/// that the bucket refills at the rate that was valid in between.
/// @complexity constant if no loan and no lease ended, else linear in the loans
void advance(share_ledger &ledger, time_point now);

/// @brief Sets rate, burst and total of the limit after a change of the configuration.
/// @complexity constant, but see advance()
void setLimit(share_ledger &ledger, std::int64_t rate, token_amount burst, share_count total,
              time_point now);

/// @brief Sets until when home shares may be used, after the incarnation lease was renewed or lost.
/// @complexity linear in the loans
void setHomeUntil(share_ledger &ledger, time_point until, time_point now);

/// @brief Adds home shares after the table has recorded them for this incarnation.
/// @complexity linear in the loans
void addHome(share_ledger &ledger, share_count shares, token_amount tokens, time_point now);

/// Shares and the tokens that are transferred with them.
struct share_transfer
{
    share_count shares = 0;
    token_amount tokens = 0;
};

/// @brief Removes home shares before they are returned to the pool. Lent shares are not removed.
/// @return the removed shares, at most @p shares, and the tokens that were removed with them
/// @complexity linear in the loans
share_transfer removeHome(share_ledger &ledger, share_count shares, time_point now);

/// @return the shares that may be used at @p now
/// @complexity see advance()
[[nodiscard]] share_count usableShares(share_ledger &ledger, time_point now);

/// @return the home shares that are usable at @p now and not lent
/// @complexity see advance()
[[nodiscard]] share_count lendableShares(share_ledger &ledger, time_point now);

/// @brief Takes one token for a statement.
/// @return false if the bucket holds less than one token: the statement must wait or be rejected
/// @complexity see advance()
[[nodiscard]] bool takeToken(share_ledger &ledger, time_point now);

/// @brief Lends home shares, or enlarges and extends an existing loan of this kind to @p borrower.
/// @param shares number of additional shares; 0 only extends the loan
/// @param tokens tokens to transfer, limited to what the additional shares can hold
/// @return std::nullopt if the lease has expired, or if there is neither a loan to extend nor a
/// share to lend
/// @complexity linear in the loans
[[nodiscard]] std::optional<loan_terms> grantLoan(share_ledger &ledger, const resource_id &resource,
                                                  incarnation_id lender, incarnation_id borrower,
                                                  loan_kind kind, share_count shares,
                                                  token_amount tokens, const loan_times &times,
                                                  time_point now);

/// @brief Applies a grant. A grant that has ended already and a serial that was applied or returned
/// before are ignored.
/// @param sentAt when this instance sent the request that @p terms answers
/// @return whether the grant was applied
/// @complexity linear in the loans
bool receiveLoan(share_ledger &ledger, const loan_terms &terms, time_point sentAt, time_point now);

/// @brief Stops using a loan and builds the message that returns it to the lender.
/// @param longest duration of the longest loan; no grant that is still in transit can end later
/// than this after @p now
/// @return std::nullopt if the loan is not in use
/// @complexity linear in the loans
[[nodiscard]] std::optional<loan_return> returnLoan(share_ledger &ledger,
                                                    const resource_id &resource, const loan_id &id,
                                                    duration longest, time_point now);

/// @brief Ends a loan that the borrower has returned. A duplicate is ignored, and so is a return
/// with an earlier serial than the last grant: the borrower may still receive and use that grant.
/// @return whether the loan ended, so that the lender may use the shares again
/// @complexity linear in the loans
bool acceptReturn(share_ledger &ledger, const loan_return &message, time_point now);

} // namespace fuchsiagw::core
