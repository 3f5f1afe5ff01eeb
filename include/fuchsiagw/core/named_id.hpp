/// @file
/// @brief Strongly typed string identifier.

#pragma once

#include <compare>
#include <functional>
#include <string>

namespace fuchsiagw::core {

/// String identifier. Identifiers with different tags are different types, so that they can't be
/// mixed up.
/// @tparam tag empty type that distinguishes the kinds of identifier
template <typename tag>
struct named_id
{
    std::string value;

    [[nodiscard]] bool empty() const { return value.empty(); }
    friend bool operator==(const named_id &, const named_id &) = default;
    friend std::strong_ordering operator<=>(const named_id &left, const named_id &right)
    {
        return left.value.compare(right.value) <=> 0;
    }

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(value);
    }
};

} // namespace fuchsiagw::core

template <typename tag>
struct std::hash<fuchsiagw::core::named_id<tag>>
{
    std::size_t operator()(const fuchsiagw::core::named_id<tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
