/// @file
/// @brief Transactions on the platform's table that move shares between the pool and the home of an
/// incarnation.
///
/// Every transaction keeps the sum: free shares of the pool plus all homes is the total. Every row
/// names the transaction that wrote it, so a lost answer is found out by reading back.

#pragma once

#include <fuchsiagw/core/incarnation_lease.hpp>
#include <fuchsiagw/core/share_ledger.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsiagw::core {

/// Row `lease/<incarnation>`. Only its own incarnation changes it; a reclaim deletes it.
struct lease_row
{
    incarnation_id incarnation = 0;
    instance_id instance;
    zone_name zone;
    std::vector<incarnation_id> witnesses;
    std::map<resource_id, share_count> homes; ///< no zero entries
    std::string writtenBy; ///< id of the transaction

    friend bool operator==(const lease_row &, const lease_row &) = default;
};

/// Row `pool/<resource>`. Invariant: free plus the homes of all lease rows is total.
struct pool_row
{
    resource_id resource;
    share_count total = 0;
    share_count free = 0; ///< negative while holders must return shares after a decrease
    token_amount tokens = 0; ///< that came with the free shares; they do not grow
    std::string writtenBy; ///< id of the transaction

    friend bool operator==(const pool_row &, const pool_row &) = default;
};

using share_row = std::variant<lease_row, pool_row>;

struct versioned_share_row
{
    std::uint64_t version = 0;
    share_row row;
};

/// Rows by key as they were read. A row that is missing here does not exist.
using table_view = std::map<std::string, versioned_share_row>;

struct share_check
{
    std::string key;
    std::uint64_t version = 0; ///< 0: the row must not exist
};

struct share_put
{
    std::string key;
    share_row row;
};

/// All of it happens or nothing.
struct table_transaction
{
    std::string id; ///< a repeated id has no second effect
    std::vector<share_check> checks;
    std::vector<share_put> puts;
    std::vector<std::string> deletes;
};

/// A transaction and what it does to the books of the incarnation that submits it. Shares that are
/// given must leave the book before the transaction is sent; shares that are gained enter it once
/// the transaction is known to be committed. If it is known to be impossible, the given ones return
/// to the book.
struct share_transaction
{
    table_transaction transaction;
    std::map<resource_id, share_transfer> gained;
    std::map<resource_id, share_transfer> given;
};

enum class transaction_state : std::uint8_t {
    Committed,
    Impossible, ///< a row that it checks has changed, it can't be committed any more
    Undecided, ///< it may still be committed: send the same transaction again
};

[[nodiscard]] std::string leaseKey(incarnation_id incarnation);
[[nodiscard]] std::string poolKey(const resource_id &resource);

/// @return the row of @p incarnation, nullptr if there is none
/// @complexity logarithmic in the rows
[[nodiscard]] const lease_row *findLease(const table_view &view, incarnation_id incarnation);

/// @return the row of @p resource, nullptr if there is none
/// @complexity logarithmic in the rows
[[nodiscard]] const pool_row *findPool(const table_view &view, const resource_id &resource);

/// @brief Orders the instances that hold home shares of a workspace. A burst that is too small to
/// give every instance eight tokens is kept by fewer, spread over the zones; the others borrow.
/// @complexity linear in the peers, times logarithm
[[nodiscard]] std::vector<incarnation_id>
shareHolders(const resource_id &resource, token_amount burst, const std::vector<peer_ref> &live);

/// @brief The fair part of @p total for @p self among @p holders; the parts add up to the total.
/// @complexity linear in the holders
[[nodiscard]] share_count fairShare(share_count total, const std::vector<incarnation_id> &holders,
                                    incarnation_id self);

/// @brief Decides how many shares to take from the pool (positive) or to return (negative).
/// @param home recorded in the own row
/// @return 0 while the difference is below a tenth of the fair part, so that a change of one
/// instance among many does not make all of them write
/// @complexity constant
[[nodiscard]] share_count rebalanceDelta(share_count home, share_count fair, const pool_row &pool);

/// @brief Creates the pool of a resource, full of shares and tokens.
[[nodiscard]] table_transaction createPool(const std::string &id, const resource_id &resource,
                                           share_count total, token_amount burst);

/// @brief Changes the total, for example a group's connections. The pool takes the difference.
/// @return nothing if there is no such pool or nothing to change
[[nodiscard]] std::optional<table_transaction> resizePool(const std::string &id,
                                                          const table_view &view,
                                                          const resource_id &resource,
                                                          share_count total);

/// @brief Records a new incarnation and takes home shares, as far as the pool has them.
/// @param row without homes
/// @complexity linear in the resources, times logarithm
[[nodiscard]] share_transaction joinPool(const std::string &id, const table_view &view,
                                         lease_row row,
                                         const std::map<resource_id, share_count> &wanted);

/// @brief Takes shares from the pool and returns others.
/// @param wanted shares to take, as far as the pool has them
/// @param given shares and tokens that have left the book already
/// @return nothing if the own row is missing or nothing would change
/// @complexity linear in the resources, times logarithm
[[nodiscard]] std::optional<share_transaction>
moveShares(const std::string &id, const table_view &view, incarnation_id self,
           const std::map<resource_id, share_count> &wanted,
           const std::map<resource_id, share_transfer> &given);

/// @brief Returns shares at the end of an incarnation. The row is deleted with the last share;
/// lent shares are returned by a second call once their loans have ended.
/// @complexity linear in the resources, times logarithm
[[nodiscard]] std::optional<share_transaction>
leavePool(const std::string &id, const table_view &view, incarnation_id self,
          const std::map<resource_id, share_transfer> &given);

/// @brief Replaces the witnesses in the own row.
/// @return nothing if the own row is missing
[[nodiscard]] std::optional<table_transaction>
changeWitnesses(const std::string &id, const table_view &view, incarnation_id self,
                const std::vector<incarnation_id> &witnesses);

/// @brief Returns the home shares of a dead incarnation to the pool, without tokens. Call it only
/// for what reclaimable() lists.
/// @return nothing if the row is gone or its witnesses have not voted by majority
/// @complexity linear in the dead incarnation's resources, times logarithm
[[nodiscard]] std::optional<table_transaction> reclaimLease(const std::string &id,
                                                            const table_view &view,
                                                            incarnation_id dead,
                                                            const std::set<incarnation_id> &votes);

/// @brief Finds out what became of a transaction whose answer was lost.
/// @param view rows read after the transaction was sent
/// @complexity linear in the transaction, times logarithm
[[nodiscard]] transaction_state judge(const table_transaction &transaction, const table_view &view);

} // namespace fuchsiagw::core
