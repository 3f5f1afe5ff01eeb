/// @file
/// @brief Room in a budget of bytes, and who is closed to make some.

#include <fuchsiagw/net/byte_budget.hpp>

#include <algorithm>
#include <chrono>

namespace fuchsiagw::net {

namespace {

/// A message that has not arrived within this time, at the lowest rate that callers are expected to
/// have (8 Mbit/s for 1 MiB), counts as stalled.
constexpr std::chrono::seconds stalledAfter{ 1 };

} // namespace

bool fits(const byte_budget &budget, std::size_t bytes)
{
    return budget.used + bytes <= budget.limit;
}

bool makeRoom(byte_budget &budget, std::size_t bytes, const void *requester, core::time_point now)
{
    while (!fits(budget, bytes)) {
        auto oldest = budget.holders.end();
        for (auto each = budget.holders.begin(); each != budget.holders.end(); ++each) {
            const bool isStalled =
                    each->first != requester && now - each->second.since >= stalledAfter;
            if (isStalled
                && (oldest == budget.holders.end() || each->second.since < oldest->second.since))
                oldest = each;
        }
        if (oldest == budget.holders.end())
            return false;
        const auto close = std::move(oldest->second.close);
        budget.holders.erase(oldest);
        ++budget.closedHolders;
        close();
    }
    return true;
}

} // namespace fuchsiagw::net
