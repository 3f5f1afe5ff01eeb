/// @file
/// @brief Conversion of request ids to and from text.

#include <fuchsiagw/core/ids.hpp>

#include <charconv>
#include <cstdio>

namespace fuchsiagw::core {

namespace {

constexpr std::size_t digitsPerHalf = 16;

} // namespace

std::string toString(const request_id &id)
{
    std::array<char, 2 * digitsPerHalf + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(id.high),
                  static_cast<unsigned long long>(id.low));
    return { text.data(), 2 * digitsPerHalf };
}

bool fromString(const std::string &text, request_id &id)
{
    if (text.size() != 2 * digitsPerHalf)
        return false;
    request_id parsed;
    const char *middle = text.data() + digitsPerHalf;
    const char *end = middle + digitsPerHalf;
    const auto high = std::from_chars(text.data(), middle, parsed.high, 16);
    const auto low = std::from_chars(middle, end, parsed.low, 16);
    if (high.ptr != middle || low.ptr != end || high.ec != std::errc{} || low.ec != std::errc{})
        return false;
    id = parsed;
    return true;
}

} // namespace fuchsiagw::core
