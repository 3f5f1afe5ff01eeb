/// @file
/// @brief JSON form of an instance's row.

#include <fuchsiagw/wire/instance_row.hpp>

#include <nlohmann/json.hpp>

namespace fuchsiagw::wire {

namespace {

std::string textOf(const nlohmann::json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

template <typename number>
number numberOf(const nlohmann::json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_number_integer() ? field->get<number>() : number{ 0 };
}

} // namespace

std::string toJson(const instance_row &row)
{
    const nlohmann::json value = { { "address", row.address },
                                   { "zone", row.zone },
                                   { "incarnation", row.incarnation },
                                   { "part", row.part } };
    return value.dump();
}

std::optional<instance_row> readInstanceRow(const std::string &text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    instance_row row;
    row.address = textOf(value, "address");
    row.zone = textOf(value, "zone");
    row.incarnation = numberOf<std::uint64_t>(value, "incarnation");
    row.part = numberOf<std::int64_t>(value, "part");
    return row;
}

} // namespace fuchsiagw::wire
