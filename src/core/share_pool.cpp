/// @file
/// @brief Builds the transactions on lease and pool rows.

#include <fuchsiagw/core/share_pool.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

/// If the burst allows it, each zone has a holder with at least this many tokens, so that a zone
/// without connection to the others can still serve. A holder with a smaller capacity would be full
/// most of the time and discard its refill.
constexpr token_amount minTokensPerZone = 4 * oneToken;

/// With less capacity per holder, small random peaks would empty a holder's bucket.
constexpr token_amount minTokensPerHolder = 8 * oneToken;

/// A difference below the fair share divided by this number causes no transfer.
constexpr share_count rebalanceThresholdDivisor = 10;

/// FNV-1a. std::hash differs between standard libraries, but all instances must compute the same
/// order.
std::uint64_t orderHash(std::string_view text, std::uint64_t hash = 0xcbf29ce484222325ULL)
{
    for (const char each : text)
        hash = (hash ^ static_cast<unsigned char>(each)) * 0x100000001b3ULL;
    // Mixes the last characters into the high bits, which determine the order.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

/// Collects the changes of a transaction. Each row is checked once and put once.
struct transaction_builder
{
    const table_view &view;
    std::map<std::string, share_put> puts;
    std::vector<share_check> checks;
    std::vector<std::string> deletes;

    /// Copies the row into the transaction on first use.
    /// @return the row to change, nullptr if it does not exist or has another type
    template <typename row_type>
    row_type *edit(const std::string &key)
    {
        auto put = puts.find(key);
        if (put == puts.end()) {
            const auto known = view.find(key);
            if (known == view.end() || !std::holds_alternative<row_type>(known->second.row))
                return nullptr;
            checks.push_back({ key, known->second.version });
            put = puts.emplace(key, share_put{ key, known->second.row }).first;
        }
        return &std::get<row_type>(put->second.row);
    }

    table_transaction finish(const std::string &id)
    {
        table_transaction transaction{ id, std::move(checks), {}, std::move(deletes) };
        for (auto &[key, put] : puts) {
            std::visit([&id](auto &row) { row.writtenBy = id; }, put.row);
            transaction.puts.push_back(std::move(put));
        }
        return transaction;
    }
};

share_transfer takeFromPool(pool_row &pool, share_count wanted)
{
    share_transfer taken;
    taken.shares = std::clamp<share_count>(wanted, 0, std::max<share_count>(pool.free, 0));
    if (taken.shares == 0)
        return taken;
    taken.tokens = partOf(pool.tokens, taken.shares, pool.free);
    pool.free -= taken.shares;
    pool.tokens -= taken.tokens;
    return taken;
}

void changeHome(lease_row &lease, const resource_id &resource, share_count difference)
{
    share_count &home = lease.homes[resource];
    home += difference;
    assert(home >= 0);
    if (home == 0)
        lease.homes.erase(resource);
}

void returnToPool(transaction_builder &builder, lease_row &lease,
                  const std::map<resource_id, share_transfer> &given)
{
    for (const auto &[resource, removed] : given) {
        if (removed.shares == 0)
            continue;
        changeHome(lease, resource, -removed.shares);
        // The pool of a resource that was removed from the configuration no longer exists, so its
        // shares are dropped.
        if (auto *pool = builder.edit<pool_row>(poolKey(resource))) {
            pool->free += removed.shares;
            pool->tokens += removed.tokens;
        }
    }
}

} // namespace

std::string leaseKey(incarnation_id incarnation)
{
    return "lease/" + std::to_string(incarnation);
}

std::string poolKey(const resource_id &resource)
{
    return "pool/" + toString(resource);
}

const lease_row *findLease(const table_view &view, incarnation_id incarnation)
{
    const auto entry = view.find(leaseKey(incarnation));
    return entry == view.end() ? nullptr : std::get_if<lease_row>(&entry->second.row);
}

