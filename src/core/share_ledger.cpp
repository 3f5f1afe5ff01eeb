/// @file
/// @brief Accounts of shares and the bucket that follows them.

#include <fuchsiagw/core/share_ledger.hpp>

#include <algorithm>
#include <cassert>

namespace fuchsiagw::core {

namespace {

/// Recomputes what depends on the loans and the lease, and gives the bucket its new shape.
void settle(share_ledger &book, time_point now)
{
    const bool homeUsable = now < book.homeUntil;
    book.lent = 0;
    book.nextChange = homeUsable ? book.homeUntil : noDeadline;
    for (const auto &[id, loan] : book.out) {
        book.lent += loan.shares;
        book.nextChange = std::min(book.nextChange, loan.endsAt);
    }
    share_count borrowed = 0;
    for (const auto &[id, loan] : book.in) {
        borrowed += loan.shares;
        book.nextChange = std::min(book.nextChange, loan.endsAt);
    }
    assert(book.lent >= 0 && book.lent <= book.home);
    book.usable = (homeUsable ? book.home - book.lent : 0) + borrowed;
    assert(book.usable >= 0 && book.usable <= book.home - book.lent + borrowed);
    // A total that was lowered is exceeded until the holders have returned their part.
    const share_count counted = std::min(book.usable, book.total);
    reshape(book.bucket, partOf(book.rate, counted, book.total),
            partOf(book.burst, counted, book.total), now);
}

template <typename loans>
void dropEnded(loans &all, time_point now)
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
    // Split so that no product exceeds 64 bits; the result is still exact.
    return whole / total * shares + whole % total * shares / total;
}

void advance(share_ledger &book, time_point now)
{
    while (book.nextChange <= now) {
        const time_point at = std::max(book.nextChange, book.advancedTo);
        refill(book.bucket, at);
        dropEnded(book.out, at);
        dropEnded(book.in, at);
        settle(book, at);
        book.advancedTo = at;
    }
    refill(book.bucket, now);
    book.advancedTo = std::max(book.advancedTo, now);
}

void setLimit(share_ledger &book, std::int64_t rate, token_amount burst, share_count total,
              time_point now)
{
    assert(total > 0);
    advance(book, now);
    book.rate = rate;
    book.burst = burst;
    book.total = total;
    settle(book, book.advancedTo);
}

void setHomeUntil(share_ledger &book, time_point until, time_point now)
{
    // Applies a lapse that lies in the past first: its tokens are lost even if the lease is back.
    advance(book, now);
    book.homeUntil = until;
    settle(book, book.advancedTo);
}

void addHome(share_ledger &book, share_count shares, token_amount tokens, time_point now)
{
    assert(shares >= 0 && tokens >= 0);
    advance(book, now);
    book.home += shares;
    settle(book, book.advancedTo);
    put(book.bucket, std::min(tokens, partOf(book.burst, std::min(shares, book.total), book.total)),
        now);
}

share_transfer removeHome(share_ledger &book, share_count shares, time_point now)
{
    advance(book, now);
    share_transfer removed;
    removed.shares = std::clamp<share_count>(shares, 0, book.home - book.lent);
    const bool homeUsable = book.advancedTo < book.homeUntil;
    if (homeUsable && book.usable > 0)
        removed.tokens =
                takeUpTo(book.bucket, partOf(book.bucket.level, removed.shares, book.usable), now);
    book.home -= removed.shares;
    settle(book, book.advancedTo);
    return removed;
}

share_count usableShares(share_ledger &book, time_point now)
{
    advance(book, now);
    return book.usable;
}

share_count lendableShares(share_ledger &book, time_point now)
{
    advance(book, now);
    return book.advancedTo < book.homeUntil ? book.home - book.lent : 0;
}

bool takeToken(share_ledger &book, time_point now)
{
    advance(book, now);
    return take(book.bucket, oneToken, book.advancedTo);
}

std::optional<loan_terms> grantLoan(share_ledger &book, const resource_id &resource,
                                    incarnation_id lender, incarnation_id borrower, loan_kind kind,
                                    share_count shares, token_amount tokens,
                                    const loan_times &times, time_point now)
{
    const share_count lendable = lendableShares(book, now);
    if (book.advancedTo >= book.homeUntil)
        return std::nullopt;
    shares = std::clamp<share_count>(shares, 0, lendable);
    auto entry = std::find_if(book.out.begin(), book.out.end(), [&](const auto &each) {
        return each.second.borrower == borrower && each.second.kind == kind;
    });
    if (entry == book.out.end()) {
        if (shares == 0)
            return std::nullopt;
        entry = book.out.emplace(loan_id{ lender, book.nextLoan++ }, granted_loan{}).first;
        entry->second.borrower = borrower;
        entry->second.kind = kind;
    }
    granted_loan &loan = entry->second;
    // Tokens need room in the shares that move with them: a loan that is only extended may hold
    // as many already as it has room for.
    const token_amount room = partOf(book.burst, std::min(shares, book.total), book.total);
    const token_amount moved = takeUpTo(book.bucket, std::min(tokens, room), book.advancedTo);
    loan.shares += shares;
    ++loan.serial;
    const duration length = kind == loan_kind::Rate ? times.length : times.tokenLoanDuration;
    loan.endsAt = std::max(loan.endsAt, book.advancedTo + length + times.driftMargin);
    settle(book, book.advancedTo);
    return loan_terms{
        entry->first, resource, kind, loan.serial, loan.shares, moved, length.count()
    };
}

bool receiveLoan(share_ledger &book, const loan_terms &terms, time_point sentAt, time_point now)
{
    advance(book, now);
    const time_point endsAt = sentAt + duration(terms.remainingMicros);
    if (sentAt > now || endsAt <= book.advancedTo || terms.shares <= 0)
        return false;
    const auto known = book.in.find(terms.id);
    if (known != book.in.end() && known->second.serial >= terms.serial)
        return false;
    received_loan &loan = book.in[terms.id];
    const bool isMark = loan.shares == 0;
    const share_count more = std::max<share_count>(terms.shares - loan.shares, 0);
    loan.shares = terms.shares;
    loan.kind = terms.kind;
    loan.serial = terms.serial;
    // The end of a mark says how long to remember it, not how long the shares may be used.
    loan.endsAt = isMark ? endsAt : std::max(loan.endsAt, endsAt);
    settle(book, book.advancedTo);
    const token_amount room = partOf(book.burst, std::min(more, book.total), book.total);
    put(book.bucket, std::min(terms.tokens, room), book.advancedTo);
    return true;
}

std::optional<loan_return> returnLoan(share_ledger &book, const resource_id &resource,
                                      const loan_id &id, duration longest, time_point now)
{
    advance(book, now);
    const auto entry = book.in.find(id);
    if (entry == book.in.end() || entry->second.shares == 0)
        return std::nullopt;
    const token_amount tokens = takeUpTo(
            book.bucket, partOf(book.bucket.level, entry->second.shares, book.usable), now);
    entry->second.shares = 0;
    // A grant that answers an earlier request ends at the latest after one loan length from now.
    entry->second.endsAt = book.advancedTo + longest;
    settle(book, book.advancedTo);
    return loan_return{ id, resource, entry->second.serial, tokens };
}

bool acceptReturn(share_ledger &book, const loan_return &message, time_point now)
{
    advance(book, now);
    const auto entry = book.out.find(message.id);
    if (entry == book.out.end() || entry->second.serial != message.serial)
        return false;
    const token_amount room =
            partOf(book.burst, std::min(entry->second.shares, book.total), book.total);
    book.out.erase(entry);
    settle(book, book.advancedTo);
    // Without the lease the home shares make no room, so nothing is added.
    put(book.bucket, std::min(message.tokens, room), book.advancedTo);
    return true;
}

} // namespace fuchsiagw::core
