/// @file
/// @brief JSON form of a group's promotion row in the store: the lease of a fencing token, and the
/// promotion orders whose outcome is open.

#pragma once

#include <fuchsiagw/proxy/promotion_order.hpp>

#include <cstdint>
#include <string>

namespace fuchsiagw::wire {

struct promotion_row
{
    std::string holder; ///< daemon that acquired the latest token
    std::int64_t leaseUntilMs = 0; ///< the store's clock; no other daemon acquires a token before
    proxy::open_orders orders;
};

[[nodiscard]] std::string toJson(const promotion_row &row);

/// @return the row; empty if @p text is not an object, and without those orders whose token or
/// member is missing
[[nodiscard]] promotion_row readPromotionRow(const std::string &text);

} // namespace fuchsiagw::wire
