/// @file
/// @brief Versions of the platform's store that stay ordered when it returns from an older copy.
///
/// The store numbers its changes. After a return from a copy it gives numbers out again, and its
/// era is one higher. A version therefore holds the era in front of the number of the change: every
/// version of a later era is greater than all versions of earlier ones, and none occurs twice.

#pragma once

#include <algorithm>
#include <cstdint>

namespace fuchsiagw::core {

using store_era = std::uint32_t;
using store_version = std::uint64_t;

/// Lower bits of a version, which hold the number of the change.
inline constexpr unsigned changeNumberBits = 48;
inline constexpr std::uint64_t maxChangeNumber = (std::uint64_t{ 1 } << changeNumberBits) - 1;
/// Up to this era a version fits into a signed integer of 64 bits.
inline constexpr store_era maxStoreEra = (store_era{ 1 } << (63U - changeNumberBits)) - 1;

/// @param change number of the change; 0 names none, and gives version 0 in every era
[[nodiscard]] constexpr store_version makeStoreVersion(store_era era, std::uint64_t change)
{
    if (change == 0)
        return 0;
    return (store_version{ era } << changeNumberBits) | std::min(change, maxChangeNumber);
}

[[nodiscard]] constexpr store_era eraOf(store_version version)
{
    return static_cast<store_era>(version >> changeNumberBits);
}

/// @return the number under which the store knows the change
[[nodiscard]] constexpr std::uint64_t changeNumberOf(store_version version)
{
    return version & maxChangeNumber;
}

} // namespace fuchsiagw::core
