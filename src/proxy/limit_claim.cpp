/// @file
/// @brief Computation of claims and granted parts.

#include <fuchsiagw/proxy/limit_claim.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

namespace {

/// A claim is rewritten only if it differs from the fair part by more than one sixteenth. Otherwise
/// every daemon would write whenever one daemon joins a large deployment.
constexpr limit_part claimToleranceDivisor = 16;

bool isTooLow(limit_part claimed, limit_part fairShare)
{
    return fairShare * (claimToleranceDivisor - 1) > claimed * claimToleranceDivisor;
}

bool isTooHigh(limit_part claimed, limit_part fairShare)
{
    return fairShare * claimToleranceDivisor < claimed * (claimToleranceDivisor - 1);
}

/// @brief Divides the unclaimed part evenly among the daemons whose claims are too low, so that
/// their new claims don't exceed the limit although they are written concurrently.
limit_part shareOfFree(const std::vector<claim_row> &rows, limit_part free, limit_part fairShare)
{
    const auto claimants = std::count_if(rows.begin(), rows.end(), [fairShare](const auto &row) {
        return isTooLow(row.part, fairShare);
    });
    return claimants == 0 ? 0 : std::max<limit_part>(0, free) / claimants;
}

} // namespace

std::optional<limit_part> evaluateClaim(limit_claim &claim, const std::vector<claim_row> &rows,
                                        std::uint64_t incarnation, core::time_point now)
{
    const auto own =
            std::find_if(rows.begin(), rows.end(), [](const auto &row) { return row.isOwn; });
    if (own == rows.end() || own->incarnation != incarnation) {
        claim = {};
        return own == rows.end() ? 0 : own->part;
    }
    limit_part claimed = 0;
    for (const claim_row &each : rows)
        claimed += std::max<limit_part>(0, each.part);
    const limit_part usable =
            std::clamp<limit_part>(wholeLimit - (claimed - own->part), 0, own->part);
    claim.granted = std::min(std::max(claim.granted, usable), own->part);
    const limit_part fairShare = wholeLimit / static_cast<limit_part>(rows.size());
    if (isTooHigh(own->part, fairShare)) {
        claim.target = fairShare;
        claim.granted = std::min(claim.granted, fairShare);
        claim.lowerClaimAt =
                std::min(claim.lowerClaimAt, now + partLeaseDuration + partLeaseMargin);
        return std::nullopt;
    }
    claim.lowerClaimAt = core::noDeadline;
    if (!isTooLow(own->part, fairShare))
        return std::nullopt;
    const limit_part raised = own->part + shareOfFree(rows, wholeLimit - claimed, fairShare);
    return isTooLow(own->part, raised) ? std::optional(std::min(fairShare, raised)) : std::nullopt;
}

std::optional<limit_part> takeDueClaim(limit_claim &claim, core::time_point now)
{
    if (now < claim.lowerClaimAt)
        return std::nullopt;
    claim.lowerClaimAt = core::noDeadline;
    return claim.target;
}

} // namespace fuchsiagw::proxy
