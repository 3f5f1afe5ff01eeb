/// @file
/// @brief Header lookup and the check of requests.

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

/// A word ends at a blank or a control byte.
bool isWord(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char each) {
        const auto byte = static_cast<unsigned char>(each);
        return byte <= ' ' || byte == 0x7f;
    });
}

bool isHeaderValue(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

} // namespace

bool isWritable(const http_request &request)
{
    return isWord(request.method) && isWord(request.target)
           && std::all_of(request.headers.begin(), request.headers.end(), [](const auto &header) {
                  return isWord(header.first) && header.first.find(':') == std::string::npos
                         && isHeaderValue(header.second);
              });
}

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &header) {
        return isSameName(header.first, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace fuchsiagw::net
