/// @file
/// @brief Promotion orders of a group whose outcome is open.
///
/// The platform may carry out an order seconds after it was sent, and checks only its fencing token
/// then. An order is therefore open from the moment in which it is recorded in the store until
/// nothing can come of it any more: its member leads, or an order with a higher token was accepted.
/// While one is open, its member must have every acknowledged commit, and no later attempt may
/// order another member, because either order may take effect first.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiagw::proxy {

struct promotion_order
{
    std::uint64_t token = 0; ///< fencing token; lowest one of consecutive orders for the member
    std::string member;
};

/// Oldest first; invariant: neighbours have different members.
using open_orders = std::vector<promotion_order>;

/// @brief Adds an order; one for the member of the newest order is covered by that one.
void addOrder(open_orders &orders, const promotion_order &order);

/// @brief Removes the newest order if it is for this member and has this token.
void dropRejectedOrder(open_orders &orders, const promotion_order &order);

/// @return whether there are open orders, all of them for this member
[[nodiscard]] bool promoteOnly(const open_orders &orders, const std::string &member);

/// @return whether an open order would replace the leader
[[nodiscard]] bool mayReplace(const open_orders &orders, const std::string &leader);

} // namespace fuchsiagw::proxy
