/// @file
/// @brief JSON form of an instance's row.

#include <fuchsiagw/wire/instance_row.hpp>

#include <fuchsiagw/detail/bounded_json.hpp>

#include <algorithm>

namespace fuchsiagw::wire {

std::string toJson(const instance_row &row)
{
    nlohmann::json value = { { "address", row.address },
                             { "zone", row.zone },
                             { "incarnation", row.incarnation },
                             { "part", row.part } };
    if (row.capacity > 0)
        value["capacity"] = row.capacity;
    return value.dump();
}

std::optional<instance_row> readInstanceRow(const std::string &text)
{
    const auto value = detail::parseBounded(text);
    if (!value.is_object())
        return std::nullopt;
    instance_row row;
    row.address = detail::textField(value, "address");
    row.zone = detail::textField(value, "zone");
    row.incarnation = detail::integerField<std::uint64_t>(value, "incarnation").value_or(0);
    row.part = detail::integerField<std::int64_t>(value, "part").value_or(0);
    constexpr double maxCapacity = 1e6;
    row.capacity = std::clamp(detail::numberField(value, "capacity").value_or(0), 0.0, maxCapacity);
    if (row.part > maxInstancePart)
        return std::nullopt;
    return row;
}

} // namespace fuchsiagw::wire
