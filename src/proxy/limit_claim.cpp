/// @file
/// @brief Arithmetic of the claims.

#include <fuchsiagw/proxy/limit_claim.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// A claim is written again only if it is off by more than a sixteenth, so that one daemon that
/// joins many others does not make all of them write.
constexpr limit_part steps = 16;

bool isTooLow(limit_part claimed, limit_part fair)
{
    return fair * (steps - 1) > claimed * steps;
}

bool isTooHigh(limit_part claimed, limit_part fair)
{
    return fair * steps < claimed * (steps - 1);
}

/// What is free is divided among the daemons whose claims are too low, so that their claims fit
/// beside each other although they are written at the same time.
limit_part shareOfFree(const std::vector<claim_row> &rows, limit_part free, limit_part fair)
{
    const auto claimants = std::count_if(
            rows.begin(), rows.end(), [fair](const auto &row) { return isTooLow(row.part, fair); });
    return claimants == 0 ? 0 : std::max<limit_part>(0, free) / claimants;
}

} // namespace

std::optional<limit_part> revise(limit_claim &claim, const std::vector<claim_row> &rows,
                                 std::uint64_t incarnation, core::time_point now)
{
    const auto own =
            std::find_if(rows.begin(), rows.end(), [](const auto &row) { return row.own; });
    if (own == rows.end() || own->incarnation != incarnation) {
        claim = {};
        return own == rows.end() ? 0 : own->part;
    }
    limit_part claimed = 0;
    for (const claim_row &each : rows)
        claimed += std::max<limit_part>(0, each.part);
    const limit_part left =
            std::clamp<limit_part>(wholeLimit - (claimed - own->part), 0, own->part);
    claim.granted = std::min(std::max(claim.granted, left), own->part);
    const limit_part fair = wholeLimit / static_cast<limit_part>(rows.size());
    if (isTooHigh(own->part, fair)) {
        claim.target = fair;
        claim.granted = std::min(claim.granted, fair);
        claim.lowerAt = std::min(claim.lowerAt, now + partLeaseDuration + partLeaseMargin);
        return std::nullopt;
    }
    claim.lowerAt = core::noDeadline;
    if (!isTooLow(own->part, fair))
        return std::nullopt;
    const limit_part more = own->part + shareOfFree(rows, wholeLimit - claimed, fair);
    return isTooLow(own->part, more) ? std::optional(std::min(fair, more)) : std::nullopt;
}

std::optional<limit_part> dueClaim(limit_claim &claim, core::time_point now)
{
    if (now < claim.lowerAt)
        return std::nullopt;
    claim.lowerAt = core::noDeadline;
    return claim.target;
}

} // namespace fuchsiagw::proxy