const pool_row *findPool(const table_view &view, const resource_id &resource)
{
    const auto entry = view.find(poolKey(resource));
    return entry == view.end() ? nullptr : std::get_if<pool_row>(&entry->second.row);
}

std::vector<incarnation_id> shareHolders(const resource_id &resource, token_amount burst,
                                         const std::vector<peer_ref> &live)
{
    struct candidate
    {
        std::size_t round = 0; ///< rank within its zone
        std::uint64_t hash = 0;
        const peer_ref *peer = nullptr;
    };
    std::vector<candidate> candidates;
    candidates.reserve(live.size());
    const std::uint64_t seed = orderHash(toString(resource));
    for (const peer_ref &peer : live)
        candidates.push_back({ 0, orderHash(peer.instance.value, seed), &peer });
    const auto before = [](const candidate &left, const candidate &right) {
        if (left.round != right.round)
            return left.round < right.round;
        if (left.hash != right.hash)
            return left.hash > right.hash;
        return left.peer->incarnation < right.peer->incarnation;
    };
    std::sort(candidates.begin(), candidates.end(), before);
    std::map<zone_name, std::size_t> rounds;
    for (candidate &each : candidates)
        each.round = rounds[each.peer->zone]++;
    std::sort(candidates.begin(), candidates.end(), before);
    const auto zoneHolders = std::min<std::int64_t>(std::ssize(rounds), burst / minTokensPerZone);
    const auto affordable = static_cast<std::size_t>(
            std::max<std::int64_t>({ burst / minTokensPerHolder, zoneHolders, 1 }));
    candidates.resize(std::min(candidates.size(), affordable));
    std::vector<incarnation_id> holders;
    holders.reserve(candidates.size());
    for (const candidate &each : candidates)
        holders.push_back(each.peer->incarnation);
    return holders;
}

share_count fairShare(share_count total, const std::vector<incarnation_id> &holders,
                      incarnation_id self)
{
    const auto position = std::find(holders.begin(), holders.end(), self);
    if (position == holders.end())
        return 0;
    const share_count count = std::ssize(holders);
    const share_count rank = position - holders.begin();
    return total / count + (rank < total % count ? 1 : 0);
}

share_count rebalanceDelta(share_count home, share_count fair, const pool_row &pool)
{
    const share_count difference = fair - home;
    const bool isSmall = std::abs(difference) * rebalanceThresholdDivisor < fair;
    if (difference > 0)
        return isSmall ? 0 : std::min(difference, std::max<share_count>(pool.free, 0));
    // A pool with negative free shares needs every surplus share, however small the difference.
    return isSmall && pool.free >= 0 ? 0 : difference;
}

table_transaction createPool(const std::string &id, const resource_id &resource, share_count total,
                             token_amount burst)
{
    const std::string key = poolKey(resource);
    return { id, { { key, 0 } }, { { key, pool_row{ resource, total, total, burst, id } } }, {} };
}

std::optional<table_transaction> resizePool(const std::string &id, const table_view &view,
                                            const resource_id &resource, share_count total)
{
    transaction_builder builder{ view, {}, {}, {} };
    auto *pool = builder.edit<pool_row>(poolKey(resource));
    if (pool == nullptr || pool->total == total)
        return std::nullopt;
    pool->free += total - pool->total;
    pool->total = total;
    return builder.finish(id);
}

share_transaction joinPool(const std::string &id, const table_view &view, lease_row row,
                           const std::map<resource_id, share_count> &wanted)
{
    assert(row.homes.empty());
    share_transaction move;
    transaction_builder builder{ view, {}, {}, {} };
    for (const auto &[resource, shares] : wanted) {
        const pool_row *known = findPool(view, resource);
        if (known == nullptr || known->free <= 0 || shares <= 0)
            continue;
        const share_transfer taken =
                takeFromPool(*builder.edit<pool_row>(poolKey(resource)), shares);
        move.gained[resource] = taken;
        changeHome(row, resource, taken.shares);
    }
    const std::string key = leaseKey(row.incarnation);
    builder.checks.push_back({ key, 0 });
    builder.puts.emplace(key, share_put{ key, std::move(row) });
    move.transaction = builder.finish(id);
    return move;
}

