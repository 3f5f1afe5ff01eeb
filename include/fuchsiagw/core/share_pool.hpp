/// @file
/// @brief Transactions on the platform's table that move shares between the pool of a limit and the
/// home shares of an incarnation.
///
/// Every transaction keeps the invariant that the free shares of the pool plus the home shares of
/// all lease rows equal the total. Every row names the transaction that wrote it, so the outcome of
/// a transaction whose response was lost can be determined by reading the rows.

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

/// Row `lease/<incarnation>`. Only its own incarnation updates it; reclaimLease() deletes it.
struct lease_row
{
    incarnation_id incarnation = 0;
    instance_id instance;
    zone_name zone;
    std::vector<incarnation_id> witnesses;
    std::map<resource_id, share_count> homes; ///< no zero entries
    std::string writtenBy; ///< id of the transaction that wrote the row

    friend bool operator==(const lease_row &, const lease_row &) = default;
};

/// Row `pool/<resource>`. Invariant: free plus the home shares of all lease rows equals total.
struct pool_row
{
    resource_id resource;
    share_count total = 0;
    share_count free = 0; ///< negative while holders must return shares after a decrease of total
    token_amount tokens = 0; ///< returned with the free shares; not refilled
    std::string writtenBy; ///< id of the transaction that wrote the row

    friend bool operator==(const pool_row &, const pool_row &) = default;
};

using share_row = std::variant<lease_row, pool_row>;

struct versioned_share_row
{
    std::uint64_t version = 0;
    share_row row;
};

/// Rows by key at the time of a read. A key that is missing does not exist in the table.
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

/// Atomic: all checks hold and all changes are applied, or nothing is changed.
struct table_transaction
{
    std::string id; ///< idempotency key: a repeated id has no second effect
    std::vector<share_check> checks;
    std::vector<share_put> puts;
    std::vector<std::string> deletes;
};

/// A transaction and its effect on the ledgers of the incarnation that submits it. Given shares
/// must be removed from the ledger before the transaction is sent. Gained shares are added once the
/// transaction is known to be committed. If the transaction can't be committed any more, the given
/// shares are added to the ledger again.
struct share_transaction
{
    table_transaction transaction;
    std::map<resource_id, share_transfer> gained;
    std::map<resource_id, share_transfer> given;
};

enum class transaction_state : std::uint8_t {
    Committed,
    Impossible, ///< a checked row has changed, so the transaction can't be committed any more
    Undecided, ///< the transaction may still be committed: send it again with the same id
};

[[nodiscard]] std::string leaseKey(incarnation_id incarnation);
[[nodiscard]] std::string poolKey(const resource_id &resource);

/// @return the row of @p incarnation, nullptr if there is none
/// @complexity logarithmic in the rows
[[nodiscard]] const lease_row *findLease(const table_view &view, incarnation_id incarnation);

/// @return the row of @p resource, nullptr if there is none
/// @complexity logarithmic in the rows
[[nodiscard]] const pool_row *findPool(const table_view &view, const resource_id &resource);

/// @brief Selects and orders the instances that hold home shares of a workspace. If the burst is
/// too small for eight tokens per instance, fewer instances hold shares, spread over the zones, and
/// the others borrow from them.
/// @complexity O(n log n) in the number of peers
[[nodiscard]] std::vector<incarnation_id>
shareHolders(const resource_id &resource, token_amount burst, const std::vector<peer_ref> &live);

/// @brief Divides @p total equally among @p holders. The results of all holders add up to the
/// total.
/// @return the shares of @p self; 0 if it is not a holder
/// @complexity linear in the holders
[[nodiscard]] share_count fairShare(share_count total, const std::vector<incarnation_id> &holders,
                                    incarnation_id self);

/// @brief Computes how many shares to take from the pool (positive) or to return to it (negative).
/// @param home home shares that the own lease row records
/// @return 0 while the difference is below a tenth of the fair share, so that one instance that
/// joins or leaves among many does not make all others write
/// @complexity constant
[[nodiscard]] share_count rebalanceDelta(share_count home, share_count fair, const pool_row &pool);

/// @brief Creates the pool of a resource with all shares and the full burst of tokens.
[[nodiscard]] table_transaction createPool(const std::string &id, const resource_id &resource,
                                           share_count total, token_amount burst);

/// @brief Changes the total, for example the number of a group's connections. The free shares of
/// the pool change by the difference.
/// @return std::nullopt if the pool does not exist or has this total already
[[nodiscard]] std::optional<table_transaction> resizePool(const std::string &id,
                                                          const table_view &view,
                                                          const resource_id &resource,
                                                          share_count total);

/// @brief Records a new incarnation and takes home shares, at most the free shares of each pool.
/// @param row lease row without home shares
/// @complexity O(n log n) in the number of resources
[[nodiscard]] share_transaction joinPool(const std::string &id, const table_view &view,
                                         lease_row row,
                                         const std::map<resource_id, share_count> &wanted);

/// @brief Takes shares from some pools and returns shares to others.
/// @param wanted shares to take, limited to the free shares of each pool
/// @param given shares and tokens to return, removed from the ledger before this call
/// @return std::nullopt if the own row is missing or nothing would change
/// @complexity O(n log n) in the number of resources
[[nodiscard]] std::optional<share_transaction>
moveShares(const std::string &id, const table_view &view, incarnation_id self,
           const std::map<resource_id, share_count> &wanted,
           const std::map<resource_id, share_transfer> &given);

/// @brief Returns shares when an incarnation shuts down. The lease row is deleted with its last
/// share. Lent shares are returned by another call after their loans have ended.
/// @complexity O(n log n) in the number of resources
[[nodiscard]] std::optional<share_transaction>
leavePool(const std::string &id, const table_view &view, incarnation_id self,
          const std::map<resource_id, share_transfer> &given);

/// @brief Replaces the witnesses in the own lease row.
/// @return std::nullopt if the own row is missing
[[nodiscard]] std::optional<table_transaction>
changeWitnesses(const std::string &id, const table_view &view, incarnation_id self,
                const std::vector<incarnation_id> &witnesses);

/// @brief Returns the home shares of a dead incarnation to the pool, without tokens. Call it only
/// for incarnations that reclaimable() lists.
/// @return std::nullopt if the row does not exist or no majority of its witnesses has voted
/// @complexity O(n log n) in the number of the incarnation's resources
[[nodiscard]] std::optional<table_transaction> reclaimLease(const std::string &id,
                                                            const table_view &view,
                                                            incarnation_id dead,
                                                            const std::set<incarnation_id> &votes);

/// @brief Determines the outcome of a transaction whose response was lost.
/// @param view rows read after the transaction was sent
/// @complexity logarithmic in the rows for each row of the transaction
[[nodiscard]] transaction_state determineOutcome(const table_transaction &transaction,
                                                 const table_view &view);

} // namespace fuchsiagw::core
