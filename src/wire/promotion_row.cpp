/// @file
/// @brief JSON form of a group's promotion row.

#include <fuchsiagw/wire/promotion_row.hpp>

#include <fuchsiagw/detail/bounded_json.hpp>

namespace fuchsiagw::wire {

std::string toJson(const promotion_row &row)
{
    nlohmann::json orders = nlohmann::json::array();
    for (const proxy::promotion_order &each : row.orders)
        orders.push_back({ { "token", each.token }, { "member", each.member } });
    return nlohmann::json{
        { "holder", row.holder }, { "until_ms", row.leaseUntilMs }, { "orders", std::move(orders) }
    }.dump();
}

promotion_row readPromotionRow(const std::string &text)
{
    const auto parsed = detail::parseBounded(text);
    if (!parsed.is_object())
        return {};
    promotion_row row;
    row.holder = detail::textField(parsed, "holder");
    row.leaseUntilMs = detail::integerField<std::int64_t>(parsed, "until_ms").value_or(0);
    for (const auto &each : detail::arrayField(parsed, "orders")) {
        if (!each.is_object())
            continue;
        const auto token = detail::integerField<std::uint64_t>(each, "token");
        const std::string member = detail::textField(each, "member");
        if (token && !member.empty())
            addOrder(row.orders, { *token, member });
    }
    return row;
}

} // namespace fuchsiagw::wire
