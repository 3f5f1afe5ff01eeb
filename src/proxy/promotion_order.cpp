/// @file
/// @brief Promotion orders of a group whose outcome is open.

#include <fuchsiagw/proxy/promotion_order.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

void addOrder(open_orders &orders, const promotion_order &order)
{
    if (orders.empty() || orders.back().member != order.member)
        orders.push_back(order);
}

void dropRejectedOrder(open_orders &orders, const promotion_order &order)
{
    const bool isNewest = !orders.empty() && orders.back().token == order.token
                          && orders.back().member == order.member;
    if (isNewest)
        orders.pop_back();
}

bool promoteOnly(const open_orders &orders, const std::string &member)
{
    return orders.size() == 1 && orders.front().member == member;
}

bool mayReplace(const open_orders &orders, const std::string &leader)
{
    return std::any_of(orders.begin(), orders.end(),
                       [&](const auto &each) { return each.member != leader; });
}

} // namespace fuchsiagw::proxy
