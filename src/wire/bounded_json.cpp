/// @file
/// @brief Limits on JSON documents, and typed field readers.

#include <fuchsiagw/detail/bounded_json.hpp>

namespace fuchsiagw::detail {

namespace {

using nlohmann::json;

/// Counts brackets outside of strings. Malformed text may be judged either way.
bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char each = text[i];
        if (inString && each == '\\')
            ++i;
        else if (each == '"')
            inString = !inString;
        else if (!inString && (each == '[' || each == '{') && ++depth > maxJsonNesting)
            return true;
        else if (!inString && (each == ']' || each == '}') && depth > 0)
            --depth;
    }
    return false;
}

} // namespace

json parseBounded(std::string_view text)
{
    if (text.size() > maxJsonBytes || isNestedTooDeeply(text))
        return { json::value_t::discarded };
    return json::parse(text, nullptr, false);
}

std::string textField(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool flagField(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

const json &arrayField(const json &object, const char *name)
{
    static const json none = json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : none;
}

std::optional<double> numberField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number())
        return std::nullopt;
    const auto value = found->get<double>();
    return std::isfinite(value) ? std::optional(value) : std::nullopt;
}

} // namespace fuchsiagw::detail
