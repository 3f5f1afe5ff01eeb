/// @file
/// @brief Claims in the store that determine which part of every limit each daemon may use.
///
/// A daemon writes its claim first, then reads all claims, and uses its own claim only as far as
/// the other claims leave room. Of two daemons, the one that writes later reads the other's claim,
/// so the parts in use never add up to more than the limit. A daemon that can't read the store
/// keeps its part: the other daemons can only use what it has not claimed.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/limit_part.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsiagw::proxy {

/// The claim in a daemon's row in the store.
struct claim_row
{
    bool isOwn = false; ///< row of this daemon
    std::uint64_t incarnation = 0; ///< incarnation of the process that wrote the row
    limit_part part = 0;
};

/// @brief The claim of this daemon.
///
/// Invariant: granted is never more than the own claim in the store; it grows only when a list of
/// rows is evaluated that was read after the claim had been written.
struct limit_claim
{
    limit_part granted = 0; ///< part that may be used
    limit_part target = 0; ///< value of the pending lower claim
    core::time_point lowerClaimAt = core::noDeadline; ///< the pending lower claim is written then
};

/// @brief Updates the granted part and the target from a consistent snapshot of all rows.
/// @param incarnation incarnation of this process; the row of an earlier process has to be
/// rewritten before its claim may be used
/// @return the claim to write now, if any
[[nodiscard]] std::optional<limit_part> evaluateClaim(limit_claim &claim,
                                                      const std::vector<claim_row> &rows,
                                                      std::uint64_t incarnation,
                                                      core::time_point now);

/// @brief Returns the pending lower claim, once, when every lease on the higher claim has ended.
/// @return the claim to write now, if any
[[nodiscard]] std::optional<limit_part> takeDueClaim(limit_claim &claim, core::time_point now);

} // namespace fuchsiagw::proxy