std::optional<share_transaction> moveShares(const std::string &id, const table_view &view,
                                            incarnation_id self,
                                            const std::map<resource_id, share_count> &wanted,
                                            const std::map<resource_id, share_transfer> &given)
{
    share_transaction move;
    transaction_builder builder{ view, {}, {}, {} };
    auto *lease = builder.edit<lease_row>(leaseKey(self));
    if (lease == nullptr)
        return std::nullopt;
    returnToPool(builder, *lease, given);
    move.given = given;
    for (const auto &[resource, shares] : wanted) {
        const pool_row *known = findPool(view, resource);
        if (known == nullptr || known->free <= 0 || shares <= 0)
            continue;
        const share_transfer taken =
                takeFromPool(*builder.edit<pool_row>(poolKey(resource)), shares);
        move.gained[resource] = taken;
        changeHome(*lease, resource, taken.shares);
    }
    if (builder.puts.size() == 1)
        return std::nullopt;
    move.transaction = builder.finish(id);
    return move;
}

std::optional<share_transaction> leavePool(const std::string &id, const table_view &view,
                                           incarnation_id self,
                                           const std::map<resource_id, share_transfer> &given)
{
    share_transaction move;
    transaction_builder builder{ view, {}, {}, {} };
    const std::string key = leaseKey(self);
    auto *lease = builder.edit<lease_row>(key);
    if (lease == nullptr)
        return std::nullopt;
    returnToPool(builder, *lease, given);
    move.given = given;
    if (lease->homes.empty()) {
        builder.puts.erase(key);
        builder.deletes.push_back(key);
    }
    move.transaction = builder.finish(id);
    return move;
}

std::optional<table_transaction> changeWitnesses(const std::string &id, const table_view &view,
                                                 incarnation_id self,
                                                 const std::vector<incarnation_id> &witnesses)
{
    transaction_builder builder{ view, {}, {}, {} };
    auto *lease = builder.edit<lease_row>(leaseKey(self));
    if (lease == nullptr)
        return std::nullopt;
    lease->witnesses = witnesses;
    return builder.finish(id);
}

std::optional<table_transaction> reclaimLease(const std::string &id, const table_view &view,
                                              incarnation_id dead,
                                              const std::set<incarnation_id> &votes)
{
    transaction_builder builder{ view, {}, {}, {} };
    const std::string key = leaseKey(dead);
    const auto *lease = builder.edit<lease_row>(key);
    if (lease == nullptr || !isMajority(lease->witnesses, votes))
        return std::nullopt;
    for (const auto &[resource, shares] : lease->homes)
        if (auto *pool = builder.edit<pool_row>(poolKey(resource)))
            pool->free += shares;
    builder.puts.erase(key);
    builder.deletes.push_back(key);
    return builder.finish(id);
}

transaction_state determineOutcome(const table_transaction &transaction, const table_view &view)
{
    for (const share_put &put : transaction.puts) {
        const auto entry = view.find(put.key);
        if (entry != view.end()
            && std::visit([&](const auto &row) { return row.writtenBy == transaction.id; },
                          entry->second.row))
            return transaction_state::Committed;
    }
    // Only this incarnation deletes these rows, so a missing row shows the commit even if other
    // instances have changed the remaining rows since.
    for (const std::string &key : transaction.deletes)
        if (!view.contains(key))
            return transaction_state::Committed;
    for (const share_check &check : transaction.checks) {
        const auto entry = view.find(check.key);
        const std::uint64_t version = entry == view.end() ? 0 : entry->second.version;
        if (version != check.version)
            return transaction_state::Impossible;
    }
    return transaction_state::Undecided;
}

} // namespace fuchsiagw::core
