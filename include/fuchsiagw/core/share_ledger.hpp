/// @file
/// @brief One instance's shares of one limit: home shares, loans out, loans in and the bucket that
/// they feed.
///
/// M7 follows from two rules. Shares are subtracted at the giver before anybody else may count
/// them, so the usable shares of all instances never exceed the total. Tokens move only with the
/// shares that make room for them, so the levels of all buckets never exceed the burst.

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

/// Shares into which a workspace's rate and burst are divided.
inline constexpr share_count workspaceShares = 1'000'000;

enum class resource_kind : std::uint8_t {
    Workspace, ///< rate and burst of a workspace
    Connections, ///< connections of a group, one share each
};

inline constexpr std::array<std::string_view, 2> resourceKindNames{ "workspace", "connections" };

/// Names a limit that applies to all instances together.
struct resource_id
{
    resource_kind kind = resource_kind::Workspace;
    std::string name; ///< of the workspace or the group

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

/// @return for example `workspace/libros`
[[nodiscard]] std::string toString(const resource_id &resource);

/// Unique because the lender numbers its loans within its incarnation.
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
    Rate, ///< lasts seconds and is extended while the borrower needs the rate
    Tokens, ///< lasts just long enough to use the tokens that come with it
};

inline constexpr std::array<std::string_view, 2> loanKindNames{ "rate", "tokens" };

/// What a lender sends. A later serial of the same loan replaces the shares and the remaining time
/// and adds its tokens.
struct loan_terms
{
    loan_id id;
    resource_id resource;
    loan_kind kind = loan_kind::Rate;
    std::uint32_t serial = 0;
    share_count shares = 0; ///< of the whole loan
    token_amount tokens = 0; ///< that move with this serial
    std::int64_t remainingMicros = 0; ///< counted by the borrower from when it sent its request

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, resource, kind, serial, shares, tokens, remainingMicros);
    }
};

/// What a borrower sends when it gives a loan back before its end.
struct loan_return
{
    loan_id id;
    resource_id resource;
    std::uint32_t serial = 0; ///< the last one that the borrower used
    token_amount tokens = 0;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, resource, serial, tokens);
    }
};

struct granted_loan
{
    incarnation_id borrower = 0;
    loan_kind kind = loan_kind::Rate;
    share_count shares = 0;
    std::uint32_t serial = 0;
    time_point endsAt{}; ///< the shares are home again from here on; includes the drift margin
};

struct received_loan
{
    loan_kind kind = loan_kind::Rate;
    share_count shares = 0; ///< 0 after an early return
    std::uint32_t serial = 0;
    time_point endsAt{}; ///< unusable from here on
};

/// Invariant: 0 <= lent <= home; the usable shares are at most home - lent + borrowed.
struct share_ledger
{
    share_count total = workspaceShares;
    std::int64_t rate = 0; ///< of the whole limit, millionths of a token per second
    token_amount burst = 0; ///< of the whole limit
    share_count home = 0; ///< recorded for this incarnation, not above the table's row
    time_point homeUntil{}; ///< deadline of the incarnation lease; home is unusable from here on
    std::map<loan_id, granted_loan> out;
    std::map<loan_id, received_loan> in; ///< returned loans stay as a mark against late grants
    std::uint64_t nextLoan = 1;
    token_bucket bucket; ///< fed by the usable shares

    share_count lent = 0; ///< sum of out
    share_count usable = 0; ///< at advancedTo
    time_point advancedTo{};
    time_point nextChange = noDeadline; ///< the earliest end of a loan or of the lease
};

/// How long loans last and the margin for clocks that run at different speeds.
struct loan_times
{
    duration length = std::chrono::seconds(4); ///< of loan_kind::Rate, the longest
    /// Of loan_kind::Tokens: several round trips between zones.
    duration tokenLoanDuration = std::chrono::milliseconds(50);
    /// 0.5 % of the length; crystal clocks differ by less than 0.05 %.
    duration driftMargin = std::chrono::milliseconds(20);
};

/// @brief The part of @p whole that belongs to @p shares, rounded down.
/// @complexity constant
[[nodiscard]] std::int64_t partOf(std::int64_t whole, share_count shares, share_count total);

/// @brief Applies every end of a loan or of the lease up to @p now, each at its own time.
/// @complexity constant if nothing ended, else linear in the loans
void advance(share_ledger &book, time_point now);

/// @brief Changes the limit itself, after a change of the configuration.
/// @complexity constant, but see advance()
void setLimit(share_ledger &book, std::int64_t rate, token_amount burst, share_count total,
              time_point now);

/// @brief Sets until when home shares may be used, after news of the incarnation lease.
/// @complexity linear in the loans
void setHomeUntil(share_ledger &book, time_point until, time_point now);

/// @brief Adds home shares that the table has recorded for this incarnation.
/// @complexity linear in the loans
void addHome(share_ledger &book, share_count shares, token_amount tokens, time_point now);

struct share_transfer
{
    share_count shares = 0;
    token_amount tokens = 0;
};

/// @brief Removes home shares before they are returned to the pool; lent shares stay.
/// @return what was removed, at most what was asked; the tokens that moved with it
/// @complexity linear in the loans
share_transfer removeHome(share_ledger &book, share_count shares, time_point now);

/// @brief Shares that may be used at @p now.
/// @complexity see advance()
[[nodiscard]] share_count usableShares(share_ledger &book, time_point now);

/// @brief Home shares that are usable now and not lent.
/// @complexity see advance()
[[nodiscard]] share_count lendableShares(share_ledger &book, time_point now);

/// @brief Takes one token for a statement.
/// @return false if the statement must wait or be refused
/// @complexity see advance()
[[nodiscard]] bool takeToken(share_ledger &book, time_point now);

/// @brief Lends home shares, or enlarges and extends the loan of this kind that @p borrower has
/// already.
/// @param shares how many more; may be 0 to extend only
/// @param tokens at most as many as fit into the lent shares
/// @return nothing if the lease has lapsed, or if there is neither a loan nor a share to lend
/// @complexity linear in the loans
[[nodiscard]] std::optional<loan_terms> grantLoan(share_ledger &book, const resource_id &resource,
                                                  incarnation_id lender, incarnation_id borrower,
                                                  loan_kind kind, share_count shares,
                                                  token_amount tokens, const loan_times &times,
                                                  time_point now);

/// @brief Takes a loan in use. A late grant and a serial that was used or returned are ignored.
/// @param sentAt when this instance sent the request that @p terms answers
/// @return whether anything changed
/// @complexity linear in the loans
bool receiveLoan(share_ledger &book, const loan_terms &terms, time_point sentAt, time_point now);

/// @brief Stops using a loan so that it can be given back.
/// @param longest the length of the longest loan: no grant that is still under way can outlast it
/// @return nothing if the loan is not in use
/// @complexity linear in the loans
[[nodiscard]] std::optional<loan_return> returnLoan(share_ledger &book, const resource_id &resource,
                                                    const loan_id &id, duration longest,
                                                    time_point now);

/// @brief Takes back a loan that the borrower has stopped using. A duplicate is ignored, and so is
/// a return that crosses a later grant of the same loan: the borrower may use that grant.
/// @return whether the shares are home again
/// @complexity linear in the loans
bool acceptReturn(share_ledger &book, const loan_return &message, time_point now);

} // namespace fuchsiagw::core
