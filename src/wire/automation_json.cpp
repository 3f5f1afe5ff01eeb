/// @file
/// @brief JSON form of the switch of automatic promotions.

#include <fuchsiagw/wire/automation_json.hpp>

#include <nlohmann/json.hpp>

namespace fuchsiagw::wire {

std::string toJson(const automation_switch &value)
{
    return nlohmann::json{ { "allowed", value.allowed } }.dump();
}

automation_switch readSwitch(const std::string &row)
{
    const auto parsed = nlohmann::json::parse(row, nullptr, false);
    if (!parsed.is_object())
        return {};
    return { parsed.value("allowed", nlohmann::json(false)) == nlohmann::json(true) };
}

} // namespace fuchsiagw::wire
