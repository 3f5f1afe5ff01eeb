/// @file
/// @brief JSON form of the switch of automatic promotions.

#include <fuchsiagw/wire/automation_json.hpp>

#include <fuchsiagw/detail/bounded_json.hpp>

namespace fuchsiagw::wire {

std::string toJson(const automation_switch &value)
{
    return nlohmann::json{ { "allowed", value.allowed } }.dump();
}

automation_switch readSwitch(const std::string &row)
{
    const auto parsed = detail::parseBounded(row);
    if (!parsed.is_object())
        return {};
    return { detail::flagField(parsed, "allowed") };
}

} // namespace fuchsiagw::wire
