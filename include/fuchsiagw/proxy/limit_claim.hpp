/// @file
/// @brief Which part of every limit a daemon may use, by the claims of all daemons in the store.
///
/// A claim is written before it is used, and used only as far as the claims that were in the store
/// at that time leave room. Of two daemons the one that wrote later saw the other's claim, so what
/// all use together never exceeds the whole. A daemon that can't read the store goes on with what
/// it has: others get only what it does not claim.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/limit_part.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace fuchsiagw::proxy {

/// A daemon's row in the store, as far as claims are concerned.
struct claim_row
{
    bool own = false;
    std::uint64_t incarnation = 0; ///< of the process that wrote it
    limit_part part = 0;
};

/// Invariant: granted is never more than the own claim in the store; it grows only by a list that
/// was read after the claim had been written.
struct limit_claim
{
    limit_part granted = 0; ///< may be used
    limit_part target = 0; ///< what the claim is to become
    core::time_point lowerAt = core::noDeadline; ///< a lower claim is written then
};

/// @brief Judges the own claim by a list of all rows that was read at one moment.
/// @param incarnation of this process; a row of an earlier one is written again before it counts
/// @return the claim that is to be written now, if any
[[nodiscard]] std::optional<limit_part> revise(limit_claim &claim,
                                               const std::vector<claim_row> &rows,
                                               std::uint64_t incarnation, core::time_point now);

/// @brief Writes a lower claim once no home can use the part of the higher one any more.
/// @return the claim that is to be written now, if any
[[nodiscard]] std::optional<limit_part> dueClaim(limit_claim &claim, core::time_point now);

} // namespace fuchsiagw::proxy
