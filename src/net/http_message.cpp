/// @file
/// @brief Header lookup.

#include <fuchsiagw/net/http_message.hpp>

#include <algorithm>
#include <cctype>

namespace fuchsiagw::net {

namespace {

bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
               == std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &header) {
        return isSameName(header.first, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace fuchsiagw::net
