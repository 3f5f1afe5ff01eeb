/// @file
/// @brief Accounting of shares and loans.

#include <fuchsiagw/core/share_ledger.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

/// Recomputes the values derived from the loans and the lease, and sets the bucket's rate and
/// capacity.
void recomputeUsable(share_ledger &ledger, time_point now)
{
    const bool isHomeUsable = now < ledger.homeUntil;
    ledger.lent = 0;
    ledger.nextChangeAt = isHomeUsable ? ledger.homeUntil : noDeadline;
    for (const auto &[id, loan] : ledger.out) {
        ledger.lent += loan.shares;
        ledger.nextChangeAt = std::min(ledger.nextChangeAt, loan.endsAt);
    }
    share_count borrowed = 0;
    for (const auto &[id, loan] : ledger.in) {
        borrowed += loan.shares;
        ledger.nextChangeAt = std::min(ledger.nextChangeAt, loan.endsAt);
    }
    assert(ledger.lent >= 0 && ledger.lent <= ledger.home);
    ledger.usable = (isHomeUsable ? ledger.home - ledger.lent : 0) + borrowed;
    assert(ledger.usable >= 0 && ledger.usable <= ledger.home - ledger.lent + borrowed);
    // After a decrease of the total, holders keep surplus shares until they have returned them.
    const share_count cappedShares = std::min(ledger.usable, ledger.total);
    reconfigure(ledger.bucket, partOf(ledger.rate, cappedShares, ledger.total),
                partOf(ledger.burst, cappedShares, ledger.total), now);
}

template <typename loans>
void eraseExpired(loans &all, time_point now)
{
    std::erase_if(all, [now](const auto &entry) { return entry.second.endsAt <= now; });
}

} // namespace

std::string toString(const resource_id &resource)
{
    return std::string(resourceKindNames.at(static_cast<std::size_t>(resource.kind))) + '/'
           + resource.name;
}

std::int64_t partOf(std::int64_t whole, share_count shares, share_count total)
{
    assert(shares >= 0 && shares <= total && total > 0);
    // Divides first so that no product exceeds 64 bits; the result is still exact.
    return whole / total * shares + whole % total * shares / total;
}

void advance(share_ledger &ledger, time_point now)
{
    while (ledger.nextChangeAt <= now) {
        const time_point at = std::max(ledger.nextChangeAt, ledger.advancedAt);
        refill(ledger.bucket, at);
        eraseExpired(ledger.out, at);
        eraseExpired(ledger.in, at);
        recomputeUsable(ledger, at);
        ledger.advancedAt = at;
    }
    refill(ledger.bucket, now);
    ledger.advancedAt = std::max(ledger.advancedAt, now);
}

void setLimit(share_ledger &ledger, std::int64_t rate, token_amount burst, share_count total,
              time_point now)
{
    assert(total > 0);
    advance(ledger, now);
    ledger.rate = rate;
    ledger.burst = burst;
    ledger.total = total;
    recomputeUsable(ledger, ledger.advancedAt);
}

void setHomeUntil(share_ledger &ledger, time_point until, time_point now)
{
    // An expiry before now is applied first: no tokens accrue between it and a renewal of the
    // lease.
    advance(ledger, now);
    ledger.homeUntil = until;
    recomputeUsable(ledger, ledger.advancedAt);
}

void addHome(share_ledger &ledger, share_count shares, token_amount tokens, time_point now)
{
    assert(shares >= 0 && tokens >= 0);
    advance(ledger, now);
    ledger.home += shares;
    recomputeUsable(ledger, ledger.advancedAt);
    deposit(ledger.bucket,
            std::min(tokens, partOf(ledger.burst, std::min(shares, ledger.total), ledger.total)),
            now);
}

share_transfer removeHome(share_ledger &ledger, share_count shares, time_point now)
{
    advance(ledger, now);
    share_transfer removed;
    removed.shares = std::clamp<share_count>(shares, 0, ledger.home - ledger.lent);
    const bool isHomeUsable = ledger.advancedAt < ledger.homeUntil;
    if (isHomeUsable && ledger.usable > 0)
        removed.tokens = takeUpTo(ledger.bucket,
                                  partOf(ledger.bucket.level, removed.shares, ledger.usable), now);
    ledger.home -= removed.shares;
    recomputeUsable(ledger, ledger.advancedAt);
    return removed;
}

share_count usableShares(share_ledger &ledger, time_point now)
{
    advance(ledger, now);
    return ledger.usable;
}

share_count lendableShares(share_ledger &ledger, time_point now)
{
    advance(ledger, now);
    return ledger.advancedAt < ledger.homeUntil ? ledger.home - ledger.lent : 0;
}

