/// @file
/// @brief Parser and typed field readers for JSON that others have written.
///
/// Documents are checked before anything is built from them, because copying or comparing a deeply
/// nested document overflows the stack, and its memory is many times its text. Fields are read by
/// reference, and a value that doesn't fit counts as missing.

#pragma once

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fuchsiagw::detail {

/// Deepest nesting of arrays and objects that is parsed.
inline constexpr std::size_t maxJsonNesting = 32;
/// Size of the largest document that is parsed, in bytes.
inline constexpr std::size_t maxJsonBytes = std::size_t{ 8 } << 20U;

/// @brief Parses a document within maxJsonNesting and maxJsonBytes.
/// @return a discarded value if it is beyond these limits or not JSON
/// @complexity linear in the size of @p text
[[nodiscard]] nlohmann::json parseBounded(std::string_view text);

/// @return the text of a field; empty if it is missing or of another type
[[nodiscard]] std::string textField(const nlohmann::json &object, const char *name);

/// @return whether a field is the value true
[[nodiscard]] bool flagField(const nlohmann::json &object, const char *name);

/// @return the elements of a field; an empty array if it is missing or of another type
[[nodiscard]] const nlohmann::json &arrayField(const nlohmann::json &object, const char *name);

/// @return the number in a field; none if it is missing, of another type or not finite
[[nodiscard]] std::optional<double> numberField(const nlohmann::json &object, const char *name);

/// @return the whole number in a field; none if it is missing, of another type, negative, or beyond
/// the range of the integer type
template <typename integer>
[[nodiscard]] std::optional<integer> integerField(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return std::nullopt;
    const auto value = found->template get<std::uint64_t>();
    if (!std::in_range<integer>(value))
        return std::nullopt;
    return static_cast<integer>(value);
}

} // namespace fuchsiagw::detail