bool takeToken(share_ledger &ledger, time_point now)
{
    advance(ledger, now);
    return take(ledger.bucket, oneToken, ledger.advancedAt);
}

std::optional<loan_terms> grantLoan(share_ledger &ledger, const resource_id &resource,
                                    incarnation_id lender, incarnation_id borrower, loan_kind kind,
                                    share_count shares, token_amount tokens,
                                    const loan_times &times, time_point now)
{
    const share_count lendable = lendableShares(ledger, now);
    if (ledger.advancedAt >= ledger.homeUntil)
        return std::nullopt;
    shares = std::clamp<share_count>(shares, 0, lendable);
    auto entry = std::find_if(ledger.out.begin(), ledger.out.end(), [&](const auto &each) {
        return each.second.borrower == borrower && each.second.kind == kind;
    });
    if (entry == ledger.out.end()) {
        if (shares == 0)
            return std::nullopt;
        entry = ledger.out.emplace(loan_id{ lender, ledger.nextLoan++ }, granted_loan{}).first;
        entry->second.borrower = borrower;
        entry->second.kind = kind;
    }
    granted_loan &loan = entry->second;
    // Only the additional shares make room for tokens: the borrower may already hold as many tokens
    // as the shares lent before have room for.
    const token_amount room = partOf(ledger.burst, std::min(shares, ledger.total), ledger.total);
    const token_amount moved = takeUpTo(ledger.bucket, std::min(tokens, room), ledger.advancedAt);
    loan.shares += shares;
    ++loan.serial;
    const duration length =
            kind == loan_kind::Rate ? times.rateLoanDuration : times.tokenLoanDuration;
    loan.endsAt = std::max(loan.endsAt, ledger.advancedAt + length + times.driftMargin);
    recomputeUsable(ledger, ledger.advancedAt);
    return loan_terms{
        entry->first, resource, kind, loan.serial, loan.shares, moved, length.count()
    };
}

bool receiveLoan(share_ledger &ledger, const loan_terms &terms, time_point sentAt, time_point now)
{
    advance(ledger, now);
    const time_point endsAt = sentAt + duration(terms.remainingMicros);
    if (sentAt > now || endsAt <= ledger.advancedAt || terms.shares <= 0)
        return false;
    const auto known = ledger.in.find(terms.id);
    if (known != ledger.in.end() && known->second.serial >= terms.serial)
        return false;
    received_loan &loan = ledger.in[terms.id];
    const bool isTombstone = loan.shares == 0;
    const share_count more = std::max<share_count>(terms.shares - loan.shares, 0);
    loan.shares = terms.shares;
    loan.kind = terms.kind;
    loan.serial = terms.serial;
    // The end of a tombstone bounds how long it is kept, not how long shares may be used.
    loan.endsAt = isTombstone ? endsAt : std::max(loan.endsAt, endsAt);
    recomputeUsable(ledger, ledger.advancedAt);
    const token_amount room = partOf(ledger.burst, std::min(more, ledger.total), ledger.total);
    deposit(ledger.bucket, std::min(terms.tokens, room), ledger.advancedAt);
    return true;
}

std::optional<loan_return> returnLoan(share_ledger &ledger, const resource_id &resource,
                                      const loan_id &id, duration longest, time_point now)
{
    advance(ledger, now);
    const auto entry = ledger.in.find(id);
    if (entry == ledger.in.end() || entry->second.shares == 0)
        return std::nullopt;
    const token_amount tokens = takeUpTo(
            ledger.bucket, partOf(ledger.bucket.level, entry->second.shares, ledger.usable), now);
    entry->second.shares = 0;
    // The tombstone is kept for the longest duration of a loan: a delayed grant of this loan,
    // which answers an earlier request, has ended by then.
    entry->second.endsAt = ledger.advancedAt + longest;
    recomputeUsable(ledger, ledger.advancedAt);
    return loan_return{ id, resource, entry->second.serial, tokens };
}

bool acceptReturn(share_ledger &ledger, const loan_return &message, time_point now)
{
    advance(ledger, now);
    const auto entry = ledger.out.find(message.id);
    if (entry == ledger.out.end() || entry->second.serial != message.serial)
        return false;
    const token_amount room =
            partOf(ledger.burst, std::min(entry->second.shares, ledger.total), ledger.total);
    ledger.out.erase(entry);
    recomputeUsable(ledger, ledger.advancedAt);
    // Without a valid lease, home shares add no capacity and deposit() discards the tokens.
    deposit(ledger.bucket, std::min(message.tokens, room), ledger.advancedAt);
    return true;
}

} // namespace fuchsiagw::core
